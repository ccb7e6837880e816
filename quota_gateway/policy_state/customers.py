"""What a gateway knows of one customer's quota, and its calls to the shared counter."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from quota_gateway.policy_api.actions import Action
from quota_gateway.policy_state.servers import NEVER_MS
from quota_gateway.settings import Plan


@dataclass(slots=True, eq=False)
class Customer:
    """The buckets, the demand and the accounting window of one customer.

    Amounts are quota units, rates units per second, times Unix milliseconds. "Remote" is the use of this
    customer's quota by the other gateways, as estimated from the counter's totals.

    Three buckets enforce the limits of the plan:

    - The token bucket is shared by all gateways. Its level is an estimate, corrected by the shared counter.
    - The local bucket is this gateway's share of the token bucket. It limits requests for which no counter
      reply is available.
    - The hard-limit bucket is this gateway's part of the plan's hard limit. The local parts of all gateways
      make up only a share of that limit. The rest is enforced by the counter: a request that a counter reply
      admits is limited by the token bucket of all gateways.
    """

    key: str
    plan: Plan
    gateway_count: int  # number of gateways that receive this customer's requests

    refilled_at_ms: float  # last refill of the buckets
    bucket_level: float  # estimated level of the token bucket
    max_bucket_level: float  # upper bound of that level, which ignores remote usage since the last reply
    hard_limit_bucket_level: float = 0.0
    local_bucket_level: float = 0.0

    last_seen_ms: float = NEVER_MS  # last request
    # Units. It grows by the admitted share of each request and falls by the units of admitted requests.
    admission_credit: float = 1.0
    local_demand: float = 0.0  # rate of the units requested at this gateway
    remote_usage: float = 0.0  # rate of the units admitted by the other gateways
    in_flight: int = 0  # attempts in flight from this gateway
    largest_request: float = 1.0  # units of the largest request so far
    recent_local_usage: float = 0.0  # decaying sum of the units that this gateway reported
    recent_total_usage: float = 0.0  # decaying sum of the units of all gateways in the counter's totals

    window_length_ms: float = 0.0  # length of the accounting windows
    window_offset: float = 0.0  # offset of the window starts, a share of the length; differs by customer
    window_start_ms: float = -math.inf  # start of the present window
    counter_key: int = 0  # key of the present window; its total is what all gateways admitted or requested
    counter_total: float = 0.0  # total in the last reply of the present window
    replied_at_ms: float = NEVER_MS  # last reply with a total
    called_at_ms: float = NEVER_MS  # last call to the counter
    pending_calls: int = 0  # usage calls without a reply so far
    in_flight_usage: float = 0.0  # units in pending calls, except those of requests that wait for the reply
    reported_usage: float = 0.0  # units of completed calls that are, or may be, new in the next total
    unreported_usage: float = 0.0  # units that this gateway has yet to report; negative if a refund is due
    lease_requested: bool = False  # whether a call for the correction lease is pending


@dataclass(slots=True, eq=False)
class UsageCall:
    """A pending call that reports usage to the counter. Amounts are quota units."""

    customer: Customer
    requested: float = 0.0  # units reported for the request that waits for the reply
    request_id: str = ""  # id of that request; empty if none waits
    correction: float = 0.0  # amount that corrects the total and is not usage
    amount: float = 0.0  # amount added to the counter: reported usage, requested units and correction
    window_start_ms: float = -math.inf  # start of the accounting window in which the call was made


@dataclass(slots=True, eq=False)
class LeaseCall:
    """A pending call for the lease that allows one gateway to correct a customer's total.

    All gateways that receive a drifted total notice it within the time of one call. If each of them corrected
    it, the total would be wrong by a multiple of the drift. The lease is a counter key of its own. Its first
    call gets the total 1, which grants the lease, and the key lives until the correction has reached all
    gateways.
    """

    customer: Customer
    window_start_ms: float
    correction: float  # quota units to add to the total


@dataclass(slots=True, eq=False)
class ReplyResult:
    """The effects of a counter reply that its receiver has to carry out."""

    request_id: str = ""  # id of the request that waited for the reply; empty if none did
    actions: list[Action] = field(default_factory=list)
