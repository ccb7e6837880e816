"""Case: a shared discovery refuses calls for some seconds; a removal is known too late after its return."""

from __future__ import annotations

import asyncio
import contextlib
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "stand2"))

from platform2 import LOOPBACK, Bench, caba, get, play, read_message, trouble  # noqa: E402

GATEWAYS = 30
REFUSED_S = 8.0
GONE_AFTER_S = 5.0  # of the refused time
TOLD_AFTER_S = 6.0  # the latest, from the moment when discovery had the change and could be reached
GRACE_S = 0.25 + 0.05  # of the settings, and 50 ms on sockets
PAUSE_S = 0.15  # of a client between two requests


async def client(bench: Bench, number: int, until: float) -> None:
    """Send one request after another through one gateway."""
    count = 0
    while time.monotonic() < until:
        with contextlib.suppress(OSError, EOFError, asyncio.IncompleteReadError):
            reader, writer = await asyncio.open_connection(LOOPBACK, bench.gateways[number].port)
            while time.monotonic() < until:
                count += 1
                writer.write(get(f"g{number}-{count}", customer=100_000 * number + count, spread=2))
                await asyncio.wait_for(read_message(reader), 10.0)
                await asyncio.sleep(PAUSE_S)
            writer.close()


async def case(bench: Bench) -> list[str]:
    """Return the attempts that began too late at the removed server."""
    await bench.open(servers=6, gateways=GATEWAYS, work_s=0.03)
    removed = bench.servers[0]
    until = time.monotonic() + 3.0 + REFUSED_S + 16.0
    clients = [asyncio.create_task(client(bench, number, until)) for number in range(GATEWAYS)]
    await asyncio.sleep(3.0)
    if trouble():
        bench.record.note("discovery refuses calls")
        await bench.discovery.set_refusing(True)
    await asyncio.sleep(GONE_AFTER_S)
    bench.record.note(f"{removed.name} is gone from the list, and still answers")
    await bench.discovery.put(removed.name, removed.address, "Gone")
    await asyncio.sleep(REFUSED_S - GONE_AFTER_S)
    await bench.discovery.set_refusing(False)
    reached = bench.record.note("discovery answers again")
    await asyncio.gather(*clients)
    breaks = []
    for call in removed.calls:
        late = call.at - reached - TOLD_AFTER_S
        if late > GRACE_S:
            breaks.append(f"{call.id} began at {removed.name} {late:.3f} s after its removal counted as told")
    return breaks


if __name__ == "__main__":
    play(str(HERE), {**caba(GATEWAYS), "membership_mode": "subscribe"}, case)
