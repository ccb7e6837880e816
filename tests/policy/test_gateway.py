"""The lifecycle of a request: one final answer within the deadline, or none if its client has left."""

from __future__ import annotations

import subprocess
import sys
from dataclasses import replace
from pathlib import Path

import pytest

from quota_gateway.policy_api.actions import Fail, IncrementCounter, LogEvent, StartAttempt
from quota_gateway.policy_api.endpoints import Endpoint, EndpointState, EndpointUpdate, UpdateKind
from quota_gateway.policy_api.events import (
    AttemptCompleted,
    CallOutcome,
    ClientDisconnected,
    CounterReply,
    Request,
    ResponseStarted,
    TimerFired,
)
from tests.policy.scripted_host import SETTINGS, ScriptedHost, final_answers, make_endpoints, of_type
from tests.policy.traffic import HUNDREDS_OF_GATEWAYS

ROOT = Path(__file__).resolve().parents[2]
S0_DRAINING = EndpointUpdate(UpdateKind.DELTA, (Endpoint("s0", "a", state=EndpointState.DRAINING),))
S9_STARTED = EndpointUpdate(UpdateKind.DELTA, (Endpoint("s9", "a"),))


@pytest.mark.parametrize("time_left_ms", [0.0, -5.0])
def test_request_without_time_left_is_answered_at_once(time_left_ms: float) -> None:
    host = ScriptedHost(make_endpoints(3))
    _, actions = host.request(time_left_ms=time_left_ms)
    assert len(final_answers(actions)) == 1
    assert not of_type(actions, StartAttempt)


def test_request_without_a_server_is_queued_then_rejected_in_time() -> None:
    host = ScriptedHost(make_endpoints(1))
    host.handle(S0_DRAINING)
    request_id, actions = host.request(time_left_ms=900.0)
    assert not final_answers(actions)
    later = host.advance(900.0)
    assert [answer.request_id for answer in final_answers(later)] == [request_id]


def test_queued_request_goes_to_a_server_that_comes_up() -> None:
    host = ScriptedHost(make_endpoints(1))
    host.handle(S0_DRAINING)
    request_id, _ = host.request()
    started = of_type(host.handle(S9_STARTED), StartAttempt)
    assert [(attempt.request_id, attempt.server_id) for attempt in started] == [(request_id, "s9")]


def test_queued_request_is_not_sent_to_a_draining_server() -> None:
    host = ScriptedHost(make_endpoints(1))
    request_id, _ = host.request()
    host.handle(S0_DRAINING)
    actions = host.complete(request_id, 0, CallOutcome.REJECTED, 5.0) + host.advance(3000.0)
    assert not of_type(actions, StartAttempt)
    assert len(final_answers(actions)) == 1


def test_timeout_at_the_deadline_is_answered_at_once() -> None:
    host = ScriptedHost(make_endpoints(3))
    request_id, _ = host.request("charge", time_left_ms=800.0)
    host.now_ms += 800.0
    answers = final_answers(host.complete(request_id, 0, CallOutcome.TIMEOUT, 800.0))
    assert [type(answer) for answer in answers] == [Fail]


@pytest.mark.parametrize("class_name", ["read", "order", "bid", "charge", "unknown"])
@pytest.mark.parametrize(
    "outcome",
    [
        CallOutcome.REJECTED,
        CallOutcome.UNREACHABLE,
        CallOutcome.ERROR,
        CallOutcome.TIMEOUT,
        CallOutcome.RESET,
        CallOutcome.CANCELLED,
        CallOutcome.NOT_SENT,
    ],
)
def test_one_final_answer_whatever_the_outcomes(class_name: str, outcome: CallOutcome) -> None:
    host = ScriptedHost(make_endpoints(6))
    request_id, actions = host.request(class_name)
    attempts = 0
    answers = final_answers(actions)
    while not answers and attempts < 20:
        host.now_ms += 10.0
        actions = host.complete(request_id, attempts, outcome, 10.0)
        answers += final_answers(actions)
        attempts += 1
    assert len(answers) == 1
    assert attempts <= SETTINGS.max_attempts
    assert not final_answers(host.advance(5000.0))


def test_late_duplicate_and_unexpected_events_are_ignored() -> None:
    host = ScriptedHost(make_endpoints(3))
    request_id, _ = host.request()
    host.complete(request_id, 0, CallOutcome.OK)
    assert not final_answers(host.complete(request_id, 0, CallOutcome.ERROR))
    host.handle(ClientDisconnected(request_id))
    host.handle(ClientDisconnected("never-seen"))
    host.handle(AttemptCompleted("never-seen", 3, "nowhere", CallOutcome.OK, 1.0, True))
    host.handle(CounterReply(12345, 7.0, CallOutcome.OK))
    host.handle(TimerFired(999))
    host.handle(ResponseStarted("never-seen", 0))
    assert not final_answers([action for _, action in host.actions])


def test_unknown_plan_and_class_are_served_as_non_idempotent_without_quota() -> None:
    host = ScriptedHost(make_endpoints(3))
    actions = host.handle(Request("x", "no-such-class", "no-such-plan", "c", 1000.0))
    assert of_type(actions, StartAttempt)
    answers = final_answers(host.complete("x", 0, CallOutcome.TIMEOUT))
    assert [type(answer) for answer in answers] == [Fail]


def test_requests_beyond_the_pending_limit_are_rejected() -> None:
    host = ScriptedHost(make_endpoints(3), replace(SETTINGS, max_pending_requests=4))
    answers = [final_answers(host.request()[1]) for _ in range(6)]
    assert [len(answer) for answer in answers] == [0, 0, 0, 1, 1, 1]


# --- clients that disconnect ---------------------------------------------------------------------------


def test_rejected_attempt_of_a_disconnected_client_is_not_retried() -> None:
    host = ScriptedHost(make_endpoints(3))
    request_id, _ = host.request()
    host.handle(ClientDisconnected(request_id))
    actions = host.complete(request_id, 0, CallOutcome.REJECTED, request_completed=False)
    assert not of_type(actions, StartAttempt)


def test_failed_attempt_of_a_disconnected_client_is_not_retried() -> None:
    host = ScriptedHost(make_endpoints(4))
    request_id, actions = host.request()
    assert of_type(actions, StartAttempt)
    host.handle(ClientDisconnected(request_id))
    later = host.complete(request_id, 0, CallOutcome.ERROR) + host.advance(1000.0)
    assert not of_type(later, StartAttempt)


def test_queued_request_of_a_disconnected_client_is_not_sent() -> None:
    host = ScriptedHost(settings=SETTINGS)
    request_id, actions = host.request()
    assert not of_type(actions, StartAttempt)
    assert host.gateway.queued == [request_id]
    host.handle(ClientDisconnected(request_id))
    snapshot = EndpointUpdate(UpdateKind.SNAPSHOT, make_endpoints(4))
    actions = host.handle(snapshot) + host.advance(1000.0)
    assert not of_type(actions, StartAttempt)


def test_disconnect_before_the_counter_reply_refunds_the_request() -> None:
    host = ScriptedHost(make_endpoints(4), HUNDREDS_OF_GATEWAYS)
    (call,) = of_type(host.handle(Request("r", "read", "rate", "c", 3000.0, 2.0, 200)), IncrementCounter)
    assert not host.handle(ClientDisconnected("r"))
    actions = host.reply(call)
    refunds = [(refund.key, refund.amount) for refund in of_type(actions, IncrementCounter)]
    assert refunds == [(call.key, -call.amount)]
    assert not of_type(actions, StartAttempt)
    assert not host.gateway.abandoned


# --- the gateway as a whole ----------------------------------------------------------------------------


def test_state_transitions_are_logged_once() -> None:
    host = ScriptedHost(make_endpoints(1))
    host.handle(EndpointUpdate(UpdateKind.SNAPSHOT))
    host.advance(20_000.0)
    host.handle(EndpointUpdate(UpdateKind.SNAPSHOT, make_endpoints(1)))
    host.advance(20_000.0)
    logged = [action for _, action in host.actions if isinstance(action, LogEvent)]
    assert logged == [
        LogEvent("no_endpoints", (("state", "began"),)),
        LogEvent("no_endpoints", (("state", "ended"),)),
    ]


REPLAY_SCRIPT = """
from quota_gateway.policy_api.events import CallOutcome
from tests.policy.scripted_host import ScriptedHost, make_endpoints
host = ScriptedHost(make_endpoints(7, "abc"), seed=5)
host.warm_up(2.0)
for i in range(200):
    class_name = ("read", "order", "bid", "charge")[i % 4]
    plan = ("rate", "hard", "open")[i % 3]
    request_id, _ = host.request(class_name, plan, f"c{i % 9}")
    if request_id in host.attempts:
        outcomes = CallOutcome.OK, CallOutcome.REJECTED, CallOutcome.TIMEOUT, CallOutcome.ERROR
        host.complete(request_id, 0, outcomes[i % 4])
    host.reply_to_calls()
    host.advance(15.0)
print(host.actions)
"""


def test_same_events_and_seed_give_the_same_actions_in_any_process() -> None:
    actions = [
        subprocess.run(
            [sys.executable, "-c", REPLAY_SCRIPT],
            cwd=ROOT,
            env={"PYTHONHASHSEED": hash_seed, "PYTHONPATH": str(ROOT)},
            capture_output=True,
            text=True,
            check=True,
        ).stdout
        for hash_seed in ("0", "1", "12345")
    ]
    assert len(actions[0]) > 1000
    assert actions[0] == actions[1] == actions[2]
