"""The clock that the policy reads."""

from __future__ import annotations

import time


class Clock:
    """Unix time in milliseconds that never goes backwards.

    The wall clock is read only at construction; from then on the time advances with the monotonic clock, so
    that adjustments of the wall clock don't affect it.
    """

    def __init__(self) -> None:
        self._offset_ms = time.time() * 1000.0 - time.monotonic() * 1000.0

    def monotonic_s(self, unix_ms: float) -> float:
        """Return the reading of `time.monotonic()`, in seconds, at a Unix time in milliseconds."""
        return (unix_ms - self._offset_ms) / 1000.0

    def now_ms(self) -> float:
        """Return the current time in milliseconds since the Unix epoch."""
        return self._offset_ms + time.monotonic() * 1000.0
