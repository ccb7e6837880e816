"""A start: what it costs bounds how soon a process is ready on its part of a core."""

from __future__ import annotations

import json
import os
from pathlib import Path

import pytest

from tests.network.harness import (
    FakeDiscovery,
    FakeRespServer,
    always_reply,
    endpoint_list_response,
    raw_config,
    run_scenario,
    server_row,
)
from tests.network.processes import free_port, limited, patient

READY_S = 10.0  # nine in ten restarted processes are ready within this
LEAST_SHARE = 0.1  # of a core; a start may thus take a second of processor time


def spent_s(pid: int) -> float:
    """Processor time of a process so far."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


@pytest.mark.parametrize("servers", [1, 200])
@pytest.mark.parametrize("discovery_up", [True, False])
def test_a_start_is_ready_on_a_tenth_of_a_core(tmp_path: Path, servers: int, discovery_up: bool) -> None:
    async def scenario() -> None:
        rows = [server_row(f"s{i}", 1 + i) for i in range(servers)]
        counts, discovery = (
            FakeRespServer(always_reply(b"+PONG\r\n")),
            FakeDiscovery(endpoint_list_response(2, rows)),
        )
        await counts.start()
        listen, where = free_port(), free_port()
        if discovery_up:
            await discovery.start(where)
        path = tmp_path / "config.json"
        path.write_text(json.dumps(raw_config(where, counts.port, rows, listen)))
        async with limited(path, 1024) as process:
            client = await patient(listen)
            assert await client.execute(b"PING") == b"PONG"
            assert spent_s(process.pid) < READY_S * LEAST_SHARE
        for peer in (counts, discovery):
            await peer.stop()

    run_scenario(scenario())


def test_the_port_of_a_process_that_was_killed_is_taken_at_once(tmp_path: Path) -> None:
    """Restarted under its address, with connections of before not yet forgotten by the kernel."""

    async def scenario() -> None:
        listen = free_port()
        path = tmp_path / "config.json"
        path.write_text(json.dumps(raw_config(free_port(), free_port(), [], listen)))
        for _ in range(3):
            async with limited(path, 1024) as process:
                held = [await patient(listen) for _ in range(5)]
                assert await held[0].execute(b"PING") == b"PONG"
                process.kill()
                await process.wait()

    run_scenario(scenario())
