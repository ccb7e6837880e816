"""The life of a request over loopback sockets: endings, deadlines, order, answers, faults."""

from __future__ import annotations

import asyncio
import time

import pytest

from quota_gateway.network.bridge import Clock, report
from quota_gateway.policy_api.actions import Action, CancelAttempt, Fail, Reject, SetTimer, StartAttempt
from quota_gateway.policy_api.endpoints import EndpointUpdate
from quota_gateway.policy_api.events import (
    AttemptCompleted,
    CallOutcome,
    ClientDisconnected,
    Event,
    Request,
    TimerFired,
)
from tests.network.harness import (
    CHARGE_FIELDS,
    CUSTOMER,
    OK_RESPONSE,
    ORDER_FIELDS,
    READ_FIELDS,
    Reply,
    ScriptedPolicy,
    always_reply,
    forward_to,
    run_scenario,
    running_gateway,
    wait_until,
)


def test_a_request_is_served_and_goes_on_unchanged_but_for_the_time_left() -> None:
    async def scenario() -> None:
        async with running_gateway(always_reply(OK_RESPONSE)) as one:
            client = await one.connect_client()
            assert await client.execute(b"PING") == b"PONG"
            assert (
                await client.execute(b"CALL.POST", CUSTOMER, b"id-1", ORDER_FIELDS, b"body\r\n*1") == b"value"
            )
            verb, customer, name, fields, body = one.servers[0].received_commands()[0]
            assert (verb, customer, name, body) == (b"CALL.POST", CUSTOMER, b"id-1", b"body\r\n*1")
            before, _, rest = fields.partition(b"d=")
            left, _, after = rest.partition(b",")
            assert (before, after) == (b"c=order,t=basic,", b"k=5c0f6e1a2b3d4c59")
            assert 0 < int(left) < 20000

    run_scenario(scenario())


async def hang_up(words: list[bytes], writer: asyncio.StreamWriter) -> bytes | None:
    writer.close()
    return None


ENDINGS: list[tuple[Reply, CallOutcome]] = [
    (always_reply(OK_RESPONSE), CallOutcome.OK),
    (always_reply(b"*3\r\n$0\r\n\r\n*-1\r\n$-1\r\n"), CallOutcome.OK),
    (always_reply(b"*3\r\n$1\r\nv\r\n*1\r\n:7\r\n:5\r\n"), CallOutcome.OK),
    (always_reply(OK_RESPONSE + b"noise"), CallOutcome.OK),
    (always_reply(b"*1\r\n$0\r\n\r\n"), CallOutcome.ERROR),
    (always_reply(b"*4\r\n$1\r\nv\r\n$-1\r\n$-1\r\n$-1\r\n"), CallOutcome.ERROR),
    (always_reply(b"*3\r\n$3\r\nvalue\r\n$-1\r\n$-1\r\n"), CallOutcome.ERROR),
    (always_reply(b"*3\r\n$3\r\nvalXY$-1\r\n$-1\r\n"), CallOutcome.ERROR),
    (always_reply(b"*3\r\n+value\r\n$-1\r\n$-1\r\n"), CallOutcome.ERROR),
    (always_reply(b"*3\r\n$3000000000\r\n" + b"x" * 500), CallOutcome.ERROR),
    (always_reply(b"*3\r\n$50\r\nvalue\r\n$-1\r\n$-1\r\n"), CallOutcome.ERROR),  # and nothing more comes
    (always_reply(b"*3\r\n*999999999\r\n"), CallOutcome.ERROR),
    (always_reply(b"-BUSY or not\r\n"), CallOutcome.ERROR),
    (always_reply(b"-BUSY\r\nnoise"), CallOutcome.ERROR),
    (always_reply(b"-BUSY queue=3,inflight=9\r\n"), CallOutcome.REJECTED),
    (always_reply(b"-ERR failed queue=3,inflight=9\r\n"), CallOutcome.ERROR),
    (always_reply(b"-SYNTAX no\r\n"), CallOutcome.ERROR),
    (always_reply(b"-BUSY\r\n"), CallOutcome.REJECTED),
    (always_reply(b"*3\r\n$-1\r\n*-1\r\n$-1\r\n"), CallOutcome.ERROR),
    (always_reply(b"$5\r\nvalue\r\n"), CallOutcome.ERROR),
    (always_reply(b"what is this?\r\n"), CallOutcome.ERROR),
    (hang_up, CallOutcome.RESET),
    (always_reply(None), CallOutcome.TIMEOUT),
]


@pytest.mark.parametrize(("reply", "ending"), ENDINGS)
def test_each_ending_is_told_once_as_the_protocol_reads_it(reply: Reply, ending: CallOutcome) -> None:
    async def scenario() -> None:
        # The time-out is long enough not to cut in where an answer comes, on any machine.
        script = ScriptedPolicy(forward_to("s0", 200.0 if ending is CallOutcome.TIMEOUT else 0.0))
        async with running_gateway(reply, policy=script) as one:
            client = await one.connect_client()
            answer = await client.execute(b"CALL.GET", CUSTOMER, b"1", READ_FIELDS)
            ended = script.events_of(AttemptCompleted)
            assert [event.outcome for event in ended] == [ending]
            assert ended[0].request_completed is (ending is CallOutcome.OK)
            assert isinstance(answer, bytes) is (ending is CallOutcome.OK)
            assert ended[0].duration_ms >= 0.0

    run_scenario(scenario())


def test_a_refused_connection_did_not_run() -> None:
    async def scenario() -> None:
        script = ScriptedPolicy(forward_to("s0"))
        async with running_gateway(always_reply(OK_RESPONSE), policy=script) as one:
            await one.servers[0].stop()
            client = await one.connect_client()
            assert str(await client.execute(b"CALL.GET", CUSTOMER, b"1", READ_FIELDS)) == "ERR failed"
            assert [event.outcome for event in script.events_of(AttemptCompleted)] == [
                CallOutcome.UNREACHABLE
            ]

    run_scenario(scenario())


def test_a_second_attempt_goes_only_once_the_first_is_closed() -> None:
    """Two copies of a request must never be out together: the time-out is told after the closing."""

    async def scenario() -> None:
        seen: list[str] = []

        def decide(event: Event) -> list[Action]:
            if isinstance(event, Request):
                return [StartAttempt(event.request_id, "s0", 100.0)]
            if isinstance(event, AttemptCompleted) and not event.request_completed:
                first = one.program.servers.pools["s0"].open
                seen.append(f"{event.outcome.value} with {len(first)} open")
                return [StartAttempt(event.request_id, "s1", 0.0)]
            return []

        async with running_gateway(
            always_reply(None), always_reply(OK_RESPONSE), policy=ScriptedPolicy(decide)
        ) as one:
            client = await one.connect_client()
            assert await client.execute(b"CALL.GET", CUSTOMER, b"1", READ_FIELDS) == b"value"
            assert seen == ["timeout with 0 open"]
            await wait_until(lambda: ("closed", 1, []) in one.servers[0].log)

    run_scenario(scenario())


def test_a_cancel_closes_the_connection_and_is_told_once() -> None:
    async def scenario() -> None:
        def decide(event: Event) -> list[Action]:
            if isinstance(event, Request):
                return [StartAttempt(event.request_id, "s0"), SetTimer(5, 0.0)]
            if isinstance(event, TimerFired):
                return [CancelAttempt("1", 0)] if one.servers[0].received_commands() else [SetTimer(5, 0.0)]
            return [Fail(event.request_id)] if isinstance(event, AttemptCompleted) else []

        script = ScriptedPolicy(decide)
        async with running_gateway(always_reply(None), policy=script) as one:
            client = await one.connect_client()
            assert str(await client.execute(b"CALL.POST", CUSTOMER, b"1", CHARGE_FIELDS)) == "ERR failed"
            assert [event.outcome for event in script.events_of(AttemptCompleted)] == [CallOutcome.CANCELLED]
            await wait_until(lambda: ("closed", 1, []) in one.servers[0].log)

    run_scenario(scenario())


def test_two_attempts_at_once_are_not_made() -> None:
    async def scenario() -> None:
        def decide(event: Event) -> list[Action]:
            if isinstance(event, Request):
                return [StartAttempt(event.request_id, "s0"), StartAttempt(event.request_id, "s1")]
            return []

        script = ScriptedPolicy(decide)
        async with running_gateway(always_reply(None), always_reply(OK_RESPONSE), policy=script) as one:
            client = await one.connect_client()
            client.send(b"CALL.GET", CUSTOMER, b"1", READ_FIELDS)
            await wait_until(lambda: script.events_of(AttemptCompleted))
            assert [(e.attempt, e.outcome) for e in script.events_of(AttemptCompleted)] == [
                (1, CallOutcome.NOT_SENT)
            ]
            assert one.servers[1].received_commands() == []

    run_scenario(scenario())


def test_a_refusal_of_what_may_have_run_becomes_a_failure() -> None:
    """-BUSY promises that no try ran, whatever the module says."""

    async def scenario() -> None:
        def decide(event: Event) -> list[Action]:
            if isinstance(event, Request):
                return [StartAttempt(event.request_id, "s0")]
            return [Reject(event.request_id, 7.0)] if isinstance(event, AttemptCompleted) else []

        for reply, answer in ((b"-ERR failed\r\n", "ERR failed"), (b"-BUSY\r\n", "BUSY 7")):
            async with running_gateway(always_reply(reply), policy=ScriptedPolicy(decide)) as one:
                client = await one.connect_client()
                assert str(await client.execute(b"CALL.POST", CUSTOMER, b"1", CHARGE_FIELDS)) == answer

    run_scenario(scenario())


@pytest.mark.parametrize(("sent", "answer"), [(False, "BUSY"), (True, "ERR failed")])
def test_a_request_that_the_module_forgets_is_answered_at_its_deadline(sent: bool, answer: str) -> None:
    async def scenario() -> None:
        def decide(event: Event) -> list[Action]:
            return [StartAttempt(event.request_id, "s0")] if sent and isinstance(event, Request) else []

        script = ScriptedPolicy(decide)
        async with running_gateway(always_reply(None), policy=script) as one:
            client = await one.connect_client()
            fields = CHARGE_FIELDS.replace(b"d=20000", b"d=300")
            assert str(await client.execute(b"CALL.POST", CUSTOMER, b"1", fields)) == answer
            assert script.events_of(ClientDisconnected) == [ClientDisconnected("1")]
            assert [e.outcome for e in script.events_of(AttemptCompleted)] == (
                [CallOutcome.TIMEOUT] if sent else []
            )

    run_scenario(scenario())


def test_a_fault_in_the_decisions_costs_nobody_the_answer() -> None:
    async def scenario() -> None:
        def decide(event: Event) -> list[Action]:
            if isinstance(event, Request) and event.class_name == "read":
                raise RuntimeError("a fault")
            return forward_to("s0")(event)

        script = ScriptedPolicy(decide)

        def handle(now_ms: float, event: Event) -> list[Action]:
            script.events.append(event)
            return decide(event)

        script.handle = handle  # type: ignore[method-assign]
        async with running_gateway(always_reply(OK_RESPONSE), policy=script) as one:
            client = await one.connect_client()
            assert str(await client.execute(b"CALL.GET", CUSTOMER, b"1", READ_FIELDS)) == "BUSY"
            assert await client.execute(b"CALL.POST", CUSTOMER, b"2", CHARGE_FIELDS) == b"value"

    run_scenario(scenario())


def test_replies_come_in_the_order_of_the_commands() -> None:
    async def scenario() -> None:
        release = asyncio.Event()

        async def reply(words: list[bytes], writer: asyncio.StreamWriter) -> bytes:
            if words[2] == b"1":
                await release.wait()
            return b"*3\r\n$1\r\n%b\r\n*-1\r\n$-1\r\n" % words[2]

        script = ScriptedPolicy(forward_to("s0"))
        async with running_gateway(reply, policy=script) as one:
            client = await one.connect_client()
            for name in (b"1", b"2", b"3"):
                client.send(b"CALL.GET", CUSTOMER, name, READ_FIELDS)
            client.send(b"PING")
            await wait_until(lambda: len(script.events_of(AttemptCompleted)) == 2)
            release.set()
            assert [await client.read_reply() for _ in range(4)] == [b"1", b"2", b"3", b"PONG"]

    run_scenario(scenario())


def test_a_client_that_leaves_is_told_to_the_module() -> None:
    async def scenario() -> None:
        script = ScriptedPolicy(forward_to("s0"))
        async with running_gateway(always_reply(None), policy=script) as one:
            client = await one.connect_client()
            client.send(b"CALL.GET", CUSTOMER, b"1", READ_FIELDS)
            await wait_until(lambda: one.servers[0].received_commands())
            client.writer.close()
            await wait_until(lambda: script.events_of(ClientDisconnected))
            assert one.program.gateway.live == {}

    run_scenario(scenario())


def test_timers_fire_at_their_time_or_after() -> None:
    async def scenario() -> None:
        fired: list[float] = []

        def decide(event: Event) -> list[Action]:
            if isinstance(event, EndpointUpdate) and not script.events_of(EndpointUpdate)[1:]:
                return [SetTimer(3, one_clock.now() + 5.0)]
            if isinstance(event, TimerFired):
                fired.append(one_clock.now())
            return []

        one_clock, script = Clock(), ScriptedPolicy(decide)
        start = one_clock.now()
        async with running_gateway(policy=script):
            await wait_until(lambda: fired)
            assert fired[0] >= start + 5.0
            assert script.events_of(TimerFired) == [TimerFired(3)]

    run_scenario(scenario())


def test_the_clock_is_unix_time_and_never_goes_back() -> None:
    clock = Clock()
    assert abs(clock.now() - time.time() * 1000.0) < 60_000.0
    times = [clock.now() for _ in range(1000)]
    assert times == sorted(times)


def test_load_reports_are_read_by_name() -> None:
    assert report(b"inflight=7,queue=2,util=0.61") == (2.0, 7.0)
    assert report(b"waiting=1,active=4") == (1.0, 4.0)
    assert report(b"queue=x,inflight,=,active=3") == (None, 3.0)
    assert report(None) == (None, None)
