"""Small simulated fleets, locations and faults that several tests use."""

from __future__ import annotations

from typing import Any

from quota_gateway.lab.simulation.experiment import (
    Experiment,
    FaultConfig,
    FleetConfig,
    LoadConfig,
    NetworkConfig,
)
from quota_gateway.lab.simulation.network import Location
from quota_gateway.lab.simulation.simulation import Simulation

ZONE_0 = Location("z0", 0)
ZONE_1 = Location("z1", 0)
OTHER_REGION = Location("z2", 1)
WITHOUT_JITTER = NetworkConfig(jitter_share=0.0)


def run_small_fleet(duration_s: float = 6.0, **tables: Any) -> Simulation:
    """Run a small fleet without faults; `tables` replace the default tables of the experiment."""
    load = tables.pop("load", LoadConfig(requests_per_s=60.0, tenants=30, gateways_per_tenant=(1, 2)))
    experiment = Experiment(
        name="t", duration_s=duration_s, fleet=FleetConfig(gateways=2, servers=6), load=load, **tables
    )
    simulation = Simulation(experiment, seed=3)
    simulation.run()
    return simulation


def run_with_faults(
    *faults: FaultConfig, seed: int = 1, duration_s: float = 6.0, **tables: Any
) -> Simulation:
    """Run a small fleet of three zones with faults; `tables` replace the default tables of the experiment."""
    experiment = Experiment(
        name="t",
        duration_s=duration_s,
        fleet=FleetConfig(gateways=6, servers=9, zones=3),
        faults=faults,
        load=LoadConfig(requests_per_s=90.0, tenants=40, gateways_per_tenant=(2, 4)),
        **tables,
    )
    simulation = Simulation(experiment, seed)
    simulation.run()
    return simulation


MIXED_FAULTS = (
    FaultConfig(kind="servers_replaced", at_s=1.0, duration_s=1.0, share=0.4),
    FaultConfig(kind="gateways_restarted", at_s=2.0, duration_s=0.5, share=0.5),
    FaultConfig(kind="zone_isolated", at_s=3.0, duration_s=1.0, zone="z1"),
    FaultConfig(kind="counter_unavailable", at_s=4.0, duration_s=0.5),
)
