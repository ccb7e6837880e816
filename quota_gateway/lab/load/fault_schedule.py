"""Activates and deactivates the faults of a trial while its load runs."""

from __future__ import annotations

import asyncio
import math
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from functools import partial

from quota_gateway.lab.fakes.endpoint_history import ListedServer
from quota_gateway.lab.fakes.faults import FaultInjector
from quota_gateway.lab.fakes.server import FakeServer
from quota_gateway.lab.load.scheduled_fault import ScheduledFault, ScheduledFaultError
from quota_gateway.lab.load.testbed import LoopbackTestbed

ALL_SERVERS = "servers"
COUNTER = "counter"
DISCOVERY = "discovery"


@dataclass(frozen=True, slots=True)
class _Step:
    at_s: float  # from the load's start
    apply: Callable[[], None]


class FaultSchedule:
    """The faults of one testbed.

    Raises:
        ScheduledFaultError: the testbed has no such target, or the target cannot show such a fault.
    """

    def __init__(self, testbed: LoopbackTestbed, faults: Iterable[ScheduledFault]) -> None:
        self._testbed = testbed
        self._steps: list[_Step] = []
        self._timers: list[asyncio.TimerHandle] = []
        for fault in faults:
            self._add(fault)

    def start(self) -> None:
        """Start the schedule; the load begins now."""
        loop = asyncio.get_running_loop()
        finite = [step for step in self._steps if math.isfinite(step.at_s)]
        self._timers = [loop.call_later(step.at_s, step.apply) for step in finite]

    def stop(self) -> None:
        """Cancel what has not begun or ended yet; active faults stay."""
        for timer in self._timers:
            timer.cancel()

    def _add(self, scheduled: ScheduledFault) -> None:
        fault = scheduled.fault
        if fault is None:
            for server in self._target_servers(scheduled):
                self._add_steps(
                    scheduled, partial(self._begin_drain, server), partial(self._end_drain, server)
                )
            return
        for injector in self._target_injectors(scheduled):
            if fault.kind not in injector.supported:
                raise ScheduledFaultError(f"{scheduled.text!r}: {scheduled.target} can't show this kind")
            self._add_steps(scheduled, partial(injector.inject, fault), partial(injector.remove, fault))

    def _add_steps(
        self, scheduled: ScheduledFault, begin: Callable[[], None], end: Callable[[], None]
    ) -> None:
        self._steps += [_Step(scheduled.begin_s, begin), _Step(scheduled.end_s, end)]

    def _target_servers(self, scheduled: ScheduledFault) -> list[FakeServer]:
        target = scheduled.target
        servers = [server for server in self._testbed.servers if target in (ALL_SERVERS, server.name)]
        if not servers:
            raise ScheduledFaultError(f"{scheduled.text!r}: there is no {target!r} for it")
        return servers

    def _target_injectors(self, scheduled: ScheduledFault) -> list[FaultInjector]:
        if scheduled.target == COUNTER:
            return [self._testbed.counter.faults]
        if scheduled.target == DISCOVERY:
            return [self._testbed.discovery.faults]
        return [server.faults for server in self._target_servers(scheduled)]

    def _begin_drain(self, server: FakeServer) -> None:
        server.draining = True
        self._testbed.discovery.mark_draining(server.name)

    def _end_drain(self, server: FakeServer) -> None:
        """List the server as just started; its capacity is full at once, as fakes have no slow start."""
        server.draining = False
        started_ms = 1000.0 * time.time()
        self._testbed.discovery.put(ListedServer(server.name, server.address, started_ms=started_ms))
