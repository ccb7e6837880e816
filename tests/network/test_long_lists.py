"""A whole list of a large fleet: read and taken in by steps, with other work in between."""

from __future__ import annotations

import asyncio
import itertools
import json
import random
from typing import Any

import pytest

from quota_gateway.network.discovery.watch import LONG_BODY, STEP, ListError, LongList, read_list
from quota_gateway.policy_api.endpoints import EndpointUpdate
from tests.network.harness import (
    CUSTOMER,
    OK_RESPONSE,
    READ_FIELDS,
    FakeDiscovery,
    ScriptedPolicy,
    always_reply,
    forward_to,
    http_response,
    run_scenario,
    running_gateway,
    server_row,
    wait_until,
)

MANY = 20_000


def rows(many: int) -> list[dict[str, Any]]:
    states = ["Ready"] * 8 + ["Terminating", "Strange"]
    return [server_row(f"s-{i:08x}", 1 + i % 60_000, states[i % 10], float(i % 3)) for i in range(many)]


def read(body: bytes) -> Any:
    long = LongList(body)
    for _ in long.steps():
        pass
    return long.news()


@pytest.mark.parametrize("indent", [None, 2])
@pytest.mark.parametrize("many", [0, 1, STEP, STEP + 1, 1000])
def test_what_is_read_in_steps_is_what_is_read_at_once(many: int, indent: int | None) -> None:
    raw = {"version": 7, "full": True, "servers": rows(many), "more": {"x": [1, "]"]}}
    for names in itertools.permutations(raw):
        text = json.dumps({name: raw[name] for name in names}, indent=indent)
        assert read(text.encode()) == read_list(raw)


def test_no_step_takes_in_more_than_a_few_servers() -> None:
    long = LongList(json.dumps({"version": 7, "full": False, "servers": rows(MANY)}).encode())
    lengths = [0, *(len(long.entries) for _ in long.steps()), len(long.entries)]
    assert max(b - a for a, b in itertools.pairwise(lengths)) <= STEP
    assert lengths[-1] == MANY


def test_a_list_that_is_spoilt_anywhere_is_turned_down() -> None:
    body = json.dumps({"version": 7, "full": True, "servers": rows(30)}).encode()
    rng = random.Random(1)
    for _ in range(300):
        cut = rng.randrange(len(body))
        for spoilt in (body[:cut], body[:cut] + b"\xff" + body[cut:], body + body[cut:], body[cut:]):
            if spoilt != body and spoilt != body + b"":
                with pytest.raises(ListError):
                    read(spoilt)


@pytest.mark.parametrize("name", ["version", "full", "servers"])
@pytest.mark.parametrize("value", [None, "x", [5], {"a": 1}])
def test_a_list_with_bad_members_is_turned_down_or_read_as_at_once(name: str, value: Any) -> None:
    raw: dict[str, Any] = {"version": 7, "full": True, "servers": rows(3)} | {name: value}
    try:
        expected = read_list(raw)
    except ListError:
        expected = None
    if expected is None:
        with pytest.raises(ListError):
            read(json.dumps(raw).encode())
    else:
        assert read(json.dumps(raw).encode()) == expected


def test_requests_are_served_while_a_long_list_is_read_and_taken_in() -> None:
    """It took 0.1 s to read and as long to take in; the loop now turns in between, at least once a step."""

    async def scenario() -> None:
        many = [*rows(MANY), server_row("s0", 80)]
        body = json.dumps({"version": 9, "full": True, "servers": many}).encode()
        assert len(body) > LONG_BODY
        discovery = FakeDiscovery()
        script = ScriptedPolicy(forward_to("s0"))
        async with running_gateway(always_reply(OK_RESPONSE), policy=script, discovery=discovery) as one:
            many[-1] = server_row("s0", one.servers[0].port)
            client = await one.connect_client()
            server_pools, turns, served = one.program.server_pools, 0, []

            async def turning() -> None:
                nonlocal turns
                while True:
                    turns += 1
                    await asyncio.sleep(0)

            async def asking() -> None:
                for number in itertools.count():
                    reply = await client.execute(b"CALL.GET", CUSTOMER, b"%d" % number, READ_FIELDS)
                    assert reply == b"value"
                    served.append(len(server_pools.pools))

            tasks = [asyncio.ensure_future(turning()), asyncio.ensure_future(asking())]
            await wait_until(lambda: served)
            before = turns
            discovery.answers.append(
                http_response(json.dumps({"version": 9, "full": True, "servers": many}).encode())
            )
            active = sum(server["state"] == "Ready" for server in many)
            await wait_until(lambda: len(server_pools.pools) >= active)
            assert turns - before >= 2 * MANY // STEP
            assert any(1 < pools < active for pools in served)  # a request was served in the middle of it
            taken = script.events_of(EndpointUpdate)
            assert max(len(news.endpoints) for news in taken) <= STEP
            for task in tasks:
                task.cancel()

    run_scenario(scenario())
