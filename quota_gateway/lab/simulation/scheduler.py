"""The scheduler of discrete events, and the random streams of the entities. No wall clock is read here."""

from __future__ import annotations

import heapq
import random
import zlib
from collections.abc import Callable
from typing import Any

import numpy as np

START_MS = 1_000_000.0  # simulated time begins here: 0 means "long ago" in a server's `started_ms`


class Kernel:
    """Events in order of time, those of one moment in the order in which they were scheduled."""

    def __init__(self) -> None:
        self.now = START_MS  # milliseconds
        self.done = 0  # events carried out
        self.serial = 0
        self.heap: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []

    def at(self, when: float, then: Callable[..., None], *args: Any) -> None:
        """Schedules a call; a moment that has passed counts as now."""
        self.serial += 1
        heapq.heappush(self.heap, (max(when, self.now), self.serial, then, args))

    def after(self, delay: float, then: Callable[..., None], *args: Any) -> None:
        """Schedules a call in so many milliseconds."""
        self.at(self.now + delay, then, *args)

    def run(self, until: float) -> None:
        """Carries out all that is due up to a moment, and sets the clock to it."""
        heap = self.heap
        while heap and heap[0][0] <= until:
            self.now, _, then, args = heapq.heappop(heap)
            self.done += 1
            then(*args)
        self.now = max(self.now, until)


def stream(seed: int, role: str, index: int = 0) -> random.Random:
    """Random numbers of one entity; what another entity draws does not move them."""
    return random.Random(f"{seed}/{role}/{index}")


def arrays(seed: int, role: str, index: int = 0) -> np.random.Generator:
    """The same for draws by the array."""
    return np.random.default_rng(np.random.SeedSequence([seed, zlib.crc32(role.encode()), index]))
