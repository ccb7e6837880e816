"""Capacity of the back end: its estimate from the responses seen here, and who is served while it binds.

No server reports its capacity. Two signs stand for it: responses that are late against their latency
objective, and this gateway's work in flight against the pace at which it completes. Requests are admitted by
a greedy fill, by falling priority: the weight of the request class times the price of the plan.
"""

import math
from collections.abc import Iterable

from quota_gateway.policy_api.events import AttemptCompleted, CallOutcome
from quota_gateway.policy_state.requests import Attempt, PendingRequest

MIN_WINDOW_S, MAX_WINDOW_S = 1.0, 4.0  # a window of the estimate lasts until it has responses enough
MIN_RESPONSES = 8
TARGET_LATENCY_RATIO = 0.5  # median of durations against objectives that an overloaded back end settles at
MAX_GROWTH, MAX_SHRINKAGE = 1.2, 0.7  # of the estimate in one window, which says little of the next one
UNLIMITED_MARGIN = 3.0  # times the demand: a capacity that no longer binds
PACE_WINDOW_S, PEAK_DECAY_S = 2.0, 8.0  # over which the pace of work is averaged, and its peak fades
FIRST_RESPONSE_MS = 200.0  # the time that a gateway's first response is taken to stand for
MAX_DELAY = 0.5  # share of the objective: longest expected delay for the highest priority ...
MAX_DELAY_SPAN = 0.2  # ... and by how much it is shorter for the lowest


class CapacityEstimator:
    """Estimates the capacity for this gateway's requests, and admits them by priority within it."""

    def __init__(self) -> None:
        self.capacity = math.inf  # quota units a second; infinite: nothing limits it
        self.demand: dict[float, float] = {}  # by priority: units a second in the last windows
        self.credit: dict[float, float] = {}  # by priority: admitted shares add up here to whole requests
        self._window_start_ms: float | None = None
        self._window_demand: dict[float, float] = {}  # by priority: units in this window
        self._latency_ratios: list[float] = []  # of this window's responses: duration against objective
        self._in_flight_ms = 0.0  # work in flight, ms of mean service time
        self._pace, self._peak_pace = 0.0, 0.0  # work completed, ms a second, and its recent peak
        self._completed_at_ms, self._first_completed_at_ms = 0.0, math.inf

    def attempt_started(self, attempt: Attempt) -> None:
        """Record an attempt in flight."""
        self._in_flight_ms += attempt.work_ms

    def attempt_completed(self, now_ms: float, attempt: Attempt, event: AttemptCompleted) -> None:
        """Learn from the outcome of an attempt."""
        self._in_flight_ms = max(0.0, self._in_flight_ms - attempt.work_ms)
        if event.outcome is CallOutcome.OK:
            elapsed_s = (now_ms - self._completed_at_ms) / 1000.0
            self._pace = self._pace * math.exp(-elapsed_s / PACE_WINDOW_S) + attempt.work_ms / PACE_WINDOW_S
            self._first_completed_at_ms = min(self._first_completed_at_ms, now_ms)
            observed_ms = now_ms - self._first_completed_at_ms + FIRST_RESPONSE_MS
            filled = 1.0 - math.exp(-observed_ms / (1000.0 * PACE_WINDOW_S))  # of the average, begun at 0
            self._peak_pace = max(self._pace / filled, self._peak_pace * math.exp(-elapsed_s / PEAK_DECAY_S))
            self._completed_at_ms = now_ms
        if event.outcome in (CallOutcome.OK, CallOutcome.TIMEOUT):
            objective_ms = attempt.pending.request_class.latency_objective_ms
            self._latency_ratios.append(event.duration_ms / objective_ms)

    def end_window(self, now_ms: float, in_flight: Iterable[Attempt]) -> None:
        """Renew the estimate if a window is over: it shrinks while responses are late, else it grows.

        Attempts in flight count by their age, or a fleet that hangs would look idle.
        """
        if self._window_start_ms is None:
            self._window_start_ms = now_ms
        elapsed_s = (now_ms - self._window_start_ms) / 1000.0
        enough = len(self._latency_ratios) >= MIN_RESPONSES or elapsed_s >= MAX_WINDOW_S
        if elapsed_s < MIN_WINDOW_S or not enough:
            return

        ratios = list(self._latency_ratios)
        for attempt in in_flight:
            age_ms = now_ms - attempt.started_at_ms
            ratios.append(age_ms / attempt.pending.request_class.latency_objective_ms)
        latency_ratio = sorted(ratios)[len(ratios) // 2] if ratios else 0.0  # a few slow servers don't count
        if latency_ratio > TARGET_LATENCY_RATIO:
            self.capacity = min(self.capacity, sum(self._window_demand.values()) / elapsed_s)
        # In proportion to the excess: what each gateway sees differs by chance, and the sum should not.
        self.capacity *= min(MAX_GROWTH, max(MAX_SHRINKAGE, 1.0 + TARGET_LATENCY_RATIO - latency_ratio))

        weight = min(1.0, len(self._latency_ratios) / (2.0 * MIN_RESPONSES))
        for priority in dict.fromkeys([*self.demand, *self._window_demand]):
            rate = self._window_demand.pop(priority, 0.0) / elapsed_s
            self.demand[priority] = self.demand.get(priority, rate) * (1.0 - weight) + rate * weight
        if self.capacity > UNLIMITED_MARGIN * sum(self.demand.values()):
            self.capacity = math.inf
        self._latency_ratios, self._window_start_ms = [], now_ms

    def admit(self, pending: PendingRequest, price: float, busy: bool) -> bool:
        """Whether the back end has capacity for a request; `busy`: the work in flight tells of the fleet."""
        priority, units = pending.request_class.priority_weight * price, pending.units
        self._window_demand[priority] = self._window_demand.get(priority, 0.0) + units
        higher = sum(rate for other, rate in self.demand.items() if other > priority)
        if busy and self._peak_pace > 0:
            # A surge fills the servers' queues long before late responses show it. The work in flight tells
            # how late a new response would be; low priorities give way first.
            delay_ms = self._in_flight_ms / self._peak_pace * 1000.0
            rank = higher / max(sum(self.demand.values()), 1e-9)
            if delay_ms > pending.request_class.latency_objective_ms * (MAX_DELAY - MAX_DELAY_SPAN * rank):
                return False
        if self.capacity == math.inf:
            return True

        share = (self.capacity - higher) / max(self.demand.get(priority, 0.0), 1e-9)
        credit = self.credit.get(priority, units) + min(1.0, max(0.0, share)) * units
        credit = min(2.0 * units, credit)
        admitted = credit >= units
        self.credit[priority] = credit - units if admitted else credit
        return admitted
