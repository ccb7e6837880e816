"""Latency histograms: resolution, range, and the percentiles of an empty histogram."""

from __future__ import annotations

import pytest

from quota_gateway.lab.load.histogram import MAX_TIME_US, LatencyHistogram


def test_percentiles_are_milliseconds_to_three_digits() -> None:
    histogram = LatencyHistogram()
    for milliseconds in range(1, 1001):
        histogram.record(milliseconds / 1000.0)
    assert histogram.count == 1000
    percentiles = histogram.percentiles_ms()
    assert percentiles["p50"] == pytest.approx(500.0, rel=1e-3)
    assert percentiles["p99.9"] == pytest.approx(999.0, rel=1e-3)


def test_times_outside_of_the_range_count_as_the_nearest_inside() -> None:
    histogram = LatencyHistogram()
    histogram.record(-1.0)
    histogram.record(1e6)
    assert histogram.min_us == 1
    assert histogram.max_us == pytest.approx(MAX_TIME_US, rel=1e-3)


def test_an_empty_histogram_has_no_percentiles() -> None:
    assert set(LatencyHistogram().percentiles_ms().values()) == {None}
