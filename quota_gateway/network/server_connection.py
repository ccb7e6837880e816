"""One connection to a server, which carries one request at a time."""

from __future__ import annotations

import asyncio
from typing import Protocol

from quota_gateway.network import resp
from quota_gateway.network.attempt_result import AttemptResult, classify_response
from quota_gateway.policy_api.events import CallOutcome

# A response whose length is corrupted never completes, on a connection that stays open. One that has begun
# and stands still for this long is given up.
RESPONSE_STALL_S = 0.25


class ResponseReceiver(Protocol):
    """An attempt, as seen by the connection that carries its request."""

    result: AttemptResult | None

    @property
    def awaiting_response(self) -> bool:
        """Whether a response to the request is still of use."""

    def close_with(self, result: AttemptResult) -> None:
        """Record the result with which the attempt completes once the connection is closed."""

    def complete(self, result: AttemptResult) -> None:
        """Complete the attempt."""


class ConnectionOwner(Protocol):
    """A pool, as seen by its connections."""

    def add(self, connection: ServerConnection) -> None:
        """Count a connection that has been established."""

    def release(self, connection: ServerConnection) -> None:
        """Take back a connection whose request has been answered."""

    def discard(self, connection: ServerConnection) -> None:
        """Forget a connection that is closed."""


class ServerConnection(asyncio.Protocol):
    """A connection to a server; `attempt` is the one whose request it carries, or None."""

    __slots__ = ("attempt", "idle_since", "loop", "parser", "pool", "stall_timer", "transport")

    def __init__(self, loop: asyncio.AbstractEventLoop, pool: ConnectionOwner) -> None:
        self.loop = loop
        self.pool = pool
        self.parser = resp.Parser()
        self.attempt: ResponseReceiver | None = None
        self.transport: asyncio.Transport | None = None
        self.idle_since = 0.0  # the loop's time of the last response
        self.stall_timer: asyncio.TimerHandle | None = None  # runs while a response is incomplete

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Join the pool; called by the loop."""
        self.transport = transport  # type: ignore[assignment]  # a TCP transport reads and writes
        self.pool.add(self)

    def data_received(self, data: bytes) -> None:
        """Parse what the server sent and complete the attempt; called by the loop."""
        attempt = self.attempt
        if attempt is None or not attempt.awaiting_response:
            self.abort()  # unsolicited bytes: responses no longer match requests on this connection
            return
        self._cancel_stall_timer()
        try:
            self.parser.feed(data)
            response = self.parser.next_message()
        except resp.ProtocolError:
            self._fail_malformed()
            return
        if response is resp.NEED_DATA:
            self.stall_timer = self.loop.call_later(RESPONSE_STALL_S, self._fail_malformed)
            return
        self._complete_attempt(attempt, classify_response(response))

    def _complete_attempt(self, attempt: ResponseReceiver, result: AttemptResult) -> None:
        """Complete the attempt with its response, and reuse or close the connection."""
        reusable = result.connection_reusable and not self.parser.buffered_bytes()
        if not reusable and result.outcome is not CallOutcome.OK:
            self._fail_malformed()
            return
        self.attempt = None
        if reusable:
            self.pool.release(self)
        else:
            self.abort()  # the value is served, but bytes behind it can't be matched to any request
        attempt.complete(result)

    def _fail_malformed(self) -> None:
        """Close the connection after a malformed response; the request may have run."""
        if self.attempt is not None and self.attempt.awaiting_response:
            self.attempt.close_with(AttemptResult(CallOutcome.ERROR))
        self.abort()

    def connection_lost(self, exc: Exception | None) -> None:  # noqa: ARG002  # the signature of asyncio.Protocol
        """Leave the pool and complete the attempt, if any; called by the loop.

        uvloop closes the socket only after this call. Completing the attempt may start a retry, which must
        not reach a server while this request can still be received: it waits for the next loop iteration.
        """
        self._cancel_stall_timer()
        self.pool.discard(self)
        attempt, self.attempt = self.attempt, None
        if attempt is not None:
            # The kernel had the request: it may have run, so without a recorded result this is a reset.
            result = attempt.result or AttemptResult(CallOutcome.RESET)
            self.loop.call_soon(attempt.complete, result)

    def abort(self) -> None:
        """Close the connection at once. An attempt on it completes in `connection_lost`."""
        if self.transport is not None:
            self.transport.abort()

    def _cancel_stall_timer(self) -> None:
        if self.stall_timer is not None:
            self.stall_timer.cancel()
            self.stall_timer = None
