"""What the kernel already knows about a connection and the event loop has not reported yet.

The loop reports data and disconnects once per iteration. A decision taken within an iteration ("is this
connection still idle?") can therefore be out of date; these functions ask the kernel at that very moment.
"""

from __future__ import annotations

import asyncio
import select


def has_unread_bytes(transport: asyncio.Transport) -> bool:
    """Tell whether data, or the peer's end of stream, waits in the kernel. False on a closing transport."""
    return _poll_now(transport, select.POLLIN)


def peer_closed(transport: asyncio.Transport) -> bool:
    """Tell whether the peer has closed its side, even with unread data before the end of stream.

    False on a closing transport.
    """
    return _poll_now(transport, select.POLLRDHUP)


def _poll_now(transport: asyncio.Transport, events: int) -> bool:
    """Poll the transport's socket for `events` without waiting."""
    if transport.is_closing():
        return False
    poll = select.poll()
    poll.register(transport.get_extra_info("socket").fileno(), events)
    return bool(poll.poll(0))
