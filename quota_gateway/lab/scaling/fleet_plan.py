"""A size file: how large a fleet is to be, and what the operators allow it. Read from TOML."""

from __future__ import annotations

from pathlib import Path

from quota_gateway.lab.toml_config import PositiveFloat, PositiveInt, Problem, Share, Table, load_config


class FleetSize(Table, frozen=True):
    """How large the fleet is, and how often it changes."""

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
    release_share: Share  # of the servers, replaced in a release
    release_s: PositiveFloat


class Limits(Table, frozen=True):
    """What the operators allow, for one gateway where nothing else is said."""

    control_core_share: Share  # of a core, for what no request asks for
    memory_mb: PositiveFloat
    control_bytes_per_s: PositiveFloat
    control_machines: PositiveInt  # of the counter, for the whole fleet
    added_ms: PositiveFloat  # processor time for a request
    in_force_s: PositiveFloat  # until a change is in force


class CounterCapacity(Table, frozen=True):
    """The shared counter."""

    calls_per_machine_s: PositiveFloat
    calls_per_request: PositiveFloat  # that a gateway would make if all were allowed


class FleetPlan(Table, frozen=True):
    """All of the file."""

    name: str
    size: FleetSize
    limits: Limits
    counter: CounterCapacity


def load_fleet_plan(path: Path) -> FleetPlan:
    """Read and check a size file. Raises ConfigFileError."""
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
        return Problem("size.servers_in_a_rack", "more than there are")
    return None
