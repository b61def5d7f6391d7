"""Guard against a process that the bodies of many requests end.

Real processes with the limits of the users' machines. Each body is below the
limit of a single one.
"""

import contextlib
import socket

import eventlet
import pytest

from examples import topology as plans
from tests.integration.request_load import MESH_TEXT, SERVICE
from tests.support.endless_target import LARGE_BODY, start_endless_target
from tests.support.harness import Mesh
from tests.support.memory import BODY_LIMITS, MAX_MEMORY_KB, peak_memory_kb

PROXIES = ["z1-proxy-1", "z1-proxy-2"]
LINK_MBPS = 1000.0
CONNECTIONS = 40
SECONDS = 6.0
CALLERS = 10
PIECE = b"x" * (64 * 1024)
CHUNK = b"10000\r\n" + PIECE + b"\r\n"
LENGTH = 67_000_000
HEAD = b"POST /pay/1 HTTP/1.1\r\nHost: a\r\n"


@contextlib.contextmanager
def start_mesh(folder):
    """Run two proxies with targets that are of use."""
    with Mesh(
        folder=folder,
        control_hosts_per_zone=1,
        proxies_per_zone=len(PROXIES),
        overrides={"proxy": {**BODY_LIMITS, "link_mbps": LINK_MBPS}},
    ) as running:
        for proxy in PROXIES:
            running.start_target(proxy, SERVICE)
        running.accept(MESH_TEXT)
        running.wait_until(
            lambda: all(is_served(running, proxy) for proxy in PROXIES),
            what="served requests",
        )
        yield running


@pytest.fixture
def mesh(tmp_path):
    with start_mesh(tmp_path) as running:
        yield running


def is_served(mesh, proxy):
    answer = mesh.call("POST", "/pay/1", proxy=proxy, timeout_ms=1500)
    return answer.outcome == "answered"


def send_chunks_without_end(sock):
    sock.sendall(HEAD + b"Transfer-Encoding: chunked\r\n\r\n")
    while True:
        sock.sendall(CHUNK)


def send_large_requests(sock):
    while True:
        sock.sendall(HEAD + b"Content-Length: %d\r\n\r\n" % LENGTH)
        for _ in range(LENGTH // len(PIECE)):
            sock.sendall(PIECE)
        sock.sendall(PIECE[: LENGTH % len(PIECE)])


def ask(method, address):
    """Send a request on a new connection; return the connection."""
    sock = eventlet.connect((address, plans.CALLER_PORT))
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, len(PIECE))
    sock.sendall(
        f"{method} /pay/1 HTTP/1.1\r\n"
        "Host: a\r\nContent-Length: 0\r\n\r\n".encode()
    )
    return sock


def send_again_and_again(send, address):
    """Send on new connections until the time is over."""
    while True:
        with contextlib.suppress(OSError):
            sock = eventlet.connect((address, plans.CALLER_PORT))
            with contextlib.closing(sock):
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 65536)
                send(sock)
        eventlet.sleep(0.05)


@pytest.fixture
def large_targets(mesh):
    """Return a function that adds targets whose answers are large."""
    started = []

    def add(count):
        for _ in range(count):
            started.append(
                start_endless_target(
                    mesh, PROXIES[0], service=SERVICE, kind=LARGE_BODY
                )
            )
        mesh.wait_until(
            lambda: (
                is_served(mesh, PROXIES[0])
                and all(target.request_count for target in started)
            ),
            what="requests at the targets",
        )

    yield add
    for target in started:
        target.stop()


@pytest.mark.parametrize("method", ["GET", "POST"])
@pytest.mark.parametrize("proxy", PROXIES)
@pytest.mark.parametrize("target_count", [1, 6])
def test_answers_that_callers_do_not_read_fit_into_the_memory(
    mesh, large_targets, target_count, proxy, method
):
    large_targets(target_count)
    address = mesh.topology.hosts_by_name[proxy].address
    with contextlib.ExitStack() as connections:
        for _ in range(CALLERS):
            sock = connections.enter_context(ask(method, address))
            # The head comes with the answer; the rest is left unread.
            sock.recv(1)
    for name in PROXIES:
        assert peak_memory_kb(mesh, name) < MAX_MEMORY_KB
    mesh.wait_until(lambda: is_served(mesh, proxy), what="served request")


@pytest.mark.parametrize(
    "send", [send_chunks_without_end, send_large_requests]
)
def test_bodies_of_many_callers_fit_into_the_memory(mesh, send):
    proxy = PROXIES[0]
    address = mesh.topology.hosts_by_name[proxy].address
    greenthreads = [
        eventlet.spawn(send_again_and_again, send, address)
        for _ in range(CONNECTIONS)
    ]
    eventlet.sleep(SECONDS)
    for greenthread in greenthreads:
        greenthread.kill()
    peak_kb = peak_memory_kb(mesh, proxy)
    assert peak_kb < MAX_MEMORY_KB
    mesh.wait_until(lambda: is_served(mesh, proxy), what="served request")
