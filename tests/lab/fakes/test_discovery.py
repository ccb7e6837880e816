"""The fake discovery: snapshots, watches, and how each injected fault appears to the caller."""

from __future__ import annotations

import asyncio
import time

import pytest

from quota_gateway.lab.fakes.discovery import FakeDiscovery
from quota_gateway.lab.fakes.endpoint_history import ListedServer
from quota_gateway.lab.fakes.faults import Fault, FaultKind
from quota_gateway.network.discovery.endpoint_list import VersionedUpdate
from quota_gateway.network.discovery.poll_schedule import PollSchedule
from quota_gateway.network.discovery.watch import EndpointWatch
from tests.lab.fakes.harness import NO_REPLY_WAIT_S, http_get, run_with_connection, started
from tests.network.scenario import run_scenario, wait_until
from tests.network.scripted_peers import RespClient


def test_a_watch_waits_for_a_change_and_gets_a_delta() -> None:
    async def scenario(discovery: FakeDiscovery, client: RespClient) -> None:
        discovery.put(ListedServer("s0", "127.0.0.1:1"))
        discovery.put(ListedServer("s1", "127.0.0.1:2"))
        status, snapshot = await http_get(client)
        assert status == 200
        assert snapshot["full"]
        assert [row["id"] for row in snapshot["servers"]] == ["s0", "s1"]
        query = f"?since={snapshot['version']}&timeout_ms=20000"
        watch = asyncio.ensure_future(http_get(client, query))
        await wait_until(lambda: discovery._watches)
        discovery.mark_draining("s1")
        _, delta = await watch
        assert not delta["full"]
        assert delta["version"] == snapshot["version"] + 1
        assert [(row["id"], row["state"]) for row in delta["servers"]] == [("s1", "Terminating")]
        discovery.remove("s0")
        _, later_delta = await http_get(client, query)  # returns at once: there is a newer version
        states = {row["id"]: row["state"] for row in later_delta["servers"]}
        assert states == {"s0": "Gone", "s1": "Terminating"}
        _, later_snapshot = await http_get(client)
        assert [row["id"] for row in later_snapshot["servers"]] == ["s1"]

    run_with_connection(FakeDiscovery(), scenario)


def test_a_watch_without_a_change_times_out_and_unknown_versions_get_a_snapshot() -> None:
    async def scenario(discovery: FakeDiscovery, client: RespClient) -> None:
        discovery.put(ListedServer("s0", "127.0.0.1:1"))
        version = discovery.endpoints.version
        began = time.monotonic()
        _, delta = await http_get(client, f"?since={version}&timeout_ms=40")
        assert delta == {"version": version, "full": False, "servers": []}
        assert time.monotonic() - began >= 0.035
        discovery.endpoints._oldest_version = version
        for since in (version + 5, 0):
            assert (await http_get(client, f"?since={since}&timeout_ms=40"))[1]["full"]
        assert (await http_get(client, "?since=x&timeout_ms=1"))[0] == 400
        assert (await http_get(client, "?since=1&timeout_ms=nan"))[0] == 400
        assert (await http_get(client, path="/v2"))[0] == 404

    run_with_connection(FakeDiscovery(), scenario)


def test_the_gateways_own_watch_follows_the_fake() -> None:
    async def scenario() -> None:
        async with started(FakeDiscovery()) as discovery:
            updates: list[VersionedUpdate] = []
            discovery.put(ListedServer("s0", "127.0.0.1:1"))

            def on_update(update: VersionedUpdate) -> tuple[()]:
                updates.append(update)
                return ()

            loop = asyncio.get_running_loop()
            watch = EndpointWatch(loop, ("127.0.0.1", discovery.port), on_update, PollSchedule(loop.time))
            watch.start()
            await wait_until(lambda: updates)
            discovery.mark_draining("s0")
            await wait_until(lambda: len(updates) == 2)
            assert [update.version for update in updates] == [2, 3]
            watch.close()

    run_scenario(scenario())


def test_faulty_discovery_resets_does_not_reply_or_is_unavailable() -> None:
    async def scenario(discovery: FakeDiscovery, client: RespClient) -> None:
        discovery.faults.inject(Fault(FaultKind.UNAVAILABLE))
        assert await http_get(client) == (503, None)
        discovery.faults.clear()
        assert (await http_get(client))[0] == 200  # the connection is still usable
        discovery.faults.inject(Fault(FaultKind.NO_REPLY))
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(http_get(client), NO_REPLY_WAIT_S)
        discovery.faults.clear()
        discovery.faults.inject(Fault(FaultKind.RESET))
        with pytest.raises(ConnectionResetError):
            await http_get(await RespClient.connect(discovery.port))

    run_with_connection(FakeDiscovery(), scenario)
