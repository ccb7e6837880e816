"""Logging configuration that all commands of the lab share."""

from __future__ import annotations

import logging
import sys

import structlog


def configure_logging() -> None:
    """Write log lines in logfmt to standard error; standard output is reserved for results.

    May be called repeatedly, and must be called in each new process.
    """
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.LogfmtRenderer(key_order=["timestamp", "level", "event"]),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(logging.INFO),
        logger_factory=lambda *_: structlog.PrintLogger(sys.stderr),
        cache_logger_on_first_use=False,
    )
