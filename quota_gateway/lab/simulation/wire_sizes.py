"""Sizes in bytes of the messages, from the forms of PROTOCOL (RESP2 commands, discovery's JSON)."""

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
VALUE_BYTES = 64  # a value of the client's choosing; 64 KiB at most (PROTOCOL), small ones are assumed


def resp_command(*words: str) -> bytes:
    """Return a RESP2 command: an array of bulk strings."""
    bulk_strings = b"".join(b"$%d\r\n%s\r\n" % (len(word), word.encode()) for word in words)
    return b"*%d\r\n" % len(words) + bulk_strings


def call_get(
    customer: str, request_id: str, plan: str, left_ms: float, units: float, gateway_count: int
) -> bytes:
    """Return a client's command, which is forwarded to a server unchanged but for `d`, the time left."""
    fields = f"c=valuacion,t={plan},d={left_ms:.0f},units={units:.0f},spread={gateway_count},first=1000"
    return resp_command("CALL.GET", customer, request_id, fields)


def incrttl(key: int, amount: float, ttl_ms: float) -> bytes:
    """Return a call to the counter."""
    return resp_command("INCRTTL", str(key), f"{amount:.3f}", f"{ttl_ms:.0f}")


def endpoint_list(endpoints: Iterable[Endpoint], version: int, full: bool) -> bytes:
    """Return a snapshot of the endpoint list (`full`), or changes to it, as discovery writes them."""
    rows = [_endpoint_row(endpoint) for endpoint in endpoints]
    return json.dumps({"version": version, "full": full, "servers": rows}, separators=(",", ":")).encode()


def endpoint_bytes(endpoint: Endpoint) -> int:
    """Return the size of one endpoint in a list, the comma included."""
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
