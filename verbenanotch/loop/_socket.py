"""A socket whose descriptor stays registered with the loop.

The library's own socket tries to read, registers its descriptor when there
is nothing, waits, takes the registration back and reads: four system calls
more than the read itself. Requests and answers never wait for the one who
reads them, so that the first try hardly ever succeeds.
"""

import socket

import greenlet
from eventlet import hubs
from eventlet.greenio.base import GreenSocket, set_nonblocking
from eventlet.hubs.hub import BaseHub


class LoopSocket(GreenSocket):
    """Wait first, read then; keep the registration for the next read.

    Only one greenthread may read at a time. `on_unread` is called with this
    socket when bytes, or the end of the stream, arrive while nobody reads;
    the descriptor is then registered again by the next read only.
    """

    def __init__(self, *args, **kwargs):
        """Make a socket, or take over a plain non-blocking one."""
        super().__init__(*args, **kwargs)
        # The library binds the close of the descriptor to the instance.
        del self.close
        self._listener = None
        self._reader = None
        self.on_unread = None

    def recv(self, size, flags=0):
        """Return the next bytes, or none at the end of the stream."""
        return self._read(self.fd.recv, size, flags)

    def recv_into(self, buffer, size=0, flags=0):
        """Read the next bytes into a buffer; return their number."""
        return self._read(self.fd.recv_into, buffer, size, flags)

    def accept(self):
        """Return the next connection as a LoopSocket, and its address."""
        accepted, address = self._read(self.fd.accept)
        hubs.notify_opened(accepted.fileno())
        set_nonblocking(accepted)
        return LoopSocket(accepted, set_nonblocking=False), address

    def peek(self):
        """Return what waits to be read, without reading or waiting.

        That is one byte, none if the stream has ended or broken, or None
        while nothing is there.
        """
        try:
            return self.fd.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return None
        except (OSError, ValueError):
            return b""

    def register(self):
        """Learn of bytes that arrive from now on."""
        if self._listener is None:
            hub = hubs.get_hub()
            self._listener = hub.add(
                hub.READ,
                self.fd.fileno(),
                self._on_readable,
                self._on_obsolete,
                self._mark_as_closed,
            )

    def close(self):
        """Close the descriptor; a greenthread that reads is not woken."""
        if self._listener is not None:
            # The system forgets the registration of a closed descriptor.
            listener, self._listener = self._listener, None
            BaseHub.remove(hubs.get_hub(), listener)
        if self.fd is not None:
            self.fd.close()

    def _read(self, read, *args):
        while True:
            if not self.act_non_blocking:
                self._wait()
            try:
                return read(*args)
            except BlockingIOError:
                if self.act_non_blocking:
                    raise

    def _wait(self):
        """Wait for bytes; raise TimeoutError after the socket's timeout."""
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
        # The loop would report the same bytes over and over.
        self._unregister()
        if self.on_unread is not None:
            self.on_unread(self)

    def _on_obsolete(self, error):
        """Take the notice that the descriptor was closed and used again."""
        self._listener = None
        if self._reader is not None:
            self._reader.throw(error)

    def _unregister(self):
        if self._listener is not None:
            listener, self._listener = self._listener, None
            hubs.get_hub().remove(listener)


def listen(address, port, *, backlog):
    """Return a socket that listens on an IPv4 address; `port` 0 is free."""
    sock = LoopSocket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((address, port))
    sock.listen(backlog)
    return sock


def connect(address, port, *, timeout_seconds):
    """Return a socket that is connected to an IPv4 address.

    The timeout stays that of the socket. Raises OSError.
    """
    sock = LoopSocket(socket.AF_INET, socket.SOCK_STREAM)
    sock.settimeout(timeout_seconds)
    try:
        sock.connect((address, port))
    except BaseException:
        sock.close()
        raise
    return sock
