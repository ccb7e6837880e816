"""Slots that keep the replies of a client connection in the order of its commands."""

from __future__ import annotations

from collections.abc import Callable

from quota_gateway.network.in_flight_request import InFlightRequest


class PendingReply:
    """The slot for the reply to one command.

    `reply` is None until the encoded reply is known. `request` is set while the command's request is in
    flight. `on_filled` is called with the slot when its reply becomes known; it may still replace the reply.
    """

    __slots__ = ("_on_filled", "reply", "request")

    def __init__(self, on_filled: Callable[[PendingReply], None]) -> None:
        self._on_filled = on_filled
        self.reply: bytes | None = None
        self.request: InFlightRequest | None = None

    def fill(self, reply: bytes) -> None:
        """Set the final reply."""
        self.reply = reply
        self.request = None
        self._on_filled(self)
