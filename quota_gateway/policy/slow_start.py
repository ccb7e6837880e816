"""Slow start: how much work servers that are warming up are sent, over all gateways together.

A server that has just started has a fraction of its capacity, and fails if it is sent too much for a while.
So it gets requests only in slow-start slots, from each gateway that has it in its subset. Their rates add up
to half of what would overload it, in quota units, as it is work that overloads; half is left to chance.
"""

import math
import random

from quota_gateway.policy.endpoints import EndpointIndex
from quota_gateway.policy_state.servers import Server
from quota_gateway.settings import Settings

BUDGET_SHARE = 0.5  # share of what overloads a server that all gateways together may send it
RATE_WINDOW_S = 3.0  # the rate of responses is averaged over this long
UNKNOWN_RATE_INTERVAL_S = 3.0  # while no rate is known, one request in so long from all gateways
MAX_IN_FLIGHT = 2  # attempts of this gateway at one server that is warming up
MIN_REQUESTS_PER_BUDGET = 6.0  # requests a budget holds at least for their sum to stay near its mean
MEAN_UNITS_SAMPLES = 20  # requests over which the mean size is taken
FASTER_WEIGHT = 0.2  # of a time per unit below the lowest known: responses are fast for one reason ...
SLOWER_WEIGHT = 0.005  # ... and slow for many, so that those above it count little


class SlowStart:
    """Opens slow-start slots by what this gateway sees of the warm servers of its subset."""

    def __init__(self, settings: Settings, rng: random.Random, endpoints: EndpointIndex) -> None:
        self._rules, self._gateway_count = settings.slow_start, settings.gateway_count
        self._rng = rng
        self._endpoints = endpoints
        self._mean_units, self._units_samples = 1.0, 0  # size of recent requests, quota units
        self._min_ms_per_unit = 0.0  # least recent duration of an attempt for a quota unit; 0: none known
        self.warm_rate = 0.0  # quota units a second that a warm server answers to this gateway
        self._next_warm_rate, self._rated_at_ms = 0.0, 0.0  # with the last response in it; when that came

    def attempt_started(self, now_ms: float, server: Server, units: float) -> None:
        """Learn the size of a request, and take it from the slot if its server is warming up."""
        self._units_samples = min(MEAN_UNITS_SAMPLES, self._units_samples + 1)
        self._mean_units += (units - self._mean_units) / self._units_samples
        if self._endpoints.warm_up_factor(server.endpoint, now_ms) < 1.0:
            server.slot_credit -= units

    def attempt_succeeded(self, now_ms: float, server: Server, duration_ms: float, units: float) -> None:
        """Learn from a response how much a warm server of the subset answers, and how fast.

        With servers that are warming up in it, the rate would raise itself and overload all of them.
        """
        if not server.in_subset or self._endpoints.warm_up_factor(server.endpoint, now_ms) < 1.0:
            return
        # The rate leaves this response out: with it in, gateways that seldom see one would think it too high.
        age_s = (now_ms - self._rated_at_ms) / 1000.0
        self.warm_rate = self._next_warm_rate * math.exp(-age_s / RATE_WINDOW_S)
        self._next_warm_rate = self.warm_rate + units / RATE_WINDOW_S / self._endpoints.warm_count(now_ms)
        self._rated_at_ms = now_ms

        known = self._min_ms_per_unit
        ms_per_unit = duration_ms / units if units > 0 else known
        weight = FASTER_WEIGHT if ms_per_unit < known else SLOWER_WEIGHT
        self._min_ms_per_unit = known + weight * (ms_per_unit - known) if known else ms_per_unit

    def slot_rate(self, factor: float) -> float:
        """Return the units a second for a server of that warm-up factor, with warm ones at their limit."""
        share = BUDGET_SHARE * self._rules.overload_factor * factor
        least = self._mean_units / UNKNOWN_RATE_INTERVAL_S / self._gateway_count
        return max(self.warm_rate * min(1.0, share), least)

    def schedule_slot(self, now_ms: float, server: Server) -> None:
        """Draw when a server's next slot opens; at random, as those of many gateways would coincide."""
        server.slot_credit = -self._mean_units * self._rng.expovariate(1.0)
        server.slot_credit_at_ms = now_ms

    def admits(self, now_ms: float, server: Server, factor: float, units: float) -> bool:
        """Whether a server that is warming up, by `factor` so far, may be sent a request now."""
        if not server.in_subset:
            return False
        rate = self.slot_rate(factor)
        server.slot_credit += rate * (now_ms - server.slot_credit_at_ms) / 1000.0
        server.slot_credit_at_ms = now_ms
        limit = rate * self._rules.overload_window_ms / 1000.0
        if server.slot_credit > limit:
            # Unused slots lapse, or a burst would use those of a whole lull; one may have opened since.
            self.schedule_slot(now_ms, server)
            server.slot_credit += limit
        if server.slot_credit < 0.0 or server.in_flight >= MAX_IN_FLIGHT:
            return False

        budget_ms = max(1.0, self._rules.overload_factor * factor * self._rules.overload_window_ms)
        share = units * self._min_ms_per_unit / budget_ms  # that the request takes, of a server with one core
        # What alone takes the half that is left to chance goes to a warm server, if there is one; so does
        # every request until a response has shown how much work a unit is.
        if (share > 1.0 - BUDGET_SHARE or not self._min_ms_per_unit) and self._endpoints.warm_count(now_ms):
            return False
        # Of large requests only some are admitted: the fewer fit, the further their sum strays from its mean,
        # as the square of what each takes.
        if (MIN_REQUESTS_PER_BUDGET * share) ** 2 * self._rng.random() > 1.0:
            self.schedule_slot(now_ms, server)
            return False
        return True
