"""Slopes: what the real module and network code cost against the number of servers and of customers.

Nothing is simulated here. Each figure is the processor time of this process for one call or of a gateway's
process for its start, or the bytes of one message, record or process; it is repeated, and given as minimum,
median and maximum. A straight line is fitted to the medians (by relative error, so that short lists count as
much as long ones).
"""

from __future__ import annotations

import asyncio
import gc
import json
import subprocess
import sys
import tempfile
import time
import tracemalloc
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from itertools import pairwise
from pathlib import Path
from typing import Any

import numpy as np
from rich.console import Console

from quota_gateway.lab import results
from quota_gateway.lab.fakes import DiscoveryStandIn
from quota_gateway.lab.load import deployment as site
from quota_gateway.lab.load.gateway_process import GatewayProcess
from quota_gateway.lab.simulation.wire_sizes import HTTP_HEAD, call_get, listing
from quota_gateway.network import resp
from quota_gateway.network.commands import Bounds, Catalogue
from quota_gateway.network.discovery.watch import LONG_BODY, WAIT_S, Exchange, LongList, read_list
from quota_gateway.policy.gateway import Gateway
from quota_gateway.policy.hash_ring import stable_hash
from quota_gateway.policy_api.actions import IncrementCounter, StartAttempt
from quota_gateway.policy_api.endpoints import Endpoint, EndpointState, EndpointUpdate, UpdateKind
from quota_gateway.policy_api.events import AttemptCompleted, CallOutcome, CounterReply, Request, TimerFired
from quota_gateway.settings import Idempotency, Plan, RequestClass, Settings, SlowStartSettings

SERVERS = (20, 200, 2_000, 20_000)  # the letter: 20,000
CHANGES = (1, 10, 100)
FRACTIONS = ("ms", "calls/s")  # units of figures that may lie below one
NAMES = 200  # of the counter, whose digits differ in number
SETTLE_S = 0.3  # between a gateway's first answer and the reading of its memory
CUSTOMERS = (100, 1_000, 10_000, 87_000)  # the letter: 87,000
GATEWAYS = 2_100  # the letter
LEAST_S = 0.03  # a repetition goes on for this long ...
LEAST_CALLS = 3  # ... and for so many calls
START_MS = 1_000_000.0

SETTINGS = Settings(
    zone="z0",
    gateway_count=GATEWAYS,
    classes=(RequestClass("valuacion", 1000.0, 1.0, Idempotency.IDEMPOTENT),),
    plans=(Plan("basico", rate=1000.0, burst=4000.0),),
    slow_start=SlowStartSettings(0.17, 18000.0, 3.0, 3000.0),  # brief 8.2
    max_attempts=5,  # brief 7.5
    max_retry_after_ms=500.0,
    counter_timeout_ms=80.0,  # brief 7.6
    gateway_index=1234,
)
COUNTED = Settings(
    zone=SETTINGS.zone,
    gateway_count=GATEWAYS,
    classes=SETTINGS.classes,
    plans=(Plan("basico", rate=1.65, burst=16.0),),
    slow_start=SETTINGS.slow_start,
    max_attempts=5,
    max_retry_after_ms=500.0,
    counter_enabled=True,
    counter_timeout_ms=80.0,
)


@dataclass(slots=True)
class Slope:
    """One figure against a count: for each count its repetitions, lowest first."""

    name: str
    unit: str
    against: str
    points: dict[int, list[float]] = field(default_factory=dict)
    paces: dict[int, float] = field(default_factory=dict)  # the reference loop, ms, next to each measurement

    def add(self, count: int, values: Sequence[float]) -> None:
        """Books the repetitions at one count."""
        self.points[count] = sorted(values)
        if self.unit == "ms":
            self.paces[count] = results.reference()

    def fit(self) -> tuple[float, float]:
        """Intercept, and slope by one more of what it is against."""
        if len(self.points) < 2:
            return float(np.median(next(iter(self.points.values())))), 0.0
        x = np.array(list(self.points), dtype=float)
        y = np.array([float(np.median(values)) for values in self.points.values()])
        slope, intercept = np.polyfit(x, y, 1, w=1.0 / np.maximum(y, 1e-12))
        return float(intercept), float(slope)

    def report(self) -> dict[str, Any]:
        """For JSON."""
        intercept, slope = self.fit()
        return {
            "name": self.name,
            "unit": self.unit,
            "against": self.against,
            "points": [
                {"count": count, "min": v[0], "median": float(np.median(v)), "max": v[-1], "repeats": len(v)}
                | ({"reference_ms": self.paces[count]} if count in self.paces else {})
                for count, v in self.points.items()
            ],
            "fit": {"intercept": intercept, "slope": slope},
        }


def timed(call: Callable[[], None], repeats: int) -> list[float]:
    """Processor time of one call, ms: the mean of a repetition, for each."""
    out = []
    call()
    for _ in range(repeats):
        calls, began = 0, time.process_time()
        while calls < LEAST_CALLS or time.process_time() - began < LEAST_S:
            call()
            calls += 1
        out.append(1000.0 * (time.process_time() - began) / calls)
    return out


def entries(count: int) -> tuple[Endpoint, ...]:
    """Warm servers in three zones."""
    return tuple(Endpoint(f"s-{i:08x}", f"z{i % 3}") for i in range(count))


class Bench:
    """One real gateway under script."""

    def __init__(self, servers: int, settings: Settings = SETTINGS, gap_ms: float = 10.0) -> None:
        self.gateway = Gateway(settings, 7)
        self.now = START_MS
        self.gap_ms = gap_ms  # between two requests: 100 a second, the letter's peak over its gateways
        self.serial = self.sends = self.changes = 0
        self.entries = entries(servers)
        self.gateway.handle(self.now, EndpointUpdate(UpdateKind.CACHED_SNAPSHOT, self.entries))

    def request(self, customer: str) -> None:
        """A request and what its decision leads to, answered at once."""
        self.now += self.gap_ms
        self.serial += 1
        name = f"r{self.serial}"
        pending = list(
            self.gateway.handle(self.now, Request(name, "valuacion", "basico", customer, 2500.0, 1.0, 3))
        )
        while pending:
            action = pending.pop(0)
            if isinstance(action, StartAttempt):
                self.sends += 1
                ended = AttemptCompleted(name, 0, action.server_id, CallOutcome.OK, 100.0, True)
                pending += self.gateway.handle(self.now, ended)
            elif isinstance(action, IncrementCounter):
                reply = CounterReply(action.key, max(0.0, action.amount), CallOutcome.OK, 1.0)
                pending += self.gateway.handle(self.now, reply)

    def tick(self) -> None:
        """The periodic judgement."""
        self.now += 250.0
        self.gateway.handle(self.now, TimerFired(0))

    def change(self) -> None:
        """One server drains, or is back."""
        self.changes += 1
        one = self.entries[(self.changes - 1) // 2 % len(self.entries)]
        state = EndpointState.DRAINING if self.changes % 2 else EndpointState.ACTIVE
        entry = Endpoint(one.server_id, one.zone, state=state)
        self.gateway.handle(self.now, EndpointUpdate(UpdateKind.DELTA, (entry,)))

    def first(self) -> None:
        """A new gateway's first list, saved by the one before it."""
        Gateway(SETTINGS, 7).handle(START_MS, EndpointUpdate(UpdateKind.CACHED_SNAPSHOT, self.entries))

    def whole(self) -> None:
        """The whole list again, nothing new in it."""
        self.gateway.handle(self.now, EndpointUpdate(UpdateKind.SNAPSHOT, self.entries))


def by_servers(counts: Sequence[int], repeats: int, step: Callable[[], None]) -> list[Slope]:
    """What hangs on the length of the list of servers."""
    decision = Slope("decision: request and its outcome", "ms", "servers")
    tick = Slope("tick", "ms", "servers")
    change = Slope("one change of the list", "ms", "servers")
    whole = Slope("whole list taken in by the module", "ms", "servers")
    first = Slope("first list taken in by a new module", "ms", "servers")
    read = Slope("whole list read from JSON", "ms", "servers")
    longest = Slope("longest step of a whole list read", "ms", "servers")
    size = Slope("whole list", "bytes", "servers")
    one = Slope("one change", "bytes", "servers")
    for count in counts:
        bench = Bench(count)
        gc.collect()
        gc.freeze()
        for _ in range(3):
            bench.request("00000000b4d65521")
        decision.add(count, timed(lambda b=bench: b.request("00000000b4d65521"), repeats))  # type: ignore[misc]
        tick.add(count, timed(bench.tick, repeats))
        change.add(count, timed(bench.change, repeats))
        whole.add(count, timed(bench.whole, repeats))
        first.add(count, timed(bench.first, repeats))
        body = listing(bench.entries, 41, True)
        read.add(count, timed(lambda b=body: parse(b), repeats))  # type: ignore[misc]
        longest.add(count, [max(spans_of(body)) for _ in range(repeats)])
        gc.unfreeze()
        size.add(count, [float(len(body))])
        one.add(count, [float(len(listing(bench.entries[:1], 42, False)))])
        step()
    return [decision, tick, change, whole, first, read, longest, size, one]


def parse(body: bytes) -> None:
    """A list as the gateway reads it, all of its steps."""
    if len(body) > LONG_BODY:
        spans_of(body)
    else:
        read_list(json.loads(body))


def spans_of(body: bytes) -> list[float]:
    """Processor time of each step of reading a long list, ms; between two, other work is done."""
    long, marks = LongList(body), [time.process_time()]
    for _ in long.steps():
        marks.append(time.process_time())
    marks.append(time.process_time())
    long.news()
    marks.append(time.process_time())
    return [1000.0 * (after - before) for before, after in pairwise(marks)]


def server_memory(counts: Sequence[int], step: Callable[[], None]) -> Slope:
    """Bytes that a gateway holds for a list, read by itself and taken in."""
    slope = Slope("records of servers", "bytes", "servers")
    for count in counts:
        body = listing(entries(count), 41, True)
        gc.collect()
        tracemalloc.start()
        gateway = Gateway(SETTINGS, 7)
        before = tracemalloc.get_traced_memory()[0]
        gateway.handle(START_MS, read_list(json.loads(body)).event)
        gc.collect()
        slope.add(count, [float(tracemalloc.get_traced_memory()[0] - before)])
        tracemalloc.stop()
        del gateway
        step()
    return slope


PROCESS = """
import os, resource
import quota_gateway.network.__main__
with open("/proc/self/statm") as file:
    print(int(file.read().split()[1]) * resource.getpagesize())
"""


def process_memory(repeats: int) -> Slope:
    """Bytes resident in a process that has loaded all of a gateway's code and holds nothing yet."""
    slope = Slope("a gateway's process, nothing held", "bytes", "processes")
    run = [sys.executable, "-c", PROCESS]
    slope.add(1, [float(subprocess.run(run, capture_output=True, check=True).stdout) for _ in range(repeats)])
    return slope


async def started(count: int, folder: Path) -> tuple[float, float]:
    """Processor time, ms, of a real gateway's process from its start to its first answer, with a saved list
    that discovery has no news of; and the most bytes that were resident in it soon after."""
    discovery = DiscoveryStandIn()
    await discovery.start()
    process = GatewayProcess("gateway", folder)
    try:
        process.start(
            {
                "discovery": discovery.address,
                "seed": f"{7:016x}",
                "settings": site.settings(GATEWAYS),
                "limits": {"cores": 1.0, "memory_mb": 256, "sockets": 1024},
                "known": json.loads(listing(entries(count), discovery.version, True)),
            }
        )
        await process.ready()
        spent = process.processor_s()
        await asyncio.sleep(SETTLE_S)
        held = process.memory_mb()
    finally:
        process.terminate()
        await process.ended()
        await discovery.stop()
    return 1000.0 * (spent or 0.0), (held or 0.0) * 2.0**20


def by_process(counts: Sequence[int], repeats: int, step: Callable[[], None]) -> list[Slope]:
    """What a process costs to start and to hold, by the servers in its list."""
    start = Slope("a gateway's start, to its first answer", "ms", "servers")
    held = Slope("a gateway's process, most resident", "bytes", "servers")
    for count in counts:
        with tempfile.TemporaryDirectory(prefix="quota-gateway-") as folder:
            made = [asyncio.run(started(count, Path(folder))) for _ in range(repeats)]
        start.add(count, [spent for spent, _ in made])
        held.add(count, [most for _, most in made])
        step()
    return [start, held]


class Wire(asyncio.Transport):
    """Keeps what is written."""

    def __init__(self) -> None:
        super().__init__()
        self.data = b""

    def write(self, data: bytes | bytearray | memoryview) -> None:
        self.data += bytes(data)


def watch_call() -> bytes:
    """A watch's call, as the network code writes it."""
    wire, exchange = Wire(), Exchange(lambda status, body: None, lambda: None)
    exchange.connection_made(wire)
    exchange.get("10.2.0.1:8500", f"/v1/servers?since=41000&timeout_ms={WAIT_S * 1000.0:.0f}")
    return wire.data


def messages() -> list[Slope]:
    """Bytes on the wire, both ways, of a gateway's watch and of its calls to the counter. TCP's own and
    acknowledgements are not in them."""
    call = len(watch_call())
    idle = Slope("an idle watch: calls", "calls/s", "gateways")
    idle.add(1, [1.0 / WAIT_S])
    quiet = Slope("an idle watch: call and answer", "bytes/s", "gateways")
    quiet.add(1, [(call + HTTP_HEAD + len(listing((), 41_000, False))) / WAIT_S])
    news = Slope("news of a watch: call and answer", "bytes", "changes")
    for count in CHANGES:
        news.add(count, [float(call + HTTP_HEAD + len(listing(entries(count), 41_000, False)))])
    asked = Slope("counter: call written", "bytes", "calls")
    answer = Slope("counter: answer", "bytes", "calls")
    names = [stable_hash(f"{i * 7919:016x}/{60_000 * i}") for i in range(NAMES)]
    asked.add(1, [float(len(resp.command(b"INCRTTL", b"%d" % n, b"2.000", b"60000"))) for n in names])
    answer.add(1, [float(len(resp.bulk(b"%.7g" % total))) for total in (1, 42.5, 1234.567)])
    return [idle, quiet, news, asked, answer]


def by_customers(counts: Sequence[int], repeats: int, step: Callable[[], None]) -> list[Slope]:
    """What hangs on the customers that a gateway knows, before 20 servers."""
    held = Slope("records of customers", "bytes", "customers")
    decision = Slope("decision, by known customers", "ms", "customers")
    tick = Slope("tick, by customers with use to tell", "ms", "customers")
    for count in counts:
        bench = Bench(20, COUNTED, 1000.0 / count)  # each asks once a second, within its quota
        gc.collect()
        tracemalloc.start()
        before = tracemalloc.get_traced_memory()[0]
        for i in range(count):
            bench.request(f"{i * 7919:016x}")
        gc.collect()
        held.add(count, [float(tracemalloc.get_traced_memory()[0] - before)])
        tracemalloc.stop()
        gc.freeze()
        keys = [f"{i * 7919:016x}" for i in range(count)]
        turn = iter(range(1 << 60))
        decision.add(
            count,
            timed(lambda b=bench, k=keys, t=turn: b.request(k[next(t) * 31 % len(k)]), repeats),  # type: ignore[misc]
        )
        for key in keys:
            bench.request(key)  # a second one is told of later; no call is due in the ticks that follow
        handle = bench.gateway.handle
        tick.add(count, timed(lambda b=bench, h=handle: void(h(b.now, TimerFired(0))), repeats))  # type: ignore[misc]
        gc.unfreeze()
        step()
    return [held, decision, tick]


def void(_: object) -> None:
    """Nothing, of whatever there is."""


def by_request(repeats: int) -> list[Slope]:
    """The network code's own work for one request: command, answer and call to the counter."""
    catalogue = Catalogue(COUNTED, Bounds(8.0, 2500.0))
    command = call_get("00000000b4d65521", "9b1f03aa5c7e2d41", "basico", 480.0, 2.0, 3)
    answer = b"*3\r\n" + resp.bulk(b"x" * 64) + b"$-1\r\n$-1\r\n"

    def client() -> None:
        parser = resp.Parser()
        parser.feed(command)
        words = parser.next()
        assert isinstance(words, list)
        catalogue.call(words).encode(400)

    def server() -> None:
        parser = resp.Parser()
        parser.feed(answer)
        parser.next()

    def count() -> None:
        resp.command(b"INCRTTL", b"%d" % (7919 << 40), b"%.3f" % 2.0, b"60000")

    out = []
    for name, call in (
        ("client's command read and passed on", client),
        ("server's answer read", server),
        ("counter's call written", count),
    ):
        slope = Slope(name, "ms", "requests")
        slope.add(1, timed(call, repeats))
        out.append(slope)
    return out


def measure(most: int, repeats: int, progress: Callable[[float], None]) -> dict[str, Any]:
    """All slopes up to a list of `most` servers."""
    servers = [count for count in SERVERS if count <= most]
    customers = CUSTOMERS
    steps = [0, 3 * len(servers) + len(customers)]

    def step() -> None:
        steps[0] += 1
        progress(steps[0] / steps[1])

    machine = results.machine()
    slopes = by_servers(servers, repeats, step)
    slopes.append(server_memory(servers, step))
    slopes += by_customers(customers, repeats, step)
    slopes += by_request(repeats)
    slopes += messages()
    slopes.append(process_memory(repeats))
    slopes += by_process(servers, repeats, step)
    return {
        "machine": machine,
        "reference_after_ms": results.reference(),
        "repeats": repeats,
        "slopes": [slope.report() for slope in slopes],
    }


def show(console: Console, result: dict[str, Any]) -> None:
    """A table of all slopes, with the machine above it."""
    after = f"reference loop at the end {result['reference_after_ms']} ms"
    console.print(f"slopes: {results.where(result['machine'])}; {after}", soft_wrap=True)
    lines = []
    for slope in result["slopes"]:
        for point in slope["points"]:
            spread = (
                f"{point[key]:,.4g}" if slope["unit"] in FRACTIONS else f"{point[key]:,.0f}"
                for key in ("min", "median", "max")
            )
            lines.append((slope["name"], f"{point['count']:,} {slope['against']}", *spread, slope["unit"]))
    console.print(results.table("Points", ["figure", "against", "min", "median", "max", "unit"], lines))
    fits = [
        (
            s["name"],
            f"{s['fit']['intercept']:,.4g}",
            f"{s['fit']['slope']:,.4g}",
            f"{s['unit']} a {s['against'][:-1]}",
        )
        for s in result["slopes"]
        if len(s["points"]) > 1
    ]
    console.print(results.table("Lines fitted to the medians", ["figure", "at 0", "slope", "unit"], fits))
