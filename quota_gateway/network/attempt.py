"""An attempt: one request sent to one server, with exactly one result.

    CONNECTING --write--> SENT --response, reset----------------> COMPLETED
        |                  |                                          ^
        |                  +--timeout, cancel, malformed--> CLOSING --+  once the connection is closed
        +--no connection, timeout, cancel-----------------------------+

A retry must never be in flight together with its predecessor. An attempt that is given up after its request
was written therefore completes only once its connection is closed.
"""

from __future__ import annotations

import asyncio
import math
import time
from collections.abc import Callable
from enum import Enum, auto
from typing import Protocol

from quota_gateway.network.attempt_result import AttemptResult
from quota_gateway.network.pending_connection import PendingConnection
from quota_gateway.network.server_connection import ServerConnection
from quota_gateway.network.server_pool import ServerPool
from quota_gateway.policy_api.events import CallOutcome

MIN_TIMEOUT_S = 0.001  # commands carry the time left in whole milliseconds, at least one


class AttemptState(Enum):
    """The state of an attempt."""

    CONNECTING = auto()  # the request is not written yet, so it can't have run
    SENT = auto()  # the request is written and its response is awaited
    CLOSING = auto()  # given up after the write: the result is known, the connection is being closed
    COMPLETED = auto()  # the result is reported


class ForwardedRequest(Protocol):
    """The part of a request's interface that its attempts use."""

    def encode(self, time_left_ms: int) -> bytes:
        """Return the command for the server, given the milliseconds left until the deadline."""

    def client_connected(self) -> bool:
        """Return whether the client still awaits the answer, as far as the kernel knows."""


class Attempt:
    """One attempt to have a request served by one server.

    `on_complete` is called exactly once with the result. The call may come from inside `start` or `cancel` as
    long as the request is not written. The request is not written once `time.monotonic()` is past
    `write_before` or its client has left.
    """

    __slots__ = (
        "connection",
        "deadline",
        "on_complete",
        "pending_connection",
        "pool",
        "request",
        "result",
        "started_at",
        "state",
        "timeout_timer",
        "write_before",
    )

    def __init__(
        self,
        pool: ServerPool,
        request: ForwardedRequest,
        timeout_s: float,
        on_complete: Callable[[AttemptResult], None],
        write_before: float = math.inf,
    ) -> None:
        self.pool = pool
        self.request = request
        self.on_complete = on_complete
        self.write_before = write_before
        self.started_at = pool.owner.loop.time()
        self.deadline = self.started_at + timeout_s  # event loop time
        self.state = AttemptState.CONNECTING
        self.result: AttemptResult | None = None  # set in CLOSING, reported in COMPLETED
        self.connection: ServerConnection | None = None
        self.pending_connection: PendingConnection | None = None  # while the connection is established
        self.timeout_timer: asyncio.TimerHandle | None = None

    @property
    def awaiting_response(self) -> bool:
        """Whether the request is written and its response would still be used."""
        return self.state is AttemptState.SENT

    @property
    def may_have_run(self) -> bool:
        """Whether the request is written and the attempt not completed: the server may run or have run it."""
        return self.state is AttemptState.SENT or self.state is AttemptState.CLOSING

    def start(self) -> None:
        """Write the request on an idle connection, or open a connection for it.

        At the connection limit, with no idle connection to close, the attempt completes as UNREACHABLE.
        """
        pools = self.pool.owner
        self.timeout_timer = pools.loop.call_at(self.deadline, self._time_out)
        connection = self.pool.acquire()
        if connection is not None:
            self._write(connection)
        elif not pools.make_room_for_connection():
            self.complete(AttemptResult(CallOutcome.UNREACHABLE))
        else:
            self.pending_connection = PendingConnection(
                self.pool, self._connection_established, self._connection_failed
            )

    def cancel(self) -> None:
        """Give up the attempt.

        Before the write the outcome is NOT_SENT rather than UNREACHABLE: a cancel says nothing about the
        server's health.
        """
        if self.state is AttemptState.CONNECTING:
            pending, self.pending_connection = self.pending_connection, None
            if pending is not None:
                pending.cancel()
            self.complete(AttemptResult(CallOutcome.NOT_SENT))
        elif self.state is AttemptState.SENT:
            self._abort(CallOutcome.CANCELLED)

    def begin_closing(self, result: AttemptResult) -> None:
        """Enter CLOSING, with the result to report once the connection is closed."""
        self.state = AttemptState.CLOSING
        self.result = result

    def complete(self, result: AttemptResult) -> None:
        """Enter COMPLETED and report the result; only the first call has an effect."""
        if self.state is AttemptState.COMPLETED:
            return
        self.state = AttemptState.COMPLETED
        if self.timeout_timer is not None:
            self.timeout_timer.cancel()
            self.timeout_timer = None
        self.connection = None
        self.on_complete(result)

    def _connection_established(self, connection: ServerConnection) -> None:
        """Write the request on a new connection."""
        self.pending_connection = None
        self._write(connection)

    def _write(self, connection: ServerConnection) -> None:
        """Write the request on an open connection; from then on the server may run it.

        If it must not be written any more, the attempt completes, and a connection that is sound stays open
        for other requests.
        """
        # Not the time of the event loop, which is that of the beginning of its iteration.
        now = time.monotonic()
        time_left_s = self.deadline - now
        transport = connection.transport
        is_too_late = time_left_s < MIN_TIMEOUT_S or now > self.write_before
        if is_too_late or not self.request.client_connected():
            self._end_unwritten(connection, CallOutcome.NOT_SENT)
            return
        if transport is None or not self._connection_writable(transport):
            self._end_unwritten(connection, CallOutcome.UNREACHABLE)
            return
        self.connection = connection
        self.state = AttemptState.SENT
        connection.attempt = self
        transport.write(self.request.encode(int(1000.0 * time_left_s)))

    def _connection_writable(self, transport: asyncio.Transport) -> bool:
        """Return whether the connection is open and its server still accepts requests."""
        return not transport.is_closing() and self.pool.writable()

    def _end_unwritten(self, connection: ServerConnection, outcome: CallOutcome) -> None:
        """Complete with `outcome` and return the connection, on which nothing was written, to its pool."""
        self.pool.release(connection)
        self.complete(AttemptResult(outcome))

    def _connection_failed(self) -> None:
        """Complete as UNREACHABLE: the connection was refused or not established in time."""
        self.pending_connection = None
        self.complete(AttemptResult(CallOutcome.UNREACHABLE))

    def _time_out(self) -> None:
        """Give up the attempt at its deadline."""
        if self.pending_connection is not None:
            self.pending_connection.time_out()
        elif self.state is AttemptState.SENT:
            # The server's host may have vanished: it is silent, and once it is back it resets connections
            # opened before. Idle connections last used before this attempt are therefore closed. A request
            # written on one would end as RESET although it never ran, and a non-idempotent request can't be
            # retried after a reset.
            self.pool.close_idle(self.started_at)
            self._abort(CallOutcome.TIMEOUT)

    def _abort(self, outcome: CallOutcome) -> None:
        """Close the connection that carries the request; complete with `outcome` once it is closed."""
        assert self.connection is not None
        self.begin_closing(AttemptResult(outcome))
        self.connection.abort()
