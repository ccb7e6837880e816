"""Messages as the protocol specification encodes them (RESP2 commands, discovery's JSON), and their sizes."""

from __future__ import annotations

import json
from collections.abc import Iterable
from typing import Any

from quota_gateway.policy_api.endpoints import Endpoint, EndpointState

STATE_NAMES = {
    EndpointState.ACTIVE: "Ready",
    EndpointState.DRAINING: "Terminating",
    EndpointState.GONE: "Gone",
}
HTTP_REQUEST_BYTES = len(
    b"GET /v1/servers?since=41000&timeout_ms=4000 HTTP/1.1\r\nHost: 10.2.0.1:8500\r\n"
    b"Accept: application/json\r\n\r\n"
)
HTTP_HEADER_BYTES = len(
    b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 1000000\r\n\r\n"
)
EMPTY_LIST_BYTES = len(b'{"version":41000,"full":false,"servers":[]}')
VALUE_BYTES = 64  # Size of a response's value; the protocol specification allows up to 64 KiB.


def resp_command(*words: str) -> bytes:
    """Return a RESP2 command, encoded as an array of bulk strings."""
    bulk_strings = b"".join(b"$%d\r\n%s\r\n" % (len(word), word.encode()) for word in words)
    return b"*%d\r\n" % len(words) + bulk_strings


def call_get(
    customer: str, request_id: str, plan: str, remaining_ms: float, units: float, gateway_count: int
) -> bytes:
    """Return a client's command.

    The gateway forwards it to a server unchanged except for `d`, the remaining time until the deadline, ms.
    """
    fields = f"c=valuacion,t={plan},d={remaining_ms:.0f},units={units:.0f},spread={gateway_count},first=1000"
    return resp_command("CALL.GET", customer, request_id, fields)


def incrttl(key: int, amount: float, ttl_ms: float) -> bytes:
    """Return the command that adds an amount to a key of the shared counter; the TTL is in ms."""
    return resp_command("INCRTTL", str(key), f"{amount:.3f}", f"{ttl_ms:.0f}")


def endpoint_list(endpoints: Iterable[Endpoint], version: int, full: bool) -> bytes:
    """Return a response of discovery: a snapshot of the endpoint list if `full`, else a delta."""
    rows = [_endpoint_row(endpoint) for endpoint in endpoints]
    return json.dumps({"version": version, "full": full, "servers": rows}, separators=(",", ":")).encode()


def endpoint_bytes(endpoint: Endpoint) -> int:
    """Return the size of one endpoint in a list, including the separating comma, bytes."""
    return len(json.dumps(_endpoint_row(endpoint), separators=(",", ":"))) + 1


def _endpoint_row(endpoint: Endpoint) -> dict[str, Any]:
    return {
        "id": endpoint.server_id,
        "addr": "10.1.100.180:6379",
        "zone": endpoint.zone,
        "kind": "std-2c",
        "cell": endpoint.cell,
        "state": STATE_NAMES[endpoint.state],
        "weight": endpoint.weight,
        "started_ms": int(endpoint.started_ms),
    }
