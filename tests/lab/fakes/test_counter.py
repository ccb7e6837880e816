"""The fake counter: totals, expiry, capacity, and how each injected fault appears to the caller."""

from __future__ import annotations

import pytest

from quota_gateway.lab.fakes.counter import CounterModel, FakeCounter
from quota_gateway.lab.fakes.faults import Fault, FaultKind
from tests.lab.fakes.harness import assert_fault_shows, run_with_connection
from tests.network.scenario import wait_until
from tests.network.scripted_peers import RespClient


def test_the_counter_adds_amounts_and_drops_names_that_have_expired() -> None:
    async def scenario(counter: FakeCounter, client: RespClient) -> None:
        assert await client.execute(b"INCRTTL", b"a", b"2.5", b"60000") == b"2.5"
        assert await client.execute(b"INCRTTL", b"a", b"-1", b"1") == b"1.5"  # the expiry is unchanged
        assert await client.execute(b"INCRTTL", b"b", b"1e3", b"30") == b"1000"
        assert counter.total(b"a") == 1.5
        await wait_until(lambda: counter.total(b"b") is None)
        assert await client.execute(b"INCRTTL", b"b", b"1", b"60000") == b"1"

    run_with_connection(FakeCounter(CounterModel()), scenario)


@pytest.mark.parametrize(
    "arguments",
    [
        [b"INCRTTL", b"a", b"1"],
        [b"INCRTTL", b"", b"1", b"9"],
        [b"INCRTTL", b"x" * 65, b"1", b"9"],
        [b"INCRTTL", b"a", b"2e9", b"9"],
        [b"INCRTTL", b"a", b"nan", b"9"],
        [b"INCRTTL", b"a", b"1", b"0"],
        [b"INCRTTL", b"a", b"one", b"9"],
        [b"GET", b"a"],
    ],
)
def test_the_counter_replies_with_an_error_to_invalid_calls(arguments: list[bytes]) -> None:
    async def scenario(counter: FakeCounter, client: RespClient) -> None:
        assert str(await client.execute(*arguments)).startswith("ERR ")
        assert counter.total(b"a") is None

    run_with_connection(FakeCounter(CounterModel()), scenario)


def test_calls_past_the_capacity_of_a_partition_are_rejected_and_not_added() -> None:
    async def scenario(counter: FakeCounter, client: RespClient) -> None:
        for _ in range(5):
            client.send(b"INCRTTL", b"a", b"1", b"60000")
        replies = [await client.read_reply() for _ in range(5)]
        assert [str(reply) for reply in replies[2:]] == ["BUSY"] * 3
        assert replies[:2] == [b"1", b"2"]
        assert counter.rejected_count == 3

    # Each call takes 50 ms, so the third would be queued for 100 ms, longer than the limit of 75 ms.
    run_with_connection(FakeCounter(CounterModel(calls_per_s=20.0, max_queue_wait_ms=75.0)), scenario)


@pytest.mark.parametrize("kind", ["reset", "silence", "spoilt", "unavailable"])
def test_a_faulty_counter_has_added_the_amount_unless_it_rejected_the_call(kind: str) -> None:
    async def scenario(counter: FakeCounter, client: RespClient) -> None:
        counter.faults.inject(Fault(FaultKind(kind)))
        client.send(b"INCRTTL", b"a", b"1", b"60000")
        await assert_fault_shows(client, FaultKind(kind))
        assert counter.total(b"a") == (None if kind == "unavailable" else 1.0)

    run_with_connection(FakeCounter(CounterModel()), scenario)
