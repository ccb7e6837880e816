"""Sizes in bytes of the messages, from the forms of PROTOCOL (RESP2 commands, discovery's JSON)."""

from __future__ import annotations

import json
from collections.abc import Iterable
from typing import Any

from quota_gateway.policy_api.endpoints import Endpoint, EndpointState

STATES = {EndpointState.ACTIVE: "Ready", EndpointState.DRAINING: "Terminating", EndpointState.GONE: "Gone"}
HTTP_CALL = len(
    b"GET /v1/servers?since=41000&timeout_ms=4000 HTTP/1.1\r\nHost: 10.2.0.1:8500\r\n"
    b"Accept: application/json\r\n\r\n"
)
HTTP_HEAD = len(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 1000000\r\n\r\n")
EMPTY_LIST = len(b'{"version":41000,"full":false,"servers":[]}')
SERVED = 64  # a value of the client's choosing; 64 KiB at most (PROTOCOL), so small ones are assumed


def command(*words: str) -> bytes:
    """A RESP2 command: an array of bulk strings."""
    return b"*%d\r\n" % len(words) + b"".join(b"$%d\r\n%s\r\n" % (len(w), w.encode()) for w in words)


def call_get(customer: str, request_id: str, plan: str, left_ms: float, units: float, spread: int) -> bytes:
    """A client's command, which passes on to a server unchanged but for `d`."""
    fields = f"c=valuacion,t={plan},d={left_ms:.0f},units={units:.0f},spread={spread},first=1000"
    return command("CALL.GET", customer, request_id, fields)


def incrttl(name: int, amount: float, ttl_ms: float) -> bytes:
    """A call to the counter."""
    return command("INCRTTL", str(name), f"{amount:.3f}", f"{ttl_ms:.0f}")


def row(entry: Endpoint) -> dict[str, Any]:
    """One server as discovery writes it."""
    return {
        "id": entry.server_id,
        "addr": "10.1.100.180:6379",
        "zone": entry.zone,
        "kind": "std-2c",
        "cell": entry.cell,
        "state": STATES[entry.state],
        "weight": entry.weight,
        "started_ms": int(entry.started_ms),
    }


def listing(entries: Iterable[Endpoint], version: int, full: bool) -> bytes:
    """A whole list, or changes to it."""
    rows = [row(entry) for entry in entries]
    return json.dumps({"version": version, "full": full, "servers": rows}, separators=(",", ":")).encode()


def row_bytes(entry: Endpoint) -> int:
    """Bytes of one server in a list, the comma included."""
    return len(json.dumps(row(entry), separators=(",", ":"))) + 1
