"""The listener over loopback sockets: timeouts, the connection limit, eviction."""

from __future__ import annotations

import asyncio
import socket

import pytest

from quota_gateway.network import client_connection, listener
from quota_gateway.network.client_connection import ClientConnection
from tests.network.gateway_fixture import forwarding_policy, running_gateway
from tests.network.samples import CUSTOMER, ENCODED_REQUEST, OK_RESPONSE, READ_FIELDS
from tests.network.scenario import run_scenario, wait_until
from tests.network.scripted_peers import always_reply


def test_silent_partial_and_idle_connections_time_out(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        async with running_gateway(always_reply(None), policy=forwarding_policy()) as gateway:
            silent, partial, idle, busy = [await gateway.connect_client() for _ in range(4)]
            partial.writer.write(b"*2\r\n$4\r\nPI")
            assert await idle.execute(b"PING") == b"PONG"
            busy.send(b"CALL.GET", CUSTOMER, b"1", READ_FIELDS)
            assert await silent.closed_by_peer()
            assert "did not come" in str(await partial.read_reply())
            assert await partial.read_reply() is None
            assert await idle.closed_by_peer()
            assert len(gateway.bridge.in_flight) == 1  # the connection with a request in flight is not idle

    for name in ("FIRST_COMMAND_TIMEOUT_S", "PARTIAL_COMMAND_TIMEOUT_S"):
        monkeypatch.setattr(client_connection, name, 0.2)
    for name in ("IDLE_TIMEOUT_S", "CROWDED_IDLE_TIMEOUT_S"):
        monkeypatch.setattr(listener, name, 0.2)
    run_scenario(scenario())


def test_at_the_limit_a_connection_without_a_command_is_evicted_first() -> None:
    async def scenario() -> None:
        async with running_gateway(always_reply(None), policy=forwarding_policy()) as gateway:
            gateway.listener.max_connections = 2
            active = await gateway.connect_client()
            assert await active.execute(b"PING") == b"PONG"
            silent = await gateway.connect_client()
            await wait_until(lambda: len(gateway.listener.connections) == 2)
            third = await gateway.connect_client()
            assert await third.execute(b"PING") == b"PONG"
            assert await silent.closed_by_peer()
            assert await active.execute(b"PING") == b"PONG"

    run_scenario(scenario())


def test_at_the_limit_an_idle_connection_is_evicted_or_the_new_one_refused() -> None:
    async def scenario() -> None:
        async with running_gateway(always_reply(None), max_sockets=64) as gateway:
            gateway.listener.max_connections = 2
            busy = await gateway.connect_client()
            idle = await gateway.connect_client()
            assert await idle.execute(b"PING") == b"PONG"
            busy.send(b"CALL.GET", CUSTOMER, b"1", READ_FIELDS)
            await wait_until(lambda: gateway.bridge.in_flight)
            third = await gateway.connect_client()
            assert await third.execute(b"PING") == b"PONG"
            assert await idle.closed_by_peer()
            third.send(b"CALL.GET", CUSTOMER, b"2", READ_FIELDS)
            await wait_until(lambda: len(gateway.bridge.in_flight) == 2)
            fourth = await gateway.connect_client()
            assert "too many connections" in str(await fourth.read_reply())

    run_scenario(scenario())


def test_a_crowd_of_silent_connections_is_not_searched(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against an event loop that is held up: each new connection looked at all others."""

    async def scenario() -> None:
        async with running_gateway(always_reply(OK_RESPONSE)) as gateway:
            gateway.listener.max_connections = 40
            first, *others = [await gateway.connect_client() for _ in range(40)]
            await wait_until(lambda: len(gateway.listener.connections) == 40)
            looked_at: list[ClientConnection] = []
            is_idle = ClientConnection.is_idle

            def record_and_check(connection: ClientConnection) -> bool:
                looked_at.append(connection)
                return is_idle(connection)

            with monkeypatch.context() as patch:
                patch.setattr(ClientConnection, "is_idle", record_and_check)
                candidate = gateway.listener.eviction_candidate()
            assert looked_at == [candidate]
            await gateway.connect_client()
            assert await first.closed_by_peer()  # the oldest
            assert await others[0].execute(b"PING") == b"PONG"

    run_scenario(scenario())


def test_a_connection_with_an_unread_request_is_not_evicted() -> None:
    """Clients that connect within one loop iteration must not evict a client that has just sent a request."""

    async def scenario() -> None:
        async with running_gateway(always_reply(OK_RESPONSE), policy=forwarding_policy()) as gateway:
            with socket.create_connection(("127.0.0.1", gateway.port)) as client:
                client.setblocking(False)
                await wait_until(lambda: gateway.listener.connections)
                (connection,) = gateway.listener.connections
                assert gateway.listener.eviction_candidate() is connection
                client.send(ENCODED_REQUEST)
                assert gateway.listener.eviction_candidate() is None  # the event loop has not read it yet
                assert await asyncio.get_running_loop().sock_recv(client, 65536) == b"$5\r\nvalue\r\n"

    run_scenario(scenario())
