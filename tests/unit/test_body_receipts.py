"""Guard against bodies that keep other bodies out of the ports of a host."""

import http.client

import eventlet
import pytest

from tests.unit.test_large_inputs import put, server  # noqa: F401
from verbenanotch.daemon import _body_receipts, _request_body
from verbenanotch.daemon._body_receipts import BodyReceipts, BodyRefusedError
from verbenanotch.daemon._http import MAX_LARGE_BODIES, HttpServer
from verbenanotch.daemon._request_body import LARGE_BODY_BYTES
from verbenanotch.telemetry import metrics

TIMEOUT_SECONDS = 10
# Longer than a test waits.
ENDLESS_SECONDS = 6 * TIMEOUT_SECONDS
STALLED_IN_CHUNKS = (
    b"PUT /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"5\r\nhello\r\n0\r\n"
)


def stalled_with_length(size):
    head = b"PUT /x HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n" % size
    return head + b"x" * (size - 1)


STALLED_LARGE = stalled_with_length(LARGE_BODY_BYTES + 1)


@pytest.fixture
def upload(server):  # noqa: F811
    """Return a function that sends bytes on a connection of its own."""
    socks = []

    def send(data):
        sock = eventlet.connect(("127.0.0.1", server.port))
        socks.append(sock)
        sock.sendall(data)
        return sock

    yield send
    for sock in socks:
        sock.close()


def put_in_chunks(server):  # noqa: F811
    connection = http.client.HTTPConnection(
        "127.0.0.1", server.port, timeout=TIMEOUT_SECONDS
    )
    connection.request("PUT", "/x", body=iter([b"hel", b"lo"]))
    response = connection.getresponse()
    answer = response.status, response.read()
    connection.close()
    return answer


def wait_for(condition):
    with eventlet.Timeout(TIMEOUT_SECONDS):
        while not condition():
            eventlet.sleep(0.01)


def answer_on(sock):
    with eventlet.Timeout(TIMEOUT_SECONDS):
        data = b""
        while received := sock.recv(65536):
            data += received
    return data


@pytest.mark.parametrize("data", [STALLED_IN_CHUNKS, STALLED_LARGE])
def test_the_oldest_of_the_bodies_that_stall_gives_way(
    monkeypatch,
    server,  # noqa: F811
    upload,
    data,
):
    monkeypatch.setattr(_body_receipts, "MIN_BODY_SECONDS", 0.0)
    monkeypatch.setattr(_body_receipts, "MAX_BODY_SECONDS", ENDLESS_SECONDS)
    refused = metrics.totals_by_name[
        "daemon.http_bodies_refused.body-gave-way"
    ]
    stalled = []
    for count in range(MAX_LARGE_BODIES):
        stalled.append(upload(data))
        wait_for(lambda count=count: server.large_bodies > count)
    assert put_in_chunks(server) == (200, b"hello")
    answer = answer_on(stalled[0])
    assert answer.startswith(b"HTTP/1.1 408 ")
    assert b"\r\nConnection: close\r\n" in answer
    assert b"body-gave-way" in answer
    assert server.large_bodies == MAX_LARGE_BODIES - 1
    assert (
        metrics.totals_by_name["daemon.http_bodies_refused.body-gave-way"]
        == refused + 1
    )


@pytest.mark.parametrize(
    "data", [STALLED_IN_CHUNKS, STALLED_LARGE, stalled_with_length(10)]
)
def test_a_body_that_is_late_is_given_up(
    monkeypatch,
    server,  # noqa: F811
    upload,
    data,
):
    monkeypatch.setattr(_body_receipts, "MAX_BODY_SECONDS", 0.3)
    sock = upload(data)
    answer = answer_on(sock)
    assert answer.startswith(b"HTTP/1.1 408 ")
    assert b"\r\nConnection: close\r\n" in answer
    assert b"body-late" in answer
    assert server.body_receipts.received_bytes == 0


def test_small_bodies_have_a_common_bound(
    monkeypatch,
    server,  # noqa: F811
    upload,
):
    monkeypatch.setattr(_body_receipts, "MIN_BODY_SECONDS", 0.0)
    monkeypatch.setattr(_body_receipts, "MAX_BODY_SECONDS", ENDLESS_SECONDS)
    monkeypatch.setattr(_body_receipts, "MAX_RECEIVED_BYTES", 100_000)
    receipts = server.body_receipts
    stalled = []
    for count in range(10):
        stalled.append(upload(stalled_with_length(10_000)))
        wait_for(
            lambda count=count: receipts.received_bytes == 10_000 * (count + 1)
        )
    assert put(server, b"x" * 10_000) == (200, 10_000)
    assert answer_on(stalled[0]).startswith(b"HTTP/1.1 408 ")
    assert receipts.received_bytes == 90_000
    for sock in stalled[1:]:
        sock.sendall(b"x")
        assert sock.recv(65536).startswith(b"HTTP/1.1 200 ")
    assert receipts.received_bytes == 0


def test_fresh_bodies_do_not_give_way(monkeypatch, server, upload):  # noqa: F811
    monkeypatch.setattr(_body_receipts, "MIN_BODY_SECONDS", ENDLESS_SECONDS)
    monkeypatch.setattr(_body_receipts, "MAX_BODY_SECONDS", ENDLESS_SECONDS)
    monkeypatch.setattr(_body_receipts, "MAX_RECEIVED_BYTES", 10_000)
    first = upload(stalled_with_length(10_000))
    wait_for(lambda: server.body_receipts.received_bytes == 10_000)
    status, _ = put(server, b"y" * 10)
    assert status == 503
    first.sendall(b"x")
    assert first.recv(65536).startswith(b"HTTP/1.1 200 ")


def test_the_rest_behind_an_answer_is_read_for_a_bounded_time(monkeypatch):
    """The answer is given before the body and leaves the connection open."""
    monkeypatch.setattr(_request_body, "MAX_DISCARD_SECONDS", 0.2)

    def application(environ, start_response):
        start_response("200 OK", [("Content-Length", "0")])
        return [b""]

    running = HttpServer(address="127.0.0.1", port=0, application=application)
    running.start()
    with eventlet.connect(("127.0.0.1", running.port)) as sock:
        sock.sendall(stalled_with_length(10))
        assert answer_on(sock).startswith(b"HTTP/1.1 200 ")
    running.stop()


def test_an_application_that_is_done_reading_keeps_its_place(monkeypatch):
    monkeypatch.setattr(_body_receipts, "MIN_BODY_SECONDS", 0.0)
    receipts = BodyReceipts(max_large=1)
    with (
        receipts.start(is_large=True),
        pytest.raises(BodyRefusedError, match="bodies-full"),
        receipts.start(is_large=True),
    ):
        pytest.fail("a second one has started")
    with receipts.start(is_large=True):
        assert receipts.large_count == 1
