"""Scheduled faults begin and end at their times; faults that the testbed does not support are rejected."""

from __future__ import annotations

import pytest

from quota_gateway.lab.fakes.endpoint_history import ListedServer, ListedState
from quota_gateway.lab.fakes.faults import Fault, FaultKind
from quota_gateway.lab.load.fault_schedule import FaultSchedule
from quota_gateway.lab.load.scheduled_fault import ScheduledFaultError, parse_scheduled_fault
from quota_gateway.lab.load.testbed import LoopbackTestbed, LoopbackTestbedSpec
from tests.network.scenario import run_scenario, wait_until


@pytest.mark.parametrize("text", ["s9:reset", "counter:drain", "counter:partial", "s0:cut", "moon:reset"])
def test_a_fault_that_the_testbed_does_not_support_is_rejected_at_once(text: str) -> None:
    with pytest.raises(ScheduledFaultError):
        FaultSchedule(LoopbackTestbed(LoopbackTestbedSpec()), [parse_scheduled_fault(text)])


def test_faults_begin_and_end_at_their_times() -> None:
    async def scenario() -> None:
        testbed = LoopbackTestbed(LoopbackTestbedSpec(server_count=2))
        testbed.discovery.put(ListedServer("s1", testbed.servers[1].address))
        texts = ("s0:error,to=0.04", "counter:reset,from=0.02", "s1:drain,to=0.04")
        schedule = FaultSchedule(testbed, map(parse_scheduled_fault, texts))
        schedule.start()
        await wait_until(lambda: testbed.servers[1].draining)
        assert [server.state for server in testbed.discovery.endpoints.snapshot().servers] == [
            ListedState.DRAINING
        ]
        assert testbed.servers[0].faults.draw() == Fault(FaultKind.ERROR)
        await wait_until(lambda: not testbed.servers[1].draining)
        (server,) = testbed.discovery.endpoints.snapshot().servers
        assert server.state is ListedState.READY
        assert server.started_ms > 1e12
        await wait_until(lambda: testbed.servers[0].faults.draw() is None)
        assert testbed.counter.faults.draw() == Fault(FaultKind.RESET)
        schedule.stop()

    run_scenario(scenario())
