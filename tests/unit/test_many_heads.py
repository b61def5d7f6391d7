"""Guard against a process that half-sent heads of requests end."""

import contextlib
import socket
import tracemalloc

import eventlet
import pytest

from verbenanotch.daemon._http import HttpServer

CONNECTIONS = 600
MAX_BYTES = 24 * 1024 * 1024
TIMEOUT_SECONDS = 10
LINE = b"X-A: " + b"a" * 7000 + b"\r\n"
HALF_HEAD = b"GET / HTTP/1.1\r\nHost: a\r\n" + LINE * 8
SMALL = b"GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
LARGE = SMALL[:-2] + LINE * 2 + b"\r\n"


def application(environ, start_response):
    start_response("200 OK", [("Content-Length", "0")])
    return []


@pytest.fixture
def server():
    http = HttpServer(address="127.0.0.1", port=0, application=application)
    http.start()
    yield http
    http.stop()


def connect(server, data):
    sock = socket.create_connection((server.address, server.port))
    sock.settimeout(TIMEOUT_SECONDS)
    with contextlib.suppress(OSError):
        sock.sendall(data)
    return sock


def status(server, data):
    with contextlib.closing(connect(server, data)) as sock:
        return int(sock.recv(1000).split()[1])


@pytest.fixture
def half_heads(server):
    """Send many heads without their ends; return their connections."""
    tracemalloc.start()
    socks = [connect(server, HALF_HEAD) for _ in range(CONNECTIONS)]
    eventlet.sleep(0.5)
    yield socks
    tracemalloc.stop()
    for sock in socks:
        sock.close()


def test_half_sent_heads_have_a_common_limit(half_heads):
    assert tracemalloc.get_traced_memory()[0] < MAX_BYTES


def test_small_heads_are_read_beside_many_large_ones(server, half_heads):
    assert status(server, SMALL) == 200
    assert status(server, LARGE) == 503


def test_heads_of_closed_connections_leave_their_room(server, half_heads):
    for sock in half_heads:
        sock.close()
    eventlet.sleep(0.5)
    assert status(server, LARGE) == 200
