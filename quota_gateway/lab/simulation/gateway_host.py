"""The interface that a simulated gateway offers to the components that carry out its policy's actions."""

from __future__ import annotations

from typing import Protocol

from quota_gateway.lab.simulation.network import Location
from quota_gateway.lab.simulation.records import ClientAttempt
from quota_gateway.policy_api.events import Event


class GatewayHost(Protocol):
    """A gateway's machine as seen by the components that carry out the policy's actions.

    Attributes:
        location: zone and region of the machine.
        incarnation: number of processes started so far; events for an earlier process are not delivered to a
            later one.
        alive: whether a process runs.
        pending: client attempts that await their answer, by request id.
    """

    location: Location
    incarnation: int
    alive: bool
    pending: dict[str, ClientAttempt]

    def post(self, event: Event) -> None:
        """Pass an event to the policy and carry out its actions."""

    def post_to(self, incarnation: int, event: Event) -> None:
        """Pass an event to the policy if the process that it is meant for still runs."""

    def record_wait(self, attempt: ClientAttempt) -> None:
        """Record the wait of an attempt when it is first forwarded or rejected; later calls do nothing."""
