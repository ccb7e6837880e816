"""All servers of a run, including those that are added while it runs."""

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
    """Creates, starts and stops servers, and reports their changes to discovery.

    Attributes:
        by_name: servers by name, in the order of their creation.
        service_time_ms: mean work of a request on one core of a warm server, ms; the same for all servers.
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
        """Create the servers that exist at the start, all of them warm.

        Args:
            locate: returns a server's location, given its pool and its index in the pool.
        """
        pool_count = self._experiment.pool_count
        for index in range(self._experiment.fleet.servers):
            pool = index % pool_count
            number = index // pool_count
            server = self._create(locate(pool, number), pool)
            self._discovery.histories[pool].add_initial(server.endpoint())

    def up(self) -> list[Server]:
        """Return the servers in state UP, in the order of their creation."""
        return [server for server in self.by_name.values() if server.state is ServerState.UP]

    def start_successor(self, server: Server) -> None:
        """Start a new server, which then warms up, at the location and in the pool of another one."""
        successor = self._create(server.location, server.pool)
        successor.start()
        self._discovery.change(successor.pool, successor.endpoint())

    def restart(self, server: Server) -> None:
        """Restart a server that was stopped; it then warms up."""
        server.start()
        self._discovery.change(server.pool, server.endpoint())

    def drain(self, server: Server) -> None:
        """Start to drain a server: it completes its requests and rejects new ones."""
        server.state = ServerState.DRAINING
        self._discovery.change(server.pool, server.endpoint(EndpointState.DRAINING))

    def stop(self, server: Server, state: ServerState) -> None:
        """Stop a server; the state is DOWN or VANISHED."""
        server.stop(state)
        self._discovery.change(server.pool, server.endpoint(EndpointState.GONE))

    def _create(self, location: Location, pool: int) -> Server:
        name = f"s-{len(self.by_name):08x}"
        config = self._experiment.servers
        server = Server(self._scheduler, self._metrics, config, name, location, self.service_time_ms, pool)
        self.by_name[name] = server
        return server
