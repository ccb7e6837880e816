"""The budget of file descriptors: the number of connections of each kind that a process may hold."""

from __future__ import annotations

from typing import NamedTuple

from quota_gateway.network.counter_client import CONNECTION_COUNT
from quota_gateway.network.listener import MAX_REFUSED_CONNECTIONS

# Descriptors that neither clients nor servers use. Connections to the counter and to discovery count twice,
# because new ones may be opened before the old ones are closed, as after a change of the counter's address.
COUNTER_DESCRIPTORS = 2 * CONNECTION_COUNT
DISCOVERY_DESCRIPTORS = 2
LISTENER_DESCRIPTORS = 1
STANDARD_STREAM_DESCRIPTORS = 3
EVENT_LOOP_DESCRIPTORS = 8  # descriptors of the event loop and of polls
RESERVED_DESCRIPTORS = (
    COUNTER_DESCRIPTORS
    + DISCOVERY_DESCRIPTORS
    + LISTENER_DESCRIPTORS
    + STANDARD_STREAM_DESCRIPTORS
    + EVENT_LOOP_DESCRIPTORS
)


class DescriptorBudget(NamedTuple):
    """The maximum number of connections of each kind."""

    servers: int
    clients: int
    refused_clients: int  # connections beyond `clients`, accepted only to send an error and close


def allocate_descriptors(max_sockets: int) -> DescriptorBudget:
    """Divide the descriptors that a process may hold among servers, clients and refused clients.

    The reserved descriptors are set aside first, and each kind has a limit of its own: clients that use up
    theirs must not keep discovery, the counter or the servers from getting a connection.
    """
    available = max_sockets - RESERVED_DESCRIPTORS
    servers = min(max_sockets * 3 // 10, available * 3 // 8)
    refused_clients = min(MAX_REFUSED_CONNECTIONS, available // 6)
    clients = min(max_sockets // 2, available - servers - refused_clients)
    return DescriptorBudget(servers, clients, refused_clients)
