"""Synchronisation with the shared counter, through which the gateways learn of each other's usage.

Each gateway adds what it admits for a customer to one counter key per accounting window of that customer.
The reply carries the total of all gateways. Its rise since the last reply, less what this gateway reported,
is the remote usage. The total and the units refilled since the start of the window give the level of the
token bucket.

That level drifts, as a bucket stops at its limits and the total does not: a full bucket discards its refill,
and more may be admitted than an empty bucket holds. A gateway that is granted a lease corrects the drift.
"""

import itertools
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

# Intervals between two calls for one customer, by the state of its token bucket.
URGENT_INTERVAL_MS = 100.0  # it may soon be empty
CALL_INTERVAL_MS = 1000.0  # it is neither nearly empty nor more than half full
CALM_INTERVAL_MS = 2000.0  # it is more than half full
# Share of the available quota. If the unreported usage of all gateways may exceed it, a call is urgent.
URGENT_USAGE_SHARE = 0.5

# Customers with unreported usage that one tick looks at. It bounds the time that a tick takes.
MAX_CUSTOMERS_PER_TICK = 1000

# Share of the burst that is taken to be missing from a bucket when its accounting window begins. It is a
# constant because not all gateways know the level, and all must start from the same one.
INITIAL_DEFICIT_SHARE = 0.5
# Share of the burst by which a total may lag behind that of a full bucket without being corrected.
DRIFT_TOLERANCE_SHARE = 0.25
# Time to live of a correction lease, in counter timeouts. The correction has reached all gateways by then.
LEASE_TTL_TIMEOUTS = 4.0
TOTAL_TOLERANCE_UNITS = 0.5  # tolerance when a total is compared with its parts, whose amounts are rounded
# Time added to the interval over which a total rose. Without it, two replies at nearly the same moment
# would give a huge usage rate.
RISE_INTERVAL_PADDING_S = 0.1
# Weight of the older usage at each reply. Older usage fades because customers move between gateways.
OLDER_USAGE_WEIGHT = 0.85


class CounterSync:
    """Reports usage to the shared counter, and sets the customers' buckets from the totals in its replies."""

    def __init__(self, settings: Settings, rng: random.Random, quota: QuotaAdmission) -> None:
        self.rng = rng
        self.health = CounterHealth(settings)
        self._settings = settings
        self._quota = quota
        self.unreported: dict[str, Customer] = {}  # customers with usage to report; keys are customer keys
        # Pending calls, oldest first. Keys are counter keys.
        self._pending_calls: dict[int, deque[UsageCall | LeaseCall]] = {}

    def refresh(self, now_ms: float, customer: Customer) -> None:
        """Bring a customer's accounting window and buckets up to date."""
        length_ms = customer.window_length_ms
        offset = customer.window_offset
        # Rounding down before the offset is subtracted gives the same start, to the last bit, at every moment
        # of a window. A start that differs in its last bits would seem to begin a new window.
        start_ms = (math.floor(now_ms / length_ms + offset) - offset) * length_ms
        if start_ms > customer.window_start_ms:
            self._start_window(start_ms, customer)
        self._quota.refill(now_ms, customer, self.health.available)

    def needs_reply(self, now_ms: float, customer: Customer, units: float) -> bool:
        """Whether a request must wait for a counter reply, as other gateways may have used up the quota."""
        available = self._quota.available(customer)
        if not self.health.available or available == math.inf or customer.pending_calls:
            return False
        called_recently = now_ms - customer.called_at_ms < URGENT_INTERVAL_MS / self.health.call_share
        # The upper bound of the level is too low, so that no reply could admit the request.
        surely_empty = customer.plan.rate and customer.max_bucket_level < units
        # An estimate for all gateways, as if each had as much unreported usage as this one.
        possible_usage = (max(0.0, customer.unreported_usage) + units) * customer.gateway_count
        is_urgent = possible_usage >= URGENT_USAGE_SHARE * available
        return not called_recently and not surely_empty and is_urgent

    def request_reply(self, now_ms: float, customer: Customer, request: Request) -> list[Action]:
        """Return the counter call for a request that needs a reply, or no action if calls are throttled.

        While calls are throttled, a random share of the requests makes calls. Each of these calls also
        reports the units of the requests that make none, by scaling its own units up.
        """
        share = self.health.call_share
        if self.rng.random() > share:
            return []
        return [self._report(now_ms, UsageCall(customer, request.units / share, request.request_id))]

    def refund(self, now_ms: float, customer: Customer, units: float) -> list[Action]:
        """Subtract a request that gets no attempt from the total, to which its call has added it.

        It was rejected, or its client left before the reply. The refund is reported at once, because there
        may be no later request whose call could carry it.
        """
        self.refresh(now_ms, customer)
        customer.unreported_usage -= units / self.health.call_share
        return [self._report(now_ms, UsageCall(customer))] if self.health.available else []

    def record_usage(self, customer: Customer, units: float) -> None:
        """Record admitted units that no call has reported."""
        if self._settings.counter_enabled:
            customer.unreported_usage += units
            self.unreported[customer.key] = customer

    def report_usage(self, now_ms: float, customer: Customer) -> list[Action]:
        """Report a customer's usage if its call interval is over. It is shorter for an emptier bucket."""
        self.refresh(now_ms, customer)
        if customer.unreported_usage <= 0:
            self.unreported.pop(customer.key, None)
        if customer.pending_calls or customer.unreported_usage <= 0:
            return []

        # An estimate for all gateways, as if each had as much unreported usage as this one.
        possible_usage = customer.unreported_usage * customer.gateway_count
        urgent = possible_usage >= URGENT_USAGE_SHARE * self._quota.available(customer)
        calm = customer.bucket_level - possible_usage > 0.5 * customer.plan.burst > 0
        interval_ms = URGENT_INTERVAL_MS if urgent else CALM_INTERVAL_MS if calm else CALL_INTERVAL_MS
        may_call = now_ms - customer.called_at_ms >= interval_ms / self.health.call_share
        if not self.health.available:
            may_call = now_ms >= self.health.next_probe_ms
        return [self._report(now_ms, UsageCall(customer))] if may_call else []

    def report_due_usage(self, now_ms: float) -> list[Action]:
        """Report the usage of the customers whose call interval is over.

        If there are more than `MAX_CUSTOMERS_PER_TICK` customers, each call looks at those that have not been
        looked at for the longest.
        """
        actions = []
        for customer in list(itertools.islice(self.unreported.values(), MAX_CUSTOMERS_PER_TICK)):
            self.unreported[customer.key] = self.unreported.pop(customer.key)  # moves to the end
            actions += self.report_usage(now_ms, customer)
        return actions

    def on_reply(self, now_ms: float, reply: CounterReply) -> ReplyResult:
        """Process the reply to the oldest pending call of its key.

        A reply without a pending call is ignored. A reply to a call of an earlier accounting window updates
        neither the usage nor the buckets, but still releases the request that waits for it.
        """
        if not (calls := self._pending_calls.get(reply.key)):
            return ReplyResult()
        call = calls.popleft()
        if not calls:
            del self._pending_calls[reply.key]
        customer = call.customer
        self.refresh(now_ms, customer)

        in_current_window = call.window_start_ms == customer.window_start_ms
        if isinstance(call, LeaseCall):
            return ReplyResult(actions=self._on_lease_reply(now_ms, call, reply) if in_current_window else [])
        if in_current_window:
            customer.pending_calls -= 1
            customer.in_flight_usage -= call.amount - call.requested
        if reply.outcome is CallOutcome.OK:
            self.health.record_reply(reply.duration_ms)
            actions = self._reconcile(now_ms, call, reply.total) if in_current_window else []
            return ReplyResult(call.request_id, actions)

        self.health.record_failure()
        if in_current_window and reply.outcome is CallOutcome.TIMEOUT:
            # The counter may have added the amount. Adding it twice would be worse than losing it.
            customer.reported_usage += call.amount
        elif in_current_window:
            customer.unreported_usage += call.amount - call.requested - call.correction
        return ReplyResult(call.request_id)

    def _start_window(self, start_ms: float, customer: Customer) -> None:
        """Start an accounting window, with its own counter key, whose total is all usage since the start."""
        self._quota.refill(start_ms, customer, self.health.available)
        customer.window_start_ms = start_ms
        customer.counter_key = stable_hash(f"{customer.key}/{start_ms:.0f}")
        customer.counter_total = 0.0
        customer.reported_usage = 0.0
        customer.in_flight_usage = 0.0
        customer.max_bucket_level = customer.plan.burst
        # A refund that is due belongs to the total of the window that has ended.
        customer.unreported_usage = max(0.0, customer.unreported_usage)
        customer.pending_calls = 0
        customer.lease_requested = False

    def _report(self, now_ms: float, call: UsageCall) -> IncrementCounter:
        """Register a call as pending and return its action. It also reports all unreported usage."""
        customer = call.customer
        call.window_start_ms = customer.window_start_ms
        # Amounts have three decimals on the wire.
        call.amount = round(customer.unreported_usage + call.requested + call.correction, 3)
        self._pending_calls.setdefault(customer.counter_key, deque()).append(call)
        customer.in_flight_usage += call.amount - call.requested
        customer.unreported_usage = 0.0
        customer.called_at_ms = now_ms
        customer.pending_calls += 1
        self.health.record_call(now_ms)
        return IncrementCounter(customer.counter_key, call.amount, CUSTOMER_IDLE_MS)

    def _reconcile(self, now_ms: float, call: UsageCall, total: float) -> list[Action]:
        """Update the remote usage from the rise of the total, and the level of the bucket from the total."""
        customer = call.customer
        customer.reported_usage += call.amount - call.correction
        # The rise of the total since the last reply, less what this gateway reported.
        rise = total - customer.counter_total - call.correction - customer.reported_usage
        # A total that falls is taken for one that the counter has lost, and the estimates stay as they are.
        # Refunds and corrections by other gateways can make a total fall too.
        total_lost = rise < -TOTAL_TOLERANCE_UNITS
        if not total_lost:
            since_ms = max(customer.replied_at_ms, customer.window_start_ms)
            elapsed_s = max(now_ms - since_ms, 1.0) / 1000.0 + RISE_INTERVAL_PADDING_S
            remote = _remote_units(now_ms, call, max(rise, 0.0), elapsed_s)
            local = max(0.0, customer.reported_usage)
            customer.recent_local_usage = OLDER_USAGE_WEIGHT * customer.recent_local_usage + local
            customer.recent_total_usage = OLDER_USAGE_WEIGHT * customer.recent_total_usage + local + remote
            reply_age_s = max(now_ms - customer.replied_at_ms, 1.0) / 1000.0
            weight = 1.0 - math.exp(-reply_age_s / DEMAND_WINDOW_S)
            customer.remote_usage += (remote / elapsed_s - customer.remote_usage) * weight
        customer.counter_total = total
        customer.replied_at_ms = now_ms
        customer.reported_usage = 0.0
        return self._set_level(now_ms, call, total, total_lost) if customer.plan.rate else []

    def _set_level(self, now_ms: float, call: UsageCall, total: float, total_lost: bool) -> list[Action]:
        """Set the level of the bucket from the total; request the correction lease if that has drifted."""
        customer = call.customer
        burst = customer.plan.burst
        refilled = customer.plan.rate * (now_ms - customer.window_start_ms) / 1000.0
        # The units that are missing from a full bucket according to the total.
        counted = total + INITIAL_DEFICIT_SHARE * burst - refilled - call.requested
        # The total does not include these amounts yet.
        counted = counted + customer.in_flight_usage + customer.unreported_usage
        # A total that lags behind a full bucket does not show that nothing was spent. What this gateway has
        # admitted since the last reply, less the refill, is a lower bound.
        spent = min(burst, max(counted, burst - customer.max_bucket_level))
        if total_lost:
            spent = burst - customer.bucket_level
        customer.bucket_level = burst - spent
        customer.max_bucket_level = customer.bucket_level

        drift = spent - counted
        # A total that holds no more than this call is not corrected: many customers send a single request,
        # and the correction would cost two more calls for each of them.
        lags = total > call.amount + TOTAL_TOLERANCE_UNITS and drift > DRIFT_TOLERANCE_SHARE * burst
        # A total beyond an empty bucket includes requests, some of them large, that other gateways are about
        # to reject and refund. Therefore only a large excess counts as drift.
        exceeds = drift < -burst
        if customer.lease_requested or not (lags or exceeds):
            return []
        return [self._request_lease(customer, drift)]

    def _request_lease(self, customer: Customer, correction: float) -> IncrementCounter:
        """Return the call for the lease to add `correction` units to a customer's total."""
        # Gateways of all versions share the counter and must form the same key.
        key = stable_hash(f"{customer.key}/{customer.window_start_ms:.0f}/mend")
        call = LeaseCall(customer, customer.window_start_ms, correction)
        self._pending_calls.setdefault(key, deque()).append(call)
        customer.lease_requested = True
        return IncrementCounter(key, 1.0, LEASE_TTL_TIMEOUTS * self._settings.counter_timeout_ms)

    def _on_lease_reply(self, now_ms: float, call: LeaseCall, reply: CounterReply) -> list[Action]:
        """Correct the total if the lease was granted.

        The drift is still the same: since it was computed, the total has changed by usage only.
        """
        call.customer.lease_requested = False
        # The first call for a lease gets the total 1, which grants it. Later calls get 2 and more.
        if reply.outcome is not CallOutcome.OK or reply.total >= 1.5:
            return []
        return [self._report(now_ms, UsageCall(call.customer, correction=call.correction))]


def _remote_units(now_ms: float, call: UsageCall, rise: float, elapsed_s: float) -> float:
    """Return how many units of a rise of the total the other gateways have used.

    `rise` does not include what this gateway reported; `elapsed_s` is the time over which it came about.
    If the previous total lagged far behind that of a full bucket, another gateway may have corrected it, and
    the rise includes the correction. In that case the rise counts as usage only up to the largest of: the
    last known remote usage, the rate of the plan, and the part of the rise beyond the lag.
    """
    customer = call.customer
    plan = customer.plan
    refilled = plan.rate * (now_ms - customer.window_start_ms) / 1000.0
    full_bucket_total = refilled - INITIAL_DEFICIT_SHARE * plan.burst
    lag = full_bucket_total - customer.counter_total - call.correction - customer.reported_usage
    if not plan.rate or lag <= DRIFT_TOLERANCE_SHARE * plan.burst:
        return rise
    return min(rise, max(customer.remote_usage * elapsed_s, plan.rate * elapsed_s, rise - lag))
