"""Load balancing: the server of an attempt is the one with the lowest cost, mainly its expected delay.

The unit of delays and costs is the mean service time: the mean duration of attempts for the same kind of
request over the whole fleet. A kind is a request class with a size in whole quota units.
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

# Added cost of a failure score that exceeds the baseline by 1: a server that fails fast must not attract
# requests.
FAILURE_COST = 20.0
# Added cost of a server that the request was already sent to.
REPEAT_COST = 10.0
# Added cost of a server outside the subset: it may need a new connection, and less is known about it.
OUTSIDE_SUBSET_COST = 2.0
# Weight of a request in a server's reported queue; an attempt of this gateway in flight has weight 1.
REPORTED_QUEUE_WEIGHT = 0.5
# Weight of the setting `cross_zone_cost` in the cost factor of servers in other zones.
CROSS_ZONE_WEIGHT = 10.0
# Cost factor of a warming server with an open slow-start slot: it is preferred to similar warm servers.
WARMING_COST_FACTOR = 0.8
# Range of the random cost factor of warm servers, which breaks ties between servers of similar cost.
COST_JITTER_MIN = 0.9
COST_JITTER_MAX = 1.1
# Time after which a reported queue counts as 1/e of its length.
REPORT_DECAY_MS = 1000.0
# Mean duration of a kind of request before its first response, as a share of the latency objective.
INITIAL_MEAN_SHARE = 0.15
# Kinds of requests whose mean durations are kept: clients choose the sizes of their requests.
MAX_KINDS = 1000
# Weight of a new duration in the moving mean of its kind of request.
MEAN_DURATION_WEIGHT = 0.03
# Weight of a new duration in the moving means of relative latency, which must follow changes of the load.
RELATIVE_LATENCY_WEIGHT = 0.12
# Time constant with which a server's relative latency returns to 1 while it gets no requests. Otherwise a
# server that was once slow would never be tried again as long as others are idle.
RELATIVE_LATENCY_FADE_MS = 120_000.0
# Outcomes that are no response of the server: with other attempts in flight, a response stays outstanding.
NO_RESPONSE = (CallOutcome.TIMEOUT, CallOutcome.NOT_SENT, CallOutcome.CANCELLED)


class LoadBalancer:
    """Chooses a server for each attempt; learns latencies and failures from the outcomes of attempts."""

    def __init__(self, settings: Settings, rng: random.Random) -> None:
        self._rng = rng
        self._zone = settings.zone
        self._cross_zone_factor = 1.0 + CROSS_ZONE_WEIGHT * settings.cross_zone_cost
        self.endpoints = EndpointIndex(settings)
        self.slow_start = SlowStart(settings, rng, self.endpoints)
        self.outliers = OutlierDetector(self.endpoints)
        # Moving mean of durations over all kinds of requests, each divided by the mean duration of its kind.
        self.relative_latency = 1.0
        # Mean durations in ms by kind: class name and size in whole quota units.
        self._means: dict[tuple[str, int], float] = {}

    def update_endpoints(self, update: EndpointUpdate, now_ms: float) -> None:
        """Apply an update of the endpoint list."""
        for server in self.endpoints.update(update, now_ms):
            # All gateways learn about a start at the same time. Random first slots keep them from sending to
            # the new server all at once.
            self.slow_start.schedule_slot(now_ms, server)

    def mean_ms(self, request_class: RequestClass, units: float) -> float:
        """Return the mean duration of attempts for this kind of request over the fleet."""
        kind = (request_class.name, round(units))
        return self._means.get(kind, request_class.latency_objective_ms * INITIAL_MEAN_SHARE)

    def choose(self, now_ms: float, pending: PendingRequest) -> Server | None:
        """Return the server for the next attempt of a request; None if no server can be used now."""
        group = _affinity_group(pending)
        best = self._cheapest(now_ms, pending, group, self.endpoints.subset.values())
        # Servers outside the subset are considered if they may be cheaper: each costs about this or more.
        if best.cost > OUTSIDE_SUBSET_COST:
            self.endpoints.remaining.add_warmed(now_ms, self.endpoints.servers)
            sample = self.endpoints.remaining.sample(self._rng, group)
            best_of_sample = self._cheapest(now_ms, pending, group, sample)
            best = best_of_sample if best_of_sample.cost < best.cost else best
        return best.server

    def attempt_started(self, now_ms: float, server: Server, units: float) -> None:
        """Record an attempt that has started at a server."""
        server.in_flight += 1
        if server.unanswered_since_ms is None:
            server.unanswered_since_ms = now_ms
        self.slow_start.attempt_started(now_ms, server, units)

    def attempt_completed(self, now_ms: float, attempt: Attempt, event: AttemptCompleted) -> None:
        """Record the outcome of an attempt in the statistics of its server and its kind of request.

        An outcome at an earlier process of the server says nothing about the present one.
        """
        server = self.endpoints.servers.get(event.server_id)
        if server is None or server.endpoint.started_ms != attempt.endpoint.started_ms:
            return
        server.in_flight = max(0, server.in_flight - 1)
        if event.queue_length is not None:
            server.reported_queue = event.queue_length
            server.reported_at_ms = now_ms
        if not server.in_flight:
            server.unanswered_since_ms = None
        elif event.outcome not in NO_RESPONSE:
            server.unanswered_since_ms = now_ms
        if event.outcome in (CallOutcome.NOT_SENT, CallOutcome.CANCELLED):
            return
        request_class = attempt.pending.request_class
        units = attempt.pending.units
        if event.outcome in (CallOutcome.OK, CallOutcome.TIMEOUT):
            # A timeout is a lower bound of the response time. Without timeouts the means would hold only the
            # responses in time: a busy server would look fast, and timeouts would get shorter under load.
            mean_ms = self.mean_ms(request_class, units)
            ratio = event.duration_ms / mean_ms
            kind = (request_class.name, round(units))
            if kind in self._means or len(self._means) < MAX_KINDS:
                self._means[kind] = mean_ms + MEAN_DURATION_WEIGHT * (event.duration_ms - mean_ms)
            self.relative_latency += RELATIVE_LATENCY_WEIGHT * (ratio - self.relative_latency)
            latency = current_relative_latency(server, now_ms)
            server.relative_latency = latency + RELATIVE_LATENCY_WEIGHT * (ratio - latency)
            server.latency_measured_at_ms = now_ms
        self.outliers.record(now_ms, server, event.outcome)
        if event.outcome is CallOutcome.OK:
            self.slow_start.attempt_succeeded(now_ms, server, event.duration_ms, units)

    def _cheapest(
        self, now_ms: float, pending: PendingRequest, group: GroupKey, servers: Iterable[Server]
    ) -> Candidate:
        """Return the server of a group with the lowest cost for an attempt now, among those that admit it."""
        best: Server | None = None
        lowest_cost = math.inf
        units = pending.units
        mean_ms = self.mean_ms(pending.request_class, units)
        warm_up_factor = self.endpoints.warm_up_factor
        uniform = self._rng.uniform
        for server in servers:
            endpoint = server.endpoint
            if group is not None and group not in group_keys(endpoint):
                continue
            factor = warm_up_factor(endpoint, now_ms)
            if factor < 1.0 and not self.slow_start.admits(now_ms, server, factor, units):
                continue
            # The warm-up factor does not raise the cost of a server that is warming up; only slots limit its
            # load. Warm servers look idle to a gateway with few requests, even if other gateways keep them
            # busy. A warming server with a raised cost would then get no requests from this gateway.
            cost = self._expected_delay(server, now_ms, mean_ms)
            if endpoint.server_id in pending.tried_servers:
                cost += REPEAT_COST
            if not server.in_subset:
                cost += OUTSIDE_SUBSET_COST
            if endpoint.zone != self._zone:
                cost *= self._cross_zone_factor
            cost *= WARMING_COST_FACTOR if factor < 1.0 else uniform(COST_JITTER_MIN, COST_JITTER_MAX)
            if cost < lowest_cost:
                best = server
                lowest_cost = cost
        return Candidate(best, lowest_cost)

    def _expected_delay(self, server: Server, now_ms: float, mean_ms: float) -> float:
        """Return the expected delay at a server in mean service times, plus the cost of its failures."""
        queue = server.reported_queue * math.exp((server.reported_at_ms - now_ms) / REPORT_DECAY_MS)
        latency = current_relative_latency(server, now_ms)
        delay = latency * (1.0 + server.in_flight + REPORTED_QUEUE_WEIGHT * queue)
        if server.unanswered_since_ms is not None:
            # An overdue response shows that the server hangs, is slow or is unreachable, before any timeout.
            delay = max(delay, (now_ms - server.unanswered_since_ms) / mean_ms)
        score_excess = current_failure_score(server, now_ms) - self.outliers.baseline
        return delay + FAILURE_COST * max(0.0, score_excess)


def current_relative_latency(server: Server, now_ms: float) -> float:
    """Return the relative latency of a server, faded towards 1 since its last response."""
    age_ms = max(0.0, now_ms - server.latency_measured_at_ms)
    return 1.0 + (server.relative_latency - 1.0) * math.exp(-age_ms / RELATIVE_LATENCY_FADE_MS)


def _affinity_group(pending: PendingRequest) -> GroupKey:
    """Return the group of servers that the next attempt of a request is bound to; None means any server.

    A keyed request that may have run can only be repeated where servers share its deduplication records.
    """
    request_class = pending.request_class
    endpoint = pending.may_have_run_on
    scope = request_class.deduplication_scope
    is_bound = request_class.idempotency is Idempotency.KEYED and scope is not DeduplicationScope.ALL
    if endpoint is None or not is_bound:
        return None
    return endpoint.zone if scope is DeduplicationScope.ZONE else (endpoint.zone, endpoint.cell)
