"""Records that the models of clients and of gateways share, and what a client needs of a gateway."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Protocol

import numpy as np
import numpy.typing as npt

from quota_gateway.lab.simulation.servers import Server, ServerTask
from quota_gateway.settings import Plan

FloatArray = npt.NDArray[np.float64]


class ClientFacingGateway(Protocol):
    """A gateway as clients see it.

    Attributes:
        alive: whether its process runs.
        ready_at: when a restarted gateway takes requests again, ms.
        failure_noticed_at: when clients notice that it has died, ms.
    """

    alive: bool
    ready_at: float
    failure_noticed_at: float

    def accept(self, attempt: ClientAttempt) -> None:
        """Take a client's attempt."""

    def disconnect(self, attempt: ClientAttempt) -> None:
        """Note that the client of an attempt has gone."""


@dataclass(slots=True, eq=False)
class Tenant:
    """A customer, with the true state of its quota: an attempt counts when it is first forwarded (BENCH)."""

    key: str
    plan: Plan
    first_gateway: int  # of its gateways in the pool ...
    gateway_count: int  # ... and how many follow, counted round
    weight_seed: int  # moves the weights of its gateways
    weight_shift_ms: float  # they move on after this
    demand_per_s: float  # first attempts
    quota_level: float  # units in its token bucket
    hard_limit_level: float  # units left below the hard limit
    reference_level: float  # token bucket of one gateway that sees all first attempts, the reference (BENCH)
    refilled_at: float
    spike_demand_per_s: float = 0.0  # during a spike; 0: it has none

    def refill(self, now: float) -> None:
        """Bring the levels up to a moment, ms."""
        elapsed_s = (now - self.refilled_at) / 1000.0
        plan = self.plan
        self.refilled_at = now
        self.quota_level = min(plan.burst, self.quota_level + plan.rate * elapsed_s)
        self.reference_level = min(plan.burst, self.reference_level + plan.rate * elapsed_s)
        hard_limit_level = self.hard_limit_level + plan.hard_limit_rate * elapsed_s
        self.hard_limit_level = min(plan.hard_limit_burst, hard_limit_level)


@dataclass(slots=True)
class Pool:
    """Tenants and gateways that share an endpoint list."""

    tenants: list[Tenant] = field(default_factory=list)
    gateways: list[ClientFacingGateway] = field(default_factory=list)
    cumulative_shares: FloatArray = field(default_factory=lambda: np.zeros(0))  # of the demand, by tenant
    demand_per_s: float = 0.0

    def update_demand(self) -> None:
        """Follow a change of tenants' demand."""
        demands = np.array([tenant.demand_per_s for tenant in self.tenants])
        self.demand_per_s = float(demands.sum())
        self.cumulative_shares = np.cumsum(demands) / max(self.demand_per_s, 1e-12)


@dataclass(frozen=True, slots=True, eq=False)
class ClientRequest:
    """What a client wants, over all its attempts."""

    pool: Pool
    tenant: Tenant
    units: float
    work: float  # in mean requests
    first_attempt_at: float


@dataclass(slots=True, eq=False)
class ClientAttempt:
    """One attempt of a client, with its own request id, deadline and single answer."""

    request_id: str
    request: ClientRequest
    retries: int  # before it; 0: the first attempt
    arrived_at: float
    deadline: float
    gateway: ClientFacingGateway | None = None
    server_attempts: int = 0  # made for it by the gateway so far
    current: ServerAttempt | None = None  # in flight
    forwarded: bool = False
    within_quota: bool = False  # when it was first forwarded
    closed: bool = False  # answered, or nobody waits for it any more
    closed_at: float = 0.0
    wait_recorded: bool = False  # it was forwarded or rejected
    waiting_ns: int = 0  # processor time of the policy before that, if it had to wait


@dataclass(slots=True, eq=False)
class ServerAttempt:
    """An attempt of a gateway at a server."""

    client_attempt: ClientAttempt
    number: int
    server: Server
    sent_at: float
    task: ServerTask | None = None
    in_flight: bool = True
