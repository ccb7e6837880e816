"""A request that a client is waiting for."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from quota_gateway.network.attempt import Attempt
from quota_gateway.network.commands import RequestCommand

RESPONSE_MARGIN_S = 0.01  # attempts time out this long before the client's deadline, to answer in time


class InFlightRequest:
    """A request that was accepted from a client and has not been answered.

    `ref` identifies it towards the policy. The client's own request id does not: an attempt may outlive its
    request, and the client may use the id again meanwhile.
    """

    __slots__ = (
        "attempt",
        "attempts_started",
        "command",
        "completed_attempt_may_have_run",
        "deadline",
        "deadline_timer",
        "ref",
        "send_reply",
    )

    def __init__(
        self, ref: str, command: RequestCommand, deadline: float, send_reply: Callable[[bytes], None]
    ) -> None:
        self.ref = ref
        self.command = command
        self.deadline = deadline  # the loop's time
        self.send_reply = send_reply
        self.attempts_started = 0
        self.attempt: Attempt | None = None  # the one in flight
        self.completed_attempt_may_have_run = False
        self.deadline_timer: asyncio.TimerHandle | None = None

    def may_have_run(self) -> bool:
        """Tell whether a server may have run the request, or may still do so."""
        if self.completed_attempt_may_have_run:
            return True
        return self.attempt is not None and self.attempt.may_have_run

    def attempt_timeout_s(self, now: float, timeout_ms: float) -> float:
        """Return how long an attempt that starts now may take; a `timeout_ms` of 0 stands for no timeout."""
        time_left_s = self.deadline - RESPONSE_MARGIN_S - now
        return min(time_left_s, timeout_ms / 1000.0) if timeout_ms > 0 else time_left_s
