"""Bodies in chunks (RFC 9112, section 7.1)."""

import io
import re

from verbenanotch.http1._fields import is_field_line
from verbenanotch.http1.exceptions import (
    MessageIncompleteError,
    MessageMalformedError,
)

# Of the size of a chunk with its extensions, and of the trailer section.
MAX_LINE_BYTES = 16 * 1024
# Of the extensions of all chunks of a body (section 7.1.1).
MAX_EXTENSION_BYTES = 16 * 1024
# Some senders pad the size with blanks; few of them are no extension.
SIZE_PATTERN = re.compile(
    rb"([0-9A-Fa-f]{1,16})[ \t]{0,15}([ \t]*(?:;[^\r\n]*)?)\r?\n"
)
# A body is read in pieces, as a chunk may claim any size. The buffer takes the
# memory of a piece before its bytes arrive, so the first ones are small.
FIRST_PIECE_BYTES = 8 * 1024
MAX_PIECE_BYTES = 64 * 1024
CHUNKED = "chunked"
# The framing of a shorter chunk, or of a line of the trailer, takes more
# processor time than its bytes.
SMALL_BYTES = 128
# Chunks and lines of the trailer that are read before their mean is compared
# with SMALL_BYTES.
FREE_CHUNKS = 256
LINE_ENDS = (b"\r\n", b"\n")


class ChunkedBody:
    """A body in chunks, read from a buffered binary file.

    Errors are of the types `incomplete_error` and `malformed_error`. After
    one, where the next message begins is unknown, and each further read fails
    as well. `is_at_end` is set once the last chunk and the trailer were read.

    A body in many tiny chunks takes turns: it calls `wait_for_turn()` before
    each further buffer of `reader`, once the buffer has bytes.
    """

    incomplete_error = MessageIncompleteError
    malformed_error = MessageMalformedError

    def __init__(self, *, reader, wait_for_turn=None):
        """Read the chunks from `reader`.

        With `wait_for_turn`, it has to be an `io.BufferedReader`.
        """
        self._reader = reader
        self._wait_for_turn = wait_for_turn
        # Of the chunks since the mean was compared, and chunks until it is.
        self._useful_bytes = 0
        self._chunks_compared = FREE_CHUNKS
        self._chunks_left = -1 if wait_for_turn is None else FREE_CHUNKS
        self._extension_bytes = 0
        self._bytes_left = 0
        self._piece_bytes = FIRST_PIECE_BYTES
        self._is_first = True
        self.is_at_end = False
        self._failure = None

    def read(self, size):
        """Return up to `size` more bytes of the body, `b""` at its end.

        Fewer are returned only at its end.
        """
        if self._failure is not None:
            kind, text = self._failure
            raise kind(text)
        try:
            return self._read(size)
        except (self.incomplete_error, self.malformed_error) as error:
            # The error itself has a traceback, which refers to this body.
            self._failure = type(error), str(error)
            raise

    def _read(self, size):
        # A list of short pieces would take many times their bytes.
        data = io.BytesIO()
        while size and not self.is_at_end:
            if not self._bytes_left:
                self._start_chunk()
                continue
            count = data.write(
                self._read_exactly(
                    min(size, self._bytes_left, self._piece_bytes)
                )
            )
            if count == self._piece_bytes < MAX_PIECE_BYTES:
                self._piece_bytes *= 2
            self._bytes_left -= count
            size -= count
        return data.getvalue()

    def _start_chunk(self):
        """Read the size of the next chunk; at the last one, the trailer."""
        if not self._is_first and self._read_line() not in LINE_ENDS:
            raise self._malformed("a chunk is longer than its size")
        self._is_first = False
        line = self._read_line()
        match = SIZE_PATTERN.fullmatch(line)
        if match is None:
            raise self._malformed("the size of a chunk is not a hex number")
        self._bytes_left = int(match[1], 16)
        if match[2]:
            self._count_extension(len(match[2]))
        self._useful_bytes += self._bytes_left
        self._chunks_left -= 1
        if not self._chunks_left:
            self._compare_mean(len(line) + self._bytes_left + 2)
        if not self._bytes_left:
            self._read_trailer()
            self.is_at_end = True

    def _count_extension(self, extension_bytes):
        self._extension_bytes += extension_bytes
        if self._extension_bytes > MAX_EXTENSION_BYTES:
            raise self._malformed("the extensions of its chunks are too large")

    def _read_trailer(self):
        bytes_read = 0
        while (line := self._read_line()) not in LINE_ENDS:
            self._useful_bytes += len(line)
            self._chunks_left -= 1
            if not self._chunks_left:
                self._compare_mean(len(line))
            bytes_read += len(line)
            if bytes_read > MAX_LINE_BYTES:
                raise self._malformed("the trailer section is too large")
            if not is_field_line(line):
                raise self._malformed(
                    "a line of the trailer section is no header field"
                )

    def _compare_mean(self, chunk_bytes):
        """Wait for a turn if the last chunks were small.

        It lasts for the chunks that are buffered, if they take `chunk_bytes`
        each with their framing. Some bytes of the body always follow.
        """
        is_costly = self._useful_bytes < self._chunks_compared * SMALL_BYTES
        self._chunks_left = FREE_CHUNKS
        if is_costly:
            buffered_bytes = len(self._reader.peek(1))
            self._wait_for_turn()
            self._chunks_left = buffered_bytes // chunk_bytes + 1
        self._chunks_compared = self._chunks_left
        self._useful_bytes = 0

    def _read_line(self):
        line = self._reader.readline(MAX_LINE_BYTES + 1)
        if len(line) > MAX_LINE_BYTES:
            raise self._malformed("a line between chunks is too large")
        if not line.endswith(b"\n"):
            raise self._incomplete()
        return line

    def _read_exactly(self, size):
        data = self._reader.read(size)
        if len(data) < size:
            raise self._incomplete()
        return data

    def _incomplete(self):
        return self.incomplete_error(
            "the connection ended within a chunked body; look for a crash or "
            "a time limit at the sender"
        )

    def _malformed(self, problem):
        return self.malformed_error(
            f"a chunked body is malformed: {problem}; correct the sender"
        )
