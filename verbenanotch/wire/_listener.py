"""Accept and dial authenticated connections."""

import contextlib
import itertools

import eventlet

from verbenanotch import loop
from verbenanotch.telemetry import emit, metrics
from verbenanotch.wire import events
from verbenanotch.wire._connection import Connection
from verbenanotch.wire._handshake import Purpose, perform_handshake
from verbenanotch.wire.exceptions import ConnectionClosedError, WireError

# Limits each send and receive of the handshake.
HANDSHAKE_TIMEOUT_SECONDS = 2.0
# Limits the handshake as a whole, in the time of one step.
HANDSHAKE_STEPS = 3
MAX_HANDSHAKE_SECONDS = HANDSHAKE_STEPS * HANDSHAKE_TIMEOUT_SECONDS
LISTEN_BACKLOG = 1024
# Connections whose peer has not authenticated yet.
MAX_STRANGERS = 256
# Accepted in a row before the handshakes go on.
MAX_ACCEPTED_IN_A_ROW = 64
# Configurations and host tables are repetitive text, which compresses well.
# Request bodies are mostly compressed already, and compressing them again
# would delay the requests.
COMPRESSED_PURPOSES = frozenset(
    (Purpose.REPLICATION, Purpose.ZONE, Purpose.DISTRIBUTION)
)
# Heartbeats follow large messages on these connections, of which there are
# few: a leader or a zone that waits for others would be taken for lost.
PROMPT_PURPOSES = frozenset((Purpose.REPLICATION, Purpose.ZONE))


class Listener:
    """Accept connections and pass each to the handler for its purpose.

    `handlers_by_purpose` maps a Purpose to a callable that takes the
    connection and returns when it no longer needs it. Each handler runs in
    its own greenthread; the connection is closed when the handler returns.
    If more than MAX_STRANGERS peers have not authenticated, the oldest
    connection of them ends.
    """

    def __init__(self, *, address, port, key, name, handlers_by_purpose):
        """Bind the address; a `port` of 0 picks a free one."""
        self._key = key
        self._name = name
        self._handlers_by_purpose = handlers_by_purpose
        self._socket = loop.listen(
            address,
            port,
            backlog=LISTEN_BACKLOG,
            on_wait=lambda: emit(
                events.PORT_IN_USE, address=address, port=port
            ),
            is_for_links=True,
        )
        self.address, self.port = self._socket.getsockname()[:2]
        self._connections = set()
        # In the order of their arrival; the values are not used.
        self._strangers = {}
        self._acceptor = None

    def start(self):
        """Accept connections in the background."""
        self._acceptor = loop.spawn_lasting(self._accept_forever)

    def stop(self):
        """Stop accepting and close every connection."""
        if self._acceptor is not None:
            self._acceptor.kill()
        self._socket.close()
        for connection in list(self._connections):
            connection.close()

    def _accept_forever(self):
        for count in itertools.count(1):
            try:
                sock, peer = self._socket.accept()
            except OSError as error:
                emit(events.ACCEPT_FAILED, error=str(error))
                # Without file descriptors, this would be a busy loop.
                eventlet.sleep(0.1)
                continue
            self._admit(sock, peer)
            if count % MAX_ACCEPTED_IN_A_ROW == 0:
                # The next one may have arrived, so that no accept waits.
                eventlet.sleep(0)

    def _admit(self, sock, peer):
        """Serve a connection; end the oldest stranger if there are many."""
        try:
            connection = Connection(sock=sock)
        except OSError:
            # The peer has reset the connection.
            sock.close()
            return
        self._connections.add(connection)
        self._strangers[connection] = None
        if len(self._strangers) > MAX_STRANGERS:
            self._end_stranger(next(iter(self._strangers)))
        eventlet.spawn(self._serve, connection, sock, peer)

    def _end_stranger(self, connection):
        del self._strangers[connection]
        metrics.increment("wire.strangers_ended")
        connection.close()

    def _serve(self, connection, sock, peer):
        try:
            handler = self._authenticate(connection)
            self._strangers.pop(connection, None)
            sock.use_link_buffer()
            handler(connection)
        except ConnectionClosedError:
            pass
        except WireError as error:
            metrics.increment(f"wire.refused.{error.kind}")
            emit(
                events.PEER_REFUSED,
                peer=f"{peer[0]}:{peer[1]}",
                kind=error.kind,
                error=str(error),
            )
        finally:
            connection.close()
            self._connections.discard(connection)
            self._strangers.pop(connection, None)

    def _authenticate(self, connection):
        """Authenticate the peer; return the handler for its purpose."""
        connection.set_timeout(HANDSHAKE_TIMEOUT_SECONDS)
        with _limited_to(MAX_HANDSHAKE_SECONDS):
            connection.peer_name, connection.purpose = perform_handshake(
                connection,
                key=self._key,
                name=self._name,
                purpose="",
                role="listener",
            )
        connection.accept_messages()
        _use_purpose(connection)
        connection.set_timeout(None)
        handler = self._handlers_by_purpose.get(connection.purpose)
        if handler is None:
            raise WireError(
                f"no handler for purpose {connection.purpose!r} on this host; "
                "check the addresses in the peer's settings"
            )
        return handler


@contextlib.contextmanager
def _limited_to(seconds):
    """Raise ConnectionClosedError after this time."""
    timeout = eventlet.Timeout(seconds)
    try:
        yield
    except eventlet.Timeout as error:
        if error is not timeout:
            raise
        raise ConnectionClosedError("handshake timed out") from error
    finally:
        timeout.cancel()
        # Its traceback refers to the frames of the handshake.
        del timeout


def dial(*, address, port, key, name, purpose, timeout_seconds=2.0):
    """Return an authenticated connection to a peer.

    `timeout_seconds` bounds the connect and each step of the handshake,
    `HANDSHAKE_STEPS` times as much the handshake.
    Raises ConnectionClosedError if the peer cannot be reached, or the errors
    of the handshake.
    """
    try:
        sock = loop.connect(
            address, port, timeout_seconds=timeout_seconds, is_for_links=True
        )
    except OSError as error:
        raise ConnectionClosedError(
            f"cannot connect to {address}:{port}: {error}"
        ) from error
    connection = Connection(sock=sock)
    try:
        with _limited_to(HANDSHAKE_STEPS * timeout_seconds):
            connection.peer_name, _ = perform_handshake(
                connection, key=key, name=name, purpose=purpose, role="dialer"
            )
    except BaseException:
        connection.close()
        raise
    connection.accept_messages()
    connection.purpose = purpose
    _use_purpose(connection)
    connection.set_timeout(None)
    return connection


def dial_from_host(host, *, address, port, purpose, timeout_seconds=2.0):
    """Dial with the name and key of this host, the HostSettings `host`."""
    return dial(
        address=address,
        port=port,
        key=host.peer_key.encode(),
        name=host.name,
        purpose=purpose,
        timeout_seconds=timeout_seconds,
    )


def _use_purpose(connection):
    connection.compresses = connection.purpose in COMPRESSED_PURPOSES
    connection.waits_for_others = connection.purpose not in PROMPT_PURPOSES
