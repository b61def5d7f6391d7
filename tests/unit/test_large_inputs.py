"""Guard against control hosts that the inputs of operators end."""

import http.client

import eventlet
import pytest

from verbenanotch.daemon import _body_receipts
from verbenanotch.daemon._http import (
    MAX_LARGE_BODIES,
    HttpServer,
)
from verbenanotch.daemon._request_body import LARGE_BODY_BYTES
from verbenanotch.platform._fields import MAX_JSON_VALUES, load_object
from verbenanotch.platform.exceptions import MalformedDocumentError

LENGTH = LARGE_BODY_BYTES + 1
LARGE_HEADS = [
    b"PUT /x HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\nx" % LENGTH,
    b"PUT /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx",
]


@pytest.fixture
def server():
    def application(environ, start_response):
        body = environ["wsgi.input"].read()
        start_response("200 OK", [("Content-Length", str(len(body)))])
        return [body]

    running = HttpServer(address="127.0.0.1", port=0, application=application)
    running.start()
    yield running
    running.stop()


def put(server, body):
    connection = http.client.HTTPConnection(
        "127.0.0.1", server.port, timeout=5
    )
    connection.request("PUT", "/x", body=body)
    response = connection.getresponse()
    answer = (response.status, len(response.read()))
    connection.close()
    return answer


@pytest.mark.parametrize("head", LARGE_HEADS)
def test_few_large_bodies_are_read_at_once(monkeypatch, server, head):
    # None of them gives way to another, however long the test takes.
    monkeypatch.setattr(_body_receipts, "MIN_BODY_SECONDS", 3600.0)
    uploads = [
        eventlet.connect(("127.0.0.1", server.port))
        for _ in range(MAX_LARGE_BODIES)
    ]
    for upload in uploads:
        upload.sendall(head)
    with eventlet.Timeout(5.0):
        while server.large_bodies < MAX_LARGE_BODIES:
            eventlet.sleep(0.01)
    upload = eventlet.connect(("127.0.0.1", server.port))
    upload.sendall(head)
    assert upload.recv(1000).startswith(b"HTTP/1.1 503 ")
    assert put(server, b"small") == (200, 5)
    for upload in uploads:
        upload.close()
    with eventlet.Timeout(5.0):
        while server.large_bodies:
            eventlet.sleep(0.01)
    assert put(server, b"x" * LENGTH) == (200, LENGTH)


@pytest.mark.parametrize("value", [b"[]", b"{}", b"1", b"[[[[]]]]"])
def test_a_document_of_very_many_values_is_refused_undecoded(value):
    text = b'{"a":[%s]}' % b",".join([value] * (MAX_JSON_VALUES + 1))
    with pytest.raises(MalformedDocumentError, match="values"):
        load_object(text)


def test_a_large_document_is_decoded():
    assert len(load_object(b'{"a":"%s"}' % (b"x" * LENGTH))["a"]) == LENGTH
