"""Polls sockets for input and disconnects that the event loop has not reported yet.

The event loop reports input and disconnects once per iteration. Between two iterations its view of a
connection can be out of date, for example on whether the connection is idle. These functions ask the kernel.
"""

from __future__ import annotations

import asyncio
import select


def has_unread_bytes(transport: asyncio.Transport) -> bool:
    """Return whether data or the peer's end of stream waits in the kernel; False for a closing transport."""
    return _poll_now(transport, select.POLLIN)


def peer_closed(transport: asyncio.Transport) -> bool:
    """Return whether the peer has closed its side, even if unread data precedes the end of the stream.

    Returns False for a closing transport.
    """
    return _poll_now(transport, select.POLLRDHUP)


def _poll_now(transport: asyncio.Transport, events: int) -> bool:
    """Poll the transport's socket for `events` without waiting."""
    if transport.is_closing():
        return False
    poll = select.poll()
    poll.register(transport.get_extra_info("socket").fileno(), events)
    return bool(poll.poll(0))
