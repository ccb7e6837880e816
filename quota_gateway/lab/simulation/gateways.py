"""Hollow gateways: the real decision module, with no sockets; its actions are carried out on the models."""

from __future__ import annotations

import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from typing import TYPE_CHECKING

from quota_gateway.lab.simulation.clients import Pool, Try
from quota_gateway.lab.simulation.discovery import Agent
from quota_gateway.lab.simulation.network import Place
from quota_gateway.lab.simulation.scheduler import stream
from quota_gateway.lab.simulation.servers import Job, Life, Server
from quota_gateway.lab.simulation.wire_sizes import SERVED, call_get, incrttl
from quota_gateway.network.bridge import RESPONSE_MARGIN_S
from quota_gateway.network.process import FIRST_LIST_TIMEOUT_S
from quota_gateway.policy.gateway import Gateway
from quota_gateway.policy_api.actions import (
    CancelAttempt,
    Fail,
    IncrementCounter,
    LogEvent,
    Reject,
    SetTimer,
    StartAttempt,
    WatchEndpoints,
)
from quota_gateway.policy_api.endpoints import EndpointState, EndpointUpdate, UpdateKind
from quota_gateway.policy_api.events import (
    AttemptCompleted,
    CallOutcome,
    ClientDisconnected,
    CounterReply,
    Event,
    Request,
    TimerFired,
)
from quota_gateway.settings import Settings

if TYPE_CHECKING:
    from quota_gateway.lab.simulation.simulation import World

GONE_MS = 100.0  # an attempt that begins this long after the client has gone breaks a rule (letter)
CALL_BYTES_BACK = 16


@dataclass(slots=True, eq=False)
class Attempt:
    """An attempt as its gateway sees it."""

    one: Try
    number: int
    server: Server
    sent_at: float
    job: Job | None = None
    out: bool = True


class HollowGateway:
    """One gateway's machine. What was meant for an earlier process of it is not delivered to a later one."""

    def __init__(self, world: World, index: int, place: Place, pool: int, settings: Settings) -> None:
        self.world = world
        self.kernel = world.kernel
        self.books = world.books
        self.index = index
        self.place = place
        self.pool_number = pool
        self.pool: Pool = world.pools[pool]
        self.settings = settings
        self.life = 0  # counts the processes
        self.alive = False
        self.died_at = self.noticed_at = self.started_at = self.ready_at = 0.0
        self.last_ns = 0  # processor time of the last event
        self.rng = stream(world.seed, "gateway", index)
        self.module: Gateway | None = None
        self.held: dict[str, Try] = {}
        self.replies: dict[int, deque[Pending]] = {}  # calls to the counter without an answer, by name
        self.used: dict[str, float] = {}  # when a connection to a server last carried something
        self.leaving: dict[str, float] = {}  # when it was told that a server drains or is gone
        self.starts: dict[str, float] = {}  # servers' starts that it was told of
        self.since = 0  # version of the list that it last had
        self.agent = Agent(
            world.kernel, world.service, place, pool, settings.gateway_count, world.seed, index, self.told
        )

    # --- life ---------------------------------------------------------------------------------------------

    def start(self, saved: EndpointUpdate, since: int) -> None:
        """A process starts from nothing but its last list; version `since` of it."""
        self.life += 1
        self.alive = True
        self.module = Gateway(self.settings, self.rng.getrandbits(32))
        self.since = since
        self.note(saved)
        self.post(saved)
        self.agent.start(since)

    def stop(self) -> None:
        """The process dies: what it held is reset, and its machine refuses connections until it is back."""
        self.alive, self.module = False, None
        self.died_at = self.kernel.now
        self.noticed_at = self.died_at + self.rng.uniform(*self.world.experiment.clients.dead_ms)
        self.since = self.agent.since or 0
        self.agent.stop()
        held, self.held = self.held, {}
        for one in held.values():
            if one.current is not None:
                one.current.out = False
                if one.current.job is not None:
                    one.current.server.drop(one.current.job)
            self.books.service["cut_by_restart"] += 1
            one.over, one.over_at = True, self.kernel.now
            self.world.clients.retry(self.pool, one, 0.0)
        self.replies.clear()
        self.used.clear()

    def restart(self) -> None:
        """It is back, with nothing but the list that it last had (brief 2.1)."""
        self.leaving.clear()
        self.starts.clear()
        known = self.world.service.list_at(self.pool_number, self.since)
        self.started_at = self.kernel.now
        self.ready_at = self.started_at + 1000.0 * FIRST_LIST_TIMEOUT_S
        self.start(EndpointUpdate(UpdateKind.CACHED_SNAPSHOT, known), self.since)

    # --- events -------------------------------------------------------------------------------------------

    def post(self, event: Event) -> None:
        """Hands an event to the module, measures it, and carries out what it says."""
        if self.module is None:
            return
        before = time.process_time_ns()
        actions = self.module.handle(self.kernel.now, event)
        self.last_ns = time.process_time_ns() - before
        self.world.measured.add(type(event).__name__, self.last_ns)
        for action in actions:
            match action:
                case StartAttempt():
                    self.send(action)
                case SetTimer(token, at_ms):
                    self.kernel.at(at_ms, self.timer, self.life, token)
                case IncrementCounter():
                    self.count(action)
                case Reject(request_id, retry_after_ms):
                    self.answer(request_id, "refused", retry_after_ms)
                case Fail(request_id):
                    self.answer(request_id, "failed", 0.0)
                case CancelAttempt(request_id, number):
                    self.cancel(request_id, number)
                case LogEvent(name, fields):
                    self.books.logs[f"{name} {dict(fields).get('state', '')}".rstrip()] += 1
                case WatchEndpoints():
                    pass  # the watch runs from the start

    def timer(self, life: int, token: int) -> None:
        """A timer is due."""
        if life == self.life and self.alive:
            self.post(TimerFired(token))

    def note(self, news: EndpointUpdate) -> None:
        """Keeps when it was told what, for the rules on drains and cold starts."""
        for entry in news.endpoints:
            if entry.state is EndpointState.ACTIVE:
                self.leaving.pop(entry.server_id, None)
                if entry.started_ms:
                    self.starts[entry.server_id] = entry.started_ms
            else:
                self.leaving.setdefault(entry.server_id, self.kernel.now)

    def told(self, news: EndpointUpdate) -> None:
        """Discovery has written news to it."""
        if not self.alive:
            return
        if self.agent.heard == 1 and self.died_at:
            self.ready_at = min(self.ready_at, self.kernel.now)
            self.books.ready.add(1000.0 * (self.kernel.now - self.started_at))
        self.note(news)
        if news.endpoints or news.kind is UpdateKind.SNAPSHOT:
            self.post(news)

    def take(self, one: Try) -> None:
        """A client's request has come whole."""
        self.held[one.ref] = one
        plan, tenant = one.tenant.plan.name, one.tenant
        left = one.deadline - one.came
        self.post(Request(one.ref, "valuacion", plan, tenant.key, left, one.units, tenant.spread))
        one.spent_ns = self.last_ns

    def gone(self, one: Try) -> None:
        """The client left, or its time is up."""
        if self.held.pop(one.ref, None) is not None:
            self.post(ClientDisconnected(one.ref))

    # --- answers ------------------------------------------------------------------------------------------

    def decide(self, one: Try) -> None:
        """Books how long the decision took in simulated time, once for a try."""
        if not one.decided:
            one.decided = True
            waited_us = 1000.0 * (self.kernel.now - one.came)
            self.books.waited.add(waited_us)
            self.world.measured.added.add(waited_us + (one.spent_ns + self.last_ns) / 1000.0)

    def answer(self, ref: str, what: str, retry_after_ms: float) -> None:
        """The module's own final answer. A refusal promises that no attempt ran."""
        one = self.held.pop(ref, None)
        if one is None or one.over:
            return
        self.decide(one)
        if what == "refused":
            if not one.sent:
                self.world.clients.refused(one)
            elif one.current is not None:
                what = "failed"
        self.world.clients.answered(self.pool, one, what, retry_after_ms)

    # --- attempts -----------------------------------------------------------------------------------------

    def send(self, action: StartAttempt) -> None:
        """Starts an attempt, or ends it unsent."""
        one, now = self.held.get(action.request_id), self.kernel.now
        if one is None:
            self.books.rules["sent_without_request"] += 1
            unsent = AttemptCompleted(action.request_id, 0, action.server_id, CallOutcome.NOT_SENT, 0.0, True)
            self.kernel.after(0.0, self.post_if, self.life, unsent)
            return
        number, one.attempts = one.attempts, one.attempts + 1
        server = self.world.servers[action.server_id]
        left = one.deadline - 1000.0 * RESPONSE_MARGIN_S - now
        wait = min(left, action.timeout_ms) if action.timeout_ms > 0 else left
        if wait <= 0 or number >= self.settings.max_attempts or one.current is not None:
            unsent = AttemptCompleted(one.ref, number, server.name, CallOutcome.NOT_SENT, 0.0, False)
            self.kernel.after(0.0, self.post_if, self.life, unsent)
            return
        self.check_drain(server)
        if one.over and now - one.over_at > GONE_MS:
            self.books.rules["sent_after_client_left"] += 1
        attempt = one.current = Attempt(one, number, server, now)
        self.kernel.after(wait, self.end, attempt, CallOutcome.TIMEOUT)
        self.dispatch(attempt)

    def dispatch(self, attempt: Attempt) -> None:
        """Puts an attempt on its way to the server's machine."""
        server, one, now = attempt.server, attempt.one, self.kernel.now
        figures = self.world.experiment.servers
        delay = self.world.network.delay(self.place, server.place)
        if server.life is Life.VANISHED or delay is None:
            self.books.count("server", "unreachable")
            self.kernel.after(figures.connect_ms, self.end, attempt, CallOutcome.UNREACHABLE)
            return
        if now - self.used.get(server.name, -1e9) > figures.idle_ms:
            self.books.count("server", "handshakes")
            delay *= 3.0  # a connection comes up first: one round trip more
        self.used[server.name] = now
        if server.life is Life.DOWN:
            self.kernel.after(2.0 * delay, self.end, attempt, CallOutcome.UNREACHABLE)
            return
        self.decide(one)
        if not one.sent:
            one.sent = True
            self.world.clients.first_sent(one)
        told = self.starts.get(server.name, 0.0) == server.started_ms
        attempt.job = Job(one.work * server.pace, partial(self.back, attempt, self.life), told)
        left = one.deadline - now
        tenant = one.tenant
        size = len(call_get(tenant.key, one.ref, tenant.plan.name, left, one.units, tenant.spread))
        self.books.count("gateway", "attempts", size)
        self.kernel.after(delay, self.arrive, attempt)

    def arrive(self, attempt: Attempt) -> None:
        """The request has come to the server's machine."""
        if attempt.out and attempt.job is not None:
            if attempt.server.life is Life.DOWN:
                self.back(attempt, self.life, CallOutcome.RESET)
            else:
                attempt.server.take(attempt.job)

    def back(self, attempt: Attempt, life: int, ending: CallOutcome) -> None:
        """A server's answer leaves its machine."""
        delay = self.world.network.delay(attempt.server.place, self.place)
        if delay is not None and life == self.life:
            self.kernel.after(delay, self.end, attempt, ending)

    def end(self, attempt: Attempt, ending: CallOutcome) -> None:
        """An attempt's one ending; a good answer goes to the client before the module hears of it."""
        if not attempt.out or not self.alive:
            return
        attempt.out = False
        one, now = attempt.one, self.kernel.now
        if one.current is attempt:
            one.current = None
        self.books.endings[ending.value] += 1
        if ending in (CallOutcome.TIMEOUT, CallOutcome.CANCELLED) and attempt.job is not None:
            attempt.server.drop(attempt.job)
        attempt.job = None  # which holds the attempt: no work for the collector of cycles
        if ending is CallOutcome.OK:
            self.books.count("gateway", "values", SERVED + 24)
            if self.held.pop(one.ref, None) is not None and not one.over:
                self.world.clients.answered(self.pool, one, "served")
        final = one.ref not in self.held
        self.post(
            AttemptCompleted(
                one.ref, attempt.number, attempt.server.name, ending, now - attempt.sent_at, final
            )
        )

    def cancel(self, ref: str, number: int) -> None:
        """The module stops waiting."""
        one = self.held.get(ref)
        if one is not None and one.current is not None and one.current.number == number:
            self.kernel.after(0.0, self.end, one.current, CallOutcome.CANCELLED)

    def post_if(self, life: int, event: Event) -> None:
        """An event for the process that it was meant for."""
        if life == self.life and self.alive:
            self.post(event)

    def check_drain(self, server: Server) -> None:
        """Rule 3: nothing new to a server past the grace once the gateway is told, or counts as told."""
        now, grace = self.kernel.now, self.world.experiment.servers.drain_grace_ms
        told = self.leaving.get(server.name)
        if told is not None and now > told + grace:
            self.books.rules["late_drains_told"] += 1
        elif now > self.world.service.told_by(server.name, self.place) + grace:
            self.books.rules["late_drains_deemed"] += 1

    # --- the counter --------------------------------------------------------------------------------------

    def count(self, action: IncrementCounter) -> None:
        """A call to the counter; its one answer comes in time or as a time-out, those of a name in order."""
        counter, now = self.world.counter, self.kernel.now
        place, part = counter.home(self.place.region, action.key)
        self.books.count("counter", "calls", len(incrttl(action.key, action.amount, action.ttl_ms)))
        pending = Pending(self, action.key, now, self.life)
        self.replies.setdefault(action.key, deque()).append(pending)
        self.kernel.after(self.settings.counter_timeout_ms, pending.end, CallOutcome.TIMEOUT, 0.0)
        delay = self.world.network.delay(self.place, place)
        if delay is not None:
            back: Callable[[CallOutcome, float], None] = partial(pending.back, place)
            self.kernel.after(delay, counter.call, part, action.key, action.amount, action.ttl_ms, back)

    def counted(self, name: int) -> None:
        """Hands on the answers for a name in the order of its calls (PROTOCOL)."""
        line = self.replies.get(name)
        while line and (ending := line[0].ending) is not None:
            one = line.popleft()
            if not line:
                del self.replies[name]
            self.books.count("counter", f"answered_{ending.value}", CALL_BYTES_BACK)
            self.post(CounterReply(name, one.total, ending, self.kernel.now - one.sent_at))


@dataclass(slots=True, eq=False)
class Pending:
    """A call to the counter whose answer has not been handed on."""

    gateway: HollowGateway
    name: int
    sent_at: float
    life: int
    ending: CallOutcome | None = None
    total: float = 0.0

    def back(self, place: Place, ending: CallOutcome, total: float) -> None:
        """The counter's answer leaves."""
        delay = self.gateway.world.network.delay(place, self.gateway.place)
        if delay is not None:
            self.gateway.kernel.after(delay, self.end, ending, total)

    def end(self, ending: CallOutcome, total: float) -> None:
        """The answer comes, or the time-out; the first counts."""
        if self.ending is None and self.life == self.gateway.life and self.gateway.alive:
            self.ending, self.total = ending, total
            self.gateway.counted(self.name)
