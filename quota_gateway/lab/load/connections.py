"""A client's connections to the gateways.

Clients follow the protocol specification for clients and gateways. They keep their connections open, and open
another one when all are busy. If the gateway closes an idle connection while a request is on its way, they
resend the request on another connection.
"""

from __future__ import annotations

import asyncio
import time
from collections import deque
from dataclasses import dataclass
from typing import Protocol

import hiredis

from quota_gateway.lab.fakes.server import request_id_of
from quota_gateway.lab.load.request_record import LossReason, RequestOutcome, RequestRecord

MAX_CONNECTIONS = 128  # per gateway; when all of them are busy, requests are pipelined
MIN_IDLE_BEFORE_CLOSE_S = 1.0  # a gateway closes only connections that have been idle for at least this long


@dataclass(frozen=True, slots=True)
class Completion:
    """The outcome of a request, with the reason if it is lost."""

    outcome: RequestOutcome
    loss_reason: LossReason | None = None


class RequestTracker(Protocol):
    """The receiver of the outcome of each request."""

    @property
    def stopping(self) -> bool:
        """Whether the run is over, so that no request is resent."""

    def complete(self, record: RequestRecord, completion: Completion, now: float) -> None:
        """Record the outcome of a request; ignored if it already has one."""

    def count_extra_reply(self) -> None:
        """Count a reply that no request is waiting for."""


def classify_reply(reply: object, request_id: bytes) -> Completion:
    """Classify the reply to a request by the reply table of the protocol specification."""
    value = reply[0] if isinstance(reply, list) and reply else reply
    if isinstance(value, bytes):
        if request_id_of(value) != request_id:
            return Completion(RequestOutcome.LOST, LossReason.WRONG_VALUE)
        return Completion(RequestOutcome.SERVED)
    if isinstance(reply, hiredis.ReplyError):
        code, _, retry_after = str(reply).partition(" ")
        if code == "BUSY" and not retry_after:
            return Completion(RequestOutcome.REJECTED)
        if code == "BUSY" and retry_after.isdigit():
            return Completion(RequestOutcome.REJECTED_WITH_RETRY_AFTER)
    return Completion(RequestOutcome.FAILED)


class GatewayConnection(asyncio.Protocol):
    """One connection to a gateway. Replies arrive in the order of the requests."""

    def __init__(self, pool: GatewayConnectionPool) -> None:
        self.closed = False
        self.pending: deque[RequestRecord] = deque()
        self._pool = pool
        self._transport: asyncio.Transport | None = None
        self._reader = hiredis.Reader()
        self._idle_since: float | None = None  # when it last became idle; None if it has not been idle yet

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Write the requests that waited for the connection (asyncio's callback)."""
        self._transport = transport  # type: ignore[assignment]  # a TCP connection has a full transport
        if self.closed:
            self.abort()
        for record in self.pending:
            self._write(record)

    def send(self, record: RequestRecord) -> None:
        """Write a request after the pending ones, or once the connection is established."""
        self.pending.append(record)
        if self._transport is not None:
            self._write(record)

    def _write(self, record: RequestRecord) -> None:
        assert self._transport is not None
        record.sent_at = time.monotonic()
        self._transport.write(record.request.command)

    def data_received(self, data: bytes) -> None:
        """Parse replies (asyncio's callback)."""
        now = time.monotonic()
        try:
            self._reader.feed(data)
            while (reply := self._reader.gets()) is not False:
                self._handle_reply(reply, now)
        except hiredis.ProtocolError:
            self.abort()
            return
        if not self.pending and not self.closed:
            self._idle_since = now
            self._pool.add_idle(self)

    def _handle_reply(self, reply: object, now: float) -> None:
        if self.pending:
            record = self.pending.popleft()
            self._pool.tracker.complete(record, classify_reply(reply, record.request.request_id), now)
        else:
            self._pool.tracker.count_extra_reply()
            self.abort()

    def connection_lost(self, exc: Exception | None) -> None:  # noqa: ARG002 - asyncio's signature
        """Resend the requests that `_may_resend` allows; all others are lost (asyncio's callback)."""
        self.closed = True
        self._pool.remove(self)
        pending, self.pending = self.pending, deque()
        established = self._transport is not None
        reason = LossReason.CONNECTION_CLOSED if established else LossReason.NO_CONNECTION
        for record in pending:
            if self._may_resend(record):
                record.resent_at = time.monotonic()
                self._pool.send(record)
            else:
                completion = Completion(RequestOutcome.LOST, reason)
                self._pool.tracker.complete(record, completion, time.monotonic())

    def _may_resend(self, record: RequestRecord) -> bool:
        """Whether the gateway may have closed the idle connection before the request reached it.

        False for a request that was already resent once, and after the end of the run.
        """
        if record.resent_at is not None or self._pool.tracker.stopping:
            return False
        if self._idle_since is None or record.sent_at is None:
            return False
        return record.sent_at - self._idle_since > MIN_IDLE_BEFORE_CLOSE_S

    def abort(self) -> None:
        """Abort the connection. `connection_lost` then resends or loses its pending requests."""
        self.closed = True
        if self._transport is not None:
            self._transport.abort()


class GatewayConnectionPool:
    """The connections to one gateway."""

    def __init__(self, tracker: RequestTracker, host: str, port: int) -> None:
        self.tracker = tracker
        self._host = host
        self._port = port
        self._idle: list[GatewayConnection] = []  # ordered by last use, the most recent one last
        self._connections: set[GatewayConnection] = set()
        self._connecting: set[asyncio.Task[None]] = set()

    def send(self, record: RequestRecord) -> None:
        """Send on an idle connection, else on a new one, else on the one with the fewest pending requests."""
        while self._idle:
            connection = self._idle.pop()
            if not connection.closed:
                connection.send(record)
                return
        if len(self._connections) < MAX_CONNECTIONS:
            connection = self._open()
        else:
            connection = min(self._connections, key=lambda each: (each.closed, len(each.pending)))
        connection.send(record)

    def _open(self) -> GatewayConnection:
        connection = GatewayConnection(self)
        self._connections.add(connection)
        task = asyncio.get_running_loop().create_task(self._connect(connection))
        self._connecting.add(task)
        task.add_done_callback(self._connecting.discard)
        return connection

    async def _connect(self, connection: GatewayConnection) -> None:
        loop = asyncio.get_running_loop()
        try:
            await loop.create_connection(lambda: connection, self._host, self._port)
        except OSError as error:
            connection.connection_lost(error)

    def add_idle(self, connection: GatewayConnection) -> None:
        """Make an idle connection available for reuse."""
        self._idle.append(connection)

    def remove(self, connection: GatewayConnection) -> None:
        """Remove a closed connection."""
        self._connections.discard(connection)
        if connection in self._idle:
            self._idle.remove(connection)

    def abandon(self, record: RequestRecord) -> None:
        """Give up a request, and abort the connection on which it is pending.

        Replies are matched with requests by their order, so the connection cannot be reused: the reply to
        this request may still arrive.
        """
        for connection in list(self._connections):
            if record in connection.pending:
                connection.pending.remove(record)
                connection.abort()

    def close(self) -> None:
        """Abort all connections."""
        for task in self._connecting:
            task.cancel()
        for connection in list(self._connections):
            connection.abort()
