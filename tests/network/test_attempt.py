"""Attempts over loopback sockets: outcomes, retries, cancellation, timeouts."""

from __future__ import annotations

import asyncio
import time

import pytest

from quota_gateway.network.server_connection import ServerConnection
from quota_gateway.network.server_pool import MIN_REUSE_DELAY_S
from quota_gateway.policy_api.actions import Action, CancelAttempt, Fail, SetTimer, StartAttempt
from quota_gateway.policy_api.events import (
    AttemptCompleted,
    CallOutcome,
    Event,
    Request,
    TimerFired,
)
from tests.network.gateway_fixture import ScriptedPolicy, forward_to, forwarding_policy, running_gateway
from tests.network.samples import CHARGE_FIELDS, CUSTOMER, OK_RESPONSE, READ_FIELDS
from tests.network.scenario import run_scenario, wait_until
from tests.network.scripted_peers import ReplyFunction, always_reply


def test_no_request_is_written_on_a_connection_established_after_the_drain_grace() -> None:
    async def scenario() -> None:
        script = forwarding_policy()
        async with running_gateway(always_reply(OK_RESPONSE), policy=script) as gateway:
            client = await gateway.connect_client()
            decide = script.decide
            pool = gateway.server_pools.pools["s0"]

            def end_grace() -> None:
                pool.write_deadline = time.monotonic() - 1.0

            def drain_and_decide(event: Event) -> list[Action]:
                if isinstance(event, Request):
                    pool.drain()  # starts the grace period; `end_grace` ends it before connecting is done
                    gateway.process.loop.call_soon(end_grace)
                return decide(event)

            script.decide = drain_and_decide
            client.send(b"CALL.GET", CUSTOMER, b"1", READ_FIELDS)
            assert str(await client.read_reply()) == "ERR failed"
            assert [e.outcome for e in script.events_of(AttemptCompleted)] == [CallOutcome.UNREACHABLE]
            assert gateway.servers[0].received_commands() == []

    run_scenario(scenario())


def test_no_request_is_written_after_the_drain_grace_in_a_long_iteration(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a check of the event loop's time, which stands still during an iteration."""

    async def scenario() -> None:
        script = forwarding_policy()
        async with running_gateway(always_reply(OK_RESPONSE), policy=script) as gateway:
            pool = gateway.server_pools.pools["s0"]
            make_connection = ServerConnection.connection_made

            def make_connection_and_hold_up(
                connection: ServerConnection, transport: asyncio.Transport
            ) -> None:
                make_connection(connection, transport)
                pool.drain()
                assert pool.write_deadline is not None
                while time.monotonic() <= pool.write_deadline:
                    pass

            client = await gateway.connect_client()
            with monkeypatch.context() as patch:
                patch.setattr(ServerConnection, "connection_made", make_connection_and_hold_up)
                assert str(await client.execute(b"CALL.GET", CUSTOMER, b"1", READ_FIELDS)) == "ERR failed"
            assert [e.outcome for e in script.events_of(AttemptCompleted)] == [CallOutcome.UNREACHABLE]
            assert gateway.servers[0].received_commands() == []

    run_scenario(scenario())


def test_a_request_with_too_little_time_uses_no_connection() -> None:
    """Guards against requests that can't be sent in time and cost the gateway its sound connections."""

    async def scenario() -> None:
        script = forwarding_policy()
        async with running_gateway(always_reply(OK_RESPONSE), policy=script) as gateway:
            client = await gateway.connect_client()
            assert await client.execute(b"CALL.GET", CUSTOMER, b"1", READ_FIELDS) == b"value"
            (connection,) = gateway.server_pools.pools["s0"].idle
            connection.idle_since -= 2 * MIN_REUSE_DELAY_S
            reply = await client.execute(b"CALL.GET", CUSTOMER, b"2", b"c=read,t=basic,d=11")
            assert str(reply) == "ERR failed"
            assert script.events_of(AttemptCompleted)[-1].outcome is CallOutcome.NOT_SENT
            assert gateway.server_pools.pools["s0"].idle == [connection]

    run_scenario(scenario())


def test_a_connection_that_is_established_too_late_is_kept(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        script = forwarding_policy()
        async with running_gateway(always_reply(OK_RESPONSE), policy=script) as gateway:
            make_connection = ServerConnection.connection_made

            def make_connection_too_late(connection: ServerConnection, transport: asyncio.Transport) -> None:
                make_connection(connection, transport)
                (attempt,) = gateway.bridge.attempts.values()
                attempt.deadline = gateway.process.loop.time()

            client = await gateway.connect_client()
            with monkeypatch.context() as patch:
                patch.setattr(ServerConnection, "connection_made", make_connection_too_late)
                assert str(await client.execute(b"CALL.GET", CUSTOMER, b"1", READ_FIELDS)) == "ERR failed"
            # NOT_SENT, not UNREACHABLE: the server has accepted the connection.
            assert [e.outcome for e in script.events_of(AttemptCompleted)] == [CallOutcome.NOT_SENT]
            assert len(gateway.server_pools.pools["s0"].idle) == 1
            assert gateway.servers[0].received_commands() == []

    run_scenario(scenario())


def test_a_request_is_not_written_after_its_write_limit(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a repeat that the decision allows in time and a slow connection writes too late."""

    async def scenario() -> None:
        limits_ms: list[float] = []

        def decide(event: Event) -> list[Action]:
            if isinstance(event, Request):
                limits_ms.append(gateway.bridge.clock.now_ms() + 20.0)
                return [StartAttempt(event.request_id, "s0", write_before_ms=limits_ms[0])]
            return forward_to("s0")(event)

        script = ScriptedPolicy(decide)
        async with running_gateway(always_reply(OK_RESPONSE), policy=script) as gateway:
            make_connection = ServerConnection.connection_made

            def hold_up_and_make_connection(
                connection: ServerConnection, transport: asyncio.Transport
            ) -> None:
                while gateway.bridge.clock.now_ms() <= limits_ms[0]:
                    pass
                make_connection(connection, transport)

            client = await gateway.connect_client()
            with monkeypatch.context() as patch:
                patch.setattr(ServerConnection, "connection_made", hold_up_and_make_connection)
                assert str(await client.execute(b"CALL.GET", CUSTOMER, b"1", READ_FIELDS)) == "ERR failed"
            assert [e.outcome for e in script.events_of(AttemptCompleted)] == [CallOutcome.NOT_SENT]
            assert gateway.servers[0].received_commands() == []
            assert len(gateway.server_pools.pools["s0"].idle) == 1

    run_scenario(scenario())


def test_a_timeout_closes_connections_idle_since_before_the_attempt() -> None:
    """A host that vanished resets its old connections once it is back, and the requests on them."""

    async def scenario() -> None:
        async def reply(words: list[bytes], writer: asyncio.StreamWriter) -> bytes | None:
            return None if words[2] == b"silent" else OK_RESPONSE

        def decide(event: Event) -> list[Action]:
            short_timeout = isinstance(event, Request) and len(script.events_of(Request)) == 3
            return forward_to("s0", 300.0 if short_timeout else 0.0)(event)

        script = ScriptedPolicy(decide)
        async with running_gateway(reply, policy=script) as gateway:
            client = await gateway.connect_client()
            client.send(b"CALL.GET", CUSTOMER, b"1", READ_FIELDS)
            client.send(b"CALL.GET", CUSTOMER, b"2", READ_FIELDS)
            assert [await client.read_reply(), await client.read_reply()] == [b"value", b"value"]
            pool = gateway.server_pools.pools["s0"]
            for connection in pool.idle:
                connection.idle_since -= 1.0  # last used before the attempt
            assert len(pool.idle) == 2
            gateway.server_pools.expiry_timer.cancel()  # keeps the periodic expiry from closing them
            assert str(await client.execute(b"CALL.GET", CUSTOMER, b"silent", READ_FIELDS)) == "ERR failed"
            assert script.events_of(AttemptCompleted)[-1].outcome is CallOutcome.TIMEOUT
            await wait_until(lambda: not gateway.server_pools.connections)

    run_scenario(scenario())


async def close_connection(words: list[bytes], writer: asyncio.StreamWriter) -> bytes | None:
    writer.close()
    return None


RESPONSES: list[tuple[ReplyFunction, CallOutcome]] = [
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
    # Announces 50 bytes and sends fewer, on a connection that stays open.
    (always_reply(b"*3\r\n$50\r\nvalue\r\n$-1\r\n$-1\r\n"), CallOutcome.ERROR),
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
    (close_connection, CallOutcome.RESET),
    (always_reply(None), CallOutcome.TIMEOUT),
]


@pytest.mark.parametrize(("reply", "outcome"), RESPONSES)
def test_each_response_completes_the_attempt_once(reply: ReplyFunction, outcome: CallOutcome) -> None:
    async def scenario() -> None:
        # Only the case of the silent server sets a timeout, so that a slow machine can't time out any other.
        script = ScriptedPolicy(forward_to("s0", 200.0 if outcome is CallOutcome.TIMEOUT else 0.0))
        async with running_gateway(reply, policy=script) as gateway:
            client = await gateway.connect_client()
            answer = await client.execute(b"CALL.GET", CUSTOMER, b"1", READ_FIELDS)
            completed = script.events_of(AttemptCompleted)
            assert [event.outcome for event in completed] == [outcome]
            assert completed[0].request_completed is (outcome is CallOutcome.OK)
            assert isinstance(answer, bytes) is (outcome is CallOutcome.OK)
            assert completed[0].duration_ms >= 0.0

    run_scenario(scenario())


def test_a_refused_connection_is_unreachable() -> None:
    async def scenario() -> None:
        script = forwarding_policy()
        async with running_gateway(always_reply(OK_RESPONSE), policy=script) as gateway:
            await gateway.servers[0].stop()
            client = await gateway.connect_client()
            assert str(await client.execute(b"CALL.GET", CUSTOMER, b"1", READ_FIELDS)) == "ERR failed"
            assert [event.outcome for event in script.events_of(AttemptCompleted)] == [
                CallOutcome.UNREACHABLE
            ]

    run_scenario(scenario())


def test_a_retry_starts_only_after_the_connection_of_the_first_attempt_is_closed() -> None:
    """Two attempts of one request must never be in flight together."""

    async def scenario() -> None:
        completions: list[str] = []

        def decide(event: Event) -> list[Action]:
            if isinstance(event, Request):
                return [StartAttempt(event.request_id, "s0", 100.0)]
            if isinstance(event, AttemptCompleted) and not event.request_completed:
                open_connections = gateway.server_pools.connections
                completions.append(f"{event.outcome.value} with {len(open_connections)} open")
                return [StartAttempt(event.request_id, "s1", 0.0)]
            return []

        async with running_gateway(
            always_reply(None), always_reply(OK_RESPONSE), policy=ScriptedPolicy(decide)
        ) as gateway:
            client = await gateway.connect_client()
            assert await client.execute(b"CALL.GET", CUSTOMER, b"1", READ_FIELDS) == b"value"
            assert completions == ["timeout with 0 open"]
            await wait_until(lambda: ("closed", 1, []) in gateway.servers[0].log)

    run_scenario(scenario())


def test_a_cancelled_attempt_closes_its_connection_and_completes_once() -> None:
    async def scenario() -> None:
        def decide(event: Event) -> list[Action]:
            if isinstance(event, Request):
                return [StartAttempt(event.request_id, "s0"), SetTimer(5, 0.0)]
            if isinstance(event, TimerFired):
                received = gateway.servers[0].received_commands()
                return [CancelAttempt("1", 0)] if received else [SetTimer(5, 0.0)]
            return [Fail(event.request_id)] if isinstance(event, AttemptCompleted) else []

        script = ScriptedPolicy(decide)
        async with running_gateway(always_reply(None), policy=script) as gateway:
            client = await gateway.connect_client()
            assert str(await client.execute(b"CALL.POST", CUSTOMER, b"1", CHARGE_FIELDS)) == "ERR failed"
            assert [event.outcome for event in script.events_of(AttemptCompleted)] == [CallOutcome.CANCELLED]
            await wait_until(lambda: ("closed", 1, []) in gateway.servers[0].log)

    run_scenario(scenario())
