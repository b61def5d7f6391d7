"""Tests of pipelined requests on one connection of a caller."""

import re
import socket

import eventlet
import pytest
from eventlet import event

from tests.unit.test_proxy_entry import (  # noqa: F401
    ANSWER,
    MAX_PIPELINED,
    entry,
)
from verbenanotch.daemon import _caller_protocol
from verbenanotch.proxy._outcome import Answered, Unknown

TIMEOUT_SECONDS = 5
LARGE_BODY = b"x" * 300_000
ANSWER_PATTERN = re.compile(
    rb"HTTP/1\.1 (\d+) (.*?)\r\n\r\n", re.DOTALL | re.ASCII
)


def request(number, method="GET", extra=""):
    return (
        f"{method} /pay/{number} HTTP/1.1\r\nHost: x\r\n"
        f"X-Request-Id: id-{number}\r\n{extra}\r\n"
    ).encode()


class Caller:
    """A caller with one connection to the entry interface."""

    def __init__(self, port):
        """Connect."""
        self.sock = socket.create_connection(("127.0.0.1", port))
        self.sock.settimeout(TIMEOUT_SECONDS)
        self._data = b""

    def send(self, *requests):
        """Send requests in one write."""
        self.sock.sendall(b"".join(requests))

    def answer(self):
        """Return status, request id and headers of the next answer."""
        while (match := ANSWER_PATTERN.match(self._data)) is None:
            if not self._receive():
                return None
        headers = match[2].decode()
        length = int(re.search(r"Content-Length: (\d+)", headers)[1])
        while len(self._data) < match.end() + length:
            assert self._receive(), "the answer was cut short"
        self._data = self._data[match.end() + length :]
        request_id = re.search(r"X-Request-Id: (\S+)", headers)[1]
        return int(match[1]), request_id, "Connection: close" in headers

    def answers(self):
        """Return all answers until the connection ends."""
        found = []
        while (answer := self.answer()) is not None:
            found.append(answer)
        return found

    def _receive(self):
        data = self.sock.recv(65536)
        self._data += data
        return bool(data)


class Targets:
    """Outcomes that the test gives for each request, in any order."""

    def __init__(self, running_entry):
        """Take the calls of the entry's peers."""
        self.events_by_id = {}
        self.cancelled = []
        self.started = []
        running_entry.peers.forward = self.forward

    def forward(self, record, call, *, deadline, cancellation):
        """Wait for the outcome of a call, or until it is cancelled."""
        outcome = self.events_by_id[call.request_id] = event.Event()
        self.started.append(call.request_id)

        def cancel():
            self.cancelled.append(call.request_id)
            outcome.send(Unknown(reason="caller-gone"))

        cancellation.on_cancel(cancel)
        return outcome.wait()

    def finish(self, number, outcome=ANSWER):
        """End the call of a request."""
        self.events_by_id[f"id-{number}"].send(outcome)
        eventlet.sleep(0.01)

    def wait_for(self, *numbers):
        """Wait until exactly these requests have been started."""
        expected = [f"id-{number}" for number in numbers]
        with eventlet.Timeout(TIMEOUT_SECONDS):
            while len(self.started) < len(expected):
                eventlet.sleep(0.005)
        eventlet.sleep(0.03)
        assert self.started == expected


@pytest.fixture
def targets(entry):  # noqa: F811
    return Targets(entry)


@pytest.fixture
def caller(entry):  # noqa: F811
    connected = Caller(entry.http.port)
    yield connected
    connected.sock.close()


@pytest.mark.parametrize(
    ("long_head", "status"),
    [
        (b"GET /" + b"a" * 9000 + b" HTTP/1.1\r\nHost: x\r\n\r\n", 414),
        (request(1, extra=f"X-A: {'a' * 9000}\r\n"), 431),
        (request(1, extra=f"X-A: {'a' * 7000}\r\n" * 10), 431),
    ],
)
def test_a_head_that_is_too_long_is_refused_in_its_turn(
    targets, caller, long_head, status
):
    """Guard against a refusal that does not say that nothing ran."""
    caller.send(request(0), long_head)
    targets.wait_for(0)
    targets.finish(0)
    assert caller.answer() == (200, "id-0", False)
    refused_status, _, closes = caller.answer()
    assert (refused_status, closes) == (status, True)
    assert caller.answer() is None


def test_safe_requests_run_side_by_side_and_are_answered_in_order(
    targets, caller
):
    caller.send(
        request(0),
        request(1, extra="X-Verbenanotch-Retries: 0\r\n"),
        request(2).replace(b"/pay", b"/other"),
        request(3),
    )
    targets.wait_for(0, 1, 3)
    targets.finish(3)
    targets.finish(1, Unknown(reason="peer-lost"))
    targets.finish(0, Answered(status=404, headers=(), body=b""))
    assert [caller.answer() for _ in range(4)] == [
        (404, "id-0", False),
        (504, "id-1", False),
        (503, "id-2", False),
        (200, "id-3", False),
    ]


def test_requests_that_arrive_one_by_one_run_side_by_side(targets, caller):
    for number in range(3):
        caller.send(request(number))
        eventlet.sleep(0.02)
    targets.wait_for(0, 1, 2)
    for number in (2, 1, 0):
        targets.finish(number)
    assert [caller.answer()[1] for _ in range(3)] == ["id-0", "id-1", "id-2"]


def test_an_unsafe_request_runs_alone(targets, caller):
    caller.send(
        request(0), request(1), request(2, "POST"), request(3), request(4)
    )
    targets.wait_for(0, 1)
    targets.finish(1)
    targets.wait_for(0, 1)
    targets.finish(0)
    targets.wait_for(0, 1, 2)
    targets.finish(2)
    targets.wait_for(0, 1, 2, 3, 4)
    targets.finish(4)
    targets.finish(3)
    ids = [caller.answer()[1] for _ in range(5)]
    assert ids == [f"id-{number}" for number in range(5)]


def test_a_request_with_a_body_runs_alone(targets, caller):
    caller.send(
        request(0),
        request(1, "POST", "Content-Length: 3\r\n") + b"abc",
        request(2),
    )
    targets.wait_for(0)
    targets.finish(0)
    targets.wait_for(0, 1)
    targets.finish(1)
    targets.wait_for(0, 1, 2)
    targets.finish(2)
    assert [caller.answer()[:2] for _ in range(3)] == [
        (200, "id-0"),
        (200, "id-1"),
        (200, "id-2"),
    ]


def test_the_requests_of_one_connection_are_bounded(targets, caller):
    caller.send(*(request(number) for number in range(MAX_PIPELINED + 2)))
    targets.wait_for(*range(MAX_PIPELINED))
    targets.finish(1)
    targets.wait_for(*range(MAX_PIPELINED))
    targets.finish(0)
    targets.wait_for(*range(MAX_PIPELINED + 2))


def test_requests_behind_a_closing_one_do_not_run(targets, caller):
    caller.send(
        request(0),
        request(1),
        request(2, extra="Connection: close\r\n"),
        request(3),
        request(4),
    )
    targets.wait_for(0, 1, 2)
    for number in (2, 0, 1):
        targets.finish(number)
    assert caller.answers() == [
        (200, "id-0", False),
        (200, "id-1", False),
        (200, "id-2", True),
    ]
    assert len(targets.started) == 3


@pytest.mark.parametrize(
    ("malformed", "status"),
    [
        (b"nonsense\r\n\r\n", b"400"),
        (
            b"GET /pay/1 HTTP/1.1\r\nContent-Length: 3\r\n"
            b"Content-Length: 4\r\n\r\nabcd",
            b"400",
        ),
        (
            b"GET /pay/1 HTTP/1.1\r\nX: " + b"y" * 70_000 + b"\r\n\r\n",
            b"431",
        ),
    ],
)
def test_requests_behind_a_malformed_one_do_not_run(
    targets, caller, malformed, status
):
    caller.send(request(0), malformed, request(2))
    targets.wait_for(0)
    targets.finish(0)
    received = b""
    while data := caller.sock.recv(65536):
        received += data
    first, _, second = received.partition(b"hello")
    assert first.startswith(b"HTTP/1.1 200")
    assert second.split(b" ", 2)[1] == status
    assert targets.started == ["id-0"]


def test_a_caller_that_leaves_cancels_all_its_requests(targets, caller):
    caller.send(*(request(number) for number in range(20)))
    targets.wait_for(*range(MAX_PIPELINED))
    caller.sock.close()
    eventlet.sleep(0.2)
    assert sorted(targets.cancelled) == sorted(targets.started)
    assert len(targets.started) == MAX_PIPELINED


def stop(running_entry):
    """Begin to stop, as a proxy does after it has left the mesh."""
    running_entry.http.stop_accepting()
    running_entry.http.close_idle()


def test_a_stop_answers_what_was_received_and_closes_with_the_last(
    entry,  # noqa: F811
    targets,
    caller,
):
    caller.send(request(0), request(1), request(2))
    targets.wait_for(0, 1, 2)
    stop(entry)
    targets.finish(0)
    caller.send(request(3))
    targets.wait_for(0, 1, 2, 3)
    for number in (2, 1, 3):
        targets.finish(number)
    caller.send(request(4))
    assert caller.answers() == [
        (200, "id-0", False),
        (200, "id-1", False),
        (200, "id-2", False),
        (200, "id-3", True),
    ]
    assert "id-4" not in targets.started
    caller.sock.close()
    eventlet.sleep(0.05)
    assert entry.http.connection_count == 0


@pytest.mark.parametrize(
    ("extra", "body"),
    [
        ("", b""),
        ("Content-Length: 3\r\n", b"abc"),
        ("Transfer-Encoding: chunked\r\n", b"3\r\nabc\r\n0\r\n\r\n"),
    ],
    ids=["bodiless", "sized", "chunked"],
)
def test_a_stop_answers_requests_that_wait_for_their_turn(
    entry,  # noqa: F811
    targets,
    caller,
    extra,
    body,
):
    """Guard against requests that were received and dropped by a stop."""
    caller.send(*(request(n, "POST", extra) + body for n in range(3)))
    targets.wait_for(0)
    stop(entry)
    for number in range(3):
        targets.wait_for(*range(number + 1))
        targets.finish(number)
    assert caller.answers() == [
        (200, "id-0", False),
        (200, "id-1", False),
        (200, "id-2", True),
    ]


def test_a_stop_ends_a_connection_that_always_has_a_further_request(
    entry,  # noqa: F811
    targets,
    caller,
):
    """Guard against a stop that waits for a caller until it is cut."""
    caller.send(request(0))
    targets.wait_for(0)
    stop(entry)
    for number in range(1, 4):
        caller.send(request(number))
        targets.wait_for(*range(number + 1))
        targets.finish(number - 1)
        assert caller.answer() == (200, f"id-{number - 1}", False)
    entry.http.take_no_more()
    caller.send(request(4))
    targets.wait_for(0, 1, 2, 3, 4)
    targets.finish(3)
    caller.send(request(5))
    targets.finish(4)
    assert caller.answers() == [(200, "id-3", False), (200, "id-4", True)]
    assert "id-5" not in targets.started


def test_a_stop_counts_a_connection_as_idle_after_its_answers(
    entry,  # noqa: F811
    targets,
    caller,
):
    caller.send(request(0))
    targets.wait_for(0)
    assert entry.http.in_flight == 1
    targets.finish(0)
    caller.answer()
    assert entry.http.in_flight == 0


def test_answers_that_nobody_reads_are_bounded(targets, caller):
    large = Answered(status=200, headers=(), body=LARGE_BODY)
    caller.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
    caller.send(*(request(number) for number in range(60)))
    for _ in range(50):
        eventlet.sleep(0.005)
        for number in range(len(targets.started)):
            if not targets.events_by_id[f"id-{number}"].ready():
                targets.finish(number, large)
    started = len(targets.started)
    # 2.5 MB may be in the buffers of the kernel.
    assert started < 30
    for number in range(started):
        assert caller.answer()[1] == f"id-{number}"


def test_a_caller_that_never_reads_is_disconnected(
    entry,  # noqa: F811
    targets,
    caller,
    monkeypatch,
):
    monkeypatch.setattr(_caller_protocol, "KEEP_ALIVE_SECONDS", 0.2)
    large = Answered(status=200, headers=(), body=LARGE_BODY * 40)
    caller.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
    caller.send(request(0), request(1))
    targets.wait_for(0, 1)
    targets.finish(0, large)
    with eventlet.Timeout(TIMEOUT_SECONDS):
        while not targets.cancelled:
            eventlet.sleep(0.01)
    assert targets.cancelled == ["id-1"]
    eventlet.sleep(0.1)
    assert entry.http.connection_count == 0


def test_a_connection_that_lingers_is_not_in_flight(
    entry,  # noqa: F811
    targets,
    caller,
):
    caller.send(request(0, extra="Connection: close\r\n"))
    targets.wait_for(0)
    targets.finish(0)
    caller.answer()
    assert (entry.http.in_flight, entry.http.connection_count) == (0, 1)


def test_the_deadline_of_a_waiting_request_counts_from_its_arrival(
    targets, caller
):
    caller.send(
        request(0, "POST"), request(1, extra="X-Request-Timeout-Ms: 50\r\n")
    )
    targets.wait_for(0)
    eventlet.sleep(0.1)
    targets.finish(0)
    assert caller.answer() == (200, "id-0", False)
    assert caller.answer() == (503, "id-1", False)
    assert targets.started == ["id-0"]
