"""Measures the network code: processor time per request, and rate and sizes of control messages."""

from __future__ import annotations

import asyncio

from quota_gateway.lab.scaling.scripted_gateway import (
    DEADLINE_MS,
    GATEWAYS_PER_CUSTOMER,
    PLAN,
    SETTINGS_WITH_COUNTER,
    endpoint_records,
)
from quota_gateway.lab.scaling.slope import MILLISECONDS, Slope, processor_time_ms
from quota_gateway.lab.scaling.slope_names import SlopeName
from quota_gateway.lab.simulation.wire_sizes import HTTP_HEADER_BYTES, call_get, endpoint_list
from quota_gateway.network import resp
from quota_gateway.network.commands import CommandParser, RequestLimits, is_command
from quota_gateway.network.discovery.http_connection import HttpConnection
from quota_gateway.network.discovery.poll_schedule import LONG_POLL_S
from quota_gateway.policy.hash_ring import stable_hash

CHANGE_COUNTS = (1, 10, 100)
COUNTER_KEY_COUNT = 200  # keys differ in their number of digits, so the sizes of the calls vary
KEY_TTL_MS = b"60000"
COUNTER_TOTALS = (1, 42.5, 1234.567)
LIST_VERSION = 41_000
REMAINING_DEADLINE_MS = 400  # written into the request when it is forwarded
RESPONSE_VALUE = b"x" * 64


class RecordingTransport(asyncio.Transport):
    """Records the bytes written to it."""

    def __init__(self) -> None:
        super().__init__()
        self.data = b""

    def write(self, data: bytes | bytearray | memoryview) -> None:
        """Append to the recorded bytes."""
        self.data += bytes(data)


def watch_request() -> bytes:
    """Return the HTTP request of a watch, as the network code writes it."""
    transport = RecordingTransport()
    connection = HttpConnection(lambda *_: None, lambda: None)
    connection.connection_made(transport)
    connection.get("10.2.0.1:8500", f"/v1/servers?since={LIST_VERSION}&timeout_ms={LONG_POLL_S * 1000.0:.0f}")
    return transport.data


def message_sizes() -> list[Slope]:
    """Return the sizes of a gateway's watches and counter calls, and the rate of its calls for an idle watch.

    Sizes include the responses. IP and TCP headers and acknowledgements are not included.
    """
    return [*_watch_sizes(), *_counter_sizes()]


def _watch_sizes() -> list[Slope]:
    request_bytes = len(watch_request())
    idle_calls = Slope(SlopeName.IDLE_WATCH_CALLS, "calls/s", "gateways")
    idle_calls.add(1, [1.0 / LONG_POLL_S])
    idle_bytes = Slope(SlopeName.IDLE_WATCH_BYTES, "bytes/s", "gateways")
    empty_list_bytes = len(endpoint_list((), LIST_VERSION, full=False))
    idle_bytes.add(1, [(request_bytes + HTTP_HEADER_BYTES + empty_list_bytes) / LONG_POLL_S])
    update_bytes = Slope(SlopeName.UPDATE_BYTES, "bytes", "changes")
    for count in CHANGE_COUNTS:
        body = endpoint_list(endpoint_records(count), LIST_VERSION, full=False)
        update_bytes.add(count, [float(request_bytes + HTTP_HEADER_BYTES + len(body))])
    return [idle_calls, idle_bytes, update_bytes]


def _counter_sizes() -> list[Slope]:
    call_bytes = Slope(SlopeName.COUNTER_CALL_BYTES, "bytes", "calls")
    reply_bytes = Slope(SlopeName.COUNTER_REPLY_BYTES, "bytes", "calls")
    keys = [stable_hash(f"{i * 7919:016x}/{60_000 * i}") for i in range(COUNTER_KEY_COUNT)]
    calls = [resp.encode_command(b"INCRTTL", b"%d" % key, b"2.000", KEY_TTL_MS) for key in keys]
    replies = [resp.encode_bulk(b"%.7g" % total) for total in COUNTER_TOTALS]
    call_bytes.add(1, [float(len(message)) for message in calls])
    reply_bytes.add(1, [float(len(message)) for message in replies])
    return [call_bytes, reply_bytes]


def costs_by_request(repeats: int) -> list[Slope]:
    """Measure the processor time of one request: client command, server response and counter call."""
    command_parser = CommandParser(SETTINGS_WITH_COUNTER, RequestLimits(8.0, DEADLINE_MS))
    command = call_get("00000000b4d65521", "9b1f03aa5c7e2d41", PLAN, 480.0, 2.0, GATEWAYS_PER_CUSTOMER)
    response = b"*3\r\n" + resp.encode_bulk(RESPONSE_VALUE) + b"$-1\r\n$-1\r\n"

    def forward_command() -> None:
        parser = resp.Parser()
        parser.feed(command)
        command_words = parser.next_message()
        assert is_command(command_words)
        command_parser.parse(command_words).encode(REMAINING_DEADLINE_MS)

    def read_response() -> None:
        parser = resp.Parser()
        parser.feed(response)
        parser.next_message()

    def write_counter_call() -> None:
        resp.encode_command(b"INCRTTL", b"%d" % (7919 << 40), b"%.3f" % 2.0, KEY_TTL_MS)

    slopes = []
    for name, measured_call in (
        (SlopeName.CLIENT_COMMAND, forward_command),
        (SlopeName.SERVER_RESPONSE, read_response),
        (SlopeName.COUNTER_CALL, write_counter_call),
    ):
        slope = Slope(name, MILLISECONDS, "requests")
        slope.add(1, processor_time_ms(measured_call, repeats))
        slopes.append(slope)
    return slopes
