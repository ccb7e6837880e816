"""The scheduler of discrete events. No wall clock is read here."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from typing import Any

START_MS = 1_000_000.0  # simulated time begins here: 0 means "long ago" in an endpoint's `started_ms`


class EventScheduler:
    """Runs callbacks in order of simulated time, those of one moment in the order of their scheduling.

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
        """Schedule a call at a moment, ms; a moment in the past counts as now."""
        self._sequence += 1
        heapq.heappush(self._heap, (max(when, self.now), self._sequence, callback, args))

    def schedule_after(self, delay: float, callback: Callable[..., None], *args: Any) -> None:
        """Schedule a call after a delay, ms."""
        self.schedule_at(self.now + delay, callback, *args)

    def run_until(self, until: float) -> None:
        """Run all that is due up to a moment, ms, and set the clock to it."""
        heap = self._heap
        while heap and heap[0][0] <= until:
            self.now, _, callback, args = heapq.heappop(heap)
            self.executed += 1
            callback(*args)
        self.now = max(self.now, until)
