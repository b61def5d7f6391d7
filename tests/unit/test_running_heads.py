"""Guard against a process that the heads of requests that run end."""

import contextlib
import functools
import socket
import tracemalloc

import eventlet
import pytest

from tests.unit.test_many_heads import LINE, SMALL, status
from verbenanotch.daemon._caller_protocol import (
    CallerProtocol,
    PipelineOptions,
)
from verbenanotch.daemon._http import HttpProtocol, HttpServer
from verbenanotch.proxy import DisconnectMonitor

CONNECTIONS = 600
# Heads of 16 MiB, whose fields of one name are joined besides, and what each
# connection keeps whatever it sent.
MAX_BYTES = 48 * 1024 * 1024
WAIT_SECONDS = 1.0
MAX_PIPELINED = 4
# More than the room that a head which was refused leaves.
LARGEST = SMALL[:-2] + LINE * 9 + b"\r\n"
SLOW = {
    "without a body": b"GET /slow HTTP/1.1\r\nHost: a\r\n",
    "with a body": b"POST /slow HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n",
}


class Application:
    """Answer paths that begin with `/slow` once it is told to."""

    def __init__(self):
        """Start without an order to answer."""
        self.is_answering = eventlet.Event()

    def __call__(self, environ, start_response):
        """Respond to one request; the WSGI entry point."""
        if environ["PATH_INFO"].startswith("/slow"):
            self.is_answering.wait()
        start_response("200 OK", [("Content-Length", "0")])
        return []


@pytest.fixture
def application():
    return Application()


@pytest.fixture(params=["callers", "others"])
def server(request, application):
    monitor = DisconnectMonitor()
    options = PipelineOptions(
        is_safe=lambda environ: True,
        disconnect_monitor=monitor,
        max_concurrent=MAX_PIPELINED,
    )
    callers = functools.partial(CallerProtocol, options=options)
    http = HttpServer(
        address="127.0.0.1",
        port=0,
        application=application,
        protocol=callers if request.param == "callers" else HttpProtocol,
    )
    monitor.start()
    http.start()
    yield http
    http.stop()
    monitor.stop()


@pytest.fixture
def send(server):
    """Return a function that sends data on many connections."""
    with contextlib.ExitStack() as stack:

        def send(data):
            tracemalloc.start()
            for _ in range(CONNECTIONS):
                sock = socket.create_connection((server.address, server.port))
                stack.callback(sock.close)
                # An early answer may close the connection.
                with contextlib.suppress(OSError):
                    sock.sendall(data)
                eventlet.sleep(0)
            eventlet.sleep(WAIT_SECONDS)

        yield send
        tracemalloc.stop()


@pytest.mark.parametrize("name", SLOW)
@pytest.mark.parametrize("is_line_long", [False, True])
def test_heads_of_running_requests_have_a_common_limit(
    server, send, application, name, is_line_long
):
    head = SLOW[name]
    if is_line_long:
        head = head.replace(b"/slow", b"/slow" + b"a" * 8000)
        head += LINE * 6
    else:
        head += LINE * 8
    send(head + b"\r\nx")
    assert tracemalloc.get_traced_memory()[0] < MAX_BYTES
    assert status(server, SMALL) == 200
    assert status(server, LARGEST) == 503
    application.is_answering.send()
    eventlet.sleep(WAIT_SECONDS)
    assert status(server, LARGEST) == 200


def test_a_refused_head_that_waits_for_an_earlier_answer_is_not_kept(
    server, send, application
):
    """Refuse requests behind slow ones of the same connections."""
    first = b"GET /slow HTTP/1.1\r\nHost: a\r\n\r\n"
    send(first + SLOW["without a body"] + LINE * 8 + b"bad\r\n\r\n")
    assert tracemalloc.get_traced_memory()[0] < MAX_BYTES
    assert status(server, LARGEST) == 200
