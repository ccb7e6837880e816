"""Describes the machine that figures are measured on, and its current speed."""

from __future__ import annotations

import datetime
import os
import platform
import statistics
import time
from pathlib import Path
from typing import Any

REFERENCE_ITERATIONS = 200_000
REFERENCE_REPEATS = 5


def reference_loop_ms() -> float:
    """Return the processor time of a fixed loop in ms: the median over `REFERENCE_REPEATS` repetitions.

    The speed of a shared machine varies within minutes. With this time, figures that were measured at
    different times can be compared.
    """
    durations = []
    for _ in range(REFERENCE_REPEATS):
        started_s = time.process_time()
        total = 0
        for i in range(REFERENCE_ITERATIONS):
            total += i & 7
        durations.append(1000.0 * (time.process_time() - started_s))
    return round(statistics.median(durations), 3)


def describe_machine() -> dict[str, Any]:
    """Return a description of the machine, as data for a result file."""
    return {
        "cpu": _cpu_model(),
        "cores": os.cpu_count() or 0,
        "reference_ms": reference_loop_ms(),
        "load_1m": round(os.getloadavg()[0], 2),
        "python": platform.python_version(),
        "system": platform.system(),
        "date": datetime.datetime.now(datetime.UTC).isoformat(timespec="seconds"),
    }


def machine_line(machine: dict[str, Any]) -> str:
    """Format the machine description of a result file as one line."""
    speed = f"reference loop {machine['reference_ms']} ms, load {machine['load_1m']}"
    hardware = f"{machine['cpu']}, {machine['cores']} cores"
    return f"{hardware}, Python {machine['python']}, {machine['date']}, {speed}"


def _cpu_model() -> str:
    try:
        lines = Path("/proc/cpuinfo").read_text(encoding="utf-8").splitlines()
    except OSError:
        return platform.processor()
    models = (line.partition(":")[2].strip() for line in lines if line.startswith("model name"))
    return next(models, platform.processor())
