"""Load balancing: the choice of the server for an attempt, by its expected delay.

Delays and costs are in mean service times, the mean for such a request over the whole fleet.
"""

import math
import random
from collections.abc import Iterable

from quota_gateway.policy.endpoints import EndpointIndex, GroupKey, group_keys
from quota_gateway.policy.outliers import OutlierDetector, current_failure_score
from quota_gateway.policy.slow_start import SlowStart
from quota_gateway.policy_api.endpoints import EndpointUpdate
from quota_gateway.policy_api.events import AttemptCompleted, CallOutcome
from quota_gateway.policy_state.requests import Attempt, PendingRequest
from quota_gateway.policy_state.servers import Candidate, Server
from quota_gateway.settings import DeduplicationScope, Idempotency, RequestClass, Settings

FAILURE_COST = 20.0  # of a failure score of 1 above the baseline: a fast failure must not look attractive
REPEAT_COST = 10.0  # of one that the request was sent to before
OUTSIDE_SUBSET_COST = 2.0  # of one outside the subset, for a handshake and as less is known of it
QUEUE_WEIGHT = 0.5  # of a reported queue, against the attempts of this gateway
CROSS_ZONE_WEIGHT = 10.0  # of the settings' price of crossing zones, as a factor
WARMING_FACTOR = 0.8  # while a slow-start slot is open, a server goes before warm ones that are as good
JITTER_MIN, JITTER_MAX = 0.9, 1.1  # random factor on the others, which parts equal ones
REPORT_DECAY_MS = 1000.0  # a reported queue counts 1/e after this time
INITIAL_MEAN = 0.15  # of the latency objective: the mean duration of a kind of request not seen yet
MEAN_WEIGHT = 0.03  # of a new duration in the mean of its kind of request
RATIO_WEIGHT = 0.12  # of a new duration in latencies relative to that mean, which have to follow the load


class LoadBalancer:
    """Chooses servers, and learns from the outcome of each attempt how they do."""

    def __init__(self, settings: Settings, rng: random.Random) -> None:
        self._rng = rng
        self._zone = settings.zone
        self._cross_zone_factor = 1.0 + CROSS_ZONE_WEIGHT * settings.cross_zone_cost
        self.endpoints = EndpointIndex(settings)
        self.slow_start = SlowStart(settings, rng, self.endpoints)
        self.outliers = OutlierDetector(self.endpoints)
        self.relative_latency = 1.0  # recent durations of all kinds against their means
        self._means: dict[tuple[str, int], float] = {}  # by class name and size in whole units, ms

    def update_endpoints(self, update: EndpointUpdate, now_ms: float) -> None:
        """Apply an update of the endpoint list."""
        for server in self.endpoints.update(update, now_ms):
            # All gateways learn of a start at once, and would all send to the server in one moment.
            self.slow_start.schedule_slot(now_ms, server)

    def mean_ms(self, request_class: RequestClass, units: float) -> float:
        """Return the mean duration of attempts for such a request over the fleet."""
        kind = (request_class.name, round(units))
        return self._means.get(kind, request_class.latency_objective_ms * INITIAL_MEAN)

    def choose(self, now_ms: float, pending: PendingRequest) -> Server | None:
        """Return the server for the next attempt of a request; None if no server may be sent it now."""
        group = _affinity_group(pending)
        best = self._cheapest(now_ms, pending, group, self.endpoints.subset.values())
        if best.cost > OUTSIDE_SUBSET_COST:
            self.endpoints.remaining.add_warmed(now_ms, self.endpoints.servers)
            sample = self.endpoints.remaining.sample(self._rng, group)
            other = self._cheapest(now_ms, pending, group, sample)
            best = other if other.cost < best.cost else best
        return best.server

    def attempt_started(self, now_ms: float, server: Server, units: float) -> None:
        """Record an attempt in flight."""
        server.in_flight += 1
        if server.unanswered_since_ms is None:
            server.unanswered_since_ms = now_ms
        self.slow_start.attempt_started(now_ms, server, units)

    def attempt_completed(self, now_ms: float, attempt: Attempt, event: AttemptCompleted) -> None:
        """Learn from the outcome of an attempt."""
        if (server := self.endpoints.servers.get(event.server_id)) is None:
            return
        server.in_flight = max(0, server.in_flight - 1)
        if event.queue_length is not None:
            server.reported_queue, server.reported_at_ms = event.queue_length, now_ms
        if event.outcome in (CallOutcome.NOT_SENT, CallOutcome.CANCELLED):
            return
        if event.outcome is not CallOutcome.TIMEOUT or not server.in_flight:
            server.unanswered_since_ms = now_ms if server.in_flight else None
        request_class, units = attempt.pending.request_class, attempt.pending.units
        if event.outcome in (CallOutcome.OK, CallOutcome.TIMEOUT):
            # A time-out is the least that the response would have taken. Leaving it out would make a busy
            # server look fast by the responses in time, and shorten the time-outs as load grows.
            mean_ms = self.mean_ms(request_class, units)
            ratio = event.duration_ms / mean_ms
            kind = (request_class.name, round(units))
            self._means[kind] = mean_ms + MEAN_WEIGHT * (event.duration_ms - mean_ms)
            self.relative_latency += RATIO_WEIGHT * (ratio - self.relative_latency)
            server.relative_latency += RATIO_WEIGHT * (ratio - server.relative_latency)
        self.outliers.record(now_ms, server, event.outcome)
        if event.outcome is CallOutcome.OK:
            self.slow_start.attempt_succeeded(now_ms, server, event.duration_ms, units)

    def _cheapest(
        self, now_ms: float, pending: PendingRequest, group: GroupKey, servers: Iterable[Server]
    ) -> Candidate:
        best, least, units = None, math.inf, pending.units
        mean_ms = self.mean_ms(pending.request_class, units)
        warm_up_factor, uniform = self.endpoints.warm_up_factor, self._rng.uniform
        for server in servers:
            endpoint = server.endpoint
            if group is not None and group not in group_keys(endpoint):
                continue
            factor = warm_up_factor(endpoint, now_ms)
            if factor < 1.0 and not self.slow_start.admits(now_ms, server, factor, units):
                continue
            # Slots alone hold a server that is warming up to its share, its cost is not raised by its factor:
            # to each of many gateways warm servers, busy for the others, look idle, and it would get nothing.
            cost = self._expected_delay(server, now_ms, mean_ms)
            if endpoint.server_id in pending.tried_servers:
                cost += REPEAT_COST
            if not server.in_subset:
                cost += OUTSIDE_SUBSET_COST
            if endpoint.zone != self._zone:
                cost *= self._cross_zone_factor
            cost *= WARMING_FACTOR if factor < 1.0 else uniform(JITTER_MIN, JITTER_MAX)
            if cost < least:
                best, least = server, cost
        return Candidate(best, least)

    def _expected_delay(self, server: Server, now_ms: float, mean_ms: float) -> float:
        """Return the expected delay at a server in mean service times; failures count as a long delay."""
        queue = server.reported_queue * math.exp((server.reported_at_ms - now_ms) / REPORT_DECAY_MS)
        delay = server.relative_latency * (1.0 + server.in_flight + QUEUE_WEIGHT * queue)
        if server.unanswered_since_ms is not None:
            # An overdue response says that the server hangs, is slow or cut off, before any time-out does.
            delay = max(delay, (now_ms - server.unanswered_since_ms) / mean_ms)
        excess = current_failure_score(server, now_ms) - self.outliers.baseline
        return delay + FAILURE_COST * max(0.0, excess)


def _affinity_group(pending: PendingRequest) -> GroupKey:
    """Return the group of servers that would drop a repeat of this request, if that is needed; None: any."""
    request_class, endpoint = pending.request_class, pending.may_have_run_on
    scope = request_class.deduplication_scope
    bound = request_class.idempotency is Idempotency.KEYED and scope is not DeduplicationScope.ALL
    if endpoint is None or not bound:
        return None
    return endpoint.zone if scope is DeduplicationScope.ZONE else (endpoint.zone, endpoint.cell)
