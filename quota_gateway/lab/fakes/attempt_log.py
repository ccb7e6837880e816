"""The log of all attempts that reached the fake servers of a run.

A load test reads from it how long a request was at servers rather than at the gateway, whether it was
forwarded at all, and how often it ran.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from enum import Enum


class AttemptOutcome(Enum):
    """The outcome of an attempt at a server. The values are keys of the result file."""

    IN_FLIGHT = "open"  # queued, running, or without a reply because of a fault
    SERVED = "served"
    REJECTED = "busy"  # rejected with -BUSY; the request did not run
    FAILED = "failed"  # error reply
    BROKEN = "broken"  # connection reset, or a partial or malformed reply
    ABANDONED = "abandoned"  # the connection ended while the request was queued; it did not run


@dataclass(slots=True)
class Attempt:
    """One request at one server. Times are seconds of `time.monotonic`."""

    request_id: bytes
    server_name: str
    arrived_at: float
    started_at: float | None = None  # start of its execution on a core; None if it has not run
    completed_at: float | None = None  # None if it never completed
    outcome: AttemptOutcome = AttemptOutcome.IN_FLIGHT

    def complete(self, outcome: AttemptOutcome, now: float) -> None:
        """Record the outcome and the time of completion."""
        self.outcome = outcome
        self.completed_at = now

    @property
    def time_at_server_s(self) -> float:
        """Time from arrival to completion, in seconds; 0 for an attempt that never completed."""
        return self.completed_at - self.arrived_at if self.completed_at is not None else 0.0


@dataclass(slots=True)
class AttemptLog:
    """All attempts of a run at all its servers. Its size is limited only by the length of the run."""

    attempts: dict[bytes, list[Attempt]] = field(default_factory=dict)  # keys are request ids
    malformed_commands: int = 0  # number of request commands with a syntax error

    def record(self, attempt: Attempt) -> None:
        """Record the arrival of an attempt."""
        self.attempts.setdefault(attempt.request_id, []).append(attempt)

    def attempts_of(self, request_id: bytes) -> list[Attempt]:
        """Return the attempts of one request in the order of their arrival."""
        return self.attempts.get(request_id, [])

    def count_by_outcome(self) -> dict[str, int]:
        """Return the number of attempts for each value of `AttemptOutcome` that occurs."""
        outcomes = (attempt.outcome.value for attempts in self.attempts.values() for attempt in attempts)
        return dict(Counter(outcomes))

    def executions(self, request_id: bytes) -> int:
        """Return how often a request ran, over all servers."""
        return sum(attempt.started_at is not None for attempt in self.attempts_of(request_id))
