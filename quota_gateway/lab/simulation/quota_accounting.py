"""Compares clients' attempts, forwarded and rejected, with the customers' true quotas.

The true quota of a customer is one token bucket for its attempts at all gateways together.
"""

from __future__ import annotations

from quota_gateway.lab.simulation.metrics import Metrics, QuotaCount, RuleViolation, ServiceCount
from quota_gateway.lab.simulation.records import ClientAttempt, Tenant
from quota_gateway.lab.simulation.scheduler import EventScheduler

UNUSED_BURST_SHARE = 0.5  # A rejection is unnecessary if at least this share of the burst is unused.


class QuotaAccounting:
    """Updates the true quota of each tenant, and counts attempts within and over it."""

    def __init__(self, scheduler: EventScheduler, metrics: Metrics) -> None:
        self._scheduler = scheduler
        self._metrics = metrics

    def record_first_attempt(self, tenant: Tenant, units: float) -> None:
        """Count a first attempt, and its revenue if a gateway that saw all first attempts would admit it."""
        metrics = self._metrics
        metrics.service[ServiceCount.FIRST_ATTEMPTS] += 1
        tenant.refill(self._scheduler.now)
        if tenant.reference_level >= units:
            tenant.reference_level -= units
            metrics.service[ServiceCount.FIRST_ATTEMPTS_WITHIN_QUOTA] += 1
            metrics.revenue[ServiceCount.OFFERED_REVENUE] += units * tenant.plan.price

    def record_forwarded(self, attempt: ClientAttempt) -> None:
        """Count an attempt that is forwarded for the first time, as within or over its customer's quota.

        Its units are taken from the quota only if they fit into it, and from the hard limit in any case. An
        attempt on a plan without a rate is within the quota.
        """
        tenant = attempt.request.tenant
        units = attempt.request.units
        counts = self._metrics.quota
        tenant.refill(self._scheduler.now)
        within = not tenant.plan.rate or tenant.quota_level >= units
        attempt.within_quota = within
        counts[QuotaCount.ATTEMPTS_WITHIN_QUOTA if within else QuotaCount.ATTEMPTS_OVER_QUOTA] += 1
        counts[QuotaCount.UNITS_WITHIN_QUOTA if within else QuotaCount.UNITS_OVER_QUOTA] += int(units)
        if within and tenant.plan.rate:
            tenant.quota_level -= units
        if tenant.plan.hard_limit_rate:
            tenant.hard_limit_level -= units
            if tenant.hard_limit_level < -tenant.plan.hard_limit_slack:
                self._metrics.violations[RuleViolation.HARD_LIMIT_EXCEEDED] += 1

    def record_rejected(self, attempt: ClientAttempt) -> None:
        """Count a rejection; it is unnecessary if at least half of the burst is unused and the units fit."""
        tenant = attempt.request.tenant
        tenant.refill(self._scheduler.now)
        self._metrics.quota[QuotaCount.REJECTED] += 1
        unused = tenant.quota_level >= UNUSED_BURST_SHARE * tenant.plan.burst
        if unused and tenant.quota_level >= attempt.request.units:
            self._metrics.quota[QuotaCount.REJECTED_UNNECESSARILY] += 1
