"""One connection to a server, which carries one request at a time."""

from __future__ import annotations

import asyncio
from typing import Protocol

from quota_gateway.network import resp
from quota_gateway.network.attempt_result import AttemptResult, classify_response
from quota_gateway.policy_api.events import CallOutcome

# A response with a corrupted length never completes, although the connection stays open. The attempt fails
# once a partial response has made no progress for this long.
RESPONSE_STALL_S = 0.25


class ResponseReceiver(Protocol):
    """The part of an attempt's interface that its connection uses."""

    result: AttemptResult | None

    @property
    def awaiting_response(self) -> bool:
        """Whether the request is written and its response would still be used."""

    def begin_closing(self, result: AttemptResult) -> None:
        """Record the result to report once the connection is closed."""

    def complete(self, result: AttemptResult) -> None:
        """Complete the attempt and report its result."""


class ConnectionOwner(Protocol):
    """The part of a pool's interface that its connections use."""

    def add(self, connection: ServerConnection) -> None:
        """Add a connection that has been established."""

    def release(self, connection: ServerConnection) -> None:
        """Return a connection to the pool after a complete response."""

    def discard(self, connection: ServerConnection) -> None:
        """Remove a connection that is closed."""


class ServerConnection(asyncio.Protocol):
    """A connection to a server. The event loop calls the methods of `asyncio.Protocol`.

    `attempt` is the attempt whose request the connection carries, or None while it is idle.
    """

    __slots__ = (
        "attempt",
        "idle_since",
        "loop",
        "parser",
        "pool",
        "process_started_ms",
        "stall_timer",
        "transport",
    )

    def __init__(self, loop: asyncio.AbstractEventLoop, pool: ConnectionOwner) -> None:
        self.loop = loop
        self.pool = pool
        self.parser = resp.Parser()
        self.attempt: ResponseReceiver | None = None
        self.transport: asyncio.Transport | None = None
        self.process_started_ms = 0.0  # start of the process to which the connection leads, as listed then
        self.idle_since = 0.0  # event loop time of the last response
        self.stall_timer: asyncio.TimerHandle | None = None  # set while a response is incomplete

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Add the connection to the pool."""
        self.transport = transport  # type: ignore[assignment]  # always an asyncio.Transport
        self.pool.add(self)

    def data_received(self, data: bytes) -> None:
        """Parse the bytes received, and complete the attempt once the response is whole."""
        attempt = self.attempt
        if attempt is None or not attempt.awaiting_response:
            self.abort()  # unsolicited bytes: later responses could not be matched to requests
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
        """Complete the attempt with its response, and return the connection to the pool or close it.

        An error response followed by surplus bytes counts as malformed.
        """
        reusable = result.connection_reusable and not self.parser.buffered_bytes()
        if not reusable and result.outcome is not CallOutcome.OK:
            self._fail_malformed()
            return
        self.attempt = None
        if reusable:
            self.pool.release(self)
        else:
            self.abort()  # the value is valid, but the surplus bytes after it match no request
        attempt.complete(result)

    def _fail_malformed(self) -> None:
        """Close the connection after a malformed or stalled response; the request may have run."""
        if self.attempt is not None and self.attempt.awaiting_response:
            self.attempt.begin_closing(AttemptResult(CallOutcome.ERROR))
        self.abort()

    def connection_lost(self, exc: Exception | None) -> None:  # noqa: ARG002  # asyncio.Protocol sets the signature
        """Remove the connection from the pool and complete its attempt, if any.

        uvloop closes the socket only after this call. Completing the attempt may start a retry, which must
        not reach a server while this server can still receive the request. The attempt is therefore completed
        in the next loop iteration.
        """
        self._cancel_stall_timer()
        self.pool.discard(self)
        attempt, self.attempt = self.attempt, None
        if attempt is not None:
            # The request was written, so the server may have run it: without a recorded result it was reset.
            result = attempt.result or AttemptResult(CallOutcome.RESET)
            self.loop.call_soon(attempt.complete, result)

    def abort(self) -> None:
        """Close the connection at once; `connection_lost` then completes its attempt."""
        if self.transport is not None:
            self.transport.abort()

    def _cancel_stall_timer(self) -> None:
        if self.stall_timer is not None:
            self.stall_timer.cancel()
            self.stall_timer = None
