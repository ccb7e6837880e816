"""Faults that can be injected into a fake.

A fault is plain data, so that a load test can read it from its command line, activate it at a given time and
print it. Each fake names the kinds that it supports. Any other kind is rejected when it is injected, so that
the error does not depend on whether a call is affected.
"""

from __future__ import annotations

import math
import random
from collections.abc import Collection
from dataclasses import dataclass
from enum import Enum


class FaultKind(Enum):
    """What happens to a call. The values are the names that operators type.

    The protocol specification defines what each kind means for the caller.
    """

    RESET = "reset"  # the connection is reset after the call is read
    NO_REPLY = "silence"  # no reply is sent; the connection stays open
    DELAY = "late"  # the reply is sent `delay_ms` later
    PARTIAL_REPLY = "partial"  # the connection is closed after half of the reply
    MALFORMED_REPLY = "spoilt"  # bytes that are no valid reply; the connection stays open but is unusable
    ERROR = "error"  # an error reply; the call may have run
    UNAVAILABLE = "unavailable"  # the call is rejected with -BUSY, or with 503 over HTTP
    PARTITION = "cut"  # the host is cut off from the network in both directions (no fake supports it yet)


# The malformed replies that faulty servers send on the operators' test bench: noise, a line without a
# terminator, lengths that do not match the data, a negative array length, and a value announced as 3 GB.
MALFORMED_REPLIES = (
    b"\x00\xfe\x1f?!\r\n\r\n",
    b"-" + b"x" * 4096,
    b"*3\r\n$2\r\ntoo long for that\r\n$-1\r\n$-1\r\n",
    b"$64\r\nshort\r\n",
    b"*-7\r\n",
    b"$3000000000\r\n" + b"x" * 4096,
)


class FaultError(ValueError):
    """A fault is not valid or not supported by a fake. The message is one line."""


@dataclass(frozen=True, slots=True)
class Fault:
    """One kind of fault, which affects each call with a given probability.

    Raises:
        FaultError: the probability or the delay is out of range.
    """

    kind: FaultKind
    probability: float = 1.0
    delay_ms: float = 0.0  # above 0 for DELAY, 0 for all other kinds

    def __post_init__(self) -> None:
        if not 0.0 < self.probability <= 1.0:
            raise FaultError(f"the share of a fault must be above 0 and at most 1, not {self.probability}")
        if not (math.isfinite(self.delay_ms) and self.delay_ms >= 0.0):
            raise FaultError(f"the delay of a fault must be finite and at least 0 ms, not {self.delay_ms}")
        if (self.kind is FaultKind.DELAY) != (self.delay_ms > 0.0):
            raise FaultError(
                f"the delay must be above 0 ms for a {FaultKind.DELAY.value!r} fault and 0 for all others,"
                f" not {self.delay_ms:g} ms for {self.kind.value!r}"
            )


class FaultInjector:
    """The active faults of one fake.

    Args:
        supported: the kinds of fault that the fake supports.
        rng: the generator that decides which calls are affected.
    """

    def __init__(self, supported: Collection[FaultKind], rng: random.Random) -> None:
        self.supported = frozenset(supported)
        self._rng = rng
        self._active: list[Fault] = []

    def inject(self, fault: Fault) -> None:
        """Activate a fault in addition to the active ones. Raises FaultError if it is not supported."""
        if fault.kind not in self.supported:
            raise FaultError(f"this fake does not support the fault {fault.kind.value!r}")
        self._active.append(fault)

    def remove(self, fault: Fault) -> None:
        """Deactivate one fault. Raises ValueError if the fault is not active."""
        self._active.remove(fault)

    def clear(self) -> None:
        """Deactivate all faults. Calls for which a fault was already drawn stay affected."""
        self._active.clear()

    def draw(self) -> Fault | None:
        """Draw the fault of the next call; None if the call is not affected.

        The active faults are tried in the order of their injection, and the first one drawn applies.
        """
        for fault in self._active:
            if self._rng.random() < fault.probability:
                return fault
        return None
