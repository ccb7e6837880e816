"""The figures of one load: outcomes, latencies, and violations of the protocol."""

from __future__ import annotations

from dataclasses import dataclass, field

from quota_gateway.lab.fakes.attempt_log import Attempt, AttemptLog
from quota_gateway.lab.load.histogram import LatencyHistogram
from quota_gateway.lab.load.request_record import LossReason, RequestOutcome, RequestRecord
from quota_gateway.settings import Idempotency

# A reply is late if it arrives more than this after the deadline: `safety.answer_slack_ms` of the settings
# (8 ms), plus the 50 ms that the protocol specification adds to every time limit on sockets.
LATE_REPLY_MARGIN_S = 0.058


@dataclass(slots=True)
class LoadSummary:
    """The figures of one load, summed over its requests."""

    counts: dict[RequestOutcome, int] = field(default_factory=lambda: dict.fromkeys(RequestOutcome, 0))
    latency: dict[RequestOutcome, LatencyHistogram] = field(
        default_factory=lambda: {outcome: LatencyHistogram() for outcome in RequestOutcome}
    )
    added_latency: LatencyHistogram = field(default_factory=LatencyHistogram)  # latency minus time at servers
    # Difference between the actual and the intended send time.
    send_delay: LatencyHistogram = field(default_factory=LatencyHistogram)
    losses: dict[LossReason, int] = field(default_factory=dict)
    extra_replies: int = 0  # replies for which no request was pending
    duplicate_executions: int = 0  # non-idempotent requests that servers ran more than once
    resent: int = 0  # requests resent after an idle connection was closed
    late: int = 0  # replies past their deadline by more than `LATE_REPLY_MARGIN_S`

    @property
    def request_count(self) -> int:
        """Number of requests that have been added."""
        return sum(self.counts.values())

    def add(self, record: RequestRecord, attempt_log: AttemptLog) -> None:
        """Add a completed request.

        A request is marked as lost if it was resent although the gateway had already forwarded it.
        """
        request = record.request
        attempts = attempt_log.attempts_of(request.request_id)
        self._check_resending(record, attempts)
        if record.loss_reason is not None:
            self.losses[record.loss_reason] = self.losses.get(record.loss_reason, 0) + 1
        elif record.sent_at is not None:
            self.late += record.completed_at - record.sent_at > request.deadline_s + LATE_REPLY_MARGIN_S
        if request.idempotency is Idempotency.NON_IDEMPOTENT:
            self.duplicate_executions += attempt_log.executions(request.request_id) > 1
        self.counts[record.outcome] += 1
        self._add_times(record, attempts)

    def _check_resending(self, record: RequestRecord, attempts: list[Attempt]) -> None:
        resent_at = record.resent_at
        if resent_at is None:
            return
        self.resent += 1
        if any(attempt.arrived_at < resent_at for attempt in attempts):
            # The gateway closed the connection after it had forwarded the request. The reply to it is lost,
            # even if the resent request was served.
            record.lose(LossReason.CONNECTION_CLOSED_AFTER_FORWARD)

    def _add_times(self, record: RequestRecord, attempts: list[Attempt]) -> None:
        self.latency[record.outcome].record(record.latency_s)
        if record.sent_at is not None:
            self.send_delay.record((record.resent_at or record.sent_at) - record.scheduled_at)
        if record.outcome is RequestOutcome.SERVED:
            time_at_servers_s = sum(attempt.time_at_server_s for attempt in attempts)
            self.added_latency.record(record.latency_s - time_at_servers_s)
