"""Log output that never blocks the process."""

import json
import time

from verbenanotch.telemetry._descriptor import (
    MAX_WRITE_BYTES,
    NonblockingDescriptor,
)

# Rate limit: 50 lines take about 3 ms of CPU time. A burst may use the budget
# of two seconds.
LINES_PER_SECOND = 50
MAX_BURST_LINES = 100
# Part of the budget for lines that are not about a single request. Such a
# line, for example about an ejected target, explains the failures of many
# requests, whose own lines would otherwise use up the budget.
RESERVED_LINES = 40
REPORT_SECONDS = 1.0


class BoundedWriter:
    """Write lines to a descriptor within a rate limit, without blocking.

    A line that cannot be written immediately is dropped and counted; the
    count is written before the next line, at most once in `REPORT_SECONDS`.
    The rest of a line that was written in part comes before the next one.
    """

    def __init__(self, *, descriptor, now=time.monotonic):
        """Write to an open descriptor; `now` returns seconds."""
        self._descriptor = NonblockingDescriptor(descriptor=descriptor)
        self._rest = b""
        self._now = now
        self._tokens = float(MAX_BURST_LINES)
        self._refilled_at = now()
        self._reported_at = now()
        self.dropped = 0

    def admit(self, *, is_about_request=False):
        """Use one line of the budget; return False if none is left.

        The logger calls this before it formats a line, because formatting
        costs the most. Lines about single requests cannot use the last
        `RESERVED_LINES` of the budget.
        """
        now = self._now()
        refilled = (now - self._refilled_at) * LINES_PER_SECOND
        self._tokens = min(float(MAX_BURST_LINES), self._tokens + refilled)
        self._refilled_at = now
        if self._tokens < 1 + is_about_request * RESERVED_LINES:
            self.dropped += 1
            return False
        self._tokens -= 1
        return True

    def write(self, text):
        """Write one line, or drop it if the write would block."""
        line = text.rstrip("\n").encode(errors="replace")
        if not line:
            return
        now = self._now()
        if self.dropped and now - self._reported_at >= REPORT_SECONDS:
            self._reported_at = now
            notice = {"event": "log lines were dropped", "lines": self.dropped}
            if self._write_line(json.dumps(notice).encode()):
                self.dropped = 0
        if not self._write_line(line):
            self.dropped += 1

    def _write_line(self, line):
        """Write a line; return False if none of it was written."""
        line = line[: MAX_WRITE_BYTES - 1] + b"\n"
        try:
            if self._rest:
                written = self._descriptor.write(self._rest)
                self._rest = self._rest[written:]
            if self._rest:
                return False
            written = self._descriptor.write(line)
        except OSError:
            # The reader has gone; there is no other output.
            return False
        if written:
            self._rest = line[written:]
        return bool(written)
