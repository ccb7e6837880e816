"""A figure measured at several counts, and the straight line fitted to its medians."""

from __future__ import annotations

import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Any

import numpy as np

from quota_gateway.lab.machine import reference_loop_ms
from quota_gateway.lab.scaling.slope_names import SlopeName

MILLISECONDS = "ms"
# A repetition ends when it has reached both of these.
MIN_REPETITION_S = 0.03
MIN_REPETITION_CALLS = 3
MIN_FIT_MEDIAN = 1e-12  # bounds the weights of the fit, which are inverse to the medians


@dataclass(slots=True)
class Slope:
    """One figure, measured at one or more counts.

    Attributes:
        name: the figure.
        unit: the unit of the measured values.
        against: the things that are counted, in the plural.
        points: the measured values of each count, in ascending order.
        reference_ms: duration of the reference loop after each measurement of time, by count.
    """

    name: SlopeName
    unit: str
    against: str
    points: dict[int, list[float]] = field(default_factory=dict)
    reference_ms: dict[int, float] = field(default_factory=dict)

    def add(self, count: int, values: Sequence[float]) -> None:
        """Record the values that were measured at one count."""
        self.points[count] = sorted(values)
        if self.unit == MILLISECONDS:
            self.reference_ms[count] = reference_loop_ms()

    def fit(self) -> tuple[float, float]:
        """Return the intercept and the slope of the line fitted to the medians.

        The fit minimises relative errors, so that small counts weigh as much as large ones. A single point
        gives its median and a slope of 0.
        """
        if len(self.points) < 2:
            return float(np.median(next(iter(self.points.values())))), 0.0
        counts = np.array(list(self.points), dtype=float)
        medians = np.array([float(np.median(values)) for values in self.points.values()])
        slope, intercept = np.polyfit(counts, medians, 1, w=1.0 / np.maximum(medians, MIN_FIT_MEDIAN))
        return float(intercept), float(slope)

    def report(self) -> dict[str, Any]:
        """Return the figure with its points and its line, as data for a result file."""
        intercept, slope = self.fit()
        return {
            "name": self.name.value,
            "unit": self.unit,
            "against": self.against,
            "points": [self._report_point(count) for count in self.points],
            "fit": {"intercept": intercept, "slope": slope},
        }

    def _report_point(self, count: int) -> dict[str, Any]:
        values = self.points[count]
        point: dict[str, Any] = {
            "count": count,
            "min": values[0],
            "median": float(np.median(values)),
            "max": values[-1],
            "repeats": len(values),
        }
        if count in self.reference_ms:
            point["reference_ms"] = self.reference_ms[count]
        return point


def processor_time_ms(call: Callable[[], object], repeats: int) -> list[float]:
    """Return, for each repetition, the mean processor time of one call in ms."""
    means = []
    call()
    for _ in range(repeats):
        calls = 0
        started_s = time.process_time()
        while calls < MIN_REPETITION_CALLS or time.process_time() - started_s < MIN_REPETITION_S:
            call()
            calls += 1
        means.append(1000.0 * (time.process_time() - started_s) / calls)
    return means
