"""A socket whose descriptor stays registered with the eventlet hub.

Eventlet's GreenSocket tries to read; if there is no data, it registers the
descriptor, waits, removes the registration and reads again. That is four
system calls more than the read itself. Requests and responses almost never
arrive before their reader starts to read, so the first try nearly always
fails. LoopSocket therefore waits first and keeps the registration.
"""

import collections
import contextlib
import errno
import fcntl
import os
import socket
import struct
import termios
import time

import eventlet
import greenlet
from eventlet import hubs, patcher
from eventlet.greenio.base import GreenSocket, set_nonblocking
from eventlet.hubs.hub import BaseHub

from verbenanotch.loop._receive_buffers import (
    MAX_LINK_UNREAD_BYTES,
    MAX_UNAUTHENTICATED_BYTES,
    accepted_buffers,
    dialed_buffers,
    link_buffers,
    set_receive_buffer,
)

# Eventlet removes `poll` from the module that it patches.
select = patcher.original("select")

# A peer that sends more than this unread is held back by the flow control of
# the kernel.
MAX_AHEAD_BYTES = 64 * 1024
# Of all sockets of the process.
MAX_ALL_AHEAD_BYTES = 16 * 1024 * 1024
# The time that a process has to end after SIGTERM, and some more.
PORT_WAIT_SECONDS = 10.0
PORT_RETRY_SECONDS = 0.1


class _AheadBytes:
    """Bytes that all sockets have read ahead."""

    def __init__(self):
        self.used = 0

    @property
    def left(self):
        return MAX_ALL_AHEAD_BYTES - self.used


_all_ahead_bytes = _AheadBytes()


class LoopSocket(GreenSocket):
    """Wait for data before each read; keep the registration between reads.

    Only one greenthread may read at once. `on_unread` is called with this
    socket if data, or the end of the stream, arrives while no greenthread
    reads. The descriptor is then unregistered until the next read.
    `received_at` is when the bytes of the last read arrived, in monotonic
    seconds.

    The kernel tells the error of a connection once, to a send, a peek or a
    read, and then an ordinary end of the stream. So the error is kept, and a
    read never returns that end after it.
    """

    def __init__(self, *args, **kwargs):
        """Create a socket, or take ownership of a plain non-blocking one."""
        super().__init__(*args, **kwargs)
        # GreenSocket sets `self.close`, which would hide the method below.
        del self.close
        self._hub_listener = None
        self._reader = None
        self._is_aborted = False
        self._error_number = None
        # Pairs of the time of arrival and the bytes that were read ahead.
        # None while there are none: an empty deque takes 760 bytes.
        self._ahead = None
        self._ahead_bytes = 0
        self._blocked_since = None
        self._blocked_bytes = 0
        self._receive_buffers = None
        self._is_for_links = False
        self.received_at = 0.0
        self.on_unread = None

    def recv(self, size, flags=0):
        """Return the next bytes, or `b""` at the end of the stream."""
        if self._ahead:
            return self._take_ahead(size)
        data = self._read(self.fd.recv, size, flags)
        self.received_at = time.monotonic()
        return data

    def receive_arrived(self, size):
        """Return the next bytes, or None if none have arrived.

        Returns `b""` at the end of the stream; never blocks. A greenthread
        that waits in a read goes on waiting. Nothing may have been read ahead.
        """
        try:
            return self._receive(self.fd.recv, size, socket.MSG_DONTWAIT)
        except BlockingIOError:
            return None

    def send(self, data, flags=0):
        """Send what the kernel accepts; return the number of bytes."""
        try:
            return super().send(data, flags)
        except OSError as error:
            self._keep_error(error)
            raise

    def send_at_once(self, data):
        """Send what the kernel accepts now; return the number of bytes.

        Never blocks. Raises OSError if the connection has failed.
        """
        try:
            return self.fd.send(data, socket.MSG_DONTWAIT)
        except BlockingIOError:
            return 0
        except OSError as error:
            self._keep_error(error)
            raise

    def sendall(self, data, flags=0):
        """Send all bytes; what is left is not copied for each system call."""
        unsent = memoryview(data)
        try:
            while unsent:
                self._blocked_since = time.monotonic()
                unsent = unsent[self.send(unsent, flags) :]
        finally:
            self._blocked_since = None

    def is_blocked_for(self, seconds):
        """Return whether the peer has taken nothing of a `sendall` so long.

        The time starts anew with each call that finds the peer's progress.
        """
        if self._blocked_since is None:
            return False
        queued_bytes = self._queued_bytes()
        if queued_bytes != self._blocked_bytes:
            self._blocked_bytes = queued_bytes
            self._blocked_since = time.monotonic()
        return time.monotonic() - self._blocked_since >= seconds

    def has_unsent(self):
        """Return whether the kernel still has bytes to send."""
        # The end of the stream counts as one.
        return self._queued_bytes() > 1

    def _queued_bytes(self):
        """Return the bytes that the kernel still has to send.

        A send continues only once a large part of them has been taken, so a
        slow peer is told from one that does not read by this number alone.
        """
        return self._kernel_bytes(termios.TIOCOUTQ)

    def _kernel_bytes(self, request):
        """Return the number that an ioctl tells, 0 if it fails."""
        buffer = bytearray(struct.calcsize("i"))
        try:
            fcntl.ioctl(self.fd.fileno(), request, buffer)
        except OSError:
            return 0
        return struct.unpack("i", buffer)[0]

    def recv_into(self, buffer, size=0, flags=0):
        """Read the next bytes into a buffer; return their number."""
        if self._ahead:
            data = self._take_ahead(size or len(buffer))
            buffer[: len(data)] = data
            return len(data)
        count = self._read(self.fd.recv_into, buffer, size, flags)
        self.received_at = time.monotonic()
        return count

    def read_ahead(self):
        """Keep the bytes that have arrived; return whether the stream ended.

        They are returned by later reads. At most MAX_AHEAD_BYTES are kept, and
        MAX_ALL_AHEAD_BYTES of all sockets; the end of a stream behind more of
        them is told by `has_ended` alone. Never blocks, and does nothing while
        a greenthread reads.
        """
        while self._reader is None and not self.is_ahead_full:
            room = min(
                MAX_AHEAD_BYTES - self._ahead_bytes, _all_ahead_bytes.left
            )
            try:
                data = self._receive(self.fd.recv, room, socket.MSG_DONTWAIT)
            except BlockingIOError:
                return False
            except (OSError, ValueError, AttributeError):
                return True
            if not data:
                return True
            if self._ahead is None:
                self._ahead = collections.deque()
            self._ahead.append((time.monotonic(), data))
            self._count_ahead(len(data))
        return False

    @property
    def is_ahead_full(self):
        """Whether `read_ahead` keeps no further bytes."""
        return (
            self._ahead_bytes >= MAX_AHEAD_BYTES or _all_ahead_bytes.left <= 0
        )

    def accept(self):
        """Return the next connection as a LoopSocket, and its address.

        Waits only if the listen queue is empty: a turn of a busy loop for each
        connection would keep new callers waiting behind those with open ones.
        """
        try:
            accepted, address = self.fd.accept()
        except BlockingIOError:
            if self.act_non_blocking:
                raise
            accepted, address = self._read(self.fd.accept)
        hubs.notify_opened(accepted.fileno())
        set_nonblocking(accepted)
        sock = LoopSocket(accepted, set_nonblocking=False)
        if self._is_for_links:
            set_receive_buffer(sock, MAX_UNAUTHENTICATED_BYTES)
        else:
            sock.share_buffers(
                accepted_buffers, present_bytes=accepted_buffers.waiting_bytes
            )
        return sock, address

    def use_link_buffer(self):
        """Let the kernel keep what a link to another process needs.

        For sockets that were accepted for links.
        """
        self.share_buffers(
            link_buffers, present_bytes=MAX_UNAUTHENTICATED_BYTES
        )

    def share_buffers(self, receive_buffers, *, present_bytes=0):
        """Bound the unread bytes as one of the sockets of ReceiveBuffers.

        `present_bytes` is a bound that the socket has already.
        """
        self._receive_buffers = receive_buffers
        receive_buffers.add(self, present_bytes=present_bytes)

    def peek(self):
        """Return the next byte without consuming it or blocking.

        Returns `b""` if the stream has ended or failed, and None if no data
        has arrived.
        """
        try:
            return self._receive(
                self.fd.recv, 1, socket.MSG_PEEK | socket.MSG_DONTWAIT
            )
        except BlockingIOError:
            return None
        except (OSError, ValueError):
            return b""

    def has_arrived(self, *, behind=0):
        """Return whether more than `behind` bytes can be read at once."""
        behind -= self._ahead_bytes
        if behind > 0:
            return self._kernel_bytes(termios.FIONREAD) > behind
        return behind < 0 or bool(self.peek())

    def has_ended(self):
        """Return whether the peer has closed or reset the connection.

        Never blocks. The end is seen behind unread bytes, too.
        """
        unread = self.peek()
        if not unread:
            return unread is not None
        return self._has_event(select.POLLRDHUP)

    def has_failed(self):
        """Return whether both directions have ended, as after a reset.

        Never blocks, and leaves the error to the next read.
        """
        return self._has_event(select.POLLHUP)

    def _has_event(self, event):
        poll = select.poll()
        poll.register(self.fd.fileno(), event)
        return bool(poll.poll(0))

    def register(self):
        """Register with the hub, so that unread data triggers `on_unread`."""
        if self._hub_listener is None:
            hub = hubs.get_hub()
            self._hub_listener = hub.add(
                hub.READ,
                self.fd.fileno(),
                self._on_readable,
                self._on_obsolete,
                self._mark_as_closed,
            )

    def abort(self):
        """End the connection; reads in progress and later ones fail.

        A shutdown alone ends no read while the peer goes on sending.
        """
        self._is_aborted = True
        with contextlib.suppress(OSError):
            self.fd.shutdown(socket.SHUT_RDWR)

    def close(self):
        """Close the descriptor; a greenthread that reads is not woken."""
        if self._hub_listener is not None:
            # The kernel removes a closed descriptor from epoll, so only the
            # hub's own table is updated.
            listener, self._hub_listener = self._hub_listener, None
            BaseHub.remove(hubs.get_hub(), listener)
        self._ahead = None
        self._count_ahead(-self._ahead_bytes)
        if self.fd is not None:
            self.fd.close()
        if self._receive_buffers is not None:
            self._receive_buffers.remove(self)

    def _take_ahead(self, size):
        self.received_at, data = self._ahead.popleft()
        if len(data) > size:
            self._ahead.appendleft((self.received_at, data[size:]))
            data = data[:size]
        elif not self._ahead:
            self._ahead = None
        self._count_ahead(-len(data))
        return data

    def _count_ahead(self, count):
        self._ahead_bytes += count
        _all_ahead_bytes.used += count

    def _read(self, read, *args):
        while True:
            if not self.act_non_blocking:
                self._wait()
            if self._is_aborted:
                raise ConnectionAbortedError("this host ended the connection")
            try:
                return self._receive(read, *args)
            except BlockingIOError:
                if self.act_non_blocking:
                    raise

    def _receive(self, read, *args):
        """Return what `read` returns, but no end of the stream after errors.

        Raises OSError.
        """
        try:
            result = read(*args)
        except OSError as error:
            self._keep_error(error)
            raise
        if not result and self._error_number is not None:
            raise OSError(self._error_number, os.strerror(self._error_number))
        return result

    def _keep_error(self, error):
        # Timeouts of this process have no number.
        if error.errno is not None and not isinstance(error, BlockingIOError):
            self._error_number = error.errno

    def _wait(self):
        """Wait for data; raise TimeoutError after the socket's timeout."""
        self.register()
        hub = hubs.get_hub()
        reader = greenlet.getcurrent()
        timer = None
        if self._timeout is not None:
            timer = hub.schedule_call_global(
                self._timeout, reader.throw, TimeoutError("timed out")
            )
        self._reader = reader
        try:
            hub.switch()
        finally:
            self._reader = None
            if timer is not None:
                timer.cancel()

    def _on_readable(self, _):
        if self._reader is not None:
            self._reader.switch()
            return
        # The hub would report the same unread data on every iteration.
        self._unregister()
        if self.on_unread is not None:
            self.on_unread(self)

    def _on_obsolete(self, error):
        """Handle the notice that the descriptor was closed and reused."""
        self._hub_listener = None
        if self._reader is not None:
            self._reader.throw(error)

    def _unregister(self):
        if self._hub_listener is not None:
            listener, self._hub_listener = self._hub_listener, None
            hubs.get_hub().remove(listener)


def listen(
    address, port, *, backlog, on_wait=lambda: None, is_for_links=False
):
    """Return a socket that listens on an IPv4 address.

    `is_for_links` is set if `use_link_buffer` is called for connections.
    A `port` of 0 picks a free one. If the port is in use, `on_wait()` is
    called once, and the port may become free within PORT_WAIT_SECONDS: the
    process that was there before may still be ending. Raises OSError.
    """
    end = time.monotonic() + PORT_WAIT_SECONDS
    waits = False
    while True:
        try:
            return _listen_now(address, port, backlog, is_for_links)
        except OSError as error:
            if error.errno != errno.EADDRINUSE or time.monotonic() >= end:
                raise
        if not waits:
            waits = True
            on_wait()
        eventlet.sleep(PORT_RETRY_SECONDS)


def _listen_now(address, port, backlog, is_for_links):
    sock = LoopSocket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if is_for_links:
            sock._is_for_links = True
            # A connection keeps the largest window of its listener.
            set_receive_buffer(sock, MAX_LINK_UNREAD_BYTES)
        else:
            accepted_buffers.add_listener(sock)
        sock.bind((address, port))
        sock.listen(backlog)
    except BaseException:
        sock.close()
        raise
    return sock


def connect(address, port, *, timeout_seconds, is_for_links=False):
    """Return a socket connected to an IPv4 address.

    The timeout also applies to later operations. `is_for_links` lets the
    kernel keep more unread bytes. Raises OSError.
    """
    sock = LoopSocket(socket.AF_INET, socket.SOCK_STREAM)
    sock.settimeout(timeout_seconds)
    try:
        # The window that is offered later has the scale of this moment.
        sock.share_buffers(link_buffers if is_for_links else dialed_buffers)
        sock.connect((address, port))
    except BaseException:
        sock.close()
        raise
    return sock
