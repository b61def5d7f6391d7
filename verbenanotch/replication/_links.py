"""Connections to the other replicas.

Each replica dials its peers and sends on what it dialled; what it receives
comes mostly on connections that peers dialled. Messages may be lost, never
reordered within one connection; the core repeats what matters.
"""

import contextlib
import time

import eventlet
from eventlet import event, queue

from verbenanotch import wire
from verbenanotch.replication import events
from verbenanotch.replication._messages import Hello
from verbenanotch.telemetry import emit

HELLO_SECONDS = 0.5
SILENCE_SECONDS = 3.0
MIN_REDIAL_SECONDS = 0.02
MAX_REDIAL_SECONDS = 1.0
MAX_QUEUED_MESSAGES = 512


class Link:
    """One dialled connection to a peer, dialled again when it ends."""

    def __init__(self, *, name, address, port, links):
        """Describe the peer; `links` gives the identity and takes Hellos."""
        self.name = name
        self.address = address
        self.port = port
        self.remote_id = ""
        self.member = None
        self._links = links
        self._send_queue = queue.LightQueue(MAX_QUEUED_MESSAGES)
        self._contact_at = 0.0
        self._was_connected = False
        self._reconnect_requested = event.Event()
        self._greenthread = None

    def start(self):
        """Dial in the background."""
        self._greenthread = eventlet.spawn(self._dial_forever)

    def stop(self):
        """Close the connection."""
        self._greenthread.kill()

    def send(self, message):
        """Queue a message; tell whether the peer is connected."""
        if not self.remote_id:
            return False
        try:
            self._send_queue.put_nowait(message)
        except queue.Full:
            return False
        return True

    def reconnect_now(self):
        """Dial now if a dial waits: the peer has shown that it lives."""
        if not self._reconnect_requested.ready():
            self._reconnect_requested.send()

    def _dial_forever(self):
        delay = MIN_REDIAL_SECONDS
        while True:
            try:
                self._use(self._dial())
            except wire.WireError as error:
                emit(events.LINK_LOST, peer=self.name, error=str(error))
            if self._was_connected:
                self._was_connected = False
                delay = MIN_REDIAL_SECONDS
            self._reconnect_requested.wait(delay * self._links.jitter())
            self._reconnect_requested = event.Event()
            delay = min(2 * delay, MAX_REDIAL_SECONDS)

    def _dial(self):
        return wire.dial(
            address=self.address,
            port=self.port,
            key=self._links.key,
            name=self._links.own_name,
            purpose=wire.Purpose.REPLICATION,
        )

    def _use(self, connection):
        self._contact_at = time.monotonic()
        helpers = [
            eventlet.spawn(self._read_forever, connection),
            eventlet.spawn(self._close_when_silent, connection),
        ]
        try:
            self._write_forever(connection)
        finally:
            self.remote_id = ""
            self._drop_queued()
            for greenthread in helpers:
                greenthread.kill()
            connection.close()

    def _write_forever(self, connection):
        hello_at = 0.0
        while not connection.closed:
            now = time.monotonic()
            if now >= hello_at:
                hello_at = now + HELLO_SECONDS
                connection.send(self._links.make_hello())
            with contextlib.suppress(queue.Empty):
                connection.send(self._send_queue.get(timeout=hello_at - now))

    def _close_when_silent(self, connection):
        """Close a connection whose peer does not answer Hellos.

        The writer cannot tell, since it may be blocked in a write.
        """
        while time.monotonic() - self._contact_at < SILENCE_SECONDS:
            eventlet.sleep(HELLO_SECONDS)
        connection.close()

    def _read_forever(self, connection):
        try:
            while True:
                message = connection.receive()
                self._contact_at = time.monotonic()
                if isinstance(message, Hello):
                    self._links.accept_hello(message, connection)
                    self.member = message.member
                    self.remote_id = message.member.id
                    self._was_connected = True
        except wire.WireError:
            connection.close()

    def _drop_queued(self):
        with contextlib.suppress(queue.Empty):
            while True:
                self._send_queue.get_nowait()


class Links:
    """The links to all known peers, and the connections that they dial."""

    def __init__(self, *, own_name, key, random, make_hello, handler):
        """Prepare; `handler` has `on_hello(hello)` and `on_message`.

        `on_hello` tells whether the peer may stay. `on_message` takes the
        sender's member identity and the message.
        """
        self.own_name = own_name
        self.key = key
        self.make_hello = make_hello
        self._random = random
        self._handler = handler
        self._links_by_name = {}
        self._inbound = set()

    def ensure(self, *, name, address, port):
        """Have a link to a peer at this address."""
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
        """Queue a message for a member; tell whether it is connected."""
        link = self._links_by_name.get(member_id.partition("#")[0])
        if link is None or link.remote_id != member_id:
            return False
        return link.send(message)

    def connected_members_by_name(self):
        """Return the members to which there is a link."""
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
        """Return a random factor around 1."""
        return 0.5 + self._random.random()

    def accept_hello(self, hello, connection):
        """Check a Hello and pass it on; raise WireError to refuse it."""
        if hello.member.name != connection.peer_name:
            raise wire.MalformedFrameError(
                f"peer {connection.peer_name!r} says that it is "
                f"{hello.member.name!r}; check its settings"
            )
        if not self._handler.on_hello(hello):
            raise wire.WireError("the peer belongs to another cluster")

    def serve(self, connection):
        """Receive from a connection that a peer dialled, until it ends."""
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
        while True:
            message = connection.receive()
            if isinstance(message, Hello):
                self.accept_hello(message, connection)
                if message.member.id != member_id:
                    self._reconnect_now(message.member.name)
                member_id = message.member.id
                connection.send(self.make_hello())
            elif member_id:
                self._handler.on_message(member_id, message)
            else:
                raise wire.MalformedFrameError(
                    "peer did not say who it is; "
                    "run the same release on every host"
                )
