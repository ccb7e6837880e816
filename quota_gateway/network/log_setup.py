"""Logging of a gateway process: one event per line in logfmt, on standard error, at a limited rate.

Example of a line: ``timestamp=2026-12-02T05:46:12.123Z level=info event=gateway_ready name=n0``. The
traceback of an exception follows the line of its event.
"""

from __future__ import annotations

import logging
import sys
import time

from quota_gateway.logfmt import format_event

MAX_LINES_PER_SECOND = 20  # keeps logging from overloading a gateway that has many errors to report


class EventMessage:
    """The message of a log record that reports an event; rendered only if a handler writes the record."""

    __slots__ = ("event", "fields")

    def __init__(self, event: str, fields: dict[str, object]) -> None:
        self.event = event
        self.fields = fields

    def __str__(self) -> str:
        return format_event(self.event, self.fields.items())


def log_event(
    logger: logging.Logger, level: int, event: str, /, *, exc_info: bool = False, **fields: object
) -> None:
    """Log an event, whose name is in snake case, with its fields in the given order.

    `exc_info` adds the traceback of the exception that is being handled.
    """
    logger.log(level, EventMessage(event, fields), exc_info=exc_info)


class LogfmtFormatter(logging.Formatter):
    """Renders the timestamp (UTC), the level and the event of a record.

    Plain text, such as a library logs, is rendered as the event `log_message`.
    """

    converter = staticmethod(time.gmtime)
    default_time_format = "%Y-%m-%dT%H:%M:%S"
    default_msec_format = "%s.%03dZ"

    def formatMessage(self, record: logging.LogRecord) -> str:  # noqa: N802  # overrides logging.Formatter
        """Return the line of a record, without a traceback."""
        event = record.getMessage()
        if not isinstance(record.msg, EventMessage):
            event = format_event("log_message", (("logger", record.name), ("message", event)))
        return f"timestamp={self.formatTime(record)} level={record.levelname.lower()} {event}"


class LogRateLimit(logging.Filter):
    """Passes at most `MAX_LINES_PER_SECOND` records in each second and drops the rest."""

    def __init__(self) -> None:
        super().__init__()
        self._second = 0
        self._lines = 0  # records counted in that second

    def filter(self, record: logging.LogRecord) -> bool:
        """Count a record; return whether it is within the limit of its second."""
        second = int(record.created)
        if second != self._second:
            self._second = second
            self._lines = 0
        self._lines += 1
        return self._lines <= MAX_LINES_PER_SECOND


def configure_logging() -> None:
    """Write the records of all loggers at level INFO and above to standard error."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(LogfmtFormatter())
    handler.addFilter(LogRateLimit())
    root = logging.getLogger()
    root.addHandler(handler)
    root.setLevel(logging.INFO)
