"""Header fields of HTTP messages, without the e-mail parser where it can be.

The standard library reads header fields with its parser for e-mail, which
allows much that HTTP does not use. Fields that are all of the plain form
are taken apart here, with the same result; any other head goes to the
standard library as a whole, so that nothing is accepted or refused that it
would not.
"""

import http.client
import io
import re

MAX_FIELDS = 100
MAX_LINE_BYTES = 65536
END_LINES = (b"\r\n", b"\n", b"")
# The quantifiers never give back, so that no line costs quadratic time.
_PLAIN_FIELD = re.compile(
    rb"([!#$%&'*+\-.^_`|~0-9A-Za-z]++):[ \t]*+([ -~]*+)\r\n"
)


def read_field_lines(stream):
    """Return the lines of a head up to its empty line, at most 101.

    The last line is empty, or the stream ended, or the head is longer than
    the standard library takes; `parse_field_lines` tells these apart.
    """
    lines = []
    while len(lines) <= MAX_FIELDS:
        line = stream.readline(MAX_LINE_BYTES + 1)
        lines.append(line)
        if line in END_LINES or len(line) > MAX_LINE_BYTES:
            break
    return lines


def plain_fields(lines):
    """Return the message of lines that are all plain, or None."""
    if lines[-1] != b"\r\n" or len(lines) > MAX_FIELDS:
        return None
    message = http.client.HTTPMessage()
    match_field = _PLAIN_FIELD.fullmatch
    for line in lines[:-1]:
        found = match_field(line)
        if found is None:
            return None
        name, value = found.groups()
        message.set_raw(name.decode("ascii"), value.decode("ascii"))
    return message


def parse_field_lines(lines):
    """Return the message of any lines.

    Raises an HTTPException of the standard library for a head too large.
    """
    message = plain_fields(lines)
    if message is not None:
        return message
    return http.client.parse_headers(io.BytesIO(b"".join(lines)))
