"""Latency histograms with three significant digits, and the percentiles that a result shows."""

from __future__ import annotations

from hdrh.histogram import HdrHistogram

MAX_US = 120_000_000
SIGNIFICANT_DIGITS = 3
PERCENTILES = (50.0, 90.0, 99.0, 99.9)

Percentiles = dict[str, float | None]  # milliseconds by name (p50); None where nothing was recorded


class LatencyHistogram:
    """A histogram of times, in microseconds."""

    def __init__(self) -> None:
        self._histogram = HdrHistogram(1, MAX_US, SIGNIFICANT_DIGITS)

    def record(self, seconds: float) -> None:
        """Record a time; one outside of the histogram's range counts as the nearest that it holds."""
        self._histogram.record_value(max(1, min(MAX_US, round(seconds * 1e6))))

    @property
    def count(self) -> int:
        """Number of recorded times."""
        return int(self._histogram.get_total_count())

    @property
    def min_us(self) -> int:
        """The shortest recorded time."""
        return int(self._histogram.get_min_value())

    @property
    def max_us(self) -> int:
        """The longest recorded time."""
        return int(self._histogram.get_max_value())

    def percentile_us(self, percentile: float) -> int:
        """Return the time that this percentage of the recorded ones does not exceed."""
        return int(self._histogram.get_value_at_percentile(percentile))

    def percentiles_ms(self) -> Percentiles:
        """Return the percentiles that a result shows, in milliseconds."""
        if not self.count:
            return {f"p{percentile:g}": None for percentile in PERCENTILES}
        return {
            f"p{percentile:g}": round(self.percentile_us(percentile) / 1000.0, 3)
            for percentile in PERCENTILES
        }
