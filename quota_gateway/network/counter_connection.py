"""One connection to the shared counter: pipelined calls, heartbeats, reconnection.

Replies arrive in the order of the calls, so each reply completes the oldest pending call. A call that was
written and has no reply may have been counted: it completes as a timeout and is never retried.
"""

from __future__ import annotations

import asyncio
import re
from collections import deque
from collections.abc import Callable
from enum import Enum

from quota_gateway.network import resp
from quota_gateway.network.address import Address
from quota_gateway.policy_api.events import CallOutcome

CONNECT_TIMEOUT_S = 0.5
# The idle timeout of the counter is about 10 s or less.
HEARTBEAT_INTERVAL_S = 3.0
HEARTBEAT_CHECK_INTERVAL_S = 0.5
SILENCE_TIMEOUT_S = 1.5  # a peer that takes longer to reply counts as lost; the gateway reconnects
MIN_RECONNECT_DELAY_S = 0.05
MAX_RECONNECT_DELAY_S = 1.0

# Totals beyond this are rejected as malformed. The protocol specification limits a single amount to 1e9.
MAX_PLAUSIBLE_TOTAL = 1e12
_TOTAL_PATTERN = re.compile(rb"-?[0-9]{1,15}(\.[0-9]{1,15})?(e[+-]?[0-9]{1,2})?")

# Receives the total of the key, the outcome of the call, and its duration in milliseconds; called once.
CompletionCallback = Callable[[float, CallOutcome, float], None]


class ConnectionState(Enum):
    """The lifecycle of a connection.

    CONNECTING and READY alternate while the connection is in use, since a lost connection is opened again.
    A connection that is DRAINING or CLOSED is never opened again.
    """

    CONNECTING = "connecting"  # an attempt to connect is under way or scheduled
    READY = "ready"  # calls can be written
    DRAINING = "draining"  # no new calls; closes after the reply to the last pending call
    CLOSED = "closed"


_STATES_WITHOUT_RECONNECT = (ConnectionState.DRAINING, ConnectionState.CLOSED)


class PendingCall:
    """A call that waits for its reply. `key` is None for a heartbeat, which has no caller."""

    __slots__ = ("_on_complete", "key", "sent_at", "timeout_timer")

    def __init__(
        self, sent_at: float, key: int | None = None, on_complete: CompletionCallback | None = None
    ) -> None:
        self.key = key
        self.sent_at = sent_at
        self.timeout_timer: asyncio.TimerHandle | None = None
        self._on_complete = on_complete

    def complete(self, now: float, outcome: CallOutcome, total: float = 0.0) -> None:
        """Cancel the timeout and report the outcome, unless an outcome was reported before."""
        on_complete, self._on_complete = self._on_complete, None
        if self.timeout_timer is not None:
            self.timeout_timer.cancel()
            self.timeout_timer = None
        if on_complete is not None:
            on_complete(total, outcome, 1000.0 * (now - self.sent_at))


class CounterConnection(asyncio.Protocol):
    """A connection that opens itself and reconnects after each loss, until it is drained or closed."""

    def __init__(self, loop: asyncio.AbstractEventLoop, address: Address) -> None:
        self.state = ConnectionState.CONNECTING
        # Calls in the order they were written. A call that has timed out stays until its reply arrives, so
        # that later replies still match their calls.
        self.pending_calls: deque[PendingCall] = deque()
        self.reconnect_delay_s = MIN_RECONNECT_DELAY_S  # 0 after a reply: the next reconnect is immediate
        self._loop = loop
        self._address = address
        self._transport: asyncio.Transport | None = None
        self._parser = resp.Parser()
        self._last_written_at = 0.0
        self._connect_task: asyncio.Task[None] | None = None
        self._reconnect_handle: asyncio.Handle | None = None  # the scheduled attempt to connect, if any
        self._heartbeat_timer = loop.call_later(HEARTBEAT_INTERVAL_S, self._check_heartbeat)
        self._start_connecting()

    # --- calls -------------------------------------------------------------------------------------------

    def is_ready(self) -> bool:
        """Return whether a call can be written."""
        transport = self._transport
        return self.state is ConnectionState.READY and transport is not None and not transport.is_closing()

    def send(self, command: bytes, call: PendingCall) -> None:
        """Write a call, which its reply will complete; allowed only while `is_ready()` is true."""
        self._last_written_at = call.sent_at
        self._write(command, call)

    def time_out(self, call: PendingCall) -> None:
        """Complete a call whose reply has not arrived in time.

        The reply may still arrive later. If an incomplete reply is buffered, its rest may never arrive and it
        would block all later replies, so the connection is aborted and opened again.
        """
        call.complete(self._loop.time(), CallOutcome.TIMEOUT)
        if self._parser.buffered_bytes():
            self._abort()

    def abandon_calls(self, key: int) -> None:
        """Complete the pending calls for a key as timed out, since the next call uses another connection."""
        for call in self.pending_calls:
            if call.key == key:
                call.complete(self._loop.time(), CallOutcome.TIMEOUT)

    # --- end of the connection ---------------------------------------------------------------------------

    def drain(self) -> None:
        """Accept no new calls; close after the replies to the pending calls, or if the peer falls silent."""
        self.state = ConnectionState.DRAINING
        if not self.pending_calls:
            self.close()

    def close(self) -> None:
        """Close the connection permanently."""
        self.state = ConnectionState.CLOSED
        self._heartbeat_timer.cancel()
        if self._connect_task is not None:
            self._connect_task.cancel()
        self._abort()

    def _abort(self) -> None:
        if self._transport is not None:
            self._transport.abort()

    # --- connecting --------------------------------------------------------------------------------------

    def reconnect(self) -> None:
        """Schedule an attempt to connect, unless one is already scheduled.

        The attempt follows at once if the last connection has received a reply, otherwise after exponential
        backoff.

        An attempt that times out just as the connection is made is reported twice: as a lost connection and
        as a failed attempt. If both scheduled an attempt, there would be two connections, and their replies
        would be mixed up.
        """
        if self._reconnect_handle is not None:
            return
        delay_s = self.reconnect_delay_s
        if not delay_s:
            self.reconnect_delay_s = MIN_RECONNECT_DELAY_S
            self._reconnect_handle = self._loop.call_soon(self._start_connecting)
            return
        self.reconnect_delay_s = min(MAX_RECONNECT_DELAY_S, 2.0 * delay_s)
        self._reconnect_handle = self._loop.call_later(delay_s, self._start_connecting)

    def _start_connecting(self) -> None:
        self._reconnect_handle = None
        if self.state not in _STATES_WITHOUT_RECONNECT:
            self._connect_task = self._loop.create_task(self._connect())

    async def _connect(self) -> None:
        connection_attempt = self._loop.create_connection(lambda: self, *self._address)
        try:
            await asyncio.wait_for(connection_attempt, CONNECT_TIMEOUT_S)
        except (OSError, TimeoutError):
            if self._transport is not None:
                # The connection was made as the attempt timed out; uvloop closes it without a call of
                # `connection_lost`.
                self.connection_lost(None)
            else:
                self.reconnect()

    # --- asyncio.Protocol --------------------------------------------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and send a heartbeat; abort if drained or closed in the meantime."""
        self._transport = transport  # type: ignore[assignment]  # always an asyncio.Transport
        if self.state in _STATES_WITHOUT_RECONNECT:
            self._abort()
            return
        self.state = ConnectionState.READY
        self._parser = resp.Parser()
        self._send_heartbeat(self._loop.time())

    def data_received(self, data: bytes) -> None:
        """Complete pending calls with the received replies; a malformed reply ends the connection."""
        try:
            self._parser.feed(data)
            while (reply := self._parser.next_message()) is not resp.NEED_DATA:
                self._handle_reply(reply)
        except resp.ProtocolError:
            self._abort()  # replies no longer match the calls
        if self.state is ConnectionState.DRAINING and not self.pending_calls:
            self.close()

    def connection_lost(self, exc: Exception | None) -> None:  # noqa: ARG002  # asyncio.Protocol sets the signature
        """Complete the pending calls as timed out, since they may have been counted.

        The connection is opened again unless it was drained or closed.
        """
        self._transport = None
        calls, self.pending_calls = self.pending_calls, deque()
        if self.state in _STATES_WITHOUT_RECONNECT:
            self.state = ConnectionState.CLOSED
            self._heartbeat_timer.cancel()
        else:
            self.state = ConnectionState.CONNECTING
            self.reconnect()
        for call in calls:
            call.complete(self._loop.time(), CallOutcome.TIMEOUT)

    def _handle_reply(self, reply: object) -> None:
        """Complete the oldest pending call; raises `resp.ProtocolError` if the reply is not valid for it.

        Only the replies that the protocol defines tell the outcome of a call. After any other reply the
        amount may have been added, and the connection can't be used any longer.
        """
        if not self.pending_calls:
            raise resp.ProtocolError("the counter sent a reply without a pending call")
        outcome, total = _classify_reply(reply, is_heartbeat=self.pending_calls[0].key is None)
        self.reconnect_delay_s = 0.0
        self.pending_calls.popleft().complete(self._loop.time(), outcome, total)

    # --- heartbeat ---------------------------------------------------------------------------------------

    def _check_heartbeat(self) -> None:
        """Send a heartbeat before the counter closes the connection as idle; abort if the peer is silent."""
        self._heartbeat_timer = self._loop.call_later(HEARTBEAT_CHECK_INTERVAL_S, self._check_heartbeat)
        if self._transport is None:
            return
        now = self._loop.time()
        if self.pending_calls:
            if now - self.pending_calls[0].sent_at > SILENCE_TIMEOUT_S:
                self._abort()
        elif now - self._last_written_at > HEARTBEAT_INTERVAL_S:
            self._last_written_at = now
            self._send_heartbeat(now)

    def _send_heartbeat(self, now: float) -> None:
        self._write(resp.encode_command(b"PING"), PendingCall(now))

    def _write(self, command: bytes, call: PendingCall) -> None:
        assert self._transport is not None
        self.pending_calls.append(call)
        self._transport.write(command)


def _classify_reply(reply: object, is_heartbeat: bool) -> tuple[CallOutcome, float]:
    """Return the outcome of a call and the total of its key; raises `resp.ProtocolError`.

    The total is 0 for a heartbeat and for a rejected call.
    """
    if is_heartbeat:
        if reply != "PONG":
            raise resp.ProtocolError(f"expected PONG in reply to a heartbeat, got {reply!r}")
        return CallOutcome.OK, 0.0
    if (
        isinstance(reply, bytes)
        and _TOTAL_PATTERN.fullmatch(reply)
        and abs(float(reply)) <= MAX_PLAUSIBLE_TOTAL
    ):
        return CallOutcome.OK, float(reply)
    if isinstance(reply, resp.ReplyError) and (str(reply) == "BUSY" or str(reply)[:4] == "ERR "):
        return CallOutcome.REJECTED, 0.0
    raise resp.ProtocolError(f"expected a total, BUSY or ERR in reply to an increment, got {reply!r}")
