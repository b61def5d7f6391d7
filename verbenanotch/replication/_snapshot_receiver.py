"""Assembly of a leader's snapshot from its chunks."""

import zlib

from verbenanotch.replication._entries import decode_configuration
from verbenanotch.replication._log import SnapshotMetadata

# Bounds the memory for a snapshot. Once this many bytes have arrived, the
# snapshot is verified, and discarded if it is incomplete.
MAX_SNAPSHOT_BYTES = 256 * 1024 * 1024


class SnapshotReceiver:
    """Collect the chunks of one snapshot and verify its checksum."""

    def __init__(self, *, chunk):
        """Expect the snapshot that `chunk` belongs to; do not add `chunk`."""
        self._identity = _snapshot_identity(chunk)
        self._total_bytes = min(chunk.total_bytes, MAX_SNAPSHOT_BYTES)
        self._checksum = chunk.checksum
        self._data = bytearray()
        self.metadata = SnapshotMetadata(
            index=chunk.index,
            term=chunk.index_term,
            configuration=decode_configuration(chunk.configuration),
        )

    @property
    def received_bytes(self):
        """Return the number of bytes received so far."""
        return len(self._data)

    def matches(self, chunk):
        """Return whether the chunk belongs to this snapshot."""
        return self._identity == _snapshot_identity(chunk)

    def add(self, chunk):
        """Add a chunk; return the data of the snapshot once complete.

        Chunks out of order are ignored. If the checksum is wrong, all data
        is discarded and the snapshot is received again.
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


def _snapshot_identity(chunk):
    return (chunk.index, chunk.index_term, chunk.total_bytes, chunk.checksum)
