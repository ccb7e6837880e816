"""Slow start: limits the work that all gateways together send to a server that is warming up.

A server that has just started has a fraction of its capacity, and fails if it is sent too much work over the
overload window. Each gateway with the server in its subset therefore sends requests to it only in slow-start
slots. The slots of all gateways together have a budget of half the work that would overload the server; the
other half is a safety margin for random arrivals. Slots are counted in quota units, not in requests, because
a server is overloaded by work.
"""

import math
import random

from quota_gateway.policy.endpoints import EndpointIndex
from quota_gateway.policy_state.servers import Server
from quota_gateway.settings import Settings

# Budget of all gateways together, as a share of the work that overloads a server.
BUDGET_SHARE = 0.5
# Time constant of the moving average of the response rate.
RATE_WINDOW_S = 3.0
# Mean interval between requests from all gateways together to a warming server while no response rate is
# known. At any known rate, slots are at least as frequent.
UNKNOWN_RATE_INTERVAL_S = 3.0
# Maximum number of attempts of this gateway in flight at one server that is warming up.
MAX_WARMING_IN_FLIGHT = 2
# A request is admitted in every open slot if it takes at least this many of its size to overload the server:
# the total work of that many stays near its mean.
MIN_REQUESTS_TO_OVERLOAD = 6.0
# Requests over which the mean request size is taken.
MEAN_UNITS_SAMPLES = 20
# Weight of a time per unit below the current minimum: a response is fast only if its units take little work.
FASTER_WEIGHT = 0.2
# Weight of a time per unit above the current minimum. It is small because a response can be slow for many
# reasons other than its work, such as queueing.
SLOWER_WEIGHT = 0.005


class SlowStart:
    """Opens slow-start slots at a rate derived from the responses of the warm servers of the subset."""

    def __init__(self, settings: Settings, rng: random.Random, endpoints: EndpointIndex) -> None:
        self._rules = settings.slow_start
        self._gateway_count = settings.gateway_count
        self._rng = rng
        self._endpoints = endpoints
        self._mean_units = 1.0  # mean size of recent requests, quota units
        self._units_samples = 0  # number of requests in that mean
        # Recent minimum duration of an attempt per quota unit; 0 while none is known.
        self._min_ms_per_unit = 0.0
        # Quota units per second that one warm server answers to this gateway, without the last response.
        self.warm_rate = 0.0
        self._next_warm_rate = 0.0  # rate at the last response, including that response
        self._last_response_ms = 0.0  # Unix time of the last response

    def attempt_started(self, now_ms: float, server: Server, units: float) -> None:
        """Update the mean request size; deduct the request from the slot credit of a warming server."""
        self._units_samples = min(MEAN_UNITS_SAMPLES, self._units_samples + 1)
        self._mean_units += (units - self._mean_units) / self._units_samples
        if self._endpoints.warm_up_factor(server.endpoint, now_ms) < 1.0:
            server.slot_credit -= units

    def attempt_succeeded(self, now_ms: float, server: Server, duration_ms: float, units: float) -> None:
        """Update the rate and the minimum time per unit from a response of a warm server of the subset.

        Responses of servers that are warming up are ignored. They are sent requests at a rate derived from
        this one, so that counting them would raise the rate in a feedback loop and overload these servers.
        """
        if not server.in_subset or self._endpoints.warm_up_factor(server.endpoint, now_ms) < 1.0:
            return
        # The rate excludes this response: a moving average that is read just after a response and includes it
        # is too high, most of all in gateways that see few responses.
        age_s = (now_ms - self._last_response_ms) / 1000.0
        self.warm_rate = self._next_warm_rate * math.exp(-age_s / RATE_WINDOW_S)
        self._next_warm_rate = self.warm_rate + units / RATE_WINDOW_S / self._endpoints.warm_count(now_ms)
        self._last_response_ms = now_ms

        minimum = self._min_ms_per_unit
        ms_per_unit = duration_ms / units if units > 0 else minimum
        weight = FASTER_WEIGHT if ms_per_unit < minimum else SLOWER_WEIGHT
        self._min_ms_per_unit = minimum + weight * (ms_per_unit - minimum) if minimum else ms_per_unit

    def slot_rate(self, factor: float) -> float:
        """Return the slot rate of a server with this warm-up factor, in quota units per second.

        Summed over all gateways, the rate of a warm server is at most its capacity. The slots of all gateways
        therefore stay within the budget, also while the warm servers work at full capacity.
        """
        share_of_warm_rate = BUDGET_SHARE * self._rules.overload_factor * factor
        min_rate = self._mean_units / UNKNOWN_RATE_INTERVAL_S / self._gateway_count
        return max(self.warm_rate * min(1.0, share_of_warm_rate), min_rate)

    def schedule_slot(self, now_ms: float, server: Server) -> None:
        """Schedule the next slot of a server at random, so that the slots of many gateways don't coincide."""
        server.slot_credit = -self._mean_units * self._rng.expovariate(1.0)
        server.slot_credit_at_ms = now_ms

    def admits(self, now_ms: float, server: Server, factor: float, units: float) -> bool:
        """Return whether a warming server may be sent a request now.

        `factor` is its warm-up factor and `units` the size of the request. The slot credit of the server is
        updated.
        """
        if not server.in_subset:
            return False
        rate = self.slot_rate(factor)
        server.slot_credit += rate * (now_ms - server.slot_credit_at_ms) / 1000.0
        server.slot_credit_at_ms = now_ms
        max_credit = rate * self._rules.overload_window_ms / 1000.0
        if server.slot_credit > max_credit:
            # Unused slots expire after an overload window; otherwise a burst could use the slots of a whole
            # lull. The next slot is scheduled from the start of the window, so it may already be open.
            self.schedule_slot(now_ms, server)
            server.slot_credit += max_credit
        if server.slot_credit < 0.0 or server.in_flight >= MAX_WARMING_IN_FLIGHT:
            return False

        overload_work_ms = max(1.0, self._rules.overload_factor * factor * self._rules.overload_window_ms)
        # The work of this request as a share of the work that overloads a server with one core.
        share = units * self._min_ms_per_unit / overload_work_ms
        # A request that exceeds the safety margin by itself goes to a warm server if there is one. So does
        # every request until a response has shown how much work a unit takes.
        if (share > 1.0 - BUDGET_SHARE or not self._min_ms_per_unit) and self._endpoints.warm_count(now_ms):
            return False
        # Large requests are admitted with a probability that falls with the square of their share: the fewer
        # requests it takes to overload the server, the more their total work varies around its mean.
        if (MIN_REQUESTS_TO_OVERLOAD * share) ** 2 * self._rng.random() > 1.0:
            self.schedule_slot(now_ms, server)
            return False
        return True
