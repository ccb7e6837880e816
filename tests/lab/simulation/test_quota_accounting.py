"""Attempts are counted against the customers' true quotas."""

from __future__ import annotations

from quota_gateway.lab.simulation.records import ClientAttempt, ClientRequest, Pool, Tenant
from quota_gateway.settings import Plan
from tests.lab.simulation.fleets import run_small_fleet


def test_an_attempt_uses_its_quota_when_first_forwarded_and_only_within_it() -> None:
    """An attempt is within the quota if the token bucket holds its units; it takes them only in that case."""
    simulation = run_small_fleet(0.1)
    quotas = simulation.environment.quotas
    metrics = simulation.metrics
    metrics.quota.clear()
    plan = Plan("p", rate=1.0, burst=10.0, hard_limit_rate=2.0, hard_limit_burst=12.0, hard_limit_slack=1.0)
    now = simulation.scheduler.now
    tenant = Tenant(
        "c",
        plan,
        first_gateway=0,
        gateway_count=1,
        weight_seed=0,
        weight_shift_ms=1000.0,
        demand_per_s=1.0,
        quota_level=10.0,
        hard_limit_level=12.0,
        reference_level=10.0,
        refilled_at=now,
    )

    def attempt(units: float) -> ClientAttempt:
        request = ClientRequest(Pool(), tenant, units, 1.0, now)
        return ClientAttempt("r", request, 0, now, now + 1000.0)

    quotas.record_rejected(attempt(1.0))
    quotas.record_forwarded(attempt(6.0))
    quotas.record_rejected(attempt(4.0))  # Less than half of the burst is unused.
    quotas.record_forwarded(attempt(6.0))  # Over the quota: takes units only from the hard limit.
    assert (tenant.quota_level, tenant.hard_limit_level) == (4.0, 0.0)
    quotas.record_forwarded(attempt(1.0))
    assert metrics.violations["ceiling_overruns"] == 0
    quotas.record_forwarded(attempt(1.0))
    assert metrics.violations["ceiling_overruns"] == 1
    assert dict(metrics.quota) == {
        "refused": 2,
        "refused_with_room": 1,
        "tries_inside": 3,
        "units_inside": 8,
        "tries_beyond": 1,
        "units_beyond": 6,
    }
    simulation.scheduler.run_until(now + 100_000.0)
    tenant.refill(simulation.scheduler.now)
    assert (tenant.quota_level, tenant.hard_limit_level) == (10.0, 12.0)
