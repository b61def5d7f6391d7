"""Bound what all connections keep for peers that do not read.

The load pattern: many peers stand still at once, and each of their connections
is below its own limit. Small messages always pass, so that those that do not
read delay no others for long; a large one waits for room, and the connections
that have sent nothing for some time are ended for it.
"""

import time

import eventlet
from eventlet import event

from verbenanotch.telemetry import emit, metrics
from verbenanotch.wire import events

MAX_ALL_PENDING_BYTES = 24 * 1024 * 1024
# Of each connection, beyond the limit of all.
SMALL_PENDING_BYTES = 64 * 1024
MAX_UNREAD_SECONDS = 2.0
CHECK_SECONDS = 0.25


class PendingBytes:
    """The bytes that are queued at all connections of the process."""

    def __init__(self):
        """Start without connections."""
        self.used_bytes = 0
        self._connections = set()
        # Set while a message waits for room.
        self._freed = None
        self._checked_at = float("-inf")

    def has_room(self, own_bytes, count):
        """Return whether a connection with `own_bytes` may queue `count`.

        Afterwards as much as it has must be left to the others, so that a few
        leave room.
        """
        left_bytes = MAX_ALL_PENDING_BYTES - self.used_bytes - count
        return own_bytes + count <= max(SMALL_PENDING_BYTES, left_bytes)

    def add(self, connection, count):
        """Count bytes that a connection queues."""
        self.used_bytes += count
        self._connections.add(connection)

    def remove(self, connection, count):
        """Give bytes back that a connection has sent or dropped."""
        self.used_bytes -= count
        if not connection.pending_bytes:
            self._connections.discard(connection)
        if self._freed is not None:
            freed, self._freed = self._freed, None
            freed.send()

    def wait(self, connection):
        """Wait a moment for room for a message of `connection`.

        Others are ended only for one whose peer reads.
        """
        if connection.is_unread_for(MAX_UNREAD_SECONDS):
            eventlet.sleep(CHECK_SECONDS)
            return
        self._end_unread()
        if self._freed is None:
            self._freed = event.Event()
        self._freed.wait(timeout=CHECK_SECONDS)

    def _end_unread(self):
        """End connections that have sent nothing, those with most first."""
        now = time.monotonic()
        if now - self._checked_at < CHECK_SECONDS:
            return
        self._checked_at = now
        unread = [
            connection
            for connection in self._connections
            if connection.is_unread_for(MAX_UNREAD_SECONDS)
        ]
        unread.sort(key=lambda connection: connection.pending_bytes)
        left_bytes = self.used_bytes
        while unread and left_bytes > MAX_ALL_PENDING_BYTES / 2:
            connection = unread.pop()
            left_bytes -= connection.pending_bytes
            metrics.increment("wire.unread_ended")
            emit(
                events.PEER_UNREAD,
                peer=connection.peer_name,
                bytes=connection.pending_bytes,
            )
            connection.close()


all_pending = PendingBytes()
