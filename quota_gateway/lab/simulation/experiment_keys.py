"""Former keys of experiment files, which are still read and which result files still use.

This is the only module that maps them to the fields of `experiment`. Experiment files may use either name.
The `experiment` section of a result file has the former ones, so that results of all versions can be
compared.
"""

from __future__ import annotations

from typing import Any

import msgspec

from quota_gateway.lab.simulation.experiment import Experiment

# Present key by former key, for each table of the file. The name of the top level is "".
FORMER_KEYS: dict[str, dict[str, str]] = {
    "": {"seconds": "duration_s"},
    "fleet": {"visible": "visible_servers"},
    "load": {
        "part": "sampled_share",
        "skew": "zipf_exponent",
        "use": "quota_utilization",
        "most_use": "max_quota_utilization",
        "heavy": "heavy_share",
        "heavy_x": "heavy_factor",
        "spiky": "spiky_share",
        "spike_x": "spike_factor",
        "spike_s": "spike_duration_s",
        "spike_every_s": "spike_interval_s",
        "spread": "gateways_per_tenant",
        "uneven": "gateway_weight_exponent",
        "shift_s": "gateway_weight_shift_s",
        "most_units": "max_units",
    },
    "clients": {
        "retries": "max_retries",
        "honour": "retry_after_share",
        "pause_ms": "backoff_ms",
        "aim_ms": "latency_objective_ms",
        "give_up": "timeout_share",
        "leaving": "disconnect_share",
        "leave_ms": "disconnect_after_ms",
        "dead_ms": "failover_ms",
    },
    "servers": {
        "room": "queue_capacity",
        "work_ms": "service_time_ms",
        "spread": "service_time_variation",
        "cold_share": "initial_capacity_share",
        "warm_ms": "warm_up_ms",
        "overload_ms": "overload_window_ms",
        "drain_ms": "drain_period_ms",
        "start_ms": "startup_ms",
        "errors": "error_share",
        "connect_ms": "connect_timeout_ms",
        "idle_ms": "idle_timeout_ms",
        "stops": "cancels_running_work",
    },
    "counter": {
        "on": "enabled",
        "parts": "partitions",
        "call_ms": "processing_ms",
        "line": "queue_limit_timeouts",
        "loss": "loss_share",
    },
    "discovery": {
        "late_ms": "propagation_ms",
        "call_ms": "call_cost_ms",
        "line_ms": "endpoint_cost_ms",
        "line_limit_ms": "max_queue_ms",
        "kept": "history_limit",
        "lost": "loss_share",
        "told_ms": "notification_deadline_ms",
    },
    "network": {
        "zone_ms": "same_zone_ms",
        "region_ms": "cross_region_ms",
        "jitter": "jitter_share",
        "loss": "loss_share",
        "resend_ms": "retransmit_ms",
    },
    "plans": {
        "share": "usage_share",
        "rate": "relative_rate",
        "beyond_cost": "over_quota_cost",
        "ceiling": "hard_limit_factor",
    },
    "faults": {"for_s": "duration_s", "down_ms": "downtime_ms"},
}
# Kind of fault by former name.
FORMER_FAULT_KINDS = {
    "zone_cut": "zone_isolated",
    "regions_apart": "regions_partitioned",
    "discovery_down": "discovery_unavailable",
    "counter_mute": "counter_unavailable",
    "counter_emptied": "counter_cleared",
    "surge": "demand_surge",
}


def rename_former_keys(document: dict[str, Any]) -> dict[str, str]:
    """Rename the former keys of an experiment file in place.

    A former key is not renamed if the table has the present key too; it is then reported as unknown.

    Returns:
        The path of each renamed key in the file, by its present path.
    """
    as_written: dict[str, str] = {}
    for name, path, table in _tables(document):
        for former, present in FORMER_KEYS[name].items():
            if former in table and present not in table:
                table[present] = table.pop(former)
                as_written[f"{path}{present}"] = f"{path}{former}"
        if name == "faults":
            kind = table.get("kind")
            table["kind"] = FORMER_FAULT_KINDS.get(kind, kind) if isinstance(kind, str) else kind
    return as_written


def result_section(experiment: Experiment) -> dict[str, Any]:
    """Return the `experiment` section of a result file, which has the former keys."""
    document: dict[str, Any] = msgspec.to_builtins(experiment)
    former_kinds = {present: former for former, present in FORMER_FAULT_KINDS.items()}
    for name, _, table in _tables(document):
        for former, present in FORMER_KEYS[name].items():
            table[former] = table.pop(present)
        if name == "faults":
            table["kind"] = former_kinds.get(table["kind"], table["kind"])
    return document


def _tables(document: dict[str, Any]) -> list[tuple[str, str, dict[str, Any]]]:
    """Return the name, the path prefix of the keys, and the content of each table; the top level is first."""
    tables = [("", "", document)]
    for name in FORMER_KEYS:
        content = document.get(name)
        if isinstance(content, dict):
            tables.append((name, f"{name}.", content))
        elif isinstance(content, list | tuple):
            rows = [(f"{name}[{index}].", row) for index, row in enumerate(content) if isinstance(row, dict)]
            tables += [(name, path, row) for path, row in rows]
    return tables
