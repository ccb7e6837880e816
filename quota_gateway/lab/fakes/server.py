"""A fake valuation server: RESP2, cores with one queue before them, a bounded queue, draining.

From PROTOCOL, "Gateways to servers". A request goes to a free core or waits in one queue for all cores; with
the queue full, or while the server drains, it is rejected with ``-BUSY`` and has not run. Every attempt is
recorded in an `AttemptLog`.

Not modelled: health checks (`INFO load` gets -NOPERM, as where the settings allow none), the deduplication of
one idempotency key, figures on usage, and slow start.
"""

from __future__ import annotations

import math
import time
from collections import deque
from dataclasses import dataclass

from quota_gateway.lab.fakes.attempt_log import Attempt, AttemptLog, AttemptOutcome
from quota_gateway.lab.fakes.faults import MALFORMED_REPLIES, Fault, FaultKind
from quota_gateway.lab.fakes.resp_server import (
    BUSY,
    CONNECTION_COMMANDS,
    UNKNOWN_COMMAND,
    PendingReply,
    RespServer,
    bulk_string,
)

FAILED = b"-ERR failed\r\n"
SYNTAX = b"-SYNTAX\r\n"
NO_PERMISSION = b"-NOPERM\r\n"
NULL = b"$-1\r\n"
REQUEST_COMMANDS = (b"CALL.GET", b"CALL.POST")
REQUEST_ARGUMENTS = (4, 5)  # least and most words of a request: the body may be absent
SUPPORTED_FAULTS = (
    FaultKind.RESET,
    FaultKind.NO_REPLY,
    FaultKind.DELAY,
    FaultKind.PARTIAL_REPLY,
    FaultKind.MALFORMED_REPLY,
    FaultKind.ERROR,
    FaultKind.UNAVAILABLE,
)


@dataclass(frozen=True, slots=True)
class ServerModel:
    """How a server behaves. Service times are gamma distributed and grow with a request's units.

    Raises:
        ValueError: a figure is out of range.
    """

    cores: int = 2
    service_ms: float = 5.0  # mean for one unit; 0 replies at once
    variation: float = 0.5  # standard deviation over mean
    queue_length: int = 32  # requests that may wait for a core
    max_connections: int = 512  # on further ones every request is rejected
    handshake_ms: float = 0.0  # added to the first request of a connection
    idle_timeout_ms: float = 15_000.0  # `limits.conn_idle_ms` of the settings
    value_bytes: int = 64
    load_reports: bool = False  # replies hold a load report: requests in flight, requests queued

    def __post_init__(self) -> None:
        figures = (self.service_ms, self.variation, self.handshake_ms, self.idle_timeout_ms)
        if self.cores < 1 or self.queue_length < 0 or self.max_connections < 1:
            raise ValueError("a server has at least one core and one connection, and no queue below none")
        if not all(math.isfinite(figure) and figure >= 0.0 for figure in figures):
            raise ValueError("a server's times and their variation are at least 0")


@dataclass(frozen=True, slots=True, eq=False)
class AcceptedRequest:
    """A request that is queued or runs, with what was drawn for it on arrival."""

    pending: PendingReply
    attempt: Attempt
    service_s: float
    fault: Fault | None


def encode_value(request_id: bytes, server_name: str, size: int) -> bytes:
    """Return the value that a server gives for a request, padded to a size in bytes."""
    prefix = b"%b %b " % (request_id, server_name.encode())
    return prefix + b"." * max(0, size - len(prefix))


def request_id_of(value: bytes) -> bytes:
    """Return the id of the request that a value was given for."""
    return value.partition(b" ")[0]


class FakeServer(RespServer):
    """One server. Set `draining` to have it complete its requests and reject new ones."""

    def __init__(self, name: str, model: ServerModel, attempt_log: AttemptLog, seed: int = 0) -> None:
        super().__init__(SUPPORTED_FAULTS, seed, model.idle_timeout_ms / 1000.0)
        self.name = name
        self.model = model
        self.attempt_log = attempt_log
        self.draining = False
        self._running: list[AcceptedRequest] = []
        self._queue: deque[AcceptedRequest] = deque()

    @property
    def in_flight(self) -> int:
        """Requests that run or are queued."""
        return len(self._running) + len(self._queue)

    def handle_command(self, pending: PendingReply, arguments: list[bytes]) -> None:
        """Carry out one command."""
        command = arguments[0].upper()
        if command in REQUEST_COMMANDS:
            self._handle_request(pending, arguments)
        elif command == b"INFO":
            pending.complete(NO_PERMISSION)
        else:
            pending.complete(CONNECTION_COMMANDS.get(command, UNKNOWN_COMMAND))

    def _handle_request(self, pending: PendingReply, arguments: list[bytes]) -> None:
        fields = _parse_fields(arguments)
        units = _parse_units(fields)
        least, most = REQUEST_ARGUMENTS
        if not least <= len(arguments) <= most or b"d" not in fields or units is None:
            self.attempt_log.malformed_commands += 1
            pending.complete(SYNTAX)
            return
        attempt = Attempt(arguments[2], self.name, time.monotonic())
        self.attempt_log.record(attempt)
        fault = self.faults.draw()
        if self._must_reject(fault):
            attempt.complete(AttemptOutcome.REJECTED, time.monotonic())
            pending.complete(BUSY)
            return
        service_s = self._draw_service_s(units, pending.first_on_connection)
        self._queue.append(AcceptedRequest(pending, attempt, service_s, fault))
        self._start_queued()

    def _must_reject(self, fault: Fault | None) -> bool:
        if self.draining or len(self.connections) > self.model.max_connections:
            return True
        if fault is not None and fault.kind is FaultKind.UNAVAILABLE:
            return True
        return len(self._running) >= self.model.cores and len(self._queue) >= self.model.queue_length

    def _draw_service_s(self, units: float, first_on_connection: bool) -> float:
        mean = self.model.service_ms * units
        variation = self.model.variation
        drawn = self.rng.gammavariate(variation**-2, mean * variation**2) if mean and variation else mean
        return (drawn + self.model.handshake_ms * first_on_connection) / 1000.0

    def _start_queued(self) -> None:
        """Give free cores to queued requests; one whose caller has disconnected is dropped."""
        while self._queue and len(self._running) < self.model.cores:
            request = self._queue.popleft()
            if not request.pending.connection.is_open:
                request.attempt.complete(AttemptOutcome.ABANDONED, time.monotonic())
                continue
            request.attempt.started_at = time.monotonic()
            self._running.append(request)
            if request.service_s > 0.0:
                self.loop.call_later(request.service_s, self._finish, request)
            else:
                self._finish(request)

    def _finish(self, request: AcceptedRequest) -> None:
        """Free the core and reply, later where the fault is a delay."""
        self._running.remove(request)
        fault = request.fault
        if fault is not None and fault.kind is FaultKind.DELAY:
            self.loop.call_later(fault.delay_ms / 1000.0, self._reply, request, None)
        else:
            self._reply(request, fault.kind if fault is not None else None)
        self._start_queued()

    def _reply(self, request: AcceptedRequest, fault: FaultKind | None) -> None:
        pending, attempt = request.pending, request.attempt
        now = time.monotonic()
        match fault:
            case FaultKind.NO_REPLY:
                return
            case FaultKind.RESET:
                attempt.complete(AttemptOutcome.BROKEN, now)
                pending.connection.reset()
            case FaultKind.MALFORMED_REPLY:
                attempt.complete(AttemptOutcome.BROKEN, now)
                pending.complete(self.rng.choice(MALFORMED_REPLIES))
            case FaultKind.ERROR:
                attempt.complete(AttemptOutcome.FAILED, now)
                pending.complete(FAILED)
            case FaultKind.PARTIAL_REPLY:
                reply = self._encode_reply(attempt)
                attempt.complete(AttemptOutcome.BROKEN, now)
                pending.complete(reply[: len(reply) // 2], last_on_connection=True)
            case _:
                attempt.complete(AttemptOutcome.SERVED, now)
                pending.complete(self._encode_reply(attempt))

    def _encode_reply(self, attempt: Attempt) -> bytes:
        """Encode the array of value, figures on usage (always null) and load report."""
        value = bulk_string(encode_value(attempt.request_id, self.name, self.model.value_bytes))
        report = NULL
        if self.model.load_reports:
            report = bulk_string(b"active=%d,waiting=%d" % (self.in_flight, len(self._queue)))
        return b"*3\r\n%b%b%b" % (value, NULL, report)


def _parse_fields(arguments: list[bytes]) -> dict[bytes, bytes]:
    """Parse the list of names and values of a request; empty where it has none."""
    if len(arguments) < REQUEST_ARGUMENTS[0]:
        return {}
    pairs = (pair.partition(b"=") for pair in arguments[3].split(b","))
    return {name: value for name, _, value in pairs}


def _parse_units(fields: dict[bytes, bytes]) -> float | None:
    """Return the units of a request, 1 by default; None where they are not a positive number."""
    try:
        units = float(fields.get(b"units", b"1"))
    except ValueError:
        return None
    return units if math.isfinite(units) and units > 0.0 else None
