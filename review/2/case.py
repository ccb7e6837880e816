"""Case 2: after requests with very little time left, a gateway rejects everything for good."""

from __future__ import annotations

import asyncio
import random
import sys
import tempfile
import time
from collections import Counter as Tally
from pathlib import Path

from standins import (
    Answer,
    Counter,
    Discovery,
    Front,
    Gateway,
    Record,
    Server,
    exit_status,
    gateway_config,
    settings,
    stop_tasks,
    trouble,
)

GATEWAYS = 2
SERVERS = 9
CUSTOMERS = 60
SOCKETS = 256  # descriptors of a gateway: the lower end of what the pages name
REQUESTS_PER_S = 150.0
MEAN_WORK_S = 0.055  # of one unit; a request has two
USUAL_MS = 2500
SHORT_MS = 11  # time left of the short requests
SHORT_SHARE = 0.4
DISRUPTION_S = 80.0
PAUSE_S = 6.0  # usual requests only, not judged
JUDGED_S = 8.0  # usual requests only
MIN_REQUESTS = 15  # a gateway is judged on this many requests or more ...
MIN_SPAN_S = 4.0  # ... over this time


class Run:
    """The state of one run."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.random = random.Random(22)
        self.answers: list[tuple[int, bool, Answer]] = []  # gateway, whether short, answer
        self.forwarded: set[str] = set()  # ids of the requests that came to a server
        self.fronts: list[Front] = []

    async def request(self, gateway: int, time_left_ms: int) -> None:
        """Send one request inside its customer's quota through a gateway and record its answer."""
        request_id = f"{self.random.getrandbits(64):016x}"
        customer = f"{self.random.randrange(CUSTOMERS) + 1:016x}"
        fields = f"c=valuacion,t=profesional,d={time_left_ms},units=2,spread={GATEWAYS},first=0"
        patience_s = time_left_ms / 1000.0 + 0.5
        answer = await self.fronts[gateway].call(b"CALL.GET", customer, request_id, fields, patience_s)
        self.answers.append((gateway, time_left_ms == SHORT_MS, answer))
        self.record.write(
            f"gateway n{gateway} id {request_id} d={time_left_ms} answer {answer.kind} {answer.reply[:24]!r}"
            f" after {1000 * (answer.ended - answer.sent):.1f} ms"
        )

    async def traffic(self, duration_s: float, short_share: float) -> None:
        """Send requests for a while; this share of them has very little time left."""
        tasks: set[asyncio.Task[None]] = set()
        ends = time.monotonic() + duration_s
        while time.monotonic() < ends:
            await asyncio.sleep(self.random.expovariate(REQUESTS_PER_S))
            short = self.random.random() < short_share
            gateway = self.random.randrange(GATEWAYS)
            task = asyncio.create_task(self.request(gateway, SHORT_MS if short else USUAL_MS))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        if tasks:
            await asyncio.wait(tasks, timeout=USUAL_MS / 1000.0 + 1.0)

    def judge(self, since: float, until: float) -> bool:
        """Whether each gateway forwarded any of the requests that it got in this time."""
        held = True
        for gateway in range(GATEWAYS):
            got = [a for g, _, a in self.answers if g == gateway and since <= a.sent < until]
            kinds = dict(Tally(answer.kind for answer in got))
            forwarded = sum(answer.request_id in self.forwarded for answer in got)
            span_s = got[-1].sent - got[0].sent if got else 0.0
            judged = len(got) >= MIN_REQUESTS and span_s >= MIN_SPAN_S
            broken = judged and not forwarded
            held = held and not broken
            self.record.say(
                f"gateway n{gateway}: {len(got)} requests in {span_s:.1f} s, {forwarded} forwarded, {kinds}"
                f"{' BROKEN: rejects all' if broken else ''}"
            )
            if not judged:
                raise RuntimeError("too few requests to judge")
        return held


async def play(record: Record, directory: Path) -> bool:
    """Play the case; return whether the rule held."""
    run = Run(record)
    discovery, counter = Discovery(), Counter()
    await discovery.start()
    await counter.start()
    servers = [Server(f"s{i}", lambda _: run.random.expovariate(0.5 / MEAN_WORK_S)) for i in range(SERVERS)]
    for server in servers:
        server.on_attempt = lambda attempt: run.forwarded.add(attempt.request_id)
        await server.start()
        discovery.put(server.name, server.port)
    gateways = [Gateway(f"n{i}", directory) for i in range(GATEWAYS)]
    try:
        for index, gateway in enumerate(gateways):
            gateway.configure(gateway_config(discovery, counter, settings(GATEWAYS, index), SOCKETS))
            gateway.start()
        for gateway in gateways:
            await gateway.wait_until_ready()
        run.fronts = [Front(gateway.port) for gateway in gateways]
        record.say(f"{SHORT_SHARE if trouble() else 0:.0%} of the requests have {SHORT_MS} ms left")
        await run.traffic(DISRUPTION_S, SHORT_SHARE if trouble() else 0.0)
        record.say("only usual requests from here on")
        await run.traffic(PAUSE_S, 0.0)
        since = time.monotonic()
        await run.traffic(JUDGED_S, 0.0)
        if not all(gateway.is_running() for gateway in gateways):
            record.say("a gateway ended by itself")
            return False
        return run.judge(since, time.monotonic())
    finally:
        for gateway in gateways:
            gateway.end()
            record.write(f"log of {gateway.name}:\n{gateway.log_path.read_text()}")
        await stop_tasks()


if __name__ == "__main__":
    with tempfile.TemporaryDirectory() as name:
        sys.exit(exit_status(Path(__file__).parent, lambda record: play(record, Path(name))))
