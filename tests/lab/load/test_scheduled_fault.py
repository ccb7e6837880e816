"""Parsing of scheduled faults: options, defaults, and errors that quote the text."""

from __future__ import annotations

import math

import pytest

from quota_gateway.lab.fakes.faults import Fault, FaultKind
from quota_gateway.lab.load.scheduled_fault import (
    ScheduledFault,
    ScheduledFaultError,
    parse_scheduled_fault,
)


def test_a_fault_is_parsed_with_its_options() -> None:
    text = "servers:late,share=0.5,delay=20,from=1,to=2.5"
    fault = Fault(FaultKind.DELAY, 0.5, 20.0)
    assert parse_scheduled_fault(text) == ScheduledFault(text, "servers", fault, 1.0, 2.5)
    assert parse_scheduled_fault("s3:drain") == ScheduledFault("s3:drain", "s3", None, 0.0, math.inf)


@pytest.mark.parametrize(
    "text",
    [
        "",
        "servers",
        ":reset",
        "servers:nothing",
        "servers:reset,share=2",
        "servers:reset,share=x",
        "servers:reset,from=2,to=1",
        "servers:reset,from=nan",
        "servers:reset,to=1,to=2",
        "servers:reset,when=1",
        "servers:late",
        "servers:reset,delay=5",
        "s0:drain,share=0.5",
    ],
)
def test_an_invalid_fault_is_reported_in_one_line(text: str) -> None:
    with pytest.raises(ScheduledFaultError) as error:
        parse_scheduled_fault(text)
    assert "\n" not in str(error.value)
    assert text in str(error.value)
