"""Parses the text form in which operators schedule faults.

One fault is written as ``TARGET:KIND[,share=S][,delay=MS][,from=S][,to=S]``, for example
``servers:reset,share=0.2,from=1,to=3`` or ``s0:drain,from=2``. A target is `servers`, the name of one
server, `counter` or `discovery`. A kind is a value of `FaultKind`, or `drain` for servers. `share` is the
probability that the fault affects a call, and `delay` the delay of the reply in ms. `from` and `to` are times
from the start of the load, in seconds. A draining server completes its requests and is listed as draining; at
the end of the drain it is listed as just started.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from quota_gateway.lab.fakes.faults import Fault, FaultError, FaultKind

DRAIN = "drain"
OPTION_NAMES = ("share", "delay", "from", "to")


class ScheduledFaultError(ValueError):
    """The text of a fault is invalid, or the testbed does not support the fault. The message is one line."""


@dataclass(frozen=True, slots=True)
class ScheduledFault:
    """One fault, or the draining of a server, and when it is active."""

    text: str  # the text that was parsed
    target: str
    fault: Fault | None  # None: the target drains
    begin_s: float  # time from the start of the load
    end_s: float  # time from the start of the load; infinite: the fault stays until the end of the run


def parse_scheduled_fault(text: str) -> ScheduledFault:
    """Parse one fault. Raises ScheduledFaultError, whose message quotes the text and says what is wrong."""
    head, *pairs = text.split(",")
    target, colon, kind = head.partition(":")
    if not colon or not target:
        raise ScheduledFaultError(f"{text!r}: a fault must begin with TARGET:KIND")
    options = _parse_options(text, pairs)
    begin_s = options.pop("from", 0.0)
    end_s = options.pop("to", math.inf)
    if not 0.0 <= begin_s < end_s:
        raise ScheduledFaultError(
            f"{text!r}: 'from' must be at least 0 and less than 'to', but they are {begin_s:g} and {end_s:g}"
        )
    fault = None if kind == DRAIN else _build_fault(text, kind, options)
    if options:
        raise ScheduledFaultError(f"{text!r}: a drain takes no option {next(iter(options))!r}")
    return ScheduledFault(text, target, fault, begin_s, end_s)


def _build_fault(text: str, kind_name: str, options: dict[str, float]) -> Fault:
    """Build the fault from its options; removes `share` and `delay` from `options`."""
    try:
        kind = FaultKind(kind_name)
    except ValueError:
        known = ", ".join([*(each.value for each in FaultKind), DRAIN])
        raise ScheduledFaultError(f"{text!r}: unknown kind {kind_name!r}; known kinds: {known}") from None
    try:
        return Fault(kind, options.pop("share", 1.0), options.pop("delay", 0.0))
    except FaultError as error:
        raise ScheduledFaultError(f"{text!r}: {error}") from None


def _parse_options(text: str, pairs: list[str]) -> dict[str, float]:
    options: dict[str, float] = {}
    for pair in pairs:
        name, _, value = pair.partition("=")
        if name not in OPTION_NAMES or name in options:
            raise ScheduledFaultError(
                f"{text!r}: unknown or repeated option {name!r}; each of {', '.join(OPTION_NAMES)}"
                " may be given once"
            )
        try:
            options[name] = float(value)
        except ValueError:
            raise ScheduledFaultError(f"{text!r}: {name!r} must be a number, not {value!r}") from None
    return options
