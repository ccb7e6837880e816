"""Outlier detection: compares failure scores of servers with a baseline, the median score of the subset.

Failures on all servers (a request class that no server can answer, a fleet without free capacity) say nothing
about a single server; the baseline discounts them. The subset represents the fleet: its servers are spread
over the fleet, and they are the servers that this gateway knows best.
"""

import math

from quota_gateway.policy.endpoints import EndpointIndex
from quota_gateway.policy_api.events import CallOutcome
from quota_gateway.policy_state.servers import Server

# Time in which a score falls to 1/e without attempts.
SCORE_DECAY_MS = 5000.0
# Factor by which a success lowers a score.
SUCCESS_FACTOR = 0.7
# Fraction of the distance to 1 by which a failure raises a score.
FAILURE_WEIGHT = 0.3
# Fraction of the distance to 1 by which a timeout or a refused connection raises a score.
SEVERE_FAILURE_WEIGHT = 0.5
# A server is an outlier while its score exceeds the baseline by more than this.
OUTLIER_EXCESS = 0.5
# A server is no longer a suspect once its score is below this.
MIN_SUSPECT_SCORE = 0.01


def current_failure_score(server: Server, now_ms: float) -> float:
    """Return a server's failure score, 0 to 1, decayed up to `now_ms`."""
    return server.failure_score * math.exp((server.failure_scored_at_ms - now_ms) / SCORE_DECAY_MS)


class OutlierDetector:
    """Keeps the failure scores of servers and finds those that fail far more than the median server."""

    def __init__(self, endpoints: EndpointIndex) -> None:
        self._endpoints = endpoints
        self.suspects: dict[str, Server] = {}  # servers with a score that has not decayed yet, by id
        self.baseline = 0.0  # failure score of the median server of the subset

    def record(self, now_ms: float, server: Server, outcome: CallOutcome) -> None:
        """Update the failure score of a server from the outcome of an attempt."""
        score = current_failure_score(server, now_ms)
        if outcome is CallOutcome.OK:
            server.failure_score = score * SUCCESS_FACTOR
        else:
            is_severe = outcome in (CallOutcome.TIMEOUT, CallOutcome.UNREACHABLE)
            weight = SEVERE_FAILURE_WEIGHT if is_severe else FAILURE_WEIGHT
            server.failure_score = score + weight * (1.0 - score)
            self.suspects[server.endpoint.server_id] = server
        server.failure_scored_at_ms = now_ms

    def detect(self, now_ms: float) -> list[str]:
        """Recompute the baseline and return the ids of the outliers.

        Suspects whose score has decayed, or that have left the list, are dropped.
        """
        scores = sorted(current_failure_score(server, now_ms) for server in self._endpoints.subset.values())
        self.baseline = scores[len(scores) // 2] if scores else 0.0
        outliers = []
        for server_id, server in list(self.suspects.items()):
            score = current_failure_score(server, now_ms)
            if score < MIN_SUSPECT_SCORE or self._endpoints.servers.get(server_id) is not server:
                del self.suspects[server_id]
            elif score - self.baseline > OUTLIER_EXCESS:
                outliers.append(server_id)
        return outliers
