"""Guard against clients that keep sockets behind their last answers."""

import contextlib

import eventlet
import pytest
from eventlet.wsgi import ChunkReadError

from tests.unit.test_early_answers import (  # noqa: F401
    TIMEOUT_SECONDS,
    http,
    in_chunks,
    read_all,
    refuse,
    server,
)
from tests.unit.test_proxy_entry import entry  # noqa: F401
from verbenanotch.daemon import _http, _linger
from verbenanotch.telemetry import metrics

MAX_LINGERING = 3
BEHIND = 2
RESETS = "daemon.http_lingering_reset"
MALFORMED = (
    b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n!\r\n"
)


@pytest.fixture
def callers(http):  # noqa: F811
    """Return connections one by one; more of them linger than may."""
    socks = [
        eventlet.connect(("127.0.0.1", http.port))
        for _ in range(MAX_LINGERING + BEHIND)
    ]
    yield socks
    for sock in socks:
        sock.close()


@pytest.mark.parametrize("bound", ["MAX_LINGERING", "MAX_UNENDED_BODIES"])
def test_the_connections_that_linger_longest_are_reset(
    bound,
    monkeypatch,
    http,  # noqa: F811
    callers,
):
    monkeypatch.setattr(_linger, bound, MAX_LINGERING)
    monkeypatch.setattr(_http, "BODY_LINGER_SECONDS", 6 * TIMEOUT_SECONDS)
    resets = metrics.totals_by_name[RESETS]
    for sock in callers:
        sock.sendall(in_chunks()[0])
        assert read_all(sock).startswith(b"HTTP/1.1 503 ")
    with eventlet.Timeout(TIMEOUT_SECONDS):
        while http.connection_count > MAX_LINGERING:
            eventlet.sleep(0.01)
    eventlet.sleep(0.1)
    assert http.connection_count == http.in_flight == MAX_LINGERING
    for sock in callers[:BEHIND]:
        with pytest.raises(OSError):
            sock.sendall(b"x")
    for sock in callers[BEHIND:]:
        sock.sendall(b"x")
    assert metrics.totals_by_name[RESETS] == resets + BEHIND


def test_answers_on_their_way_are_not_cut_by_later_ones(monkeypatch):
    """Guard against answers that a crowd of closing connections cuts."""
    monkeypatch.setattr(_linger, "MAX_LINGERING", MAX_LINGERING)
    body = b"x" * 300_000

    def application(environ, start_response):
        start_response("200 OK", [("Content-Length", str(len(body)))])
        return [body]

    running = _http.HttpServer(
        address="127.0.0.1", port=0, application=application
    )
    running.start()
    socks = [eventlet.connect(("127.0.0.1", running.port)) for _ in range(10)]
    for sock in socks:
        sock.sendall(b"GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
    # All have been answered by then, and none has been read.
    eventlet.sleep(0.5)
    answers = [read_all(sock) for sock in socks]
    running.stop()
    for sock in socks:
        sock.close()
    assert [answer.endswith(body) for answer in answers] == [True] * 10


@pytest.fixture
def reading_server():
    """Return a server that reads a body before it refuses it."""

    def application(environ, start_response):
        with contextlib.suppress(ChunkReadError):
            environ["wsgi.input"].read()
        return refuse(environ, start_response)

    running = _http.HttpServer(
        address="127.0.0.1", port=0, application=application
    )
    running.start()
    yield running
    running.stop()


def connect(running):
    return contextlib.closing(eventlet.connect(("127.0.0.1", running.port)))


def test_malformed_bodies_are_among_those_that_have_not_ended(
    monkeypatch, reading_server
):
    """Guard against crowds that wait behind malformed bodies."""
    monkeypatch.setattr(_linger, "MAX_UNENDED_BODIES", 1)
    monkeypatch.setattr(_linger, "LINGER_SECONDS", 6 * TIMEOUT_SECONDS)
    with connect(reading_server) as first, connect(reading_server) as second:
        for sock in (first, second):
            sock.sendall(MALFORMED)
            assert read_all(sock).startswith(b"HTTP/1.1 503 ")
        eventlet.sleep(0.1)
        assert reading_server.connection_count == 1
        with pytest.raises(OSError):
            first.sendall(b"x")
        second.sendall(b"x")


def test_connections_are_accepted_once_the_ended_ones_are_closed(
    monkeypatch,
    server,  # noqa: F811
):
    """Guard against clients that connect anew before others are closed."""
    monkeypatch.setattr(_linger, "MAX_UNENDED_BODIES", 1)
    closing = eventlet.Event()

    def linger_late(connection, rest, *, body_seconds):
        closing.wait()

    monkeypatch.setattr(_http, "linger", linger_late)
    with connect(server) as first, connect(server) as second:
        for sock in (first, second):
            sock.sendall(in_chunks()[0])
            assert read_all(sock).startswith(b"HTTP/1.1 503 ")
        # An accept is already waiting for the third.
        with connect(server) as third, connect(server) as fourth:
            for sock in (third, fourth):
                sock.sendall(in_chunks()[0])
            eventlet.sleep(0.1)
            assert server.connection_count == 3
            closing.send()
            for sock in (third, fourth):
                assert read_all(sock).startswith(b"HTTP/1.1 503 ")
