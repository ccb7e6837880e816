"""Many real watches on one simulated discovery that they share, on one simulated clock."""

from __future__ import annotations

import asyncio
import bisect
from typing import cast

from quota_gateway.network.discovery.poll_schedule import PollSchedule
from tests.network.simulated_discovery import (
    ADDRESS,
    RESPONSE_TIME_S,
    SimulatedConnection,
    SimulatedLoop,
    SimulatedWatch,
    good_response,
)

CONTINUATION_LIMIT_S = 0.2  # a poll that comes later after the last response begins a new watch
MAX_QUEUE_S = 2.0  # a poll that would wait longer is rejected then, and is worked on all the same


class FleetMember:
    """One gateway's watch and its side of the connection to the shared discovery."""

    def __init__(
        self, discovery: SharedDiscovery, gateway_index: int, gateways: int, started_at: float
    ) -> None:
        self.discovery = discovery
        self.loop = discovery.loop
        self.confirmed_at: list[float] = []
        schedule = PollSchedule(self.loop.time, gateway_index, gateways, gateway_index)
        loop = cast(asyncio.AbstractEventLoop, self.loop)
        self.watch = SimulatedWatch(loop, ADDRESS, lambda update: (), schedule)
        self.watch.discovery = self
        self.loop.call_later(started_at, self.watch.start, 1)

    def refuse_connection(self) -> bool:
        """Return whether the discovery refuses a connection now; a refused one counts as a new watch."""
        refused = self.discovery.outage == "refused"
        if refused:
            self.discovery.watches_begun_at.append(self.loop.now)
        return refused

    def handle_poll(self, connection: SimulatedConnection, target: str) -> None:
        """Pass a poll on to the shared discovery."""
        self.discovery.handle_poll(self, connection, target)

    def continues_watch(self) -> bool:
        """Return whether a poll at this moment continues the watch of the last response."""
        return bool(self.confirmed_at) and self.loop.now - self.confirmed_at[-1] <= CONTINUATION_LIMIT_S

    def confirm(self, connection: SimulatedConnection, body: bytes) -> None:
        """Deliver a response with the current list; one on a closed connection is lost."""
        if connection.alive:
            self.confirmed_at.append(self.loop.now)
            connection.respond(200, body)


class SharedDiscovery:
    """One discovery that many watches share; `outage` names how it fails every poll, None that it responds.

    An outage also fails the polls that wait for a change, except that a silent discovery never responds to
    them. A poll that begins a new watch takes `watch_cost_s` of work, one after another; polls that continue
    a watch take none. `watches_begun_at` holds the times of the polls that begin a watch. The gateways start
    evenly within `start_spread_s`; if it is 0, their watches poll together from then on.
    """

    def __init__(self, gateways: int, watch_cost_s: float = 0.0, start_spread_s: float = 0.0) -> None:
        self.loop = SimulatedLoop()
        self.outage: str | None = None
        self.watches_begun_at: list[float] = []
        self.watch_cost_s = watch_cost_s
        self._idle_at = 0.0  # time at which all work will be done
        self._waiting: dict[SimulatedConnection, FleetMember] = {}
        start_interval_s = start_spread_s / gateways
        self.members = [
            FleetMember(self, index, gateways, index * start_interval_s) for index in range(gateways)
        ]

    def begin_outage(self, outage: str) -> None:
        """Fail all polls from now on, including those that wait for a change."""
        self.outage = outage
        waiting, self._waiting = self._waiting, {}
        for connection in waiting:
            connection.fail(outage)

    def end_outage(self) -> None:
        """Respond to all polls from now on; nothing is left to do."""
        self.outage = None
        self._idle_at = self.loop.now

    def handle_poll(self, member: FleetMember, connection: SimulatedConnection, target: str) -> None:
        """Respond after the wait that the poll allows, or fail it during an outage."""
        work_s = 0.0
        if not member.continues_watch():
            self.watches_begun_at.append(self.loop.now)
            self._idle_at = max(self._idle_at, self.loop.now) + self.watch_cost_s
            work_s = self._idle_at - self.loop.now
        if self.outage is not None:
            connection.fail(self.outage)
            return
        if work_s > MAX_QUEUE_S:
            self.loop.call_later(MAX_QUEUE_S, connection.respond, 503, b"")
            return
        wait_s, body = good_response(target)
        self._waiting[connection] = member
        self.loop.call_later(max(work_s, wait_s), self._respond, connection, body)

    def max_watches_per_s(self, start: float, end: float) -> int:
        """Return the largest number of watches begun within one second from `start` to `end`."""
        begun = [begun_at for begun_at in self.watches_begun_at if start <= begun_at < end]
        return max((bisect.bisect_left(begun, at + 1.0) - i for i, at in enumerate(begun)), default=0)

    def mean_watches_per_s(self, start: float, end: float) -> float:
        """Return the mean number of watches begun in a second from `start` to `end`."""
        return sum(start <= begun_at < end for begun_at in self.watches_begun_at) / (end - start)

    def _respond(self, connection: SimulatedConnection, body: bytes) -> None:
        member = self._waiting.pop(connection, None)
        if member is not None:
            self.loop.call_later(RESPONSE_TIME_S, member.confirm, connection, body)
