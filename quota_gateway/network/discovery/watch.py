"""Discovery: the list of servers and the watch on its changes, over one HTTP/1.1 connection.

A watch goes on only while the next call follows the last answer at once. After silence or a refusal it begins
anew from the version held, on a new connection; the whole list is asked for only where none is held or what
came could not be read.

A change counts as told 6 s after discovery had it and could be reached, whatever came of the calls until
then. So there is one deadline, counted from the last answer, by which the list has to be current again; the
wait of every call and every back-off take their bounds from what is left until then.

Where lists are pushed, an agent on the gateway's own machine answers, at no cost, and what it has counts as
told at once: it is tried again at a steady pace. Where they have to be asked for, discovery is one service
for all gateways and works on every line that it sends: whole lists, asked for again and again by all, would
keep it too busy to answer any.
"""

from __future__ import annotations

import asyncio
import json
import logging
import random
import re
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field
from typing import Any

import h11

from quota_gateway.network.address import parse_address
from quota_gateway.network.log_setup import log_event
from quota_gateway.policy_api.endpoints import Endpoint, EndpointState, EndpointUpdate, UpdateKind

TOLD_S = 6.0  # a change counts as told this long after discovery had it and could be reached ...
MOVED_S = 4.0  # ... and this long after SIGHUP, where that moved discovery
WAIT_S = 4.0  # a watch waits this long for news; what it waits for counts as told 2 s after that
QUIET_S = 1.0  # an answer later than this past its wait means an agent that has gone silent
ANSWER_S = 0.5  # of what is left until the deadline, this is kept for the answer
# An agent is on this machine and may hold news that counts as told, whether or not a watch is open; a drain
# leaves as little as 250 ms. It is tried again at this pace, however often it could not be reached.
RECONNECT_S = 0.1
CONNECT_S = 0.3  # a first try that the kernel lost is made again by it after 1 s only
BACKOFF_S = (0.1, 1.0)  # after answers that can't be read, which cost a shared service a whole list each
TOO_BUSY = 503
# The service takes 0.44 s to make a whole list of 60 (measured), and works on calls that nobody waits for any
# more. Gateways that are turned away spread their next calls, so that all together ask no faster than that.
# They do it sooner as long as the deadline can be met; tries that grow denser towards it and go on so past
# it kept the service from answering anybody (herd+vast: 36 of 40 gateways without a list, 323 s in all).
TURN_S = 0.5
MOST_TURN_S = 30.0
GOLDEN = 0.5 * (5.0**0.5 - 1.0)  # multiples of it spread evenly, however many there are
FIRST_WAIT_S = 0.1  # a first call, and one after a failed call, waits no longer than this for news
IDLE_GAP_S = 0.1  # pause after an answer with no news that came at once; a watch lasts over 0.2 s
MOST_BODY = 16 * 1024 * 1024  # a whole list of 20,000 servers takes 2.6 MB, indented twice that
LONG_BODY = 128 * 1024  # a longer answer is read in steps, with other work in between
STEP = 250  # servers in a step

log = logging.getLogger("quota_gateway")

STATES = {
    "Ready": EndpointState.ACTIVE,
    "Terminating": EndpointState.DRAINING,
    "Gone": EndpointState.GONE,
}


class ListError(ValueError):
    """A list that can't be read."""


@dataclass(slots=True)
class News:
    """A list or changes to it, with the addresses, which only the transport needs."""

    version: int
    event: EndpointUpdate
    addresses: dict[str, tuple[str, int]] = field(default_factory=dict)


def entry(row: dict[str, Any]) -> Endpoint:
    """One server. A state that is not known is read as draining: nothing new goes there."""
    return Endpoint(
        server_id=str(row["id"]),
        zone=str(row.get("zone", "")),
        cell=int(row.get("cell") or 0),
        weight=float(row.get("weight") or 1.0),
        started_ms=float(row.get("started_ms") or 0.0),
        state=STATES.get(str(row.get("state")), EndpointState.DRAINING),
    )


def collect(row: dict[str, Any], entries: list[Endpoint], addresses: dict[str, tuple[str, int]]) -> None:
    """Adds a server of a list."""
    entries.append(entry(row))
    if row.get("addr"):
        addresses[str(row["id"])] = parse_address(row["addr"])


def whole(
    version: Any, kind: UpdateKind, entries: list[Endpoint], addresses: dict[str, tuple[str, int]]
) -> News:
    """The list of these servers; ListError where one that takes work has no address."""
    for one in entries:
        if one.state is EndpointState.ACTIVE and one.server_id not in addresses:
            raise ListError(f"no address for {one.server_id}")
    return News(int(version), EndpointUpdate(kind, tuple(entries)), addresses)


def read_list(raw: Any, saved: bool = False) -> News:
    """Discovery's form of the list, in the module's terms; ListError where it is something else."""
    entries: list[Endpoint] = []
    addresses: dict[str, tuple[str, int]] = {}
    try:
        kind = (
            UpdateKind.CACHED_SNAPSHOT if saved else UpdateKind.SNAPSHOT if raw["full"] else UpdateKind.DELTA
        )
        for row in raw["servers"]:
            collect(row, entries, addresses)
        return whole(raw["version"], kind, entries, addresses)
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise ListError(f"not a list of servers ({error!r})") from None


class LongList:
    """An answer that is read in steps: a list of 20,000 takes 0.1 s, while nothing else would be served."""

    SPACE = re.compile(r"[ \t\n\r]*")
    VALUE = json.JSONDecoder()

    def __init__(self, body: bytes) -> None:
        self.body = body
        self.text, self.at = "", 0
        self.members: dict[str, Any] = {}
        self.entries: list[Endpoint] = []
        self.addresses: dict[str, tuple[str, int]] = {}

    def steps(self) -> Iterator[None]:
        """Reads on, STEP servers between two yields; ListError at what is no list."""
        try:
            self.text = self.body.decode()
            yield from self.object()
        except (TypeError, ValueError, AttributeError, KeyError, RecursionError) as error:
            raise ListError(f"not a list of servers ({error!r})") from None

    def news(self) -> News:
        """The list, once all steps are done."""
        try:
            kind = UpdateKind.SNAPSHOT if self.members["full"] else UpdateKind.DELTA
            if "servers" not in self.members:
                raise ListError("no servers")
            return whole(self.members["version"], kind, self.entries, self.addresses)
        except (KeyError, TypeError, ValueError) as error:
            raise ListError(f"not a list of servers ({error!r})") from None

    def object(self) -> Iterator[None]:
        """The members of the one object that the answer is."""
        self.need("{")
        while True:
            key = self.value()
            self.need(":")
            if key == "servers":
                self.entries, self.addresses = [], {}
                yield from self.array()
                self.members[key] = True
            else:
                self.members[key] = self.value()
            if self.ends("}"):
                break
        if self.next():
            raise ListError("more than a list")

    def array(self) -> Iterator[None]:
        """The servers."""
        self.need("[")
        if self.next() == "]":
            self.at += 1
            return
        while True:
            collect(self.value(), self.entries, self.addresses)
            if self.ends("]"):
                return
            if len(self.entries) % STEP == 0:
                yield

    def next(self) -> str:
        """The next character that is no space; empty at the end."""
        match = self.SPACE.match(self.text, self.at)
        self.at = match.end() if match else self.at
        return self.text[self.at : self.at + 1]

    def need(self, mark: str) -> None:
        """Takes a mark that has to stand here."""
        if self.next() != mark:
            raise ListError(f"no {mark!r} at {self.at}")
        self.at += 1

    def ends(self, mark: str) -> bool:
        """Takes a comma, or the mark that ends an object or an array."""
        ended = self.next() == mark
        self.need(mark if ended else ",")
        return ended

    def value(self) -> Any:
        """Takes any value."""
        self.next()
        found, self.at = self.VALUE.raw_decode(self.text, self.at)
        return found


class Exchange(asyncio.Protocol):
    """One HTTP connection: a request at a time, each answer handed on whole."""

    def __init__(self, answered: Callable[[int, bytes], None], lost: Callable[[], None]) -> None:
        self.answered = answered
        self.lost = lost
        self.http = h11.Connection(h11.CLIENT)
        self.transport: asyncio.Transport | None = None
        self.status = 0
        self.body = bytearray()
        self.aborted = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]
        if self.aborted:
            transport.abort()  # type: ignore[attr-defined]  # given up while it came up

    def get(self, host: str, target: str) -> None:
        """Sends a request."""
        assert self.transport is not None
        head = h11.Request(
            method="GET", target=target, headers=[("Host", host), ("Accept", "application/json")]
        )
        self.transport.write((self.http.send(head) or b"") + (self.http.send(h11.EndOfMessage()) or b""))

    def data_received(self, data: bytes) -> None:
        self.take(data)

    def eof_received(self) -> None:
        self.take(b"")  # ends a body that has no length

    def take(self, data: bytes) -> None:
        """Feeds the parser and hands on what is whole."""
        try:
            self.http.receive_data(data)
            while self.event():
                pass
        except h11.RemoteProtocolError:
            self.abort()

    def event(self) -> bool:
        """One step of the parser; False when it needs more bytes."""
        event = self.http.next_event()
        if isinstance(event, h11.Response):
            self.status, self.body = event.status_code, bytearray()
        elif isinstance(event, h11.Data):
            self.body += event.data
            if len(self.body) > MOST_BODY:
                self.abort()
                return False
        elif isinstance(event, h11.EndOfMessage):
            status, body = self.status, bytes(self.body)
            if self.http.our_state is h11.DONE and self.http.their_state is h11.DONE:
                self.http.start_next_cycle()
                self.answered(status, body)
            else:
                self.answered(status, body)
                self.abort()
            return False
        elif isinstance(event, h11.ConnectionClosed):
            self.abort()
            return False
        return event is not h11.NEED_DATA and event is not h11.PAUSED

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        self.lost()

    def usable(self) -> bool:
        """Whether another request may be sent."""
        idle = self.http.our_state is h11.IDLE
        return idle and self.transport is not None and not self.transport.is_closing()

    def abort(self) -> None:
        """Closes the connection."""
        self.aborted = True
        if self.transport is not None:
            self.transport.abort()


class Discovery:
    """Fetches the list, then watches it for as long as the process runs."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        where: tuple[str, int],
        tell: Callable[[News], Iterable[None]],
        seed: int = 0,
        callers: int = 0,
        number: int = 0,
    ) -> None:
        self.loop = loop
        self.rng = random.Random(seed)
        self.callers = callers  # gateways that share the service; 0 where an agent of this machine answers
        self.phase = number * GOLDEN % 1.0  # of its calls among those of all gateways turned away with it
        self.where = where
        self.tell = tell
        self.since: int | None = None  # the version of the list held; None asks for the whole list
        self.exchange: Exchange | None = None
        self.task: asyncio.Task[None] | None = None
        self.reading: asyncio.Task[None] | None = None  # of a long answer
        self.timer: asyncio.TimerHandle | None = None  # of the answer awaited or of the next call
        self.backoff = BACKOFF_S[0]
        self.asked = 0.0
        self.current_at = loop.time()  # the last moment at which the list was surely current
        self.proven = False  # the last call brought an answer that could be read
        self.late = False  # the deadline has passed without one
        self.first = asyncio.Event()  # set with the first answer
        self.closed = False

    def left(self) -> float:
        """Seconds until the list has to be current again; below 0 once it is too late."""
        return self.current_at + TOLD_S - self.loop.time()

    def start(self, known: int | None = None) -> None:
        """Begins with what is new since a version, or with the whole list."""
        if known is not None:
            self.since = known
        self.task = self.loop.create_task(self.open())

    def move(self, where: tuple[str, int]) -> None:
        """Discovery has another address: the whole list is asked for there, as versions known from the old
        one mean nothing to it. The list held stays in force until then."""
        if where == self.where:
            return
        if self.timer is not None:
            self.timer.cancel()
        for task in (self.task, self.reading):
            if task is not None:
                task.cancel()
        left, self.exchange, self.since = self.exchange, None, None
        if left is not None:
            left.abort()
        self.where, self.backoff, self.proven = where, BACKOFF_S[0], False
        self.current_at = min(self.current_at, self.loop.time() + MOVED_S - TOLD_S)
        self.start()

    async def open(self) -> None:
        """Opens a connection and asks."""
        exchange = Exchange(lambda *answer: self.answered(exchange, *answer), lambda: self.lost(exchange))
        self.exchange = exchange
        try:
            await asyncio.wait_for(self.loop.create_connection(lambda: exchange, *self.where), CONNECT_S)
        except (OSError, TimeoutError):
            self.lost(exchange)
            return
        self.ask()

    def ask(self) -> None:
        """The next call; an answer that does not come ends the connection."""
        if self.closed or self.exchange is None:
            return
        if not self.exchange.usable():
            self.exchange.abort()
            self.lost(self.exchange)
            return
        self.asked = self.loop.time()
        target = "/v1/servers"
        wait = WAIT_S if self.proven else FIRST_WAIT_S
        if self.since is not None:
            target += f"?since={self.since}&timeout_ms={wait * 1000.0:.0f}"
        self.expect(self.patience(wait), self.exchange.abort)
        self.exchange.get(f"{self.where[0]}:{self.where[1]}", target)

    def patience(self, wait: float) -> float:
        """How long an answer is awaited. After a failed call there is less time for the next one to an agent.
        A shared service's answer waits its turn: what is given up on would be made all the same, and asked
        for again."""
        if self.proven or self.callers:
            return WAIT_S + QUIET_S
        return min(WAIT_S + QUIET_S, max(wait + QUIET_S, self.left()))

    def expect(self, seconds: float, then: Callable[[], None]) -> None:
        """One timer at a time."""
        if self.timer is not None:
            self.timer.cancel()
        self.timer = self.loop.call_later(seconds, then)

    def answered(self, exchange: Exchange, status: int, body: bytes) -> None:
        """An answer: told on if it is a list, else asked for anew and whole, after a pause."""
        if exchange is not self.exchange:
            return
        if status == TOO_BUSY:
            self.exchange = None
            exchange.abort()
            self.failed(self.turned_away(), self.start)
            return
        if status == 200 and len(body) > LONG_BODY:
            self.reading = self.loop.create_task(self.read(exchange, body))
            return
        try:
            if status != 200:
                raise ListError(f"status {status}")
            news = self.checked(read_list(json.loads(body)))
        except (ListError, ValueError, RecursionError):
            self.unreadable()
            return
        for _ in self.heard(news):
            pass
        self.next(news)

    async def read(self, exchange: Exchange, body: bytes) -> None:
        """Reads a long answer, and tells of it, with other work between the steps."""
        asked, long = self.loop.time(), LongList(body)
        try:
            for _ in long.steps():
                await asyncio.sleep(0)
            news = self.checked(long.news())
        except ListError:
            if exchange is self.exchange:
                self.unreadable()
            return
        for _ in self.heard(news):
            await asyncio.sleep(0)
        if exchange is self.exchange:
            self.next(news)
            self.current_at = asked  # what came while it was read is not in it
        else:
            self.since = news.version  # the next call is under way on another connection

    def checked(self, news: News) -> News:
        """What can be used of an answer: changes need a list that they change."""
        if self.since is None and news.event.kind is not UpdateKind.SNAPSHOT:
            raise ListError("changes to no list")
        return news

    def unreadable(self) -> None:
        """What came is no list, and all that is known for sure is the list before."""
        self.since = None
        self.failed(self.pause(), self.ask)

    def heard(self, news: News) -> Iterable[None]:
        """Tells on what is new, in pieces."""
        if self.since is None or news.event.endpoints or news.event.kind is UpdateKind.SNAPSHOT:
            return self.tell(news)
        return ()

    def next(self, news: News) -> None:
        """The next call goes on from this version."""
        at_once = not news.event.endpoints and self.loop.time() - self.asked < IDLE_GAP_S
        self.since, self.backoff = news.version, BACKOFF_S[0]
        self.current()
        self.expect(IDLE_GAP_S if at_once else 0.0, self.ask)

    def current(self) -> None:
        """The list holds all that discovery had when it answered."""
        if self.late:
            log_event(log, logging.INFO, "endpoint_list_current", stale_s=f"{TOLD_S - self.left():.1f}")
        self.current_at, self.proven, self.late = self.loop.time(), True, False
        self.first.set()

    def failed(self, pause: float, then: Callable[[], None]) -> None:
        """A call brought nothing: the next one follows after a pause."""
        self.proven = False
        if self.left() < 0.0 and not self.late:
            self.late = True
            log_event(log, logging.WARNING, "endpoint_list_stale", stale_s=f"{TOLD_S - self.left():.1f}")
        self.expect(pause, then)

    def turned_away(self) -> float:
        """The time before another try at a service that is too busy, not the same at all gateways."""
        if not self.callers:
            return self.again()
        left = self.left() - ANSWER_S
        turns = min(MOST_TURN_S, self.callers * TURN_S)
        # Even, not by lot: chance would put twice as many into one second as into another.
        self.phase = (self.phase + GOLDEN) % 1.0
        return self.phase * (min(turns, left) if left > ANSWER_S else turns)

    def pause(self) -> float:
        """The time before another try after an answer that can't be read, longer after each."""
        if not self.callers:
            return self.again()
        pause, self.backoff = self.backoff, min(BACKOFF_S[1], 2.0 * self.backoff)
        return pause * self.rng.uniform(0.5, 1.5)

    def again(self) -> float:
        """The time before another try that costs nobody anything."""
        return RECONNECT_S * self.rng.uniform(0.5, 1.5)

    def lost(self, exchange: Exchange) -> None:
        """The connection is gone or never came up."""
        if exchange is not self.exchange or self.closed:
            return
        self.exchange = None
        self.failed(self.again(), self.start)

    def close(self) -> None:
        """The end of the process."""
        self.closed = True
        if self.timer is not None:
            self.timer.cancel()
        for task in (self.task, self.reading):
            if task is not None:
                task.cancel()
        if self.exchange is not None:
            self.exchange.abort()
