"""A fake server: RESP2, several cores that share one bounded queue, draining.

The server follows the protocol specification for gateways and servers. A request runs on a free core or
waits in the queue. When the queue is full, or while the server drains, the request is rejected with ``-BUSY``
and does not run. Every attempt is recorded in an `AttemptLog`.

Not modelled: health checks (`INFO load` gets -NOPERM, as from a server that permits no health checks),
deduplication by idempotency key, usage figures, and slow start.
"""

from __future__ import annotations

import math
import time
from collections import deque
from dataclasses import dataclass

from quota_gateway.lab.fakes.attempt_log import Attempt, AttemptLog, AttemptOutcome
from quota_gateway.lab.fakes.faults import MALFORMED_REPLIES, Fault, FaultKind
from quota_gateway.lab.fakes.resp_server import (
    BUSY_REPLY,
    CONNECTION_COMMAND_REPLIES,
    UNKNOWN_COMMAND_REPLY,
    PendingReply,
    RespServer,
    bulk_string,
)

FAILED_REPLY = b"-ERR failed\r\n"
SYNTAX_REPLY = b"-SYNTAX\r\n"
NO_PERMISSION_REPLY = b"-NOPERM\r\n"
NULL_BULK_STRING = b"$-1\r\n"
REQUEST_COMMANDS = (b"CALL.GET", b"CALL.POST")
MIN_REQUEST_ARGUMENTS = 4  # command, customer id, request id, fields
MAX_REQUEST_ARGUMENTS = 5  # a request may also have a body
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
    """Capacity and timing of a server.

    Service times have a gamma distribution whose mean is proportional to the units of the request.

    Raises:
        ValueError: a value is out of range.
    """

    cores: int = 2
    service_ms: float = 5.0  # mean service time of one unit; at 0 the server replies at once
    variation: float = 0.5  # coefficient of variation of service times (standard deviation / mean)
    queue_length: int = 32  # requests that may wait for a core
    max_connections: int = 512  # while more connections are open, all requests are rejected
    handshake_ms: float = 0.0  # added to the service time of the first request of a connection
    idle_timeout_ms: float = 15_000.0  # equals `limits.conn_idle_ms` of the settings
    value_bytes: int = 64
    load_reports: bool = False  # whether replies include a load report (requests in flight, requests queued)

    def __post_init__(self) -> None:
        non_negative = (self.service_ms, self.variation, self.handshake_ms, self.idle_timeout_ms)
        if self.cores < 1 or self.queue_length < 0 or self.max_connections < 1:
            raise ValueError(
                "a server must have cores >= 1, queue_length >= 0 and max_connections >= 1,"
                f" not {self.cores}, {self.queue_length} and {self.max_connections}"
            )
        if not all(math.isfinite(value) and value >= 0.0 for value in non_negative):
            raise ValueError(
                "service_ms, variation, handshake_ms and idle_timeout_ms of a server must be finite"
                f" and at least 0, not {non_negative}"
            )


@dataclass(frozen=True, slots=True, eq=False)
class AcceptedRequest:
    """A queued or running request, with the service time and the fault drawn for it on arrival."""

    pending: PendingReply
    attempt: Attempt
    service_s: float
    fault: Fault | None


def encode_value(request_id: bytes, server_name: str, size: int) -> bytes:
    """Return a server's value for a request: request id and server name, padded to `size` bytes."""
    prefix = b"%b %b " % (request_id, server_name.encode())
    return prefix + b"." * max(0, size - len(prefix))


def request_id_of(value: bytes) -> bytes:
    """Return the id of the request that a value answers."""
    return value.partition(b" ")[0]


class FakeServer(RespServer):
    """One fake server. While `draining` is set, it completes accepted requests and rejects new ones."""

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
        """Number of requests that are running or queued."""
        return len(self._running) + len(self._queue)

    def handle_command(self, pending: PendingReply, arguments: list[bytes]) -> None:
        """Accept a request, or reply to any other command at once."""
        command = arguments[0].upper()
        if command in REQUEST_COMMANDS:
            self._handle_request(pending, arguments)
        elif command == b"INFO":
            pending.complete(NO_PERMISSION_REPLY)
        else:
            pending.complete(CONNECTION_COMMAND_REPLIES.get(command, UNKNOWN_COMMAND_REPLY))

    def _handle_request(self, pending: PendingReply, arguments: list[bytes]) -> None:
        fields = _parse_fields(arguments)
        units = _parse_units(fields)
        valid_length = MIN_REQUEST_ARGUMENTS <= len(arguments) <= MAX_REQUEST_ARGUMENTS
        if not valid_length or b"d" not in fields or units is None:
            self.attempt_log.malformed_commands += 1
            pending.complete(SYNTAX_REPLY)
            return
        attempt = Attempt(arguments[2], self.name, time.monotonic())
        self.attempt_log.record(attempt)
        fault = self.faults.draw()
        if self._must_reject(fault):
            attempt.complete(AttemptOutcome.REJECTED, time.monotonic())
            pending.complete(BUSY_REPLY)
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
        mean_ms = self.model.service_ms * units
        variation = self.model.variation
        service_ms = mean_ms
        if mean_ms and variation:
            service_ms = self.rng.gammavariate(variation**-2, mean_ms * variation**2)  # shape, scale
        return (service_ms + self.model.handshake_ms * first_on_connection) / 1000.0

    def _start_queued(self) -> None:
        """Start queued requests on free cores; drop those whose caller has disconnected."""
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
        """Free the core, send the reply (delayed by a `DELAY` fault) and start queued requests."""
        self._running.remove(request)
        fault = request.fault
        if fault is not None and fault.kind is FaultKind.DELAY:
            self.loop.call_later(fault.delay_ms / 1000.0, self._reply, request, None)
        else:
            self._reply(request, fault.kind if fault is not None else None)
        self._start_queued()

    def _reply(self, request: AcceptedRequest, fault_kind: FaultKind | None) -> None:
        pending = request.pending
        attempt = request.attempt
        now = time.monotonic()
        match fault_kind:
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
                pending.complete(FAILED_REPLY)
            case FaultKind.PARTIAL_REPLY:
                reply = self._encode_reply(attempt)
                attempt.complete(AttemptOutcome.BROKEN, now)
                pending.complete(reply[: len(reply) // 2], last_on_connection=True)
            case _:
                attempt.complete(AttemptOutcome.SERVED, now)
                pending.complete(self._encode_reply(attempt))

    def _encode_reply(self, attempt: Attempt) -> bytes:
        """Encode a reply: an array of the value, the usage figures (always null) and the load report."""
        value = bulk_string(encode_value(attempt.request_id, self.name, self.model.value_bytes))
        report = NULL_BULK_STRING
        if self.model.load_reports:
            report = bulk_string(b"active=%d,waiting=%d" % (self.in_flight, len(self._queue)))
        return b"*3\r\n%b%b%b" % (value, NULL_BULK_STRING, report)


def _parse_fields(arguments: list[bytes]) -> dict[bytes, bytes]:
    """Parse the comma-separated ``name=value`` fields of a request; empty if the request has no fields."""
    if len(arguments) < MIN_REQUEST_ARGUMENTS:
        return {}
    pairs = (pair.partition(b"=") for pair in arguments[3].split(b","))
    return {name: value for name, _, value in pairs}


def _parse_units(fields: dict[bytes, bytes]) -> float | None:
    """Return the units of a request, 1 by default; None if they are not a finite positive number."""
    try:
        units = float(fields.get(b"units", b"1"))
    except ValueError:
        return None
    return units if math.isfinite(units) and units > 0.0 else None
