"""Simulated servers behave as the simulator wire specification says that servers do."""

from __future__ import annotations

from collections import Counter
from typing import Any

import pytest

from quota_gateway.lab.simulation.experiment import ServerConfig
from quota_gateway.lab.simulation.metrics import Metrics
from quota_gateway.lab.simulation.scheduler import EventScheduler
from quota_gateway.lab.simulation.servers import Server, ServerState, ServerTask
from quota_gateway.policy_api.events import CallOutcome
from tests.lab.simulation.fleets import ZONE_0


class Machine:
    """A server and the outcomes of its tasks, with the time of each response."""

    def __init__(self, **config: Any) -> None:
        self.scheduler = EventScheduler()
        self.metrics = Metrics()
        self.server = Server(
            self.scheduler, self.metrics, ServerConfig(**config), "s", ZONE_0, service_time_ms=100.0, pool=0
        )
        self.outcomes: list[tuple[float, CallOutcome]] = []

    def send(self, count: int = 1, work: float = 100.0) -> list[ServerTask]:
        tasks = [ServerTask(work, self.respond) for _ in range(count)]
        for task in tasks:
            self.server.accept(task)
        return tasks

    def respond(self, outcome: CallOutcome) -> None:
        self.outcomes.append((self.scheduler.now, outcome))

    def run(self, ms: float) -> None:
        self.scheduler.run_until(self.scheduler.now + ms)

    def counts(self) -> dict[CallOutcome, int]:
        return dict(Counter(outcome for _, outcome in self.outcomes))


def test_requests_beyond_cores_and_queue_are_rejected() -> None:
    machine = Machine(cores=2, queue_capacity=3)
    machine.send(8)
    assert machine.counts() == {CallOutcome.REJECTED: 3}
    machine.run(100.0)
    assert machine.counts() == {CallOutcome.REJECTED: 3, CallOutcome.OK: 2}
    machine.run(1000.0)
    assert machine.counts() == {CallOutcome.REJECTED: 3, CallOutcome.OK: 5}
    assert machine.outcomes[-1][0] - machine.outcomes[0][0] == pytest.approx(300.0)


def test_work_can_be_cancelled_after_its_server_has_vanished() -> None:
    """Guards against an experiment that ends in a traceback: the queue is gone, its tasks seemed queued."""
    machine = Machine(cores=1, queue_capacity=5)
    _, waiting = machine.send(2)
    machine.server.stop(ServerState.VANISHED)
    machine.server.cancel(waiting)
    machine.run(1000.0)
    assert machine.outcomes == []


@pytest.mark.parametrize("cancels", [False, True])
def test_cancelled_work_leaves_the_queue_and_running_work_stops_only_if_configured(cancels: bool) -> None:
    machine = Machine(cores=1, queue_capacity=5, cancels_running_work=cancels)
    running, waiting, last = machine.send(3)
    machine.server.cancel(waiting)
    machine.server.cancel(running)
    machine.run(150.0)
    assert (last in machine.server.running) is not cancels or machine.server.completed == 1
    machine.run(200.0)
    assert machine.server.completed == (1 if cancels else 2)
    assert machine.metrics.messages["server"]["wasted"] == (0 if cancels else 1)


def test_capacity_grows_from_its_initial_share_during_warm_up() -> None:
    machine = Machine(initial_capacity_share=0.2, warm_up_ms=10_000.0)
    assert machine.server.warm_up_factor() == 1.0
    machine.server.start()
    for at, share in ((0.0, 0.2), (5000.0, 0.6), (5000.0, 1.0), (5000.0, 1.0)):
        machine.run(at)
        assert machine.server.warm_up_factor() == pytest.approx(share)


@pytest.mark.parametrize(("warm", "fails"), [(False, True), (True, False)])
def test_a_warming_server_fails_above_its_budget_and_the_margin_for_random_arrivals(
    warm: bool, fails: bool
) -> None:
    machine = Machine(
        cores=2,
        queue_capacity=1000,
        initial_capacity_share=0.25,
        warm_up_ms=1e9,
        overload_factor=2.0,
        overload_window_ms=1000.0,
    )
    if not warm:
        machine.server.start()
    budget = 2.0 * 0.25 * 2 * 1000.0 / 100.0  # 10 calls; the limit is 10 + 2 sqrt(10) + 2, so 18 calls fit.
    machine.send(18)
    assert not machine.metrics.cold_failures
    assert machine.metrics.peak_cold_load == (
        0.0 if warm else pytest.approx(18 / (budget + 2 * budget**0.5 + 2))
    )
    machine.send(1)
    assert machine.server.state is (ServerState.DOWN if fails else ServerState.UP)
    if fails:
        (failure,) = machine.metrics.cold_failures
        assert failure.calls == 19
        assert failure.budget == pytest.approx(budget)
        assert failure.report()["excess"] > 0.0
        assert failure.report()["rule_broken"]
        assert machine.counts() == {CallOutcome.RESET: 19}


def test_calls_outside_the_overload_window_do_not_count() -> None:
    machine = Machine(
        queue_capacity=1000,
        initial_capacity_share=0.25,
        warm_up_ms=1e9,
        overload_factor=2.0,
        overload_window_ms=1000.0,
    )
    machine.server.start()
    for _ in range(5):
        machine.send(10)
        machine.run(1001.0)
    assert machine.server.state is ServerState.UP


def test_draining_hung_and_crashed_servers() -> None:
    machine = Machine(cores=1)
    machine.send(2)
    machine.server.state = ServerState.DRAINING
    machine.send(1)
    machine.run(500.0)
    # A draining server completes accepted requests.
    assert machine.counts() == {CallOutcome.OK: 2, CallOutcome.REJECTED: 1}
    machine.server.state = ServerState.HUNG
    machine.send(1)
    machine.run(5000.0)
    assert len(machine.outcomes) == 3
    machine.server.resume()
    machine.run(150.0)
    assert machine.counts()[CallOutcome.OK] == 3
    machine.send(3)
    machine.server.stop(ServerState.DOWN)
    assert machine.counts()[CallOutcome.RESET] == 3
    machine.server.start()
    machine.send(3)
    machine.server.stop(ServerState.VANISHED)  # A vanished server sends no resets.
    machine.run(5000.0)
    assert len(machine.outcomes) == 7
