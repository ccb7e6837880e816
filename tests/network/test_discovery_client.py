"""The watch on the endpoint list over loopback sockets."""

from __future__ import annotations

from typing import Any

import pytest

from quota_gateway.network.discovery import watch as discovery_module
from quota_gateway.network.discovery.watch import ListError, read_list
from quota_gateway.policy_api.endpoints import EndpointUpdate, UpdateKind
from tests.network.harness import (
    CUSTOMER,
    OK_RESPONSE,
    READ_FIELDS,
    FakeDiscovery,
    ScriptedPolicy,
    always_reply,
    endpoint_list_response,
    http_response,
    run_scenario,
    running_gateway,
    server_row,
    wait_until,
)


def test_the_watch_survives_errors_and_takes_up_what_it_can_trust() -> None:
    async def scenario() -> None:
        rows = [server_row("a", 80), server_row("b", 81)]
        discovery = FakeDiscovery(
            http_response(b"oops", "503 Service Unavailable"),
            http_response(b"{not json"),
            http_response(b'{"version":1,"full":true,"servers":[{"id":"a","state":"Ready"}]}'),
            http_response(b"[]"),
            endpoint_list_response(5, rows),
            endpoint_list_response(5, [], full=False),
            endpoint_list_response(9, [server_row("a", 80, "Terminating")], full=False),
            http_response(b"", "500 Internal Server Error"),
            endpoint_list_response(3, rows[:1]),
            endpoint_list_response(4, [server_row("c", 82, started_ms=5.0)], full=False),
        )
        script = ScriptedPolicy(lambda event: [])
        async with running_gateway(policy=script, discovery=discovery):
            await wait_until(lambda: len(discovery.targets) == 11)
            told = [(e.kind, [x.server_id for x in e.endpoints]) for e in script.events_of(EndpointUpdate)]
            assert told == [
                (UpdateKind.CACHED_SNAPSHOT, []),
                (UpdateKind.SNAPSHOT, ["a", "b"]),
                (UpdateKind.DELTA, ["a"]),
                (UpdateKind.SNAPSHOT, ["a"]),
                (UpdateKind.DELTA, ["c"]),
            ]
            since = [target.partition("since=")[2].partition("&")[0] for target in discovery.targets]
            assert since == ["1", "1", "", "", "", "5", "5", "9", "", "3", "4"]

    run_scenario(scenario())


def test_a_silent_agent_is_asked_on_a_new_connection(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        discovery = FakeDiscovery()
        async with running_gateway(policy=ScriptedPolicy(lambda event: []), discovery=discovery):
            await wait_until(lambda: len(discovery.writers) >= 3)

    monkeypatch.setattr(discovery_module, "QUIET_S", 0.05)
    run_scenario(scenario())


def test_discovery_that_is_down_keeps_no_gateway_from_serving() -> None:
    async def scenario() -> None:
        discovery = FakeDiscovery(endpoint_list_response(1, []))
        discovery.answers.clear()
        async with running_gateway(always_reply(OK_RESPONSE), discovery=discovery) as one:
            client = await one.connect_client()
            assert await client.execute(b"CALL.GET", CUSTOMER, b"1", READ_FIELDS) == b"value"

    run_scenario(scenario())


@pytest.mark.parametrize("addr", ["x", "x:", ":5", "h:0", "h:99999", "h:p", None])
def test_lists_with_bad_addresses_are_turned_down(addr: Any) -> None:
    bad = {"version": 1, "full": True, "servers": [server_row("a", 1) | {"addr": addr}]}
    with pytest.raises(ListError):
        read_list(bad)
