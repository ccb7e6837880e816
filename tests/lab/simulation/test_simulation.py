"""Whole runs: reproducibility by seed, separation of pools, and the number of scheduler events."""

from __future__ import annotations

import msgspec
import pytest

from quota_gateway.lab.simulation.experiment import Experiment, FleetConfig, LoadConfig
from quota_gateway.lab.simulation.run_report import simulated_figures
from quota_gateway.lab.simulation.simulation import Simulation
from tests.lab.simulation.fleets import MIXED_FAULTS, run_with_faults


def test_a_run_is_determined_by_its_seed() -> None:
    first, again, other = (
        msgspec.json.encode(simulated_figures(run_with_faults(*MIXED_FAULTS, seed=seed)))
        for seed in (1, 1, 2)
    )
    assert first == again
    assert first != other


def test_gateways_know_only_the_servers_of_their_pool() -> None:
    experiment = Experiment(
        name="t",
        duration_s=1.0,
        fleet=FleetConfig(gateways=7, servers=60, visible_servers=20, regions=2, zones=4),
        load=LoadConfig(requests_per_s=30.0, tenants=12, gateways_per_tenant=(1, 2)),
    )
    simulation = Simulation(experiment, 1)
    assert [len(pool.gateways) for pool in simulation.pools] == [3, 2, 2]
    assert [len(history.current) for history in simulation.discovery.histories] == [20, 20, 20]
    for gateway in simulation.gateways:
        assert gateway.settings.gateway_count == len(simulation.pools[gateway.pool_number].gateways)
        servers = simulation.servers.by_name.values()
        regions = {server.location.region for server in servers if server.pool == gateway.pool_number}
        assert regions == {gateway.location.region}


def test_events_grow_with_requests_and_gateways_not_with_servers() -> None:
    """Counts scheduler events per request and per idle gateway; a count does not depend on the machine."""

    def events(gateways: int, servers: int, rate: float) -> int:
        experiment = Experiment(
            name="t",
            duration_s=4.0,
            fleet=FleetConfig(gateways=gateways, servers=servers),
            load=LoadConfig(requests_per_s=rate, tenants=200, gateways_per_tenant=(1, 1)),
        )
        simulation = Simulation(experiment, 1)
        simulation.run()
        return simulation.scheduler.executed

    idle = events(10, 100, 0.01)
    # Four ticks per second and the watch, for a run of 4 s and its tail of 5 s.
    assert idle / 10 == pytest.approx(9 * 4.5, rel=0.25)
    assert events(20, 100, 0.01) / idle == pytest.approx(2.0, rel=0.1)
    assert events(10, 1000, 0.01) == pytest.approx(idle, rel=0.02)
    busy = events(10, 100, 100.0)
    assert 6 * 400 < busy - idle < 15 * 400
