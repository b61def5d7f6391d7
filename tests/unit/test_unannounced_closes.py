"""Guard against connections that close though their last answer kept them.

A stop may begin while an answer is on its way to a caller that reads slowly.
The caller has sent its next request by then, and the answer does not say that
the connection closes.
"""

import re
import socket

import eventlet
import pytest
from eventlet import event

from tests.unit.test_early_answers import wait_until_closed
from tests.unit.test_proxy_entry import entry  # noqa: F401
from verbenanotch.daemon._http import HttpServer
from verbenanotch.proxy._outcome import Answered

TIMEOUT_SECONDS = 10
# More than the buffers of the kernel take.
ANSWER_BYTES = 12_000_000
RECEIVE_BUFFER_BYTES = 16_384
HEAD_PATTERN = re.compile(rb"HTTP/1\.1 (\d{3}) .*?\r\n\r\n", re.DOTALL)


def answer_at_length(environ, start_response):
    start_response("200 OK", [("Content-Length", str(ANSWER_BYTES))])
    return [b"x" * ANSWER_BYTES]


@pytest.fixture
def server():
    running = HttpServer(
        address="127.0.0.1", port=0, application=answer_at_length
    )
    running.start()
    yield running
    running.stop()


@pytest.fixture(params=["callers", "others"])
def http(request, server, entry):  # noqa: F811
    if request.param == "others":
        return server
    answer = Answered(status=200, headers=(), body=b"x" * ANSWER_BYTES)
    entry.peers.forward = lambda *_, **__: answer
    return entry.http


@pytest.fixture
def caller(http):
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    sock.settimeout(TIMEOUT_SECONDS)
    sock.connect(("127.0.0.1", http.port))
    yield sock
    sock.close()


def request(method, size, sent=None):
    body = b"x" * (size if sent is None else sent)
    return (
        f"{method} /pay/1 HTTP/1.1\r\nHost: x\r\n"
        f"Content-Length: {size}\r\n\r\n"
    ).encode() + body


def read_answers(sock, received=b""):
    """Return the head of each answer until the connection ends."""
    data = bytearray(received)
    while received := sock.recv(1 << 20):
        data += received
    heads = []
    while (match := HEAD_PATTERN.match(data)) is not None:
        heads.append(match[0])
        assert len(data) >= match.end() + ANSWER_BYTES, "cut short"
        del data[: match.end() + ANSWER_BYTES]
    assert not data
    return heads


@pytest.mark.parametrize(
    ("first", "second"),
    [
        (("GET", 0), ("POST", 10)),
        (("GET", 0), ("POST", 0)),
        (("POST", 10), ("GET", 0)),
        (("POST", 10), ("POST", 10)),
    ],
)
def test_a_stop_during_an_answer_takes_the_request_behind_it(
    http, caller, first, second
):
    caller.sendall(request(*first) + request(*second))
    eventlet.sleep(0.2)
    http.close_after_answers()
    heads = read_answers(caller)
    assert [b"\r\nConnection: close\r\n" in head for head in heads] == [
        False,
        True,
    ]
    wait_until_closed(http)


@pytest.mark.parametrize("method", ["GET", "POST"])
def test_a_stop_during_an_answer_leaves_the_connection_open(
    http, caller, method
):
    caller.sendall(request(method, 10 if method == "POST" else 0))
    eventlet.sleep(0.2)
    http.close_after_answers()
    data = b""
    while (match := HEAD_PATTERN.match(data)) is None or (
        len(data) < match.end() + ANSWER_BYTES
    ):
        received = caller.recv(1 << 20)
        assert received, "cut short"
        data += received
    eventlet.sleep(0.1)
    caller.sendall(request("GET", 0))
    heads = read_answers(caller, data)
    assert [b"\r\nConnection: close\r\n" in head for head in heads] == [
        False,
        True,
    ]


def test_a_rest_of_a_body_is_no_request_after_a_stop(server):
    """The answer is sent before the body, a stop begins in between."""
    with socket.socket() as sock:
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        sock.settimeout(TIMEOUT_SECONDS)
        sock.connect(("127.0.0.1", server.port))
        inner = request("GET", 0)
        sock.sendall(request("POST", len(inner), sent=0))
        eventlet.sleep(0.2)
        server.close_after_answers()
        sock.sendall(inner + request("GET", 0))
        heads = read_answers(sock)
    assert len(heads) == 2


def test_a_stop_answers_requests_that_arrived_together():
    """Guard against pipelined requests that a stop drops at other ports."""
    begun = event.Event()

    def application(environ, start_response):
        if environ["PATH_INFO"] == "/0":
            begun.send()
            eventlet.sleep(0.1)
        start_response("200 OK", [("Content-Length", "0")])
        return [b""]

    server = HttpServer(address="127.0.0.1", port=0, application=application)
    server.start()
    with socket.create_connection(("127.0.0.1", server.port)) as sock:
        sock.settimeout(TIMEOUT_SECONDS)
        sock.sendall(
            b"".join(
                b"GET /%d HTTP/1.1\r\nHost: x\r\n\r\n" % number
                for number in range(3)
            )
        )
        begun.wait()
        server.stop()
        data = b""
        while received := sock.recv(1 << 16):
            data += received
    heads = HEAD_PATTERN.findall(data)
    assert heads == [b"200"] * 3
    assert data.count(b"Connection: close") == 1
    assert data.rstrip().endswith(b"Connection: close")
