"""Records of the servers on the endpoint list."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

from quota_gateway.policy_api.endpoints import Endpoint

NEVER_MS = -1e9  # Unix time before any event


@dataclass(slots=True, eq=False)
class Server:
    """Statistics of one process of a listed server; a restarted server gets a new record.

    Times are Unix milliseconds. The modules `load_balancing`, `outliers` and `slow_start` of
    `quota_gateway.policy` update the statistics.
    """

    endpoint: Endpoint
    in_flight: int = 0  # number of attempts of this gateway
    in_subset: bool = False  # whether the server belongs to the subset that this gateway uses

    # Moving mean of its response times, each divided by the fleet's mean for the same kind of request, as of
    # `latency_measured_at_ms`.
    relative_latency: float = 1.0
    latency_measured_at_ms: float = 0.0
    # Time since which a response is outstanding: the start of the first attempt after the last response, or
    # the last response if other attempts were in flight then. None if no response is outstanding.
    unanswered_since_ms: float | None = None
    reported_queue: float = 0.0  # queue length in the last load report
    reported_at_ms: float = NEVER_MS  # time of the last load report

    # Weighted share of recent attempts that failed, from 0 to 1, as of `failure_scored_at_ms`.
    failure_score: float = 0.0
    failure_scored_at_ms: float = 0.0

    # Credit in quota units while the server is warming up; a slow-start slot is open while it is at least 0.
    slot_credit: float = 0.0
    slot_credit_at_ms: float = 0.0  # when `slot_credit` was computed


class WarmingServer(NamedTuple):
    """A process outside the subset that is warming up. The one that becomes warm first sorts first."""

    warm_at_ms: float
    server_id: str
    started_ms: float  # identifies the process among those of the same server


class Candidate(NamedTuple):
    """The server with the lowest cost and that cost; None at infinite cost if no server can be used."""

    server: Server | None
    cost: float  # mean service times
