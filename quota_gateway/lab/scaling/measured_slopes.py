"""Reads result files of `quota-gateway lab slopes`."""

from __future__ import annotations

import statistics
from pathlib import Path
from typing import Any

import msgspec

from quota_gateway.lab.scaling.slope_names import SlopeName


class SlopesFileError(ValueError):
    """A slopes file that can't be used; the message is one line."""


class Fit(msgspec.Struct):
    """The straight line fitted to the medians of a figure."""

    intercept: float
    slope: float


class Point(msgspec.Struct):
    """The median measured at one count."""

    count: float
    median: float


class MeasuredSlope(msgspec.Struct):
    """One figure of a run, with its points and its fitted line."""

    name: str
    points: list[Point]
    fit: Fit

    def at(self, count: float) -> float:
        """Return the median at a count if it was measured there, else the value of the fitted line."""
        for point in self.points:
            if point.count == count:
                return point.median
        return self.fit.intercept + self.fit.slope * count


class SlopesRun(msgspec.Struct):
    """The result of one run of `quota-gateway lab slopes`."""

    machine: dict[str, Any]
    slopes: list[MeasuredSlope]


class MergedSlopesRuns(msgspec.Struct):
    """The results of several runs, merged into one file."""

    runs: list[SlopesRun]


class MeasuredSlopes:
    """The figures of all runs in a file, by name. Each value is the median over the runs.

    Attributes:
        path: the file.
        machine: description of the machine of the last run.

    Raises:
        SlopesFileError: the file can't be read or is not a result of `quota-gateway lab slopes`.
    """

    def __init__(self, path: Path) -> None:
        self.path = path
        runs = _read_runs(path)
        self.machine = runs[-1].machine
        self._runs = [{slope.name: slope for slope in run.slopes} for run in runs]

    def at(self, name: SlopeName, count: float) -> float:
        """Return a figure at a count, as measured or else from the fitted line, but at least 0.

        Raises:
            SlopesFileError: no run has the figure.
        """
        return max(0.0, float(statistics.median(slope.at(count) for slope in self._find(name))))

    def per_unit(self, name: SlopeName) -> float:
        """Return the increase of a figure per unit of its count, from the fitted line, but at least 0.

        Raises:
            SlopesFileError: no run has the figure.
        """
        return max(0.0, float(statistics.median(slope.fit.slope for slope in self._find(name))))

    def _find(self, name: SlopeName) -> list[MeasuredSlope]:
        slopes = [run[name] for run in self._runs if name in run]
        if not slopes:
            raise SlopesFileError(f"{self.path}: it has no slope {name.value!r}")
        return slopes


def _read_runs(path: Path) -> list[SlopesRun]:
    try:
        raw = msgspec.json.decode(path.read_bytes())
        if isinstance(raw, dict) and "runs" in raw:
            runs = msgspec.convert(raw, MergedSlopesRuns).runs
        else:
            runs = [msgspec.convert(raw, SlopesRun)]
    except (OSError, msgspec.DecodeError) as error:
        raise SlopesFileError(f"{path}: not a result of `quota-gateway lab slopes`: {error}") from None
    if not runs:
        raise SlopesFileError(
            f"{path}: not a result of `quota-gateway lab slopes`: the list of runs is empty"
        )
    return runs
