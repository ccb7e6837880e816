"""The quotas and the demand of plans and tenants add up to the load of the experiment."""

from __future__ import annotations

import pytest

from quota_gateway.lab.simulation.experiment import Experiment, FleetConfig, LoadConfig, excess_utilization
from quota_gateway.lab.simulation.tenants import build_plans, build_tenants, mean_units


@pytest.mark.parametrize("sampled_share", [1.0, 0.1])
def test_quotas_and_demand_add_up_to_the_load(sampled_share: float) -> None:
    experiment = Experiment(
        name="t",
        duration_s=1.0,
        fleet=FleetConfig(gateways=10, servers=10),
        load=LoadConfig(
            requests_per_s=1000.0, tenants=2000, quota_utilization=0.5, sampled_share=sampled_share
        ),
    )
    plans = build_plans(experiment)
    quotas = sum(plan_tenants.plan.rate * plan_tenants.tenant_count for plan_tenants in plans)
    assert quotas * 0.5 == pytest.approx(1000.0 * mean_units(8))
    tenants = build_tenants(experiment, plans, seed=1)
    assert len(tenants) == pytest.approx(2000 * sampled_share, abs=4)
    assert sum(tenant.demand_per_s for tenant in tenants) == pytest.approx(1000.0 * sampled_share, rel=0.05)
    utilizations = [tenant.demand_per_s * mean_units(8) / tenant.plan.rate for tenant in tenants]
    # With the default Zipf exponent, about one tenant in twelve is over its quota.
    assert 0.04 < sum(utilization > 1.0 for utilization in utilizations) / len(utilizations) < 0.12
    assert max(utilizations) <= 8.001
    for plan in (plan_tenants.plan for plan_tenants in plans):
        assert plan.burst >= 16.0  # Two requests of the largest size, 8 units.
        assert (plan.hard_limit_rate > plan.rate) == (plan.name == "institucional")


@pytest.mark.parametrize("sampled_share", [1.0, 0.1])
def test_heavy_and_spiky_tenants_exceed_their_quota_within_the_total_rate(sampled_share: float) -> None:
    load = LoadConfig(
        requests_per_s=1000.0,
        tenants=2000,
        quota_utilization=0.8,
        sampled_share=sampled_share,
        zipf_exponent=0.0,
        heavy_share=0.08,
        spiky_share=0.2,
        spike_factor=(4.0, 8.0),
    )
    experiment = Experiment(name="t", duration_s=1.0, fleet=FleetConfig(gateways=10, servers=10), load=load)
    plans = build_plans(experiment)
    tenants = build_tenants(experiment, plans, seed=1)
    quota = {plan_tenants.plan.name: plan_tenants.plan.rate / mean_units(8) for plan_tenants in plans}
    utilizations = [tenant.demand_per_s / quota[tenant.plan.name] for tenant in tenants]
    heavy = [utilization for utilization in utilizations if utilization > 1.0]
    assert len(heavy) / len(utilizations) == pytest.approx(0.08, rel=0.1)
    assert 1.6 <= min(heavy) <= max(heavy) <= 5.0
    spikes = [
        tenant.spike_demand_per_s / quota[tenant.plan.name] for tenant in tenants if tenant.spike_demand_per_s
    ]
    assert len(spikes) / len(utilizations) == pytest.approx(0.2, rel=0.1)
    assert 4.0 <= min(spikes) <= max(spikes) <= 8.0
    # Mean demand of the spikes, as a share of the quotas: the excess without that of the heavy tenants. The
    # mean demand of a heavy tenant is 3.3 times its quota.
    spikes_utilization = excess_utilization(load) - 0.08 * 3.3
    demand = sum(tenant.demand_per_s for tenant in tenants)
    assert demand == pytest.approx(1000.0 * sampled_share * (0.8 - spikes_utilization) / 0.8, rel=0.1)
