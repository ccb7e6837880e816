"""A discrete-event simulation of gateways with one clock and one queue of events, calls and replies."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Sequence

from quota_gateway.policy.gateway import Gateway
from quota_gateway.policy_api.actions import IncrementCounter, SetTimer, StartAttempt
from quota_gateway.policy_api.events import Event, TimerFired
from tests.policy.fake_counter import FakeCounter

COUNTER_CALL_MS = 12.0  # round trip of a counter call, which reaches the counter after half of it


class SimulatedFleet:
    """Several gateways and their counter; subclasses implement the servers in `start_attempt`."""

    def __init__(self, gateways: Sequence[Gateway], now_ms: float) -> None:
        self.gateways = list(gateways)
        self.counter = FakeCounter()
        self.now_ms = now_ms
        self._sequence_numbers = itertools.count()
        # Heap of time, sequence number, gateway index, and event or call. The sequence number keeps items of
        # the same time in the order in which they were scheduled.
        self._queue: list[tuple[float, int, int, Event | IncrementCounter]] = []

    def schedule(self, at_ms: float, gateway: int, item: Event | IncrementCounter) -> None:
        """Schedule an event for a gateway, or the arrival of its call at the counter."""
        heapq.heappush(self._queue, (at_ms, next(self._sequence_numbers), gateway, item))

    def run_until(self, end_ms: float) -> None:
        """Process all items up to and including `end_ms`."""
        while self._queue and self._queue[0][0] <= end_ms:
            self.now_ms, _, gateway, item = heapq.heappop(self._queue)
            if isinstance(item, IncrementCounter):
                reply = self.counter.increment(self.now_ms, item, COUNTER_CALL_MS)
                self.schedule(self.now_ms + 0.5 * COUNTER_CALL_MS, gateway, reply)
            else:
                self.handle(gateway, item)
        self.now_ms = end_ms

    def handle(self, gateway: int, event: Event) -> None:
        """Pass an event to a gateway and execute the actions that it returns."""
        for action in self.gateways[gateway].handle(self.now_ms, event):
            if isinstance(action, SetTimer):
                self.schedule(action.at_ms, gateway, TimerFired(action.token))
            elif isinstance(action, IncrementCounter):
                self.schedule(self.now_ms + 0.5 * COUNTER_CALL_MS, gateway, action)
            elif isinstance(action, StartAttempt):
                self.start_attempt(gateway, action)

    def start_attempt(self, gateway: int, attempt: StartAttempt) -> None:
        """Schedule the completion of an attempt."""
        raise NotImplementedError
