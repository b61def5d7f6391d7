"""Guard against the cost of bodies whose end is behind the last answer."""

import gc
import weakref

import eventlet
import pytest

from tests.unit.test_early_answers import (  # noqa: F401
    TIMEOUT_SECONDS,
    caller,
    http,
    in_chunks,
    read_all,
    server,
    wait_until_closed,
    with_length,
)
from tests.unit.test_proxy_entry import entry  # noqa: F401
from verbenanotch.daemon import _http
from verbenanotch.daemon._http import HttpProtocol, HttpServer
from verbenanotch.daemon._linger import LAST_CHUNK, BodyRest
from verbenanotch.daemon._request_body import RequestBody

BODIES = [with_length(), in_chunks()]
# Longer than a test waits.
ENDLESS_SECONDS = 6 * TIMEOUT_SECONDS


@pytest.fixture
def references(monkeypatch):
    """Return weak references to all protocols and bodies made from now on."""
    found = []
    for made in (HttpProtocol, RequestBody):
        init = made.__init__

        def record(self, *args, _init=init, **options):
            found.append(weakref.ref(self))
            _init(self, *args, **options)

        monkeypatch.setattr(made, "__init__", record)
    gc.disable()
    yield found
    gc.enable()


@pytest.mark.parametrize("pieces", BODIES)
def test_only_the_socket_is_kept_for_the_rest_of_a_body(
    http,  # noqa: F811
    references,
    caller,  # noqa: F811
    pieces,
):
    for piece in pieces[:-1]:
        caller.sendall(piece)
    assert read_all(caller).startswith(b"HTTP/1.1 503 ")
    eventlet.sleep(0.1)
    assert http.in_flight == 1
    assert len(references) == 2
    assert [reference() for reference in references] == [None, None]


@pytest.mark.parametrize("pieces", BODIES)
def test_a_body_is_awaited_until_its_end(
    monkeypatch,
    http,  # noqa: F811
    caller,  # noqa: F811
    pieces,
):
    monkeypatch.setattr(_http, "BODY_LINGER_SECONDS", ENDLESS_SECONDS)
    for piece in pieces[:-1]:
        caller.sendall(piece)
    assert read_all(caller).startswith(b"HTTP/1.1 503 ")
    caller.sendall(pieces[-1][:-1])
    eventlet.sleep(0.1)
    assert http.in_flight == 1
    caller.sendall(pieces[-1][-1:])
    # The caller leaves its side open.
    wait_until_closed(http)


def test_a_read_that_breaks_off_leaves_the_rest_of_the_length(
    monkeypatch,
    caller_of,
):
    monkeypatch.setattr(_http, "BODY_LINGER_SECONDS", ENDLESS_SECONDS)

    def application(environ, start_response):
        with eventlet.Timeout(0.1, False):
            environ["wsgi.input"].read()
        start_response("408 Request Timeout", [("Content-Length", "0")])
        return [b""]

    broken, sock = caller_of(application)
    head, *pieces = with_length()
    sock.sendall(head + pieces[0])
    assert read_all(sock).startswith(b"HTTP/1.1 408 ")
    for piece in pieces[1:]:
        assert broken.in_flight == 1
        sock.sendall(piece)
        eventlet.sleep(0)
    wait_until_closed(broken)


@pytest.fixture
def caller_of():
    """Return a function: a server of an application, and a caller of it."""
    opened = []

    def start(application):
        running = HttpServer(
            address="127.0.0.1", port=0, application=application
        )
        running.start()
        sock = eventlet.connect(("127.0.0.1", running.port))
        opened.append((running, sock))
        return running, sock

    yield start
    for running, sock in opened:
        sock.close()
        running.stop()


def test_data_that_look_like_the_last_chunk_do_not_end_a_body():
    rest = BodyRest(size_bytes=None, tail=b"\r\n" + LAST_CHUNK[:-1])
    assert rest.is_awaited
    rest.drop(LAST_CHUNK[-1:])
    rest.drop(b"5\r\n")
    assert rest.is_awaited
    rest.drop(LAST_CHUNK)
    assert not rest.is_awaited
