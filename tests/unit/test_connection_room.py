"""Guard against connections that keep new ones out of a port."""

import eventlet
import pytest

from tests.unit.test_early_answers import (  # noqa: F401
    TIMEOUT_SECONDS,
    http,
    in_chunks,
    read_all,
    server,
)
from tests.unit.test_proxy_entry import entry  # noqa: F401
from verbenanotch.daemon import _http

CONNECTIONS = 4
REQUEST = b"GET /other/1 HTTP/1.1\r\nHost: x\r\n\r\n"


@pytest.fixture
def connect(monkeypatch, http):  # noqa: F811
    monkeypatch.setattr(_http, "MAX_CONNECTIONS", CONNECTIONS)
    monkeypatch.setattr(_http, "MIN_IDLE_SECONDS", 0.0)
    monkeypatch.setattr(_http, "ROOM_CONNECTIONS", 1)
    monkeypatch.setattr(_http, "BODY_LINGER_SECONDS", 6 * TIMEOUT_SECONDS)
    socks = []

    def make(data):
        sock = eventlet.connect(("127.0.0.1", http.port))
        socks.append(sock)
        sock.settimeout(TIMEOUT_SECONDS)
        sock.sendall(data)
        eventlet.sleep(0.01)
        return sock

    yield make
    for sock in socks:
        sock.close()


def is_answered(sock):
    return sock.recv(65536).startswith(b"HTTP/1.1 503 ")


@pytest.mark.parametrize("first", [b"", REQUEST])
def test_the_connection_that_is_idle_longest_makes_room(connect, first):
    idle = [connect(first) for _ in range(CONNECTIONS)]
    if first:
        assert all(is_answered(sock) for sock in idle)
    assert is_answered(connect(REQUEST))
    assert read_all(idle[0]) == b""
    for sock in idle[1:]:
        sock.sendall(REQUEST)
        assert is_answered(sock)


def test_a_connection_that_lingers_makes_room_first(connect):
    idle = [connect(REQUEST) for _ in range(CONNECTIONS - 1)]
    assert all(is_answered(sock) for sock in idle)
    lingering = connect(in_chunks()[0])
    assert read_all(lingering).startswith(b"HTTP/1.1 503 ")
    assert is_answered(connect(REQUEST))
    for sock in idle:
        sock.sendall(REQUEST)
        assert is_answered(sock)
    with pytest.raises(OSError):
        lingering.sendall(b"x")
