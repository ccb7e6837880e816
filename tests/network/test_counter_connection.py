"""One connection to the shared counter: lifecycle, reconnection, heartbeat."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any

import pytest

from quota_gateway.network import counter_connection
from quota_gateway.network.counter_client import CONNECTION_COUNT, CounterClient
from quota_gateway.network.counter_connection import ConnectionState, CounterConnection, PendingCall
from tests.network.scenario import run_scenario, wait_until
from tests.network.scripted_peers import ScriptedRespServer, always_reply


def state(connection: CounterConnection) -> ConnectionState:
    """Return the state; unlike an attribute, mypy does not narrow its type after an assertion."""
    return connection.state


def test_a_draining_connection_is_closed_once_its_last_pending_call_has_a_reply() -> None:
    async def scenario() -> None:
        release = asyncio.Event()

        async def reply(words: list[bytes], writer: asyncio.StreamWriter) -> bytes:
            if words[0] != b"PING":
                await release.wait()
            return b"+PONG\r\n" if words[0] == b"PING" else b"$1\r\n3\r\n"

        peer = ScriptedRespServer(reply)
        await peer.start()
        loop = asyncio.get_running_loop()
        connection = CounterConnection(loop, ("127.0.0.1", peer.port))
        assert state(connection) is ConnectionState.CONNECTING
        await wait_until(connection.is_ready)
        assert state(connection) is ConnectionState.READY
        totals: list[float] = []
        call = PendingCall(loop.time(), 5, lambda total, outcome, duration_ms: totals.append(total))
        connection.send(b"*1\r\n$4\r\nCALL\r\n", call)
        connection.drain()
        assert state(connection) is ConnectionState.DRAINING
        assert not connection.is_ready()
        release.set()
        await wait_until(lambda: state(connection) is ConnectionState.CLOSED)
        assert totals == [3.0]
        assert len(peer.writers) == 1
        await peer.stop()

    run_scenario(scenario())


def test_a_connection_that_times_out_as_it_is_made_is_opened_again_only_once() -> None:
    """Both the loss and the failed attempt are reported; two connections would mix up their replies."""

    async def scenario() -> None:
        peer = ScriptedRespServer(always_reply(b"+PONG\r\n"))
        await peer.start()
        connection = CounterConnection(asyncio.get_running_loop(), ("127.0.0.1", peer.port))
        await wait_until(connection.is_ready)
        connection.connection_lost(None)
        connection.reconnect()
        await wait_until(lambda: len(peer.writers) == 2)
        await wait_until(lambda: not connection.reconnect_delay_s)
        # A second attempt to connect would follow within this time.
        await asyncio.sleep(4 * counter_connection.MIN_RECONNECT_DELAY_S)
        assert len(peer.writers) == 2
        connection.close()
        await peer.stop()

    run_scenario(scenario())


def test_a_connection_made_as_its_attempt_times_out_is_not_used(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against calls on a closed connection: uvloop does not report its end."""

    async def scenario() -> None:
        peer = ScriptedRespServer(always_reply(b"+PONG\r\n"))
        await peer.start()
        made = asyncio.Event()
        make_connection = CounterConnection.connection_made

        def make_connection_and_report(
            connection: CounterConnection, transport: asyncio.BaseTransport
        ) -> None:
            make_connection(connection, transport)
            made.set()

        async def time_out_as_it_is_made(attempt: Coroutine[Any, Any, Any], timeout_s: float) -> None:
            task = asyncio.ensure_future(attempt)
            await made.wait()
            task.cancel()
            await asyncio.wait([task])
            raise TimeoutError

        with monkeypatch.context() as patch:
            patch.setattr(CounterConnection, "connection_made", make_connection_and_report)
            patch.setattr(asyncio, "wait_for", time_out_as_it_is_made)
            connection = CounterConnection(asyncio.get_running_loop(), ("127.0.0.1", peer.port))
            await wait_until(lambda: made.is_set() and not connection.is_ready())
        assert not connection.pending_calls
        await wait_until(connection.is_ready)
        await wait_until(lambda: not connection.pending_calls)  # the reply to the heartbeat
        assert len(peer.writers) == 2
        connection.close()
        await peer.stop()

    run_scenario(scenario())


def test_a_silent_connection_is_opened_again(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        peer = ScriptedRespServer(always_reply(None))
        await peer.start()
        client = CounterClient(asyncio.get_running_loop(), ("127.0.0.1", peer.port), 0.01)
        await wait_until(lambda: len(peer.writers) > 2 * CONNECTION_COUNT)
        client.close()
        await peer.stop()

    monkeypatch.setattr(counter_connection, "SILENCE_TIMEOUT_S", 0.0)
    monkeypatch.setattr(counter_connection, "HEARTBEAT_INTERVAL_S", 0.01)
    run_scenario(scenario())
