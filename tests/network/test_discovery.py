"""Discovery: what each gateway asks for and how soon, and that the list is current within its deadline."""

from __future__ import annotations

import asyncio
import heapq
import itertools
import random
from collections.abc import Callable, Coroutine
from typing import Any, cast
from urllib.parse import parse_qs, urlsplit

import pytest

from quota_gateway.network.discovery import watch as discovery_module
from quota_gateway.network.discovery.watch import TOLD_S, Discovery, Exchange
from quota_gateway.policy_api.endpoints import EndpointUpdate
from tests.network.harness import (
    FakeDiscovery,
    ScriptedPolicy,
    endpoint_list_response,
    http_response,
    run_scenario,
    running_gateway,
    server_row,
    wait_until,
)

NEAR_S = 0.25  # a drain's grace


class Loop:
    """A clock that stands, and the calls booked on it."""

    def __init__(self) -> None:
        self.booked: list[float] = []

    def time(self) -> float:
        return 0.0

    def call_later(self, delay: float, then: Callable[..., None], *args: Any) -> Loop:
        self.booked.append(delay)
        return self

    def cancel(self) -> None:
        self.booked.pop()


def turned_away(gateways: int) -> list[float]:
    """When each of the gateways asks again after all were turned away at once."""
    delays = []
    for number in range(gateways):
        loop = Loop()
        discovery = Discovery(
            cast(asyncio.AbstractEventLoop, loop), ("127.0.0.1", 1), lambda news: (), 1, gateways, number
        )
        discovery.exchange = Exchange(lambda status, body: None, lambda: None)
        discovery.answered(discovery.exchange, 503, b"")
        delays += loop.booked
    return sorted(delays)


def test_gateways_that_are_turned_away_together_do_not_come_back_together() -> None:
    # All forty came back within a second, and each second after that; no list ever got through.
    delays = turned_away(40)
    assert len(delays) == 40
    assert all(sum(at <= d < at + 1.0 for d in delays) <= 10 for at in delays)


def test_a_few_gateways_come_back_soon() -> None:
    assert turned_away(3)[-1] <= 3.0


def test_hundreds_spread_their_calls_over_all_the_time_that_the_deadline_leaves() -> None:
    # They stayed away for up to 30 s: a drain in that time was missed, though told after 6 s.
    delays = turned_away(400)
    assert 0.8 * TOLD_S < delays[-1] < TOLD_S
    assert all(sum(at <= d < at + 1.0 for d in delays) <= 1.5 * 400 / TOLD_S for at in delays)


class Clock:
    """A loop whose clock jumps from one booked call to the next."""

    def __init__(self) -> None:
        self.now = 0.0
        self.serial = itertools.count()
        self.heap: list[tuple[float, int, Booked]] = []

    def time(self) -> float:
        return self.now

    def call_later(self, delay: float, then: Callable[..., None], *args: Any) -> Booked:
        booked = Booked(then, args)
        heapq.heappush(self.heap, (self.now + delay, next(self.serial), booked))
        return booked

    def create_task(self, opening: Coroutine[Any, Any, None]) -> Booked:
        opening.close()  # the test stands in for the connection: see `Watched`
        return Booked(lambda: None, ())

    def run(self, until_s: float) -> None:
        while self.heap and self.heap[0][0] <= until_s:
            self.now, _, booked = heapq.heappop(self.heap)
            if not booked.cancelled:
                booked.then(*booked.args)
        self.now = until_s


class Booked:
    """A call that may be taken back."""

    def __init__(self, then: Callable[..., None], args: tuple[Any, ...]) -> None:
        self.then, self.args, self.cancelled = then, args, False

    def cancel(self) -> None:
        self.cancelled = True


class Scripted:
    """One connection to a discovery that ends calls as the script says."""

    def __init__(self, world: World) -> None:
        self.world, self.alive = world, True

    def usable(self) -> bool:
        return self.alive

    def abort(self) -> None:
        if self.alive:
            self.alive = False
            self.world.clock.call_later(0.0, self.world.watched.lost, self)

    def answer(self, status: int, body: bytes) -> None:
        if self.alive:
            self.world.watched.answered(cast(Exchange, self), status, body)

    def get(self, host: str, target: str) -> None:
        self.world.called(self, target)


class Watched(Discovery):
    """The real thing, with a scripted connection in place of a socket."""

    world: World

    def start(self, known: int | None = None) -> None:
        super().start(known)
        self.world.clock.call_later(0.001, self.connected)

    def connected(self) -> None:
        if self.world.refused():
            exchange = Scripted(self.world)
            self.exchange = cast(Exchange, exchange)
            exchange.abort()
            return
        self.exchange = cast(Exchange, Scripted(self.world))
        self.ask()


class World:
    """A discovery whose calls end badly now and then, and the moments at which the list was made current."""

    def __init__(self, endings: list[str], callers: int, number: int) -> None:
        self.clock = Clock()
        self.endings = endings  # of the calls, in order; "good" afterwards
        self.calls: list[float] = []
        self.current: list[float] = []
        loop = cast(asyncio.AbstractEventLoop, self.clock)
        self.watched = Watched(loop, ("127.0.0.1", 1), lambda news: (), number, callers, number)
        self.watched.world = self
        self.watched.start(1)

    def refused(self) -> bool:
        """Whether the connection that a call would have gone over is refused."""
        if self.endings[:1] != ["refused"]:
            return False
        self.endings.pop(0)
        self.calls.append(self.clock.now)
        return True

    def called(self, exchange: Scripted, target: str) -> None:
        """A call has come: ends it as its turn says."""
        self.calls.append(self.clock.now)
        query = parse_qs(urlsplit(target).query)
        wait = float(query["timeout_ms"][0]) / 1000.0 if query else 0.0
        ending = self.endings.pop(0) if self.endings else "good"
        later = self.clock.call_later
        match ending:
            case "good":
                full = b"false" if query else b"true"
                later(wait + 0.01, self.good, exchange, b'{"version":1,"full":%b,"servers":[]}' % full)
            case "busy":
                later(0.004, exchange.answer, 503, b"")
            case "unreadable":
                later(0.004, exchange.answer, 200, b"{")
            case "failing":
                later(0.004, exchange.answer, 500, b"")
            case "reset" | "refused" | "cut":  # a body cut off ends with the connection
                later(0.02, exchange.abort)

    def good(self, exchange: Scripted, body: bytes) -> None:
        if exchange.alive:
            self.current.append(self.clock.now)
            exchange.answer(200, body)


KINDS = ["busy", "unreadable", "failing", "reset", "refused", "cut"]


@pytest.mark.parametrize("callers", [0, 3, 200])
@pytest.mark.parametrize("kind", [*KINDS, "silent"])
def test_the_list_is_current_within_the_deadline_whatever_a_call_came_to(kind: str, callers: int) -> None:
    # After a 503 the next of 200 gateways' calls came up to 30 s later.
    for number in range(40):
        world = World(["good", kind], callers, number)
        world.clock.run(30.0)
        gaps = [b - a for a, b in itertools.pairwise(world.current)]
        assert len(gaps) >= 5
        assert max(gaps) <= TOLD_S


@pytest.mark.parametrize("callers", [0, 200])
def test_the_list_is_current_within_the_deadline_after_several_calls_that_failed(callers: int) -> None:
    # A shared service turns away once at most here: what it turns away again has a second left, or less, and
    # is spread over the longer time that lets the service come to itself.
    rng = random.Random(callers)
    kinds = [kind for kind in KINDS if kind != "busy" or not callers]
    for number in range(100):
        failed = [rng.choice(kinds) for _ in range(rng.randrange(1, 4 if callers else 9))]
        if rng.random() < 0.5:
            failed = ["silent", rng.choice(kinds)]  # what follows silence has a second left
        elif callers:
            failed.insert(0, "busy")
        world = World(["good", *failed], callers, number)
        world.clock.run(30.0)
        gaps = [b - a for a, b in itertools.pairwise(world.current)]
        assert max(gaps) <= TOLD_S, (failed, max(gaps))


def test_a_call_to_an_agent_that_failed_is_made_again_within_a_drains_grace() -> None:
    # What an agent has counts as told, whether or not a watch is open; after a 503 it went unasked for 30 s.
    for kind in KINDS:
        world = World(["good", *[kind] * 8], 0, 1)
        world.clock.run(20.0)
        failed = [b - a for a, b in itertools.pairwise(world.calls)][1:9]
        assert max(failed) < NEAR_S, kind


def test_a_moved_discovery_is_asked_within_what_sighup_allows() -> None:
    for number in range(40):
        world = World(["good"], 200, number)
        world.clock.run(1.0)
        world.endings = ["busy"]
        moved, before = world.clock.now, len(world.current)
        world.watched.move(("127.0.0.1", 2))
        world.clock.run(30.0)
        assert world.current[before] - moved <= discovery_module.MOVED_S


def test_a_list_that_could_not_be_made_current_in_time_is_told_to_the_operators(
    caplog: pytest.LogCaptureFixture,
) -> None:
    caplog.set_level("INFO", "quota_gateway")
    world = World(["good", *["busy"] * 5], 200, 1)
    world.clock.run(120.0)
    told = [record.getMessage() for record in caplog.records]
    assert sum("event=endpoint_list_stale stale_s=" in line for line in told) == 1
    assert sum("event=endpoint_list_current stale_s=" in line for line in told) == 1


def test_no_storm_follows_the_deadline() -> None:
    # Tries every second by all that were late kept the service from answering any of them.
    calls: list[float] = []
    for number in range(200):
        world = World(["good", *["busy"] * 1000], 200, number)
        world.clock.run(60.0)
        calls += [at for at in world.calls if at > 2 * TOLD_S]
    assert len(calls) / (60.0 - 2 * TOLD_S) <= 1.2 * 200 / (0.5 * discovery_module.MOST_TURN_S)


CUT = b'HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n{"version":5,'
BUSY, NO_HTTP = http_response(b"", "503 Service Unavailable"), b"HTTP/1.1 what\r\n\r\n"
ENDINGS = [BUSY, http_response(b"", "500 Oops"), http_response(b"{"), NO_HTTP, CUT]


@pytest.mark.parametrize("ending", ENDINGS, ids=["503", "500", "unreadable", "not HTTP", "cut in mid-body"])
def test_a_drain_is_heard_within_its_grace_after_any_bad_answer_of_an_agent(ending: bytes) -> None:
    async def scenario() -> None:
        rows = [server_row("s0", 80), server_row("s9", 81)]
        discovery = FakeDiscovery(endpoint_list_response(4, rows))
        script = ScriptedPolicy(lambda event: [])
        async with running_gateway(policy=script, discovery=discovery) as one:
            await wait_until(lambda: len(discovery.targets) == 2 and "s9" in one.program.server_pools.pools)
            drained = [rows[0], server_row("s9", 81, "Terminating")]
            discovery.answers += [ending, endpoint_list_response(5, drained)]
            if ending is CUT:
                await wait_until(lambda: one.program.discovery.exchange.status == 200)  # type: ignore[union-attr]
                discovery.writers[-1].transport.abort()
            await wait_until(lambda: one.program.server_pools.pools["s9"].write_deadline is not None)
            assert discovery.times[2] - discovery.times[1] < 2 * NEAR_S  # a watch and a pause

    run_scenario(scenario())


def test_an_agent_that_can_not_be_reached_is_tried_again_within_a_drains_grace() -> None:
    # The pause doubled with each try: a drain told at the agent's return was heard of up to 1.5 s later.
    loop = Loop()
    discovery = Discovery(cast(asyncio.AbstractEventLoop, loop), ("127.0.0.1", 1), lambda news: ())
    pauses = []
    for _ in range(8):
        discovery.exchange = Exchange(lambda status, body: None, lambda: None)
        discovery.lost(discovery.exchange)
        pauses += loop.booked
    assert min(pauses) > 0.0
    assert max(pauses) < 0.2


def test_a_lost_watch_goes_on_from_the_version_held() -> None:
    # A whole list for every gateway, each time, is what kept discovery from answering.
    async def scenario() -> None:
        rows = [server_row("a", 80), server_row("b", 81)]
        discovery = FakeDiscovery(
            endpoint_list_response(4, rows), http_response(b"", "503 Service Unavailable")
        )
        script = ScriptedPolicy(lambda event: [])
        async with running_gateway(policy=script, discovery=discovery):
            await wait_until(lambda: len(discovery.targets) == 3)
            discovery.writers[-1].transport.abort()
            await wait_until(lambda: len(discovery.targets) == 4)
            discovery.answers += [b"", endpoint_list_response(5, [server_row("c", 82)], full=False)]
            await wait_until(lambda: len(script.events_of(EndpointUpdate)) == 3)
        since = [target.partition("since=")[2].partition("&")[0] for target in discovery.targets]
        assert since[:4] == ["1", "4", "4", "4"]

    run_scenario(scenario())
