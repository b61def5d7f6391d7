"""Answers to requests (RFC 9112).

A connection that ends within an answer never makes a complete one of it, and
an answer whose framing is in doubt is an error.
"""

import re

import httptools

from verbenanotch.http1._chunks import CHUNKED, ChunkedBody
from verbenanotch.http1._fields import FieldCollector, HeaderFields
from verbenanotch.http1.exceptions import (
    AnswerHeadTooLargeError,
    AnswerIncompleteError,
    AnswerMalformedError,
)

# Of an answer and of the interim responses before it.
MAX_HEAD_BYTES = 128 * 1024
# Of an answer or interim response. A field takes about 200 bytes at each
# proxy, however short it is. Most clients accept 100 or 128 of them.
MAX_FIELDS = 512
# Within a field, where an answer broke off and the next one follows.
EMBEDDED_STATUS_LINE = re.compile(rb"[^\n]HTTP/1\.[01] [0-9]{3}[ \r]")
VERSIONS = frozenset(("1.0", "1.1"))
FIRST_STATUS = 100
FIRST_FINAL_STATUS = 200
SWITCHING_PROTOCOLS = 101
BODILESS_STATUSES = frozenset((204, 304))


class Answer:
    """A final answer whose head was read; its body is read with `read`.

    `length` is the declared number of bytes in the body, and None if the body
    is chunked or ends with the connection. With `will_close`, no other answer
    follows on the connection.
    """

    def __init__(self, *, status, headers, body, will_close):
        """Read the body from `body`, one of the classes below."""
        self.status = status
        self.headers = headers
        self.will_close = will_close
        self._body = body

    @property
    def length(self):
        """Declared number of bytes in the body, if any."""
        return self._body.length

    @property
    def is_chunked(self):
        """Whether the body is sent in chunks."""
        return isinstance(self._body, _ChunkedBody)

    def read(self, size):
        """Return up to `size` more bytes of the body, `b""` at its end.

        Fewer are returned only at its end. Raises AnswerIncompleteError,
        AnswerMalformedError or OSError.
        """
        return self._body.read(size)


def read_answer(reader, *, method, wait_for_turn=None):
    """Return the next final answer on a connection after reading its head.

    `reader` is a buffered binary file, `method` that of the request. Interim
    responses are skipped. A body in tiny chunks calls `wait_for_turn` as a
    ChunkedBody does. Raises AnswerIncompleteError, AnswerMalformedError,
    AnswerHeadTooLargeError or OSError.
    """
    bytes_left = MAX_HEAD_BYTES
    while True:
        head = _read_head(reader, bytes_left)
        bytes_left -= len(head)
        parser, headers = _parse_head(head)
        status = parser.get_status_code()
        if status >= FIRST_FINAL_STATUS:
            break
    body = _body(reader, parser, headers, method, wait_for_turn)
    return Answer(
        status=status,
        headers=headers,
        body=body,
        will_close=_will_close(parser.get_http_version(), headers, body),
    )


def _read_head(reader, max_bytes):
    """Return the lines up to and including the empty one, ended by CRLF.

    Recipients may accept lines that end in LF alone (RFC 9112, section 2.2).
    """
    lines = []
    while True:
        line = reader.readline(max_bytes + 1)
        max_bytes -= len(line)
        if max_bytes < 0:
            raise AnswerHeadTooLargeError(
                f"the head of an answer is larger than {MAX_HEAD_BYTES} "
                "bytes; send fewer headers or interim responses"
            )
        if not line.endswith(b"\n"):
            raise _incomplete("head")
        if not line.endswith(b"\r\n"):
            line = line[:-1] + b"\r\n"
        lines.append(line)
        if line == b"\r\n":
            return b"".join(lines)
        if len(lines) > MAX_FIELDS + 1:
            raise AnswerHeadTooLargeError(
                f"the head of an answer has over {MAX_FIELDS} fields; "
                "send fewer headers"
            )


def _parse_head(head):
    """Return the parser of a complete head, and its HeaderFields."""
    if EMBEDDED_STATUS_LINE.search(head):
        raise _malformed("another answer begins within its head")
    collector = FieldCollector()
    parser = httptools.HttpResponseParser(collector)
    try:
        parser.feed_data(head)
    except httptools.HttpParserError as error:
        raise _malformed(str(error)) from error
    except httptools.HttpParserUpgrade as error:
        raise _malformed("it switches to another protocol") from error
    if not collector.is_complete:
        raise _malformed("it has no status line")
    if parser.get_http_version() not in VERSIONS:
        raise _malformed(f"its version is {parser.get_http_version()}")
    if parser.get_status_code() < FIRST_STATUS:
        raise _malformed(f"its status is {parser.get_status_code():03}")
    if parser.get_status_code() == SWITCHING_PROTOCOLS:
        raise _malformed("it switches to another protocol")
    return parser, HeaderFields(pairs=collector.pairs)


def _body(reader, parser, headers, method, wait_for_turn):
    """Return what reads the body (RFC 9112, section 6.3).

    The parser has refused repeated and invalid lengths, and a length beside a
    transfer coding.
    """
    if method == "HEAD" or parser.get_status_code() in BODILESS_STATUSES:
        return _SizedBody(reader=reader, length=0)
    codings = headers.tokens("Transfer-Encoding")
    if codings:
        if codings != [CHUNKED]:
            raise _malformed(
                f"the transfer coding {', '.join(codings)!r} is not supported"
            )
        if parser.get_http_version() == "1.0":
            raise _malformed("HTTP/1.0 has no transfer codings")
        return _ChunkedBody(reader=reader, wait_for_turn=wait_for_turn)
    length = headers.get("Content-Length")
    if length is None:
        return _UnboundedBody(reader=reader)
    return _SizedBody(reader=reader, length=int(length))


def _will_close(version, headers, body):
    """Return whether the connection ends with the answer (section 9.3)."""
    if isinstance(body, _UnboundedBody):
        return True
    options = headers.tokens("Connection")
    if "close" in options:
        return True
    return version == "1.0" and "keep-alive" not in options


class _SizedBody:
    """A body of a declared length, which is refused if it is shorter."""

    def __init__(self, *, reader, length):
        self.length = length
        self._reader = reader
        self._bytes_left = length

    def read(self, size):
        size = min(size, self._bytes_left)
        data = self._reader.read(size) if size else b""
        if len(data) < size:
            raise _incomplete("body")
        self._bytes_left -= size
        return data


class _UnboundedBody:
    """A body that ends with its connection."""

    length = None

    def __init__(self, *, reader):
        self._reader = reader

    def read(self, size):
        return self._reader.read(size)


class _ChunkedBody(ChunkedBody):
    """The chunked body of an answer."""

    length = None
    incomplete_error = AnswerIncompleteError
    malformed_error = AnswerMalformedError


def _incomplete(part):
    return AnswerIncompleteError(
        f"the connection ended within the {part} of an answer, or before it; "
        "look for a crash or a time limit at the sender"
    )


def _malformed(problem):
    return AnswerMalformedError(
        f"an answer is no well-formed HTTP/1.1: {problem}; correct the sender"
    )
