"""Case 1: of many commands sent at once, some are read and never answered."""

from __future__ import annotations

import asyncio
import random
import sys
import tempfile
import time
from collections import Counter as Tally
from dataclasses import dataclass
from pathlib import Path

from standins import (
    HOST,
    Attempt,
    Counter,
    Discovery,
    Gateway,
    Record,
    Server,
    encode_command,
    exit_status,
    gateway_config,
    read_reply,
    settings,
    stop_tasks,
    trouble,
)

GATEWAYS = 2
SERVERS = 40
SOCKETS = 1024
CLIENTS = 24  # each with one connection at a time
COMMANDS = 100  # of a client at once: a large request first, small ones behind it
LARGE_UNITS = 8
LARGE_WORK_S = 2.2
SMALL_WORK_S = 0.01
DEADLINE_MS = 2500
DURATION_S = 70.0
MAX_PAUSE_S = 1.0  # of a client between two rounds
PATIENCE_S = 10.0  # for one answer, after which it counts as never given


@dataclass
class Sent:
    """A request that a client has written whole."""

    request_id: str
    client: str
    position: int  # among the commands sent at once
    command: bytes


class Run:
    """The state of one run."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.random = random.Random(22)
        self.customers = 0
        self.kinds: Tally[str] = Tally()  # answers by kind
        self.lost: list[str] = []  # ids
        self.wrong: list[str] = []  # ids of requests that got another request's value

    def new_round(self, client: str) -> list[Sent]:
        """Return the requests of a client's round, each of another customer and inside its quota."""
        requests = []
        for position in range(COMMANDS):
            self.customers += 1
            units = 1 if position else LARGE_UNITS
            request_id = f"{self.random.getrandbits(64):016x}"
            fields = f"c=valuacion,t=profesional,d={DEADLINE_MS},units={units},spread={GATEWAYS},first=0"
            words = (b"CALL.GET", b"%016x" % self.customers, request_id.encode(), fields.encode())
            requests.append(Sent(request_id, client, position, encode_command(*words)))
        return requests

    async def client(self, name: str, port: int, ends: float) -> None:
        """Send rounds of requests until the run ends; a connection that has ended is opened anew."""
        connection: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None
        while time.monotonic() < ends:
            connection = connection or await asyncio.open_connection(HOST, port)
            if not await self.round(self.new_round(name), *connection):
                connection[1].close()
                connection = None
            await asyncio.sleep(self.random.uniform(0.0, MAX_PAUSE_S))
        if connection is not None:
            connection[1].close()

    async def round(
        self, requests: list[Sent], reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Send requests at once, or without the disruption one by one; return whether all got an answer."""
        if trouble():
            writer.write(b"".join(request.command for request in requests))
        for number, request in enumerate(requests):
            if not trouble():
                writer.write(request.command)
            sent_at = time.monotonic()
            try:
                reply = await asyncio.wait_for(read_reply(reader), PATIENCE_S)
            except (OSError, TimeoutError) as error:
                unanswered = requests[number:] if trouble() else [request]
                self.lose(unanswered, f"{type(error).__name__}: {error}")
                return False
            self.note(request, reply, time.monotonic() - sent_at)
        return True

    def note(self, request: Sent, reply: bytes, waited_s: float) -> None:
        """Record an answer."""
        kind = "failed"
        if reply.startswith(b"$"):
            kind = "served" if reply == b"$value of " + request.request_id.encode() else "wrong value"
        elif reply.startswith(b"-BUSY"):
            kind = "refused"
        self.kinds[kind] += 1
        if kind == "wrong value":
            self.wrong.append(request.request_id)
        self.record.write(
            f"{request.client} command {request.position} id {request.request_id} {kind} {reply[:60]!r}"
            f" {1000 * waited_s:.1f} ms after the answer before"
        )

    def lose(self, requests: list[Sent], reason: str) -> None:
        """Record requests that got no answer."""
        for request in requests:
            self.lost.append(request.request_id)
            self.record.write(
                f"{request.client} command {request.position} id {request.request_id} LOST {reason}"
            )


def work_s(attempt: Attempt) -> float:
    """Return how long a server works on a request."""
    return LARGE_WORK_S if attempt.fields["units"] == str(LARGE_UNITS) else SMALL_WORK_S


async def play(record: Record, directory: Path) -> bool:
    """Play the case; return whether the rule held."""
    run = Run(record)
    discovery, counter = Discovery(), Counter()
    await discovery.start()
    await counter.start()
    servers = [Server(f"s{i}", work_s) for i in range(SERVERS)]
    for server in servers:
        server.on_attempt = lambda attempt: record.write(f"{attempt.server} runs {attempt.request_id}")
        await server.start()
        discovery.put(server.name, server.port)
    gateways = [Gateway(f"n{i}", directory) for i in range(GATEWAYS)]
    try:
        for index, gateway in enumerate(gateways):
            gateway.configure(gateway_config(discovery, counter, settings(GATEWAYS, index), SOCKETS))
            gateway.start()
        for gateway in gateways:
            await gateway.wait_until_ready()
        record.say(f"{CLIENTS} clients send {COMMANDS} commands {'at once' if trouble() else 'one by one'}")
        ends = time.monotonic() + DURATION_S
        ports = [gateways[i % GATEWAYS].port for i in range(CLIENTS)]
        await asyncio.gather(*[run.client(f"client {i}", port, ends) for i, port in enumerate(ports)])
        if not all(gateway.is_running() for gateway in gateways):
            raise RuntimeError("a gateway ended by itself")
        record.say(f"answers {dict(run.kinds)}, {len(run.lost)} requests lost, {len(run.wrong)} wrong values")
        return not run.lost and not run.wrong
    finally:
        for gateway in gateways:
            gateway.end()
            record.write(f"log of {gateway.name}:\n{gateway.log_path.read_text()}")
        await stop_tasks()


if __name__ == "__main__":
    with tempfile.TemporaryDirectory() as name:
        sys.exit(exit_status(Path(__file__).parent, lambda record: play(record, Path(name))))
