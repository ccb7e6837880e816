"""Clients that leave while their requests wait: what has not been sent by then is not sent any more.

Each crossing is forced: a peer holds what the request waits for until the client has gone, then lets it go.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Iterator
from contextlib import contextmanager

import hiredis

from quota_gateway.policy_api.actions import IncrementCounter, StartAttempt
from quota_gateway.policy_api.endpoints import EndpointUpdate, UpdateKind
from quota_gateway.policy_api.events import AttemptCompleted, CallOutcome, ClientDisconnected, Request
from tests.network.loopback import (
    CUSTOMER,
    GET,
    DiscoveryPeer,
    Script,
    listing,
    play,
    row,
    send_to,
    site,
    until,
)
from tests.policy.scripted_gateway import SETTINGS, Rig, entries, only, with_


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
            script = Script(send_to("s9"))
            discovery = DiscoveryPeer(listing(2, [row("s9", port)]))
            async with site(decisions=script, discovery=discovery) as one:
                await until(lambda: "s9" in one.program.servers.pools)
                client = await one.client()
                client.send(b"CALL.GET", CUSTOMER, b"1", GET)
                await until(lambda: one.program.servers.connecting)
                client.writer.close()
                await until(lambda: script.of(ClientDisconnected))
                coming = asyncio.ensure_future(heard(server))
                await until(lambda: script.of(AttemptCompleted) or coming.done())
                # Told as never sent: that a client left says nothing of the server.
                assert [e.outcome for e in script.of(AttemptCompleted)] == [CallOutcome.NOT_SENT]
                assert not one.program.gateway.out
                assert not one.program.servers.pools["s9"].open
                coming.cancel()

    play(scenario())


def test_a_client_that_reads_nothing_has_left_at_the_end_of_what_it_sends() -> None:
    """Its connection closes only once what was written has left: until then its requests went on."""

    async def scenario() -> None:
        big = b"*3\r\n$60000\r\n%b\r\n*-1\r\n*-1\r\n" % (b"x" * 60_000)
        release = asyncio.Event()

        async def reply(words: list[bytes], writer: asyncio.StreamWriter) -> bytes:
            if words[2] == b"last":
                await release.wait()
            return big

        async with site(reply, decisions=Script(send_to("s0"))) as one:
            with socket.create_connection(("127.0.0.1", one.port)) as client:
                client.setblocking(False)
                await until(lambda: one.program.listener.clients)
                (held,) = one.program.listener.clients
                assert held.transport is not None
                held.transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
                ids = [b"%d" % number for number in range(60)]
                packed = [hiredis.pack_command((b"CALL.GET", CUSTOMER, i, GET)) for i in [*ids, b"last"]]  # type: ignore[arg-type]
                client.send(b"".join(packed))
                await until(lambda: held.full and len(one.program.gateway.live) == 1)
                (live,) = one.program.gateway.live.values()
                client.shutdown(socket.SHUT_WR)
                await until(lambda: not one.program.gateway.live)
                assert asyncio.get_running_loop().time() < live.deadline - 5.0  # not by its time running out
                assert held.transport is not None  # what was written still may leave
                release.set()

    play(scenario())


def test_a_request_whose_client_left_before_its_word_comes_off_the_count_and_is_not_sent() -> None:
    rig = Rig(entries(4), with_(SETTINGS, gateway_count=300))
    (call,) = only(rig.feed(Request("r", "read", "rate", "c", 3000.0, 2.0, 200)), IncrementCounter)
    assert not rig.feed(ClientDisconnected("r"))
    actions = rig.answer(call)
    assert [(a.key, a.amount) for a in only(actions, IncrementCounter)] == [(call.key, -call.amount)]
    assert not only(actions, StartAttempt)
    assert not rig.gateway.left


def test_a_held_request_whose_client_left_is_not_sent_when_a_server_comes_up() -> None:
    rig = Rig(settings=SETTINGS)
    name, actions = rig.ask()
    assert not only(actions, StartAttempt)
    assert rig.gateway.held == [name]
    rig.feed(ClientDisconnected(name))
    actions = rig.feed(EndpointUpdate(UpdateKind.SNAPSHOT, entries(4))) + rig.advance(1000.0)
    assert not only(actions, StartAttempt)


def test_no_further_attempt_is_made_for_a_client_that_left() -> None:
    rig = Rig(entries(4))
    name, actions = rig.ask()
    assert only(actions, StartAttempt)
    rig.feed(ClientDisconnected(name))
    assert not only(rig.end(name, 0, CallOutcome.ERROR) + rig.advance(1000.0), StartAttempt)
