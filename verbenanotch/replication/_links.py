"""Connections to the other replicas.

Each replica dials its peers and sends messages on the connections that it
dialled; on the connections that its peers dialled it receives them and
sends nothing but Hellos in reply. A Hello that has not changed since the last
one on its connection is sent as Unchanged. Messages may be lost, but are not
reordered within a connection; the core repeats those that matter.
"""

import contextlib
import time

import eventlet
from eventlet import event, queue

from verbenanotch import loop, wire
from verbenanotch.replication import events
from verbenanotch.replication._messages import Hello, Unchanged
from verbenanotch.telemetry import emit

HELLO_INTERVAL_SECONDS = 0.5
# A dialled connection is closed if the peer sends nothing for this long.
PEER_TIMEOUT_SECONDS = 3.0
MIN_REDIAL_DELAY_SECONDS = 0.02
MAX_REDIAL_DELAY_SECONDS = 1.0
MAX_QUEUED_MESSAGES = 512


class _HelloStream:
    """The Hellos that one connection carries, in both directions."""

    def __init__(self, make_hello):
        """Start with a connection that has not carried any."""
        self._make_hello = make_hello
        self._sent = None
        self._received = None

    def next_message(self):
        """Return the own Hello, or Unchanged."""
        hello = self._make_hello()
        if hello == self._sent:
            return Unchanged()
        self._sent = hello
        return hello

    def receive(self, message):
        """Return the peer's Hello if the message stands for one, else None.

        Raises MalformedFrameError for Unchanged before any Hello.
        """
        match message:
            case Hello():
                self._received = message
            case Unchanged():
                if self._received is None:
                    raise wire.MalformedFrameError(
                        "peer sent Unchanged before its Hello; "
                        "run the same release on every host"
                    )
            case _:
                return None
        return self._received


class Link:
    """A connection to one peer, dialled again whenever it ends.

    `remote_id` is the `Member.id` in the peer's last Hello, empty while the
    peer is not connected. `member` is the Member in that Hello; it stays set
    after the connection has ended.
    """

    def __init__(self, *, name, address, port, links):
        """Set the peer to dial; `links` makes and checks the Hellos."""
        self.name = name
        self.address = address
        self.port = port
        self.remote_id = ""
        self.member = None
        self._links = links
        self._send_queue = queue.LightQueue(MAX_QUEUED_MESSAGES)
        self._last_received_at = 0.0
        self._was_connected = False
        self._reconnect_requested = event.Event()
        self._greenthread = None

    def start(self):
        """Dial in the background."""
        self._greenthread = loop.spawn_lasting(self._dial_forever)

    def stop(self):
        """Close the connection."""
        self._greenthread.kill()

    def send(self, message):
        """Queue a message; return whether it was queued.

        It is dropped if the peer is not connected or the queue is full.
        """
        if not self.remote_id:
            return False
        try:
            self._send_queue.put_nowait(message)
        except queue.Full:
            return False
        return True

    def reconnect_now(self):
        """Dial now instead of after the backoff, as the peer is running."""
        if not self._reconnect_requested.ready():
            self._reconnect_requested.send()

    def _dial_forever(self):
        delay = MIN_REDIAL_DELAY_SECONDS
        while True:
            try:
                self._run_connection(self._dial())
            except wire.WireError as error:
                emit(events.LINK_LOST, peer=self.name, error=str(error))
            if self._was_connected:
                self._was_connected = False
                delay = MIN_REDIAL_DELAY_SECONDS
            self._reconnect_requested.wait(delay * self._links.jitter())
            self._reconnect_requested = event.Event()
            delay = min(2 * delay, MAX_REDIAL_DELAY_SECONDS)

    def _dial(self):
        return wire.dial(
            address=self.address,
            port=self.port,
            key=self._links.key,
            name=self._links.own_name,
            purpose=wire.Purpose.REPLICATION,
        )

    def _run_connection(self, connection):
        self._last_received_at = time.monotonic()
        hellos = _HelloStream(self._links.make_hello)
        greenthreads = [
            eventlet.spawn(self._read_forever, connection, hellos),
            eventlet.spawn(self._close_when_silent, connection),
        ]
        try:
            self._write_forever(connection, hellos)
        finally:
            self.remote_id = ""
            self._drop_queued()
            for greenthread in greenthreads:
                greenthread.kill()
            connection.close()

    def _write_forever(self, connection, hellos):
        next_hello_at = 0.0
        while not connection.closed:
            now = time.monotonic()
            if now >= next_hello_at:
                next_hello_at = now + HELLO_INTERVAL_SECONDS
                connection.send(hellos.next_message())
            with contextlib.suppress(queue.Empty):
                connection.send(
                    self._send_queue.get(timeout=next_hello_at - now)
                )

    def _close_when_silent(self, connection):
        """Close the connection if the peer does not answer Hellos.

        The writer cannot check this itself, as it may be blocked in a write.
        """
        while time.monotonic() - self._last_received_at < PEER_TIMEOUT_SECONDS:
            eventlet.sleep(HELLO_INTERVAL_SECONDS)
        connection.close()

    def _read_forever(self, connection, hellos):
        try:
            while True:
                hello = hellos.receive(connection.receive())
                self._last_received_at = time.monotonic()
                if hello is not None:
                    self._links.accept_hello(hello, connection)
                    self.member = hello.member
                    self.remote_id = hello.member.id
                    self._was_connected = True
        except wire.WireError:
            connection.close()

    def _drop_queued(self):
        with contextlib.suppress(queue.Empty):
            while True:
                self._send_queue.get_nowait()


class Links:
    """The links to all known peers, and the connections dialled by them."""

    def __init__(self, *, own_name, key, random, make_hello, handler):
        """Start without links.

        `make_hello()` returns the Hello of this replica.
        `handler.on_hello(hello)` returns whether the peer may stay connected.
        `handler.on_message(member_id, message)` receives each message with
        its sender.
        """
        self.own_name = own_name
        self.key = key
        self.make_hello = make_hello
        self._random = random
        self._handler = handler
        self._links_by_name = {}
        self._inbound = set()

    def ensure(self, *, name, address, port):
        """Create a link to a peer; replace one that has another address."""
        if name == self.own_name:
            return
        link = self._links_by_name.get(name)
        if link is not None and (link.address, link.port) == (address, port):
            return
        if link is not None:
            link.stop()
        link = Link(name=name, address=address, port=port, links=self)
        self._links_by_name[name] = link
        link.start()

    def send(self, member_id, message):
        """Queue a message for a member; return whether it was queued."""
        link = self._links_by_name.get(member_id.partition("#")[0])
        if link is None or link.remote_id != member_id:
            return False
        return link.send(message)

    def connected_members_by_name(self):
        """Return the connected members by host name."""
        return {
            name: link.member
            for name, link in self._links_by_name.items()
            if link.remote_id
        }

    def stop(self):
        """Close all connections."""
        for link in self._links_by_name.values():
            link.stop()
        for connection in list(self._inbound):
            connection.close()

    def jitter(self):
        """Return a random factor from 0.5 to 1.5."""
        return 0.5 + self._random.random()

    def accept_hello(self, hello, connection):
        """Check a Hello and pass it to the handler.

        Raises WireError if its name is not that of the connection's peer or
        the handler refuses it.
        """
        if hello.member.name != connection.peer_name:
            raise wire.MalformedFrameError(
                f"peer {connection.peer_name!r} sent the host name "
                f"{hello.member.name!r}; check its settings"
            )
        if not self._handler.on_hello(hello):
            raise wire.WireError("the peer belongs to another cluster")

    def serve(self, connection):
        """Receive on a connection that a peer dialled, until it ends."""
        self._inbound.add(connection)
        try:
            self._receive_forever(connection)
        finally:
            self._inbound.discard(connection)

    def _reconnect_now(self, name):
        link = self._links_by_name.get(name)
        if link is not None:
            link.reconnect_now()

    def _receive_forever(self, connection):
        member_id = ""
        hellos = _HelloStream(self.make_hello)
        while True:
            message = connection.receive()
            hello = hellos.receive(message)
            if hello is not None:
                self.accept_hello(hello, connection)
                if hello.member.id != member_id:
                    self._reconnect_now(hello.member.name)
                member_id = hello.member.id
                connection.send(hellos.next_message())
            elif member_id:
                self._handler.on_message(member_id, message)
            else:
                raise wire.MalformedFrameError(
                    "peer sent another message before its Hello; "
                    "run the same release on every host"
                )
