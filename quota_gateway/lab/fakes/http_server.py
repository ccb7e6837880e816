"""Base of the fakes that speak HTTP/1.1. Each connection serves one request at a time."""

from __future__ import annotations

from abc import abstractmethod
from http import HTTPStatus

import h11

from quota_gateway.lab.fakes.loopback_server import LoopbackConnection, LoopbackServer


class HttpServer(LoopbackServer):
    """A fake that speaks HTTP/1.1."""

    def create_connection(self) -> LoopbackConnection:
        """Return the protocol object of a new connection."""
        return HttpConnection(self)

    @abstractmethod
    def handle_request(self, connection: HttpConnection, target: str) -> None:
        """Carry out one request and call `connection.reply`, now or later."""

    def handle_disconnect(self, connection: HttpConnection) -> None:
        """Drop the pending request of a closed connection, if there is one."""


class HttpConnection(LoopbackConnection):
    """A connection of an HTTP fake. It is closed when it receives anything other than an HTTP request."""

    def __init__(self, server: HttpServer) -> None:
        super().__init__(server)
        self._http_server = server
        self._http = h11.Connection(h11.SERVER)
        self._request_target = ""

    def connection_lost(self, exc: Exception | None) -> None:
        """Unregister from the server (asyncio's callback)."""
        super().connection_lost(exc)
        self._http_server.handle_disconnect(self)

    def data_received(self, data: bytes) -> None:
        """Feed the HTTP parser (asyncio's callback)."""
        try:
            self._http.receive_data(data)
        except h11.RemoteProtocolError:
            self.close()
            return
        self._read_request()

    def _read_request(self) -> None:
        """Parse the received bytes up to the end of one request, and pass it to the server."""
        try:
            while (event := self._http.next_event()) not in (h11.NEED_DATA, h11.PAUSED):
                if isinstance(event, h11.Request):
                    self._request_target = event.target.decode("ascii", "replace")
                elif isinstance(event, h11.EndOfMessage):
                    self._http_server.handle_request(self, self._request_target)
                    return
        except h11.RemoteProtocolError:
            self.close()

    def reply(self, status: HTTPStatus, body: bytes = b"") -> None:
        """Reply to the pending request with a JSON body, then read the next request."""
        if not self.is_open:
            return
        headers = [("Content-Type", "application/json"), ("Content-Length", str(len(body)))]
        head = self._http.send(h11.Response(status_code=status, headers=headers)) or b""
        encoded_body = self._http.send(h11.Data(data=body)) or b""
        self._http.send(h11.EndOfMessage())
        self.write(head + encoded_body)
        if self._http.our_state is h11.DONE and self._http.their_state is h11.DONE:
            self._http.start_next_cycle()
            self.server.loop.call_soon(self._read_request)  # the next request may already be buffered
        else:
            self.close()
