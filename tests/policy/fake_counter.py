"""A shared counter for tests: a total for each key, which expires after its time to live."""

from __future__ import annotations

from dataclasses import dataclass, field

from quota_gateway.policy_api.actions import IncrementCounter
from quota_gateway.policy_api.events import CallOutcome, CounterReply

MIN_USAGE_TTL_MS = 10_000.0  # minimum time to live of usage keys; lease keys have a shorter one


@dataclass
class Total:
    """The total of one key."""

    units: float
    expires_ms: float


@dataclass
class FakeCounter:
    """A counter for one or more gateways. Tests may change `outcome` and `remote_units` at any time."""

    outcome: CallOutcome = CallOutcome.OK  # outcome of every call
    remote_units: float = 0.0  # usage that gateways outside the test add with each usage call
    totals: dict[int, Total] = field(default_factory=dict)  # keys are counter keys

    def increment(self, now_ms: float, call: IncrementCounter, duration_ms: float = 0.0) -> CounterReply:
        """Return the reply to a call. A call adds its amount only if `outcome` is OK."""
        total = self.totals.get(call.key)
        if self.outcome is CallOutcome.OK:
            if total is None or total.expires_ms <= now_ms:
                total = self.totals[call.key] = Total(0.0, now_ms + call.ttl_ms)
            total.units += call.amount + (self.remote_units if holds_usage(call) else 0.0)
        return CounterReply(call.key, total.units if total else 0.0, self.outcome, duration_ms)

    def flush(self) -> None:
        """Delete all totals, as a restart of the counter does."""
        self.totals.clear()


def holds_usage(call: IncrementCounter) -> bool:
    """Whether a call reports usage, rather than requesting a correction lease."""
    return call.ttl_ms >= MIN_USAGE_TTL_MS
