"""Faults that a stand-in can be told to have.

A fault is data, so that a load tool can read it from a file, put it in force at a time and print it. Each
stand-in names the kinds that it can show in `supported` and turns down the others when they are injected, not
when they would strike.
"""

from __future__ import annotations

import math
import random
from collections.abc import Collection
from dataclasses import dataclass
from enum import Enum


class FaultKind(Enum):
    """What goes wrong with a call; the right column of PROTOCOL's tables says what the caller sees."""

    RESET = "reset"  # the connection breaks after the call was read
    SILENCE = "silence"  # no answer, on a connection that stays open
    LATE = "late"  # the answer comes `delay_ms` later
    PARTIAL = "partial"  # half of the answer comes, then the end of the connection
    SPOILT = "spoilt"  # bytes that are no answer, on a connection that stays open and is of no further use
    ERROR = "error"  # an error answer: the call may have run
    UNAVAILABLE = "unavailable"  # turned away: -BUSY, or 503 over HTTP
    CUT = "cut"  # the machine is off the network: nothing gets in or out (no stand-in shows this one yet)


# What spoilt answers look like, after DAYS, "Bad servers": noise, a line that has no end, lengths that do not
# fit what follows, and a value said to hold 3 GB.
SPOILT = (
    b"\x00\xfe\x1f?!\r\n\r\n",
    b"-" + b"x" * 4096,
    b"*3\r\n$2\r\ntoo long for that\r\n$-1\r\n$-1\r\n",
    b"$64\r\nshort\r\n",
    b"*-7\r\n",
    b"$3000000000\r\n" + b"x" * 4096,
)


class FaultError(ValueError):
    """A fault that can't be shown."""


@dataclass(frozen=True, slots=True)
class Fault:
    """One kind of trouble: each call meets it with probability `share`."""

    kind: FaultKind
    share: float = 1.0
    delay_ms: float = 0.0  # LATE only

    def __post_init__(self) -> None:
        if not 0.0 < self.share <= 1.0:
            raise FaultError(f"the share of a fault is above 0 and at most 1, not {self.share}")
        if not (math.isfinite(self.delay_ms) and self.delay_ms >= 0.0):
            raise FaultError(f"a delay is at least 0 ms, not {self.delay_ms}")
        if (self.kind is FaultKind.LATE) != (self.delay_ms > 0.0):
            raise FaultError("a late answer, and nothing else, has a delay")


class Faults:
    """The faults in force at one stand-in."""

    def __init__(self, supported: Collection[FaultKind], rng: random.Random) -> None:
        self.supported = frozenset(supported)
        self._rng = rng
        self._active: list[Fault] = []

    def inject(self, fault: Fault) -> None:
        """Puts a fault in force beside the others. Raises FaultError if this stand-in can't show it."""
        if fault.kind not in self.supported:
            raise FaultError(f"this stand-in can't show the fault {fault.kind.value!r}")
        self._active.append(fault)

    def withdraw(self, fault: Fault) -> None:
        """Ends one fault. Raises ValueError if it is not in force."""
        self._active.remove(fault)

    def clear(self) -> None:
        """Ends all faults; calls that one has already met stay as they are."""
        self._active.clear()

    def strike(self) -> Fault | None:
        """The fault that the next call meets, if any; of several the first that was injected."""
        for fault in self._active:
            if self._rng.random() < fault.share:
                return fault
        return None
