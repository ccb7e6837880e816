"""Fleet plan: the planned size of a fleet and the resource limits it must keep to, read from a TOML file."""

from __future__ import annotations

from pathlib import Path

from quota_gateway.lab.toml_config import PositiveFloat, PositiveInt, Problem, Share, Table, load_config


class FleetSize(Table, frozen=True):
    """Number of machines, customers and requests in the fleet, and how often it changes."""

    gateways: PositiveInt
    servers: PositiveInt
    services: PositiveInt
    requests_per_s: PositiveFloat
    routes: PositiveInt
    tenants: PositiveInt
    regions: PositiveInt
    zones: PositiveInt
    configuration_changes_per_day: PositiveFloat
    restarts_per_day: PositiveFloat
    failures_per_day: PositiveFloat
    servers_in_a_rack: PositiveInt
    release_share: Share  # share of the servers that one release replaces
    release_s: PositiveFloat  # duration of a release


class Limits(Table, frozen=True):
    """Resource limits. Each applies to one gateway unless stated otherwise."""

    control_core_share: Share  # share of a core for control work: ticks, counter calls, endpoint changes
    memory_mb: PositiveFloat
    control_bytes_per_s: PositiveFloat  # traffic with the counter and discovery
    control_machines: PositiveInt  # machines of the counter, for the whole fleet
    added_ms: PositiveFloat  # processor time per request
    in_force_s: PositiveFloat  # longest time until a gateway has applied a change


class CounterCapacity(Table, frozen=True):
    """Capacity of the shared counter, and the demand for it."""

    calls_per_machine_s: PositiveFloat
    calls_per_request: PositiveFloat  # calls that a gateway would make per request without a limit


class FleetPlan(Table, frozen=True):
    """The content of a fleet plan file."""

    name: str
    size: FleetSize
    limits: Limits
    counter: CounterCapacity


def load_fleet_plan(path: Path) -> FleetPlan:
    """Read and validate a fleet plan file.

    Raises:
        ConfigFileError: the file can't be read, is not TOML, or its content is invalid.
    """
    return load_config(path, FleetPlan, _find_problem)


def _find_problem(plan: FleetPlan) -> Problem | None:
    size = plan.size
    if size.zones < size.regions:
        return Problem("size.zones", f"fewer than the {size.regions} regions")
    if size.servers < size.services:
        return Problem("size.servers", f"fewer than the {size.services} services")
    if size.servers < size.zones:
        return Problem("size.servers", f"fewer than the {size.zones} zones")
    if size.servers_in_a_rack > size.servers:
        return Problem("size.servers_in_a_rack", f"more than the {size.servers} servers")
    return None
