"""WSGI server on the event loop that finishes requests before it stops."""

import contextlib
import functools
import heapq
import http
import io
import json
import socket
import time
import urllib.parse

import eventlet
from eventlet import greenio, wsgi

from verbenanotch import loop
from verbenanotch.daemon import events
from verbenanotch.daemon._body_receipts import (
    BodyReceipts,
    BodyRefusedError,
)
from verbenanotch.daemon._failures import RequestFailureLog
from verbenanotch.daemon._linger import BodyRest, LingeringSockets, linger
from verbenanotch.daemon._request_body import RequestBody
from verbenanotch.http1 import HeadBytes, read_request_head
from verbenanotch.http1.exceptions import RequestRefusedError
from verbenanotch.telemetry import emit, metrics

LISTEN_BACKLOG = 1024
MAX_CONNECTIONS = 4096
KEEP_ALIVE_SECONDS = 75.0
ACCEPT_RETRY_SECONDS = 0.1
# Connections that are ended at once to make room for new ones, and the time
# that an idle one has had before.
ROOM_CONNECTIONS = 64
MIN_IDLE_SECONDS = 1.0
CONTINUE_LINE = b"HTTP/1.1 100 Continue\r\n"
# A server whose application has no bound of its own reads at most
# MAX_LARGE_BODIES at once.
MAX_LARGE_BODIES = 4
HEAD_TOO_LARGE = (
    431,
    "headers-too-large",
    f"send header lines below {wsgi.MAX_HEADER_LINE} bytes, and at most "
    f"{wsgi.MAX_TOTAL_HEADER_SIZE} bytes of them",
)
# The time that a client has to send the rest of a body behind the last answer.
BODY_LINGER_SECONDS = 10.0
# The CGI variables of these headers have no HTTP_ prefix.
UNPREFIXED_VARIABLES = frozenset(("CONTENT_TYPE", "CONTENT_LENGTH"))


class HttpProtocol(wsgi.HttpProtocol):
    """Eventlet's HTTP protocol, with fewer system calls per request.

    While the server stops, each connection is closed after its answers. It
    is closed only by an answer that says so, or while it is idle: a client
    that was told nothing may have sent its next request. `bounds_bodies` is
    unset if the application bounds all bodies together. `rest` is the
    BodyRest once the last answer has been sent, None before and if the client
    is gone.
    """

    bounds_bodies = True

    def __init__(self, conn_state, server, *, owner):
        """Serve the requests of one connection for the HttpServer `owner`."""
        self._owner = owner
        self._close_connection = True
        self._is_close_decided = False
        self._body = None
        self._head = None
        self.rest = None
        super().__init__(conn_state, server)

    def setup(self):
        """Open the file objects for reading and writing the connection."""
        self.connection = self.request
        self.rfile = io.BufferedReader(loop.SocketReader(self.request))
        self.wfile = loop.SocketWriter(self.request)

    def handle(self):
        """Serve requests until the connection is to be closed."""
        while True:
            self.handle_one_request()
            if self.conn_state[2] == wsgi.STATE_CLOSE:
                break
            self.conn_state[2] = wsgi.STATE_IDLE
            if self.closes_after_answer:
                break
        self.wfile.flush()
        self.end()

    def handle_one_request(self):
        """Serve one request, then forget it: the connection may stay long."""
        self._head = self._owner.head_bytes.reserve()
        try:
            super().handle_one_request()
        finally:
            if self._head is not None:
                self._head.release()
            self.raw_requestline = b""
            self.requestline = self.path = ""
            self.headers = self.environ = None

    def _read_request_line(self):
        """Return the first line of a request; an empty one ends the stream.

        A line that is too long is refused here: the library's own answer has
        neither a reason nor its turn behind earlier answers.
        """
        line = super()._read_request_line()
        if len(line) < self.server.url_length_limit:
            return line
        self._refuse_head(
            414,
            "target-too-long",
            f"send a request line below {len(line)} bytes",
        )
        return b""

    def _refuse_head(self, status, kind, remedy):
        metrics.increment(f"daemon.http_heads_refused.{kind}")
        self.send_error(status, kind, remedy)

    def end(self):
        """Tell the client that no more answers come."""
        with contextlib.suppress(OSError, ValueError):
            self.connection.fd.shutdown(socket.SHUT_WR)
        self.rest = BodyRest() if self._body is None else self._body.rest
        self.rfile.close()
        self.conn_state[2] = wsgi.STATE_CLOSE

    def finish(self):
        """Send buffered bytes; the server closes the connection."""
        self.wfile.flush()

    def parse_request(self):
        """Read the head of a request; return False if it is refused.

        Replaces the parser of `http.server`, which ignores what it can't
        read.
        """
        self.command = None
        self.request_version = self.default_request_version
        self.requestline = self.raw_requestline.decode("latin-1").strip()
        try:
            self._head.add(len(self.raw_requestline))
            head = read_request_head(
                self._head.lines(self.rfile), self.raw_requestline
            )
        except RequestRefusedError as error:
            refusal = error.status, error.kind, str(error)
        except (wsgi.HeaderLineTooLong, wsgi.HeadersTooLarge):
            refusal = HEAD_TOO_LARGE
        else:
            refusal = None
        if refusal is not None:
            # The lines that were read went with the error.
            self._head.release()
            self._refuse_head(*refusal)
            return False
        self.command = head.method
        self.path = head.target
        self.request_version = head.version
        self.headers = head.headers
        self._close_connection = not head.keeps_connection
        self._is_close_decided = False
        return True

    def handle_one_response(self):
        """Run the request unless its body is refused."""
        if not (self.bounds_bodies and self._body.is_expected):
            super().handle_one_response()
            return
        try:
            with self._owner.body_receipts.start(
                is_large=self._body.is_large
            ) as self._body.receipt:
                super().handle_one_response()
        except BodyRefusedError as error:
            self._refuse_body(error)

    def _refuse_body(self, error):
        metrics.increment(f"daemon.http_bodies_refused.{error.kind}")
        if self._body.headers_sent:
            self.close_connection = True
        else:
            self.send_error(error.status, error.kind, error.remedy)

    def send_error(self, code, message=None, explain=None):
        """Answer a request that can't be read; close the connection.

        `message` is the reason and `explain` the remedy in the answer.
        """
        self.close_connection = True
        body = json.dumps({"kind": message, "remedy": explain}).encode()
        self.wfile.writelines(
            [
                f"HTTP/1.1 {int(code)} {_phrase(code)}\r\n".encode(),
                b"Content-Type: application/json\r\n",
                f"Content-Length: {len(body)}\r\n".encode(),
                b"Connection: close\r\n\r\n",
                body,
            ]
        )

    def get_environ(self):
        """Return the WSGI environment of the current request.

        Eventlet's version makes a system call for the address of the socket
        and goes through the headers twice.
        """
        path, _, query = self.path.partition("?")
        environ = self.server.get_environ()
        length = self.headers.get("content-length")
        environ.update(
            REQUEST_METHOD=self.command,
            REQUEST_TARGET=self.path,
            SCRIPT_NAME="",
            RAW_PATH_INFO=path,
            PATH_INFO=urllib.parse.unquote(path, encoding="latin1"),
            QUERY_STRING=query,
            CONTENT_TYPE=self.headers.get("content-type", ""),
            SERVER_PROTOCOL=self.request_version,
            SERVER_NAME=self._owner.address,
            SERVER_PORT=str(self._owner.port),
            REMOTE_ADDR=self.client_address[0],
        )
        if length:
            environ["CONTENT_LENGTH"] = length
        environ["headers_raw"] = tuple(
            [
                (name, value.strip(" \t\r\n"))
                for name, value in self.headers.items()
            ]
        )
        for name, value in environ["headers_raw"]:
            _add_header(environ, name, value)
        self._add_input(environ, length)
        return environ

    def _add_input(self, environ, length):
        """Add the body's input stream and the hooks that eventlet expects."""
        is_chunked = "HTTP_TRANSFER_ENCODING" in environ
        expects = environ.get("HTTP_EXPECT", "").lower() == "100-continue"
        if length is None and not is_chunked:
            length = "0"
        self._body = RequestBody(
            self.rfile,
            length,
            self.connection,
            wfile=self.wfile if expects else None,
            wfile_line=CONTINUE_LINE if expects else None,
            chunked_input=is_chunked,
        )
        environ["wsgi.input"] = environ["eventlet.input"] = self._body
        environ["eventlet.posthooks"] = []

    @property
    def closes_after_answer(self):
        """Whether the request or its answer said that the connection closes.

        An answer in progress of which the head is not written has not.
        """
        return self._close_connection

    @property
    def has_further_input(self):
        """Whether bytes behind the current request have arrived."""
        rest = 0 if self._body is None else self._body.unread_bytes
        return loop.has_input(self.rfile, behind=rest)

    @property
    def close_connection(self):
        """Whether the connection closes after the current answer.

        Eventlet reads this when it writes the head of an answer, and sets it
        to what the head says, which then holds. So the answer to a request
        that was received before the server began to stop also has the header
        `Connection: close`, and so has one that is given before a long body
        was read. While a further request has arrived, a server that stops
        leaves the connection open, to answer that one, too.
        """
        if self._is_close_decided:
            return self._close_connection
        if self._close_connection or (
            self._body is not None and self._body.has_long_rest
        ):
            return True
        return self._owner.stopping and (
            self._owner.takes_no_more or not self.has_further_input
        )

    @close_connection.setter
    def close_connection(self, value):
        self._close_connection = bool(value)
        self._is_close_decided = True


class HttpServer:
    """Serve one WSGI application on one address.

    `protocol` is HttpProtocol or a subclass of it.
    """

    def __init__(self, *, address, port, application, protocol=HttpProtocol):
        """Bind the address."""
        self._socket = loop.listen(
            address,
            port,
            backlog=LISTEN_BACKLOG,
            on_wait=lambda: emit(
                events.PORT_IN_USE, address=address, port=port
            ),
        )
        self.address, self.port = self._socket.getsockname()[:2]
        self._protocol = functools.partial(protocol, owner=self)
        self._server = wsgi.Server(
            self._socket,
            self._socket.getsockname(),
            application,
            keepalive=KEEP_ALIVE_SECONDS,
            log_output=False,
            debug=False,
            capitalize_response_headers=False,
        )
        self._server.log = RequestFailureLog()
        self.head_bytes = HeadBytes()
        self._workers = loop.Workers()
        self._connections_by_id = {}
        self._lingering = LingeringSockets()
        self._acceptor = None
        self.body_receipts = BodyReceipts(max_large=MAX_LARGE_BODIES)
        self.stopping = False
        self.takes_no_more = False

    @property
    def in_flight(self):
        """Number of connections whose request is being read or answered.

        While the server stops, those with an unread one count, too.
        """
        return sum(
            state == wsgi.STATE_REQUEST
            or (self.stopping and self._has_unread(sock))
            for _, sock, state in self._connections_by_id.values()
        )

    @property
    def large_bodies(self):
        """Number of requests with a body over 1 MB or in chunks."""
        return self.body_receipts.large_count

    @property
    def connection_count(self):
        """Number of open connections."""
        return len(self._connections_by_id)

    def start(self):
        """Serve in the background."""
        self._acceptor = loop.spawn_lasting(self._accept_forever)

    def close_after_answers(self):
        """Continue to accept connections; close each after its answers.

        It is closed by the answer behind which no request has arrived.
        """
        self.stopping = True

    def take_no_more(self):
        """Close each connection after the answers to what was started.

        A client that always has a further request on its way would else keep
        its connection until the process ends.
        """
        self.stopping = self.takes_no_more = True

    def stop_accepting(self):
        """Close the listening socket; continue to serve open connections.

        Connections in the listen queue are served too, as their clients may
        already have sent a request. Each connection is closed as by
        `close_after_answers`.
        """
        self.stopping = True
        if self._acceptor is not None:
            self._acceptor.kill()
        self._socket.setblocking(False)
        while True:
            try:
                self._spawn(*self._socket.accept())
            except OSError:
                break
        self._socket.close()

    def close_idle(self):
        """Close the connections that wait for their next request."""
        for connection in list(self._connections_by_id.values()):
            if connection[2] == wsgi.STATE_IDLE:
                connection[2] = wsgi.STATE_CLOSE
                greenio.shutdown_safe(connection[1])

    def end_unread(self, seconds):
        """End the connections that have sent nothing for `seconds`.

        Their clients do not read the answers. Returns the number of them.
        """
        ended = [
            sock
            for _, sock, _ in self._connections_by_id.values()
            if sock.is_blocked_for(seconds)
        ]
        for sock in ended:
            sock.abort()
        return len(ended)

    def stop(self):
        """Stop accepting connections and close the idle ones."""
        self.stop_accepting()
        self.close_idle()

    @staticmethod
    def _has_unread(sock):
        return sock.fd is not None and sock.has_arrived()

    def _accept_forever(self):
        while True:
            # Clients of ended connections connect anew at once, and would else
            # have more open than may linger.
            self._lingering.wait_for_ended()
            try:
                sock, address = self._socket.accept()
            except OSError as error:
                emit(events.ACCEPT_FAILED, error=str(error))
                eventlet.sleep(ACCEPT_RETRY_SECONDS)
                continue
            try:
                while len(self._connections_by_id) >= MAX_CONNECTIONS:
                    self._make_room()
                    eventlet.sleep(ACCEPT_RETRY_SECONDS)
            finally:
                # Its client may have sent a request before a stop.
                self._spawn(sock, address)

    def _make_room(self):
        """End connections that linger, or else some that are idle."""
        if self._lingering.end_longest(ROOM_CONNECTIONS):
            return
        latest = time.monotonic() - MIN_IDLE_SECONDS
        idle = [
            connection
            for connection in self._connections_by_id.values()
            if connection[2] == wsgi.STATE_IDLE
            and connection[1].received_at < latest
        ]
        for connection in heapq.nsmallest(
            ROOM_CONNECTIONS, idle, key=lambda idle: idle[1].received_at
        ):
            sock = connection[1]
            if not (self._has_unread(sock) or sock.has_unsent()):
                metrics.increment("daemon.http_idle_closed")
                connection[2] = wsgi.STATE_CLOSE
                greenio.shutdown_safe(sock)

    def _spawn(self, sock, address):
        # A client that sends nothing is idle from the start.
        sock.received_at = time.monotonic()
        # Eventlet's representation: the address, the socket and the state.
        connection = [address, sock, wsgi.STATE_IDLE]
        # Keyed by identity: a client can reuse its address and port before its
        # previous connection is removed.
        self._connections_by_id[id(connection)] = connection
        self._workers.run(self._serve, connection)

    def _serve(self, connection):
        sock = connection[1]
        try:
            # Only the socket is kept while the connection lingers.
            rest = self._protocol(connection, self._server).rest
            if rest is not None:
                with self._lingering.include(sock, is_unended=rest.is_unended):
                    linger(connection, rest, body_seconds=BODY_LINGER_SECONDS)
        except OSError:
            # The client has disconnected or is idle; no error can be sent.
            pass
        finally:
            del self._connections_by_id[id(connection)]
            connection[2] = wsgi.STATE_CLOSE
            sock.close()


def _phrase(code):
    return http.HTTPStatus(code).phrase


def _add_header(environ, name, value):
    """Add a request header; join the values of repeated ones by commas.

    Ignore names with an underscore: their variables would be the same as
    those of names with a hyphen.
    """
    if "_" in name:
        return
    variable = name.replace("-", "_").upper()
    if variable in UNPREFIXED_VARIABLES:
        return
    variable = "HTTP_" + variable
    if variable in environ:
        environ[variable] += "," + value
    else:
        environ[variable] = value
