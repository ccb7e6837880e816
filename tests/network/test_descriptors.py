"""The descriptor budget: idle clients must not use up the descriptors of the other peers."""

from __future__ import annotations

import asyncio
import json
import os
from pathlib import Path
from typing import Any

import pytest

from quota_gateway.network.counter_client import CONNECTION_COUNT
from quota_gateway.network.descriptors import RESERVED_DESCRIPTORS, allocate_descriptors
from tests.network.gateway_fixture import raw_config
from tests.network.gateway_processes import connect_when_listening, limited_gateway, reserve_port
from tests.network.samples import CUSTOMER, OK_RESPONSE, READ_FIELDS
from tests.network.scenario import run_scenario, wait_until
from tests.network.scripted_peers import (
    RespClient,
    ScriptedDiscovery,
    ScriptedRespServer,
    always_reply,
    endpoint_list_response,
    server_row,
)


class IdleClients:
    """Clients that connect, send nothing, and reconnect when the gateway closes the connection."""

    def __init__(self, port: int) -> None:
        self.port = port
        self.accepted = 0  # connections established so far
        self.closed = 0  # connections closed or refused so far
        self.tasks: list[asyncio.Task[None]] = []

    def connect(self, count: int) -> None:
        self.tasks += [asyncio.ensure_future(self.stay_connected()) for _ in range(count)]

    async def stay_connected(self) -> None:
        while True:
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                self.accepted += 1
                while await reader.read(4096):
                    pass
                writer.close()
            except ConnectionError:
                pass
            self.closed += 1
            await asyncio.sleep(0.25)

    def cancel(self) -> None:
        for task in self.tasks:
            task.cancel()


class Peers:
    """The peers of a gateway. Only the server runs from the start."""

    def __init__(self) -> None:
        self.release = asyncio.Event()
        self.counter = ScriptedRespServer(always_reply(b"$1\r\n1\r\n"))
        self.server = ScriptedRespServer(self.reply)
        self.discovery_port = reserve_port()
        self.counter_port = reserve_port()
        self.listen_port = reserve_port()
        self.discovery: ScriptedDiscovery | None = None

    async def reply(self, words: list[bytes], writer: asyncio.StreamWriter) -> bytes:
        await self.release.wait()
        return OK_RESPONSE

    def config(self, max_sockets: int) -> dict[str, Any]:
        rows = [server_row("old", reserve_port())]
        raw = raw_config(self.discovery_port, self.counter_port, rows, self.listen_port)
        return raw | {"limits": {"sockets": max_sockets}}

    async def start_discovery(self) -> None:
        """Start discovery and wait until the gateway has its endpoint list and a watch is open."""
        discovery = ScriptedDiscovery(endpoint_list_response(2, [server_row("new", self.server.port)]))
        self.discovery = discovery
        await discovery.start(self.discovery_port)
        await wait_until(lambda: len(discovery.targets) == 2)

    async def start_counter(self) -> None:
        """Start the counter and wait until the gateway has opened all its connections to it."""
        await self.counter.start(self.counter_port)
        await wait_until(lambda: len(self.counter.writers) >= CONNECTION_COUNT)

    async def stop(self) -> None:
        for peer in (self.counter, self.server, self.discovery):
            if peer is not None:
                await peer.stop()


@pytest.mark.parametrize("sockets", [64, 128, 256])
def test_discovery_counter_and_servers_get_connections_while_idle_clients_hold_theirs(
    tmp_path: Path, sockets: int
) -> None:
    """Discovery and the counter start, and the server gets requests, while idle clients hold their limit."""

    async def scenario() -> None:
        peers = Peers()
        await peers.server.start()
        path = tmp_path / "config.json"
        path.write_text(json.dumps(peers.config(sockets)))
        async with limited_gateway(path, sockets) as process:
            await (await connect_when_listening(peers.listen_port)).execute(b"PING")
            idle_clients = IdleClients(peers.listen_port)
            idle_clients.connect(2 * sockets)
            await wait_until(lambda: idle_clients.accepted > sockets and idle_clients.closed > sockets // 2)
            await peers.start_discovery()
            client = await RespClient.connect(peers.listen_port)
            # With more than 24 concurrent requests, the policy would detect a surge and reject some.
            request_count = min(allocate_descriptors(sockets).servers, 24)
            for number in range(request_count):
                client.send(b"CALL.GET", CUSTOMER, b"%d" % number, READ_FIELDS)
            await wait_until(lambda: len(peers.server.received_commands()) == request_count)
            await peers.start_counter()
            assert len(os.listdir(f"/proc/{process.pid}/fd")) <= sockets
            peers.release.set()
            assert [await client.read_reply() for _ in range(request_count)] == [b"value"] * request_count
            idle_clients.cancel()
            process.terminate()
            _, error_output = await process.communicate()
            assert b"Too many open files" not in error_output
            assert b"Traceback" not in error_output
        await peers.stop()

    run_scenario(scenario())


@pytest.mark.parametrize("sockets", [64, 100, 256, 672, 1024, 4096])
def test_no_more_descriptors_are_allocated_than_there_are(sockets: int) -> None:
    descriptors = allocate_descriptors(sockets)
    assert descriptors.servers >= 4
    assert descriptors.clients >= 4
    assert (
        RESERVED_DESCRIPTORS + descriptors.servers + descriptors.clients + descriptors.refused_clients
        <= sockets
    )
