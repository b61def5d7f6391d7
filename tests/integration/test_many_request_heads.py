"""Guard against a process that the heads of many requests end.

Real processes. Each head is below the limit of a single one, and whole.
"""

import contextlib

import eventlet
import pytest

from examples import topology as plans
from tests.integration.request_load import MESH_TEXT, SERVICE
from tests.support.harness import Mesh
from tests.support.memory import peak_memory_kb

ENTRY, TARGETS = "z1-proxy-1", "z1-proxy-2"
MAX_MEMORY_KB = 200 * 1000
CONNECTIONS = 3000
# Faster ones are refused for the heads that are being read.
CONNECTIONS_PER_PAUSE = 50
PAUSE_SECONDS = 0.1
SLOTS = 2048
LATENCY_MS = 8000
WAIT_SECONDS = 1.0
TIMEOUT_SECONDS = 30
LINES = b"".join(
    b"X-A%d: " % number + b"a" * 7000 + b"\r\n" for number in range(9)
)


@pytest.fixture
def mesh(tmp_path):
    """Run a proxy whose calls all go to the slow target of another one."""
    with Mesh(
        folder=tmp_path,
        control_hosts_per_zone=1,
        proxies_per_zone=2,
        overrides={"proxy": {"max_in_flight": 2048}},
    ) as running:
        running.start_target(
            TARGETS, SERVICE, slots=SLOTS, latency_ms=LATENCY_MS
        )
        running.accept(
            MESH_TEXT.replace("slots = 8", f"slots = {SLOTS}").replace(
                "timeout_ms = 2000", "timeout_ms = 20000"
            )
        )
        running.wait_until(lambda: is_served(running), what="a served request")
        yield running


def is_served(mesh):
    answer = mesh.call("GET", "/pay/1", proxy=ENTRY, timeout_seconds=20)
    return answer.outcome == "answered"


@pytest.fixture
def connections():
    """Return a function that sends a request on many connections."""
    with contextlib.ExitStack() as stack:

        def send(address, data):
            socks = []
            for number in range(CONNECTIONS):
                if not number % CONNECTIONS_PER_PAUSE:
                    eventlet.sleep(PAUSE_SECONDS)
                sock = eventlet.connect((address, plans.CALLER_PORT))
                stack.callback(sock.close)
                sock.settimeout(TIMEOUT_SECONDS)
                socks.append(sock)
                # An early answer may close the connection.
                with contextlib.suppress(OSError):
                    sock.sendall(data)
            return socks

        yield send


def request(path):
    return b"GET %s HTTP/1.1\r\nHost: a\r\n" % path + LINES + b"\r\n"


@pytest.mark.parametrize("path", [b"/none", b"/pay/1"])
def test_heads_of_many_requests_fit_into_the_memory(mesh, connections, path):
    address = mesh.topology.hosts_by_name[ENTRY].address
    connections(address, request(path))
    eventlet.sleep(WAIT_SECONDS)
    peaks = [peak_memory_kb(mesh, name) for name in (ENTRY, TARGETS)]
    assert max(peaks) < MAX_MEMORY_KB
    mesh.wait_until(lambda: is_served(mesh), what="a served request")
