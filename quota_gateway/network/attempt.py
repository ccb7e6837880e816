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
from collections.abc import Callable
from enum import Enum, auto

from quota_gateway.network.attempt_result import AttemptResult
from quota_gateway.network.server_connection import ServerConnection
from quota_gateway.network.server_pool import ServerPool
from quota_gateway.policy_api.events import CallOutcome

MIN_TIME_LEFT_MS = 1  # a command can't tell a server less than this


class AttemptState(Enum):
    """The state of an attempt."""

    CONNECTING = auto()  # nothing was written: the request can't have run
    SENT = auto()  # the request was written and its response is awaited
    CLOSING = auto()  # given up; the result is known and the connection is being closed
    COMPLETED = auto()  # the result was reported


class Attempt:
    """One request on its way to one server.

    `encode` makes the command, given the milliseconds left. `on_complete` is called exactly once with the
    result; possibly inside `start` or `cancel`, if nothing was written.
    """

    __slots__ = (
        "connect_task",
        "connect_timer",
        "connection",
        "deadline",
        "encode",
        "on_complete",
        "pool",
        "result",
        "started_at",
        "state",
        "timeout_timer",
    )

    def __init__(
        self,
        pool: ServerPool,
        encode: Callable[[int], bytes],
        timeout_s: float,
        on_complete: Callable[[AttemptResult], None],
    ) -> None:
        self.pool = pool
        self.encode = encode
        self.on_complete = on_complete
        self.started_at = pool.owner.loop.time()
        self.deadline = self.started_at + timeout_s
        self.state = AttemptState.CONNECTING
        self.result: AttemptResult | None = None  # set in CLOSING: reported once the connection is closed
        self.connection: ServerConnection | None = None
        self.connect_task: asyncio.Task[None] | None = None
        self.connect_timer: asyncio.TimerHandle | None = None
        self.timeout_timer: asyncio.TimerHandle | None = None

    @property
    def awaiting_response(self) -> bool:
        """Whether a response is still of use."""
        return self.state is AttemptState.SENT

    @property
    def may_have_run(self) -> bool:
        """Whether the request was written, so that the server may have run it or may still do so."""
        return self.state is AttemptState.SENT or self.state is AttemptState.CLOSING

    def start(self) -> None:
        """Write the request on an idle connection, or open one."""
        pools = self.pool.owner
        self.timeout_timer = pools.loop.call_at(self.deadline, self._time_out)
        connection = self.pool.acquire()
        if connection is not None:
            self._write(connection)
        elif not pools.make_room():
            self.complete(AttemptResult(CallOutcome.UNREACHABLE))
        else:
            pools.connecting += 1
            self.connect_task = pools.loop.create_task(self._connect())
            connect_timeout_s = pools.limits.connect_timeout_s
            self.connect_timer = pools.loop.call_later(connect_timeout_s, self._fail_to_connect)

    def cancel(self) -> None:
        """Give up. A cancel says nothing about the server: without a connection the outcome is NOT_SENT."""
        if self.state is AttemptState.CONNECTING:
            self._cancel_connect()
            self.complete(AttemptResult(CallOutcome.NOT_SENT))
        elif self.state is AttemptState.SENT:
            self._abort(CallOutcome.CANCELLED)

    def close_with(self, result: AttemptResult) -> None:
        """Record the result with which the attempt completes once the connection is closed."""
        self.state = AttemptState.CLOSING
        self.result = result

    def complete(self, result: AttemptResult) -> None:
        """Report the result; only the first call has an effect."""
        if self.state is AttemptState.COMPLETED:
            return
        self.state = AttemptState.COMPLETED
        for timer in (self.timeout_timer, self.connect_timer):
            if timer is not None:
                timer.cancel()
        self.timeout_timer = self.connect_timer = None
        self.connection = None
        self.on_complete(result)

    async def _connect(self) -> None:
        """Open a connection and write the request on it."""
        pools = self.pool.owner
        connection = ServerConnection(pools.loop, self.pool)
        host, port = self.pool.address
        try:
            await pools.loop.create_connection(lambda: connection, host, port)
        except OSError:
            self._fail_to_connect()
            return
        finally:
            pools.connecting -= 1
        self.connect_task = None
        if self.state is AttemptState.COMPLETED:
            connection.abort()  # established too late: the request must not be written any more
        elif not self.pool.writable():
            connection.abort()  # the drain's grace ended while the connection was being established
            self.complete(AttemptResult(CallOutcome.UNREACHABLE))
        else:
            self._write(connection)

    def _write(self, connection: ServerConnection) -> None:
        """Write the request; from here on it may have run."""
        if self.connect_timer is not None:
            self.connect_timer.cancel()
        time_left_ms = int(1000.0 * (self.deadline - self.pool.owner.loop.time()))
        transport = connection.transport
        if time_left_ms < MIN_TIME_LEFT_MS or transport is None or transport.is_closing():
            connection.abort()
            self.complete(AttemptResult(CallOutcome.UNREACHABLE))
            return
        self.connection = connection
        self.state = AttemptState.SENT
        connection.attempt = self
        transport.write(self.encode(time_left_ms))

    def _fail_to_connect(self) -> None:
        """Complete without a connection: it was refused or not established in time."""
        self._cancel_connect()
        self.complete(AttemptResult(CallOutcome.UNREACHABLE))

    def _cancel_connect(self) -> None:
        """Give up a connection that is being established."""
        task, self.connect_task = self.connect_task, None
        if task is not None and task is not asyncio.current_task(self.pool.owner.loop):
            task.cancel()

    def _time_out(self) -> None:
        """Give up at the deadline."""
        if self.state is AttemptState.CONNECTING:
            self._fail_to_connect()
        elif self.state is AttemptState.SENT:
            # A host that vanished is silent, and resets old connections once it is back. The pool's other
            # connections, unused for as long as this attempt, would turn requests that never ran into resets,
            # after which a non-idempotent request can't be retried.
            self.pool.close_idle(self.started_at)
            self._abort(CallOutcome.TIMEOUT)

    def _abort(self, outcome: CallOutcome) -> None:
        """Close the connection of a request that was written."""
        assert self.connection is not None
        self.close_with(AttemptResult(outcome))
        self.connection.abort()
