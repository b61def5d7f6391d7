"""Readable and writable file objects over a socket, for HTTP libraries."""

import io

# Up to this size, buffered writes are joined and sent in one system call.
# Larger ones are sent separately, which avoids the copy.
MAX_JOINED_BYTES = 64 * 1024


class SocketReader(io.RawIOBase):
    """Read from a socket; report no available data while `is_paused`."""

    def __init__(self, sock):
        """Wrap a connected socket without taking ownership of it."""
        self._socket = sock
        self.is_paused = False

    def readable(self):
        """Return True, as `io.BufferedReader` requires."""
        return True

    def readinto(self, buffer):
        """Read bytes into `buffer`; return their number, None while paused."""
        return None if self.is_paused else self._socket.recv_into(buffer)

    def has_arrived(self, *, behind=0):
        """Return whether the socket has more than `behind` bytes to read."""
        return self._socket.has_arrived(behind=behind)


def buffered_input(file):
    """Return the bytes that a reader has received and not returned yet.

    `file` buffers a SocketReader. Never blocks; no greenthread may be reading
    from it.
    """
    raw = file.raw
    raw.is_paused = True
    try:
        return file.peek(1)
    finally:
        raw.is_paused = False


def has_input(file, *, behind=0):
    """Return whether more than `behind` bytes have arrived for a reader.

    `file` is that of `buffered_input`, with the same conditions.
    """
    missing_bytes = behind - len(buffered_input(file))
    return missing_bytes < 0 or file.raw.has_arrived(behind=missing_bytes)


class SocketWriter:
    """Buffer writes and send them together on `flush`."""

    def __init__(self, sock):
        """Wrap a connected socket without taking ownership of it."""
        self._socket = sock
        self._pending = []
        self.closed = False

    def write(self, data):
        """Buffer bytes."""
        self._pending.append(data)

    def writelines(self, lines):
        """Buffer several chunks of bytes."""
        self._pending += lines

    def flush(self):
        """Send the buffered bytes; raise OSError if that fails."""
        pending, self._pending = self._pending, []
        if sum(map(len, pending)) <= MAX_JOINED_BYTES:
            pending = [b"".join(pending)] if pending else []
        for data in pending:
            self._socket.sendall(data)

    def close(self):
        """Mark the writer as closed; the socket stays open."""
        self.closed = True
