"""What a gateway holds of the requests that await their final answer, and of their attempts."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from quota_gateway.policy_api.endpoints import Endpoint
from quota_gateway.policy_state.customers import Customer
from quota_gateway.settings import RequestClass


class ReplyState(Enum):
    """What a decision on a request knows from the counter."""

    NOT_NEEDED = "not_needed"  # the estimate of the customer's bucket is good enough
    AWAITED = "awaited"  # a call for this request is in flight
    RECEIVED = "received"  # the reply to a call for this request
    MISSING = "missing"  # a reply was needed, but the call failed or was not made
    UNAVAILABLE = "unavailable"  # the counter does not reply to anyone


@dataclass(slots=True, eq=False)
class PendingRequest:
    """A request that awaits its final answer. Times are Unix milliseconds."""

    request_id: str
    units: float  # its size, quota units
    request_class: RequestClass
    customer: Customer | None  # None: its plan is unknown, there is no quota
    received_at_ms: float
    deadline_ms: float
    attempts: int = 0  # started so far
    in_flight: int = 0  # of these, those not completed
    reply: ReplyState = ReplyState.NOT_NEEDED  # of the shared counter
    tried_servers: list[str] = field(default_factory=list)  # ids
    may_have_run_at_ms: float | None = None  # start of the first attempt that may have run
    may_have_run_on: Endpoint | None = None  # the server of that attempt


@dataclass(slots=True, eq=False)
class Attempt:
    """An attempt in flight; it may outlive its request."""

    pending: PendingRequest
    endpoint: Endpoint
    started_at_ms: float
    work_ms: float  # mean duration of such a request when it was started
