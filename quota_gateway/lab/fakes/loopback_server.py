"""Base of all fakes: a listening socket on loopback and its connections."""

from __future__ import annotations

import asyncio
import random
import socket
import struct
from abc import ABC, abstractmethod
from collections.abc import Collection

from quota_gateway.lab.fakes.faults import FaultInjector, FaultKind

LOOPBACK = "127.0.0.1"
LISTEN_BACKLOG = 512
IDLE_CHECK_INTERVAL_S = 0.25
# `struct linger` with l_onoff 1 and l_linger 0: closing such a socket sends RST instead of FIN.
_LINGER_ZERO = struct.pack("ii", 1, 0)


class LoopbackConnection(asyncio.Protocol):
    """One accepted connection."""

    def __init__(self, server: LoopbackServer) -> None:
        self.server = server
        self.transport: asyncio.Transport | None = None
        self.last_activity = server.loop.time()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register with the server (asyncio's callback)."""
        self.transport = transport  # type: ignore[assignment]  # a TCP connection has a full transport
        self.server.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:  # noqa: ARG002 - asyncio's signature
        """Unregister from the server (asyncio's callback)."""
        self.transport = None
        self.server.connections.discard(self)

    @property
    def is_open(self) -> bool:
        """Whether replies can still be written."""
        return self.transport is not None and not self.transport.is_closing()

    @property
    def is_idle(self) -> bool:
        """Whether no call is pending."""
        return True

    def write(self, data: bytes) -> None:
        """Write bytes; ignored on a closed connection."""
        if self.transport is not None and self.is_open:
            self.last_activity = self.server.loop.time()
            self.transport.write(data)

    def close(self) -> None:
        """Close the connection after all buffered bytes are written."""
        if self.transport is not None:
            self.transport.close()

    def reset(self) -> None:
        """Abort the connection with RST, so that the caller does not see an orderly close."""
        if self.transport is not None:
            tcp_socket: socket.socket = self.transport.get_extra_info("socket")
            tcp_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_ZERO)
            self.transport.abort()


class LoopbackServer(ABC):
    """A server on 127.0.0.1, on a port that the kernel chooses. It needs a running event loop.

    Args:
        supported: the kinds of fault that the fake supports.
        seed: seed of the fake's random generator; the fault injector has its own, seeded with `seed` + 1.
        idle_timeout_s: an idle connection is closed after this time; 0 means never.
    """

    def __init__(self, supported: Collection[FaultKind], seed: int, idle_timeout_s: float = 0.0) -> None:
        self.rng = random.Random(seed)
        self.faults = FaultInjector(supported, random.Random(seed + 1))
        self.connections: set[LoopbackConnection] = set()
        self.port = 0
        self._idle_timeout_s = idle_timeout_s
        self._listener: asyncio.Server | None = None
        self._idle_check: asyncio.TimerHandle | None = None

    @property
    def loop(self) -> asyncio.AbstractEventLoop:
        """The running event loop."""
        return asyncio.get_running_loop()

    @property
    def address(self) -> str:
        """The address as `host:port`; the port is 0 before the first `start`."""
        return f"{LOOPBACK}:{self.port}"

    @abstractmethod
    def create_connection(self) -> LoopbackConnection:
        """Return the protocol object of a new connection."""

    async def start(self) -> None:
        """Start listening; after `stop`, on the same port again. Raises OSError if that is not possible."""
        self._listener = await self.loop.create_server(
            self.create_connection, LOOPBACK, self.port, backlog=LISTEN_BACKLOG
        )
        self.port = int(self._listener.sockets[0].getsockname()[1])
        if self._idle_timeout_s:
            self._close_idle_connections()

    async def stop(self) -> None:
        """Stop listening and reset all connections, as if the process had died."""
        if self._idle_check is not None:
            self._idle_check.cancel()
        if self._listener is not None:
            self._listener.close()
            self._listener = None
        for connection in list(self.connections):
            connection.reset()
        while self.connections:
            await asyncio.sleep(0)

    def _close_idle_connections(self) -> None:
        """Close connections past the idle timeout, and schedule the next such check."""
        interval_s = min(IDLE_CHECK_INTERVAL_S, self._idle_timeout_s)
        self._idle_check = self.loop.call_later(interval_s, self._close_idle_connections)
        idle_since = self.loop.time() - self._idle_timeout_s
        for connection in list(self.connections):
            if connection.last_activity < idle_since and connection.is_idle:
                connection.close()
