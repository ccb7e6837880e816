"""Case: clients that send what cannot be read hold up the whole gateway; other requests are lost."""

from __future__ import annotations

import asyncio
import subprocess
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "stand2"))

from platform2 import LOOPBACK, Bench, get, mendoza, play, read_message, trouble  # noqa: E402

BAD_CLIENTS = 200  # one connection each, so under a third of the gateway's 1,024 descriptors
BAD_S = 15.0
USUAL_CLIENTS = 8
PAUSE_S = 0.1  # of a usual client between two requests
DEADLINE_MS = 900
LOST_AFTER_S = DEADLINE_MS / 1000 + 0.5 + 0.05  # half a second after its time, and 50 ms on sockets


async def usual_client(bench: Bench, number: int, until: float, breaks: list[str]) -> None:
    """Send one request after another on one connection, and note those that are lost."""
    reader, writer = await asyncio.open_connection(LOOPBACK, bench.gateways[0].port)
    count = 0
    while time.monotonic() < until:
        count += 1
        name = f"u{number}-{count}"
        writer.write(
            get(name, customer=1000 * number + count, d=DEADLINE_MS, cls="consulta", plan_name="escribania")
        )
        sent = bench.record.note(f"send    {name} d={DEADLINE_MS}")
        try:
            answer = await asyncio.wait_for(read_message(reader), 30.0)
        except (OSError, EOFError, asyncio.IncompleteReadError):
            # The gateway closed a resting connection; the client sends the request once more on a new one.
            bench.record.note(f"closed  {name}")
            writer.close()
            reader, writer = await asyncio.open_connection(LOOPBACK, bench.gateways[0].port)
            continue
        took = bench.record.note(f"answer  {name} {answer!r}") - sent
        if took > LOST_AFTER_S:
            breaks.append(f"{name} with d={DEADLINE_MS} was answered after {took:.3f} s")
        await asyncio.sleep(PAUSE_S)
    writer.close()


async def case(bench: Bench) -> list[str]:
    """Return the requests of the usual clients that were lost."""
    await bench.open(servers=4, gateways=1, work_s=0.05)
    breaks: list[str] = []
    until = time.monotonic() + 2.0 + BAD_S
    usual = [
        asyncio.create_task(usual_client(bench, number, until, breaks)) for number in range(USUAL_CLIENTS)
    ]
    await asyncio.sleep(2.0)
    bad = None
    if trouble():
        bench.record.note(f"{BAD_CLIENTS} bad clients come for {BAD_S:g} s")
        arguments = [str(bench.gateways[0].port), str(BAD_CLIENTS), str(BAD_S)]
        bad = subprocess.Popen([sys.executable, "-B", str(HERE / "bad_clients.py"), *arguments])
    try:
        await asyncio.gather(*usual)
    finally:
        if bad is not None:
            bad.kill()
            bad.wait()
    return breaks


if __name__ == "__main__":
    play(str(HERE), mendoza(), case)
