"""Callers that send a body but its end, and what they leave to others."""

import contextlib
import socket

import attrs
import eventlet
import pytest

from tests.unit.test_proxy_entry import (
    ANSWER,
    FakeSnapshotStore,
    make_record,
    run_entry,
)
from tests.unit.test_proxy_peers import SETTINGS
from verbenanotch.catalog import Route, Service, Version
from verbenanotch.proxy import BodyBudget

MAX_BYTES = 100_000
BODY_BYTES = 10_000
SMALL_BODY_BYTES = 1000
# More than fit into MAX_BYTES together.
MANY_SMALL = 60
HEAD = b"POST /pay/1 HTTP/1.1\r\nHost: a\r\n"
WAIT_SECONDS = 5.0


def whole(size):
    return HEAD + b"Content-Length: %d\r\n\r\n" % size + b"x" * size


def unfinished(size):
    return whole(size)[:-1]


@pytest.fixture
def budget():
    return BodyBudget(max_bytes=MAX_BYTES, max_body_bytes=BODY_BYTES)


@pytest.fixture
def make_entry(budget):
    """Return a function that runs an entry with a limit of requests."""
    with contextlib.ExitStack() as entries:

        def start():
            proxy = attrs.evolve(
                SETTINGS.proxy,
                max_body_bytes=BODY_BYTES,
            )
            store = FakeSnapshotStore(
                [make_record(number) for number in range(1, 5)],
                version=Version(epoch=1, index=1),
                services_by_name={"pay": Service(cold_start_ms=0)},
                routes_by_name={
                    "pay": Route(
                        prefix="/pay", service="pay", timeout_ms=30_000
                    )
                },
            )
            return entries.enter_context(
                run_entry(
                    attrs.evolve(SETTINGS, proxy=proxy),
                    store,
                    body_budget=budget,
                )
            )

        yield start


@pytest.fixture
def entry(make_entry):
    return make_entry()


@pytest.fixture
def callers():
    """Return a function that sends bytes on new connections."""
    with contextlib.ExitStack() as connections:

        def send(entry, count, data):
            sockets = []
            for _ in range(count):
                sock = socket.create_connection(("127.0.0.1", entry.http.port))
                connections.enter_context(contextlib.closing(sock))
                sock.sendall(data)
                sockets.append(sock)
            return sockets

        yield send


def wait_until(condition):
    with eventlet.Timeout(WAIT_SECONDS):
        while not condition():
            eventlet.sleep(0.01)


def received(sock):
    """Return what has arrived on a connection."""
    sock.settimeout(0.05)
    data = b""
    with contextlib.suppress(TimeoutError):
        while piece := sock.recv(65536):
            data += piece
    return data


def test_unfinished_bodies_leave_room_for_those_that_have_arrived(
    entry, callers
):
    callers(entry, MANY_SMALL, unfinished(SMALL_BODY_BYTES))
    eventlet.sleep(0.05)
    for _ in range(10):
        answer = entry.send_request(body=b"x" * SMALL_BODY_BYTES)
        assert answer.status == 200


def test_an_unfinished_body_costs_more_than_its_bytes(entry, budget, callers):
    sock = callers(entry, 1, unfinished(BODY_BYTES))[0]
    wait_until(lambda: entry.interface.in_flight)
    eventlet.sleep(0.05)
    assert budget.used_bytes == BODY_BYTES + budget.overhead_bytes
    used_bytes = []
    entry.peers.outcomes = [
        lambda _: used_bytes.append(budget.used_bytes) or ANSWER
    ]
    sock.sendall(b"x")
    assert b"200 OK" in received(sock)
    assert used_bytes == [BODY_BYTES]
    wait_until(lambda: budget.used_bytes == 0)
