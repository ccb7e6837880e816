"""Prints the results of runs as tables."""

from __future__ import annotations

from typing import Any

from rich.console import Console

from quota_gateway.lab.machine import machine_line
from quota_gateway.lab.tables import flatten, table

SHOWN_SECTIONS = ("rates", "service", "quota", "rules", "falls", "waited_ms")
SPREAD_COLUMNS = ("min", "median", "max")


def show_run(console: Console, result: dict[str, Any]) -> None:
    """Print the result of a run with one seed, given as the content of its result file."""
    simulated = result["simulated"]
    experiment = result["experiment"]
    run = f"{experiment['name']}: seed {result['seed']}, {experiment['seconds']:g} s simulated"
    console.print(f"{run}; {machine_line(result['machine'])}", soft_wrap=True)
    shown = flatten({section: simulated[section] for section in SHOWN_SECTIONS})
    console.print(table("Simulated (the same on every machine)", ["figure", "value"], shown))
    messages = _message_rows(simulated["calls"], simulated["bytes"])
    console.print(table("Messages", ["role", "number", "bytes"], messages))
    console.print(table("Measured (on this machine)", ["figure", "value"], flatten(result["measured"])))


def show_spread(console: Console, result: dict[str, Any]) -> None:
    """Print the results of runs with several seeds, given as the content of their result file."""
    seeds = ", ".join(str(run["seed"]) for run in result["runs"])
    name = result["experiment"]["name"]
    machine = machine_line(result["machine"])
    console.print(f"{name}: seeds {seeds}; {machine}", soft_wrap=True)
    rows = [
        (rate, *(f"{spread[column]:,}" for column in SPREAD_COLUMNS))
        for rate, spread in result["spread"].items()
    ]
    console.print(table("Simulated, over the seeds", ["figure", *SPREAD_COLUMNS], rows))


def _message_rows(
    counts: dict[str, dict[str, int]], sizes: dict[str, dict[str, int]]
) -> list[tuple[str, str, str]]:
    """Return the rows of the table of messages: role and kind, number, and size in bytes."""
    rows = []
    for role in sorted({*counts, *sizes}):
        role_counts = counts.get(role, {})
        role_sizes = sizes.get(role, {})
        for kind in sorted({*role_counts, *role_sizes}):
            size = f"{role_sizes[kind]:,}" if kind in role_sizes else ""
            rows.append((f"{role}.{kind}", f"{role_counts.get(kind, 0):,}", size))
    return rows
