"""The client of the shared counter over loopback sockets."""

from __future__ import annotations

import asyncio

import pytest

from quota_gateway.network.counter_client import CONNECTION_COUNT, CounterClient
from quota_gateway.policy_api.events import CallOutcome
from tests.network.scenario import run_scenario, wait_until
from tests.network.scripted_peers import ScriptedRespServer


class RecordedClient:
    """A client that records the key, total and outcome of each completed increment."""

    def __init__(self, port: int, timeout_s: float = 30.0) -> None:
        self.client = CounterClient(asyncio.get_running_loop(), ("127.0.0.1", port), timeout_s)
        self.completions: list[tuple[int, float, CallOutcome]] = []

    async def wait_until_ready(self) -> None:
        await wait_until(lambda: all(connection.is_ready() for connection in self.client.connections))

    def increment(self, key: int, amount: float = 1.0, ttl_ms: float = 1.0) -> None:
        self.client.increment(
            key,
            amount,
            ttl_ms,
            lambda total, outcome, duration_ms: self.completions.append((key, total, outcome)),
        )

    async def wait_for_completions(self, count: int) -> None:
        await wait_until(lambda: len(self.completions) == count)


def test_replies_match_calls_in_order_also_after_a_late_reply() -> None:
    async def scenario() -> None:
        release = asyncio.Event()

        async def reply(words: list[bytes], writer: asyncio.StreamWriter) -> bytes:
            if words[0] == b"PING":
                return b"+PONG\r\n"
            if words[1] == b"2":
                await release.wait()
            return b"-BUSY\r\n" if words[1] == b"6" else b"$1\r\n%b\r\n" % words[1]

        peer = ScriptedRespServer(reply)
        await peer.start()
        recorded = RecordedClient(peer.port, timeout_s=0.05)
        recorded.increment(2)
        assert recorded.completions == [(2, 0.0, CallOutcome.UNREACHABLE)]  # not connected, so not counted
        await recorded.wait_until_ready()
        recorded.increment(2, 1.5, 4000.0)
        await recorded.wait_for_completions(2)
        recorded.client.timeout_s = 30.0
        recorded.increment(4)
        recorded.increment(6)
        release.set()
        await recorded.wait_for_completions(4)
        assert recorded.completions[1:] == [
            (2, 0.0, CallOutcome.TIMEOUT),
            (4, 4.0, CallOutcome.OK),
            (6, 0.0, CallOutcome.REJECTED),
        ]
        assert peer.received_commands()[0] == [b"INCRTTL", b"2", b"1.500", b"4000"]
        recorded.client.close()
        await peer.stop()

    run_scenario(scenario())


def test_a_call_is_not_retried_after_the_counter_disconnects_and_the_next_uses_a_new_connection() -> None:
    async def scenario() -> None:
        has_disconnected = False

        async def reply(words: list[bytes], writer: asyncio.StreamWriter) -> bytes | None:
            nonlocal has_disconnected
            if words[0] == b"PING":
                return b"+PONG\r\n"
            if not has_disconnected:
                has_disconnected = True
                writer.close()
                return None
            return b"$1\r\n3\r\n"

        peer = ScriptedRespServer(reply)
        await peer.start()
        recorded = RecordedClient(peer.port)
        for count in (1, 2):
            await recorded.wait_until_ready()
            recorded.increment(2)
            await recorded.wait_for_completions(count)
        assert recorded.completions == [(2, 0.0, CallOutcome.TIMEOUT), (2, 3.0, CallOutcome.OK)]
        assert len(peer.received_commands()) == 2  # the first call was not retried
        recorded.client.close()
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
def test_a_malformed_reply_times_out_the_call_and_ends_the_connection(malformed: bytes) -> None:
    async def scenario() -> None:
        answers = [malformed, b"$3\r\n4.5\r\n"]

        async def reply(words: list[bytes], writer: asyncio.StreamWriter) -> bytes:
            return b"+PONG\r\n" if words[0] == b"PING" else answers.pop(0)

        peer = ScriptedRespServer(reply)
        await peer.start()
        recorded = RecordedClient(peer.port)
        for count in (1, 2):
            await recorded.wait_until_ready()
            recorded.increment(5)
            await recorded.wait_for_completions(count)
        assert recorded.completions == [(5, 0.0, CallOutcome.TIMEOUT), (5, 4.5, CallOutcome.OK)]
        assert len(peer.writers) == CONNECTION_COUNT + 1
        recorded.client.close()
        await peer.stop()

    run_scenario(scenario())


def test_a_slow_key_delays_only_the_replies_of_its_own_connection() -> None:
    async def scenario() -> None:
        release = asyncio.Event()

        async def reply(words: list[bytes], writer: asyncio.StreamWriter) -> bytes:
            if words[0] == b"PING":
                return b"+PONG\r\n"
            if words[1] == b"0":
                await release.wait()
            return b"$1\r\n1\r\n"

        peer = ScriptedRespServer(reply)
        await peer.start()
        recorded = RecordedClient(peer.port)
        await recorded.wait_until_ready()
        for key in (0, 2, 4, 6, 8):
            recorded.increment(key)
        await wait_until(lambda: sorted(key for key, *_ in recorded.completions) == [2, 4, 6, 8])
        release.set()
        await recorded.wait_for_completions(5)
        recorded.client.close()
        await peer.stop()

    run_scenario(scenario())


def test_pending_calls_complete_on_the_connections_to_the_old_address() -> None:
    async def scenario() -> None:
        release = asyncio.Event()

        async def reply_late(words: list[bytes], writer: asyncio.StreamWriter) -> bytes | None:
            if words[0] == b"INCRTTL":
                await release.wait()
            return b"+PONG\r\n" if words[0] == b"PING" else b"$1\r\n7\r\n"

        async def reply_three(words: list[bytes], writer: asyncio.StreamWriter) -> bytes:
            return b"+PONG\r\n" if words[0] == b"PING" else b"$1\r\n3\r\n"

        old = ScriptedRespServer(reply_late)
        new = ScriptedRespServer(reply_three)
        await old.start()
        await new.start()
        recorded = RecordedClient(old.port)
        await recorded.wait_until_ready()
        recorded.increment(2)
        recorded.increment(4)
        await wait_until(lambda: len(old.received_commands()) == 2)
        recorded.client.move_to(("127.0.0.1", new.port))
        await recorded.wait_until_ready()
        recorded.increment(4)  # completes the old call for 4, so that replies for one key keep their order
        await recorded.wait_for_completions(2)
        assert recorded.completions == [(4, 0.0, CallOutcome.TIMEOUT), (4, 3.0, CallOutcome.OK)]
        release.set()
        await recorded.wait_for_completions(3)
        await wait_until(lambda: [event for event, *_ in old.log].count("closed") == CONNECTION_COUNT)
        assert recorded.completions[2] == (2, 7.0, CallOutcome.OK)
        assert len(new.received_commands()) == 1
        recorded.client.close()
        await old.stop()
        await new.stop()

    run_scenario(scenario())
