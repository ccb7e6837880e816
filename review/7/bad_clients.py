"""Clients that send what cannot be read, at full speed, and again as soon as they are turned away.

What they send is 59 KB long: an array of 99 arrays of 99 empty strings. It is RESP2 but no command.
"""

from __future__ import annotations

import asyncio
import contextlib
import sys

MESSAGE = b"*99\r\n" + (b"*99\r\n" + b"$0\r\n\r\n" * 99) * 99


async def bad_client(port: int) -> None:
    """Send the message, read what comes until the close, and come again."""
    while True:
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(MESSAGE)
            await reader.read()
            writer.close()
        except OSError:
            await asyncio.sleep(0.05)


async def main(port: int, clients: int, seconds: float) -> None:
    """Run the clients for some time."""
    with contextlib.suppress(TimeoutError):
        await asyncio.wait_for(asyncio.gather(*(bad_client(port) for _ in range(clients))), seconds)


if __name__ == "__main__":
    asyncio.run(main(int(sys.argv[1]), int(sys.argv[2]), float(sys.argv[3])))
