"""Checks of an experiment beyond its types: sizes that fit together, faults that can happen."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path

from quota_gateway.lab.simulation.experiment import Experiment, FaultConfig, excess_utilization
from quota_gateway.lab.simulation.experiment_keys import rename_former_keys
from quota_gateway.lab.toml_config import Problem, Table, load_config

MAX_MEMORY_BYTES = 12e9  # that an experiment may need
MAX_REQUESTS = 20_000_000.0  # arrivals of one experiment; more would run for days
# Memory of a run, roughly; `quota-gateway lab slopes` measures it.
GATEWAY_BYTES = 30_000.0
ENDPOINT_RECORD_BYTES = 500.0  # of one endpoint in one gateway
SERVER_BYTES = 2_000.0
TENANT_RECORD_BYTES = 6_000.0  # of one tenant in one gateway
REQUEST_BYTES = 3_000.0  # until the deadline has passed

LASTING_FAULTS = (
    "zone_isolated",
    "regions_partitioned",
    "rack_lost",
    "servers_hung",
    "discovery_unavailable",
    "counter_unavailable",
    "demand_surge",
)
SIZED_FAULTS = (
    "rack_lost",
    "servers_hung",
    "servers_crashed",
    "servers_replaced",
    "gateways_restarted",
    "demand_surge",
)


def load_experiment(path: Path) -> Experiment:
    """Read and check an experiment. Raises ConfigFileError."""
    return load_config(path, Experiment, find_problem, rename_former_keys)


def find_problem(experiment: Experiment) -> Problem | None:
    """Return the first thing that is wrong with an experiment, None if it can be run."""
    checks = (
        _inverted_ranges,
        _inconsistent_sizes,
        _invalid_figures,
        _impossible_sizes,
        _impossible_faults,
    )
    return next((problem for check in checks for problem in check(experiment)), None)


def estimated_memory(experiment: Experiment) -> dict[str, float]:
    """Return the bytes that a run needs, roughly, by the key that asks for most of them."""
    fleet, load = experiment.fleet, experiment.load
    gateway_bytes = experiment.visible_servers * ENDPOINT_RECORD_BYTES + GATEWAY_BYTES
    tenants = load.tenants * load.sampled_share
    requests_per_s = load.requests_per_s * load.sampled_share
    deadline_s = experiment.clients.deadline_ms / 1000.0
    return {
        "fleet.visible_servers" if fleet.visible_servers else "fleet.servers": (
            fleet.gateways * gateway_bytes + fleet.servers * SERVER_BYTES
        ),
        "load.tenants": tenants * load.gateways_per_tenant[1] * TENANT_RECORD_BYTES,
        "load.requests_per_s": requests_per_s * max(1.0, deadline_s) * REQUEST_BYTES,
    }


def _inverted_ranges(experiment: Experiment) -> Iterator[Problem]:
    tables: list[tuple[str, Table]] = [
        ("load", experiment.load),
        ("clients", experiment.clients),
        ("servers", experiment.servers),
        ("counter", experiment.counter),
        ("discovery", experiment.discovery),
        ("network", experiment.network),
    ]
    tables += [(f"faults[{i}]", fault) for i, fault in enumerate(experiment.faults)]
    for name, table in tables:
        for field in table.__struct_fields__:
            value = getattr(table, field)
            if isinstance(value, tuple) and len(value) == 2 and value[0] > value[1]:
                reason = f"the range [{value[0]}, {value[1]}] ends before it begins"
                yield Problem(f"{name}.{field}", reason)


def _inconsistent_sizes(experiment: Experiment) -> Iterator[Problem]:
    fleet, load, pools = experiment.fleet, experiment.load, experiment.pool_count
    if experiment.visible_servers > fleet.servers:
        yield Problem("fleet.visible_servers", f"more than the {fleet.servers} servers")
    if fleet.zones < fleet.regions:
        yield Problem("fleet.zones", f"fewer than the {fleet.regions} regions")
    if fleet.gateways < pools:
        yield Problem("fleet.gateways", f"fewer than the {pools} pools of servers")
    if load.tenants * load.sampled_share < pools:
        yield Problem("load.tenants", f"in the sampled share fewer than {pools} pools")
    if load.gateways_per_tenant[1] > max(1, fleet.gateways // pools):
        yield Problem("load.gateways_per_tenant", "more than a pool's gateways")
    if experiment.clients.latency_objective_ms > experiment.clients.deadline_ms:
        yield Problem("clients.latency_objective_ms", "beyond the deadline")
    names = [plan.name for plan in experiment.plans]
    for index, name in enumerate(names):
        if name in names[:index]:
            yield Problem(f"plans[{index}].name", "another plan has this name")


def _invalid_figures(experiment: Experiment) -> Iterator[Problem]:
    load = experiment.load
    positive_ranges = {
        "counter.calls_per_s": experiment.counter.calls_per_s,
        "servers.service_time_ms": experiment.servers.service_time_ms,
        "load.gateway_weight_shift_s": load.gateway_weight_shift_s,
    }
    for key, (low, _) in positive_ranges.items():
        if low <= 0:
            yield Problem(key, "begins at nothing")
    if load.heavy_share + load.spiky_share > 1.0:
        yield Problem("load.spiky_share", "more than all tenants, with the heavy ones")
    if load.spike_duration_s[1] >= load.spike_interval_s[0]:
        yield Problem("load.spike_duration_s", "longer than the time between two spikes")
    excess = excess_utilization(load)
    if excess > 0.95 * load.quota_utilization:
        yield Problem(
            "load.quota_utilization", f"heavy and spiky tenants alone ask for {excess:.2f} of the quotas"
        )


def _impossible_sizes(experiment: Experiment) -> Iterator[Problem]:
    load = experiment.load
    if load.requests_per_s * load.sampled_share * max(1.0, experiment.duration_s) > MAX_REQUESTS:
        yield Problem("load.requests_per_s", f"impossible size: more than {MAX_REQUESTS:.0f} requests")
    bytes_by_key = estimated_memory(experiment)
    total = sum(bytes_by_key.values())
    if total > MAX_MEMORY_BYTES:
        largest = max(bytes_by_key, key=lambda key: bytes_by_key[key])
        limit = f"{MAX_MEMORY_BYTES / 1e9:.0f}"
        yield Problem(largest, f"impossible size: about {total / 1e9:.0f} GB of memory, of {limit}")


def _impossible_faults(experiment: Experiment) -> Iterator[Problem]:
    for index, fault in enumerate(experiment.faults):
        yield from _fault_problems(experiment, fault, f"faults[{index}]")


def _fault_problems(experiment: Experiment, fault: FaultConfig, key: str) -> Iterator[Problem]:
    available = {"gateways_restarted": experiment.fleet.gateways, "demand_surge": experiment.load.tenants}
    most = available.get(fault.kind, experiment.fleet.servers)
    if fault.at_s >= experiment.duration_s:
        yield Problem(f"{key}.at_s", f"after the end, {experiment.duration_s:g} s")
    if fault.kind == "zone_isolated" and fault.zone not in experiment.zone_names:
        reason = f"no zone {fault.zone!r}; there are z0 to z{experiment.fleet.zones - 1}"
        yield Problem(f"{key}.zone", reason)
    if fault.kind in SIZED_FAULTS and not fault.share and not fault.count:
        yield Problem(f"{key}.share", "missing: `share` or `count` is needed")
    if fault.count > most:
        yield Problem(f"{key}.count", f"more than the {most} there are")
    if fault.kind in LASTING_FAULTS and not fault.duration_s:
        yield Problem(f"{key}.duration_s", "missing: it would last for no time")
