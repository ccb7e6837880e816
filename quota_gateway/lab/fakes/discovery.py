"""A fake of discovery: the endpoint list over HTTP/1.1, and the watch on its changes.

From PROTOCOL, "Discovery". ``GET /v1/servers`` gives a snapshot; with ``since`` and ``timeout_ms`` the call
waits for a newer version and gives a delta, or a snapshot to a caller whose version is unknown or older than
the changes that are still kept.
"""

from __future__ import annotations

import asyncio
import math
from dataclasses import dataclass
from enum import Enum
from urllib.parse import parse_qs, urlsplit

import h11
import msgspec

from quota_gateway.lab.fakes.faults import FaultKind
from quota_gateway.lab.fakes.loopback_server import LoopbackConnection, LoopbackServer

PATH = "/v1/servers"
MAX_WATCH_MS = 60_000.0
HISTORY_VERSIONS = 1000  # versions for which changes are kept
SUPPORTED_FAULTS = (FaultKind.RESET, FaultKind.NO_REPLY, FaultKind.DELAY, FaultKind.UNAVAILABLE)


class ListedState(Enum):
    """The state of a listed server; the values are those of the wire."""

    READY = "Ready"
    DRAINING = "Terminating"
    GONE = "Gone"  # in deltas only


class ListedServer(msgspec.Struct, frozen=True):
    """One server in the endpoint list; the fields are those of the wire."""

    id: str
    addr: str  # host:port
    zone: str = "a"
    kind: str = "std-2c"
    cell: int = 0
    state: ListedState = ListedState.READY
    weight: float = 1.0
    started_ms: float = 0.0  # Unix time; 0: long ago


class EndpointList(msgspec.Struct, frozen=True):
    """A reply: a snapshot, or a delta to the version that the caller named. The fields are the wire's."""

    version: int
    full: bool
    servers: list[ListedServer]


@dataclass(frozen=True, slots=True)
class WatchQuery:
    """The parameters of a call."""

    since: int | None  # None: a snapshot is asked for
    timeout_s: float


@dataclass(slots=True)
class PendingWatch:
    """A call that waits for a newer version."""

    connection: DiscoveryConnection
    since: int
    timer: asyncio.TimerHandle


class FakeDiscovery(LoopbackServer):
    """The discovery of a run. Each change of its list makes a version."""

    def __init__(self, seed: int = 0) -> None:
        super().__init__(SUPPORTED_FAULTS, seed)
        self.version = 1
        self._servers: dict[str, tuple[int, ListedServer]] = {}  # with the version of the last change
        self._oldest_version = 0  # since which all changes are known
        self._watches: list[PendingWatch] = []

    def create_connection(self) -> LoopbackConnection:
        """Return the protocol object of a new connection."""
        return DiscoveryConnection(self)

    async def stop(self) -> None:
        """Cancel all watches, stop listening and reset all connections."""
        for watch in self._watches:
            watch.timer.cancel()
        self._watches.clear()
        await super().stop()

    def put(self, server: ListedServer) -> None:
        """Add a server or replace its entry; watches are answered at once."""
        self.version += 1
        self._servers[server.id] = (self.version, server)
        self._drop_old_history()
        watches, self._watches = self._watches, []
        for watch in watches:
            watch.timer.cancel()
            watch.connection.reply_with_list(self.changes_since(watch.since))

    def mark_draining(self, server_id: str) -> None:
        """List a server as draining. Raises KeyError if it is not listed."""
        self._set_state(server_id, ListedState.DRAINING)

    def remove(self, server_id: str) -> None:
        """List a server as gone. Raises KeyError if it is not listed."""
        self._set_state(server_id, ListedState.GONE)

    def _set_state(self, server_id: str, state: ListedState) -> None:
        _, server = self._servers[server_id]
        self.put(msgspec.structs.replace(server, state=state))

    def snapshot(self) -> EndpointList:
        """Return the list of all servers that are not gone."""
        listed = [server for _, server in self._servers.values() if server.state is not ListedState.GONE]
        return EndpointList(self.version, True, listed)

    def changes_since(self, version: int) -> EndpointList:
        """Return a delta to a version; a snapshot where its changes are not known."""
        if not self._oldest_version <= version <= self.version:
            return self.snapshot()
        changed = [server for changed_in, server in self._servers.values() if changed_in > version]
        return EndpointList(self.version, False, changed)

    def _drop_old_history(self) -> None:
        """Drop servers that are gone since long; a caller with an older version gets a snapshot."""
        self._oldest_version = max(self._oldest_version, self.version - HISTORY_VERSIONS)
        dropped = [
            server_id
            for server_id, (changed_in, server) in self._servers.items()
            if server.state is ListedState.GONE and changed_in <= self._oldest_version
        ]
        for server_id in dropped:
            del self._servers[server_id]

    def handle_request(self, connection: DiscoveryConnection, target: str) -> None:
        """Carry out one call, as far as no fault prevents it."""
        fault = self.faults.draw()
        kind = fault.kind if fault is not None else None
        if kind is FaultKind.RESET:
            connection.reset()
        elif kind is FaultKind.UNAVAILABLE:
            connection.reply(503)
        elif fault is not None and kind is FaultKind.DELAY:
            self.loop.call_later(fault.delay_ms / 1000.0, self._serve, connection, target)
        elif kind is not FaultKind.NO_REPLY:
            self._serve(connection, target)

    def _serve(self, connection: DiscoveryConnection, target: str) -> None:
        parts = urlsplit(target)
        if parts.path != PATH:
            connection.reply(404)
            return
        try:
            query = _parse_query(parts.query)
        except ValueError:
            connection.reply(400)
            return
        if query.since is None:
            connection.reply_with_list(self.snapshot())
        elif query.since != self.version or not query.timeout_s:
            connection.reply_with_list(self.changes_since(query.since))
        else:
            timer = self.loop.call_later(query.timeout_s, self._expire_watch, connection)
            self._watches.append(PendingWatch(connection, query.since, timer))

    def _expire_watch(self, connection: DiscoveryConnection) -> None:
        """Answer a watch in whose time nothing has changed."""
        (watch,) = (watch for watch in self._watches if watch.connection is connection)
        self._watches.remove(watch)
        connection.reply_with_list(self.changes_since(watch.since))

    def cancel_watch(self, connection: DiscoveryConnection) -> None:
        """Drop the watch of a caller that has disconnected, if it has one."""
        for watch in self._watches:
            if watch.connection is connection:
                watch.timer.cancel()
        self._watches = [watch for watch in self._watches if watch.connection is not connection]


def _parse_query(text: str) -> WatchQuery:
    """Parse the query of a call. Raises ValueError if it is not valid."""
    query = parse_qs(text, strict_parsing=True) if text else {}
    if "since" not in query:
        return WatchQuery(None, 0.0)
    timeout_ms = float(query.get("timeout_ms", ["0"])[0])
    if not (math.isfinite(timeout_ms) and timeout_ms >= 0.0):
        raise ValueError(f"timeout_ms is not a time: {timeout_ms}")
    return WatchQuery(int(query["since"][0]), min(timeout_ms, MAX_WATCH_MS) / 1000.0)


class DiscoveryConnection(LoopbackConnection):
    """One HTTP connection, with one call at a time."""

    def __init__(self, discovery: FakeDiscovery) -> None:
        super().__init__(discovery)
        self._discovery = discovery
        self._http = h11.Connection(h11.SERVER)
        self._request_target = ""

    def connection_lost(self, exc: Exception | None) -> None:
        """Unregister, and drop the pending watch (asyncio's callback)."""
        super().connection_lost(exc)
        self._discovery.cancel_watch(self)

    def data_received(self, data: bytes) -> None:
        """Feed the HTTP parser (asyncio's callback)."""
        try:
            self._http.receive_data(data)
        except h11.RemoteProtocolError:
            self.close()
            return
        self._read_request()

    def _read_request(self) -> None:
        """Parse what has been received, up to the end of one request."""
        try:
            while (event := self._http.next_event()) not in (h11.NEED_DATA, h11.PAUSED):
                if isinstance(event, h11.Request):
                    self._request_target = event.target.decode("ascii", "replace")
                elif isinstance(event, h11.EndOfMessage):
                    self._discovery.handle_request(self, self._request_target)
                    return
        except h11.RemoteProtocolError:
            self.close()

    def reply_with_list(self, endpoints: EndpointList) -> None:
        """Reply with an endpoint list."""
        self.reply(200, msgspec.json.encode(endpoints))

    def reply(self, status: int, body: bytes = b"") -> None:
        """Reply to the pending request; then the next one may be read."""
        if not self.is_open:
            return
        headers = [("Content-Type", "application/json"), ("Content-Length", str(len(body)))]
        head = self._http.send(h11.Response(status_code=status, headers=headers)) or b""
        payload = self._http.send(h11.Data(data=body)) or b""
        self._http.send(h11.EndOfMessage())
        self.write(head + payload)
        if self._http.our_state is h11.DONE and self._http.their_state is h11.DONE:
            self._http.start_next_cycle()
            self._discovery.loop.call_soon(self._read_request)  # the next request may already be buffered
        else:
            self.close()
