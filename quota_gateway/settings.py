"""The settings of one gateway, decoded once for every program that needs them.

The operators' pages name the keys of the settings object (WIRE, section 8); the mapping from those names to
this program's stands in `decode_settings` and nowhere else.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Any


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
    """What a gateway knows at start."""

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


def number_or(value: Any, default: float = 0.0) -> float:
    """Return a number, or the default where there is none."""
    return default if value is None or isinstance(value, bool) else float(value)


def decode_settings(raw: Mapping[str, Any]) -> Settings:
    """Decode the settings object; unknown keys are ignored, missing ones get the safest reading."""

    def section(key: str) -> dict[str, Any]:
        found = raw.get(key)
        return found if isinstance(found, dict) else {}

    def rows(key: str) -> list[dict[str, Any]]:
        found = raw.get(key)
        return [row for row in found if isinstance(row, dict)] if isinstance(found, list) else []

    limits, safety, domain, prices = (
        section("limits"),
        section("safety"),
        section("domain"),
        section("prices"),
    )
    classes = tuple(
        RequestClass(
            name=str(row.get("name")),
            latency_objective_ms=number_or(row.get("aim_ms"), number_or(row.get("hard_limit_ms"), 1000.0)),
            priority_weight=number_or(row.get("importance"), 1.0),
            idempotency=IDEMPOTENCY_NAMES.get(str(row.get("repeat")), Idempotency.NON_IDEMPOTENT),
            deduplication_scope=SCOPE_NAMES.get(str(row.get("group")), DeduplicationScope.CELL),
            deduplication_window_ms=number_or(row.get("memory_span_ms")),
            late_weight=number_or(row.get("late_worth")),
        )
        for row in rows("profiles")
    )
    plans = tuple(
        Plan(
            name=str(row.get("name")),
            price=number_or(row.get("price"), 1.0),
            rate=number_or(row.get("per_second")),
            burst=number_or(row.get("most_at_once")),
            max_in_flight=int(number_or(row.get("max_out"))),
            hard_limit_rate=number_or(row.get("ceiling_rate")),
            hard_limit_burst=number_or(row.get("hard_burst")),
            hard_limit_slack=number_or(row.get("ceiling_slack")),
            over_quota_weight=number_or(row.get("excess_worth")),
            over_quota_cost=number_or(row.get("beyond_costs")),
        )
        for row in rows("packages")
    )
    defaults = SlowStartSettings()
    slow_start = SlowStartSettings(
        initial_capacity_share=number_or(safety.get("cold_from"), defaults.initial_capacity_share),
        warm_up_ms=number_or(safety.get("warm_after_ms"), defaults.warm_up_ms),
        overload_factor=number_or(safety.get("overload_factor"), defaults.overload_factor),
        overload_window_ms=number_or(safety.get("fall_ms"), defaults.overload_window_ms),
    )
    retry_after_allowed = bool(limits.get("retry_after"))
    return Settings(
        zone=str(raw.get("my_zone")),
        gateway_count=max(1, int(number_or(raw.get("balancers"), 1))),
        gateway_index=max(0, int(number_or(raw.get("me"), 0))),
        classes=classes,
        plans=plans,
        slow_start=slow_start,
        max_attempts=int(number_or(limits.get("attempts_cap"), 1)),
        max_pending_requests=int(number_or(limits.get("max_open"), 20000)),
        max_retry_after_ms=number_or(limits.get("max_retry_after_ms")) if retry_after_allowed else 0.0,
        counter_enabled=bool(domain.get("counter")),
        counter_timeout_ms=number_or(domain.get("counter_timeout_ms"), 50.0),
        watch_required=raw.get("membership_mode") == "subscribe",
        endpoint_weights_known=raw.get("weight_kind") in ("nominal", "rough"),
        cross_zone_cost=number_or(prices.get("cross_zone")),
    )
