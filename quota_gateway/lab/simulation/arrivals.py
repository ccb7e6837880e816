"""Arrivals of clients' first attempts: one Poisson process per pool, with spikes of single tenants."""

from __future__ import annotations

from dataclasses import dataclass

import numpy as np

from quota_gateway.lab.simulation.clients import Clients
from quota_gateway.lab.simulation.experiment import Experiment
from quota_gateway.lab.simulation.quota_accounting import QuotaAccounting
from quota_gateway.lab.simulation.random_streams import numpy_stream, random_stream
from quota_gateway.lab.simulation.records import ClientRequest, Pool, Tenant
from quota_gateway.lab.simulation.scheduler import EventScheduler
from quota_gateway.lab.simulation.tenants import mean_units, unit_shares

BATCH_MS = 500.0  # Simulated time for which arrivals are drawn at once.
# Smallest coefficient of variation of the work; the gamma distribution is not defined for zero.
MIN_SERVICE_TIME_VARIATION = 1e-3


@dataclass(frozen=True, slots=True)
class Arrival:
    """The scheduled first attempt of a request.

    Attributes:
        at: time of the attempt, ms.
        tenant: index of the tenant in its pool.
        units: units of the request.
        work: work at a server, as a multiple of the work of a mean request.
    """

    at: float
    tenant: int
    units: float
    work: float


class PoolArrivals:
    """The arrivals of one pool, drawn in batches."""

    def __init__(
        self,
        scheduler: EventScheduler,
        clients: Clients,
        quotas: QuotaAccounting,
        experiment: Experiment,
        pool: Pool,
        rng: np.random.Generator,
    ) -> None:
        self.pool = pool
        self._scheduler = scheduler
        self._clients = clients
        self._quotas = quotas
        self._rng = rng
        self._max_units = experiment.load.max_units
        self._unit_shares = unit_shares(self._max_units)
        self._mean_units = mean_units(self._max_units)
        self._variation = max(experiment.servers.service_time_variation, MIN_SERVICE_TIME_VARIATION)
        self._batch: list[Arrival] = []  # In reverse order of time: the next arrival is the last element.

    def draw_batch(self) -> None:
        """Draw the arrivals of the next `BATCH_MS`, and schedule the next call of this method."""
        now = self._scheduler.now
        if now >= self._clients.end:
            return
        self._batch = self._sample(now)
        self._batch.reverse()
        self._scheduler.schedule_at(now + BATCH_MS, self.draw_batch)
        if self._batch:
            self._scheduler.schedule_at(self._batch[-1].at, self._arrive)

    def _sample(self, now: float) -> list[Arrival]:
        rng = self._rng
        pool = self.pool
        variation = self._variation
        count = int(rng.poisson(pool.demand_per_s * BATCH_MS / 1000.0))
        times = np.sort(rng.random(count)) * BATCH_MS + now
        tenants = np.searchsorted(pool.cumulative_shares, rng.random(count))
        units = rng.choice(np.arange(1, self._max_units + 1), size=count, p=self._unit_shares)
        # The factor from the gamma distribution has mean 1 and the coefficient of variation `variation`.
        work = units / self._mean_units * rng.gamma(1.0 / variation**2, size=count)
        work *= variation**2
        columns = (times.tolist(), tenants.tolist(), units.astype(float).tolist(), work.tolist())
        return [Arrival(*row) for row in zip(*columns, strict=True)]

    def _arrive(self) -> None:
        arrival = self._batch.pop()
        if self._batch:
            self._scheduler.schedule_at(self._batch[-1].at, self._arrive)
        if arrival.at < self._clients.end:
            tenant = self.pool.tenants[min(arrival.tenant, len(self.pool.tenants) - 1)]
            self._quotas.record_first_attempt(tenant, arrival.units)
            self._clients.send(ClientRequest(self.pool, tenant, arrival.units, arrival.work, arrival.at))


class Arrivals:
    """The arrivals of all pools."""

    def __init__(
        self,
        scheduler: EventScheduler,
        clients: Clients,
        quotas: QuotaAccounting,
        experiment: Experiment,
        pools: list[Pool],
        seed: int,
    ) -> None:
        self._scheduler = scheduler
        self._clients = clients
        self._load = experiment.load
        self._spike_rng = random_stream(seed, "spikes")
        self._pools = [
            PoolArrivals(scheduler, clients, quotas, experiment, pool, numpy_stream(seed, "arrivals", index))
            for index, pool in enumerate(pools)
        ]

    def start(self, end: float) -> None:
        """Start the arrivals and the spikes; they end at the given simulated time, ms."""
        self._clients.end = end
        for arrivals in self._pools:
            pool = arrivals.pool
            pool.update_demand()
            arrivals.draw_batch()
            for tenant in pool.tenants:
                if tenant.spike_demand_per_s:
                    delay_ms = self._spike_rng.uniform(0.0, 1000.0 * self._load.spike_interval_s[1])
                    self._scheduler.schedule_after(delay_ms, self._begin_spike, pool, tenant)

    def _begin_spike(self, pool: Pool, tenant: Tenant) -> None:
        """Raise a tenant's demand for the duration of a spike, and schedule its next one.

        A change of demand takes effect with the next batch of arrivals.
        """
        if self._scheduler.now >= self._clients.end:
            return
        factor = max(1.0, tenant.spike_demand_per_s / tenant.demand_per_s)
        duration_ms = 1000.0 * self._spike_rng.uniform(*self._load.spike_duration_s)
        interval_ms = 1000.0 * self._spike_rng.uniform(*self._load.spike_interval_s)
        self._scale_demand(pool, tenant, factor)
        self._scheduler.schedule_after(duration_ms, self._scale_demand, pool, tenant, 1.0 / factor)
        self._scheduler.schedule_after(interval_ms, self._begin_spike, pool, tenant)

    def _scale_demand(self, pool: Pool, tenant: Tenant, factor: float) -> None:
        tenant.demand_per_s *= factor
        pool.update_demand()
