"""Capacity of the back end: an estimate from the responses seen here, and admission by priority within it.

Servers do not report their capacity. It is inferred from two signals: the durations of responses relative to
their latency objectives, and this gateway's work in flight relative to the pace at which work completes.

Admission is greedy, in descending order of priority, which is the weight of the request class times the
price of the plan.
"""

import math
from collections.abc import Collection

from quota_gateway.policy_api.events import AttemptCompleted, CallOutcome
from quota_gateway.policy_state.requests import Attempt, PendingRequest

# A window of the estimate lasts at least MIN_WINDOW_S. It then ends once it has MIN_RESPONSES, or after
# MAX_WINDOW_S without them.
MIN_WINDOW_S = 1.0
MAX_WINDOW_S = 4.0
MIN_RESPONSES = 8

# A latency ratio is the duration of a response relative to its latency objective. The estimate shrinks while
# the median ratio is above this target, so that an overloaded back end settles at it.
TARGET_LATENCY_RATIO = 0.5
# Bounds of the factor by which one window changes the estimate. They are tight because the latencies of one
# window say little about those of the next.
MAX_CHANGE_FACTOR = 1.2
MIN_CHANGE_FACTOR = 0.7
# Lower bound of the estimate in requests of mean size. Without requests there are no responses that could
# show that the back end has recovered.
MIN_CAPACITY_REQUESTS_PER_S = 1.0
# Weight of a request in the moving mean of the units of a request.
MEAN_UNITS_WEIGHT = 0.05
# Multiple of the demand above which the capacity estimate no longer limits and becomes infinite.
UNLIMITED_DEMAND_FACTOR = 3.0

PACE_WINDOW_S = 2.0  # time constant of the moving average of the pace
PEAK_PACE_DECAY_S = 8.0  # time constant with which the peak of the pace decays
FIRST_RESPONSE_SPAN_MS = 200.0  # time over which the work of a gateway's first response is averaged
MAX_DELAY_SHARE = 0.5  # longest expected delay for the highest priority, as a share of the latency objective
LOW_PRIORITY_DELAY_CUT = 0.2  # reduction of that share for the lowest priority


class CapacityEstimator:
    """Estimates the capacity for this gateway's requests, and admits them by priority within it."""

    def __init__(self) -> None:
        self.capacity = math.inf  # quota units per second; infinite while nothing limits it
        self.demand: dict[float, float] = {}  # moving average, units per second; keys are priorities
        # Credit in units; keys are priorities. Each request adds the admitted share of its units, and each
        # admitted request takes its units, so that this share of the requests is admitted.
        self.credit: dict[float, float] = {}
        self._window_start_ms: float | None = None
        self._window_demand: dict[float, float] = {}  # demand of the present window, units
        self._window_requests = 0  # requests in the present window
        self._mean_units: float | None = None  # moving mean of the units of a request; None before the first
        self._latency_ratios: list[float] = []  # one for each response in the present window
        self._in_flight_ms = 0.0  # work in flight, as the sum of mean service times
        self._pace = 0.0  # moving average of completed work, ms of mean service time per second
        self._peak_pace = 0.0  # decaying peak of the pace
        self._completed_at_ms = 0.0  # last success
        self._first_completed_at_ms = math.inf  # first success

    def attempt_started(self, attempt: Attempt) -> None:
        """Add the work of an attempt to the work in flight."""
        self._in_flight_ms += attempt.work_ms

    def attempt_completed(self, now_ms: float, attempt: Attempt, event: AttemptCompleted) -> None:
        """Update the work in flight, the pace and the latency ratios from the outcome of an attempt."""
        self._in_flight_ms = max(0.0, self._in_flight_ms - attempt.work_ms)
        if event.outcome is CallOutcome.OK:
            elapsed_s = (now_ms - self._completed_at_ms) / 1000.0
            self._pace = self._pace * math.exp(-elapsed_s / PACE_WINDOW_S) + attempt.work_ms / PACE_WINDOW_S
            self._first_completed_at_ms = min(self._first_completed_at_ms, now_ms)
            observed_ms = now_ms - self._first_completed_at_ms + FIRST_RESPONSE_SPAN_MS
            # The moving average starts at 0. Dividing by the weight observed so far removes that bias.
            observed_weight = 1.0 - math.exp(-observed_ms / (1000.0 * PACE_WINDOW_S))
            decayed_peak = self._peak_pace * math.exp(-elapsed_s / PEAK_PACE_DECAY_S)
            self._peak_pace = max(self._pace / observed_weight, decayed_peak)
            self._completed_at_ms = now_ms
        if event.outcome in (CallOutcome.OK, CallOutcome.TIMEOUT):
            objective_ms = attempt.pending.request_class.latency_objective_ms
            self._latency_ratios.append(event.duration_ms / objective_ms)

    def end_window(self, now_ms: float, in_flight: Collection[Attempt]) -> None:
        """Update the estimate if the window is over: it shrinks while responses are late, else it grows.

        Attempts in flight count with their age so far. Without them, a fleet whose servers all hang would
        look idle.
        """
        if self._window_start_ms is None:
            self._window_start_ms = now_ms
        elapsed_s = (now_ms - self._window_start_ms) / 1000.0
        any_responses = bool(self._latency_ratios or in_flight)
        if not self._window_is_over(elapsed_s, any_responses):
            return

        ratios = list(self._latency_ratios)
        for attempt in in_flight:
            age_ms = now_ms - attempt.started_at_ms
            ratios.append(age_ms / attempt.pending.request_class.latency_objective_ms)
        # The median, so that a few slow servers do not matter.
        latency_ratio = sorted(ratios)[len(ratios) // 2] if ratios else 0.0
        self._update_capacity(latency_ratio, elapsed_s)
        self._update_demand(elapsed_s, any_responses)
        if self.capacity > UNLIMITED_DEMAND_FACTOR * sum(self.demand.values()):
            self.capacity = math.inf
        self._latency_ratios = []
        self._window_requests = 0
        self._window_start_ms = now_ms

    def _window_is_over(self, elapsed_s: float, any_responses: bool) -> bool:
        """Return whether the present window has lasted for long enough."""
        if elapsed_s < MIN_WINDOW_S:
            return False
        # Waiting for responses is of no use if all requests of the window were rejected.
        all_rejected = not any_responses and self._window_requests >= MIN_RESPONSES
        return len(self._latency_ratios) >= MIN_RESPONSES or elapsed_s >= MAX_WINDOW_S or all_rejected

    def _update_capacity(self, latency_ratio: float, elapsed_s: float) -> None:
        """Lower or raise the estimate by the median latency ratio of a window.

        Late responses show that the back end can't serve the demand that caused them. That is the demand of
        this window or, if its responses belong to earlier requests, the mean demand before it.
        """
        if latency_ratio > TARGET_LATENCY_RATIO:
            demand = max(sum(self._window_demand.values()) / elapsed_s, sum(self.demand.values()))
            self.capacity = min(self.capacity, demand)
        # The change is proportional to the excess, so that the random differences between the gateways'
        # observations average out in the sum of their estimates.
        change_factor = 1.0 + TARGET_LATENCY_RATIO - latency_ratio
        change_factor = min(MAX_CHANGE_FACTOR, max(MIN_CHANGE_FACTOR, change_factor))
        if change_factor > 1.0 and len(self._latency_ratios) < MIN_RESPONSES:
            # The window was long because the estimate admitted so little. The growth is that of the shorter
            # windows in its place.
            change_factor **= elapsed_s / MIN_WINDOW_S
        self.capacity = max(self.capacity * change_factor, self._min_capacity())

    def _min_capacity(self) -> float:
        """Return the lower bound of the estimate in units per second."""
        return MIN_CAPACITY_REQUESTS_PER_S * (self._mean_units or 1.0)

    def _update_demand(self, elapsed_s: float, any_responses: bool) -> None:
        """Update the moving averages of the demand at the end of a window."""
        # The fewer responses a window has, the less its demand counts. If nothing was admitted, its requests
        # count: the averages would otherwise never follow the demand again.
        evidence = len(self._latency_ratios) if any_responses else self._window_requests
        weight = min(1.0, evidence / (2.0 * MIN_RESPONSES))
        for priority in dict.fromkeys([*self.demand, *self._window_demand]):
            rate = self._window_demand.pop(priority, 0.0) / elapsed_s
            self.demand[priority] = self.demand.get(priority, rate) * (1.0 - weight) + rate * weight

    def admit(self, pending: PendingRequest, price: float, enough_in_flight: bool) -> bool:
        """Whether the back end has capacity for a request.

        `price` is that of the customer's plan. `enough_in_flight` says that the gateway has enough attempts
        in flight for them to show the load of the fleet.
        """
        priority = pending.request_class.priority_weight * price
        units = pending.units
        self._window_demand[priority] = self._window_demand.get(priority, 0.0) + units
        self._window_requests += 1
        mean_units = units if self._mean_units is None else self._mean_units
        self._mean_units = mean_units + MEAN_UNITS_WEIGHT * (units - mean_units)
        higher_demand = sum(rate for key, rate in self.demand.items() if key > priority)
        if enough_in_flight and self._peak_pace > 0:
            # A surge fills the queues of the servers long before late responses show it. The work in flight
            # predicts the delay of a new response. Low priorities have a lower bound and are rejected first.
            delay_ms = self._in_flight_ms / self._peak_pace * 1000.0
            rank = higher_demand / max(sum(self.demand.values()), 1e-9)  # 0 for the highest priority
            max_delay_share = MAX_DELAY_SHARE - LOW_PRIORITY_DELAY_CUT * rank
            if delay_ms > pending.request_class.latency_objective_ms * max_delay_share:
                return False
        if self.capacity == math.inf:
            return True

        admitted_share = (self.capacity - higher_demand) / max(self.demand.get(priority, 0.0), 1e-9)
        credit = self.credit.get(priority, units) + min(1.0, max(0.0, admitted_share)) * units
        credit = min(2.0 * units, credit)
        admitted = credit >= units
        self.credit[priority] = credit - units if admitted else credit
        return admitted
