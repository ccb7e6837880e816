"""A gateway process: invalid configuration, signals, reload, graceful shutdown."""

from __future__ import annotations

import asyncio
import json
import os
import signal
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import pytest

from quota_gateway.network.config import load_config
from quota_gateway.network.counter_client import CONNECTION_COUNT
from quota_gateway.network.process import GatewayProcess
from quota_gateway.policy_api.actions import Action
from quota_gateway.policy_api.endpoints import EndpointUpdate
from quota_gateway.policy_api.events import Event
from tests.network.gateway_fixture import ScriptedPolicy, raw_config
from tests.network.gateway_processes import connect_when_listening, reserve_port, start_gateway
from tests.network.samples import CUSTOMER, OK_RESPONSE, ORDER_FIELDS, READ_FIELDS
from tests.network.scenario import run_scenario, wait_until
from tests.network.scripted_peers import (
    ReplyFunction,
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
def test_an_invalid_configuration_ends_the_process_with_one_line_of_error(
    tmp_path: Path, text: str | None
) -> None:
    async def scenario() -> None:
        path = tmp_path / "config.json"
        if text == "bad listen":
            path.write_text(json.dumps(raw_config(1, 1, []) | {"listen": "nowhere"}))
        elif text is not None:
            path.write_text(text)
        process = await start_gateway(path)
        _, error_output = await process.communicate()
        assert process.returncode == 2
        assert error_output.startswith(b"quota-gateway: ")
        assert error_output.count(b"\n") == 1

    run_scenario(scenario())


def counter_reply(words: list[bytes]) -> bytes:
    return b"+PONG\r\n" if words[0] == b"PING" else b"$1\r\n2\r\n"


class ControlPlane:
    """A discovery and a counter; discovery's endpoint list holds `rows` and has the given version."""

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
async def server_and_control_planes(
    reply: ReplyFunction, *versions: int
) -> AsyncIterator[tuple[ScriptedRespServer, list[ControlPlane]]]:
    """Run one server, and for each version a control plane that lists it."""
    server = ScriptedRespServer(reply)
    await server.start()
    control_planes = [ControlPlane(version, [server_row("s0", server.port)]) for version in versions]
    for control_plane in control_planes:
        await control_plane.start()
    try:
        yield server, control_planes
    finally:
        await server.stop()
        for control_plane in control_planes:
            await control_plane.stop()


async def wait_for_event(process: asyncio.subprocess.Process, event: bytes) -> None:
    """Read the log of the process up to and including the first line of an event."""
    assert process.stderr is not None
    while b"event=" + event not in await process.stderr.readline():
        pass


def test_sigterm_completes_requests_in_flight_and_new_ones_and_exits_cleanly(tmp_path: Path) -> None:
    async def scenario() -> None:
        release = asyncio.Event()

        async def reply(words: list[bytes], writer: asyncio.StreamWriter) -> bytes:
            await release.wait()
            return OK_RESPONSE

        path = tmp_path / "config.json"
        listen_port = reserve_port()
        async with server_and_control_planes(reply, 1) as (server, (control_plane,)):
            control_plane.write_config(path, listen_port)
            process = await start_gateway(path)
            early_client = await connect_when_listening(listen_port)
            idle_client = await RespClient.connect(listen_port)
            assert await idle_client.execute(b"PING") == b"PONG"
            early_client.send(b"CALL.POST", CUSTOMER, b"1", ORDER_FIELDS)
            await wait_until(lambda: len(server.received_commands()) == 1)
            process.send_signal(signal.SIGTERM)
            late_client = await RespClient.connect(listen_port)
            late_client.send(b"CALL.POST", CUSTOMER, b"2", ORDER_FIELDS)
            await wait_until(lambda: len(server.received_commands()) == 2)
            # The drain closes connections that are between requests.
            assert await idle_client.closed_by_peer()
            release.set()
            assert [await early_client.read_reply(), await late_client.read_reply()] == [b"value", b"value"]
            assert await early_client.read_reply() is None
            assert await process.wait() == 0

    run_scenario(scenario())


def test_a_reload_of_a_malformed_file_keeps_the_configuration_in_force(tmp_path: Path) -> None:
    async def scenario() -> None:
        path = tmp_path / "config.json"
        listen_port = reserve_port()
        async with server_and_control_planes(always_reply(OK_RESPONSE), 9) as (_, (control_plane,)):
            control_plane.write_config(path, listen_port)
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


def test_a_reload_adds_and_removes_the_counter(tmp_path: Path) -> None:
    """Guards against a gateway that goes on without the counter that its configuration names."""

    async def scenario() -> None:
        path = tmp_path / "config.json"
        async with server_and_control_planes(always_reply(OK_RESPONSE), 9) as (_, (control_plane,)):
            control_plane.write_config(path, reserve_port())
            with_counter = json.loads(path.read_text())
            without_counter = {key: value for key, value in with_counter.items() if key != "counter"}
            path.write_text(json.dumps(without_counter))
            environ = {"EDGE_CONFIG": str(path)}
            loop = asyncio.get_running_loop()
            process = GatewayProcess(load_config(environ), loop, environ=environ)
            assert process.bridge.counter is None
            await process.start()
            path.write_text(json.dumps(with_counter))
            process.reload()
            await wait_until(lambda: len(control_plane.counter.writers) == CONNECTION_COUNT)
            assert process.bridge.counter is process.counter
            path.write_text(json.dumps(without_counter))
            process.reload()
            assert process.bridge.counter is None
            log = control_plane.counter.log
            await wait_until(lambda: [event for event, *_ in log].count("closed") == CONNECTION_COUNT)
            await process.close()

    run_scenario(scenario())


def test_a_reload_during_the_start_opens_one_watch(tmp_path: Path) -> None:
    """Guards against two watches, one of which asks the new discovery for changes of the old one's list."""

    async def scenario() -> None:
        path = tmp_path / "config.json"
        async with server_and_control_planes(always_reply(OK_RESPONSE), 9, 5) as (_, (old, new)):
            new.discovery.responses.append(endpoint_list_response(6, []))

            def reload_with_the_cached_list(event: Event) -> list[Action]:
                if len(policy.events_of(EndpointUpdate)) == 1:
                    new.write_config(path, reserve_port())
                    os.kill(os.getpid(), signal.SIGHUP)
                return []

            # A cached list of many steps, between which the signal is handled.
            old.rows += [server_row(f"x{number}", 1) for number in range(2_000)]
            old.write_config(path, reserve_port())
            environ = {"EDGE_CONFIG": str(path)}
            policy = ScriptedPolicy(reload_with_the_cached_list)
            loop = asyncio.get_running_loop()
            process = GatewayProcess(load_config(environ), loop, policy, environ)
            running = asyncio.ensure_future(process.run([]))
            await wait_until(lambda: len(new.discovery.targets) == 3)
            assert new.discovery.targets[0] == "/v1/servers"
            assert "since=5&" in new.discovery.targets[1]
            assert len(new.discovery.writers) == 1
            process.stop_requested.set()
            await running

    run_scenario(scenario())


def test_reloads_apply_the_addresses_in_the_file(tmp_path: Path) -> None:
    """Several reloads in a row are applied, also after the reload of a malformed file."""

    async def scenario() -> None:
        path = tmp_path / "config.json"
        listen_port = reserve_port()
        async with server_and_control_planes(always_reply(OK_RESPONSE), 9, 5, 3) as (_, control_planes):
            control_planes[0].write_config(path, listen_port)
            process = await start_gateway(path)
            client = await connect_when_listening(listen_port)
            path.write_text("{")
            process.send_signal(signal.SIGHUP)
            await wait_for_event(process, b"config_reload_failed error=")
            for control_plane in control_planes[1:]:
                control_plane.write_config(path, listen_port)
                process.send_signal(signal.SIGHUP)
                await wait_for_event(process, b"config_reloaded")
            discovery = control_planes[2].discovery
            counter = control_planes[2].counter
            await wait_until(lambda: len(discovery.targets) > 1 and len(counter.writers) == CONNECTION_COUNT)
            assert discovery.targets[0] == "/v1/servers"
            assert "since=3&" in discovery.targets[1]
            request_ids = (b"%016x" % number for number in range(100, 10_000))
            while not counter.received_commands():
                assert await client.execute(b"CALL.GET", CUSTOMER, next(request_ids), READ_FIELDS) == b"value"
                await asyncio.sleep(0.01)
            process.send_signal(signal.SIGTERM)
            assert await process.wait() == 0

    run_scenario(scenario())
