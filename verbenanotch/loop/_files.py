"""Files over a socket, as the HTTP libraries want them."""

import io

# Small pieces leave in one system call; larger ones are not copied for it.
JOINED_BYTES = 64 * 1024


class SocketReader(io.RawIOBase):
    """Read a socket, or while `is_paused` only say that nothing is there."""

    def __init__(self, sock):
        """Read from a connected socket, which stays its owner's."""
        self._socket = sock
        self.is_paused = False

    def readable(self):
        """Return True; needed by the buffer above."""
        return True

    def readinto(self, buffer):
        """Read bytes; return None while it is paused."""
        return None if self.is_paused else self._socket.recv_into(buffer)


class SocketWriter:
    """Collect what is written and send it together on `flush`."""

    def __init__(self, sock):
        """Write to a connected socket, which stays its owner's."""
        self._socket = sock
        self._pending = []
        self.closed = False

    def write(self, data):
        """Collect bytes."""
        self._pending.append(data)

    def writelines(self, lines):
        """Collect several pieces of bytes."""
        self._pending += lines

    def flush(self):
        """Send all that was collected; raise OSError if that fails."""
        pending, self._pending = self._pending, []
        if sum(map(len, pending)) <= JOINED_BYTES:
            pending = [b"".join(pending)] if pending else []
        for data in pending:
            self._socket.sendall(data)

    def close(self):
        """Take no more; the socket stays open."""
        self.closed = True
