"""Heads of requests (RFC 9112, sections 2.2, 3, 5 and 6).

A head is whole and well-formed, or refused: a field that is dropped because
it can't be read could be the one that says where the request ends.
"""

import re

import attrs
import httptools

from verbenanotch.http1._chunks import CHUNKED
from verbenanotch.http1._fields import FieldCollector, HeaderFields
from verbenanotch.http1.exceptions import RequestRefusedError

MAX_FIELDS = 100
REQUEST_LINE_PATTERN = re.compile(
    rb"([!#$%&'*+.^_`|~0-9A-Za-z-]+) ([!-~]+) HTTP/([0-9])\.([0-9])\r\n"
)
# The parser knows only some methods, so it gets a line of its own.
PARSED_REQUEST_LINE = b"GET / HTTP/1.1\r\n"


@attrs.frozen(kw_only=True)
class RequestHead:
    """The head of a request.

    `target` is the request target as it was sent. `version` is `HTTP/1.0` or
    `HTTP/1.1`.
    """

    method: str
    target: str
    version: str
    headers: HeaderFields

    @property
    def keeps_connection(self):
        """Whether the client may send another request (section 9.3)."""
        options = self.headers.tokens("Connection")
        if "close" in options:
            return False
        return self.version == "HTTP/1.1" or "keep-alive" in options


def read_request_head(reader, request_line):
    """Return the RequestHead that begins with a line that was read.

    `reader` is a buffered binary file. Raises RequestRefusedError, or what
    the reader raises.
    """
    if request_line == b"\r\n":
        # An empty line may precede a request (section 2.2).
        request_line = reader.readline()
    match = REQUEST_LINE_PATTERN.fullmatch(request_line)
    if match is None:
        raise _refused("the request line is malformed")
    method, target, major, minor = (part.decode() for part in match.groups())
    if major != "1":
        raise RequestRefusedError(
            status=505, kind="bad-version", text="send HTTP/1.1"
        )
    head = RequestHead(
        method=method,
        target=target,
        version="HTTP/1.1" if minor != "0" else "HTTP/1.0",
        headers=_parse_fields(_read_lines(reader)),
    )
    _check_framing(head)
    return head


def _read_lines(reader):
    lines = []
    while True:
        line = reader.readline()
        if not line.endswith(b"\r\n"):
            raise _refused("the head is incomplete, or a line ends in LF")
        if line == b"\r\n":
            return lines
        lines.append(line)
        if len(lines) > MAX_FIELDS:
            raise RequestRefusedError(
                status=431,
                kind="headers-too-large",
                text=f"send at most {MAX_FIELDS} header fields",
            )


def _parse_fields(lines):
    collector = FieldCollector()
    parser = httptools.HttpRequestParser(collector)
    try:
        parser.feed_data(PARSED_REQUEST_LINE + b"".join(lines) + b"\r\n")
    except httptools.HttpParserUpgrade:
        # Nobody has to switch protocols (RFC 9110, section 7.8).
        pass
    except httptools.HttpParserError as error:
        raise _parser_refusal(str(error)) from error
    return HeaderFields(pairs=collector.pairs)


def _parser_refusal(problem):
    """Return why the parser refused the fields; it names framing fields."""
    if "Content-Length" in problem:
        return _bad_length()
    if "Transfer-Encoding" in problem:
        return _unsupported_coding()
    return _refused(problem)


def _check_framing(head):
    """Refuse a head that leaves open where its request ends (section 6.3)."""
    fields = head.headers
    lengths = fields.get_all("Content-Length", ())
    if len(lengths) > 1 or not all(map(_is_length, lengths)):
        raise _bad_length()
    codings = fields.tokens("Transfer-Encoding")
    if codings and lengths:
        raise _bad_length()
    if codings and codings != [CHUNKED]:
        raise _unsupported_coding()
    if codings and head.version == "HTTP/1.0":
        raise _refused("HTTP/1.0 has no transfer codings")
    if len(fields.get_all("Host", ())) > 1:
        raise _refused("there is more than one Host field")


def _unsupported_coding():
    return RequestRefusedError(
        status=501,
        kind="bad-transfer-encoding",
        text="send Content-Length, or Transfer-Encoding: chunked",
    )


def _is_length(text):
    return text.isascii() and text.isdigit()


def _bad_length():
    return RequestRefusedError(
        status=400,
        kind="bad-length",
        text="send one Content-Length, or Transfer-Encoding: chunked",
    )


def _refused(problem):
    return RequestRefusedError(
        status=400,
        kind="bad-request",
        text=f"the request is no well-formed HTTP/1.1: {problem}",
    )
