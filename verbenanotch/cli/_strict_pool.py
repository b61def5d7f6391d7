"""Connections of urllib3 that refuse malformed heads of answers.

The parser of `http.client` drops a line that is no header field and all fields
behind it, takes a bare CR for the end of a line, and a status such as +200.
"""

import http.client
import re

import urllib3

from verbenanotch.http1 import is_field_line

# RFC 9112, section 4.
STATUS_LINE_PATTERN = re.compile(
    rb"HTTP/1\.[01] [1-9][0-9]{2}(?: [^\r\n]*)?\r?\n"
)
LINE_ENDS = (b"\r\n", b"\n")


class _HeadReader:
    """Return the lines of a head, and of interim heads before it."""

    def __init__(self, file):
        """Read from a buffered binary file."""
        self._file = file
        self._is_first = True

    def readline(self, limit):
        """Return the next line; raise HTTPException if it is malformed."""
        line = self._file.readline(limit)
        if self._is_first:
            # An empty one is an error of `http.client`.
            is_valid = not line or STATUS_LINE_PATTERN.fullmatch(line)
        else:
            is_valid = line in LINE_ENDS or is_field_line(line)
        if not is_valid:
            raise http.client.HTTPException(
                f"the head of an answer ends early or is malformed: {line!r}; "
                "check that a control host listens at this address"
            )
        self._is_first = line in LINE_ENDS
        return line

    def close(self):
        """Close the file."""
        self._file.close()


class _StrictResponse(http.client.HTTPResponse):
    """A response whose head is checked line by line."""

    def begin(self):
        """Read the head; raise HTTPException if it is malformed."""
        file = self.fp
        self.fp = _HeadReader(file)
        try:
            super().begin()
        finally:
            self.fp = None if file.closed else file


class _StrictConnection(urllib3.connection.HTTPConnection):
    response_class = _StrictResponse


class _StrictConnectionPool(urllib3.HTTPConnectionPool):
    ConnectionCls = _StrictConnection


def make_strict_pool():
    """Return a PoolManager for HTTP that retries nothing.

    A malformed head is raised as urllib3's ProtocolError.
    """
    manager = urllib3.PoolManager(retries=False)
    manager.pool_classes_by_scheme = {"http": _StrictConnectionPool}
    return manager
