"""Requests whose client has left: nothing is forwarded for them any more."""

from __future__ import annotations

from quota_gateway.policy_api.actions import IncrementCounter, StartAttempt
from quota_gateway.policy_api.endpoints import EndpointUpdate, UpdateKind
from quota_gateway.policy_api.events import CallOutcome, ClientDisconnected, Request
from tests.policy.scripted_gateway import SETTINGS, Rig, entries, only, with_


def test_a_request_whose_client_left_before_its_word_comes_off_the_count_and_is_not_sent() -> None:
    rig = Rig(entries(4), with_(SETTINGS, gateway_count=300))
    (call,) = only(rig.feed(Request("r", "read", "rate", "c", 3000.0, 2.0, 200)), IncrementCounter)
    assert not rig.feed(ClientDisconnected("r"))
    actions = rig.answer(call)
    assert [(a.key, a.amount) for a in only(actions, IncrementCounter)] == [(call.key, -call.amount)]
    assert not only(actions, StartAttempt)
    assert not rig.gateway.refunds


def test_a_held_request_whose_client_left_is_not_sent_when_a_server_comes_up() -> None:
    rig = Rig(settings=SETTINGS)
    name, actions = rig.ask()
    assert not only(actions, StartAttempt)
    assert rig.gateway.queued == [name]
    rig.feed(ClientDisconnected(name))
    actions = rig.feed(EndpointUpdate(UpdateKind.SNAPSHOT, entries(4))) + rig.advance(1000.0)
    assert not only(actions, StartAttempt)


def test_no_further_attempt_is_made_for_a_client_that_left() -> None:
    rig = Rig(entries(4))
    name, actions = rig.ask()
    assert only(actions, StartAttempt)
    rig.feed(ClientDisconnected(name))
    assert not only(rig.end(name, 0, CallOutcome.ERROR) + rig.advance(1000.0), StartAttempt)
