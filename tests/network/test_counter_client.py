"""The client of the shared counter over loopback sockets."""

from __future__ import annotations

import asyncio

import pytest

from quota_gateway.network.counter_client import CONNECTION_COUNT, CounterClient
from quota_gateway.policy_api.events import CallOutcome
from tests.network.harness import (
    FakeRespServer,
    run_scenario,
    wait_until,
)


def test_replies_match_calls_in_order_late_ones_too() -> None:
    async def scenario() -> None:
        release = asyncio.Event()

        async def reply(words: list[bytes], writer: asyncio.StreamWriter) -> bytes:
            if words[0] == b"PING":
                return b"+PONG\r\n"
            if words[1] == b"2":
                await release.wait()
            return b"-BUSY\r\n" if words[1] == b"6" else b"$1\r\n%b\r\n" % words[1]

        peer = FakeRespServer(reply)
        await peer.start()
        loop = asyncio.get_running_loop()
        client = CounterClient(loop, ("127.0.0.1", peer.port), 0.05)
        completions: list[tuple[int, float, CallOutcome]] = []

        def increment(key: int) -> None:
            client.increment(
                key,
                1.5,
                4000.0,
                lambda total, outcome, duration_ms: completions.append((key, total, outcome)),
            )

        increment(2)
        assert completions == [(2, 0.0, CallOutcome.UNREACHABLE)]  # not connected yet: nothing was added
        await wait_until(lambda: all(connection.is_ready() for connection in client.connections))
        increment(2)
        await wait_until(lambda: len(completions) == 2)
        client.timeout_s = 30.0
        increment(4)
        increment(6)
        release.set()
        await wait_until(lambda: len(completions) == 4)
        assert completions[1:] == [
            (2, 0.0, CallOutcome.TIMEOUT),
            (4, 4.0, CallOutcome.OK),
            (6, 0.0, CallOutcome.REJECTED),
        ]
        assert peer.received_commands()[0] == [b"INCRTTL", b"2", b"1.500", b"4000"]
        client.close()
        await peer.stop()

    run_scenario(scenario())


def test_a_call_is_not_repeated_after_the_counter_hangs_up_and_the_next_uses_a_new_connection() -> None:
    async def scenario() -> None:
        hung = False

        async def reply(words: list[bytes], writer: asyncio.StreamWriter) -> bytes | None:
            nonlocal hung
            if words[0] == b"PING":
                return b"+PONG\r\n"
            if not hung:
                hung = True
                writer.close()
                return None
            return b"$1\r\n3\r\n"

        peer = FakeRespServer(reply)
        await peer.start()
        client = CounterClient(asyncio.get_running_loop(), ("127.0.0.1", peer.port), 30.0)
        completions: list[tuple[float, CallOutcome]] = []
        for _ in range(2):
            await wait_until(lambda: all(connection.is_ready() for connection in client.connections))
            client.increment(
                2, 1.0, 1.0, lambda total, outcome, duration_ms: completions.append((total, outcome))
            )
            count = len(completions)
            await wait_until(lambda: len(completions) > count)  # noqa: B023
        assert completions == [(0.0, CallOutcome.TIMEOUT), (3.0, CallOutcome.OK)]
        assert len(peer.received_commands()) == 2  # the first was not repeated
        client.close()
        await peer.stop()

    run_scenario(scenario())


MALFORMED = [
    b"$3\r\nnan\r\n",
    b"$3\r\ninf\r\n",
    b"$0\r\n\r\n",
    b"$-1\r\n",
    b"+3\r\n",
    b":3\r\n",
    b"-NOISE\r\n",
    b"-BUSY?\r\n",
    b"$9\r\n1\r\n$1\r\n12",
    b"\x00\xff",
    b"*1\r\n$1\r\n3\r\n",
]


@pytest.mark.parametrize("malformed", MALFORMED)
def test_a_malformed_reply_of_the_counter_may_have_added_and_ends_the_connection(malformed: bytes) -> None:
    async def scenario() -> None:
        answers = [malformed, b"$3\r\n4.5\r\n"]

        async def reply(words: list[bytes], writer: asyncio.StreamWriter) -> bytes:
            return b"+PONG\r\n" if words[0] == b"PING" else answers.pop(0)

        peer = FakeRespServer(reply)
        await peer.start()
        client = CounterClient(asyncio.get_running_loop(), ("127.0.0.1", peer.port), 30.0)
        completions: list[tuple[float, CallOutcome]] = []
        for _ in range(2):
            await wait_until(lambda: all(connection.is_ready() for connection in client.connections))
            client.increment(
                5, 1.0, 1.0, lambda total, outcome, duration_ms: completions.append((total, outcome))
            )
            count = len(completions)
            await wait_until(lambda: len(completions) > count)  # noqa: B023
        assert completions == [(0.0, CallOutcome.TIMEOUT), (4.5, CallOutcome.OK)]
        assert len(peer.writers) == CONNECTION_COUNT + 1
        client.close()
        await peer.stop()

    run_scenario(scenario())


def test_a_slow_key_holds_back_the_replies_of_its_own_connection_only() -> None:
    async def scenario() -> None:
        release = asyncio.Event()

        async def reply(words: list[bytes], writer: asyncio.StreamWriter) -> bytes:
            if words[0] == b"PING":
                return b"+PONG\r\n"
            if words[1] == b"0":
                await release.wait()
            return b"$1\r\n1\r\n"

        peer = FakeRespServer(reply)
        await peer.start()
        client = CounterClient(asyncio.get_running_loop(), ("127.0.0.1", peer.port), 30.0)
        await wait_until(lambda: all(connection.is_ready() for connection in client.connections))
        completions: list[int] = []

        def increment(key: int) -> None:
            client.increment(key, 1.0, 1.0, lambda total, outcome, duration_ms: completions.append(key))

        for key in (0, 2, 4, 6, 8):
            increment(key)
        await wait_until(lambda: sorted(completions) == [2, 4, 6, 8])
        release.set()
        await wait_until(lambda: len(completions) == 5)
        client.close()
        await peer.stop()

    run_scenario(scenario())


def test_pending_calls_complete_on_the_connections_to_the_old_address() -> None:
    async def scenario() -> None:
        release = asyncio.Event()

        async def late(words: list[bytes], writer: asyncio.StreamWriter) -> bytes | None:
            if words[0] == b"INCRTTL":
                await release.wait()
            return b"+PONG\r\n" if words[0] == b"PING" else b"$1\r\n7\r\n"

        async def three(words: list[bytes], writer: asyncio.StreamWriter) -> bytes:
            return b"+PONG\r\n" if words[0] == b"PING" else b"$1\r\n3\r\n"

        old, new = FakeRespServer(late), FakeRespServer(three)
        await old.start()
        await new.start()
        client = CounterClient(asyncio.get_running_loop(), ("127.0.0.1", old.port), 30.0)
        completions: list[tuple[int, float, CallOutcome]] = []

        def increment(key: int) -> None:
            client.increment(
                key, 1.0, 1.0, lambda total, outcome, duration_ms: completions.append((key, total, outcome))
            )

        await wait_until(lambda: all(connection.is_ready() for connection in client.connections))
        increment(2)
        increment(4)
        await wait_until(lambda: len(old.received_commands()) == 2)
        client.move_to(("127.0.0.1", new.port))
        await wait_until(lambda: all(connection.is_ready() for connection in client.connections))
        increment(4)  # its old call completes now: replies for one key keep their order
        await wait_until(lambda: len(completions) == 2)
        assert completions == [(4, 0.0, CallOutcome.TIMEOUT), (4, 3.0, CallOutcome.OK)]
        release.set()
        await wait_until(lambda: len(completions) == 3)
        await wait_until(lambda: [what for what, *_ in old.log].count("closed") == CONNECTION_COUNT)
        assert completions[2] == (2, 7.0, CallOutcome.OK)
        assert len(new.received_commands()) == 1
        client.close()
        await old.stop()
        await new.stop()

    run_scenario(scenario())
