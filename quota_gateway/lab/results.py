"""Results: machine, tables, and files that are written whole or not at all."""

from __future__ import annotations

import datetime
import os
import platform
import statistics
import tempfile
import time
from collections.abc import Sequence
from pathlib import Path
from typing import Any

import msgspec
from rich.console import Console
from rich.table import Table

WIDTH = 120
REFERENCE_LOOP = 200_000


def reference() -> float:
    """Milliseconds of a fixed loop, the median of five. A shared machine's pace changes by the minute;
    figures of two moments are compared by what this took then."""
    took = []
    for _ in range(5):
        began = time.process_time()
        total = 0
        for i in range(REFERENCE_LOOP):
            total += i & 7
        took.append(1000.0 * (time.process_time() - began))
    return round(statistics.median(took), 3)


def machine() -> dict[str, Any]:
    """What the figures were measured on."""
    model = platform.processor()
    try:
        lines = Path("/proc/cpuinfo").read_text(encoding="utf-8").splitlines()
        model = next(line.partition(":")[2].strip() for line in lines if line.startswith("model name"))
    except (OSError, StopIteration):
        pass
    return {
        "cpu": model,
        "cores": os.cpu_count() or 0,
        "reference_ms": reference(),
        "load_1m": round(os.getloadavg()[0], 2),
        "python": platform.python_version(),
        "system": platform.system(),
        "date": datetime.datetime.now(datetime.UTC).isoformat(timespec="seconds"),
    }


def where(made: dict[str, Any]) -> str:
    """The machine in a line."""
    pace = f"reference loop {made['reference_ms']} ms, load {made['load_1m']}"
    return f"{made['cpu']}, {made['cores']} cores, Python {made['python']}, {made['date']}, {pace}"


def check_output_path(path: Path) -> None:
    """Check that a result can be written to a path, before a run that would end there in vain.

    Raises:
        IsADirectoryError: a directory stands there.
        PermissionError: the directory it would stand in is missing or not writable.
    """
    if path.is_dir():
        raise IsADirectoryError(f"{path} is a directory")
    if not os.access(path.parent, os.W_OK):
        raise PermissionError(f"can't write into {path.parent}")


def write(path: Path, result: object) -> None:
    """Writes what msgspec can encode as JSON, under a name of its own, then gives it the right one. Raises
    OSError, leaving nothing."""
    data = msgspec.json.format(msgspec.json.encode(result), indent=2)
    handle, name = tempfile.mkstemp(prefix=f".{path.name}.", dir=path.parent)
    try:
        with os.fdopen(handle, "wb") as file:
            file.write(data + b"\n")
            file.flush()
            os.fsync(file.fileno())
        os.chmod(name, 0o644)
        os.replace(name, path)
    except BaseException:
        os.unlink(name)
        raise


def rows(tree: dict[str, Any], prefix: str = "") -> list[tuple[str, str]]:
    """The leaves of nested figures, with dotted names."""
    out: list[tuple[str, str]] = []
    for key, value in tree.items():
        name = f"{prefix}{key}"
        if isinstance(value, dict):
            out += rows(value, f"{name}.")
        elif isinstance(value, list):
            out.append((name, str(len(value))))
        else:
            out.append((name, f"{value:,}" if isinstance(value, int | float) else str(value)))
    return out


def table(title: str, columns: list[str], lines: Sequence[tuple[str, ...]]) -> Table:
    """A table; the first column to the left, figures to the right."""
    made = Table(title=title, title_justify="left", header_style="bold")
    for number, column in enumerate(columns):
        made.add_column(column, justify="left" if number == 0 else "right", no_wrap=True)
    for line in lines:
        made.add_row(*line)
    return made


def console() -> Console:
    """Standard output; wide enough for the tables where it is no terminal."""
    made = Console()
    return made if made.is_terminal else Console(width=WIDTH)


def show(console: Console, result: dict[str, Any]) -> None:
    """The result of a run."""
    simulated, measured = result["simulated"], result["measured"]
    experiment = result["experiment"]
    console.print(
        f"{experiment['name']}: seed {result['seed']}, {experiment['seconds']:g} s simulated; "
        f"{where(result['machine'])}",
        soft_wrap=True,
    )
    first = {key: simulated[key] for key in ("rates", "service", "quota", "rules", "falls", "waited_ms")}
    console.print(table("Simulated (the same on every machine)", ["figure", "value"], rows(first)))
    roles = []
    for role in sorted({*simulated["calls"], *simulated["bytes"]}):
        calls, sizes = simulated["calls"].get(role, {}), simulated["bytes"].get(role, {})
        for what in sorted({*calls, *sizes}):
            size = f"{sizes[what]:,}" if what in sizes else ""
            roles.append((f"{role}.{what}", f"{calls.get(what, 0):,}", size))
    console.print(table("Messages", ["role", "number", "bytes"], roles))
    console.print(table("Measured (of this machine)", ["figure", "value"], rows(measured)))


def show_spread(console: Console, result: dict[str, Any]) -> None:
    """The result of several seeds."""
    name, seeds = result["experiment"]["name"], ", ".join(str(run["seed"]) for run in result["runs"])
    console.print(f"{name}: seeds {seeds}; {where(result['machine'])}", soft_wrap=True)
    lines = [
        (key, *(f"{values[end]:,}" for end in ("min", "median", "max")))
        for key, values in result["spread"].items()
    ]
    console.print(table("Simulated, over the seeds", ["figure", "min", "median", "max"], lines))
