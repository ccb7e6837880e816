"""A whole fleet in simulated time: builds the parties of an experiment and runs it."""

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

TAIL_MS = 5000.0  # after the last arrival, until all is answered
PROGRESS_INTERVAL_MS = 500.0  # simulated time between two reports of progress
MAX_ATTEMPTS = 5  # brief 7.5
MAX_RETRY_AFTER_MS = 500.0  # WIRE settings, `max_retry_after_ms`
GC_THRESHOLDS = (20_000, 20, 20)  # as in the gateway's process
PAGE_BYTES = resource.getpagesize()


def resident_bytes() -> int:
    """Return the resident memory of this process."""
    with open("/proc/self/statm", encoding="ascii") as file:
        return int(file.read().split()[1]) * PAGE_BYTES


@dataclass(slots=True)
class RunCost:
    """What a run took on this machine.

    Attributes:
        memory_bytes: resident memory by stage: start, servers_and_tenants, gateways (built), end.
    """

    wall_s: float = 0.0
    processor_s: float = 0.0
    memory_bytes: dict[str, int] = field(default_factory=dict)


class Simulation:
    """All parties of an experiment; its figures are in `metrics`, `processor_time` and `cost`."""

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
        """Run the experiment to its end; `progress` is called with the share of it that is done."""
        environment, duration_ms = self.environment, 1000.0 * self.experiment.duration_s
        arrivals = Arrivals(
            self.scheduler, environment.clients, environment.quotas, self.experiment, self.pools, self.seed
        )
        arrivals.start(START_MS + duration_ms)
        FaultInjector(environment, self.gateways).start()
        end = START_MS + duration_ms + TAIL_MS
        with _gateway_gc_settings():
            wall, processor = time.perf_counter(), time.process_time()
            while self.scheduler.now < end:
                self.scheduler.run_until(min(end, self.scheduler.now + PROGRESS_INTERVAL_MS))
                if progress is not None:
                    progress((self.scheduler.now - START_MS) / (duration_ms + TAIL_MS))
            self.cost.wall_s = time.perf_counter() - wall
            self.cost.processor_s = time.process_time() - processor
            self.cost.memory_bytes["end"] = resident_bytes()

    def _location_of(self, pool: int, number: int) -> Location:
        """Return where the member of a pool stands: a pool lies in one region, over all its zones in turn."""
        region = pool % self.experiment.fleet.regions
        in_region = [location for location in self._locations if location.region == region]
        return in_region[number % len(in_region)]

    def _build_environment(self) -> Environment:
        experiment, seed = self.experiment, self.seed
        scheduler, metrics, locations = self.scheduler, self.metrics, self._locations
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
        """Spread the tenants over the pools in turn, and return their plans."""
        plans = build_plans(self.experiment)
        for number, tenant in enumerate(build_tenants(self.experiment, plans, self.seed)):
            tenant.refilled_at = START_MS
            self.pools[number % len(self.pools)].tenants.append(tenant)
        return tuple(each.plan for each in plans)

    def _build_gateways(self) -> list[SimulatedGateway]:
        """Spread the gateways over the pools in turn, and start them with the lists of the start."""
        total, pool_count = self.experiment.fleet.gateways, len(self.pools)
        gateways = []
        for index in range(total):
            pool, number = index % pool_count, index // pool_count
            location = self._location_of(pool, number)
            in_pool = (total - pool + pool_count - 1) // pool_count
            settings = self._settings(location, in_pool, number)
            gateway = SimulatedGateway(self.environment, index, location, pool, settings)
            gateways.append(gateway)
            self.pools[pool].gateways.append(gateway)
        cached = [
            EndpointUpdate(UpdateKind.CACHED_SNAPSHOT, tuple(history.current.values()))
            for history in self.discovery.histories
        ]
        for gateway in gateways:
            gateway.start(cached[gateway.pool_number], 0)
        return gateways

    def _settings(self, location: Location, gateway_count: int, number: int) -> Settings:
        """Return the settings of a gateway; the figures are those of the experiment."""
        experiment, servers = self.experiment, self.experiment.servers
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
    """Set the garbage collector as in the gateway's process; what was built is never freed."""
    gc.collect()
    gc.freeze()
    thresholds = gc.get_threshold()
    gc.set_threshold(*GC_THRESHOLDS)
    try:
        yield
    finally:
        gc.unfreeze()
        gc.set_threshold(*thresholds)
