"""Bodies in bounded frames: assembly, flow control, sending."""

import time

from eventlet import event

from verbenanotch.proxy._messages import BodyChunk
from verbenanotch.proxy.exceptions import BodyOverrunError

CHUNK_BYTES = 32 * 1024
WINDOW_BYTES = 256 * 1024


class Assembly:
    """Collect a body up to its declared length."""

    def __init__(self, *, body_bytes, first):
        """Start with the bytes that came with the opening frame.

        Raises BodyOverrunError if they are more than `body_bytes`.
        """
        self._missing_bytes = body_bytes
        self._chunks = []
        self.add(first)

    @property
    def whole(self):
        """Whether every declared byte has arrived."""
        return self._missing_bytes == 0

    def add(self, data):
        """Append the next bytes; raise BodyOverrunError past the length."""
        if len(data) > self._missing_bytes:
            raise BodyOverrunError(
                "peer sent more of a body than it declared; "
                "run the same release on every host"
            )
        self._missing_bytes -= len(data)
        self._chunks.append(data)

    def body(self):
        """Return the whole body."""
        if len(self._chunks) == 1:
            return self._chunks[0]
        return b"".join(self._chunks)


class Window:
    """Number of body bytes that the other side takes at present."""

    def __init__(self, *, size=WINDOW_BYTES):
        """Start with the agreed initial window."""
        self._size = size
        self._grown = None
        self.closed = False

    def grow(self, size):
        """Take a grant of the receiver."""
        self._size += size
        self._wake()

    def close(self):
        """Let every `take` fail from now on."""
        self.closed = True
        self._wake()

    def take(self, size, *, deadline):
        """Take `size` bytes; return False at the deadline or when closed.

        `deadline` is in monotonic seconds.
        """
        while not self.closed and self._size < size:
            remaining = deadline - time.monotonic()
            if remaining <= 0:
                return False
            if self._grown is None:
                self._grown = event.Event()
            self._grown.wait(timeout=remaining)
        if self.closed:
            return False
        self._size -= size
        return True

    def _wake(self):
        if self._grown is not None:
            grown, self._grown = self._grown, None
            grown.send()


def send_rest(connection, *, stream_id, body, window, deadline):
    """Send what did not fit into the opening frame of a body.

    Returns whether the whole body was sent. Raises WireError.
    """
    view = memoryview(body)
    for start in range(CHUNK_BYTES, len(body), CHUNK_BYTES):
        data = bytes(view[start : start + CHUNK_BYTES])
        if not window.take(len(data), deadline=deadline):
            return False
        connection.send(BodyChunk(stream_id=stream_id, data=data))
    return True
