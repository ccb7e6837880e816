"""Connection pools of the servers over loopback sockets."""

from __future__ import annotations

import asyncio
import os
import socket
import time
from dataclasses import replace

import pytest

from quota_gateway.network.discovery.endpoint_list import VersionedUpdate
from quota_gateway.network.server_connection import ServerConnection
from quota_gateway.network.server_pool import MIN_REUSE_DELAY_S, idle_limit_s
from quota_gateway.policy_api.actions import Action, CancelAttempt, StartAttempt
from quota_gateway.policy_api.endpoints import Endpoint, EndpointState, EndpointUpdate, UpdateKind
from quota_gateway.policy_api.events import AttemptCompleted, CallOutcome, Event, Request
from tests.network.gateway_fixture import ScriptedPolicy, forward_to, forwarding_policy, running_gateway
from tests.network.samples import CUSTOMER, ENCODED_REQUEST, OK_RESPONSE, READ_FIELDS
from tests.network.scenario import run_scenario, wait_until
from tests.network.scripted_peers import (
    ScriptedDiscovery,
    always_reply,
    endpoint_list_response,
    reply_once_released,
    server_row,
    server_with_full_backlog,
)

MAX_HOLD_UP_S = 0.15  # a process may be held up for this long between its clock reading and its write


def test_the_most_recently_used_connection_is_reused() -> None:
    async def scenario() -> None:
        async with running_gateway(always_reply(OK_RESPONSE), policy=forwarding_policy()) as gateway:
            client = await gateway.connect_client()
            client.send(b"CALL.GET", CUSTOMER, b"1", READ_FIELDS)
            client.send(b"CALL.GET", CUSTOMER, b"2", READ_FIELDS)
            assert [await client.read_reply(), await client.read_reply()] == [b"value", b"value"]
            pool = gateway.server_pools.pools["s0"]
            assert len(pool.idle) == 2
            most_recently_used = pool.idle[-1]
            for connection in pool.idle:
                connection.idle_since -= 2 * MIN_REUSE_DELAY_S
            assert await client.execute(b"CALL.GET", CUSTOMER, b"3", READ_FIELDS) == b"value"
            assert pool.idle[-1] is most_recently_used
            assert len(gateway.servers[0].writers) == 2

    run_scenario(scenario())


def test_idle_connections_are_not_used_once_the_server_may_close_them() -> None:
    async def scenario() -> None:
        async with running_gateway(always_reply(OK_RESPONSE), policy=forwarding_policy()) as gateway:
            client = await gateway.connect_client()
            assert await client.execute(b"CALL.GET", CUSTOMER, b"1", READ_FIELDS) == b"value"
            pool = gateway.server_pools.pools["s0"]
            pool.idle[0].idle_since -= 14.0
            assert await client.execute(b"CALL.GET", CUSTOMER, b"2", READ_FIELDS) == b"value"
            assert len(gateway.servers[0].writers) == 2
            pool.idle[0].idle_since -= 14.0
            gateway.server_pools.close_expired()
            await wait_until(lambda: not gateway.server_pools.connections)

    run_scenario(scenario())


def test_writes_to_a_draining_server_end_before_the_grace_period_by_the_longest_hold_up() -> None:
    """Guards against writes after the grace period of a process held up between its check and the write."""

    async def scenario() -> None:
        async with running_gateway(always_reply(OK_RESPONSE), policy=forwarding_policy()) as gateway:
            pool = gateway.server_pools.pools["s0"]
            pool.drain()
            assert pool.write_deadline is not None
            last_write_s = pool.write_deadline - time.monotonic() + MAX_HOLD_UP_S
            assert last_write_s <= gateway.server_pools.limits.drain_grace_s

    run_scenario(scenario())


def test_removing_a_server_closes_its_idle_connections() -> None:
    async def scenario() -> None:
        discovery = ScriptedDiscovery()
        script = forwarding_policy()
        async with running_gateway(always_reply(OK_RESPONSE), policy=script, discovery=discovery) as gateway:
            port = gateway.servers[0].port
            client = await gateway.connect_client()
            assert await client.execute(b"CALL.GET", CUSTOMER, b"1", READ_FIELDS) == b"value"
            discovery.responses.append(endpoint_list_response(1, [server_row("s0", port)]))
            discovery.responses.append(
                endpoint_list_response(2, [server_row("s0", port, "Gone")], full=False)
            )
            await wait_until(lambda: ("closed", 1, []) in gateway.servers[0].log)
            assert str(await client.execute(b"CALL.GET", CUSTOMER, b"2", READ_FIELDS)) == "ERR failed"
            assert script.events_of(AttemptCompleted)[-1].outcome is CallOutcome.UNREACHABLE
            assert not gateway.server_pools.pools

    run_scenario(scenario())


def test_connections_to_servers_are_bounded() -> None:
    async def scenario() -> None:
        script = forwarding_policy()
        async with running_gateway(always_reply(None), policy=script) as gateway:
            server_pools = gateway.server_pools
            server_pools.limits = replace(server_pools.limits, max_connections=5)
            client = await gateway.connect_client()
            for number in range(20):
                client.send(b"CALL.GET", CUSTOMER, b"%d" % number, READ_FIELDS)
            await wait_until(
                lambda: (
                    len(script.events_of(AttemptCompleted)) == 15
                    and len(gateway.servers[0].received_commands()) == 5
                )
            )
            assert {event.outcome for event in script.events_of(AttemptCompleted)} == {
                CallOutcome.UNREACHABLE
            }
            assert server_pools.socket_count() == 5

    run_scenario(scenario())


def test_a_connection_established_after_its_server_was_removed_counts_against_the_limit() -> None:
    """Guards against connections that no pool in use holds, beyond the limit on descriptors."""

    async def scenario() -> None:
        script = forwarding_policy()
        async with running_gateway(always_reply(None), policy=script) as gateway:
            server_pools = gateway.server_pools
            decide = script.decide

            def decide_and_remove_server(event: Event) -> list[Action]:
                if isinstance(event, Request):
                    gateway.process.loop.call_soon(server_pools.remove, "s0")
                    gateway.process.loop.call_soon(server_pools.close_expired)
                return decide(event)

            script.decide = decide_and_remove_server
            client = await gateway.connect_client()
            client.send(b"CALL.GET", CUSTOMER, b"1", READ_FIELDS)
            await wait_until(lambda: gateway.servers[0].received_commands())
            assert not server_pools.pools
            assert server_pools.socket_count() == 1

    run_scenario(scenario())


def test_attempts_cancelled_as_they_start_do_not_use_up_the_connection_limit() -> None:
    """Guards against a gateway that rejects everything: the task that connects is cancelled unstarted."""

    async def scenario() -> None:
        def start_and_cancel(event: Event) -> list[Action]:
            if isinstance(event, Request):
                return [StartAttempt(event.request_id, "s0"), CancelAttempt(event.request_id, 0)]
            return forward(event)

        script = ScriptedPolicy(start_and_cancel)
        forward = forward_to("s0")
        async with running_gateway(always_reply(OK_RESPONSE), policy=script) as gateway:
            server_pools = gateway.server_pools
            server_pools.limits = replace(server_pools.limits, max_connections=1)
            client = await gateway.connect_client()
            assert str(await client.execute(b"CALL.GET", CUSTOMER, b"1", READ_FIELDS)) == "ERR failed"
            assert [e.outcome for e in script.events_of(AttemptCompleted)] == [CallOutcome.NOT_SENT]
            script.decide = forward
            assert await client.execute(b"CALL.GET", CUSTOMER, b"2", READ_FIELDS) == b"value"
            assert server_pools.socket_count() == 1

    run_scenario(scenario())


def test_an_attempt_cancelled_as_its_connection_is_made_leaves_no_connection(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against lost places under the connection limit: uvloop does not report this connection's end."""

    async def scenario() -> None:
        script = forwarding_policy()
        async with running_gateway(always_reply(OK_RESPONSE), policy=script) as gateway:
            make_connection = ServerConnection.connection_made

            def make_connection_and_cancel(
                connection: ServerConnection, transport: asyncio.Transport
            ) -> None:
                make_connection(connection, transport)
                (attempt,) = gateway.bridge.attempts.values()
                attempt.cancel()

            client = await gateway.connect_client()
            with monkeypatch.context() as patch:
                patch.setattr(ServerConnection, "connection_made", make_connection_and_cancel)
                assert str(await client.execute(b"CALL.GET", CUSTOMER, b"1", READ_FIELDS)) == "ERR failed"
            assert [e.outcome for e in script.events_of(AttemptCompleted)] == [CallOutcome.NOT_SENT]
            await wait_until(lambda: ("closed", 1, []) in gateway.servers[0].log)
            assert gateway.server_pools.socket_count() == 0
            assert gateway.servers[0].received_commands() == []

    run_scenario(scenario())


@pytest.mark.parametrize("refused", [True, False])
def test_a_connection_that_failed_leaves_its_place_to_the_retry(refused: bool) -> None:
    """Guards against a retry that finds no place: the connection it follows has failed but still counts."""

    async def scenario() -> None:
        def decide(event: Event) -> list[Action]:
            if isinstance(event, Request):
                return [StartAttempt(event.request_id, "s9", 50.0)]
            if isinstance(event, AttemptCompleted) and event.server_id == "s9":
                return [StartAttempt(event.request_id, "s0")]
            return forward_to("s0")(event)

        script = ScriptedPolicy(decide)
        with server_with_full_backlog() as server:
            port = int(server.getsockname()[1])
            discovery = ScriptedDiscovery()
            async with running_gateway(
                always_reply(OK_RESPONSE), policy=script, discovery=discovery
            ) as gateway:
                rows = [server_row("s0", gateway.servers[0].port), server_row("s9", port)]
                discovery.responses.append(endpoint_list_response(2, rows))
                await wait_until(lambda: "s9" in gateway.server_pools.pools)
                if refused:
                    server.close()
                server_pools = gateway.server_pools
                server_pools.limits = replace(server_pools.limits, max_connections=1)
                client = await gateway.connect_client()
                assert await client.execute(b"CALL.GET", CUSTOMER, b"1", READ_FIELDS) == b"value"
                outcomes = [event.outcome for event in script.events_of(AttemptCompleted)]
                assert outcomes == [CallOutcome.UNREACHABLE, CallOutcome.OK]

    run_scenario(scenario())


@pytest.mark.parametrize("unread", [OK_RESPONSE, b""])
def test_an_idle_connection_with_unread_bytes_is_not_used(unread: bytes) -> None:
    """The next request would receive a late duplicate response, or be reset after an end of stream."""

    async def scenario() -> None:
        async with running_gateway(always_reply(OK_RESPONSE), policy=forwarding_policy()) as gateway:
            client = await gateway.connect_client()
            assert await client.execute(b"CALL.GET", CUSTOMER, b"1", READ_FIELDS) == b"value"
            pool = gateway.server_pools.pools["s0"]
            (connection,) = pool.idle
            connection.idle_since -= 2 * MIN_REUSE_DELAY_S
            assert pool.acquire() is connection  # no input has arrived
            pool.idle.append(connection)
            (writer,) = gateway.servers[0].writers
            with socket.socket(fileno=os.dup(writer.get_extra_info("socket").fileno())) as peer:
                peer.send(unread) if unread else peer.shutdown(socket.SHUT_WR)
            assert pool.acquire() is None  # the event loop reads the input only in its next iteration
            await wait_until(lambda: not gateway.server_pools.connections)

    run_scenario(scenario())


def test_a_request_for_a_server_that_has_gone_is_not_written_to_its_successor() -> None:
    """Guards against work that goes to the wrong place: a new process comes up at the address of one gone.

    The request's connection is being established while the list changes.
    """

    async def scenario() -> None:
        script = forwarding_policy()
        async with running_gateway(always_reply(OK_RESPONSE), policy=script) as gateway:
            client = await gateway.connect_client()
            await wait_until(lambda: gateway.listener.connections)
            (connection,) = gateway.listener.connections
            connection.data_received(ENCODED_REQUEST)
            assert gateway.server_pools.connecting
            address = ("127.0.0.1", gateway.servers[0].port)
            gone = Endpoint("s0", "a", state=EndpointState.GONE)
            update = EndpointUpdate(UpdateKind.DELTA, (gone, Endpoint("new", "a", started_ms=1000.0)))
            for _ in gateway.bridge.endpoint_update_steps(VersionedUpdate(2, update, {"new": address})):
                pass
            await wait_until(lambda: script.events_of(AttemptCompleted))
            assert script.events_of(AttemptCompleted)[0].outcome is CallOutcome.UNREACHABLE
            assert str(await client.read_reply()) == "ERR failed"
            assert not gateway.servers[0].received_commands()

    run_scenario(scenario())


def test_of_two_listed_servers_at_one_address_only_the_later_process_gets_requests() -> None:
    """Guards against work that goes to the wrong place while the list still holds the one that has gone."""

    async def scenario() -> None:
        discovery = ScriptedDiscovery()
        script = forwarding_policy("old")
        async with running_gateway(always_reply(OK_RESPONSE), policy=script, discovery=discovery) as gateway:
            port = gateway.servers[0].port
            rows = [server_row("new", port, started_ms=2000.0), server_row("old", port, started_ms=1000.0)]
            client = await gateway.connect_client()
            for version, listed in enumerate((rows, rows[::-1]), start=2):
                discovery.responses.append(endpoint_list_response(version, listed))
                await wait_until(lambda: len(discovery.targets) > len(discovery.responses))
                assert str(await client.execute(b"CALL.GET", CUSTOMER, b"1", READ_FIELDS)) == "ERR failed"
                assert script.events_of(AttemptCompleted)[-1].outcome is CallOutcome.UNREACHABLE
            script.decide = forward_to("new")
            assert await client.execute(b"CALL.GET", CUSTOMER, b"2", READ_FIELDS) == b"value"
            script.decide = forward_to("old")
            discovery.responses.append(endpoint_list_response(4, rows[1:]))
            await wait_until(lambda: "new" not in gateway.server_pools.pools)
            assert await client.execute(b"CALL.GET", CUSTOMER, b"3", READ_FIELDS) == b"value"

    run_scenario(scenario())


def test_a_connection_to_the_process_before_a_restart_is_not_used_again() -> None:
    """Guards against a request written to a process that has gone, after its last response came late."""

    async def scenario() -> None:
        release = asyncio.Event()
        discovery = ScriptedDiscovery()
        async with running_gateway(
            reply_once_released(release), policy=forwarding_policy(), discovery=discovery
        ) as gateway:
            port = gateway.servers[0].port
            client = await gateway.connect_client()
            client.send(b"CALL.GET", CUSTOMER, b"1", READ_FIELDS)
            await wait_until(lambda: gateway.servers[0].received_commands())
            discovery.responses.append(endpoint_list_response(2, [server_row("s0", port, started_ms=9.0)]))
            await wait_until(lambda: gateway.server_pools.pools["s0"].started_ms == 9.0)
            release.set()
            assert await client.read_reply() == b"value"
            assert not gateway.server_pools.pools["s0"].idle
            await wait_until(lambda: not gateway.server_pools.connections)

    run_scenario(scenario())


@pytest.mark.parametrize("server_idle_timeout_s", [0.2, 1.0, 3.0, 15.0])
def test_the_idle_limit_is_below_the_timeout_of_the_server(server_idle_timeout_s: float) -> None:
    longest_s = max(0.5 * server_idle_timeout_s, server_idle_timeout_s - 2.0)
    assert 0.0 < idle_limit_s(server_idle_timeout_s) <= longest_s
