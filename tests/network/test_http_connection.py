"""The HTTP connection to discovery: one response at a time, handed over complete."""

from __future__ import annotations

import asyncio
from typing import cast

import pytest

from quota_gateway.network.discovery import http_connection
from quota_gateway.network.discovery.http_connection import HttpConnection
from tests.network.scripted_peers import http_response


class FakeTransport:
    def __init__(self) -> None:
        self.written = b""
        self.aborted = False

    def write(self, data: bytes) -> None:
        self.written += data

    def abort(self) -> None:
        self.aborted = True

    def is_closing(self) -> bool:
        return self.aborted


class Opened:
    """A connection that is made, and what it reported."""

    def __init__(self) -> None:
        self.responses: list[tuple[int, bytes]] = []
        self.closed = 0
        self.transport = FakeTransport()
        self.connection = HttpConnection(
            lambda status, body: self.responses.append((status, body)), self.on_closed
        )
        self.connection.connection_made(cast(asyncio.Transport, self.transport))

    def on_closed(self) -> None:
        self.closed += 1


def test_a_connection_takes_a_request_after_each_response() -> None:
    opened = Opened()
    for number in (1, 2):
        assert opened.connection.is_idle()
        opened.connection.get("10.0.0.1:80", f"/{number}")
        assert not opened.connection.is_idle()
        response = http_response(b"%d" % number)
        for at in range(len(response)):
            opened.connection.data_received(response[at : at + 1])
        assert opened.responses[-1] == (200, b"%d" % number)
    assert opened.transport.written.startswith(b"GET /1 HTTP/1.1\r\nHost: 10.0.0.1:80\r\n")
    assert not opened.transport.aborted


def test_a_body_without_a_length_ends_with_the_connection() -> None:
    opened = Opened()
    opened.connection.get("h", "/")
    opened.connection.data_received(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nab")
    assert opened.connection.status == 200
    assert not opened.responses
    opened.connection.eof_received()
    assert opened.responses == [(200, b"ab")]
    assert opened.transport.aborted


@pytest.mark.parametrize(
    "received",
    [b"HTTP/1.1 what\r\n\r\n", b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n123456789"],
    ids=["not HTTP", "body too long"],
)
def test_what_cannot_be_used_ends_the_connection(received: bytes, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(http_connection, "MAX_BODY_BYTES", 8)
    opened = Opened()
    opened.connection.get("h", "/")
    opened.connection.data_received(received)
    assert not opened.responses
    assert opened.transport.aborted
    assert not opened.connection.is_idle()


def test_a_connection_aborted_before_it_is_made_ends_as_it_is_made() -> None:
    connection, transport = HttpConnection(lambda status, body: None, lambda: None), FakeTransport()
    connection.abort()
    connection.connection_made(cast(asyncio.Transport, transport))
    assert transport.aborted


def test_the_end_of_the_connection_is_reported_once() -> None:
    opened = Opened()
    opened.connection.abort()
    opened.connection.connection_lost(None)
    assert opened.closed == 1
    assert not opened.connection.is_idle()
