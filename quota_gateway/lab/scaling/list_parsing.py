"""Reads an endpoint list as the gateway's network code does, and times its steps."""

from __future__ import annotations

import json
import time
from itertools import pairwise

from quota_gateway.network.discovery.endpoint_list import (
    INCREMENTAL_PARSE_MIN_BYTES,
    IncrementalListParser,
    parse_endpoint_list,
)


def parse_list(body: bytes) -> None:
    """Read a list with all of its steps, as the gateway does."""
    if len(body) > INCREMENTAL_PARSE_MIN_BYTES:
        parse_step_times_ms(body)
    else:
        parse_endpoint_list(json.loads(body))


def parse_step_times_ms(body: bytes) -> list[float]:
    """Return the processor time of each step of reading a long list; between two, other work is done."""
    parser, marks = IncrementalListParser(body), [time.process_time()]
    for _ in parser.steps():
        marks.append(time.process_time())
    marks.append(time.process_time())
    parser.result()
    marks.append(time.process_time())
    return [1000.0 * (after - before) for before, after in pairwise(marks)]
