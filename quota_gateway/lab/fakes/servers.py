"""A stand-in for a valuation server: RESP2, cores with a queue before them, a waiting room, drains.

From PROTOCOL, "Gateways to servers". A request goes to a free core or waits in one line for all cores; with
the line full, or while the server drains, it is turned away by ``-BUSY`` and has not run. What it did is
kept by request id in a `Ledger`, from which a load tool takes the time that was the server's and not the
gateway's.

Left out of the protocol: probes (`INFO load` gets -NOPERM, as where the settings allow none), the dropping of
repeats of one idempotency key, figures on use, and the slow first seconds of a new server.
"""

from __future__ import annotations

import math
import time
from collections import Counter as Tallies
from collections import deque
from dataclasses import dataclass, field
from enum import Enum

from quota_gateway.lab.fakes.faults import SPOILT, Fault, FaultKind
from quota_gateway.lab.fakes.loopback_server import BUSY, OK, PONG, RespEndpoint, Slot, bulk

FAILED = b"-ERR failed\r\n"
SYNTAX = b"-SYNTAX\r\n"
NO_PERMISSION = b"-NOPERM\r\n"
SUPPORTED = (
    FaultKind.RESET,
    FaultKind.SILENCE,
    FaultKind.LATE,
    FaultKind.PARTIAL,
    FaultKind.SPOILT,
    FaultKind.ERROR,
    FaultKind.UNAVAILABLE,
)


class Outcome(Enum):
    """What became of an attempt at a server."""

    OPEN = "open"  # waits, runs, or will never be answered
    SERVED = "served"
    BUSY = "busy"  # turned away, has not run
    FAILED = "failed"  # an error answer
    BROKEN = "broken"  # a reset, or an answer that was not whole
    ABANDONED = "abandoned"  # its connection ended while it waited: has not run


@dataclass(slots=True)
class Attempt:
    """One request at one server. Times are seconds of `time.monotonic`."""

    request_id: bytes
    server: str
    arrived: float
    begun: float | None = None  # a core took it: it has run, or runs
    ended: float | None = None
    outcome: Outcome = Outcome.OPEN

    def spent_s(self) -> float:
        """Time in the line and on the core; 0 for one that has no end."""
        return self.ended - self.arrived if self.ended is not None else 0.0


@dataclass(slots=True)
class Ledger:
    """All attempts of a run by request id, over all its servers. It grows with the run, which is bounded."""

    attempts: dict[bytes, list[Attempt]] = field(default_factory=dict)
    unreadable: int = 0  # commands that no gateway should send

    def add(self, attempt: Attempt) -> None:
        """Books the arrival of an attempt."""
        self.attempts.setdefault(attempt.request_id, []).append(attempt)

    def of(self, request_id: bytes) -> list[Attempt]:
        """The attempts of one request, in the order of their arrival."""
        return self.attempts.get(request_id, [])

    def outcomes(self) -> dict[str, int]:
        """How many attempts ended how."""
        return dict(Tallies(each.outcome.value for made in self.attempts.values() for each in made))

    def runs(self, request_id: bytes) -> int:
        """How many times a request was carried out."""
        return sum(attempt.begun is not None for attempt in self.of(request_id))


@dataclass(frozen=True, slots=True)
class ServerModel:
    """How a server behaves. Service times are gamma distributed and grow with a request's units."""

    cores: int = 2
    service_ms: float = 5.0  # mean for one unit; 0 answers at once
    variation: float = 0.5  # standard deviation over mean
    waiting: int = 32  # places in the line
    connections: int = 512  # on further ones every request is turned away
    handshake_ms: float = 0.0  # added to the first request of a connection
    idle_ms: float = 15_000.0  # `limits.conn_idle_ms` of the settings
    value_bytes: int = 64
    reports: bool = False  # answers hold a load report: requests held, requests waiting

    def __post_init__(self) -> None:
        figures = (self.service_ms, self.variation, self.handshake_ms, self.idle_ms)
        if self.cores < 1 or self.waiting < 0 or self.connections < 1:
            raise ValueError("a server has at least one core and one connection, and no places below none")
        if not all(math.isfinite(each) and each >= 0.0 for each in figures):
            raise ValueError("a server's times and their variation are at least 0")


def value_for(request_id: bytes, server: str, size: int) -> bytes:
    """The value that a server makes for a request, padded to a size in bytes."""
    return b"%b %b " % (request_id, server.encode()) + b"." * max(0, size - len(request_id) - len(server) - 2)


def made_for(value: bytes) -> bytes:
    """The id of the request that a value was made for."""
    return value.partition(b" ")[0]


class ServerStandIn(RespEndpoint):
    """One server. Set `draining` to have it complete what it holds and turn away what is new."""

    def __init__(self, name: str, model: ServerModel, ledger: Ledger, seed: int = 0) -> None:
        super().__init__(SUPPORTED, seed, model.idle_ms / 1000.0)
        self.name = name
        self.model = model
        self.ledger = ledger
        self.draining = False
        self._busy = 0
        self._line: deque[tuple[Slot, Attempt, float, Fault | None]] = deque()

    @property
    def held(self) -> int:
        """Requests that run or wait."""
        return self._busy + len(self._line)

    def command(self, slot: Slot, words: list[bytes]) -> None:
        verb = words[0].upper()
        if verb in (b"CALL.GET", b"CALL.POST"):
            self._request(slot, words)
        elif verb == b"PING":
            slot.fill(PONG)
        elif verb in (b"CLIENT", b"SELECT"):
            slot.fill(OK)
        elif verb == b"INFO":
            slot.fill(NO_PERMISSION)
        else:
            slot.fill(b"-ERR unknown command\r\n")

    def _request(self, slot: Slot, words: list[bytes]) -> None:
        fields = _fields(words)
        units = _units(fields)
        if not 4 <= len(words) <= 5 or b"d" not in fields or units is None:
            self.ledger.unreadable += 1
            slot.fill(SYNTAX)
            return
        attempt = Attempt(words[2], self.name, time.monotonic())
        self.ledger.add(attempt)
        fault = self.faults.strike()
        crowded = len(self.connections) > self.model.connections
        full = self._busy >= self.model.cores and len(self._line) >= self.model.waiting
        unavailable = fault is not None and fault.kind is FaultKind.UNAVAILABLE
        if self.draining or crowded or full or unavailable:
            _end(attempt, Outcome.BUSY)
            slot.fill(BUSY)
            return
        self._line.append((slot, attempt, self._service_s(slot, units), fault))
        self._next()

    def _service_s(self, slot: Slot, units: float) -> float:
        mean = self.model.service_ms * units
        spread = self.model.variation
        drawn = self.rng.gammavariate(spread**-2, mean * spread**2) if mean and spread else mean
        return (drawn + self.model.handshake_ms * slot.first) / 1000.0

    def _next(self) -> None:
        """Gives free cores to those that wait; a request whose caller has gone is over and does not run."""
        while self._line and self._busy < self.model.cores:
            slot, attempt, service_s, fault = self._line.popleft()
            if not slot.connection.open:
                _end(attempt, Outcome.ABANDONED)
                continue
            attempt.begun = time.monotonic()
            self._busy += 1
            if service_s > 0.0:
                self.loop.call_later(service_s, self._finish, slot, attempt, fault)
            else:
                self._finish(slot, attempt, fault)

    def _finish(self, slot: Slot, attempt: Attempt, fault: Fault | None) -> None:
        self._busy -= 1
        if fault is not None and fault.kind is FaultKind.LATE:
            self.loop.call_later(fault.delay_ms / 1000.0, self._answer, slot, attempt, None)  # off its core
        else:
            self._answer(slot, attempt, fault.kind if fault is not None else None)
        self._next()

    def _answer(self, slot: Slot, attempt: Attempt, fault: FaultKind | None) -> None:
        if fault is FaultKind.SILENCE:
            return
        if fault is FaultKind.RESET:
            _end(attempt, Outcome.BROKEN)
            slot.connection.reset()
        elif fault is FaultKind.SPOILT:
            _end(attempt, Outcome.BROKEN)
            slot.fill(self.rng.choice(SPOILT))
        elif fault is FaultKind.ERROR:
            _end(attempt, Outcome.FAILED)
            slot.fill(FAILED)
        else:
            reply = self._reply(attempt)
            part = fault is FaultKind.PARTIAL
            _end(attempt, Outcome.BROKEN if part else Outcome.SERVED)
            slot.fill(reply[: len(reply) // 2] if part else reply, last=part)

    def _reply(self, attempt: Attempt) -> bytes:
        value = bulk(value_for(attempt.request_id, self.name, self.model.value_bytes))
        report = b"$-1\r\n"
        if self.model.reports:
            report = bulk(b"active=%d,waiting=%d" % (self.held, len(self._line)))
        return b"*3\r\n%b$-1\r\n%b" % (value, report)


def _end(attempt: Attempt, outcome: Outcome) -> None:
    attempt.ended, attempt.outcome = time.monotonic(), outcome


def _fields(words: list[bytes]) -> dict[bytes, bytes]:
    """The list of names and values of a command; empty where it has none."""
    if len(words) < 4:
        return {}
    pairs = (pair.partition(b"=") for pair in words[3].split(b","))
    return {name: value for name, _, value in pairs}


def _units(fields: dict[bytes, bytes]) -> float | None:
    """The units of a request, 1 where it names none; None where they are no positive number."""
    try:
        units = float(fields.get(b"units", b"1"))
    except ValueError:
        return None
    return units if math.isfinite(units) and units > 0.0 else None
