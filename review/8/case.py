"""Case: clients send hundreds of commands at once; the gateway goes over its memory and is killed."""

from __future__ import annotations

import asyncio
import subprocess
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "stand2"))

from platform2 import LOOPBACK, Bench, caba, get, play, read_message, trouble  # noqa: E402

MEMORY_MB = 192  # `limits.memory_mb` of the configuration, the most that the pages give a gateway
BAD_CLIENTS = 100  # one connection each
BAD_S = 80.0
USUAL_CLIENTS = 8
PAUSE_S = 0.1  # of a usual client between two requests


def resident_mb(pid: int) -> float:
    """Return the memory of a process as the platform sees it."""
    status = Path(f"/proc/{pid}/status").read_text()
    (line,) = (line for line in status.splitlines() if line.startswith("VmRSS:"))
    return int(line.split()[1]) / 1024


async def usual_client(bench: Bench, number: int, until: float, taken: set[str]) -> None:
    """Send one request after another; `taken` holds the requests that have no answer."""
    reader, writer = await asyncio.open_connection(LOOPBACK, bench.gateways[0].port)
    count = 0
    while time.monotonic() < until:
        count += 1
        name = f"u{number}-{count}"
        writer.write(get(name, customer=1 + number))
        taken.add(name)
        bench.record.note(f"send    {name}")
        try:
            answer = await asyncio.wait_for(read_message(reader), 10.0)
        except (OSError, EOFError, asyncio.IncompleteReadError):
            bench.record.note(f"closed  {name}")
            writer.close()
            return
        taken.discard(name)
        bench.record.note(f"answer  {name} {answer!r}")
        await asyncio.sleep(PAUSE_S)
    writer.close()


async def case(bench: Bench) -> list[str]:
    """Return what was lost when the platform killed the gateway for its memory."""
    await bench.open(servers=10, gateways=1, work_s=0.1)
    gateway = bench.gateways[0]
    assert gateway.process is not None
    until = time.monotonic() + 2.0 + BAD_S
    taken: set[str] = set()
    usual = [
        asyncio.create_task(usual_client(bench, number, until, taken)) for number in range(USUAL_CLIENTS)
    ]
    await asyncio.sleep(2.0)
    bad = None
    if trouble():
        bench.record.note(f"{BAD_CLIENTS} bad clients come")
        arguments = [str(gateway.port), str(BAD_CLIENTS), str(BAD_S)]
        bad = subprocess.Popen([sys.executable, "-B", str(HERE / "bad_clients.py"), *arguments])
    breaks = []
    try:
        while time.monotonic() < until:
            memory = resident_mb(gateway.process.pid)
            bench.record.note(f"memory  {gateway.name} {memory:.1f} MB")
            if memory > MEMORY_MB:
                bench.record.note(f"killed  {gateway.name} over {MEMORY_MB} MB")
                gateway.end()
                await asyncio.wait(usual, timeout=5.0)
                breaks.append(
                    f"{gateway.name} was killed over {MEMORY_MB} MB;"
                    f" {len(taken)} requests of usual clients were never answered"
                )
                break
            await asyncio.sleep(0.5)
        await asyncio.gather(*usual)
    finally:
        if bad is not None:
            bad.kill()
            bad.wait()
    return breaks


if __name__ == "__main__":
    play(str(HERE), caba(), case)
