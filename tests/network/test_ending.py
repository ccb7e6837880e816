"""A planned end, and connections closed between requests: what was taken is answered whatever it crosses."""

from __future__ import annotations

import asyncio
import os
import socket

import pytest

from quota_gateway.network import client_connection as clients_module
from quota_gateway.network import server_pool as servers_module
from quota_gateway.network.client_connection import MOST_PENDING
from quota_gateway.network.process import drain_duration_s
from tests.network.harness import (
    CUSTOMER,
    OK_RESPONSE,
    READ_FIELDS,
    Reply,
    ScriptedPolicy,
    always_reply,
    forward_to,
    run_scenario,
    running_gateway,
    wait_until,
)

QUESTION = b"*4\r\n$8\r\nCALL.GET\r\n$16\r\n%b\r\n$1\r\n9\r\n$%d\r\n%b\r\n" % (
    CUSTOMER,
    len(READ_FIELDS),
    READ_FIELDS,
)


def held(release: asyncio.Event) -> Reply:
    """A server that answers once it may."""

    async def reply(words: list[bytes], writer: asyncio.StreamWriter) -> bytes:
        await release.wait()
        return OK_RESPONSE

    return reply


def test_what_comes_on_a_busy_connection_after_sigterm_is_served() -> None:
    async def scenario() -> None:
        release = asyncio.Event()
        async with running_gateway(held(release), policy=ScriptedPolicy(forward_to("s0"))) as one:
            client, silent = await one.connect_client(), await one.connect_client()
            client.send(b"CALL.GET", CUSTOMER, b"1", READ_FIELDS)
            await wait_until(
                lambda: (
                    len(one.servers[0].received_commands()) == 1 and len(one.program.listener.clients) == 2
                )
            )
            server = one.program.listener.server
            leaving = asyncio.ensure_future(one.program.shut_down())
            await wait_until(lambda: server is not None and not server.is_serving())
            client.send(
                b"CALL.GET", CUSTOMER, b"2", READ_FIELDS
            )  # behind the first, whose answer is still to come
            silent.send(
                b"CALL.GET", CUSTOMER, b"3", READ_FIELDS
            )  # its connection came before the end, and is new
            await wait_until(lambda: len(one.servers[0].received_commands()) == 3)
            release.set()
            assert [await client.read_reply() for _ in range(3)] == [b"value", b"value", None]
            assert [await silent.read_reply() for _ in range(2)] == [b"value", None]
            await leaving

    run_scenario(scenario())


def test_at_its_end_a_gateway_answers_what_it_holds_and_refuses_what_still_comes() -> None:
    async def scenario() -> None:
        async with running_gateway(always_reply(None), policy=ScriptedPolicy(forward_to("s0"))) as one:
            client, other = await one.connect_client(), await one.connect_client()
            client.send(b"CALL.GET", CUSTOMER, b"1", READ_FIELDS)
            await wait_until(lambda: len(one.servers[0].received_commands()) == 1)
            one.program.gateway.leave()
            assert str(await client.read_reply()) == "ERR failed"  # it may have run
            assert str(await other.execute(b"CALL.GET", CUSTOMER, b"2", READ_FIELDS)) == "BUSY"
            assert len(one.servers[0].received_commands()) == 1
            assert not one.program.gateway.live

    run_scenario(scenario())


@pytest.mark.parametrize(("longest_ms", "end_s"), [(400.0, 0.6), (1000.0, 1.2), (2500.0, 2.7), (9000.0, 3.2)])
def test_a_gateway_has_left_before_the_kill_that_its_deadlines_allow(longest_ms: float, end_s: float) -> None:
    assert drain_duration_s(longest_ms) == pytest.approx(end_s)


def test_a_request_that_crosses_the_close_of_an_idle_connection_is_served() -> None:
    """It lies in the kernel, unread, at the moment at which the connection would be closed as idle."""

    async def scenario() -> None:
        async with running_gateway(always_reply(OK_RESPONSE), policy=ScriptedPolicy(forward_to("s0"))) as one:
            with socket.create_connection(("127.0.0.1", one.port)) as client:
                client.setblocking(False)
                await wait_until(lambda: one.program.listener.clients)
                (held,) = one.program.listener.clients
                client.send(QUESTION)  # no turn of the loop ...
                held.finish()  # ... and this
                loop = asyncio.get_running_loop()
                assert await loop.sock_recv(client, 65536) == b"$5\r\nvalue\r\n"
                assert not held.closing
                held.finish()
                assert await loop.sock_recv(client, 65536) == b""

    run_scenario(scenario())


@pytest.mark.parametrize("body", [0, 20_000])
def test_a_client_that_sends_much_at_once_and_goes_is_served_no_further(body: int) -> None:
    """The end of its connection lies behind more commands than may be open, or than are read."""

    async def scenario() -> None:
        release = asyncio.Event()
        async with running_gateway(held(release), policy=ScriptedPolicy(forward_to("s0"))) as one:
            client = await one.connect_client()
            for number in range(MOST_PENDING + 8):
                extra = (b"x" * body,) if body and number >= MOST_PENDING else ()
                client.send(b"CALL.GET", CUSTOMER, b"%d" % number, READ_FIELDS, *extra)
            gateway = one.program.gateway
            await wait_until(lambda: len(gateway.live) == MOST_PENDING)
            (taken,) = one.program.listener.clients
            await wait_until(lambda: taken.paused or not body)
            client.writer.close()
            await wait_until(lambda: not gateway.live)
            release.set()
            await wait_until(lambda: not gateway.out)
            assert len(one.servers[0].received_commands()) <= MOST_PENDING
            assert clients_module.GONE_S <= 0.05  # nothing is sent on 0.1 s later

    run_scenario(scenario())


@pytest.mark.parametrize("last", [OK_RESPONSE, b""])
def test_what_lies_unread_on_an_idle_connection_to_a_server_keeps_it_from_use(last: bytes) -> None:
    """A second answer that came late would be the next request's; an end would reset that."""

    async def scenario() -> None:
        async with running_gateway(always_reply(OK_RESPONSE), policy=ScriptedPolicy(forward_to("s0"))) as one:
            client = await one.connect_client()
            assert await client.execute(b"CALL.GET", CUSTOMER, b"1", READ_FIELDS) == b"value"
            pool = one.program.servers.pools["s0"]
            (conn,) = pool.idle
            conn.idle_since -= 2 * servers_module.SETTLE_S
            assert pool.take() is conn  # nothing has come
            pool.idle.append(conn)
            (writer,) = one.servers[0].writers
            with socket.socket(fileno=os.dup(writer.get_extra_info("socket").fileno())) as peer:
                peer.send(last) if last else peer.shutdown(socket.SHUT_WR)  # no turn of the loop ...
            assert pool.take() is None  # ... is between these
            await wait_until(lambda: not pool.open)

    run_scenario(scenario())


@pytest.mark.parametrize("closed_s", [0.2, 1.0, 3.0, 15.0])
def test_idle_connections_are_closed_before_the_server_does(closed_s: float) -> None:
    assert 0.0 < servers_module.idle_s(closed_s) <= max(0.5 * closed_s, closed_s - 2.0)


def test_a_connection_on_which_a_request_lies_unread_gives_no_place_to_another() -> None:
    """A crowd that came in one turn of the loop pushed out whoever had just sent a request."""

    async def scenario() -> None:
        async with running_gateway(always_reply(OK_RESPONSE), policy=ScriptedPolicy(forward_to("s0"))) as one:
            with socket.create_connection(("127.0.0.1", one.port)) as client:
                client.setblocking(False)
                listener = one.program.listener
                await wait_until(lambda: listener.clients)
                (held,) = listener.clients
                assert listener.dispensable() is held
                client.send(QUESTION)  # no turn of the loop is between these
                assert listener.dispensable() is None
                assert await asyncio.get_running_loop().sock_recv(client, 65536) == b"$5\r\nvalue\r\n"

    run_scenario(scenario())
