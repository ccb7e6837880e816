"""Clients' attempts, retries and spikes, and the answers that a whole simulated fleet gives to them."""

from __future__ import annotations

import pytest

from quota_gateway.lab.simulation.experiment import ClientConfig, LoadConfig
from quota_gateway.lab.simulation.run_report import simulated_figures
from quota_gateway.lab.simulation.tenants import build_plans, build_tenants
from tests.lab.simulation.fleets import run_small_fleet


def test_spikes_end_and_restore_the_ordinary_demand() -> None:
    calm = run_small_fleet(
        20.0,
        load=LoadConfig(
            requests_per_s=60.0,
            tenants=30,
            gateways_per_tenant=(1, 2),
            quota_utilization=0.4,
            zipf_exponent=0.0,
        ),
    )
    load = LoadConfig(
        requests_per_s=60.0,
        tenants=30,
        gateways_per_tenant=(1, 2),
        quota_utilization=0.9,
        zipf_exponent=0.0,
        spiky_share=0.1,
        spike_factor=(8.0, 8.0),
        spike_duration_s=(3.0, 3.0),
        spike_interval_s=(4.0, 5.0),
    )
    spiky = run_small_fleet(20.0, load=load)
    spiking = [tenant for pool in spiky.pools for tenant in pool.tenants if tenant.spike_demand_per_s]
    assert len(spiking) == pytest.approx(3, abs=1)
    initial_demand = {
        tenant.key: tenant.demand_per_s
        for tenant in build_tenants(spiky.experiment, build_plans(spiky.experiment), 3)
    }
    for tenant in spiking:
        assert tenant.demand_per_s == pytest.approx(initial_demand[tenant.key])
    assert spiky.metrics.service["refused"] > 2 * calm.metrics.service["refused"]
    # A spike lasts 3 s of an interval of 4.5 s on average. The first one begins after 2.5 s on average, which
    # leaves 17.5 s of the 20 s run.
    spike_demand = (
        sum(tenant.spike_demand_per_s - tenant.demand_per_s for tenant in spiking) * 3.0 / 4.5 * 17.5 / 20.0
    )
    rate = simulated_figures(spiky)["rates"]["first_tries_per_s"]
    assert rate == pytest.approx(sum(initial_demand.values()) + spike_demand, rel=0.15)


def test_every_attempt_has_one_outcome_and_disconnected_clients_cost_no_server_attempt() -> None:
    simulation = run_small_fleet(clients=ClientConfig(disconnect_share=0.5, disconnect_after_ms=(0.0, 100.0)))
    service = simulation.metrics.service
    outcomes = sum(service[outcome] for outcome in ("served", "refused", "failed", "left", "lost"))
    assert outcomes == service["tries"] > 300
    assert service["left"] > 100
    assert service["lost"] == 0
    assert simulation.metrics.violations["sent_after_client_left"] == 0
    assert all(not gateway.pending for gateway in simulation.gateways)


def test_retries_are_bounded_and_honour_retry_after() -> None:
    overload = LoadConfig(requests_per_s=60.0, tenants=8, quota_utilization=4.0, gateways_per_tenant=(1, 2))
    without_retries, with_retries = (
        run_small_fleet(
            load=overload, clients=ClientConfig(max_retries=max_retries, retry_after_share=1.0)
        ).metrics.service
        for max_retries in (0, 3)
    )
    assert without_retries["tries"] == without_retries["first_tries"] == with_retries["first_tries"]
    assert without_retries["first_tries"] < with_retries["tries"] <= 4 * with_retries["first_tries"]


def test_the_fleet_admits_no_more_than_the_quotas_and_their_margin() -> None:
    simulation = run_small_fleet(
        12.0,
        load=LoadConfig(requests_per_s=60.0, tenants=8, quota_utilization=4.0, gateways_per_tenant=(1, 2)),
    )
    assert simulation.metrics.quota["refused"] > 100
    assert simulated_figures(simulation)["rates"]["over_quota_units"] < 0.1
    assert simulation.metrics.violations["ceiling_overruns"] == 0
