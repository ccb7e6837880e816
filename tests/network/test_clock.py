"""The clock that the policy reads."""

from __future__ import annotations

import time

from quota_gateway.network.clock import Clock


def test_the_clock_is_unix_time_and_never_goes_backwards() -> None:
    clock = Clock()
    assert abs(clock.now_ms() - time.time() * 1000.0) < 60_000.0
    times = [clock.now_ms() for _ in range(1000)]
    assert times == sorted(times)
