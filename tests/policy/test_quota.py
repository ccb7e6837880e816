"""Admission by a customer's plan: rate, burst, attempts in flight, hard limit."""

from __future__ import annotations

import random
from dataclasses import replace

import pytest

from quota_gateway.policy_api.actions import IncrementCounter, Reject, StartAttempt
from quota_gateway.policy_api.events import CallOutcome
from tests.policy.fake_counter import FakeCounter
from tests.policy.scripted_host import SETTINGS, ScriptedHost, make_endpoints, of_type
from tests.policy.traffic import FORTY, HUNDREDS, count_admitted, settle_counter


def test_burst_then_rate() -> None:
    host = ScriptedHost(make_endpoints(4))
    assert 5 <= count_admitted(host, 100, 1.0) <= 7
    host.advance(500.0)
    assert 15 <= count_admitted(host, 400, 25.0) <= 26


def test_trickle_is_admitted() -> None:
    host = ScriptedHost(make_endpoints(4))
    assert count_admitted(host, 20, 1500.0) == 20


def test_in_flight_limit_counts_attempts_in_flight() -> None:
    host = ScriptedHost(make_endpoints(4))
    admitted = [bool(of_type(host.request(plan="open")[1], StartAttempt)) for _ in range(6)]
    assert admitted == [True, True, False, False, False, False]
    host.complete("r1", 0, CallOutcome.OK)
    assert of_type(host.request(plan="open")[1], StartAttempt)


def test_rejections_carry_a_retry_after_that_clients_heed() -> None:
    host = ScriptedHost(make_endpoints(4))
    rejections = [answer for _ in range(30) for answer in of_type(host.request(plan="rate")[1], Reject)]
    assert rejections
    assert all(1.0 <= answer.retry_after_ms <= SETTINGS.max_retry_after_ms for answer in rejections)


def test_every_rejection_of_a_flood_carries_a_retry_after() -> None:
    host = ScriptedHost(make_endpoints(4))
    rejections = [answer for _ in range(60) for answer in of_type(host.request(plan="rate")[1], Reject)]
    assert rejections
    assert all(0 < answer.retry_after_ms <= 500.0 for answer in rejections)


def test_more_customer_gateways_than_there_are_mean_all_of_them() -> None:
    host = ScriptedHost(make_endpoints(4), SETTINGS)
    host.request(plan="rate", gateways=5000)
    assert host.gateway.quota.customers["c"].gateway_count == SETTINGS.gateway_count


# --- without a counter reply ---------------------------------------------------------------------------


def test_unavailable_counter_leaves_the_local_share() -> None:
    host = ScriptedHost(make_endpoints(4), replace(SETTINGS, counter_enabled=True))
    host.counter.outcome = CallOutcome.UNREACHABLE
    admitted = count_admitted(host, 600, 25.0)
    assert 10 <= admitted <= 6 / 2 + 2.0 / 2 * 15 + 5


def test_unavailable_counter_admits_two_requests_then_the_local_share() -> None:
    host = ScriptedHost(make_endpoints(4), HUNDREDS)
    host.counter.outcome = CallOutcome.UNREACHABLE
    for i in range(6):
        host.complete(host.request(plan="rate", customer=f"x{i}", gateways=200)[0], 0, CallOutcome.OK)
    assert not host.gateway.counter_sync.health.available
    admitted = 0
    for _ in range(40):
        admitted += host.serve(1.0, plan="rate", gateways=200)
        host.advance(500.0)
    assert admitted == 2  # 20 s of a two-hundredth of two a second make no third


def test_requests_without_the_reply_they_need_keep_to_the_local_bucket() -> None:
    # Each gateway took a flooding customer's whole quota for its own until one of its calls got through.
    host = ScriptedHost(make_endpoints(4), HUNDREDS)
    host.gateway.counter_sync.health.call_share = 0.0001
    admitted = 0
    for _ in range(20):
        admitted += host.serve(1.0, plan="rate", gateways=200)
        host.advance(50.0)
    assert admitted == 2


class HighDraws(random.Random):
    """Draws that are always high: no request gets to make a call."""

    def random(self) -> float:
        return 0.999


def test_last_reply_stands_for_requests_without_one_while_the_bucket_is_far_from_empty() -> None:
    # With a counter that few calls get through to, equal local shares rejected customers who used little.
    admitted = []
    for remote_units in (0.0, 5.0):
        host = ScriptedHost(make_endpoints(4), HUNDREDS)
        settle_counter(host)
        host.advance(300.0)
        host.counter.remote_units = remote_units
        settle_counter(host)  # its replies tell whether the others have used much of the bucket
        host.advance(150.0)
        host.gateway.counter_sync.health.call_share = 0.5
        host.gateway.counter_sync.rng = host.gateway.quota.rng = HighDraws()
        host.gateway.quota.customers["c"].local_bucket = 0.0
        _, actions = host.request(plan="rate", gateways=200)
        admitted.append(len(of_type(actions, StartAttempt)))
    assert admitted == [1, 0]


@pytest.mark.parametrize(("remote_units", "least", "most"), [(0.0, 90, 100), (300.0, 0, 15)])
def test_customers_without_any_reply_are_admitted_as_often_as_those_with_one(
    remote_units: float, least: int, most: int
) -> None:
    # Each of hundreds of gateways admitted the first request of every customer: a quarter was over quota.
    host = ScriptedHost(make_endpoints(4), HUNDREDS)
    host.counter.remote_units = remote_units
    for i in range(60):
        host.serve(1.0, plan="rate", customer=f"replied{i}", gateways=200)
    admitted = without_reply = 0
    for i in range(120):
        host.gateway.counter_sync.health.call_share = 0.1  # nine in ten make no call
        request_id, actions = host.request(plan="rate", customer=f"new{i}", gateways=200)
        if of_type(actions, StartAttempt):
            host.complete(request_id, 0, CallOutcome.OK, 1.0)
        if not of_type(actions, IncrementCounter):
            without_reply += 1
            admitted += len(of_type(actions, StartAttempt))
    assert least <= 100.0 * admitted / without_reply <= most


@pytest.mark.parametrize(("remote_units", "least", "most"), [(0.0, 26, 40), (6.0, 0, 14)])
def test_local_share_follows_the_recent_usage_of_this_gateway(
    remote_units: float, least: int, most: int
) -> None:
    # Equal shares rejected a customer here while gateways that it no longer came through kept theirs.
    host = ScriptedHost(make_endpoints(4))
    host.counter.remote_units = remote_units

    def admitted_in_a_second() -> int:
        admitted = 0
        for _ in range(2):
            admitted += host.serve(1.0, plan="rate", gateways=2)
            host.advance(500.0)
            host.reply_to_calls()
        return admitted

    for _ in range(20):
        admitted_in_a_second()
    host.counter.outcome = CallOutcome.TIMEOUT
    for _ in range(5):
        admitted_in_a_second()
    assert not host.gateway.counter_sync.health.available
    assert least <= sum(admitted_in_a_second() for _ in range(18)) <= most  # equal shares admit 18 to 21


def test_usage_does_not_drive_a_local_bucket_below_zero() -> None:
    # The busiest gateway of a customer rejected it for long once the counter became unavailable.
    host = ScriptedHost(make_endpoints(4))
    count_admitted(host, 60, 250.0)
    assert host.gateway.quota.customers["c"].local_bucket >= 0.0


# --- hard limits ---------------------------------------------------------------------------------------


def test_new_customer_finds_units_in_its_hard_limit_bucket() -> None:
    host = ScriptedHost(make_endpoints(4))
    host.advance(30_000.0)
    assert of_type(host.request(plan="hard", customer="new", units=2.0)[1], StartAttempt)


def flood(hosts: list[ScriptedHost], duration_ms: float, gap_ms: float, units: float) -> float:
    """Send one customer's requests through all gateways as fast as they come; return the admitted units."""
    admitted, elapsed_ms = 0.0, 0.0
    while elapsed_ms < duration_ms:
        for host in hosts:
            request_id, actions = host.request(plan="hard", units=units)
            if of_type(actions, StartAttempt):
                admitted += units
                host.now_ms += 1.0
                host.complete(request_id, 0, CallOutcome.OK, 1.0)
            host.advance(gap_ms)
        elapsed_ms += gap_ms
    return admitted


@pytest.mark.parametrize("counter_enabled", [True, False])
@pytest.mark.parametrize("units", [1.0, 2.0])
def test_hard_limit_holds_with_and_without_a_counter(counter_enabled: bool, units: float) -> None:
    settings = replace(SETTINGS, counter_enabled=counter_enabled)
    hosts = [ScriptedHost(make_endpoints(4), settings, seed=i) for i in range(2)]
    admitted = flood(hosts, 8000.0, 50.0, units)
    assert admitted <= 12.0 + 4.0 * (hosts[0].now_ms - 1000.0) / 1000.0 + 2.0


def test_restarted_gateways_do_not_spend_the_hard_limit_again() -> None:
    hosts = [ScriptedHost(make_endpoints(4), seed=i) for i in range(2)]
    for host in hosts:
        host.advance(10_000.0)
    admitted = flood(hosts, 500.0, 20.0, 1.0)
    admitted += flood([ScriptedHost(make_endpoints(4), seed=i) for i in range(2)], 500.0, 20.0, 1.0)
    assert admitted <= 12.0 + 4.0 * 1.1 + 2.0


@pytest.mark.parametrize("outcome", [CallOutcome.OK, CallOutcome.REJECTED, CallOutcome.UNREACHABLE])
def test_hard_limit_holds_over_all_gateways_whatever_the_counter_does(outcome: CallOutcome) -> None:
    """The counter keeps half of it, equal parts the rest; a flood comes through all gateways at once."""
    hosts = [ScriptedHost(make_endpoints(4), HUNDREDS, seed=i) for i in range(6)]
    counter = FakeCounter(outcome)
    for host in hosts:
        host.counter = counter
        host.advance(20_000.0)
    start_ms = hosts[0].now_ms
    admitted = 0.0
    for _ in range(60):
        for host in hosts:
            admitted += host.serve(1.0, plan="hard", gateways=6)
            host.reply_to_calls()
            host.advance(50.0)
    assert 4.0 <= admitted <= 12.0 + 4.0 * (hosts[0].now_ms - start_ms) / 1000.0 + 2.0


def test_counter_lets_a_busy_gateway_exceed_its_part_of_a_hard_limit() -> None:
    host = ScriptedHost(make_endpoints(4), FORTY)
    host.advance(20_000.0)
    admitted = 0
    for _ in range(3):
        admitted += host.serve(1.0, plan="hard", gateways=12)
        host.reply_to_calls()
        host.advance(110.0)
    assert admitted == 3
