"""One trial: an open-loop load on real gateways in front of the fakes, and its result."""

from __future__ import annotations

import dataclasses
import math
import time
from collections.abc import Sequence
from dataclasses import dataclass

from quota_gateway.lab.fakes.loopback_server import LOOPBACK
from quota_gateway.lab.load.client import OpenLoopClient
from quota_gateway.lab.load.deployment import decode_deployment, gateway_settings
from quota_gateway.lab.load.fault_schedule import FaultSchedule
from quota_gateway.lab.load.histogram import Percentiles
from quota_gateway.lab.load.progress import progress_bar
from quota_gateway.lab.load.quota_audit import audit_quotas
from quota_gateway.lab.load.schedule import MEAN_UNITS, LoadSpec, draw_schedule
from quota_gateway.lab.load.scheduled_fault import ScheduledFault
from quota_gateway.lab.load.summary import LoadSummary
from quota_gateway.lab.load.testbed import LoopbackTestbed, LoopbackTestbedSpec
from quota_gateway.lab.load.trial_result import SHOWN_OUTCOMES, GatewayResult, TrialResult

MAX_OVERHEAD_DURATION_S = 2.0  # longest load that is sent to measure the client's overhead
MICROSECONDS_PER_SECOND = 1e6
OVERHEAD_CAPACITY_FACTOR = 3.0  # capacity of the servers used without gateways, relative to the load


@dataclass(frozen=True, slots=True)
class _LoadMeasurement:
    """A finished load, and what was measured before its gateways were shut down."""

    client: OpenLoopClient
    summary: LoadSummary
    gateways: list[GatewayResult]
    tool_cpu_s: float  # CPU time of this process, which runs the client and the fakes


async def run_trial(
    testbed_spec: LoopbackTestbedSpec,
    load_spec: LoadSpec,
    measure_overhead: bool = False,
    faults: Sequence[ScheduledFault] = (),
) -> TrialResult:
    """Run one trial and stop everything that it started.

    Args:
        testbed_spec: the gateways and fakes to start.
        load_spec: the load to send.
        measure_overhead: whether to measure the latency that the client itself adds, without a gateway,
            before the trial's load.
        faults: the faults to inject; their times count from the start of the load.

    Raises:
        GatewayError: a gateway did not start.
        OSError: a port, process or file was not available.
        ScheduledFaultError: the testbed has no target for a fault, or the target does not support it.
    """
    deployment = decode_deployment(gateway_settings(testbed_spec.gateway_count))
    schedule = draw_schedule(deployment, load_spec)
    testbed = LoopbackTestbed(testbed_spec)
    fault_schedule = FaultSchedule(testbed, faults)
    async with testbed:
        overhead = await _measure_client_overhead(testbed, load_spec) if measure_overhead else None
        attempts_before = testbed.attempt_log.count_by_outcome()
        gateway_addresses = [gateway.address for gateway in testbed.gateways]
        client = OpenLoopClient(gateway_addresses, schedule, testbed.attempt_log)
        measurement = await _measure_load(testbed, client, fault_schedule)
    for gateway_result, gateway in zip(measurement.gateways, testbed.gateways, strict=True):
        gateway_result.exit_status = gateway.exit_status
        gateway_result.killed = gateway.killed
    result = _build_result(testbed, load_spec, measurement)
    result.client_overhead_ms = overhead
    result.attempts = _count_attempts_since(testbed, attempts_before)
    result.faults = [fault.text for fault in faults]
    result.quota_audit = audit_quotas(deployment, client.records, testbed.attempt_log)
    return result


async def _measure_client_overhead(testbed: LoopbackTestbed, load_spec: LoadSpec) -> Percentiles:
    """Send a load of the same rate to the servers directly, and return the latency that the client adds.

    The number of servers is limited to what the load needs, so that the client has about as few connections
    as it has to the gateways.
    """
    spec = LoadSpec(load_spec.rate, min(load_spec.duration_s, MAX_OVERHEAD_DURATION_S), load_spec.seed + 1)
    schedule = draw_schedule(decode_deployment(gateway_settings(1)), spec)
    model = testbed.spec.server_model
    needed_servers = (
        OVERHEAD_CAPACITY_FACTOR * spec.rate * MEAN_UNITS * model.service_ms / 1000.0 / model.cores
    )
    servers = testbed.servers[: max(len(testbed.gateways), math.ceil(needed_servers))]
    requests = [
        dataclasses.replace(request, gateway_index=index % len(servers))
        for index, request in enumerate(schedule)
    ]
    addresses = [(LOOPBACK, server.port) for server in servers]
    summary = await OpenLoopClient(addresses, requests, testbed.attempt_log).run()
    return summary.added_latency.percentiles_ms()


async def _measure_load(
    testbed: LoopbackTestbed, client: OpenLoopClient, fault_schedule: FaultSchedule
) -> _LoadMeasurement:
    """Run the load with its faults, and measure its cost while the gateways run."""
    gateway_cpu_before_s = [gateway.cpu_time_s() for gateway in testbed.gateways]
    tool_cpu_before_s = time.process_time()
    fault_schedule.start()
    try:
        async with progress_bar(client):
            summary = await client.run()
    finally:
        fault_schedule.stop()
    tool_cpu_s = time.process_time() - tool_cpu_before_s
    gateways = _gateway_results(testbed, client, gateway_cpu_before_s)
    return _LoadMeasurement(client, summary, gateways, tool_cpu_s)


def _gateway_results(
    testbed: LoopbackTestbed, client: OpenLoopClient, cpu_before_s: list[float | None]
) -> list[GatewayResult]:
    """Return the gateways' results before their shutdown; the caller adds the exit statuses."""
    request_counts = [0] * len(testbed.gateways)
    for record in client.records:
        request_counts[record.request.gateway_index] += 1
    results = []
    for gateway, before_s, request_count in zip(testbed.gateways, cpu_before_s, request_counts, strict=True):
        after_s = gateway.cpu_time_s() if gateway.is_running() else None
        result = GatewayResult(
            name=gateway.name,
            requests=request_count,
            cpu_us_per_request=_cpu_us_per_request(before_s, after_s, request_count),
            peak_memory_mib=gateway.peak_memory_mib(),
            unexpected_exit_log="" if gateway.is_running() else gateway.log_tail(),
        )
        results.append(result)
    return results


def _cpu_us_per_request(before_s: float | None, after_s: float | None, requests: int) -> float | None:
    if before_s is None or after_s is None or not requests:
        return None
    return round(MICROSECONDS_PER_SECOND * (after_s - before_s) / requests, 1)


def _count_attempts_since(testbed: LoopbackTestbed, before: dict[str, int]) -> dict[str, int]:
    """Return the number of attempts by outcome, without the `before` counts taken ahead of the load."""
    counts = testbed.attempt_log.count_by_outcome()
    return {outcome: count - before.get(outcome, 0) for outcome, count in counts.items()}


def _build_result(
    testbed: LoopbackTestbed, load_spec: LoadSpec, measurement: _LoadMeasurement
) -> TrialResult:
    summary = measurement.summary
    return TrialResult(
        gateways=measurement.gateways,
        servers=len(testbed.servers),
        rate=load_spec.rate,
        duration_s=load_spec.duration_s,
        seed=load_spec.seed,
        requests=summary.request_count,
        outcomes={outcome.value: summary.counts[outcome] for outcome in SHOWN_OUTCOMES},
        losses={reason.value: count for reason, count in summary.losses.items()},
        extra_replies=summary.extra_replies,
        duplicate_executions=summary.duplicate_executions,
        late=summary.late,
        resent=summary.resent,
        latency_ms={outcome.value: summary.latency[outcome].percentiles_ms() for outcome in SHOWN_OUTCOMES},
        added_latency_ms=summary.added_latency.percentiles_ms(),
        client_overhead_ms=None,
        send_delay_ms=summary.send_delay.percentiles_ms(),
        counter_calls=testbed.counter.call_count,
        counter_rejections=testbed.counter.rejected_count,
        tool_cpu_s=round(measurement.tool_cpu_s, 3),
    )
