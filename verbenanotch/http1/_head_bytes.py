"""Bound the memory of the heads of requests that are read or run.

Each head is limited, and each connection may have one that is never completed,
or whose request waits for long.
"""

from verbenanotch.http1.exceptions import RequestRefusedError

MAX_HEADS_BYTES = 16 * 1024 * 1024
# Heads up to this size have their room in any case.
SMALL_HEAD_BYTES = 4 * 1024


class HeadBytes:
    """Bytes of all large heads that one server keeps."""

    def __init__(self, *, max_bytes=MAX_HEADS_BYTES):
        """Allow `max_bytes` in total."""
        self._max_bytes = max_bytes
        self.used_bytes = 0

    def reserve(self):
        """Return the HeadReservation for one head."""
        return HeadReservation(heads=self)

    def take(self, count):
        """Count bytes of a large head; raise RequestRefusedError if full."""
        if self.used_bytes + count > self._max_bytes:
            raise RequestRefusedError(
                status=503,
                kind="heads-full",
                text="the large heads of other requests take up the memory "
                "for heads; send the request again later, or with a head of "
                f"at most {SMALL_HEAD_BYTES} bytes",
            )
        self.used_bytes += count

    def give_back(self, count):
        """Stop counting bytes of a large head."""
        self.used_bytes -= count


class HeadReservation:
    """The bytes of one head, from its first line until its request ends."""

    def __init__(self, *, heads):
        """Start without bytes, in a HeadBytes."""
        self._heads = heads
        self._head_bytes = 0
        self._counted_bytes = 0

    def add(self, count):
        """Add bytes to the head.

        Raises RequestRefusedError if the head is large and there is no room
        for it.
        """
        self._head_bytes += count
        if self._head_bytes > SMALL_HEAD_BYTES:
            uncounted = self._head_bytes - self._counted_bytes
            self._heads.take(uncounted)
            self._counted_bytes += uncounted

    def lines(self, reader):
        """Return a file for the lines of the head, which adds their bytes."""
        return _CountedLines(reader=reader, add=self.add)

    def release(self):
        """Give all bytes back."""
        self._heads.give_back(self._counted_bytes)
        self._head_bytes = self._counted_bytes = 0


class _CountedLines:
    def __init__(self, *, reader, add):
        self._reader = reader
        self._add = add

    def readline(self):
        """Return the next line of the head."""
        line = self._reader.readline()
        self._add(len(line))
        return line
