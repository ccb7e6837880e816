"""Latency histograms with three significant digits, and the percentiles in a trial's result."""

from __future__ import annotations

from hdrh.histogram import HdrHistogram

MAX_TIME_US = 120_000_000
SIGNIFICANT_DIGITS = 3
PERCENTILES = (50.0, 90.0, 99.0, 99.9)

Percentiles = dict[str, float | None]  # milliseconds; keys such as "p50"; None if no time was recorded


class LatencyHistogram:
    """A histogram of times from 1 us to `MAX_TIME_US`."""

    def __init__(self) -> None:
        self._histogram = HdrHistogram(1, MAX_TIME_US, SIGNIFICANT_DIGITS)

    def record(self, seconds: float) -> None:
        """Record a time. A time outside the range counts as the nearest one inside it."""
        self._histogram.record_value(max(1, min(MAX_TIME_US, round(seconds * 1e6))))

    @property
    def count(self) -> int:
        """Number of recorded times."""
        return int(self._histogram.get_total_count())

    @property
    def min_us(self) -> int:
        """The shortest recorded time, in microseconds."""
        return int(self._histogram.get_min_value())

    @property
    def max_us(self) -> int:
        """The longest recorded time, in microseconds."""
        return int(self._histogram.get_max_value())

    def percentile_us(self, percentile: float) -> int:
        """Return the recorded time at a percentile (0 to 100), in microseconds."""
        return int(self._histogram.get_value_at_percentile(percentile))

    def percentiles_ms(self) -> Percentiles:
        """Return the times at `PERCENTILES`, in milliseconds; None for each if no time was recorded."""
        if not self.count:
            return {f"p{percentile:g}": None for percentile in PERCENTILES}
        return {
            f"p{percentile:g}": round(self.percentile_us(percentile) / 1000.0, 3)
            for percentile in PERCENTILES
        }
