"""The RESP2 parser and encoders."""

from __future__ import annotations

import pytest

from quota_gateway.network import resp

MESSAGES: list[tuple[bytes, resp.Message]] = [
    (b"+OK\r\n", "OK"),
    (b":-12\r\n", -12),
    (b"$5\r\nvalue\r\n", b"value"),
    (b"$0\r\n\r\n", b""),
    (b"$-1\r\n", None),
    (b"*-1\r\n", None),
    (b"*2\r\n$1\r\na\r\n*1\r\n:7\r\n", [b"a", [7]]),
]


@pytest.mark.parametrize(("encoded", "message"), MESSAGES)
def test_a_message_is_returned_once_its_last_byte_has_arrived(encoded: bytes, message: resp.Message) -> None:
    parser = resp.Parser()
    for byte in encoded[:-1]:
        parser.feed(bytes([byte]))
        assert parser.next_message() is resp.NEED_DATA
    parser.feed(encoded[-1:])
    assert parser.next_message() == message
    assert parser.next_message() is resp.NEED_DATA
    assert parser.buffered_bytes() == 0


def test_an_error_is_returned_and_not_raised() -> None:
    parser = resp.Parser()
    parser.feed(b"-BUSY 7\r\n")
    message = parser.next_message()
    assert isinstance(message, resp.ReplyError)
    assert str(message) == "BUSY 7"


def test_buffered_bytes_are_those_after_the_last_message() -> None:
    parser = resp.Parser()
    parser.feed(b"+OK\r\n$5\r\nval")
    assert parser.next_message() == "OK"
    assert parser.buffered_bytes() == len(b"$5\r\nval")


def test_an_incomplete_message_beyond_the_limit_is_an_error() -> None:
    parser = resp.Parser()
    value = b"$%d\r\n%b\r\n" % (resp.MAX_BULK_BYTES, b"x" * resp.MAX_BULK_BYTES)
    parser.feed(b"*4\r\n" + value * 2 + b"$3\r\nab")
    with pytest.raises(resp.ProtocolError, match="message too large"):
        parser.next_message()


def test_the_items_of_all_arrays_of_a_message_are_bounded() -> None:
    """Guards against an event loop held up by one message: the limit held for each array, not for all."""
    parser = resp.Parser()
    parser.feed(b"*99\r\n" + (b"*99\r\n" + b"$0\r\n\r\n" * 99) * 99)
    with pytest.raises(resp.ProtocolError, match="too many elements"):
        parser.next_message()


def test_a_nested_array_is_refused_before_its_items_arrive() -> None:
    """Guards against an event loop held up by what can't be a command."""
    parser = resp.Parser(max_depth=1)
    parser.feed(b"*2\r\n*99\r\n")
    with pytest.raises(resp.ProtocolError, match="too many elements"):
        parser.next_message()


def test_elements_that_were_examined_are_not_examined_again(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against work that grows with the square of a message that arrives byte by byte."""
    positions: list[int] = []
    line_end = resp._line_end

    def recording_line_end(buffer: bytearray, position: int, limit: int) -> int:
        end = line_end(buffer, position, limit)
        if end:
            positions.append(position)
        return end

    monkeypatch.setattr(resp, "_line_end", recording_line_end)
    parser = resp.Parser()
    words = [b"%d" % number for number in range(resp.MAX_ARRAY_ITEMS)]
    for byte in resp.encode_command(*words):
        message = parser.next_message()
        assert message is resp.NEED_DATA
        parser.feed(bytes([byte]))
    assert parser.next_message() == words
    # The header of each value is examined once more when the value is complete.
    assert len(positions) <= 1 + 8 * len(words)


def test_messages_that_were_returned_do_not_stay_in_the_buffer() -> None:
    """Guards against memory for what is no longer needed, on each of hundreds of connections."""
    parser = resp.Parser()
    value = b"$%d\r\n%b\r\n" % (resp.MAX_BULK_BYTES, b"x" * resp.MAX_BULK_BYTES)
    parser.feed(value * 5 + b"$3\r\nab")
    for _ in range(5):
        parser.next_message()
    assert len(parser._buffer) <= resp.MAX_RETURNED_BYTES


def test_a_command_is_an_array_of_bulk_strings() -> None:
    assert resp.encode_command(b"PING", b"") == b"*2\r\n$4\r\nPING\r\n$0\r\n\r\n"


@pytest.mark.parametrize(
    ("retry_after_ms", "encoded"),
    [(0.0, b"-BUSY\r\n"), (-1.0, b"-BUSY\r\n"), (7.0, b"-BUSY 7\r\n"), (7.1, b"-BUSY 8\r\n")],
)
def test_retry_after_is_rounded_up_to_whole_milliseconds(retry_after_ms: float, encoded: bytes) -> None:
    assert resp.encode_busy(retry_after_ms) == encoded


def test_an_error_text_is_one_line_of_bounded_length() -> None:
    assert resp.encode_error("no\r\nway é") == b"-ERR no??way ?\r\n"
    assert len(resp.encode_error("x" * 1000)) == len(b"-ERR \r\n") + resp.MAX_ERROR_TEXT_CHARS
