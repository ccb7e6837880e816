"""One figure measured against a count, and the straight line through its medians."""

from __future__ import annotations

import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Any

import numpy as np

from quota_gateway.lab.machine import reference_loop_ms
from quota_gateway.lab.scaling.slope_names import SlopeName

MILLISECONDS = "ms"
MIN_REPETITION_S = 0.03  # a repetition goes on for this long ...
MIN_REPETITION_CALLS = 3  # ... and for so many calls
SMALLEST_MEDIAN = 1e-12  # bounds the weights of the fit


@dataclass(slots=True)
class Slope:
    """One figure against a count.

    Attributes:
        against: what is counted, in the plural.
        points: for each count its repetitions, lowest first.
        reference_ms: duration of the reference loop next to each measurement of time.
    """

    name: SlopeName
    unit: str
    against: str
    points: dict[int, list[float]] = field(default_factory=dict)
    reference_ms: dict[int, float] = field(default_factory=dict)

    def add(self, count: int, values: Sequence[float]) -> None:
        """Record the repetitions at one count."""
        self.points[count] = sorted(values)
        if self.unit == MILLISECONDS:
            self.reference_ms[count] = reference_loop_ms()

    def fit(self) -> tuple[float, float]:
        """Return the intercept, and the slope for one more of what is counted.

        The fit is by relative error, so that short lists count as much as long ones.
        """
        if len(self.points) < 2:
            return float(np.median(next(iter(self.points.values())))), 0.0
        counts = np.array(list(self.points), dtype=float)
        medians = np.array([float(np.median(values)) for values in self.points.values()])
        slope, intercept = np.polyfit(counts, medians, 1, w=1.0 / np.maximum(medians, SMALLEST_MEDIAN))
        return float(intercept), float(slope)

    def report(self) -> dict[str, Any]:
        """Return the figure for a result file."""
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
    """Return the processor time of one call, ms: the mean over each repetition."""
    means = []
    call()
    for _ in range(repeats):
        calls, began = 0, time.process_time()
        while calls < MIN_REPETITION_CALLS or time.process_time() - began < MIN_REPETITION_S:
            call()
            calls += 1
        means.append(1000.0 * (time.process_time() - began) / calls)
    return means
