"""What goes wrong, at the moments that the experiment names."""

from __future__ import annotations

from typing import TYPE_CHECKING

import structlog

from quota_gateway.lab.simulation.experiment import Fault
from quota_gateway.lab.simulation.scheduler import START_MS, stream
from quota_gateway.lab.simulation.servers import Life, Server
from quota_gateway.policy_api.endpoints import EndpointState

if TYPE_CHECKING:
    from random import Random

    from quota_gateway.lab.simulation.clients import Tenant
    from quota_gateway.lab.simulation.simulation import World

log = structlog.get_logger()


class Faults:
    """Carries them out on a world."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.kernel = world.kernel

    def start(self) -> None:
        """Schedules all of them."""
        for number, fault in enumerate(self.world.experiment.faults):
            rng = stream(self.world.seed, "fault", number)
            self.kernel.at(START_MS + 1000.0 * fault.at_s, self.begin, fault, rng)

    def begin(self, fault: Fault, rng: Random) -> None:
        """One of them."""
        log.info("fault", kind=fault.kind, at_s=fault.at_s, for_s=fault.for_s)
        self.world.books.logs[f"fault {fault.kind}"] += 1
        lasts = 1000.0 * fault.for_s
        world, after = self.world, self.kernel.after
        match fault.kind:
            case "zone_cut":
                world.network.cut.add(fault.zone)
                after(lasts, self.heal, fault.zone)
            case "regions_apart":
                world.network.apart = True
                after(lasts, setattr, world.network, "apart", False)
            case "discovery_down":
                world.service.stop()
                after(lasts, world.service.start)
            case "counter_mute":
                world.counter.mute = True
                after(lasts, setattr, world.counter, "mute", False)
            case "counter_emptied":
                world.counter.empty()
            case "surge":
                self.surge(fault, rng, lasts)
            case "gateways_restarted":
                self.restarts(fault, rng, lasts)
            case _:
                self.servers(fault, rng, lasts)

    def heal(self, zone: str) -> None:
        """A zone is back."""
        self.world.network.heal(zone, self.kernel.now)

    def servers(self, fault: Fault, rng: Random, lasts: float) -> None:
        """Faults of some servers. A rack's stand in a row, so that a rack holds some of every pool."""
        up = [server for server in self.world.servers.values() if server.life is Life.UP]
        count = min(len(up), fault.count or max(1, round(fault.share * len(up))))
        if fault.kind == "rack_lost":
            begin = rng.randrange(len(up)) if up else 0
            hit = [up[(begin + i) % len(up)] for i in range(count)]
        else:
            hit = rng.sample(up, count)
        for number, server in enumerate(hit):
            match fault.kind:
                case "servers_hung":
                    server.life = Life.HUNG
                    self.kernel.after(lasts, server.resume)
                case "servers_crashed":
                    self.lose(server, Life.DOWN)
                    self.kernel.after(lasts + rng.uniform(*server.figures.start_ms), self.back, server)
                case "rack_lost":
                    self.lose(server, Life.VANISHED)
                    self.kernel.after(lasts + rng.uniform(*server.figures.start_ms), self.back, server)
                case "servers_replaced":
                    self.kernel.after(lasts * number / max(1, count), self.replace, server, rng)

    def lose(self, server: Server, life: Life) -> None:
        """A server is gone; discovery hears of it late."""
        server.stop(life)
        server.drains_at = self.kernel.now
        self.world.service.change(server.pool, server.entry(EndpointState.GONE))

    def back(self, server: Server) -> None:
        """A lost server is up again, cold."""
        server.start()
        self.world.service.change(server.pool, server.entry())

    def replace(self, server: Server, rng: Random) -> None:
        """A rolling replacement: the old one drains while a new one is started under a new name."""
        if server.life is not Life.UP:
            return
        server.life, server.drains_at = Life.DRAINING, self.kernel.now
        self.world.service.change(server.pool, server.entry(EndpointState.DRAINING))
        self.kernel.after(server.figures.drain_ms, self.drained, server)
        self.kernel.after(rng.uniform(*server.figures.start_ms), self.world.add_server, server)

    def drained(self, server: Server) -> None:
        """The time to complete what it has is up."""
        self.world.books.rules["cut_by_drain"] += len(server.running) + len(server.line)
        server.stop(Life.DOWN)
        self.world.service.change(server.pool, server.entry(EndpointState.GONE))

    def restarts(self, fault: Fault, rng: Random, lasts: float) -> None:
        """Gateways are killed and come back."""
        gateways = self.world.gateways
        count = fault.count or max(1, round(fault.share * len(gateways)))
        for number, gateway in enumerate(rng.sample(gateways, min(count, len(gateways)))):
            at, down = lasts * number / max(1, count), rng.uniform(*fault.down_ms)
            self.kernel.after(at, gateway.stop)
            self.kernel.after(at + down, gateway.restart)

    def surge(self, fault: Fault, rng: Random, lasts: float) -> None:
        """Some tenants ask for more, for a while."""
        tenants = [tenant for pool in self.world.pools for tenant in pool.tenants]
        count = min(len(tenants), fault.count or max(1, round(fault.share * len(tenants))))
        hit = rng.sample(tenants, count)
        self.scale(hit, fault.factor)
        self.kernel.after(lasts, self.scale, hit, 1.0 / fault.factor)

    def scale(self, tenants: list[Tenant], factor: float) -> None:
        """Changes what some tenants ask for, from the next batch of arrivals on."""
        for tenant in tenants:
            tenant.weight *= factor
        for pool in self.world.pools:
            self.world.clients.reweigh(pool)
