"""Both parsers of the endpoint list; a long list is parsed and applied in steps between other work."""

from __future__ import annotations

import asyncio
import itertools
import json
import math
import random
from typing import Any

import pytest

from quota_gateway.network.discovery.endpoint_list import (
    ENDPOINTS_PER_STEP,
    INCREMENTAL_PARSE_MIN_BYTES,
    EndpointListError,
    IncrementalListParser,
    VersionedUpdate,
    parse_endpoint_list,
)
from quota_gateway.policy_api.endpoints import EndpointUpdate
from tests.network.gateway_fixture import ScriptedPolicy, forward_to, running_gateway
from tests.network.samples import CUSTOMER, OK_RESPONSE, READ_FIELDS
from tests.network.scenario import run_scenario, wait_until
from tests.network.scripted_peers import ScriptedDiscovery, always_reply, endpoint_list_response, server_row

ENDPOINT_COUNT = 20_000


def server_rows(count: int) -> list[dict[str, Any]]:
    states = ["Ready"] * 8 + ["Terminating", "Strange"]
    return [server_row(f"s-{i:08x}", 1 + i % 60_000, states[i % 10], float(i % 3)) for i in range(count)]


def parse_in_steps(body: bytes) -> VersionedUpdate:
    parser = IncrementalListParser(body)
    for _ in parser.steps():
        pass
    return parser.result()


@pytest.mark.parametrize("indent", [None, 2])
@pytest.mark.parametrize("count", [0, 1, ENDPOINTS_PER_STEP, ENDPOINTS_PER_STEP + 1, 1000])
def test_both_parsers_give_the_same_update(count: int, indent: int | None) -> None:
    raw = {"version": 7, "full": True, "servers": server_rows(count), "more": {"x": [1, "]"]}}
    for names in itertools.permutations(raw):
        text = json.dumps({name: raw[name] for name in names}, indent=indent)
        assert parse_in_steps(text.encode()) == parse_endpoint_list(raw)


def test_no_step_parses_more_than_a_few_endpoints() -> None:
    parser = IncrementalListParser(
        json.dumps({"version": 7, "full": False, "servers": server_rows(ENDPOINT_COUNT)}).encode()
    )
    lengths = [0, *(parser.parsed_endpoints for _ in parser.steps()), parser.parsed_endpoints]
    assert max(b - a for a, b in itertools.pairwise(lengths)) <= ENDPOINTS_PER_STEP
    assert lengths[-1] == ENDPOINT_COUNT


def test_a_list_that_is_malformed_anywhere_is_rejected() -> None:
    body = json.dumps({"version": 7, "full": True, "servers": server_rows(30)}).encode()
    rng = random.Random(1)
    for _ in range(300):
        cut = rng.randrange(len(body))
        for malformed in (body[:cut], body[:cut] + b"\xff" + body[cut:], body + body[cut:], body[cut:]):
            if malformed != body:
                with pytest.raises(EndpointListError):
                    parse_in_steps(malformed)


@pytest.mark.parametrize("name", ["version", "full", "servers"])
@pytest.mark.parametrize("value", [None, "x", [5], {"a": 1}, math.inf, math.nan])
def test_a_list_with_bad_members_is_rejected_by_both_parsers_or_by_neither(name: str, value: Any) -> None:
    raw: dict[str, Any] = {"version": 7, "full": True, "servers": server_rows(3)} | {name: value}
    try:
        expected = parse_endpoint_list(raw)
    except EndpointListError:
        expected = None
    if expected is None:
        with pytest.raises(EndpointListError):
            parse_in_steps(json.dumps(raw).encode())
    else:
        assert parse_in_steps(json.dumps(raw).encode()) == expected


def test_requests_are_served_while_a_long_list_is_parsed_and_applied() -> None:
    """A long list takes 0.1 s to parse and as long to apply: the event loop must run after each step."""

    async def scenario() -> None:
        rows = [*server_rows(ENDPOINT_COUNT), server_row("s0", 80)]
        body = json.dumps({"version": 9, "full": True, "servers": rows}).encode()
        assert len(body) > INCREMENTAL_PARSE_MIN_BYTES
        discovery = ScriptedDiscovery()
        script = ScriptedPolicy(forward_to("s0"))
        async with running_gateway(always_reply(OK_RESPONSE), policy=script, discovery=discovery) as gateway:
            rows[-1] = server_row("s0", gateway.servers[0].port)
            client = await gateway.connect_client()
            server_pools = gateway.server_pools
            iterations = 0
            pools_at_replies = []

            async def count_iterations() -> None:
                nonlocal iterations
                while True:
                    iterations += 1
                    await asyncio.sleep(0)

            async def send_requests() -> None:
                for number in itertools.count():
                    reply = await client.execute(b"CALL.GET", CUSTOMER, b"%d" % number, READ_FIELDS)
                    assert reply == b"value"
                    pools_at_replies.append(len(server_pools.pools))

            tasks = [asyncio.ensure_future(count_iterations()), asyncio.ensure_future(send_requests())]
            await wait_until(lambda: pools_at_replies)
            iterations_before = iterations
            discovery.responses.append(endpoint_list_response(9, rows))
            active = sum(row["state"] == "Ready" for row in rows)
            await wait_until(lambda: len(server_pools.pools) >= active)
            assert iterations - iterations_before >= 2 * ENDPOINT_COUNT // ENDPOINTS_PER_STEP
            # At least one request was served while the list was being applied.
            assert any(1 < pools < active for pools in pools_at_replies)
            updates = script.events_of(EndpointUpdate)
            assert max(len(update.endpoints) for update in updates) <= ENDPOINTS_PER_STEP
            for task in tasks:
                task.cancel()

    run_scenario(scenario())


@pytest.mark.parametrize("addr", ["x", "x:", ":5", "h:0", "h:99999", "h:p", "h:\u00b2", None])
def test_a_list_with_a_bad_address_is_rejected(addr: Any) -> None:
    bad = {"version": 1, "full": True, "servers": [server_row("a", 1) | {"addr": addr}]}
    with pytest.raises(EndpointListError):
        parse_endpoint_list(bad)


@pytest.mark.parametrize(
    ("text", "problem"),
    [
        ("[]", "expected '{' at character 0"),
        ('{"full":true,"servers":[]}', "missing key 'version' in the endpoint list"),
        ('{"version":1,"servers":[]}', "missing key 'full' in the endpoint list"),
        ('{"version":1,"full":true}', "missing key 'servers' in the endpoint list"),
        ('{"version":1,"full":true,"servers":[{"zone":"a"}]}', "missing key 'id' in the endpoint list"),
        (
            '{"version":1,"full":true,"servers":[{"id":"a","state":"Ready"}]}',
            "server 'a' is active but has no 'addr'",
        ),
        (
            '{"version":1,"full":true,"servers":[]}x',
            "unexpected text after the endpoint list at character 38",
        ),
    ],
)
def test_an_error_says_what_was_wrong(text: str, problem: str) -> None:
    with pytest.raises(EndpointListError, match=problem):
        parse_in_steps(text.encode())
