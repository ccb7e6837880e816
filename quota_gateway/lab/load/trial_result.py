"""The result of a trial, as reported on the terminal and written as JSON.

The keys in the file are those of earlier versions, so that files of all versions can be read and compared.
Only the structs here and in `quota_audit` map these keys to attribute names.
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
    """The result of one gateway in a trial."""

    name: str
    requests: int
    # CPU time and peak memory are None if the kernel does not report them.
    cpu_us_per_request: float | None = field(name="processor_us_per_request")
    peak_memory_mib: float | None = field(name="memory_mb")
    exit_status: int | None = None
    killed: bool = False  # whether it did not exit in time after SIGTERM
    unexpected_exit_log: str = field(name="trouble", default="")  # end of the log if it exited before SIGTERM


class TrialResult(msgspec.Struct, kw_only=True):
    """The result of one trial. Percentiles are in milliseconds."""

    format: int = RESULT_FORMAT
    gateways: list[GatewayResult]
    servers: int
    rate: float  # requests per second
    duration_s: float = field(name="seconds")
    seed: int
    requests: int
    outcomes: dict[str, int]  # number of requests; keys are values of `RequestOutcome`
    losses: dict[str, int]  # number of lost requests; keys are values of `LossReason`
    extra_replies: int = field(name="doubled")  # replies for which no request was pending
    duplicate_executions: int = field(name="ran_twice")  # non-idempotent requests that ran more than once
    late: int  # replies past the deadline by more than `summary.LATE_REPLY_MARGIN_S`
    resent: int = field(name="sent_again")  # requests resent after an idle connection was closed
    latency_ms: dict[str, Percentiles]  # latency by the value of `RequestOutcome`, see `RequestRecord`
    added_latency_ms: Percentiles = field(name="added_ms")  # latency of served requests minus time at servers
    client_overhead_ms: Percentiles | None = field(name="floor_ms")  # added latency without a gateway
    send_delay_ms: Percentiles = field(name="pacing_ms")  # actual minus intended send time
    counter_calls: int
    counter_rejections: int = field(name="counter_turned_away")
    tool_cpu_s: float = field(name="tool_processor_s")  # CPU time of client and fakes during the load
    attempts: dict[str, int] = field(default_factory=dict)  # attempts; keys are values of `AttemptOutcome`
    quota_audit: QuotaAudit = field(name="quotas", default_factory=QuotaAudit)
    faults: list[str] = field(name="troubles", default_factory=list)  # texts given by the operator

    @property
    def passed(self) -> bool:
        """Whether no violation was found, some requests were served, and all gateways shut down cleanly.

        A lost request, an extra reply or a duplicate execution is a violation; a late reply is not.
        """
        clean_exits = all(
            gateway.exit_status == 0 and not gateway.killed and not gateway.unexpected_exit_log
            for gateway in self.gateways
        )
        violations = self.outcomes[RequestOutcome.LOST.value] + self.extra_replies + self.duplicate_executions
        return clean_exits and not violations and self.outcomes[RequestOutcome.SERVED.value] > 0
