"""A client's connection: parses commands and sends the replies in the order of the commands.

The states of a connection:

    OPEN -> CLOSING or CLOSING_AFTER_ERROR -> HALF_CLOSED -> CLOSED

Limits bound what one client can occupy: bytes of a message, pending replies, unread replies, time without a
command, and commands processed in one iteration of the event loop.
"""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from enum import Enum, auto
from typing import Protocol

from quota_gateway.network import resp
from quota_gateway.network.bridge import PolicyBridge
from quota_gateway.network.client_memory import SMALL_BYTES, ClientMemory
from quota_gateway.network.command_scheduler import MAX_COMMANDS_PER_TURN, CommandScheduler
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
from quota_gateway.network.socket_poll import has_unread_bytes, peer_closed

log = logging.getLogger("quota_gateway")

MAX_COMMAND_DEPTH = 1  # a command is one array; one that holds an array is refused at its header
MAX_PENDING_REPLIES = 64  # limit per connection; further commands stay in the buffer
MAX_COMMAND_ERRORS = 8  # then the connection closes: invalid commands take processing time from other clients
FIRST_COMMAND_TIMEOUT_S = 2.0  # time that a new connection may stay silent
PARTIAL_COMMAND_TIMEOUT_S = 2.0  # time between the beginning and the end of a command
UNREAD_REPLIES_TIMEOUT_S = 30.0  # time for which a client may leave its replies unread
SCARCE_UNREAD_REPLIES_TIMEOUT_S = 2.0  # the same while the memory for clients is scarce
LINGER_TIMEOUT_S = 0.5  # time for the client to read an error and close; its input is discarded
MAX_DISCARDED_BYTES = 4 * 1024 * 1024  # limit on discarded input, beyond which the connection is aborted
WRITE_BUFFER_BYTES = 256 * 1024  # unread replies beyond this size stop the processing of commands
# Buffered bytes at which reading pauses while commands can't be processed, without memory to read ahead.
READ_BUFFER_BYTES = 64 * 1024
MAX_READY_BYTES = 64 * 1024  # replies that are ready, beyond which commands wait while the memory is scarce
# Time for which a client counts as connected after reading has paused before data that hides its disconnect.
UNKNOWN_DISCONNECT_S = 0.05


class ConnectionState(Enum):
    """The state of a client connection."""

    OPEN = auto()  # commands are processed
    CLOSING = auto()  # commands are no longer processed; pending replies are still sent
    CLOSING_AFTER_ERROR = auto()  # no more commands; the client gets time to read the final error
    HALF_CLOSED = auto()  # replies are written; closing, or after an error waiting for the client to close
    CLOSED = auto()  # the transport is closed


class Processing(Enum):
    """The processing state of the buffered commands."""

    NONE = auto()
    SCHEDULED = auto()  # the buffered commands wait for the connection's turn
    RUNNING = auto()


class ConnectionOwner(Protocol):
    """The part of the listener's interface that its connections use."""

    loop: asyncio.AbstractEventLoop
    bridge: PolicyBridge
    command_parser: CommandParser
    command_scheduler: CommandScheduler
    client_memory: ClientMemory
    read_buffer: memoryview
    draining: bool

    def add(self, connection: ClientConnection) -> None:
        """Accept or refuse a new connection."""

    def discard(self, connection: ClientConnection) -> None:
        """Remove a connection that is closed."""

    def first_command_received(self, connection: ClientConnection) -> None:
        """Record that a connection is no longer one without a command."""

    def half_closed(self, connection: ClientConnection) -> None:
        """Record that a connection only waits for the client to receive the last replies and close."""

    def start_disconnect_poll(self, connection: ClientConnection) -> None:
        """Poll a connection whose reading is paused: the event loop does not report its disconnect."""

    def stop_disconnect_poll(self, connection: ClientConnection) -> None:
        """Stop polling a connection whose reading is resumed."""


class ClientConnection(asyncio.BufferedProtocol):
    """One client connection. The event loop calls the methods of `asyncio.BufferedProtocol`.

    The event loop would otherwise read up to 256 KB at once, however little of it can be processed.
    """

    __slots__ = (
        "buffered_bytes",
        "command_errors",
        "discarded_bytes",
        "half_closed_at",
        "has_sent_command",
        "last_activity",
        "last_output_bytes",
        "output_bytes",
        "owner",
        "parser",
        "partial_command_since",
        "paused_at",
        "pending_replies",
        "processing",
        "reading_paused",
        "ready_bytes",
        "state",
        "transport",
        "write_buffer_full",
    )

    def __init__(self, owner: ConnectionOwner) -> None:
        self.owner = owner
        self.parser = resp.Parser(max_depth=MAX_COMMAND_DEPTH)
        self.transport: asyncio.Transport | None = None
        self.state = ConnectionState.OPEN
        self.pending_replies: deque[PendingReply] = deque()
        # Flow control, independent of `state`.
        self.processing = Processing.NONE
        self.write_buffer_full = False  # set while the client does not read its replies
        self.reading_paused = False
        self.paused_at = 0.0  # event loop time of the last pause
        self.ready_bytes = 0  # replies that are ready and wait for those before them
        self.buffered_bytes = 0  # bytes of input that `client_memory` counts
        self.last_output_bytes = 0  # bytes of the last write; the transport keeps them until all are sent
        self.output_bytes = 0  # bytes of replies that `client_memory` counts
        # State of the timeouts (in event loop time) and of the limits.
        self.has_sent_command = False
        self.last_activity = 0.0
        self.partial_command_since: float | None = None  # None unless the parser waits for a command's end
        self.half_closed_at: float | None = None
        self.command_errors = 0
        self.discarded_bytes = 0

    # --- events of the transport -------------------------------------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set up a new connection."""
        self.transport = transport  # type: ignore[assignment]  # always an asyncio.Transport
        assert self.transport is not None
        self.transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
        self.last_activity = self.owner.loop.time()
        self.owner.add(self)

    def get_buffer(self, sizehint: int) -> memoryview:  # noqa: ARG002  # asyncio.BufferedProtocol sets the signature
        """Return the buffer to read into, which all connections share: its content is copied at once."""
        return self.owner.read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Process what has been read into the buffer."""
        self.data_received(bytes(self.owner.read_buffer[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Process what the client sent, or discard it if the connection is closing."""
        if self.state is not ConnectionState.OPEN:
            self._discard_input(len(data))
            return
        self.last_activity = self.owner.loop.time()
        self.parser.feed(data)
        self._count_buffered_bytes()
        if self.processing is Processing.SCHEDULED:
            self.update_reading()
        elif not self.owner.command_scheduler.process(self):
            self._schedule_processing()
            self.update_reading()

    def eof_received(self) -> None:
        """Treat the end of the client's stream as a disconnect and cancel its requests.

        The transport closes only once the written replies are sent. That may never happen if the client does
        not read them, so the cancellation must not wait for it.
        """
        self.cancel_requests()

    def connection_lost(self, exc: Exception | None) -> None:  # noqa: ARG002  # asyncio.BaseProtocol sets the signature
        """Leave the listener and cancel the requests of the closed connection."""
        self.transport = None
        self.owner.discard(self)
        self.cancel_requests()
        self.state = ConnectionState.CLOSED

    def pause_writing(self) -> None:
        """Stop processing commands: the client does not read its replies."""
        self.write_buffer_full = True
        self.update_reading()

    def resume_writing(self) -> None:
        """Resume processing commands: the client has read its replies."""
        self.write_buffer_full = False
        self._count_output()
        self.last_activity = self.owner.loop.time()
        self.update_reading()
        self._schedule_processing()

    # --- commands ----------------------------------------------------------------------------------------

    def process_commands(self, max_commands: int = MAX_COMMANDS_PER_TURN) -> None:
        """Process as many buffered commands as flow control and `max_commands` allow."""
        if self.processing is Processing.RUNNING:
            return
        self.processing = Processing.RUNNING
        remaining_commands = max_commands
        parser_needs_data = False
        try:
            while remaining_commands and self._can_process():
                message = self.parser.next_message()
                if message is resp.NEED_DATA:
                    parser_needs_data = True
                    break
                remaining_commands -= 1
                if not self.has_sent_command:
                    self.has_sent_command = True
                    self.owner.first_command_received(self)
                self.partial_command_since = None
                self._process_command(message)
        except resp.ProtocolError as error:
            self.close_with_error(error)
        finally:
            self.processing = Processing.NONE
        self._count_buffered_bytes()
        self._update_partial_command(parser_needs_data)
        if parser_needs_data and self._holds_too_much_input():
            self.close_with_error(resp.ProtocolError("no memory for the rest of the command"))
        if not remaining_commands and self.state is ConnectionState.OPEN and self.parser.buffered_bytes():
            self._schedule_processing()
        self.flush()

    def _update_partial_command(self, parser_needs_data: bool) -> None:
        """Start or stop the timeout of a partial command.

        Only the parser can tell that a command is partial. Bytes that it has not been asked about wait for
        flow control and may be whole commands.
        """
        if not parser_needs_data or not self.parser.buffered_bytes():
            self.partial_command_since = None
        elif self.partial_command_since is None:
            self.partial_command_since = self.owner.loop.time()

    def _holds_too_much_input(self) -> bool:
        """Return whether a partial command is too long to be held while the memory is exhausted."""
        return self.buffered_bytes > SMALL_BYTES and self.owner.client_memory.is_exhausted

    def _can_process(self) -> bool:
        """Return whether state and flow control allow another command to be processed."""
        return self.state is ConnectionState.OPEN and not self._replies_are_held_up()

    def _replies_are_held_up(self) -> bool:
        """Return whether too many replies wait to be written or read for more commands to be processed."""
        too_many_bytes = self.ready_bytes >= MAX_READY_BYTES and self.owner.client_memory.is_scarce
        return self.write_buffer_full or len(self.pending_replies) >= MAX_PENDING_REPLIES or too_many_bytes

    def _schedule_processing(self) -> None:
        """Process the buffered commands when the connection has its turn."""
        if self.processing is not Processing.SCHEDULED:
            self.processing = Processing.SCHEDULED
            self.owner.command_scheduler.schedule(self)

    def _process_command(self, message: resp.Message) -> None:
        """Process one command; an invalid command gets an error reply.

        Raises `ProtocolError` for a message that is not a command at all.
        """
        if not is_command(message):
            raise resp.ProtocolError("expected an array of bulk strings")
        pending = PendingReply(self._on_reply)
        self.pending_replies.append(pending)
        try:
            self._execute(pending, message)
        except CommandError as error:
            pending.fill(resp.encode_error(str(error)))
            self.command_errors += 1
            if self.command_errors >= MAX_COMMAND_ERRORS:
                self._begin_closing(ConnectionState.CLOSING_AFTER_ERROR)
        except Exception:
            # An internal error must not close the connection, which may carry other requests.
            log_event(log, logging.ERROR, "command_failed", exc_info=True)
            if pending.reply is None:
                pending.fill(resp.FAILED)

    def _execute(self, pending: PendingReply, words: list[bytes]) -> None:
        """Start a request, or reply to any other command at once."""
        verb = words[0].upper()
        if verb in REQUEST_VERBS:
            self._start_request(pending, words)
            return
        pending.fill(answer_connection_command(verb, words))
        if verb == QUIT_VERB:
            self._begin_closing(ConnectionState.CLOSING)

    def _start_request(self, pending: PendingReply, words: list[bytes]) -> None:
        """Hand a request to the bridge, which may answer it within the call."""
        command = self.owner.command_parser.parse(words)
        request = self.owner.bridge.accept_request(command, pending.fill, self.client_connected)
        if pending.reply is None:
            pending.request = request

    def client_connected(self) -> bool:
        """Return whether the client has neither closed the connection nor ended its stream.

        The kernel does not report a disconnect while data before it does not fit into the receive buffer.
        Once reading has been paused before unread data for a while, the client therefore counts as
        disconnected.
        """
        transport = self.transport
        if transport is None or transport.is_closing() or peer_closed(transport):
            return False
        paused_s = self.owner.loop.time() - self.paused_at
        may_hide_disconnect = self.reading_paused and paused_s > UNKNOWN_DISCONNECT_S
        return not (may_hide_disconnect and has_unread_bytes(transport))

    def cancel_requests(self) -> None:
        """Cancel the requests in flight and drop the pending replies, after the client has disconnected."""
        self._begin_closing(ConnectionState.CLOSING)
        abandoned, self.pending_replies = self.pending_replies, deque()
        self.ready_bytes = 0
        self._count_output()
        for pending in abandoned:
            request, pending.request = pending.request, None
            if request is not None:
                self.owner.bridge.cancel_request(request)

    # --- replies and flow control ------------------------------------------------------------------------

    def _on_reply(self, pending: PendingReply) -> None:
        """Hold a reply that has become known until it can be written.

        A long reply that has to wait is replaced by a failure if the memory for clients is exhausted.
        """
        assert pending.reply is not None
        is_next = bool(self.pending_replies) and pending is self.pending_replies[0]
        has_to_wait = self.output_bytes > 0 or not is_next
        is_long = len(pending.reply) > SMALL_BYTES
        if is_long and has_to_wait and self.owner.client_memory.is_exhausted:
            pending.reply = resp.FAILED
        self.ready_bytes += len(pending.reply)
        self._count_output()
        self.flush()

    def flush(self) -> None:
        """Write the replies that are next in order, then close, process more commands or update reading.

        Does nothing while commands are being processed: `process_commands` flushes their replies together
        at its end.
        """
        if self.transport is None or self.processing is Processing.RUNNING:
            return
        ready_replies: list[bytes] = []
        while self.pending_replies and self.pending_replies[0].reply is not None:
            ready_replies.append(self.pending_replies.popleft().reply or b"")
        if ready_replies:
            self.last_activity = self.owner.loop.time()
            output = b"".join(ready_replies)
            self.ready_bytes -= len(output)
            self.last_output_bytes = len(output)
            self.transport.write(output)
            self._count_output()
        if self.owner.draining and self.has_sent_command and self.is_idle():
            self.close_if_nothing_unread()
        if self.state is not ConnectionState.OPEN and not self.pending_replies:
            self._half_close()
            return
        if ready_replies and self.parser.buffered_bytes() and self._can_process():
            self._schedule_processing()
        self.update_reading()

    def update_reading(self) -> None:
        """Pause or resume reading the socket.

        Even while no command can be processed, reading pauses only once a limit of bytes is buffered: the end
        of the client's stream is only seen after the bytes sent before it have been read.
        """
        processing_blocked = self.processing is Processing.SCHEDULED or self._replies_are_held_up()
        buffer_full = self.parser.buffered_bytes() >= self._buffer_limit()
        pause = processing_blocked and self.state is ConnectionState.OPEN and buffer_full
        if self.transport is None or self.transport.is_closing() or pause == self.reading_paused:
            return
        self.reading_paused = pause
        if pause:
            self.paused_at = self.owner.loop.time()
            self.transport.pause_reading()
            self.owner.start_disconnect_poll(self)
        else:
            self.transport.resume_reading()
            self.owner.stop_disconnect_poll(self)

    def _buffer_limit(self) -> int:
        """Return the buffered bytes at which reading pauses while commands can't be processed.

        A client that does not read its replies needs no reading ahead: the kernel reports its disconnect at
        once, as a reset.
        """
        memory = self.owner.client_memory
        if memory.is_exhausted:
            return SMALL_BYTES
        if self.write_buffer_full or memory.is_scarce:
            return READ_BUFFER_BYTES
        return max(READ_BUFFER_BYTES, memory.read_ahead_bytes)

    def _count_output(self) -> None:
        """Have `client_memory` count the replies that are held now, ready or written and not yet sent."""
        unsent_bytes = self.transport.get_write_buffer_size() if self.transport is not None else 0
        held_by_transport = unsent_bytes + self.last_output_bytes if unsent_bytes else 0
        output_bytes = self.ready_bytes + held_by_transport
        self.owner.client_memory.add(output_bytes - self.output_bytes)
        self.output_bytes = output_bytes

    def _count_buffered_bytes(self) -> None:
        """Have `client_memory` count the input that is buffered now."""
        buffered_bytes = self.parser.buffered_bytes()
        self.owner.client_memory.add(buffered_bytes - self.buffered_bytes)
        self.buffered_bytes = buffered_bytes

    def _discard_buffer(self) -> None:
        """Drop the buffered input, none of which will be processed."""
        self.parser = resp.Parser(max_depth=MAX_COMMAND_DEPTH)
        self._count_buffered_bytes()

    # --- closing the connection --------------------------------------------------------------------------

    def is_idle(self) -> bool:
        """Return whether the connection is open and between requests."""
        return (
            not self.pending_replies
            and self.state is ConnectionState.OPEN
            and not self.parser.buffered_bytes()
        )

    def close_if_nothing_unread(self) -> None:
        """Close, unless unread data in the kernel may hold a request, which would be lost."""
        if self.transport is not None and not has_unread_bytes(self.transport):
            self._begin_closing(ConnectionState.CLOSING)
            self._half_close()

    def close_with_error(self, error: resp.ProtocolError) -> None:
        """Send a protocol error after the pending replies, then close."""
        pending = PendingReply(self._on_reply)
        self.pending_replies.append(pending)
        self._begin_closing(ConnectionState.CLOSING_AFTER_ERROR)
        pending.fill(resp.encode_error(f"Protocol error: {error}"))

    def close_if_timed_out(self, now: float, idle_timeout_s: float) -> None:
        """Close the connection if one of its timeouts has passed at event loop time `now`.

        A client whose host has vanished never closes its connection itself.
        """
        if self.transport is None:
            return
        self._count_output()
        inactive_s = now - self.last_activity
        is_scarce = self.owner.client_memory.is_scarce
        unread_timeout_s = SCARCE_UNREAD_REPLIES_TIMEOUT_S if is_scarce else UNREAD_REPLIES_TIMEOUT_S
        if self.half_closed_at is not None:
            timeout_s = unread_timeout_s if self.write_buffer_full else LINGER_TIMEOUT_S
            if now - self.half_closed_at > timeout_s:
                self.transport.abort()
        elif self.write_buffer_full:
            if inactive_s > unread_timeout_s:
                self.transport.abort()
        elif self.pending_replies or self.state is not ConnectionState.OPEN:
            return
        elif self._partial_command_timed_out(now) and not has_unread_bytes(self.transport):
            self.close_with_error(resp.ProtocolError("the end of a command did not come"))
        elif self.is_idle():
            timeout_s = idle_timeout_s if self.has_sent_command else FIRST_COMMAND_TIMEOUT_S
            if inactive_s > timeout_s:
                self.close_if_nothing_unread()

    def _partial_command_timed_out(self, now: float) -> bool:
        """Return whether the end of a command is overdue.

        False while received bytes are not processed: they may hold the end of the command.
        """
        begun_at = self.partial_command_since
        if begun_at is None or self.processing is not Processing.NONE:
            return False
        return now - begun_at > PARTIAL_COMMAND_TIMEOUT_S

    def _begin_closing(self, state: ConnectionState) -> None:
        """Stop processing commands and drop those that wait, unless the connection is already closing."""
        if self.state is ConnectionState.OPEN:
            self.state = state
            self._discard_buffer()

    def _half_close(self) -> None:
        """Close the connection once all replies are written; after an error, close its write side first.

        Closing a socket with unread input resets the connection, and the client could lose the error that was
        just written. After an error, input is therefore read and discarded until the client closes.
        """
        if self.transport is None or self.state is ConnectionState.HALF_CLOSED:
            return
        after_error = self.state is ConnectionState.CLOSING_AFTER_ERROR
        self.state = ConnectionState.HALF_CLOSED
        self.half_closed_at = self.owner.loop.time()
        self.owner.half_closed(self)
        if after_error and not self.write_buffer_full:
            self.update_reading()
            self.transport.write_eof()
        else:
            self.transport.close()

    def _discard_input(self, byte_count: int) -> None:
        """Count discarded input; beyond `MAX_DISCARDED_BYTES`, abort a connection without pending replies."""
        self.discarded_bytes += byte_count
        limit_exceeded = self.discarded_bytes > MAX_DISCARDED_BYTES
        if limit_exceeded and not self.pending_replies and self.transport is not None:
            self.transport.abort()
