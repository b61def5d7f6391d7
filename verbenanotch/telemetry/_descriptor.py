"""Writes to a descriptor that neither block nor yield to other greenthreads.

Eventlet's `os.write` and `select.poll` switch to other greenthreads, even if
the descriptor is ready, so the originals are used here.
"""

import errno
import os
import select
import socket
import stat

import eventlet

_os = eventlet.patcher.original("os")
_poll = eventlet.patcher.original("select").poll
_socket = eventlet.patcher.original("socket").socket

# A write of up to this many bytes to a pipe that is ready for writing does not
# block (POSIX).
MAX_WRITE_BYTES = select.PIPE_BUF


class NonblockingDescriptor:
    """Write to an open descriptor: a file, pipe, socket or terminal.

    The descriptor's own flags stay as they are: other processes may share
    them.
    """

    def __init__(self, *, descriptor):
        """Use the descriptor from the first write on."""
        self._descriptor = descriptor
        self._write = None

    def write(self, data):
        """Return how many bytes were written; 0 if the write would block.

        At most MAX_WRITE_BYTES are written. Raises OSError if the descriptor
        takes no more bytes, such as a pipe whose reader has gone.
        """
        if self._write is None:
            self._write = self._choose_write()
        try:
            return self._write(data[:MAX_WRITE_BYTES])
        except BlockingIOError:
            return 0

    def _choose_write(self):
        mode = _os.fstat(self._descriptor).st_mode
        if stat.S_ISSOCK(mode):
            sock = _socket(fileno=_os.dup(self._descriptor))
            return lambda data: sock.send(data, socket.MSG_DONTWAIT)
        if stat.S_ISREG(mode):
            return lambda data: _os.write(self._descriptor, data)
        try:
            own = _os.open(
                f"/proc/self/fd/{self._descriptor}",
                os.O_WRONLY | os.O_NONBLOCK | os.O_NOCTTY,
            )
        except OSError as error:
            if error.errno == errno.ENXIO:
                raise
            return self._make_polled_write()
        return lambda data: _os.write(own, data)

    def _make_polled_write(self):
        """Return a write for a descriptor that can't be opened again.

        It can block if another process writes to the same pipe meanwhile.
        """
        poller = _poll()
        poller.register(self._descriptor, select.POLLOUT)

        def write(data):
            if not poller.poll(0):
                return 0
            return _os.write(self._descriptor, data)

        return write
