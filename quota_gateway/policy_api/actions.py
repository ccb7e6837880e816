"""Actions: what the policy asks its host to do, carried out in the order returned."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class StartAttempt:
    """Forward a request to a server. Attempts of a request are numbered 0, 1, 2 ..."""

    request_id: str
    server_id: str
    timeout_ms: float = 0.0  # 0: until the client's deadline


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Stop waiting for an attempt."""

    request_id: str
    attempt: int


@dataclass(frozen=True, slots=True)
class Reject:
    """Final answer: rejected, not run; a retry is harmless."""

    request_id: str
    retry_after_ms: float = 0.0  # 0: none given


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer: failed, with no promise about the effect."""

    request_id: str


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Ask for a `TimerFired` with this token at or after `at_ms`."""

    token: int
    at_ms: float


@dataclass(frozen=True, slots=True)
class IncrementCounter:
    """Add `amount` units to the shared counter under `key`, which expires `ttl_ms` after its first call."""

    key: int
    amount: float
    ttl_ms: float


@dataclass(frozen=True, slots=True)
class WatchEndpoints:
    """Ask for updates to the endpoint list from now on."""


@dataclass(frozen=True, slots=True)
class LogEvent:
    """A line for the operators: an event name in snake case, and fields rendered as `key=value`."""

    event: str
    fields: tuple[tuple[str, str], ...] = ()


Action = (
    StartAttempt | CancelAttempt | Reject | Fail | SetTimer | IncrementCounter | WatchEndpoints | LogEvent
)
