"""The memory that a process holds for its clients, under one limit.

The limits of a single connection do not bound the memory of a process that hundreds of clients use at once.
"""

from __future__ import annotations

REQUEST_OVERHEAD_BYTES = 4096  # records of one request in flight, beside its command
SMALL_BYTES = 1024  # what is no longer than this is held even if the limit is reached
SCARCE_SHARE = 0.5  # share of the limit from which on no connection reads ahead
READ_AHEAD_SHARE = 0.125  # share of the limit that one connection may use to read ahead


class ClientMemory:
    """Counts the bytes that are held for clients. Whoever holds them adds and removes them."""

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.used_bytes = 0
        self.read_ahead_bytes = int(READ_AHEAD_SHARE * limit_bytes)  # limit of one connection

    @property
    def is_scarce(self) -> bool:
        """Whether what can wait, such as reading ahead, has to."""
        return self.used_bytes >= SCARCE_SHARE * self.limit_bytes

    @property
    def is_exhausted(self) -> bool:
        """Whether nothing more may be held but what is small."""
        return self.used_bytes >= self.limit_bytes

    def add(self, byte_count: int) -> None:
        """Count bytes that are held from now on; a negative count releases bytes."""
        self.used_bytes += byte_count
