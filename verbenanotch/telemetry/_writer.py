"""Log output that never blocks the process."""

import json
import os
import select
import time

import eventlet

# Rate limit: 50 lines take about 3 ms of CPU time. A burst may use the budget
# of two seconds.
LINES_PER_SECOND = 50
MAX_BURST_LINES = 100
# Part of the budget for lines that are not about a single request. Such a
# line, for example about an ejected target, explains the failures of many
# requests, whose own lines would otherwise use up the budget.
RESERVED_LINES = 40
# A write of up to this many bytes to a pipe that is ready for writing does not
# block (POSIX).
MAX_LINE_BYTES = select.PIPE_BUF
REPORT_SECONDS = 1.0

# The unpatched `poll`, because a log call must not wait for the reader.
# Eventlet removes `poll`, and its `select` switches to other greenthreads even
# with a timeout of 0.
_poll = eventlet.patcher.original("select").poll


class BoundedWriter:
    """Write lines to a descriptor within a rate limit, without blocking.

    A line that cannot be written immediately is dropped and counted; the
    count is written before the next line, at most once in `REPORT_SECONDS`.
    The class implements the methods of a text file that the logger uses.
    """

    def __init__(self, *, descriptor, now=time.monotonic):
        """Write to an open descriptor; `now` returns seconds."""
        self._descriptor = descriptor
        self._now = now
        self._tokens = float(MAX_BURST_LINES)
        self._refilled_at = now()
        self._reported_at = now()
        self._poller = None
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

    def flush(self):
        """Do nothing: lines are written immediately."""

    def _write_line(self, line):
        """Write a line; return False if it would block or fails."""
        if not self._is_writable():
            return False
        try:
            os.write(self._descriptor, line[: MAX_LINE_BYTES - 1] + b"\n")
        except OSError:
            # The reader has closed the pipe; there is no other output.
            return False
        return True

    def _is_writable(self):
        if self._poller is None:
            self._poller = _poll()
            self._poller.register(self._descriptor, select.POLLOUT)
        return any(
            events & select.POLLOUT for _, events in self._poller.poll(0)
        )
