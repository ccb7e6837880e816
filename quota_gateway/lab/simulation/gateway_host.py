"""What the parts of a simulated gateway need of it."""

from __future__ import annotations

from typing import Protocol

from quota_gateway.lab.simulation.network import Location
from quota_gateway.lab.simulation.records import ClientAttempt
from quota_gateway.policy_api.events import Event


class GatewayHost(Protocol):
    """A gateway's machine, as the parts see it that carry out the policy's actions.

    Attributes:
        location: where it stands.
        incarnation: counts its processes; what was meant for an earlier one is not delivered to a later one.
        alive: whether a process runs.
        pending: requests that await their answer, by request id.
    """

    location: Location
    incarnation: int
    alive: bool
    pending: dict[str, ClientAttempt]

    def post(self, event: Event) -> None:
        """Hand an event to the policy and carry out its actions."""

    def post_to(self, incarnation: int, event: Event) -> None:
        """Hand over an event that is meant for one process, if that still runs."""

    def record_wait(self, attempt: ClientAttempt) -> None:
        """Record how long an attempt waited, once, when it is first forwarded or rejected."""
