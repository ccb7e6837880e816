"""The environment of the simulated gateways: all other components, the scheduler and the metrics."""

from __future__ import annotations

from dataclasses import dataclass

from quota_gateway.lab.simulation.clients import Clients
from quota_gateway.lab.simulation.counter import SharedCounter
from quota_gateway.lab.simulation.discovery import DiscoveryService
from quota_gateway.lab.simulation.experiment import Experiment
from quota_gateway.lab.simulation.metrics import Metrics, ProcessorTime
from quota_gateway.lab.simulation.network import Network
from quota_gateway.lab.simulation.quota_accounting import QuotaAccounting
from quota_gateway.lab.simulation.records import Pool
from quota_gateway.lab.simulation.scheduler import EventScheduler
from quota_gateway.lab.simulation.server_fleet import ServerFleet


@dataclass(frozen=True, slots=True)
class Environment:
    """The components that gateways and faults act on."""

    experiment: Experiment
    seed: int
    scheduler: EventScheduler
    metrics: Metrics
    processor_time: ProcessorTime
    network: Network
    servers: ServerFleet
    counter: SharedCounter
    discovery: DiscoveryService
    pools: list[Pool]
    quotas: QuotaAccounting
    clients: Clients
