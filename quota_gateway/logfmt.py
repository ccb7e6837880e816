"""Formatting of log events as logfmt: an event name, followed by fields as `key=value`."""

from __future__ import annotations

import re
from collections.abc import Iterable

_NEEDS_QUOTES = re.compile(r"[\s\"=]")


def format_event(event: str, fields: Iterable[tuple[str, object]] = ()) -> str:
    """Return a log event as one line.

    White space in a value, line breaks included, is collapsed to single spaces. Values that are empty or have
    spaces, quotes or equals signs are quoted.
    """
    return " ".join([f"event={event}", *(f"{key}={_format_value(value)}" for key, value in fields)])


def _format_value(value: object) -> str:
    text = " ".join(str(value).split())
    if not text or _NEEDS_QUOTES.search(text):
        return '"' + text.replace("\\", "\\\\").replace('"', '\\"') + '"'
    return text
