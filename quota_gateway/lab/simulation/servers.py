"""Servers: cores, a bounded queue, warming up and overload, drains, hangs and crashes."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from quota_gateway.lab.simulation.experiment import ServerConfig
from quota_gateway.lab.simulation.metrics import ColdServerFailure, Message, Metrics, Role, overload_limit
from quota_gateway.lab.simulation.network import Location
from quota_gateway.lab.simulation.scheduler import EventScheduler
from quota_gateway.policy_api.endpoints import Endpoint, EndpointState
from quota_gateway.policy_api.events import CallOutcome

REJECT_MS = 0.05  # work to reject a request; BENCH: all work that reaches a server adds load
HANG_POLL_MS = 50.0  # a completed request of a hung server is looked at again after this


class ServerState(Enum):
    """What a server's process does."""

    UP = "up"
    DRAINING = "draining"  # completes what it has
    HUNG = "hung"  # accepts requests and answers none
    DOWN = "down"  # refuses connections
    VANISHED = "vanished"  # sends nothing at all


@dataclass(slots=True, eq=False)
class ServerTask:
    """A request as a server sees it. `respond` is called with its outcome when the response leaves."""

    work_ms: float
    respond: Callable[[CallOutcome], None]
    start_notified: bool = True  # the gateway has been notified of the server's last start
    queued: bool = False
    cancelled: bool = False  # nobody waits for it any more


class Server:
    """One machine. The work of a request takes one core.

    Attributes:
        service_time_ms: mean work of a request on one warm core, ms.
        started_ms: start of the process; 0 means long ago, that is warm.
        busy_ms: work done so far, in ms of one core.
    """

    def __init__(
        self,
        scheduler: EventScheduler,
        metrics: Metrics,
        config: ServerConfig,
        name: str,
        location: Location,
        service_time_ms: float,
        pool: int,
    ) -> None:
        self.scheduler = scheduler
        self.metrics = metrics
        self.config = config
        self.name = name
        self.location = location
        self.pool = pool
        self.service_time_ms = service_time_ms
        self.state = ServerState.UP
        self.started_ms = 0.0
        self.running: dict[ServerTask, None] = {}  # in order of their starts
        self.queue: deque[ServerTask] = deque()
        self.completed = 0
        self.busy_ms = 0.0
        # Calls in the overload window while warming up: their time, and whether the caller had been notified.
        self._window: deque[tuple[float, bool]] = deque()

    def endpoint(self, state: EndpointState = EndpointState.ACTIVE) -> Endpoint:
        """Return the server as the endpoint list names it."""
        return Endpoint(self.name, self.location.zone, 0, 1.0, self.started_ms, state)

    def warm_up_factor(self) -> float:
        """Return the present share of its capacity, which grows evenly in time (BENCH, "The world")."""
        if not self.started_ms:
            return 1.0
        initial = self.config.initial_capacity_share
        age_ms = self.scheduler.now - self.started_ms
        return min(1.0, initial + (1.0 - initial) * age_ms / self.config.warm_up_ms)

    def overload_budget(self) -> float:
        """Return the calls in the overload window that its present capacity allows."""
        config = self.config
        capacity = self.warm_up_factor() * config.cores
        return config.overload_factor * capacity * config.overload_window_ms / self.service_time_ms

    def accept(self, task: ServerTask) -> None:
        """Take a request: start, queue or reject it."""
        if self.state in (ServerState.DOWN, ServerState.VANISHED):
            return
        self.metrics.count_message(Role.SERVER, Message.REQUESTS)
        if self.started_ms and self.warm_up_factor() < 1.0 and self._fails_from_overload(task):
            return
        cores_busy = len(self.running) >= self.config.cores
        queue_full = len(self.queue) >= self.config.queue_capacity
        if self.state is ServerState.DRAINING or (cores_busy and queue_full):
            self.busy_ms += REJECT_MS
            task.respond(CallOutcome.REJECTED)
        elif self.state is ServerState.HUNG or cores_busy:
            task.queued = True
            self.queue.append(task)
        else:
            self._begin(task)

    def cancel(self, task: ServerTask) -> None:
        """Note that nobody waits for a request.

        A queued one is dropped; a running one goes on unless the configuration says that it stops (brief
        3.2).
        """
        task.cancelled = True
        if task.queued:
            task.queued = False
            self.queue.remove(task)
        elif self.config.cancels_running_work and task in self.running:
            del self.running[task]
            self._begin_queued()

    def stop(self, state: ServerState) -> None:
        """End the process: what it held is reset, or gets no response where the machine vanished."""
        held = [*self.running, *self.queue]
        self.running.clear()
        self.queue.clear()
        self._window.clear()
        self.state = state
        if state is ServerState.DOWN:
            for task in held:
                task.respond(CallOutcome.RESET)

    def resume(self) -> None:
        """End a hang."""
        if self.state is ServerState.HUNG:
            self.state = ServerState.UP
            self._begin_queued()

    def start(self) -> None:
        """Start a new process, which has to warm up."""
        self.state, self.started_ms = ServerState.UP, self.scheduler.now
        self._window.clear()

    def _fails_from_overload(self, task: ServerTask) -> bool:
        """Return whether this call is more than the warming server bears; if so, stop it."""
        now, window = self.scheduler.now, self._window
        window.append((now, task.start_notified))
        while window[0][0] < now - self.config.overload_window_ms:
            window.popleft()
        budget = self.overload_budget()
        limit = overload_limit(budget)
        self.metrics.peak_cold_load = max(self.metrics.peak_cold_load, len(window) / limit)
        if len(window) <= limit:
            return False
        self.running[task] = None
        notified = sum(caller_notified for _, caller_notified in window)
        self.metrics.cold_failures.append(ColdServerFailure(now, self.name, len(window), budget, notified))
        self.stop(ServerState.DOWN)
        return True

    def _begin(self, task: ServerTask) -> None:
        """Start a request on a free core, at the speed of this moment."""
        task.queued = False
        self.running[task] = None
        duration_ms = task.work_ms / self.warm_up_factor()
        self.busy_ms += duration_ms
        self.scheduler.schedule_after(duration_ms, self._complete, task)

    def _complete(self, task: ServerTask) -> None:
        if task not in self.running:
            return
        if self.state is ServerState.HUNG:
            self.scheduler.schedule_after(HANG_POLL_MS, self._complete, task)
            return
        del self.running[task]
        self.completed += 1
        if task.cancelled:
            self.metrics.count_message(Role.SERVER, Message.WASTED)
        task.respond(CallOutcome.OK)
        self._begin_queued()

    def _begin_queued(self) -> None:
        """Move queued requests to free cores."""
        while self.queue and len(self.running) < self.config.cores and self.state is not ServerState.HUNG:
            task = self.queue.popleft()
            if not task.cancelled:
                self._begin(task)
