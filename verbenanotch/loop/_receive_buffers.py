"""Bounds of the bytes that the kernel keeps unread for the sockets.

Without a bound of its own, the kernel lets the buffer of each connection grow
to `net.ipv4.tcp_rmem`, often dozens of MB, whether anybody reads or not.
"""

import contextlib
import socket
import weakref

# Those of a group together get about five times as much at most: the ones that
# came while there were few keep their larger shares.
MAX_SHARES_BYTES = 4 * 1024 * 1024
# The end of a stream is seen only once all bytes before it have arrived, so
# that a caller which has left is noticed behind as many.
MAX_UNREAD_BYTES = 256 * 1024
MIN_UNREAD_BYTES = 4 * 1024
# Of a connection that is not accepted yet.
MAX_WAITING_BYTES = 8 * 1024
# Links are few, and fast over distances of some milliseconds.
MAX_LINK_SHARES_BYTES = 16 * 1024 * 1024
MAX_LINK_UNREAD_BYTES = 768 * 1024
MIN_LINK_UNREAD_BYTES = 64 * 1024
# Of a link whose peer is not authenticated yet: more than the kernel lets a
# peer send at first, so that nothing is sent twice.
MAX_UNAUTHENTICATED_BYTES = 128 * 1024


class ReceiveBuffers:
    """Share a number of bytes among the sockets of a group.

    Each socket gets `max_each_bytes` if it comes while the group is small, the
    less the larger the group is, and always `min_each_bytes`. It gets more
    once the group is smaller, but never less: the peer may send what it was
    offered before, and the kernel would drop it again and again.
    """

    def __init__(self, *, max_all_bytes, max_each_bytes, min_each_bytes):
        """Start without sockets."""
        self._max_all_bytes = max_all_bytes
        self._max_each_bytes = max_each_bytes
        self._min_each_bytes = min_each_bytes
        # A socket that nobody closes leaves with its last reference.
        self._bytes_by_socket = weakref.WeakKeyDictionary()
        self._listeners = weakref.WeakSet()
        self._min_capacity = max(1, max_all_bytes // max_each_bytes)
        self._capacity = self._min_capacity
        self.each_bytes = max_each_bytes

    def __len__(self):
        """Return the number of sockets."""
        return len(self._bytes_by_socket)

    def add(self, sock, *, present_bytes=0):
        """Bound a socket that has a bound of `present_bytes` already."""
        self._bytes_by_socket[sock] = present_bytes
        if len(self) > self._capacity:
            self._resize(2 * self._capacity)
        self._raise(sock)

    def remove(self, sock):
        """Forget a socket; others get more if there are few."""
        self._bytes_by_socket.pop(sock, None)
        # A number that goes up and down changes nothing.
        if (
            self._capacity > self._min_capacity
            and len(self) <= self._capacity // 4
        ):
            self._resize(self._capacity // 2)
            for other in list(self._bytes_by_socket):
                self._raise(other)

    def add_listener(self, sock):
        """Bound the connections that wait to be accepted by a listener."""
        self._listeners.add(sock)
        set_receive_buffer(sock, self.waiting_bytes)

    @property
    def waiting_bytes(self):
        """What a connection that is not accepted yet may hold."""
        return min(MAX_WAITING_BYTES, self.each_bytes)

    def _raise(self, sock):
        if self._bytes_by_socket[sock] < self.each_bytes:
            self._bytes_by_socket[sock] = self.each_bytes
            set_receive_buffer(sock, self.each_bytes)

    def _resize(self, capacity):
        self._capacity = capacity
        self.each_bytes = max(
            self._min_each_bytes,
            min(self._max_each_bytes, self._max_all_bytes // capacity),
        )
        for sock in self._listeners:
            set_receive_buffer(sock, self.waiting_bytes)


def set_receive_buffer(sock, max_bytes):
    """Bound the unread bytes of a socket or of those that a listener gets.

    A connection offers no larger window than its listener had room for. A
    socket that refuses the option, or that is closed, stays as it is.
    """
    with contextlib.suppress(OSError, ValueError, AttributeError):
        # The kernel doubles the value, for its own needs.
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, max_bytes // 2)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_WINDOW_CLAMP, max_bytes)


def _for_strangers():
    return ReceiveBuffers(
        max_all_bytes=MAX_SHARES_BYTES,
        max_each_bytes=MAX_UNREAD_BYTES,
        min_each_bytes=MIN_UNREAD_BYTES,
    )


# Apart, so that callers cannot take the buffers of what this host dials.
accepted_buffers = _for_strangers()
dialed_buffers = _for_strangers()
link_buffers = ReceiveBuffers(
    max_all_bytes=MAX_LINK_SHARES_BYTES,
    max_each_bytes=MAX_LINK_UNREAD_BYTES,
    min_each_bytes=MIN_LINK_UNREAD_BYTES,
)
