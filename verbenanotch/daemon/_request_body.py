"""The body of a request, as the WSGI application reads it."""

import io
import sys

import eventlet
from eventlet import wsgi

from verbenanotch import loop
from verbenanotch.daemon._linger import LAST_CHUNK, BodyRest
from verbenanotch.http1 import ChunkedBody
from verbenanotch.http1.exceptions import HttpError

# What is left of a body after its answer is read up to this size, so that the
# connection can be used again; a longer rest ends the connection.
MAX_DISCARDED_BYTES = 64 * 1024
MAX_DISCARD_SECONDS = 10.0
DISCARDED_PIECE_BYTES = 4 * 1024
PIECE_BYTES = 64 * 1024
# Chunked bodies may all be large.
LARGE_BODY_BYTES = 1024 * 1024

# Of all servers of the process.
_costly_bodies = loop.TurnQueue()


class RequestBody(wsgi.Input):
    """The body of a request; malformed chunks end the connection.

    After them, where the next request begins is unknown. `receipt` is the
    BodyReceipt, or None if the application bounds all bodies together.
    """

    def __init__(self, *arguments, **options):
        """Take the arguments of `eventlet.wsgi.Input`."""
        super().__init__(*arguments, **options)
        self._chunks = ChunkedBody(
            reader=self.rfile, wait_for_turn=_costly_bodies.wait
        )
        self._is_broken_off = False
        self._is_malformed = False
        self._is_dropped = False
        self.receipt = None

    def read(self, length=None):
        """Return up to `length` bytes, or all if it is None or negative.

        Raises ChunkReadError for malformed chunks, and BodyRefusedError if
        the server receives the body no further.
        """
        if self.receipt is None:
            return self._read(length)
        with self.receipt.reading():
            data = self._read(length)
        if not self.is_awaited:
            self.receipt.mark_complete()
        return data

    def discard(self, buffer_size=DISCARDED_PIECE_BYTES):
        """Read what is left and drop it; raise OSError if it is late."""
        self._is_dropped = True
        with eventlet.Timeout(
            MAX_DISCARD_SECONDS, TimeoutError("a body is late")
        ):
            super().discard(buffer_size)

    @property
    def is_expected(self):
        """Whether the request has a body."""
        return self.chunked_input or self.content_length > 0

    def _read(self, length):
        if self.should_send_hundred_continue:
            self.send_hundred_continue_response()
            self.is_hundred_continue_response_sent = True
        size = sys.maxsize if self.chunked_input else self.unread_bytes
        if length is not None and 0 <= length < size:
            size = length
        if self.chunked_input:
            return self._read_chunks(size)
        self._is_broken_off = True
        data = self._read_pieces(size, self._read_piece)
        self._is_broken_off = False
        return data

    def _read_chunks(self, size):
        try:
            if self.receipt is None:
                return self._chunked_read(self.rfile, size)
            return self._read_pieces(
                size, lambda size: self._chunked_read(self.rfile, size)
            )
        except wsgi.ChunkReadError:
            self._is_malformed = True
            raise

    def _read_piece(self, size):
        """Return up to `size` bytes; they count as read at once.

        So it is known how many are left after a read that breaks off.
        """
        piece = self.rfile.read1(size)
        self.position += len(piece)
        return piece

    def _read_pieces(self, size, read):
        """Return `size` bytes that `read` returns, fewer at their end."""
        data = b""
        while size:
            wanted = min(size, PIECE_BYTES)
            self._keep(wanted)
            piece = read(wanted)
            self._keep(len(piece) - wanted)
            if not piece:
                break
            size -= len(piece)
            if not data:
                data = piece
            elif isinstance(data, bytes):
                data = bytearray(data + piece)
            else:
                data += piece
            # It must not be kept while the next bytes are awaited.
            del piece
        return bytes(data)

    def _keep(self, count):
        if self.receipt is not None and not self._is_dropped:
            self.receipt.keep(count)

    @property
    def has_long_rest(self):
        """Whether over MAX_DISCARDED_BYTES may still be unread.

        After a read that broke off, it is unknown how much is.
        """
        if self.chunked_input:
            return not self._chunks.is_at_end
        if self._is_broken_off:
            return True
        return self.unread_bytes > MAX_DISCARDED_BYTES

    @property
    def unread_bytes(self):
        """Bytes of a body with a length that were not read; 0 in chunks."""
        return 0 if self.chunked_input else self.content_length - self.position

    @property
    def is_large(self):
        """Whether the body has over LARGE_BODY_BYTES, or may have."""
        return self.chunked_input or self.content_length > LARGE_BODY_BYTES

    @property
    def rest(self):
        """The BodyRest that the client may still be sending.

        Behind malformed chunks, none is awaited.
        """
        if self._is_malformed:
            return BodyRest(is_malformed=True)
        if not self.is_awaited:
            return BodyRest()
        buffered = loop.buffered_input(self.rfile)
        if self.chunked_input:
            return BodyRest(size_bytes=None, tail=buffered[-len(LAST_CHUNK) :])
        return BodyRest(size_bytes=max(0, self.unread_bytes - len(buffered)))

    @property
    def is_awaited(self):
        """Whether the client may still be sending the body.

        One that waits for `100 Continue` does not send it after the answer.
        """
        if self.should_send_hundred_continue:
            return False
        if self.chunked_input:
            return not self._chunks.is_at_end
        return self.position < self.content_length

    def _do_read(self, reader, length=None):
        """Return a line or lines of up to `length` bytes."""
        self._is_broken_off = True
        data = super()._do_read(reader, length)
        self._is_broken_off = False
        return data

    def _chunked_read(self, rfile, length=None, use_readline=False):
        """Return up to `length` bytes, or all if it is None or negative."""
        if use_readline:
            raise io.UnsupportedOperation("a chunked body has no lines")
        if self.should_send_hundred_continue:
            self.send_hundred_continue_response()
            self.is_hundred_continue_response_sent = True
        size = sys.maxsize if length is None or length < 0 else length
        try:
            return self._chunks.read(size)
        except HttpError as error:
            raise wsgi.ChunkReadError(str(error)) from error
