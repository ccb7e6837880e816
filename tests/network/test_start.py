"""The start of a gateway process: its processor time, and the port of a killed process.

The processor time of a start determines how soon a process with a small share of a core is ready.
"""

from __future__ import annotations

import json
import os
from pathlib import Path

import pytest

from tests.network.gateway_fixture import raw_config
from tests.network.gateway_processes import connect_when_listening, limited_gateway, reserve_port
from tests.network.scenario import run_scenario
from tests.network.scripted_peers import (
    ScriptedDiscovery,
    ScriptedRespServer,
    always_reply,
    endpoint_list_response,
    server_row,
)

READY_TARGET_S = 10.0  # nine of ten restarted processes must be ready within this time
MIN_CORE_SHARE = 0.1  # share of a core that a process gets; a start may use 1 s of processor time


def processor_time_s(pid: int) -> float:
    """Return the processor time that a process has used so far, in user and kernel mode."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


@pytest.mark.parametrize("servers", [1, 200])
@pytest.mark.parametrize("discovery_up", [True, False])
def test_a_start_is_ready_on_a_tenth_of_a_core(tmp_path: Path, servers: int, discovery_up: bool) -> None:
    async def scenario() -> None:
        rows = [server_row(f"s{i}", 1 + i) for i in range(servers)]
        counter = ScriptedRespServer(always_reply(b"+PONG\r\n"))
        discovery = ScriptedDiscovery(endpoint_list_response(2, rows))
        await counter.start()
        listen_port = reserve_port()
        discovery_port = reserve_port()
        if discovery_up:
            await discovery.start(discovery_port)
        path = tmp_path / "config.json"
        path.write_text(json.dumps(raw_config(discovery_port, counter.port, rows, listen_port)))
        async with limited_gateway(path, 1024) as process:
            client = await connect_when_listening(listen_port)
            assert await client.execute(b"PING") == b"PONG"
            assert processor_time_s(process.pid) < READY_TARGET_S * MIN_CORE_SHARE
        for peer in (counter, discovery):
            await peer.stop()

    run_scenario(scenario())


def test_a_start_takes_over_the_port_of_a_killed_process_at_once(tmp_path: Path) -> None:
    """The new process can listen although the kernel still holds connections of the killed process."""

    async def scenario() -> None:
        listen_port = reserve_port()
        path = tmp_path / "config.json"
        path.write_text(json.dumps(raw_config(reserve_port(), reserve_port(), [], listen_port)))
        for _ in range(3):
            async with limited_gateway(path, 1024) as process:
                clients = [await connect_when_listening(listen_port) for _ in range(5)]
                assert await clients[0].execute(b"PING") == b"PONG"
                process.kill()
                await process.wait()

    run_scenario(scenario())
