"""Splitting bodies into frames, flow control and reassembly."""

import time

import eventlet
from eventlet import event

from verbenanotch.proxy._messages import BodyChunk
from verbenanotch.proxy.exceptions import BodyOverrunError

CHUNK_BYTES = 32 * 1024
INITIAL_WINDOW_BYTES = 256 * 1024


class BodyAssembler:
    """Collect the chunks of a body up to its declared length."""

    def __init__(self, *, body_bytes, first_chunk):
        """Start with the chunk that the opening frame carried.

        Raises BodyOverrunError if it is longer than `body_bytes`.
        """
        self._missing_bytes = body_bytes
        self._chunks = []
        self.add(first_chunk)

    @property
    def is_complete(self):
        """Whether every declared byte has arrived."""
        return self._missing_bytes == 0

    def add(self, data):
        """Append the next chunk.

        Raises BodyOverrunError if the body exceeds its declared length.
        """
        if len(data) > self._missing_bytes:
            raise BodyOverrunError(
                "peer sent more body bytes than it declared; "
                "run the same release on every host"
            )
        self._missing_bytes -= len(data)
        self._chunks.append(data)

    def body(self):
        """Return the complete body."""
        if len(self._chunks) == 1:
            return self._chunks[0]
        return b"".join(self._chunks)


class FlowControlWindow:
    """Number of body bytes that may be sent before the next WindowUpdate.

    The first chunk, which the opening frame carries, is not counted.
    """

    def __init__(self, *, size=INITIAL_WINDOW_BYTES):
        """Start with `size` bytes; both sides assume the same initial size."""
        self._size = size
        self._changed = None
        self.closed = False

    def enlarge(self, size):
        """Add the bytes granted by a WindowUpdate."""
        self._size += size
        self._wake_waiting()

    def close(self):
        """Make every pending and later `reserve` fail."""
        self.closed = True
        self._wake_waiting()

    def reserve(self, size, *, deadline):
        """Reserve `size` bytes, waiting until the window is large enough.

        Returns False once `deadline` (monotonic seconds) has passed or the
        window is closed.
        """
        while not self.closed and self._size < size:
            remaining = deadline - time.monotonic()
            if remaining <= 0:
                return False
            if self._changed is None:
                self._changed = event.Event()
            self._changed.wait(timeout=remaining)
        if self.closed:
            return False
        self._size -= size
        return True

    def _wake_waiting(self):
        if self._changed is not None:
            changed, self._changed = self._changed, None
            changed.send()


def send_remaining_chunks(
    connection,
    *,
    stream_id,
    body,
    window,
    deadline,
    sent_bytes=CHUNK_BYTES,
    chunk_bytes=CHUNK_BYTES,
    pause_seconds=0.0,
):
    """Send the part of a body that did not fit into its opening frame.

    That frame had the first `sent_bytes`. A pause of `pause_seconds` follows
    each frame of `chunk_bytes`. Returns False if the window is closed, or
    still too small at `deadline` (monotonic seconds). Raises WireError if the
    connection fails.
    """
    view = memoryview(body)
    for start in range(sent_bytes, len(body), chunk_bytes):
        data = bytes(view[start : start + chunk_bytes])
        if not window.reserve(len(data), deadline=deadline):
            return False
        connection.send(BodyChunk(stream_id=stream_id, data=data))
        if pause_seconds:
            eventlet.sleep(pause_seconds)
    return True
