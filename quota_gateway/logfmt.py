"""The form of log events in every program: an event name, then fields as `key=value` (logfmt)."""

from __future__ import annotations

import re
from collections.abc import Iterable

_NEEDS_QUOTES = re.compile(r"[\s\"=]")


def format_event(event: str, fields: Iterable[tuple[str, object]] = ()) -> str:
    """Render a log event; values with spaces, quotes or equals signs are quoted, line breaks replaced."""
    return " ".join([f"event={event}", *(f"{key}={_format_value(value)}" for key, value in fields)])


def _format_value(value: object) -> str:
    text = " ".join(str(value).split())
    if not text or _NEEDS_QUOTES.search(text):
        return '"' + text.replace("\\", "\\\\").replace('"', '\\"') + '"'
    return text
