"""Records of the requests that wait for their final answer, and of their attempts."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from quota_gateway.policy_api.endpoints import Endpoint
from quota_gateway.policy_state.customers import Customer
from quota_gateway.settings import RequestClass


class ReplyState(Enum):
    """State of the counter reply for the admission of a request."""

    NOT_NEEDED = "not_needed"  # the estimate of the customer's bucket suffices
    AWAITED = "awaited"  # a call for this request is in flight
    RECEIVED = "received"  # the call for this request was answered
    MISSING = "missing"  # a reply was needed, but the call failed or was not made
    UNAVAILABLE = "unavailable"  # the counter answers no calls at all


@dataclass(slots=True, eq=False)
class PendingRequest:
    """A request that waits for its final answer. Times are Unix milliseconds."""

    request_id: str
    units: float  # size in quota units
    request_class: RequestClass
    customer: Customer | None  # None if the plan is unknown; no quota applies then
    received_at_ms: float
    deadline_ms: float
    attempts: int = 0  # number of attempts started so far
    in_flight: int = 0  # number of attempts not completed yet
    reply: ReplyState = ReplyState.NOT_NEEDED  # state of the shared counter's reply
    tried_servers: list[str] = field(default_factory=list)  # server ids in the order of the attempts
    may_have_run_at_ms: float | None = None  # start of the first attempt that may have run
    may_have_run_on: Endpoint | None = None  # the endpoint of that attempt


@dataclass(slots=True, eq=False)
class Attempt:
    """An attempt in flight. It may last longer than the pending request, for example after a disconnect."""

    pending: PendingRequest
    endpoint: Endpoint
    started_at_ms: float
    work_ms: float  # mean duration of attempts for such a request, as known at the start
