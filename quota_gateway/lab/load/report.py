"""A trial's figures as tables for a terminal."""

from __future__ import annotations

from rich.console import Console
from rich.table import Table

from quota_gateway.lab.load.trial import Result

NAMES = {
    "served": "served",
    "refused_with_retry_after": "refused with retry-after",
    "refused_without": "refused without",
    "failed": "failed",
    "lost": "lost",
}
PERCENTILES = ("p50", "p90", "p99", "p99.9")


def _ms(value: float | None) -> str:
    return "-" if value is None else f"{value:.2f}"


def outcomes(result: Result) -> Table:
    """Requests by what became of them, with their latency."""
    table = Table(title=_title(result), title_justify="left")
    table.add_column("outcome")
    for name in ("requests", "share", "p50 ms", "p99 ms"):
        table.add_column(name, justify="right")
    for key, count in result.outcomes.items():
        share = f"{count / result.requests:.1%}" if result.requests else "-"
        latency = result.latency_ms[key]
        table.add_row(NAMES[key], str(count), share, _ms(latency["p50"]), _ms(latency["p99"]))
    return table


def _title(result: Result) -> str:
    many = "gateway" if len(result.gateways) == 1 else "gateways"
    return (
        f"{len(result.gateways)} {many}, {result.servers} servers, {result.rate:g} requests/s "
        f"for {result.seconds:g} s, seed {result.seed}"
    )


def added(result: Result) -> Table:
    """What the gateways add to the time at servers, beside what this tool adds by itself."""
    table = Table(title="Time of served requests beyond their time at servers, ms", title_justify="left")
    table.add_column("")
    for name in PERCENTILES:
        table.add_column(name, justify="right")
    rows = {"with gateway": result.added_ms, "without (the tool alone)": result.floor_ms}
    rows["sent late by"] = result.pacing_ms
    for name, row in rows.items():
        if row is not None:
            table.add_row(name, *(_ms(row[each]) for each in PERCENTILES))
    return table


def gateways(result: Result) -> Table:
    """What each gateway used."""
    share = f"{result.tool_processor_s / result.seconds:.0%}"
    title = f"Gateways (client and stand-ins beside them: {share} of a core)"
    table = Table(title=title, title_justify="left")
    table.add_column("name")
    for name in ("requests", "processor us a request", "memory MiB", "exit status"):
        table.add_column(name, justify="right")
    for each in result.gateways:
        used = "-" if each.processor_us_per_request is None else f"{each.processor_us_per_request:.0f}"
        memory = "-" if each.memory_mb is None else f"{each.memory_mb:.0f}"
        status = "killed" if each.killed else str(each.exit_status)
        table.add_row(each.name, str(each.requests), used, memory, status)
    return table


def attempts(result: Result) -> str:
    """One line on what servers were sent."""
    parts = ", ".join(f"{count} {name}" for name, count in sorted(result.attempts.items()) if count)
    return f"Attempts at servers: {parts or 'none'}"


def quotas(result: Result) -> str:
    """One line on how the quotas were kept."""
    found = result.quotas
    sent_on = found["inside"] + found["beyond"]
    return (
        f"Sent on: {sent_on}, of which {found['beyond']} beyond their quota. "
        f"Refused: {found['refused']}, of which {found['refused_with_room']} inside it."
    )


def troubles(result: Result) -> list[str]:
    """One line for each thing that should not be; empty after a sound trial."""
    lines = [f"lost: {count} ({why})" for why, count in sorted(result.losses.items())]
    for count, what in (
        (result.doubled, "answers beyond the one that a request is owed"),
        (result.ran_twice, "requests of an unsafe class were carried out more than once"),
        (result.late, "answers came after their deadline"),
    ):
        if count:
            lines.append(f"{count} {what}")
    for each in result.gateways:
        if each.trouble:
            lines.append(f"{each.name} went by itself: {each.trouble}")
        elif each.killed:
            lines.append(f"{each.name} did not end in time after SIGTERM and was killed")
    if not result.outcomes["served"]:
        lines.append("nothing was served")
    return lines


def show(result: Result, detailed: bool = False) -> None:
    """Prints the tables on standard output."""
    console = Console()
    console.print(outcomes(result))
    console.print(quotas(result))
    if detailed:
        console.print(added(result))
        console.print(attempts(result))
        for text in result.troubles:
            console.print(f"Fault: {text}", markup=False)
    console.print(gateways(result))
    for line in troubles(result):
        console.print(line, markup=False)
