"""Servers: cores, a waiting room, cold starts and falls, drains, hangs and crashes."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from quota_gateway.lab.simulation.experiment import Servers as Figures
from quota_gateway.lab.simulation.metrics import Books, Fall
from quota_gateway.lab.simulation.network import Place
from quota_gateway.lab.simulation.scheduler import Kernel
from quota_gateway.policy_api.endpoints import Endpoint, EndpointState
from quota_gateway.policy_api.events import CallOutcome

REJECT_MS = 0.05  # to turn a request away; BENCH: all work that reaches a server adds load


class Life(Enum):
    """What a server's process does."""

    UP = "up"
    DRAINING = "draining"  # completes what it has
    HUNG = "hung"  # takes requests and answers none
    DOWN = "down"  # refuses connections
    VANISHED = "vanished"  # says nothing at all


@dataclass(slots=True, eq=False)
class Job:
    """An attempt as a server sees it. `answer` takes its ending, at the server's door."""

    work_ms: float
    answer: Callable[[CallOutcome], None]
    told: bool = True  # the gateway has been told of the server's last start
    waiting: bool = False
    over: bool = False  # nobody waits for it any more


class Server:
    """One machine. The work of a request is spread over no more than one core."""

    def __init__(
        self, kernel: Kernel, books: Books, figures: Figures, name: str, place: Place, pace: float, pool: int
    ) -> None:
        self.kernel = kernel
        self.books = books
        self.figures = figures
        self.name = name
        self.place = place
        self.pool = pool
        self.pace = pace  # mean work of a request, ms
        self.life = Life.UP
        self.started_ms = 0.0  # 0: long ago
        self.running: dict[Job, None] = {}  # in order of their starts
        self.line: deque[Job] = deque()
        self.calls: deque[tuple[float, bool]] = deque()  # of the overload window, while cold
        self.busy_ms = 0.0
        self.serves = 0
        self.drains_at = -1.0  # when it began to drain or was gone, if it was

    def entry(self, state: EndpointState = EndpointState.ACTIVE) -> Endpoint:
        """As the list names it."""
        return Endpoint(self.name, self.place.zone, 0, 1.0, self.started_ms, state)

    def warmth(self) -> float:
        """Share of its capacity, which grows evenly in time (BENCH, "The world")."""
        f = self.figures
        if not self.started_ms:
            return 1.0
        return min(1.0, f.cold_share + (1.0 - f.cold_share) * (self.kernel.now - self.started_ms) / f.warm_ms)

    def budget(self) -> float:
        """N: calls in the overload window beyond which a cold server falls, at its present capacity."""
        f = self.figures
        return f.overload_factor * self.warmth() * f.cores * f.overload_ms / self.pace

    def take(self, job: Job) -> None:
        """A request has come whole."""
        if self.life in (Life.DOWN, Life.VANISHED):
            return
        self.books.count("server", "requests")
        if self.started_ms and self.warmth() < 1.0 and self.falls(job):
            return
        if self.life is Life.DRAINING or (
            len(self.running) >= self.figures.cores and len(self.line) >= self.figures.room
        ):
            self.busy_ms += REJECT_MS
            job.answer(CallOutcome.REJECTED)
        elif self.life is Life.HUNG or len(self.running) >= self.figures.cores:
            job.waiting = True
            self.line.append(job)
        else:
            self.begin(job)

    def falls(self, job: Job) -> bool:
        """Whether this call pushes the cold server over: more in a window than N + 2 sqrt(N) + 2 (letter)."""
        now, calls = self.kernel.now, self.calls
        calls.append((now, job.told))
        while calls[0][0] < now - self.figures.overload_ms:
            calls.popleft()
        budget = self.budget()
        limit = budget + 2.0 * budget**0.5 + 2.0
        self.books.nearest_to_fall = max(self.books.nearest_to_fall, len(calls) / limit)
        if len(calls) <= limit:
            return False
        self.running[job] = None
        told = sum(heard for _, heard in calls)
        self.books.falls.append(Fall(now, self.name, len(calls), budget, told))
        self.stop(Life.DOWN)
        return True

    def begin(self, job: Job) -> None:
        """Starts a request on a free core, at the speed of this moment."""
        job.waiting = False
        self.running[job] = None
        took = job.work_ms / self.warmth()
        self.busy_ms += took
        self.kernel.after(took, self.finish, job)

    def finish(self, job: Job) -> None:
        """A request is done."""
        if job not in self.running:
            return
        if self.life is Life.HUNG:
            self.kernel.after(50.0, self.finish, job)
            return
        del self.running[job]
        self.serves += 1
        if job.over:
            self.books.count("server", "wasted")
        job.answer(CallOutcome.OK)
        self.next()

    def next(self) -> None:
        """Takes waiting requests to free cores."""
        while self.line and len(self.running) < self.figures.cores and self.life is not Life.HUNG:
            job = self.line.popleft()
            if not job.over:
                self.begin(job)

    def drop(self, job: Job) -> None:
        """Nobody waits any more: waiting work goes, running work where the figures say so (brief 3.2)."""
        job.over = True
        if job.waiting:
            job.waiting = False
            self.line.remove(job)
        elif self.figures.stops and job in self.running:
            del self.running[job]
            self.next()

    def stop(self, life: Life) -> None:
        """The process ends: what it held is reset, or told nothing where the machine vanished."""
        held = [*self.running, *self.line]
        self.running.clear()
        self.line.clear()
        self.calls.clear()
        self.life = life
        if life is Life.DOWN:
            for job in held:
                job.answer(CallOutcome.RESET)

    def resume(self) -> None:
        """A hang is over."""
        if self.life is Life.HUNG:
            self.life = Life.UP
            self.next()

    def start(self) -> None:
        """A new process, cold."""
        self.life, self.started_ms = Life.UP, self.kernel.now
        self.calls.clear()
