"""Measures the start and the memory of a real gateway process."""

from __future__ import annotations

import asyncio
import json
import subprocess
import sys
import tempfile
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from pathlib import Path

from quota_gateway.lab.fakes.discovery import FakeDiscovery
from quota_gateway.lab.load.deployment import gateway_settings
from quota_gateway.lab.load.gateway_process import GatewayProcess
from quota_gateway.lab.scaling.scripted_gateway import GATEWAY_COUNT, POLICY_SEED, endpoint_records
from quota_gateway.lab.scaling.slope import MILLISECONDS, Slope
from quota_gateway.lab.scaling.slope_names import SlopeName
from quota_gateway.lab.simulation.wire_sizes import endpoint_list

SETTLE_S = 0.3  # delay between a gateway's first answer and the reading of its memory
BYTES_PER_MIB = 2.0**20
PRINT_RESIDENT_BYTES = """
import os, resource
import quota_gateway.network.__main__
with open("/proc/self/statm") as file:
    print(int(file.read().split()[1]) * resource.getpagesize())
"""


@dataclass(frozen=True, slots=True)
class ProcessCost:
    """Processor time and memory of one gateway process."""

    start_ms: float  # processor time until the first answer
    resident_bytes: float  # peak resident memory, read `SETTLE_S` after the first answer


def empty_process_memory(repeats: int) -> Slope:
    """Measure the resident memory of a process that has imported the gateway's code and holds no data."""
    slope = Slope(SlopeName.EMPTY_PROCESS, "bytes", "processes")
    command = [sys.executable, "-c", PRINT_RESIDENT_BYTES]
    runs = [subprocess.run(command, capture_output=True, check=True) for _ in range(repeats)]
    slope.add(1, [float(run.stdout) for run in runs])
    return slope


def costs_by_process(counts: Sequence[int], repeats: int, on_step: Callable[[], None]) -> list[Slope]:
    """Measure the start and the memory of a gateway process as functions of the length of its endpoint list.

    Args:
        counts: lengths of the endpoint list.
        repeats: processes started for each length.
        on_step: called after each length.
    """
    start = Slope(SlopeName.PROCESS_START, MILLISECONDS, "servers")
    resident = Slope(SlopeName.PROCESS_RESIDENT, "bytes", "servers")
    for count in counts:
        with tempfile.TemporaryDirectory(prefix="quota-gateway-") as folder:
            costs = [asyncio.run(_run_process(count, Path(folder))) for _ in range(repeats)]
        start.add(count, [cost.start_ms for cost in costs])
        resident.add(count, [cost.resident_bytes for cost in costs])
        on_step()
    return [start, resident]


async def _run_process(count: int, folder: Path) -> ProcessCost:
    """Run a real gateway until its first answer, with a cached endpoint list that discovery confirms."""
    discovery = FakeDiscovery()
    await discovery.start()
    cached_list = endpoint_list(endpoint_records(count), discovery.endpoints.version, full=True)
    process = GatewayProcess("gateway", folder)
    try:
        process.start(
            {
                "discovery": discovery.address,
                "seed": f"{POLICY_SEED:016x}",
                "settings": gateway_settings(GATEWAY_COUNT),
                "limits": {"cores": 1.0, "memory_mb": 256, "sockets": 1024},
                "known": json.loads(cached_list),
            }
        )
        await process.wait_until_ready()
        processor_s = process.cpu_time_s()
        await asyncio.sleep(SETTLE_S)
        resident_mib = process.peak_memory_mib()
    finally:
        process.terminate()
        await process.wait_for_exit()
        await discovery.stop()
    return ProcessCost(1000.0 * (processor_s or 0.0), (resident_mib or 0.0) * BYTES_PER_MIB)
