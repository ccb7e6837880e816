"""The client side of an HTTP/1.1 connection: one GET request at a time, complete responses."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import h11

MAX_BODY_BYTES = 16 * 1024 * 1024  # an endpoint list of 20,000 servers takes 2.6 MB, and 5.2 MB indented


class HttpConnection(asyncio.Protocol):
    """The asyncio protocol of one connection.

    `on_response` receives the status and the body of each response. `on_closed` is called when the connection
    is lost, also after `abort`. The connection is aborted if the peer violates HTTP or sends a body longer
    than `MAX_BODY_BYTES`.
    """

    def __init__(self, on_response: Callable[[int, bytes], None], on_closed: Callable[[], None]) -> None:
        self._on_response = on_response
        self._on_closed = on_closed
        self._http = h11.Connection(h11.CLIENT)
        self._transport: asyncio.Transport | None = None
        self._body = bytearray()
        self._aborted = False
        self.status = 0  # status of the response being received, or of the last one

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport; abort it if `abort` was called before the connection was made."""
        self._transport = transport  # type: ignore[assignment]  # always an asyncio.Transport
        if self._aborted:
            transport.abort()  # type: ignore[attr-defined]  # always an asyncio.Transport

    def get(self, host: str, target: str) -> None:
        """Send a GET request; allowed only while `is_idle()` is true."""
        assert self._transport is not None
        request = h11.Request(
            method="GET", target=target, headers=[("Host", host), ("Accept", "application/json")]
        )
        head = self._http.send(request) or b""
        self._transport.write(head + (self._http.send(h11.EndOfMessage()) or b""))

    def is_idle(self) -> bool:
        """Return whether the connection is open and no request is under way on it."""
        idle = self._http.our_state is h11.IDLE
        return idle and self._transport is not None and not self._transport.is_closing()

    def abort(self) -> None:
        """Close the connection immediately, or as soon as it has been made."""
        self._aborted = True
        if self._transport is not None:
            self._transport.abort()

    def data_received(self, data: bytes) -> None:
        """Parse received bytes and report the response that they complete."""
        self._receive(data)

    def eof_received(self) -> None:
        """Complete a response body that has no length and ends with the connection."""
        self._receive(b"")

    def connection_lost(self, exc: Exception | None) -> None:  # noqa: ARG002  # asyncio.Protocol sets the signature
        """Call `on_closed`."""
        self._transport = None
        self._on_closed()

    def _receive(self, data: bytes) -> None:
        try:
            self._http.receive_data(data)
            while self._handle_next_event():
                pass
        except h11.RemoteProtocolError:
            self.abort()

    def _handle_next_event(self) -> bool:
        """Handle one parser event; return whether another event may be available."""
        event = self._http.next_event()
        match event:
            case h11.Response():
                self.status = event.status_code
                self._body = bytearray()
            case h11.Data():
                self._body += event.data
                if len(self._body) > MAX_BODY_BYTES:
                    self.abort()
                    return False
            case h11.EndOfMessage():
                self._complete_response()
                return False
            case h11.ConnectionClosed():
                self.abort()
                return False
        return event is not h11.NEED_DATA and event is not h11.PAUSED

    def _complete_response(self) -> None:
        status = self.status
        body = bytes(self._body)
        reusable = self._http.our_state is h11.DONE and self._http.their_state is h11.DONE
        if reusable:
            self._http.start_next_cycle()
        self._on_response(status, body)
        if not reusable:
            self.abort()
