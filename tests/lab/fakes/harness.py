"""Shared helpers of the fakes' tests: a started fake, a connection to it, and checks of each fault."""

from __future__ import annotations

import asyncio
import json
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from typing import Any, TypeVar

import pytest

from quota_gateway.lab.fakes.attempt_log import AttemptLog
from quota_gateway.lab.fakes.faults import MALFORMED_REPLIES, FaultKind
from quota_gateway.lab.fakes.loopback_server import LoopbackServer
from quota_gateway.lab.fakes.server import FakeServer, ServerModel
from tests.network.scenario import run_scenario
from tests.network.scripted_peers import RespClient

Server = TypeVar("Server", bound=LoopbackServer)
INSTANT = ServerModel(service_ms=0.0)
NO_REPLY_WAIT_S = 0.05


@asynccontextmanager
async def started(server: Server) -> AsyncIterator[Server]:
    """Start a fake and stop it at the end."""
    await server.start()
    try:
        yield server
    finally:
        await server.stop()


def fake_server(model: ServerModel) -> FakeServer:
    """Return a fake server with an attempt log of its own."""
    return FakeServer("s0", model, AttemptLog())


def run_with_connection(server: Server, scenario: Callable[[Server, RespClient], Awaitable[None]]) -> None:
    """Run a scenario with a started fake and one connection to it."""

    async def run() -> None:
        async with started(server):
            await scenario(server, await RespClient.connect(server.port))

    run_scenario(run())


async def http_get(client: RespClient, query: str = "", path: str = "/v1/servers") -> tuple[int, Any]:
    """Make one call to discovery; return the status and the decoded body."""
    client.writer.write(f"GET {path}{query} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
    head = (await client.reader.readuntil(b"\r\n\r\n")).decode().lower()
    length = int(head.partition("content-length: ")[2].split("\r\n")[0])
    body = await client.reader.readexactly(length)
    return int(head.split()[1]), json.loads(body) if body else None


async def assert_fault_shows(client: RespClient, kind: FaultKind) -> None:
    """Check what the caller of a RESP fake receives when a fault of this kind affects its call."""
    if kind is FaultKind.RESET:
        with pytest.raises(ConnectionResetError):
            await client.read_reply()
    elif kind is FaultKind.NO_REPLY:
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(client.read_reply(), NO_REPLY_WAIT_S)
    elif kind is FaultKind.PARTIAL_REPLY:
        assert (await client.reader.read()).startswith(b"*3\r\n$64\r\nr1 s0")
    elif kind is FaultKind.MALFORMED_REPLY:
        assert (await client.reader.read(65536)).startswith(MALFORMED_REPLIES)
    else:
        assert str(await client.read_reply()) == ("ERR failed" if kind is FaultKind.ERROR else "BUSY")
