"""Client connections over loopback sockets: protocol errors, limits, flow control, order of replies."""

from __future__ import annotations

import asyncio
import socket

import pytest

from quota_gateway.network.client_connection import (
    MAX_COMMAND_ERRORS,
    MAX_PENDING_REPLIES,
    PARTIAL_COMMAND_TIMEOUT_S,
    READ_BUFFER_BYTES,
    ConnectionState,
)
from quota_gateway.network.command_scheduler import MAX_COMMANDS_PER_TURN
from quota_gateway.network.listener import IDLE_TIMEOUT_S
from quota_gateway.network.resp import encode_command
from quota_gateway.policy_api.actions import Action
from quota_gateway.policy_api.events import AttemptCompleted, Event, Request
from tests.network.gateway_fixture import ScriptedPolicy, forwarding_policy, running_gateway
from tests.network.samples import CUSTOMER, ENCODED_REQUEST, OK_RESPONSE, READ_FIELDS
from tests.network.scenario import run_scenario, wait_until
from tests.network.scripted_peers import always_reply, reply_once_released

REQUEST_ID = b"9b1f03aa5c7e2d41"


def test_each_error_up_to_the_limit_gets_a_reply_before_the_connection_is_closed() -> None:
    async def scenario() -> None:
        async with running_gateway(always_reply(OK_RESPONSE), policy=forwarding_policy()) as gateway:
            client = await gateway.connect_client()
            other = await gateway.connect_client()
            client.send(b"CALL.GET", CUSTOMER, b"1", READ_FIELDS)
            for _ in range(500):
                client.send(b"NOPE")
            assert await client.read_reply() == b"value"
            for _ in range(MAX_COMMAND_ERRORS):
                assert "unknown command" in str(await client.read_reply())
            assert await client.read_reply() is None  # a regular close: a reset could lose the errors
            assert await other.execute(b"CALL.GET", CUSTOMER, b"2", READ_FIELDS) == b"value"

    run_scenario(scenario())


def test_one_loop_iteration_processes_a_bounded_number_of_commands() -> None:
    async def scenario() -> None:
        async with running_gateway(always_reply(OK_RESPONSE)) as gateway:
            client = await gateway.connect_client()
            await wait_until(lambda: gateway.listener.connections)
            (connection,) = gateway.listener.connections
            connection.parser.feed(b"*1\r\n$4\r\nPING\r\n" * 50)
            connection.process_commands()
            # The next iteration of the event loop processes more.
            assert connection.parser.buffered_bytes() == 14 * (50 - MAX_COMMANDS_PER_TURN)
            assert [await client.read_reply() for _ in range(50)] == [b"PONG"] * 50

    run_scenario(scenario())


def test_a_request_id_in_use_is_refused_on_other_connections() -> None:
    async def scenario() -> None:
        release = asyncio.Event()
        async with running_gateway(reply_once_released(release), policy=forwarding_policy()) as gateway:
            first = await gateway.connect_client()
            second = await gateway.connect_client()
            first.send(b"CALL.GET", CUSTOMER, REQUEST_ID, READ_FIELDS)
            await wait_until(lambda: len(gateway.servers[0].received_commands()) == 1)
            assert "in use" in str(await second.execute(b"CALL.GET", CUSTOMER, REQUEST_ID, READ_FIELDS))
            release.set()
            assert await first.read_reply() == b"value"
            assert await second.execute(b"CALL.GET", CUSTOMER, REQUEST_ID, READ_FIELDS) == b"value"
            assert not gateway.bridge.request_ids

    run_scenario(scenario())


def test_a_request_that_may_run_for_a_client_that_left_is_not_run_again() -> None:
    """Guards against a request that runs twice: its id comes again after its client has closed."""

    async def scenario() -> None:
        release = asyncio.Event()
        async with running_gateway(reply_once_released(release), policy=forwarding_policy()) as gateway:
            first = await gateway.connect_client()
            second = await gateway.connect_client()
            first.send(b"CALL.GET", CUSTOMER, REQUEST_ID, READ_FIELDS)
            await wait_until(lambda: gateway.servers[0].received_commands())
            first.writer.close()
            await wait_until(lambda: not gateway.bridge.in_flight)
            assert "in use" in str(await second.execute(b"CALL.GET", CUSTOMER, REQUEST_ID, READ_FIELDS))
            release.set()
            await wait_until(lambda: not gateway.bridge.attempts)
            # It has run, and its deadline has not passed.
            assert "in use" in str(await second.execute(b"CALL.GET", CUSTOMER, REQUEST_ID, READ_FIELDS))
            assert len(gateway.servers[0].received_commands()) == 1

    run_scenario(scenario())


def test_the_id_of_a_request_that_was_not_written_is_released_when_its_client_leaves() -> None:
    async def scenario() -> None:
        script = ScriptedPolicy(lambda event: [])
        async with running_gateway(always_reply(OK_RESPONSE), policy=script) as gateway:
            client = await gateway.connect_client()
            client.send(b"CALL.GET", CUSTOMER, REQUEST_ID, READ_FIELDS)
            await wait_until(lambda: REQUEST_ID in gateway.bridge.request_ids)
            client.writer.close()
            await wait_until(lambda: not gateway.bridge.request_ids)

    run_scenario(scenario())


MALFORMED_INPUT = [
    b"GET / HTTP/1.1\r\n\r\n",
    b"*1\r\n:5\r\n",
    b"+OK\r\n",
    b"*0\r\n",
    b"*-1\r\n",
    b"*1\r\n$-1\r\n",
    b"*500000000\r\n",
    b"*1\r\n$99999999999999999999\r\n",
    b"*2\r\n$4\r\nPING\r\n*1\r\n$1\r\na\r\n",
    b"*1\r\n$900000000\r\n" + b"x" * 400_000,
    b"*1\r\n$65537\r\n",
    b"*1\r\n$04\r\nPING\r\n",
    b"*1\r\n$4\r\nPINGxx",
    b"*1\r\n$3\r\nPING\r\n",
    b"*1\r\n*1\r\n*1\r\n",
    b"*" + b"1" * 100,
    b"+" + b"x" * 2000,
]


@pytest.mark.parametrize("data", MALFORMED_INPUT)
def test_malformed_input_gets_a_protocol_error_and_closes_the_connection(data: bytes) -> None:
    async def scenario() -> None:
        async with running_gateway(always_reply(OK_RESPONSE)) as gateway:
            client = await gateway.connect_client()
            client.writer.write(data)
            try:
                assert "Protocol error" in str(await client.read_reply())
                assert await client.read_reply() is None
            except ConnectionResetError:
                pass  # closing a socket with unread input resets the connection
            await wait_until(lambda: not gateway.listener.connections)
            other = await gateway.connect_client()
            assert await other.execute(b"PING") == b"PONG"

    run_scenario(scenario())


def test_commands_beyond_the_pending_limit_wait_and_are_served() -> None:
    """Commands beyond `MAX_PENDING_REPLIES` stay buffered until earlier replies are sent."""

    async def scenario() -> None:
        release = asyncio.Event()

        script = forwarding_policy()
        async with running_gateway(reply_once_released(release), policy=script) as gateway:
            client = await gateway.connect_client()
            for number in range(3 * MAX_PENDING_REPLIES):
                client.send(b"CALL.GET", CUSTOMER, b"%d" % number, READ_FIELDS)
            await wait_until(lambda: len(script.events_of(Request)) >= MAX_PENDING_REPLIES)
            assert len(gateway.bridge.in_flight) == MAX_PENDING_REPLIES
            release.set()
            assert {await client.read_reply() for _ in range(3 * MAX_PENDING_REPLIES)} == {b"value"}

    run_scenario(scenario())


def test_reading_pauses_while_a_client_does_not_read_its_replies() -> None:
    async def scenario() -> None:
        async with running_gateway(always_reply(OK_RESPONSE)) as gateway:
            payload = b"x" * 60_000
            client, connection = await gateway.connect_client_that_does_not_read(payload)
            assert connection.write_buffer_full
            assert connection.transport is not None
            assert connection.parser.buffered_bytes() < 2 * READ_BUFFER_BYTES + len(payload)
            assert connection.transport.get_write_buffer_size() < 8_000_000
            client.writer.transport.resume_reading()  # type: ignore[attr-defined]
            while connection.write_buffer_full:
                assert await client.read_reply() == payload

    run_scenario(scenario())


def test_a_defect_in_a_command_costs_neither_the_reply_nor_the_connection(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario() -> None:
        async with running_gateway(always_reply(OK_RESPONSE), policy=forwarding_policy()) as gateway:
            client = await gateway.connect_client()
            with monkeypatch.context() as patch:
                patch.setattr(gateway.bridge, "accept_request", None)
                assert str(await client.execute(b"CALL.GET", CUSTOMER, b"1", READ_FIELDS)) == "ERR failed"
            assert await client.execute(b"CALL.GET", CUSTOMER, b"2", READ_FIELDS) == b"value"

    run_scenario(scenario())


def test_replies_come_in_the_order_of_the_commands() -> None:
    async def scenario() -> None:
        release = asyncio.Event()

        async def reply(words: list[bytes], writer: asyncio.StreamWriter) -> bytes:
            if words[2] == b"1":
                await release.wait()
            return b"*3\r\n$1\r\n%b\r\n*-1\r\n$-1\r\n" % words[2]

        script = forwarding_policy()
        async with running_gateway(reply, policy=script) as gateway:
            client = await gateway.connect_client()
            for request_id in (b"1", b"2", b"3"):
                client.send(b"CALL.GET", CUSTOMER, request_id, READ_FIELDS)
            client.send(b"PING")
            await wait_until(lambda: len(script.events_of(AttemptCompleted)) == 2)
            release.set()
            assert [await client.read_reply() for _ in range(4)] == [b"1", b"2", b"3", b"PONG"]

    run_scenario(scenario())


def test_a_request_that_crosses_the_close_of_an_idle_connection_is_served() -> None:
    """The request waits unread in the kernel at the moment when the connection is closed as idle."""

    async def scenario() -> None:
        async with running_gateway(always_reply(OK_RESPONSE), policy=forwarding_policy()) as gateway:
            with socket.create_connection(("127.0.0.1", gateway.port)) as client:
                client.setblocking(False)
                await wait_until(lambda: gateway.listener.connections)
                (connection,) = gateway.listener.connections
                client.send(ENCODED_REQUEST)
                connection.close_if_nothing_unread()  # the event loop has not read the request yet
                loop = asyncio.get_running_loop()
                assert await loop.sock_recv(client, 65536) == b"$5\r\nvalue\r\n"
                assert connection.state is ConnectionState.OPEN
                connection.close_if_nothing_unread()
                assert await loop.sock_recv(client, 65536) == b""

    run_scenario(scenario())


@pytest.mark.parametrize(
    ("commands", "withheld_bytes", "pending"), [(MAX_PENDING_REPLIES + 3, 0, MAX_PENDING_REPLIES), (2, 5, 1)]
)
def test_whole_commands_that_wait_are_not_taken_for_a_partial_one(
    commands: int, withheld_bytes: int, pending: int
) -> None:
    """Guards against the loss of requests by a timeout that runs before waiting commands are processed.

    All pending replies become ready together, so that none is pending while the next iteration of the event
    loop is to process the commands behind them. The timeouts are checked in that moment. Withheld bytes, the
    end of the last command, arrive in that moment.
    """

    async def scenario() -> None:
        release = asyncio.Event()
        checked: list[Event] = []

        async def reply(words: list[bytes], writer: asyncio.StreamWriter) -> bytes:
            if words[2] == b"0":
                await release.wait()
            return OK_RESPONSE

        def check_timeouts(event: Event) -> list[Action]:
            if isinstance(event, AttemptCompleted) and not connection.pending_replies and not checked:
                checked.append(event)
                connection.data_received(data[len(data) - withheld_bytes :])
                overdue = gateway.process.loop.time() + 2 * PARTIAL_COMMAND_TIMEOUT_S
                connection.close_if_timed_out(overdue, IDLE_TIMEOUT_S)
            return decide(event)

        script = forwarding_policy()
        decide = script.decide
        data = b"".join(
            encode_command(b"CALL.GET", CUSTOMER, b"%d" % number, READ_FIELDS) for number in range(commands)
        )
        async with running_gateway(reply, policy=script) as gateway:
            client = await gateway.connect_client()
            client.writer.write(data[: len(data) - withheld_bytes])
            await wait_until(lambda: gateway.listener.connections)
            (connection,) = gateway.listener.connections
            await wait_until(lambda: len(script.events_of(AttemptCompleted)) == pending - 1)
            await wait_until(lambda: len(connection.pending_replies) == pending)
            await wait_until(connection.parser.buffered_bytes)
            script.decide = check_timeouts
            release.set()
            assert [await client.read_reply() for _ in range(commands)] == [b"value"] * commands
            assert checked

    run_scenario(scenario())


def test_a_partial_command_whose_end_is_unread_is_served() -> None:
    """Guards against a lost request: its end waits in the kernel as the timeout is checked."""

    async def scenario() -> None:
        async with running_gateway(always_reply(OK_RESPONSE), policy=forwarding_policy()) as gateway:
            with socket.create_connection(("127.0.0.1", gateway.port)) as client:
                client.setblocking(False)
                client.send(ENCODED_REQUEST[:-5])
                await wait_until(lambda: gateway.listener.connections)
                (connection,) = gateway.listener.connections
                await wait_until(lambda: connection.partial_command_since is not None)
                client.send(ENCODED_REQUEST[-5:])
                loop = asyncio.get_running_loop()
                connection.close_if_timed_out(loop.time() + 2 * PARTIAL_COMMAND_TIMEOUT_S, IDLE_TIMEOUT_S)
                assert await loop.sock_recv(client, 65536) == b"$5\r\nvalue\r\n"

    run_scenario(scenario())


def test_a_command_that_is_partial_for_too_long_gets_an_error() -> None:
    async def scenario() -> None:
        async with running_gateway(always_reply(OK_RESPONSE), policy=forwarding_policy()) as gateway:
            client = await gateway.connect_client()
            client.writer.write(ENCODED_REQUEST + ENCODED_REQUEST[:-5])
            assert await client.read_reply() == b"value"
            (connection,) = gateway.listener.connections
            await wait_until(lambda: connection.partial_command_since is not None)
            begun_at = connection.partial_command_since
            assert begun_at is not None
            connection.close_if_timed_out(begun_at + PARTIAL_COMMAND_TIMEOUT_S - 0.1, IDLE_TIMEOUT_S)
            assert connection.state is ConnectionState.OPEN
            connection.close_if_timed_out(begun_at + PARTIAL_COMMAND_TIMEOUT_S + 0.1, IDLE_TIMEOUT_S)
            assert "the end of a command did not come" in str(await client.read_reply())
            assert await client.read_reply() is None

    run_scenario(scenario())
