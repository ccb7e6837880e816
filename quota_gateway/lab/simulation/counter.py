"""Model of the shared counter: machines with a few partitions, each of which executes one call at a time."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from quota_gateway.lab.simulation.experiment import CounterConfig
from quota_gateway.lab.simulation.metrics import Message, Metrics, Role
from quota_gateway.lab.simulation.network import Location
from quota_gateway.lab.simulation.random_streams import random_stream
from quota_gateway.lab.simulation.scheduler import EventScheduler
from quota_gateway.policy_api.events import CallOutcome

MAX_TTL_MS = 60_000.0  # Longer TTLs are shortened to this.
EXPIRY_SWEEP_MS = 10_000.0  # Interval at which expired keys are removed, which only frees memory.

# Called with the outcome of a call and the key's total after it.
ReplyCallback = Callable[[CallOutcome, float], None]


@dataclass(slots=True)
class Entry:
    """The total of one key, which expires after the TTL of the key's first call."""

    total: float
    expires_at: float


class Partition:
    """A partition of the counter, which executes calls one after the other.

    Attributes:
        call_interval_ms: execution time of one call, ms.
        free_at: time at which all calls accepted so far will have been executed, ms.
        entries: totals by key; expired ones are removed from time to time.
        swept_at: time of the last removal of expired entries, ms.
    """

    def __init__(self, call_interval_ms: float) -> None:
        self.call_interval_ms = call_interval_ms
        self.free_at = 0.0
        self.entries: dict[int, Entry] = {}
        self.swept_at = 0.0

    def add(self, key: int, amount: float, ttl_ms: float, now: float) -> float:
        """Add an amount to a key, and return its total. The TTL is used only if the key has no live entry."""
        if now - self.swept_at > EXPIRY_SWEEP_MS:
            self.entries = {k: entry for k, entry in self.entries.items() if entry.expires_at > now}
            self.swept_at = now
        entry = self.entries.get(key)
        if entry is None or entry.expires_at <= now:
            entry = Entry(0.0, now + max(1.0, min(ttl_ms, MAX_TTL_MS)))
            self.entries[key] = entry
        entry.total = float(f"{entry.total + amount:.7g}")  # Totals have seven significant digits.
        return entry.total


class SharedCounter:
    """All machines of the counter. The keys of a region are spread over the partitions in that region.

    Attributes:
        calls_per_s: capacity of one machine.
        processing_ms: latency of a call in addition to queueing and execution, ms.
        max_queue_ms: queueing time above which a partition answers BUSY, ms.
        silent: whether the counter is unavailable and drops all calls.
    """

    def __init__(
        self,
        scheduler: EventScheduler,
        metrics: Metrics,
        config: CounterConfig,
        locations: list[Location],
        seed: int,
    ) -> None:
        self.scheduler = scheduler
        self.metrics = metrics
        self.config = config
        rng = random_stream(seed, "counter")
        self.calls_per_s = rng.uniform(*config.calls_per_s)
        self.processing_ms = rng.uniform(*config.processing_ms)
        self.max_queue_ms = rng.uniform(*config.queue_limit_timeouts) * config.timeout_ms
        self.silent = False
        self._rng = rng
        call_interval_ms = 1000.0 * config.partitions / self.calls_per_s
        self._by_region: dict[int, list[tuple[Location, Partition]]] = {}
        for location in locations:
            partitions = [(location, Partition(call_interval_ms)) for _ in range(config.partitions)]
            self._by_region.setdefault(location.region, []).extend(partitions)
        self._all = [located for region in sorted(self._by_region) for located in self._by_region[region]]

    def partition_of(self, region: int, key: int) -> tuple[Location, Partition]:
        """Return the partition that holds a key of a region, with its location.

        A region without machines uses those of all regions.
        """
        partitions = self._by_region.get(region) or self._all
        return partitions[key % len(partitions)]

    def call(
        self, partition: Partition, key: int, amount: float, ttl_ms: float, reply: ReplyCallback
    ) -> None:
        """Accept a call; `reply` is called when the counter sends the answer, unless the call is lost."""
        now = self.scheduler.now
        if self.silent or (self.config.loss_share and self._rng.random() < self.config.loss_share):
            self.metrics.count_message(Role.COUNTER, Message.LOST)
            return
        if partition.free_at - now > self.max_queue_ms:
            self.metrics.count_message(Role.COUNTER, Message.BUSY)
            reply(CallOutcome.REJECTED, 0.0)
            return
        partition.free_at = max(now, partition.free_at) + partition.call_interval_ms
        done_at = partition.free_at + self.processing_ms
        self.scheduler.schedule_at(done_at, self._execute, partition, key, amount, ttl_ms, reply)

    def clear(self) -> None:
        """Remove all entries."""
        for _, partition in self._all:
            partition.entries.clear()

    def _execute(
        self, partition: Partition, key: int, amount: float, ttl_ms: float, reply: ReplyCallback
    ) -> None:
        if self.silent:
            return
        total = partition.add(key, amount, ttl_ms, self.scheduler.now)
        self.metrics.count_message(Role.COUNTER, Message.ADDED)
        reply(CallOutcome.OK, total)
