"""An audit of how the quotas were kept, replayed from what reached the servers.

The rules of WIRE, section 8 (`packages`): a customer's token bucket starts full, holds `most_at_once` units
and fills by `per_second`. A request takes its units when its first attempt has reached a server, and is
within quota if the bucket held them then; one that is forwarded over quota takes nothing. No gateway
can know the bucket's level of the moment, so some rejections within quota are unavoidable; their number
shows how much one gateway is better at it than another.
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
# BENCH, `refused_with_room_share`: a rejection is unnecessary from this level over burst.
UNUSED_BURST_SHARE = 0.5


@dataclass(slots=True)
class TokenBucket:
    """The token bucket of one customer."""

    plan: QuotaPlan
    level: float  # units
    updated_at: float  # seconds of `time.monotonic`

    def refill(self, now: float) -> None:
        """Bring the level up to a moment, no earlier than the last one."""
        gained = self.plan.rate * (now - self.updated_at)
        self.level = min(self.plan.burst, self.level + gained)
        self.updated_at = now


class QuotaAudit(msgspec.Struct):
    """How the quotas were kept. Requests of plans without a quota don't count.

    The names of the result file are those of earlier versions.
    """

    forwarded_within_quota: int = msgspec.field(name="inside", default=0)
    forwarded_over_quota: int = msgspec.field(name="beyond", default=0)
    rejected_within_quota: int = msgspec.field(name="refused_with_room", default=0)
    rejected: int = msgspec.field(name="refused", default=0)  # all of them
    rejected_unnecessarily: int = msgspec.field(name="refused_half_full", default=0)  # much was unused

    @property
    def forwarded(self) -> int:
        """Requests that reached a server."""
        return self.forwarded_within_quota + self.forwarded_over_quota


@dataclass(frozen=True, slots=True)
class _Decision:
    """A gateway's decision on a request: when it was first forwarded, or rejected without that."""

    at: float
    record: RequestRecord
    forwarded: bool


def audit_quotas(
    deployment: Deployment, records: Iterable[RequestRecord], attempt_log: AttemptLog
) -> QuotaAudit:
    """Replay a run that is over."""
    plans = {plan.name: plan for plan in deployment.plans if plan.rate}
    audit = QuotaAudit()
    buckets: dict[bytes, TokenBucket] = {}
    for decision in sorted(_decisions(records, attempt_log), key=attrgetter("at")):
        request = decision.record.request
        plan = plans.get(request.customer.plan)
        if plan is None:
            continue
        full = TokenBucket(plan, plan.burst, decision.at)
        bucket = buckets.setdefault(request.customer.customer_id, full)
        bucket.refill(decision.at)
        _count(audit, bucket, request.units, decision.forwarded)
    return audit


def _count(audit: QuotaAudit, bucket: TokenBucket, units: float, forwarded: bool) -> None:
    within_quota = bucket.level >= units
    if not forwarded:
        audit.rejected += 1
        audit.rejected_within_quota += within_quota
        unused = bucket.level >= UNUSED_BURST_SHARE * bucket.plan.burst
        audit.rejected_unnecessarily += within_quota and unused
    elif within_quota:
        audit.forwarded_within_quota += 1
        bucket.level -= units
    else:
        audit.forwarded_over_quota += 1


def _decisions(records: Iterable[RequestRecord], attempt_log: AttemptLog) -> Iterable[_Decision]:
    for record in records:
        attempts = attempt_log.attempts_of(record.request.request_id)
        if attempts:
            yield _Decision(attempts[0].arrived_at, record, True)
        elif record.outcome in REJECTED_OUTCOMES:
            yield _Decision(record.completed_at, record, False)
