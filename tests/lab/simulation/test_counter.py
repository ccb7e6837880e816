"""The simulated counter against PROTOCOL."""

from __future__ import annotations

from typing import Any

from quota_gateway.lab.simulation.counter import SharedCounter
from quota_gateway.lab.simulation.experiment import CounterConfig
from quota_gateway.lab.simulation.metrics import Metrics
from quota_gateway.lab.simulation.scheduler import EventScheduler
from quota_gateway.policy_api.events import CallOutcome
from tests.lab.simulation.fleets import ZONE_0


class Calls:
    """A counter of one partition at 100 calls a second, with the replies to its calls."""

    def __init__(self, **config: Any) -> None:
        self.scheduler, self.metrics = EventScheduler(), Metrics()
        figures = CounterConfig(
            partitions=1,
            calls_per_s=(100.0, 100.0),
            processing_ms=(1.0, 1.0),
            queue_limit_timeouts=(1.0, 1.0),
            **config,
        )
        self.counter = SharedCounter(self.scheduler, self.metrics, figures, [ZONE_0], seed=1)
        self.replies: list[tuple[float, CallOutcome, float]] = []

    def call(self, key: int = 5, amount: float = 1.0, ttl: float = 60_000.0) -> None:
        _, partition = self.counter.partition_of(0, key)
        self.counter.call(partition, key, amount, ttl, self.reply)

    def reply(self, outcome: CallOutcome, total: float) -> None:
        self.replies.append((self.scheduler.now, outcome, total))

    def run(self, ms: float) -> None:
        self.scheduler.run_until(self.scheduler.now + ms)


def test_a_partition_takes_calls_in_turn_and_rejects_them_when_its_queue_is_long() -> None:
    calls = Calls(timeout_ms=50.0)
    start = calls.scheduler.now
    for _ in range(10):
        calls.call()
    calls.run(1000.0)
    busy = [at for at, outcome, _ in calls.replies if outcome is CallOutcome.REJECTED]
    added = [
        (round(at - start, 6), total) for at, outcome, total in calls.replies if outcome is CallOutcome.OK
    ]
    assert busy == [start] * 4  # the queue holds one time-out, five calls, besides the one that is served
    assert added == [(11.0 + 10.0 * i, i + 1.0) for i in range(6)]


def test_a_key_expires_after_the_ttl_of_its_first_call_and_a_minute_at_most() -> None:
    calls = Calls()
    for key, ttl in ((1, 500.0), (2, 1e9)):
        calls.call(key, 3.0, ttl)
        calls.run(100.0)
        calls.call(key, -1.0, 1e9)  # later calls do not extend it
        calls.run(500.0)
        calls.call(key, 1.0)
        calls.run(100.0)
    calls.run(60_000.0)
    calls.call(2, 1.0)
    calls.run(100.0)
    assert [total for _, _, total in calls.replies] == [3.0, 2.0, 1.0, 3.0, 2.0, 3.0, 1.0]


def test_a_silent_counter_replies_nothing_and_a_cleared_one_starts_from_zero() -> None:
    calls = Calls()
    calls.call()
    calls.run(50.0)
    calls.counter.silent = True
    calls.call()
    calls.run(5000.0)
    calls.counter.silent = False
    calls.call()
    calls.run(50.0)
    calls.counter.clear()
    calls.call()
    calls.run(50.0)
    assert [total for _, _, total in calls.replies] == [1.0, 2.0, 1.0]
    assert calls.metrics.messages["counter"]["lost"] == 1
