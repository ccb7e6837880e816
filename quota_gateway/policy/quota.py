"""Quotas: the token buckets of each customer (see `Customer`), and which of its requests they admit.

The fill of `capacity` guarantees each customer its rate and what its bucket holds. A gateway admits the same
share of its own demand at once, and rejects the rest with the time after which a retry may succeed.
"""

import math
import random

from quota_gateway.policy.hash_ring import stable_hash
from quota_gateway.policy_api.events import Request
from quota_gateway.policy_state.customers import Customer
from quota_gateway.policy_state.requests import ReplyState
from quota_gateway.settings import Plan, Settings

CUSTOMER_IDLE_MS = 60_000.0  # a customer unseen for this long is forgotten, by the counter too
DEMAND_WINDOW_S = 1.0  # demand and usage are averaged over this long
SPEND_S = 0.4  # a bucket's level is offered to the demand of this long
MAX_CREDIT = 2.0  # requests: what admission credit may add up to
IN_FLIGHT_FILL = 0.6  # share of an in-flight limit that a steady flow may fill: attempts come in clumps
COUNTED_HARD_LIMIT = 0.5  # share of a hard limit's burst that the counter keeps; gateways keep the rest
LOCAL_HARD_LIMIT_RATE = 1.0 - 0.5 * COUNTED_HARD_LIMIT  # share of its rate that refills the gateways' parts
EQUAL_SHARE_REQUESTS = 4.0  # requests whose usage weighs as much as the prior of equal shares
MIN_LOCAL_REQUESTS = 2.0  # requests that a local bucket holds at least, however many gateways share it
REMOTE_USAGE_FRESH_S = 1.5  # the last known remote usage is expected to go on for this long, then to fade
RESERVED_BURST = 0.5  # share of the burst that requests without a reply leave to those with one
ROOM_WEIGHT = 0.1  # of a new request with a reply, in the share of these that the quota has room for


class QuotaAdmission:
    """Keeps the customers and their buckets, and admits requests by them."""

    def __init__(self, settings: Settings, rng: random.Random) -> None:
        self.rng = rng
        self._gateway_count = settings.gateway_count
        self._plans = {plan.name: plan for plan in settings.plans}
        self.customers: dict[str, Customer] = {}  # by key; the longest unseen first
        self.started_at_ms = math.inf  # Unix time of this gateway's first event
        self.mean_in_flight_s = 0.2  # recent mean duration of an attempt; a guess until one is measured
        self._room_share: dict[str, float] = {}  # by plan: of requests with a reply, those with room lately

    def customer_of(self, now_ms: float, request: Request) -> Customer | None:
        """Return a request's customer, its buckets as last refilled; None where the plan is unknown."""
        if (plan := self._plans.get(request.plan)) is None:
            return None
        gateway_count = max(1, min(request.customer_gateways, self._gateway_count))
        customer = self.customers.pop(request.customer, None)
        if customer is None:
            customer = self._new_customer(now_ms, request.customer, plan, gateway_count)
        self.customers[request.customer] = customer
        customer.gateway_count, customer.last_seen_ms = gateway_count, now_ms
        customer.largest_request = max(customer.largest_request, request.units)
        return customer

    def refill(self, now_ms: float, customer: Customer, counter_available: bool) -> None:
        """Refill and drain a customer's buckets up to `now_ms`; an earlier time changes nothing."""
        elapsed_s = (now_ms - customer.refilled_at_ms) / 1000.0
        if elapsed_s <= 0:
            return
        plan, gateways, level = customer.plan, customer.gateway_count, customer.bucket_level
        remote_usage = _expected_remote_usage(customer) if counter_available else 0.0
        drained = min(remote_usage * min(elapsed_s, DEMAND_WINDOW_S), level)
        refilled = plan.rate * elapsed_s
        customer.max_bucket_level = min(plan.burst, customer.max_bucket_level + refilled)
        customer.bucket_level = min(plan.burst, level - drained + refilled)

        share, level = _local_share(customer), customer.local_bucket
        rate = (plan.rate or IN_FLIGHT_FILL * plan.max_in_flight / self.mean_in_flight_s) * share
        customer.local_bucket = min(max(level, _local_burst(customer, share)), level + rate * elapsed_s)

        burst = plan.hard_limit_burst * (1.0 - COUNTED_HARD_LIMIT) / gateways
        level, rate = customer.hard_limit_bucket, plan.hard_limit_rate * LOCAL_HARD_LIMIT_RATE / gateways
        customer.hard_limit_bucket = min(max(level, burst), level + rate * elapsed_s)

        customer.local_demand *= math.exp(-elapsed_s / DEMAND_WINDOW_S)
        customer.refilled_at_ms = now_ms

    def available(self, customer: Customer) -> float:
        """Return what a quota is thought to admit at once: units, or attempts where these are fewer."""
        plan = customer.plan
        available = customer.bucket_level if plan.rate else math.inf
        if plan.max_in_flight:
            remote_in_flight = customer.remote_usage * self.mean_in_flight_s
            available = min(available, plan.max_in_flight - customer.in_flight - remote_in_flight)
        return available

    def admit(self, now_ms: float, customer: Customer, units: float, reply: ReplyState) -> float | None:
        """Return None to admit a request, else for how many ms a rejected client should stay away."""
        plan = customer.plan
        customer.local_demand += units / DEMAND_WINDOW_S
        over_hard_limit = plan.hard_limit_rate and customer.hard_limit_bucket < units
        if over_hard_limit and not _reply_keeps_hard_limit(plan, reply):
            missing = units - customer.hard_limit_bucket
            return missing / plan.hard_limit_rate * customer.gateway_count * 1000.0
        retry_after_ms = self._check_rate(now_ms, customer, units, reply) if plan.rate else None
        if retry_after_ms is None and plan.max_in_flight and self._in_flight_full(customer, units, reply):
            return self.mean_in_flight_s * 1000.0
        return retry_after_ms

    def charge(self, customer: Customer, units: float, reply: ReplyState) -> None:
        """Take an admitted request from the customer's buckets."""
        customer.admission_credit -= units
        customer.bucket_level = max(0.0, customer.bucket_level - units)
        customer.max_bucket_level = max(0.0, customer.max_bucket_level - units)
        customer.local_bucket = max(0.0, customer.local_bucket - units)
        if not _reply_keeps_hard_limit(customer.plan, reply):
            customer.hard_limit_bucket -= units

    def forget_idle(self, now_ms: float) -> list[Customer]:
        """Forget the customers that were not seen for long and have nothing in flight; return them."""
        forgotten = []
        while self.customers:
            customer = next(iter(self.customers.values()))
            recent = now_ms - customer.last_seen_ms < CUSTOMER_IDLE_MS
            if recent or customer.in_flight or customer.pending_calls:
                break
            forgotten.append(self.customers.pop(customer.key))
        return forgotten

    def _new_customer(self, now_ms: float, key: str, plan: Plan, gateway_count: int) -> Customer:
        # The hard limit outlives a restart of the gateways. While quotas are enforced, its bucket never has
        # less than its burst less the quota's, as it refills faster. Half of that and the slack are there
        # even if all gateways restart at once, and again before the bucket has refilled.
        unspent = 0.5 * max(0.0, plan.hard_limit_burst - plan.burst) if plan.burst else 0.0
        unspent += plan.hard_limit_slack + plan.hard_limit_rate * (now_ms - self.started_at_ms) / 1000.0
        unspent = min(plan.hard_limit_burst * (1.0 - COUNTED_HARD_LIMIT), unspent)
        customer = Customer(key, plan, gateway_count, now_ms, plan.burst, max_bucket_level=plan.burst)
        customer.hard_limit_bucket = unspent / gateway_count
        customer.local_bucket = _local_burst(customer, _local_share(customer))
        customer.window_length_ms = CUSTOMER_IDLE_MS if plan.rate else 1000.0 * DEMAND_WINDOW_S
        customer.window_offset = stable_hash(key) / 2.0**63
        return customer

    def _check_rate(self, now_ms: float, customer: Customer, units: float, reply: ReplyState) -> float | None:
        """Return None to admit a request by rate and burst, else the retry-after, ms."""
        plan, level = customer.plan, customer.bucket_level
        if reply in (ReplyState.MISSING, ReplyState.UNAVAILABLE):
            # A gateway keeps to its own part, or each would spend the whole quota. What the last reply leaves
            # to requests without one counts too, for the time in which a bucket refills.
            replied = now_ms - customer.replied_at_ms < 1000.0 * plan.burst / plan.rate
            left = level - RESERVED_BURST * plan.burst if replied and reply is ReplyState.MISSING else 0.0
            level = min(max(customer.local_bucket, left), level)

        demand = max(customer.local_demand + customer.remote_usage, 1e-9)
        admitted_share = min(1.0, (plan.rate + level / SPEND_S) / demand)
        credit = min(customer.admission_credit + admitted_share * units, MAX_CREDIT * units)
        customer.admission_credit = credit

        room_share = self._room_share.get(plan.name, 1.0)
        if reply is ReplyState.RECEIVED:
            has_room = level >= units
            self._room_share[plan.name] = room_share + ROOM_WEIGHT * (has_room - room_share)
        # Calls put the requests of all gateways in one order, so that after a reply no share is needed.
        if level < units or (credit < units and reply is not ReplyState.RECEIVED):
            return max(0.0, units - level) / plan.rate * 1000.0
        # Customers without any reply so far are rejected as often as those with one had no room.
        unknown = reply is ReplyState.MISSING and customer.replied_at_ms < 0.0
        rejected = unknown and self.rng.random() > room_share
        return units / plan.rate * 1000.0 if rejected else None

    def _in_flight_full(self, customer: Customer, units: float, reply: ReplyState) -> bool:
        """Whether the plan's limit of attempts in flight, over all gateways, is reached."""
        limit = customer.plan.max_in_flight
        local_limit = limit // customer.gateway_count
        if reply is ReplyState.RECEIVED:
            # The limit as a rate, attempts that complete in a second: of more demand a share is admitted.
            demand = (customer.local_demand + customer.remote_usage) * self.mean_in_flight_s
            return self.rng.random() > IN_FLIGHT_FILL * limit / max(demand, 1e-9)
        if reply is ReplyState.NOT_NEEDED:
            return customer.in_flight >= max(1, local_limit) and self.available(customer) < 1.0
        return customer.local_bucket < units and customer.in_flight >= local_limit


def _expected_remote_usage(customer: Customer) -> float:
    """Return the remote usage to reckon with, units a second.

    It fades: a customer whose requests are all rejected brings no reply that the others' surge is over.
    """
    age_s = max(0.0, customer.refilled_at_ms - customer.replied_at_ms) / 1000.0
    return customer.remote_usage * math.exp(min(0.0, REMOTE_USAGE_FRESH_S - age_s))


def _local_share(customer: Customer) -> float:
    """Return this gateway's share of a quota without the counter: an equal one, moved towards its usage."""
    prior = EQUAL_SHARE_REQUESTS * customer.largest_request
    local_usage = customer.recent_local_usage + prior / customer.gateway_count
    return local_usage / (customer.recent_total_usage + prior)


def _local_burst(customer: Customer, share: float) -> float:
    part = (customer.plan.burst or customer.plan.max_in_flight) * share
    return max(part, MIN_LOCAL_REQUESTS * customer.largest_request)


def _reply_keeps_hard_limit(plan: Plan, reply: ReplyState) -> bool:
    """Whether a reply alone keeps the hard limit: the plan's burst fits the counter's share of it."""
    if reply is not ReplyState.RECEIVED:
        return False
    return 0.0 < plan.burst <= COUNTED_HARD_LIMIT * plan.hard_limit_burst + plan.hard_limit_slack
