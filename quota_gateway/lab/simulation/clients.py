"""Model of the clients: attempts through a load balancer to gateways, timeouts, disconnects and retries."""

from __future__ import annotations

from enum import StrEnum

import numpy as np

from quota_gateway.lab.simulation.experiment import Experiment
from quota_gateway.lab.simulation.metrics import Message, Metrics, Role, ServiceCount
from quota_gateway.lab.simulation.quota_accounting import QuotaAccounting
from quota_gateway.lab.simulation.random_streams import random_stream
from quota_gateway.lab.simulation.records import (
    ClientAttempt,
    ClientFacingGateway,
    ClientRequest,
    FloatArray,
    Pool,
    Tenant,
)
from quota_gateway.lab.simulation.scheduler import EventScheduler
from quota_gateway.lab.simulation.wire_sizes import VALUE_BYTES, call_get

CONNECTION_REFUSED_MS = 1.0  # Time until a connection to a dead gateway is refused.
ERROR_BYTES = 12  # Approximate size of the replies `-BUSY MS` and `-ERR failed`.
CLIENT_VALUE_FRAMING_BYTES = 8  # Protocol overhead of a value that is sent to a client.

# The load balancer distributes a tenant's attempts over its gateways with Zipf weights, and rotates these
# every `weight_shift_ms`. The tenant's `weight_seed` sets the phase of the rotations and, hashed with the
# number of the rotation, the gateway with the largest weight.
WEIGHT_SHIFT_PHASE_MS = 9973
SEED_HASH_MULTIPLIER = 2654435761
PERIOD_HASH_MULTIPLIER = 40503
HASH_SHIFT_BITS = 7


class Answer(StrEnum):
    """The answer to an attempt of a client; the values are those of `ServiceCount`."""

    SERVED = "served"
    REJECTED = "refused"
    FAILED = "failed"


class Clients:
    """All clients. Their load is open-loop: new requests do not wait for the answers to earlier ones.

    Attributes:
        end: simulated time after which no attempt is made, ms; it is set at the start of a run.
    """

    def __init__(
        self,
        scheduler: EventScheduler,
        metrics: Metrics,
        experiment: Experiment,
        quotas: QuotaAccounting,
        seed: int,
    ) -> None:
        self.scheduler = scheduler
        self.metrics = metrics
        self.config = experiment.clients
        self.quotas = quotas
        self.end = 0.0
        self._rng = random_stream(seed, "clients")
        self._last_id = 0
        load = experiment.load
        # Cumulative weights by rank of a tenant's gateways; element i is for tenants with i + 1 gateways.
        self._cumulative_gateway_weights = [
            _cumulative_zipf(count, load.gateway_weight_exponent)
            for count in range(1, load.gateways_per_tenant[1] + 1)
        ]

    def send(self, request: ClientRequest, retries: int = 0) -> None:
        """Send an attempt to the gateway that the load balancer chooses.

        Args:
            request: the request that the attempt is for.
            retries: number of earlier attempts for the request.
        """
        config = self.config
        now = self.scheduler.now
        timeout_ms = min(
            config.deadline_ms * self._rng.uniform(*config.timeout_share),
            request.first_attempt_at + config.deadline_ms - now,
        )
        self._last_id += 1
        attempt = ClientAttempt(f"r{self._last_id:x}", request, retries, now, now + timeout_ms)
        self.metrics.service[ServiceCount.ATTEMPTS] += 1
        gateway = self._choose_gateway(request.pool, request.tenant)
        if gateway is None:
            self.metrics.service[ServiceCount.GATEWAY_UNREACHABLE] += 1
            self.scheduler.schedule_after(CONNECTION_REFUSED_MS, self.retry, attempt, 0.0)
            return
        attempt.gateway = gateway
        self.metrics.count_message(Role.GATEWAY, Message.REQUESTS, request_bytes(attempt, timeout_ms))
        self.scheduler.schedule_at(attempt.deadline, self._time_out, attempt)
        if config.disconnect_share and self._rng.random() < config.disconnect_share:
            delay_ms = self._rng.uniform(*config.disconnect_after_ms)
            self.scheduler.schedule_after(delay_ms, self._disconnect, attempt)
        gateway.accept(attempt)

    def complete(self, attempt: ClientAttempt, answer: Answer, retry_after_ms: float = 0.0) -> None:
        """Process the answer to an attempt; a rejection or failure may be followed by a retry."""
        service = self.metrics.service
        self._close(attempt)
        service[answer] += 1
        if answer is not Answer.SERVED:
            self.metrics.count_message(Role.GATEWAY, answer, ERROR_BYTES)
            self.retry(attempt, retry_after_ms)
            return
        self.metrics.count_message(Role.GATEWAY, answer, VALUE_BYTES + CLIENT_VALUE_FRAMING_BYTES)
        request = attempt.request
        response_ms = self.scheduler.now - request.first_attempt_at
        self.metrics.response_us.record(1000.0 * response_ms)
        if response_ms > self.config.latency_objective_ms:
            service[ServiceCount.SERVED_LATE] += 1
            return
        service[ServiceCount.SERVED_WITHIN_OBJECTIVE] += 1
        if attempt.within_quota:  # Requests over the quota earn nothing.
            self.metrics.revenue[ServiceCount.SERVED_REVENUE] += request.units * request.tenant.plan.price

    def reset(self, attempt: ClientAttempt) -> None:
        """Process the reset of an attempt's connection after its gateway was killed."""
        self.metrics.service[ServiceCount.RESET_BY_RESTART] += 1
        self._close(attempt)
        self.retry(attempt, 0.0)

    def retry(self, attempt: ClientAttempt, retry_after_ms: float) -> None:
        """Schedule the next attempt of a request, unless its retries or its deadline are exhausted.

        All requests are idempotent, so clients retry after any failure.

        Args:
            attempt: the attempt that was not served.
            retry_after_ms: retry-after of the answer, ms; 0 if it has none.
        """
        config = self.config
        request = attempt.request
        honoured = retry_after_ms > 0 and self._rng.random() < config.retry_after_share
        wait_ms = retry_after_ms if honoured else self._rng.uniform(*config.backoff_ms)
        retry_at = self.scheduler.now + wait_ms
        past_deadline = retry_at >= request.first_attempt_at + config.deadline_ms
        if attempt.retries >= config.max_retries or past_deadline or retry_at >= self.end:
            self.metrics.service[ServiceCount.RETRIES_EXHAUSTED] += 1
            return
        self.scheduler.schedule_at(retry_at, self.send, request, attempt.retries + 1)

    def _choose_gateway(self, pool: Pool, tenant: Tenant) -> ClientFacingGateway | None:
        """Return the gateway that the load balancer picks, None if the attempt does not reach one.

        The tenant's gateways have uneven weights, which are rotated among them from time to time. The load
        balancer skips gateways that are not ready, but it goes on picking one that has died until it notices
        the failure.
        """
        now = self.scheduler.now
        count = tenant.gateway_count
        period = int((now + tenant.weight_seed % WEIGHT_SHIFT_PHASE_MS) / tenant.weight_shift_ms)
        rotation = (
            tenant.weight_seed * SEED_HASH_MULTIPLIER + period * PERIOD_HASH_MULTIPLIER
        ) >> HASH_SHIFT_BITS
        rank = int(np.searchsorted(self._cumulative_gateway_weights[count - 1], self._rng.random()))
        for step in range(count):
            index = tenant.first_gateway + (rotation + rank + step) % count
            gateway = pool.gateways[index % len(pool.gateways)]
            if gateway.alive and now >= gateway.ready_at:
                return gateway
            if now < gateway.failure_noticed_at:
                return None
        return None

    def _disconnect(self, attempt: ClientAttempt) -> None:
        """Disconnect the client of an attempt that is not yet answered."""
        if not attempt.closed:
            self.metrics.service[ServiceCount.CLIENT_DISCONNECTED] += 1
            self._abandon(attempt)

    def _time_out(self, attempt: ClientAttempt) -> None:
        """Abandon an attempt that got no answer by its deadline, and retry."""
        if not attempt.closed:
            self.metrics.service[ServiceCount.UNANSWERED] += 1
            self._abandon(attempt)
            self.retry(attempt, 0.0)

    def _abandon(self, attempt: ClientAttempt) -> None:
        self._close(attempt)
        if attempt.gateway is not None:
            attempt.gateway.disconnect(attempt)

    def _close(self, attempt: ClientAttempt) -> None:
        attempt.closed = True
        attempt.closed_at = self.scheduler.now


def request_bytes(attempt: ClientAttempt, remaining_ms: float) -> int:
    """Return the size of a client's command, bytes; `remaining_ms` is the time until its deadline."""
    request = attempt.request
    tenant = attempt.request.tenant
    command = call_get(
        tenant.key, attempt.request_id, tenant.plan.name, remaining_ms, request.units, tenant.gateway_count
    )
    return len(command)


def _cumulative_zipf(count: int, exponent: float) -> FloatArray:
    """Return the cumulative Zipf weights of the ranks 1 to `count`, normalised to end at 1."""
    weights = np.arange(1, count + 1) ** -exponent
    cumulative: FloatArray = np.cumsum(weights) / np.sum(weights)
    return cumulative
