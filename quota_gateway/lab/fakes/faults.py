"""Faults that can be injected into a fake.

A fault is plain data, so that a load test can read it from its command line, activate it at a given time and
print it. Each fake names the kinds that it can show; any other kind is rejected when it is injected, not when
a call would meet it.
"""

from __future__ import annotations

import math
import random
from collections.abc import Collection
from dataclasses import dataclass
from enum import Enum


class FaultKind(Enum):
    """What happens to a call. The values are the names that operators type.

    PROTOCOL's tables say what each of them amounts to for the caller.
    """

    RESET = "reset"  # the connection is reset after the call was read
    NO_REPLY = "silence"  # no reply, on a connection that stays open
    DELAY = "late"  # the reply comes `delay_ms` later
    PARTIAL_REPLY = "partial"  # half of the reply, then the end of the connection
    MALFORMED_REPLY = "spoilt"  # bytes that are no reply; the connection stays open but cannot be used again
    ERROR = "error"  # an error reply: the call may have run
    UNAVAILABLE = "unavailable"  # rejected: -BUSY, or 503 over HTTP
    PARTITION = "cut"  # the machine is off the network: nothing gets in or out (no fake shows this one yet)


# After DAYS, "Bad servers": noise, a line without an end, lengths that do not fit what follows, and a value
# announced as 3 GB.
MALFORMED_REPLIES = (
    b"\x00\xfe\x1f?!\r\n\r\n",
    b"-" + b"x" * 4096,
    b"*3\r\n$2\r\ntoo long for that\r\n$-1\r\n$-1\r\n",
    b"$64\r\nshort\r\n",
    b"*-7\r\n",
    b"$3000000000\r\n" + b"x" * 4096,
)


class FaultError(ValueError):
    """A fault that is not valid, or that a fake cannot show; the text is one line."""


@dataclass(frozen=True, slots=True)
class Fault:
    """One kind of fault, which each call meets with a probability.

    Raises:
        FaultError: the probability or the delay is out of range.
    """

    kind: FaultKind
    probability: float = 1.0
    delay_ms: float = 0.0  # DELAY only

    def __post_init__(self) -> None:
        if not 0.0 < self.probability <= 1.0:
            raise FaultError(f"the share of a fault is above 0 and at most 1, not {self.probability}")
        if not (math.isfinite(self.delay_ms) and self.delay_ms >= 0.0):
            raise FaultError(f"a delay is at least 0 ms, not {self.delay_ms}")
        if (self.kind is FaultKind.DELAY) != (self.delay_ms > 0.0):
            raise FaultError("a late answer, and nothing else, has a delay")


class FaultInjector:
    """The faults that are active at one fake."""

    def __init__(self, supported: Collection[FaultKind], rng: random.Random) -> None:
        self.supported = frozenset(supported)
        self._rng = rng
        self._active: list[Fault] = []

    def inject(self, fault: Fault) -> None:
        """Activate a fault beside the others. Raises FaultError if this fake cannot show it."""
        if fault.kind not in self.supported:
            raise FaultError(f"this fake can't show the fault {fault.kind.value!r}")
        self._active.append(fault)

    def remove(self, fault: Fault) -> None:
        """Deactivate one fault. Raises ValueError if it is not active."""
        self._active.remove(fault)

    def clear(self) -> None:
        """Deactivate all faults; calls that have already met one are not affected."""
        self._active.clear()

    def draw(self) -> Fault | None:
        """Draw the fault that the next call meets, if any; of several the one injected first."""
        for fault in self._active:
            if self._rng.random() < fault.probability:
                return fault
        return None
