"""The open-loop client against gateways that do wrong: what it counts, and from when."""

from __future__ import annotations

import asyncio
from collections import Counter as Tallies
from itertools import pairwise
from typing import Any

import pytest

from quota_gateway.lab.fakes.attempt_log import Attempt, AttemptLog
from quota_gateway.lab.fakes.server import FakeServer, ServerModel, request_id_of
from quota_gateway.lab.load import client as load_module
from quota_gateway.lab.load import deployment as site
from quota_gateway.lab.load.client import (
    Load,
    LoadError,
    LoadPlan,
    Outcome,
    Request,
    Tally,
    schedule,
    tenants,
)
from tests.network.harness import FakeRespServer, Reply, always_reply, run_scenario, wait_until

SITE = site.read(site.settings(3))


def requests(count: int, gap_s: float = 0.0, **changes: Any) -> list[Request]:
    """So many reads for gateway 0, evenly apart."""
    drawn = [each for each in schedule(SITE, LoadPlan(1000.0, 1.0)) if not each.unsafe][:count]
    for number, each in enumerate(drawn):
        each.gateway, each.due = 0, number * gap_s
        for key, value in changes.items():
            setattr(each, key, value)
    return drawn


def value(words: list[bytes]) -> bytes:
    """A value made for a request."""
    return b"$%d\r\n%b x\r\n" % (len(words[2]) + 2, words[2])


def against(reply: Reply | None, sent: list[Request], ledger: AttemptLog | None = None) -> Tally:
    """A load on a scripted gateway, or on one that has gone, in a loop of its own."""
    made: list[Tally] = []

    async def scenario() -> None:
        peer = FakeRespServer(reply or always_reply(None))
        await peer.start()
        if reply is None:
            await peer.stop()
        made.append(await Load([("127.0.0.1", peer.port)], sent, ledger or AttemptLog()).run())
        await peer.stop()

    run_scenario(scenario())
    return made[0]


def test_equal_seeds_give_equal_schedules_at_the_rate_asked_for() -> None:
    plan = LoadPlan(500.0, 4.0, seed=7)
    one, same, other = (schedule(SITE, each) for each in (plan, plan, LoadPlan(500.0, 4.0, seed=8)))
    assert [each.command for each in one] == [each.command for each in same]
    assert [each.due for each in one] == [each.due for each in same] != [each.due for each in other]
    assert len(one) == 2000
    assert 0.0 <= one[0].due <= one[-1].due < 4.0
    gaps = sorted(b.due - a.due for a, b in pairwise(one))
    assert gaps[1000] == pytest.approx(0.69 / 500.0, rel=0.15)  # the median of an exponential
    assert len({each.request_id for each in one}) == 2000
    assert 0.7 < sum(b"CALL.GET" in each.command for each in one) / 2000 < 0.9
    assert set(Tallies(each.gateway for each in one)) == {0, 1, 2}


@pytest.mark.parametrize(("beyond", "share"), [(0.0, 0.0), (0.25, 0.25), (1.0, 1.0)])
def test_tenants_ask_for_the_whole_rate_and_a_share_of_them_for_too_much(beyond: float, share: float) -> None:
    made = tenants(SITE, LoadPlan(800.0, 1.0, beyond=beyond))
    quota = {plan.name: plan.per_second for plan in SITE.packages}
    over = sum(each.rate * load_module.MEAN_UNITS > quota[each.plan] for each in made[:-1])
    assert sum(each.rate for each in made) == pytest.approx(800.0)
    assert over / len(made) == pytest.approx(share, abs=0.02)
    assert all(len(each.customer) == 16 and int(each.customer, 16) < 1 << 33 for each in made)


@pytest.mark.parametrize(
    "arguments",
    [
        (0.0, 1.0),
        (-1.0, 1.0),
        (float("nan"), 1.0),
        (1.0, float("inf")),
        (1.0, 0.0),
        (1e9, 1.0),
        (20_000.0, 3600.0),
        (1.0, 1.0, -1),
        (1.0, 1.0, 1, 1.5),
    ],
)
def test_a_load_without_bounds_is_turned_down(arguments: tuple[Any, ...]) -> None:
    with pytest.raises(LoadError) as error:
        LoadPlan(*arguments)
    assert "\n" not in str(error.value)


@pytest.mark.parametrize(
    ("raw", "message"),
    [
        ({}, "missing required field `packages`"),
        ({"packages": [], "profiles": []}, "no plan, no class or no gateway"),
        ({"packages": [{"name": 5}]}, "packages"),
    ],
)
def test_settings_that_name_nothing_to_ask_for_are_turned_down(raw: dict[str, Any], message: str) -> None:
    with pytest.raises(ValueError, match=message):
        site.read(raw)


def test_the_load_does_not_wait_for_answers_and_counts_a_stall_from_the_intended_sending() -> None:
    came: list[bytes] = []
    all_came = asyncio.Event()

    async def stalls(words: list[bytes], writer: asyncio.StreamWriter) -> bytes:
        came.append(words[2])
        if len(came) == 40:
            await asyncio.sleep(0.1)  # the last one's stall; all others waited longer
            all_came.set()
        await all_came.wait()
        return value(words)

    tally = against(stalls, requests(40, gap_s=0.005))
    assert tally.counts[Outcome.SERVED] == 40
    latency = tally.latency[Outcome.SERVED]
    assert latency.get_min_value() >= 99_000  # of the last
    assert latency.get_max_value() >= 290_000  # of the first, due 195 ms before the last
    assert latency.get_value_at_percentile(50.0) >= 190_000


def test_with_all_connections_busy_requests_go_behind_others(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(load_module, "CONNECTIONS", 2)
    came: list[bytes] = []

    async def late(words: list[bytes], writer: asyncio.StreamWriter) -> bytes:
        came.append(words[2])
        await wait_until(lambda: len(came) >= 2)
        return value(words)

    assert against(late, requests(12)).counts[Outcome.SERVED] == 12


@pytest.mark.parametrize(
    ("reply", "outcome", "why"),
    [
        (b"-BUSY 20\r\n", Outcome.REFUSED_AFTER, ""),
        (b"-BUSY\r\n", Outcome.REFUSED, ""),
        (b"-BUSY soon\r\n", Outcome.FAILED, ""),
        (b"-ERR failed\r\n", Outcome.FAILED, ""),
        (b"$-1\r\n", Outcome.FAILED, ""),
        (b"$6\r\nother \r\n", Outcome.LOST, "another request's value"),
        (b"?", Outcome.LOST, "connection ended"),
        (None, Outcome.LOST, "no answer"),
    ],
)
def test_what_each_answer_counts_as(
    reply: bytes | None, outcome: Outcome, why: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(load_module, "PATIENCE_S", 0.01)
    tally = against(always_reply(reply), requests(1, wait_s=0.05 if reply is None else 5.0))
    assert tally.counts[outcome] == 1 == tally.total
    assert tally.losses == ({why: 1} if why else {})


def test_a_gateway_that_is_not_there_loses_all() -> None:
    assert against(None, requests(3)).losses == {"no connection": 3}


def test_a_second_answer_is_counted_and_ends_its_connection() -> None:
    async def twice(words: list[bytes], writer: asyncio.StreamWriter) -> bytes:
        return value(words) * 2

    tally = against(twice, requests(5, gap_s=0.01))
    assert tally.counts[Outcome.SERVED] == 5
    assert tally.doubled == 5


def test_an_answer_past_the_deadline_is_late() -> None:
    async def late(words: list[bytes], writer: asyncio.StreamWriter) -> bytes:
        await asyncio.sleep(load_module.LATE_S + 0.05)
        return value(words)

    tally = against(late, requests(1, wait_s=0.01))
    assert tally.counts[Outcome.SERVED] == tally.late == 1


@pytest.mark.parametrize(
    ("idle_s", "sent_on", "served", "why"),
    [
        (0.0, False, 2, {}),  # a close that crossed the request: it is sent once more, on a new connection
        (0.0, True, 1, {"connection ended after it was sent on": 1}),
        (60.0, False, 1, {"connection ended": 1}),  # no gateway closes a connection so soon after an answer
    ],
)
def test_a_close_loses_a_request_unless_it_crossed_it_between_requests(
    idle_s: float, sent_on: bool, served: int, why: dict[str, int], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(load_module, "SEND_AGAIN_IDLE_S", idle_s)
    sent, ledger = requests(2, gap_s=0.05), AttemptLog()
    came: list[bytes] = []

    async def closes(words: list[bytes], writer: asyncio.StreamWriter) -> bytes | None:
        came.append(words[2])
        if len(came) != 2:
            return value(words)
        if sent_on:
            ledger.record(Attempt(words[2], "s0", 0.0))
        writer.close()
        return None

    tally = against(closes, sent, ledger)
    assert tally.counts[Outcome.SERVED] == served
    assert tally.losses == why
    assert tally.sent_again == (not idle_s)


def test_the_time_added_leaves_out_what_the_servers_took_and_unsafe_requests_run_once() -> None:
    async def scenario() -> None:
        ledger = AttemptLog()
        server = FakeServer("s0", ServerModel(cores=1, service_ms=40.0, variation=0.0), ledger)
        await server.start()
        sent = requests(3)
        try:
            tally = await Load([("127.0.0.1", server.port)], sent, ledger).run()
        finally:
            await server.stop()
        assert tally.latency[Outcome.SERVED].get_max_value() > 115_000  # the third waited for the others
        assert tally.added.get_total_count() == 3
        assert tally.added.get_max_value() < 80_000
        again = Tally()
        sent[0].unsafe = True
        ledger.record(Attempt(sent[0].request_id, "s1", 0.0, started_at=0.0))
        again.add(sent[0], ledger)
        assert again.ran_twice == 1
        assert request_id_of(b"r1 s0 ..") == b"r1"

    run_scenario(scenario())
