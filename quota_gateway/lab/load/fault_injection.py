"""Troubles of a trial: which stand-in shows which fault, from when to when.

One trouble is written as ``TARGET:KIND[,share=S][,delay=MS][,from=S][,to=S]``, for example
``servers:reset,share=0.2,from=1,to=3`` or ``s0:drain,from=2``. Targets are `servers`, one server by its name,
`counter` and `discovery`. Kinds are those of `FaultKind`, and `drain` for servers: it completes what it has
and is listed as terminating, until it comes back as one that was started anew.
"""

from __future__ import annotations

import asyncio
import math
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from functools import partial

from quota_gateway.lab.fakes.discovery import ListedServer
from quota_gateway.lab.fakes.faults import Fault, FaultError, FaultInjector, FaultKind
from quota_gateway.lab.fakes.server import FakeServer
from quota_gateway.lab.load.testbed import Rig

DRAIN = "drain"
KEYS = ("share", "delay", "from", "to")


class TroubleError(ValueError):
    """A trouble that can't be read or can't be shown; the text is one line."""


@dataclass(frozen=True, slots=True)
class Trouble:
    """One fault, or a drain where there is none, in force from `begin_s` to `end_s` of the load."""

    text: str  # as it was written
    target: str
    fault: Fault | None
    begin_s: float
    end_s: float  # infinite: until the end


def read(text: str) -> Trouble:
    """Reads one trouble. Raises TroubleError, naming what is wrong."""
    head, *pairs = text.split(",")
    target, colon, kind = head.partition(":")
    if not colon or not target:
        raise TroubleError(f"{text!r} is not TARGET:KIND")
    given = _values(text, pairs)
    begin, end = given.pop("from", 0.0), given.pop("to", math.inf)
    if not 0.0 <= begin < end:
        raise TroubleError(f"{text!r} does not begin before it ends")
    try:
        fault = None if kind == DRAIN else _fault(FaultKind(kind), given)
    except FaultError as error:
        raise TroubleError(f"{text!r}: {error}") from None
    except ValueError:
        known = ", ".join([each.value for each in FaultKind] + [DRAIN])
        raise TroubleError(f"{text!r}: no kind {kind!r}; there are {known}") from None
    if given:
        raise TroubleError(f"{text!r}: a drain has no {next(iter(given))}")
    return Trouble(text, target, fault, begin, end)


def _fault(kind: FaultKind, given: dict[str, float]) -> Fault:
    return Fault(kind, given.pop("share", 1.0), given.pop("delay", 0.0))


def _values(text: str, pairs: list[str]) -> dict[str, float]:
    found: dict[str, float] = {}
    for pair in pairs:
        key, _, value = pair.partition("=")
        if key not in KEYS or key in found:
            raise TroubleError(f"{text!r}: {key!r} is none of {', '.join(KEYS)}, or is given twice")
        try:
            found[key] = float(value)
        except ValueError:
            raise TroubleError(f"{text!r}: {value!r} is not a number") from None
    return found


class Troubles:
    """The troubles of one rig. Raises TroubleError at once for a target that it has not."""

    def __init__(self, rig: Rig, troubles: Iterable[Trouble]) -> None:
        self._rig = rig
        self._steps: list[tuple[float, Callable[[], None]]] = []
        self._timers: list[asyncio.TimerHandle] = []
        for trouble in troubles:
            self._plan(trouble)

    def start(self) -> None:
        """The load begins now."""
        loop = asyncio.get_running_loop()
        self._timers = [loop.call_later(at, step) for at, step in self._steps if math.isfinite(at)]

    def stop(self) -> None:
        """Nothing more begins or ends; the stand-ins are about to be stopped."""
        for timer in self._timers:
            timer.cancel()

    def _plan(self, trouble: Trouble) -> None:
        if trouble.fault is None:
            for server in self._servers(trouble):
                self._add(trouble, partial(self._drain, server), partial(self._anew, server))
            return
        for faults in self._faults(trouble):
            if trouble.fault.kind not in faults.supported:
                raise TroubleError(f"{trouble.text!r}: {trouble.target} can't show this kind")
            self._add(trouble, partial(faults.inject, trouble.fault), partial(faults.remove, trouble.fault))

    def _add(self, trouble: Trouble, begin: Callable[[], None], end: Callable[[], None]) -> None:
        self._steps += [(trouble.begin_s, begin), (trouble.end_s, end)]

    def _servers(self, trouble: Trouble) -> list[FakeServer]:
        wanted = [each for each in self._rig.servers if trouble.target in ("servers", each.name)]
        if not wanted:
            raise TroubleError(f"{trouble.text!r}: there is no {trouble.target!r} for it")
        return wanted

    def _faults(self, trouble: Trouble) -> list[FaultInjector]:
        if trouble.target == "counter":
            return [self._rig.counter.faults]
        if trouble.target == "discovery":
            return [self._rig.discovery.faults]
        return [each.faults for each in self._servers(trouble)]

    def _drain(self, server: FakeServer) -> None:
        server.draining = True
        self._rig.discovery.mark_draining(server.name)

    def _anew(self, server: FakeServer) -> None:
        """What drained is back, started now and with its full strength: stand-ins are not slow when cold."""
        server.draining = False
        self._rig.discovery.put(ListedServer(server.name, server.address, started_ms=1000.0 * time.time()))
