"""What all stand-ins share: a listener on loopback, its connections, and RESP2 with answers in order."""

from __future__ import annotations

import asyncio
import random
import socket
import struct
from abc import ABC, abstractmethod
from collections import deque
from collections.abc import Collection

import hiredis

from quota_gateway.lab.fakes.faults import FaultKind, Faults

LOOPBACK = "127.0.0.1"
PONG = b"+PONG\r\n"
OK = b"+OK\r\n"
BUSY = b"-BUSY\r\n"
SWEEP_S = 0.25
_NO_LINGER = struct.pack("ii", 1, 0)


def bulk(value: bytes) -> bytes:
    """A bulk string in RESP2."""
    return b"$%d\r\n%b\r\n" % (len(value), value)


class Connection(asyncio.Protocol):
    """One accepted connection."""

    def __init__(self, endpoint: Endpoint) -> None:
        self.endpoint = endpoint
        self.transport: asyncio.Transport | None = None
        self.touched = endpoint.loop.time()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]
        self.endpoint.connections.add(self)
        self.endpoint.accepted += 1

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        self.endpoint.connections.discard(self)

    @property
    def open(self) -> bool:
        """Whether the caller can still be answered."""
        return self.transport is not None and not self.transport.is_closing()

    def idle(self) -> bool:
        """Whether no call is under way."""
        return True

    def write(self, data: bytes) -> None:
        """Writes unless the connection has gone."""
        if self.transport is not None and self.open:
            self.touched = self.endpoint.loop.time()
            self.transport.write(data)

    def close(self) -> None:
        """Ends the connection once all is written."""
        if self.transport is not None:
            self.transport.close()

    def reset(self) -> None:
        """Breaks the connection: the caller gets a reset and not an orderly end."""
        if self.transport is not None:
            raw: socket.socket = self.transport.get_extra_info("socket")
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER)
            self.transport.abort()


class Endpoint(ABC):
    """A listener on 127.0.0.1 with a port that the kernel chooses. Start it inside a running loop.

    `idle_s`: a connection without a call for so long is closed; 0 keeps it for ever.
    """

    def __init__(self, supported: Collection[FaultKind], seed: int, idle_s: float = 0.0) -> None:
        self.rng = random.Random(seed)
        self.faults = Faults(supported, random.Random(seed + 1))
        self.connections: set[Connection] = set()
        self.accepted = 0  # connections so far
        self.port = 0
        self._idle_s = idle_s
        self._server: asyncio.Server | None = None
        self._sweeper: asyncio.TimerHandle | None = None

    @property
    def loop(self) -> asyncio.AbstractEventLoop:
        """The loop that it was started in."""
        return asyncio.get_running_loop()

    @property
    def address(self) -> str:
        """`host:port`; the port is known after `start`."""
        return f"{LOOPBACK}:{self.port}"

    @abstractmethod
    def accept(self) -> Connection:
        """The protocol of a new connection."""

    async def start(self) -> None:
        """Listens. After `stop` it listens again at the same address. Raises OSError if it can't."""
        self._server = await self.loop.create_server(self.accept, LOOPBACK, self.port, backlog=512)
        self.port = int(self._server.sockets[0].getsockname()[1])
        if self._idle_s:
            self._sweep()

    async def stop(self) -> None:
        """Stops listening and resets what is connected, as the end of a process does."""
        if self._sweeper is not None:
            self._sweeper.cancel()
        if self._server is not None:
            self._server.close()
            self._server = None
        for connection in list(self.connections):
            connection.reset()
        while self.connections:
            await asyncio.sleep(0)

    def _sweep(self) -> None:
        self._sweeper = self.loop.call_later(min(SWEEP_S, self._idle_s), self._sweep)
        before = self.loop.time() - self._idle_s
        for connection in list(self.connections):
            if connection.touched < before and connection.idle():
                connection.close()


class Slot:
    """The place of one answer in its connection's order. A slot that is never filled holds back the rest."""

    __slots__ = ("_reply", "connection", "first", "last")

    def __init__(self, connection: RespConnection, first: bool) -> None:
        self.connection = connection
        self.first = first  # of its connection
        self.last = False  # the connection ends behind this answer
        self._reply: bytes | None = None

    @property
    def ready(self) -> bytes | None:
        """The answer, once it is known."""
        return self._reply

    def fill(self, reply: bytes, last: bool = False) -> None:
        """Answers; the bytes go out when the answers before this one have."""
        self._reply, self.last = reply, last
        self.connection.flush()


class RespEndpoint(Endpoint):
    """An endpoint that speaks RESP2."""

    def accept(self) -> Connection:
        return RespConnection(self)

    @abstractmethod
    def command(self, slot: Slot, words: list[bytes]) -> None:
        """Takes one command, and fills the slot now or later."""


class RespConnection(Connection):
    """Commands in, answers out in the order of their commands. What can't be read ends the connection."""

    def __init__(self, endpoint: RespEndpoint) -> None:
        super().__init__(endpoint)
        self._target = endpoint
        self._reader = hiredis.Reader()
        self._slots: deque[Slot] = deque()
        self._fresh = True

    def idle(self) -> bool:
        return not self._slots

    def data_received(self, data: bytes) -> None:
        self.touched = self.endpoint.loop.time()
        try:
            self._reader.feed(data)
            while self.open and (words := self._reader.gets()) is not False:
                self._take(words)
        except hiredis.ProtocolError:
            self.close()

    def _take(self, words: object) -> None:
        if not isinstance(words, list) or not words or not all(type(word) is bytes for word in words):
            self.close()
            return
        slot = Slot(self, self._fresh)
        self._fresh = False
        self._slots.append(slot)
        self._target.command(slot, words)

    def flush(self) -> None:
        """Writes the answers that are next in order."""
        ready: list[bytes] = []
        last = False
        while self._slots and not last and (reply := self._slots[0].ready) is not None:
            last = self._slots.popleft().last
            ready.append(reply)
        if ready:
            self.write(b"".join(ready))
        if last:
            self.close()
