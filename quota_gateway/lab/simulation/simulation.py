"""Builds all components of an experiment and runs them in simulated time."""

from __future__ import annotations

import gc
import resource
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

from quota_gateway.lab.simulation.arrivals import Arrivals
from quota_gateway.lab.simulation.clients import Clients
from quota_gateway.lab.simulation.counter import SharedCounter
from quota_gateway.lab.simulation.discovery import DiscoveryService
from quota_gateway.lab.simulation.environment import Environment
from quota_gateway.lab.simulation.experiment import Experiment
from quota_gateway.lab.simulation.fault_injection import FaultInjector
from quota_gateway.lab.simulation.gateways import REQUEST_CLASS, SimulatedGateway
from quota_gateway.lab.simulation.metrics import Metrics, ProcessorTime
from quota_gateway.lab.simulation.network import Location, Network
from quota_gateway.lab.simulation.quota_accounting import QuotaAccounting
from quota_gateway.lab.simulation.records import Pool
from quota_gateway.lab.simulation.scheduler import START_MS, EventScheduler
from quota_gateway.lab.simulation.server_fleet import ServerFleet
from quota_gateway.lab.simulation.tenants import build_plans, build_tenants
from quota_gateway.policy_api.endpoints import EndpointUpdate, UpdateKind
from quota_gateway.settings import Idempotency, Plan, RequestClass, Settings, SlowStartSettings

TAIL_MS = 5000.0  # Simulated time after the last arrival, in which all requests complete.
PROGRESS_INTERVAL_MS = 500.0  # Simulated time between two calls of `progress`.
MAX_ATTEMPTS = 5  # Largest number of attempts at servers for one attempt of a client.
MAX_RETRY_AFTER_MS = 500.0
GC_THRESHOLDS = (20_000, 20, 20)  # Must equal those of the gateway's process.
PAGE_BYTES = resource.getpagesize()


def resident_bytes() -> int:
    """Return the resident memory of this process, bytes."""
    with open("/proc/self/statm", encoding="ascii") as file:
        return int(file.read().split()[1]) * PAGE_BYTES


@dataclass(slots=True)
class RunCost:
    """Resources that a run used on this machine.

    Attributes:
        wall_s: elapsed time of the run.
        processor_s: processor time of the run.
        memory_bytes: resident memory by stage: "start" (nothing is built), "servers_and_tenants" and
            "gateways" (these are built), "end" (the run is complete).
    """

    wall_s: float = 0.0
    processor_s: float = 0.0
    memory_bytes: dict[str, int] = field(default_factory=dict)


class Simulation:
    """An experiment with all its components. The results are in `metrics`, `processor_time` and `cost`."""

    def __init__(self, experiment: Experiment, seed: int) -> None:
        self.experiment = experiment
        self.seed = seed
        self.cost = RunCost()
        self.cost.memory_bytes["start"] = resident_bytes()
        self.scheduler = EventScheduler()
        self.metrics = Metrics()
        self.processor_time = ProcessorTime()
        self.pools = [Pool() for _ in range(experiment.pool_count)]
        regions = experiment.fleet.regions
        self._locations = [Location(zone, i % regions) for i, zone in enumerate(experiment.zone_names)]
        self.environment = self._build_environment()
        self.network = self.environment.network
        self.discovery = self.environment.discovery
        self.servers = self.environment.servers
        self.plans = self._build_tenants()
        self.cost.memory_bytes["servers_and_tenants"] = resident_bytes()
        self.gateways = self._build_gateways()
        self.cost.memory_bytes["gateways"] = resident_bytes()

    def run(self, progress: Callable[[float], None] | None = None) -> None:
        """Run the experiment to its end.

        Args:
            progress: called every `PROGRESS_INTERVAL_MS` with the completed share of the run, 0 to 1.
        """
        environment = self.environment
        duration_ms = 1000.0 * self.experiment.duration_s
        arrivals = Arrivals(
            self.scheduler, environment.clients, environment.quotas, self.experiment, self.pools, self.seed
        )
        arrivals.start(START_MS + duration_ms)
        FaultInjector(environment, self.gateways).start()
        end = START_MS + duration_ms + TAIL_MS
        with _gateway_gc_settings():
            wall_start_s = time.perf_counter()
            processor_start_s = time.process_time()
            while self.scheduler.now < end:
                self.scheduler.run_until(min(end, self.scheduler.now + PROGRESS_INTERVAL_MS))
                if progress is not None:
                    progress((self.scheduler.now - START_MS) / (duration_ms + TAIL_MS))
            self.cost.wall_s = time.perf_counter() - wall_start_s
            self.cost.processor_s = time.process_time() - processor_start_s
            self.cost.memory_bytes["end"] = resident_bytes()

    def _location_of(self, pool: int, number: int) -> Location:
        """Return the location of a pool's member; a pool lies in one region, spread evenly over its zones."""
        region = pool % self.experiment.fleet.regions
        region_locations = [location for location in self._locations if location.region == region]
        return region_locations[number % len(region_locations)]

    def _build_environment(self) -> Environment:
        experiment = self.experiment
        seed = self.seed
        scheduler = self.scheduler
        metrics = self.metrics
        locations = self._locations
        network = Network(experiment.network, seed)
        regions = experiment.fleet.regions
        counter_locations = [
            next(location for location in locations if location.region == machine % regions)
            for machine in range(experiment.counter.machines)
        ]
        discovery = DiscoveryService(
            scheduler, metrics, experiment.discovery, network, locations[0], experiment.pool_count, seed
        )
        servers = ServerFleet(scheduler, metrics, experiment, discovery, seed)
        servers.build(self._location_of)
        quotas = QuotaAccounting(scheduler, metrics)
        return Environment(
            experiment=experiment,
            seed=seed,
            scheduler=scheduler,
            metrics=metrics,
            processor_time=self.processor_time,
            network=network,
            servers=servers,
            counter=SharedCounter(scheduler, metrics, experiment.counter, counter_locations, seed),
            discovery=discovery,
            pools=self.pools,
            quotas=quotas,
            clients=Clients(scheduler, metrics, experiment, quotas, seed),
        )

    def _build_tenants(self) -> tuple[Plan, ...]:
        """Distribute the tenants over the pools round-robin, and return their plans."""
        plans = build_plans(self.experiment)
        for number, tenant in enumerate(build_tenants(self.experiment, plans, self.seed)):
            tenant.refilled_at = START_MS
            self.pools[number % len(self.pools)].tenants.append(tenant)
        return tuple(plan_tenants.plan for plan_tenants in plans)

    def _build_gateways(self) -> list[SimulatedGateway]:
        """Distribute the gateways over the pools round-robin, and start them with the initial lists."""
        total = self.experiment.fleet.gateways
        pool_count = len(self.pools)
        gateways = []
        for index in range(total):
            pool = index % pool_count
            number = index // pool_count
            location = self._location_of(pool, number)
            gateways_in_pool = (total - pool + pool_count - 1) // pool_count
            settings = self._settings(location, gateways_in_pool, number)
            gateway = SimulatedGateway(self.environment, index, location, pool, settings)
            gateways.append(gateway)
            self.pools[pool].gateways.append(gateway)
        initial_lists = [
            EndpointUpdate(UpdateKind.CACHED_SNAPSHOT, tuple(history.current.values()))
            for history in self.discovery.histories
        ]
        for gateway in gateways:
            gateway.start(initial_lists[gateway.pool_number], 0)
        return gateways

    def _settings(self, location: Location, gateway_count: int, number: int) -> Settings:
        """Return the settings of a gateway, with the figures of the experiment.

        Args:
            location: zone and region of the gateway.
            gateway_count: number of gateways in its pool.
            number: index of the gateway in its pool.
        """
        experiment = self.experiment
        servers = self.experiment.servers
        latency_objective_ms = experiment.clients.latency_objective_ms
        return Settings(
            zone=location.zone,
            gateway_count=gateway_count,
            classes=(RequestClass(REQUEST_CLASS, latency_objective_ms, 1.0, Idempotency.IDEMPOTENT),),
            plans=self.plans,
            slow_start=SlowStartSettings(
                servers.initial_capacity_share,
                servers.warm_up_ms,
                servers.overload_factor,
                servers.overload_window_ms,
            ),
            max_attempts=MAX_ATTEMPTS,
            max_retry_after_ms=MAX_RETRY_AFTER_MS,
            counter_enabled=experiment.counter.enabled,
            counter_timeout_ms=experiment.counter.timeout_ms,
            gateway_index=number,
        )


@contextmanager
def _gateway_gc_settings() -> Iterator[None]:
    """Use the garbage collector settings of the gateway's process.

    All objects built so far are frozen, so that no collection traverses them.
    """
    gc.collect()
    gc.freeze()
    thresholds = gc.get_threshold()
    gc.set_threshold(*GC_THRESHOLDS)
    try:
        yield
    finally:
        gc.unfreeze()
        gc.set_threshold(*thresholds)
