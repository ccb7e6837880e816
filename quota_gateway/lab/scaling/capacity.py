"""Capacity page: the resources that each role needs at a fleet size, calculated from measured slopes.

Each figure is a measured slope (`quota-gateway lab slopes`) times a count of the fleet plan, or a count
alone. A line states the figure, its limit, the limit divided by the figure, and the mechanism that keeps the
figure within the limit ("missing" if there is none). Nothing is measured here, so the same slopes always give
the same page.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

import msgspec

from quota_gateway.lab.scaling import control_plane_requirements, gateway_requirements
from quota_gateway.lab.scaling.fleet_load import FleetLoad
from quota_gateway.lab.scaling.fleet_plan import FleetPlan
from quota_gateway.lab.scaling.measured_slopes import MeasuredSlopes
from quota_gateway.lab.scaling.requirement import Requirement

COLUMNS = ("role", "what", "figure", "limit", "fits", "provided by")


def requirements(plan: FleetPlan, slopes: MeasuredSlopes) -> list[Requirement]:
    """Return all lines of the capacity page.

    Raises:
        SlopesFileError: the file lacks a slope that a line needs.
    """
    load = FleetLoad(plan, slopes)
    return [
        *gateway_requirements.request_path(load),
        *gateway_requirements.memory(load),
        *gateway_requirements.control_work(load),
        *control_plane_requirements.counter(load),
        *control_plane_requirements.discovery(load),
        *control_plane_requirements.failures(load),
        *control_plane_requirements.configuration(load),
    ]


def markdown(lines: Sequence[Requirement]) -> str:
    """Return the lines as a Markdown table."""
    rows = [_markdown_row(COLUMNS), _markdown_row(["---"] * len(COLUMNS))]
    for line in lines:
        limit = "" if line.limit is None else f"{_three_digits(line.limit)} {line.unit}"
        margin = "" if line.margin is None else f"{_three_digits(line.margin)} x"
        figure = f"{_three_digits(line.value)} {line.unit}"
        rows.append(_markdown_row((line.role, line.what, figure, limit, margin, line.mechanism)))
    return "\n".join(rows)


def report(plan: FleetPlan, slopes: MeasuredSlopes, lines: Sequence[Requirement]) -> dict[str, Any]:
    """Return the capacity page as data for a result file."""
    return {
        "size": msgspec.to_builtins(plan),
        "machine": slopes.machine,
        "lines": [
            {
                "role": line.role,
                "what": line.what,
                "value": line.value,
                "unit": line.unit,
                "limit": line.limit,
                "margin": line.margin,
                "carried_by": line.mechanism,
            }
            for line in lines
        ],
    }


def _markdown_row(cells: Sequence[str]) -> str:
    return f"| {' | '.join(cells)} |"


def _three_digits(value: float) -> str:
    """Format a number with three significant digits, or as a whole number from 1,000 up."""
    return f"{value:,.0f}" if value >= 1000.0 else f"{value:.3g}"
