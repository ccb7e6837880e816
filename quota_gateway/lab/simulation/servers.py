"""Model of a server: cores, a bounded queue, warm-up, failure from overload, drains, hangs and crashes."""

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

REJECT_MS = 0.05  # Core time of a rejected request; each request that reaches a server adds load.
HANG_POLL_MS = 50.0  # Interval at which a hung server checks whether a request that is due may complete.


class ServerState(Enum):
    """State of a server's process."""

    UP = "up"
    DRAINING = "draining"  # Completes accepted requests and rejects new ones.
    HUNG = "hung"  # Accepts requests and answers none.
    DOWN = "down"  # Refuses connections.
    VANISHED = "vanished"  # Sends nothing, not even resets.


@dataclass(slots=True, eq=False)
class ServerTask:
    """A request at a server.

    Attributes:
        work_ms: work of the request on one core of a warm server, ms.
        respond: called with the outcome when the server sends its response.
        start_notified: whether the gateway has been notified of the server's last start.
        queued: whether the request is in the server's queue.
        cancelled: whether the gateway no longer waits for the response.
    """

    work_ms: float
    respond: Callable[[CallOutcome], None]
    start_notified: bool = True
    queued: bool = False
    cancelled: bool = False


class Server:
    """A server's machine. Each request occupies one core.

    Attributes:
        service_time_ms: mean work of a request on one core of a warm server, ms.
        started_ms: start of the process, simulated ms; 0 for a server that is warm from the beginning.
        running: requests that occupy a core, in order of their starts.
        completed: number of completed requests.
        busy_ms: core time of all requests started or rejected so far, ms.
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
        self.running: dict[ServerTask, None] = {}
        self.queue: deque[ServerTask] = deque()
        self.completed = 0
        self.busy_ms = 0.0
        # Calls in the overload window during warm-up: time of the call, and whether its gateway had been
        # notified of the server's start.
        self._window: deque[tuple[float, bool]] = deque()

    def endpoint(self, state: EndpointState = EndpointState.ACTIVE) -> Endpoint:
        """Return the server's entry in the endpoint list."""
        return Endpoint(self.name, self.location.zone, 0, 1.0, self.started_ms, state)

    def warm_up_factor(self) -> float:
        """Return the present capacity as a share of a warm server's; it grows linearly during warm-up."""
        if not self.started_ms:
            return 1.0
        initial = self.config.initial_capacity_share
        age_ms = self.scheduler.now - self.started_ms
        return min(1.0, initial + (1.0 - initial) * age_ms / self.config.warm_up_ms)

    def overload_budget(self) -> float:
        """Return the number of calls in one overload window that the present capacity allows."""
        config = self.config
        capacity = self.warm_up_factor() * config.cores
        return config.overload_factor * capacity * config.overload_window_ms / self.service_time_ms

    def accept(self, task: ServerTask) -> None:
        """Start, queue or reject a request; it gets no response if the server is down or has vanished."""
        if self.state in (ServerState.DOWN, ServerState.VANISHED):
            return
        self.metrics.count_message(Role.SERVER, Message.REQUESTS)
        if self.started_ms and self.warm_up_factor() < 1.0 and self._fails_from_overload(task):
            return
        all_cores_busy = len(self.running) >= self.config.cores
        queue_full = len(self.queue) >= self.config.queue_capacity
        if self.state is ServerState.DRAINING or (all_cores_busy and queue_full):
            self.busy_ms += REJECT_MS
            task.respond(CallOutcome.REJECTED)
        elif self.state is ServerState.HUNG or all_cores_busy:
            task.queued = True
            self.queue.append(task)
        else:
            self._begin(task)

    def cancel(self, task: ServerTask) -> None:
        """Cancel a request whose response is no longer needed.

        A queued request is dropped. A running one is completed, unless `cancels_running_work` is set.
        """
        task.cancelled = True
        if task.queued:
            task.queued = False
            self.queue.remove(task)
        elif self.config.cancels_running_work and task in self.running:
            del self.running[task]
            self._begin_queued()

    def stop(self, state: ServerState) -> None:
        """End the process. Its requests are reset if the state is DOWN, and get no response if VANISHED."""
        held_tasks = [*self.running, *self.queue]
        for task in self.queue:
            task.queued = False
        self.running.clear()
        self.queue.clear()
        self._window.clear()
        self.state = state
        if state is ServerState.DOWN:
            for task in held_tasks:
                task.respond(CallOutcome.RESET)

    def resume(self) -> None:
        """End a hang: the server continues with its requests."""
        if self.state is ServerState.HUNG:
            self.state = ServerState.UP
            self._begin_queued()

    def start(self) -> None:
        """Start a new process, which then warms up."""
        self.state = ServerState.UP
        self.started_ms = self.scheduler.now
        self._window.clear()

    def _fails_from_overload(self, task: ServerTask) -> bool:
        """Record a call at a warming server; if it exceeds the limit, stop the server and return True."""
        now = self.scheduler.now
        window = self._window
        window.append((now, task.start_notified))
        while window[0][0] < now - self.config.overload_window_ms:
            window.popleft()
        budget = self.overload_budget()
        limit = overload_limit(budget)
        self.metrics.peak_cold_load = max(self.metrics.peak_cold_load, len(window) / limit)
        if len(window) <= limit:
            return False
        self.running[task] = None  # This call is reset together with the others.
        notified = sum(caller_notified for _, caller_notified in window)
        self.metrics.cold_failures.append(ColdServerFailure(now, self.name, len(window), budget, notified))
        self.stop(ServerState.DOWN)
        return True

    def _begin(self, task: ServerTask) -> None:
        """Start a request on a free core. Its duration depends on the capacity at this moment."""
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
        """Start queued requests on free cores."""
        while self.queue and len(self.running) < self.config.cores and self.state is not ServerState.HUNG:
            task = self.queue.popleft()
            if not task.cancelled:
                self._begin(task)
