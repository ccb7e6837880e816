"""Slots that keep the replies of a client connection in the order of its commands."""

from __future__ import annotations

from collections.abc import Callable

from quota_gateway.network.in_flight_request import InFlightRequest


class PendingReply:
    """The slot for the reply to one command.

    `reply` is None until the encoded reply is known. `request` is set while the command's request is in
    flight. `on_filled` is called with the slot when its reply becomes known; it may still replace the reply.
    """

    __slots__ = ("_on_filled", "_open_request_ids", "_request_id", "reply", "request")

    def __init__(self, open_request_ids: set[bytes], on_filled: Callable[[PendingReply], None]) -> None:
        self._open_request_ids = open_request_ids
        self._on_filled = on_filled
        self._request_id: bytes | None = None
        self.reply: bytes | None = None
        self.request: InFlightRequest | None = None

    def reserve_request_id(self, request_id: bytes) -> None:
        """Keep other requests from using the request id until this request is answered or cancelled."""
        self._open_request_ids.add(request_id)
        self._request_id = request_id

    def release_request_id(self) -> None:
        """Allow other requests to use the reserved request id, if there is one."""
        if self._request_id is not None:
            self._open_request_ids.discard(self._request_id)
            self._request_id = None

    def fill(self, reply: bytes) -> None:
        """Set the final reply and release the request id, if there is one."""
        self.release_request_id()
        self.reply = reply
        self.request = None
        self._on_filled(self)
