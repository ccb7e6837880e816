"""Events: what the host of a policy reports to it.

The host creates one `quota_gateway.policy.gateway.Gateway` at start and calls `handle(now_ms, event)` for
each event, in the order in which the events happened, from a single thread. The call returns the actions of
`quota_gateway.policy_api.actions` that the host then carries out in the order returned.

The host guarantees:

- a clock that never goes backwards and agrees between all gateways to a tenth of a second, since it
  determines the start of accounting windows;
- a snapshot or cached snapshot of the endpoint list as the first update, whole or split by `split_update`;
- exactly one `AttemptCompleted` for each `StartAttempt`, one `CounterReply` for each `IncrementCounter` and
  one `TimerFired` for each `SetTimer`, each passed after the call of `handle` that returned the action;
- `ClientDisconnected` when a client leaves.

Times are Unix milliseconds, durations milliseconds, amounts quota units.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from quota_gateway.policy_api.endpoints import EndpointUpdate


class CallOutcome(Enum):
    """The outcome of an attempt at a server or of a call to the shared counter."""

    OK = "ok"
    ERROR = "error"  # an error response; may have run
    REJECTED = "rejected"  # rejected before processing; did not run
    TIMEOUT = "timeout"  # no response in time; may have run
    UNREACHABLE = "unreachable"  # no connection; did not run
    RESET = "reset"  # the connection broke; may have run
    CANCELLED = "cancelled"  # cancelled by the gateway; may have run
    NOT_SENT = "not_sent"  # never written to a connection; did not run


# Outcomes of attempts that certainly did not run, so that a retry can't execute the request twice.
DID_NOT_RUN = (CallOutcome.REJECTED, CallOutcome.UNREACHABLE, CallOutcome.NOT_SENT)


@dataclass(frozen=True, slots=True)
class Request:
    """A request of a client. The policy gives it exactly one final answer within `time_left_ms`."""

    request_id: str
    class_name: str
    plan: str
    customer: str
    time_left_ms: float
    units: float = 1.0
    customer_gateways: int = 1  # number of gateways that receive requests of this customer


@dataclass(frozen=True, slots=True)
class ResponseStarted:
    """The host has begun to stream a response to the client; the request gets no other final answer."""

    request_id: str
    attempt: int


@dataclass(frozen=True, slots=True)
class AttemptCompleted:
    """An attempt has ended.

    `request_completed` is true if the client has its answer. Otherwise the policy must still give a final
    answer, unless it has already done so. `queue_length` and `active_requests` are the requests that wait and
    run at the server according to its load report; None if it sent none.
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
    """The client has disconnected; the request gets no final answer."""

    request_id: str


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer that was set by `SetTimer` has expired."""

    token: int


@dataclass(frozen=True, slots=True)
class CounterReply:
    """The reply to one `IncrementCounter`; `total` is the sum under the key in quota units.

    Replies for the same key come in the order of the calls.
    """

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
