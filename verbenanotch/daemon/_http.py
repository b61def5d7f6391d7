"""Serve a WSGI application on the loop, and stop without cutting it."""

import functools

import eventlet
from eventlet import greenio, wsgi

from verbenanotch.daemon import events
from verbenanotch.telemetry import emit

LISTEN_BACKLOG = 1024
MAX_CONNECTIONS = 4096
KEEP_ALIVE_SECONDS = 75.0
ACCEPT_PAUSE_SECONDS = 0.1


class HttpProtocol(wsgi.HttpProtocol):
    """Close a connection after its answer while the server stops."""

    def __init__(self, conn_state, server, *, owner):
        """Serve the requests of one connection for the HttpServer `owner`."""
        self._owner = owner
        self._close_connection = True
        super().__init__(conn_state, server)

    @property
    def close_connection(self):
        """Whether the connection ends with the present answer.

        The library asks when it writes the head of an answer, so that one
        that was begun before the stop carries the notice too.
        """
        return self._close_connection or self._owner.stopping

    @close_connection.setter
    def close_connection(self, value):
        self._close_connection = value


class HttpServer:
    """Serve one WSGI application on one address.

    `protocol` is HttpProtocol or a subclass of it.
    """

    def __init__(self, *, address, port, application, protocol=HttpProtocol):
        """Bind the address."""
        self._socket = eventlet.listen((address, port), backlog=LISTEN_BACKLOG)
        self.address, self.port = self._socket.getsockname()[:2]
        self._server = wsgi.Server(
            self._socket,
            self._socket.getsockname(),
            application,
            protocol=functools.partial(protocol, owner=self),
            keepalive=KEEP_ALIVE_SECONDS,
            log_output=False,
            debug=False,
            capitalize_response_headers=False,
        )
        self._pool = eventlet.GreenPool(MAX_CONNECTIONS)
        self._connections_by_id = {}
        self._acceptor = None
        self.stopping = False

    @property
    def in_flight(self):
        """Number of connections on which a request is read or answered."""
        return sum(
            connection[2] == wsgi.STATE_REQUEST
            for connection in self._connections_by_id.values()
        )

    @property
    def connection_count(self):
        """Number of open connections."""
        return len(self._connections_by_id)

    def start(self):
        """Serve in the background."""
        self._acceptor = eventlet.spawn(self._accept_forever)

    def close_after_answers(self):
        """Take connections on, but close each after its next answer."""
        self.stopping = True

    def stop_accepting(self):
        """Take no more connections; go on answering on the open ones.

        Connections that the system has accepted already are served too, as
        their callers may have sent a request. Each answer closes its
        connection.
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
        """Close the connections that wait for a request."""
        for connection in list(self._connections_by_id.values()):
            if connection[2] == wsgi.STATE_IDLE:
                connection[2] = wsgi.STATE_CLOSE
                greenio.shutdown_safe(connection[1])

    def stop(self):
        """Take no more connections and close the idle ones."""
        self.stop_accepting()
        self.close_idle()

    def _accept_forever(self):
        while True:
            try:
                sock, address = self._socket.accept()
            except OSError as error:
                emit(events.ACCEPT_FAILED, error=str(error))
                eventlet.sleep(ACCEPT_PAUSE_SECONDS)
                continue
            self._spawn(sock, address)

    def _spawn(self, sock, address):
        connection = [address, sock, wsgi.STATE_IDLE]
        # An address can be used again before its last connection is gone.
        self._connections_by_id[id(connection)] = connection
        self._pool.spawn_n(self._serve, connection)

    def _serve(self, connection):
        sock = connection[1]
        try:
            self._server.process_request(connection)
        except OSError:
            # The caller is gone; there is nobody to tell.
            pass
        finally:
            del self._connections_by_id[id(connection)]
            connection[2] = wsgi.STATE_CLOSE
            sock.close()
