"""The models against the rules that are published for what they stand for."""

from __future__ import annotations

from collections import deque
from typing import Any

import pytest

from quota_gateway.lab.simulation.clients import Tenant, Try, mean_units, plans, tenants
from quota_gateway.lab.simulation.counter import Counter
from quota_gateway.lab.simulation.discovery import Agent, Service
from quota_gateway.lab.simulation.experiment import Clients as ClientFigures
from quota_gateway.lab.simulation.experiment import Counter as CounterFigures
from quota_gateway.lab.simulation.experiment import Discovery as DiscoveryFigures
from quota_gateway.lab.simulation.experiment import Experiment, Fleet, Load, excess
from quota_gateway.lab.simulation.experiment import Network as NetworkFigures
from quota_gateway.lab.simulation.experiment import Servers as ServerFigures
from quota_gateway.lab.simulation.gateways import Pending
from quota_gateway.lab.simulation.metrics import Books
from quota_gateway.lab.simulation.network import Network, Place
from quota_gateway.lab.simulation.scheduler import Kernel
from quota_gateway.lab.simulation.servers import Job, Life, Server
from quota_gateway.lab.simulation.simulation import World
from quota_gateway.network.discovery.poll_schedule import LONG_POLL_S
from quota_gateway.policy_api.endpoints import Endpoint, EndpointState, EndpointUpdate, UpdateKind
from quota_gateway.policy_api.events import CallOutcome, CounterReply
from quota_gateway.settings import Plan

HERE, THERE, FAR = Place("z0", 0), Place("z1", 0), Place("z2", 1)
NO_CHANCE = NetworkFigures(jitter=0.0)


# --- servers ---------------------------------------------------------------------------------------------


class Machine:
    """A server with what came of its jobs."""

    def __init__(self, **figures: Any) -> None:
        self.kernel, self.books = Kernel(), Books()
        self.server = Server(self.kernel, self.books, ServerFigures(**figures), "s", HERE, pace=100.0, pool=0)
        self.endings: list[tuple[float, CallOutcome]] = []

    def send(self, count: int = 1, work: float = 100.0) -> list[Job]:
        jobs = [Job(work, self.ended) for _ in range(count)]
        for job in jobs:
            self.server.take(job)
        return jobs

    def ended(self, ending: CallOutcome) -> None:
        self.endings.append((self.kernel.now, ending))

    def run(self, ms: float) -> None:
        self.kernel.run(self.kernel.now + ms)

    def tally(self) -> dict[CallOutcome, int]:
        return {ending: sum(e is ending for _, e in self.endings) for ending in {e for _, e in self.endings}}


def test_a_server_has_cores_and_a_waiting_room_and_turns_the_rest_away() -> None:
    machine = Machine(cores=2, room=3)
    machine.send(8)
    assert machine.tally() == {CallOutcome.REJECTED: 3}
    machine.run(100.0)
    assert machine.tally() == {CallOutcome.REJECTED: 3, CallOutcome.OK: 2}
    machine.run(1000.0)
    assert machine.tally() == {CallOutcome.REJECTED: 3, CallOutcome.OK: 5}
    assert machine.endings[-1][0] - machine.endings[0][0] == pytest.approx(300.0)


@pytest.mark.parametrize("stops", [False, True])
def test_cancelled_work_that_waits_goes_and_what_runs_goes_on_where_the_figures_say_so(stops: bool) -> None:
    machine = Machine(cores=1, room=5, stops=stops)
    running, waiting, last = machine.send(3)
    machine.server.drop(waiting)
    machine.server.drop(running)
    machine.run(150.0)
    assert (last in machine.server.running) is not stops or machine.server.serves == 1
    machine.run(200.0)
    assert machine.server.serves == (1 if stops else 2)
    assert machine.books.calls["server"]["wasted"] == (0 if stops else 1)


def test_a_cold_server_starts_at_its_share_and_is_warm_in_time() -> None:
    machine = Machine(cold_share=0.2, warm_ms=10_000.0)
    assert machine.server.warmth() == 1.0
    machine.server.start()
    for at, share in ((0.0, 0.2), (5000.0, 0.6), (5000.0, 1.0), (5000.0, 1.0)):
        machine.run(at)
        assert machine.server.warmth() == pytest.approx(share)


@pytest.mark.parametrize(("warm", "falls"), [(False, True), (True, False)])
def test_a_cold_server_falls_beyond_its_budget_and_chance(warm: bool, falls: bool) -> None:
    machine = Machine(
        cores=2, room=1000, cold_share=0.25, warm_ms=1e9, overload_factor=2.0, overload_ms=1000.0
    )
    if not warm:
        machine.server.start()
    budget = 2.0 * 0.25 * 2 * 1000.0 / 100.0  # ten calls, and by chance 2 sqrt(10) + 2 more: 18 in all
    machine.send(18)
    assert not machine.books.falls
    assert machine.books.nearest_to_fall == (
        0.0 if warm else pytest.approx(18 / (budget + 2 * budget**0.5 + 2))
    )
    machine.send(1)
    assert machine.server.life is (Life.DOWN if falls else Life.UP)
    if falls:
        (fall,) = machine.books.falls
        assert fall.calls == 19
        assert fall.budget == pytest.approx(budget)
        assert fall.report()["excess"] > 0.0
        assert fall.report()["rule_broken"]
        assert machine.tally() == {CallOutcome.RESET: 19}


def test_calls_outside_the_window_push_nobody_over() -> None:
    machine = Machine(room=1000, cold_share=0.25, warm_ms=1e9, overload_factor=2.0, overload_ms=1000.0)
    machine.server.start()
    for _ in range(5):
        machine.send(10)
        machine.run(1001.0)
    assert machine.server.life is Life.UP


def test_drains_hangs_and_crashes() -> None:
    machine = Machine(cores=1)
    machine.send(2)
    machine.server.life = Life.DRAINING
    machine.send(1)
    machine.run(500.0)
    assert machine.tally() == {CallOutcome.OK: 2, CallOutcome.REJECTED: 1}  # it completes what it has
    machine.server.life = Life.HUNG
    machine.send(1)
    machine.run(5000.0)
    assert len(machine.endings) == 3
    machine.server.resume()
    machine.run(150.0)
    assert machine.tally()[CallOutcome.OK] == 3
    machine.send(3)
    machine.server.stop(Life.DOWN)
    assert machine.tally()[CallOutcome.RESET] == 3
    machine.server.start()
    machine.send(3)
    machine.server.stop(Life.VANISHED)  # says nothing
    machine.run(5000.0)
    assert len(machine.endings) == 7


# --- the counter -----------------------------------------------------------------------------------------


class Calls:
    """A counter of one part at 100 calls a second, with the answers of its calls."""

    def __init__(self, **figures: Any) -> None:
        self.kernel, self.books = Kernel(), Books()
        made = CounterFigures(
            parts=1, calls_per_s=(100.0, 100.0), call_ms=(1.0, 1.0), line=(1.0, 1.0), **figures
        )
        self.counter = Counter(self.kernel, self.books, made, [HERE], seed=1)
        self.answers: list[tuple[float, CallOutcome, float]] = []

    def call(self, name: int = 5, amount: float = 1.0, ttl: float = 60_000.0) -> None:
        _, part = self.counter.home(0, name)
        self.counter.call(part, name, amount, ttl, self.answered)

    def answered(self, ending: CallOutcome, total: float) -> None:
        self.answers.append((self.kernel.now, ending, total))

    def run(self, ms: float) -> None:
        self.kernel.run(self.kernel.now + ms)


def test_a_part_takes_calls_in_turn_and_turns_them_away_when_its_line_is_long() -> None:
    calls = Calls(timeout_ms=50.0)
    start = calls.kernel.now
    for _ in range(10):
        calls.call()
    calls.run(1000.0)
    busy = [at for at, ending, _ in calls.answers if ending is CallOutcome.REJECTED]
    added = [(round(at - start, 6), total) for at, ending, total in calls.answers if ending is CallOutcome.OK]
    assert busy == [start] * 4  # the line holds one time-out, five calls, besides the one that is served
    assert added == [(11.0 + 10.0 * i, i + 1.0) for i in range(6)]


def test_a_name_lives_as_long_as_its_first_call_says_and_a_minute_at_most() -> None:
    calls = Calls()
    for name, ttl in ((1, 500.0), (2, 1e9)):
        calls.call(name, 3.0, ttl)
        calls.run(100.0)
        calls.call(name, -1.0, 1e9)  # later calls do not extend it
        calls.run(500.0)
        calls.call(name, 1.0)
        calls.run(100.0)
    calls.run(60_000.0)
    calls.call(2, 1.0)
    calls.run(100.0)
    assert [total for _, _, total in calls.answers] == [3.0, 2.0, 1.0, 3.0, 2.0, 3.0, 1.0]


def test_a_mute_counter_answers_nothing_and_an_emptied_one_begins_anew() -> None:
    calls = Calls()
    calls.call()
    calls.run(50.0)
    calls.counter.mute = True
    calls.call()
    calls.run(5000.0)
    calls.counter.mute = False
    calls.call()
    calls.run(50.0)
    calls.counter.empty()
    calls.call()
    calls.run(50.0)
    assert [total for _, _, total in calls.answers] == [1.0, 2.0, 1.0]
    assert calls.books.calls["counter"]["lost"] == 1


# --- discovery -------------------------------------------------------------------------------------------


class Watch:
    """One service with three servers, and agents that watch it."""

    def __init__(self, agents: int = 1, **figures: Any) -> None:
        self.kernel, self.books = Kernel(), Books()
        made = DiscoveryFigures(late_ms=(100.0, 100.0), **figures)
        self.network = Network(NO_CHANCE, 1)
        self.service = Service(self.kernel, self.books, made, self.network, HERE, 1, seed=1)
        for i in range(3):
            self.service.add(0, Endpoint(f"s{i}", "z0"))
        self.told: list[list[EndpointUpdate]] = [[] for _ in range(agents)]
        self.agents = [
            Agent(self.kernel, self.service, THERE, 0, agents, 1, i, self.told[i].append)
            for i in range(agents)
        ]
        for agent in self.agents:
            agent.start(0)

    def run(self, ms: float) -> None:
        self.kernel.run(self.kernel.now + ms)

    def change(self, server: str = "s1", state: EndpointState = EndpointState.DRAINING) -> None:
        self.service.change(0, Endpoint(server, "z0", state=state))

    def news(self, agent: int = 0) -> list[EndpointUpdate]:
        return [one for one in self.told[agent] if one.endpoints]


def test_a_watch_is_told_of_changes_only_and_late() -> None:
    watch = Watch()
    watch.run(1000.0)
    watch.change()
    watch.run(99.0)
    assert not watch.news()
    watch.run(10.0)
    (news,) = watch.news()
    assert news.kind is UpdateKind.DELTA
    assert [entry.server_id for entry in news.endpoints] == ["s1"]
    assert watch.agents[0].since == 1


def test_an_idle_watch_costs_a_call_for_each_wait() -> None:
    watch = Watch()
    watch.run(1000.0 * (10 * LONG_POLL_S + 1.0))
    assert watch.books.calls["discovery"]["calls"] == 12  # the first waits shorter
    assert "whole_lists" not in watch.books.calls["discovery"]


@pytest.mark.parametrize(("kept", "kind"), [(100, UpdateKind.DELTA), (2, UpdateKind.SNAPSHOT)])
def test_who_is_far_behind_gets_the_whole_list(kept: int, kind: UpdateKind) -> None:
    watch = Watch(kept=kept)
    watch.service.stop()
    for i in range(3):
        watch.change(f"s{i}", EndpointState.GONE if i else EndpointState.DRAINING)
    watch.run(2000.0)
    watch.service.start()
    watch.run(8000.0)
    (news,) = watch.news()
    assert news.kind is kind
    assert len(news.endpoints) == (3 if kind is UpdateKind.DELTA else 1)


def test_an_overbooked_service_turns_calls_away_which_are_spread_and_all_are_told() -> None:
    watch = Watch(agents=30, call_ms=20.0, line_limit_ms=200.0)
    watch.run(200.0)
    assert watch.books.calls["discovery"]["turned_away"] > 0
    watch.change()
    watch.run(60_000.0)
    assert all(len(watch.news(i)) >= 1 for i in range(30))


def test_lost_news_come_with_the_next_call_and_a_cut_zone_hears_nothing() -> None:
    watch = Watch()
    watch.run(1000.0)
    watch.network.cut.add("z1")
    before = watch.books.calls["discovery"]["calls"]
    watch.change()
    watch.run(10_000.0)
    assert not watch.news()
    assert watch.books.calls["discovery"]["calls"] == before
    assert watch.service.told_by("s1", THERE) == float("inf")
    watch.network.heal("z1", watch.kernel.now)
    assert watch.service.told_by("s1", THERE) == watch.kernel.now + 6000.0
    watch.run(6000.0)
    assert len(watch.news()) == 1


# --- network, clients, whole fleets ----------------------------------------------------------------------


def test_delays_grow_with_the_way_and_cuts_let_nothing_through() -> None:
    network = Network(NO_CHANCE, 1)
    ways = [network.delay(HERE, other) for other in (HERE, THERE, FAR)]
    assert ways == [NO_CHANCE.zone_ms, NO_CHANCE.cross_zone_ms, NO_CHANCE.region_ms]
    network.cut.add("z1")
    assert [network.joined(HERE, HERE), network.joined(THERE, THERE), network.joined(HERE, THERE)] == [
        True,
        True,
        False,
    ]
    network.apart = True
    assert network.delay(HERE, FAR) is None
    lossy = Network(NetworkFigures(jitter=0.0, loss=1.0), 1)
    assert lossy.delay(HERE, HERE) == NO_CHANCE.zone_ms + NO_CHANCE.resend_ms  # TCP sends it again


@pytest.mark.parametrize("part", [1.0, 0.1])
def test_quotas_and_tenants_are_made_to_the_load(part: float) -> None:
    made = Experiment(
        name="t",
        seconds=1.0,
        fleet=Fleet(gateways=10, servers=10),
        load=Load(requests_per_s=1000.0, tenants=2000, use=0.5, part=part),
    )
    plan_list, counts = plans(made)
    quotas = sum(plan.rate * count for plan, count in zip(plan_list, counts, strict=True))
    assert quotas * 0.5 == pytest.approx(1000.0 * mean_units(8))
    all_tenants = tenants(made, plan_list, counts, seed=1)
    assert len(all_tenants) == pytest.approx(2000 * part, abs=4)
    assert sum(t.weight for t in all_tenants) == pytest.approx(1000.0 * part, rel=0.05)
    uses = [t.weight * mean_units(8) / t.plan.rate for t in all_tenants]
    assert 0.04 < sum(use > 1.0 for use in uses) / len(uses) < 0.12  # brief 4.9: 8 to 13 in 100
    assert max(uses) <= 8.001
    for plan in plan_list:
        assert plan.burst >= 16.0
        assert (plan.hard_limit_rate > plan.rate) == (plan.name == "institucional")


@pytest.mark.parametrize("part", [1.0, 0.1])
def test_heavy_and_spiky_tenants_ask_for_many_times_their_quota_within_the_whole_rate(part: float) -> None:
    figures = Load(
        requests_per_s=1000.0,
        tenants=2000,
        use=0.8,
        part=part,
        skew=0.0,
        heavy=0.08,
        spiky=0.2,
        spike_x=(4.0, 8.0),
    )
    made = Experiment(name="t", seconds=1.0, fleet=Fleet(gateways=10, servers=10), load=figures)
    everyone = tenants(made, *plans(made), seed=1)
    quota = {plan.name: plan.rate / mean_units(8) for plan in plans(made)[0]}
    uses = [tenant.weight / quota[tenant.plan.name] for tenant in everyone]
    heavy = [use for use in uses if use > 1.0]
    assert len(heavy) / len(uses) == pytest.approx(0.08, rel=0.1)
    assert 1.6 <= min(heavy) <= max(heavy) <= 5.0
    spikes = [tenant.spike / quota[tenant.plan.name] for tenant in everyone if tenant.spike]
    assert len(spikes) / len(uses) == pytest.approx(0.2, rel=0.1)
    assert 4.0 <= min(spikes) <= max(spikes) <= 8.0
    lasting = excess(figures) - 0.08 * 3.3  # of the quotas, by spikes; the rest is always asked for
    asked = sum(tenant.weight for tenant in everyone)
    assert asked == pytest.approx(1000.0 * part * (0.8 - lasting) / 0.8, rel=0.1)


def test_spikes_come_and_go_and_leave_the_ordinary_demand() -> None:
    calm = fleet(20.0, load=Load(requests_per_s=60.0, tenants=30, spread=(1, 2), use=0.4, skew=0.0))
    figures = Load(
        requests_per_s=60.0,
        tenants=30,
        spread=(1, 2),
        use=0.9,
        skew=0.0,
        spiky=0.1,
        spike_x=(8.0, 8.0),
        spike_s=(3.0, 3.0),
        spike_every_s=(4.0, 5.0),
    )
    spiky = fleet(20.0, load=figures)
    spiking = [tenant for pool in spiky.pools for tenant in pool.tenants if tenant.spike]
    assert len(spiking) == pytest.approx(3, abs=1)
    before = {tenant.key: tenant.weight for tenant in tenants(spiky.experiment, *plans(spiky.experiment), 3)}
    for tenant in spiking:
        assert tenant.weight == pytest.approx(before[tenant.key])
    assert spiky.books.service["refused"] > 2 * calm.books.service["refused"]
    # Three seconds in 4.5 on average, once the first spikes have begun: after 2.5 s on average, of 20.
    extra = sum(tenant.spike - tenant.weight for tenant in spiking) * 3.0 / 4.5 * 17.5 / 20.0
    rate = spiky.simulated()["rates"]["first_tries_per_s"]
    assert rate == pytest.approx(sum(before.values()) + extra, rel=0.15)


def fleet(seconds: float = 6.0, **parts: Any) -> World:
    """A small world that has been played."""
    load = parts.pop("load", Load(requests_per_s=60.0, tenants=30, spread=(1, 2)))
    made = Experiment(name="t", seconds=seconds, fleet=Fleet(gateways=2, servers=6), load=load, **parts)
    world = World(made, seed=3)
    world.play()
    return world


def test_every_try_has_one_answer_and_impatient_clients_cost_no_attempt() -> None:
    world = fleet(clients=ClientFigures(leaving=0.5, leave_ms=(0.0, 100.0)))
    service = world.books.service
    ends = sum(service[what] for what in ("served", "refused", "failed", "left", "lost"))
    assert ends == service["tries"] > 300
    assert service["left"] > 100
    assert service["lost"] == 0
    assert world.books.rules["sent_after_client_left"] == 0
    assert all(not gateway.held for gateway in world.gateways)


def test_retries_go_up_to_their_number_and_keep_to_the_retry_after() -> None:
    greedy = Load(requests_per_s=60.0, tenants=8, use=4.0, spread=(1, 2))
    counts = [fleet(load=greedy, clients=ClientFigures(retries=n, honour=1.0)).books.service for n in (0, 3)]
    assert counts[0]["tries"] == counts[0]["first_tries"] == counts[1]["first_tries"]
    assert counts[0]["first_tries"] < counts[1]["tries"] <= 4 * counts[1]["first_tries"]


def test_the_fleet_lets_in_no_more_than_the_quotas_and_their_margin() -> None:
    world = fleet(12.0, load=Load(requests_per_s=60.0, tenants=8, use=4.0, spread=(1, 2)))
    assert world.books.quota["refused"] > 100
    assert world.simulated()["rates"]["over_quota_units"] < 0.1
    assert world.books.rules["ceiling_overruns"] == 0


def test_answers_of_the_counter_come_in_the_order_of_the_calls_for_a_name() -> None:
    world = fleet(counter=CounterFigures(parts=1, calls_per_s=(20.0, 20.0), loss=0.2))
    tally = world.books.calls["counter"]
    answered = sum(tally[f"answered_{kind}"] for kind in ("ok", "rejected", "timeout"))
    assert answered == tally["calls"]  # exactly one for each
    assert tally["answered_timeout"] > 0
    assert tally["busy"] > 0
    assert all(not gateway.replies for gateway in world.gateways)


def test_the_true_quota_takes_a_try_on_its_first_sending_and_not_beyond_its_store() -> None:
    """BENCH, "This kind of system": inside if the store holds its units, which it takes; else nothing."""
    world = fleet(0.1)
    clients, books = world.clients, world.books
    books.quota.clear()
    plan = Plan("p", rate=1.0, burst=10.0, hard_limit_rate=2.0, hard_limit_burst=12.0, hard_limit_slack=1.0)
    now = world.kernel.now
    tenant = Tenant("c", plan, 0, 1, 0, 1000.0, 1.0, store=10.0, ceiling=12.0, fair=10.0, at=now)

    def one(units: float) -> Try:
        return Try("r", tenant, units, 1.0, now, 0, now, now + 1000.0)

    clients.refused(one(1.0))
    clients.first_sent(one(6.0))
    clients.refused(one(4.0))  # less than half is left
    clients.first_sent(one(6.0))  # beyond: takes nothing from the store, all from the ceiling
    assert (tenant.store, tenant.ceiling) == (4.0, 0.0)
    clients.first_sent(one(1.0))
    assert books.rules["ceiling_overruns"] == 0
    clients.first_sent(one(1.0))
    assert books.rules["ceiling_overruns"] == 1
    assert dict(books.quota) == {
        "refused": 2,
        "refused_with_room": 1,
        "tries_inside": 3,
        "units_inside": 8,
        "tries_beyond": 1,
        "units_beyond": 6,
    }
    world.kernel.run(now + 100_000.0)
    tenant.fill(world.kernel.now)
    assert (tenant.store, tenant.ceiling) == (10.0, 12.0)


@pytest.mark.parametrize("told", [True, False])
def test_a_drain_binds_past_its_grace_from_the_telling_or_what_counts_as_that(told: bool) -> None:
    world = fleet(0.1)
    gateway, server = world.gateways[0], next(iter(world.servers.values()))
    after = 0.0 if told else world.experiment.discovery.told_ms  # discovery has it, the gateway was not told
    entry = server.entry(EndpointState.DRAINING)
    if told:
        gateway.note(EndpointUpdate(UpdateKind.DELTA, (entry,)))
    else:
        world.service.publish(0, entry)
        gateway.agent.stop()
    world.kernel.now += after + 249.0
    gateway.check_drain(server)
    assert not world.books.rules
    world.kernel.now += 2.0
    gateway.check_drain(server)
    assert dict(world.books.rules) == {"late_drains_told" if told else "late_drains_deemed": 1}


def test_an_answer_that_overtakes_waits_for_those_before_it(monkeypatch: pytest.MonkeyPatch) -> None:
    gateway = fleet(0.1).gateways[0]
    told: list[CounterReply] = []
    monkeypatch.setattr(gateway, "post", told.append)
    calls = [Pending(gateway, 9, gateway.kernel.now, gateway.life) for _ in range(3)]
    gateway.replies[9] = deque(calls)
    calls[2].end(CallOutcome.OK, 3.0)
    calls[1].end(CallOutcome.REJECTED, 0.0)
    assert told == []
    calls[0].end(CallOutcome.TIMEOUT, 0.0)
    calls[0].end(CallOutcome.OK, 1.0)  # too late
    assert [(reply.outcome, reply.total) for reply in told] == [
        (CallOutcome.TIMEOUT, 0.0),
        (CallOutcome.REJECTED, 0.0),
        (CallOutcome.OK, 3.0),
    ]
    assert gateway.replies == {}
