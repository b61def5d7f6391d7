"""Header fields taken apart as the standard library does it."""

import http.client
import io

import pytest

from verbenanotch.wire import (
    parse_field_lines,
    plain_fields,
    read_field_lines,
)

PLAIN = [
    b"\r\n",
    b"Host: x\r\n\r\n",
    b"A:1\r\na: \t 2  \r\nEmpty:\r\nC: d:e  f\r\n\r\n",
    b"Content-Type: multipart/form-data; boundary=x\r\n\r\n",
]
OTHER = [
    b"",
    b"A: 1\r\n",
    b"A: 1\n\n",
    b"A: 1\r\n folded\r\n\r\n",
    b"A : 1\r\n\r\n",
    b"no colon\r\nA: 1\r\n\r\n",
    b": nameless\r\nA: 1\r\n\r\n",
    b"From x\r\nA: 1\r\n\r\n",
    b"A: \xe9\r\n\r\n",
    b"A: b\rC: d\r\n\r\n",
    b"A: \x00\x0b\r\n\r\n",
    b"\xe9: 1\r\n\r\n",
]


@pytest.mark.parametrize("head", PLAIN + OTHER)
def test_fields_are_those_of_the_standard_library(head):
    lines = read_field_lines(io.BytesIO(head))
    expected = http.client.parse_headers(io.BytesIO(head))
    message = parse_field_lines(lines)
    assert message.items() == expected.items()
    assert message.get_content_type() == expected.get_content_type()
    assert (plain_fields(lines) is not None) == (head in PLAIN)


@pytest.mark.parametrize(
    ("head", "error"),
    [
        (b"A: 1\r\n" * 100 + b"\r\n", http.client.HTTPException),
        (b"A: " + b"x" * 65536 + b"\r\n\r\n", http.client.LineTooLong),
    ],
)
def test_a_head_too_large_is_refused(head, error):
    with pytest.raises(error):
        parse_field_lines(read_field_lines(io.BytesIO(head)))


def test_a_head_leaves_what_follows_it_unread():
    stream = io.BytesIO(b"A: 1\r\n\r\nbody")
    read_field_lines(stream)
    assert stream.read() == b"body"
