"""The settings of one gateway, decoded once for every program that needs them.

The operators' pages name the keys of the settings object (WIRE, section 8); the mapping from those names to
this program's stands in this module and nowhere else. `decode_settings` gives what the policy decides by;
`decode_network_settings` gives the bounds that the gateway on sockets keeps besides. Unknown keys are
ignored, missing ones and null get defaults, and a value of the wrong type raises `SettingsError`, which names
its key.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Any


class SettingsError(ValueError):
    """A settings object that can't be used; `key` is the path of the offending value."""

    def __init__(self, key: str, problem: str) -> None:
        super().__init__(f"{key}: {problem}")
        self.key = key
        self.problem = problem


class Idempotency(Enum):
    """Whether a request may be carried out more than once."""

    IDEMPOTENT = "idempotent"
    KEYED = "keyed"  # servers deduplicate by idempotency key
    NON_IDEMPOTENT = "non_idempotent"


class DeduplicationScope(Enum):
    """Which servers drop repeats of one keyed request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


@dataclass(frozen=True, slots=True)
class RequestClass:
    """One class of requests."""

    name: str
    latency_objective_ms: float  # an answer within this time earns the full weight
    priority_weight: float
    idempotency: Idempotency
    deduplication_scope: DeduplicationScope = DeduplicationScope.ALL  # keyed only
    deduplication_window_ms: float = 0.0  # keyed only: how long servers remember a key
    late_weight: float = 0.0  # share of the weight that a later answer earns


@dataclass(frozen=True, slots=True)
class Plan:
    """One plan; its quotas hold for each customer over all gateways together. 0 means no such limit."""

    name: str
    price: float = 1.0
    rate: float = 0.0  # units a second
    burst: float = 0.0  # units that the customer's token bucket holds at most
    max_in_flight: int = 0  # attempts in flight at once
    hard_limit_rate: float = 0.0  # units a second
    hard_limit_burst: float = 0.0  # units
    hard_limit_slack: float = 0.0  # units
    over_quota_weight: float = 0.0  # share of its weight that a request beyond the quota earns
    over_quota_cost: float = 0.0  # share of its weight that one costs


@dataclass(frozen=True, slots=True)
class SlowStartSettings:
    """The capacity of a server that is warming up, and the overload that makes it fail."""

    initial_capacity_share: float = 0.2  # least share of its capacity that a server starts with
    warm_up_ms: float = 20000.0  # it is warm after this time at most
    overload_factor: float = 2.0  # sent more than this many times its present capacity ...
    overload_window_ms: float = 1000.0  # ... for this long, a server that is warming up fails


@dataclass(frozen=True, slots=True)
class Settings:
    """The settings that the policy decides by, fixed at the start."""

    zone: str
    gateway_count: int
    classes: tuple[RequestClass, ...]
    plans: tuple[Plan, ...]
    slow_start: SlowStartSettings
    max_attempts: int = 3
    max_pending_requests: int = 20000  # requests a gateway may hold at once
    max_retry_after_ms: float = 1000.0  # 0: none may be given
    counter_enabled: bool = False  # a shared counter may be called
    counter_timeout_ms: float = 50.0  # a call to it is given up after this
    watch_required: bool = False  # updates to the endpoint list come only when asked for
    endpoint_weights_known: bool = False  # `Endpoint.weight` says how large a server is
    cross_zone_cost: float = 0.0
    gateway_index: int = 0  # of this gateway among them, from 0


@dataclass(frozen=True, slots=True)
class NetworkSettings:
    """The settings that only a gateway on sockets needs."""

    connect_timeout_ms: float  # to a server
    connection_idle_ms: float  # servers close a connection that has been idle for this long
    drain_grace_ms: float  # a draining server takes requests for this long after it was listed so
    max_request_units: float
    max_deadline_ms: float  # longer deadlines are cut to this, so that none holds a slot for minutes


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


# Defaults of `NetworkSettings`, for keys that the settings leave out (WIRE, section 8).
DEFAULT_CONNECT_TIMEOUT_MS = 250.0
DEFAULT_CONNECTION_IDLE_MS = 15_000.0
DEFAULT_DRAIN_GRACE_MS = 250.0
DEFAULT_MAX_REQUEST_UNITS = 1e6
DEFAULT_MAX_DEADLINE_MS = 60_000.0


def number_or(value: Any, default: float = 0.0) -> float:
    """Return a number, or the default for null and booleans; ValueError or TypeError for anything else."""
    return default if value is None or isinstance(value, bool) else float(value)


class _Section:
    """One object of the settings, read key by key."""

    def __init__(self, values: Mapping[str, Any], path: str = "") -> None:
        self.values = values
        self.path = path

    def key_path(self, key: str) -> str:
        return f"{self.path}.{key}" if self.path else key

    def text(self, key: str) -> str:
        return str(self.values.get(key))

    def flag(self, key: str) -> bool:
        return bool(self.values.get(key))

    def number(self, key: str, default: float = 0.0) -> float:
        value = self.values.get(key)
        try:
            return number_or(value, default)
        except (TypeError, ValueError):
            raise SettingsError(self.key_path(key), f"not a number: {value!r}") from None

    def integer(self, key: str, default: float = 0.0) -> int:
        number = self.number(key, default)
        try:
            return int(number)
        except ValueError:
            raise SettingsError(self.key_path(key), f"not a number: {number!r}") from None

    def section(self, key: str) -> _Section:
        """Return a nested object; an empty one where the value is none."""
        value = self.values.get(key)
        return _Section(value if isinstance(value, dict) else {}, self.key_path(key))

    def rows(self, key: str) -> list[_Section]:
        """Return the objects of an array, passing over anything else."""
        value = self.values.get(key)
        rows = value if isinstance(value, list) else []
        return [
            _Section(row, f"{self.key_path(key)}[{index}]")
            for index, row in enumerate(rows)
            if isinstance(row, dict)
        ]


def decode_settings(raw: Mapping[str, Any]) -> Settings:
    """Decode what the policy decides by; missing keys get the safest reading."""
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

    Stricter than `decode_settings`: every item of `profiles` has to be an object, and so has `domain`.
    """
    settings = _Section(raw)
    domain = raw.get("domain") or {}
    if not isinstance(domain, dict):
        raise SettingsError("domain", "not an object")
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
    """Return the longest hard limit of the classes, or the default unless all of them have one."""
    rows = raw.get("profiles")
    if not isinstance(rows, list):
        raise SettingsError("profiles", "not an array")
    deadlines = []
    for index, row in enumerate(rows):
        path = f"profiles[{index}]"
        if not isinstance(row, dict):
            raise SettingsError(path, "not an object")
        deadlines.append(_Section(row, path).number("hard_limit_ms"))
    return max(deadlines) if deadlines and min(deadlines) > 0 else DEFAULT_MAX_DEADLINE_MS
