"""The base of all fakes: listening, idle connections, and malformed commands."""

from __future__ import annotations

import pytest

from quota_gateway.lab.fakes.server import FakeServer, ServerModel
from tests.lab.fakes.harness import INSTANT, fake_server, run_with_connection
from tests.network.scripted_peers import RespClient


def test_malformed_commands_end_a_connection() -> None:
    async def scenario(server: FakeServer, client: RespClient) -> None:
        client.writer.write(b"?\r\n")
        assert await client.closed_by_peer()

    run_with_connection(fake_server(INSTANT), scenario)


def test_an_idle_connection_is_closed() -> None:
    async def scenario(server: FakeServer, client: RespClient) -> None:
        assert await client.closed_by_peer()

    run_with_connection(fake_server(ServerModel(idle_timeout_ms=20.0)), scenario)


def test_a_stopped_server_refuses_connections_and_restarts_at_its_address() -> None:
    async def scenario(server: FakeServer, client: RespClient) -> None:
        port = server.port
        await server.stop()
        with pytest.raises(ConnectionResetError):
            await client.read_reply()
        with pytest.raises(ConnectionRefusedError):
            await RespClient.connect(port)
        await server.start()
        again = await RespClient.connect(port)
        assert await again.execute(b"PING") == b"PONG"

    run_with_connection(fake_server(INSTANT), scenario)
