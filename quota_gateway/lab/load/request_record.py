"""The outcome of each request of a load, as observed by its client."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from quota_gateway.lab.load.schedule import ScheduledRequest


class RequestOutcome(Enum):
    """The outcome of a request by the reply table of the protocol specification.

    The values are keys of the result file.
    """

    PENDING = "open"
    SERVED = "served"
    REJECTED_WITH_RETRY_AFTER = "refused_with_retry_after"
    REJECTED = "refused_without"  # rejected without a Retry-After
    FAILED = "failed"
    LOST = "lost"  # no reply, or the value of another request


class LossReason(Enum):
    """Why a request is lost. The values are keys of the result file."""

    NO_REPLY = "no answer"
    NO_CONNECTION = "no connection"
    CONNECTION_CLOSED = "connection ended"
    CONNECTION_CLOSED_AFTER_FORWARD = "connection ended after it was sent on"
    WRONG_VALUE = "another request's value"


@dataclass(slots=True, eq=False)
class RequestRecord:
    """One request of a run and its outcome. Times are seconds of `time.monotonic`."""

    request: ScheduledRequest
    scheduled_at: float  # intended send time
    sent_at: float | None = None  # last time it was written to a connection; None if never
    resent_at: float | None = None  # set if resent after an idle connection was closed
    completed_at: float = 0.0
    outcome: RequestOutcome = RequestOutcome.PENDING
    loss_reason: LossReason | None = None

    @property
    def latency_s(self) -> float:
        """Time from the intended send time to the last byte of the reply, in seconds."""
        return self.completed_at - self.scheduled_at

    def lose(self, reason: LossReason) -> None:
        """Record that the request is lost."""
        self.outcome = RequestOutcome.LOST
        self.loss_reason = reason
