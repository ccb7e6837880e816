"""A fleet many times as large: tens of gateways, each of which meets most servers seldom."""

from __future__ import annotations

import pytest

from quota_gateway.policy_api.actions import StartAttempt
from quota_gateway.policy_api.endpoints import Endpoint, EndpointUpdate, UpdateKind
from quota_gateway.policy_api.events import AttemptCompleted, CallOutcome
from quota_gateway.policy_state.requests import Attempt, PendingRequest
from tests.policy.scripted_gateway import SETTINGS, Rig, entries, only, with_

FORTY = with_(SETTINGS, gateway_count=40)


def arrive(rig: Rig, *names: str) -> None:
    """Servers that have just started come onto the list."""
    rig.feed(EndpointUpdate(UpdateKind.DELTA, tuple(Endpoint(n, "a", started_ms=rig.now) for n in names)))


def serve(rig: Rig, count: int, gap_ms: float = 50.0, units: float = 1.0) -> list[str]:
    """Requests one after another, each served at the pace of all; returns where they went."""
    usual = rig.gateway.load_balancer.mean_ms(FORTY.classes[0], units)
    went = []
    for _ in range(count):
        name, actions = rig.ask(units=units)
        if only(actions, StartAttempt):
            went.append(rig.sent[name][0])
            rig.end(name, 0, CallOutcome.OK, usual)
        rig.advance(gap_ms)
        rig.answer_calls()
    return went


def test_a_cold_server_gets_its_turns_where_the_warm_ones_look_idle() -> None:
    # Weighed by its warmth too, it got nothing as long as a warm server had none of the own requests out.
    rig = Rig(entries(4), FORTY)
    serve(rig, 80)
    arrive(rig, "cold")
    went = serve(rig, 80)
    assert 1 <= went.count("cold") < len(went) / 5


def test_cold_servers_do_not_slow_each_others_turns() -> None:
    # The rate of a warm server was taken over all servers, cold ones included.
    turns = []
    for count in (1, 6):
        rig = Rig(entries(4), FORTY)
        arrive(rig, *(f"cold{i}" for i in range(count)))
        for i in range(40):  # what the warm ones answer is the same
            pending = PendingRequest(f"r{i}", 1.0, FORTY.classes[0], None, rig.now, rig.now + 1000.0)
            attempt = Attempt(pending, Endpoint(f"s{i % 4}", "a"), rig.now, 20.0)
            ended = AttemptCompleted(f"r{i}", 0, f"s{i % 4}", CallOutcome.OK, 20.0, True)
            rig.gateway.load_balancer.attempt_completed(rig.now, attempt, ended)
            rig.now += 50.0
        turns.append(rig.gateway.load_balancer.slow_start.slot_rate(0.25))
    assert turns[0] == pytest.approx(turns[1])


def test_a_large_request_takes_several_turns_of_a_cold_server() -> None:
    # Requests were counted, and it is work that pushes a server over.
    waits: list[float] = []
    for units in (1.0, 6.0):
        rig = Rig(entries(4), FORTY)
        rig.warm_up()
        arrive(rig, "cold")
        cold = rig.gateway.load_balancer.endpoints.servers["cold"]
        for server in rig.gateway.load_balancer.endpoints.servers.values():
            server.in_flight += 0 if server is cold else 8
        went: list[str] = []
        while went != ["cold"] and rig.serial < 200:  # a large one does not take every turn
            cold.slot_credit, cold.slot_credit_at_ms = 0.0, rig.now  # its turn has just come
            went = [send.server_id for send in only(rig.ask(units=units)[1], StartAttempt)]
        assert went == ["cold"]
        waits.append(-cold.slot_credit / rig.gateway.load_balancer.slow_start.slot_rate(0.25))
    assert waits[1] > 4.0 * waits[0]


@pytest.mark.parametrize("servers", [4, 12])
def test_forty_gateways_together_do_not_push_a_cold_server_over(servers: int) -> None:
    """Warm ones answer at what they can do at most, and the cold one starts as cold as any can be."""
    cold = warm = 0
    gap = 100.0
    for seed in range(FORTY.gateway_count):
        rig = Rig(entries(servers), FORTY, seed=seed)
        rig.warm_up()
        arrive(rig, "cold")
        went = serve(rig, 10, gap)  # for a second, in which it warms by little
        cold += went.count("cold")
        warm += len(went) - went.count("cold")
    budget = (
        FORTY.slow_start.overload_factor * (FORTY.slow_start.initial_capacity_share + 0.1) * warm / servers
    )
    assert cold <= 0.8 * budget


def parts(servers: tuple[Endpoint, ...]) -> list[set[str]]:
    """The servers that each of forty gateways keeps to."""
    kept = []
    for number in range(40):
        fleet = Rig(servers, with_(FORTY, gateway_index=number)).gateway.load_balancer.endpoints
        kept.append(set(fleet.subset))
    return kept


def test_gateways_keep_to_even_parts_of_a_large_fleet() -> None:
    kept = parts(entries(60))
    size = len(kept[0])
    assert size <= 30
    assert all(len(part) == size for part in kept)
    by_server = [sum(f"s{i}" in part for part in kept) for i in range(60)]
    even = 40 * size / 60
    assert 0.7 * even <= min(by_server)
    assert max(by_server) <= 1.3 * even


def test_gateways_in_a_row_keep_to_different_parts() -> None:
    # A customer's requests come in through gateways in a row; a busy one must not fill the same few servers.
    kept = parts(entries(60))
    for first in range(40):
        assert len(set.union(*(kept[(first + i) % 40] for i in range(5)))) >= 50


def test_a_server_that_is_replaced_moves_a_part_by_little() -> None:
    before = parts(entries(60))
    after = parts((*entries(60)[1:], Endpoint("new", "a")))
    assert max(len(old - new) for old, new in zip(before, after, strict=True)) <= 2


def test_a_small_fleet_is_used_whole() -> None:
    assert parts(entries(17)) == [{f"s{i}" for i in range(17)}] * 40


def test_a_calm_gateway_opens_connections_to_its_part_alone() -> None:
    # It met each of sixty servers seldom and opened a connection to nearly all of them.
    rig = Rig(entries(60), FORTY)
    went = serve(rig, 300)
    assert len(set(went)) <= 20


def test_a_gateway_whose_part_is_full_goes_further() -> None:
    rig = Rig(entries(60), FORTY)
    kept = set(rig.gateway.load_balancer.endpoints.subset)
    for name in kept:
        rig.gateway.load_balancer.endpoints.servers[name].in_flight = 6
    name, _ = rig.ask()
    assert rig.sent[name][0] not in kept


def test_a_cold_server_has_its_turns_from_those_that_keep_to_it() -> None:
    """Fewer gateways send to it, each at the rate of a server of its part; the sum stays the same."""
    cold = warm = takers = 0
    for number in range(40):
        rig = Rig(entries(59), with_(FORTY, gateway_index=number), seed=number)
        serve(rig, 60)
        arrive(rig, "cold")
        rig.advance(10.0)
        went = serve(rig, 40)  # for two seconds
        takers += "cold" in went
        cold += went.count("cold")
        warm += len(went) - went.count("cold")
    share = warm / 59
    assert 1 <= cold <= 0.6 * share
    assert takers <= 20
