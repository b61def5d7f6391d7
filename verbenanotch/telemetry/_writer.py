"""A log that never blocks the process that writes it."""

import json
import os
import select
import time

import eventlet

# A host that explains 200 requests a second in full costs its engineers more
# to read than it tells them; a burst may take the lines of two seconds.
LINES_PER_SECOND = 200
MAX_BURST_LINES = 400
# A write of up to this many bytes to a pipe with room does not block (POSIX).
MAX_LINE_BYTES = select.PIPE_BUF
REPORT_SECONDS = 1.0

# The loop's own one would wait for the reader.
_poll = eventlet.patcher.original("select").poll


class BoundedWriter:
    """Write lines to a descriptor as far as a budget and the reader allow.

    What cannot be written at once is dropped and counted; the count goes
    out with the next line after `REPORT_SECONDS`. It has the interface of
    a text file, as far as the logger needs it.
    """

    def __init__(self, *, descriptor, now=time.monotonic):
        """Write to an open descriptor; `now` returns seconds."""
        self._descriptor = descriptor
        self._now = now
        self._tokens = float(MAX_BURST_LINES)
        self._filled_at = now()
        self._reported_at = now()
        self._poller = None
        self.dropped = 0

    def write(self, text):
        """Write one line, or drop it."""
        if text == "\n":
            return
        line = text.rstrip("\n").encode(errors="replace") + b"\n"
        now = self._now()
        if self.dropped and now - self._reported_at >= REPORT_SECONDS:
            self._reported_at = now
            notice = {"event": "log lines were dropped", "lines": self.dropped}
            if self._put(json.dumps(notice).encode() + b"\n", now):
                self.dropped = 0
        if not self._put(line, now):
            self.dropped += 1

    def flush(self):
        """Do nothing: lines are written at once."""

    def _put(self, line, now):
        """Write a line; return False if the budget or the reader forbid."""
        grown = (now - self._filled_at) * LINES_PER_SECOND
        self._tokens = min(float(MAX_BURST_LINES), self._tokens + grown)
        self._filled_at = now
        if self._tokens < 1 or not self._has_room():
            return False
        self._tokens -= 1
        if len(line) > MAX_LINE_BYTES:
            line = line[: MAX_LINE_BYTES - 1] + b"\n"
        try:
            os.write(self._descriptor, line)
        except OSError:
            # The reader is gone, and nobody else could be told.
            return False
        return True

    def _has_room(self):
        if self._poller is None:
            self._poller = _poll()
            self._poller.register(self._descriptor, select.POLLOUT)
        return any(
            events & select.POLLOUT for _, events in self._poller.poll(0)
        )
