"""Pooled connections to one target, and what was sent on them."""

import collections
import contextlib
import http.client
import io
import socket
import time

import urllib3
from urllib3.connection import HTTPConnection

IDLE_SECONDS = 4.0
CONNECT_TIMEOUT_SECONDS = 1.0
PROBE_TIMEOUT_SECONDS = 0.2
WARM_CONNECTIONS = 2


class _RawReader(io.RawIOBase):
    """Read a socket, or while `is_paused` only say that nothing is there."""

    def __init__(self, raw):
        """Read from an unbuffered file of a socket."""
        self._raw = raw
        self.is_paused = False

    def readable(self):
        """Return True; needed by the buffer above."""
        return True

    def readinto(self, buffer):
        """Read bytes; return None while it is paused."""
        return None if self.is_paused else self._raw.readinto(buffer)

    def release(self):
        """Let the socket be closed."""
        self._raw.close()


class _AnswerReader(io.BufferedReader):
    """The bytes of one connection, buffered over all of its answers.

    The library makes a buffer for each answer and drops it with whatever
    bytes it holds beyond that answer.
    """

    def __init__(self, sock):
        """Read from a connected socket."""
        self._source = _RawReader(sock.makefile("rb", buffering=0))
        super().__init__(self._source)

    def makefile(self, mode):
        """Return itself, as the library asks a socket for its file."""
        return self

    def close(self):
        """Stay open: the end of an answer is not that of the connection."""

    def release(self):
        """Let the socket be closed."""
        self._source.release()

    def has_bytes(self):
        """Return whether bytes are buffered; read none."""
        self._source.is_paused = True
        try:
            return bool(self.peek(1))
        finally:
            self._source.is_paused = False


class TargetConnection(HTTPConnection):
    """An HTTP connection that knows whether a request may have left.

    It never opens itself again: a request that fails on a stale connection
    is sent on another one only by whoever can tell that this is safe.
    """

    auto_open = 0

    def __init__(self, host, port):
        """Do not connect yet."""
        super().__init__(host, port, timeout=CONNECT_TIMEOUT_SECONDS)
        self.sent_bytes = 0
        self.idle_since = 0.0
        self._reader = None
        self._connected_socket = None
        self._is_reading_head = False
        self._options = None

    def connect(self):
        """Connect; all answers are read by one buffer."""
        super().connect()
        self._connected_socket = self.sock
        self._reader = _AnswerReader(self.sock)

    def putheader(self, header, *values):
        """Add a header; the library would check each one by patterns.

        Names and values come from heads that a parser took apart, or from
        numbers and names of the proxy's own: none holds a line end.
        """
        for value in values:
            text = value if isinstance(value, str) else value.decode("latin-1")
            self._buffer.append(f"{header}: {text}".encode("latin-1"))

    def response_class(self, _, **options):
        """Return the library's answer over the buffer of the connection."""
        return http.client.HTTPResponse(self._reader, **options)

    def getresponse(self):
        """Return the next answer once its head is here.

        The library closes a connection that ends with the answer before
        the body is read.
        """
        self._is_reading_head = True
        self._options = self._response_options
        try:
            return super().getresponse()
        finally:
            self._is_reading_head = False

    def close(self):
        """Close the connection, unless an answer is still to be read."""
        super().close()
        if not self._is_reading_head and self._reader is not None:
            self._reader.release()
            self._reader = None

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
        if self._reader.has_bytes():
            return False
        descriptor = getattr(self.sock, "fd", self.sock)
        try:
            descriptor.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    def expect_answer(self, method):
        """Read one more answer, after one that was not to the request.

        The library has no call for this: it takes each answer for that to
        the request before.
        """
        self._response_options = self._options
        self._HTTPConnection__state = "Request-sent"
        self._HTTPConnection__response = None
        self._method = method

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

        Raises NewConnectionError or ConnectTimeoutError of urllib3.
        """
        connection = TargetConnection(self._address, self._port)
        connection.timeout = min(timeout_seconds, CONNECT_TIMEOUT_SECONDS)
        connection.connect()
        connection.timeout = None
        connection.sock.settimeout(None)
        return connection

    def can_connect(self):
        """Return whether the target still accepts connections."""
        try:
            connection = self.connect(timeout_seconds=PROBE_TIMEOUT_SECONDS)
        except urllib3.exceptions.HTTPError:
            return False
        self.give_back(connection)
        return True

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

    def warm(self):
        """Replace idle connections that age, so that a few stay open."""
        now = time.monotonic()
        fresh = [item for item in self._idle if item.is_fresh(now)]
        for connection in self._idle:
            if connection not in fresh:
                connection.close()
        self._idle = collections.deque(fresh)
        while len(self._idle) < min(WARM_CONNECTIONS, self._max_idle):
            try:
                connection = self.connect(
                    timeout_seconds=CONNECT_TIMEOUT_SECONDS
                )
            except urllib3.exceptions.HTTPError:
                return
            connection.idle_since = time.monotonic()
            self._idle.appendleft(connection)

    def close(self):
        """Close every idle connection, and others when they come back."""
        self._closed = True
        while self._idle:
            self._idle.pop().close()
