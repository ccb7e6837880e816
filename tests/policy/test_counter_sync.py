"""Synchronisation with the shared counter: remote usage, waiting requests, windows, corrections."""

from __future__ import annotations

import random
from dataclasses import replace

import pytest

from quota_gateway.policy.counter_sync import MAX_CUSTOMERS_PER_TICK
from quota_gateway.policy.gateway import TICK_MS, Gateway
from quota_gateway.policy_api.actions import IncrementCounter, Reject, StartAttempt
from quota_gateway.policy_api.endpoints import EndpointUpdate, UpdateKind
from quota_gateway.policy_api.events import AttemptCompleted, CallOutcome, CounterReply, Request, TimerFired
from quota_gateway.settings import Plan, Settings
from tests.policy.scripted_host import SETTINGS, ScriptedHost, final_answers, make_endpoints, of_type
from tests.policy.simulated_fleet import SimulatedFleet
from tests.policy.traffic import HUNDREDS_OF_GATEWAYS, count_admitted, settle_counter

RATE = 2.0  # units per second of the plan "rate"
BURST = 6.0  # units of the plan "rate"
START_MS = 1_000_000.0


def test_remote_usage_drains_the_bucket() -> None:
    alone = ScriptedHost(make_endpoints(4))
    shared = ScriptedHost(make_endpoints(4))
    shared.counter.remote_units = 1.0
    admitted_alone = count_admitted(alone, 200, 100.0)
    admitted_shared = count_admitted(shared, 200, 100.0)
    assert admitted_shared < 0.8 * admitted_alone


def test_lost_total_does_not_lower_the_remote_usage() -> None:
    host = ScriptedHost(make_endpoints(4))
    host.counter.remote_units = 0.5
    count_admitted(host, 70, 50.0)
    customer = host.gateway.quota.customers["c"]
    usage_before = customer.remote_usage
    window_start_ms = customer.window_start_ms
    host.counter.flush()
    host.counter.remote_units = -1.0
    replies_before = host.reply_count
    while host.reply_count == replies_before:
        host.request(plan="rate")
        host.advance(20.0)
        host.reply_to_calls()
    assert customer.window_start_ms == window_start_ms
    assert usage_before > 0
    assert customer.remote_usage >= 0.5 * usage_before


def test_gateway_that_rejects_learns_that_remote_usage_has_ended() -> None:
    # Guards against rejecting a customer for good: a gateway that admits nothing has no usage to report,
    # makes no calls, and would continue to drain the bucket by the last known remote usage.
    host = ScriptedHost(make_endpoints(4))
    host.counter.remote_units = 3.0
    count_admitted(host, 40, 100.0)
    host.counter.remote_units = 0.0
    assert count_admitted(host, 60, 100.0) >= 6


# --- requests that wait for a reply --------------------------------------------------------------------


def test_customer_with_a_single_request_costs_one_call() -> None:
    host = ScriptedHost(make_endpoints(4), HUNDREDS_OF_GATEWAYS)
    request_id, _ = host.request(plan="rate", gateways=200)
    host.complete(request_id, 0, CallOutcome.OK, 1.0)
    host.reply_to_calls()
    host.advance(3000.0)
    assert len([action for _, action in host.actions if isinstance(action, IncrementCounter)]) == 1


def test_single_request_at_one_of_hundreds_of_gateways_is_admitted() -> None:
    # Guards against admission by an equal share of the bucket, which is too small for any request.
    host = ScriptedHost(make_endpoints(4), HUNDREDS_OF_GATEWAYS)
    for i in range(20):
        request_id, actions = host.request(plan="rate", customer=f"c{i}", gateways=200)
        assert of_type(actions, IncrementCounter)
        assert of_type(actions, StartAttempt)
        host.complete(request_id, 0, CallOutcome.OK)


def test_request_is_rejected_if_the_other_gateways_have_used_the_quota() -> None:
    host = ScriptedHost(make_endpoints(4), HUNDREDS_OF_GATEWAYS)
    settle_counter(host)
    host.counter.remote_units = 7.0
    _, actions = host.request(plan="rate", gateways=200)
    assert of_type(actions, Reject)
    assert not of_type(actions, StartAttempt)


def test_request_waits_for_its_own_reply_and_is_answered_once() -> None:
    host = ScriptedHost(make_endpoints(4), HUNDREDS_OF_GATEWAYS)
    host.counter.outcome = CallOutcome.TIMEOUT
    request_id, actions = host.request(plan="rate", gateways=200)
    assert [attempt.request_id for attempt in of_type(actions, StartAttempt)] == [request_id]
    call = of_type(actions, IncrementCounter)[0]
    assert not host.handle(CounterReply(call.key, 3.0, CallOutcome.OK))


def test_request_with_a_short_deadline_does_not_wait_for_a_reply() -> None:
    host = ScriptedHost(make_endpoints(4), HUNDREDS_OF_GATEWAYS)
    _, actions = host.request(plan="rate", gateways=200, time_left_ms=60.0)
    assert of_type(actions, StartAttempt) or final_answers(actions)


def test_rejected_request_is_refunded_at_once() -> None:
    # Guards against refunds that wait for the customer's next call at this gateway. With many gateways that
    # call comes after the window has ended: until then the total includes units that were never admitted, and
    # half of all rejections hit customers within their quota.
    host = ScriptedHost(make_endpoints(4), HUNDREDS_OF_GATEWAYS)
    settle_counter(host)
    host.counter.remote_units = 5.0
    _, actions = host.request(plan="rate", gateways=200)
    assert of_type(actions, Reject)
    assert [call.amount for call in of_type(actions, IncrementCounter)] == [1.0, -1.0]


def test_request_rejected_for_lack_of_capacity_is_refunded_too() -> None:
    host = ScriptedHost(make_endpoints(4), HUNDREDS_OF_GATEWAYS)
    settle_counter(host)
    estimator = host.gateway.capacity
    estimator.capacity = 0.0
    estimator.credit.clear()
    estimator.demand[1.0] = 100.0
    estimator.credit[1.0] = 0.0
    _, actions = host.request(plan="rate", gateways=200)
    assert of_type(actions, Reject)
    assert [call.amount for call in of_type(actions, IncrementCounter)] == [1.0, -1.0]


# --- accounting windows and corrections ----------------------------------------------------------------


def test_each_accounting_window_has_its_own_counter_key() -> None:
    host = ScriptedHost(make_endpoints(4), HUNDREDS_OF_GATEWAYS)
    settle_counter(host)
    first_keys = {action.key for _, action in host.actions if isinstance(action, IncrementCounter)}
    host.advance(61_000.0)
    settle_counter(host)
    all_keys = {action.key for _, action in host.actions if isinstance(action, IncrementCounter)}
    assert len(first_keys) <= 2  # the key of the window and that of its correction lease
    assert len(all_keys) > len(first_keys)


def test_total_that_lags_behind_a_full_bucket_is_corrected() -> None:
    # Guards against an excessive burst after idle time. The total does not show that a full bucket discarded
    # its refill, and an uncorrected total would allow this refill to be spent later.
    host = ScriptedHost(make_endpoints(4), HUNDREDS_OF_GATEWAYS)
    settle_counter(host)
    host.advance(20_000.0)  # the bucket is full after 3 s
    admitted = 0
    for _ in range(12):
        _, actions = host.request(plan="rate", gateways=200, units=1.0)
        admitted += len(of_type(actions, StartAttempt))
        host.reply_to_calls()
        host.advance(110.0)
    assert 5 <= admitted <= 6 + 2.0 * 12 * 0.11 + 1


class SuccessfulFleet(SimulatedFleet):
    """A fleet whose servers complete every attempt successfully in 20 ms."""

    def __init__(self, gateway_count: int, settings: Settings = SETTINGS) -> None:
        settings = replace(settings, gateway_count=gateway_count)
        gateways = [Gateway(replace(settings, gateway_index=i), seed=i) for i in range(gateway_count)]
        super().__init__(gateways, START_MS)
        self.request_count = 0
        self.units: dict[str, float] = {}  # units by request id
        self.admitted: list[tuple[float, float]] = []  # time of admission and units of each admitted request
        for i in range(gateway_count):
            self.handle(i, EndpointUpdate(UpdateKind.CACHED_SNAPSHOT, make_endpoints(4)))

    def request_after(self, ms: float, gateway: int, customer: str = "c") -> None:
        """Schedule a request of one unit `ms` from now."""
        self.request_count += 1
        request_id = f"r{self.request_count}"
        self.units[request_id] = 1.0
        request = Request(request_id, "read", "rate", customer, 3000.0, 1.0, len(self.gateways))
        self.schedule(self.now_ms + ms, gateway, request)

    def run(self, ms: float) -> None:
        """Process the events of the next `ms` of simulated time."""
        self.run_until(self.now_ms + ms)

    def start_attempt(self, gateway: int, attempt: StartAttempt) -> None:
        self.admitted.append((self.now_ms, self.units[attempt.request_id]))
        completed = AttemptCompleted(
            attempt.request_id, 0, attempt.server_id, CallOutcome.OK, 20.0, request_completed=True
        )
        self.schedule(self.now_ms + 20.0, gateway, completed)

    def admitted_units(self, since_ms: float) -> float:
        """Return the units admitted at or after a time."""
        return sum(units for at_ms, units in self.admitted if at_ms >= since_ms)


def test_start_of_an_accounting_window_does_not_vary() -> None:
    # Guards against rounding errors in the start, which is computed anew at every refresh. A start that
    # differs in the last bits begins a new window: the totals of earlier replies are forgotten, and the whole
    # total of the next one is taken for remote usage.
    fleet = SuccessfulFleet(1)
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
    elapsed_windows = (fleet.now_ms - START_MS) / 60_000.0
    assert max(len(distinct) for distinct in starts.values()) <= elapsed_windows + 2.0


@pytest.mark.parametrize("totals_lost", [False, True])
@pytest.mark.parametrize("gateways", [8, 40])
def test_drifted_total_is_corrected_by_one_gateway(gateways: int, totals_lost: bool) -> None:
    """Requests arrive at all gateways within the time of one counter call.

    Before that, the bucket has been full for a long time or the counter has lost its totals. If every gateway
    corrected the drift that it finds, the total would be wrong by a multiple of it.
    """
    fleet = SuccessfulFleet(gateways)
    rng = random.Random(7)
    seconds = 12
    for i in range(gateways):
        fleet.request_after(rng.uniform(0.0, 2_000.0), i)
    fleet.run(20_000.0)
    if totals_lost:
        fleet.counter.flush()
    start_ms = fleet.now_ms
    for _ in range(seconds * 40):  # twenty times the rate of the plan
        fleet.request_after(rng.uniform(0.0, 1000.0 * seconds), rng.randrange(gateways))
    for i in range(gateways):
        fleet.request_after(rng.uniform(0.0, 5.0), i)
    fleet.run(1000.0 * seconds)
    quota = BURST + RATE * seconds
    # Until the first correction has reached them, all gateways take the bucket for full.
    assert 0.75 * quota <= fleet.admitted_units(start_ms) <= 1.35 * quota + gateways


@pytest.mark.parametrize("window_share", [0.0, 0.3, 0.6, 0.9])
@pytest.mark.parametrize("gateways", [1, 2])
def test_lagging_total_does_not_refill_a_bucket_that_is_partly_spent(
    gateways: int, window_share: float
) -> None:
    # Guards against taking the first replies for a customer as signs of a full bucket. They arrive while the
    # customer spends its burst, and their totals lag by the whole refill since the window began.
    excess = []
    for seed in range(10):
        fleet = SuccessfulFleet(gateways)
        rng = random.Random(seed)
        fleet.run(60_000.0 * window_share + 1000.0 * seed)
        start_ms = fleet.now_ms
        for _ in range(20):
            # All requests go to one gateway, which therefore knows the whole usage.
            fleet.request_after(rng.uniform(0.0, 600.0), 0)
        fleet.run(1000.0)
        excess.append(fleet.admitted_units(start_ms) - BURST - 0.6 * RATE)
    assert max(excess) <= 1.0


@pytest.mark.parametrize("gateways", [2, 3])
def test_correction_by_another_gateway_does_not_count_as_usage(gateways: int) -> None:
    # Guards against counting a correction as remote usage. A customer's first requests correct a total that
    # lags by the whole refill since the window began. The other gateways take the correction for usage of 20
    # times the quota and reject a customer that uses half of it.
    rate = 10.0
    burst = 20.0
    plan = Plan("rate", rate=rate, burst=burst, over_quota_cost=0.5)
    fleet = SuccessfulFleet(gateways, replace(SETTINGS, plans=(plan,)))
    rng = random.Random(1)
    max_remote_usage = 0.0
    for i in range(40):
        after_ms = 0.0
        while (after_ms := after_ms + rng.expovariate(0.5 * rate / 1000.0)) < 10_000.0:
            fleet.request_after(after_ms, rng.randrange(gateways), f"c{i}")
    for _ in range(110):
        fleet.run(100.0)
        customers = [customer for gateway in fleet.gateways for customer in gateway.quota.customers.values()]
        max_remote_usage = max([max_remote_usage, *(customer.remote_usage for customer in customers)])
    rejected = fleet.request_count - len(fleet.admitted)
    # At half the rate, a bucket that holds two seconds of the rate does not run empty.
    assert rejected <= 0.001 * fleet.request_count
    assert max_remote_usage <= 2.0 * rate


def test_a_tick_looks_at_a_bounded_number_of_customers_in_turn() -> None:
    """Guards against an event loop held up by ticks: while the counter is away, all customers have usage."""
    host = ScriptedHost(make_endpoints(4))
    customers = 3 * MAX_CUSTOMERS_PER_TICK
    for i in range(customers):
        host.serve(1.0, plan="rate", customer=f"c{i}")
        host.reply_to_calls()
        host.serve(1.0, plan="rate", customer=f"c{i}")  # its usage waits for the next call
        host.now_ms += 0.01
    assert len(host.gateway.counter_sync.unreported) == customers
    host.now_ms += 3000.0
    reported: list[int] = []
    for _ in range(3):
        calls = of_type(host.handle(TimerFired(0)), IncrementCounter)
        assert len(calls) == MAX_CUSTOMERS_PER_TICK
        reported += [call.key for call in calls]
        host.now_ms += TICK_MS
    assert len(set(reported)) == customers
