"""Model of the discovery service: one server of bounded capacity that answers watches on endpoint lists."""

from __future__ import annotations

from typing import Protocol

from quota_gateway.lab.simulation.endpoint_history import EndpointHistory
from quota_gateway.lab.simulation.experiment import DiscoveryConfig
from quota_gateway.lab.simulation.metrics import Message, Metrics, Role
from quota_gateway.lab.simulation.network import Location, Network
from quota_gateway.lab.simulation.random_streams import random_stream
from quota_gateway.lab.simulation.scheduler import EventScheduler
from quota_gateway.lab.simulation.wire_sizes import EMPTY_LIST_BYTES, HTTP_HEADER_BYTES, HTTP_REQUEST_BYTES
from quota_gateway.network.discovery.poll_schedule import CONFIRMATION_POLL_S, LONG_POLL_S
from quota_gateway.policy_api.endpoints import Endpoint, EndpointState, EndpointUpdate, UpdateKind

RESPONSE_DELAY_MS = 0.5  # Time from the sending of a response to its arrival at the gateway.
NEVER = float("inf")


class Watcher(Protocol):
    """A gateway's watch as seen by the service.

    Attributes:
        location: zone and region of the gateway.
        pool: index of the pool whose endpoint list is watched.
        version: version of the list that the gateway has; None if it has none.
        responses: number of responses received since the start of the watch.
    """

    location: Location
    pool: int
    version: int | None
    responses: int

    def receive(self, call_id: int, update: EndpointUpdate, version: int | None) -> None:
        """Process the response to a call: an update of the list, and the version that it leads to."""

    def receive_overloaded(self, call_id: int) -> None:
        """Process a 503 response to a call."""


class DiscoveryService:
    """Answers calls in the order of their arrival. Each call and each endpoint in its response costs work.

    A call of a watch that has the current version stays open until the list changes or the long poll expires.

    Attributes:
        location: zone and region of the service.
        histories: endpoint list and its changes, by pool index.
        busy_ms: time spent on calls so far, ms.
    """

    def __init__(
        self,
        scheduler: EventScheduler,
        metrics: Metrics,
        config: DiscoveryConfig,
        network: Network,
        location: Location,
        pool_count: int,
        seed: int,
    ) -> None:
        self.scheduler = scheduler
        self.network = network
        self.location = location
        self.metrics = metrics
        self.config = config
        self.histories = [EndpointHistory() for _ in range(pool_count)]
        self.busy_ms = 0.0
        self._rng = random_stream(seed, "discovery")
        # Ids of the calls that are kept open, by pool and watch.
        self._parked: list[dict[Watcher, int]] = [{} for _ in range(pool_count)]
        self._free_at = 0.0  # Time at which all queued responses will have been sent.
        self._down = False
        self._down_at = 0.0
        self._up_at = 0.0
        # Time at which the service learned that a server drains or is gone, by server.
        self._leave_known_at: dict[str, float] = {}

    def change(self, pool: int, endpoint: Endpoint) -> None:
        """Report a change of a server; the service learns of it and publishes it after a delay."""
        delay_ms = self._rng.uniform(*self.config.propagation_ms)
        self.scheduler.schedule_after(delay_ms, self.publish, pool, endpoint)

    def publish(self, pool: int, endpoint: Endpoint) -> None:
        """Add a change to the endpoint list of a pool, and answer the open watches on it."""
        self.metrics.count_message(Role.DISCOVERY, Message.CHANGES)
        self.histories[pool].append(endpoint)
        if endpoint.state is EndpointState.ACTIVE:
            self._leave_known_at.pop(endpoint.server_id, None)
        else:
            self._leave_known_at.setdefault(endpoint.server_id, self.scheduler.now)
        if self._down:
            return
        parked, self._parked[pool] = self._parked[pool], {}
        for watcher, call_id in parked.items():
            self._enqueue(watcher, call_id)

    def notification_deadline(self, server: str, location: Location) -> float:
        """Return the time from which a gateway counts as notified that a server drains or is gone, ms.

        It is `notification_deadline_ms` after the service knew of the change, was up and could be reached
        from the gateway's location; infinity while one of these conditions does not hold. An outage of the
        service that begins after this time does not move it.
        """
        if not self.network.connected(location, self.location):
            return NEVER
        healed_at = self.network.healed_at
        known_at = max(
            self._leave_known_at.get(server, NEVER),
            healed_at.get(location.zone, 0.0),
            healed_at.get(self.location.zone, 0.0),
        )
        notice_period_ms = self.config.notification_deadline_ms
        went_down_before_deadline = self._down_at < known_at + notice_period_ms
        if self._down and went_down_before_deadline:
            return NEVER
        if went_down_before_deadline and self._up_at > known_at:
            return self._up_at + notice_period_ms
        return known_at + notice_period_ms

    def call(self, watcher: Watcher, call_id: int) -> None:
        """Accept a call: queue its response, keep it open until the list changes, or reject it with a 503."""
        if self._down or not self.network.connected(watcher.location, self.location):
            return
        self.metrics.count_message(Role.DISCOVERY, Message.CALLS, HTTP_REQUEST_BYTES)
        if self._free_at - self.scheduler.now > self.config.max_queue_ms:
            self.metrics.count_message(Role.DISCOVERY, Message.OVERLOADED, HTTP_HEADER_BYTES)
            self.scheduler.schedule_after(RESPONSE_DELAY_MS, watcher.receive_overloaded, call_id)
            return
        if watcher.version is None or self.histories[watcher.pool].version > watcher.version:
            self._enqueue(watcher, call_id)
        else:
            self._parked[watcher.pool][watcher] = call_id
            wait_s = LONG_POLL_S if watcher.responses else CONFIRMATION_POLL_S
            self.scheduler.schedule_after(1000.0 * wait_s, self._expire, watcher, call_id)

    def forget(self, watcher: Watcher) -> None:
        """Drop the open call of a watch whose connection is closed."""
        self._parked[watcher.pool].pop(watcher, None)

    def stop(self) -> None:
        """Begin an outage: the service responds to no calls, neither new nor open ones."""
        self._down = True
        self._down_at = self.scheduler.now
        for parked in self._parked:
            parked.clear()

    def start(self) -> None:
        """End an outage; the endpoint lists include the changes made during it."""
        self._down = False
        self._up_at = self.scheduler.now

    def _pending_update(self, watcher: Watcher) -> EndpointUpdate:
        return self.histories[watcher.pool].update_since(watcher.version, self.config.history_limit)

    def _enqueue(self, watcher: Watcher, call_id: int) -> None:
        self._add_work(len(self._pending_update(watcher).endpoints))
        self.scheduler.schedule_at(self._free_at, self._respond, watcher, call_id)

    def _add_work(self, endpoints: int) -> None:
        """Add the work of one response with this many endpoints to the queue."""
        cost_ms = self.config.call_cost_ms + self.config.endpoint_cost_ms * endpoints
        self.busy_ms += cost_ms
        self._free_at = max(self.scheduler.now, self._free_at) + cost_ms

    def _respond(self, watcher: Watcher, call_id: int) -> None:
        """Send a response with the changes since the watch's version; it may be lost on the way."""
        if self._down:
            return
        update = self._pending_update(watcher)
        history = self.histories[watcher.pool]
        size = HTTP_HEADER_BYTES + EMPTY_LIST_BYTES + history.update_bytes(update)
        kind = Message.SNAPSHOTS if update.kind is UpdateKind.SNAPSHOT else Message.DELTAS
        self.metrics.count_message(Role.DISCOVERY, kind, size)
        self.metrics.messages[Role.DISCOVERY][Message.ENDPOINTS] += len(update.endpoints)
        lost = self.config.loss_share and self._rng.random() < self.config.loss_share
        if lost or not self.network.connected(watcher.location, self.location):
            self.metrics.count_message(Role.DISCOVERY, Message.LOST)
            return
        self.scheduler.schedule_after(RESPONSE_DELAY_MS, watcher.receive, call_id, update, history.version)

    def _expire(self, watcher: Watcher, call_id: int) -> None:
        """Send an empty response to a call that is still open when its long poll expires."""
        if self._parked[watcher.pool].get(watcher) != call_id:
            return
        self.forget(watcher)
        if self._down or not self.network.connected(watcher.location, self.location):
            return
        self._add_work(0)
        self.metrics.count_message(Role.DISCOVERY, Message.EMPTY, HTTP_HEADER_BYTES + EMPTY_LIST_BYTES)
        unchanged = EndpointUpdate(UpdateKind.DELTA, ())
        self.scheduler.schedule_at(self._free_at, watcher.receive, call_id, unchanged, watcher.version)
