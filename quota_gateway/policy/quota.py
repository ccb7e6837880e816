"""Quotas: the token buckets of each customer (see `Customer`), and which of its requests they admit.

A customer is entitled to its plan's rate and to what its token bucket holds. If the demand is higher, every
gateway admits the same share of its own demand and rejects the rest, with the time after which a retry may
succeed. Requests are not held back until there is quota for them.
`capacity` then decides whether the back end can serve what the quotas admit.
"""

import math
import random

from quota_gateway.policy.customer_table import CustomerTable
from quota_gateway.policy.hash_ring import stable_hash
from quota_gateway.policy_api.events import Request
from quota_gateway.policy_state.customers import Customer
from quota_gateway.policy_state.requests import ReplyState
from quota_gateway.settings import Plan, Settings

# Time without requests after which a gateway forgets a customer. It is also the time to live of usage keys on
# the counter and the length of the accounting windows of plans with a rate.
CUSTOMER_IDLE_MS = 60_000.0
DEMAND_WINDOW_S = 1.0  # time constant of the moving averages of demand and usage
BUCKET_SPEND_S = 0.4  # time in which the level of a bucket may be spent; it turns the level into a rate
MAX_CREDIT_REQUESTS = 2.0  # upper bound of the admission credit, in requests of the size to be admitted

# Share of an in-flight limit that the mean load may use. The rest is a safety margin, because attempts
# arrive at random and cluster.
MAX_IN_FLIGHT_UTILIZATION = 0.6
# Share of a hard limit's burst that counter replies enforce. The gateways' hard-limit buckets have the rest.
COUNTER_HARD_LIMIT_SHARE = 0.5
# Share of a hard limit's rate that refills the hard-limit buckets of all gateways together.
LOCAL_HARD_LIMIT_RATE_SHARE = 1.0 - 0.5 * COUNTER_HARD_LIMIT_SHARE

# Weight of the prior that all gateways use a quota equally, in requests of observed usage.
EQUAL_SHARE_PRIOR_REQUESTS = 4.0
# Minimum capacity of a local bucket, in requests of the customer's largest size, however many gateways share
# the quota.
MIN_LOCAL_BURST_REQUESTS = 2.0
# Age of the last counter reply up to which the remote usage is taken to continue. It decays after that.
REMOTE_USAGE_FRESH_S = 1.5
RESERVED_BURST_SHARE = 0.5  # share of the burst that is reserved for requests with a counter reply
ROOM_SHARE_WEIGHT = 0.1  # weight of a new request in the moving shares of requests with room


class TooManyCustomersError(Exception):
    """The gateway holds state for as many customers as it may, and can't forget any of them now."""


class QuotaAdmission:
    """Holds the customers with their buckets, and decides from these which requests are admitted."""

    def __init__(self, settings: Settings, rng: random.Random) -> None:
        self.rng = rng
        self._gateway_count = settings.gateway_count
        self._plans = {plan.name: plan for plan in settings.plans}
        self._table = CustomerTable(settings.max_customers)
        self.started_at_ms = math.inf  # Unix time of this gateway's first event
        self.mean_attempt_duration_s = 0.2  # moving mean of attempt durations
        # Moving share of requests with a counter reply that found room in their bucket. Keys are plan names.
        self._room_shares: dict[str, float] = {}

    @property
    def customers(self) -> dict[str, Customer]:
        """The customers that this gateway holds state for, by customer key."""
        return self._table.by_key

    def get_or_create_customer(self, now_ms: float, request: Request) -> Customer | None:
        """Return the customer of a request, or None if its plan is unknown.

        A new customer is created on its first request. The buckets are not refilled. Raises
        `TooManyCustomersError` if there is no room for a new customer.
        """
        if (plan := self._plans.get(request.plan)) is None:
            return None
        gateway_count = max(1, min(request.customer_gateways, self._gateway_count))
        customer = self._table.get(request.customer)
        if customer is None:
            if not self._table.make_room(lambda candidate: self._is_as_new(now_ms, candidate)):
                raise TooManyCustomersError
            customer = self._new_customer(now_ms, request.customer, plan, gateway_count)
            self._table.add(customer)
        customer.gateway_count = gateway_count
        customer.last_seen_ms = now_ms
        customer.largest_request = max(customer.largest_request, request.units)
        return customer

    def refill(self, now_ms: float, customer: Customer, counter_available: bool) -> None:
        """Refill a customer's buckets up to `now_ms`, and drain the token bucket by the remote usage.

        A time before the last refill changes nothing.
        """
        elapsed_s = (now_ms - customer.refilled_at_ms) / 1000.0
        if elapsed_s <= 0:
            return
        plan = customer.plan
        remote_usage = _expected_remote_usage(customer) if counter_available else 0.0
        drained = min(remote_usage * min(elapsed_s, DEMAND_WINDOW_S), customer.bucket_level)
        refilled = plan.rate * elapsed_s
        customer.max_bucket_level = min(plan.burst, customer.max_bucket_level + refilled)
        customer.bucket_level = min(plan.burst, customer.bucket_level - drained + refilled)

        share = _local_share(customer)
        # A plan without a rate is refilled at the rate at which attempts complete while the usable part of
        # its in-flight limit is in use (Little's law).
        rate = plan.rate or MAX_IN_FLIGHT_UTILIZATION * plan.max_in_flight / self.mean_attempt_duration_s
        local_rate = rate * share
        local_level = customer.local_bucket_level
        # The capacity falls with the share. A level above the new capacity stays until it is spent.
        max_local_level = max(local_level, _local_burst(customer, share))
        customer.local_bucket_level = min(max_local_level, local_level + local_rate * elapsed_s)

        hard_burst = plan.hard_limit_burst * (1.0 - COUNTER_HARD_LIMIT_SHARE) / customer.gateway_count
        hard_rate = plan.hard_limit_rate * LOCAL_HARD_LIMIT_RATE_SHARE / customer.gateway_count
        hard_level = customer.hard_limit_bucket_level
        max_hard_level = max(hard_level, hard_burst)
        customer.hard_limit_bucket_level = min(max_hard_level, hard_level + hard_rate * elapsed_s)

        customer.local_demand *= math.exp(-elapsed_s / DEMAND_WINDOW_S)
        customer.refilled_at_ms = now_ms

    def available(self, customer: Customer) -> float:
        """Return the estimate of what a quota admits at once: units, or attempts if these are fewer.

        The result is infinite for a plan without a rate and without an in-flight limit.
        """
        plan = customer.plan
        available = customer.bucket_level if plan.rate else math.inf
        if plan.max_in_flight:
            remote_in_flight = customer.remote_usage * self.mean_attempt_duration_s
            available = min(available, plan.max_in_flight - customer.in_flight - remote_in_flight)
        return available

    def admit(self, now_ms: float, customer: Customer, units: float, reply: ReplyState) -> float | None:
        """Return None to admit a request, or the retry-after of its rejection in ms.

        An admitted request is not charged: see `charge`.
        """
        plan = customer.plan
        customer.local_demand += units / DEMAND_WINDOW_S
        over_hard_limit = plan.hard_limit_rate and customer.hard_limit_bucket_level < units
        if over_hard_limit and not _reply_enforces_hard_limit(plan, reply):
            shortfall = units - customer.hard_limit_bucket_level
            return shortfall / plan.hard_limit_rate * customer.gateway_count * 1000.0
        retry_after_ms = self._check_rate(now_ms, customer, units, reply) if plan.rate else None
        if retry_after_ms is None and plan.max_in_flight and self._in_flight_full(customer, units, reply):
            return self.mean_attempt_duration_s * 1000.0
        return retry_after_ms

    def charge(self, customer: Customer, units: float, reply: ReplyState) -> None:
        """Deduct an admitted request from the customer's buckets and its admission credit."""
        customer.admission_credit -= units
        customer.bucket_level = max(0.0, customer.bucket_level - units)
        customer.max_bucket_level = max(0.0, customer.max_bucket_level - units)
        customer.local_bucket_level = max(0.0, customer.local_bucket_level - units)
        if not _reply_enforces_hard_limit(customer.plan, reply):
            customer.hard_limit_bucket_level -= units

    def forget_idle(self, now_ms: float) -> list[Customer]:
        """Remove and return the customers that have been idle for `CUSTOMER_IDLE_MS`.

        A customer with attempts in flight or pending counter calls stays.
        """
        return self._table.forget_idle(now_ms, CUSTOMER_IDLE_MS)

    def _is_as_new(self, now_ms: float, customer: Customer) -> bool:
        """Whether a customer could be forgotten now without a gain or a loss of quota.

        That holds if its buckets are as full as those of a new customer, and nothing of it is in flight or
        unreported.
        """
        if customer.in_flight or customer.pending_calls or customer.unreported_usage > 0.0:
            return False
        self.refill(now_ms, customer, counter_available=True)
        plan = customer.plan
        if plan.rate and customer.bucket_level < plan.burst:
            return False
        if customer.local_bucket_level < _local_burst(customer, _local_share(customer)):
            return False
        initial_level = self._initial_hard_limit_level(now_ms, plan, customer.gateway_count)
        return not plan.hard_limit_rate or customer.hard_limit_bucket_level >= initial_level

    def _new_customer(self, now_ms: float, key: str, plan: Plan, gateway_count: int) -> Customer:
        customer = Customer(key, plan, gateway_count, now_ms, plan.burst, max_bucket_level=plan.burst)
        customer.hard_limit_bucket_level = self._initial_hard_limit_level(now_ms, plan, gateway_count)
        customer.local_bucket_level = _local_burst(customer, _local_share(customer))
        customer.window_length_ms = CUSTOMER_IDLE_MS if plan.rate else 1000.0 * DEMAND_WINDOW_S
        customer.window_offset = stable_hash(key) / 2.0**63
        return customer

    def _initial_hard_limit_level(self, now_ms: float, plan: Plan, gateway_count: int) -> float:
        """Return the level of the hard-limit bucket of a new customer, in units."""
        # A restart of the gateways does not reset the hard limit. While quotas are enforced, the hard limit
        # has at least the difference of the two bursts to spare, because it refills faster than the quota.
        # All gateways together start with half of that and the slack, so that they can restart at once, and
        # once more before the hard limit has refilled. The refill since the start of this gateway is added.
        spare = 0.5 * max(0.0, plan.hard_limit_burst - plan.burst) if plan.burst else 0.0
        spare += plan.hard_limit_slack + plan.hard_limit_rate * (now_ms - self.started_at_ms) / 1000.0
        spare = min(plan.hard_limit_burst * (1.0 - COUNTER_HARD_LIMIT_SHARE), spare)
        return spare / gateway_count

    def _check_rate(self, now_ms: float, customer: Customer, units: float, reply: ReplyState) -> float | None:
        """Return None to admit a request by rate and burst, or the retry-after in ms."""
        plan = customer.plan
        usable_level = customer.bucket_level
        if reply in (ReplyState.MISSING, ReplyState.UNAVAILABLE):
            # Without a reply the local bucket limits a gateway; otherwise each one could spend the whole
            # quota. While the counter is available and the last reply is no older than the time in which an
            # empty bucket refills, a request may also use the level, less a reserve for requests with a
            # reply.
            reply_is_recent = now_ms - customer.replied_at_ms < 1000.0 * plan.burst / plan.rate
            uses_last_reply = reply_is_recent and reply is ReplyState.MISSING
            unreserved = usable_level - RESERVED_BURST_SHARE * plan.burst if uses_last_reply else 0.0
            usable_level = min(max(customer.local_bucket_level, unreserved), usable_level)

        demand = max(customer.local_demand + customer.remote_usage, 1e-9)
        admitted_share = min(1.0, (plan.rate + usable_level / BUCKET_SPEND_S) / demand)
        credit = min(customer.admission_credit + admitted_share * units, MAX_CREDIT_REQUESTS * units)
        customer.admission_credit = credit

        room_share = self._room_shares.get(plan.name, 1.0)
        if reply is ReplyState.RECEIVED:
            has_room = usable_level >= units
            self._room_shares[plan.name] = room_share + ROOM_SHARE_WEIGHT * (has_room - room_share)
        # The counter serialises the calls of all gateways, so that a request with a reply needs no credit.
        if usable_level < units or (credit < units and reply is not ReplyState.RECEIVED):
            return max(0.0, units - usable_level) / plan.rate * 1000.0
        # Nothing is known of the remote usage of a customer that never had a reply. Its requests are rejected
        # at random, as often as requests of the same plan with a reply found no room.
        never_replied = reply is ReplyState.MISSING and customer.replied_at_ms < 0.0
        rejected = never_replied and self.rng.random() > room_share
        return units / plan.rate * 1000.0 if rejected else None

    def _in_flight_full(self, customer: Customer, units: float, reply: ReplyState) -> bool:
        """Whether the plan's limit of attempts in flight, over all gateways, rejects a request."""
        limit = customer.plan.max_in_flight
        local_limit = limit // customer.gateway_count
        if reply is ReplyState.RECEIVED:
            # Little's law: the demand times the mean duration is the number of attempts in flight. If it
            # exceeds the usable part of the limit, the ratio of the two is the probability of admission.
            expected_in_flight = (
                customer.local_demand + customer.remote_usage
            ) * self.mean_attempt_duration_s
            return self.rng.random() > MAX_IN_FLIGHT_UTILIZATION * limit / max(expected_in_flight, 1e-9)
        if reply is ReplyState.NOT_NEEDED:
            return customer.in_flight >= max(1, local_limit) and self.available(customer) < 1.0
        return customer.local_bucket_level < units and customer.in_flight >= local_limit


def _expected_remote_usage(customer: Customer) -> float:
    """Return the remote usage to expect until the next counter reply, in units per second.

    It decays with the age of the last reply: a gateway that rejects all requests of a customer has no usage
    to report, and so may get no reply from which it would learn that the remote usage has ended.
    """
    reply_age_s = max(0.0, customer.refilled_at_ms - customer.replied_at_ms) / 1000.0
    return customer.remote_usage * math.exp(min(0.0, REMOTE_USAGE_FRESH_S - reply_age_s))


def _local_share(customer: Customer) -> float:
    """Return the share of a quota that this gateway may use without the counter.

    It is the gateway's share of the recent usage, with equal shares of all gateways as the prior.
    """
    prior = EQUAL_SHARE_PRIOR_REQUESTS * customer.largest_request
    local_usage = customer.recent_local_usage + prior / customer.gateway_count
    return local_usage / (customer.recent_total_usage + prior)


def _local_burst(customer: Customer, share: float) -> float:
    """Return the capacity of the local bucket in units, for this gateway's share of the quota."""
    local_limit = (customer.plan.burst or customer.plan.max_in_flight) * share
    return max(local_limit, MIN_LOCAL_BURST_REQUESTS * customer.largest_request)


def _reply_enforces_hard_limit(plan: Plan, reply: ReplyState) -> bool:
    """Whether a counter reply is enough to enforce the hard limit, without the local hard-limit bucket.

    It is if the plan's burst fits into the counter's share of the hard limit.
    """
    if reply is not ReplyState.RECEIVED:
        return False
    return 0.0 < plan.burst <= COUNTER_HARD_LIMIT_SHARE * plan.hard_limit_burst + plan.hard_limit_slack
