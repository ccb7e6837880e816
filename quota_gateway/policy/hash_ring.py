"""Hashes on which all gateways agree, and the ring that puts server ids in their order."""

import hashlib
from bisect import bisect_left, bisect_right
from collections.abc import Collection, Container

REBUILD_FRACTION = 40  # of the ring: if more ids change, it is sorted anew, as each insertion moves the rest


def stable_hash(text: str) -> int:
    """Return a hash of `text` from 0 up to 2^63; unlike `hash`, it is the same in every process."""
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=8).digest(), "big") >> 1


class HashRing:
    """The ids of all listed servers in the order of their hashes."""

    def __init__(self) -> None:
        self.positions: list[tuple[int, str]] = []  # hash, id; bare tuples, which Python sorts fastest

    def update(self, changed: Collection[str], listed: Container[str]) -> None:
        """Follow a change of the list: `changed` ids may have come or gone, `listed` ones are there now."""
        if len(changed) * REBUILD_FRACTION > len(self.positions):
            self.positions = [position for position in self.positions if position[1] not in changed]
            self.positions += [(stable_hash(name), name) for name in changed if name in listed]
            self.positions.sort()
            return
        for server_id in changed:
            position = (stable_hash(server_id), server_id)
            start, end = bisect_left(self.positions, position), bisect_right(self.positions, position)
            self.positions[start:end] = [position] if server_id in listed else []

    def successors(self, angle: float, count: int) -> list[str]:
        """Return up to `count` ids, going round from `angle`, a share of the ring from 0 up to 1."""
        size = len(self.positions)
        start = int(angle * size)
        return [self.positions[(start + i) % size][1] for i in range(min(count, size))]
