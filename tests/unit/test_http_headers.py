"""Test that headers are parsed with the result of the standard library."""

import http.client
import io

import pytest

from verbenanotch.daemon._http_headers import _parse_as_mail, parse_headers


@pytest.mark.parametrize(
    "header_lines",
    [
        b"\r\n",
        b"Host: a\r\nX-A: 1\r\nx-a:  2 \r\nEmpty:\r\n\r\n",
        b"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n",
        b"Folded: a\r\n b\r\n\r\n",
        b"Bad name: x\r\nGood: y\r\n\r\n",
        b"X: caf\xe9\r\n\r\n",
        b"Upgrade: h2c\r\nConnection: upgrade\r\n\r\n",
        b"no colon\r\n\r\n",
    ],
)
def test_fields_equal_those_of_the_standard_library(header_lines):
    expected = _parse_as_mail(io.BytesIO(header_lines))
    message = parse_headers(io.BytesIO(header_lines))
    assert [(k, v.strip()) for k, v in message.items()] == [
        (k, v.strip()) for k, v in expected.items()
    ]
    assert message.get("host") == expected.get("host")


def test_bytes_after_the_headers_stay_unread():
    file = io.BytesIO(b"A: b\r\n\r\nbody")
    parse_headers(file)
    assert file.read() == b"body"


def test_too_many_fields_are_refused():
    header_lines = b"A: b\r\n" * 200 + b"\r\n"
    with pytest.raises(http.client.HTTPException):
        parse_headers(io.BytesIO(header_lines))
