"""Open-loop load on gateways, without coordinated omission.

When each request is to be sent is drawn before the run, from a seeded Poisson process, and does not wait for
answers: a gateway that stalls meets the requests of the stall all the same. Latency counts from that intended
moment to the last byte of the answer, so what this client is late by is in it too (see `Tally.pacing`).

Clients behave as PROTOCOL, "Clients to gateways", has them: they keep their connections, open more when all
are busy, and send a request once more on a new connection if the gateway's close of an idle one crossed it.
"""

from __future__ import annotations

import asyncio
import math
import random
import threading
import time
from collections import deque
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

import hiredis
import numpy
from hdrh.histogram import HdrHistogram

from quota_gateway.lab.fakes.attempt_log import AttemptLog
from quota_gateway.lab.fakes.server import request_id_of
from quota_gateway.lab.load.deployment import Site

MOST_REQUESTS = 1_000_000
MOST_SECONDS = 3600.0
MOST_RATE = 20_000.0
LEAD_S = 0.05  # between the start of a run and its first request
PATIENCE_S = 1.0  # past its deadline a request is waited for so long, then it counts as lost
LATE_S = 0.058  # an answer so long past the deadline is late: the settings' 8 ms and 50 ms on sockets
CONNECTIONS = 128  # to a gateway; with all of them busy, requests are written behind others
SEND_AGAIN_IDLE_S = 1.0  # only a connection that stood idle for this long is closed between requests
READS = 0.8  # share of the requests that are of a class safe to repeat, where there are others
UNITS = (1, 1, 1, 2)  # drawn evenly
MEAN_UNITS = sum(UNITS) / len(UNITS)
WITHIN, BEYOND = 0.5, 3.0  # demand over quota of modest customers, and of those that ask for too much
MOST_US = 120_000_000  # of a histogram


class LoadError(ValueError):
    """A load that can't be run; the text is one line."""


class Outcome(Enum):
    """What became of a request, as its client sees it."""

    OPEN = "open"
    SERVED = "served"
    REFUSED_AFTER = "refused_with_retry_after"
    REFUSED = "refused_without"
    FAILED = "failed"
    LOST = "lost"


@dataclass(frozen=True, slots=True)
class LoadPlan:
    """How much is sent: `rate` requests a second over all gateways for `seconds`, drawn from `seed`. Of the
    customers, the share `beyond` asks for three times its quota and the others for half of theirs."""

    rate: float
    seconds: float
    seed: int = 1
    beyond: float = 0.25

    def __post_init__(self) -> None:
        if not (math.isfinite(self.seconds) and 0.0 < self.seconds <= MOST_SECONDS):
            raise LoadError(f"seconds must be above 0 and at most {MOST_SECONDS:.0f}, not {self.seconds:g}")
        if not (math.isfinite(self.rate) and 0.0 < self.rate <= MOST_RATE):
            raise LoadError(f"the rate must be above 0 and at most {MOST_RATE:.0f}, not {self.rate:g}")
        if self.rate * self.seconds > MOST_REQUESTS:
            raise LoadError(f"{self.rate * self.seconds:.0f} requests are more than {MOST_REQUESTS}")
        if self.seed < 0:
            raise LoadError(f"the seed must be at least 0, not {self.seed}")
        if not 0.0 <= self.beyond <= 1.0:
            raise LoadError(f"the share of customers beyond their quota must be 0 to 1, not {self.beyond:g}")


@dataclass(frozen=True, slots=True)
class Tenant:
    """One customer of the site."""

    customer: bytes  # 16 hex digits
    plan: str
    rate: float  # requests a second that it asks for
    spread: int  # its set of gateways: so many in a row ...
    first: int  # ... from this one


@dataclass(slots=True, eq=False)
class Request:
    """One request of the schedule, and what became of it. Times are seconds of `time.monotonic`."""

    request_id: bytes
    tenant: Tenant
    units: float
    gateway: int
    command: bytes
    wait_s: float  # the client's deadline, from the sending
    unsafe: bool  # of a class that must not run twice
    due: float  # seconds after the run's start, and the moment itself once it runs
    sent: float = 0.0
    sent_again: float | None = None
    ended: float = 0.0
    outcome: Outcome = Outcome.OPEN
    why: str = ""  # of a loss


def tenants(site: Site, plan: LoadPlan) -> list[Tenant]:
    """Customers whose demand adds up to the plan's rate, the last one's cut to fit."""
    rng = random.Random(f"tenants {plan.seed}")
    made: list[Tenant] = []
    left, spread = plan.rate, min(site.balancers, 3)
    while left > 0.0:
        chosen = rng.choice(site.packages)
        share, before = plan.beyond, len(made)
        factor = BEYOND if int((before + 1) * share + 0.5) > int(before * share + 0.5) else WITHIN
        rate = min(left, factor * (chosen.per_second or 1.0) / MEAN_UNITS)
        customer = b"%016x" % rng.randrange(1 << 33)
        made.append(Tenant(customer, chosen.name, rate, spread, rng.randrange(site.balancers)))
        left -= max(rate, 1e-6)
    return made


def schedule(site: Site, plan: LoadPlan) -> list[Request]:
    """The requests of a run, in the order of their sending. Equal arguments give equal schedules."""
    rng = random.Random(f"schedule {plan.seed}")
    clients = tenants(site, plan)
    count = round(plan.rate * plan.seconds)
    draws = numpy.random.default_rng(plan.seed)
    times = numpy.sort(draws.random(count)) * plan.seconds  # a Poisson process of a known number of events
    shares = numpy.array([client.rate for client in clients])
    chosen = draws.choice(len(clients), size=count, p=shares / shares.sum())
    return [_request(site, rng, float(at), clients[who]) for at, who in zip(times, chosen, strict=True)]


def _request(site: Site, rng: random.Random, due: float, client: Tenant) -> Request:
    safe = [each for each in site.profiles if each.repeat == "read_like"]
    other = [each for each in site.profiles if each.repeat != "read_like"]
    kind = rng.choice(safe if safe and (not other or rng.random() < READS) else other)
    units = rng.choice(UNITS)
    fields = f"c={kind.name},t={client.plan},d={kind.hard_limit_ms:.0f},units={units}"
    fields += f",spread={client.spread},first={client.first}"
    if kind.repeat == "idempotency_key":
        fields += f",k={rng.getrandbits(64):016x}"
    request_id = b"%016x" % rng.getrandbits(64)
    verb = b"CALL.GET" if kind.repeat == "read_like" else b"CALL.POST"
    command: Any = (verb, client.customer, request_id, fields.encode())
    gateway = (client.first + rng.randrange(client.spread)) % site.balancers
    return Request(
        request_id,
        client,
        float(units),
        gateway,
        hiredis.pack_command(command),
        kind.hard_limit_ms / 1000.0,
        kind.repeat == "non_idempotent",
        due,
    )


class Caller(asyncio.Protocol):
    """One connection to a gateway. Answers come in the order of the requests."""

    def __init__(self, pool: Pool) -> None:
        self.pool = pool
        self.pending: deque[Request] = deque()
        self.transport: asyncio.Transport | None = None
        self.closed = False
        self._reader = hiredis.Reader()
        self._used = time.monotonic()  # the last answer, or the start
        self._answered = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]
        if self.closed:
            self.abort()
        for request in self.pending:
            self._write(request)

    def send(self, request: Request) -> None:
        """Writes a request behind those under way, as soon as the connection is up."""
        self.pending.append(request)
        if self.transport is not None:
            self._write(request)

    def _write(self, request: Request) -> None:
        assert self.transport is not None
        request.sent = time.monotonic()
        self.transport.write(request.command)

    def data_received(self, data: bytes) -> None:
        now = time.monotonic()
        try:
            self._reader.feed(data)
            while (reply := self._reader.gets()) is not False:
                self._take(reply, now)
        except hiredis.ProtocolError:
            self.abort()
            return
        if not self.pending and not self.closed:
            self._used, self._answered = now, True
            self.pool.idle.append(self)

    def _take(self, reply: object, now: float) -> None:
        if self.pending:
            self.pool.load.end(self.pending.popleft(), *judge(reply), now)
        else:
            self.pool.load.tally.doubled += 1  # an answer that nobody waits for
            self.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        self.closed = True
        self.pool.forget(self)
        pending, self.pending = self.pending, deque()
        for request in pending:
            crossed = self._answered and request.sent - self._used > SEND_AGAIN_IDLE_S
            if request.sent_again is None and crossed and not self.pool.load.over:
                request.sent_again = time.monotonic()
                self.pool.send(request)
            else:
                why = "connection ended" if self.transport is not None else "no connection"
                self.pool.load.end(request, Outcome.LOST, why, time.monotonic())

    def abort(self) -> None:
        """Ends the connection; what is pending on it ends with it."""
        self.closed = True
        if self.transport is not None:
            self.transport.abort()


class Pool:
    """The connections to one gateway."""

    def __init__(self, load: Load, host: str, port: int) -> None:
        self.load = load
        self.host, self.port = host, port
        self.idle: list[Caller] = []  # the last used one last
        self.callers: set[Caller] = set()
        self._opening: set[asyncio.Task[None]] = set()

    def send(self, request: Request) -> None:
        """Sends on an idle connection, else on a new one, else behind the fewest."""
        while self.idle:
            caller = self.idle.pop()
            if not caller.closed:
                caller.send(request)
                return
        if len(self.callers) < CONNECTIONS:
            caller = Caller(self)
            self.callers.add(caller)
            task = self.load.loop.create_task(self._open(caller))
            self._opening.add(task)
            task.add_done_callback(self._opening.discard)
        else:
            caller = min(self.callers, key=lambda each: (each.closed, len(each.pending)))
        caller.send(request)

    async def _open(self, caller: Caller) -> None:
        try:
            await self.load.loop.create_connection(lambda: caller, self.host, self.port)
        except OSError as error:
            caller.connection_lost(error)

    def forget(self, caller: Caller) -> None:
        """A connection has gone."""
        self.callers.discard(caller)
        if caller in self.idle:
            self.idle.remove(caller)

    def close(self) -> None:
        """Ends all connections."""
        for task in self._opening:
            task.cancel()
        for caller in list(self.callers):
            caller.abort()


def judge(reply: object) -> tuple[Outcome, str]:
    """An answer as PROTOCOL's first table reads it; of a value, the second part is the id it was made for."""
    value = reply[0] if isinstance(reply, list) and reply else reply
    if isinstance(value, bytes):
        return Outcome.SERVED, request_id_of(value).decode("ascii", "replace")
    if isinstance(reply, hiredis.ReplyError):
        word, _, wait = str(reply).partition(" ")
        if word == "BUSY" and (not wait or wait.isdigit()):
            return (Outcome.REFUSED_AFTER if wait else Outcome.REFUSED), ""
    return Outcome.FAILED, ""


def histogram() -> Any:
    """An HdrHistogram of microseconds, to three digits."""
    return HdrHistogram(1, MOST_US, 3)


def record(into: Any, seconds: float) -> None:
    """Books a time; what lies outside the histogram goes to its nearest end."""
    into.record_value(max(1, min(MOST_US, round(seconds * 1e6))))


@dataclass(slots=True)
class Tally:
    """What a load gave. Histograms hold microseconds."""

    counts: dict[Outcome, int] = field(default_factory=lambda: dict.fromkeys(Outcome, 0))
    latency: dict[Outcome, Any] = field(default_factory=lambda: {each: histogram() for each in Outcome})
    added: Any = field(default_factory=histogram)  # served ones: latency less the time at servers
    pacing: Any = field(default_factory=histogram)  # from the intended sending to the actual one
    losses: dict[str, int] = field(default_factory=dict)  # by reason
    doubled: int = 0  # answers beyond the one that each request is owed
    ran_twice: int = 0  # requests of unsafe classes that servers carried out more than once
    sent_again: int = 0  # after a close of an idle connection that crossed them
    late: int = 0  # answers past their deadline

    @property
    def total(self) -> int:
        """Requests that were to be sent."""
        return sum(self.counts.values())

    def add(self, request: Request, ledger: AttemptLog) -> None:
        """Books a request that is over."""
        attempts = ledger.attempts_of(request.request_id)
        again = request.sent_again
        self.sent_again += again is not None
        if again is not None and any(attempt.arrived_at < again for attempt in attempts):
            # It had been sent on already, so the gateway's close of the connection lost it.
            request.outcome, request.why = Outcome.LOST, "connection ended after it was sent on"
        if request.outcome is Outcome.LOST:
            self.losses[request.why] = self.losses.get(request.why, 0) + 1
        elif request.sent:
            self.late += request.ended - request.sent > request.wait_s + LATE_S
        self.counts[request.outcome] += 1
        self.ran_twice += request.unsafe and ledger.executions(request.request_id) > 1
        record(self.latency[request.outcome], request.ended - request.due)
        if request.sent:
            record(self.pacing, (again or request.sent) - request.due)
        if request.outcome is Outcome.SERVED:
            at_servers = sum(attempt.time_at_server_s for attempt in attempts)
            record(self.added, request.ended - request.due - at_servers)


class Load:
    """One run of a schedule. `targets` are the gateways' addresses, in the order of their numbers."""

    def __init__(
        self, targets: Sequence[tuple[str, int]], requests: list[Request], ledger: AttemptLog
    ) -> None:
        self.loop = asyncio.get_running_loop()
        self.tally = Tally()
        self.over = False
        self.ended = 0
        self._requests = requests
        self._ledger = ledger
        self._pools = [Pool(self, host, port) for host, port in targets]
        self._all = asyncio.Event()
        self._stop = threading.Event()
        self._timers: dict[int, asyncio.TimerHandle] = {}

    async def run(self) -> Tally:
        """Sends everything and waits for the ends; bounded by the schedule and the deadlines."""
        begin = time.monotonic() + LEAD_S
        for request in self._requests:
            request.due += begin
        pacer = threading.Thread(target=self._pace, name="pacer", daemon=True)
        pacer.start()
        try:
            if self._requests:
                await self._all.wait()
        finally:
            self.over = True
            self._stop.set()
            pacer.join()
            self._close()
        for request in self._requests:
            self.tally.add(request, self._ledger)
        return self.tally

    def _pace(self) -> None:
        """Hands each request to the loop at its moment. A thread, as the loop's timers are a millisecond
        coarse and the wait of a thread is not."""
        for request in self._requests:
            wait = request.due - time.monotonic()
            if wait > 0.0 and self._stop.wait(wait):
                return
            self.loop.call_soon_threadsafe(self._send, request)

    def _send(self, request: Request) -> None:
        if self.over:
            return
        expiry = max(0.0, request.due + request.wait_s + PATIENCE_S - time.monotonic())
        self._timers[id(request)] = self.loop.call_later(expiry, self._expire, request)
        self._pools[request.gateway].send(request)

    def _expire(self, request: Request) -> None:
        """No answer came: the request is lost, and its connection's answers no longer pair with requests."""
        self.end(request, Outcome.LOST, "no answer", time.monotonic())
        for caller in list(self._pools[request.gateway].callers):
            if request in caller.pending:
                caller.pending.remove(request)
                caller.abort()

    def end(self, request: Request, outcome: Outcome, why: str, now: float) -> None:
        """Books the one end of a request."""
        if request.outcome is not Outcome.OPEN:
            return
        if outcome is Outcome.SERVED and why != request.request_id.decode():
            outcome, why = Outcome.LOST, "another request's value"
        request.outcome, request.why, request.ended = outcome, why, now
        timer = self._timers.pop(id(request), None)
        if timer is not None:
            timer.cancel()
        self.ended += 1
        if self.ended == len(self._requests):
            self._all.set()

    def _close(self) -> None:
        for timer in self._timers.values():
            timer.cancel()
        for pool in self._pools:
            pool.close()


def percentiles_ms(of: Any, at: Iterable[float] = (50.0, 90.0, 99.0, 99.9)) -> dict[str, float | None]:
    """Milliseconds at each percentile, by its name (p50); None where nothing was booked."""
    if not of.get_total_count():
        return {f"p{each:g}": None for each in at}
    return {f"p{each:g}": round(of.get_value_at_percentile(each) / 1000.0, 3) for each in at}
