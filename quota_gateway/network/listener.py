"""The listener: accepts client connections up to a limit and closes connections that time out."""

from __future__ import annotations

import asyncio
import logging

from quota_gateway.network import resp
from quota_gateway.network.bridge import PolicyBridge
from quota_gateway.network.client_connection import ClientConnection
from quota_gateway.network.client_memory import ClientMemory
from quota_gateway.network.command_scheduler import CommandScheduler
from quota_gateway.network.commands import CommandParser
from quota_gateway.network.log_setup import log_event
from quota_gateway.network.socket_poll import has_unread_bytes, peer_closed

log = logging.getLogger("quota_gateway")

IDLE_TIMEOUT_S = 5.0  # time that a connection may stay idle between requests
CROWDED_IDLE_TIMEOUT_S = 2.0  # idle timeout while more than half of the allowed connections are open
READ_BYTES = 64 * 1024  # most bytes that one read from a connection returns
REAP_INTERVAL_S = 0.25  # time between two searches for connections that have timed out
DISCONNECT_POLL_S = 0.05  # no request may be forwarded later than 0.1 s after its client has disconnected
MAX_REFUSED_CONNECTIONS = 16  # connections beyond the limit that get an error; more are aborted without one
ACCEPT_BACKLOG = 512  # connections that the kernel queues until they are accepted


class Listener:
    """Accepts client connections on one address and owns them.

    Up to `max_refused` connections beyond `max_connections` are held until they have received an error.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        bridge: PolicyBridge,
        command_parser: CommandParser,
        client_memory: ClientMemory,
        max_connections: int,
        max_refused: int = MAX_REFUSED_CONNECTIONS,
    ) -> None:
        self.loop = loop
        self.bridge = bridge
        self.command_parser = command_parser
        self.client_memory = client_memory
        self.command_scheduler = CommandScheduler(loop)
        self.max_connections = max_connections
        self.max_refused = max_refused
        self.connections: set[ClientConnection] = set()
        # Parts of `connections`, oldest first (dicts serve as ordered sets): see `eviction_candidate`.
        self._half_closed: dict[ClientConnection, None] = {}
        self._without_command: dict[ClientConnection, None] = {}
        self.server: asyncio.Server | None = None
        self.read_buffer = memoryview(bytearray(READ_BYTES))
        self.draining = False  # while set, connections are closed once they are between requests
        self._paused_connections: set[ClientConnection] = set()  # connections whose reading is paused
        self._disconnect_timer: asyncio.TimerHandle | None = None  # set while connections are paused
        self._reap_timer = loop.call_later(REAP_INTERVAL_S, self._reap)
        self._memory_was_scarce = False  # as last logged

    async def start(self, host: str, port: int) -> None:
        """Listen on the given address. Raises `OSError` if it can't be bound."""
        self.server = await self.loop.create_server(
            lambda: ClientConnection(self), host, port, backlog=ACCEPT_BACKLOG
        )

    def drain(self) -> None:
        """Stop accepting connections, and close open connections once they are between requests.

        Commands that arrive on them before that are served. A connection that has not sent a command yet
        stays open, because its client probably connected to send a request.
        """
        self.draining = True
        if self.server is not None:
            self.server.close()
        for connection in list(self.connections):
            connection.flush()

    def close(self) -> None:
        """Close all connections at the end of the process; replies already written are still sent."""
        self._reap_timer.cancel()
        self.command_scheduler.close()
        if self._disconnect_timer is not None:
            self._disconnect_timer.cancel()
        for connection in list(self.connections):
            if connection.transport is not None:
                connection.transport.close()

    def add(self, connection: ClientConnection) -> None:
        """Accept a new connection.

        At the limit, another connection is evicted for it, or the new one is refused if none can be evicted.
        """
        open_connections = len(self.connections)
        evicted = self.eviction_candidate() if open_connections >= self.max_connections else None
        self.connections.add(connection)
        self._without_command[connection] = None
        if open_connections < self.max_connections:
            return
        if evicted is not None and evicted.transport is not None:
            # Removed at once, so that the next connection in this loop iteration evicts another one.
            self.discard(evicted)
            evicted.transport.abort()
        elif open_connections < self.max_connections + self.max_refused:
            connection.close_with_error(resp.ProtocolError("too many connections"))
        else:
            assert connection.transport is not None
            connection.transport.abort()

    def eviction_candidate(self) -> ClientConnection | None:
        """Return the connection to evict for a new one, or None.

        Half-closed connections are evicted first, then those that never sent a command, then the longest
        idle. A connection with unread data is spared, since the data may be a request: many clients that
        connect within one loop iteration could otherwise evict a client that has just sent one.

        Clients that connect in large numbers and stay silent must not hold up the event loop, so connections
        of the first two kinds are found without a search.
        """
        if self._half_closed:
            return next(iter(self._half_closed))
        for connection in self._without_command:
            if _is_evictable(connection):
                return connection
        idle = [connection for connection in self.connections if connection.is_idle()]
        idle.sort(key=lambda connection: connection.last_activity)
        return next((connection for connection in idle if _is_evictable(connection)), None)

    def first_command_received(self, connection: ClientConnection) -> None:
        """Record that a connection is no longer one without a command."""
        self._without_command.pop(connection, None)

    def half_closed(self, connection: ClientConnection) -> None:
        """Record that a connection only waits for the client to receive the last replies and close."""
        self._without_command.pop(connection, None)
        if connection in self.connections:
            self._half_closed[connection] = None

    def discard(self, connection: ClientConnection) -> None:
        """Remove a connection that is closed."""
        self.connections.discard(connection)
        self._half_closed.pop(connection, None)
        self._without_command.pop(connection, None)
        self._paused_connections.discard(connection)
        self.command_scheduler.discard(connection)

    def start_disconnect_poll(self, connection: ClientConnection) -> None:
        """Poll a connection whose reading is paused: the event loop does not report its disconnect."""
        self._paused_connections.add(connection)
        if self._disconnect_timer is None:
            self._disconnect_timer = self.loop.call_later(DISCONNECT_POLL_S, self._abort_disconnected)

    def stop_disconnect_poll(self, connection: ClientConnection) -> None:
        """Stop polling a connection whose reading is resumed."""
        self._paused_connections.discard(connection)

    def _abort_disconnected(self) -> None:
        """Abort paused connections whose clients have disconnected; schedules its next run.

        Those of clients that are still there resume reading if there is room again.
        """
        self._disconnect_timer = None
        if self._paused_connections:
            self._disconnect_timer = self.loop.call_later(DISCONNECT_POLL_S, self._abort_disconnected)
        for connection in list(self._paused_connections):
            if connection.transport is not None and peer_closed(connection.transport):
                connection.transport.abort()
                connection.cancel_requests()
            else:
                connection.update_reading()

    def _reap(self) -> None:
        """Close the connections that have timed out; schedules its next run.

        One timer for all connections is cheaper than one for each.
        """
        self._reap_timer = self.loop.call_later(REAP_INTERVAL_S, self._reap)
        now = self.loop.time()
        crowded = 2 * len(self.connections) > self.max_connections
        idle_timeout_s = CROWDED_IDLE_TIMEOUT_S if crowded else IDLE_TIMEOUT_S
        for connection in list(self.connections):
            connection.close_if_timed_out(now, idle_timeout_s)
        self._log_memory_state()

    def _log_memory_state(self) -> None:
        """Log when the memory for clients has become scarce, and when it no longer is."""
        is_scarce = self.client_memory.is_scarce
        if is_scarce != self._memory_was_scarce:
            self._memory_was_scarce = is_scarce
            state = "began" if is_scarce else "ended"
            log_event(log, logging.INFO, "client_memory_scarce", state=state)


def _is_evictable(connection: ClientConnection) -> bool:
    """Return whether a connection is between requests and nothing that it has received is unread."""
    transport = connection.transport
    return transport is not None and connection.is_idle() and not has_unread_bytes(transport)
