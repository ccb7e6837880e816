"""A stand-in for the shared counter: INCRTTL on RESP2, numbers by name, parts of bounded capacity.

From PROTOCOL, "The counter". Each name belongs to one part; a part takes up its calls one by one, and what
would have to wait for its turn longer than `longest_wait_ms` is turned away by ``-BUSY`` with nothing added.
An amount is added when its turn comes, whether or not the caller still listens.

Unlike the real one it limits connections over all gateways together, because those on one loopback address
can't be told apart, and it does not turn callers away before a run begins.
"""

from __future__ import annotations

import math
import time
import zlib
from dataclasses import dataclass

from quota_gateway.lab.fakes.faults import SPOILT, Fault, FaultKind
from quota_gateway.lab.fakes.loopback_server import BUSY, OK, PONG, RespEndpoint, Slot, bulk

MOST_NAME = 64  # bytes
MOST_AMOUNT = 1e9
MOST_TTL_MS = 60_000.0
FORGET_EVERY = 1024  # calls between two sweeps of names whose life has ended
SUPPORTED = (FaultKind.RESET, FaultKind.SILENCE, FaultKind.LATE, FaultKind.SPOILT, FaultKind.UNAVAILABLE)


@dataclass(frozen=True, slots=True)
class CounterModel:
    """What the counter can do."""

    parts: int = 1
    per_part: float = 5000.0  # calls a second that a part takes up
    answer_ms: float = 0.0  # from the end of a call's turn to its answer
    longest_wait_ms: float = 100.0
    idle_ms: float = 10_000.0
    connections: int = 1024  # further ones are reset

    def __post_init__(self) -> None:
        figures = (self.answer_ms, self.longest_wait_ms, self.idle_ms)
        if self.parts < 1 or self.connections < 1 or not (math.isfinite(self.per_part) and self.per_part > 0):
            raise ValueError("a counter has at least one part, one connection and some capacity")
        if not all(math.isfinite(each) and each >= 0.0 for each in figures):
            raise ValueError("a counter's times are at least 0")


@dataclass(slots=True)
class Name:
    """One number. Its life is set by the first call and does not grow by later ones."""

    total: float
    dies: float  # seconds of `time.monotonic`


class CounterStandIn(RespEndpoint):
    """The counter of a run."""

    def __init__(self, model: CounterModel, seed: int = 0) -> None:
        super().__init__(SUPPORTED, seed, model.idle_ms / 1000.0)
        self.model = model
        self.calls = 0
        self.turned_away = 0
        self._names: dict[bytes, Name] = {}
        self._free_at = [0.0] * model.parts

    def command(self, slot: Slot, words: list[bytes]) -> None:
        verb = words[0].upper()
        if len(self.connections) > self.model.connections and slot.first:
            slot.connection.reset()
        elif verb == b"INCRTTL":
            self._call(slot, words)
        elif verb == b"PING":
            slot.fill(PONG)
        elif verb in (b"CLIENT", b"SELECT"):
            slot.fill(OK)
        else:
            slot.fill(b"-ERR unknown command\r\n")

    def total(self, name: bytes) -> float | None:
        """What a name holds; None once its life has ended."""
        found = self._names.get(name)
        return found.total if found is not None and found.dies > time.monotonic() else None

    def _call(self, slot: Slot, words: list[bytes]) -> None:
        self.calls += 1
        parsed = _parse(words)
        if parsed is None:
            slot.fill(b"-ERR no such call\r\n")
            return
        fault = self.faults.strike()
        wait_s = self._turn(words[1])
        if wait_s is None or (fault is not None and fault.kind is FaultKind.UNAVAILABLE):
            self.turned_away += 1
            slot.fill(BUSY)
            return
        self.loop.call_later(wait_s, self._add, slot, words[1], *parsed, fault)

    def _turn(self, name: bytes) -> float | None:
        """Seconds until the turn of a call has ended; None if it would wait too long for it to begin."""
        part = zlib.crc32(name) % self.model.parts
        now = time.monotonic()
        begins = max(now, self._free_at[part])
        if begins - now > self.model.longest_wait_ms / 1000.0:
            return None
        self._free_at[part] = begins + 1.0 / self.model.per_part
        return self._free_at[part] - now

    def _add(self, slot: Slot, name: bytes, amount: float, ttl_ms: float, fault: Fault | None) -> None:
        now = time.monotonic()
        found = self._names.get(name)
        if found is None or found.dies <= now:
            found = self._names[name] = Name(0.0, now + ttl_ms / 1000.0)
        found.total += amount
        if not self.calls % FORGET_EVERY:
            self._names = {key: each for key, each in self._names.items() if each.dies > now}
        self._answer(slot, b"%.10g" % found.total, fault)

    def _answer(self, slot: Slot, total: bytes, fault: Fault | None) -> None:
        if fault is not None and fault.kind is FaultKind.RESET:
            slot.connection.reset()
            return
        if fault is not None and fault.kind is FaultKind.SILENCE:
            return
        if fault is not None and fault.kind is FaultKind.SPOILT:
            slot.fill(self.rng.choice(SPOILT))
            return
        late_ms = self.model.answer_ms + (fault.delay_ms if fault is not None else 0.0)
        if late_ms:
            self.loop.call_later(late_ms / 1000.0, slot.fill, bulk(total))
        else:
            slot.fill(bulk(total))


def _parse(words: list[bytes]) -> tuple[float, float] | None:
    """Amount and life in milliseconds of ``INCRTTL NAME AMOUNT TTL``; None for a call that is none."""
    if len(words) != 4 or not 1 <= len(words[1]) <= MOST_NAME:
        return None
    try:
        amount, ttl_ms = float(words[2]), float(words[3])
    except ValueError:
        return None
    if not (math.isfinite(amount) and abs(amount) <= MOST_AMOUNT and ttl_ms >= 1.0):
        return None
    return amount, min(ttl_ms, MOST_TTL_MS)
