"""Clients that send hundreds of commands at once, at full speed, each in the name of another customer."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "stand2"))

from platform2 import LOOPBACK, get

COMMANDS = 300  # at once
CUSTOMERS = itertools.count(1 << 20)


async def bad_client(port: int) -> None:
    """Send the commands, read an answer to each, and come again."""
    while True:
        numbers = list(itertools.islice(CUSTOMERS, COMMANDS))
        commands = b"".join(get(f"b{number}", customer=number, plan_name="basico") for number in numbers)
        try:
            reader, writer = await asyncio.open_connection(LOOPBACK, port)
            writer.write(commands)
            answers = 0
            while answers < COMMANDS:
                data = await reader.read(1 << 16)
                if not data:
                    break
                answers += data.count(b"-") + data.count(b"$")
            writer.close()
        except OSError:
            await asyncio.sleep(0.05)


async def main(port: int, clients: int, seconds: float) -> None:
    """Run the clients for some time."""
    with contextlib.suppress(TimeoutError):
        await asyncio.wait_for(asyncio.gather(*(bad_client(port) for _ in range(clients))), seconds)


if __name__ == "__main__":
    asyncio.run(main(int(sys.argv[1]), int(sys.argv[2]), float(sys.argv[3])))
