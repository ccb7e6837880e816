"""A client's HTTP/1.1 connection: one GET at a time, each response handed over complete."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import h11

MAX_BODY_BYTES = 16 * 1024 * 1024  # a list of 20,000 servers takes 2.6 MB, indented twice that


class HttpConnection(asyncio.Protocol):
    """The protocol of one connection.

    `on_response` gets status and body of each response; `on_closed` is called once the connection is lost,
    also after `abort`. A peer that breaks the protocol, or sends a body over `MAX_BODY_BYTES`, ends it.
    """

    def __init__(self, on_response: Callable[[int, bytes], None], on_closed: Callable[[], None]) -> None:
        self._on_response = on_response
        self._on_closed = on_closed
        self._http = h11.Connection(h11.CLIENT)
        self._transport: asyncio.Transport | None = None
        self._body = bytearray()
        self._aborted = False
        self.status = 0  # of the response that is being received

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the transport; aborted before, the connection ends here."""
        self._transport = transport  # type: ignore[assignment]  # always a stream transport
        if self._aborted:
            transport.abort()  # type: ignore[attr-defined]  # as above

    def get(self, host: str, target: str) -> None:
        """Send a request. Only while `is_idle`."""
        assert self._transport is not None
        request = h11.Request(
            method="GET", target=target, headers=[("Host", host), ("Accept", "application/json")]
        )
        head = self._http.send(request) or b""
        self._transport.write(head + (self._http.send(h11.EndOfMessage()) or b""))

    def is_idle(self) -> bool:
        """Return whether the connection is open and a request may be sent."""
        idle = self._http.our_state is h11.IDLE
        return idle and self._transport is not None and not self._transport.is_closing()

    def abort(self) -> None:
        """Close the connection at once, or as soon as it is made."""
        self._aborted = True
        if self._transport is not None:
            self._transport.abort()

    def data_received(self, data: bytes) -> None:
        """Parse received bytes."""
        self._receive(data)

    def eof_received(self) -> None:
        """Complete a body without a length."""
        self._receive(b"")

    def connection_lost(self, exc: Exception | None) -> None:  # noqa: ARG002  # the signature of asyncio.Protocol
        """Report the end of the connection."""
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
        """Handle one event of the parser; return whether to go on with the next."""
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
        status, body = self.status, bytes(self._body)
        reusable = self._http.our_state is h11.DONE and self._http.their_state is h11.DONE
        if reusable:
            self._http.start_next_cycle()
        self._on_response(status, body)
        if not reusable:
            self.abort()
