"""Many gateways before one fleet: each sees a customer seldom, and what each may do alone adds up."""

from __future__ import annotations

import math
import random

import pytest

from quota_gateway.policy_api.actions import IncrementCounter, Reject, StartAttempt
from quota_gateway.policy_api.endpoints import Endpoint, EndpointUpdate, UpdateKind
from quota_gateway.policy_api.events import CallOutcome, CounterReply
from tests.policy.scripted_gateway import SETTINGS, Rig, entries, finals, only, with_

MANY = with_(SETTINGS, gateway_count=300)


def first_word(rig: Rig) -> None:
    """Two requests and the words on their customer, which put the count right where nobody had for long."""
    for _ in range(2):
        name, actions = rig.ask(plan="rate", spread=200)
        if only(actions, StartAttempt):
            rig.end(name, 0, CallOutcome.OK, 1.0)
        rig.answer_calls()
        rig.advance(150.0)


def test_a_customer_that_comes_once_costs_one_call() -> None:
    rig = Rig(entries(4), MANY)
    name, _ = rig.ask(plan="rate", spread=200)
    rig.end(name, 0, CallOutcome.OK, 1.0)
    rig.answer_calls()
    rig.advance(3000.0)
    assert len([a for _, a in rig.log if isinstance(a, IncrementCounter)]) == 1


def test_one_of_hundreds_asks_and_lets_in_what_the_store_holds() -> None:
    # A store over its spread never holds a request; all were refused.
    rig = Rig(entries(4), MANY)
    for i in range(20):
        name, actions = rig.ask(plan="rate", customer=f"c{i}", spread=200)
        assert only(actions, IncrementCounter)
        assert only(actions, StartAttempt)
        rig.end(name, 0, CallOutcome.OK)


def test_a_word_of_the_moment_refuses_what_the_others_have_used() -> None:
    rig = Rig(entries(4), MANY)
    first_word(rig)
    rig.others = 7.0
    _, actions = rig.ask(plan="rate", spread=200)
    assert only(actions, Reject)
    assert not only(actions, StartAttempt)


def test_a_request_waits_for_its_own_word_and_is_answered_once() -> None:
    rig = Rig(entries(4), MANY)
    rig.ending = CallOutcome.TIMEOUT
    name, actions = rig.ask(plan="rate", spread=200)
    assert [a.request_id for a in only(actions, StartAttempt)] == [name]
    call = only(actions, IncrementCounter)[0]
    assert not rig.feed(CounterReply(call.key, 3.0, CallOutcome.OK))


def test_no_word_is_waited_for_with_little_time_left() -> None:
    rig = Rig(entries(4), MANY)
    _, actions = rig.ask(plan="rate", spread=200, left=60.0)
    assert only(actions, StartAttempt) or finals(actions)


def test_a_name_holds_one_window() -> None:
    rig = Rig(entries(4), MANY)
    first_word(rig)
    first = {a.key for _, a in rig.log if isinstance(a, IncrementCounter)}
    rig.advance(61_000.0)
    first_word(rig)
    names = {a.key for _, a in rig.log if isinstance(a, IncrementCounter)}
    assert len(first) <= 2
    assert len(names) > len(first)


def test_a_refused_request_is_taken_off_the_count_at_once() -> None:
    # The next call took it off, which with many gateways came when the window was over: the count held what
    # never went on, and half of all refusals fell on customers with room.
    rig = Rig(entries(4), MANY)
    first_word(rig)
    rig.others = 5.0
    _, actions = rig.ask(plan="rate", spread=200)
    assert only(actions, Reject)
    assert [a.amount for a in only(actions, IncrementCounter)] == [1.0, -1.0]


def test_a_refusal_for_want_of_capacity_is_taken_off_the_count_too() -> None:
    rig = Rig(entries(4), MANY)
    first_word(rig)
    rig.gateway.capacity.capacity = 0.0
    rig.gateway.capacity.credit.clear()
    rig.gateway.capacity.demand[1.0] = 100.0
    rig.gateway.capacity.credit[1.0] = 0.0
    _, actions = rig.ask(plan="rate", spread=200)
    assert only(actions, Reject)
    assert [a.amount for a in only(actions, IncrementCounter)] == [1.0, -1.0]


def test_a_count_that_has_left_the_bounds_of_its_store_is_put_right() -> None:
    # What the store let run over while the customer was idle must not come on top of its burst later.
    rig = Rig(entries(4), MANY)
    first_word(rig)
    rig.advance(20_000.0)  # it has been full again since long
    went = 0
    for _ in range(12):
        _, actions = rig.ask(plan="rate", spread=200, units=1.0)
        went += len(only(actions, StartAttempt))
        rig.answer_calls()
        rig.advance(110.0)
    assert 5 <= went <= 6 + 2.0 * 12 * 0.11 + 1


def test_asking_falls_while_calls_are_turned_away_and_comes_back() -> None:
    rig = Rig(entries(4), MANY)

    def asked(count: int, turned_away: bool = False) -> int:
        calls = 0
        for i in range(count):
            rig.ending = CallOutcome.REJECTED if turned_away and i % 2 else CallOutcome.OK
            name, actions = rig.ask(plan="rate", customer=f"{rig.serial}", spread=200)
            calls += bool(only(actions, IncrementCounter))
            if only(actions, StartAttempt):
                rig.end(name, 0, CallOutcome.OK)
            rig.answer_calls()
            rig.advance(5.0)
        return calls

    most = asked(50)
    asked(40, turned_away=True)
    least = asked(50)
    asked(400)
    assert most == 50
    assert least < 0.7 * most
    assert asked(50) > 0.8 * most


def test_a_mute_counter_lets_two_requests_in_then_the_part() -> None:
    rig = Rig(entries(4), MANY)
    rig.ending = CallOutcome.UNREACHABLE
    for i in range(6):
        rig.end(rig.ask(plan="rate", customer=f"x{i}", spread=200)[0], 0, CallOutcome.OK)
    assert not rig.gateway.counter_sync.health.available
    went = 0
    for _ in range(40):
        name, actions = rig.ask(plan="rate", spread=200)
        if only(actions, StartAttempt):
            went += 1
            rig.end(name, 0, CallOutcome.OK, 1.0)
        rig.advance(500.0)
    assert went == 2  # 20 s of a two-hundredth of two a second make no third


@pytest.mark.parametrize("restarted", [False, True])
def test_hundreds_do_not_push_a_cold_server_over_together(restarted: bool) -> None:
    """Each gateway's first turn was free: as many requests as gateways in one moment."""
    gateways, total = 60, 0
    for seed in range(gateways):
        settings = with_(SETTINGS, gateway_count=gateways)
        cold = Endpoint("cold", "a", started_ms=1000.0)
        rig = Rig([*entries(2), cold] if restarted else entries(2), settings, seed=seed)
        if not restarted:
            rig.feed(EndpointUpdate(UpdateKind.DELTA, (cold,)))
        for _ in range(2):  # more than the two warm servers get at ease
            for server in rig.gateway.load_balancer.endpoints.servers.values():
                server.in_flight += 0 if server.endpoint.server_id == "cold" else 8
        _, actions = rig.ask()
        total += sum(send.server_id == "cold" for send in only(actions, StartAttempt))
    # Warm at ten a second, it starts at a quarter and falls at twice that, over a second.
    assert total <= 5


def test_late_answers_bind_capacity_where_few_are_heard() -> None:
    # The median over servers, most of them not heard of lately, called a late fleet early.
    rig = Rig(entries(60), MANY)
    for i in range(16):
        name, actions = rig.ask(customer=f"c{i}", left=4000.0)
        rig.advance(500.0)
        if only(actions, StartAttempt):
            rig.end(name, 0, CallOutcome.OK, 1500.0)
        rig.answer_calls()
    assert rig.gateway.capacity.capacity < math.inf


def test_a_handful_out_is_no_backlog() -> None:
    # Two attempts a server over all gateways is less than one here; half of all was refused.
    rig = Rig(entries(60), MANY)
    rig.warm_up()
    went = [bool(only(rig.ask(customer=f"c{i}")[1], StartAttempt)) for i in range(4)]
    assert all(went)


def test_a_spread_beyond_the_gateways_is_read_as_all_of_them() -> None:
    rig = Rig(entries(4), SETTINGS)
    rig.ask(plan="rate", spread=5000)
    assert rig.gateway.quota.customers["c"].gateway_count == SETTINGS.gateway_count


@pytest.mark.parametrize("counter", [CallOutcome.OK, CallOutcome.REJECTED, CallOutcome.UNREACHABLE])
def test_a_ceiling_holds_over_its_gateways_whatever_the_counter_does(counter: CallOutcome) -> None:
    """Half of it is held by the count, half by even parts; a flood comes through all gateways at once."""
    rigs = [Rig(entries(4), MANY, seed=i) for i in range(6)]
    shared: dict[int, float] = {}
    until: dict[int, float] = {}
    sent = 0.0
    for rig in rigs:
        rig._totals, rig._until, rig.ending = shared, until, counter
        rig.advance(20_000.0)
    start = rigs[0].now
    for _ in range(60):
        for rig in rigs:
            name, actions = rig.ask(plan="hard", spread=6)
            if only(actions, StartAttempt):
                sent += 1.0
                rig.end(name, 0, CallOutcome.OK, 1.0)
            rig.answer_calls()
            rig.advance(50.0)
    assert 4.0 <= sent <= 12.0 + 4.0 * (rigs[0].now - start) / 1000.0 + 2.0


def test_the_count_lets_a_busy_gateway_past_its_even_part_of_a_ceiling() -> None:
    rig = Rig(entries(4), with_(SETTINGS, gateway_count=40))
    rig.advance(20_000.0)
    sent = 0
    for _ in range(3):
        name, actions = rig.ask(plan="hard", spread=12)
        if only(actions, StartAttempt):
            sent += 1
            rig.end(name, 0, CallOutcome.OK, 1.0)
        rig.answer_calls()
        rig.advance(110.0)
    assert sent == 3


def test_time_outs_lengthen_with_the_load_of_all_kinds() -> None:
    # Each kind's mean takes half a minute to learn among hundreds; second attempts buried the fleet.
    rig = Rig(entries(60), MANY)
    for i in range(12):
        name, actions = rig.ask(cls="order", customer=f"c{i}", left=4000.0)
        if only(actions, StartAttempt):
            rig.advance(600.0)
            rig.end(name, 0, CallOutcome.OK, 600.0)
    sends = only(rig.ask(cls="read", left=4000.0)[1], StartAttempt)
    assert sends
    assert sends[0].timeout_ms == 0.0


def test_unsure_requests_without_a_word_keep_to_the_part() -> None:
    # Each gateway took a flooding customer's whole quota for its own until a call of its got through.
    rig = Rig(entries(4), MANY)
    rig.gateway.counter_sync.health.call_share = 0.0001
    went = 0
    for _ in range(20):
        name, actions = rig.ask(plan="rate", spread=200)
        if only(actions, StartAttempt):
            went += 1
            rig.end(name, 0, CallOutcome.OK, 1.0)
        rig.advance(50.0)
    assert went == 2


class Unlucky(random.Random):
    """Draws that never fall to the one who may call."""

    def random(self) -> float:
        return 0.999


def test_in_a_crowd_the_last_word_stands_for_customers_far_from_empty() -> None:
    # With a counter that few calls get through to, even parts refused customers who used little.
    went = []
    for spent in (0.0, 5.0):
        rig = Rig(entries(4), MANY)
        first_word(rig)
        rig.advance(300.0)
        rig.others = spent
        first_word(rig)  # tells whether the others have used much of the store
        rig.advance(150.0)
        rig.gateway.counter_sync.health.call_share = 0.5
        rig.gateway.counter_sync.rng = rig.gateway.quota.rng = Unlucky()
        rig.gateway.quota.customers["c"].local_bucket = 0.0
        _, actions = rig.ask(plan="rate", spread=200)
        went.append(len(only(actions, StartAttempt)))
    assert went == [1, 0]


def test_own_use_does_not_run_a_part_into_debt() -> None:
    # The busiest gateway of a customer refused it for long once the counter fell silent.
    rig = Rig(entries(4))
    for _ in range(60):
        name, actions = rig.ask(plan="rate")
        if only(actions, StartAttempt):
            rig.end(name, 0, CallOutcome.OK, 1.0)
        rig.answer_calls()
        rig.advance(250.0)
    assert rig.gateway.quota.customers["c"].local_bucket >= 0.0


def test_an_overdriven_fleet_does_not_raise_a_cold_servers_turns() -> None:
    # Turns followed what warm servers were sent, three times what they could do; a cold one fell with them.
    rig = Rig(entries(4), MANY)
    for i in range(40):
        name, actions = rig.ask(customer=f"c{i}")
        if only(actions, StartAttempt):
            rig.end(name, 0, CallOutcome.REJECTED, 1.0)
        rig.advance(10.0)
    assert rig.gateway.load_balancer.slow_start.warm_rate == 0.0


@pytest.mark.parametrize(("others", "least", "most"), [(0.0, 90, 100), (300.0, 0, 15)])
def test_unheard_requests_go_on_as_often_as_those_that_asked_found_room(
    others: float, least: int, most: int
) -> None:
    # Each of hundreds let in the first request of every customer: a quarter of these was beyond the quota.
    rig = Rig(entries(4), MANY)
    rig.others = others
    for i in range(60):
        name, actions = rig.ask(plan="rate", customer=f"heard{i}", spread=200)
        if only(actions, StartAttempt):
            rig.end(name, 0, CallOutcome.OK, 1.0)
    went = unheard = 0
    for i in range(120):
        rig.gateway.counter_sync.health.call_share = 0.1  # a crowd at the counter: nine in ten do not ask
        name, actions = rig.ask(plan="rate", customer=f"new{i}", spread=200)
        if only(actions, StartAttempt):
            rig.end(name, 0, CallOutcome.OK, 1.0)
        if not only(actions, IncrementCounter):
            unheard += 1
            went += len(only(actions, StartAttempt))
    assert least <= 100.0 * went / unheard <= most
