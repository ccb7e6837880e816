"""The establishment of one connection to a server."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING

from quota_gateway.network.server_connection import ServerConnection

if TYPE_CHECKING:
    from quota_gateway.network.server_pool import ServerPool


class PendingConnection:
    """A connection that is being established. It ends as established, failed or cancelled.

    `on_established` or `on_failed` is called once, later than the constructor, unless `cancel` is called
    before. Until its end, `ServerPools.connecting` holds the connection, so that it counts against the limit
    on connections. A failure is reported after that: a retry may need the place.
    """

    __slots__ = ("_connection", "_failed", "_on_established", "_on_failed", "_pool", "_task", "_timer")

    def __init__(
        self,
        pool: ServerPool,
        on_established: Callable[[ServerConnection], None],
        on_failed: Callable[[], None],
    ) -> None:
        pools = pool.owner
        self._pool = pool
        self._on_established = on_established
        self._on_failed = on_failed
        self._connection = ServerConnection(pools.loop, pool)
        self._failed = False  # the end of the task is to be reported as a failure
        pools.connecting.add(self._connection)
        self._task = pools.loop.create_task(self._connect())
        # A task that is cancelled before its first step runs none of its code, but still its callbacks.
        self._task.add_done_callback(self._on_task_done)
        self._timer = pools.loop.call_later(pools.limits.connect_timeout_s, self.time_out)

    def cancel(self) -> None:
        """Stop establishing the connection; neither callback is called."""
        self._failed = False
        self._task.cancel()

    def time_out(self) -> None:
        """Stop establishing the connection; `on_failed` is called once its socket is closed."""
        self._failed = True
        self._task.cancel()

    async def _connect(self) -> None:
        """Open the connection and report how that ended."""
        host, port = self._pool.address
        try:
            await self._pool.owner.loop.create_connection(lambda: self._connection, host, port)
        except OSError:
            self._failed = True
            return
        self._timer.cancel()
        self._on_established(self._connection)

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        """Stop counting the connection as one that is being established, and report a failure.

        If the task is cancelled between `connection_made` and its next step, uvloop closes the socket without
        a call of `connection_lost`, so the pool would keep the connection.
        """
        self._timer.cancel()
        self._pool.owner.connecting.discard(self._connection)
        if task.cancelled():
            self._pool.discard(self._connection)
        if self._failed:
            self._on_failed()
