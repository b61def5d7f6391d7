"""Guard against requests without end at the ports beside those of callers.

Real processes; targets and operators send announcements and requests that
never end, or never read the answers to them.
"""

import contextlib

import eventlet
import pytest

from examples import topology as plans
from tests.integration.request_load import MESH_TEXT, SERVICE
from tests.support.harness import Mesh
from tests.support.memory import MAX_MEMORY_KB, peak_memory_kb

CONTROL, PROXY = "z1-control-1", "z1-proxy-1"
CONNECTIONS = 100
SECONDS = 2.0
PIECE = b"[" * (64 * 1024)
# What is sent once and what is repeated, by kind of request.
PARTS_BY_KIND = {
    "chunks": (
        b"Transfer-Encoding: chunked\r\n\r\n",
        b"10000\r\n" + PIECE + b"\r\n",
    ),
    "field": (b"X-A: ", PIECE),
    "fields": (b"", b"X-A: a\r\n" * 1024),
    "length": (b"Content-Length: 999999999999\r\n\r\n", PIECE),
    "most": (b"Content-Length: 4000000\r\n\r\n", PIECE),
}
PORTS = [
    (PROXY, plans.TARGET_PORT, b"/v1/targets"),
    (CONTROL, plans.OPERATOR_PORT, b"/v1/mesh"),
]


@pytest.fixture(scope="module")
def mesh(tmp_path_factory):
    with Mesh(
        folder=tmp_path_factory.mktemp("mesh"),
        control_hosts_per_zone=1,
        proxies_per_zone=1,
    ) as running:
        running.start_target(PROXY, SERVICE)
        running.accept(MESH_TEXT)
        yield running


def send_again_and_again(address, port, start, repeated):
    """Send on new connections, and read nothing, until killed."""
    while True:
        with contextlib.suppress(OSError):
            sock = eventlet.connect((address, port))
            with contextlib.closing(sock):
                sock.sendall(start)
                while True:
                    sock.sendall(repeated)
        eventlet.sleep(0.05)


def load(mesh, name, port, start, repeated):
    """Send from many connections for some time."""
    address = mesh.topology.hosts_by_name[name].address
    greenthreads = [
        eventlet.spawn(send_again_and_again, address, port, start, repeated)
        for _ in range(CONNECTIONS)
    ]
    eventlet.sleep(SECONDS)
    for greenthread in greenthreads:
        greenthread.kill()
    assert peak_memory_kb(mesh, name) < MAX_MEMORY_KB
    mesh.wait_until(
        lambda: mesh.call("POST", "/pay/1", proxy=PROXY).outcome == "answered",
        what="served request",
    )


@pytest.mark.parametrize(("name", "port", "path"), PORTS)
@pytest.mark.parametrize("kind", sorted(PARTS_BY_KIND))
def test_requests_without_end_fit_into_the_memory(
    mesh, kind, name, port, path
):
    start, repeated = PARTS_BY_KIND[kind]
    head = b"POST " + path + b" HTTP/1.1\r\nHost: a\r\n"
    load(mesh, name, port, head + start, repeated)


@pytest.mark.parametrize(("name", "port", "path"), PORTS)
def test_answers_that_are_not_read_fit_into_the_memory(mesh, name, port, path):
    request = b"GET " + path + b" HTTP/1.1\r\nHost: a\r\n\r\n"
    load(mesh, name, port, b"", request * 256)
