"""Builds plans and tenants whose demand and quotas add up to the figures of the experiment."""

from __future__ import annotations

import random
from dataclasses import dataclass

import numpy as np

from quota_gateway.lab.simulation.experiment import Experiment, LoadConfig, PlanConfig, excess_utilization
from quota_gateway.lab.simulation.random_streams import random_stream
from quota_gateway.lab.simulation.records import FloatArray, Tenant
from quota_gateway.settings import Plan

# The fractional parts of its multiples are spread evenly over 0 to 1.
GOLDEN_RATIO_CONJUGATE = 0.6180339887498949
# Smallest burst of a plan, as a number of requests of the largest size.
MIN_BURST_REQUESTS = 2.0
MIN_BURST_REQUESTS_HARD_LIMIT = 4.0
# Slack of a hard limit, as a share of the hard limit's burst; at least one request of the largest size.
HARD_LIMIT_SLACK_SHARE = 0.1


@dataclass(frozen=True, slots=True)
class PlanTenants:
    """A plan and the number of its tenants.

    Attributes:
        plan: the plan with its scaled rates.
        config: the plan as the experiment file describes it.
        tenant_count: number of tenants on the plan, including those that are not simulated.
    """

    plan: Plan
    config: PlanConfig
    tenant_count: int


def unit_shares(max_units: int) -> FloatArray:
    """Return the shares of requests with 1, 2, ... `max_units` units.

    They halve with each unit: about half of the requests have one unit, a quarter has two, and so on.
    """
    weights = 0.5 ** np.arange(1, max_units + 1)
    shares: FloatArray = weights / weights.sum()
    return shares


def mean_units(max_units: int) -> float:
    """Return the mean number of units of a request."""
    weights = 0.5 ** np.arange(1, max_units + 1)
    return float((np.arange(1, max_units + 1) * weights).sum() / weights.sum())


def build_plans(experiment: Experiment) -> tuple[PlanTenants, ...]:
    """Return the plans with their scaled rates and their numbers of tenants.

    The number of a plan's tenants is proportional to `usage_share / relative_rate`. One factor scales the
    rates of all plans, so that the total demand is `load.quota_utilization` times the sum of all quotas.
    """
    load = experiment.load
    relative_counts = np.array([plan.usage_share / plan.relative_rate for plan in experiment.plans])
    shares = (relative_counts / relative_counts.sum()).tolist()
    counts = [max(1, round(load.tenants * share)) for share in shares]
    demand = load.requests_per_s * mean_units(load.max_units)  # Units per second.
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
    """Return the simulated tenants, `load.sampled_share` of all, in random order."""
    load = experiment.load
    rng = random_stream(seed, "tenants")
    demand_rng = random_stream(seed, "habits")
    tenants: list[Tenant] = []
    for plan_tenants in plans:
        # The quota in requests of mean size per second.
        mean_quota = plan_tenants.plan.rate / mean_units(load.max_units)
        for demand in _ordinary_demands(experiment, plan_tenants):
            # A low-discrepancy sequence spreads heavy and spiky tenants evenly over ranks and plans.
            position = (len(tenants) + 0.5) * GOLDEN_RATIO_CONJUGATE % 1.0
            spike = 0.0
            if position < load.heavy_share:
                demand = max(demand, mean_quota * demand_rng.uniform(*load.heavy_factor))
            elif position < load.heavy_share + load.spiky_share:
                spike = mean_quota * demand_rng.uniform(*load.spike_factor)
            tenants.append(_build_tenant(load, plan_tenants.plan, demand, spike, rng))
    rng.shuffle(tenants)
    return tenants


def _ordinary_demands(experiment: Experiment, plan_tenants: PlanTenants) -> list[float]:
    """Return the requests/s of each simulated tenant of a plan, without spikes and before heavy demand."""
    load = experiment.load
    count = plan_tenants.tenant_count
    usage_share = plan_tenants.config.usage_share
    # Factor on the demand of ordinary tenants, relative to a load without heavy tenants and spikes. It keeps
    # the total demand about the same when heavy tenants and spikes add theirs.
    ordinary_share = (1.0 - excess_utilization(load) / load.quota_utilization) / max(
        1e-9, 1.0 - load.heavy_share
    )
    total_share = sum(config.usage_share for config in experiment.plans)
    weights = np.arange(1, count + 1) ** -load.zipf_exponent
    demands = weights / weights.sum() * load.requests_per_s * usage_share / total_share
    sample_size = max(1, round(count * load.sampled_share))
    # Samples evenly spaced ranks, so that the sample has the same distribution of demand as all tenants, and
    # scales the sample to its share of the plan's demand.
    sample = demands[((np.arange(sample_size) + 0.5) * count / sample_size).astype(int)]
    sample_rate = ordinary_share * load.requests_per_s * load.sampled_share * usage_share / total_share
    sample *= sample_rate / sample.sum()
    mean_quota = plan_tenants.plan.rate / mean_units(load.max_units)
    limited_demands: list[float] = np.minimum(sample, load.max_quota_utilization * mean_quota).tolist()
    return limited_demands


def _build_tenant(load: LoadConfig, plan: Plan, demand: float, spike: float, rng: random.Random) -> Tenant:
    """Return a tenant with randomly drawn properties.

    The order of the draws must not change: it determines the tenants that a seed gives.
    """
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
