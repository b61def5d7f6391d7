"""A snapshot that arrives in chunks."""

import zlib

from verbenanotch.replication._entries import decode_configuration
from verbenanotch.replication._log import SnapshotPoint

MAX_SNAPSHOT_BYTES = 256 * 1024 * 1024


class SnapshotReceiver:
    """Collect the chunks of one snapshot and check the whole."""

    def __init__(self, *, chunk):
        """Begin with what any chunk of the snapshot tells."""
        self._identity = _identity(chunk)
        self._total_bytes = min(chunk.total_bytes, MAX_SNAPSHOT_BYTES)
        self._checksum = chunk.checksum
        self._data = bytearray()
        self.point = SnapshotPoint(
            index=chunk.index,
            term=chunk.index_term,
            configuration=decode_configuration(chunk.configuration),
        )

    @property
    def size(self):
        """Return the number of bytes held."""
        return len(self._data)

    def fits(self, chunk):
        """Tell whether the chunk belongs to this snapshot."""
        return self._identity == _identity(chunk)

    def take(self, chunk):
        """Add a chunk; return the whole snapshot once it is complete.

        Chunks out of order are passed over; a wrong checksum starts over.
        """
        if chunk.offset == len(self._data):
            self._data += chunk.data
        if len(self._data) < self._total_bytes:
            return None
        data = bytes(self._data)
        if zlib.crc32(data) != self._checksum:
            self._data.clear()
            return None
        return data


def _identity(chunk):
    return (chunk.index, chunk.index_term, chunk.total_bytes, chunk.checksum)
