"""Retries: no request takes effect twice, and retries do not overload a busy fleet."""

from __future__ import annotations

import math
from dataclasses import replace

import pytest

from quota_gateway.policy_api.actions import Fail, StartAttempt
from quota_gateway.policy_api.endpoints import Endpoint, EndpointState, EndpointUpdate, UpdateKind
from quota_gateway.policy_api.events import CallOutcome
from quota_gateway.settings import DeduplicationScope, Idempotency, RequestClass
from tests.policy.scripted_host import SETTINGS, ScriptedHost, final_answers, make_endpoints, of_type
from tests.policy.traffic import HUNDREDS_OF_GATEWAYS

ORDER_WINDOW_MS = 2000.0  # deduplication window of the class "order" in `SETTINGS`
MAX_HOLD_UP_MS = 150.0  # a process may be held up for this long between its clock reading and its write
WINDOW_SLACK_MS = 50.0  # on sockets, every time limit is longer by this


@pytest.mark.parametrize(
    "outcome", [CallOutcome.ERROR, CallOutcome.TIMEOUT, CallOutcome.RESET, CallOutcome.CANCELLED]
)
def test_non_idempotent_request_that_may_have_run_fails(outcome: CallOutcome) -> None:
    host = ScriptedHost(make_endpoints(4))
    request_id, _ = host.request("charge")
    actions = host.complete(request_id, 0, outcome)
    assert [type(answer) for answer in final_answers(actions)] == [Fail]
    assert not of_type(actions, StartAttempt)


@pytest.mark.parametrize("outcome", [CallOutcome.REJECTED, CallOutcome.UNREACHABLE])
def test_non_idempotent_request_that_did_not_run_is_retried_elsewhere(outcome: CallOutcome) -> None:
    host = ScriptedHost(make_endpoints(4))
    request_id, _ = host.request("charge")
    retries = of_type(host.complete(request_id, 0, outcome, 5.0), StartAttempt)
    assert len(retries) == 1
    assert retries[0].server_id != host.attempts[request_id][0]


def test_non_idempotent_request_is_not_rejected_if_an_attempt_may_have_run() -> None:
    host = ScriptedHost(make_endpoints(4))
    request_id, _ = host.request("charge")
    host.complete(request_id, 0, CallOutcome.REJECTED, 5.0)
    answers = final_answers(host.complete(request_id, 1, CallOutcome.RESET, 5.0))
    assert [type(answer) for answer in answers] == [Fail]


def test_keyed_request_is_not_retried_after_its_deduplication_window() -> None:
    host = ScriptedHost(make_endpoints(4))
    request_id, _ = host.request("order", time_left_ms=6000.0)
    host.now_ms += 2100.0
    actions = host.complete(request_id, 0, CallOutcome.RESET, 2100.0)
    assert not of_type(actions, StartAttempt)
    assert [type(answer) for answer in final_answers(actions)] == [Fail]


def test_retry_of_a_keyed_request_is_written_within_its_deduplication_window() -> None:
    """Guards against a second run: between decision and write, the servers can forget the key."""
    host = ScriptedHost(make_endpoints(4))
    request_id, actions = host.request("order", time_left_ms=6000.0)
    assert of_type(actions, StartAttempt)[0].write_before_ms == math.inf
    started_at_ms = host.now_ms
    host.now_ms += 300.0
    (retry,) = of_type(host.complete(request_id, 0, CallOutcome.RESET, 300.0), StartAttempt)
    window_end_ms = started_at_ms + ORDER_WINDOW_MS
    assert host.now_ms < retry.write_before_ms <= window_end_ms - MAX_HOLD_UP_MS + WINDOW_SLACK_MS


@pytest.mark.parametrize(("window_ms", "is_timed"), [(2000.0, True), (900.0, True), (800.0, False)])
def test_keyed_attempt_is_not_timed_out_for_a_retry_after_its_window(
    window_ms: float, is_timed: bool
) -> None:
    """Guards against attempts given up for nothing: the retry that they make way for is not allowed."""
    order = RequestClass("order", 1000.0, 2.0, Idempotency.KEYED, DeduplicationScope.ALL, window_ms)
    host = ScriptedHost(make_endpoints(4), replace(SETTINGS, classes=(order,)))
    _, actions = host.request("order", time_left_ms=6000.0)
    (attempt,) = of_type(actions, StartAttempt)
    assert (attempt.timeout_ms > 0.0) is is_timed


def test_queued_keyed_request_is_not_sent_after_its_deduplication_window() -> None:
    order = RequestClass("order", 5000.0, 2.0, Idempotency.KEYED, DeduplicationScope.ALL, 1200.0)
    host = ScriptedHost(make_endpoints(1), replace(SETTINGS, classes=(order,)))
    request_id, _ = host.request("order", time_left_ms=6000.0)
    host.now_ms += 1000.0
    draining = Endpoint("s0", "a", state=EndpointState.DRAINING)
    host.handle(EndpointUpdate(UpdateKind.DELTA, (draining,)))
    host.complete(request_id, 0, CallOutcome.RESET, 1000.0)
    host.now_ms += 400.0
    actions = host.handle(EndpointUpdate(UpdateKind.DELTA, (Endpoint("s9", "a"),))) + host.advance(6000.0)
    assert not of_type(actions, StartAttempt)
    assert [type(answer) for answer in final_answers(actions)] == [Fail]


def test_retries_stay_within_the_budget() -> None:
    host = ScriptedHost(make_endpoints(6))
    attempts = 0
    for _ in range(100):
        request_id, actions = host.request("read")
        while of_type(actions, StartAttempt) and not final_answers(actions):
            last_attempt = len(host.attempts[request_id]) - 1
            actions = host.complete(request_id, last_attempt, CallOutcome.REJECTED, 1.0)
        attempts += len(host.attempts.get(request_id, []))
        host.advance(10.0)
    assert attempts <= 100 * 1.3 + 10


# --- timeouts ------------------------------------------------------------------------------------------


def test_timeouts_lengthen_later_timeouts() -> None:
    host = ScriptedHost(make_endpoints(4))
    host.warm_up()
    first_timeout_ms = of_type(host.request()[1], StartAttempt)[0].timeout_ms
    for _ in range(60):
        request_id, actions = host.request()
        while of_type(actions, StartAttempt) and not final_answers(actions):
            host.now_ms += 20.0
            last_attempt = len(host.attempts[request_id]) - 1
            actions = host.complete(request_id, last_attempt, CallOutcome.TIMEOUT, 500.0)
        host.advance(20.0)
    host.advance(9000.0)
    attempts = [attempt for _ in range(3) for attempt in of_type(host.request()[1], StartAttempt)]
    assert first_timeout_ms > 0
    assert attempts
    assert all(attempt.timeout_ms == 0 or attempt.timeout_ms > first_timeout_ms for attempt in attempts)


def test_timeouts_lengthen_with_the_latency_of_other_kinds_of_requests() -> None:
    # One of hundreds of gateways needs half a minute to learn the mean of each kind of request. Timeouts
    # derived from the means alone stay too short while the latency rises, and the retries overload the fleet.
    host = ScriptedHost(make_endpoints(60), HUNDREDS_OF_GATEWAYS)
    for i in range(12):
        request_id, actions = host.request(class_name="order", customer=f"c{i}", time_left_ms=4000.0)
        if of_type(actions, StartAttempt):
            host.advance(600.0)
            host.complete(request_id, 0, CallOutcome.OK, 600.0)
    attempts = of_type(host.request(class_name="read", time_left_ms=4000.0)[1], StartAttempt)
    assert attempts
    assert attempts[0].timeout_ms == 0.0
