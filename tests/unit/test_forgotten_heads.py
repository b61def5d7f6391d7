"""Guard against a process that the heads of answered requests end.

A connection may stay open for long after an answer, and there are many of
them. Each one that waits keeps what it needs to go on, and nothing else.
"""

import contextlib
import gc
import socket
import tracemalloc

import eventlet
import pytest

from tests.unit.test_proxy_entry import entry  # noqa: F401
from verbenanotch.daemon._caller_protocol import CallerProtocol
from verbenanotch.daemon._http import HttpProtocol, HttpServer
from verbenanotch.loop import SocketReader
from verbenanotch.proxy._outcome import Answered

CONNECTIONS = 30
# Far below the size of a head.
MAX_CONNECTION_BYTES = 16 * 1024
WAIT_SECONDS = 0.3
LINES = (b"X-A: " + b"a" * 7000 + b"\r\n") * 8
GET = b"GET /pay/1 HTTP/1.1\r\nHost: a\r\n" + LINES
POST = b"POST /pay/1 HTTP/1.1\r\nHost: a\r\n" + LINES
CLOSE = b"Connection: close\r\n"
REQUESTS = {
    "kept, without a body": GET + b"\r\n",
    "kept, with a body": POST + b"Content-Length: 1\r\n\r\nx",
    "kept, with chunks": POST
    + b"Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n",
    "closed, without a body": GET + CLOSE + b"\r\n",
    "closed, with a body": POST + CLOSE + b"Content-Length: 1\r\n\r\nx",
    "closed, body too large": POST + b"Content-Length: 99999999\r\n\r\nx",
    "malformed at its end": GET + b"bad\r\n\r\n",
    "malformed at its begin": b"bad\r\n" + LINES + b"\r\n",
    "malformed length": POST + b"Content-Length: x\r\n\r\n",
    "line too long": GET + b"X-B: " + b"b" * 9000 + b"\r\n\r\n",
    "too long": GET + LINES + b"\r\n",
}
# The rest of a body that is too large is still being dropped.
LINGERING = set(REQUESTS) - {"closed, body too large"}
LINGERING = sorted(name for name in LINGERING if not name.startswith("kept"))


def answer_early(environ, start_response):
    start_response("200 OK", [("Content-Length", "0")])
    return []


@pytest.fixture
def server():
    running = HttpServer(address="127.0.0.1", port=0, application=answer_early)
    running.start()
    yield running
    running.stop()


@pytest.fixture(params=["callers", "others"])
def http(request, server, entry):  # noqa: F811
    if request.param == "others":
        return server
    answer = Answered(status=200, headers=(), body=b"")
    # Unlike the fake, this keeps no calls.
    entry.peers.forward = lambda *_, **__: answer
    return entry.http


@pytest.fixture
def send(http):
    """Return a function that sends data on many new connections."""
    with contextlib.ExitStack() as connections:

        def connect():
            sock = socket.create_connection((http.address, http.port))
            return connections.enter_context(sock)

        def send(data):
            socks = [connect() for _ in range(CONNECTIONS)]
            eventlet.sleep(0)
            gc.collect()
            tracemalloc.start()
            for sock in socks:
                sock.sendall(data)
            eventlet.sleep(WAIT_SECONDS)
            assert http.connection_count == CONNECTIONS
            gc.collect()

        yield send
        tracemalloc.stop()


@pytest.mark.parametrize("name", REQUESTS)
def test_a_connection_that_waits_does_not_keep_the_head_that_was_answered(
    send, name
):
    send(REQUESTS[name])
    used_bytes = tracemalloc.get_traced_memory()[0]
    assert used_bytes / CONNECTIONS < MAX_CONNECTION_BYTES


@pytest.mark.parametrize("name", LINGERING)
def test_a_connection_that_lingers_keeps_nothing_but_its_socket(send, name):
    send(REQUESTS[name])
    kept = {type(kept) for kept in gc.get_objects()}
    assert not kept & {HttpProtocol, CallerProtocol, SocketReader}
