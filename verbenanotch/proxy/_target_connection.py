"""Pooled connections to one target, and what was sent on them."""

import collections
import contextlib
import http.client
import io
import socket
import time

from verbenanotch import loop

IDLE_SECONDS = 4.0
CONNECT_TIMEOUT_SECONDS = 1.0
PROBE_TIMEOUT_SECONDS = 0.2
PRECONNECT_COUNT = 2
# Requests by these have a body only if one was sent.
BODILESS_METHODS = frozenset(("GET", "HEAD", "DELETE", "OPTIONS", "TRACE"))
# What an exchange with a target raises if the target or the way to it fails.
TARGET_FAILURES = (OSError, EOFError, ValueError, http.client.HTTPException)


class _AnswerReader(io.BufferedReader):
    """The bytes of one connection, buffered over all of its answers.

    The library makes a buffer for each answer and drops it with whatever
    bytes it holds beyond that answer.
    """

    def __init__(self, sock):
        """Read from a connected socket."""
        self._source = loop.SocketReader(sock)
        super().__init__(self._source)

    def makefile(self, mode):
        """Return itself, as the library asks a socket for its file."""
        return self

    def close(self):
        """Stay open: the end of an answer is not that of the connection."""

    def has_bytes(self):
        """Return whether bytes are buffered; read none."""
        self._source.is_paused = True
        try:
            return bool(self.peek(1))
        finally:
            self._source.is_paused = False


class TargetConnection:
    """An HTTP connection that knows whether a request may have left.

    It never opens itself again: a request that fails on a stale connection
    is sent on another one only by whoever can tell that this is safe. All
    answers are read by one buffer. `sock` is None once it is closed.
    """

    def __init__(self, *, sock):
        """Use a connected LoopSocket."""
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.sock = sock
        self.sent_bytes = 0
        self.idle_since = 0.0
        self._connected_socket = sock
        self._reader = _AnswerReader(sock)

    def close(self):
        """Close the connection; do nothing if it is closed."""
        if self.sock is not None:
            sock, self.sock = self.sock, None
            sock.close()

    def send_request(self, method, path, fields, body):
        """Send a request with its head and whole body.

        `fields` are pairs of text, from heads that a parser took apart or
        from numbers and names of the proxy's own: none holds a line end.
        """
        lines = [f"{method} {path} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in fields]
        if body or method not in BODILESS_METHODS:
            lines.append(f"Content-Length: {len(body)}")
        head = "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n"
        if len(body) > loop.MAX_JOINED_BYTES:
            self.send(head)
            self.send(body)
        else:
            self.send(head + body)

    def read_answer(self, method):
        """Return the next answer once its head is here.

        `method` is that of the request. The body is read from the result.
        """
        answer = http.client.HTTPResponse(self._reader, method=method)
        answer.begin()
        return answer

    def send(self, data):
        """Send bytes; count those that the system took."""
        if self.sock is None:
            raise http.client.NotConnected()
        view = memoryview(data)
        while view:
            sent = self.sock.send(view)
            self.sent_bytes += sent
            view = view[sent:]

    def is_fresh(self, now):
        """Return whether an idle connection can take a request.

        One that the target closed, or on which bytes wait that no request
        asked for, cannot.
        """
        if self.sock is None or now - self.idle_since > IDLE_SECONDS:
            return False
        return not self._reader.has_bytes() and self.sock.peek() is None

    def was_dropped(self):
        """Return whether the target closed it before anything was sent."""
        if self.sent_bytes or self.sock is None:
            return False
        return self.sock.peek() == b""

    def abort(self):
        """Wake a greenthread that waits on the socket; it gets an error."""
        if self._connected_socket is not None:
            with contextlib.suppress(OSError):
                self._connected_socket.shutdown(socket.SHUT_RDWR)


class TargetConnections:
    """Idle connections to one target, the latest used first."""

    def __init__(self, *, address, port, max_idle):
        """Keep at most `max_idle` connections."""
        self._address = address
        self._port = port
        self._max_idle = max_idle
        self._idle = collections.deque()
        self._closed = False

    def take_idle(self):
        """Return a fresh idle connection, or None."""
        now = time.monotonic()
        while self._idle:
            connection = self._idle.pop()
            if connection.is_fresh(now):
                connection.sent_bytes = 0
                return connection
            connection.close()
        return None

    def connect(self, *, timeout_seconds):
        """Return a new connection.

        Raises OSError.
        """
        sock = loop.connect(
            self._address,
            self._port,
            timeout_seconds=min(timeout_seconds, CONNECT_TIMEOUT_SECONDS),
        )
        sock.settimeout(None)
        return TargetConnection(sock=sock)

    def probe(self):
        """Return a new connection that may be used, None if there is none."""
        try:
            connection = self.connect(timeout_seconds=PROBE_TIMEOUT_SECONDS)
        except OSError:
            return None
        self.give_back(connection)
        return connection

    def give_back(self, connection):
        """Keep a connection whose last answer was read to its end."""
        if connection.sock is None:
            return
        if self._closed:
            connection.close()
            return
        if len(self._idle) >= self._max_idle:
            connection.close()
            return
        connection.idle_since = time.monotonic()
        self._idle.append(connection)

    def preconnect(self):
        """Replace idle connections that age, so that a few stay open."""
        now = time.monotonic()
        fresh = [item for item in self._idle if item.is_fresh(now)]
        for connection in self._idle:
            if connection not in fresh:
                connection.close()
        self._idle = collections.deque(fresh)
        while len(self._idle) < min(PRECONNECT_COUNT, self._max_idle):
            try:
                connection = self.connect(
                    timeout_seconds=CONNECT_TIMEOUT_SECONDS
                )
            except OSError:
                return
            connection.idle_since = time.monotonic()
            self._idle.appendleft(connection)

    def close(self):
        """Close every idle connection, and others when they come back."""
        self._closed = True
        while self._idle:
            self._idle.pop().close()
