"""A whole fleet in simulated time: builds the parties of an experiment and plays it."""

from __future__ import annotations

import gc
import resource
import time
from collections import Counter as Tally
from collections.abc import Callable
from typing import Any

import structlog

from quota_gateway.lab.simulation.clients import Clients, Pool, plans, tenants
from quota_gateway.lab.simulation.counter import Counter
from quota_gateway.lab.simulation.discovery import Service
from quota_gateway.lab.simulation.experiment import Experiment, zones
from quota_gateway.lab.simulation.fault_injection import Faults
from quota_gateway.lab.simulation.gateways import HollowGateway
from quota_gateway.lab.simulation.metrics import Books, Measured
from quota_gateway.lab.simulation.network import Network, Place
from quota_gateway.lab.simulation.scheduler import START_MS, Kernel, stream
from quota_gateway.lab.simulation.servers import Life, Server
from quota_gateway.policy_api.endpoints import EndpointUpdate, UpdateKind
from quota_gateway.settings import Idempotency, RequestClass, Settings, SlowStartSettings

TAIL_MS = 5000.0  # after the last arrival, until all is answered
STEP_MS = 500.0  # between two words on the progress
MAX_ATTEMPTS = 5  # brief 7.5
MAX_RETRY_AFTER_MS = 500.0  # WIRE settings, `max_retry_after_ms`
PAGE = resource.getpagesize()

log = structlog.get_logger()


def resident() -> int:
    """Bytes that this process holds in memory now."""
    with open("/proc/self/statm", encoding="ascii") as file:
        return int(file.read().split()[1]) * PAGE


class World:
    """All parties and the books."""

    def __init__(self, experiment: Experiment, seed: int) -> None:
        self.experiment = experiment
        self.seed = seed
        self.kernel = Kernel()
        self.books = Books()
        self.measured = Measured()
        self.network = Network(experiment.network, seed)
        self.places = [Place(zone, i % experiment.fleet.regions) for i, zone in enumerate(zones(experiment))]
        self.pools = [Pool() for _ in range(experiment.pools)]
        regions = experiment.fleet.regions
        machines = range(experiment.counter.machines)
        homes = [next(p for p in self.places if p.region == i % regions) for i in machines]
        self.counter = Counter(self.kernel, self.books, experiment.counter, homes, seed)
        self.service = Service(
            self.kernel, self.books, experiment.discovery, self.network, self.places[0], len(self.pools), seed
        )
        self.servers: dict[str, Server] = {}
        self.gateways: list[HollowGateway] = []
        self.memory: dict[str, int] = {"start": resident()}
        self.build_servers()
        self.build_tenants()
        self.memory["servers_and_tenants"] = resident()
        self.build_gateways()
        self.memory["gateways"] = resident()

    def place(self, pool: int, number: int) -> Place:
        """Where the member of a pool stands: a pool lies in one region, over all its zones in turn."""
        near = [p for p in self.places if p.region == pool % self.experiment.fleet.regions]
        return near[number % len(near)]

    def build_servers(self) -> None:
        """The servers that are there at the start, all warm."""
        self.pace = stream(self.seed, "servers").uniform(*self.experiment.servers.work_ms)
        for number in range(self.experiment.fleet.servers):
            pool = number % len(self.pools)
            server = self.new_server(self.place(pool, number // len(self.pools)), pool)
            self.service.add(pool, server.entry())

    def new_server(self, place: Place, pool: int) -> Server:
        """A machine under a name of its own."""
        figures = self.experiment.servers
        name = f"s-{len(self.servers):08x}"
        server = Server(self.kernel, self.books, figures, name, place, self.pace, pool)
        self.servers[name] = server
        return server

    def add_server(self, like: Server) -> None:
        """A new machine in the place of another starts, cold, and is listed."""
        server = self.new_server(like.place, like.pool)
        server.start()
        self.service.change(server.pool, server.entry())

    def build_tenants(self) -> None:
        """Tenants belong to the pools in turn."""
        made, counts = plans(self.experiment)
        self.plans = made
        for number, tenant in enumerate(tenants(self.experiment, made, counts, self.seed)):
            tenant.at = START_MS
            self.pools[number % len(self.pools)].tenants.append(tenant)

    def settings(self, place: Place, gateways: int, number: int) -> Settings:
        """What a gateway is told at its start; the figures are those of the experiment."""
        e = self.experiment
        f = e.servers
        return Settings(
            zone=place.zone,
            gateway_count=gateways,
            classes=(RequestClass("valuacion", e.clients.aim_ms, 1.0, Idempotency.IDEMPOTENT),),
            plans=self.plans,
            slow_start=SlowStartSettings(f.cold_share, f.warm_ms, f.overload_factor, f.overload_ms),
            max_attempts=MAX_ATTEMPTS,
            max_retry_after_ms=MAX_RETRY_AFTER_MS,
            counter_enabled=e.counter.on,
            counter_timeout_ms=e.counter.timeout_ms,
            gateway_index=number,
        )

    def build_gateways(self) -> None:
        """Gateways belong to the pools in turn, and know of their pool's gateways and servers only."""
        total, count = self.experiment.fleet.gateways, len(self.pools)
        lists = [
            EndpointUpdate(UpdateKind.CACHED_SNAPSHOT, tuple(roll.entries.values()))
            for roll in self.service.rolls
        ]
        for index in range(total):
            pool, number = index % count, index // count
            place = self.place(pool, number)
            among = (total - pool + count - 1) // count
            gateway = HollowGateway(self, index, place, pool, self.settings(place, among, number))
            self.gateways.append(gateway)
            self.pools[pool].gateways.append(gateway)
        for gateway in self.gateways:
            gateway.start(lists[gateway.pool_number], 0)

    def play(self, progress: Callable[[float], None] = lambda share: None) -> None:
        """Runs the experiment to its end; `progress` is told the share done."""
        lasts = 1000.0 * self.experiment.seconds
        self.clients = Clients(self.kernel, self.books, self.experiment, self.pools, self.seed)
        self.clients.start(START_MS + lasts)
        Faults(self).start()
        end = START_MS + lasts + TAIL_MS
        gc.collect()
        gc.freeze()  # what was built lives to the end
        thresholds = gc.get_threshold()
        gc.set_threshold(20_000, 20, 20)  # as the real program does
        wall, processor = time.perf_counter(), time.process_time()
        while self.kernel.now < end:
            self.kernel.run(min(end, self.kernel.now + STEP_MS))
            progress((self.kernel.now - START_MS) / (lasts + TAIL_MS))
        self.wall_s = time.perf_counter() - wall
        self.processor_s = time.process_time() - processor
        self.memory["end"] = resident()
        gc.unfreeze()
        gc.set_threshold(*thresholds)

    # --- figures ------------------------------------------------------------------------------------------

    def simulated(self) -> dict[str, Any]:
        """All that is the same on every machine for the same seed."""
        e, books = self.experiment, self.books
        out = books.report()
        now = sum(server.life is Life.UP for server in self.servers.values())
        busy = sum(server.busy_ms for server in self.servers.values())
        span = e.seconds * 1000.0
        service = books.service
        units = books.quota["units_inside"] + books.quota["units_beyond"]
        tries = max(1, service["tries"])
        per_gateway = 1.0 / (e.seconds + TAIL_MS / 1000.0) / e.fleet.gateways
        counter = books.calls.get("counter", Tally())

        def sizes(role: str) -> int:
            return sum(books.sizes.get(role, Tally()).values())

        out["rates"] = {
            "first_tries_per_s": round(service["first_tries"] / e.seconds, 2),
            "service": round(service["served_worth"] / max(1e-9, service["offered_worth"]), 4),
            "served_in_aim": round(service["served_in_aim"] / max(1, service["first_tries"]), 4),
            "over_quota_units": round(books.quota["units_beyond"] / max(1, units), 4),
            "refused_with_room": round(books.quota["refused_with_room"] / tries, 4),
            "counts_per_try": round(counter["calls"] / tries, 4),
            "counts_per_s_and_gateway": round(counter["calls"] * per_gateway, 4),
            "counter_bytes_per_s_and_gateway": round(sizes("counter") * per_gateway, 2),
            "discovery_bytes_per_s_and_gateway": round(sizes("discovery") * per_gateway, 2),
            "nearest_to_cold_fall": round(books.nearest_to_fall, 4),
            "servers_busy": round(busy / span / e.fleet.servers / e.servers.cores, 4),
            "discovery_busy": round(self.service.busy_ms / (span + TAIL_MS), 4),
        }
        out["world"] = {
            "pools": len(self.pools),
            "servers_up": now,
            "events": self.kernel.done,
            "tenants": sum(len(pool.tenants) for pool in self.pools),
            "work_ms": round(self.pace, 3),
            "counter_calls_per_s": round(self.counter.calls_per_s, 1),
            "counter_line_ms": round(self.counter.line_ms, 1),
        }
        return out

    def figures(self) -> dict[str, Any]:
        """What depends on the machine: processor time and memory."""
        m, gateways = self.memory, len(self.gateways)
        out = self.measured.report()
        requests = max(1, self.measured.events["Request"])
        out |= {
            "wall_s": round(self.wall_s, 2),
            "wall_ms_per_first_try": round(
                1000.0 * self.wall_s / max(1, self.books.service["first_tries"]), 4
            ),
            "processor_s": round(self.processor_s, 2),
            "events_per_s": round(self.kernel.done / max(1e-9, self.processor_s)),
            "module_ms_per_request": round(sum(self.measured.ns.values()) / 1e6 / requests, 4),
            "module_core_share_per_gateway": round(
                sum(self.measured.ns.values()) / 1e9 / self.experiment.seconds / gateways, 5
            ),
            "memory_mb": {key: round(value / 1e6, 1) for key, value in m.items()},
            "kb_per_gateway_at_start": round((m["gateways"] - m["servers_and_tenants"]) / gateways / 1e3, 1),
            "kb_per_gateway_at_end": round((m["end"] - m["servers_and_tenants"]) / gateways / 1e3, 1),
            "peak_mb": round(resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1e3, 1),
        }
        return out
