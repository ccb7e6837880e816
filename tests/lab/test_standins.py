"""The stand-ins on loopback sockets: the protocol's forms, their models, and each fault that they show."""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from typing import Any, TypeVar, cast

import pytest

from quota_gateway.lab import fakes as st
from quota_gateway.lab.fakes.faults import SPOILT
from quota_gateway.lab.fakes.loopback_server import Slot
from quota_gateway.network.discovery.watch import Discovery, News
from tests.network.harness import CUSTOMER, READ_FIELDS, RespClient, run_scenario, wait_until

E = TypeVar("E", bound=st.Endpoint)
INSTANT = st.ServerModel(service_ms=0.0)
HELD = st.ServerModel(cores=1, service_ms=60_000.0, variation=0.0, waiting=1)
SILENT_S = 0.05


@asynccontextmanager
async def started(endpoint: E) -> AsyncIterator[E]:
    await endpoint.start()
    try:
        yield endpoint
    finally:
        await endpoint.stop()


def server(model: st.ServerModel) -> st.ServerStandIn:
    return st.ServerStandIn("s0", model, st.Ledger())


def on(endpoint: E, scenario: Callable[[E, RespClient], Awaitable[None]]) -> None:
    """Runs a scenario with one connection to an endpoint."""

    async def whole() -> None:
        async with started(endpoint):
            await scenario(endpoint, await RespClient.connect(endpoint.port))

    run_scenario(whole())


# --- servers ---------------------------------------------------------------------------------------------


def test_a_server_makes_a_value_for_each_request_and_books_it() -> None:
    async def scenario(one: st.ServerStandIn, client: RespClient) -> None:
        value, used, report = await client.execute(b"CALL.GET", CUSTOMER, b"r1", READ_FIELDS)
        assert st.made_for(value) == b"r1"
        assert len(value) == one.model.value_bytes
        assert used is None
        assert report == b"active=0,waiting=0"
        (attempt,) = one.ledger.of(b"r1")
        assert attempt.outcome is st.Outcome.SERVED
        assert one.ledger.runs(b"r1") == 1
        assert 0.0 <= attempt.spent_s() < 1.0

    on(server(st.ServerModel(service_ms=0.0, reports=True)), scenario)


@pytest.mark.parametrize(
    ("words", "reply"),
    [
        ([b"PING"], "PONG"),
        ([b"CLIENT", b"SETNAME", b"x"], "OK"),
        ([b"INFO", b"load"], "NOPERM"),
        ([b"HELLO", b"3"], "ERR unknown command"),
        ([b"CALL.GET", CUSTOMER, b"r1"], "SYNTAX"),
        ([b"CALL.GET", CUSTOMER, b"r1", b"c=read"], "SYNTAX"),
        ([b"CALL.GET", CUSTOMER, b"r1", READ_FIELDS + b",units=nan"], "SYNTAX"),
    ],
)
def test_a_server_answers_what_is_no_request(words: list[bytes], reply: str) -> None:
    async def scenario(one: st.ServerStandIn, client: RespClient) -> None:
        found = await client.execute(*words)
        assert str(found if isinstance(found, Exception) else found.decode()) == reply
        assert one.ledger.unreadable == (reply == "SYNTAX")
        assert not one.ledger.attempts

    on(server(INSTANT), scenario)


def test_what_cannot_be_read_ends_a_connection() -> None:
    async def scenario(one: st.ServerStandIn, client: RespClient) -> None:
        client.writer.write(b"?\r\n")
        assert await client.closed_by_gateway()

    on(server(INSTANT), scenario)


def test_past_cores_and_line_a_server_turns_away_and_a_caller_that_left_does_not_run() -> None:
    async def scenario(one: st.ServerStandIn, client: RespClient) -> None:
        waiting, third = await RespClient.connect(one.port), await RespClient.connect(one.port)
        client.send(b"CALL.GET", CUSTOMER, b"runs", READ_FIELDS)
        await wait_until(lambda: one.ledger.of(b"runs"))
        waiting.send(b"CALL.GET", CUSTOMER, b"waits", READ_FIELDS)
        await wait_until(lambda: one.held == 2)
        assert str(await third.execute(b"CALL.GET", CUSTOMER, b"late", READ_FIELDS)) == "BUSY"
        waiting.writer.close()
        await wait_until(lambda: len(one.connections) == 2)
        (busy,) = (cast("Any", each) for each in one.connections if not each.idle())
        one._finish(busy._slots[0], one.ledger.of(b"runs")[0], None)  # its minute is over
        assert st.made_for((await client.read_reply())[0]) == b"runs"
        found = [one.ledger.of(name)[0].outcome for name in (b"runs", b"waits", b"late")]
        assert found == [st.Outcome.SERVED, st.Outcome.ABANDONED, st.Outcome.BUSY]
        assert [one.ledger.runs(name) for name in (b"runs", b"waits", b"late")] == [1, 0, 0]

    on(server(HELD), scenario)


def test_a_draining_server_completes_what_it_has_and_wants_nothing_new() -> None:
    async def scenario(one: st.ServerStandIn, client: RespClient) -> None:
        client.send(b"CALL.GET", CUSTOMER, b"old", READ_FIELDS)
        await wait_until(lambda: one.held)
        one.draining = True
        other = await RespClient.connect(one.port)
        assert str(await other.execute(b"CALL.GET", CUSTOMER, b"new", READ_FIELDS)) == "BUSY"
        assert st.made_for((await client.read_reply())[0]) == b"old"

    on(server(st.ServerModel(service_ms=30.0, variation=0.0)), scenario)


def test_answers_on_a_connection_come_in_the_order_of_its_requests() -> None:
    async def scenario(one: st.ServerStandIn, client: RespClient) -> None:
        names = [b"r%d" % number for number in range(20)]
        for name in names:
            client.send(b"CALL.GET", CUSTOMER, name, READ_FIELDS)
        assert [st.made_for((await client.read_reply())[0]) for _ in names] == names
        ends = [one.ledger.of(name)[0].ended or 0.0 for name in names]
        assert ends != sorted(ends)  # they were carried out beside each other

    on(server(st.ServerModel(cores=8, service_ms=3.0, variation=1.0, waiting=20)), scenario)


def test_a_connection_without_calls_is_closed() -> None:
    async def scenario(one: st.ServerStandIn, client: RespClient) -> None:
        assert await client.closed_by_gateway()

    on(server(st.ServerModel(idle_ms=20.0)), scenario)


def test_service_times_are_drawn_from_the_seed_with_the_mean_of_the_model() -> None:
    async def scenario() -> None:
        model, slot = st.ServerModel(service_ms=4.0), Slot(cast("Any", None), False)
        some = [st.ServerStandIn("s", model, st.Ledger(), seed) for seed in (7, 7, 8)]
        draws = [[one._service_s(slot, 2.0) for _ in range(4000)] for one in some]
        assert draws[0] == draws[1] != draws[2]
        assert sum(draws[0]) / 4000 == pytest.approx(0.008, rel=0.05)

    run_scenario(scenario())


# --- the counter -----------------------------------------------------------------------------------------


def test_the_counter_adds_and_forgets_names_when_their_life_has_ended() -> None:
    async def scenario(one: st.CounterStandIn, client: RespClient) -> None:
        assert await client.execute(b"INCRTTL", b"a", b"2.5", b"60000") == b"2.5"
        assert await client.execute(b"INCRTTL", b"a", b"-1", b"1") == b"1.5"  # the first call set its life
        assert await client.execute(b"INCRTTL", b"b", b"1e3", b"30") == b"1000"
        assert one.total(b"a") == 1.5
        await wait_until(lambda: one.total(b"b") is None)
        assert await client.execute(b"INCRTTL", b"b", b"1", b"60000") == b"1"

    on(st.CounterStandIn(st.CounterModel()), scenario)


@pytest.mark.parametrize(
    "words",
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
def test_the_counter_turns_down_what_is_no_call(words: list[bytes]) -> None:
    async def scenario(one: st.CounterStandIn, client: RespClient) -> None:
        assert str(await client.execute(*words)).startswith("ERR ")
        assert one.total(b"a") is None

    on(st.CounterStandIn(st.CounterModel()), scenario)


def test_calls_past_the_capacity_of_a_part_are_turned_away_and_not_added() -> None:
    async def scenario(one: st.CounterStandIn, client: RespClient) -> None:
        for _ in range(5):
            client.send(b"INCRTTL", b"a", b"1", b"60000")
        replies = [await client.read_reply() for _ in range(5)]
        assert [str(each) for each in replies[2:]] == ["BUSY"] * 3
        assert replies[:2] == [b"1", b"2"]
        assert one.turned_away == 3

    # A turn takes 50 ms, so the third call's would begin after 100 ms, which is too long.
    on(st.CounterStandIn(st.CounterModel(per_part=20.0, longest_wait_ms=75.0)), scenario)


# --- discovery -------------------------------------------------------------------------------------------


async def get(client: RespClient, query: str = "", path: str = "/v1/servers") -> tuple[int, Any]:
    """One call: the status, and what the body holds."""
    client.writer.write(f"GET {path}{query} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
    head = (await client.reader.readuntil(b"\r\n\r\n")).decode().lower()
    length = int(head.partition("content-length: ")[2].split("\r\n")[0])
    body = await client.reader.readexactly(length)
    return int(head.split()[1]), json.loads(body) if body else None


def test_a_watch_waits_for_news_and_gets_the_changes() -> None:
    async def scenario(one: st.DiscoveryStandIn, client: RespClient) -> None:
        one.put(st.ServerRow("s0", "127.0.0.1:1"))
        one.put(st.ServerRow("s1", "127.0.0.1:2"))
        status, whole = await get(client)
        assert status == 200
        assert whole["full"]
        assert [row["id"] for row in whole["servers"]] == ["s0", "s1"]
        query = f"?since={whole['version']}&timeout_ms=20000"
        watch = asyncio.ensure_future(get(client, query))
        await wait_until(lambda: one._watches)
        one.drain("s1")
        _, news = await watch
        assert not news["full"]
        assert news["version"] == whole["version"] + 1
        assert [(row["id"], row["state"]) for row in news["servers"]] == [("s1", "Terminating")]
        one.remove("s0")
        _, both = await get(client, query)  # at once, as there is something newer
        assert {row["id"]: row["state"] for row in both["servers"]} == {"s0": "Gone", "s1": "Terminating"}
        _, rest = await get(client)
        assert [row["id"] for row in rest["servers"]] == ["s1"]

    on(st.DiscoveryStandIn(), scenario)


def test_a_watch_without_news_ends_with_its_time_and_unknown_versions_get_the_whole_list() -> None:
    async def scenario(one: st.DiscoveryStandIn, client: RespClient) -> None:
        one.put(st.ServerRow("s0", "127.0.0.1:1"))
        began = time.monotonic()
        _, none = await get(client, f"?since={one.version}&timeout_ms=40")
        assert none == {"version": one.version, "full": False, "servers": []}
        assert time.monotonic() - began >= 0.035
        one._oldest = one.version
        for since in (one.version + 5, 0):
            assert (await get(client, f"?since={since}&timeout_ms=40"))[1]["full"]
        assert (await get(client, "?since=x&timeout_ms=1"))[0] == 400
        assert (await get(client, "?since=1&timeout_ms=nan"))[0] == 400
        assert (await get(client, path="/v2"))[0] == 404

    on(st.DiscoveryStandIn(), scenario)


def test_servers_that_went_long_ago_are_forgotten(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("quota_gateway.lab.fakes.discovery.HISTORY", 3)
    one = st.DiscoveryStandIn()
    for number in range(10):
        one.put(st.ServerRow(f"s{number}", "127.0.0.1:1"))
        one.remove(f"s{number}")
    assert len(one._rows) <= 3
    assert one.changes(2).full
    assert not one.changes(one.version - 1).full


def test_the_gateways_own_watch_follows_the_stand_in() -> None:
    async def scenario() -> None:
        async with started(st.DiscoveryStandIn()) as one:
            told: list[News] = []
            one.put(st.ServerRow("s0", "127.0.0.1:1"))

            def tell(news: News) -> tuple[()]:
                told.append(news)
                return ()

            watch = Discovery(asyncio.get_running_loop(), ("127.0.0.1", one.port), tell)
            watch.start()
            await wait_until(lambda: told)
            one.drain("s0")
            await wait_until(lambda: len(told) == 2)
            assert [news.version for news in told] == [2, 3]
            watch.close()

    run_scenario(scenario())


# --- faults ----------------------------------------------------------------------------------------------


def test_faults_are_checked_when_they_are_made_and_injected() -> None:
    for kind, share, delay in (
        ("reset", 0.0, 0.0),
        ("reset", 1.5, 0.0),
        ("reset", float("nan"), 0.0),
        ("reset", 1.0, 5.0),
        ("late", 1.0, 0.0),
        ("late", 1.0, float("inf")),
    ):
        with pytest.raises(st.FaultError):
            st.Fault(st.FaultKind(kind), share, delay)
    with pytest.raises(st.FaultError, match="cut"):
        server(INSTANT).faults.inject(st.Fault(st.FaultKind.CUT))


def test_a_fault_strikes_its_share_until_it_is_cleared() -> None:
    faults = server(INSTANT).faults
    faults.inject(st.Fault(st.FaultKind.SILENCE, 0.3))
    assert sum(faults.strike() is not None for _ in range(4000)) == pytest.approx(1200, rel=0.1)
    faults.clear()
    assert faults.strike() is None


async def shown(client: RespClient, kind: st.FaultKind) -> None:
    """Waits for what a fault shows to the caller of a RESP endpoint."""
    if kind is st.FaultKind.RESET:
        with pytest.raises(ConnectionResetError):
            await client.read_reply()
    elif kind is st.FaultKind.SILENCE:
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(client.read_reply(), SILENT_S)
    elif kind is st.FaultKind.PARTIAL:
        assert (await client.reader.read()).startswith(b"*3\r\n$64\r\nr1 s0")
    elif kind is st.FaultKind.SPOILT:
        assert (await client.reader.read(65536)).startswith(SPOILT)
    else:
        assert str(await client.read_reply()) == ("ERR failed" if kind is st.FaultKind.ERROR else "BUSY")


@pytest.mark.parametrize(
    ("kind", "outcome", "runs"),
    [
        ("reset", "broken", 1),
        ("silence", "open", 1),
        ("partial", "broken", 1),
        ("spoilt", "broken", 1),
        ("error", "failed", 1),
        ("unavailable", "busy", 0),
    ],
)
def test_what_a_faulty_server_shows_and_whether_it_has_run(kind: str, outcome: str, runs: int) -> None:
    async def scenario(one: st.ServerStandIn, client: RespClient) -> None:
        one.faults.inject(st.Fault(st.FaultKind(kind)))
        client.send(b"CALL.GET", CUSTOMER, b"r1", READ_FIELDS)
        await shown(client, st.FaultKind(kind))
        assert one.ledger.outcomes() == {outcome: 1}
        assert one.ledger.runs(b"r1") == runs

    on(server(INSTANT), scenario)


@pytest.mark.parametrize("kind", ["reset", "silence", "spoilt", "unavailable"])
def test_a_faulty_counter_has_added_unless_it_turned_the_call_away(kind: str) -> None:
    async def scenario(one: st.CounterStandIn, client: RespClient) -> None:
        one.faults.inject(st.Fault(st.FaultKind(kind)))
        client.send(b"INCRTTL", b"a", b"1", b"60000")
        await shown(client, st.FaultKind(kind))
        assert one.total(b"a") == (None if kind == "unavailable" else 1.0)

    on(st.CounterStandIn(st.CounterModel()), scenario)


def test_faulty_discovery_resets_stays_silent_or_turns_away() -> None:
    async def scenario(one: st.DiscoveryStandIn, client: RespClient) -> None:
        one.faults.inject(st.Fault(st.FaultKind.UNAVAILABLE))
        assert await get(client) == (503, None)
        one.faults.clear()
        assert (await get(client))[0] == 200  # on the same connection
        one.faults.inject(st.Fault(st.FaultKind.SILENCE))
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(get(client), SILENT_S)
        one.faults.clear()
        one.faults.inject(st.Fault(st.FaultKind.RESET))
        with pytest.raises(ConnectionResetError):
            await get(await RespClient.connect(one.port))

    on(st.DiscoveryStandIn(), scenario)


def test_late_answers_come_late_and_whole() -> None:
    late = st.Fault(st.FaultKind.LATE, delay_ms=60.0)

    async def took(call: Awaitable[Any]) -> float:
        began = time.monotonic()
        await call
        return time.monotonic() - began

    async def scenario() -> None:
        async with (
            started(server(INSTANT)) as one,
            started(st.CounterStandIn(st.CounterModel())) as counter,
            started(st.DiscoveryStandIn()) as discovery,
        ):
            for endpoint in (one, counter, discovery):
                endpoint.faults.inject(late)
            client = await RespClient.connect(one.port)
            assert await took(client.execute(b"CALL.GET", CUSTOMER, b"r1", READ_FIELDS)) >= 0.055
            assert one.ledger.of(b"r1")[0].spent_s() >= 0.055
            client = await RespClient.connect(counter.port)
            assert await took(client.execute(b"INCRTTL", b"a", b"1", b"9")) >= 0.055
            assert await took(get(await RespClient.connect(discovery.port))) >= 0.055

    run_scenario(scenario())


def test_an_endpoint_that_stopped_refuses_and_comes_back_at_its_address() -> None:
    async def scenario(one: st.ServerStandIn, client: RespClient) -> None:
        port = one.port
        await one.stop()
        with pytest.raises(ConnectionResetError):
            await client.read_reply()
        with pytest.raises(ConnectionRefusedError):
            await RespClient.connect(port)
        await one.start()
        again = await RespClient.connect(port)
        assert await again.execute(b"PING") == b"PONG"

    on(server(INSTANT), scenario)
