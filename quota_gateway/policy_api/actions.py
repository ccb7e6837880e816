"""Actions: what the policy asks its host to do.

The host carries out actions in the order in which `Gateway.handle` returns them.
"""

from __future__ import annotations

import math
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class StartAttempt:
    """Forward a request to a server. The attempts of a request are numbered 0, 1, 2 and so on.

    The host writes the request at Unix time `write_before_ms` at the latest. An attempt that can't be written
    by then, for example since its connection takes too long, completes as `CallOutcome.NOT_SENT`.
    """

    request_id: str
    server_id: str
    timeout_ms: float = 0.0  # 0 means until the client's deadline
    write_before_ms: float = math.inf


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Cancel an attempt in flight. The host still reports its `AttemptCompleted`."""

    request_id: str
    attempt: int


@dataclass(frozen=True, slots=True)
class Reject:
    """Final answer: the request was rejected and has not run, so that a client can safely retry it."""

    request_id: str
    retry_after_ms: float = 0.0  # 0 means that none is given


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer: the request failed; it may or may not have taken effect."""

    request_id: str


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Ask for a `TimerFired` event with this token at or after the Unix time `at_ms`."""

    token: int
    at_ms: float


@dataclass(frozen=True, slots=True)
class IncrementCounter:
    """Add `amount` quota units to the shared counter under `key`.

    The key expires `ttl_ms` after the first call for it. A negative amount corrects the total.
    """

    key: int
    amount: float
    ttl_ms: float


@dataclass(frozen=True, slots=True)
class WatchEndpoints:
    """Watch the endpoint list: ask for an `EndpointUpdate` for each change from now on."""


@dataclass(frozen=True, slots=True)
class LogEvent:
    """Write a log line for operators: an event name in snake case, and fields rendered as `key=value`."""

    event: str
    fields: tuple[tuple[str, str], ...] = ()


Action = (
    StartAttempt | CancelAttempt | Reject | Fail | SetTimer | IncrementCounter | WatchEndpoints | LogEvent
)
