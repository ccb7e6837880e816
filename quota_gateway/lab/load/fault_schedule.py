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

ALL_SERVERS_TARGET = "servers"
COUNTER_TARGET = "counter"
DISCOVERY_TARGET = "discovery"


@dataclass(frozen=True, slots=True)
class _Step:
    at_s: float  # time from the start of the load
    apply: Callable[[], None]


class FaultSchedule:
    """The faults to inject into one testbed, and when.

    Raises:
        ScheduledFaultError: the testbed has no such target, or the target does not support the fault.
    """

    def __init__(self, testbed: LoopbackTestbed, faults: Iterable[ScheduledFault]) -> None:
        self._testbed = testbed
        self._steps: list[_Step] = []
        self._timers: list[asyncio.TimerHandle] = []
        for fault in faults:
            self._add(fault)

    def start(self) -> None:
        """Start the schedule. Must be called in a running event loop, just before the load starts."""
        loop = asyncio.get_running_loop()
        finite = [step for step in self._steps if math.isfinite(step.at_s)]
        self._timers = [loop.call_later(step.at_s, step.apply) for step in finite]

    def stop(self) -> None:
        """Cancel all steps that have not been applied yet. Active faults stay active."""
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
                raise ScheduledFaultError(
                    f"{scheduled.text!r}: {scheduled.target} does not support the fault {fault.kind.value!r}"
                )
            self._add_steps(scheduled, partial(injector.inject, fault), partial(injector.remove, fault))

    def _add_steps(
        self, scheduled: ScheduledFault, begin: Callable[[], None], end: Callable[[], None]
    ) -> None:
        self._steps += [_Step(scheduled.begin_s, begin), _Step(scheduled.end_s, end)]

    def _target_servers(self, scheduled: ScheduledFault) -> list[FakeServer]:
        target = scheduled.target
        servers = [server for server in self._testbed.servers if target in (ALL_SERVERS_TARGET, server.name)]
        if not servers:
            raise ScheduledFaultError(
                f"{scheduled.text!r}: unknown target {target!r}; it must be {ALL_SERVERS_TARGET!r},"
                f" the name of a server, or (not for a drain) {COUNTER_TARGET!r} or {DISCOVERY_TARGET!r}"
            )
        return servers

    def _target_injectors(self, scheduled: ScheduledFault) -> list[FaultInjector]:
        if scheduled.target == COUNTER_TARGET:
            return [self._testbed.counter.faults]
        if scheduled.target == DISCOVERY_TARGET:
            return [self._testbed.discovery.faults]
        return [server.faults for server in self._target_servers(scheduled)]

    def _begin_drain(self, server: FakeServer) -> None:
        server.draining = True
        self._testbed.discovery.mark_draining(server.name)

    def _end_drain(self, server: FakeServer) -> None:
        """List the server as just started. It has its full capacity at once, as fakes have no slow start."""
        server.draining = False
        started_ms = 1000.0 * time.time()
        self._testbed.discovery.put(ListedServer(server.name, server.address, started_ms=started_ms))
