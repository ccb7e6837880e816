"""The listener: accepts client connections up to a limit and closes those that time out."""

from __future__ import annotations

import asyncio

from quota_gateway.network import resp
from quota_gateway.network.bridge import PolicyBridge
from quota_gateway.network.client_connection import ClientConnection
from quota_gateway.network.commands import CommandParser
from quota_gateway.network.socket_poll import has_unread_bytes, peer_closed

IDLE_TIMEOUT_S = 5.0  # for a connection between requests ...
CROWDED_IDLE_TIMEOUT_S = 2.0  # ... and while more than half of the places are taken
REAP_INTERVAL_S = 0.25
DISCONNECT_POLL_S = 0.05  # a request must not be forwarded 0.1 s after its client has disconnected
MAX_REFUSED_CONNECTIONS = 16  # beyond the limit, that get an error; further ones are aborted without one
ACCEPT_BACKLOG = 512


class Listener:
    """Accepts client connections on one address and owns them."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        bridge: PolicyBridge,
        command_parser: CommandParser,
        max_connections: int,
        max_refused: int = MAX_REFUSED_CONNECTIONS,
    ) -> None:
        self.loop = loop
        self.bridge = bridge
        self.command_parser = command_parser
        self.max_connections = max_connections
        self.max_refused = max_refused
        self.connections: set[ClientConnection] = set()
        self.open_request_ids: set[bytes] = set()  # of requests in flight, over all connections
        self.server: asyncio.Server | None = None
        self.draining = False  # connections are closed as soon as they are between requests
        self._unread: set[ClientConnection] = set()  # connections whose reading is paused
        self._disconnect_timer: asyncio.TimerHandle | None = None  # runs while there are any
        self._reap_timer = loop.call_later(REAP_INTERVAL_S, self._reap)

    async def start(self, host: str, port: int) -> None:
        """Listen on this address only. Raises `OSError` if it can't be bound."""
        self.server = await self.loop.create_server(
            lambda: ClientConnection(self), host, port, backlog=ACCEPT_BACKLOG
        )

    def drain(self) -> None:
        """Accept no new connections, and close the others as soon as they are between requests.

        Commands that still arrive on them until then are served. A connection without a command so far stays
        open: it was made for a request that is still to come.
        """
        self.draining = True
        if self.server is not None:
            self.server.close()
        for connection in list(self.connections):
            connection.flush()

    def close(self) -> None:
        """Close everything at the end of the process; written replies still leave."""
        self._reap_timer.cancel()
        if self._disconnect_timer is not None:
            self._disconnect_timer.cancel()
        for connection in list(self.connections):
            if connection.transport is not None:
                connection.transport.close()

    def add(self, connection: ClientConnection) -> None:
        """Admit a new connection.

        At the limit another one is evicted for it; if none can be, the new one is refused.
        """
        if len(self.connections) >= self.max_connections:
            evicted = self.eviction_candidate()
            if evicted is not None and evicted.transport is not None:
                # Forgotten at once, so that the next connection of this iteration evicts another one.
                self.connections.discard(evicted)
                evicted.transport.abort()
            elif len(self.connections) < self.max_connections + self.max_refused:
                connection.close_with_error(resp.ProtocolError("too many connections"))
            else:
                assert connection.transport is not None
                connection.transport.abort()
        self.connections.add(connection)

    def eviction_candidate(self) -> ClientConnection | None:
        """Return the connection to evict, or None.

        Half-closed ones go first, then those that never sent a command, then the longest idle. One with
        unread data is spared, since that may be a request: many clients that connect within one iteration
        would otherwise evict whoever has just sent one.
        """
        candidates = [c for c in self.connections if c.half_closed_at is not None or c.is_idle()]
        candidates.sort(key=lambda c: (c.half_closed_at is None, c.has_sent_command, c.last_activity))
        for connection in candidates:
            if connection.half_closed_at is not None:
                return connection
            if connection.transport is not None and not has_unread_bytes(connection.transport):
                return connection
        return None

    def discard(self, connection: ClientConnection) -> None:
        """Forget a connection that is closed."""
        self.connections.discard(connection)
        self._unread.discard(connection)

    def watch_for_disconnect(self, connection: ClientConnection) -> None:
        """Poll a connection that is not read, since nothing else would report its disconnect."""
        self._unread.add(connection)
        if self._disconnect_timer is None:
            self._disconnect_timer = self.loop.call_later(DISCONNECT_POLL_S, self._abort_disconnected)

    def unwatch(self, connection: ClientConnection) -> None:
        """Stop polling a connection, which is read again."""
        self._unread.discard(connection)

    def _abort_disconnected(self) -> None:
        """Abort connections that are not read and whose clients have disconnected."""
        self._disconnect_timer = None
        if self._unread:
            self._disconnect_timer = self.loop.call_later(DISCONNECT_POLL_S, self._abort_disconnected)
        for connection in list(self._unread):
            if connection.transport is not None and peer_closed(connection.transport):
                connection.transport.abort()
                connection.cancel_requests()

    def _reap(self) -> None:
        """Close timed-out connections; one timer for all is cheaper than one for each."""
        self._reap_timer = self.loop.call_later(REAP_INTERVAL_S, self._reap)
        now = self.loop.time()
        crowded = 2 * len(self.connections) > self.max_connections
        idle_timeout_s = CROWDED_IDLE_TIMEOUT_S if crowded else IDLE_TIMEOUT_S
        for connection in list(self.connections):
            connection.close_if_timed_out(now, idle_timeout_s)
