"""Faults have their intended effects, and gateways violate no rule during them."""

from __future__ import annotations

import pytest

from quota_gateway.lab.simulation.experiment import (
    Experiment,
    FaultConfig,
    FaultKind,
    FleetConfig,
    LoadConfig,
    ServerConfig,
)
from quota_gateway.lab.simulation.run_report import simulated_figures
from quota_gateway.lab.simulation.simulation import Simulation
from tests.lab.simulation.fleets import MIXED_FAULTS, run_with_faults


def test_faults_have_their_effect_and_no_rule_is_violated() -> None:
    without_faults = run_with_faults(duration_s=8.0)
    with_faults = run_with_faults(*MIXED_FAULTS, duration_s=8.0)
    assert without_faults.metrics.service["unreached"] == 0
    assert with_faults.metrics.service["unreached"] > 0
    assert with_faults.metrics.recovery_us.report()["count"] == 3
    assert len(with_faults.servers.by_name) == 9 + 4
    assert simulated_figures(with_faults)["world"]["servers_up"] == 9
    assert with_faults.metrics.messages["server"]["unreachable"] > 0
    assert with_faults.metrics.messages["counter"]["answered_timeout"] > 0
    violations = simulated_figures(with_faults)["rules"]
    assert {rule: count for rule, count in violations.items() if count and rule != "cut_by_drain"} == {}


@pytest.mark.parametrize("kind", ["rack_lost", "servers_hung", "servers_crashed"])
def test_lost_servers_come_back(kind: FaultKind) -> None:
    simulation = run_with_faults(FaultConfig(kind=kind, at_s=1.0, duration_s=1.5, count=3), duration_s=9.0)
    assert simulated_figures(simulation)["world"]["servers_up"] == 9
    restarted = 0 if kind == "servers_hung" else 3
    assert sum(server.started_ms > 0 for server in simulation.servers.by_name.values()) == restarted
    assert simulation.metrics.service["lost"] == 0


def test_a_discovery_outage_and_a_cleared_counter_lose_no_answers() -> None:
    simulation = run_with_faults(
        FaultConfig(kind="discovery_unavailable", at_s=1.0, duration_s=4.0),
        FaultConfig(kind="servers_replaced", at_s=1.5, duration_s=1.0, share=0.3),
        FaultConfig(kind="counter_cleared", at_s=3.0),
        duration_s=8.0,
    )
    assert simulation.metrics.service["lost"] == 0
    violations = simulation.metrics.violations
    assert violations["late_drains_deemed"] == violations["late_drains_told"] == 0


def test_timers_of_a_killed_process_do_not_reach_the_next_one() -> None:
    """Timers of the killed process that fired in the next one would double the gateways' ticks."""
    restarts = FaultConfig(kind="gateways_restarted", at_s=1.0, count=6, downtime_ms=(1.0, 1.0))
    ticks_without_restarts, ticks_with_restarts = (
        run_with_faults(*faults).processor_time.events["TimerFired"] for faults in ((), (restarts,))
    )
    assert ticks_with_restarts == pytest.approx(ticks_without_restarts, rel=0.05)


def test_partitioned_regions_catch_up_on_changes_after_the_partition() -> None:
    def deltas_sent(*faults: FaultConfig) -> int:
        experiment = Experiment(
            name="t",
            duration_s=8.0,
            fleet=FleetConfig(gateways=4, servers=12, visible_servers=6, regions=2, zones=4),
            load=LoadConfig(requests_per_s=40.0, tenants=20, gateways_per_tenant=(1, 2)),
            faults=faults,
        )
        simulation = Simulation(experiment, 1)
        simulation.run()
        assert simulation.metrics.service["lost"] == 0
        violations = simulation.metrics.violations
        assert violations["late_drains_deemed"] == violations["late_drains_told"] == 0
        versions = [gateway.watch.version or 0 for gateway in simulation.gateways]
        histories = simulation.discovery.histories
        assert versions == [histories[gateway.pool_number].version for gateway in simulation.gateways]
        return simulation.metrics.messages["discovery"]["change_lists"]

    replacements = FaultConfig(kind="servers_replaced", at_s=1.0, duration_s=1.0, share=1.0)
    partition = FaultConfig(kind="regions_partitioned", at_s=0.5, duration_s=6.0)
    assert deltas_sent(replacements) > deltas_sent(partition, replacements) > 0


def test_a_surge_raises_demand_while_it_lasts() -> None:
    without_surge = run_with_faults()
    with_surge = run_with_faults(
        FaultConfig(kind="demand_surge", at_s=1.0, duration_s=4.0, share=1.0, factor=3.0)
    )
    ratio = with_surge.metrics.service["first_tries"] / without_surge.metrics.service["first_tries"]
    # The demand is three times as high for 4 s of 6 s. It changes with the next batch of arrivals.
    assert 1.9 < ratio < 2.8


def test_sudden_load_on_warming_servers_is_counted_as_failures() -> None:
    # All servers restart at once with an overload budget that is too small for the load.
    simulation = run_with_faults(
        FaultConfig(kind="servers_crashed", at_s=1.0, duration_s=0.1, share=1.0),
        servers=ServerConfig(
            initial_capacity_share=0.01, overload_factor=0.1, overload_window_ms=500.0, startup_ms=(0.0, 0.0)
        ),
        duration_s=8.0,
    )
    assert simulated_figures(simulation)["rules"]["cold_falls"] == len(simulation.metrics.cold_failures) > 0
    for failure in simulation.metrics.cold_failures:
        assert failure.calls > failure.budget + 2.0 * failure.budget**0.5 + 2.0
