"""A fake of discovery: the endpoint list over HTTP/1.1, and watches for its changes.

The fake follows the protocol specification of discovery. ``GET /v1/servers`` returns a snapshot. With
``since`` and ``timeout_ms`` the call waits for a newer version and returns a delta, or a snapshot if the
caller's version is unknown or older than the changes that are still kept.
"""

from __future__ import annotations

import asyncio
import math
from dataclasses import dataclass
from http import HTTPStatus
from urllib.parse import parse_qs, urlsplit

import msgspec

from quota_gateway.lab.fakes.endpoint_history import (
    EndpointHistory,
    EndpointList,
    ListedServer,
    ListedState,
)
from quota_gateway.lab.fakes.faults import FaultKind
from quota_gateway.lab.fakes.http_server import HttpConnection, HttpServer

ENDPOINT_LIST_PATH = "/v1/servers"
MAX_WATCH_TIMEOUT_MS = 60_000.0
SUPPORTED_FAULTS = (FaultKind.RESET, FaultKind.NO_REPLY, FaultKind.DELAY, FaultKind.UNAVAILABLE)


@dataclass(frozen=True, slots=True)
class WatchQuery:
    """The parameters of a call."""

    since: int | None  # version known to the caller; None: the caller asks for a snapshot
    timeout_s: float  # longest wait for a newer version


@dataclass(slots=True)
class PendingWatch:
    """A call that waits for a version newer than `since`."""

    connection: HttpConnection
    since: int
    timer: asyncio.TimerHandle


class FakeDiscovery(HttpServer):
    """The fake of discovery. Each change of the list is sent to all pending watches at once."""

    def __init__(self, seed: int = 0) -> None:
        super().__init__(SUPPORTED_FAULTS, seed)
        self.endpoints = EndpointHistory()
        self._watches: list[PendingWatch] = []

    async def stop(self) -> None:
        """Cancel all watches, stop listening and reset all connections."""
        for watch in self._watches:
            watch.timer.cancel()
        self._watches.clear()
        await super().stop()

    def put(self, server: ListedServer) -> None:
        """Add a server or replace its entry."""
        self.endpoints.put(server)
        self._notify_watches()

    def mark_draining(self, server_id: str) -> None:
        """List a server as draining. Raises KeyError if the server is not listed."""
        self.endpoints.set_state(server_id, ListedState.DRAINING)
        self._notify_watches()

    def remove(self, server_id: str) -> None:
        """List a server as gone. Raises KeyError if the server is not listed."""
        self.endpoints.set_state(server_id, ListedState.GONE)
        self._notify_watches()

    def _notify_watches(self) -> None:
        watches = self._watches
        self._watches = []
        for watch in watches:
            watch.timer.cancel()
            _reply_with_list(watch.connection, self.endpoints.changes_since(watch.since))

    def handle_request(self, connection: HttpConnection, target: str) -> None:
        """Serve one call, subject to the fault drawn for it."""
        fault = self.faults.draw()
        kind = fault.kind if fault is not None else None
        if kind is FaultKind.RESET:
            connection.reset()
        elif kind is FaultKind.UNAVAILABLE:
            connection.reply(HTTPStatus.SERVICE_UNAVAILABLE)
        elif fault is not None and kind is FaultKind.DELAY:
            self.loop.call_later(fault.delay_ms / 1000.0, self._serve, connection, target)
        elif kind is not FaultKind.NO_REPLY:
            self._serve(connection, target)

    def _serve(self, connection: HttpConnection, target: str) -> None:
        parts = urlsplit(target)
        if parts.path != ENDPOINT_LIST_PATH:
            connection.reply(HTTPStatus.NOT_FOUND)
            return
        try:
            query = _parse_query(parts.query)
        except ValueError:
            connection.reply(HTTPStatus.BAD_REQUEST)
            return
        if query.since is None:
            _reply_with_list(connection, self.endpoints.snapshot())
        elif query.since != self.endpoints.version or not query.timeout_s:
            _reply_with_list(connection, self.endpoints.changes_since(query.since))
        else:
            timer = self.loop.call_later(query.timeout_s, self._expire_watch, connection)
            self._watches.append(PendingWatch(connection, query.since, timer))

    def _expire_watch(self, connection: HttpConnection) -> None:
        """Reply with an empty delta to a watch that has timed out without a change."""
        (watch,) = (watch for watch in self._watches if watch.connection is connection)
        self._watches.remove(watch)
        _reply_with_list(connection, self.endpoints.changes_since(watch.since))

    def handle_disconnect(self, connection: HttpConnection) -> None:
        """Drop the pending watch of a disconnected caller, if there is one."""
        for watch in self._watches:
            if watch.connection is connection:
                watch.timer.cancel()
        self._watches = [watch for watch in self._watches if watch.connection is not connection]


def _reply_with_list(connection: HttpConnection, endpoints: EndpointList) -> None:
    connection.reply(HTTPStatus.OK, msgspec.json.encode(endpoints))


def _parse_query(text: str) -> WatchQuery:
    """Parse the query of a call. Raises ValueError if the query is not valid."""
    query = parse_qs(text, strict_parsing=True) if text else {}
    if "since" not in query:
        return WatchQuery(None, 0.0)
    timeout_ms = float(query.get("timeout_ms", ["0"])[0])
    if not (math.isfinite(timeout_ms) and timeout_ms >= 0.0):
        raise ValueError(f"timeout_ms must be finite and at least 0, not {timeout_ms}")
    return WatchQuery(int(query["since"][0]), min(timeout_ms, MAX_WATCH_TIMEOUT_MS) / 1000.0)
