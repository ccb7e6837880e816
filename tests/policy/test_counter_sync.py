"""Synchronisation with the shared counter: remote usage, requests that wait, windows, corrections."""

from __future__ import annotations

import random
from dataclasses import replace

import pytest

from quota_gateway.policy.gateway import Gateway
from quota_gateway.policy_api.actions import IncrementCounter, Reject, StartAttempt
from quota_gateway.policy_api.endpoints import EndpointUpdate, UpdateKind
from quota_gateway.policy_api.events import AttemptCompleted, CallOutcome, CounterReply, Request
from quota_gateway.settings import Plan, Settings
from tests.policy.scripted_host import SETTINGS, ScriptedHost, final_answers, make_endpoints, of_type
from tests.policy.simulated_fleet import SimulatedFleet
from tests.policy.traffic import HUNDREDS, count_admitted, settle_counter

RATE, BURST = 2.0, 6.0  # of the plan "rate"
START_MS = 1_000_000.0


def test_remote_usage_drains_the_bucket() -> None:
    alone, shared = ScriptedHost(make_endpoints(4)), ScriptedHost(make_endpoints(4))
    shared.counter.remote_units = 1.0
    admitted = [count_admitted(host, 200, 100.0) for host in (alone, shared)]
    assert admitted[1] < 0.8 * admitted[0]


def test_lost_total_does_not_lower_the_remote_usage() -> None:
    host = ScriptedHost(make_endpoints(4))
    host.counter.remote_units = 0.5
    count_admitted(host, 70, 50.0)
    customer = host.gateway.quota.customers["c"]
    before, window_start_ms = customer.remote_usage, customer.window_start_ms
    host.counter.flush()
    host.counter.remote_units = -1.0
    replies = host.reply_count
    while host.reply_count == replies:
        host.request(plan="rate")
        host.advance(20.0)
        host.reply_to_calls()
    assert customer.window_start_ms == window_start_ms
    assert before > 0
    assert customer.remote_usage >= 0.5 * before


def test_gateway_that_rejects_learns_that_remote_usage_has_ended() -> None:
    # A gateway with nothing to report made no call and drained the bucket by an old rate.
    host = ScriptedHost(make_endpoints(4))
    host.counter.remote_units = 3.0
    count_admitted(host, 40, 100.0)
    host.counter.remote_units = 0.0
    assert count_admitted(host, 60, 100.0) >= 6


# --- requests that wait for a reply --------------------------------------------------------------------


def test_customer_that_comes_once_costs_one_call() -> None:
    host = ScriptedHost(make_endpoints(4), HUNDREDS)
    request_id, _ = host.request(plan="rate", gateways=200)
    host.complete(request_id, 0, CallOutcome.OK, 1.0)
    host.reply_to_calls()
    host.advance(3000.0)
    assert len([action for _, action in host.actions if isinstance(action, IncrementCounter)]) == 1


def test_one_of_hundreds_of_gateways_admits_what_the_bucket_holds() -> None:
    # An equal part of the bucket never holds a request; all were rejected.
    host = ScriptedHost(make_endpoints(4), HUNDREDS)
    for i in range(20):
        request_id, actions = host.request(plan="rate", customer=f"c{i}", gateways=200)
        assert of_type(actions, IncrementCounter)
        assert of_type(actions, StartAttempt)
        host.complete(request_id, 0, CallOutcome.OK)


def test_reply_rejects_what_the_other_gateways_have_used() -> None:
    host = ScriptedHost(make_endpoints(4), HUNDREDS)
    settle_counter(host)
    host.counter.remote_units = 7.0
    _, actions = host.request(plan="rate", gateways=200)
    assert of_type(actions, Reject)
    assert not of_type(actions, StartAttempt)


def test_request_waits_for_its_own_reply_and_is_answered_once() -> None:
    host = ScriptedHost(make_endpoints(4), HUNDREDS)
    host.counter.outcome = CallOutcome.TIMEOUT
    request_id, actions = host.request(plan="rate", gateways=200)
    assert [attempt.request_id for attempt in of_type(actions, StartAttempt)] == [request_id]
    call = of_type(actions, IncrementCounter)[0]
    assert not host.handle(CounterReply(call.key, 3.0, CallOutcome.OK))


def test_request_with_little_time_left_waits_for_no_reply() -> None:
    host = ScriptedHost(make_endpoints(4), HUNDREDS)
    _, actions = host.request(plan="rate", gateways=200, time_left_ms=60.0)
    assert of_type(actions, StartAttempt) or final_answers(actions)


def test_rejected_request_is_refunded_at_once() -> None:
    # The next call refunded it, which with many gateways came when the window was over: totals held what was
    # never admitted, and half of all rejections fell on customers with room.
    host = ScriptedHost(make_endpoints(4), HUNDREDS)
    settle_counter(host)
    host.counter.remote_units = 5.0
    _, actions = host.request(plan="rate", gateways=200)
    assert of_type(actions, Reject)
    assert [call.amount for call in of_type(actions, IncrementCounter)] == [1.0, -1.0]


def test_request_rejected_for_lack_of_capacity_is_refunded_too() -> None:
    host = ScriptedHost(make_endpoints(4), HUNDREDS)
    settle_counter(host)
    capacity = host.gateway.capacity
    capacity.capacity = 0.0
    capacity.credit.clear()
    capacity.demand[1.0] = 100.0
    capacity.credit[1.0] = 0.0
    _, actions = host.request(plan="rate", gateways=200)
    assert of_type(actions, Reject)
    assert [call.amount for call in of_type(actions, IncrementCounter)] == [1.0, -1.0]


# --- accounting windows and corrections ----------------------------------------------------------------


def test_counter_key_holds_one_window() -> None:
    host = ScriptedHost(make_endpoints(4), HUNDREDS)
    settle_counter(host)
    first = {action.key for _, action in host.actions if isinstance(action, IncrementCounter)}
    host.advance(61_000.0)
    settle_counter(host)
    keys = {action.key for _, action in host.actions if isinstance(action, IncrementCounter)}
    assert len(first) <= 2
    assert len(keys) > len(first)


def test_total_that_lags_behind_a_full_bucket_is_corrected() -> None:
    # What the full bucket did not take up while the customer was idle must not add to its burst later.
    host = ScriptedHost(make_endpoints(4), HUNDREDS)
    settle_counter(host)
    host.advance(20_000.0)  # it has been full again for long
    admitted = 0
    for _ in range(12):
        _, actions = host.request(plan="rate", gateways=200, units=1.0)
        admitted += len(of_type(actions, StartAttempt))
        host.reply_to_calls()
        host.advance(110.0)
    assert 5 <= admitted <= 6 + 2.0 * 12 * 0.11 + 1


class CountedFleet(SimulatedFleet):
    """Gateways on one counter; servers complete every attempt in 20 ms."""

    def __init__(self, gateway_count: int, settings: Settings = SETTINGS) -> None:
        settings = replace(settings, gateway_count=gateway_count)
        gateways = [Gateway(replace(settings, gateway_index=i), seed=i) for i in range(gateway_count)]
        super().__init__(gateways, START_MS)
        self.request_count = 0
        self.units: dict[str, float] = {}  # by request
        self.admitted: list[tuple[float, float]] = []  # when, and units
        for i in range(gateway_count):
            self.handle(i, EndpointUpdate(UpdateKind.CACHED_SNAPSHOT, make_endpoints(4)))

    def request_after(self, ms: float, gateway: int, customer: str = "c") -> None:
        """Schedule a request."""
        self.request_count += 1
        request_id = f"r{self.request_count}"
        self.units[request_id] = 1.0
        request = Request(request_id, "read", "rate", customer, 3000.0, 1.0, len(self.gateways))
        self.schedule(self.now_ms + ms, gateway, request)

    def run(self, ms: float) -> None:
        """Let time pass."""
        self.run_until(self.now_ms + ms)

    def start_attempt(self, gateway: int, attempt: StartAttempt) -> None:
        self.admitted.append((self.now_ms, self.units[attempt.request_id]))
        completed = AttemptCompleted(
            attempt.request_id, 0, attempt.server_id, CallOutcome.OK, 20.0, request_completed=True
        )
        self.schedule(self.now_ms + 20.0, gateway, completed)

    def admitted_units(self, since_ms: float) -> float:
        """Return the units admitted since a moment."""
        return sum(units for at_ms, units in self.admitted if at_ms >= since_ms)


def test_accounting_window_starts_once() -> None:
    # Its start was computed from each moment and differed in the last bits: a later one seemed to start, what
    # the replies had told was forgotten, and the whole total taken for remote usage of that moment.
    fleet = CountedFleet(1)
    rng = random.Random(3)
    for i in range(20):
        fleet.request_after(0.0, 0, f"c{i}")
    fleet.run(100.0)
    gateway = fleet.gateways[0]
    customers = gateway.quota.customers
    starts = {customer.key: {customer.window_start_ms} for customer in customers.values()}
    for _ in range(1000):
        fleet.run(rng.uniform(0.0, 120.0))
        for customer in customers.values():
            gateway.counter_sync.refresh(fleet.now_ms, customer)
            starts[customer.key].add(customer.window_start_ms)
    windows = (fleet.now_ms - START_MS) / 60_000.0
    assert max(len(seen) for seen in starts.values()) <= windows + 2.0


@pytest.mark.parametrize("lost", [False, True])
@pytest.mark.parametrize("gateways", [8, 40])
def test_drifted_total_is_corrected_by_one_gateway(gateways: int, lost: bool) -> None:
    """The bucket was full for long, or the counter lost its totals.

    Then requests come through all gateways in the time of one call.
    """
    fleet = CountedFleet(gateways)
    rng = random.Random(7)
    seconds = 12
    for i in range(gateways):
        fleet.request_after(rng.uniform(0.0, 2_000.0), i)
    fleet.run(20_000.0)
    if lost:
        fleet.counter.flush()
    start_ms = fleet.now_ms
    for _ in range(seconds * 40):  # twenty times the rate
        fleet.request_after(rng.uniform(0.0, 1000.0 * seconds), rng.randrange(gateways))
    for i in range(gateways):
        fleet.request_after(rng.uniform(0.0, 5.0), i)
    fleet.run(1000.0 * seconds)
    quota = BURST + RATE * seconds
    # Until they have heard of the first correction, all gateways take the bucket for full.
    assert 0.75 * quota <= fleet.admitted_units(start_ms) <= 1.35 * quota + gateways


@pytest.mark.parametrize("window", [0.0, 0.3, 0.6, 0.9])
@pytest.mark.parametrize("gateways", [1, 2])
def test_lagging_total_does_not_refill_a_bucket_that_is_partly_spent(gateways: int, window: float) -> None:
    # A customer's first replies come while it spends its burst; their totals lag by all that has refilled the
    # bucket since the window began, and each was taken for a full bucket.
    excess = []
    for seed in range(10):
        fleet = CountedFleet(gateways)
        rng = random.Random(seed)
        fleet.run(60_000.0 * window + 1000.0 * seed)
        start_ms = fleet.now_ms
        for _ in range(20):
            fleet.request_after(rng.uniform(0.0, 600.0), 0)  # through one gateway, which knows of each
        fleet.run(1000.0)
        excess.append(fleet.admitted_units(start_ms) - BURST - 0.6 * RATE)
    assert max(excess) <= 1.0


@pytest.mark.parametrize("gateways", [2, 3])
def test_correction_by_another_gateway_is_not_taken_for_usage(gateways: int) -> None:
    # A customer's first requests correct a total that lags by all that has refilled the bucket since the
    # window began; the others took that for 20 times the quota, and rejected a customer at half of it.
    rate, burst = 10.0, 20.0
    plan = Plan("rate", rate=rate, burst=burst, over_quota_cost=0.5)
    fleet = CountedFleet(gateways, replace(SETTINGS, plans=(plan,)))
    rng = random.Random(1)
    most = 0.0
    for i in range(40):
        after_ms = 0.0
        while (after_ms := after_ms + rng.expovariate(0.5 * rate / 1000.0)) < 10_000.0:
            fleet.request_after(after_ms, rng.randrange(gateways), f"c{i}")
    for _ in range(110):
        fleet.run(100.0)
        known = [customer for gateway in fleet.gateways for customer in gateway.quota.customers.values()]
        most = max([most, *(customer.remote_usage for customer in known)])
    rejected = fleet.request_count - len(fleet.admitted)
    assert rejected <= 0.001 * fleet.request_count  # at half the rate a two-second bucket does not run empty
    assert most <= 2.0 * rate
