"""Messages between the leader of the replicated log and all proxies.

Features that one place decides for the whole mesh, such as limits of client
accounts, use these channels: the leader sends its decisions to all proxies,
and the proxies report to the leader. Messages may be lost, and arrive in any
order after a change of the leader: what must last belongs into the log.
"""

import time

import eventlet
import msgpack

from verbenanotch.distribution._messages import FromLeader, ToLeader
from verbenanotch.wire import (
    MalformedFrameError,
    decode,
    encode,
    send_in_background,
)


class _Handlers:
    """The handlers of decoded payloads, by message class."""

    def __init__(self):
        self._handlers_by_class = {}

    def add(self, message_class, handler):
        self._handlers_by_class[message_class] = handler

    def call(self, payload, *arguments):
        """Decode a payload and pass it on; raises MalformedFrameError."""
        message = decode(_unpack(payload))
        handler = self._handlers_by_class.get(type(message))
        if handler is not None:
            handler(*arguments, message)


def _unpack(payload):
    try:
        return msgpack.unpackb(payload)
    except Exception as error:
        raise MalformedFrameError(
            "a message of the leader's channel is not msgpack; "
            "run the same release on every host"
        ) from error


class ProxyChannel:
    """A control host's side: it sends only while the host leads.

    Messages of proxies are received in any case, since a proxy learns of a
    new leader later than the leader itself.
    """

    def __init__(self, *, leading_term):
        """Start without connections.

        `leading_term()` returns the term in which this host leads, else None.
        """
        self._leading_term = leading_term
        self._handlers = _Handlers()
        self._connections_by_host = {}

    @property
    def term(self):
        """The term in which this host leads, None if it does not."""
        return self._leading_term()

    @property
    def hosts(self):
        """The names of the connected proxies."""
        return tuple(self._connections_by_host)

    def on(self, message_class, handler):
        """Call `handler(host, message)` for each message of a class."""
        self._handlers.add(message_class, handler)

    def connect(self, host, connection):
        """Add the connection to a proxy; it replaces an earlier one."""
        self._connections_by_host[host] = connection

    def disconnect(self, host, connection):
        """Remove a connection unless it has been replaced."""
        if self._connections_by_host.get(host) is connection:
            del self._connections_by_host[host]

    def receive(self, host, message):
        """Pass on the payload of a ToLeader."""
        self._handlers.call(message.payload, host)

    def broadcast(self, message):
        """Send a message to all proxies; return False if not the leader."""
        return self.send(self.hosts, message)

    def send(self, hosts, message):
        """Send a message to some proxies; return False if not the leader.

        It is sent in the background: a proxy that does not read delays no
        other.
        """
        term = self._leading_term()
        if term is None:
            return False
        wrapped = FromLeader(term=term, payload=encode(message))
        for host in hosts:
            connection = self._connections_by_host.get(host)
            if connection is not None:
                send_in_background(connection, wrapped)
        return True


class LeaderChannel:
    """A proxy's side: it follows the leader with the highest term."""

    def __init__(self, *, monotonic=time.monotonic):
        """Start without a known leader."""
        self._monotonic = monotonic
        self._handlers = _Handlers()
        self._term = -1
        self._control = None
        self._heard_at = None

    def on(self, message_class, handler):
        """Call `handler(message)` for each message of a class."""
        self._handlers.add(message_class, handler)

    def silent_seconds(self):
        """Return the seconds since the leader's last message, or None.

        None means that no leader has sent a message yet.
        """
        if self._heard_at is None:
            return None
        return self._monotonic() - self._heard_at

    def receive(self, control, message):
        """Pass on the payload of a FromLeader, unless its term has ended.

        `control` is the ControlConnection that it came from.
        """
        if message.term < self._term:
            return
        self._term = message.term
        self._control = control
        self._heard_at = self._monotonic()
        self._handlers.call(message.payload)

    def disconnect(self, control):
        """Forget a connection that has ended."""
        if self._control is control:
            self._control = None

    def send(self, message):
        """Send a message to the leader in the background.

        Returns False if no leader is known; it may be lost in any case.
        """
        if self._control is None:
            return False
        eventlet.spawn_n(self._control.send, ToLeader(payload=encode(message)))
        return True
