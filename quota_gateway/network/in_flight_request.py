"""A request whose client awaits the answer."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from quota_gateway.network.attempt import Attempt
from quota_gateway.network.client_memory import REQUEST_OVERHEAD_BYTES
from quota_gateway.network.commands import RequestCommand

RESPONSE_MARGIN_S = 0.01  # attempts time out this long before the deadline, to leave time for the reply


class InFlightRequest:
    """A request that was accepted from a client and has not been answered.

    `policy_request_id` identifies the request in the policy's events and actions. The client's own request id
    is unsuitable there: an attempt may outlive its request, and the client may reuse the id meanwhile.
    """

    __slots__ = (
        "attempt",
        "attempts_started",
        "client_connected",
        "client_left",
        "command",
        "completed_attempt_may_have_run",
        "deadline",
        "deadline_timer",
        "held_bytes",
        "policy_request_id",
        "send_reply",
    )

    def __init__(
        self,
        policy_request_id: str,
        command: RequestCommand,
        deadline: float,
        send_reply: Callable[[bytes], None],
        client_connected: Callable[[], bool],
    ) -> None:
        self.policy_request_id = policy_request_id
        self.command = command
        self.deadline = deadline  # event loop time
        self.send_reply = send_reply
        self.client_connected = client_connected
        self.client_left = False  # the client has disconnected, so that there is no final answer
        self.held_bytes = REQUEST_OVERHEAD_BYTES + command.size_bytes()  # until the command is released
        self.attempts_started = 0
        self.attempt: Attempt | None = None  # the attempt in flight, if any
        self.completed_attempt_may_have_run = False
        self.deadline_timer: asyncio.TimerHandle | None = None

    def encode(self, time_left_ms: int) -> bytes:
        """Return the command for a server, given the milliseconds left until the deadline."""
        return self.command.encode(time_left_ms)

    def release_command(self) -> None:
        """Drop the body of the command after the final answer or the client's disconnect.

        An attempt whose request is written may last longer, but no further one starts.
        """
        self.command.encoded_body = b""

    def may_have_run(self) -> bool:
        """Return whether a server may have run the request or may still run it."""
        if self.completed_attempt_may_have_run:
            return True
        return self.attempt is not None and self.attempt.may_have_run

    def attempt_timeout_s(self, now: float, timeout_ms: float) -> float:
        """Return the timeout of an attempt that starts at `now`; a `timeout_ms` of 0 sets no limit."""
        time_left_s = self.deadline - RESPONSE_MARGIN_S - now
        return min(time_left_s, timeout_ms / 1000.0) if timeout_ms > 0 else time_left_s
