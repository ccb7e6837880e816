"""All servers, those that are added during a run too."""

from __future__ import annotations

from collections.abc import Callable

from quota_gateway.lab.simulation.discovery import DiscoveryService
from quota_gateway.lab.simulation.experiment import Experiment
from quota_gateway.lab.simulation.metrics import Metrics
from quota_gateway.lab.simulation.network import Location
from quota_gateway.lab.simulation.random_streams import random_stream
from quota_gateway.lab.simulation.scheduler import EventScheduler
from quota_gateway.lab.simulation.servers import Server, ServerState
from quota_gateway.policy_api.endpoints import EndpointState


class ServerFleet:
    """Servers by name, in the order of their making; their changes are made known to discovery.

    Attributes:
        service_time_ms: mean work of a request on one warm core, drawn once for all servers.
    """

    def __init__(
        self,
        scheduler: EventScheduler,
        metrics: Metrics,
        experiment: Experiment,
        discovery: DiscoveryService,
        seed: int,
    ) -> None:
        self.by_name: dict[str, Server] = {}
        self.service_time_ms = random_stream(seed, "servers").uniform(*experiment.servers.service_time_ms)
        self._scheduler = scheduler
        self._metrics = metrics
        self._experiment = experiment
        self._discovery = discovery

    def build(self, locate: Callable[[int, int], Location]) -> None:
        """Make the servers that are there at the start, all warm.

        Args:
            locate: gives the location of a pool's member by number.
        """
        pools = self._experiment.pool_count
        for index in range(self._experiment.fleet.servers):
            pool, number = index % pools, index // pools
            server = self._create(locate(pool, number), pool)
            self._discovery.histories[pool].add_initial(server.endpoint())

    def up(self) -> list[Server]:
        """Return the servers that work."""
        return [server for server in self.by_name.values() if server.state is ServerState.UP]

    def start_successor(self, server: Server) -> None:
        """Start a new server, which has to warm up, in the place of another."""
        successor = self._create(server.location, server.pool)
        successor.start()
        self._discovery.change(successor.pool, successor.endpoint())

    def restart(self, server: Server) -> None:
        """Start a lost server again; it has to warm up."""
        server.start()
        self._discovery.change(server.pool, server.endpoint())

    def drain(self, server: Server) -> None:
        """Let a server complete what it has."""
        server.state = ServerState.DRAINING
        self._discovery.change(server.pool, server.endpoint(EndpointState.DRAINING))

    def stop(self, server: Server, state: ServerState) -> None:
        """End a server's process."""
        server.stop(state)
        self._discovery.change(server.pool, server.endpoint(EndpointState.GONE))

    def _create(self, location: Location, pool: int) -> Server:
        name = f"s-{len(self.by_name):08x}"
        config = self._experiment.servers
        server = Server(self._scheduler, self._metrics, config, name, location, self.service_time_ms, pool)
        self.by_name[name] = server
        return server
