"""A simulation of many gateways in front of one fleet in which one server is warming up.

The fleet answers every attempt on a simulated clock. A server processes one request after another at its
capacity and rejects requests that would wait too long. While a server is warming up, its capacity rises
linearly to its full capacity.

The main result is the peak load of the warming server: the largest ratio of the work sent to it within one
overload window to a bound. The bound is N + 2 x sqrt(N) + 2 requests of mean work. N is the product of the
overload factor, the length of the overload window and the capacity in the middle of the window.
"""

from __future__ import annotations

import itertools
import math
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, replace

from quota_gateway.policy.gateway import Gateway
from quota_gateway.policy_api.actions import StartAttempt
from quota_gateway.policy_api.endpoints import Endpoint, EndpointUpdate, UpdateKind
from quota_gateway.policy_api.events import AttemptCompleted, CallOutcome, Request
from quota_gateway.settings import SlowStartSettings
from tests.policy.scripted_host import SETTINGS
from tests.policy.simulated_fleet import SimulatedFleet

# Capacity of a warm server, in requests of mean work per second.
CAPACITY = 20.0
# End of the lull in the scenarios that have one, counted from the start of the warming server.
LULL_END_MS = 4500.0
# Longest simulated time from the start of the warming server; a simulation also ends before it is warm.
MAX_SIMULATED_MS = 9_500.0
# Longest wait at a server: it rejects requests that would wait longer.
MAX_WAIT_MS = 300.0
# Round-trip time between a gateway and a server.
ROUND_TRIP_MS = 10.0
# Time until a gateway learns about a rejection or a refused connection.
FAILURE_MS = 2.0
# Latency objective with which the initial mean duration of the gateways is close to the real one.
LATENCY_OBJECTIVE_MS = 400.0
# Time of traffic before the warming server starts.
LEARNING_MS = 5_000.0
# Highest load of a gateway in any scenario, as a multiple of an even share of the warm servers' capacity.
MAX_LOAD = 10.0
CLASS_NAMES = ("read", "read", "order", "bid")
# Id of the server that is warming up. Subsets depend on ids, so a change of the id changes the results.
WARMING = "cold"

SLOW_START_SETTINGS = {
    "short": SlowStartSettings(
        initial_capacity_share=0.25, warm_up_ms=10_000.0, overload_factor=2.0, overload_window_ms=1000.0
    ),
    "slow": SlowStartSettings(
        initial_capacity_share=0.2, warm_up_ms=60_000.0, overload_factor=2.0, overload_window_ms=1000.0
    ),
    "long": SlowStartSettings(
        initial_capacity_share=0.2, warm_up_ms=15_000.0, overload_factor=3.0, overload_window_ms=2500.0
    ),
}


@dataclass
class Scenario:
    """Traffic and failures of one simulation. Times are ms since the start of the warming server."""

    gateway_count: int
    slow_start: SlowStartSettings
    warm_servers: int = 8
    # Load of a gateway at a time, as a multiple of an even share of the capacity of the warm servers.
    load: Callable[[float, int], float] = lambda now_ms, gateway: 0.95
    # Size of a request of a gateway, in quota units.
    units: Callable[[random.Random, int], float] = lambda rng, gateway: 1.0
    mean_units: float = 1.0
    restarted: bool = False  # whether the gateways start with the warming server in their lists
    # Whether a warm server, by its number, is unreachable at a time.
    is_failing: Callable[[float, int], bool] = lambda now_ms, server: False


@dataclass
class ServerModel:
    """A server that processes one request after another."""

    endpoint: Endpoint
    free_at_ms: float = 0.0  # when the accepted requests are completed


class SlowStartSimulation(SimulatedFleet):
    """The simulation of one scenario."""

    def __init__(self, scenario: Scenario, seed: int) -> None:
        settings = replace(
            SETTINGS,
            gateway_count=scenario.gateway_count,
            slow_start=scenario.slow_start,
            counter_enabled=False,
            max_pending_requests=100_000,
            classes=tuple(
                replace(request_class, latency_objective_ms=LATENCY_OBJECTIVE_MS)
                for request_class in SETTINGS.classes
            ),
        )
        gateways = [
            Gateway(replace(settings, gateway_index=index), seed=seed * 1000 + index)
            for index in range(scenario.gateway_count)
        ]
        super().__init__(gateways, now_ms=1000.0)
        self.scenario = scenario
        self.rng = random.Random(seed)
        self.started_ms = self.now_ms if scenario.restarted else self.now_ms + LEARNING_MS
        # Time and work of each attempt at the warming server; the unit of work is the mean work of a request.
        self.attempts_at_warming: list[tuple[float, float]] = []
        self.completed_work = 0.0  # work that the warming server completes
        self._request_ids = (f"r{i}" for i in itertools.count())
        warm = tuple(Endpoint(f"s{i}", "a") for i in range(scenario.warm_servers))
        warming = Endpoint(WARMING, "a", started_ms=self.started_ms)
        self.servers = {endpoint.server_id: ServerModel(endpoint) for endpoint in (*warm, warming)}
        initial_list = (*warm, warming) if scenario.restarted else warm
        for index in range(scenario.gateway_count):
            self.schedule(self.now_ms, index, EndpointUpdate(UpdateKind.CACHED_SNAPSHOT, initial_list))
            if not scenario.restarted:
                self.schedule(self.started_ms, index, EndpointUpdate(UpdateKind.DELTA, (warming,)))

    def play(self) -> None:
        """Simulate the scenario to its end."""
        end_ms = self.started_ms + min(MAX_SIMULATED_MS, 0.98 * self.scenario.slow_start.warm_up_ms)
        self._schedule_requests(end_ms)
        self.run_until(end_ms)

    def start_attempt(self, gateway: int, attempt: StartAttempt) -> None:
        """Let the server process or reject an attempt and schedule its completion."""
        server = self.servers[attempt.server_id]
        pending = self.gateways[gateway].pending[attempt.request_id]
        work = pending.units / self.scenario.mean_units
        warming = attempt.server_id == WARMING
        if warming:
            self.attempts_at_warming.append((self.now_ms, work))
        start_ms = max(self.now_ms, server.free_at_ms)
        finish_ms = start_ms + 1000.0 * work / CAPACITY / self._warm_up_factor(server.endpoint, self.now_ms)
        outcome = CallOutcome.OK
        completed_ms = finish_ms + ROUND_TRIP_MS
        if not warming and self.scenario.is_failing(
            self.now_ms - self.started_ms, int(attempt.server_id[1:])
        ):
            outcome = CallOutcome.UNREACHABLE
            completed_ms = self.now_ms + FAILURE_MS
        elif start_ms - self.now_ms > MAX_WAIT_MS:
            outcome = CallOutcome.REJECTED
            completed_ms = self.now_ms + FAILURE_MS
        else:
            server.free_at_ms = finish_ms
            self.completed_work += work if warming else 0.0
        if attempt.timeout_ms and completed_ms - self.now_ms > attempt.timeout_ms:
            outcome = CallOutcome.TIMEOUT
            completed_ms = self.now_ms + attempt.timeout_ms
        completed = AttemptCompleted(
            attempt.request_id,
            pending.attempts - 1,
            attempt.server_id,
            outcome,
            completed_ms - self.now_ms,
            request_completed=outcome is CallOutcome.OK,
        )
        self.schedule(completed_ms, gateway, completed)

    def peak_load(self) -> float:
        """Return the largest ratio of the work sent in an overload window to the bound of that window."""
        rules = self.scenario.slow_start
        peak = 0.0
        window: deque[tuple[float, float]] = deque()
        window_work = 0.0
        for at_ms, work in self.attempts_at_warming:
            window.append((at_ms, work))
            window_work += work
            while window[0][0] <= at_ms - rules.overload_window_ms:
                window_work -= window.popleft()[1]
            middle_ms = at_ms - 0.5 * rules.overload_window_ms
            capacity = CAPACITY * self._warm_up_factor(self.servers[WARMING].endpoint, middle_ms)
            overload_requests = rules.overload_factor * capacity * rules.overload_window_ms / 1000.0
            bound = overload_requests + 2.0 * math.sqrt(overload_requests) + 2.0
            peak = max(peak, window_work / bound)
        return peak

    def utilisation(self) -> float:
        """Return the work that the warming server completed as a share of its capacity over the time."""
        endpoint = self.servers[WARMING].endpoint
        first_factor = self._warm_up_factor(endpoint, self.started_ms)
        mean_factor = (first_factor + self._warm_up_factor(endpoint, self.now_ms)) / 2.0
        return self.completed_work / (CAPACITY * mean_factor * (self.now_ms - self.started_ms) / 1000.0)

    def _schedule_requests(self, end_ms: float) -> None:
        """Schedule Poisson arrivals at each gateway by thinning arrivals at `MAX_LOAD`."""
        scenario = self.scenario
        even_rate = CAPACITY * scenario.warm_servers / scenario.gateway_count / 1000.0
        for gateway in range(scenario.gateway_count):
            at_ms = self.now_ms
            while (at_ms := at_ms + self.rng.expovariate(even_rate * MAX_LOAD)) < end_ms:
                probability = scenario.load(at_ms - self.started_ms, gateway) / MAX_LOAD
                assert probability <= 1.0
                if self.rng.random() < probability:
                    units = scenario.units(self.rng, gateway)
                    class_name = self.rng.choice(CLASS_NAMES)
                    request_id = next(self._request_ids)
                    request = Request(request_id, class_name, "none", f"c{gateway}", 2000.0, units)
                    self.schedule(at_ms, gateway, request)

    def _warm_up_factor(self, endpoint: Endpoint, at_ms: float) -> float:
        """Return the share of its full capacity that a server has at a time."""
        if not endpoint.started_ms:
            return 1.0
        rules = self.scenario.slow_start
        progress = (at_ms - endpoint.started_ms) / rules.warm_up_ms
        return min(1.0, rules.initial_capacity_share + (1.0 - rules.initial_capacity_share) * progress)


def most_fail(now_ms: float, server: int) -> bool:
    """All but two of the warm servers are unreachable from one second after the start."""
    return now_ms > 1000.0 and server >= 2


def most_fail_after_lull(now_ms: float, server: int) -> bool:
    """All but two of the warm servers are unreachable from the end of the lull on."""
    return now_ms > LULL_END_MS and server >= 2


def shift_load(now_ms: float, gateway: int) -> float:
    """All requests go through one gateway in ten from one second after the start."""
    if now_ms < 1000.0:
        return 0.95
    return 9.5 if gateway % 10 == 0 else 0.0


def shift_back_load(now_ms: float, gateway: int) -> float:
    """All requests go through one gateway in ten for a while, then through all gateways again.

    The other gateways then still know the rates of a busy time.
    """
    if now_ms < -2500.0 or now_ms > 3000.0:
        return 0.95
    return 9.5 if gateway % 10 == 0 else 0.0


def burst_load(now_ms: float, gateway: int) -> float:
    """A low load, then more than the capacity of the warm servers."""
    return 0.25 if now_ms < 2000.0 else 1.6


def lull_load(now_ms: float, gateway: int) -> float:
    """A high load until the start, then a lull in which slots could accumulate, then a burst."""
    return 0.95 if now_ms < -500.0 else 0.05 if now_ms < LULL_END_MS else 1.6


def mixed_units(rng: random.Random, gateway: int) -> float:
    """One request in ten is large."""
    return 20.0 if rng.random() < 0.1 else 1.0


def rarely_huge_units(rng: random.Random, gateway: int) -> float:
    """Two requests in a hundred are very large."""
    return 60.0 if rng.random() < 0.02 else 1.0


def units_by_gateway(rng: random.Random, gateway: int) -> float:
    """One gateway in ten has only large requests; of two gateways it is the first."""
    return 20.0 if gateway % 10 == 0 else 1.0


LOADS = {"shift": shift_load, "back": shift_back_load, "burst": burst_load, "lull": lull_load}
UNITS = {"mixed": mixed_units, "huge": rarely_huge_units, "gateway": units_by_gateway}


def scenario_of(name: str, gateway_count: int, slow_start: SlowStartSettings) -> Scenario:
    """Return the scenario that the words of a name describe. A number sets the number of warm servers."""
    scenario = Scenario(gateway_count, slow_start)
    mean_units = {"mixed": 2.9, "huge": 2.18, "gateway": 10.5 if gateway_count == 2 else 2.9}
    for word in name.split():
        if word in LOADS and (gateway_count > 2 or word not in ("shift", "back")):
            scenario.load = LOADS[word]
        elif word in UNITS:
            scenario.units = UNITS[word]
            scenario.mean_units = mean_units[word]
        elif word == "restart":
            scenario.restarted = True
        elif word == "failures":
            scenario.is_failing = most_fail_after_lull if "lull" in name else most_fail
        elif word.isdigit():
            scenario.warm_servers = int(word)
    return scenario


def play(
    name: str, gateway_count: int, slow_start: SlowStartSettings, seeds: int
) -> list[SlowStartSimulation]:
    """Simulate a scenario with the seeds 0, 1 and so on; return the finished simulations."""
    scenario = scenario_of(name, gateway_count, slow_start)
    simulations = [SlowStartSimulation(scenario, seed) for seed in range(seeds)]
    for simulation in simulations:
        simulation.play()
    return simulations
