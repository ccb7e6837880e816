"""A gateway's watch on the endpoint list.

Its schedule (how long it waits, when it gives up and how it spreads its calls) is that of
`quota_gateway.network.discovery.poll_schedule`, whose constants are used here.
"""

from __future__ import annotations

from collections.abc import Callable

from quota_gateway.lab.simulation.discovery import DiscoveryService
from quota_gateway.lab.simulation.network import Location
from quota_gateway.lab.simulation.random_streams import random_stream
from quota_gateway.lab.simulation.scheduler import EventScheduler
from quota_gateway.network.discovery.poll_schedule import (
    EMPTY_RESPONSE_PAUSE_S,
    LONG_POLL_S,
    MAX_POLL_SPREAD_S,
    POLL_SPACING_PER_GATEWAY_S,
    RECONNECT_DELAY_S,
    RESPONSE_GRACE_S,
)
from quota_gateway.policy_api.endpoints import EndpointUpdate, UpdateKind

RECONNECT_JITTER = (0.5, 1.5)  # factors on the pause before a new connection
IDLE_GAP_SHARE = 0.01  # of the pause after an answer without changes that the simulated watch keeps


class EndpointWatch:
    """Keeps a call to discovery open; each answer is followed by the next call.

    Attributes:
        version: of the list that it has; None: none.
        responses: answers since the last start.
    """

    def __init__(
        self,
        scheduler: EventScheduler,
        service: DiscoveryService,
        location: Location,
        pool: int,
        gateway_count: int,
        seed: int,
        index: int,
        on_update: Callable[[EndpointUpdate], None],
    ) -> None:
        self.location = location
        self.pool = pool
        self.version: int | None = None
        self.responses = 0
        self._scheduler = scheduler
        self._service = service
        self._gateway_count = gateway_count
        self._rng = random_stream(seed, "agent", index)
        self._on_update = on_update
        self._call = 0  # the call that is awaited; answers to older ones are ignored

    def start(self, version: int | None) -> None:
        """Begin to watch from a version."""
        self.version, self.responses = version, 0
        self._send_call()

    def stop(self) -> None:
        """Abandon the open call."""
        self._call += 1
        self._service.forget(self)

    def receive(self, call: int, update: EndpointUpdate, version: int | None) -> None:
        """Take an answer, which holds no endpoints if nothing changed in time; go on watching."""
        if call != self._call:
            return
        self.version = version
        self.responses += 1
        if update.endpoints or update.kind is UpdateKind.SNAPSHOT or self.responses == 1:
            self._on_update(update)
        self._call += 1
        gap_ms = 0.0 if update.endpoints else 1000.0 * EMPTY_RESPONSE_PAUSE_S * IDLE_GAP_SHARE
        self._scheduler.schedule_after(gap_ms, self._retry, self._call)

    def receive_overloaded(self, call: int) -> None:
        """Take a 503: the next calls of all gateways are spread over the time that they take together."""
        if call == self._call:
            spread_s = min(MAX_POLL_SPREAD_S, self._gateway_count * POLL_SPACING_PER_GATEWAY_S)
            self._back_off(1000.0 * self._rng.random() * spread_s)

    def _send_call(self) -> None:
        self._call += 1
        self._scheduler.schedule_after(1000.0 * (LONG_POLL_S + RESPONSE_GRACE_S), self._time_out, self._call)
        self._service.call(self, self._call)

    def _time_out(self, call: int) -> None:
        if call == self._call:
            self._back_off(1000.0 * RECONNECT_DELAY_S * self._rng.uniform(*RECONNECT_JITTER))

    def _back_off(self, wait_ms: float) -> None:
        self.stop()
        self._scheduler.schedule_after(wait_ms, self._retry, self._call)

    def _retry(self, call: int) -> None:
        """Send the next call, unless the watch was stopped or has gone on since this was scheduled."""
        if call == self._call:
            self._send_call()
