"""A client's connection: commands are parsed, and replies leave in the order of their commands.

The life of a connection:

    OPEN -> CLOSING or CLOSING_AFTER_ERROR -> HALF_CLOSED -> CLOSED

What a client can make the gateway hold is bounded: bytes of a message, pending replies, unread replies, time
without a command, and commands processed in one iteration of the event loop.
"""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from enum import Enum, auto
from typing import Protocol

from quota_gateway.network import resp
from quota_gateway.network.bridge import PolicyBridge
from quota_gateway.network.commands import (
    QUIT_VERB,
    REQUEST_VERBS,
    CommandError,
    CommandParser,
    answer_connection_command,
    is_command,
)
from quota_gateway.network.log_setup import log_event
from quota_gateway.network.pending_reply import PendingReply
from quota_gateway.network.socket_poll import has_unread_bytes

log = logging.getLogger("quota_gateway")

MAX_PENDING_REPLIES = 64  # further commands stay in the buffer
MAX_COMMANDS_PER_ITERATION = 16  # then other connections get their share of the event loop
MAX_COMMAND_ERRORS = 8  # a client that goes on sending what can't be served costs the others, and is closed
FIRST_COMMAND_TIMEOUT_S = 2.0  # from connecting to the end of the first command
PARTIAL_COMMAND_TIMEOUT_S = 2.0  # from the beginning of a command to its end
UNREAD_REPLIES_TIMEOUT_S = 30.0  # for a client that does not read its replies
LINGER_TIMEOUT_S = 0.5  # for the client to read an error and close, while its input is discarded
MAX_DISCARDED_BYTES = 4 * 1024 * 1024  # of input after the last command; then the connection is aborted
WRITE_BUFFER_BYTES = 256 * 1024  # of unread replies; beyond that no commands are processed
READ_BUFFER_BYTES = 64 * 1024  # of unprocessed commands; beyond that the socket is not read


class ConnectionState(Enum):
    """The state of a client connection."""

    OPEN = auto()  # commands are processed
    CLOSING = auto()  # no more commands; pending replies are still sent
    CLOSING_AFTER_ERROR = auto()  # the same, and the client gets time to read the error sent last
    HALF_CLOSED = auto()  # all replies are written and our side is shut; the client's close is awaited
    CLOSED = auto()  # the transport is gone


class Processing(Enum):
    """Whether buffered commands are being processed."""

    NONE = auto()
    SCHEDULED = auto()  # the loop's next iteration processes the commands left in the buffer
    RUNNING = auto()


class ConnectionOwner(Protocol):
    """The listener, as seen by its connections."""

    loop: asyncio.AbstractEventLoop
    bridge: PolicyBridge
    command_parser: CommandParser
    open_request_ids: set[bytes]
    draining: bool

    def add(self, connection: ClientConnection) -> None:
        """Admit or refuse a new connection."""

    def discard(self, connection: ClientConnection) -> None:
        """Forget a connection that is closed."""

    def watch_for_disconnect(self, connection: ClientConnection) -> None:
        """Poll a connection that is not read, since nothing else would report its disconnect."""

    def unwatch(self, connection: ClientConnection) -> None:
        """Stop polling a connection, which is read again."""


class ClientConnection(asyncio.Protocol):
    """One client connection. The event loop calls the methods of `asyncio.Protocol`."""

    __slots__ = (
        "command_errors",
        "discarded_bytes",
        "half_closed_at",
        "has_sent_command",
        "last_activity",
        "owner",
        "parser",
        "partial_command_since",
        "pending",
        "processing",
        "reading_paused",
        "state",
        "transport",
        "write_buffer_full",
    )

    def __init__(self, owner: ConnectionOwner) -> None:
        self.owner = owner
        self.parser = resp.Parser()
        self.transport: asyncio.Transport | None = None
        self.state = ConnectionState.OPEN
        self.pending: deque[PendingReply] = deque()
        # Flow control, apart from the state.
        self.processing = Processing.NONE
        self.write_buffer_full = False  # the client does not read its replies
        self.reading_paused = False
        # What the timeouts and limits go by. Times are the loop's.
        self.has_sent_command = False
        self.last_activity = 0.0
        self.partial_command_since: float | None = None
        self.half_closed_at: float | None = None
        self.command_errors = 0
        self.discarded_bytes = 0

    # --- events of the transport -------------------------------------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set up a new connection."""
        self.transport = transport  # type: ignore[assignment]  # a TCP transport reads and writes
        assert self.transport is not None
        self.transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
        self.last_activity = self.owner.loop.time()
        self.owner.add(self)

    def data_received(self, data: bytes) -> None:
        """Process what the client sent, or discard it if the connection is closing."""
        if self.state is not ConnectionState.OPEN:
            self._discard_input(len(data))
            return
        self.last_activity = self.owner.loop.time()
        self.parser.feed(data)
        if self.processing is Processing.SCHEDULED:
            self._update_reading()
        else:
            self.process_commands()

    def eof_received(self) -> None:
        """Treat the end of the client's stream as a disconnect.

        The transport closes by itself once the written replies have left, which may never happen.
        """
        self.cancel_requests()

    def connection_lost(self, exc: Exception | None) -> None:  # noqa: ARG002  # the signature of asyncio.Protocol
        """Forget the closed connection."""
        self.transport = None
        self.owner.discard(self)
        self.cancel_requests()
        self.state = ConnectionState.CLOSED

    def pause_writing(self) -> None:
        """Stop processing commands: the client does not read its replies."""
        self.write_buffer_full = True
        self._update_reading()

    def resume_writing(self) -> None:
        """Go on processing commands: the client has read its replies."""
        self.write_buffer_full = False
        self.last_activity = self.owner.loop.time()
        self._update_reading()
        self._schedule_processing()

    # --- commands ----------------------------------------------------------------------------------------

    def process_commands(self) -> None:
        """Process buffered commands, as many as flow control and the limit of one iteration allow."""
        if self.processing is Processing.RUNNING:
            return
        self.processing = Processing.RUNNING
        commands_left = MAX_COMMANDS_PER_ITERATION
        try:
            while commands_left and self._can_process():
                message = self.parser.next_message()
                if message is resp.NEED_DATA:
                    break
                commands_left -= 1
                self.has_sent_command, self.partial_command_since = True, None
                self._process_command(message)
        except resp.ProtocolError as error:
            self.close_with_error(error)
        finally:
            self.processing = Processing.NONE
        if self.state is ConnectionState.OPEN and self.parser.buffered_bytes():
            if not commands_left:
                self._schedule_processing()
            elif self.partial_command_since is None:
                self.partial_command_since = self.owner.loop.time()
        self.flush()

    def _can_process(self) -> bool:
        return (
            self.state is ConnectionState.OPEN
            and not self.write_buffer_full
            and len(self.pending) < MAX_PENDING_REPLIES
        )

    def _schedule_processing(self) -> None:
        """Process the commands left in the buffer in the loop's next iteration."""
        if self.processing is not Processing.SCHEDULED:
            self.processing = Processing.SCHEDULED
            self.owner.loop.call_soon(self.process_commands)

    def _process_command(self, message: resp.Message) -> None:
        """Process one command. An invalid one gets an error; only what breaks RESP raises `ProtocolError`."""
        if not is_command(message):
            raise resp.ProtocolError("expected an array of bulk strings")
        pending = PendingReply(self.owner.open_request_ids, self.flush)
        self.pending.append(pending)
        try:
            self._execute(pending, message)
        except CommandError as error:
            pending.reply = resp.encode_error(str(error))
            self.command_errors += 1
            if self.command_errors >= MAX_COMMAND_ERRORS:
                self._begin_closing(ConnectionState.CLOSING_AFTER_ERROR)
        except Exception:
            # A defect must not end the connection, and with it the other requests on it.
            log_event(log, logging.ERROR, "command_failed", exc_info=True)
            pending.reply = pending.reply or resp.FAILED

    def _execute(self, pending: PendingReply, words: list[bytes]) -> None:
        """Start a request, or answer any other command at once."""
        verb = words[0].upper()
        if verb in REQUEST_VERBS:
            self._start_request(pending, words)
            return
        pending.reply = answer_connection_command(verb, words)
        if verb == QUIT_VERB:
            self._begin_closing(ConnectionState.CLOSING)

    def _start_request(self, pending: PendingReply, words: list[bytes]) -> None:
        """Hand a request to the bridge, which may answer it before this returns."""
        command = self.owner.command_parser.parse(words)
        if command.request_id in self.owner.open_request_ids:
            # Servers tell requests apart by their ids: two at once could get each other's result.
            raise CommandError("this request id is in use")
        pending.reserve_request_id(command.request_id)
        try:
            request = self.owner.bridge.accept_request(command, pending.fill)
        except Exception:
            pending.release_request_id()
            raise
        if pending.reply is None:
            pending.request = request

    def cancel_requests(self) -> None:
        """Cancel the requests in flight: the client has disconnected."""
        self._begin_closing(ConnectionState.CLOSING)
        abandoned, self.pending = self.pending, deque()
        for pending in abandoned:
            pending.release_request_id()
            request, pending.request = pending.request, None
            if request is not None:
                self.owner.bridge.cancel_request(request)

    # --- replies and flow control ------------------------------------------------------------------------

    def flush(self) -> None:
        """Write the replies that are next in order; then close, process more commands or adapt reading.

        Without effect while commands are processed: their replies are written together afterwards.
        """
        if self.transport is None or self.processing is Processing.RUNNING:
            return
        ready: list[bytes] = []
        while self.pending and self.pending[0].reply is not None:
            ready.append(self.pending.popleft().reply or b"")
        if ready:
            self.last_activity = self.owner.loop.time()
            self.transport.write(b"".join(ready))
        if self.owner.draining and self.has_sent_command and self.is_idle():
            self.close_if_nothing_unread()
        if self.state is not ConnectionState.OPEN and not self.pending:
            self._half_close()
            return
        if ready and self.parser.buffered_bytes() and self._may_continue():
            self._schedule_processing()
        self._update_reading()

    def _may_continue(self) -> bool:
        return self.state is ConnectionState.OPEN and not self.write_buffer_full

    def _update_reading(self) -> None:
        """Pause or resume reading the socket.

        Reading pauses only once `READ_BUFFER_BYTES` are buffered: a client's disconnect shows only behind
        what it has sent before.
        """
        blocked = (
            self.processing is Processing.SCHEDULED
            or self.write_buffer_full
            or len(self.pending) >= MAX_PENDING_REPLIES
        )
        buffer_full = self.parser.buffered_bytes() >= READ_BUFFER_BYTES
        pause = blocked and self.state is ConnectionState.OPEN and buffer_full
        if self.transport is None or self.transport.is_closing() or pause == self.reading_paused:
            return
        self.reading_paused = pause
        if pause:
            self.transport.pause_reading()
            self.owner.watch_for_disconnect(self)
        else:
            self.transport.resume_reading()
            self.owner.unwatch(self)

    # --- the end of the connection -----------------------------------------------------------------------

    def is_idle(self) -> bool:
        """Tell whether the connection is between requests."""
        return not self.pending and self.state is ConnectionState.OPEN and not self.parser.buffered_bytes()

    def close_if_nothing_unread(self) -> None:
        """Close unless unread data may hold a request, which the client would have to retry."""
        if self.transport is not None and not has_unread_bytes(self.transport):
            self._begin_closing(ConnectionState.CLOSING)
            self._half_close()

    def close_with_error(self, error: resp.ProtocolError) -> None:
        """Send an error after the pending replies, and close."""
        pending = PendingReply(self.owner.open_request_ids, self.flush)
        pending.reply = resp.encode_error(f"Protocol error: {error}")
        self.pending.append(pending)
        self._begin_closing(ConnectionState.CLOSING_AFTER_ERROR)
        self.flush()

    def close_if_timed_out(self, now: float, idle_timeout_s: float) -> None:
        """Close the connection if a timeout has passed: a client that has vanished sends nothing."""
        if self.transport is None:
            return
        inactive_s = now - self.last_activity
        if self.half_closed_at is not None:
            timeout_s = UNREAD_REPLIES_TIMEOUT_S if self.write_buffer_full else LINGER_TIMEOUT_S
            if now - self.half_closed_at > timeout_s:
                self.transport.abort()
        elif self.write_buffer_full:
            if inactive_s > UNREAD_REPLIES_TIMEOUT_S:
                self.transport.abort()
        elif self.pending or self.state is not ConnectionState.OPEN:
            return
        elif self._partial_command_timed_out(now):
            self.close_with_error(resp.ProtocolError("the end of a command did not come"))
        elif self.is_idle():
            timeout_s = idle_timeout_s if self.has_sent_command else FIRST_COMMAND_TIMEOUT_S
            if inactive_s > timeout_s:
                self.close_if_nothing_unread()

    def _partial_command_timed_out(self, now: float) -> bool:
        since = self.partial_command_since
        return since is not None and now - since > PARTIAL_COMMAND_TIMEOUT_S

    def _begin_closing(self, state: ConnectionState) -> None:
        """Stop processing commands; without effect on a connection that is closing already."""
        if self.state is ConnectionState.OPEN:
            self.state = state

    def _half_close(self) -> None:
        """Shut our side once all replies are written.

        To close with input unread would reset the connection, and the client could lose the error that was
        just written. After an error, the input is therefore read and discarded until the client closes.
        """
        if self.transport is None or self.state is ConnectionState.HALF_CLOSED:
            return
        after_error = self.state is ConnectionState.CLOSING_AFTER_ERROR
        self.state = ConnectionState.HALF_CLOSED
        self.half_closed_at = self.owner.loop.time()
        self.parser = resp.Parser()
        if after_error and not self.write_buffer_full:
            self._update_reading()
            self.transport.write_eof()
        else:
            self.transport.close()

    def _discard_input(self, count: int) -> None:
        """Count input that nobody processes; beyond the limit, abort the connection."""
        self.discarded_bytes += count
        too_much = self.discarded_bytes > MAX_DISCARDED_BYTES
        if too_much and not self.pending and self.transport is not None:
            self.transport.abort()
