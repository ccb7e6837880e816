"""The site that the demo and the load run on: its settings, and the part of any settings that a load reads.

The keys are those of WIRE, section 8. The figures are this project's own: quotas small enough for refusals to
show within seconds, and servers that bear what the quotas let through.
"""

from __future__ import annotations

from typing import Any

import msgspec


class Plan(msgspec.Struct, frozen=True):
    """One entry of `packages`: its quota, which holds for each customer over all gateways together."""

    name: str
    per_second: float = 0.0  # units a second; 0: no quota
    most_at_once: float = 0.0  # units


class RequestClass(msgspec.Struct, frozen=True):
    """One entry of `profiles`."""

    name: str
    repeat: str  # read_like, idempotency_key or non_idempotent
    hard_limit_ms: float  # the client's wait


class Site(msgspec.Struct, frozen=True):
    """What a load needs of the settings; all other keys are passed over."""

    packages: list[Plan]
    profiles: list[RequestClass]
    balancers: int = 1


def read(settings: dict[str, Any]) -> Site:
    """The load's part of the settings. Raises ValueError, with the key, where they can't be used."""
    site: Site = msgspec.convert(settings, Site)  # its ValidationError is a ValueError
    if not site.packages or not site.profiles or site.balancers < 1:
        raise ValueError("the settings name no plan, no class or no gateway")
    return site


def settings(gateways: int, number: int = 0) -> dict[str, Any]:
    """The settings of gateway `number` of `gateways`."""
    return {
        "areas": ["a"],
        "balancers": gateways,
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
        "me": number,
        "membership_mode": "automatic",
        "my_zone": "a",
        "packages": [
            _plan("basic", 2.0, 4.0, 0.6),
            _plan("team", 4.0, 8.0, 1.0),
            _plan("agency", 8.0, 12.0, 1.4),
        ],
        "profiles": [
            _class("lookup", "read_like"),
            _class("report", "idempotency_key", group="all", memory_span_ms=5000.0),
            _class("order", "non_idempotent"),
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


def _plan(name: str, per_second: float, most_at_once: float, price: float) -> dict[str, Any]:
    return {
        "name": name,
        "per_second": per_second,
        "most_at_once": most_at_once,
        "price": price,
        "beyond_costs": 0.6,
    }


def _class(name: str, repeat: str, **more: Any) -> dict[str, Any]:
    return {
        "name": name,
        "repeat": repeat,
        "aim_ms": 500.0,
        "hard_limit_ms": 2000.0,
        "importance": 1.0,
        **more,
    }
