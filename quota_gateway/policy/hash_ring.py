"""Hashes that are the same on all gateways, and a ring of server ids in the order of their hashes."""

import hashlib
from bisect import bisect_left, bisect_right
from collections.abc import Collection, Container

# If more than 1/40 of the ring changes at once, the ring is sorted anew, because each single insertion moves
# all positions behind it.
REBUILD_DIVISOR = 40


def stable_hash(text: str) -> int:
    """Return a hash of `text` from 0 up to 2^63; unlike `hash`, it is the same in every process."""
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=8).digest(), "big") >> 1


class HashRing:
    """The ids of all listed servers in the order of their hashes."""

    def __init__(self) -> None:
        # Pairs of hash and id. They are plain tuples because Python sorts these fastest.
        self.positions: list[tuple[int, str]] = []

    def update(self, changed: Collection[str], listed: Container[str]) -> None:
        """Apply a change of the endpoint list.

        `changed` holds the ids that were added or removed, `listed` all ids that are on the list now.
        """
        if len(changed) * REBUILD_DIVISOR > len(self.positions):
            self.positions = [position for position in self.positions if position[1] not in changed]
            self.positions += [(stable_hash(name), name) for name in changed if name in listed]
            self.positions.sort()
            return
        for server_id in changed:
            position = (stable_hash(server_id), server_id)
            start, end = bisect_left(self.positions, position), bisect_right(self.positions, position)
            self.positions[start:end] = [position] if server_id in listed else []

    def successors(self, angle: float, count: int) -> list[str]:
        """Return up to `count` consecutive ids, clockwise from `angle`, a fraction of a full turn below 1."""
        size = len(self.positions)
        start = int(angle * size)
        return [self.positions[(start + i) % size][1] for i in range(min(count, size))]
