"""What the quotas of a run truly were, replayed from what came to the servers.

The rules of WIRE, section 8 (`packages`): a customer's store (a token bucket) starts full, holds
`most_at_once` units and fills by `per_second`. A request takes its units when its first attempt has come to a
server, and is inside the quota if the store held them then; one sent on beyond that takes nothing. A gateway
can't know the store of the moment, so some refusals inside the quota are its due; how many there are tells
gateways apart.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from quota_gateway.lab.fakes.attempt_log import AttemptLog
from quota_gateway.lab.load.client import Outcome, Request
from quota_gateway.lab.load.deployment import Plan, Site


@dataclass(slots=True)
class Store:
    """A customer's store, in units."""

    plan: Plan
    holds: float
    at: float  # seconds

    def fill(self, now: float) -> None:
        """Brings it up to a moment, no earlier than the last one."""
        self.holds = min(self.plan.most_at_once, self.holds + self.plan.per_second * (now - self.at))
        self.at = now


@dataclass(slots=True)
class Quotas:
    """How the quotas were kept. Requests of plans without a quota don't count."""

    inside: int = 0  # sent on while the store held their units
    beyond: int = 0  # sent on while it did not
    refused_with_room: int = 0  # refused while it did
    refused: int = 0
    refused_half_full: int = 0  # refused while it did and was half full: BENCH, refused_with_room_share


def audit(site: Site, requests: Iterable[Request], ledger: AttemptLog) -> Quotas:
    """Replays a run that is over."""
    plans = {plan.name: plan for plan in site.packages if plan.per_second}
    found = Quotas()
    stores: dict[bytes, Store] = {}
    for at, request, sent_on in sorted(_events(requests, ledger), key=lambda event: event[0]):
        plan = plans.get(request.tenant.plan)
        if plan is None:
            continue
        store = stores.setdefault(request.tenant.customer, Store(plan, plan.most_at_once, at))
        store.fill(at)
        room = store.holds >= request.units
        if not sent_on:
            found.refused += 1
            found.refused_with_room += room
            found.refused_half_full += room and store.holds >= 0.5 * plan.most_at_once
        elif room:
            found.inside += 1
            store.holds -= request.units
        else:
            found.beyond += 1
    return found


def _events(requests: Iterable[Request], ledger: AttemptLog) -> Iterable[tuple[float, Request, bool]]:
    """When each request was first sent on, or refused without that."""
    for request in requests:
        attempts = ledger.attempts_of(request.request_id)
        if attempts:
            yield attempts[0].arrived_at, request, True
        elif request.outcome in (Outcome.REFUSED_AFTER, Outcome.REFUSED):
            yield request.ended, request, False
