"""Descriptors: what idle clients hold must leave discovery, the counter and the servers theirs."""

from __future__ import annotations

import asyncio
import json
import os
from pathlib import Path

import pytest

from quota_gateway.network.counter_client import CONNECTION_COUNT
from quota_gateway.network.descriptors import RESERVED_DESCRIPTORS, allocate_descriptors
from tests.network.harness import (
    CUSTOMER,
    OK_RESPONSE,
    READ_FIELDS,
    FakeDiscovery,
    FakeRespServer,
    RespClient,
    always_reply,
    endpoint_list_response,
    raw_config,
    run_scenario,
    server_row,
    wait_until,
)
from tests.network.processes import free_port, limited, patient


class Crowd:
    """Clients that connect and say nothing, and come again when they are closed."""

    def __init__(self, port: int) -> None:
        self.port, self.accepted, self.closed = port, 0, 0
        self.tasks: list[asyncio.Task[None]] = []

    def come(self, many: int) -> None:
        self.tasks += [asyncio.ensure_future(self.rest()) for _ in range(many)]

    async def rest(self) -> None:
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

    def leave(self) -> None:
        for task in self.tasks:
            task.cancel()


@pytest.mark.parametrize("sockets", [64, 128, 256])
def test_discovery_counter_and_servers_get_theirs_when_idle_clients_fill_the_rest(
    tmp_path: Path, sockets: int
) -> None:
    """All three come back while the crowd stays, and the servers hold as many requests as they may get."""

    async def scenario() -> None:
        release = asyncio.Event()

        async def held(words: list[bytes], writer: asyncio.StreamWriter) -> bytes:
            await release.wait()
            return OK_RESPONSE

        counts, server = FakeRespServer(always_reply(b"$1\r\n1\r\n")), FakeRespServer(held)
        await server.start()
        discovery_port, counter_port, listen = free_port(), free_port(), free_port()
        path = tmp_path / "config.json"
        raw = raw_config(discovery_port, counter_port, [server_row("old", free_port())], listen)
        path.write_text(json.dumps(raw | {"limits": {"sockets": sockets}}))
        async with limited(path, sockets) as process:
            await (await patient(listen)).execute(b"PING")
            crowd = Crowd(listen)
            crowd.come(2 * sockets)
            await wait_until(lambda: crowd.accepted > sockets and crowd.closed > sockets // 2)
            discovery = FakeDiscovery(endpoint_list_response(2, [server_row("new", server.port)]))
            await discovery.start(discovery_port)
            await wait_until(lambda: len(discovery.targets) == 2)  # the list was read, and a watch is open
            good = await RespClient.connect(listen)
            most = min(allocate_descriptors(sockets).servers, 24)  # more at once the module holds for a surge
            for number in range(most):
                good.send(b"CALL.GET", CUSTOMER, b"%d" % number, READ_FIELDS)
            await wait_until(lambda: len(server.received_commands()) == most)
            await counts.start(counter_port)
            await wait_until(lambda: len(counts.writers) >= CONNECTION_COUNT)
            assert len(os.listdir(f"/proc/{process.pid}/fd")) <= sockets
            release.set()
            assert [await good.read_reply() for _ in range(most)] == [b"value"] * most
            crowd.leave()
            process.terminate()
            _, err = await process.communicate()
            assert b"Too many open files" not in err
            assert b"Traceback" not in err
        for peer in (counts, server, discovery):
            await peer.stop()

    run_scenario(scenario())


@pytest.mark.parametrize("sockets", [64, 100, 256, 672, 1024, 4096])
def test_no_more_is_shared_out_than_there_is(sockets: int) -> None:
    shares = allocate_descriptors(sockets)
    assert shares.servers >= 4
    assert shares.clients >= 4
    assert RESERVED_DESCRIPTORS + shares.servers + shares.clients + shares.spare_clients <= sockets
