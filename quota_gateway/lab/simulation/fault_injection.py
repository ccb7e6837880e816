"""Injects the faults of an experiment at their scheduled times."""

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
    """Starts each fault at its time, and ends it after its duration."""

    def __init__(self, environment: Environment, gateways: list[SimulatedGateway]) -> None:
        self._environment = environment
        self._scheduler = environment.scheduler
        self._gateways = gateways

    def start(self) -> None:
        """Schedule all faults of the experiment."""
        for number, fault in enumerate(self._environment.experiment.faults):
            rng = random_stream(self._environment.seed, "fault", number)
            self._scheduler.schedule_at(START_MS + 1000.0 * fault.at_s, self._begin, fault, rng)

    def _begin(self, fault: FaultConfig, rng: Random) -> None:
        log.info("fault_injected", kind=fault.kind, at_s=fault.at_s, for_s=fault.duration_s)
        self._environment.metrics.log_lines[f"fault {fault.kind}"] += 1
        environment = self._environment
        duration_ms = 1000.0 * fault.duration_s
        schedule_after = self._scheduler.schedule_after
        match fault.kind:
            case "zone_isolated":
                environment.network.isolated_zones.add(fault.zone)
                schedule_after(duration_ms, self._heal_zone, fault.zone)
            case "regions_partitioned":
                environment.network.regions_partitioned = True
                schedule_after(duration_ms, setattr, environment.network, "regions_partitioned", False)
            case "discovery_unavailable":
                environment.discovery.stop()
                schedule_after(duration_ms, environment.discovery.start)
            case "counter_unavailable":
                environment.counter.silent = True
                schedule_after(duration_ms, setattr, environment.counter, "silent", False)
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
        """Apply a fault to some of the servers.

        The servers of a rack are consecutive in the fleet, so that a rack contains servers of every pool.
        """
        duration_ms = 1000.0 * fault.duration_s
        up = self._environment.servers.up()
        count = _affected_count(fault, len(up))
        if fault.kind == "rack_lost":
            first = rng.randrange(len(up)) if up else 0
            affected = [up[(first + i) % len(up)] for i in range(count)]
        else:
            affected = rng.sample(up, count)
        for number, server in enumerate(affected):
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
        """Stop a server, and schedule its restart, after which it warms up."""
        servers = self._environment.servers
        servers.stop(server, state)
        startup_ms = rng.uniform(*server.config.startup_ms)
        self._scheduler.schedule_after(duration_ms + startup_ms, servers.restart, server)

    def _replace_server(self, server: Server, rng: Random) -> None:
        """Drain a server, and start a successor with a new name."""
        if server.state is not ServerState.UP:
            return
        servers = self._environment.servers
        servers.drain(server)
        self._scheduler.schedule_after(server.config.drain_period_ms, self._end_drain, server)
        startup_ms = rng.uniform(*server.config.startup_ms)
        self._scheduler.schedule_after(startup_ms, servers.start_successor, server)

    def _end_drain(self, server: Server) -> None:
        """Stop a server at the end of its drain period, and count the requests that it has not completed."""
        unfinished = len(server.running) + len(server.queue)
        self._environment.metrics.violations[RuleViolation.CUT_BY_DRAIN] += unfinished
        self._environment.servers.stop(server, ServerState.DOWN)

    def _restart_gateways(self, fault: FaultConfig, rng: Random) -> None:
        """Kill gateways one after the other, and restart each of them after its downtime."""
        duration_ms = 1000.0 * fault.duration_s
        count = fault.count or max(1, round(fault.share * len(self._gateways)))
        for number, gateway in enumerate(rng.sample(self._gateways, min(count, len(self._gateways)))):
            delay_ms = duration_ms * number / max(1, count)
            downtime_ms = rng.uniform(*fault.downtime_ms)
            self._scheduler.schedule_after(delay_ms, gateway.kill)
            self._scheduler.schedule_after(delay_ms + downtime_ms, gateway.restart)

    def _begin_surge(self, fault: FaultConfig, rng: Random) -> None:
        """Raise the demand of some tenants for the duration of the fault."""
        tenants = [tenant for pool in self._environment.pools for tenant in pool.tenants]
        affected = rng.sample(tenants, _affected_count(fault, len(tenants)))
        self._scale_demand(affected, fault.factor)
        duration_ms = 1000.0 * fault.duration_s
        self._scheduler.schedule_after(duration_ms, self._scale_demand, affected, 1.0 / fault.factor)

    def _scale_demand(self, tenants: list[Tenant], factor: float) -> None:
        """Scale the demand of tenants; this takes effect with the next batch of arrivals."""
        for tenant in tenants:
            tenant.demand_per_s *= factor
        for pool in self._environment.pools:
            pool.update_demand()


def _affected_count(fault: FaultConfig, available: int) -> int:
    """Return how many of the available servers or tenants a fault affects."""
    return min(available, fault.count or max(1, round(fault.share * available)))
