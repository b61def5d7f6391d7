"""Send control messages without blocking the one who reads."""

import collections

import eventlet

from verbenanotch.wire import WireError


class SendQueue:
    """Queue small messages of a connection for a greenthread of their own.

    A greenthread that receives must not wait for room to send: two peers
    that did so would wait for each other.
    """

    def __init__(self, *, connection):
        """Send on `connection`."""
        self._connection = connection
        self._items = collections.deque()
        self._sending = False

    def post(self, item):
        """Queue a message; it is lost if the connection ends."""
        self._items.append(item)
        if not self._sending:
            self._sending = True
            eventlet.spawn_n(self._send_all)

    def _send_all(self):
        try:
            while self._items:
                self._connection.send(self._items.popleft())
        except WireError:
            self._items.clear()
        finally:
            self._sending = False
