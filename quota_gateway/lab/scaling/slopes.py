"""Slopes: what the real policy and network code cost against the number of servers and of customers.

Nothing is simulated here. Each figure is the processor time of this process for one call or of a gateway's
process for its start, or the bytes of one message, record or process; it is repeated, and given as minimum,
median and maximum. A straight line is fitted to the medians.
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

SERVER_COUNTS = (20, 200, 2_000, 20_000)  # the letter: 20,000
CUSTOMER_COUNTS = (100, 1_000, 10_000, 87_000)  # the letter: 87,000
FRACTIONAL_UNITS = ("ms", "calls/s")  # units of figures that may lie below one


def measure(max_servers: int, repeats: int, progress: Callable[[float], None]) -> dict[str, Any]:
    """Measure all slopes, and return them for a result file.

    Args:
        max_servers: length of the longest endpoint list.
        repeats: repetitions of each measurement.
        progress: called with the share that is done.
    """
    servers = [count for count in SERVER_COUNTS if count <= max_servers]
    customers = CUSTOMER_COUNTS
    done, total = 0, 3 * len(servers) + len(customers)

    def step() -> None:
        nonlocal done
        done += 1
        progress(done / total)

    machine = describe_machine()
    slopes = [
        *costs_by_servers(servers, repeats, step),
        endpoint_memory(servers, step),
        *costs_by_customers(customers, repeats, step),
        *costs_by_request(repeats),
        *message_sizes(),
        empty_process_memory(repeats),
        *costs_by_process(servers, repeats, step),
    ]
    return {
        "machine": machine,
        "reference_after_ms": reference_loop_ms(),
        "repeats": repeats,
        "slopes": [slope.report() for slope in slopes],
    }


def show(console: Console, result: dict[str, Any]) -> None:
    """Print tables of all slopes, below a line on the machine."""
    after = f"reference loop at the end {result['reference_after_ms']} ms"
    console.print(f"slopes: {machine_line(result['machine'])}; {after}", soft_wrap=True)
    points = [_point_row(slope, point) for slope in result["slopes"] for point in slope["points"]]
    console.print(table("Points", ["figure", "against", "min", "median", "max", "unit"], points))
    fits = [_fit_row(slope) for slope in result["slopes"] if len(slope["points"]) > 1]
    console.print(table("Lines fitted to the medians", ["figure", "at 0", "slope", "unit"], fits))


def _point_row(slope: dict[str, Any], point: dict[str, Any]) -> tuple[str, ...]:
    digits = ",.4g" if slope["unit"] in FRACTIONAL_UNITS else ",.0f"
    spread = (format(point[key], digits) for key in ("min", "median", "max"))
    return (slope["name"], f"{point['count']:,} {slope['against']}", *spread, slope["unit"])


def _fit_row(slope: dict[str, Any]) -> tuple[str, ...]:
    fit = slope["fit"]
    unit = f"{slope['unit']} a {slope['against'][:-1]}"
    return (slope["name"], f"{fit['intercept']:,.4g}", f"{fit['slope']:,.4g}", unit)
