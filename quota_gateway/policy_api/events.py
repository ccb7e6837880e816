"""Events: what the host of a policy tells it.

The host makes one `quota_gateway.policy.gateway.Gateway` at start and calls `handle(now_ms, event)` for each
event, in the order in which they happened, from one thread. The call returns the actions to carry out, in
that order (`quota_gateway.policy_api.actions`).

The host owes the policy:

- a clock that never goes backwards and that all gateways share to a tenth of a second (accounting windows
  start by it);
- a snapshot or cached snapshot of the endpoint list first, whole or split by `split_update`;
- exactly one `AttemptCompleted` for each `StartAttempt`, one `CounterReply` for each `IncrementCounter`, and
  one `TimerFired` for each `SetTimer`, never inside the same call;
- `ClientDisconnected` when a client leaves.

Times are Unix milliseconds, durations milliseconds, amounts quota units.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from quota_gateway.policy_api.endpoints import EndpointUpdate


class CallOutcome(Enum):
    """How an attempt at a server, or a call to the shared counter, ended."""

    OK = "ok"
    ERROR = "error"  # an error response; may have run
    REJECTED = "rejected"  # rejected before processing; did not run
    TIMEOUT = "timeout"  # no response in time; may have run
    UNREACHABLE = "unreachable"  # no connection; did not run
    RESET = "reset"  # the connection broke; may have run
    CANCELLED = "cancelled"  # cancelled by the gateway; may have run
    NOT_SENT = "not_sent"  # never written to a connection; did not run


# Outcomes after which the request surely never ran, so that a retry can't repeat it.
DID_NOT_RUN = (CallOutcome.REJECTED, CallOutcome.UNREACHABLE, CallOutcome.NOT_SENT)


@dataclass(frozen=True, slots=True)
class Request:
    """A client's request; the policy owes it exactly one final answer within `time_left_ms`."""

    request_id: str
    class_name: str
    plan: str
    customer: str
    time_left_ms: float
    units: float = 1.0
    customer_gateways: int = 1  # gateways through which this customer's requests come


@dataclass(frozen=True, slots=True)
class ResponseStarted:
    """A streamed response has begun: the attempt belongs to the client from now on."""

    request_id: str
    attempt: int


@dataclass(frozen=True, slots=True)
class AttemptCompleted:
    """An attempt completed.

    `request_completed` says that the client has its answer; otherwise one is still owed, unless it was given
    before. `queue_length` and `active_requests` come from the server's load report, if it sent one.
    """

    request_id: str
    attempt: int
    server_id: str
    outcome: CallOutcome
    duration_ms: float
    request_completed: bool
    queue_length: float | None = None
    active_requests: float | None = None


@dataclass(frozen=True, slots=True)
class ClientDisconnected:
    """The client left; no answer is owed."""

    request_id: str


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer set by `SetTimer` is due."""

    token: int


@dataclass(frozen=True, slots=True)
class CounterReply:
    """The reply to one `IncrementCounter`; replies for one key come in the order of the calls."""

    key: int
    total: float
    outcome: CallOutcome
    duration_ms: float = 0.0


Event = (
    EndpointUpdate
    | Request
    | ResponseStarted
    | AttemptCompleted
    | ClientDisconnected
    | TimerFired
    | CounterReply
)
