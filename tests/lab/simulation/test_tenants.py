"""Plans and tenants: their quotas and demand add up to the load of the experiment."""

from __future__ import annotations

import pytest

from quota_gateway.lab.simulation.experiment import Experiment, FleetConfig, LoadConfig, excess_utilization
from quota_gateway.lab.simulation.tenants import build_plans, build_tenants, mean_units


@pytest.mark.parametrize("part", [1.0, 0.1])
def test_quotas_and_demand_add_up_to_the_load(part: float) -> None:
    experiment = Experiment(
        name="t",
        duration_s=1.0,
        fleet=FleetConfig(gateways=10, servers=10),
        load=LoadConfig(requests_per_s=1000.0, tenants=2000, quota_utilization=0.5, sampled_share=part),
    )
    plans = build_plans(experiment)
    quotas = sum(each.plan.rate * each.tenant_count for each in plans)
    assert quotas * 0.5 == pytest.approx(1000.0 * mean_units(8))
    tenants = build_tenants(experiment, plans, seed=1)
    assert len(tenants) == pytest.approx(2000 * part, abs=4)
    assert sum(tenant.demand_per_s for tenant in tenants) == pytest.approx(1000.0 * part, rel=0.05)
    uses = [tenant.demand_per_s * mean_units(8) / tenant.plan.rate for tenant in tenants]
    assert 0.04 < sum(use > 1.0 for use in uses) / len(uses) < 0.12  # brief 4.9: 8 to 13 in 100
    assert max(uses) <= 8.001
    for each in plans:
        assert each.plan.burst >= 16.0
        assert (each.plan.hard_limit_rate > each.plan.rate) == (each.plan.name == "institucional")


@pytest.mark.parametrize("part", [1.0, 0.1])
def test_heavy_and_spiky_tenants_exceed_their_quota_within_the_total_rate(part: float) -> None:
    load = LoadConfig(
        requests_per_s=1000.0,
        tenants=2000,
        quota_utilization=0.8,
        sampled_share=part,
        zipf_exponent=0.0,
        heavy_share=0.08,
        spiky_share=0.2,
        spike_factor=(4.0, 8.0),
    )
    experiment = Experiment(name="t", duration_s=1.0, fleet=FleetConfig(gateways=10, servers=10), load=load)
    plans = build_plans(experiment)
    tenants = build_tenants(experiment, plans, seed=1)
    quota = {each.plan.name: each.plan.rate / mean_units(8) for each in plans}
    uses = [tenant.demand_per_s / quota[tenant.plan.name] for tenant in tenants]
    heavy = [use for use in uses if use > 1.0]
    assert len(heavy) / len(uses) == pytest.approx(0.08, rel=0.1)
    assert 1.6 <= min(heavy) <= max(heavy) <= 5.0
    spikes = [
        tenant.spike_demand_per_s / quota[tenant.plan.name] for tenant in tenants if tenant.spike_demand_per_s
    ]
    assert len(spikes) / len(uses) == pytest.approx(0.2, rel=0.1)
    assert 4.0 <= min(spikes) <= max(spikes) <= 8.0
    spikes_utilization = excess_utilization(load) - 0.08 * 3.3  # of the quotas, by spikes; the rest is steady
    demand = sum(tenant.demand_per_s for tenant in tenants)
    assert demand == pytest.approx(1000.0 * part * (0.8 - spikes_utilization) / 0.8, rel=0.1)
