"""One connection to the shared counter: pipelined calls, heartbeat, reconnection.

Replies come in the order of the calls, so each one completes the oldest pending call. A call that was
written and has no reply may have been counted: it completes as a timeout and is never repeated.
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
# The counter closes a connection that has been idle for about 10 s or less (PROTOCOL, the counter).
HEARTBEAT_INTERVAL_S = 3.0
HEARTBEAT_CHECK_INTERVAL_S = 0.5
SILENCE_TIMEOUT_S = 1.5  # a reply this late means a peer that vanished; the connection is opened again
MIN_RECONNECT_DELAY_S = 0.05
MAX_RECONNECT_DELAY_S = 1.0

MAX_TOTAL = 1e12  # a greater one is no count: an amount is at most 1e9 (PROTOCOL, the counter)
_TOTAL = re.compile(rb"-?[0-9]{1,15}(\.[0-9]{1,15})?(e[+-]?[0-9]{1,2})?")

# Called once with total, outcome and duration in milliseconds.
CompletionCallback = Callable[[float, CallOutcome, float], None]


class ConnectionState(Enum):
    """The lifecycle of a connection.

    CONNECTING and READY alternate for as long as the connection is used; a lost one is opened again. DRAINING
    and CLOSED are final.
    """

    CONNECTING = "connecting"  # an attempt to connect is under way or scheduled
    READY = "ready"  # calls can be written
    DRAINING = "draining"  # no new calls; closes with the reply to the last pending one
    CLOSED = "closed"


_FINAL_STATES = (ConnectionState.DRAINING, ConnectionState.CLOSED)


class PendingCall:
    """A call that was written. `key` is None for a heartbeat, which nobody waits for."""

    __slots__ = ("_on_complete", "key", "sent_at", "timeout")

    def __init__(
        self, sent_at: float, key: int | None = None, on_complete: CompletionCallback | None = None
    ) -> None:
        self.key = key
        self.sent_at = sent_at
        self.timeout: asyncio.TimerHandle | None = None
        self._on_complete = on_complete

    def complete(self, now: float, outcome: CallOutcome, total: float = 0.0) -> None:
        """Report the outcome, unless one was reported before."""
        on_complete, self._on_complete = self._on_complete, None
        if self.timeout is not None:
            self.timeout.cancel()
            self.timeout = None
        if on_complete is not None:
            on_complete(total, outcome, 1000.0 * (now - self.sent_at))


class CounterConnection(asyncio.Protocol):
    """A connection that opens itself and, until it is drained or closed, reconnects whenever it is lost."""

    def __init__(self, loop: asyncio.AbstractEventLoop, address: Address) -> None:
        self.state = ConnectionState.CONNECTING
        # In the order written. A call that has timed out stays until its reply comes, so that replies match.
        self.pending_calls: deque[PendingCall] = deque()
        self.reconnect_delay_s = MIN_RECONNECT_DELAY_S  # 0 once the connection has brought a reply
        self._loop = loop
        self._address = address
        self._transport: asyncio.Transport | None = None
        self._parser = resp.Parser()
        self._last_written_at = 0.0
        self._connect_task: asyncio.Task[None] | None = None
        self._reconnect: asyncio.Handle | None = None  # the next attempt, if one is scheduled
        self._heartbeat = loop.call_later(HEARTBEAT_INTERVAL_S, self._check_heartbeat)
        self._start_connecting()

    # --- calls -------------------------------------------------------------------------------------------

    def is_ready(self) -> bool:
        """Return whether a call can be written."""
        transport = self._transport
        return self.state is ConnectionState.READY and transport is not None and not transport.is_closing()

    def send(self, command: bytes, call: PendingCall) -> None:
        """Write a call, while `is_ready`; its reply completes it."""
        self._last_written_at = call.sent_at
        self._write(command, call)

    def time_out(self, call: PendingCall) -> None:
        """Complete a call that has no reply in time.

        Its reply may still come, unless one that is incomplete and may never end stands before it: then the
        connection is opened again.
        """
        call.complete(self._loop.time(), CallOutcome.TIMEOUT)
        if self._parser.buffered_bytes():
            self._abort()

    def abandon_calls(self, key: int) -> None:
        """Complete the pending calls for a key as timed out, as the next one goes over another connection."""
        for call in self.pending_calls:
            if call.key == key:
                call.complete(self._loop.time(), CallOutcome.TIMEOUT)

    # --- end of the connection ---------------------------------------------------------------------------

    def drain(self) -> None:
        """Take no new calls and close once the pending ones have their replies, or the peer falls silent."""
        self.state = ConnectionState.DRAINING
        if not self.pending_calls:
            self.close()

    def close(self) -> None:
        """Close for good."""
        self.state = ConnectionState.CLOSED
        self._heartbeat.cancel()
        if self._connect_task is not None:
            self._connect_task.cancel()
        self._abort()

    def _abort(self) -> None:
        if self._transport is not None:
            self._transport.abort()

    # --- connecting --------------------------------------------------------------------------------------

    def reconnect(self) -> None:
        """Schedule an attempt to connect, unless one is scheduled.

        It follows at once where the connection has brought a reply, else after exponential backoff. A
        connection that is given up just as it is made is reported both as lost and as a failed attempt; two
        connections would mix up their replies here.
        """
        if self._reconnect is not None:
            return
        delay = self.reconnect_delay_s
        if not delay:
            self.reconnect_delay_s = MIN_RECONNECT_DELAY_S
            self._reconnect = self._loop.call_soon(self._start_connecting)
            return
        self.reconnect_delay_s = min(MAX_RECONNECT_DELAY_S, 2.0 * delay)
        self._reconnect = self._loop.call_later(delay, self._start_connecting)

    def _start_connecting(self) -> None:
        self._reconnect = None
        if self.state not in _FINAL_STATES:
            self._connect_task = self._loop.create_task(self._connect())

    async def _connect(self) -> None:
        opening = self._loop.create_connection(lambda: self, *self._address)
        try:
            await asyncio.wait_for(opening, CONNECT_TIMEOUT_S)
        except (OSError, TimeoutError):
            self.reconnect()

    # --- asyncio.Protocol --------------------------------------------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the transport and send a heartbeat; closed meanwhile, the connection ends here."""
        self._transport = transport  # type: ignore[assignment]  # always a stream transport
        if self.state in _FINAL_STATES:
            self._abort()
            return
        self.state = ConnectionState.READY
        self._parser = resp.Parser()
        self._send_heartbeat(self._loop.time())

    def data_received(self, data: bytes) -> None:
        """Complete calls by their replies; a malformed reply ends the connection."""
        try:
            self._parser.feed(data)
            while (reply := self._parser.next_message()) is not resp.NEED_DATA:
                self._handle_reply(reply)
        except resp.ProtocolError:
            self._abort()  # replies no longer match the calls
        if self.state is ConnectionState.DRAINING and not self.pending_calls:
            self.close()

    def connection_lost(self, exc: Exception | None) -> None:  # noqa: ARG002  # the signature of asyncio.Protocol
        """Time out the pending calls, which may have been counted, and reconnect."""
        self._transport = None
        calls, self.pending_calls = self.pending_calls, deque()
        if self.state in _FINAL_STATES:
            self.state = ConnectionState.CLOSED
            self._heartbeat.cancel()
        else:
            self.state = ConnectionState.CONNECTING
            self.reconnect()
        for call in calls:
            call.complete(self._loop.time(), CallOutcome.TIMEOUT)

    def _handle_reply(self, reply: object) -> None:
        """Complete the oldest pending call; raises `resp.ProtocolError` for what is no reply to it.

        Only the protocol's own forms say what became of a call. After any other the amount counts as added,
        and the connection can't be used any more.
        """
        if not self.pending_calls:
            raise resp.ProtocolError("a reply to no call")
        outcome, total = _classify_reply(reply, heartbeat=self.pending_calls[0].key is None)
        self.reconnect_delay_s = 0.0
        self.pending_calls.popleft().complete(self._loop.time(), outcome, total)

    # --- heartbeat ---------------------------------------------------------------------------------------

    def _check_heartbeat(self) -> None:
        """Keep the connection from being closed as idle, and give up one whose peer has fallen silent."""
        self._heartbeat = self._loop.call_later(HEARTBEAT_CHECK_INTERVAL_S, self._check_heartbeat)
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


def _classify_reply(reply: object, heartbeat: bool) -> tuple[CallOutcome, float]:
    """Return outcome and total of a call; raises `resp.ProtocolError`."""
    if heartbeat:
        if reply != "PONG":
            raise resp.ProtocolError("no reply to a heartbeat")
        return CallOutcome.OK, 0.0
    if isinstance(reply, bytes) and _TOTAL.fullmatch(reply) and abs(float(reply)) <= MAX_TOTAL:
        return CallOutcome.OK, float(reply)
    if isinstance(reply, resp.ReplyError) and (str(reply) == "BUSY" or str(reply)[:4] == "ERR "):
        return CallOutcome.REJECTED, 0.0
    raise resp.ProtocolError("no total")
