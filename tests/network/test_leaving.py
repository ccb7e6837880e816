"""Clients that leave while their requests wait: what has not been sent by then is not sent any more.

Each crossing is forced: a peer holds what the request waits for until the client has gone, then lets it go.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Iterator
from contextlib import contextmanager

import hiredis

from quota_gateway.policy_api.events import AttemptCompleted, CallOutcome, ClientDisconnected
from tests.network.harness import (
    CUSTOMER,
    READ_FIELDS,
    FakeDiscovery,
    ScriptedPolicy,
    endpoint_list_response,
    forward_to,
    run_scenario,
    running_gateway,
    server_row,
    wait_until,
)


@contextmanager
def late_server() -> Iterator[socket.socket]:
    """A server to which no connection comes up until what fills its queue is accepted."""
    with socket.socket() as server, socket.socket() as filler:
        server.bind(("127.0.0.1", 0))
        server.listen(0)
        filler.connect(server.getsockname())
        server.setblocking(False)
        yield server


async def heard(server: socket.socket) -> bytes:
    """All that comes on two connections, the filler's and one more, until that one ends."""
    loop = asyncio.get_running_loop()
    first, _ = await loop.sock_accept(server)
    second, _ = await loop.sock_accept(server)
    data = b""
    with first, second:
        second.setblocking(False)
        while more := await loop.sock_recv(second, 65536):
            data += more
    return data


def test_an_attempt_whose_connection_comes_up_after_the_client_left_is_not_written() -> None:
    async def scenario() -> None:
        with late_server() as server:
            port = int(server.getsockname()[1])
            script = ScriptedPolicy(forward_to("s9"))
            discovery = FakeDiscovery(endpoint_list_response(2, [server_row("s9", port)]))
            async with running_gateway(policy=script, discovery=discovery) as one:
                await wait_until(lambda: "s9" in one.program.servers.pools)
                client = await one.connect_client()
                client.send(b"CALL.GET", CUSTOMER, b"1", READ_FIELDS)
                await wait_until(lambda: one.program.servers.connecting)
                client.writer.close()
                await wait_until(lambda: script.events_of(ClientDisconnected))
                coming = asyncio.ensure_future(heard(server))
                await wait_until(lambda: script.events_of(AttemptCompleted) or coming.done())
                # Told as never sent: that a client left says nothing of the server.
                assert [e.outcome for e in script.events_of(AttemptCompleted)] == [CallOutcome.NOT_SENT]
                assert not one.program.gateway.out
                assert not one.program.servers.pools["s9"].open
                coming.cancel()

    run_scenario(scenario())


def test_a_client_that_reads_nothing_has_left_at_the_end_of_what_it_sends() -> None:
    """Its connection closes only once what was written has left: until then its requests went on."""

    async def scenario() -> None:
        big = b"*3\r\n$60000\r\n%b\r\n*-1\r\n*-1\r\n" % (b"x" * 60_000)
        release = asyncio.Event()

        async def reply(words: list[bytes], writer: asyncio.StreamWriter) -> bytes:
            if words[2] == b"last":
                await release.wait()
            return big

        async with running_gateway(reply, policy=ScriptedPolicy(forward_to("s0"))) as one:
            with socket.create_connection(("127.0.0.1", one.port)) as client:
                client.setblocking(False)
                await wait_until(lambda: one.program.listener.clients)
                (held,) = one.program.listener.clients
                assert held.transport is not None
                held.transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
                ids = [b"%d" % number for number in range(60)]
                packed = b""
                for request_id in [*ids, b"last"]:
                    words = (b"CALL.GET", CUSTOMER, request_id, READ_FIELDS)
                    packed += hiredis.pack_command(words)  # type: ignore[arg-type]
                client.send(packed)
                await wait_until(lambda: held.full and len(one.program.gateway.live) == 1)
                (live,) = one.program.gateway.live.values()
                client.shutdown(socket.SHUT_WR)
                await wait_until(lambda: not one.program.gateway.live)
                assert asyncio.get_running_loop().time() < live.deadline - 5.0  # not by its time running out
                assert held.transport is not None  # what was written still may leave
                release.set()

    run_scenario(scenario())
