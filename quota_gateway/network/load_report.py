"""Load reports: queue length and active requests, as a server reports them with a response.

A report is text such as `inflight=7,queue=2.5`. It is the third element of a response or the last word of an
error.
"""

from __future__ import annotations

import math
import re
from typing import NamedTuple

MAX_REPORT_BYTES = 256
MAX_PLAUSIBLE_REQUESTS = 100_000.0  # more requests than this at one server: the figure is corrupt

_QUEUE_FIELDS = (b"queue", b"waiting")
_ACTIVE_FIELDS = (b"inflight", b"active")
_NUMBER = re.compile(rb"[0-9]{1,9}(\.[0-9]{1,9})?")
_REPORT = re.compile(r"[a-z_0-9]+=[0-9.]+(,[a-z_0-9]+=[0-9.]+)*")


class LoadReport(NamedTuple):
    """Numbers of requests at a server; None where the figure is absent, unreadable or implausible."""

    queue_length: float | None = None
    active_requests: float | None = None


NO_REPORT = LoadReport()


def is_load_report(word: str) -> bool:
    """Return whether the last word of an error is a load report rather than part of the error's text."""
    return _REPORT.fullmatch(word) is not None


def parse_load_report(text: bytes | None) -> LoadReport:
    """Parse a load report; never raises.

    Unreadable and implausible figures count as absent: a single `nan` would stay in the policy's moving
    averages forever.
    """
    if not text or len(text) > MAX_REPORT_BYTES:
        return NO_REPORT
    queue_length: float | None = None
    active_requests: float | None = None
    for field in text.split(b","):
        name, _, digits = field.partition(b"=")
        value = float(digits) if _NUMBER.fullmatch(digits) else math.inf
        if value > MAX_PLAUSIBLE_REQUESTS:
            continue
        if name in _QUEUE_FIELDS:
            queue_length = value
        elif name in _ACTIVE_FIELDS:
            active_requests = value
    return LoadReport(queue_length, active_requests)
