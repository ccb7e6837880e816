"""Clients that disconnect while their requests wait: requests that are not written yet are never sent.

Each race is forced: a peer withholds what the request waits for until the client has disconnected.
"""

from __future__ import annotations

import asyncio
import socket

import hiredis
import pytest

from quota_gateway.network.client_connection import MAX_PENDING_REPLIES
from quota_gateway.network.listener import DISCONNECT_POLL_S
from quota_gateway.network.server_pool import MIN_REUSE_DELAY_S
from quota_gateway.policy_api.actions import Action, StartAttempt
from quota_gateway.policy_api.events import AttemptCompleted, CallOutcome, ClientDisconnected, Event, Request
from tests.network.gateway_fixture import ScriptedPolicy, forwarding_policy, running_gateway
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


def test_the_policy_is_notified_of_a_disconnected_client() -> None:
    async def scenario() -> None:
        script = forwarding_policy()
        async with running_gateway(always_reply(None), policy=script) as gateway:
            client = await gateway.connect_client()
            client.send(b"CALL.GET", CUSTOMER, b"1", READ_FIELDS)
            await wait_until(lambda: gateway.servers[0].received_commands())
            client.writer.close()
            await wait_until(lambda: script.events_of(ClientDisconnected))
            assert gateway.bridge.in_flight == {}

    run_scenario(scenario())


@pytest.mark.parametrize("body_bytes", [0, 20_000])
def test_buffered_commands_of_a_disconnected_client_are_not_served(body_bytes: int) -> None:
    """The end of the stream follows more commands than may be pending, or more bytes than are read."""

    async def scenario() -> None:
        release = asyncio.Event()
        async with running_gateway(reply_once_released(release), policy=forwarding_policy()) as gateway:
            gateway.make_client_memory_scarce()  # so that the connection does not read ahead
            client = await gateway.connect_client()
            for number in range(MAX_PENDING_REPLIES + 8):
                body = (b"x" * body_bytes,) if body_bytes and number >= MAX_PENDING_REPLIES else ()
                client.send(b"CALL.GET", CUSTOMER, b"%d" % number, READ_FIELDS, *body)
            await wait_until(lambda: len(gateway.bridge.in_flight) == MAX_PENDING_REPLIES)
            (connection,) = gateway.listener.connections
            await wait_until(lambda: connection.reading_paused or not body_bytes)
            client.writer.close()
            await wait_until(lambda: not gateway.bridge.in_flight)
            release.set()
            await wait_until(lambda: not gateway.bridge.attempts)
            assert len(gateway.servers[0].received_commands()) <= MAX_PENDING_REPLIES
            assert DISCONNECT_POLL_S <= 0.05  # nothing may be forwarded 0.1 s after the disconnect

    run_scenario(scenario())


def test_a_client_that_sends_much_and_closes_is_noticed_before_any_reply() -> None:
    """Guards against work for clients that have gone: unread commands hide the close from the kernel."""

    async def scenario() -> None:
        release = asyncio.Event()
        async with running_gateway(reply_once_released(release), policy=forwarding_policy()) as gateway:
            client = await gateway.connect_client()
            for number in range(MAX_PENDING_REPLIES + 50):
                body = (b"x" * 60_000,) if number >= MAX_PENDING_REPLIES else ()
                client.send(b"CALL.GET", CUSTOMER, b"%d" % number, READ_FIELDS, *body)
            await wait_until(lambda: len(gateway.bridge.in_flight) == MAX_PENDING_REPLIES)
            client.writer.close()
            await asyncio.wait_for(wait_until(lambda: not gateway.bridge.in_flight), 10.0)
            assert not release.is_set()
            release.set()
            await wait_until(lambda: not gateway.listener.connections)
            assert gateway.listener.client_memory.used_bytes == 0

    run_scenario(scenario())


def test_no_retry_is_written_while_unread_commands_may_hide_a_disconnect() -> None:
    """Guards against work for clients that have gone, where there is no memory to read up to their close."""

    async def scenario() -> None:
        release = asyncio.Event()
        replies = iter([b"-ERR failed\r\n"])

        async def fail_first(words: list[bytes], writer: asyncio.StreamWriter) -> bytes:
            await release.wait()
            return next(replies, OK_RESPONSE)

        def decide(event: Event) -> list[Action]:
            if isinstance(event, Request):
                return [StartAttempt(event.request_id, "s0", 0.0)] if event.request_id == "1" else []
            if isinstance(event, AttemptCompleted) and event.outcome is CallOutcome.ERROR:
                return [StartAttempt(event.request_id, "s0", 0.0)]
            return []

        script = ScriptedPolicy(decide)
        async with running_gateway(fail_first, policy=script) as gateway:
            gateway.make_client_memory_scarce()
            client = await gateway.connect_client()
            for number in range(MAX_PENDING_REPLIES + 100):
                client.send(b"CALL.GET", CUSTOMER, b"%d" % number, READ_FIELDS, b"x" * 60_000)
            await wait_until(lambda: len(gateway.servers[0].received_commands()) == 1)
            (connection,) = gateway.listener.connections
            await wait_until(lambda: connection.reading_paused and not connection.client_connected())
            release.set()
            await wait_until(lambda: len(script.events_of(AttemptCompleted)) == 2)
            assert script.events_of(AttemptCompleted)[-1].outcome is CallOutcome.NOT_SENT
            assert len(gateway.servers[0].received_commands()) == 1

    run_scenario(scenario())


async def read_second_connection(server: socket.socket) -> bytes:
    """Accept the backlogged connection and a second one; return all bytes received on the second."""
    loop = asyncio.get_running_loop()
    first, _ = await loop.sock_accept(server)
    second, _ = await loop.sock_accept(server)
    data = b""
    with first, second:
        second.setblocking(False)
        while received := await loop.sock_recv(second, 65536):
            data += received
    return data


def test_a_request_read_after_its_client_left_is_not_forwarded() -> None:
    """Guards against work for clients that have gone: the event loop reads the request before the close."""

    async def scenario() -> None:
        script = forwarding_policy()
        async with running_gateway(always_reply(OK_RESPONSE), policy=script) as gateway:
            other = await gateway.connect_client()
            assert await other.execute(b"CALL.GET", CUSTOMER, b"1", READ_FIELDS) == b"value"
            (idle_connection,) = gateway.server_pools.pools["s0"].idle
            idle_connection.idle_since -= 2 * MIN_REUSE_DELAY_S  # it can carry the request at once
            earlier = set(gateway.listener.connections)
            with socket.create_connection(("127.0.0.1", gateway.port)):
                await wait_until(lambda: len(gateway.listener.connections) == 2)
                (connection,) = gateway.listener.connections - earlier
            connection.data_received(ENCODED_REQUEST)  # the event loop has not noticed the close yet
            assert script.events_of(AttemptCompleted)[-1].outcome is CallOutcome.NOT_SENT
            await wait_until(lambda: len(gateway.listener.connections) == 1)
            assert len(gateway.servers[0].received_commands()) == 1

    run_scenario(scenario())


def test_no_request_is_written_on_a_connection_established_after_the_disconnect() -> None:
    async def scenario() -> None:
        with server_with_full_backlog() as server:
            port = int(server.getsockname()[1])
            script = forwarding_policy("s9")
            discovery = ScriptedDiscovery(endpoint_list_response(2, [server_row("s9", port)]))
            async with running_gateway(policy=script, discovery=discovery) as gateway:
                await wait_until(lambda: "s9" in gateway.server_pools.pools)
                client = await gateway.connect_client()
                client.send(b"CALL.GET", CUSTOMER, b"1", READ_FIELDS)
                await wait_until(lambda: gateway.server_pools.connecting)
                client.writer.close()
                await wait_until(lambda: script.events_of(ClientDisconnected))
                accepted = asyncio.ensure_future(read_second_connection(server))
                await wait_until(lambda: script.events_of(AttemptCompleted) or accepted.done())
                # NOT_SENT, not UNREACHABLE: a client's disconnect says nothing about the server.
                assert [e.outcome for e in script.events_of(AttemptCompleted)] == [CallOutcome.NOT_SENT]
                assert not gateway.bridge.attempts
                assert not gateway.server_pools.connections
                accepted.cancel()

    run_scenario(scenario())


def test_end_of_stream_cancels_the_requests_of_a_client_that_does_not_read() -> None:
    """The connection closes only once its replies are sent; cancelling the requests must not wait for it."""

    async def scenario() -> None:
        large_response = b"*3\r\n$60000\r\n%b\r\n*-1\r\n*-1\r\n" % (b"x" * 60_000)
        release = asyncio.Event()

        async def reply(words: list[bytes], writer: asyncio.StreamWriter) -> bytes:
            if words[2] == b"last":
                await release.wait()
            return large_response

        async with running_gateway(reply, policy=forwarding_policy()) as gateway:
            with socket.create_connection(("127.0.0.1", gateway.port)) as client:
                client.setblocking(False)
                await wait_until(lambda: gateway.listener.connections)
                (connection,) = gateway.listener.connections
                assert connection.transport is not None
                connection.transport.get_extra_info("socket").setsockopt(
                    socket.SOL_SOCKET, socket.SO_SNDBUF, 4096
                )
                request_ids = [b"%d" % number for number in range(60)]
                encoded_commands = b""
                for request_id in [*request_ids, b"last"]:
                    words = (b"CALL.GET", CUSTOMER, request_id, READ_FIELDS)
                    encoded_commands += hiredis.pack_command(words)  # type: ignore[arg-type]
                client.send(encoded_commands)
                await wait_until(lambda: connection.write_buffer_full and len(gateway.bridge.in_flight) == 1)
                (request,) = gateway.bridge.in_flight.values()
                client.shutdown(socket.SHUT_WR)
                await wait_until(lambda: not gateway.bridge.in_flight)
                now = asyncio.get_running_loop().time()
                assert now < request.deadline - 5.0  # the request was not ended by its deadline
                assert connection.transport is not None  # written replies may still be sent
                release.set()

    run_scenario(scenario())
