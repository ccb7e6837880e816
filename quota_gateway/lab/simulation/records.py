"""Records that the models of clients and gateways share, and the interface of a gateway to clients."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Protocol

import numpy as np
import numpy.typing as npt

from quota_gateway.lab.simulation.servers import Server, ServerTask
from quota_gateway.settings import Plan

FloatArray = npt.NDArray[np.float64]


class ClientFacingGateway(Protocol):
    """A gateway as seen by clients and their load balancer.

    Attributes:
        alive: whether its process runs.
        ready_at: time from which a restarted gateway accepts requests, ms.
        failure_noticed_at: time at which the load balancer notices that the process was killed, ms.
    """

    alive: bool
    ready_at: float
    failure_noticed_at: float

    def accept(self, attempt: ClientAttempt) -> None:
        """Accept a client's attempt."""

    def disconnect(self, attempt: ClientAttempt) -> None:
        """Close an attempt whose client disconnected or timed out."""


@dataclass(slots=True, eq=False)
class Tenant:
    """A customer, its demand and the true state of its quota.

    Attributes:
        key: identifies the customer in requests.
        first_gateway: index of the first of its gateways, to be taken modulo the gateways of the pool.
        gateway_count: number of its gateways, which are consecutive in the pool.
        weight_seed: determines which of its gateways gets the largest weight at which time.
        weight_shift_ms: interval at which the weights are rotated among its gateways.
        demand_per_s: first attempts per second.
        quota_level: units in the token bucket of the quota; an attempt counts when it is first forwarded.
        hard_limit_level: units in the token bucket of the hard limit; negative while the limit is exceeded.
        reference_level: units in the token bucket of a reference gateway that would see all first attempts.
        refilled_at: time of the last refill, ms.
        spike_demand_per_s: first attempts per second during a spike; 0 for a tenant without spikes.
    """

    key: str
    plan: Plan
    first_gateway: int
    gateway_count: int
    weight_seed: int
    weight_shift_ms: float
    demand_per_s: float
    quota_level: float
    hard_limit_level: float
    reference_level: float
    refilled_at: float
    spike_demand_per_s: float = 0.0

    def refill(self, now: float) -> None:
        """Refill the token buckets for the time since the last refill."""
        elapsed_s = (now - self.refilled_at) / 1000.0
        plan = self.plan
        self.refilled_at = now
        self.quota_level = min(plan.burst, self.quota_level + plan.rate * elapsed_s)
        self.reference_level = min(plan.burst, self.reference_level + plan.rate * elapsed_s)
        hard_limit_level = self.hard_limit_level + plan.hard_limit_rate * elapsed_s
        self.hard_limit_level = min(plan.hard_limit_burst, hard_limit_level)


@dataclass(slots=True)
class Pool:
    """Tenants and gateways that share an endpoint list.

    Attributes:
        cumulative_shares: cumulative shares of the pool's demand by tenant, in the order of `tenants`.
        demand_per_s: first attempts per second of all tenants together.
    """

    tenants: list[Tenant] = field(default_factory=list)
    gateways: list[ClientFacingGateway] = field(default_factory=list)
    cumulative_shares: FloatArray = field(default_factory=lambda: np.zeros(0))
    demand_per_s: float = 0.0

    def update_demand(self) -> None:
        """Recompute the pool's demand after a change of its tenants' demand."""
        demands = np.array([tenant.demand_per_s for tenant in self.tenants])
        self.demand_per_s = float(demands.sum())
        self.cumulative_shares = np.cumsum(demands) / max(self.demand_per_s, 1e-12)


@dataclass(frozen=True, slots=True, eq=False)
class ClientRequest:
    """A request of a client, which all its attempts share.

    Attributes:
        work: work at a server, as a multiple of the work of a mean request.
        first_attempt_at: time of the first attempt, ms.
    """

    pool: Pool
    tenant: Tenant
    units: float
    work: float
    first_attempt_at: float


@dataclass(slots=True, eq=False)
class ClientAttempt:
    """One attempt of a client, with its own request id, its own deadline and at most one answer.

    Attributes:
        retries: number of attempts before this one; 0 for the first attempt.
        arrived_at: time of arrival at the gateway, ms.
        deadline: time at which the client stops waiting, ms.
        server_attempts: number of attempts at servers that the gateway has made for it.
        current: the attempt at a server that is in flight.
        forwarded: whether it was forwarded to a server at least once.
        within_quota: whether it was within the customer's quota when it was first forwarded.
        closed: whether it was answered or abandoned by the client.
        closed_at: time at which it was closed, ms.
        wait_recorded: whether its wait was recorded, at its first forwarding or its rejection.
        waiting_ns: processor time of the policy for its `Request` event, ns; 0 until all actions for that
            event are carried out.
    """

    request_id: str
    request: ClientRequest
    retries: int
    arrived_at: float
    deadline: float
    gateway: ClientFacingGateway | None = None
    server_attempts: int = 0
    current: ServerAttempt | None = None
    forwarded: bool = False
    within_quota: bool = False
    closed: bool = False
    closed_at: float = 0.0
    wait_recorded: bool = False
    waiting_ns: int = 0


@dataclass(slots=True, eq=False)
class ServerAttempt:
    """An attempt of a gateway at a server.

    Attributes:
        number: index among the attempts for the same client attempt, from 0.
        sent_at: time at which the policy started it, ms.
        task: the request at the server; None before it is sent and after the attempt completed.
        in_flight: whether the attempt has not completed yet.
    """

    client_attempt: ClientAttempt
    number: int
    server: Server
    sent_at: float
    task: ServerTask | None = None
    in_flight: bool = True
