"""Requests, responses and settings that the network tests share."""

from __future__ import annotations

from typing import Any

CUSTOMER = b"00000000b4d65521"

# Field lists of requests, one for each class in `SETTINGS`.
READ_FIELDS = b"c=read,t=basic,d=20000,units=2,spread=2,first=1"
ORDER_FIELDS = b"c=order,t=basic,d=20000,k=5c0f6e1a2b3d4c59"
CHARGE_FIELDS = b"c=charge,t=basic,d=20000"

DRAIN_GRACE_S = 0.25  # of `SETTINGS`

# Settings of a gateway, as decoded from JSON.
SETTINGS: dict[str, Any] = {
    "my_zone": "a",
    "balancers": 2,
    "me": 0,
    "domain": {"counter": True, "counter_timeout_ms": 5000.0, "max_units": 6},
    "limits": {
        "attempts_cap": 4,
        "retry_after": True,
        "max_retry_after_ms": 500.0,
        "max_open": 1000,
        "conn_idle_ms": 15000.0,
        "connect_timeout_ms": 5000.0,
    },
    "packages": [{"name": "basic", "per_second": 1000.0, "most_at_once": 4000.0}],
    "profiles": [
        {"name": "read", "repeat": "read_like", "aim_ms": 5000.0, "hard_limit_ms": 20000.0},
        {
            "name": "order",
            "repeat": "idempotency_key",
            "group": "all",
            "memory_span_ms": 2000.0,
            "aim_ms": 5000.0,
            "hard_limit_ms": 20000.0,
        },
        {"name": "charge", "repeat": "non_idempotent", "aim_ms": 5000.0, "hard_limit_ms": 20000.0},
    ],
    "safety": {"cold_from": 0.25, "warm_after_ms": 18000.0, "drain_grace_ms": 1000.0 * DRAIN_GRACE_S},
}

# A `CALL.GET` command of class `read` with request id 9.
ENCODED_REQUEST = b"*4\r\n$8\r\nCALL.GET\r\n$16\r\n%b\r\n$1\r\n9\r\n$%d\r\n%b\r\n" % (
    CUSTOMER,
    len(READ_FIELDS),
    READ_FIELDS,
)

# A server's response: value, null usage figures and load report.
OK_RESPONSE = b"*3\r\n$5\r\nvalue\r\n*-1\r\n$20\r\ninflight=7,queue=2.5\r\n"
