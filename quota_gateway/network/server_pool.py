"""Connection pools: one for each server, all within one limit of sockets.

A pool hands out the connection that was used last. The others of a burst thus grow idle, and are closed
before the server would close them under a request.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from quota_gateway.network.address import Address
from quota_gateway.network.server_connection import ServerConnection
from quota_gateway.network.socket_poll import has_unread_bytes

DRAIN_MARGIN_S = 0.05  # a request written this close to the end of a drain's grace might arrive after it
IDLE_MARGIN_S = 2.0  # idle connections are closed this long before the server would close them
EXPIRY_INTERVAL_S = 1.0  # idle connections are checked this often
SETTLE_S = 0.03  # a connection rests this long after a response: see `ServerPool.acquire`


def idle_limit_s(server_idle_timeout_s: float) -> float:
    """Return how long a connection may be idle, given the server's own timeout; always less than that."""
    return server_idle_timeout_s - min(IDLE_MARGIN_S, 0.5 * server_idle_timeout_s)


@dataclass(frozen=True, slots=True)
class PoolLimits:
    """Limits from the settings, for all pools."""

    connect_timeout_s: float
    idle_s: float  # a connection idle for longer is not used any more
    drain_grace_s: float  # a server that drains takes requests for this long
    max_connections: int  # over all servers


class ServerPool:
    """The connections to one server at one address."""

    __slots__ = ("address", "connections", "idle", "owner", "write_deadline")

    def __init__(self, owner: ServerPools, address: Address) -> None:
        self.owner = owner
        self.address = address
        self.idle: list[ServerConnection] = []  # least recently used first
        self.connections: set[ServerConnection] = set()  # all that are established
        # The loop's time after which nothing is written; None while the server is active.
        self.write_deadline: float | None = None

    def writable(self) -> bool:
        """Tell whether requests may still be written to the server."""
        return self.write_deadline is None or self.owner.loop.time() <= self.write_deadline

    def acquire(self) -> ServerConnection | None:
        """Take the most recently used idle connection that is safe to write on, or None.

        Unsafe are connections that the server may be closing for idleness, and those whose last response was
        so recent that surplus bytes or the end of the stream may still be on their way: a request written
        there would receive another request's value, or be reset. The same holds where something has arrived
        that the loop has not read yet.
        """
        now = self.owner.loop.time()
        for index in range(len(self.idle) - 1, -1, -1):
            connection = self.idle[index]
            if now - connection.idle_since < SETTLE_S:
                continue
            del self.idle[index]
            if connection.transport is None or connection.transport.is_closing():
                continue
            expired = now - connection.idle_since >= self.owner.limits.idle_s
            if not expired and not has_unread_bytes(connection.transport):
                return connection
            connection.abort()
        return None

    def add(self, connection: ServerConnection) -> None:
        """Count a connection that has been established."""
        self.connections.add(connection)

    def release(self, connection: ServerConnection) -> None:
        """Make a connection idle after its response, or close it if the server is draining."""
        closing = connection.transport is None or connection.transport.is_closing()
        if self.write_deadline is not None or closing:
            connection.abort()
            return
        connection.idle_since = self.owner.loop.time()
        self.idle.append(connection)

    def discard(self, connection: ServerConnection) -> None:
        """Forget a connection that is closed."""
        self.connections.discard(connection)
        if connection in self.idle:
            self.idle.remove(connection)

    def close_idle(self, unused_since: float | None = None) -> None:
        """Close idle connections: all, or those last used at or before a time of the loop."""
        kept: list[ServerConnection] = []
        if unused_since is not None:
            kept = [connection for connection in self.idle if connection.idle_since > unused_since]
        closing = [connection for connection in self.idle if connection not in kept]
        self.idle = kept
        for connection in closing:
            connection.abort()

    def drain(self) -> None:
        """Close idle connections and stop writing once the grace is over, which the first call starts."""
        if self.write_deadline is None:
            grace_s = self.owner.limits.drain_grace_s - DRAIN_MARGIN_S
            self.write_deadline = self.owner.loop.time() + grace_s
        self.close_idle()


class ServerPools:
    """The pools of all servers, by server id."""

    def __init__(self, loop: asyncio.AbstractEventLoop, limits: PoolLimits) -> None:
        self.loop = loop
        self.limits = limits
        self.pools: dict[str, ServerPool] = {}
        self.removed: set[ServerPool] = set()  # pools of servers no longer listed, with connections in use
        self.connecting = 0  # connections being established
        self.expiry_timer = loop.call_later(EXPIRY_INTERVAL_S, self.close_expired)

    def activate(self, server_id: str, address: Address, restarted: bool) -> None:
        """Have a pool for a server that takes requests; a moved or formerly draining one gets a new pool."""
        pool = self.pools.get(server_id)
        if pool is None or pool.write_deadline is not None or pool.address != address:
            if pool is not None:
                self._retire(pool)
            self.pools[server_id] = ServerPool(self, address)
        elif restarted:
            pool.close_idle()  # these connections lead to the process that ended

    def drain(self, server_id: str) -> None:
        """Stop using a server once the grace is over; requests in flight may finish."""
        pool = self.pools.get(server_id)
        if pool is not None:
            pool.drain()

    def remove(self, server_id: str) -> None:
        """Forget a server that is no longer listed; requests in flight may finish."""
        pool = self.pools.pop(server_id, None)
        if pool is not None:
            self._retire(pool)

    def _retire(self, pool: ServerPool) -> None:
        self.removed.add(pool)
        pool.drain()

    def writable_pool(self, server_id: str) -> ServerPool | None:
        """Return the server's pool, or None if the server is not listed or takes no more requests."""
        pool = self.pools.get(server_id)
        return pool if pool is not None and pool.writable() else None

    def socket_count(self) -> int:
        """Return the number of sockets in use, connections being established included."""
        pools = [*self.pools.values(), *self.removed]
        return self.connecting + sum(len(pool.connections) for pool in pools)

    def make_room(self) -> bool:
        """Tell whether a connection may be opened; at the limit, close the longest idle one for it."""
        if self.socket_count() < self.limits.max_connections:
            return True
        pools = [pool for pool in self.pools.values() if pool.idle]
        if not pools:
            return False
        pool = min(pools, key=lambda candidate: candidate.idle[0].idle_since)
        pool.idle.pop(0).abort()
        return True

    def close_expired(self) -> None:
        """Close connections idle for too long and forget removed pools that are empty; runs periodically."""
        self.expiry_timer = self.loop.call_later(EXPIRY_INTERVAL_S, self.close_expired)
        unused_since = self.loop.time() - self.limits.idle_s
        for pool in self.pools.values():
            pool.close_idle(unused_since)
        self.removed = {pool for pool in self.removed if pool.connections}

    def close(self) -> None:
        """Close all connections, at the end of the process."""
        self.expiry_timer.cancel()
        for pool in [*self.pools.values(), *self.removed]:
            for connection in list(pool.connections):
                connection.abort()
