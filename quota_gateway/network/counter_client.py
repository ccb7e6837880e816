"""The client of the shared counter: increments over a fixed set of connections, each with a timeout.

Calls for one key always go over the same connection, so that their replies come in the order of the calls.
"""

from __future__ import annotations

import asyncio

from quota_gateway.network import resp
from quota_gateway.network.address import Address
from quota_gateway.network.counter_connection import CompletionCallback, CounterConnection, PendingCall
from quota_gateway.policy_api.events import CallOutcome

# The counter holds 32 connections of a gateway (PROTOCOL, the counter). Replies on one come in the order of
# its calls, so a call that a crowded part of the counter is slow to take up holds back the replies behind
# it, and a malformed reply ends them all.
CONNECTION_COUNT = 12
MAX_TTL_MS = 60_000


class CounterClient:
    """Increments counters by key; an increment completes once, within `timeout_s`."""

    def __init__(self, loop: asyncio.AbstractEventLoop, address: Address, timeout_s: float) -> None:
        self.connections = self._open_connections(loop, address)
        self.timeout_s = timeout_s
        self._loop = loop
        self._address = address
        self._draining: list[CounterConnection] = []  # to earlier addresses, with pending calls

    @staticmethod
    def _open_connections(loop: asyncio.AbstractEventLoop, address: Address) -> list[CounterConnection]:
        return [CounterConnection(loop, address) for _ in range(CONNECTION_COUNT)]

    def move_to(self, address: Address) -> None:
        """Send new calls to another address; pending ones complete on the old connections."""
        if address == self._address:
            return
        self._address = address
        self._draining = [
            connection for connection in [*self._draining, *self.connections] if connection.pending_calls
        ]
        for connection in self.connections:
            connection.drain()
        self.connections = self._open_connections(self._loop, address)

    def increment(self, key: int, amount: float, ttl_ms: float, on_complete: CompletionCallback) -> None:
        """Add an amount to a key, which expires `ttl_ms` after its first call."""
        connection = self.connections[key % CONNECTION_COUNT]
        now = self._loop.time()
        if self._draining:
            self._abandon_draining_calls(key)
        call = PendingCall(now, key, on_complete)
        if not connection.is_ready():
            call.complete(now, CallOutcome.UNREACHABLE)  # nothing was written, so nothing was counted
            return
        call.timeout = self._loop.call_later(self.timeout_s, connection.time_out, call)
        connection.send(_encode_increment(key, amount, ttl_ms), call)

    def _abandon_draining_calls(self, key: int) -> None:
        """Complete what is pending for a key at an earlier address: replies for one key keep their order."""
        for connection in self._draining:
            connection.abandon_calls(key)
        self._draining = [connection for connection in self._draining if connection.pending_calls]

    def close(self) -> None:
        """Close all connections."""
        for connection in [*self.connections, *self._draining]:
            connection.close()


def _encode_increment(key: int, amount: float, ttl_ms: float) -> bytes:
    """Encode INCRTTL. A key in decimal is the same at every gateway; the policy rounds to three places."""
    ttl = max(1, min(MAX_TTL_MS, round(ttl_ms)))
    return resp.encode_command(b"INCRTTL", b"%d" % key, b"%.3f" % amount, b"%d" % ttl)
