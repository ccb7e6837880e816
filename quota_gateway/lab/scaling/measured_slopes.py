"""Reads the slopes that `quota-gateway lab slopes` wrote."""

from __future__ import annotations

import statistics
from pathlib import Path
from typing import Any

import msgspec

from quota_gateway.lab.scaling.slope_names import SlopeName


class SlopesFileError(ValueError):
    """A file of slopes that can't be used; the text is one line."""


class Fit(msgspec.Struct):
    """The line fitted to a slope's medians."""

    intercept: float
    slope: float


class Point(msgspec.Struct):
    """The median at one count."""

    count: float
    median: float


class MeasuredSlope(msgspec.Struct):
    """One figure of a run."""

    name: str
    points: list[Point]
    fit: Fit

    def at(self, count: float) -> float:
        """Return the median measured at a count, else the value of the fitted line."""
        for point in self.points:
            if point.count == count:
                return point.median
        return self.fit.intercept + self.fit.slope * count


class SlopesRun(msgspec.Struct):
    """One result of `quota-gateway lab slopes`."""

    machine: dict[str, Any]
    slopes: list[MeasuredSlope]


class SlopesRuns(msgspec.Struct):
    """Several results that were put into one file."""

    runs: list[SlopesRun]


class MeasuredSlopes:
    """Measured slopes by name, over all runs of a file: ms of processor time, or bytes.

    Attributes:
        machine: what the last run was measured on.
    """

    def __init__(self, path: Path) -> None:
        self.path = path
        runs = _read_runs(path)
        self.machine = runs[-1].machine
        self._runs = [{slope.name: slope for slope in run.slopes} for run in runs]

    def at(self, name: SlopeName, count: float) -> float:
        """Return the figure at a count, measured or by the fitted line; the median of all runs.

        Raises:
            SlopesFileError: no run has it.
        """
        return max(0.0, float(statistics.median(slope.at(count) for slope in self._find(name))))

    def per_unit(self, name: SlopeName) -> float:
        """Return what one more of its count adds, by the fitted line; the median of all runs.

        Raises:
            SlopesFileError: no run has it.
        """
        return max(0.0, float(statistics.median(slope.fit.slope for slope in self._find(name))))

    def _find(self, name: SlopeName) -> list[MeasuredSlope]:
        slopes = [run[name] for run in self._runs if name in run]
        if not slopes:
            raise SlopesFileError(f"{self.path}: no slope {name.value!r}")
        return slopes


def _read_runs(path: Path) -> list[SlopesRun]:
    try:
        raw = msgspec.json.decode(path.read_bytes())
        if isinstance(raw, dict) and "runs" in raw:
            runs = msgspec.convert(raw, SlopesRuns).runs
        else:
            runs = [msgspec.convert(raw, SlopesRun)]
    except (OSError, msgspec.DecodeError) as error:
        raise SlopesFileError(f"{path}: not a result of `quota-gateway lab slopes`: {error}") from None
    if not runs:
        raise SlopesFileError(f"{path}: not a result of `quota-gateway lab slopes`: it holds no run")
    return runs
