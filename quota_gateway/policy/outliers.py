"""Outlier detection: failure scores of servers, compared with a baseline, the median over the subset.

What fails everywhere (a class of requests that no server can answer, a fleet that is full) says nothing of
one server. The subset stands for the fleet: it is spread over it, and the best known part of it.
"""

import math

from quota_gateway.policy.endpoints import EndpointIndex
from quota_gateway.policy_api.events import CallOutcome
from quota_gateway.policy_state.servers import Server

SCORE_DECAY_MS = 5000.0  # a score falls to 1/e in this time without attempts
SUCCESS_FACTOR = 0.7  # by which a success lowers a score
FAILURE_WEIGHT, TIMEOUT_WEIGHT = 0.3, 0.5  # parts of the way to 1 by which an outcome raises a score
OUTLIER_EXCESS = 0.5  # score above the baseline from which a server is an outlier
HEALTHY_SCORE = 0.01  # below this a server is no longer looked at


def current_failure_score(server: Server, now_ms: float) -> float:
    """Return a server's failure score, 0 to 1, decayed up to `now_ms`."""
    return server.failure_score * math.exp((server.failure_scored_at_ms - now_ms) / SCORE_DECAY_MS)


class OutlierDetector:
    """Keeps the failure scores of servers and finds those that fail far more than most."""

    def __init__(self, endpoints: EndpointIndex) -> None:
        self._endpoints = endpoints
        self.suspects: dict[str, Server] = {}  # by id: servers whose score has not decayed yet
        self.baseline = 0.0  # failure score of the median server of the subset

    def record(self, now_ms: float, server: Server, outcome: CallOutcome) -> None:
        """Update a server's failure score by the outcome of an attempt."""
        score = current_failure_score(server, now_ms)
        if outcome is CallOutcome.OK:
            server.failure_score = score * SUCCESS_FACTOR
        else:
            severe = outcome in (CallOutcome.TIMEOUT, CallOutcome.UNREACHABLE)
            server.failure_score = score + (TIMEOUT_WEIGHT if severe else FAILURE_WEIGHT) * (1.0 - score)
            self.suspects[server.endpoint.server_id] = server
        server.failure_scored_at_ms = now_ms

    def detect(self, now_ms: float) -> list[str]:
        """Renew the baseline; return the ids of the outliers."""
        scores = sorted(current_failure_score(server, now_ms) for server in self._endpoints.subset.values())
        self.baseline = scores[len(scores) // 2] if scores else 0.0
        outliers = []
        for server_id, server in list(self.suspects.items()):
            score = current_failure_score(server, now_ms)
            if score < HEALTHY_SCORE or self._endpoints.servers.get(server_id) is not server:
                del self.suspects[server_id]
            elif score - self.baseline > OUTLIER_EXCESS:
                outliers.append(server_id)
        return outliers
