"""The figures of a run, in the form of result files."""

from __future__ import annotations

import resource
from collections import Counter
from typing import Any

from quota_gateway.lab.simulation.metrics import Message, QuotaCount, Role, ServiceCount
from quota_gateway.lab.simulation.simulation import TAIL_MS, Simulation


def simulated_figures(simulation: Simulation) -> dict[str, Any]:
    """Return the figures that depend only on the experiment and the seed."""
    environment = simulation.environment
    return simulation.metrics.report() | {
        "rates": _rates(simulation),
        "world": {
            "pools": len(simulation.pools),
            "servers_up": len(simulation.servers.up()),
            "events": simulation.scheduler.executed,
            "tenants": sum(len(pool.tenants) for pool in simulation.pools),
            "work_ms": round(simulation.servers.service_time_ms, 3),
            "counter_calls_per_s": round(environment.counter.calls_per_s, 1),
            "counter_line_ms": round(environment.counter.max_queue_ms, 1),
        },
    }


def measured_figures(simulation: Simulation) -> dict[str, Any]:
    """Return the figures that depend on the machine: elapsed time, processor time and memory."""
    cost = simulation.cost
    processor_time = simulation.processor_time
    memory = cost.memory_bytes
    gateways = len(simulation.gateways)
    first_attempts = max(1, simulation.metrics.service[ServiceCount.FIRST_ATTEMPTS])
    requests = max(1, processor_time.events["Request"])
    policy_ns = processor_time.total_ns()
    duration_s = simulation.experiment.duration_s
    with_gateways = memory["gateways"]
    before_gateways = memory["servers_and_tenants"]
    return processor_time.report() | {
        "wall_s": round(cost.wall_s, 2),
        "wall_ms_per_first_try": round(1000.0 * cost.wall_s / first_attempts, 4),
        "processor_s": round(cost.processor_s, 2),
        "events_per_s": round(simulation.scheduler.executed / max(1e-9, cost.processor_s)),
        "module_ms_per_request": round(policy_ns / 1e6 / requests, 4),
        "module_core_share_per_gateway": round(policy_ns / 1e9 / duration_s / gateways, 5),
        "memory_mb": {stage: round(size / 1e6, 1) for stage, size in memory.items()},
        "kb_per_gateway_at_start": round((with_gateways - before_gateways) / gateways / 1e3, 1),
        "kb_per_gateway_at_end": round((memory["end"] - before_gateways) / gateways / 1e3, 1),
        "peak_mb": round(resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1e3, 1),
    }


def _rates(simulation: Simulation) -> dict[str, float]:
    experiment = simulation.experiment
    metrics = simulation.metrics
    service = metrics.service
    revenue = metrics.revenue
    quota = metrics.quota
    duration_ms = experiment.duration_s * 1000.0
    attempts = max(1, service[ServiceCount.ATTEMPTS])
    first_attempts = service[ServiceCount.FIRST_ATTEMPTS]
    units_over_quota = quota[QuotaCount.UNITS_OVER_QUOTA]
    units = max(1, quota[QuotaCount.UNITS_WITHIN_QUOTA] + units_over_quota)
    served_share = revenue[ServiceCount.SERVED_REVENUE] / max(1e-9, revenue[ServiceCount.OFFERED_REVENUE])
    counter_calls = metrics.messages.get(Role.COUNTER, Counter())[Message.CALLS]
    server_busy_ms = sum(server.busy_ms for server in simulation.servers.by_name.values())
    per_s_and_gateway = 1.0 / (experiment.duration_s + TAIL_MS / 1000.0) / experiment.fleet.gateways
    counter_bytes = metrics.total_bytes(Role.COUNTER)
    discovery_bytes = metrics.total_bytes(Role.DISCOVERY)
    server_utilization = server_busy_ms / duration_ms / experiment.fleet.servers / experiment.servers.cores
    return {
        "first_tries_per_s": round(first_attempts / experiment.duration_s, 2),
        "service": round(served_share, 4),
        "served_in_aim": round(service[ServiceCount.SERVED_WITHIN_OBJECTIVE] / max(1, first_attempts), 4),
        "over_quota_units": round(units_over_quota / units, 4),
        "refused_with_room": round(quota[QuotaCount.REJECTED_UNNECESSARILY] / attempts, 4),
        "counts_per_try": round(counter_calls / attempts, 4),
        "counts_per_s_and_gateway": round(counter_calls * per_s_and_gateway, 4),
        "counter_bytes_per_s_and_gateway": round(counter_bytes * per_s_and_gateway, 2),
        "discovery_bytes_per_s_and_gateway": round(discovery_bytes * per_s_and_gateway, 2),
        "nearest_to_cold_fall": round(metrics.peak_cold_load, 4),
        "servers_busy": round(server_utilization, 4),
        "discovery_busy": round(simulation.discovery.busy_ms / (duration_ms + TAIL_MS), 4),
    }
