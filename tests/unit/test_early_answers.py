"""Guard against answers that callers lose while they send a long body.

An answer that is given before a body was read has to reach a caller that
sends all of its body first, with a pause.
"""

import socket

import eventlet
import pytest

from tests.unit.test_proxy_entry import entry  # noqa: F401
from verbenanotch.daemon import _http
from verbenanotch.daemon._http import HttpServer

TIMEOUT_SECONDS = 10
BODY_BYTES = 400_000
PAUSE_SECONDS = 1.5
PIECE_BYTES = 40_000
HEAD = b"POST /other/1 HTTP/1.1\r\nHost: x\r\n"


def refuse(environ, start_response):
    body = b"refused"
    start_response(
        "503 Service Unavailable", [("Content-Length", str(len(body)))]
    )
    return [body]


@pytest.fixture
def server():
    running = HttpServer(address="127.0.0.1", port=0, application=refuse)
    running.start()
    yield running
    running.stop()


@pytest.fixture(params=["callers", "others"])
def http(request, server, entry):  # noqa: F811
    return entry.http if request.param == "callers" else server


@pytest.fixture
def caller(http):
    sock = socket.create_connection(("127.0.0.1", http.port))
    sock.settimeout(TIMEOUT_SECONDS)
    yield sock
    sock.close()


def with_length():
    pieces = [b"x" * PIECE_BYTES] * (BODY_BYTES // PIECE_BYTES)
    return [HEAD + b"Content-Length: %d\r\n\r\n" % BODY_BYTES, *pieces]


def in_chunks():
    chunk = b"%x\r\n%s\r\n" % (PIECE_BYTES, b"x" * PIECE_BYTES)
    return [
        HEAD + b"Transfer-Encoding: chunked\r\n\r\n",
        *[chunk] * (BODY_BYTES // PIECE_BYTES),
        b"0\r\n\r\n",
    ]


def read_all(sock):
    data = b""
    while received := sock.recv(65536):
        data += received
    return data


def wait_until_closed(http):
    with eventlet.Timeout(TIMEOUT_SECONDS):
        while http.connection_count:
            eventlet.sleep(0.01)


@pytest.mark.parametrize("pieces", [with_length(), in_chunks()])
@pytest.mark.parametrize("pause_seconds", [0, PAUSE_SECONDS])
def test_a_caller_that_sends_on_gets_its_early_answer(
    caller, pieces, pause_seconds
):
    half = len(pieces) // 2
    for piece in pieces[:half]:
        caller.sendall(piece)
    eventlet.sleep(pause_seconds)
    for piece in pieces[half:]:
        caller.sendall(piece)
        eventlet.sleep(0.01)
    answer = read_all(caller)
    assert answer.startswith(b"HTTP/1.1 503 ")
    assert b"\r\nConnection: close\r\n" in answer


def test_a_body_without_end_is_read_for_a_bounded_time(
    monkeypatch, http, caller
):
    monkeypatch.setattr(_http, "BODY_LINGER_SECONDS", 0.2)
    head, chunk, *_ = in_chunks()
    caller.sendall(head)
    with eventlet.Timeout(TIMEOUT_SECONDS), pytest.raises(OSError):
        while True:
            caller.sendall(chunk)
            eventlet.sleep(0.01)
    wait_until_closed(http)


def test_a_stop_waits_for_a_caller_that_sends_on(http, caller):
    pieces = with_length()
    for piece in pieces[:-1]:
        caller.sendall(piece)
    eventlet.sleep(0.1)
    assert http.in_flight == 1
    caller.sendall(pieces[-1])
    assert read_all(caller).startswith(b"HTTP/1.1 503 ")
    caller.close()
    wait_until_closed(http)
    assert http.in_flight == 0
