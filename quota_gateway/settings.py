"""The settings of one gateway, decoded once for every program that needs them.

The keys of the settings object are defined by the simulator wire specification. Only this module maps them to
the names of this program. `decode_settings` returns the settings of the policy; `decode_network_settings`
returns the limits that only a gateway on sockets enforces.

Unknown keys are ignored. Missing keys and nulls get defaults, and so do nested objects and arrays of another
type. A value that can't be read as the number expected raises `SettingsError`, which names its key.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Any


class SettingsError(ValueError):
    """An invalid value in a settings object.

    `key` is the path of the value, such as `profiles[1].aim_ms`; `problem` says what is wrong with it.
    """

    def __init__(self, key: str, problem: str) -> None:
        super().__init__(f"{key}: {problem}")
        self.key = key
        self.problem = problem


class Idempotency(Enum):
    """Whether a request may be carried out more than once."""

    IDEMPOTENT = "idempotent"
    KEYED = "keyed"  # servers deduplicate requests by idempotency key
    NON_IDEMPOTENT = "non_idempotent"


class DeduplicationScope(Enum):
    """The servers among which repeats of a keyed request are detected and dropped."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A class of requests with the same latency objective, weight and idempotency."""

    name: str
    latency_objective_ms: float  # a response within this time earns the full weight
    priority_weight: float  # value of a request relative to those of other classes
    idempotency: Idempotency
    deduplication_scope: DeduplicationScope = DeduplicationScope.ALL  # keyed requests only
    deduplication_window_ms: float = 0.0  # keyed requests only: how long servers remember a key
    late_weight: float = 0.0  # share of the weight that a later response earns


@dataclass(frozen=True, slots=True)
class Plan:
    """A plan. Its quotas hold for each customer, over all gateways together; a limit of 0 means no limit."""

    name: str
    price: float = 1.0  # factor of the priority of its customers' requests
    rate: float = 0.0  # units per second
    burst: float = 0.0  # capacity of the customer's token bucket, units
    max_in_flight: int = 0  # attempts in flight
    hard_limit_rate: float = 0.0  # units per second
    hard_limit_burst: float = 0.0  # units
    hard_limit_slack: float = 0.0  # units by which the hard limit may be exceeded
    over_quota_weight: float = 0.0  # share of its weight that a request over the quota earns
    over_quota_cost: float = 0.0  # share of its weight that a request over the quota costs


@dataclass(frozen=True, slots=True)
class SlowStartSettings:
    """The capacity of a server that is warming up, and the overload that makes it fail.

    A warming server fails if it is sent more than `overload_factor` times its present capacity for
    `overload_window_ms`.
    """

    initial_capacity_share: float = 0.2  # minimum share of its full capacity with which a server starts
    warm_up_ms: float = 20000.0  # maximum time from the start of a server until it is warm
    overload_factor: float = 2.0
    overload_window_ms: float = 1000.0


@dataclass(frozen=True, slots=True)
class Settings:
    """The settings of the policy, which do not change while it runs."""

    zone: str
    gateway_count: int
    classes: tuple[RequestClass, ...]
    plans: tuple[Plan, ...]
    slow_start: SlowStartSettings
    max_attempts: int = 3
    max_pending_requests: int = 20000  # unanswered requests that a gateway may hold
    max_customers: int = 20000  # customers that a gateway holds state for, some 1 KB each
    max_retry_after_ms: float = 1000.0  # upper bound; 0 if rejections must not carry a retry-after
    counter_enabled: bool = False  # whether there is a shared counter to call
    counter_timeout_ms: float = 50.0  # time after which a call to the shared counter fails
    watch_required: bool = False  # whether updates of the endpoint list come only after a watch request
    endpoint_weights_known: bool = False  # whether `Endpoint.weight` is the relative capacity of a server
    cross_zone_cost: float = 0.0  # cost of an attempt in another zone
    gateway_index: int = 0  # index of this gateway, from 0 to `gateway_count` - 1


@dataclass(frozen=True, slots=True)
class NetworkSettings:
    """The settings that only a gateway on sockets uses."""

    connect_timeout_ms: float  # timeout of a connection attempt to a server
    connection_idle_ms: float  # idle time after which servers close a connection
    drain_grace_ms: float  # time for which a server accepts requests after it is listed as draining
    max_request_units: float  # upper bound of the units of one request
    max_deadline_ms: float  # upper bound of deadlines, so that no request holds a slot for minutes


# Enum members by their names in the settings object.
IDEMPOTENCY_NAMES = {
    "read_like": Idempotency.IDEMPOTENT,
    "idempotency_key": Idempotency.KEYED,
    "non_idempotent": Idempotency.NON_IDEMPOTENT,
}
SCOPE_NAMES = {
    "all": DeduplicationScope.ALL,
    "zone": DeduplicationScope.ZONE,
    "cell": DeduplicationScope.CELL,
}

# Values of `NetworkSettings` for missing keys, from the simulator wire specification.
DEFAULT_CONNECT_TIMEOUT_MS = 250.0
DEFAULT_CONNECTION_IDLE_MS = 15_000.0
DEFAULT_DRAIN_GRACE_MS = 250.0
DEFAULT_MAX_REQUEST_UNITS = 1e6
DEFAULT_MAX_DEADLINE_MS = 60_000.0


def number_or(value: Any, default: float = 0.0) -> float:
    """Convert a JSON value to a number; null and booleans give the default.

    Raises ValueError or TypeError for a value that `float` does not accept.
    """
    return default if value is None or isinstance(value, bool) else float(value)


class _Section:
    """A JSON object of the settings, with its path for error messages."""

    def __init__(self, values: Mapping[str, Any], path: str = "") -> None:
        self.values = values
        self.path = path

    def key_path(self, key: str) -> str:
        """Return the path of a key of this object from the root of the settings."""
        return f"{self.path}.{key}" if self.path else key

    def text(self, key: str) -> str:
        """Return a value as text; a missing key or null gives the text "None"."""
        return str(self.values.get(key))

    def flag(self, key: str) -> bool:
        """Return whether a value is true in Python's sense, so that any text but an empty one is true."""
        return bool(self.values.get(key))

    def number(self, key: str, default: float = 0.0) -> float:
        """Return a number; a missing key, null and booleans give the default."""
        value = self.values.get(key)
        try:
            return number_or(value, default)
        except (TypeError, ValueError):
            raise SettingsError(self.key_path(key), f"not a number: {value!r}") from None

    def integer(self, key: str, default: float = 0.0) -> int:
        """Return a number without its fraction, with the same default values as `number`."""
        number = self.number(key, default)
        try:
            return int(number)
        except (ValueError, OverflowError):
            raise SettingsError(self.key_path(key), f"not a number: {number!r}") from None

    def section(self, key: str) -> _Section:
        """Return a nested object, or an empty one if the value is not an object."""
        value = self.values.get(key)
        return _Section(value if isinstance(value, dict) else {}, self.key_path(key))

    def rows(self, key: str) -> list[_Section]:
        """Return the objects of an array, without its other items; an empty list if the value is no array."""
        value = self.values.get(key)
        rows = value if isinstance(value, list) else []
        return [
            _Section(row, f"{self.key_path(key)}[{index}]")
            for index, row in enumerate(rows)
            if isinstance(row, dict)
        ]


def decode_settings(raw: Mapping[str, Any]) -> Settings:
    """Decode the settings of the policy.

    Missing keys get safe values, such as a single attempt and requests that must not be repeated.
    """
    settings = _Section(raw)
    limits = settings.section("limits")
    domain = settings.section("domain")
    retry_after_allowed = limits.flag("retry_after")
    return Settings(
        zone=settings.text("my_zone"),
        gateway_count=max(1, settings.integer("balancers", 1)),
        gateway_index=max(0, settings.integer("me")),
        classes=tuple(_decode_class(row) for row in settings.rows("profiles")),
        plans=tuple(_decode_plan(row) for row in settings.rows("packages")),
        slow_start=_decode_slow_start(settings.section("safety")),
        max_attempts=limits.integer("attempts_cap", 1),
        max_pending_requests=limits.integer("max_open", 20000),
        max_retry_after_ms=limits.number("max_retry_after_ms") if retry_after_allowed else 0.0,
        counter_enabled=domain.flag("counter"),
        counter_timeout_ms=domain.number("counter_timeout_ms", 50.0),
        watch_required=raw.get("membership_mode") == "subscribe",
        endpoint_weights_known=raw.get("weight_kind") in ("nominal", "rough"),
        cross_zone_cost=settings.section("prices").number("cross_zone"),
    )


def _decode_class(row: _Section) -> RequestClass:
    return RequestClass(
        name=row.text("name"),
        latency_objective_ms=row.number("aim_ms", row.number("hard_limit_ms", 1000.0)),
        priority_weight=row.number("importance", 1.0),
        idempotency=IDEMPOTENCY_NAMES.get(row.text("repeat"), Idempotency.NON_IDEMPOTENT),
        deduplication_scope=SCOPE_NAMES.get(row.text("group"), DeduplicationScope.CELL),
        deduplication_window_ms=row.number("memory_span_ms"),
        late_weight=row.number("late_worth"),
    )


def _decode_plan(row: _Section) -> Plan:
    return Plan(
        name=row.text("name"),
        price=row.number("price", 1.0),
        rate=row.number("per_second"),
        burst=row.number("most_at_once"),
        max_in_flight=row.integer("max_out"),
        hard_limit_rate=row.number("ceiling_rate"),
        hard_limit_burst=row.number("hard_burst"),
        hard_limit_slack=row.number("ceiling_slack"),
        over_quota_weight=row.number("excess_worth"),
        over_quota_cost=row.number("beyond_costs"),
    )


def _decode_slow_start(safety: _Section) -> SlowStartSettings:
    defaults = SlowStartSettings()
    return SlowStartSettings(
        initial_capacity_share=safety.number("cold_from", defaults.initial_capacity_share),
        warm_up_ms=safety.number("warm_after_ms", defaults.warm_up_ms),
        overload_factor=safety.number("overload_factor", defaults.overload_factor),
        overload_window_ms=safety.number("fall_ms", defaults.overload_window_ms),
    )


def decode_network_settings(raw: Mapping[str, Any]) -> NetworkSettings:
    """Decode the settings of the gateway on sockets.

    This is stricter than `decode_settings`: `domain` and every item of `profiles` must be objects.
    """
    settings = _Section(raw)
    domain = raw.get("domain") or {}
    if not isinstance(domain, dict):
        raise SettingsError("domain", f"expected an object, got {type(domain).__name__}")
    limits = settings.section("limits")
    max_units = _Section(domain, "domain").number("max_units")
    return NetworkSettings(
        connect_timeout_ms=limits.number("connect_timeout_ms", DEFAULT_CONNECT_TIMEOUT_MS),
        connection_idle_ms=limits.number("conn_idle_ms", DEFAULT_CONNECTION_IDLE_MS),
        drain_grace_ms=settings.section("safety").number("drain_grace_ms", DEFAULT_DRAIN_GRACE_MS),
        max_request_units=max_units or DEFAULT_MAX_REQUEST_UNITS,
        max_deadline_ms=_decode_max_deadline_ms(raw),
    )


def _decode_max_deadline_ms(raw: Mapping[str, Any]) -> float:
    """Return the longest hard limit on the duration of a request of any class.

    The default is returned unless every class has such a limit.
    """
    rows = raw.get("profiles")
    if not isinstance(rows, list):
        raise SettingsError("profiles", f"expected an array, got {type(rows).__name__}")
    hard_limits_ms = []
    for index, row in enumerate(rows):
        path = f"profiles[{index}]"
        if not isinstance(row, dict):
            raise SettingsError(path, f"expected an object, got {type(row).__name__}")
        hard_limits_ms.append(_Section(row, path).number("hard_limit_ms"))
    all_limited = hard_limits_ms and min(hard_limits_ms) > 0
    return max(hard_limits_ms) if all_limited else DEFAULT_MAX_DEADLINE_MS
