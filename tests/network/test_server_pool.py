"""Connection pools of the servers over loopback sockets."""

from __future__ import annotations

import asyncio
from dataclasses import replace

import pytest

from quota_gateway.network import server_pool as servers_module
from quota_gateway.policy_api.actions import Action
from quota_gateway.policy_api.events import AttemptCompleted, CallOutcome, Event, Request
from tests.network.harness import (
    CUSTOMER,
    OK_RESPONSE,
    READ_FIELDS,
    FakeDiscovery,
    ScriptedPolicy,
    always_reply,
    endpoint_list_response,
    forward_to,
    run_scenario,
    running_gateway,
    server_row,
    wait_until,
)


def test_the_most_recently_used_connection_is_reused() -> None:
    async def scenario() -> None:
        async with running_gateway(always_reply(OK_RESPONSE), policy=ScriptedPolicy(forward_to("s0"))) as one:
            client = await one.connect_client()
            client.send(b"CALL.GET", CUSTOMER, b"1", READ_FIELDS)
            client.send(b"CALL.GET", CUSTOMER, b"2", READ_FIELDS)
            assert [await client.read_reply(), await client.read_reply()] == [b"value", b"value"]
            pool = one.program.servers.pools["s0"]
            assert len(pool.idle) == 2
            last = pool.idle[-1]
            for conn in pool.idle:
                conn.idle_since -= 2 * servers_module.SETTLE_S
            assert await client.execute(b"CALL.GET", CUSTOMER, b"3", READ_FIELDS) == b"value"
            assert pool.idle[-1] is last
            assert len(one.servers[0].writers) == 2

    run_scenario(scenario())


def test_a_copy_of_an_answer_that_comes_later_serves_nobody(monkeypatch: pytest.MonkeyPatch) -> None:
    """It comes in a segment of its own, when the connection has been given back already."""

    async def scenario() -> None:
        async def twice(words: list[bytes], writer: asyncio.StreamWriter) -> bytes | None:
            value = words[2].rjust(4, b"0")
            answer = b"*3\r\n$4\r\n%b\r\n$-1\r\n$-1\r\n" % value
            writer.write(answer)
            await asyncio.sleep(0.005)
            return answer

        async with running_gateway(twice, policy=ScriptedPolicy(forward_to("s0"))) as one:
            client = await one.connect_client()
            for number in range(1, 9):
                value = await client.execute(b"CALL.GET", CUSTOMER, b"%d" % number, READ_FIELDS)
                assert value == b"%04d" % number
            assert len(one.servers[0].writers) == 8

    monkeypatch.setattr(servers_module, "SETTLE_S", 30.0)  # however slow the machine
    run_scenario(scenario())


def test_idle_connections_are_not_used_once_the_server_may_close_them() -> None:
    async def scenario() -> None:
        async with running_gateway(always_reply(OK_RESPONSE), policy=ScriptedPolicy(forward_to("s0"))) as one:
            client = await one.connect_client()
            assert await client.execute(b"CALL.GET", CUSTOMER, b"1", READ_FIELDS) == b"value"
            pool = one.program.servers.pools["s0"]
            pool.idle[0].idle_since -= 14.0
            assert await client.execute(b"CALL.GET", CUSTOMER, b"2", READ_FIELDS) == b"value"
            assert len(one.servers[0].writers) == 2
            pool.idle[0].idle_since -= 14.0
            one.program.servers.sweep()
            await wait_until(lambda: not pool.open)

    run_scenario(scenario())


def test_bytes_that_nobody_asked_for_end_a_connection() -> None:
    """Else the next request on it would be served with another's value."""

    async def scenario() -> None:
        async with running_gateway(
            always_reply(OK_RESPONSE + OK_RESPONSE), policy=ScriptedPolicy(forward_to("s0"))
        ) as one:
            client = await one.connect_client()
            await client.execute(b"CALL.GET", CUSTOMER, b"1", READ_FIELDS)
            await wait_until(lambda: not one.program.servers.pools["s0"].open)

    run_scenario(scenario())


def test_a_connection_that_comes_up_after_a_drains_grace_is_not_written() -> None:
    async def scenario() -> None:
        script = ScriptedPolicy(forward_to("s0"))
        async with running_gateway(always_reply(OK_RESPONSE), policy=script) as one:
            client = await one.connect_client()
            decide, pool = script.decide, one.program.servers.pools["s0"]

            def grace_ends() -> None:
                pool.stop_at = one.program.loop.time() - 1.0

            def and_drain(event: Event) -> list[Action]:
                if isinstance(event, Request):
                    pool.stop()  # within its grace as the attempt starts, past it when the connection is up
                    one.program.loop.call_soon(grace_ends)
                return decide(event)

            script.decide = and_drain
            client.send(b"CALL.GET", CUSTOMER, b"1", READ_FIELDS)
            assert str(await client.read_reply()) == "ERR failed"
            assert [e.outcome for e in script.events_of(AttemptCompleted)] == [CallOutcome.UNREACHABLE]
            assert one.servers[0].received_commands() == []

    run_scenario(scenario())


def test_a_server_that_is_gone_loses_its_idle_connections() -> None:
    async def scenario() -> None:
        discovery = FakeDiscovery()
        script = ScriptedPolicy(forward_to("s0"))
        async with running_gateway(always_reply(OK_RESPONSE), policy=script, discovery=discovery) as one:
            port = one.servers[0].port
            client = await one.connect_client()
            assert await client.execute(b"CALL.GET", CUSTOMER, b"1", READ_FIELDS) == b"value"
            discovery.answers.append(endpoint_list_response(1, [server_row("s0", port)]))
            discovery.answers.append(endpoint_list_response(2, [server_row("s0", port, "Gone")], full=False))
            await wait_until(lambda: ("closed", 1, []) in one.servers[0].log)
            assert str(await client.execute(b"CALL.GET", CUSTOMER, b"2", READ_FIELDS)) == "ERR failed"
            assert script.events_of(AttemptCompleted)[-1].outcome is CallOutcome.UNREACHABLE
            assert not one.program.gateway.started_ms
            assert not one.program.servers.pools

    run_scenario(scenario())


def test_a_time_out_closes_what_stood_idle_meanwhile() -> None:
    """The machine may have vanished; its old connections would be reset under the next requests."""

    async def scenario() -> None:
        async def reply(words: list[bytes], writer: asyncio.StreamWriter) -> bytes | None:
            return None if words[2] == b"mute" else OK_RESPONSE

        def decide(event: Event) -> list[Action]:
            quick = isinstance(event, Request) and len(script.events_of(Request)) == 3
            return forward_to("s0", 300.0 if quick else 0.0)(event)

        script = ScriptedPolicy(decide)
        async with running_gateway(reply, policy=script) as one:
            client = await one.connect_client()
            client.send(b"CALL.GET", CUSTOMER, b"1", READ_FIELDS)
            client.send(b"CALL.GET", CUSTOMER, b"2", READ_FIELDS)
            assert [await client.read_reply(), await client.read_reply()] == [b"value", b"value"]
            pool = one.program.servers.pools["s0"]
            for conn in pool.idle:
                conn.idle_since -= 1.0  # unused since before the attempt
            assert len(pool.idle) == 2
            one.program.servers.sweeper.cancel()  # or the idle limit would close them too, later
            assert str(await client.execute(b"CALL.GET", CUSTOMER, b"mute", READ_FIELDS)) == "ERR failed"
            assert script.events_of(AttemptCompleted)[-1].outcome is CallOutcome.TIMEOUT
            await wait_until(lambda: not pool.open)

    run_scenario(scenario())


def test_connections_to_servers_are_bounded() -> None:
    async def scenario() -> None:
        script = ScriptedPolicy(forward_to("s0"))
        async with running_gateway(always_reply(None), policy=script) as one:
            servers = one.program.servers
            servers.limits = replace(servers.limits, connections=5)
            client = await one.connect_client()
            for number in range(20):
                client.send(b"CALL.GET", CUSTOMER, b"%d" % number, READ_FIELDS)
            await wait_until(
                lambda: (
                    len(script.events_of(AttemptCompleted)) == 15
                    and len(one.servers[0].received_commands()) == 5
                )
            )
            assert {event.outcome for event in script.events_of(AttemptCompleted)} == {
                CallOutcome.UNREACHABLE
            }
            assert servers.count() == 5

    run_scenario(scenario())
