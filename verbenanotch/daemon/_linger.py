"""The end of a connection behind its last answer.

Closing a connection with unread bytes resets it, and a reset discards answers
that the client has not read yet. So what it still sends is read first.
"""

import contextlib
import itertools
import socket
import struct
import time

import eventlet
from eventlet import wsgi

from verbenanotch import loop
from verbenanotch.telemetry import metrics

LINGER_SECONDS = 1.0
# Of one server.
MAX_LINGERING = 1024
# Of these, the ones whose clients have not sent the end of their body, or have
# sent a malformed one.
MAX_UNENDED_BODIES = 64
# An l_linger of zero seconds makes close() reset the connection.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
# As most clients end a body in chunks: without a trailer.
LAST_CHUNK = b"0\r\n\r\n"


class BodyRest:
    """What a client may still send of a body behind the last answer.

    Only its end is looked for; chunks are not read. Where a body in chunks
    seems to end, the end may belong to the data of a chunk.
    """

    def __init__(self, *, size_bytes=0, tail=b"", is_malformed=False):
        """Expect `size_bytes`, or a body in chunks if they are None.

        `tail` is the end of what has been received of it. The end of a
        malformed body can't be told, so it is not awaited.
        """
        self._size_bytes = size_bytes
        self._tail = tail
        self._is_malformed = is_malformed

    @property
    def is_unended(self):
        """Whether the client may still be sending the body."""
        return self._is_malformed or self.is_awaited

    @property
    def is_awaited(self):
        """Whether the body seems to go on."""
        if self._size_bytes is None:
            return self._tail != LAST_CHUNK
        return self._size_bytes > 0

    def drop(self, data):
        """Count bytes that the client has sent."""
        if self._size_bytes is None:
            tail = self._tail + data[-len(LAST_CHUNK) :]
            self._tail = tail[-len(LAST_CHUNK) :]
        else:
            self._size_bytes = max(0, self._size_bytes - len(data))


def linger(connection, rest, *, body_seconds):
    """Read what the client sends, and drop it, until it ends the stream.

    `connection` is eventlet's list of address, socket and state. While the
    BodyRest is awaited, for up to `body_seconds`, the state is STATE_REQUEST.
    Returns LINGER_SECONDS after the end of the body in any case.
    """
    sock = connection[1]
    body_end = time.monotonic() + body_seconds
    end = None
    with contextlib.suppress(OSError, ValueError):
        while True:
            now = time.monotonic()
            if rest.is_awaited:
                connection[2], end = wsgi.STATE_REQUEST, body_end
            elif end is None or connection[2] == wsgi.STATE_REQUEST:
                connection[2], end = wsgi.STATE_CLOSE, now + LINGER_SECONDS
            if now >= end:
                return
            sock.settimeout(end - now)
            data = sock.recv(loop.MAX_JOINED_BYTES)
            if not data:
                return
            rest.drop(data)
            # It must not be kept while the next bytes are awaited.
            del data


class LingeringSockets:
    """The sockets of one server that linger, the longest first.

    Beyond MAX_LINGERING, and MAX_UNENDED_BODIES for those whose body has not
    ended when they begin, the one that lingers longest is ended. What it has
    not sent yet is still sent by the kernel, so it is reset only if there is
    nothing and its client goes on sending.
    """

    def __init__(self):
        """Start without any."""
        self._sockets_by_id = {}
        self._unended_by_id = {}
        self._ended_ids = set()

    def __len__(self):
        """Return how many there are."""
        return len(self._sockets_by_id)

    @contextlib.contextmanager
    def include(self, sock, *, is_unended):
        """Count a socket while it lingers."""
        if len(self) >= MAX_LINGERING:
            self.end_longest(1)
        if is_unended:
            if len(self._unended_by_id) >= MAX_UNENDED_BODIES:
                self._end(next(iter(self._unended_by_id)))
            self._unended_by_id[id(sock)] = sock
        self._sockets_by_id[id(sock)] = sock
        try:
            yield
        finally:
            self._forget(id(sock))
            self._ended_ids.discard(id(sock))

    def end_longest(self, count):
        """End `count` sockets; their readers close them.

        Returns how many there were.
        """
        longest = list(itertools.islice(self._sockets_by_id, count))
        for key in longest:
            self._end(key)
        return len(longest)

    def wait_for_ended(self):
        """Wait until the sockets that were ended before are closed."""
        ended_ids = self._ended_ids.copy()
        while not ended_ids.isdisjoint(self._ended_ids):
            eventlet.sleep(0)

    def _end(self, key):
        sock = self._sockets_by_id[key]
        if key in self._unended_by_id and not sock.has_unsent():
            with contextlib.suppress(OSError):
                sock.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
                )
        self._forget(key)
        self._ended_ids.add(key)
        metrics.increment("daemon.http_lingering_reset")
        sock.abort()

    def _forget(self, key):
        self._unended_by_id.pop(key, None)
        self._sockets_by_id.pop(key, None)
