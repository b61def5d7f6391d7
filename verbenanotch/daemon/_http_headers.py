"""Take the heads of HTTP messages apart by a compiled library.

The standard library reads them with its parser for e-mail, which takes a
tenth of the processor time of a request.
"""

import http.client
import io

import httptools

# The library parses whole messages; only the fields are of interest here.
REQUEST_LINE = b"GET / HTTP/1.1\r\n"
_parse_as_mail = http.client.parse_headers


class Message(http.client.HTTPMessage):
    """The fields of a head, found by name without a search.

    Of repeated fields, `get` returns the first, as the library does.
    """

    def take(self, pairs):
        """Take pairs of name and value in their order."""
        self._headers = pairs
        self._values_by_name = {
            name.lower(): value for name, value in reversed(pairs)
        }

    def get(self, name, failobj=None):
        """Return the value of a field."""
        return self._values_by_name.get(name.lower(), failobj)


class _Fields:
    """Collect the fields of one head."""

    def __init__(self):
        self.pairs = []

    def on_header(self, name, value):
        """Take one field, as the library calls it."""
        self.pairs.append((name.decode("latin-1"), value.decode("latin-1")))


def parse_headers(file, _class=http.client.HTTPMessage):
    """Return the fields of a head, up to and with its empty line.

    What the compiled library does not take is left to the standard one.
    """
    lines = b"".join(http.client._read_headers(file))
    fields = _Fields()
    try:
        httptools.HttpRequestParser(fields).feed_data(REQUEST_LINE + lines)
    except (httptools.HttpParserError, httptools.HttpParserUpgrade):
        return _parse_as_mail(io.BytesIO(lines), _class)
    message = Message()
    message.take(fields.pairs)
    return message


def install():
    """Have the standard library's client and server read heads this way."""
    http.client.parse_headers = parse_headers
