"""What the kernel holds of a connection that the loop has not told: anything may come between two lines."""

from __future__ import annotations

import asyncio
import select


def polled(transport: asyncio.Transport, events: int) -> bool:
    """Whether the kernel holds such an event of a connection that the loop has not told yet."""
    if transport.is_closing():
        return False
    poll = select.poll()
    poll.register(transport.get_extra_info("socket").fileno(), events)
    return bool(poll.poll(0))


def waits(transport: asyncio.Transport) -> bool:
    """Whether bytes, or the end of the connection, have come."""
    return polled(transport, select.POLLIN)


def hung_up(transport: asyncio.Transport) -> bool:
    """Whether the other end has closed, however much is still to be read before that."""
    return polled(transport, select.POLLRDHUP)
