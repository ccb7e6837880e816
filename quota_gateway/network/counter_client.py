"""The client of the shared counter: increments with a timeout over a fixed number of connections.

All calls for one key use the same connection, so that their replies arrive in the order of the calls.
"""

from __future__ import annotations

import asyncio

from quota_gateway.network import resp
from quota_gateway.network.address import Address
from quota_gateway.network.counter_connection import CompletionCallback, CounterConnection, PendingCall
from quota_gateway.policy_api.events import CallOutcome

# The counter accepts 32 connections per gateway. Several are used because the replies on a connection come in
# the order of its calls: a call to an overloaded partition of the counter delays all replies after it, and a
# malformed reply ends all pending calls of the connection.
CONNECTION_COUNT = 12
MAX_TTL_MS = 60_000  # longest TTL that the counter applies


class CounterClient:
    """Increments counters by key; each increment completes exactly once, within `timeout_s`."""

    def __init__(self, loop: asyncio.AbstractEventLoop, address: Address, timeout_s: float) -> None:
        self.connections = self._open_connections(loop, address)
        self.timeout_s = timeout_s
        self._loop = loop
        self._address = address
        self._draining: list[CounterConnection] = []  # connections to earlier addresses with pending calls

    @staticmethod
    def _open_connections(loop: asyncio.AbstractEventLoop, address: Address) -> list[CounterConnection]:
        return [CounterConnection(loop, address) for _ in range(CONNECTION_COUNT)]

    def move_to(self, address: Address) -> None:
        """Send new calls to another address; pending calls complete on the old connections."""
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
        """Add an amount to the counter of a key, which expires `ttl_ms` after its first increment.

        `on_complete` is called once with the total, the outcome and the duration in milliseconds, possibly
        before this method returns.
        """
        connection = self.connections[key % CONNECTION_COUNT]
        now = self._loop.time()
        if self._draining:
            self._abandon_draining_calls(key)
        call = PendingCall(now, key, on_complete)
        if not connection.is_ready():
            call.complete(now, CallOutcome.UNREACHABLE)  # not written, so it can't have been counted
            return
        call.timeout_timer = self._loop.call_later(self.timeout_s, connection.time_out, call)
        connection.send(_encode_increment(key, amount, ttl_ms), call)

    def _abandon_draining_calls(self, key: int) -> None:
        """Complete the calls for a key that are pending at earlier addresses.

        Otherwise their replies could arrive after that of a later call for the key on another connection.
        """
        for connection in self._draining:
            connection.abandon_calls(key)
        self._draining = [connection for connection in self._draining if connection.pending_calls]

    def close(self) -> None:
        """Close all connections."""
        for connection in [*self.connections, *self._draining]:
            connection.close()


def _encode_increment(key: int, amount: float, ttl_ms: float) -> bytes:
    """Encode INCRTTL.

    The key is encoded in decimal, so that all gateways use the same name for it. The amount is encoded with
    three decimal places, to which the policy has rounded it.
    """
    ttl = max(1, min(MAX_TTL_MS, round(ttl_ms)))
    return resp.encode_command(b"INCRTTL", b"%d" % key, b"%.3f" % amount, b"%d" % ttl)
