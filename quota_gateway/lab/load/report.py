"""Formats the result of a trial as tables for a terminal."""

from __future__ import annotations

from rich.console import Console
from rich.table import Table

from quota_gateway.lab.load.trial_result import GatewayResult, TrialResult

OUTCOME_LABELS = {
    "served": "served",
    "refused_with_retry_after": "rejected with Retry-After",
    "refused_without": "rejected without",
    "failed": "failed",
    "lost": "lost",
}
PERCENTILE_NAMES = ("p50", "p90", "p99", "p99.9")


def print_report(result: TrialResult, detailed: bool = False) -> None:
    """Print the tables on standard output; `detailed` adds latencies, attempts and faults."""
    console = Console()
    console.print(outcome_table(result))
    console.print(quota_line(result))
    if detailed:
        console.print(added_latency_table(result))
        console.print(attempt_line(result))
        for text in result.faults:
            console.print(f"Fault: {text}", markup=False)
    console.print(gateway_table(result))
    for line in violation_lines(result):
        console.print(line, markup=False)


def outcome_table(result: TrialResult) -> Table:
    """Return a table of the requests by outcome, with their latency."""
    table = _table(_title(result), "outcome", ["requests", "share", "p50 ms", "p99 ms"])
    for outcome, count in result.outcomes.items():
        share = f"{count / result.requests:.1%}" if result.requests else "-"
        latency = result.latency_ms[outcome]
        label = OUTCOME_LABELS[outcome]
        table.add_row(label, str(count), share, _milliseconds(latency["p50"]), _milliseconds(latency["p99"]))
    return table


def added_latency_table(result: TrialResult) -> Table:
    """Return a table of the latency added by the gateways, with the client's own overhead and send delay."""
    table = _table("Latency added to the time at servers, ms", "", list(PERCENTILE_NAMES))
    rows = {
        "with gateway": result.added_latency_ms,
        "without (client alone)": result.client_overhead_ms,
        "sent late by": result.send_delay_ms,
    }
    for name, percentiles in rows.items():
        if percentiles is not None:
            cells = [_milliseconds(percentiles[percentile]) for percentile in PERCENTILE_NAMES]
            table.add_row(name, *cells)
    return table


def gateway_table(result: TrialResult) -> Table:
    """Return a table of the resources that each gateway used."""
    tool_share = f"{result.tool_cpu_s / result.duration_s:.0%}"
    title = f"Gateways (client and fakes beside them: {tool_share} of a core)"
    table = _table(title, "name", ["requests", "CPU us/request", "memory MiB", "exit status"])
    for gateway in result.gateways:
        cpu = "-" if gateway.cpu_us_per_request is None else f"{gateway.cpu_us_per_request:.0f}"
        memory = "-" if gateway.peak_memory_mib is None else f"{gateway.peak_memory_mib:.0f}"
        status = "killed" if gateway.killed else str(gateway.exit_status)
        table.add_row(gateway.name, str(gateway.requests), cpu, memory, status)
    return table


def attempt_line(result: TrialResult) -> str:
    """Return one line with the number of attempts at servers by outcome."""
    counts = ", ".join(f"{count} {name}" for name, count in sorted(result.attempts.items()) if count)
    return f"Attempts at servers: {counts or 'none'}"


def quota_line(result: TrialResult) -> str:
    """Return one line with the requests forwarded over quota and rejected within quota."""
    audit = result.quota_audit
    return (
        f"Forwarded: {audit.forwarded} ({audit.forwarded_over_quota} over quota). "
        f"Rejected: {audit.rejected} ({audit.rejected_within_quota} within quota)."
    )


def violation_lines(result: TrialResult) -> list[str]:
    """Return a line for each kind of violation, and one for late replies, which alone do not fail a trial."""
    lines = [f"lost: {count} ({reason})" for reason, count in sorted(result.losses.items())]
    counts = {
        "extra replies, for which no request was pending": result.extra_replies,
        "non-idempotent requests were carried out more than once": result.duplicate_executions,
        "replies came after their deadline": result.late,
    }
    lines += [f"{count} {violation}" for violation, count in counts.items() if count]
    for gateway in result.gateways:
        lines += _exit_violations(gateway)
    if not result.outcomes["served"]:
        lines.append("nothing was served")
    return lines


def _exit_violations(gateway: GatewayResult) -> list[str]:
    if gateway.unexpected_exit_log:
        return [f"{gateway.name} exited unexpectedly: {gateway.unexpected_exit_log}"]
    if gateway.killed:
        return [f"{gateway.name} did not exit in time after SIGTERM and was killed"]
    return []


def _title(result: TrialResult) -> str:
    gateways = "gateway" if len(result.gateways) == 1 else "gateways"
    return (
        f"{len(result.gateways)} {gateways}, {result.servers} servers, {result.rate:g} requests/s "
        f"for {result.duration_s:g} s, seed {result.seed}"
    )


def _table(title: str, first_column: str, numeric_columns: list[str]) -> Table:
    table = Table(title=title, title_justify="left")
    table.add_column(first_column)
    for column in numeric_columns:
        table.add_column(column, justify="right")
    return table


def _milliseconds(value: float | None) -> str:
    return "-" if value is None else f"{value:.2f}"
