"""The ids of clients' requests that no other request may use now.

Servers identify requests by id: two concurrent requests with the same id could get each other's result, and a
request whose client has left may still run.
"""

from __future__ import annotations

import asyncio

from quota_gateway.network.client_memory import ClientMemory

HELD_ID_BYTES = 512  # an id that is held, with its timer


class RequestIds:
    """Ids in use, by the requests in flight on all connections and by abandoned ones that may still run."""

    def __init__(self, loop: asyncio.AbstractEventLoop, client_memory: ClientMemory) -> None:
        self._loop = loop
        self._client_memory = client_memory
        self._in_use: set[bytes] = set()

    def __len__(self) -> int:
        return len(self._in_use)

    def __contains__(self, request_id: bytes) -> bool:
        return request_id in self._in_use

    def reserve(self, request_id: bytes) -> bool:
        """Keep other requests from using an id; return False if it is in use already."""
        if request_id in self._in_use:
            return False
        self._in_use.add(request_id)
        return True

    def release(self, request_id: bytes) -> None:
        """Allow other requests to use an id."""
        self._in_use.discard(request_id)

    def hold_until(self, request_id: bytes, deadline: float) -> None:
        """Release an id at event loop time `deadline`."""
        if self._loop.time() >= deadline:
            self.release(request_id)
            return
        self._client_memory.add(HELD_ID_BYTES)
        self._loop.call_at(deadline, self._end_hold, request_id)

    def _end_hold(self, request_id: bytes) -> None:
        self._client_memory.add(-HELD_ID_BYTES)
        self.release(request_id)
