"""Base of the fakes that speak RESP2. Commands are read one by one and replied to in order.

The fakes share no code with the gateway (`quota_gateway.network.resp`), so a fault in the gateway's encoders
is not hidden by the same fault in a fake.
"""

from __future__ import annotations

from abc import abstractmethod
from collections import deque

import hiredis

from quota_gateway.lab.fakes.loopback_server import LoopbackConnection, LoopbackServer

PONG_REPLY = b"+PONG\r\n"
OK_REPLY = b"+OK\r\n"
BUSY_REPLY = b"-BUSY\r\n"
UNKNOWN_COMMAND_REPLY = b"-ERR unknown command\r\n"
CONNECTION_COMMAND_REPLIES = {b"PING": PONG_REPLY, b"CLIENT": OK_REPLY, b"SELECT": OK_REPLY}


def bulk_string(value: bytes) -> bytes:
    """Encode a RESP2 bulk string."""
    return b"$%d\r\n%b\r\n" % (len(value), value)


class PendingReply:
    """The pending reply to one command. Later replies on its connection wait until it is complete."""

    __slots__ = ("connection", "first_on_connection", "last_on_connection", "reply")

    def __init__(self, connection: RespConnection, first_on_connection: bool) -> None:
        self.connection = connection
        self.first_on_connection = first_on_connection
        self.last_on_connection = False  # whether the connection is closed after this reply
        self.reply: bytes | None = None  # None until the reply is complete

    def complete(self, reply: bytes, last_on_connection: bool = False) -> None:
        """Set the encoded reply; it is written once all earlier replies are written."""
        self.reply = reply
        self.last_on_connection = last_on_connection
        self.connection.flush()


class RespServer(LoopbackServer):
    """A fake that speaks RESP2."""

    def create_connection(self) -> LoopbackConnection:
        """Return the protocol object of a new connection."""
        return RespConnection(self)

    @abstractmethod
    def handle_command(self, pending: PendingReply, arguments: list[bytes]) -> None:
        """Carry out one command and complete `pending`, now or later.

        Args:
            pending: the reply to complete.
            arguments: the words of the command, beginning with its name; never empty.
        """


class RespConnection(LoopbackConnection):
    """A connection of a RESP fake. It is closed when it receives anything other than a command."""

    def __init__(self, server: RespServer) -> None:
        super().__init__(server)
        self._resp_server = server
        self._reader = hiredis.Reader()
        self._pending: deque[PendingReply] = deque()
        self._received_any = False

    @property
    def is_idle(self) -> bool:
        """Whether no reply is pending."""
        return not self._pending

    def data_received(self, data: bytes) -> None:
        """Parse commands and hand them to the server (asyncio's callback)."""
        self.last_activity = self.server.loop.time()
        try:
            self._reader.feed(data)
            while self.is_open and (command := self._reader.gets()) is not False:
                self._handle(command)
        except hiredis.ProtocolError:
            self.close()

    def _handle(self, command: object) -> None:
        well_formed = isinstance(command, list) and command and all(type(word) is bytes for word in command)
        if not well_formed:
            self.close()
            return
        assert isinstance(command, list)
        pending = PendingReply(self, first_on_connection=not self._received_any)
        self._received_any = True
        self._pending.append(pending)
        self._resp_server.handle_command(pending, command)

    def flush(self) -> None:
        """Write the complete replies up to the first incomplete one."""
        replies: list[bytes] = []
        close = False
        while self._pending and not close and (reply := self._pending[0].reply) is not None:
            close = self._pending.popleft().last_on_connection
            replies.append(reply)
        if replies:
            self.write(b"".join(replies))
        if close:
            self.close()
