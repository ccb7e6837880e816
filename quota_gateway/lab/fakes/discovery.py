"""A stand-in for discovery: the list of servers over HTTP/1.1, and the watch on its changes.

From PROTOCOL, "Discovery". ``GET /v1/servers`` gives the whole list; with ``since`` and ``timeout_ms`` it
waits for something newer and gives the changed entries, or the whole list to a caller whose version is older
than the changes still known, or unknown here.
"""

from __future__ import annotations

import asyncio
import math
from dataclasses import dataclass
from urllib.parse import parse_qs, urlsplit

import h11
import msgspec

from quota_gateway.lab.fakes.faults import FaultKind
from quota_gateway.lab.fakes.loopback_server import Connection, Endpoint

PATH = "/v1/servers"
MOST_WAIT_MS = 60_000.0
HISTORY = 1000  # versions for which changes are kept
SUPPORTED = (FaultKind.RESET, FaultKind.SILENCE, FaultKind.LATE, FaultKind.UNAVAILABLE)


class ServerRow(msgspec.Struct, frozen=True):
    """One server as discovery lists it."""

    id: str
    addr: str  # host:port
    zone: str = "a"
    kind: str = "std-2c"
    cell: int = 0
    state: str = "Ready"  # or Terminating, or Gone in changes
    weight: float = 1.0
    started_ms: float = 0.0  # Unix time; 0: long ago


class ServerList(msgspec.Struct, frozen=True):
    """An answer: the whole list, or what changed since the version asked from."""

    version: int
    full: bool
    servers: list[ServerRow]


@dataclass(slots=True)
class Watch:
    """A call that waits for news."""

    exchange: Exchange
    since: int
    timer: asyncio.TimerHandle


class DiscoveryStandIn(Endpoint):
    """The discovery of a run. Its list is changed by `put` and `remove`, each of which makes a version."""

    def __init__(self, seed: int = 0) -> None:
        super().__init__(SUPPORTED, seed)
        self.version = 1
        self.calls = 0
        self.sent_bytes = 0
        self._rows: dict[str, tuple[int, ServerRow]] = {}  # with the version of the last change
        self._oldest = 0  # version since which all changes are known
        self._watches: list[Watch] = []

    def accept(self) -> Connection:
        return Exchange(self)

    async def stop(self) -> None:
        for watch in self._watches:
            watch.timer.cancel()
        self._watches.clear()
        await super().stop()

    def put(self, row: ServerRow) -> None:
        """Adds a server or changes its entry; those who watch are told at once."""
        self.version += 1
        self._rows[row.id] = (self.version, row)
        self._forget()
        watches, self._watches = self._watches, []
        for watch in watches:
            watch.timer.cancel()
            self._answer(watch.exchange, self.changes(watch.since))

    def drain(self, server: str) -> None:
        """The server completes what it has and wants nothing new. Raises KeyError if it is not listed."""
        self.put(msgspec.structs.replace(self._rows[server][1], state="Terminating"))

    def remove(self, server: str) -> None:
        """The server is gone. Raises KeyError if it is not listed."""
        self.put(msgspec.structs.replace(self._rows[server][1], state="Gone"))

    def whole(self) -> ServerList:
        """The whole list."""
        rows = [row for _, row in self._rows.values() if row.state != "Gone"]
        return ServerList(self.version, True, rows)

    def changes(self, since: int) -> ServerList:
        """What changed since a version; the whole list where that can't be told."""
        if not self._oldest <= since <= self.version:
            return self.whole()
        rows = [row for version, row in self._rows.values() if version > since]
        return ServerList(self.version, False, rows)

    def _forget(self) -> None:
        """Drops servers that went long ago: who has not heard of them since gets the whole list."""
        self._oldest = max(self._oldest, self.version - HISTORY)
        gone = [key for key, (at, row) in self._rows.items() if row.state == "Gone" and at <= self._oldest]
        for key in gone:
            del self._rows[key]

    def ask(self, exchange: Exchange, target: str) -> None:
        """Takes one call."""
        self.calls += 1
        fault = self.faults.strike()
        kind = fault.kind if fault is not None else None
        if kind is FaultKind.RESET:
            exchange.reset()
        elif kind is FaultKind.UNAVAILABLE:
            exchange.answer(503, b"")
        elif fault is not None and kind is FaultKind.LATE:
            self.loop.call_later(fault.delay_ms / 1000.0, self._serve, exchange, target)
        elif kind is not FaultKind.SILENCE:
            self._serve(exchange, target)

    def _serve(self, exchange: Exchange, target: str) -> None:
        parts = urlsplit(target)
        if parts.path != PATH:
            exchange.answer(404, b"")
            return
        try:
            since, wait_s = _query(parts.query)
        except ValueError:
            exchange.answer(400, b"")
            return
        if since is None:
            self._answer(exchange, self.whole())
        elif since != self.version or not wait_s:
            self._answer(exchange, self.changes(since))
        else:
            timer = self.loop.call_later(wait_s, self._expire, exchange)
            self._watches.append(Watch(exchange, since, timer))

    def _expire(self, exchange: Exchange) -> None:
        """Nothing new has come in the time of a watch."""
        (watch,) = (watch for watch in self._watches if watch.exchange is exchange)
        self._watches.remove(watch)
        self._answer(exchange, self.changes(watch.since))

    def left(self, exchange: Exchange) -> None:
        """A caller has gone; nobody waits for its news."""
        for watch in self._watches:
            if watch.exchange is exchange:
                watch.timer.cancel()
        self._watches = [watch for watch in self._watches if watch.exchange is not exchange]

    def _answer(self, exchange: Exchange, news: ServerList) -> None:
        exchange.answer(200, msgspec.json.encode(news))


def _query(text: str) -> tuple[int | None, float]:
    """Version and seconds to wait of a watch; None for the whole list. Raises ValueError if it is neither."""
    query = parse_qs(text, strict_parsing=True) if text else {}
    if "since" not in query:
        return None, 0.0
    wait_ms = float(query.get("timeout_ms", ["0"])[0])
    if not (math.isfinite(wait_ms) and wait_ms >= 0.0):
        raise ValueError("no time to wait")
    return int(query["since"][0]), min(wait_ms, MOST_WAIT_MS) / 1000.0


class Exchange(Connection):
    """One HTTP connection, a call at a time."""

    def __init__(self, endpoint: DiscoveryStandIn) -> None:
        super().__init__(endpoint)
        self._target = endpoint
        self._http = h11.Connection(h11.SERVER)
        self._asked = ""

    def connection_lost(self, exc: Exception | None) -> None:
        super().connection_lost(exc)
        self._target.left(self)

    def data_received(self, data: bytes) -> None:
        try:
            self._http.receive_data(data)
        except h11.RemoteProtocolError:
            self.close()
            return
        self._read()

    def _read(self) -> None:
        """Steps through what has come, up to the end of one call."""
        try:
            while (event := self._http.next_event()) not in (h11.NEED_DATA, h11.PAUSED):
                if isinstance(event, h11.Request):
                    self._asked = event.target.decode("ascii", "replace")
                elif isinstance(event, h11.EndOfMessage):
                    self._target.ask(self, self._asked)
                    return
        except h11.RemoteProtocolError:
            self.close()

    def answer(self, status: int, body: bytes) -> None:
        """Answers the call under way; the next one may then be read."""
        if not self.open:
            return
        headers = [("Content-Type", "application/json"), ("Content-Length", str(len(body)))]
        head = self._http.send(h11.Response(status_code=status, headers=headers)) or b""
        sent = head + (self._http.send(h11.Data(data=body)) or b"")
        self._http.send(h11.EndOfMessage())
        self._target.sent_bytes += len(sent)
        self.write(sent)
        if self._http.our_state is h11.DONE and self._http.their_state is h11.DONE:
            self._http.start_next_cycle()
            self.endpoint.loop.call_soon(self._read)  # another call may have come behind this one
        else:
            self.close()
