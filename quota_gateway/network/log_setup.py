"""Logging of the gateway program: one event a line in logfmt, on standard error, at a bounded rate.

A line reads ``timestamp=2026-12-02T05:46:12.123Z level=info event=gateway_ready name=n0``. The traceback of
an exception follows its line.
"""

from __future__ import annotations

import logging
import sys
import time

from quota_gateway.logfmt import format_event

MAX_LINES_PER_SECOND = 20  # more would make the log the load of a gateway in trouble


class EventMessage:
    """The message of a log record that reports an event; rendered only where a handler writes it."""

    __slots__ = ("event", "fields")

    def __init__(self, event: str, fields: dict[str, object]) -> None:
        self.event = event
        self.fields = fields

    def __str__(self) -> str:
        return format_event(self.event, self.fields.items())


def log_event(
    logger: logging.Logger, level: int, event: str, /, *, exc_info: bool = False, **fields: object
) -> None:
    """Log an event, named in snake case, with its fields in the order given.

    `exc_info` adds the traceback of the exception that is being handled.
    """
    logger.log(level, EventMessage(event, fields), exc_info=exc_info)


class LogfmtFormatter(logging.Formatter):
    """Renders timestamp (UTC), level and event; text logged by a library becomes the event `log_message`."""

    converter = staticmethod(time.gmtime)
    default_time_format = "%Y-%m-%dT%H:%M:%S"
    default_msec_format = "%s.%03dZ"

    def formatMessage(self, record: logging.LogRecord) -> str:  # noqa: N802  # overrides logging.Formatter
        """Render the line of a record, without a traceback."""
        event = record.getMessage()
        if not isinstance(record.msg, EventMessage):
            event = format_event("log_message", (("logger", record.name), ("message", event)))
        return f"timestamp={self.formatTime(record)} level={record.levelname.lower()} {event}"


class LogRateLimit(logging.Filter):
    """Drops the records of a second past the first `MAX_LINES_PER_SECOND`."""

    def __init__(self) -> None:
        super().__init__()
        self._second = 0
        self._lines = 0

    def filter(self, record: logging.LogRecord) -> bool:
        """Count a record; False where it is one too many."""
        second = int(record.created)
        if second != self._second:
            self._second, self._lines = second, 0
        self._lines += 1
        return self._lines <= MAX_LINES_PER_SECOND


def configure_logging() -> None:
    """Send the records of all loggers to standard error, from level info upwards."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(LogfmtFormatter())
    handler.addFilter(LogRateLimit())
    root = logging.getLogger()
    root.addHandler(handler)
    root.setLevel(logging.INFO)
