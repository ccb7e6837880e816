"""The memory held for clients: one limit for the process, whatever the number of connections."""

from __future__ import annotations

import asyncio

import pytest

from quota_gateway.network.client_connection import (
    MAX_PENDING_REPLIES,
    MAX_READY_BYTES,
    READ_BUFFER_BYTES,
    SCARCE_UNREAD_REPLIES_TIMEOUT_S,
)
from quota_gateway.network.client_memory import REQUEST_OVERHEAD_BYTES, SMALL_BYTES
from quota_gateway.network.listener import IDLE_TIMEOUT_S, READ_BYTES
from quota_gateway.network.memory import allocate_memory
from quota_gateway.network.resp import encode_command
from quota_gateway.policy_api.events import Request
from tests.network.gateway_fixture import RunningGateway, forwarding_policy, running_gateway
from tests.network.samples import CUSTOMER, OK_RESPONSE, READ_FIELDS, SETTINGS
from tests.network.scenario import run_scenario, wait_until
from tests.network.scripted_peers import always_reply, reply_once_released

MEMORY_BYTES = 16 * 1024 * 1024
LIMIT_BYTES = allocate_memory(MEMORY_BYTES).client_bytes
LONG = b"x" * 60_000
RETRY_AFTER_MS = SETTINGS["limits"]["max_retry_after_ms"]


async def serve_another_client(gateway: RunningGateway) -> None:
    """Check that a client with an ordinary request is served at once."""
    client = await gateway.connect_client()
    assert await client.execute(b"CALL.GET", CUSTOMER, b"ordinary", READ_FIELDS) == b"value"


def test_partial_commands_of_many_clients_do_not_exceed_the_memory_limit() -> None:
    """Guards against a process killed for its memory by clients that stop half way through a long request."""

    async def scenario() -> None:
        async with running_gateway(
            always_reply(OK_RESPONSE), policy=forwarding_policy(), max_memory_bytes=MEMORY_BYTES
        ) as gateway:
            memory = gateway.listener.client_memory
            partial = encode_command(b"CALL.GET", CUSTOMER, b"1", READ_FIELDS, LONG)[:-10]
            errors = 0

            async def stop_half_way() -> None:
                nonlocal errors
                client = await gateway.connect_client()
                client.writer.write(partial)
                assert "no memory" in str(await client.read_reply())
                errors += 1

            room = LIMIT_BYTES // len(partial)
            clients = [asyncio.ensure_future(stop_half_way()) for _ in range(2 * room)]
            await wait_until(lambda: errors >= room - 1)
            assert memory.used_bytes <= LIMIT_BYTES + READ_BYTES + 2 * room * SMALL_BYTES
            await serve_another_client_when_room(gateway)
            for task in clients:
                task.cancel()

    run_scenario(scenario())


async def serve_another_client_when_room(gateway: RunningGateway) -> None:
    """Let the partial commands time out, then check that an ordinary client is served."""
    for connection in list(gateway.listener.connections):
        overdue = gateway.process.loop.time() + 10.0
        connection.close_if_timed_out(overdue, IDLE_TIMEOUT_S)
    await wait_until(lambda: not gateway.listener.client_memory.is_scarce)
    await serve_another_client(gateway)


def test_requests_beyond_the_memory_limit_are_rejected_at_once() -> None:
    """Guards against a process killed for its memory by the bodies of requests that wait for servers."""

    async def scenario() -> None:
        release = asyncio.Event()
        script = forwarding_policy()
        async with running_gateway(
            reply_once_released(release), policy=script, max_memory_bytes=MEMORY_BYTES
        ) as gateway:
            memory = gateway.listener.client_memory
            clients = []
            for client_number in range(3):
                client = await gateway.connect_client()
                for number in range(MAX_PENDING_REPLIES):
                    client.send(b"CALL.GET", CUSTOMER, b"%d-%d" % (client_number, number), READ_FIELDS, LONG)
                clients.append(client)
            held = len(LONG) + REQUEST_OVERHEAD_BYTES
            await wait_until(lambda: memory.used_bytes > LIMIT_BYTES - held)
            assert len(script.events_of(Request)) <= LIMIT_BYTES // len(LONG) + 1
            late = await gateway.connect_client()
            memory.add(LIMIT_BYTES)
            reply = await late.execute(b"CALL.GET", CUSTOMER, b"late", READ_FIELDS)
            assert str(reply) == f"BUSY {RETRY_AFTER_MS:.0f}"
            memory.add(-LIMIT_BYTES)
            for client in clients:
                client.writer.close()
            await wait_until(lambda: len(gateway.listener.connections) == 1)
            assert memory.used_bytes == 0
            release.set()
            assert await late.execute(b"CALL.GET", CUSTOMER, b"later", READ_FIELDS) == b"value"

    run_scenario(scenario())


def test_long_replies_that_wait_become_failures_once_the_memory_is_exhausted() -> None:
    """Guards against a process killed for its memory by replies that wait behind a slow one."""

    async def scenario() -> None:
        release = asyncio.Event()
        all_received = asyncio.Event()
        encoded_value = b"$%d\r\n%b\r\n" % (len(LONG), LONG)

        async def reply(words: list[bytes], writer: asyncio.StreamWriter) -> bytes:
            await (release if words[2].endswith(b"-0") else all_received).wait()
            return b"*3\r\n" + encoded_value + b"*-1\r\n*-1\r\n"

        async with running_gateway(
            reply, policy=forwarding_policy(), max_memory_bytes=MEMORY_BYTES
        ) as gateway:
            memory = gateway.listener.client_memory
            clients = [await gateway.connect_client() for _ in range(4)]
            for client_number, client in enumerate(clients):
                for number in range(MAX_PENDING_REPLIES):
                    client.send(b"CALL.GET", CUSTOMER, b"%d-%d" % (client_number, number), READ_FIELDS)
            await wait_until(lambda: len(gateway.servers[0].received_commands()) == 4 * MAX_PENDING_REPLIES)
            all_received.set()
            await wait_until(lambda: len(gateway.bridge.in_flight) == len(clients))
            assert memory.used_bytes <= LIMIT_BYTES + len(clients) * (len(LONG) + 64 * SMALL_BYTES)
            release.set()
            replies = [await client.read_reply() for client in clients for _ in range(MAX_PENDING_REPLIES)]
            failures = [reply for reply in replies if reply != LONG]
            assert failures
            assert {str(failure) for failure in failures} == {"ERR failed"}

    run_scenario(scenario())


def test_reading_pauses_while_long_replies_wait_and_memory_is_scarce() -> None:
    """Guards against input that grows without limit while commands wait for replies before them."""

    async def scenario() -> None:
        release = asyncio.Event()

        async def reply(words: list[bytes], writer: asyncio.StreamWriter) -> bytes:
            await release.wait()
            return OK_RESPONSE

        async with running_gateway(reply, policy=forwarding_policy()) as gateway:
            gateway.make_client_memory_scarce()
            client = await gateway.connect_client()
            client.send(b"CALL.GET", CUSTOMER, b"1", READ_FIELDS)
            for _ in range(30):
                client.send(b"PING", LONG)
            await wait_until(lambda: gateway.listener.connections)
            (connection,) = gateway.listener.connections
            await wait_until(lambda: connection.reading_paused)
            assert connection.ready_bytes < MAX_READY_BYTES + 2 * len(LONG)
            assert connection.buffered_bytes < READ_BUFFER_BYTES + READ_BYTES
            release.set()
            assert await client.read_reply() == b"value"
            for _ in range(30):
                assert await client.read_reply() == LONG

    run_scenario(scenario())


@pytest.mark.parametrize("scarce", [True, False])
def test_a_client_that_does_not_read_is_closed_early_while_memory_is_scarce(scarce: bool) -> None:
    async def scenario() -> None:
        async with running_gateway(always_reply(OK_RESPONSE)) as gateway:
            _, connection = await gateway.connect_client_that_does_not_read(LONG)
            if scarce:
                gateway.make_client_memory_scarce()
            late = connection.last_activity + SCARCE_UNREAD_REPLIES_TIMEOUT_S + 0.1
            connection.close_if_timed_out(late, IDLE_TIMEOUT_S)
            assert connection.transport is not None
            assert connection.transport.is_closing() is scarce

    run_scenario(scenario())
