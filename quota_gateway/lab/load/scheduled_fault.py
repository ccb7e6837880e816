"""The text form of a fault that operators ask for, and its parser.

One fault is written as ``TARGET:KIND[,share=S][,delay=MS][,from=S][,to=S]``, for example
``servers:reset,share=0.2,from=1,to=3`` or ``s0:drain,from=2``. Targets are `servers`, one server by its name,
`counter` and `discovery`. Kinds are the values of `FaultKind`, and `drain` for servers: the server completes
its requests and is listed as terminating, until it comes back as one that was just started.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from quota_gateway.lab.fakes.faults import Fault, FaultError, FaultKind

DRAIN = "drain"
OPTIONS = ("share", "delay", "from", "to")


class ScheduledFaultError(ValueError):
    """A fault whose text is not valid, or that nothing in the testbed can show; the text is one line."""


@dataclass(frozen=True, slots=True)
class ScheduledFault:
    """One fault, or the draining of a server, and when it is active. Times count from the load's start."""

    text: str  # as it was written
    target: str
    fault: Fault | None  # None: the target drains
    begin_s: float
    end_s: float  # infinite: until the end of the run


def parse_scheduled_fault(text: str) -> ScheduledFault:
    """Parse one fault. Raises ScheduledFaultError, with the text and what is wrong in it."""
    head, *pairs = text.split(",")
    target, colon, kind = head.partition(":")
    if not colon or not target:
        raise ScheduledFaultError(f"{text!r} is not TARGET:KIND")
    options = _parse_options(text, pairs)
    begin_s, end_s = options.pop("from", 0.0), options.pop("to", math.inf)
    if not 0.0 <= begin_s < end_s:
        raise ScheduledFaultError(f"{text!r} does not begin before it ends")
    fault = None if kind == DRAIN else _build_fault(text, kind, options)
    if options:
        raise ScheduledFaultError(f"{text!r}: a drain has no {next(iter(options))}")
    return ScheduledFault(text, target, fault, begin_s, end_s)


def _build_fault(text: str, kind_name: str, options: dict[str, float]) -> Fault:
    """Build the fault from its options, which are removed."""
    try:
        kind = FaultKind(kind_name)
    except ValueError:
        known = ", ".join([*(each.value for each in FaultKind), DRAIN])
        raise ScheduledFaultError(f"{text!r}: no kind {kind_name!r}; there are {known}") from None
    try:
        return Fault(kind, options.pop("share", 1.0), options.pop("delay", 0.0))
    except FaultError as error:
        raise ScheduledFaultError(f"{text!r}: {error}") from None


def _parse_options(text: str, pairs: list[str]) -> dict[str, float]:
    options: dict[str, float] = {}
    for pair in pairs:
        name, _, value = pair.partition("=")
        if name not in OPTIONS or name in options:
            raise ScheduledFaultError(
                f"{text!r}: {name!r} is none of {', '.join(OPTIONS)}, or is given twice"
            )
        try:
            options[name] = float(value)
        except ValueError:
            raise ScheduledFaultError(f"{text!r}: {value!r} is not a number") from None
    return options
