"""A log that never blocks the process that writes it."""

import json
import os
import select
import time

import eventlet

# Fifty lines cost about 3 ms of processor time; a burst may take those of two
# seconds.
LINES_PER_SECOND = 50
MAX_BURST_LINES = 100
# What only lines that concern no request may take: a change of belief explains
# the failures of the many requests that would otherwise crowd it out.
RESERVED_LINES = 40
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

    def admit(self, *, is_of_request=False):
        """Return whether the budget allows one more line, and take it.

        Asked before a line is made, since making it costs the most. Lines
        of single requests leave `RESERVED_LINES` to all others.
        """
        now = self._now()
        grown = (now - self._filled_at) * LINES_PER_SECOND
        self._tokens = min(float(MAX_BURST_LINES), self._tokens + grown)
        self._filled_at = now
        if self._tokens < 1 + is_of_request * RESERVED_LINES:
            self.dropped += 1
            return False
        self._tokens -= 1
        return True

    def write(self, text):
        """Write one line, or drop it if the reader is behind."""
        line = text.rstrip("\n").encode(errors="replace")
        if not line:
            return
        now = self._now()
        if self.dropped and now - self._reported_at >= REPORT_SECONDS:
            self._reported_at = now
            notice = {"event": "log lines were dropped", "lines": self.dropped}
            if self._put(json.dumps(notice).encode()):
                self.dropped = 0
        if not self._put(line):
            self.dropped += 1

    def flush(self):
        """Do nothing: lines are written at once."""

    def _put(self, line):
        """Write a line; return False if it would block."""
        if not self._has_room():
            return False
        try:
            os.write(self._descriptor, line[: MAX_LINE_BYTES - 1] + b"\n")
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
