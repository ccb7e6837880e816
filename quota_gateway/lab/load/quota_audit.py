"""An audit of how well the quotas were kept: a replay of the requests that were forwarded or rejected.

The simulator wire specification sets the rules for the quotas of the plans, which are listed under the key
`packages` of the settings. A customer's token bucket starts full, holds `most_at_once` units and is refilled
at `per_second` units/s. A forwarded request is within quota if the bucket holds its units when its first
attempt reaches a server, and then takes them. A request forwarded over quota takes nothing. A rejected
request is within quota if the bucket holds its units when the rejection arrives. No gateway knows the current
level of a bucket, so some rejections within quota are unavoidable; their number is used to compare gateways.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from operator import attrgetter

import msgspec

from quota_gateway.lab.fakes.attempt_log import AttemptLog
from quota_gateway.lab.load.deployment import Deployment, QuotaPlan
from quota_gateway.lab.load.request_record import RequestOutcome, RequestRecord

REJECTED_OUTCOMES = (RequestOutcome.REJECTED_WITH_RETRY_AFTER, RequestOutcome.REJECTED)
# A rejection within quota counts as unnecessary if the bucket holds at least this share of the burst. The
# operators' test bench uses the same limit for `refused_with_room_share`.
UNUSED_BURST_SHARE = 0.5


@dataclass(slots=True)
class TokenBucket:
    """The token bucket of one customer."""

    plan: QuotaPlan
    level: float  # available units
    updated_at: float  # seconds of `time.monotonic`

    def refill(self, now: float) -> None:
        """Add the units gained since the last refill; `now` must not be earlier than that."""
        gained_units = self.plan.rate * (now - self.updated_at)
        self.level = min(self.plan.burst, self.level + gained_units)
        self.updated_at = now


class QuotaAudit(msgspec.Struct):
    """Numbers of requests forwarded and rejected, within and over quota.

    Requests of plans without a quota are not counted. The keys in the result file are those of earlier
    versions, so that files of all versions can be compared.
    """

    forwarded_within_quota: int = msgspec.field(name="inside", default=0)
    forwarded_over_quota: int = msgspec.field(name="beyond", default=0)
    rejected_within_quota: int = msgspec.field(name="refused_with_room", default=0)
    rejected: int = msgspec.field(name="refused", default=0)  # within and over quota
    # Rejections within quota with at least `UNUSED_BURST_SHARE` of the burst unused.
    rejected_unnecessarily: int = msgspec.field(name="refused_half_full", default=0)

    @property
    def forwarded(self) -> int:
        """Number of requests that reached a server."""
        return self.forwarded_within_quota + self.forwarded_over_quota


@dataclass(frozen=True, slots=True)
class _Decision:
    """A gateway's decision to forward a request, or to reject it without an attempt."""

    decided_at: float  # arrival of the first attempt, or time of the rejection; seconds of `time.monotonic`
    record: RequestRecord
    forwarded: bool


def audit_quotas(
    deployment: Deployment, records: Iterable[RequestRecord], attempt_log: AttemptLog
) -> QuotaAudit:
    """Replay the decisions of a finished run in the order of their times."""
    plans = {plan.name: plan for plan in deployment.plans if plan.rate}
    audit = QuotaAudit()
    buckets: dict[bytes, TokenBucket] = {}
    for decision in sorted(_decisions(records, attempt_log), key=attrgetter("decided_at")):
        request = decision.record.request
        plan = plans.get(request.customer.plan)
        if plan is None:
            continue
        full_bucket = TokenBucket(plan, plan.burst, decision.decided_at)
        bucket = buckets.setdefault(request.customer.customer_id, full_bucket)
        bucket.refill(decision.decided_at)
        _count_decision(audit, bucket, request.units, decision.forwarded)
    return audit


def _count_decision(audit: QuotaAudit, bucket: TokenBucket, units: float, forwarded: bool) -> None:
    """Count one decision in the audit; a request forwarded within quota takes its units from the bucket."""
    within_quota = bucket.level >= units
    if not forwarded:
        audit.rejected += 1
        audit.rejected_within_quota += within_quota
        mostly_unused = bucket.level >= UNUSED_BURST_SHARE * bucket.plan.burst
        audit.rejected_unnecessarily += within_quota and mostly_unused
    elif within_quota:
        audit.forwarded_within_quota += 1
        bucket.level -= units
    else:
        audit.forwarded_over_quota += 1


def _decisions(records: Iterable[RequestRecord], attempt_log: AttemptLog) -> Iterable[_Decision]:
    """Yield the decision on each request that was forwarded or rejected."""
    for record in records:
        attempts = attempt_log.attempts_of(record.request.request_id)
        if attempts:
            yield _Decision(attempts[0].arrived_at, record, True)
        elif record.outcome in REJECTED_OUTCOMES:
            yield _Decision(record.completed_at, record, False)
