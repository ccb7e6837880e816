"""A shared counter for tests: totals by key, each forgotten when its time to live is over."""

from __future__ import annotations

from dataclasses import dataclass, field

from quota_gateway.policy_api.actions import IncrementCounter
from quota_gateway.policy_api.events import CallOutcome, CounterReply

USAGE_TTL_MS = 10_000.0  # keys that live for at least this long hold usage; the others are leases


@dataclass
class Total:
    """The total under one key."""

    units: float
    expires_ms: float


@dataclass
class FakeCounter:
    """The counter that one gateway or several call; how its calls end may be changed at any time."""

    outcome: CallOutcome = CallOutcome.OK
    remote_units: float = 0.0  # usage that gateways outside the test add before each reply
    totals: dict[int, Total] = field(default_factory=dict)

    def increment(self, now_ms: float, call: IncrementCounter, duration_ms: float = 0.0) -> CounterReply:
        """Carry out a call; one that fails adds nothing."""
        total = self.totals.get(call.key)
        if self.outcome is CallOutcome.OK:
            if total is None or total.expires_ms <= now_ms:
                total = self.totals[call.key] = Total(0.0, now_ms + call.ttl_ms)
            total.units += call.amount + (self.remote_units if holds_usage(call) else 0.0)
        return CounterReply(call.key, total.units if total else 0.0, self.outcome, duration_ms)

    def flush(self) -> None:
        """Lose all totals."""
        self.totals.clear()


def holds_usage(call: IncrementCounter) -> bool:
    """Whether a call reports usage, and does not ask for a correction lease."""
    return call.ttl_ms >= USAGE_TTL_MS
