"""The policy's clock."""

from __future__ import annotations

import time


class Clock:
    """Unix time in milliseconds that never goes backwards.

    The wall clock is read once, at construction; the monotonic clock carries it on.
    """

    def __init__(self) -> None:
        self._offset_ms = time.time() * 1000.0 - time.monotonic() * 1000.0

    def now_ms(self) -> float:
        """Return the present time."""
        return self._offset_ms + time.monotonic() * 1000.0
