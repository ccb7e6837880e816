"""The log of all attempts that reached the fake servers of a run.

A load test takes from it the time that a request spent at servers and not at the gateway, whether a request
was forwarded at all, and how often it was carried out.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from enum import Enum


class AttemptOutcome(Enum):
    """How an attempt ended at a server. The values are keys of the result file."""

    IN_FLIGHT = "open"  # queued, running, or never to be answered
    SERVED = "served"
    REJECTED = "busy"  # -BUSY: it has not run
    FAILED = "failed"  # an error reply
    BROKEN = "broken"  # a reset, or a reply that was not complete
    ABANDONED = "abandoned"  # its connection ended while it was queued: it has not run


@dataclass(slots=True)
class Attempt:
    """One request at one server. Times are seconds of `time.monotonic`."""

    request_id: bytes
    server_name: str
    arrived_at: float
    started_at: float | None = None  # when a core took it; None: it has not run
    completed_at: float | None = None
    outcome: AttemptOutcome = AttemptOutcome.IN_FLIGHT

    def complete(self, outcome: AttemptOutcome, now: float) -> None:
        """Record the attempt's end."""
        self.outcome = outcome
        self.completed_at = now

    @property
    def time_at_server_s(self) -> float:
        """Time in the queue and on the core; 0 for an attempt that never ended."""
        return self.completed_at - self.arrived_at if self.completed_at is not None else 0.0


@dataclass(slots=True)
class AttemptLog:
    """All attempts of a run, over all its servers. It grows with the run, whose length is bounded."""

    attempts: dict[bytes, list[Attempt]] = field(default_factory=dict)  # by request id
    malformed_commands: int = 0  # request commands that no gateway should send

    def record(self, attempt: Attempt) -> None:
        """Record the arrival of an attempt."""
        self.attempts.setdefault(attempt.request_id, []).append(attempt)

    def attempts_of(self, request_id: bytes) -> list[Attempt]:
        """Return the attempts of one request in the order of their arrival."""
        return self.attempts.get(request_id, [])

    def count_by_outcome(self) -> dict[str, int]:
        """Return the number of attempts by the value of their outcome."""
        outcomes = (attempt.outcome.value for attempts in self.attempts.values() for attempt in attempts)
        return dict(Counter(outcomes))

    def executions(self, request_id: bytes) -> int:
        """Return how often a request was carried out."""
        return sum(attempt.started_at is not None for attempt in self.attempts_of(request_id))
