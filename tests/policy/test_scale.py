"""What a request, a change of the list and a tick cost does not grow with the list. Counted are lines of the
decisions that were carried out; what one line does inside the interpreter is held by ratios of times."""

from __future__ import annotations

import random
import sys
import time
from collections.abc import Callable
from functools import partial
from pathlib import Path
from types import FrameType
from typing import Any

import pytest

import quota_gateway.policy
from quota_gateway.policy.endpoints import SUBSET_SIZE, EndpointIndex
from quota_gateway.policy_api.actions import StartAttempt, WatchEndpoints
from quota_gateway.policy_api.endpoints import (
    Endpoint,
    EndpointState,
    EndpointUpdate,
    UpdateKind,
    split_update,
)
from quota_gateway.policy_api.events import CallOutcome
from tests.policy.scripted_gateway import SETTINGS, Rig, entries, only, with_

POLICY = Path(quota_gateway.policy.__file__).parent
FEW, MANY = 200, 20_000
MANY_GATEWAYS = with_(SETTINGS, gateway_count=2100, gateway_index=7)


def lines(call: Callable[[], object]) -> int:
    """Lines of the decisions that a call carries out, each round of a loop anew."""
    count = 0

    def trace(frame: FrameType, event: str, arg: Any) -> Any:
        nonlocal count
        if Path(frame.f_code.co_filename).parent != POLICY:
            return None
        count += event == "line"
        return trace

    before = sys.gettrace()
    sys.settrace(trace)
    try:
        call()
    finally:
        sys.settrace(before)
    return count


def rig_of(count: int, zones: str = "a") -> Rig:
    rig = Rig(entries(count, zones), MANY_GATEWAYS)
    rig.warm_up()
    return rig


def decisions(rig: Rig, count: int = 40, busy: bool = False) -> None:
    """Requests, each served; busy: the subset is so full that others are looked at."""
    for _ in range(count):
        for server in rig.gateway.load_balancer.endpoints.subset.values() if busy else ():
            server.in_flight = 99
        name, actions = rig.ask()
        rig.now += 10.0
        if only(actions, StartAttempt):
            rig.end(name, 0, CallOutcome.OK)


def change(rig: Rig, name: str = "s3") -> None:
    """A server goes and comes back."""
    rig.feed(EndpointUpdate(UpdateKind.DELTA, (Endpoint(name, "a", state=EndpointState.DRAINING),)))
    rig.feed(EndpointUpdate(UpdateKind.DELTA, (Endpoint(name, "a", started_ms=rig.now),)))


def tick(rig: Rig) -> None:
    rig.gateway.tick(rig.now)


KINDS: dict[str, Callable[[Rig], None]] = {
    "decision": decisions,
    "decision beside a full subset": lambda rig: decisions(rig, busy=True),
    "change": change,
    "tick": tick,
}


@pytest.mark.parametrize("kind", KINDS)
def test_work_does_not_grow_with_the_list(kind: str) -> None:
    few, many = (lines(partial(KINDS[kind], rig_of(n))) for n in (FEW, MANY))
    assert 0 < many <= 1.5 * few


def test_time_does_not_grow_with_the_list() -> None:
    """The best of several rounds, so that what else the machine does counts for little."""
    rigs = {n: rig_of(n) for n in (FEW, MANY)}
    best: dict[tuple[str, int], float] = {}
    for _ in range(15):
        for kind, call in KINDS.items():
            for n, rig in rigs.items():
                start = time.perf_counter()
                call(rig)
                spent = time.perf_counter() - start
                best[kind, n] = min(spent, best.get((kind, n), spent))
    assert best["decision", MANY] <= 1.5 * best["decision", FEW]
    assert best["decision beside a full subset", MANY] <= 1.5 * best["decision beside a full subset", FEW]
    assert best["tick", MANY] <= 2.0 * best["tick", FEW]
    assert best["change", MANY] <= 4.0 * best["change", FEW]  # the ring's rest moves in memory


def test_a_whole_list_costs_in_proportion_to_its_length() -> None:
    def whole(n: int) -> int:
        listed = entries(n)
        return lines(lambda: Rig(listed, MANY_GATEWAYS))

    assert whole(MANY) <= 1.1 * 10 * whole(MANY // 10)


def test_a_list_that_says_the_same_again_costs_little() -> None:
    rig = rig_of(MANY)
    again = EndpointUpdate(UpdateKind.SNAPSHOT, entries(MANY))
    ring, subset = (
        list(rig.gateway.load_balancer.endpoints.ring.positions),
        dict(rig.gateway.load_balancer.endpoints.subset),
    )
    assert lines(lambda: rig.feed(again)) <= 7 * MANY
    assert (
        rig.gateway.load_balancer.endpoints.ring.positions,
        rig.gateway.load_balancer.endpoints.subset,
    ) == (ring, subset)


def state(fleet: EndpointIndex, now: float) -> tuple[object, ...]:
    """What a fleet knows of the list, but for the order in which it came."""
    fleet.remaining.add_warmed(now, fleet.servers)
    groups = {
        group: {server.endpoint for server in sampled.members}
        for group, sampled in fleet.remaining.groups.items()
    }
    for sampled in fleet.remaining.groups.values():
        assert {name: sampled.members[at].endpoint.server_id for name, at in sampled.indexes.items()} == {
            name: name for name in sampled.indexes
        }
        assert len(sampled.members) == len(sampled.indexes)
    entries_ = {name: server.endpoint for name, server in fleet.servers.items()}
    kept = {name for name, server in fleet.servers.items() if server.in_subset}
    assert kept == set(fleet.subset)
    assert all(fleet.servers[n] is s for n, s in fleet.subset.items())
    return entries_, fleet.ring.positions, kept, groups


def any_entry(rng: random.Random, now: float) -> Endpoint:
    state_ = rng.choice(
        [EndpointState.ACTIVE, EndpointState.ACTIVE, EndpointState.DRAINING, EndpointState.GONE]
    )
    started = rng.choice([0.0, now, now - 20_000.0])
    return Endpoint(f"s{rng.randrange(90)}", rng.choice("ab"), rng.randrange(3), 1.0, started, state_)


@pytest.mark.parametrize("most", [3, 60, 200])
def test_changes_come_to_what_a_whole_list_says(most: int) -> None:
    """A series of changes, restarts, moves and whole lists leaves what the last state alone would have."""
    for seed in range(12):
        rng = random.Random(seed)
        rig = Rig(entries(rng.choice([5, 25, 60]), "ab"), with_(SETTINGS, gateway_index=seed))
        fleet = rig.gateway.load_balancer.endpoints
        for _ in range(60):
            rig.now += rng.choice([0.0, 3000.0])
            kind = UpdateKind.DELTA if rng.random() < 0.9 else UpdateKind.SNAPSHOT
            news = tuple(any_entry(rng, rig.now) for _ in range(rng.randrange(1, most)))
            rig.feed(EndpointUpdate(kind, news))
        fresh = Rig((), with_(SETTINGS, gateway_index=seed))
        fresh.now = rig.now
        fresh.feed(
            EndpointUpdate(UpdateKind.SNAPSHOT, tuple(server.endpoint for server in fleet.servers.values()))
        )
        assert state(fleet, rig.now) == state(fresh.gateway.load_balancer.endpoints, rig.now)
        assert len(fleet.subset) == min(SUBSET_SIZE, len(fleet.servers))


@pytest.mark.parametrize("kind", [UpdateKind.SNAPSHOT, UpdateKind.CACHED_SNAPSHOT])
def test_pieces_of_a_list_come_to_the_same_and_none_is_long(kind: UpdateKind) -> None:
    subscribing = with_(MANY_GATEWAYS, watch_required=True)
    old = entries(3000)
    new = (Endpoint("s5", "a", state=EndpointState.DRAINING), *entries(6000)[500:])
    whole, split = Rig(old, subscribing), Rig(old, subscribing)
    whole_actions = whole.feed(EndpointUpdate(kind, new))
    known = list(split.gateway.load_balancer.endpoints.servers)
    actions, going = [], True
    for piece in split_update(EndpointUpdate(kind, new), known):
        assert len(piece.endpoints) <= 250
        active = [entry.state is EndpointState.ACTIVE for entry in piece.endpoints]
        assert all(active) or (going and not any(active))  # what drains or is gone comes first
        going = going and not any(active)
        actions += split.feed(piece)
    assert state(split.gateway.load_balancer.endpoints, split.now) == state(
        whole.gateway.load_balancer.endpoints, whole.now
    )
    assert only(actions, WatchEndpoints) == only(whole_actions, WatchEndpoints)


def test_a_piece_costs_what_it_holds_and_a_sort() -> None:
    listed = entries(MANY)
    costs = []
    rig = Rig((), MANY_GATEWAYS)
    for piece in split_update(EndpointUpdate(UpdateKind.SNAPSHOT, listed), ()):
        costs.append(lines(partial(rig.feed, piece)))
    assert len(costs) == 80
    assert max(costs) <= 2.5 * costs[0]


def subsets(servers: tuple[Endpoint, ...], gateways: int) -> list[set[str]]:
    """What each of a number of gateways keeps to."""
    fleet = Rig(servers, with_(SETTINGS, gateway_count=gateways)).gateway.load_balancer.endpoints
    kept = []
    for number in range(gateways):
        fleet.settings = with_(SETTINGS, gateway_count=gateways, gateway_index=number)
        fleet.choose_subset(0.0)
        kept.append(set(fleet.subset))
    return kept


@pytest.mark.parametrize(("servers", "gateways"), [(2000, 300), (5000, 2100)])
def test_subsets_of_a_very_large_fleet_are_balanced_and_move_by_little(servers: int, gateways: int) -> None:
    before = subsets(entries(servers), gateways)
    after = subsets((*entries(servers)[1:], Endpoint("new", "a")), gateways)
    counts: dict[str, int] = {}
    for name in (name for subset in before for name in subset):
        counts[name] = counts.get(name, 0) + 1
    even = gateways * SUBSET_SIZE / servers
    assert 0.5 * even <= min(counts.get(f"s{i}", 0) for i in range(servers)) + 1.0
    assert max(counts.values()) <= 1.5 * even + 1.0
    assert max(len(old - new) for old, new in zip(before, after, strict=True)) <= 2


def test_others_are_chosen_by_a_sample_and_failing_ones_left_out() -> None:
    rig = rig_of(200)
    fleet = rig.gateway.load_balancer.endpoints
    spare = [server for server in fleet.servers.values() if not server.in_subset]
    for server in spare[::3]:
        server.failure_score, server.failure_scored_at_ms = 0.9, rig.now
    for server in fleet.subset.values():
        server.in_flight = 99
    went = []
    for i in range(60):
        name, actions = rig.ask(customer=f"c{i}")
        if only(actions, StartAttempt):
            went.append(rig.sent[name][0])
            rig.end(name, 0, CallOutcome.OK)
    failing = {server.endpoint.server_id for server in spare[::3]}
    assert len(went) == 60
    assert not set(went) & set(fleet.subset)
    assert sum(server in failing for server in went) <= 4
    assert len(set(went)) >= 30


def test_a_bound_further_attempt_finds_its_zone_outside_the_subset() -> None:
    # Of two zones the subset may hold none of one; an index by zone and cell finds them without a scan.
    servers = tuple(Endpoint(f"s{i}", "b" if i < 3 else "a", i) for i in range(400))
    tried = 0
    for seed in range(30):
        rig = Rig(servers, with_(SETTINGS, gateway_index=seed), seed=seed)
        fleet = rig.gateway.load_balancer.endpoints
        for server in fleet.subset.values():
            server.in_flight = 99
        if any(server.endpoint.zone == "b" for server in fleet.subset.values()):
            continue
        home = next(server for server in fleet.servers.values() if server.endpoint.zone == "b")
        name, _ = rig.ask("bid")
        rig.gateway.pending[name].may_have_run_on = home.endpoint
        rig.gateway.pending[name].may_have_run_at_ms = rig.now
        rig.end(name, 0, CallOutcome.TIMEOUT, 100.0)
        assert fleet.servers[rig.sent[name][1]].endpoint.zone == "b"
        tried += 1
    assert tried > 10


def test_cold_servers_outside_the_subset_wait_until_they_are_warm() -> None:
    rig = Rig(entries(200), MANY_GATEWAYS)
    fleet = rig.gateway.load_balancer.endpoints
    cold = [name for name in fleet.servers if name not in fleet.subset]
    rig.feed(EndpointUpdate(UpdateKind.DELTA, tuple(Endpoint(n, "a", started_ms=rig.now) for n in cold)))
    for server in fleet.subset.values():
        server.in_flight = 99
    assert rig.sent[rig.ask()[0]][0] in fleet.subset
    rig.now += SETTINGS.slow_start.warm_up_ms
    assert rig.sent[rig.ask()[0]][0] in cold


def test_the_operators_hear_of_a_failing_server_outside_the_subset() -> None:
    rig = rig_of(MANY)
    fleet = rig.gateway.load_balancer.endpoints
    outliers = rig.gateway.load_balancer.outliers
    name = next(name for name in fleet.servers if name not in fleet.subset)
    for _ in range(4):
        server = fleet.servers[name]
        server.failure_score, server.failure_scored_at_ms = 0.9, rig.now
        outliers.suspects[name] = server
    assert outliers.detect(rig.now) == [name]
    assert outliers.detect(rig.now + 60_000.0) == []
    assert not outliers.suspects
