"""Injects the experiment's faults at their moments."""

from __future__ import annotations

from random import Random

import structlog

from quota_gateway.lab.simulation.environment import Environment
from quota_gateway.lab.simulation.experiment import FaultConfig
from quota_gateway.lab.simulation.gateways import SimulatedGateway
from quota_gateway.lab.simulation.metrics import RuleViolation
from quota_gateway.lab.simulation.random_streams import random_stream
from quota_gateway.lab.simulation.records import Tenant
from quota_gateway.lab.simulation.scheduler import START_MS
from quota_gateway.lab.simulation.servers import Server, ServerState

log = structlog.get_logger()


class FaultInjector:
    """Begins each fault, and ends it after its duration."""

    def __init__(self, environment: Environment, gateways: list[SimulatedGateway]) -> None:
        self._environment = environment
        self._scheduler = environment.scheduler
        self._gateways = gateways

    def start(self) -> None:
        """Schedule all faults."""
        for number, fault in enumerate(self._environment.experiment.faults):
            rng = random_stream(self._environment.seed, "fault", number)
            self._scheduler.schedule_at(START_MS + 1000.0 * fault.at_s, self._begin, fault, rng)

    def _begin(self, fault: FaultConfig, rng: Random) -> None:
        log.info("fault_injected", kind=fault.kind, at_s=fault.at_s, for_s=fault.duration_s)
        self._environment.metrics.log_lines[f"fault {fault.kind}"] += 1
        environment = self._environment
        duration_ms, later = 1000.0 * fault.duration_s, self._scheduler.schedule_after
        match fault.kind:
            case "zone_isolated":
                environment.network.isolated_zones.add(fault.zone)
                later(duration_ms, self._heal_zone, fault.zone)
            case "regions_partitioned":
                environment.network.regions_partitioned = True
                later(duration_ms, setattr, environment.network, "regions_partitioned", False)
            case "discovery_unavailable":
                environment.discovery.stop()
                later(duration_ms, environment.discovery.start)
            case "counter_unavailable":
                environment.counter.silent = True
                later(duration_ms, setattr, environment.counter, "silent", False)
            case "counter_cleared":
                environment.counter.clear()
            case "demand_surge":
                self._begin_surge(fault, rng)
            case "gateways_restarted":
                self._restart_gateways(fault, rng)
            case _:
                self._begin_server_fault(fault, rng)

    def _heal_zone(self, zone: str) -> None:
        self._environment.network.heal_zone(zone, self._scheduler.now)

    def _begin_server_fault(self, fault: FaultConfig, rng: Random) -> None:
        """Hit some servers. A rack's servers stand in a row, so that a rack holds some of every pool."""
        duration_ms = 1000.0 * fault.duration_s
        up = self._environment.servers.up()
        count = _hit_count(fault, len(up))
        if fault.kind == "rack_lost":
            first = rng.randrange(len(up)) if up else 0
            hit = [up[(first + i) % len(up)] for i in range(count)]
        else:
            hit = rng.sample(up, count)
        for number, server in enumerate(hit):
            match fault.kind:
                case "servers_hung":
                    server.state = ServerState.HUNG
                    self._scheduler.schedule_after(duration_ms, server.resume)
                case "servers_crashed":
                    self._lose_server(server, ServerState.DOWN, duration_ms, rng)
                case "rack_lost":
                    self._lose_server(server, ServerState.VANISHED, duration_ms, rng)
                case "servers_replaced":
                    delay_ms = duration_ms * number / max(1, count)
                    self._scheduler.schedule_after(delay_ms, self._replace_server, server, rng)

    def _lose_server(self, server: Server, state: ServerState, duration_ms: float, rng: Random) -> None:
        """End a server's process; it is back after a while and has to warm up."""
        servers = self._environment.servers
        servers.stop(server, state)
        startup_ms = rng.uniform(*server.config.startup_ms)
        self._scheduler.schedule_after(duration_ms + startup_ms, servers.restart, server)

    def _replace_server(self, server: Server, rng: Random) -> None:
        """Replace a server: it drains while its successor starts under a new name."""
        if server.state is not ServerState.UP:
            return
        servers = self._environment.servers
        servers.drain(server)
        self._scheduler.schedule_after(server.config.drain_period_ms, self._end_drain, server)
        startup_ms = rng.uniform(*server.config.startup_ms)
        self._scheduler.schedule_after(startup_ms, servers.start_successor, server)

    def _end_drain(self, server: Server) -> None:
        """End the time that a server has to complete what it holds."""
        cut = len(server.running) + len(server.queue)
        self._environment.metrics.violations[RuleViolation.CUT_BY_DRAIN] += cut
        self._environment.servers.stop(server, ServerState.DOWN)

    def _restart_gateways(self, fault: FaultConfig, rng: Random) -> None:
        """Kill gateways, one after the other, and start each again."""
        duration_ms = 1000.0 * fault.duration_s
        count = fault.count or max(1, round(fault.share * len(self._gateways)))
        for number, gateway in enumerate(rng.sample(self._gateways, min(count, len(self._gateways)))):
            delay_ms = duration_ms * number / max(1, count)
            downtime_ms = rng.uniform(*fault.downtime_ms)
            self._scheduler.schedule_after(delay_ms, gateway.kill)
            self._scheduler.schedule_after(delay_ms + downtime_ms, gateway.restart)

    def _begin_surge(self, fault: FaultConfig, rng: Random) -> None:
        """Raise the demand of some tenants for a while."""
        tenants = [tenant for pool in self._environment.pools for tenant in pool.tenants]
        hit = rng.sample(tenants, _hit_count(fault, len(tenants)))
        self._scale_demand(hit, fault.factor)
        duration_ms = 1000.0 * fault.duration_s
        self._scheduler.schedule_after(duration_ms, self._scale_demand, hit, 1.0 / fault.factor)

    def _scale_demand(self, tenants: list[Tenant], factor: float) -> None:
        """Change tenants' demand, from the next batch of arrivals on."""
        for tenant in tenants:
            tenant.demand_per_s *= factor
        for pool in self._environment.pools:
            pool.update_demand()


def _hit_count(fault: FaultConfig, available: int) -> int:
    return min(available, fault.count or max(1, round(fault.share * available)))
