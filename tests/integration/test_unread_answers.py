"""Guard against callers that hold all memory by not reading their answers.

Real processes with the limits of the users' machines.
"""

import contextlib

import eventlet
import pytest

from tests.integration.request_load import MESH_TEXT, SERVICE
from tests.integration.test_large_bodies import ask
from tests.support.endless_target import (
    LARGE_BODY,
    LARGE_BODY_BYTES,
    start_endless_target,
)
from tests.support.harness import Mesh
from tests.support.memory import BODY_LIMITS, MAX_MEMORY_KB, peak_memory_kb

PROXY = "z1-proxy-1"
PIECE_BYTES = 1024 * 1024
SLOW_SECONDS = 10
TIMEOUT_SECONDS = 10


@pytest.fixture
def mesh(tmp_path):
    """Run a proxy all of whose answers are large."""
    with Mesh(
        folder=tmp_path,
        control_hosts_per_zone=1,
        proxies_per_zone=1,
        overrides={"proxy": BODY_LIMITS},
    ) as running:
        target = start_endless_target(
            running, PROXY, service=SERVICE, kind=LARGE_BODY
        )
        running.accept(MESH_TEXT)
        yield running
        target.stop()


def ask_for_large_answer(address):
    """Return a connection whose answer has a large body, or None.

    The head is read, the body is not.
    """
    sock = ask("GET", address)
    sock.settimeout(TIMEOUT_SECONDS)
    head = b""
    with contextlib.suppress(OSError):
        while b"\r\n\r\n" not in head and (data := sock.recv(1)):
            head += data
    if b"Content-Length: %d\r\n" % LARGE_BODY_BYTES in head:
        return sock
    sock.close()
    return None


def read_rest(sock, left):
    """Return how many of the `left` bytes do not come."""
    while left and (data := sock.recv(min(left, PIECE_BYTES))):
        left -= len(data)
    return left


def is_large_answer_whole(address):
    sock = ask_for_large_answer(address)
    if sock is None:
        return False
    with contextlib.closing(sock):
        return not read_rest(sock, LARGE_BODY_BYTES)


def test_an_answer_that_is_not_read_gives_way_to_others(mesh):
    address = mesh.topology.hosts_by_name[PROXY].address
    unread = mesh.wait_until(
        lambda: ask_for_large_answer(address), what="large answer"
    )
    with contextlib.closing(unread):
        mesh.wait_until(
            lambda: is_large_answer_whole(address),
            what="large answer for a caller that reads",
        )
    assert peak_memory_kb(mesh, PROXY) < MAX_MEMORY_KB


def test_a_caller_that_reads_slowly_gets_its_answer(mesh):
    address = mesh.topology.hosts_by_name[PROXY].address
    slow = mesh.wait_until(
        lambda: ask_for_large_answer(address), what="large answer"
    )
    left = LARGE_BODY_BYTES
    with contextlib.closing(slow):
        for _ in range(SLOW_SECONDS):
            eventlet.sleep(1.0)
            left -= len(slow.recv(PIECE_BYTES))
        assert read_rest(slow, left) == 0
