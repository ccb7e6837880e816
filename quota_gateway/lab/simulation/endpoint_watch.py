"""Model of a gateway's watch on the endpoint list.

Its timeouts and delays are derived from the constants of `quota_gateway.network.discovery.poll_schedule`,
which the network code uses too.
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
    MAX_POLL_DELAY_S,
    POLL_SPACING_PER_GATEWAY_S,
    RECONNECT_DELAY_S,
    RESPONSE_GRACE_S,
)
from quota_gateway.policy_api.endpoints import EndpointUpdate, UpdateKind

RECONNECT_JITTER = (0.5, 1.5)  # Range of the random factor on the delay before a new connection.
# Pause of the simulated watch after an empty response, as a share of the network code's pause.
EMPTY_RESPONSE_PAUSE_SHARE = 0.01


class EndpointWatch:
    """Keeps one call to discovery open: each response is followed by the next call.

    Attributes:
        location: zone and region of the gateway.
        pool: index of the pool whose endpoint list is watched.
        version: version of the list that the gateway has; None if it has none.
        responses: number of responses received since the last start.
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
        self._call_id = 0  # Id of the current call; responses to earlier calls are ignored.

    def start(self, version: int | None) -> None:
        """Start watching for changes after a version of the list; None requests a snapshot."""
        self.version = version
        self.responses = 0
        self._send_call()

    def stop(self) -> None:
        """Abandon the open call."""
        self._call_id += 1
        self._service.forget(self)

    def receive(self, call_id: int, update: EndpointUpdate, version: int | None) -> None:
        """Process a response and schedule the next call.

        The response has no endpoints if the list did not change before the long poll expired. The first
        response since the start is passed on even then, because it confirms that the cached list is current.
        """
        if call_id != self._call_id:
            return
        self.version = version
        self.responses += 1
        if update.endpoints or update.kind is UpdateKind.SNAPSHOT or self.responses == 1:
            self._on_update(update)
        self._call_id += 1
        pause_ms = 0.0 if update.endpoints else 1000.0 * EMPTY_RESPONSE_PAUSE_S * EMPTY_RESPONSE_PAUSE_SHARE
        self._scheduler.schedule_after(pause_ms, self._retry, self._call_id)

    def receive_overloaded(self, call_id: int) -> None:
        """Process a 503: call again after a random delay.

        The range of the delay is proportional to the number of gateways, up to `MAX_POLL_DELAY_S`, so that
        rejected gateways do not all call again at once.
        """
        if call_id == self._call_id:
            spread_s = min(MAX_POLL_DELAY_S, self._gateway_count * POLL_SPACING_PER_GATEWAY_S)
            self._back_off(1000.0 * self._rng.random() * spread_s)

    def _send_call(self) -> None:
        self._call_id += 1
        self._scheduler.schedule_after(
            1000.0 * (LONG_POLL_S + RESPONSE_GRACE_S), self._time_out, self._call_id
        )
        self._service.call(self, self._call_id)

    def _time_out(self, call_id: int) -> None:
        if call_id == self._call_id:
            self._back_off(1000.0 * RECONNECT_DELAY_S * self._rng.uniform(*RECONNECT_JITTER))

    def _back_off(self, wait_ms: float) -> None:
        self.stop()
        self._scheduler.schedule_after(wait_ms, self._retry, self._call_id)

    def _retry(self, call_id: int) -> None:
        """Send the next call, unless the watch was stopped or sent another call since this was scheduled."""
        if call_id == self._call_id:
            self._send_call()
