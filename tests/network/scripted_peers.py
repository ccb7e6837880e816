"""Peers of a gateway on loopback sockets, whose replies each test defines."""

from __future__ import annotations

import asyncio
import json
import socket
from collections.abc import AsyncIterator, Awaitable, Callable, Iterator
from contextlib import contextmanager
from typing import Any

import hiredis

from tests.network.samples import OK_RESPONSE
from tests.network.scenario import wait_until


class ScriptedPeer:
    """A TCP server on the loopback interface; subclasses implement `serve`, which handles one connection."""

    def __init__(self) -> None:
        self.server: asyncio.Server | None = None
        self.writers: list[asyncio.StreamWriter] = []
        self.port = 0

    async def start(self, port: int = 0) -> None:
        self.server = await asyncio.start_server(self.accept, "127.0.0.1", port)
        self.port = self.server.sockets[0].getsockname()[1]

    async def accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.append(writer)
        try:
            await self.serve(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        raise NotImplementedError

    async def stop(self) -> None:
        if self.server is not None:
            self.server.close()
        for writer in self.writers:
            writer.close()


async def read_commands(reader: asyncio.StreamReader) -> AsyncIterator[list[bytes]]:
    """Iterate over the commands received on a connection."""
    parser = hiredis.Reader()
    while data := await reader.read(65536):
        parser.feed(data)
        while (words := parser.gets()) is not False:
            yield words


# A function that returns the encoded reply to a command, or None to send no reply. Its arguments are the
# words of the command and the writer of the connection.
ReplyFunction = Callable[[list[bytes], asyncio.StreamWriter], Awaitable[bytes | None]]


class ScriptedRespServer(ScriptedPeer):
    """A RESP server that replies to each command with what `reply` returns; None leaves it unanswered.

    `log` lists ("command", connection number, words) and ("closed", connection number, []) in order of time.
    Connections are numbered from 1.
    """

    def __init__(self, reply: ReplyFunction) -> None:
        super().__init__()
        self.reply = reply
        self.log: list[tuple[str, int, list[bytes]]] = []

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connection_number = len(self.writers)
        try:
            async for words in read_commands(reader):
                self.log.append(("command", connection_number, words))
                reply = await self.reply(words, writer)
                if reply is not None:
                    writer.write(reply)
        finally:
            self.log.append(("closed", connection_number, []))

    def received_commands(self) -> list[list[bytes]]:
        """Return the commands received, except PING."""
        return [words for event, _, words in self.log if event == "command" and words != [b"PING"]]


def always_reply(reply: bytes | None) -> ReplyFunction:
    """Return a function that gives the same reply to every command."""

    async def constant_reply(words: list[bytes], writer: asyncio.StreamWriter) -> bytes | None:
        return reply

    return constant_reply


def reply_once_released(release: asyncio.Event) -> ReplyFunction:
    """Return a function that replies to every command with an OK response once `release` is set."""

    async def reply(words: list[bytes], writer: asyncio.StreamWriter) -> bytes:
        await release.wait()
        return OK_RESPONSE

    return reply


class ScriptedDiscovery(ScriptedPeer):
    """A discovery server that sends `responses` in order; a request without one waits until it is appended.

    A response without a length ends with its connection.
    `targets` lists the path and query of each request, `request_times` its arrival in event loop time.
    """

    def __init__(self, *responses: bytes) -> None:
        super().__init__()
        self.responses = list(responses)
        self.targets: list[str] = []
        self.request_times: list[float] = []

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while head := await reader.readuntil(b"\r\n\r\n"):
            self.targets.append(head.split(b" ")[1].decode())
            self.request_times.append(asyncio.get_running_loop().time())
            index = len(self.targets) - 1
            await wait_until(lambda: len(self.responses) > index)  # noqa: B023  # awaited in this iteration
            writer.write(self.responses[index])
            if b"Content-Length" not in self.responses[index]:
                return


def http_response(body: bytes, status: str = "200 OK") -> bytes:
    return b"HTTP/1.1 %b\r\nContent-Length: %d\r\n\r\n%b" % (status.encode(), len(body), body)


def endpoint_list_response(version: int, rows: list[dict[str, Any]], full: bool = True) -> bytes:
    return http_response(json.dumps({"version": version, "full": full, "servers": rows}).encode())


def server_row(server_id: str, port: int, state: str = "Ready", started_ms: float = 0.0) -> dict[str, Any]:
    """Return the row of a server in discovery's endpoint list."""
    return {
        "id": server_id,
        "addr": f"127.0.0.1:{port}",
        "zone": "a",
        "kind": "m",
        "cell": 0,
        "state": state,
        "weight": 1.0,
        "started_ms": started_ms,
    }


@contextmanager
def server_with_full_backlog() -> Iterator[socket.socket]:
    """Yield a listening socket whose backlog is full.

    No further connection to it is established until the connection that fills the backlog is accepted.
    """
    with socket.socket() as server, socket.socket() as filler:
        server.bind(("127.0.0.1", 0))
        server.listen(0)
        filler.connect(server.getsockname())
        server.setblocking(False)
        yield server


class RespClient:
    """A RESP client with one connection."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer
        self.parser = hiredis.Reader()

    @classmethod
    async def connect(cls, port: int) -> RespClient:
        return cls(*await asyncio.open_connection("127.0.0.1", port))

    def send(self, *words: bytes) -> None:
        self.writer.write(hiredis.pack_command(words))  # type: ignore[arg-type]

    async def read_reply(self) -> Any:
        """Return the next reply, or None at the end of the stream."""
        while (reply := self.parser.gets()) is False:
            data = await self.reader.read(65536)
            if not data:
                return None
            self.parser.feed(data)
        return reply

    async def execute(self, *words: bytes) -> Any:
        self.send(*words)
        return await self.read_reply()

    async def closed_by_peer(self) -> bool:
        """Wait for the next bytes; return whether the peer closed the connection without sending any."""
        try:
            return not await self.reader.read(1)
        except ConnectionError:
            return True
