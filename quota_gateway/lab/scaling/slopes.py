"""Slopes: costs of the real policy and network code as functions of the numbers of servers and customers.

Nothing is simulated here. Figures are processor times (of this process for one call, or of a gateway process
for its start), numbers of bytes (of a message, of records or of a process) and a rate of calls. Each figure
is reported as minimum, median and maximum of its values. A straight line is fitted to the medians.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from rich.console import Console

from quota_gateway.lab.machine import describe_machine, machine_line, reference_loop_ms
from quota_gateway.lab.scaling.network_costs import costs_by_request, message_sizes
from quota_gateway.lab.scaling.policy_costs import costs_by_customers, costs_by_servers, endpoint_memory
from quota_gateway.lab.scaling.process_costs import costs_by_process, empty_process_memory
from quota_gateway.lab.tables import table

# The largest counts are those of the capacity target.
SERVER_COUNTS = (20, 200, 2_000, 20_000)
CUSTOMER_COUNTS = (100, 1_000, 10_000, 87_000)
FRACTIONAL_UNITS = ("ms", "calls/s")  # units of figures that may be below 1


def measure(max_servers: int, repeats: int, progress: Callable[[float], None]) -> dict[str, Any]:
    """Measure all slopes, and return them as data for a result file.

    Args:
        max_servers: length of the longest endpoint list.
        repeats: repetitions of each measurement.
        progress: called with the completed share of the work, from 0 to 1.
    """
    server_counts = [count for count in SERVER_COUNTS if count <= max_servers]
    customer_counts = CUSTOMER_COUNTS
    completed_steps = 0
    # Three of the functions below measure at each server count.
    total_steps = 3 * len(server_counts) + len(customer_counts)

    def on_step() -> None:
        nonlocal completed_steps
        completed_steps += 1
        progress(completed_steps / total_steps)

    machine = describe_machine()
    slopes = [
        *costs_by_servers(server_counts, repeats, on_step),
        endpoint_memory(server_counts, on_step),
        *costs_by_customers(customer_counts, repeats, on_step),
        *costs_by_request(repeats),
        *message_sizes(),
        empty_process_memory(repeats),
        *costs_by_process(server_counts, repeats, on_step),
    ]
    return {
        "machine": machine,
        "reference_after_ms": reference_loop_ms(),
        "repeats": repeats,
        "slopes": [slope.report() for slope in slopes],
    }


def show(console: Console, result: dict[str, Any]) -> None:
    """Print a line that describes the machine, and tables of all points and fitted lines."""
    final_reference = f"reference loop at the end {result['reference_after_ms']} ms"
    console.print(f"slopes: {machine_line(result['machine'])}; {final_reference}", soft_wrap=True)
    points = [_point_row(slope, point) for slope in result["slopes"] for point in slope["points"]]
    console.print(table("Points", ["figure", "against", "min", "median", "max", "unit"], points))
    fits = [_fit_row(slope) for slope in result["slopes"] if len(slope["points"]) > 1]
    console.print(table("Lines fitted to the medians", ["figure", "at 0", "slope", "unit"], fits))


def _point_row(slope: dict[str, Any], point: dict[str, Any]) -> tuple[str, ...]:
    digits = ",.4g" if slope["unit"] in FRACTIONAL_UNITS else ",.0f"
    values = (format(point[key], digits) for key in ("min", "median", "max"))
    return (slope["name"], f"{point['count']:,} {slope['against']}", *values, slope["unit"])


def _fit_row(slope: dict[str, Any]) -> tuple[str, ...]:
    fit = slope["fit"]
    unit = f"{slope['unit']} a {slope['against'][:-1]}"
    return (slope["name"], f"{fit['intercept']:,.4g}", f"{fit['slope']:,.4g}", unit)
