"""What a gateway knows of servers."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

from quota_gateway.policy_api.endpoints import Endpoint

NEVER_MS = -1e9  # a time before any event


@dataclass(slots=True, eq=False)
class Server:
    """One process of a server on the endpoint list; a restart gets a new record.

    Times are Unix milliseconds. `quota_gateway.policy.load_balancing` says how the fields are learned.
    """

    endpoint: Endpoint
    in_flight: int = 0  # attempts of this gateway
    in_subset: bool = False  # whether it belongs to the subset that this gateway uses

    relative_latency: float = 1.0  # its response times against the fleet's mean for the same kind of request
    unanswered_since_ms: float | None = None  # first attempt since its last response; None: none in flight
    reported_queue: float = 0.0  # queue length in its last load report
    reported_at_ms: float = NEVER_MS

    failure_score: float = 0.0  # recent share of failed attempts, 0 to 1, as of `failure_scored_at_ms`
    failure_scored_at_ms: float = 0.0

    slot_credit: float = 0.0  # quota units; while it is warming up, a slow-start slot is open from 0 on
    slot_credit_at_ms: float = 0.0  # when `slot_credit` was computed


class WarmingServer(NamedTuple):
    """A process outside the subset that is warming up; the one that is warm first sorts first."""

    warm_at_ms: float
    server_id: str
    started_ms: float  # tells apart the processes of one server


class Candidate(NamedTuple):
    """The server that costs least of some, and that cost; no server at infinite cost, if none may be used."""

    server: Server | None
    cost: float  # mean service times
