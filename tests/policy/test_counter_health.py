"""Rate of counter calls while the counter rejects calls or does not reply."""

from __future__ import annotations

from quota_gateway.policy_api.actions import IncrementCounter, StartAttempt
from quota_gateway.policy_api.events import CallOutcome
from tests.policy.scripted_host import ScriptedHost, make_endpoints, of_type
from tests.policy.traffic import HUNDREDS_OF_GATEWAYS


def test_unavailable_counter_is_probed_and_recovers() -> None:
    host = ScriptedHost(make_endpoints(4))
    host.counter.outcome = CallOutcome.TIMEOUT
    for _ in range(100):
        host.request(plan="rate")
        host.reply_to_calls()
        host.advance(25.0)
    assert not host.gateway.counter_sync.health.available
    actions_before = len(host.actions)
    for _ in range(100):
        host.request(plan="rate")
        host.reply_to_calls()
        host.advance(25.0)
    probes = of_type([action for _, action in host.actions[actions_before:]], IncrementCounter)
    assert len(probes) <= 6
    host.counter.outcome = CallOutcome.OK
    host.advance(600.0)
    host.request(plan="rate")
    host.reply_to_calls()
    assert host.gateway.counter_sync.health.available


def test_calls_decrease_while_they_are_rejected() -> None:
    def count_calls(outcome: CallOutcome) -> int:
        host = ScriptedHost(make_endpoints(4))
        for i in range(400):
            host.counter.outcome = outcome if i % 3 else CallOutcome.OK
            host.request(plan="rate", customer=f"c{i % 20}")
            host.reply_to_calls()
            host.advance(20.0)
        return len(of_type([action for _, action in host.actions], IncrementCounter))

    assert count_calls(CallOutcome.REJECTED) < 0.5 * count_calls(CallOutcome.OK)


def test_share_of_waiting_requests_falls_with_rejected_calls_and_recovers() -> None:
    host = ScriptedHost(make_endpoints(4), HUNDREDS_OF_GATEWAYS)

    def count_waiting(requests: int, calls_rejected: bool = False) -> int:
        waiting = 0
        for i in range(requests):
            host.counter.outcome = CallOutcome.REJECTED if calls_rejected and i % 2 else CallOutcome.OK
            request_id, actions = host.request(plan="rate", customer=f"{host.request_count}", gateways=200)
            waiting += bool(of_type(actions, IncrementCounter))
            if of_type(actions, StartAttempt):
                host.complete(request_id, 0, CallOutcome.OK)
            host.reply_to_calls()
            host.advance(5.0)
        return waiting

    waiting_before = count_waiting(50)
    count_waiting(40, calls_rejected=True)
    waiting_after_rejections = count_waiting(50)
    count_waiting(400)
    assert waiting_before == 50
    assert waiting_after_rejections < 0.7 * waiting_before
    assert count_waiting(50) > 0.8 * waiting_before
