"""Case: clients send many commands at once and close; requests are forwarded long after the close."""

from __future__ import annotations

import asyncio
import socket
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "stand2"))

from platform2 import LOOPBACK, Bench, Call, caba, get, play, trouble  # noqa: E402

CLIENTS = 8
SHORT, LONG = 90, 10  # commands that a client sends at once; the long ones have a body of 60,000 bytes
GRACE_S = 0.1  # an attempt that begins later than this after the close is a break
MARGIN_S = 0.05  # the protocol page: on sockets every time limit is 50 ms longer


async def some_spoilt(call: Call) -> bytes | None:
    """Answer every second request of a server with an answer that never ends."""
    await asyncio.sleep(0.02)
    if call.server.calls.index(call) % 2 == 0:
        return b"*3\r\n$200\r\n" + call.value()
    return call.good()


async def send_at_once(client: socket.socket, data: bytes) -> bool:
    """Write everything; return whether the kernel took it within 50 ms."""
    until = time.monotonic() + 0.05
    while data and time.monotonic() < until:
        try:
            data = data[client.send(data) :]
        except BlockingIOError:
            await asyncio.sleep(0)
    return not data


async def read_until_quiet(client: socket.socket) -> bytes:
    """Read what comes until nothing came for 3 s."""
    loop = asyncio.get_running_loop()
    data = b""
    while True:
        try:
            more = await asyncio.wait_for(loop.sock_recv(client, 1 << 16), 3.0)
        except TimeoutError:
            return data
        if not more:
            return data
        data += more


async def case(bench: Bench) -> list[str]:
    """Return the attempts that began too long after their client's close."""
    await bench.open(servers=4, gateways=1)
    for server in bench.servers:
        server.handler = some_spoilt
    closed: dict[str, float] = {}
    for number in range(CLIENTS):
        name = f"c{number}"
        body = b"x" * 60_000
        commands = [
            get(f"{name}-{i}", customer=1000 * number + i, body=body if i >= SHORT else None)
            for i in range(SHORT + LONG)
        ]
        client = socket.create_connection((LOOPBACK, bench.gateways[0].port))
        client.setblocking(False)
        bench.record.note(f"send    {name} {len(commands)} commands, {sum(map(len, commands))} bytes")
        if not await send_at_once(client, b"".join(commands)):
            raise RuntimeError("the kernel did not take the commands at once")
        if not trouble():
            answers = await read_until_quiet(client)
            lines = [line for line in answers.split(b"\r\n") if line[:1] in (b"$", b"-")]
            bench.record.note(f"answers {name} {len(lines)}")
        client.close()
        closed[name] = bench.record.note(f"close   {name}")
        await asyncio.sleep(3.0)
    breaks = []
    for server in bench.servers:
        for call in server.calls:
            late = call.at - closed[call.id.split("-")[0]]
            if late > GRACE_S + MARGIN_S:
                breaks.append(f"{call.id} began at {server.name} {late:.3f} s after the close of its client")
    return breaks


if __name__ == "__main__":
    play(str(HERE), caba(), case)
