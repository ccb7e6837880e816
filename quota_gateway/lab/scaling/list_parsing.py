"""Parses an endpoint list as the gateway's network code does, and times the steps."""

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
    """Parse a list: a long one in steps, a short one at once, as the gateway does."""
    if len(body) > INCREMENTAL_PARSE_MIN_BYTES:
        parse_step_times_ms(body)
    else:
        parse_endpoint_list(json.loads(body))


def parse_step_times_ms(body: bytes) -> list[float]:
    """Return the processor time of each step of parsing a long list, in ms.

    The gateway serves requests between steps, so the longest step bounds the delay that parsing adds to them.
    """
    parser = IncrementalListParser(body)
    timestamps_s = [time.process_time()]
    for _ in parser.steps():
        timestamps_s.append(time.process_time())
    timestamps_s.append(time.process_time())
    parser.result()
    timestamps_s.append(time.process_time())
    return [1000.0 * (after - before) for before, after in pairwise(timestamps_s)]
