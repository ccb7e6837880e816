"""Notices of drains and server starts that a gateway has received, to check the rules that depend on them."""

from __future__ import annotations

from quota_gateway.lab.simulation.environment import Environment
from quota_gateway.lab.simulation.metrics import RuleViolation
from quota_gateway.lab.simulation.network import Location
from quota_gateway.lab.simulation.servers import Server
from quota_gateway.policy_api.endpoints import EndpointState, EndpointUpdate


class EndpointNotices:
    """The notices that one gateway has received since its process was started."""

    def __init__(self, environment: Environment, location: Location) -> None:
        self._environment = environment
        self._location = location
        # Time at which the gateway learned that a server drains or is gone, by server.
        self._leaving_since: dict[str, float] = {}
        # Latest known start, ms, of each server that was started during the run.
        self._known_starts: dict[str, float] = {}

    def record(self, update: EndpointUpdate) -> None:
        """Record the notices in an update that the gateway has received."""
        for endpoint in update.endpoints:
            if endpoint.state is EndpointState.ACTIVE:
                self._leaving_since.pop(endpoint.server_id, None)
                if endpoint.started_ms:
                    self._known_starts[endpoint.server_id] = endpoint.started_ms
            else:
                self._leaving_since.setdefault(endpoint.server_id, self._environment.scheduler.now)

    def clear(self) -> None:
        """Forget all notices, before a new process of the gateway is started."""
        self._leaving_since.clear()
        self._known_starts.clear()

    def knows_start(self, server: Server) -> bool:
        """Return whether the gateway has been notified of the server's last start."""
        return self._known_starts.get(server.name, 0.0) == server.started_ms

    def check_drain(self, server: Server) -> None:
        """Count a rule violation if a new attempt goes to a draining or gone server after the grace period.

        The grace period begins when the gateway is notified or when it counts as notified, whichever comes
        first.
        """
        environment = self._environment
        now = environment.scheduler.now
        grace_ms = environment.experiment.servers.drain_grace_ms
        notified_at = self._leaving_since.get(server.name)
        if notified_at is not None and now > notified_at + grace_ms:
            environment.metrics.violations[RuleViolation.LATE_AFTER_DRAIN_NOTICE] += 1
        elif now > environment.discovery.notification_deadline(server.name, self._location) + grace_ms:
            environment.metrics.violations[RuleViolation.LATE_AFTER_NOTICE_DEADLINE] += 1
