"""Exceptions that nothing handles are logged."""

import socket
import sys

import eventlet
import pytest
from eventlet import hubs

from verbenanotch import loop
from verbenanotch.daemon import _failures, events
from verbenanotch.daemon._failures import RequestFailureLog, log_unhandled
from verbenanotch.daemon._http import HttpServer
from verbenanotch.telemetry import metrics
from verbenanotch.telemetry._metrics import Metrics


@pytest.fixture
def emitted(monkeypatch):
    """Return the list of the events that the failure logs emit."""
    emitted = []

    def emit(event, **fields):
        emitted.append((event, fields["traceback"]))

    monkeypatch.setattr(_failures, "emit", emit)
    return emitted


@pytest.fixture
def hub(monkeypatch):
    hub = hubs.get_hub()
    for name in (
        "squelch_exception",
        "squelch_generic_exception",
        "squelch_timer_exception",
    ):
        monkeypatch.setattr(hub, name, getattr(hub, name))
    log_unhandled(hub)
    return hub


def fail():
    raise KeyError("not handled")


@pytest.mark.parametrize(
    "start",
    [
        lambda: eventlet.spawn(fail),
        lambda: eventlet.spawn_n(fail),
        lambda: eventlet.spawn_after(0, fail),
        lambda: loop.Workers().run(fail),
    ],
    ids=["spawn", "spawn_n", "spawn_after", "workers"],
)
def test_an_exception_that_ends_a_task_is_logged(hub, emitted, start):
    """Guard against background tasks that end without a word."""
    before = metrics.totals_by_name["daemon.greenthreads_failed"]
    start()
    start()
    eventlet.sleep(0.05)
    ((event, text),) = emitted
    assert event is events.GREENTHREAD_FAILED
    assert "not handled" in text
    after = metrics.totals_by_name["daemon.greenthreads_failed"]
    assert after - before == 2


def test_a_request_that_fails_is_logged(emitted):
    def application(environ, start_response):
        fail()

    server = HttpServer(address="127.0.0.1", port=0, application=application)
    server.start()
    with socket.create_connection((server.address, server.port)) as sock:
        sock.sendall(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
        assert b" 500 " in sock.recv(1000)
    server.stop()
    ((event, text),) = emitted
    assert event is events.HTTP_REQUEST_FAILED
    assert "not handled" in text


def test_a_client_that_has_left_is_no_failure(emitted):
    log = RequestFailureLog()
    try:
        raise BrokenPipeError
    except BrokenPipeError:
        log.info("traceback")
    assert sys.exc_info()[1] is None
    assert emitted == []


def test_metrics_are_dropped_while_their_socket_is_full():
    sent = Metrics()
    sent.configure(host="127.0.0.1", port=9, prefix="test")
    sock = sent._client._sock
    assert sock.gettimeout() == 0.0 or sock.act_non_blocking
    for _ in range(1000):
        sent.increment("many")
    assert sent.totals_by_name["many"] == 1000
