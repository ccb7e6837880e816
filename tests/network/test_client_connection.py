"""The client side over loopback sockets: commands, bounds, order of replies."""

from __future__ import annotations

import asyncio

import pytest

from quota_gateway.network import client_connection as clients_module
from quota_gateway.network.client_connection import MOST_PENDING
from quota_gateway.policy_api.events import Request
from tests.network.harness import (
    CHARGE_FIELDS,
    CUSTOMER,
    OK_RESPONSE,
    READ_FIELDS,
    ScriptedPolicy,
    always_reply,
    forward_to,
    run_scenario,
    running_gateway,
    wait_until,
)

ID = b"9b1f03aa5c7e2d41"
BAD = [
    ([b"NOPE"], "unknown command 'NOPE'"),
    ([b"HELLO", b"3"], "unknown command 'HELLO'"),
    ([b"PING", b"a", b"b"], "wrong number of arguments"),
    ([b"CALL.GET"], "wrong number of arguments"),
    ([b"CALL.GET", CUSTOMER, ID, READ_FIELDS, b"body", b"more"], "wrong number of arguments"),
    *[
        ([b"CALL.GET", bad, ID, READ_FIELDS], "bad customer")
        for bad in (b"xyz", b"-1", b"0x1f", b"", b"1f", b"00000000b4d6552g", b"0000000200000000", b"+" * 16)
    ],
    *[
        ([b"CALL.GET", CUSTOMER, bad, READ_FIELDS], "bad request id")
        for bad in (b"", b"a b", b"\n", b"x" * 65)
    ],
    ([b"CALL.GET", CUSTOMER, ID, b"c=read,t=basic"], "no time left"),
    ([b"CALL.GET", CUSTOMER, ID, b"c=read,,t=basic,d=9"], "bad fields"),
    ([b"CALL.GET", CUSTOMER, ID, b"c=read,c=read,t=basic,d=9"], "bad fields"),
    ([b"CALL.GET", CUSTOMER, ID, READ_FIELDS + b",x=" + b"1" * 600], "bad fields"),
    ([b"CALL.GET", CUSTOMER, ID, b"c=other,t=basic,d=9"], "unknown class"),
    ([b"CALL.GET", CUSTOMER, ID, b"c=read,t=other,d=9"], "unknown plan"),
    ([b"CALL.GET", CUSTOMER, ID, b"t=basic,d=9"], "unknown class"),
    ([b"CALL.POST", CUSTOMER, ID, READ_FIELDS, b""], "other command"),
    ([b"CALL.GET", CUSTOMER, ID, CHARGE_FIELDS], "other command"),
    ([b"CALL.POST", CUSTOMER, ID, b"c=order,t=basic,d=9", b""], "no idempotency key"),
    ([b"CALL.POST", CUSTOMER, ID, b"c=order,t=basic,d=9,k=", b""], "no idempotency key"),
    *[
        ([b"CALL.GET", CUSTOMER, ID, b"c=read,t=basic,d=%b" % bad], "bad number for d")
        for bad in (b"", b"nan", b"inf", b"-1", b"1_0", b"0", b"9" * 400, b" 5", b"x", b"1e3")
    ],
    *[
        ([b"CALL.GET", CUSTOMER, ID, b"c=read,t=basic,d=9,units=%b" % bad], "bad number for units")
        for bad in (b"-2", b"0", b"nan", b"7", b"1e1", b"")
    ],
    *[
        ([b"CALL.GET", CUSTOMER, ID, b"c=read,t=basic,d=9,spread=%b" % bad], "bad number for spread")
        for bad in (b"0", b"3", b"-1", b"1.5", b"x")
    ],
    *[
        ([b"CALL.GET", CUSTOMER, ID, b"c=read,t=basic,d=9,first=%b" % bad], "bad number for first")
        for bad in (b"2", b"-1", b"x")
    ],
]


def test_bad_commands_are_told_and_reach_neither_quota_nor_server(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        script = ScriptedPolicy(forward_to("s0"))
        async with running_gateway(always_reply(OK_RESPONSE), policy=script) as one:
            client = await one.connect_client()
            for words, text in BAD:
                assert text in str(await client.execute(*words)), words
            assert script.events_of(Request) == []
            assert await client.execute(b"CLIENT", b"SETNAME", b"x") == b"OK"
            assert await client.execute(b"CALL.GET", CUSTOMER, b"1", READ_FIELDS) == b"value"
            assert len(one.servers[0].received_commands()) == 1

    monkeypatch.setattr(clients_module, "MOST_ERRORS", 1000)
    run_scenario(scenario())


def test_a_client_with_many_errors_is_told_each_and_closed() -> None:
    async def scenario() -> None:
        async with running_gateway(always_reply(OK_RESPONSE), policy=ScriptedPolicy(forward_to("s0"))) as one:
            client, other = await one.connect_client(), await one.connect_client()
            client.send(b"CALL.GET", CUSTOMER, b"1", READ_FIELDS)
            for _ in range(500):
                client.send(b"NOPE")
            assert await client.read_reply() == b"value"
            for _ in range(clients_module.MOST_ERRORS):
                assert "unknown command" in str(await client.read_reply())
            assert await client.read_reply() is None  # and no reset, which could have cost the errors
            assert await other.execute(b"CALL.GET", CUSTOMER, b"2", READ_FIELDS) == b"value"

    run_scenario(scenario())


def test_one_turn_of_the_loop_takes_a_bounded_number_of_commands() -> None:
    async def scenario() -> None:
        async with running_gateway(always_reply(OK_RESPONSE)) as one:
            client = await one.connect_client()
            await wait_until(lambda: one.program.listener.clients)
            (held,) = one.program.listener.clients
            taken: list[int] = []
            held.parser.feed(b"*1\r\n$4\r\nPING\r\n" * 50)
            held.work()
            taken.append(len(held.parser._raw) - held.parser._at)
            assert taken == [14 * (50 - clients_module.TURN)]
            assert [await client.read_reply() for _ in range(50)] == [b"PONG"] * 50

    run_scenario(scenario())


def test_an_id_that_is_open_is_refused_elsewhere_until_it_is_over() -> None:
    async def scenario() -> None:
        release = asyncio.Event()

        async def reply(words: list[bytes], writer: asyncio.StreamWriter) -> bytes:
            await release.wait()
            return OK_RESPONSE

        async with running_gateway(reply, policy=ScriptedPolicy(forward_to("s0"))) as one:
            usual, bad = await one.connect_client(), await one.connect_client()
            usual.send(b"CALL.GET", CUSTOMER, ID, READ_FIELDS)
            await wait_until(lambda: len(one.servers[0].received_commands()) == 1)
            assert "in use" in str(await bad.execute(b"CALL.GET", CUSTOMER, ID, READ_FIELDS))
            release.set()
            assert await usual.read_reply() == b"value"
            assert await bad.execute(b"CALL.GET", CUSTOMER, ID, READ_FIELDS) == b"value"
            assert not one.program.listener.open_ids
            release.clear()
            usual.send(b"CALL.GET", CUSTOMER, ID, READ_FIELDS)
            await wait_until(lambda: one.program.listener.open_ids)
            usual.writer.close()
            await wait_until(lambda: not one.program.listener.open_ids)  # the client left
            release.set()

    run_scenario(scenario())


def test_a_long_deadline_is_served_as_the_longest_of_the_settings() -> None:
    async def scenario() -> None:
        script = ScriptedPolicy(forward_to("s0"))
        async with running_gateway(always_reply(OK_RESPONSE), policy=script) as one:
            client = await one.connect_client()
            fields = b"c=read,t=basic,d=999999999"
            assert await client.execute(b"CALL.GET", CUSTOMER, b"1", fields) == b"value"
            assert [event.time_left_ms for event in script.events_of(Request)] == [20_000.0]

    run_scenario(scenario())


def test_who_says_nothing_or_half_a_command_is_closed(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        async with running_gateway(always_reply(None), policy=ScriptedPolicy(forward_to("s0"))) as one:
            silent, half, idle, busy = [await one.connect_client() for _ in range(4)]
            half.writer.write(b"*2\r\n$4\r\nPI")
            assert await idle.execute(b"PING") == b"PONG"
            busy.send(b"CALL.GET", CUSTOMER, b"1", READ_FIELDS)
            assert await silent.closed_by_gateway()
            assert "did not come" in str(await half.read_reply())
            assert await half.read_reply() is None
            assert await idle.closed_by_gateway()
            assert len(one.program.gateway.live) == 1  # whose client is still there

    for name in ("SILENT_S", "PARTIAL_S", "IDLE_S", "CROWDED_IDLE_S"):
        monkeypatch.setattr(clients_module, name, 0.2)
    run_scenario(scenario())


def test_past_the_limit_those_that_never_spoke_make_room_first() -> None:
    async def scenario() -> None:
        async with running_gateway(always_reply(None), policy=ScriptedPolicy(forward_to("s0"))) as one:
            one.program.listener.most = 2
            spoke = await one.connect_client()
            assert await spoke.execute(b"PING") == b"PONG"
            silent = await one.connect_client()
            await wait_until(lambda: len(one.program.listener.clients) == 2)
            third = await one.connect_client()
            assert await third.execute(b"PING") == b"PONG"
            assert await silent.closed_by_gateway()
            assert await spoke.execute(b"PING") == b"PONG"

    run_scenario(scenario())


BROKEN = [
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


@pytest.mark.parametrize("data", BROKEN)
def test_what_is_not_resp_is_told_and_closes(data: bytes) -> None:
    async def scenario() -> None:
        async with running_gateway(always_reply(OK_RESPONSE)) as one:
            client = await one.connect_client()
            client.writer.write(data)
            try:
                assert "Protocol error" in str(await client.read_reply())
                assert await client.read_reply() is None
            except ConnectionResetError:
                pass  # bytes were left unread: the end of the connection is told as a reset
            await wait_until(lambda: not one.program.listener.clients)
            other = await one.connect_client()
            assert await other.execute(b"PING") == b"PONG"

    run_scenario(scenario())


def test_commands_behind_a_full_line_wait_their_turn() -> None:
    """A client that writes without end is left unread at a point, and loses nothing by it."""

    async def scenario() -> None:
        release = asyncio.Event()

        async def reply(words: list[bytes], writer: asyncio.StreamWriter) -> bytes:
            await release.wait()
            return OK_RESPONSE

        script = ScriptedPolicy(forward_to("s0"))
        async with running_gateway(reply, policy=script) as one:
            client = await one.connect_client()
            for number in range(3 * MOST_PENDING):
                client.send(b"CALL.GET", CUSTOMER, b"%d" % number, READ_FIELDS)
            await wait_until(lambda: len(script.events_of(Request)) >= MOST_PENDING)
            assert len(one.program.gateway.live) == MOST_PENDING
            release.set()
            assert {await client.read_reply() for _ in range(3 * MOST_PENDING)} == {b"value"}

    run_scenario(scenario())


def test_a_client_that_does_not_read_is_not_read_from() -> None:
    async def scenario() -> None:
        async with running_gateway(always_reply(OK_RESPONSE)) as one:
            client = await one.connect_client()
            client.writer.transport.pause_reading()  # type: ignore[attr-defined]
            await wait_until(lambda: one.program.listener.clients)
            (held,) = one.program.listener.clients
            word = b"x" * 60_000
            while not held.paused:  # some is read all the same, to see whether the client has left
                client.send(b"PING", word)
                await asyncio.sleep(0)
            assert held.full
            assert held.transport is not None
            assert held.parser.rest() < 2 * clients_module.UNREAD + len(word)
            assert held.transport.get_write_buffer_size() < 8_000_000
            client.writer.transport.resume_reading()  # type: ignore[attr-defined]
            while held.full:  # all of it, or the client itself would stop reading at its own bound
                assert await client.read_reply() == word

    run_scenario(scenario())


def test_past_the_limit_an_idle_connection_makes_room() -> None:
    async def scenario() -> None:
        async with running_gateway(always_reply(None), max_sockets=64) as one:
            one.program.listener.most = 2
            busy, idle = await one.connect_client(), await one.connect_client()
            assert await idle.execute(b"PING") == b"PONG"
            busy.send(b"CALL.GET", CUSTOMER, b"1", READ_FIELDS)
            await wait_until(lambda: one.program.gateway.live)
            third = await one.connect_client()
            assert await third.execute(b"PING") == b"PONG"
            assert await idle.closed_by_gateway()
            third.send(b"CALL.GET", CUSTOMER, b"2", READ_FIELDS)
            await wait_until(lambda: len(one.program.gateway.live) == 2)
            fourth = await one.connect_client()
            assert "too many connections" in str(await fourth.read_reply())

    run_scenario(scenario())


def test_a_fault_at_a_command_costs_neither_the_answer_nor_the_connection(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario() -> None:
        async with running_gateway(always_reply(OK_RESPONSE), policy=ScriptedPolicy(forward_to("s0"))) as one:
            client = await one.connect_client()
            with monkeypatch.context() as patch:
                patch.setattr(one.program.gateway, "take", None)
                assert str(await client.execute(b"CALL.GET", CUSTOMER, b"1", READ_FIELDS)) == "ERR failed"
            assert await client.execute(b"CALL.GET", CUSTOMER, b"2", READ_FIELDS) == b"value"

    run_scenario(scenario())
