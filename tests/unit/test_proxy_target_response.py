"""Heads of targets' answers, read as the standard library reads them."""

import http.client
import io

import pytest

from verbenanotch.proxy._target_connection import TargetResponse

HEADS = [
    b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc",
    b"HTTP/1.1 100 Continue\r\nA: 1\r\n\r\nHTTP/1.1 200 OK\r\nB: 2\r\n\r\n",
    b"HTTP/1.0 200 OK\r\nContent-Length: 3\r\n\r\nabc",
    b"HTTP/1.0 200 OK\r\nConnection: keep-alive\r\nContent-Length: 0\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\nContent-Length: 3"
    b"\r\n\r\n0\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\nContent-Length: 3\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab",
    b"HTTP/1.1 204 No Content\r\nContent-Length: 3\r\n\r\n",
    b"HTTP/1.1 304 Not Modified\r\n\r\n",
    b"HTTP/1.1 103 Early Hints\r\n\r\n",
    b"HTTP/1.1 200\r\nConnection: close\r\n folded\r\nno colon\r\n\r\n",
    b"HTTP/1.1 200 OK\r\n" + b"A: 1\r\n" * 100 + b"\r\n",
    b"HTTP/1.1 200 OK\r\nA: " + b"x" * 65536 + b"\r\n\r\n",
    b"HTTP/2.0 200 OK\r\n\r\n",
    b"HTTP/1.1 99 Low\r\n\r\n",
    b"nonsense\r\n\r\n",
    b"",
]


class FakeSocket:
    """Give the bytes of an answer."""

    def __init__(self, data):
        """Hold the bytes."""
        self._data = data

    def makefile(self, mode):
        """Return them as a file."""
        return io.BytesIO(self._data)


def read(response_class, head, method):
    response = response_class(FakeSocket(head), method=method)
    try:
        response.begin()
        return (
            response.version,
            response.status,
            response.code,
            response.reason,
            response.msg.items(),
            response.chunked,
            response.will_close,
            response.length,
            response.read(),
        )
    except (http.client.HTTPException, ValueError) as error:
        return type(error), str(error)


@pytest.mark.parametrize("method", ["GET", "HEAD"])
@pytest.mark.parametrize("head", HEADS)
def test_heads_are_read_as_the_standard_library_does(head, method):
    expected = read(http.client.HTTPResponse, head, method)
    assert read(TargetResponse, head, method) == expected
