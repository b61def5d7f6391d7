"""Pooled connections to one target that count the bytes sent."""

import collections
import io
import socket
import time

import eventlet

from verbenanotch import http1, loop
from verbenanotch.http1.exceptions import HttpError
from verbenanotch.proxy.exceptions import ProxyError

IDLE_TIMEOUT_SECONDS = 4.0
CONNECT_TIMEOUT_SECONDS = 1.0
PROBE_TIMEOUT_SECONDS = 0.2
PRECONNECT_COUNT = 2
MAX_REFUSED_IDS = 256
# A send that makes no progress for so long looks for the end of the answer.
STALL_SECONDS = 0.25
RECEIPT_POLL_SECONDS = 0.01
# Requests with these methods have no Content-Length if their body is empty.
BODILESS_METHODS = frozenset(("GET", "HEAD", "DELETE", "OPTIONS", "TRACE"))
# Raised by an exchange if the target or the path to it fails.
TARGET_FAILURES = (OSError, ValueError, HttpError, ProxyError)

# Apart from the bodies of requests, so that no caller holds up answers.
_costly_answers = loop.TurnQueue()


class _AnswerReader(io.BufferedReader):
    """A read buffer for all answers on one connection."""

    def __init__(self, sock):
        """Read from a connected socket."""
        super().__init__(loop.SocketReader(sock))

    def has_bytes(self):
        """Return whether bytes are buffered, without reading any."""
        return bool(loop.buffered_input(self))


class TargetConnection:
    """An HTTP connection that counts the bytes of each request it sent.

    It never reconnects: only the caller can decide whether a request that
    failed on a stale connection may be sent again on another one. All
    answers are read through one buffer. `sock` is None after `close`.
    `sent_bytes` counts from the start of the current request. `is_kept` is
    whether earlier requests were sent on it.
    """

    def __init__(self, *, sock):
        """Use a connected LoopSocket."""
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.sock = sock
        self.sent_bytes = 0
        self.idle_since = 0.0
        self.is_kept = False
        self._connected_socket = sock
        self._reader = _AnswerReader(sock)

    def close(self):
        """Close the connection; do nothing if it is already closed."""
        if self.sock is not None:
            sock, self.sock = self.sock, None
            sock.close()

    def send_request(self, method, path, headers, body):
        """Send a request with its head and complete body.

        `headers` are pairs of strings. They come from a parsed request head
        or from the proxy's own names and numbers, so none contains a line
        break.
        """
        lines = [f"{method} {path} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in headers]
        if body or method not in BODILESS_METHODS:
            lines.append(f"Content-Length: {len(body)}")
        head = "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n"
        if len(body) > loop.MAX_JOINED_BYTES:
            self.send(head)
            self.send(body)
        else:
            self.send(head + body)

    def read_answer(self, method):
        """Return the next answer, an `http1.Answer`, after its head.

        `method` is that of the request. The body is read from the result.
        """
        return http1.read_answer(
            self._reader, method=method, wait_for_turn=_costly_answers.wait
        )

    def send(self, data):
        """Send bytes and count those that the operating system accepted.

        Raises OSError also if the target has ended its side and stopped
        reading.
        """
        if self.sock is None:
            raise ConnectionAbortedError("this host closed the connection")
        view = memoryview(data)
        while view:
            sent = self._send_some(view)
            self.sent_bytes += sent
            view = view[sent:]

    def _send_some(self, view):
        self.sock.settimeout(STALL_SECONDS)
        try:
            return self.sock.send(view)
        except TimeoutError:
            if self.sock is None or self.sock.has_ended():
                raise
            return 0
        finally:
            if self.sock is not None:
                self.sock.settimeout(None)

    def wait_until_received(self):
        """Wait until the target's system has received all that was sent.

        Raises OSError if the connection was reset, also if that followed an
        end of the stream.
        """
        sock = self._connected_socket
        while not sock.has_failed():
            if not sock.has_unsent():
                return
            eventlet.sleep(RECEIPT_POLL_SECONDS)
        raise ConnectionResetError(
            "the target reset the connection after the end of its answer; "
            "look for a crash at the target"
        )

    def is_reusable(self, now):
        """Return whether an idle connection can be used for a request.

        It can't if it has been idle for over `IDLE_TIMEOUT_SECONDS`, if the
        target closed it or if unsolicited bytes have arrived. `now` is in
        monotonic seconds.
        """
        if self.sock is None or now - self.idle_since > IDLE_TIMEOUT_SECONDS:
            return False
        return not self._reader.has_bytes() and self.sock.peek() is None

    def was_closed_unused(self):
        """Return whether the target closed the connection before its use."""
        if self.sent_bytes or self.sock is None:
            return False
        return self.sock.peek() == b""

    def wait_for_input(self, *, timeout_seconds):
        """Return whether the target closes or uses an idle connection.

        Waits for at most `timeout_seconds`.
        """
        self.sock.settimeout(timeout_seconds)
        try:
            self.sock.recv(1, socket.MSG_PEEK)
        except TimeoutError:
            return False
        except OSError:
            return True
        finally:
            self.sock.settimeout(None)
        return True

    def abort(self):
        """End the connection, so that a greenthread that uses it fails."""
        self._connected_socket.abort()


class TargetConnections:
    """Idle connections to one target, the most recently used first."""

    def __init__(self, *, address, port, max_idle):
        """Keep at most `max_idle` idle connections."""
        self._address = address
        self._port = port
        self._max_idle = max_idle
        self._idle = collections.deque()
        self._closed = False
        self._refused_ids = collections.OrderedDict()

    def remember_refusal(self, request_id):
        """Send the request on a new connection if it comes once more.

        A copy of its refusal that is still to come on another connection
        would be taken for the answer.
        """
        self._refused_ids[request_id] = None
        while len(self._refused_ids) > MAX_REFUSED_IDS:
            self._refused_ids.popitem(last=False)

    def acquire_idle(self, request_id=""):
        """Return a reusable idle connection, or None.

        `request_id` is that of the request to send, if there is one.
        """
        if request_id in self._refused_ids:
            del self._refused_ids[request_id]
            return None
        now = time.monotonic()
        while self._idle:
            connection = self._idle.pop()
            if connection.is_reusable(now):
                connection.sent_bytes = 0
                return connection
            connection.close()
        return None

    def connect(self, *, timeout_seconds):
        """Return a new connection.

        Raises OSError if the target can't be reached.
        """
        sock = loop.connect(
            self._address,
            self._port,
            timeout_seconds=min(timeout_seconds, CONNECT_TIMEOUT_SECONDS),
        )
        sock.settimeout(None)
        return TargetConnection(sock=sock)

    def probe(self):
        """Return a new connection, or None if the target ends it at once.

        No call uses it before it is released. Raises ConnectionRefusedError
        if nothing listens at the target's port.
        """
        try:
            return self.connect(timeout_seconds=PROBE_TIMEOUT_SECONDS)
        except ConnectionRefusedError:
            raise
        except OSError:
            return None

    def release(self, connection):
        """Keep a connection for reuse, or close it if that isn't possible.

        The body of its last answer must have been read completely.
        """
        if connection.sock is None:
            return
        if self._closed:
            connection.close()
            return
        if len(self._idle) >= self._max_idle:
            connection.close()
            return
        connection.idle_since = time.monotonic()
        connection.is_kept = True
        self._idle.append(connection)

    def preconnect(self):
        """Replace idle connections that are not reusable.

        At least `PRECONNECT_COUNT` are open afterwards, unless `max_idle` is
        lower or the target can't be reached.
        """
        now = time.monotonic()
        reusable = [
            connection
            for connection in self._idle
            if connection.is_reusable(now)
        ]
        for connection in self._idle:
            if connection not in reusable:
                connection.close()
        self._idle = collections.deque(reusable)
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
        """Close all idle connections now and others when they are released."""
        self._closed = True
        while self._idle:
            self._idle.pop().close()
