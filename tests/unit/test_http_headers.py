"""Heads of messages are read the same as by the standard library."""

import http.client
import io

import pytest

from verbenanotch.daemon._http_headers import _parse_as_mail, parse_headers


@pytest.mark.parametrize(
    "head",
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
def test_fields_are_those_of_the_standard_library(head):
    expected = _parse_as_mail(io.BytesIO(head))
    found = parse_headers(io.BytesIO(head))
    assert [(k, v.strip()) for k, v in found.items()] == [
        (k, v.strip()) for k, v in expected.items()
    ]
    assert found.get("host") == expected.get("host")


def test_bytes_after_the_head_stay_unread():
    file = io.BytesIO(b"A: b\r\n\r\nbody")
    parse_headers(file)
    assert file.read() == b"body"


def test_too_many_fields_are_refused():
    head = b"A: b\r\n" * 200 + b"\r\n"
    with pytest.raises(http.client.HTTPException):
        parse_headers(io.BytesIO(head))
