"""The place of one reply in the order of a connection's replies."""

from __future__ import annotations

from collections.abc import Callable

from quota_gateway.network.in_flight_request import InFlightRequest


class PendingReply:
    """The reply to one command; `reply` is None until it is known, `request` while no request is in flight.

    `on_filled` is called when the reply of a request becomes known.
    """

    __slots__ = ("_on_filled", "_open_request_ids", "_request_id", "reply", "request")

    def __init__(self, open_request_ids: set[bytes], on_filled: Callable[[], None]) -> None:
        self._open_request_ids = open_request_ids
        self._on_filled = on_filled
        self._request_id: bytes | None = None
        self.reply: bytes | None = None
        self.request: InFlightRequest | None = None

    def reserve_request_id(self, request_id: bytes) -> None:
        """Keep other requests from using the request id until this one is over."""
        self._open_request_ids.add(request_id)
        self._request_id = request_id

    def release_request_id(self) -> None:
        """Let another request use the request id."""
        if self._request_id is not None:
            self._open_request_ids.discard(self._request_id)
            self._request_id = None

    def fill(self, reply: bytes) -> None:
        """Set the reply of a request, which is over."""
        self.release_request_id()
        self.reply, self.request = reply, None
        self._on_filled()
