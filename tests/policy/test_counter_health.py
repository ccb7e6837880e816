"""How often the counter is called while it fails, rejects calls or does not reply."""

from __future__ import annotations

from quota_gateway.policy_api.actions import IncrementCounter, StartAttempt
from quota_gateway.policy_api.events import CallOutcome
from tests.policy.scripted_host import ScriptedHost, make_endpoints, of_type
from tests.policy.traffic import HUNDREDS


def test_unavailable_counter_is_probed_and_recovers() -> None:
    host = ScriptedHost(make_endpoints(4))
    host.counter.outcome = CallOutcome.TIMEOUT
    for _ in range(100):
        host.request(plan="rate")
        host.reply_to_calls()
        host.advance(25.0)
    assert not host.gateway.counter_sync.health.available
    before = len(host.actions)
    for _ in range(100):
        host.request(plan="rate")
        host.reply_to_calls()
        host.advance(25.0)
    assert len([action for _, action in host.actions[before:] if isinstance(action, IncrementCounter)]) <= 6
    host.counter.outcome = CallOutcome.OK
    host.advance(600.0)
    host.request(plan="rate")
    host.reply_to_calls()
    assert host.gateway.counter_sync.health.available


def test_calls_decrease_while_they_are_rejected() -> None:
    def calls(outcome: CallOutcome) -> int:
        host = ScriptedHost(make_endpoints(4))
        for i in range(400):
            host.counter.outcome = outcome if i % 3 else CallOutcome.OK
            host.request(plan="rate", customer=f"c{i % 20}")
            host.reply_to_calls()
            host.advance(20.0)
        return len([action for _, action in host.actions if isinstance(action, IncrementCounter)])

    assert calls(CallOutcome.REJECTED) < 0.5 * calls(CallOutcome.OK)


def test_share_of_waiting_requests_falls_with_rejected_calls_and_recovers() -> None:
    host = ScriptedHost(make_endpoints(4), HUNDREDS)

    def waiting_requests(count: int, calls_rejected: bool = False) -> int:
        waiting = 0
        for i in range(count):
            host.counter.outcome = CallOutcome.REJECTED if calls_rejected and i % 2 else CallOutcome.OK
            request_id, actions = host.request(plan="rate", customer=f"{host.request_count}", gateways=200)
            waiting += bool(of_type(actions, IncrementCounter))
            if of_type(actions, StartAttempt):
                host.complete(request_id, 0, CallOutcome.OK)
            host.reply_to_calls()
            host.advance(5.0)
        return waiting

    most = waiting_requests(50)
    waiting_requests(40, calls_rejected=True)
    least = waiting_requests(50)
    waiting_requests(400)
    assert most == 50
    assert least < 0.7 * most
    assert waiting_requests(50) > 0.8 * most
