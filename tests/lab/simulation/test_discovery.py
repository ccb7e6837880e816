"""The simulated discovery service and the watches on it."""

from __future__ import annotations

from typing import Any

import pytest

from quota_gateway.lab.simulation.discovery import DiscoveryService
from quota_gateway.lab.simulation.endpoint_watch import EndpointWatch
from quota_gateway.lab.simulation.experiment import DiscoveryConfig
from quota_gateway.lab.simulation.metrics import Metrics
from quota_gateway.lab.simulation.network import Network
from quota_gateway.lab.simulation.scheduler import EventScheduler
from quota_gateway.network.discovery.poll_schedule import LONG_POLL_S
from quota_gateway.policy_api.endpoints import Endpoint, EndpointState, EndpointUpdate, UpdateKind
from tests.lab.simulation.fleets import WITHOUT_JITTER, ZONE_0, ZONE_1


class Watches:
    """A discovery service with three servers, and gateways' watches on it with the updates they received."""

    def __init__(self, count: int = 1, **config: Any) -> None:
        self.scheduler = EventScheduler()
        self.metrics = Metrics()
        discovery_config = DiscoveryConfig(propagation_ms=(100.0, 100.0), **config)
        self.network = Network(WITHOUT_JITTER, 1)
        self.service = DiscoveryService(
            self.scheduler, self.metrics, discovery_config, self.network, ZONE_0, 1, seed=1
        )
        for i in range(3):
            self.service.histories[0].add_initial(Endpoint(f"s{i}", "z0"))
        self.updates: list[list[EndpointUpdate]] = [[] for _ in range(count)]
        self.watches = [
            EndpointWatch(self.scheduler, self.service, ZONE_1, 0, count, 1, i, self.updates[i].append)
            for i in range(count)
        ]
        for watch in self.watches:
            watch.start(0)

    def run(self, ms: float) -> None:
        self.scheduler.run_until(self.scheduler.now + ms)

    def change(self, server: str = "s1", state: EndpointState = EndpointState.DRAINING) -> None:
        self.service.change(0, Endpoint(server, "z0", state=state))

    def received(self, watch: int = 0) -> list[EndpointUpdate]:
        """Return the updates with changes that a watch has received."""
        return [update for update in self.updates[watch] if update.endpoints]


def test_a_watch_receives_only_changes_and_after_the_propagation_delay() -> None:
    watches = Watches()
    watches.run(1000.0)
    watches.change()
    watches.run(99.0)
    assert not watches.received()
    watches.run(10.0)
    (update,) = watches.received()
    assert update.kind is UpdateKind.DELTA
    assert [endpoint.server_id for endpoint in update.endpoints] == ["s1"]
    assert watches.watches[0].version == 1


def test_an_idle_watch_makes_one_call_per_long_poll() -> None:
    watches = Watches()
    watches.run(1000.0 * (10 * LONG_POLL_S + 1.0))
    # The first of the polls waits only `CONFIRMATION_POLL_S`.
    assert watches.metrics.messages["discovery"]["calls"] == 12
    assert "whole_lists" not in watches.metrics.messages["discovery"]


@pytest.mark.parametrize(("history_limit", "kind"), [(100, UpdateKind.DELTA), (2, UpdateKind.SNAPSHOT)])
def test_a_watch_far_behind_receives_a_snapshot(history_limit: int, kind: UpdateKind) -> None:
    watches = Watches(history_limit=history_limit)
    watches.service.stop()
    for i in range(3):
        watches.change(f"s{i}", EndpointState.GONE if i else EndpointState.DRAINING)
    watches.run(2000.0)
    watches.service.start()
    watches.run(8000.0)
    (update,) = watches.received()
    assert update.kind is kind
    assert len(update.endpoints) == (3 if kind is UpdateKind.DELTA else 1)


def test_an_overloaded_service_rejects_calls_and_still_notifies_all_watches() -> None:
    watches = Watches(count=30, call_cost_ms=20.0, max_queue_ms=200.0)
    watches.run(200.0)
    assert watches.metrics.messages["discovery"]["turned_away"] > 0
    watches.change()
    watches.run(60_000.0)
    assert all(len(watches.received(i)) >= 1 for i in range(30))


def test_an_isolated_zone_receives_nothing_and_catches_up_once_healed() -> None:
    watches = Watches()
    watches.run(1000.0)
    watches.network.isolated_zones.add("z1")
    calls_before = watches.metrics.messages["discovery"]["calls"]
    watches.change()
    watches.run(10_000.0)
    assert not watches.received()
    assert watches.metrics.messages["discovery"]["calls"] == calls_before
    assert watches.service.notification_deadline("s1", ZONE_1) == float("inf")
    watches.network.heal_zone("z1", watches.scheduler.now)
    assert watches.service.notification_deadline("s1", ZONE_1) == watches.scheduler.now + 6000.0
    watches.run(6000.0)
    assert len(watches.received()) == 1
