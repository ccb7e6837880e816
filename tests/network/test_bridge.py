"""The bridge between sockets and policy over loopback sockets: forwarding, deadlines, failures, timers."""

from __future__ import annotations

import pytest

from quota_gateway.network.clock import Clock
from quota_gateway.policy_api.actions import Action, Reject, SetTimer, StartAttempt
from quota_gateway.policy_api.endpoints import EndpointUpdate
from quota_gateway.policy_api.events import (
    AttemptCompleted,
    CallOutcome,
    ClientDisconnected,
    Event,
    Request,
    TimerFired,
)
from tests.network.gateway_fixture import ScriptedPolicy, forward_to, running_gateway
from tests.network.samples import CHARGE_FIELDS, CUSTOMER, OK_RESPONSE, ORDER_FIELDS, READ_FIELDS
from tests.network.scenario import run_scenario, wait_until
from tests.network.scripted_peers import always_reply


def test_a_request_is_forwarded_unchanged_but_for_the_time_left() -> None:
    async def scenario() -> None:
        async with running_gateway(always_reply(OK_RESPONSE)) as gateway:
            client = await gateway.connect_client()
            assert await client.execute(b"PING") == b"PONG"
            reply = await client.execute(b"CALL.POST", CUSTOMER, b"id-1", ORDER_FIELDS, b"body\r\n*1")
            assert reply == b"value"
            verb, customer, request_id, fields, body = gateway.servers[0].received_commands()[0]
            assert (verb, customer, request_id, body) == (b"CALL.POST", CUSTOMER, b"id-1", b"body\r\n*1")
            before, _, rest = fields.partition(b"d=")
            time_left_ms, _, after = rest.partition(b",")
            assert (before, after) == (b"c=order,t=basic,", b"k=5c0f6e1a2b3d4c59")
            assert 0 < int(time_left_ms) < 20000

    run_scenario(scenario())


def test_a_request_has_one_attempt_in_flight_at_a_time() -> None:
    async def scenario() -> None:
        def decide(event: Event) -> list[Action]:
            if isinstance(event, Request):
                return [StartAttempt(event.request_id, "s0"), StartAttempt(event.request_id, "s1")]
            return []

        script = ScriptedPolicy(decide)
        async with running_gateway(always_reply(None), always_reply(OK_RESPONSE), policy=script) as gateway:
            client = await gateway.connect_client()
            client.send(b"CALL.GET", CUSTOMER, b"1", READ_FIELDS)
            await wait_until(lambda: script.events_of(AttemptCompleted))
            assert [(e.attempt, e.outcome) for e in script.events_of(AttemptCompleted)] == [
                (1, CallOutcome.NOT_SENT)
            ]
            assert gateway.servers[1].received_commands() == []

    run_scenario(scenario())


def test_a_rejection_of_a_request_that_may_have_run_becomes_a_failure() -> None:
    """BUSY promises that no attempt has run. The bridge keeps that promise whatever the policy decides."""

    async def scenario() -> None:
        def decide(event: Event) -> list[Action]:
            if isinstance(event, Request):
                return [StartAttempt(event.request_id, "s0")]
            return [Reject(event.request_id, 7.0)] if isinstance(event, AttemptCompleted) else []

        for reply, answer in ((b"-ERR failed\r\n", "ERR failed"), (b"-BUSY\r\n", "BUSY 7")):
            async with running_gateway(always_reply(reply), policy=ScriptedPolicy(decide)) as gateway:
                client = await gateway.connect_client()
                assert str(await client.execute(b"CALL.POST", CUSTOMER, b"1", CHARGE_FIELDS)) == answer

    run_scenario(scenario())


@pytest.mark.parametrize(("sent", "answer"), [(False, "BUSY"), (True, "ERR failed")])
def test_a_request_without_a_policy_answer_is_answered_at_its_deadline(sent: bool, answer: str) -> None:
    async def scenario() -> None:
        def decide(event: Event) -> list[Action]:
            return [StartAttempt(event.request_id, "s0")] if sent and isinstance(event, Request) else []

        script = ScriptedPolicy(decide)
        async with running_gateway(always_reply(None), policy=script) as gateway:
            client = await gateway.connect_client()
            fields = CHARGE_FIELDS.replace(b"d=20000", b"d=300")
            assert str(await client.execute(b"CALL.POST", CUSTOMER, b"1", fields)) == answer
            assert script.events_of(ClientDisconnected) == [ClientDisconnected("1")]
            assert [e.outcome for e in script.events_of(AttemptCompleted)] == (
                [CallOutcome.TIMEOUT] if sent else []
            )

    run_scenario(scenario())


def test_a_failing_policy_costs_no_request_its_answer() -> None:
    async def scenario() -> None:
        def decide(event: Event) -> list[Action]:
            if isinstance(event, Request) and event.class_name == "read":
                raise RuntimeError("a defect")
            return forward_to("s0")(event)

        async with running_gateway(always_reply(OK_RESPONSE), policy=ScriptedPolicy(decide)) as gateway:
            client = await gateway.connect_client()
            assert str(await client.execute(b"CALL.GET", CUSTOMER, b"1", READ_FIELDS)) == "BUSY"
            assert await client.execute(b"CALL.POST", CUSTOMER, b"2", CHARGE_FIELDS) == b"value"

    run_scenario(scenario())


def test_a_failure_of_the_policy_or_of_an_action_is_logged_as_an_event(
    caplog: pytest.LogCaptureFixture, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario() -> None:
        def decide(event: Event) -> list[Action]:
            if isinstance(event, Request) and event.class_name == "read":
                raise RuntimeError("a defect")
            return forward_to("s0")(event)

        async with running_gateway(always_reply(OK_RESPONSE), policy=ScriptedPolicy(decide)) as gateway:
            client = await gateway.connect_client()
            monkeypatch.setattr(gateway.server_pools, "writable_pool", None)
            assert str(await client.execute(b"CALL.POST", CUSTOMER, b"1", CHARGE_FIELDS)) == "BUSY"
            assert str(await client.execute(b"CALL.GET", CUSTOMER, b"2", READ_FIELDS)) == "BUSY"

    run_scenario(scenario())
    failures = [record for record in caplog.records if record.name == "quota_gateway" and record.exc_info]
    logged = [record.getMessage() for record in failures]
    assert logged == ["event=action_failed action=StartAttempt", "event=policy_failed policy_event=Request"]


def test_timers_fire_at_their_time_or_after() -> None:
    async def scenario() -> None:
        fired: list[float] = []

        def decide(event: Event) -> list[Action]:
            if isinstance(event, EndpointUpdate) and not script.events_of(EndpointUpdate)[1:]:
                return [SetTimer(3, clock.now_ms() + 5.0)]
            if isinstance(event, TimerFired):
                fired.append(clock.now_ms())
            return []

        clock = Clock()
        script = ScriptedPolicy(decide)
        start = clock.now_ms()
        async with running_gateway(policy=script):
            await wait_until(lambda: fired)
            assert fired[0] >= start + 5.0
            assert script.events_of(TimerFired) == [TimerFired(3)]

    run_scenario(scenario())
