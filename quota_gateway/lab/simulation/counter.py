"""The shared counter: machines of a few parts, each of which takes calls in turn (PROTOCOL, brief 7.6)."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from quota_gateway.lab.simulation.experiment import Counter as Figures
from quota_gateway.lab.simulation.metrics import Books
from quota_gateway.lab.simulation.network import Place
from quota_gateway.lab.simulation.scheduler import Kernel, stream
from quota_gateway.policy_api.events import CallOutcome

MOST_TTL_MS = 60_000.0
FORGET_MS = 10_000.0  # names that are over are cleared away this often; it costs memory only

Reply = Callable[[CallOutcome, float], None]


@dataclass(slots=True)
class Name:
    """A number; forgotten when the time given in its first call is up."""

    total: float
    until: float


class Part:
    """Takes one call after the other."""

    def __init__(self, gap_ms: float) -> None:
        self.gap_ms = gap_ms  # a call's turn
        self.free_at = 0.0
        self.names: dict[int, Name] = {}
        self.cleared = 0.0


class Counter:
    """All machines. Names of a region are spread over the parts of the machines that stand there."""

    def __init__(
        self, kernel: Kernel, books: Books, figures: Figures, places: list[Place], seed: int
    ) -> None:
        self.kernel = kernel
        self.books = books
        self.figures = figures
        rng = stream(seed, "counter")
        self.calls_per_s = rng.uniform(*figures.calls_per_s)  # of a machine
        self.call_ms = rng.uniform(*figures.call_ms)
        self.line_ms = rng.uniform(*figures.line) * figures.timeout_ms
        self.rng = rng
        self.mute = False
        gap = 1000.0 * figures.parts / self.calls_per_s
        self.parts: dict[int, list[tuple[Place, Part]]] = {}
        for place in places:
            made = [(place, Part(gap)) for _ in range(figures.parts)]
            self.parts.setdefault(place.region, []).extend(made)
        self.all = [part for region in sorted(self.parts) for part in self.parts[region]]

    def home(self, region: int, name: int) -> tuple[Place, Part]:
        """The part that holds a name."""
        near = self.parts.get(region) or self.all
        return near[name % len(near)]

    def call(self, part: Part, name: int, amount: float, ttl_ms: float, reply: Reply) -> None:
        """A call has come; `reply` is called with ending and total when its answer leaves, if one does."""
        now = self.kernel.now
        if self.mute or (self.figures.loss and self.rng.random() < self.figures.loss):
            self.books.count("counter", "lost")
            return
        if part.free_at - now > self.line_ms:
            self.books.count("counter", "busy")
            reply(CallOutcome.REJECTED, 0.0)
            return
        part.free_at = max(now, part.free_at) + part.gap_ms
        self.kernel.at(part.free_at + self.call_ms, self.add, part, name, amount, ttl_ms, reply)

    def add(self, part: Part, name: int, amount: float, ttl_ms: float, reply: Reply) -> None:
        """The call's turn."""
        if self.mute:
            return
        now = self.kernel.now
        if now - part.cleared > FORGET_MS:
            part.names = {key: held for key, held in part.names.items() if held.until > now}
            part.cleared = now
        held = part.names.get(name)
        if held is None or held.until <= now:
            held = part.names[name] = Name(0.0, now + max(1.0, min(ttl_ms, MOST_TTL_MS)))
        held.total = float(f"{held.total + amount:.7g}")  # exact to seven digits
        self.books.count("counter", "added")
        reply(CallOutcome.OK, held.total)

    def empty(self) -> None:
        """It lost all it held."""
        for _, part in self.all:
            part.names.clear()
