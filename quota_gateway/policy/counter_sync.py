"""Synchronisation with the shared counter, by which the gateways know of each other's usage.

Each gateway adds what it admits for a customer to the counter key of the customer's accounting window. The
total in the reply tells of the others: its rise is their usage, and compared with what has refilled the token
bucket since the window began, it gives the bucket's level. It drifts from that, as what a full bucket does
not take up and what is admitted beyond an empty one is not in it; a gateway with a lease corrects the drift.
"""

import math
import random
from collections import deque

from quota_gateway.policy.counter_health import CounterHealth
from quota_gateway.policy.hash_ring import stable_hash
from quota_gateway.policy.quota import CUSTOMER_IDLE_MS, DEMAND_WINDOW_S, QuotaAdmission
from quota_gateway.policy_api.actions import Action, IncrementCounter
from quota_gateway.policy_api.events import CallOutcome, CounterReply, Request
from quota_gateway.policy_state.customers import Customer, LeaseCall, ReplyResult, UsageCall
from quota_gateway.settings import Settings

URGENT_INTERVAL_MS = 100.0  # least time between two calls for one customer
CALL_INTERVAL_MS, CALM_INTERVAL_MS = 1000.0, 2000.0  # while its bucket is far from empty, over half full
UNSURE_SHARE = 0.5  # of what is available: usage of all gateways from which a bucket may soon be empty
INITIAL_LEVEL = 0.5  # of the burst: a bucket's level when its window begins, as not all gateways know it
DRIFT_TOLERANCE = 0.25  # of the burst: how far a total may lag behind a full bucket uncorrected
LEASE_TIMEOUTS = 4.0  # counter time-outs that a lease lives for, until the correction has reached all
TOTAL_TOLERANCE = 0.5  # units by which a total may differ from its parts, as amounts are rounded
RISE_EXTRA_S = 0.1  # added to the time of a rise, so that two replies in one moment make no huge usage
USAGE_MEMORY = 0.85  # weight of older usage at each reply: a customer's busiest gateways change


class CounterSync:
    """Reports usage to the counter, and sets the customers' buckets by its totals."""

    def __init__(self, settings: Settings, rng: random.Random, quota: QuotaAdmission) -> None:
        self.rng = rng
        self.health = CounterHealth(settings)
        self._settings = settings
        self._quota = quota
        self.unreported: dict[str, Customer] = {}  # by key: customers with usage to report
        self._pending_calls: dict[int, deque[UsageCall | LeaseCall]] = {}  # by counter key, oldest first

    def refresh(self, now_ms: float, customer: Customer) -> None:
        """Bring a customer's accounting window and buckets up to date."""
        length_ms, offset = customer.window_length_ms, customer.window_offset
        # Rounded first: every moment of a window gives the same start, to the last bit.
        start_ms = (math.floor(now_ms / length_ms + offset) - offset) * length_ms
        if start_ms > customer.window_start_ms:
            self._start_window(start_ms, customer)
        self._quota.refill(now_ms, customer, self.health.available)

    def needs_reply(self, now_ms: float, customer: Customer, units: float) -> bool:
        """Whether a request needs a counter reply: the other gateways may have used what is left."""
        available = self._quota.available(customer)
        if not self.health.available or available == math.inf or customer.pending_calls:
            return False
        called_lately = now_ms - customer.called_at_ms < URGENT_INTERVAL_MS / self.health.call_share
        empty = customer.plan.rate and customer.max_bucket_level < units  # whatever the others did
        usage = (max(0.0, customer.unreported_usage) + units) * customer.gateway_count
        return not called_lately and not empty and usage >= UNSURE_SHARE * available

    def request_reply(self, now_ms: float, customer: Customer, request: Request) -> list[Action]:
        """Call for the reply that a request needs; of a crowd a share call, each for the others like it."""
        share = self.health.call_share
        if self.rng.random() > share:
            return []
        return [self._report(now_ms, UsageCall(customer, request.units / share, request.request_id))]

    def refund(self, now_ms: float, customer: Customer, units: float) -> list[Action]:
        """Take a rejected request, which its call reported, off the total; at once, as it may be the last."""
        self.refresh(now_ms, customer)
        customer.unreported_usage -= units / self.health.call_share
        return [self._report(now_ms, UsageCall(customer))] if self.health.available else []

    def record_usage(self, customer: Customer, units: float) -> None:
        """Record admitted units that no call has reported."""
        if self._settings.counter_enabled:
            customer.unreported_usage += units
            self.unreported[customer.key] = customer

    def report_usage(self, now_ms: float, customer: Customer) -> list[Action]:
        """Report a customer's usage if that is due, the sooner the emptier its bucket is."""
        self.refresh(now_ms, customer)
        if customer.unreported_usage <= 0:
            self.unreported.pop(customer.key, None)
        if customer.pending_calls or customer.unreported_usage <= 0:
            return []

        usage = customer.unreported_usage * customer.gateway_count  # if the others use as much
        urgent = usage >= UNSURE_SHARE * self._quota.available(customer)
        calm = customer.bucket_level - usage > 0.5 * customer.plan.burst > 0
        interval_ms = URGENT_INTERVAL_MS if urgent else CALM_INTERVAL_MS if calm else CALL_INTERVAL_MS
        due = now_ms - customer.called_at_ms >= interval_ms / self.health.call_share
        if not self.health.available:
            due = now_ms >= self.health.next_probe_ms
        return [self._report(now_ms, UsageCall(customer))] if due else []

    def on_reply(self, now_ms: float, reply: CounterReply) -> ReplyResult:
        """Take in the reply to the oldest pending call of its key; a reply to no call changes nothing."""
        if not (calls := self._pending_calls.get(reply.key)):
            return ReplyResult()
        call = calls.popleft()
        if not calls:
            del self._pending_calls[reply.key]
        customer = call.customer
        self.refresh(now_ms, customer)

        current = call.window_start_ms == customer.window_start_ms
        if isinstance(call, LeaseCall):
            return ReplyResult(actions=self._on_lease_reply(now_ms, call, reply) if current else [])
        if current:
            customer.pending_calls -= 1
            customer.in_flight_usage -= call.amount - call.requested
        if reply.outcome is CallOutcome.OK:
            self.health.record_reply(reply.duration_ms)
            return ReplyResult(call.request_id, self._reconcile(now_ms, call, reply.total) if current else [])

        self.health.record_failure()
        if current and reply.outcome is CallOutcome.TIMEOUT:
            customer.reported_usage += call.amount  # perhaps it was added; adding it twice would be worse
        elif current:
            customer.unreported_usage += call.amount - call.requested - call.correction
        return ReplyResult(call.request_id)

    def _start_window(self, start_ms: float, customer: Customer) -> None:
        """Start an accounting window with a key of its own, so that totals tell all usage since its start."""
        self._quota.refill(start_ms, customer, self.health.available)
        customer.window_start_ms = start_ms
        customer.counter_key = stable_hash(f"{customer.key}/{start_ms:.0f}")
        customer.counter_total = customer.reported_usage = customer.in_flight_usage = 0.0
        customer.max_bucket_level = customer.plan.burst
        customer.unreported_usage = max(0.0, customer.unreported_usage)
        customer.pending_calls, customer.lease_requested = 0, False

    def _report(self, now_ms: float, call: UsageCall) -> IncrementCounter:
        """Send a call; it reports all unreported usage too."""
        customer = call.customer
        call.window_start_ms = customer.window_start_ms
        call.amount = round(customer.unreported_usage + call.requested + call.correction, 3)  # as on the wire
        self._pending_calls.setdefault(customer.counter_key, deque()).append(call)
        customer.in_flight_usage += call.amount - call.requested
        customer.unreported_usage, customer.called_at_ms = 0.0, now_ms
        customer.pending_calls += 1
        self.health.record_call(now_ms)
        return IncrementCounter(customer.counter_key, call.amount, CUSTOMER_IDLE_MS)

    def _reconcile(self, now_ms: float, call: UsageCall, total: float) -> list[Action]:
        """Learn the remote usage from the rise of the total, and the bucket's level from the total."""
        customer = call.customer
        customer.reported_usage += call.amount - call.correction
        rise = total - customer.counter_total - call.correction - customer.reported_usage
        lost = rise < -TOTAL_TOLERANCE  # the counter lost its total, usage did not fall: what is known stands
        if not lost:
            since_ms = max(customer.replied_at_ms, customer.window_start_ms)
            elapsed_s = max(now_ms - since_ms, 1.0) / 1000.0 + RISE_EXTRA_S
            usage = _remote_usage(now_ms, call, max(rise, 0.0), elapsed_s)
            local_usage = max(0.0, customer.reported_usage)
            customer.recent_local_usage = USAGE_MEMORY * customer.recent_local_usage + local_usage
            customer.recent_total_usage = USAGE_MEMORY * customer.recent_total_usage + local_usage + usage
            age_s = max(now_ms - customer.replied_at_ms, 1.0) / 1000.0
            weight = 1.0 - math.exp(-age_s / DEMAND_WINDOW_S)
            customer.remote_usage += (usage / elapsed_s - customer.remote_usage) * weight
        customer.counter_total, customer.replied_at_ms, customer.reported_usage = total, now_ms, 0.0
        return self._set_level(now_ms, call, total, lost) if customer.plan.rate else []

    def _set_level(self, now_ms: float, call: UsageCall, total: float, lost: bool) -> list[Action]:
        """Set the bucket's level by the total; call for the correction lease where the total has drifted."""
        customer, burst = call.customer, call.customer.plan.burst
        refilled = customer.plan.rate * (now_ms - customer.window_start_ms) / 1000.0
        counted = total + INITIAL_LEVEL * burst - refilled - call.requested  # spent, by the total ...
        counted = counted + customer.in_flight_usage + customer.unreported_usage  # ... and what it lacks
        # A total that lags does not tell that nothing was spent: what this gateway itself has admitted since
        # the last reply, less the refill, is spent in any case.
        spent = min(burst, max(counted, burst - customer.max_bucket_level))
        if lost:
            spent = burst - customer.bucket_level
        customer.bucket_level = customer.max_bucket_level = burst - spent

        drift = spent - counted
        # Many customers come only once, and no second call is made for them.
        lags = total > call.amount + TOTAL_TOLERANCE and drift > DRIFT_TOLERANCE * burst
        # A total beyond an empty bucket includes requests of the others that are about to be rejected and
        # refunded, at times large ones. So only a large excess is a drift.
        exceeds = drift < -burst
        if customer.lease_requested or not (lags or exceeds):
            return []
        return [self._request_lease(customer, drift)]

    def _request_lease(self, customer: Customer, correction: float) -> IncrementCounter:
        key = stable_hash(f"{customer.key}/{customer.window_start_ms:.0f}/mend")  # as all versions form it
        call = LeaseCall(customer, customer.window_start_ms, correction)
        self._pending_calls.setdefault(key, deque()).append(call)
        customer.lease_requested = True
        return IncrementCounter(key, 1.0, LEASE_TIMEOUTS * self._settings.counter_timeout_ms)

    def _on_lease_reply(self, now_ms: float, call: LeaseCall, reply: CounterReply) -> list[Action]:
        """Correct the total if the lease was granted; the drift still holds, only usage was added since."""
        call.customer.lease_requested = False
        if reply.outcome is not CallOutcome.OK or reply.total >= 1.5:
            return []
        return [self._report(now_ms, UsageCall(call.customer, correction=call.correction))]


def _remote_usage(now_ms: float, call: UsageCall, rise: float, elapsed_s: float) -> float:
    """Return how many units of a rise the other gateways have used.

    Where the total lagged so far behind a full bucket that one of them may have corrected it, the lag counts
    for usage only as far as their last known usage or the quota accounts for it.
    """
    customer, plan = call.customer, call.customer.plan
    refilled = plan.rate * (now_ms - customer.window_start_ms) / 1000.0
    full = refilled - INITIAL_LEVEL * plan.burst  # the total of a full bucket
    lag = full - customer.counter_total - call.correction - customer.reported_usage
    if not plan.rate or lag <= DRIFT_TOLERANCE * plan.burst:
        return rise
    return min(rise, max(customer.remote_usage * elapsed_s, plan.rate * elapsed_s, rise - lag))
