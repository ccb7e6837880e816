"""The quota audit: requests are counted within or over quota by a replay of the token bucket."""

from __future__ import annotations

import dataclasses

from quota_gateway.lab.fakes.attempt_log import Attempt, AttemptLog
from quota_gateway.lab.load.deployment import decode_deployment, gateway_settings
from quota_gateway.lab.load.quota_audit import QuotaAudit, audit_quotas
from quota_gateway.lab.load.request_record import RequestOutcome, RequestRecord
from quota_gateway.lab.load.schedule import LoadSpec, draw_schedule


def test_quotas_are_replayed_from_what_reached_the_servers() -> None:
    plans = [{"name": "p", "per_second": 1.0, "most_at_once": 2.0}]
    deployment = decode_deployment(gateway_settings(1) | {"packages": plans})
    schedule = draw_schedule(deployment, LoadSpec(1.0, 7.0, over_quota_share=0.0))
    attempt_log = AttemptLog()
    records = []
    # Each decision has a time in seconds, the units, and whether the request was forwarded. Before the
    # decisions the bucket holds 2, 0, 0.5, 1.5, 2 (the burst) and 0.1 units.
    decisions = [
        (0.0, 2, True),
        (0.0, 1, True),
        (0.5, 1, False),
        (1.5, 1, False),
        (9.0, 2, True),
        (9.1, 1, True),
    ]
    for drawn, (decided_at, units, forwarded) in zip(schedule, decisions, strict=False):
        request = dataclasses.replace(drawn, customer=schedule[0].customer, units=float(units))
        record = RequestRecord(request, scheduled_at=decided_at)
        if forwarded:
            attempt_log.record(Attempt(request.request_id, "s0", decided_at))
        else:
            record.outcome = RequestOutcome.REJECTED_WITH_RETRY_AFTER
            record.completed_at = decided_at
        records.append(record)
    assert audit_quotas(deployment, records, attempt_log) == QuotaAudit(
        forwarded_within_quota=2,
        forwarded_over_quota=2,
        rejected_within_quota=1,
        rejected=2,
        rejected_unnecessarily=1,
    )
