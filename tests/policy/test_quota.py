"""Admission by the limits of a customer's plan: rate, burst, attempts in flight, hard limit."""

from __future__ import annotations

import random
from dataclasses import replace

import pytest

from quota_gateway.policy_api.actions import IncrementCounter, Reject, StartAttempt
from quota_gateway.policy_api.events import CallOutcome
from tests.policy.fake_counter import FakeCounter
from tests.policy.scripted_host import SETTINGS, ScriptedHost, make_endpoints, of_type
from tests.policy.traffic import FORTY_GATEWAYS, HUNDREDS_OF_GATEWAYS, count_admitted, settle_counter


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


def test_retry_after_of_rejections_is_within_the_settings() -> None:
    host = ScriptedHost(make_endpoints(4))
    rejections = [reject for _ in range(30) for reject in of_type(host.request(plan="rate")[1], Reject)]
    assert rejections
    assert all(1.0 <= reject.retry_after_ms <= SETTINGS.max_retry_after_ms for reject in rejections)


def test_every_rejection_of_a_flood_carries_a_retry_after() -> None:
    host = ScriptedHost(make_endpoints(4))
    rejections = [reject for _ in range(60) for reject in of_type(host.request(plan="rate")[1], Reject)]
    assert rejections
    assert all(0 < reject.retry_after_ms <= 500.0 for reject in rejections)


def test_customer_gateway_count_is_capped_by_the_settings() -> None:
    host = ScriptedHost(make_endpoints(4), SETTINGS)
    host.request(plan="rate", gateways=5000)
    assert host.gateway.quota.customers["c"].gateway_count == SETTINGS.gateway_count


# --- without a counter reply ---------------------------------------------------------------------------


def test_unavailable_counter_limits_admission_to_the_local_share() -> None:
    host = ScriptedHost(make_endpoints(4), replace(SETTINGS, counter_enabled=True))
    host.counter.outcome = CallOutcome.UNREACHABLE
    admitted = count_admitted(host, 600, 25.0)
    assert 10 <= admitted <= 6 / 2 + 2.0 / 2 * 15 + 5


def test_unavailable_counter_admits_two_requests_then_the_local_share() -> None:
    host = ScriptedHost(make_endpoints(4), HUNDREDS_OF_GATEWAYS)
    host.counter.outcome = CallOutcome.UNREACHABLE
    for i in range(6):
        host.complete(host.request(plan="rate", customer=f"x{i}", gateways=200)[0], 0, CallOutcome.OK)
    assert not host.gateway.counter_sync.health.available
    admitted = 0
    for _ in range(40):
        admitted += host.serve(1.0, plan="rate", gateways=200)
        host.advance(500.0)
    assert admitted == 2  # the local share refills 2 units/s * 20 s / 200 gateways, too little for a third


def test_requests_without_the_reply_they_need_keep_to_the_local_bucket() -> None:
    # Guards against a gateway that admits a customer's whole quota until one of its calls succeeds. With
    # hundreds of gateways, a flood would exceed the quota many times over.
    host = ScriptedHost(make_endpoints(4), HUNDREDS_OF_GATEWAYS)
    host.gateway.counter_sync.health.call_share = 0.0001
    admitted = 0
    for _ in range(20):
        admitted += host.serve(1.0, plan="rate", gateways=200)
        host.advance(50.0)
    assert admitted == 2


class HighRandom(random.Random):
    """A generator of high values only: while calls are throttled, no request makes a call."""

    def random(self) -> float:
        return 0.999


def test_requests_without_a_reply_may_use_the_level_of_the_last_reply() -> None:
    # Guards against needless rejections while counter calls are throttled: an equal local share is too small
    # for a request even if the customer has used little of its quota.
    admitted = []
    for remote_units in (0.0, 5.0):
        host = ScriptedHost(make_endpoints(4), HUNDREDS_OF_GATEWAYS)
        settle_counter(host)
        host.advance(300.0)
        host.counter.remote_units = remote_units
        settle_counter(host)  # the replies show how much of the bucket the other gateways have used
        host.advance(150.0)
        host.gateway.counter_sync.health.call_share = 0.5
        host.gateway.counter_sync.rng = HighRandom()
        host.gateway.quota.rng = HighRandom()
        host.gateway.quota.customers["c"].local_bucket_level = 0.0
        _, actions = host.request(plan="rate", gateways=200)
        admitted.append(len(of_type(actions, StartAttempt)))
    assert admitted == [1, 0]


@pytest.mark.parametrize(("remote_units", "min_percent", "max_percent"), [(0.0, 90, 100), (300.0, 0, 15)])
def test_customers_without_any_reply_are_admitted_as_often_as_those_with_one(
    remote_units: float, min_percent: int, max_percent: int
) -> None:
    # Guards against admitting every customer's first request at each of hundreds of gateways, which makes
    # a quarter of the requests exceed the quota.
    host = ScriptedHost(make_endpoints(4), HUNDREDS_OF_GATEWAYS)
    host.counter.remote_units = remote_units
    for i in range(60):
        host.serve(1.0, plan="rate", customer=f"replied{i}", gateways=200)
    admitted = without_reply = 0
    for i in range(120):
        host.gateway.counter_sync.health.call_share = 0.1  # nine of ten requests make no call
        request_id, actions = host.request(plan="rate", customer=f"new{i}", gateways=200)
        if of_type(actions, StartAttempt):
            host.complete(request_id, 0, CallOutcome.OK, 1.0)
        if not of_type(actions, IncrementCounter):
            without_reply += 1
            admitted += len(of_type(actions, StartAttempt))
    assert min_percent <= 100.0 * admitted / without_reply <= max_percent


@pytest.mark.parametrize(("remote_units", "min_admitted", "max_admitted"), [(0.0, 26, 40), (6.0, 0, 14)])
def test_local_share_follows_the_recent_usage_of_this_gateway(
    remote_units: float, min_admitted: int, max_admitted: int
) -> None:
    # Guards against equal local shares while the counter is unavailable: they reject a customer at the
    # gateway that it uses, and leave shares idle at gateways that it has moved away from.
    host = ScriptedHost(make_endpoints(4))
    host.counter.remote_units = remote_units

    def count_admitted_in_one_second() -> int:
        admitted = 0
        for _ in range(2):
            admitted += host.serve(1.0, plan="rate", gateways=2)
            host.advance(500.0)
            host.reply_to_calls()
        return admitted

    for _ in range(20):
        count_admitted_in_one_second()
    host.counter.outcome = CallOutcome.TIMEOUT
    for _ in range(5):
        count_admitted_in_one_second()
    assert not host.gateway.counter_sync.health.available
    admitted = sum(count_admitted_in_one_second() for _ in range(18))
    assert min_admitted <= admitted <= max_admitted  # equal shares would admit 18 to 21


def test_usage_does_not_drive_a_local_bucket_below_zero() -> None:
    # Guards against a long period of rejections: a customer's busiest gateway would start with a deeply
    # negative local bucket when the counter becomes unavailable.
    host = ScriptedHost(make_endpoints(4))
    count_admitted(host, 60, 250.0)
    assert host.gateway.quota.customers["c"].local_bucket_level >= 0.0


# --- hard limits ---------------------------------------------------------------------------------------


def test_new_customer_starts_with_a_filled_hard_limit_bucket() -> None:
    host = ScriptedHost(make_endpoints(4))
    host.advance(30_000.0)
    assert of_type(host.request(plan="hard", customer="new", units=2.0)[1], StartAttempt)


def flood(hosts: list[ScriptedHost], duration_ms: float, gap_ms: float, units: float) -> float:
    """Send one customer's requests to all gateways in turn, `gap_ms` apart; return the admitted units."""
    admitted = 0.0
    elapsed_ms = 0.0
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
    """A flood arrives at all gateways at once.

    The counter enforces one half of the hard limit, the gateways' hard-limit buckets the other half.
    """
    hosts = [ScriptedHost(make_endpoints(4), HUNDREDS_OF_GATEWAYS, seed=i) for i in range(6)]
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
    host = ScriptedHost(make_endpoints(4), FORTY_GATEWAYS)
    host.advance(20_000.0)
    admitted = 0
    for _ in range(3):
        admitted += host.serve(1.0, plan="hard", gateways=12)
        host.reply_to_calls()
        host.advance(110.0)
    assert admitted == 3
