"""The HTTP connection to discovery: requests one at a time, and complete responses."""

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


class RecordedConnection:
    """An open connection on a fake transport; records its responses and the number of `on_closed` calls."""

    def __init__(self) -> None:
        self.responses: list[tuple[int, bytes]] = []
        self.closed_count = 0
        self.transport = FakeTransport()
        self.connection = HttpConnection(
            lambda status, body: self.responses.append((status, body)), self.on_closed
        )
        self.connection.connection_made(cast(asyncio.Transport, self.transport))

    def on_closed(self) -> None:
        self.closed_count += 1


def test_another_request_can_be_sent_after_each_response() -> None:
    recorded = RecordedConnection()
    for number in (1, 2):
        assert recorded.connection.is_idle()
        recorded.connection.get("10.0.0.1:80", f"/{number}")
        assert not recorded.connection.is_idle()
        response = http_response(b"%d" % number)
        for index in range(len(response)):
            recorded.connection.data_received(response[index : index + 1])
        assert recorded.responses[-1] == (200, b"%d" % number)
    assert recorded.transport.written.startswith(b"GET /1 HTTP/1.1\r\nHost: 10.0.0.1:80\r\n")
    assert not recorded.transport.aborted


def test_a_body_without_a_length_ends_with_the_connection() -> None:
    recorded = RecordedConnection()
    recorded.connection.get("h", "/")
    recorded.connection.data_received(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nab")
    assert recorded.connection.status == 200
    assert not recorded.responses
    recorded.connection.eof_received()
    assert recorded.responses == [(200, b"ab")]
    assert recorded.transport.aborted


@pytest.mark.parametrize(
    "received",
    [b"HTTP/1.1 what\r\n\r\n", b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n123456789"],
    ids=["not HTTP", "body too long"],
)
def test_an_unusable_response_ends_the_connection(received: bytes, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(http_connection, "MAX_BODY_BYTES", 8)
    recorded = RecordedConnection()
    recorded.connection.get("h", "/")
    recorded.connection.data_received(received)
    assert not recorded.responses
    assert recorded.transport.aborted
    assert not recorded.connection.is_idle()


def test_a_connection_aborted_before_it_is_made_is_closed_once_it_is_made() -> None:
    connection = HttpConnection(lambda status, body: None, lambda: None)
    transport = FakeTransport()
    connection.abort()
    connection.connection_made(cast(asyncio.Transport, transport))
    assert transport.aborted


def test_the_end_of_the_connection_is_reported_once() -> None:
    recorded = RecordedConnection()
    recorded.connection.abort()
    recorded.connection.connection_lost(None)
    assert recorded.closed_count == 1
    assert not recorded.connection.is_idle()
