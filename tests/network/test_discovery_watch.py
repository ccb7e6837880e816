"""The watch on discovery: the targets and the times of its polls, and the lists that it applies."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterator
from typing import Any, cast

import pytest

from quota_gateway.network.discovery import poll_schedule
from quota_gateway.network.discovery.endpoint_list import VersionedUpdate
from quota_gateway.network.discovery.http_connection import HttpConnection
from quota_gateway.network.discovery.poll_schedule import (
    NOTIFICATION_DEADLINE_S,
    PollSchedule,
)
from quota_gateway.network.discovery.watch import EndpointWatch
from quota_gateway.policy_api.endpoints import EndpointUpdate, UpdateKind
from tests.network.gateway_fixture import ScriptedPolicy, running_gateway
from tests.network.samples import CUSTOMER, DRAIN_GRACE_S, OK_RESPONSE, READ_FIELDS
from tests.network.scenario import run_scenario, wait_until
from tests.network.scripted_peers import (
    ScriptedDiscovery,
    always_reply,
    endpoint_list_response,
    http_response,
    server_row,
)
from tests.network.simulated_discovery import ADDRESS


class FrozenLoop:
    """An event loop whose clock stands still; records the delays of the scheduled calls.

    It also stands in for the timer handles that it returns.
    """

    def __init__(self) -> None:
        self.delays: list[float] = []

    def time(self) -> float:
        return 0.0

    def call_later(self, delay: float, callback: Callable[..., None], *args: Any) -> FrozenLoop:
        self.delays.append(delay)
        return self

    def cancel(self) -> None:
        self.delays.pop()


def frozen_watch(loop: FrozenLoop, sharing_gateways: int = 0, gateway_index: int = 0) -> EndpointWatch:
    schedule = PollSchedule(loop.time, 1, sharing_gateways, gateway_index)
    return EndpointWatch(cast(asyncio.AbstractEventLoop, loop), ADDRESS, lambda update: (), schedule)


def delays_after_rejection(gateways: int) -> list[float]:
    """Return the delay of each gateway's next poll after all gateways were rejected at once, sorted."""
    delays = []
    for index in range(gateways):
        loop = FrozenLoop()
        watch = frozen_watch(loop, gateways, index)
        watch.connection = HttpConnection(lambda status, body: None, lambda: None)
        watch.on_response(watch.connection, 503, b"")
        delays += loop.delays
    return sorted(delays)


def test_gateways_that_are_rejected_together_do_not_poll_again_together() -> None:
    # Guards against a retry storm: when all 40 gateways polled again within a second, and in each second
    # after that, none of them ever got a list.
    delays = delays_after_rejection(40)
    assert len(delays) == 40
    assert all(sum(start <= delay < start + 1.0 for delay in delays) <= 10 for start in delays)


def test_a_few_rejected_gateways_poll_again_soon() -> None:
    assert delays_after_rejection(3)[-1] <= 3.0


def test_hundreds_of_gateways_spread_their_polls_over_the_time_until_the_deadline() -> None:
    # Guards against a spread beyond the deadline: gateways polled again only after up to 30 s and missed
    # drains of which they counted as notified after 6 s.
    delays = delays_after_rejection(400)
    assert 0.8 * NOTIFICATION_DEADLINE_S < delays[-1] < NOTIFICATION_DEADLINE_S
    max_polls_per_s = 1.5 * 400 / NOTIFICATION_DEADLINE_S
    assert all(sum(start <= delay < start + 1.0 for delay in delays) <= max_polls_per_s for start in delays)


def test_the_end_of_its_connection_does_not_shorten_the_delay_after_a_malformed_response() -> None:
    """Guards against a snapshot requested every 0.1 s: overloaded services end connections after a 500."""
    loop = FrozenLoop()
    watch = frozen_watch(loop, sharing_gateways=200, gateway_index=1)
    connection = HttpConnection(lambda status, body: None, lambda: None)
    watch.connection = connection
    watch.on_response(connection, 500, b"")
    (delay_s,) = loop.delays
    watch.on_connection_closed(connection)
    assert loop.delays == [delay_s]


TRUNCATED = b'HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n{"version":5,'
BUSY = http_response(b"", "503 Service Unavailable")
NOT_HTTP = b"HTTP/1.1 what\r\n\r\n"
BAD_RESPONSES = [BUSY, http_response(b"", "500 Oops"), http_response(b"{"), NOT_HTTP, TRUNCATED]


@pytest.mark.parametrize(
    "response", BAD_RESPONSES, ids=["503", "500", "malformed", "not HTTP", "truncated body"]
)
def test_a_drain_is_noticed_within_its_grace_period_after_a_bad_response_of_an_agent(response: bytes) -> None:
    async def scenario() -> None:
        rows = [server_row("s0", 80), server_row("s9", 81)]
        discovery = ScriptedDiscovery(endpoint_list_response(4, rows))
        script = ScriptedPolicy(lambda event: [])
        async with running_gateway(policy=script, discovery=discovery) as gateway:
            await wait_until(lambda: len(discovery.targets) == 2 and "s9" in gateway.server_pools.pools)
            drained = [rows[0], server_row("s9", 81, "Terminating")]
            discovery.responses += [response, endpoint_list_response(5, drained)]
            if response is TRUNCATED:
                await wait_until(lambda: gateway.process.endpoint_watch.connection.status == 200)  # type: ignore[union-attr]
                discovery.writers[-1].transport.abort()
            await wait_until(lambda: gateway.server_pools.pools["s9"].write_deadline is not None)
            # The interval between these polls covers the wait for the bad response and the delay after it.
            assert discovery.request_times[2] - discovery.request_times[1] < 2 * DRAIN_GRACE_S

    run_scenario(scenario())


def test_an_unreachable_agent_is_polled_again_within_the_grace_period_of_a_drain() -> None:
    # Guards against exponential backoff for an agent: with it, a drain that the agent announced on its return
    # was noticed up to 1.5 s later.
    loop = FrozenLoop()
    watch = frozen_watch(loop)
    delays = []
    for _ in range(8):
        watch.connection = HttpConnection(lambda status, body: None, lambda: None)
        watch.on_connection_closed(watch.connection)
        delays += loop.delays
    assert min(delays) > 0.0
    assert max(delays) < 0.2


def applied_lists(script: ScriptedPolicy) -> list[tuple[UpdateKind, list[str]]]:
    """Return the kind and the server ids of each update that reached the policy."""
    return [
        (update.kind, [endpoint.server_id for endpoint in update.endpoints])
        for update in script.events_of(EndpointUpdate)
    ]


def polled_versions(discovery: ScriptedDiscovery) -> list[str]:
    """Return the version since which each poll asked for changes; empty for a snapshot."""
    return [target.partition("since=")[2].partition("&")[0] for target in discovery.targets]


def test_a_lost_watch_continues_from_the_version_held() -> None:
    # Guards against a snapshot request after each lost watch: the snapshots for all gateways kept discovery
    # too busy to answer.
    async def scenario() -> None:
        rows = [server_row("a", 80), server_row("b", 81)]
        discovery = ScriptedDiscovery(
            endpoint_list_response(4, rows), http_response(b"", "503 Service Unavailable")
        )
        script = ScriptedPolicy(lambda event: [])
        async with running_gateway(policy=script, discovery=discovery):
            await wait_until(lambda: len(discovery.targets) == 3)
            discovery.writers[-1].transport.abort()
            await wait_until(lambda: len(discovery.targets) == 4)
            discovery.responses += [b"", endpoint_list_response(5, [server_row("c", 82)], full=False)]
            await wait_until(lambda: len(script.events_of(EndpointUpdate)) == 3)
        since = polled_versions(discovery)
        assert since[:4] == ["1", "4", "4", "4"]

    run_scenario(scenario())


def test_the_watch_survives_errors_and_applies_only_usable_lists() -> None:
    async def scenario() -> None:
        rows = [server_row("a", 80), server_row("b", 81)]
        discovery = ScriptedDiscovery(
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
            assert applied_lists(script) == [
                (UpdateKind.CACHED_SNAPSHOT, []),
                (UpdateKind.SNAPSHOT, ["a", "b"]),
                (UpdateKind.DELTA, ["a"]),
                (UpdateKind.SNAPSHOT, ["a"]),
                (UpdateKind.DELTA, ["c"]),
            ]
            since = polled_versions(discovery)
            assert since == ["1", "1", "", "", "", "5", "5", "9", "", "3", "4"]

    run_scenario(scenario())


@pytest.mark.parametrize("changed", [True, False])
def test_a_delta_of_a_discovery_that_has_started_anew_is_not_applied(changed: bool) -> None:
    """Guards against a list that mixes those of two processes, of which the second counts from 1 again."""

    async def scenario() -> None:
        rows = [server_row("a", 80), server_row("b", 81)]
        discovery = ScriptedDiscovery(
            endpoint_list_response(7, rows),
            endpoint_list_response(2, [server_row("c", 82)] if changed else [], full=False),
            endpoint_list_response(2, [server_row("b", 81), server_row("c", 82)]),
        )
        script = ScriptedPolicy(lambda event: [])
        async with running_gateway(policy=script, discovery=discovery):
            await wait_until(lambda: len(discovery.targets) == 4)
            assert applied_lists(script)[1:] == [
                (UpdateKind.SNAPSHOT, ["a", "b"]),
                (UpdateKind.SNAPSHOT, ["b", "c"]),
            ]
        since = polled_versions(discovery)
        assert since == ["1", "7", "", "2"]

    run_scenario(scenario())


def test_a_long_list_does_not_overwrite_a_newer_one() -> None:
    """Guards against draining servers that become active again.

    The response with the long list ends its connection. Its steps go on until the newer list, which arrives
    on the next connection, has been applied.
    """

    async def scenario() -> None:
        applied: list[int] = []

        def apply(versioned: VersionedUpdate) -> Iterator[None]:
            if versioned.version == 2:
                while 3 not in applied:
                    yield
                yield
            applied.append(versioned.version)

        rows = [server_row(f"s{number}", 80) for number in range(1500)]
        long_response = endpoint_list_response(2, rows).replace(b"Content-Length", b"Unused")
        draining = [server_row("s0", 80, "Terminating")]
        discovery = ScriptedDiscovery(
            endpoint_list_response(1, rows[:1]),
            long_response,
            endpoint_list_response(3, draining, full=False),
        )
        await discovery.start()
        loop = asyncio.get_running_loop()
        watch = EndpointWatch(loop, ("127.0.0.1", discovery.port), apply, PollSchedule(loop.time, 1, 0, 0))
        watch.start()
        await wait_until(lambda: len(discovery.targets) == 4)
        since = polled_versions(discovery)
        assert since == ["", "1", "1", "3"]
        assert applied == [1, 3]
        watch.close()
        await discovery.stop()

    run_scenario(scenario())


def test_a_silent_agent_is_polled_on_a_new_connection(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        discovery = ScriptedDiscovery()
        async with running_gateway(policy=ScriptedPolicy(lambda event: []), discovery=discovery):
            await wait_until(lambda: len(discovery.writers) >= 3)

    monkeypatch.setattr(poll_schedule, "RESPONSE_GRACE_S", 0.05)
    run_scenario(scenario())


def test_a_gateway_serves_while_discovery_is_down() -> None:
    async def scenario() -> None:
        discovery = ScriptedDiscovery(endpoint_list_response(1, []))
        discovery.responses.clear()
        async with running_gateway(always_reply(OK_RESPONSE), discovery=discovery) as gateway:
            client = await gateway.connect_client()
            assert await client.execute(b"CALL.GET", CUSTOMER, b"1", READ_FIELDS) == b"value"

    run_scenario(scenario())


def test_a_response_from_an_old_address_is_dropped() -> None:
    async def scenario() -> None:
        old = ScriptedDiscovery(endpoint_list_response(9, [server_row("a", 80)]))
        new = ScriptedDiscovery()
        await new.start()
        script = ScriptedPolicy(lambda event: [])
        async with running_gateway(policy=script, discovery=old) as gateway:
            await wait_until(lambda: len(old.targets) == 2)
            gateway.process.endpoint_watch.move_to(("127.0.0.1", new.port))
            old.responses.append(endpoint_list_response(10, [], full=True))
            await wait_until(lambda: new.targets)
            assert list(gateway.server_pools.pools) == ["a"]  # kept until the new list arrives
            new.responses.append(endpoint_list_response(2, [server_row("b", 81)]))
            await wait_until(lambda: list(gateway.server_pools.pools) == ["b"])
            assert new.targets[0] == "/v1/servers"
        await new.stop()

    run_scenario(scenario())
