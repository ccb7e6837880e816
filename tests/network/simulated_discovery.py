"""A simulated discovery, whose polls end with scripted outcomes, and the real watch on a simulated clock."""

from __future__ import annotations

import asyncio
import heapq
import itertools
from collections.abc import Callable, Coroutine
from typing import Any, Protocol, cast
from urllib.parse import parse_qs, urlsplit

from quota_gateway.network.discovery.http_connection import HttpConnection
from quota_gateway.network.discovery.poll_schedule import PollSchedule
from quota_gateway.network.discovery.watch import EndpointWatch

ADDRESS = ("127.0.0.1", 1)
RESPONSE_TIME_S = 0.01


def good_response(target: str) -> tuple[float, bytes]:
    """Return the wait that a poll allows, in seconds, and the body of the response after it."""
    query = parse_qs(urlsplit(target).query)
    wait_s = float(query["timeout_ms"][0]) / 1000.0 if query else 0.0
    full = b"false" if query else b"true"
    return wait_s, b'{"version":1,"full":%b,"servers":[]}' % full


class ScheduledCall:
    """A scheduled call; stands in for `asyncio.TimerHandle` and `asyncio.Task`."""

    def __init__(self, callback: Callable[..., None], args: tuple[Any, ...]) -> None:
        self.callback = callback
        self.args = args
        self.cancelled = False

    def cancel(self) -> None:
        self.cancelled = True


class SimulatedLoop:
    """An event loop whose clock jumps from one scheduled call to the next."""

    def __init__(self) -> None:
        self.now = 0.0
        self.serial_numbers = itertools.count()  # keeps the order of calls scheduled for the same time
        self.heap: list[tuple[float, int, ScheduledCall]] = []

    def time(self) -> float:
        return self.now

    def call_later(self, delay: float, callback: Callable[..., None], *args: Any) -> ScheduledCall:
        call = ScheduledCall(callback, args)
        heapq.heappush(self.heap, (self.now + delay, next(self.serial_numbers), call))
        return call

    def create_task(self, connect: Coroutine[Any, Any, None]) -> ScheduledCall:
        connect.close()  # `SimulatedWatch` connects instead
        return ScheduledCall(lambda: None, ())

    def run(self, until_s: float) -> None:
        while self.heap and self.heap[0][0] <= until_s:
            self.now, _, call = heapq.heappop(self.heap)
            if not call.cancelled:
                call.callback(*call.args)
        self.now = until_s


class DiscoverySide(Protocol):
    """The discovery as one watch sees it."""

    loop: SimulatedLoop
    watch: SimulatedWatch

    def refuse_connection(self) -> bool:
        """Return whether the discovery refuses a connection now."""

    def handle_poll(self, connection: SimulatedConnection, target: str) -> None:
        """Respond to a poll, or fail it."""


class SimulatedConnection:
    """A connection to the simulated discovery, in place of an `HttpConnection`."""

    def __init__(self, discovery: DiscoverySide) -> None:
        self.discovery = discovery
        self.alive = True

    def is_idle(self) -> bool:
        return self.alive

    def abort(self) -> None:
        if self.alive:
            self.alive = False
            self.discovery.loop.call_later(0.0, self.discovery.watch.on_connection_closed, self)

    def respond(self, status: int, body: bytes) -> None:
        if self.alive:
            self.discovery.watch.on_response(cast(HttpConnection, self), status, body)

    def fail(self, failure: str) -> None:
        """End a poll with a failure; one that is "silent" gets no response."""
        call_later = self.discovery.loop.call_later
        match failure:
            case "busy":
                call_later(0.004, self.respond, 503, b"")
            case "malformed":
                call_later(0.004, self.respond, 200, b"{")
            case "failing":
                call_later(0.004, self.respond, 500, b"")
            case "reset" | "refused" | "truncated":  # a truncated body ends as the connection is lost
                call_later(0.02, self.abort)

    def get(self, host: str, target: str) -> None:
        self.discovery.handle_poll(self, target)


class SimulatedWatch(EndpointWatch):
    """The real watch, on a `SimulatedConnection` in place of a socket."""

    discovery: DiscoverySide

    def start(self, version: int | None = None) -> None:
        super().start(version)
        self.discovery.loop.call_later(0.001, self.connected)

    def connected(self) -> None:
        if self.discovery.refuse_connection():
            connection = SimulatedConnection(self.discovery)
            self.connection = cast(HttpConnection, connection)
            connection.abort()
            return
        self.connection = cast(HttpConnection, SimulatedConnection(self.discovery))
        self.poll()


class SimulatedDiscovery:
    """A discovery whose polls end with scripted outcomes; records the times of polls and of good responses.

    `outcomes` holds the outcomes of the first polls in order; all later polls end with "good".
    """

    def __init__(self, outcomes: list[str], sharing_gateways: int, gateway_index: int) -> None:
        self.loop = SimulatedLoop()
        self.outcomes = outcomes
        self.polled_at: list[float] = []
        self.confirmed_at: list[float] = []
        schedule = PollSchedule(self.loop.time, gateway_index, sharing_gateways, gateway_index)
        loop = cast(asyncio.AbstractEventLoop, self.loop)
        self.watch = SimulatedWatch(loop, ADDRESS, lambda update: (), schedule)
        self.watch.discovery = self
        self.watch.start(1)

    def refuse_connection(self) -> bool:
        """Consume the next outcome if it is "refused", which ends a poll before it has a connection."""
        if self.outcomes[:1] != ["refused"]:
            return False
        self.outcomes.pop(0)
        self.polled_at.append(self.loop.now)
        return True

    def handle_poll(self, connection: SimulatedConnection, target: str) -> None:
        """End a poll with the next outcome; a poll whose outcome is "silent" gets no response."""
        self.polled_at.append(self.loop.now)
        outcome = self.outcomes.pop(0) if self.outcomes else "good"
        if outcome != "good":
            connection.fail(outcome)
            return
        wait_s, body = good_response(target)
        self.loop.call_later(wait_s + RESPONSE_TIME_S, self.confirm, connection, body)

    def confirm(self, connection: SimulatedConnection, body: bytes) -> None:
        if connection.alive:
            self.confirmed_at.append(self.loop.now)
            connection.respond(200, body)
