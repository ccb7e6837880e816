"""RESP2, the wire protocol spoken with clients, servers and the counter: an incremental parser and encoders.

The parser checks more than hiredis, on which it is based: hiredis accepts any two bytes as the end of a bulk
string, allocates as many elements as an array announces, and buffers without limit. A message is therefore
passed to hiredis only after it is known to be complete, well-formed and within the limits below.
"""

from __future__ import annotations

import re
from enum import Enum
from typing import Final, Literal

import hiredis

MAX_BULK_BYTES = 64 * 1024  # longest value that the protocol allows
MAX_MESSAGE_BYTES = 2 * MAX_BULK_BYTES  # limit on the bytes buffered for one incomplete message
MAX_RETURNED_BYTES = 16 * 1024  # bytes of messages already returned that may stay in the buffer
MAX_STATUS_BYTES = 1024  # longest status or error line
MAX_HEADER_BYTES = 24  # longest line that holds an integer or the length of a string or array
MAX_ARRAY_ITEMS = 99  # the messages of the protocol have at most five
MAX_MESSAGE_ITEMS = 2 * MAX_ARRAY_ITEMS  # in all arrays of a message; examining them takes time
MAX_ARRAY_DEPTH = 2  # the response of a server is an array that holds one nested array: the usage figures
MAX_ERROR_TEXT_CHARS = 200  # longest text in an error that the gateway sends

PONG = b"+PONG\r\n"
OK = b"+OK\r\n"
FAILED = b"-ERR failed\r\n"
ReplyError = hiredis.ReplyError

_INTEGER_PATTERN = re.compile(rb"-?(0|[1-9][0-9]{0,17})")
# The type bytes that begin a message.
_STATUS, _ERROR, _NUMBER, _BULK, _ARRAY = b"+-:$*"


class NeedData(Enum):
    """The type of `NEED_DATA`."""

    NEED_DATA = "need_data"


NEED_DATA: Final = NeedData.NEED_DATA  # returned by a parser while a message is incomplete

# A decoded message: a status, bulk string, integer, null, error or array.
Message = str | bytes | int | None | ReplyError | list["Message"]


class ProtocolError(Exception):
    """The peer sent bytes that are not RESP2, or a message beyond the limits.

    The rest of the stream can't be parsed. The text of the error is sent to a client that caused it.
    """


class Parser:
    """Incremental parser of the bytes received on one connection; returns complete messages.

    Bytes are examined once, however many pieces a message arrives in. `max_depth` is the number of arrays
    that may enclose an element.
    """

    __slots__ = ("_buffer", "_examined", "_items", "_max_depth", "_missing_items", "_position")

    def __init__(self, max_depth: int = MAX_ARRAY_DEPTH) -> None:
        self._max_depth = max_depth
        self._buffer = bytearray()
        self._position = 0  # index of the first byte after the last message returned
        self._examined = 0  # index after the elements of the next message that are known to be well-formed
        self._missing_items: list[int] = []  # items still to come in each open array, the outermost first
        self._items = 0  # items announced by all arrays of the next message

    def feed(self, data: bytes) -> None:
        """Append received bytes to the buffer."""
        if self._position:
            self._release_returned()
        self._buffer += data

    def next_message(self) -> Message | Literal[NeedData.NEED_DATA]:
        """Return the next complete message, or `NEED_DATA`.

        A status is returned as `str`, a bulk string as `bytes`, an integer as `int`, an array as `list` and a
        null as None. An error is returned as a `ReplyError`, not raised. Raises `ProtocolError`.
        """
        start = self._position
        if not self._examine_message():
            if len(self._buffer) - start > MAX_MESSAGE_BYTES:
                raise ProtocolError("message too large")
            return NEED_DATA
        end = self._examined
        message = _decode_message(self._buffer, start, end)
        self._position = end
        self._items = 0
        # An idle connection holds no memory for messages that were returned, and a paused one little.
        if end == len(self._buffer) or end > MAX_RETURNED_BYTES:
            self._release_returned()
        return message

    def buffered_bytes(self) -> int:
        """Return the number of buffered bytes after the last message returned."""
        return len(self._buffer) - self._position

    def _release_returned(self) -> None:
        """Remove the messages that were returned from the buffer."""
        del self._buffer[: self._position]
        self._examined -= self._position
        self._position = 0

    def _examine_message(self) -> bool:
        """Examine elements up to the end of the next message; return False if it is incomplete."""
        while True:
            end = self._element_end(self._examined)
            if not end:
                return False
            self._examined = end
            if self._message_is_complete():
                return True

    def _message_is_complete(self) -> bool:
        """Close the arrays whose last item has been examined; return whether no array is open."""
        missing_items = self._missing_items
        while missing_items and not missing_items[-1]:
            missing_items.pop()
        return not missing_items

    def _element_end(self, position: int) -> int:
        """Return the index after the element at `position`, or 0 if it is incomplete.

        An element is a message or an item of an array; of an array it is the header. Arrays must not hold
        statuses or errors.
        """
        buffer = self._buffer
        if position >= len(buffer):
            return 0
        kind = buffer[position]
        if kind in (_STATUS, _ERROR) and not self._missing_items:
            return _line_end(buffer, position, MAX_STATUS_BYTES)
        if kind not in (_NUMBER, _BULK, _ARRAY):
            raise ProtocolError("not RESP")
        end = _line_end(buffer, position, MAX_HEADER_BYTES)
        if not end:
            return 0
        count = _line_integer(buffer, position, end)
        is_null = kind != _NUMBER and count == -1
        if kind == _BULK and not is_null:
            end = _bulk_end(buffer, end, count)
        if end and self._missing_items:
            self._missing_items[-1] -= 1
        if kind == _ARRAY and not is_null:
            self._open_array(count)
        return end

    def _open_array(self, count: int) -> None:
        """Expect the items of an array whose header has been examined."""
        self._items += count
        too_many = count > MAX_ARRAY_ITEMS or self._items > MAX_MESSAGE_ITEMS
        if count < 0 or too_many or len(self._missing_items) >= self._max_depth:
            raise ProtocolError("too many elements")
        self._missing_items.append(count)


def _decode_message(buffer: bytearray, start: int, end: int) -> Message:
    """Return the message that a part of the buffer holds, which is known to be complete and well-formed."""
    if buffer[start] == _STATUS:
        return buffer[start + 1 : end - 2].decode("ascii", "replace")
    reader = hiredis.Reader()
    reader.feed(buffer, start, end - start)  # type: ignore[arg-type]  # it takes any bytes-like object
    try:
        message: Message = reader.gets()
    except hiredis.ProtocolError as error:
        raise ProtocolError(str(error)) from None
    return message


def _bulk_end(buffer: bytearray, position: int, length: int) -> int:
    """Return the index after a bulk string of `length` bytes, or 0 if it is incomplete.

    `position` is the index of its content.
    """
    if not 0 <= length <= MAX_BULK_BYTES:
        raise ProtocolError("value too long")
    end = position + length
    if bytes(buffer[end : end + 2]) not in (b"\r\n", b"\r", b""):
        raise ProtocolError("a value that is longer than announced")
    return end + 2 if len(buffer) >= end + 2 else 0


def _line_end(buffer: bytearray, position: int, limit: int) -> int:
    """Return the index after the line break of the line at `position`, or 0 if it has not arrived."""
    end = buffer.find(b"\n", position, position + limit + 2)
    if end < 0:
        if len(buffer) - position > limit:
            raise ProtocolError("line too long")
        return 0
    if buffer.find(b"\r", position, end) != end - 1:
        raise ProtocolError("bad end of a line")
    return end + 1


def _line_integer(buffer: bytearray, position: int, end: int) -> int:
    """Return the integer in the line whose type byte is at `position` and whose line break ends at `end`."""
    if _INTEGER_PATTERN.fullmatch(buffer, position + 1, end - 2) is None:
        raise ProtocolError("bad number")
    return int(buffer[position + 1 : end - 2])


def encode_bulk(value: bytes) -> bytes:
    """Encode a bulk string."""
    return b"$%d\r\n%b\r\n" % (len(value), value)


def encode_command(*words: bytes) -> bytes:
    """Encode a command as an array of bulk strings."""
    return b"*%d\r\n%b" % (len(words), b"".join([encode_bulk(word) for word in words]))


def encode_busy(retry_after_ms: float) -> bytes:
    """Encode a rejection; a positive retry-after is included, rounded up to whole milliseconds."""
    return b"-BUSY %d\r\n" % -int(-retry_after_ms // 1) if retry_after_ms > 0 else b"-BUSY\r\n"


def encode_error(text: str) -> bytes:
    """Encode an error. Control and non-ASCII characters are replaced by `?`; long text is truncated."""
    clean = "".join(c if " " <= c <= "~" else "?" for c in text)[:MAX_ERROR_TEXT_CHARS]
    return b"-ERR " + clean.encode() + b"\r\n"
