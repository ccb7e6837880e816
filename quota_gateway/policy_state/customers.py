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

    Amounts are quota units, rates units a second, times Unix milliseconds. "Remote" is what the other
    gateways do for this customer, as far as the counter's totals tell.

    Three buckets keep its limits:

    - the token bucket, which all gateways share; its level is an estimate, by the shared counter;
    - the local bucket, this gateway's part of it, to which it keeps while no counter reply can be had;
    - the hard-limit bucket, this gateway's part of the plan's hard limit. The gateways' parts keep one share
      of that limit; the counter keeps the other, as what its replies admit comes out of the token bucket.
    """

    key: str
    plan: Plan
    gateway_count: int  # gateways through which its requests come

    refilled_at_ms: float  # when the buckets were last brought up to date
    bucket_level: float  # of the token bucket
    max_bucket_level: float  # upper bound of it: the level at the last reply, refilled and not drained
    hard_limit_bucket: float = 0.0  # level
    local_bucket: float = 0.0  # level

    last_seen_ms: float = NEVER_MS  # its last request
    admission_credit: float = 1.0  # admitted shares of a trickle add up here until they make a request
    local_demand: float = 0.0  # requested here
    remote_usage: float = 0.0  # admitted by the other gateways
    in_flight: int = 0  # attempts of this gateway
    largest_request: float = 1.0  # units
    recent_local_usage: float = 0.0  # of the recent usage in the counter's totals, this gateway's ...
    recent_total_usage: float = 0.0  # ... and that of all gateways

    window_length_ms: float = 0.0  # of its accounting windows
    window_offset: float = 0.0  # of its windows' starts, a share of their length that differs by customer
    window_start_ms: float = -math.inf  # of the present window
    counter_key: int = 0  # the counter's key for this window: units admitted or requested by all gateways
    counter_total: float = 0.0  # in the last reply of this window
    replied_at_ms: float = NEVER_MS  # last reply with a total
    called_at_ms: float = NEVER_MS  # last call to the counter
    pending_calls: int = 0  # usage calls without a reply so far
    in_flight_usage: float = 0.0  # units of pending calls, but for requests that wait for their reply
    reported_usage: float = 0.0  # own units reported since the last reply
    unreported_usage: float = 0.0  # own units not reported yet
    lease_requested: bool = False  # a call for the correction lease has no reply yet


@dataclass(slots=True, eq=False)
class UsageCall:
    """A call that reports usage to the counter and has no reply yet; amounts are quota units."""

    customer: Customer
    requested: float = 0.0  # for the request that waits for the reply
    request_id: str = ""  # that request; empty: none waits
    correction: float = 0.0  # what nobody used: it corrects the total
    amount: float = 0.0  # added to the counter in all, reported usage included
    window_start_ms: float = -math.inf  # the accounting window that it was made in


@dataclass(slots=True, eq=False)
class LeaseCall:
    """A call for the lease that lets one gateway correct a customer's total; it has no reply yet.

    All gateways that get a drifted total find it so within the time of a call; if each of them corrected it,
    it would be further off. The lease is a key of its own on the counter: the first call for it gets 1 in
    reply, and it lives until the correction has reached all gateways.
    """

    customer: Customer
    window_start_ms: float
    correction: float  # quota units to add to the total


@dataclass(slots=True, eq=False)
class ReplyResult:
    """What a reply of the counter brought about."""

    request_id: str = ""  # the request that waited for it; empty: none
    actions: list[Action] = field(default_factory=list)
