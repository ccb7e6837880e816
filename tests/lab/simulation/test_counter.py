"""The simulated counter behaves as the protocol specification says: queueing, expiry of keys, outages."""

from __future__ import annotations

from typing import Any

from quota_gateway.lab.simulation.counter import SharedCounter
from quota_gateway.lab.simulation.experiment import CounterConfig
from quota_gateway.lab.simulation.metrics import Metrics
from quota_gateway.lab.simulation.scheduler import EventScheduler
from quota_gateway.policy_api.events import CallOutcome
from tests.lab.simulation.fleets import ZONE_0


class CounterHarness:
    """A counter with one partition that executes 100 calls/s, and the replies to all calls so far."""

    def __init__(self, **config: Any) -> None:
        self.scheduler = EventScheduler()
        self.metrics = Metrics()
        counter_config = CounterConfig(
            partitions=1,
            calls_per_s=(100.0, 100.0),
            processing_ms=(1.0, 1.0),
            queue_limit_timeouts=(1.0, 1.0),
            **config,
        )
        self.counter = SharedCounter(self.scheduler, self.metrics, counter_config, [ZONE_0], seed=1)
        self.replies: list[tuple[float, CallOutcome, float]] = []

    def call(self, key: int = 5, amount: float = 1.0, ttl: float = 60_000.0) -> None:
        _, partition = self.counter.partition_of(0, key)
        self.counter.call(partition, key, amount, ttl, self.reply)

    def reply(self, outcome: CallOutcome, total: float) -> None:
        self.replies.append((self.scheduler.now, outcome, total))

    def run(self, ms: float) -> None:
        self.scheduler.run_until(self.scheduler.now + ms)


def test_a_partition_takes_calls_in_turn_and_rejects_them_when_its_queue_is_long() -> None:
    harness = CounterHarness(timeout_ms=50.0)
    start = harness.scheduler.now
    for _ in range(10):
        harness.call()
    harness.run(1000.0)
    rejected_at = [at for at, outcome, _ in harness.replies if outcome is CallOutcome.REJECTED]
    executed = [
        (round(at - start, 6), total) for at, outcome, total in harness.replies if outcome is CallOutcome.OK
    ]
    # The queue limit is one timeout of 50 ms, which is five calls besides the one that is being executed.
    assert rejected_at == [start] * 4
    assert executed == [(11.0 + 10.0 * i, i + 1.0) for i in range(6)]


def test_a_key_expires_after_the_ttl_of_its_first_call_and_a_minute_at_most() -> None:
    harness = CounterHarness()
    for key, ttl in ((1, 500.0), (2, 1e9)):
        harness.call(key, 3.0, ttl)
        harness.run(100.0)
        harness.call(key, -1.0, 1e9)  # Later calls do not extend the TTL.
        harness.run(500.0)
        harness.call(key, 1.0)
        harness.run(100.0)
    harness.run(60_000.0)
    harness.call(2, 1.0)
    harness.run(100.0)
    assert [total for _, _, total in harness.replies] == [3.0, 2.0, 1.0, 3.0, 2.0, 3.0, 1.0]


def test_a_silent_counter_replies_nothing_and_a_cleared_one_starts_from_zero() -> None:
    harness = CounterHarness()
    harness.call()
    harness.run(50.0)
    harness.counter.silent = True
    harness.call()
    harness.run(5000.0)
    harness.counter.silent = False
    harness.call()
    harness.run(50.0)
    harness.counter.clear()
    harness.call()
    harness.run(50.0)
    assert [total for _, _, total in harness.replies] == [1.0, 2.0, 1.0]
    assert harness.metrics.messages["counter"]["lost"] == 1
