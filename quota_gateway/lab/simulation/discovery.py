"""Discovery: one service of bounded capacity that answers gateways' watches on the endpoint list."""

from __future__ import annotations

from typing import Protocol

from quota_gateway.lab.simulation.endpoint_history import EndpointHistory
from quota_gateway.lab.simulation.experiment import DiscoveryConfig
from quota_gateway.lab.simulation.metrics import Message, Metrics, Role
from quota_gateway.lab.simulation.network import Location, Network
from quota_gateway.lab.simulation.random_streams import random_stream
from quota_gateway.lab.simulation.scheduler import EventScheduler
from quota_gateway.lab.simulation.wire_sizes import EMPTY_LIST_BYTES, HTTP_HEADER_BYTES, HTTP_REQUEST_BYTES
from quota_gateway.network.discovery.poll_schedule import FIRST_LONG_POLL_S, LONG_POLL_S
from quota_gateway.policy_api.endpoints import Endpoint, EndpointState, EndpointUpdate, UpdateKind

RESPONSE_DELAY_MS = 0.5  # of an answer that is sent at once; assumed
NEVER = float("inf")


class Watcher(Protocol):
    """A gateway's watch as the service sees it.

    Attributes:
        location: where its gateway stands.
        pool: whose endpoint list it watches.
        version: what it has; None: nothing.
        responses: answers that it has received since its start.
    """

    location: Location
    pool: int
    version: int | None
    responses: int

    def receive(self, call: int, update: EndpointUpdate, version: int | None) -> None:
        """Take the answer to a call: an update to a version."""

    def receive_overloaded(self, call: int) -> None:
        """Take a 503 in answer to a call."""


class DiscoveryService:
    """Answers calls in turn; each costs work, and so does each endpoint in its answer.

    Attributes:
        histories: the endpoint list of each pool.
        busy_ms: work done so far.
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
        self._parked: list[dict[Watcher, int]] = [{} for _ in range(pool_count)]  # open watches, by call
        self._free_at = 0.0
        self._down = False
        self._down_at = self._up_at = 0.0
        self._leave_known_at: dict[str, float] = {}  # when it learned that a server drains or is gone

    def change(self, pool: int, endpoint: Endpoint) -> None:
        """Note a change of a server, which the service learns of late."""
        delay_ms = self._rng.uniform(*self.config.propagation_ms)
        self.scheduler.schedule_after(delay_ms, self.publish, pool, endpoint)

    def publish(self, pool: int, endpoint: Endpoint) -> None:
        """Make a change known; open watches are answered."""
        self.metrics.count_message(Role.DISCOVERY, Message.CHANGES)
        self.histories[pool].append(endpoint)
        if endpoint.state is EndpointState.ACTIVE:
            self._leave_known_at.pop(endpoint.server_id, None)
        else:
            self._leave_known_at.setdefault(endpoint.server_id, self.scheduler.now)
        if self._down:
            return
        parked, self._parked[pool] = self._parked[pool], {}
        for watcher, call in parked.items():
            self._enqueue(watcher, call)

    def notification_deadline(self, server: str, location: Location) -> float:
        """Return when a gateway counts as notified that a server drains or is gone, ms; inf: it does not yet.

        That is a fixed time after discovery knew it and could be reached.
        """
        if not self.network.connected(location, self.location):
            return NEVER
        healed_at = self.network.healed_at
        known_at = max(
            self._leave_known_at.get(server, NEVER),
            healed_at.get(location.zone, 0.0),
            healed_at.get(self.location.zone, 0.0),
        )
        allowed_ms = self.config.notification_deadline_ms
        went_down_before_deadline = self._down_at < known_at + allowed_ms
        if self._down and went_down_before_deadline:
            return NEVER
        if went_down_before_deadline and self._up_at > known_at:
            return self._up_at + allowed_ms
        return known_at + allowed_ms

    def call(self, watcher: Watcher, call: int) -> None:
        """Take a call: answered in turn, parked until there is a change, or rejected."""
        if self._down or not self.network.connected(watcher.location, self.location):
            return
        self.metrics.count_message(Role.DISCOVERY, Message.CALLS, HTTP_REQUEST_BYTES)
        if self._free_at - self.scheduler.now > self.config.max_queue_ms:
            self.metrics.count_message(Role.DISCOVERY, Message.OVERLOADED, HTTP_HEADER_BYTES)
            self.scheduler.schedule_after(RESPONSE_DELAY_MS, watcher.receive_overloaded, call)
            return
        if watcher.version is None or self.histories[watcher.pool].version > watcher.version:
            self._enqueue(watcher, call)
        else:
            self._parked[watcher.pool][watcher] = call
            wait_s = LONG_POLL_S if watcher.responses else FIRST_LONG_POLL_S
            self.scheduler.schedule_after(1000.0 * wait_s, self._expire, watcher, call)

    def forget(self, watcher: Watcher) -> None:
        """Close a watch: its connection is gone."""
        self._parked[watcher.pool].pop(watcher, None)

    def stop(self) -> None:
        """Stop answering; open watches get no response."""
        self._down, self._down_at = True, self.scheduler.now
        for parked in self._parked:
            parked.clear()

    def start(self) -> None:
        """Come back, with all lists."""
        self._down, self._up_at = False, self.scheduler.now

    def _pending_update(self, watcher: Watcher) -> EndpointUpdate:
        return self.histories[watcher.pool].update_since(watcher.version, self.config.history_limit)

    def _enqueue(self, watcher: Watcher, call: int) -> None:
        self._add_work(len(self._pending_update(watcher).endpoints))
        self.scheduler.schedule_at(self._free_at, self._respond, watcher, call)

    def _add_work(self, endpoints: int) -> None:
        """Add the work of one answer behind all that is queued."""
        cost_ms = self.config.call_cost_ms + self.config.endpoint_cost_ms * endpoints
        self.busy_ms += cost_ms
        self._free_at = max(self.scheduler.now, self._free_at) + cost_ms

    def _respond(self, watcher: Watcher, call: int) -> None:
        """Send an answer, which may be lost on the way."""
        if self._down:
            return
        update, history = self._pending_update(watcher), self.histories[watcher.pool]
        size = HTTP_HEADER_BYTES + EMPTY_LIST_BYTES + history.update_bytes(update)
        kind = Message.SNAPSHOTS if update.kind is UpdateKind.SNAPSHOT else Message.DELTAS
        self.metrics.count_message(Role.DISCOVERY, kind, size)
        self.metrics.messages[Role.DISCOVERY][Message.ENDPOINTS] += len(update.endpoints)
        lost = self.config.loss_share and self._rng.random() < self.config.loss_share
        if lost or not self.network.connected(watcher.location, self.location):
            self.metrics.count_message(Role.DISCOVERY, Message.LOST)
            return
        self.scheduler.schedule_after(RESPONSE_DELAY_MS, watcher.receive, call, update, history.version)

    def _expire(self, watcher: Watcher, call: int) -> None:
        """End a watch that has seen no change."""
        if self._parked[watcher.pool].get(watcher) != call:
            return
        self.forget(watcher)
        if self._down or not self.network.connected(watcher.location, self.location):
            return
        self._add_work(0)
        self.metrics.count_message(Role.DISCOVERY, Message.EMPTY, HTTP_HEADER_BYTES + EMPTY_LIST_BYTES)
        unchanged = EndpointUpdate(UpdateKind.DELTA, ())
        self.scheduler.schedule_at(self._free_at, watcher.receive, call, unchanged, watcher.version)
