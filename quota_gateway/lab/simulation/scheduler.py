"""Scheduler of discrete events in simulated time; it does not read the machine's clock."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from typing import Any

# Start of simulated time. It is not 0, because 0 in an endpoint's `started_ms` means "long ago".
START_MS = 1_000_000.0


class EventScheduler:
    """Runs callbacks in order of simulated time; callbacks at the same time run in the order of scheduling.

    Attributes:
        now: simulated time, ms.
        executed: number of callbacks run so far.
    """

    def __init__(self) -> None:
        self.now = START_MS
        self.executed = 0
        self._sequence = 0
        self._heap: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []

    def schedule_at(self, when: float, callback: Callable[..., None], *args: Any) -> None:
        """Schedule a callback at a simulated time, ms; a time in the past counts as now."""
        self._sequence += 1
        heapq.heappush(self._heap, (max(when, self.now), self._sequence, callback, args))

    def schedule_after(self, delay: float, callback: Callable[..., None], *args: Any) -> None:
        """Schedule a callback after a delay, ms."""
        self.schedule_at(self.now + delay, callback, *args)

    def run_until(self, until: float) -> None:
        """Run all callbacks that are due up to a simulated time, ms, and advance the clock to it."""
        heap = self._heap
        while heap and heap[0][0] <= until:
            self.now, _, callback, args = heapq.heappop(heap)
            self.executed += 1
            callback(*args)
        self.now = max(self.now, until)
