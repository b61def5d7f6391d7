"""Bound the memory of the heads of requests that are being read.

Each head is limited, and each connection may have one that is never completed.
"""

import contextlib

from verbenanotch.http1.exceptions import RequestRefusedError

MAX_HEADS_BYTES = 16 * 1024 * 1024
# Heads up to this size have their room in any case.
SMALL_HEAD_BYTES = 4 * 1024


class HeadBytes:
    """Bytes of all large heads that one server is reading."""

    def __init__(self, *, max_bytes=MAX_HEADS_BYTES):
        """Allow `max_bytes` in total."""
        self._max_bytes = max_bytes
        self.used_bytes = 0

    @contextlib.contextmanager
    def counted(self, reader):
        """Yield a file for the lines of one head; count them until the end.

        Its `readline` raises RequestRefusedError if the head is large and
        there is no room for it.
        """
        lines = _CountedLines(reader=reader, take=self._take)
        try:
            yield lines
        finally:
            self.used_bytes -= lines.counted_bytes

    def _take(self, count):
        if self.used_bytes + count > self._max_bytes:
            raise RequestRefusedError(
                status=503,
                kind="heads-full",
                text="the large heads of other requests take up the memory "
                "for heads; send the request again later, or with a head of "
                f"at most {SMALL_HEAD_BYTES} bytes",
            )
        self.used_bytes += count


class _CountedLines:
    def __init__(self, *, reader, take):
        self._reader = reader
        self._take = take
        self._head_bytes = 0
        self.counted_bytes = 0

    def readline(self):
        """Return the next line of the head."""
        line = self._reader.readline()
        self._head_bytes += len(line)
        if self._head_bytes > SMALL_HEAD_BYTES:
            count = self._head_bytes - self.counted_bytes
            self._take(count)
            self.counted_bytes += count
        return line
