"""Checks of an experiment that types cannot express: consistent sizes, faults that can be injected."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path

from quota_gateway.lab.simulation.experiment import Experiment, FaultConfig, excess_utilization
from quota_gateway.lab.simulation.experiment_keys import rename_former_keys
from quota_gateway.lab.toml_config import Problem, Table, load_config

MAX_MEMORY_BYTES = 12e9  # Largest estimated memory of a run.
MAX_REQUESTS = 20_000_000.0  # Largest number of first attempts in a run; more would take days.
MAX_EXCESS_SHARE = 0.95  # Largest share of the total demand that heavy tenants and spikes may have.

# Estimated memory of one object; `quota-gateway lab slopes` measures the actual memory of a run.
GATEWAY_BYTES = 30_000.0
ENDPOINT_RECORD_BYTES = 500.0  # One endpoint in one gateway.
SERVER_BYTES = 2_000.0
TENANT_RECORD_BYTES = 6_000.0  # One tenant in one gateway.
REQUEST_BYTES = 3_000.0  # One request, which is kept until its deadline.

FAULTS_WITH_DURATION = (
    "zone_isolated",
    "regions_partitioned",
    "rack_lost",
    "servers_hung",
    "discovery_unavailable",
    "counter_unavailable",
    "demand_surge",
)
FAULTS_WITH_SIZE = (
    "rack_lost",
    "servers_hung",
    "servers_crashed",
    "servers_replaced",
    "gateways_restarted",
    "demand_surge",
)


def load_experiment(path: Path) -> Experiment:
    """Read and check an experiment file.

    Raises:
        ConfigFileError: the file cannot be read, or its content is invalid.
    """
    return load_config(path, Experiment, find_problem, rename_former_keys)


def find_problem(experiment: Experiment) -> Problem | None:
    """Return the first problem of an experiment, None if it can be run."""
    checks = (
        _inverted_ranges,
        _inconsistent_sizes,
        _invalid_figures,
        _impossible_sizes,
        _impossible_faults,
    )
    return next((problem for check in checks for problem in check(experiment)), None)


def estimated_memory(experiment: Experiment) -> dict[str, float]:
    """Return the estimated memory of a run, bytes, by the key of the experiment that determines it."""
    fleet = experiment.fleet
    load = experiment.load
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
    fleet = experiment.fleet
    load = experiment.load
    clients = experiment.clients
    pools = experiment.pool_count
    gateways_per_pool = max(1, fleet.gateways // pools)
    if experiment.visible_servers > fleet.servers:
        yield Problem("fleet.visible_servers", f"more than the {fleet.servers} servers of the fleet")
    if fleet.zones < fleet.regions:
        yield Problem("fleet.zones", f"fewer than the {fleet.regions} regions; each region needs a zone")
    if fleet.gateways < pools:
        yield Problem("fleet.gateways", f"fewer than the {pools} pools of servers; each pool needs a gateway")
    if load.tenants * load.sampled_share < pools:
        reason = f"the sampled tenants are fewer than the {pools} pools of servers; each pool needs a tenant"
        yield Problem("load.tenants", reason)
    if load.gateways_per_tenant[1] > gateways_per_pool:
        yield Problem("load.gateways_per_tenant", f"more than the {gateways_per_pool} gateways of a pool")
    if clients.latency_objective_ms > clients.deadline_ms:
        reason = f"longer than the deadline of a request, {clients.deadline_ms:g} ms"
        yield Problem("clients.latency_objective_ms", reason)
    names = [plan.name for plan in experiment.plans]
    for index, name in enumerate(names):
        if name in names[:index]:
            yield Problem(f"plans[{index}].name", f"another plan is named {name!r} too")


def _invalid_figures(experiment: Experiment) -> Iterator[Problem]:
    load = experiment.load
    positive_ranges = {
        "counter.calls_per_s": experiment.counter.calls_per_s,
        "servers.service_time_ms": experiment.servers.service_time_ms,
        "load.gateway_weight_shift_s": load.gateway_weight_shift_s,
    }
    for key, (low, _) in positive_ranges.items():
        if low <= 0:
            yield Problem(key, "the range must begin above 0")
    if load.heavy_share + load.spiky_share > 1.0:
        reason = f"more than 1 together with the share of heavy tenants, {load.heavy_share:g}"
        yield Problem("load.spiky_share", reason)
    if load.spike_duration_s[1] >= load.spike_interval_s[0]:
        reason = f"longer than the shortest time between two spikes, {load.spike_interval_s[0]:g} s"
        yield Problem("load.spike_duration_s", reason)
    excess = excess_utilization(load)
    max_excess = MAX_EXCESS_SHARE * load.quota_utilization
    if excess > max_excess:
        reason = (
            f"heavy and spiky tenants alone ask for {excess:.2f} of the quotas, the limit is {max_excess:.2f}"
        )
        yield Problem("load.quota_utilization", reason)


def _impossible_sizes(experiment: Experiment) -> Iterator[Problem]:
    load = experiment.load
    if load.requests_per_s * load.sampled_share * max(1.0, experiment.duration_s) > MAX_REQUESTS:
        yield Problem(
            "load.requests_per_s", f"impossible size: more than {MAX_REQUESTS:.0f} requests in the run"
        )
    bytes_by_key = estimated_memory(experiment)
    total = sum(bytes_by_key.values())
    if total > MAX_MEMORY_BYTES:
        largest = max(bytes_by_key, key=lambda key: bytes_by_key[key])
        limit = f"{MAX_MEMORY_BYTES / 1e9:.0f} GB"
        reason = f"impossible size: the run needs about {total / 1e9:.0f} GB of memory, the limit is {limit}"
        yield Problem(largest, reason)


def _impossible_faults(experiment: Experiment) -> Iterator[Problem]:
    for index, fault in enumerate(experiment.faults):
        yield from _fault_problems(experiment, fault, f"faults[{index}]")


def _fault_problems(experiment: Experiment, fault: FaultConfig, key: str) -> Iterator[Problem]:
    counts = {"gateways_restarted": experiment.fleet.gateways, "demand_surge": experiment.load.tenants}
    available = counts.get(fault.kind, experiment.fleet.servers)
    if fault.at_s >= experiment.duration_s:
        yield Problem(f"{key}.at_s", f"after the end of the run at {experiment.duration_s:g} s")
    if fault.kind == "zone_isolated" and fault.zone not in experiment.zone_names:
        reason = f"no zone {fault.zone!r}; there are z0 to z{experiment.fleet.zones - 1}"
        yield Problem(f"{key}.zone", reason)
    if fault.kind in FAULTS_WITH_SIZE and not fault.share and not fault.count:
        yield Problem(f"{key}.share", "missing: this kind of fault needs `share` or `count`")
    if fault.count > available:
        yield Problem(f"{key}.count", f"more than the {available} that the experiment has")
    if fault.kind in FAULTS_WITH_DURATION and not fault.duration_s:
        yield Problem(f"{key}.duration_s", "missing: this kind of fault needs a duration above 0")
