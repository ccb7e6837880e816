"""The budget of memory: what the parts of a process that clients can make grow may hold."""

from __future__ import annotations

from typing import NamedTuple

# Shares of the memory limit. The interpreter, the endpoint list, the connections and the responses of servers
# need the rest.
CUSTOMER_SHARE = 0.125
CUSTOMER_BYTES = 1024  # state of one customer
CLIENT_DATA_SHARE = 0.25


class MemoryBudget(NamedTuple):
    """The limits of what clients can make a process hold."""

    customers: int  # customers that the policy holds state for
    client_bytes: int  # bytes that are held for clients: see `ClientMemory`


def allocate_memory(limit_bytes: int) -> MemoryBudget:
    """Divide the memory that a process may use."""
    return MemoryBudget(
        customers=int(CUSTOMER_SHARE * limit_bytes) // CUSTOMER_BYTES,
        client_bytes=int(CLIENT_DATA_SHARE * limit_bytes),
    )
