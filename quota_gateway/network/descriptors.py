"""The budget of file descriptors: how many connections of each kind a process may hold."""

from __future__ import annotations

from typing import NamedTuple

from quota_gateway.network.counter_client import CONNECTION_COUNT
from quota_gateway.network.listener import MAX_REFUSED_CONNECTIONS

# Descriptors that are neither a client's nor a server's: the counter's connections, twice while its address
# changes; discovery's connection and the next one; the listener; the standard streams; the event loop's and
# those of a poll.
RESERVED_DESCRIPTORS = 2 * CONNECTION_COUNT + 2 + 1 + 3 + 8


class DescriptorBudget(NamedTuple):
    """The most connections of each kind."""

    servers: int
    clients: int
    spare_clients: int  # beyond `clients`: accepted only to be rejected and closed


def allocate_descriptors(max_sockets: int) -> DescriptorBudget:
    """Divide the descriptors that a process may hold.

    The reserved ones are kept back first: clients that use up theirs must not keep discovery, the counter or
    the servers from getting a connection.
    """
    available = max_sockets - RESERVED_DESCRIPTORS
    servers = min(max_sockets * 3 // 10, available * 3 // 8)
    spare_clients = min(MAX_REFUSED_CONNECTIONS, available // 6)
    clients = min(max_sockets // 2, available - servers - spare_clients)
    return DescriptorBudget(servers, clients, spare_clients)
