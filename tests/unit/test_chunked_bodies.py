"""Bodies in chunks: what they may carry, and the memory that they take."""

import io
import tracemalloc

import pytest

from verbenanotch.http1 import ChunkedBody
from verbenanotch.http1._chunks import MAX_EXTENSION_BYTES
from verbenanotch.http1.exceptions import MessageMalformedError

EXTENSION_BYTES = 1024


def body_of(data):
    return ChunkedBody(reader=io.BytesIO(data))


@pytest.mark.parametrize(
    "extension",
    [b";" + b"a" * (EXTENSION_BYTES - 1), b" " * EXTENSION_BYTES],
    ids=["extension", "blanks"],
)
def test_the_extensions_of_all_chunks_are_bounded(extension):
    """Guard against a body that takes thousands of times its data."""
    chunk = b"1%b\r\nx\r\n" % extension
    count = MAX_EXTENSION_BYTES // EXTENSION_BYTES
    end = b"0\r\n\r\n"
    assert body_of(chunk * count + end).read(1000) == b"x" * count
    body = body_of(chunk * (count + 2) + end)
    for _ in range(2):
        with pytest.raises(MessageMalformedError, match="extensions"):
            body.read(1000)


@pytest.mark.parametrize("size", [b"0000000000000001", b"1       "])
def test_chunks_without_extensions_are_not_counted(size):
    for end in (b"\n", b"\r\n"):
        chunk = size + end + b"x" + end
        body = body_of(chunk * 20_000 + b"0" + end + end)
        assert body.read(30_000) == b"x" * 20_000


class Arriving(io.RawIOBase):
    """Bytes that arrive; record the memory in use before each arrival."""

    def __init__(self, data):
        """Let `data` arrive."""
        self._data = memoryview(data)
        self.given = 0
        self.held = []

    def readable(self):
        """Return True."""
        return True

    def readinto(self, buffer):
        """Let some bytes arrive."""
        memory = tracemalloc.get_traced_memory()[0]
        self.held.append((self.given, memory))
        piece = self._data[self.given : self.given + len(buffer)]
        buffer[: len(piece)] = piece
        self.given += len(piece)
        return len(piece)


def test_an_unfinished_body_takes_about_what_has_arrived():
    """Guard against 64 KB for a chunk that claims them, and two copies."""
    length = 1_000_000
    raw = Arriving(b"%x\r\n" % length + b"x" * length + b"\r\n0\r\n\r\n")
    tracemalloc.start()
    try:
        reader = io.BufferedReader(raw)
        body = ChunkedBody(reader=reader)
        tracemalloc.reset_peak()
        data = body.read(2 * length)
        peak_bytes = tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()
    assert data == b"x" * length
    for given, held in raw.held:
        assert held <= 2 * given + 4 * io.DEFAULT_BUFFER_SIZE
    assert peak_bytes < 1.5 * length


@pytest.mark.parametrize(
    "line",
    [
        b"Bad name: 1",
        b"Bad\tname: 1",
        b"Bad\0name: 1",
        b"Bad\x07name: 1",
        b"Bad\x7fname: 1",
        b"Bad\xffname: 1",
        b"Bad,name: 1",
        b"Name : 1",
        b" Name: 1",
        b": 1",
        b"no colon",
        b"Name: \0",
        b"Name: \x07",
        b"Name: 1\rOther: 2",
    ],
)
@pytest.mark.parametrize("end", [b"\r\n", b"\n"])
@pytest.mark.parametrize("before", [b"", b"X-Sum: 1\r\n"])
def test_a_line_of_the_trailer_that_is_no_field_is_malformed(
    line, end, before
):
    body = body_of(b"2\r\nab\r\n0\r\n" + before + line + end + b"\r\n")
    for _ in range(2):
        with pytest.raises(MessageMalformedError, match="trailer"):
            body.read(1000)
    assert not body.is_at_end


@pytest.mark.parametrize(
    "trailer",
    [
        b"",
        b"X-Sum: 1\r\n",
        b"x-sum:1\nX-Empty:\r\n",
        b"!#$%&'*+-.^_`|~0z:\t a \xe9\x80 \t\r\n",
    ],
)
def test_fields_of_the_trailer_are_skipped(trailer):
    body = body_of(b"2\r\nab\r\n0\r\n" + trailer + b"\r\n")
    assert body.read(1000) == b"ab"
    assert body.is_at_end
