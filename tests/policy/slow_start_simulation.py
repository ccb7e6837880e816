"""A simulation of many gateways before one fleet, of which one server is warming up.

The fleet answers every attempt on a simulated clock. A server works one request after another at its capacity
and rejects what would wait too long; while it is warming up, its capacity rises evenly to the full. The
result is the largest share of the bound that any overload window took. The bound is N + 2 x root of N + 2
requests of mean work, N being factor x capacity x window, with the capacity in the middle of that window.
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

CAPACITY = 20.0  # requests of mean work that a warm server answers in a second
LULL_MS = 4500.0
MAX_PLAY_MS = 9_500.0  # simulated from the start of the warming server on; or until it is warm
MAX_WAIT_MS = 300.0  # a server rejects what would wait longer than this
NETWORK_MS = 10.0  # there and back
FAILURE_MS = 2.0  # until a rejection or a refused connection is known
LATENCY_OBJECTIVE_MS = 400.0  # so that the gateways' first guess of the mean duration is about right
LEARNING_MS = 5_000.0  # of traffic before the warming server comes
MAX_LOAD = 10.0  # times the even load of one gateway: the most that a scenario names
CLASS_NAMES = ("read", "read", "order", "bid")
WARMING = "cold"  # id of the server that is warming up; ids decide who is in which subset

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
    """What the gateways meet. Times are ms since the start of the warming server."""

    gateway_count: int
    slow_start: SlowStartSettings
    warm_servers: int = 8
    load: Callable[[float, int], float] = lambda now_ms, gateway: 0.95  # of what the warm servers can do
    units: Callable[[random.Random, int], float] = lambda rng, gateway: 1.0
    mean_units: float = 1.0
    restarted: bool = False  # the gateways start with the warming server in their lists
    fails: Callable[[float, int], bool] = lambda now_ms, server: False  # whether a warm server fails


@dataclass
class ServerModel:
    """A server that works one request after another."""

    endpoint: Endpoint
    free_at_ms: float = 0.0


class SlowStartSimulation(SimulatedFleet):
    """Plays one scenario."""

    def __init__(self, scenario: Scenario, seed: int) -> None:
        settings = replace(
            SETTINGS,
            gateway_count=scenario.gateway_count,
            slow_start=scenario.slow_start,
            counter_enabled=False,
            max_pending_requests=100_000,
            classes=tuple(
                replace(each, latency_objective_ms=LATENCY_OBJECTIVE_MS) for each in SETTINGS.classes
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
        self.taken: list[tuple[float, float]] = []  # by the warming server: when, and work
        self.answered = 0.0  # work that the warming server completed
        self._request_ids = (f"r{i}" for i in itertools.count())
        warm = tuple(Endpoint(f"s{i}", "a") for i in range(scenario.warm_servers))
        warming = Endpoint(WARMING, "a", started_ms=self.started_ms)
        self.servers = {endpoint.server_id: ServerModel(endpoint) for endpoint in (*warm, warming)}
        cached = (*warm, warming) if scenario.restarted else warm
        for index in range(scenario.gateway_count):
            self.schedule(self.now_ms, index, EndpointUpdate(UpdateKind.CACHED_SNAPSHOT, cached))
            if not scenario.restarted:
                self.schedule(self.started_ms, index, EndpointUpdate(UpdateKind.DELTA, (warming,)))

    def play(self) -> None:
        """Play the scenario to its end."""
        end_ms = self.started_ms + min(MAX_PLAY_MS, 0.98 * self.scenario.slow_start.warm_up_ms)
        self._schedule_requests(end_ms)
        self.run_until(end_ms)

    def start_attempt(self, gateway: int, attempt: StartAttempt) -> None:
        server = self.servers[attempt.server_id]
        pending = self.gateways[gateway].pending[attempt.request_id]
        work = pending.units / self.scenario.mean_units
        warming = attempt.server_id == WARMING
        if warming:
            self.taken.append((self.now_ms, work))
        start_ms = max(self.now_ms, server.free_at_ms)
        finish_ms = start_ms + 1000.0 * work / CAPACITY / self._warm_up_factor(server.endpoint, self.now_ms)
        outcome, completed_ms = CallOutcome.OK, finish_ms + NETWORK_MS
        if not warming and self.scenario.fails(self.now_ms - self.started_ms, int(attempt.server_id[1:])):
            outcome, completed_ms = CallOutcome.UNREACHABLE, self.now_ms + FAILURE_MS
        elif start_ms - self.now_ms > MAX_WAIT_MS:
            outcome, completed_ms = CallOutcome.REJECTED, self.now_ms + FAILURE_MS
        else:
            server.free_at_ms = finish_ms
            self.answered += work if warming else 0.0
        if attempt.timeout_ms and completed_ms - self.now_ms > attempt.timeout_ms:
            outcome, completed_ms = CallOutcome.TIMEOUT, self.now_ms + attempt.timeout_ms
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
        """Return the largest share of the bound that any overload window took."""
        rules, peak = self.scenario.slow_start, 0.0
        window: deque[tuple[float, float]] = deque()
        total = 0.0
        for at_ms, work in self.taken:
            window.append((at_ms, work))
            total += work
            while window[0][0] <= at_ms - rules.overload_window_ms:
                total -= window.popleft()[1]
            middle_ms = at_ms - 0.5 * rules.overload_window_ms
            capacity = CAPACITY * self._warm_up_factor(self.servers[WARMING].endpoint, middle_ms)
            requests = rules.overload_factor * capacity * rules.overload_window_ms / 1000.0
            peak = max(peak, total / (requests + 2.0 * math.sqrt(requests) + 2.0))
        return peak

    def utilisation(self) -> float:
        """Return the share of what the warming server could do that it answered."""
        endpoint = self.servers[WARMING].endpoint
        first = self._warm_up_factor(endpoint, self.started_ms)
        mean = (first + self._warm_up_factor(endpoint, self.now_ms)) / 2.0
        return self.answered / (CAPACITY * mean * (self.now_ms - self.started_ms) / 1000.0)

    def _schedule_requests(self, end_ms: float) -> None:
        """Schedule Poisson arrivals at each gateway, by thinning of the highest rate that a load names."""
        scenario = self.scenario
        even = CAPACITY * scenario.warm_servers / scenario.gateway_count / 1000.0
        for gateway in range(scenario.gateway_count):
            at_ms = self.now_ms
            while (at_ms := at_ms + self.rng.expovariate(even * MAX_LOAD)) < end_ms:
                share = scenario.load(at_ms - self.started_ms, gateway) / MAX_LOAD
                assert share <= 1.0
                if self.rng.random() < share:
                    units = scenario.units(self.rng, gateway)
                    class_name = self.rng.choice(CLASS_NAMES)
                    request_id = next(self._request_ids)
                    request = Request(request_id, class_name, "none", f"c{gateway}", 2000.0, units)
                    self.schedule(at_ms, gateway, request)

    def _warm_up_factor(self, endpoint: Endpoint, at_ms: float) -> float:
        if not endpoint.started_ms:
            return 1.0
        rules = self.scenario.slow_start
        progress = (at_ms - endpoint.started_ms) / rules.warm_up_ms
        return min(1.0, rules.initial_capacity_share + (1.0 - rules.initial_capacity_share) * progress)


def some_fail(now_ms: float, server: int) -> bool:
    """From a second after the start, all but two of the warm servers are unreachable."""
    return now_ms > 1000.0 and server >= 2


def some_fail_after_lull(now_ms: float, server: int) -> bool:
    return now_ms > LULL_MS and server >= 2


def shift(now_ms: float, gateway: int) -> float:
    """From a second after the start, all requests go through one gateway in ten."""
    if now_ms < 1000.0:
        return 0.95
    return 9.5 if gateway % 10 == 0 else 0.0


def shift_back(now_ms: float, gateway: int) -> float:
    """One gateway in ten has all requests; then they spread again, to gateways that knew a busy time."""
    if now_ms < -2500.0 or now_ms > 3000.0:
        return 0.95
    return 9.5 if gateway % 10 == 0 else 0.0


def burst(now_ms: float, gateway: int) -> float:
    """Calm, then more than the warm servers can do."""
    return 0.25 if now_ms < 2000.0 else 1.6


def lull(now_ms: float, gateway: int) -> float:
    """Busy until the start, then a lull in which slots could gather, then a burst."""
    return 0.95 if now_ms < -500.0 else 0.05 if now_ms < LULL_MS else 1.6


def mixed_units(rng: random.Random, gateway: int) -> float:
    return 20.0 if rng.random() < 0.1 else 1.0


def seldom_huge_units(rng: random.Random, gateway: int) -> float:
    return 60.0 if rng.random() < 0.02 else 1.0


def units_by_gateway(rng: random.Random, gateway: int) -> float:
    """One gateway in ten (of two: the first) has the large requests."""
    return 20.0 if gateway % 10 == 0 else 1.0


LOADS = {"shift": shift, "back": shift_back, "burst": burst, "lull": lull}
UNITS = {"mixed": mixed_units, "huge": seldom_huge_units, "gateway": units_by_gateway}


def scenario_of(name: str, gateway_count: int, slow_start: SlowStartSettings) -> Scenario:
    """Return the scenario that the words of a name describe; a number is that of the warm servers."""
    scenario = Scenario(gateway_count, slow_start)
    mean_units = {"mixed": 2.9, "huge": 2.18, "gateway": 10.5 if gateway_count == 2 else 2.9}
    for word in name.split():
        if word in LOADS and (gateway_count > 2 or word not in ("shift", "back")):
            scenario.load = LOADS[word]
        elif word in UNITS:
            scenario.units, scenario.mean_units = UNITS[word], mean_units[word]
        elif word == "restart":
            scenario.restarted = True
        elif word == "failures":
            scenario.fails = some_fail_after_lull if "lull" in name else some_fail
        elif word.isdigit():
            scenario.warm_servers = int(word)
    return scenario


def play(
    name: str, gateway_count: int, slow_start: SlowStartSettings, seeds: int
) -> list[SlowStartSimulation]:
    """Play a scenario with seeds 0, 1, ...; return the simulations."""
    scenario = scenario_of(name, gateway_count, slow_start)
    simulations = [SlowStartSimulation(scenario, seed) for seed in range(seeds)]
    for simulation in simulations:
        simulation.play()
    return simulations
