"""The deployment of the demo and the load test, and the part of its settings that clients need.

The simulator wire specification defines the keys of the settings. The quotas are small enough for rejections
to appear within seconds, and the servers can serve all requests that the quotas admit.
"""

from __future__ import annotations

from typing import Any

import msgspec

from quota_gateway.settings import IDEMPOTENCY_NAMES, Idempotency

GATEWAY_LIMITS = {"cores": 1.0, "memory_mb": 192, "sockets": 1024}


class QuotaPlan(msgspec.Struct, frozen=True):
    """One plan (`packages`). Its quota applies to each customer, over all gateways together."""

    name: str
    rate: float = msgspec.field(name="per_second", default=0.0)  # units/s; 0 means no quota
    burst: float = msgspec.field(name="most_at_once", default=0.0)  # capacity of the token bucket, in units


class ClientRequestClass(msgspec.Struct, frozen=True):
    """One class of requests (`profiles`), reduced to what clients need."""

    name: str
    repeat: str  # a key of `IDEMPOTENCY_NAMES`; any other value counts as non-idempotent
    deadline_ms: float = msgspec.field(name="hard_limit_ms")  # longest time from sending to the reply

    @property
    def idempotency(self) -> Idempotency:
        """Whether a request of this class may run more than once."""
        return IDEMPOTENCY_NAMES.get(self.repeat, Idempotency.NON_IDEMPOTENT)


class Deployment(msgspec.Struct, frozen=True):
    """The part of the settings that clients need; all other keys are ignored."""

    plans: list[QuotaPlan] = msgspec.field(name="packages")
    request_classes: list[ClientRequestClass] = msgspec.field(name="profiles")
    gateway_count: int = msgspec.field(name="balancers", default=1)


def decode_deployment(settings: dict[str, Any]) -> Deployment:
    """Decode the part of the settings that clients need.

    Raises:
        ValueError: a key is missing or has a wrong type, or there is no plan, no request class or no gateway.
    """
    # msgspec's ValidationError is a ValueError whose message names the key.
    deployment = msgspec.convert(settings, Deployment)
    if not deployment.plans or not deployment.request_classes or deployment.gateway_count < 1:
        raise ValueError(
            "the settings must have at least one plan (packages), one request class (profiles)"
            " and one gateway (balancers)"
        )
    return deployment


def gateway_settings(gateway_count: int, gateway_index: int = 0) -> dict[str, Any]:
    """Return the settings of one of `gateway_count` gateways, as written to its configuration file."""
    return {
        "areas": ["a"],
        "balancers": gateway_count,
        "client_habits": {"marks_retry": False},
        "domain": {"counter": True, "counter_timeout_ms": 80.0, "max_units": 8},
        "limits": {
            "attempts_cap": 4,
            "retry_after": True,
            "max_retry_after_ms": 500.0,
            "max_open": 20000,
            "conn_idle_ms": 15000.0,
            "connect_timeout_ms": 250.0,
            "max_streams": 100,
        },
        "me": gateway_index,
        "membership_mode": "automatic",
        "my_zone": "a",
        "packages": [
            _plan("basic", 2.0, 4.0, 0.6),
            _plan("team", 4.0, 8.0, 1.0),
            _plan("agency", 8.0, 12.0, 1.4),
        ],
        "profiles": [
            _request_class("lookup", "read_like"),
            _request_class("report", "idempotency_key", group="all", memory_span_ms=5000.0),
            _request_class("order", "non_idempotent"),
        ],
        "reporting": {"fields": [], "how": "silent"},
        "safety": {
            "answer_slack_ms": 8.0,
            "cold_from": 0.25,
            "drain_grace_ms": 250.0,
            "fall_ms": 3000.0,
            "overload_factor": 3.0,
            "warm_after_ms": 18000.0,
        },
        "weight_kind": "silent",
    }


def _plan(name: str, rate: float, burst: float, price: float) -> dict[str, Any]:
    return {
        "name": name,
        "per_second": rate,
        "most_at_once": burst,
        "price": price,
        "beyond_costs": 0.6,
    }


def _request_class(name: str, repeat: str, **deduplication: Any) -> dict[str, Any]:
    return {
        "name": name,
        "repeat": repeat,
        "aim_ms": 500.0,
        "hard_limit_ms": 2000.0,
        "importance": 1.0,
        **deduplication,
    }
