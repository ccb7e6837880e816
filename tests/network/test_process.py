"""The gateway as a process: configuration, signals, reload, graceful shutdown."""

from __future__ import annotations

import asyncio
import json
import signal
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import pytest

from quota_gateway.network.counter_client import CONNECTION_COUNT
from tests.network.gateway_fixture import raw_config
from tests.network.gateway_processes import connect_when_listening, free_port, start_gateway
from tests.network.samples import CUSTOMER, OK_RESPONSE, ORDER_FIELDS, READ_FIELDS
from tests.network.scenario import run_scenario, wait_until
from tests.network.scripted_peers import (
    Reply,
    RespClient,
    ScriptedDiscovery,
    ScriptedRespServer,
    always_reply,
    endpoint_list_response,
    server_row,
)


@pytest.mark.parametrize(
    "text", ["", "{", "[]", "{}", '{"settings":{}}', '{"settings":5}', None, "bad listen"]
)
def test_a_bad_configuration_ends_with_one_line(tmp_path: Path, text: str | None) -> None:
    async def scenario() -> None:
        path = tmp_path / "config.json"
        if text == "bad listen":
            path.write_text(json.dumps(raw_config(1, 1, []) | {"listen": "nowhere"}))
        elif text is not None:
            path.write_text(text)
        process = await start_gateway(path)
        _, err = await process.communicate()
        assert process.returncode == 2
        assert err.startswith(b"quota-gateway: ")
        assert err.count(b"\n") == 1

    run_scenario(scenario())


def counter_reply(words: list[bytes]) -> bytes:
    return b"+PONG\r\n" if words[0] == b"PING" else b"$1\r\n2\r\n"


class Site:
    """Discovery and counter at addresses of their own; discovery lists the servers under a version."""

    def __init__(self, version: int, rows: list[dict[str, Any]]) -> None:
        self.rows = rows
        self.discovery = ScriptedDiscovery(endpoint_list_response(version, rows))
        self.counter = ScriptedRespServer(self.reply)

    async def reply(self, words: list[bytes], writer: asyncio.StreamWriter) -> bytes:
        return counter_reply(words)

    async def start(self) -> None:
        await self.discovery.start()
        await self.counter.start()

    async def stop(self) -> None:
        await self.discovery.stop()
        await self.counter.stop()

    def write_config(self, path: Path, listen_port: int) -> None:
        raw = raw_config(self.discovery.port, self.counter.port, self.rows, listen_port)
        path.write_text(json.dumps(raw))


@asynccontextmanager
async def server_and_sites(
    reply: Reply, *versions: int
) -> AsyncIterator[tuple[ScriptedRespServer, list[Site]]]:
    """One server, and a site for each version of its list."""
    server = ScriptedRespServer(reply)
    await server.start()
    sites = [Site(version, [server_row("s0", server.port)]) for version in versions]
    for site in sites:
        await site.start()
    try:
        yield server, sites
    finally:
        await server.stop()
        for site in sites:
            await site.stop()


async def wait_for_event(process: asyncio.subprocess.Process, event: bytes) -> None:
    """Reads the process's log up to an event."""
    assert process.stderr is not None
    while b"event=" + event not in await process.stderr.readline():
        pass


def test_sigterm_completes_requests_in_flight_and_new_ones_and_exits_cleanly(tmp_path: Path) -> None:
    async def scenario() -> None:
        release = asyncio.Event()

        async def reply(words: list[bytes], writer: asyncio.StreamWriter) -> bytes:
            await release.wait()
            return OK_RESPONSE

        path, listen_port = tmp_path / "config.json", free_port()
        async with server_and_sites(reply, 1) as (server, (site,)):
            site.write_config(path, listen_port)
            process = await start_gateway(path)
            early = await connect_when_listening(listen_port)
            idle = await RespClient.connect(listen_port)
            assert await idle.execute(b"PING") == b"PONG"
            early.send(b"CALL.POST", CUSTOMER, b"1", ORDER_FIELDS)
            await wait_until(lambda: len(server.received_commands()) == 1)
            process.send_signal(signal.SIGTERM)
            late = await RespClient.connect(listen_port)
            late.send(b"CALL.POST", CUSTOMER, b"2", ORDER_FIELDS)
            await wait_until(lambda: len(server.received_commands()) == 2)
            assert await idle.closed_by_gateway()  # between requests: closed once new ones no longer come
            release.set()
            assert [await early.read_reply(), await late.read_reply()] == [b"value", b"value"]
            assert await early.read_reply() is None
            assert await process.wait() == 0

    run_scenario(scenario())


def test_sighup_keeps_the_configuration_in_force_where_the_file_is_malformed(tmp_path: Path) -> None:
    async def scenario() -> None:
        path, listen_port = tmp_path / "config.json", free_port()
        async with server_and_sites(always_reply(OK_RESPONSE), 9) as (_, (site,)):
            site.write_config(path, listen_port)
            process = await start_gateway(path)
            client = await connect_when_listening(listen_port)
            assert await client.execute(b"CALL.GET", CUSTOMER, b"1", READ_FIELDS) == b"value"
            path.write_text("{")
            process.send_signal(signal.SIGHUP)
            await wait_for_event(process, b"config_reload_failed error=")
            assert await client.execute(b"CALL.GET", CUSTOMER, b"2", READ_FIELDS) == b"value"
            process.send_signal(signal.SIGTERM)
            assert await process.wait() == 0

    run_scenario(scenario())


def test_sighup_follows_the_addresses_of_the_file(tmp_path: Path) -> None:
    """Also several in a row, after one whose file was malformed."""

    async def scenario() -> None:
        path, listen_port = tmp_path / "config.json", free_port()
        async with server_and_sites(always_reply(OK_RESPONSE), 9, 5, 3) as (_, sites):
            sites[0].write_config(path, listen_port)
            process = await start_gateway(path)
            client = await connect_when_listening(listen_port)
            path.write_text("{")
            process.send_signal(signal.SIGHUP)
            await wait_for_event(process, b"config_reload_failed error=")
            for site in sites[1:]:
                site.write_config(path, listen_port)
                process.send_signal(signal.SIGHUP)
                await wait_for_event(process, b"config_reloaded")
            discovery, counter = sites[2].discovery, sites[2].counter
            await wait_until(lambda: len(discovery.targets) > 1 and len(counter.writers) == CONNECTION_COUNT)
            assert discovery.targets[0] == "/v1/servers"
            assert "since=3&" in discovery.targets[1]
            ids = (b"%016x" % number for number in range(100, 10_000))
            while not counter.received_commands():
                assert await client.execute(b"CALL.GET", CUSTOMER, next(ids), READ_FIELDS) == b"value"
                await asyncio.sleep(0.01)
            process.send_signal(signal.SIGTERM)
            assert await process.wait() == 0

    run_scenario(scenario())
