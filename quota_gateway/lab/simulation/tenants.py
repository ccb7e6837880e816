"""Builds plans and tenants so that their demand and quotas agree with the experiment."""

from __future__ import annotations

import random
from dataclasses import dataclass

import numpy as np

from quota_gateway.lab.simulation.experiment import Experiment, LoadConfig, PlanConfig, excess_utilization
from quota_gateway.lab.simulation.random_streams import random_stream
from quota_gateway.lab.simulation.records import FloatArray, Tenant
from quota_gateway.settings import Plan

GOLDEN_RATIO_CONJUGATE = 0.6180339887498949  # the fractions of its multiples lie evenly between 0 and 1
# A burst holds this many of the largest requests at least, and more under a hard limit; the hard limit's
# slack is a share of its burst, or one such request (BENCH).
MIN_BURST_REQUESTS = 2.0
MIN_BURST_REQUESTS_HARD_LIMIT = 4.0
HARD_LIMIT_SLACK_SHARE = 0.1


@dataclass(frozen=True, slots=True)
class PlanTenants:
    """A plan at its true rate, and how many of all tenants are on it."""

    plan: Plan
    config: PlanConfig
    tenant_count: int


def unit_shares(max_units: int) -> FloatArray:
    """Return the shares of requests of 1, 2 ... units: half have one, a quarter two, and so on (assumed)."""
    weights = 0.5 ** np.arange(1, max_units + 1)
    shares: FloatArray = weights / weights.sum()
    return shares


def mean_units(max_units: int) -> float:
    """Return the units of a mean request."""
    weights = 0.5 ** np.arange(1, max_units + 1)
    return float((np.arange(1, max_units + 1) * weights).sum() / weights.sum())


def build_plans(experiment: Experiment) -> tuple[PlanTenants, ...]:
    """Return the plans with their rates and numbers of tenants.

    Tenants of a plan are as many as its share of the use needs at its rate; one factor on all rates makes the
    demand `load.quota_utilization` times the sum of the quotas.
    """
    load = experiment.load
    tenants_by_plan = np.array([plan.usage_share / plan.relative_rate for plan in experiment.plans])
    shares = (tenants_by_plan / tenants_by_plan.sum()).tolist()
    counts = [max(1, round(load.tenants * share)) for share in shares]
    demand = load.requests_per_s * mean_units(load.max_units)  # units a second
    relative_quotas = sum(
        count * plan.relative_rate for count, plan in zip(counts, experiment.plans, strict=True)
    )
    factor = demand / load.quota_utilization / relative_quotas
    return tuple(
        PlanTenants(_build_plan(config, config.relative_rate * factor, load.max_units), config, count)
        for config, count in zip(experiment.plans, counts, strict=True)
    )


def _build_plan(config: PlanConfig, rate: float, max_units: int) -> Plan:
    min_requests = MIN_BURST_REQUESTS_HARD_LIMIT if config.hard_limit_factor else MIN_BURST_REQUESTS
    burst = max(rate * config.burst_s, max_units * min_requests)
    hard_limit_burst = config.hard_limit_factor * burst
    slack = max(HARD_LIMIT_SLACK_SHARE * hard_limit_burst, float(max_units))
    return Plan(
        name=config.name,
        price=config.price,
        rate=rate,
        burst=burst,
        hard_limit_rate=config.hard_limit_factor * rate,
        hard_limit_burst=hard_limit_burst,
        hard_limit_slack=slack if config.hard_limit_factor else 0.0,
        over_quota_cost=config.over_quota_cost,
    )


def build_tenants(experiment: Experiment, plans: tuple[PlanTenants, ...], seed: int) -> list[Tenant]:
    """Return the tenants that are simulated, `load.sampled_share` of all, in random order."""
    load = experiment.load
    rng, demand_rng = random_stream(seed, "tenants"), random_stream(seed, "habits")
    tenants: list[Tenant] = []
    for each in plans:
        mean_quota = each.plan.rate / mean_units(load.max_units)  # in requests a second
        for demand in _ordinary_demands(experiment, each):
            # Heavy and spiky tenants lie evenly over ranks and plans.
            position = (len(tenants) + 0.5) * GOLDEN_RATIO_CONJUGATE % 1.0
            spike = 0.0
            if position < load.heavy_share:
                demand = max(demand, mean_quota * demand_rng.uniform(*load.heavy_factor))
            elif position < load.heavy_share + load.spiky_share:
                spike = mean_quota * demand_rng.uniform(*load.spike_factor)
            tenants.append(_build_tenant(load, each.plan, demand, spike, rng))
    rng.shuffle(tenants)
    return tenants


def _ordinary_demands(experiment: Experiment, plan: PlanTenants) -> list[float]:
    """Return the requests a second of each simulated tenant of a plan, heavy and spiky habits aside."""
    load, count = experiment.load, plan.tenant_count
    # What the others ask for, as a share of what all would if none were heavy or had spikes.
    ordinary_share = (1.0 - excess_utilization(load) / load.quota_utilization) / max(
        1e-9, 1.0 - load.heavy_share
    )
    total_share = sum(config.usage_share for config in experiment.plans)
    weights = np.arange(1, count + 1) ** -load.zipf_exponent
    demands = weights / weights.sum() * load.requests_per_s * plan.config.usage_share / total_share
    sampled = max(1, round(count * load.sampled_share))
    # Evenly over the ranks, so that the sample has the whole's share of heavy tenants; then scaled to its
    # rate.
    sample = demands[((np.arange(sampled) + 0.5) * count / sampled).astype(int)]
    plan_rate = (
        ordinary_share * load.requests_per_s * load.sampled_share * plan.config.usage_share / total_share
    )
    sample *= plan_rate / sample.sum()
    mean_quota = plan.plan.rate / mean_units(load.max_units)
    limited: list[float] = np.minimum(sample, load.max_quota_utilization * mean_quota).tolist()
    return limited


def _build_tenant(load: LoadConfig, plan: Plan, demand: float, spike: float, rng: random.Random) -> Tenant:
    """Draw the rest of a tenant. The order of the draws is part of what a seed means."""
    return Tenant(
        key=f"{rng.randrange(1 << 33):016x}",
        plan=plan,
        first_gateway=rng.randrange(1 << 30),
        gateway_count=rng.randint(*load.gateways_per_tenant),
        weight_seed=rng.randrange(1 << 20),
        weight_shift_ms=1000.0 * rng.uniform(*load.gateway_weight_shift_s),
        demand_per_s=demand,
        quota_level=plan.burst,
        hard_limit_level=plan.hard_limit_burst,
        reference_level=plan.burst,
        refilled_at=0.0,
        spike_demand_per_s=spike,
    )
