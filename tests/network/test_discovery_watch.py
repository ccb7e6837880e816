"""The watch on discovery: what each gateway polls and how soon, and that the list is current in time."""

from __future__ import annotations

import asyncio
import itertools
import random
from collections.abc import Callable
from typing import Any, cast

import pytest

from quota_gateway.network.discovery import poll_schedule
from quota_gateway.network.discovery.http_connection import HttpConnection
from quota_gateway.network.discovery.poll_schedule import (
    MAX_POLL_SPREAD_S,
    NOTIFICATION_DEADLINE_AFTER_RELOAD_S,
    NOTIFICATION_DEADLINE_S,
    PollSchedule,
)
from quota_gateway.network.discovery.watch import EndpointWatch
from quota_gateway.policy_api.endpoints import EndpointUpdate, UpdateKind
from tests.network.gateway_fixture import ScriptedPolicy, running_gateway
from tests.network.samples import CUSTOMER, OK_RESPONSE, READ_FIELDS
from tests.network.scenario import run_scenario, wait_until
from tests.network.scripted_peers import (
    ScriptedDiscovery,
    always_reply,
    endpoint_list_response,
    http_response,
    server_row,
)
from tests.network.simulated_discovery import ADDRESS, SimulatedDiscovery

DRAIN_GRACE_S = 0.25


class FrozenLoop:
    """A clock that stands still, and the delays of the calls scheduled on it."""

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
    """When each of the gateways polls again after all were rejected at once."""
    delays = []
    for index in range(gateways):
        loop = FrozenLoop()
        watch = frozen_watch(loop, gateways, index)
        watch.connection = HttpConnection(lambda status, body: None, lambda: None)
        watch.on_response(watch.connection, 503, b"")
        delays += loop.delays
    return sorted(delays)


def test_gateways_that_are_rejected_together_do_not_come_back_together() -> None:
    # All forty came back within a second, and each second after that; no list ever got through.
    delays = delays_after_rejection(40)
    assert len(delays) == 40
    assert all(sum(at <= d < at + 1.0 for d in delays) <= 10 for at in delays)


def test_a_few_gateways_come_back_soon() -> None:
    assert delays_after_rejection(3)[-1] <= 3.0


def test_hundreds_spread_their_polls_over_all_the_time_that_the_deadline_leaves() -> None:
    # They stayed away for up to 30 s: a drain in that time was missed, though it counts as known after 6 s.
    delays = delays_after_rejection(400)
    assert 0.8 * NOTIFICATION_DEADLINE_S < delays[-1] < NOTIFICATION_DEADLINE_S
    most = 1.5 * 400 / NOTIFICATION_DEADLINE_S
    assert all(sum(at <= d < at + 1.0 for d in delays) <= most for at in delays)


FAILURES = ["busy", "malformed", "failing", "reset", "refused", "truncated"]


@pytest.mark.parametrize("sharing_gateways", [0, 3, 200])
@pytest.mark.parametrize("failure", [*FAILURES, "silent"])
def test_the_list_is_current_within_the_deadline_whatever_a_poll_came_to(
    failure: str, sharing_gateways: int
) -> None:
    # After a 503 the next of 200 gateways' polls came up to 30 s later.
    for number in range(40):
        discovery = SimulatedDiscovery(["good", failure], sharing_gateways, number)
        discovery.loop.run(30.0)
        gaps = [b - a for a, b in itertools.pairwise(discovery.confirmed_at)]
        assert len(gaps) >= 5
        assert max(gaps) <= NOTIFICATION_DEADLINE_S


@pytest.mark.parametrize("sharing_gateways", [0, 200])
def test_the_list_is_current_within_the_deadline_after_several_polls_that_failed(
    sharing_gateways: int,
) -> None:
    # A shared service rejects once at most here: a poll that it rejects again has a second left, or less, and
    # is spread over the longer time that lets the service recover.
    rng = random.Random(sharing_gateways)
    failures = [failure for failure in FAILURES if failure != "busy" or not sharing_gateways]
    for number in range(100):
        failed = [rng.choice(failures) for _ in range(rng.randrange(1, 4 if sharing_gateways else 9))]
        if rng.random() < 0.5:
            failed = ["silent", rng.choice(failures)]  # what follows silence has a second left
        elif sharing_gateways:
            failed.insert(0, "busy")
        discovery = SimulatedDiscovery(["good", *failed], sharing_gateways, number)
        discovery.loop.run(30.0)
        gaps = [b - a for a, b in itertools.pairwise(discovery.confirmed_at)]
        assert max(gaps) <= NOTIFICATION_DEADLINE_S, (failed, max(gaps))


def test_an_agent_is_polled_again_within_a_drains_grace_after_a_failure() -> None:
    # What an agent has counts as notified even without a watch; after a 503 it went unpolled for 30 s.
    for failure in FAILURES:
        discovery = SimulatedDiscovery(["good", *[failure] * 8], 0, 1)
        discovery.loop.run(20.0)
        failed = [b - a for a, b in itertools.pairwise(discovery.polled_at)][1:9]
        assert max(failed) < DRAIN_GRACE_S, failure


def test_a_moved_discovery_is_polled_within_what_sighup_allows() -> None:
    for number in range(40):
        discovery = SimulatedDiscovery(["good"], 200, number)
        discovery.loop.run(1.0)
        discovery.outcomes = ["busy"]
        moved, before = discovery.loop.now, len(discovery.confirmed_at)
        discovery.watch.move_to(("127.0.0.1", 2))
        discovery.loop.run(30.0)
        assert discovery.confirmed_at[before] - moved <= NOTIFICATION_DEADLINE_AFTER_RELOAD_S


def test_a_stale_list_is_logged_once_and_so_is_its_recovery(
    caplog: pytest.LogCaptureFixture,
) -> None:
    caplog.set_level("INFO", "quota_gateway")
    discovery = SimulatedDiscovery(["good", *["busy"] * 5], 200, 1)
    discovery.loop.run(120.0)
    lines = [record.getMessage() for record in caplog.records]
    assert sum("event=endpoint_list_stale stale_s=" in line for line in lines) == 1
    assert sum("event=endpoint_list_current stale_s=" in line for line in lines) == 1


def test_no_storm_follows_the_deadline() -> None:
    # Polls every second by all that were late kept the service from answering any of them.
    calls: list[float] = []
    for number in range(200):
        discovery = SimulatedDiscovery(["good", *["busy"] * 1000], 200, number)
        discovery.loop.run(60.0)
        calls += [at for at in discovery.polled_at if at > 2 * NOTIFICATION_DEADLINE_S]
    assert len(calls) / (60.0 - 2 * NOTIFICATION_DEADLINE_S) <= 1.2 * 200 / (0.5 * MAX_POLL_SPREAD_S)


TRUNCATED = b'HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n{"version":5,'
BUSY, NO_HTTP = http_response(b"", "503 Service Unavailable"), b"HTTP/1.1 what\r\n\r\n"
BAD_RESPONSES = [BUSY, http_response(b"", "500 Oops"), http_response(b"{"), NO_HTTP, TRUNCATED]


@pytest.mark.parametrize(
    "response", BAD_RESPONSES, ids=["503", "500", "malformed", "not HTTP", "truncated body"]
)
def test_a_drain_is_noticed_within_its_grace_after_any_bad_response_of_an_agent(response: bytes) -> None:
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
            # A watch and a pause.
            assert discovery.request_times[2] - discovery.request_times[1] < 2 * DRAIN_GRACE_S

    run_scenario(scenario())


def test_an_agent_that_can_not_be_reached_is_polled_again_within_a_drains_grace() -> None:
    # The delay doubled with each failure: a drain sent at the agent's return was heard of up to 1.5 s later.
    loop = FrozenLoop()
    watch = frozen_watch(loop)
    delays = []
    for _ in range(8):
        watch.connection = HttpConnection(lambda status, body: None, lambda: None)
        watch.on_connection_closed(watch.connection)
        delays += loop.delays
    assert min(delays) > 0.0
    assert max(delays) < 0.2


def test_a_lost_watch_continues_from_the_version_held() -> None:
    # A snapshot for every gateway, each time, is what kept discovery from answering.
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
        since = [target.partition("since=")[2].partition("&")[0] for target in discovery.targets]
        assert since[:4] == ["1", "4", "4", "4"]

    run_scenario(scenario())


def test_the_watch_survives_errors_and_applies_what_it_can_trust() -> None:
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
            updates = [(e.kind, [x.server_id for x in e.endpoints]) for e in script.events_of(EndpointUpdate)]
            assert updates == [
                (UpdateKind.CACHED_SNAPSHOT, []),
                (UpdateKind.SNAPSHOT, ["a", "b"]),
                (UpdateKind.DELTA, ["a"]),
                (UpdateKind.SNAPSHOT, ["a"]),
                (UpdateKind.DELTA, ["c"]),
            ]
            since = [target.partition("since=")[2].partition("&")[0] for target in discovery.targets]
            assert since == ["1", "1", "", "", "", "5", "5", "9", "", "3", "4"]

    run_scenario(scenario())


def test_a_silent_agent_is_polled_on_a_new_connection(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        discovery = ScriptedDiscovery()
        async with running_gateway(policy=ScriptedPolicy(lambda event: []), discovery=discovery):
            await wait_until(lambda: len(discovery.writers) >= 3)

    monkeypatch.setattr(poll_schedule, "RESPONSE_GRACE_S", 0.05)
    run_scenario(scenario())


def test_discovery_that_is_down_keeps_no_gateway_from_serving() -> None:
    async def scenario() -> None:
        discovery = ScriptedDiscovery(endpoint_list_response(1, []))
        discovery.responses.clear()
        async with running_gateway(always_reply(OK_RESPONSE), discovery=discovery) as gateway:
            client = await gateway.connect_client()
            assert await client.execute(b"CALL.GET", CUSTOMER, b"1", READ_FIELDS) == b"value"

    run_scenario(scenario())


def test_a_response_from_an_old_address_is_dropped() -> None:
    async def scenario() -> None:
        old, new = ScriptedDiscovery(endpoint_list_response(9, [server_row("a", 80)])), ScriptedDiscovery()
        await new.start()
        script = ScriptedPolicy(lambda event: [])
        async with running_gateway(policy=script, discovery=old) as gateway:
            await wait_until(lambda: len(old.targets) == 2)
            gateway.process.endpoint_watch.move_to(("127.0.0.1", new.port))
            old.responses.append(endpoint_list_response(10, [], full=True))
            await wait_until(lambda: new.targets)
            assert list(gateway.server_pools.pools) == ["a"]  # kept until the new list comes
            new.responses.append(endpoint_list_response(2, [server_row("b", 81)]))
            await wait_until(lambda: list(gateway.server_pools.pools) == ["b"])
            assert new.targets[0] == "/v1/servers"
        await new.stop()

    run_scenario(scenario())
