"""Connection pools: one for each server, all under one limit on open sockets.

A pool reuses its most recently used connection first. Connections opened during a burst then stay idle, and
the pool closes them before the server's idle timeout would, which could reset a request.
"""

from __future__ import annotations

import asyncio
import math
import time
from dataclasses import dataclass
from weakref import WeakValueDictionary

from quota_gateway.network.address import Address
from quota_gateway.network.server_connection import ServerConnection
from quota_gateway.network.socket_poll import has_unread_bytes

# Writes end this long before the drain grace period does: the process may be held up between the check of the
# time and the write.
DRAIN_MARGIN_S = 0.15
IDLE_MARGIN_S = 2.0  # idle connections are closed this long before the server's idle timeout
EXPIRY_INTERVAL_S = 1.0  # time between two searches for connections past the idle limit
MIN_REUSE_DELAY_S = 0.03  # least idle time before a connection carries another request: see `acquire`


def idle_limit_s(server_idle_timeout_s: float) -> float:
    """Return how long a connection may be idle: a margin less than the server's own idle timeout."""
    return server_idle_timeout_s - min(IDLE_MARGIN_S, 0.5 * server_idle_timeout_s)


@dataclass(frozen=True, slots=True)
class PoolLimits:
    """Limits that all pools share."""

    connect_timeout_s: float
    max_idle_s: float  # connections idle for this long are closed instead of reused
    drain_grace_s: float  # time for which a draining server still accepts requests
    max_connections: int  # limit on the connections to all servers together


class ServerPool:
    """The idle connections to one server at one address, and whether requests may be written to it."""

    __slots__ = ("__weakref__", "address", "idle", "owner", "server_id", "started_ms", "write_deadline")

    def __init__(self, owner: ServerPools, server_id: str, address: Address, started_ms: float) -> None:
        self.owner = owner
        self.server_id = server_id
        self.address = address
        self.started_ms = started_ms  # Unix time at which the server's process started, as listed
        self.idle: list[ServerConnection] = []  # ordered from least to most recently used
        # Reading of `time.monotonic()` after which no request is written; None while the server is active.
        self.write_deadline: float | None = None

    @property
    def superseded(self) -> bool:
        """Whether the process of another server has the address now."""
        return self.write_deadline == -math.inf

    def writable(self) -> bool:
        """Return whether requests may be written to the server at this moment."""
        # Not the time of the event loop, which is that of the beginning of its iteration.
        return self.write_deadline is None or time.monotonic() <= self.write_deadline

    def acquire(self) -> ServerConnection | None:
        """Remove the most recently used idle connection that is safe to write on and return it, or None.

        Three kinds of connections are unsafe, since a request written on them may receive another request's
        value or be reset:

        - those past the idle limit, which the server may be closing;
        - those whose last response is more recent than `MIN_REUSE_DELAY_S`, on which surplus bytes or the end
          of the stream may still arrive;
        - those with input in the kernel that the event loop has not read yet.

        Those of the second kind stay idle, the others are closed.
        """
        now = self.owner.loop.time()
        for index in range(len(self.idle) - 1, -1, -1):
            connection = self.idle[index]
            if now - connection.idle_since < MIN_REUSE_DELAY_S:
                continue
            del self.idle[index]
            if connection.transport is None or connection.transport.is_closing():
                continue
            expired = now - connection.idle_since >= self.owner.limits.max_idle_s
            if not expired and not has_unread_bytes(connection.transport):
                return connection
            connection.abort()
        return None

    def add(self, connection: ServerConnection) -> None:
        """Add a connection that has been established."""
        connection.process_started_ms = self.started_ms
        self.owner.connecting.discard(connection)
        self.owner.connections.add(connection)

    def release(self, connection: ServerConnection) -> None:
        """Make a connection idle that carries no request, or close it.

        It is closed if the server is draining or has restarted since the connection was established.
        """
        closing = connection.transport is None or connection.transport.is_closing()
        to_earlier_process = connection.process_started_ms != self.started_ms
        if self.write_deadline is not None or closing or to_earlier_process:
            connection.abort()
            return
        connection.idle_since = self.owner.loop.time()
        self.idle.append(connection)

    def discard(self, connection: ServerConnection) -> None:
        """Remove a connection that is closed."""
        self.owner.connections.discard(connection)
        if connection in self.idle:
            self.idle.remove(connection)

    def close_idle(self, unused_since: float | None = None) -> None:
        """Close all idle connections, or those last used at or before the event loop time `unused_since`."""
        kept: list[ServerConnection] = []
        if unused_since is not None:
            kept = [connection for connection in self.idle if connection.idle_since > unused_since]
        closing = [connection for connection in self.idle if connection not in kept]
        self.idle = kept
        for connection in closing:
            connection.abort()

    def drain(self) -> None:
        """Close idle connections and start the grace period, after which no request is written.

        Further calls do not extend the grace period.
        """
        if self.write_deadline is None:
            grace_s = self.owner.limits.drain_grace_s - DRAIN_MARGIN_S
            self.write_deadline = time.monotonic() + grace_s
        self.close_idle()

    def supersede(self) -> None:
        """Write no more requests, not even in a grace period: another server's process has the address."""
        self.write_deadline = -math.inf
        self.close_idle()

    def set_process(self, started_ms: float) -> None:
        """Note the start of the server's process; if it has restarted, close the idle connections.

        They lead to the previous process.
        """
        if started_ms != self.started_ms:
            self.started_ms = started_ms
            self.close_idle()


class ServerPools:
    """The connection pools of all servers by server id, and the limit on their connections."""

    def __init__(self, loop: asyncio.AbstractEventLoop, limits: PoolLimits) -> None:
        self.loop = loop
        self.limits = limits
        self.pools: dict[str, ServerPool] = {}
        # The pool of the server that has an address now, or had it last. Pools of removed servers stay for as
        # long as attempts use them.
        self._latest_at: WeakValueDictionary[Address, ServerPool] = WeakValueDictionary()
        self._superseded_at: dict[Address, ServerPool] = {}  # listed servers whose address another has taken
        # The connections to all servers, those of replaced and removed pools included.
        self.connecting: set[ServerConnection] = set()  # being established
        self.connections: set[ServerConnection] = set()  # established, idle or in use
        self.expiry_timer = loop.call_later(EXPIRY_INTERVAL_S, self.close_expired)

    def activate(self, server_id: str, address: Address, started_ms: float) -> None:
        """Provide a pool for an active server, whose process started at Unix time `started_ms`.

        A server with a new address, or one that was draining, gets a new pool. A restarted server keeps its
        pool without the idle connections.
        """
        pool = self.pools.get(server_id)
        if pool is not None:
            same_process = pool.address == address and pool.started_ms == started_ms
            if same_process and pool.superseded and self._address_is_taken(address):
                return
            if pool.address == address and pool.write_deadline is None:
                pool.set_process(started_ms)
                return
            pool.drain()
        self.pools[server_id] = ServerPool(self, server_id, address, started_ms)
        self._take_address(self.pools[server_id])

    def _take_address(self, pool: ServerPool) -> None:
        """Let only one of the servers that have had an address get requests there: the one started last.

        A new process may come up at the address of one that has gone. What is meant for the server that has
        gone, such as a request whose connection is being established, must not reach it.
        """
        earlier = self._latest_at.get(pool.address)
        if earlier is not None and self._is_listed(earlier) and earlier.started_ms > pool.started_ms:
            self._supersede(pool)
            return
        if earlier is not None and earlier.server_id != pool.server_id:
            self._supersede(earlier)
        self._latest_at[pool.address] = pool

    def _supersede(self, pool: ServerPool) -> None:
        pool.supersede()
        if self._is_listed(pool):
            self._superseded_at[pool.address] = pool

    def _return_address(self, address: Address) -> None:
        """Let a listed server have its address again after the one that had taken it was removed."""
        pool = self._superseded_at.pop(address, None)
        if pool is not None and self._is_listed(pool):
            self.activate(pool.server_id, address, pool.started_ms)

    def _address_is_taken(self, address: Address) -> bool:
        """Return whether a listed server has taken an address from others."""
        latest = self._latest_at.get(address)
        return latest is not None and self._is_listed(latest)

    def _is_listed(self, pool: ServerPool) -> bool:
        return self.pools.get(pool.server_id) is pool

    def drain(self, server_id: str) -> None:
        """Stop sending requests to a server after the drain grace period; requests in flight may finish."""
        pool = self.pools.get(server_id)
        if pool is not None:
            pool.drain()

    def remove(self, server_id: str) -> None:
        """Remove a server that is no longer listed; requests in flight may finish."""
        pool = self.pools.pop(server_id, None)
        if pool is not None:
            pool.drain()
            if not pool.superseded:
                self._return_address(pool.address)

    def writable_pool(self, server_id: str) -> ServerPool | None:
        """Return the server's pool, or None if no request may be written to the server."""
        pool = self.pools.get(server_id)
        return pool if pool is not None and pool.writable() else None

    def socket_count(self) -> int:
        """Return the number of sockets in use, connections being established included."""
        return len(self.connecting) + len(self.connections)

    def make_room_for_connection(self) -> bool:
        """Return whether a connection may be opened; at the limit, close the longest idle one first."""
        if self.socket_count() < self.limits.max_connections:
            return True
        pools = [pool for pool in self.pools.values() if pool.idle]
        if not pools:
            return False
        pool = min(pools, key=lambda candidate: candidate.idle[0].idle_since)
        pool.idle.pop(0).abort()
        return True

    def close_expired(self) -> None:
        """Close connections past the idle limit; schedules its next run."""
        self.expiry_timer = self.loop.call_later(EXPIRY_INTERVAL_S, self.close_expired)
        unused_since = self.loop.time() - self.limits.max_idle_s
        for pool in self.pools.values():
            pool.close_idle(unused_since)

    def close(self) -> None:
        """Close all connections and stop the periodic expiry, at the end of the process."""
        self.expiry_timer.cancel()
        for connection in list(self.connections):
            connection.abort()
