"""Sound servers in a process of their own, many of them, for a long list.

Run as ``fleet.py COUNT WORK_MS``. The first line on standard output holds the ports as JSON; each further
line is an attempt: its time, the port and the request's id. A line on standard input names a port whose
server begins to drain: it completes what it holds and turns new work away. The end of the input ends the
process.
"""

from __future__ import annotations

import asyncio
import json
import random
import sys
import time

from standins import HOST, encode_bulk, read_command, stop_tasks


class Fleet:
    """The servers of one process."""

    def __init__(self, work_s: float) -> None:
        self.work_s = work_s
        self.draining: set[int] = set()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection; commands are answered in order."""
        port = writer.get_extra_info("sockname")[1]
        try:
            while (words := await read_command(reader)) is not None:
                if words[0].upper() not in (b"CALL.GET", b"CALL.POST"):
                    writer.write(b"+PONG\r\n")
                    continue
                print(json.dumps([time.monotonic(), port, words[2].decode()]), flush=True)
                if port in self.draining:
                    writer.write(b"-BUSY\r\n")
                    continue
                await asyncio.sleep(random.expovariate(1.0 / self.work_s))
                writer.write(b"*3\r\n" + encode_bulk(b"value of " + words[2]) + b"$-1\r\n$-1\r\n")
                await writer.drain()
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def run(self, count: int) -> None:
        """Listen on free ports until the input ends."""
        servers = [await asyncio.start_server(self.serve, HOST, 0) for _ in range(count)]
        print(json.dumps([server.sockets[0].getsockname()[1] for server in servers]), flush=True)
        commands = asyncio.StreamReader()
        await asyncio.get_running_loop().connect_read_pipe(
            lambda: asyncio.StreamReaderProtocol(commands), sys.stdin
        )
        while line := await commands.readline():
            self.draining.add(int(line))
        await stop_tasks()


if __name__ == "__main__":
    asyncio.run(Fleet(float(sys.argv[2]) / 1000.0).run(int(sys.argv[1])))
