"""The format of log lines, and the limit on their rate."""

from __future__ import annotations

import io
import logging
import re

import pytest

from quota_gateway.network.log_setup import (
    MAX_LINES_PER_SECOND,
    LogfmtFormatter,
    LogRateLimit,
    log_event,
)

TIMESTAMP = r"timestamp=\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d\.\d{3}Z "


@pytest.fixture
def stream() -> io.StringIO:
    return io.StringIO()


@pytest.fixture
def logger(stream: io.StringIO) -> logging.Logger:
    handler = logging.StreamHandler(stream)
    handler.setFormatter(LogfmtFormatter())
    handler.addFilter(LogRateLimit())
    test_logger = logging.Logger("test", logging.INFO)
    test_logger.addHandler(handler)
    return test_logger


def test_an_event_is_written_as_one_line_of_logfmt(logger: logging.Logger, stream: io.StringIO) -> None:
    log_event(logger, logging.WARNING, "config_rejected", name="n0", error='no\n"settings"', age_s=1.5)
    line = r'level=warning event=config_rejected name=n0 error="no \\"settings\\"" age_s=1.5' + "\n"
    assert re.fullmatch(TIMESTAMP + line, stream.getvalue())


def test_fields_may_be_named_like_the_parameters(logger: logging.Logger, stream: io.StringIO) -> None:
    log_event(logger, logging.INFO, "x", level=1, event=2, logger=3)
    assert stream.getvalue().endswith(" level=info event=x level=1 event=2 logger=3\n")


def test_text_logged_by_a_library_is_written_as_an_event(logger: logging.Logger, stream: io.StringIO) -> None:
    logger.error("Task %s was destroyed", "x=1")
    line = r'level=error event=log_message logger=test message="Task x=1 was destroyed"' + "\n"
    assert re.fullmatch(TIMESTAMP + line, stream.getvalue())


def test_a_traceback_follows_the_line(logger: logging.Logger, stream: io.StringIO) -> None:
    try:
        raise RuntimeError("out of luck")
    except RuntimeError:
        log_event(logger, logging.ERROR, "policy_failed", exc_info=True)
    first, *rest = stream.getvalue().splitlines()
    assert first.endswith("level=error event=policy_failed")
    assert rest[0] == "Traceback (most recent call last):"
    assert rest[-1] == "RuntimeError: out of luck"


def test_events_below_the_level_are_not_written(logger: logging.Logger, stream: io.StringIO) -> None:
    log_event(logger, logging.DEBUG, "x")
    assert not stream.getvalue()


def test_the_number_of_lines_is_limited_in_each_second() -> None:
    rate_limit = LogRateLimit()

    def count_passed(second: float) -> int:
        records = [logging.makeLogRecord({"created": second}) for _ in range(3 * MAX_LINES_PER_SECOND)]
        return sum(rate_limit.filter(record) for record in records)

    assert [count_passed(100.5), count_passed(101.0)] == [MAX_LINES_PER_SECOND] * 2
