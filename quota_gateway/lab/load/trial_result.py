"""The result of a trial, as it is shown and written as JSON.

The names in the file are those of earlier versions, so that files of any version can be read and compared;
the mapping from them to this program's names stands here and nowhere else.
"""

from __future__ import annotations

import msgspec
from msgspec import field

from quota_gateway.lab.load.histogram import Percentiles
from quota_gateway.lab.load.quota_audit import QuotaAudit
from quota_gateway.lab.load.request_record import RequestOutcome

RESULT_FORMAT = 1
SHOWN_OUTCOMES = (
    RequestOutcome.SERVED,
    RequestOutcome.REJECTED_WITH_RETRY_AFTER,
    RequestOutcome.REJECTED,
    RequestOutcome.FAILED,
    RequestOutcome.LOST,
)


class GatewayResult(msgspec.Struct, kw_only=True):
    """One gateway's part of a trial. None where the kernel does not report it."""

    name: str
    requests: int
    cpu_us_per_request: float | None = field(name="processor_us_per_request")
    peak_memory_mib: float | None = field(name="memory_mb")
    exit_status: int | None = None
    killed: bool = False  # it did not exit in time after SIGTERM
    unexpected_exit_log: str = field(name="trouble", default="")  # of one that exited before it was asked to


class TrialResult(msgspec.Struct, kw_only=True):
    """What a trial gave. Percentiles are milliseconds."""

    format: int = RESULT_FORMAT
    gateways: list[GatewayResult]
    servers: int
    rate: float  # requests a second
    duration_s: float = field(name="seconds")
    seed: int
    requests: int
    outcomes: dict[str, int]  # by the value of `RequestOutcome`
    losses: dict[str, int]  # by the value of `LossReason`
    extra_replies: int = field(name="doubled")  # beyond the one owed
    duplicate_executions: int = field(name="ran_twice")  # of non-idempotent requests
    late: int  # replies past the deadline
    resent: int = field(name="sent_again")  # on a new connection, see `connections`
    latency_ms: dict[str, Percentiles]  # from the intended sending, by outcome
    added_latency_ms: Percentiles = field(name="added_ms")  # of served requests, less their time at servers
    client_overhead_ms: Percentiles | None = field(name="floor_ms")  # the same without a gateway
    send_delay_ms: Percentiles = field(name="pacing_ms")  # from the intended sending to the actual one
    counter_calls: int
    counter_rejections: int = field(name="counter_turned_away")
    tool_cpu_s: float = field(name="tool_processor_s")  # of client and fakes together, while the load ran
    attempts: dict[str, int] = field(default_factory=dict)  # at servers, by the value of `AttemptOutcome`
    quota_audit: QuotaAudit = field(name="quotas", default_factory=QuotaAudit)
    faults: list[str] = field(name="troubles", default_factory=list)  # as the operator wrote them

    @property
    def passed(self) -> bool:
        """Whether each request got one reply, some were served, and all gateways shut down cleanly."""
        clean_exits = all(
            gateway.exit_status == 0 and not gateway.killed and not gateway.unexpected_exit_log
            for gateway in self.gateways
        )
        violations = self.outcomes[RequestOutcome.LOST.value] + self.extra_replies + self.duplicate_executions
        return clean_exits and not violations and self.outcomes[RequestOutcome.SERVED.value] > 0
