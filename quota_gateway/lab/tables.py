"""Tables of figures for standard output."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

from rich.console import Console
from rich.table import Table

WIDTH_WITHOUT_TERMINAL = 120


def standard_output() -> Console:
    """Return a console on standard output; without a terminal it is wide enough for all tables."""
    console = Console()
    return console if console.is_terminal else Console(width=WIDTH_WITHOUT_TERMINAL)


def table(title: str, columns: Sequence[str], rows: Sequence[tuple[str, ...]]) -> Table:
    """Return a table whose first column is aligned to the left and all others to the right."""
    result = Table(title=title, title_justify="left", header_style="bold")
    for number, column in enumerate(columns):
        result.add_column(column, justify="left" if number == 0 else "right", no_wrap=True)
    for row in rows:
        result.add_row(*row)
    return result


def flatten(figures: dict[str, Any], prefix: str = "") -> list[tuple[str, str]]:
    """Return the leaves of nested figures as pairs of dotted name and text; a list is given by its length."""
    rows: list[tuple[str, str]] = []
    for key, value in figures.items():
        name = f"{prefix}{key}"
        if isinstance(value, dict):
            rows += flatten(value, f"{name}.")
        elif isinstance(value, list):
            rows.append((name, str(len(value))))
        else:
            rows.append((name, f"{value:,}" if isinstance(value, int | float) else str(value)))
    return rows
