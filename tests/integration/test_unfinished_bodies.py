"""Guard against processes that unfinished bodies of many callers end.

Real processes on a machine with little memory. Each caller keeps the limits
of a single request, but does not send the end of its body.
"""

import attrs
import pytest
import urllib3

from examples import topology as plans
from tests.integration.request_load import MESH_TEXT, SERVICE
from tests.support.harness import Mesh
from tests.support.unfinished_bodies import (
    Chunked,
    Crowd,
    Sized,
    unfinished,
)
from verbenanotch.catalog import Version

CONTROL, PROXY = "z1-control-1", "z1-proxy-1"
CALLERS = 390
CALL_TIMEOUT_SECONDS = 5.0
# The memory of the machine of each process.
MEMORY_MB = 100
MAX_MEMORY_KB = MEMORY_MB * 1000
# One for each caller, and those that a process has without them.
MAX_DESCRIPTORS = CALLERS + 110
BODIES_BY_NAME = {
    "large-chunks": Chunked(size=262_144, chunk=65_536),
    "kilobyte-chunks": Chunked(size=262_144, chunk=1024),
    "one-chunk": Chunked(size=16_384, chunk=16_384),
    "small-chunks": Chunked(size=262_144, chunk=16),
    "tiny-chunks": Chunked(size=16_384, chunk=1),
    "many-tiny-chunks": Chunked(size=262_144, chunk=1),
    "extensions": Chunked(size=64, chunk=1, extension=16_000),
    "length": Sized(size=65_536),
}
PORTS_BY_NAME = {
    "callers": (PROXY, plans.CALLER_PORT),
    "targets": (PROXY, plans.TARGET_PORT),
    "operators": (CONTROL, plans.OPERATOR_PORT),
}
CASES = [
    *[("callers", body) for body in BODIES_BY_NAME],
    *[
        (port, body)
        for port in ("targets", "operators")
        for body in ("one-chunk", "tiny-chunks", "many-tiny-chunks")
    ],
]


@pytest.fixture
def mesh(tmp_path):
    with Mesh(
        folder=tmp_path,
        control_hosts_per_zone=1,
        proxies_per_zone=1,
        overrides={
            "host": {"memory_mb": MEMORY_MB},
            "proxy": {"max_body_bytes": 4_000_000},
        },
    ) as running:
        running.start_target(PROXY, SERVICE)
        yield running


@pytest.fixture
def operator(mesh):
    first = Operator(mesh=mesh, version=mesh.accept(MESH_TEXT))
    mesh.wait_until(lambda: is_served(mesh), what="served request")
    return first


@attrs.define(kw_only=True)
class Operator:
    """Submit the mesh again and again, each time on top of the last one."""

    mesh: object
    version: object

    def is_accepted(self):
        """Return whether a submission was accepted."""
        reply = self.mesh.submit(MESH_TEXT, base=self.version)
        if reply.kind == "accepted":
            self.version = Version.parse(reply.value["version"])
        return reply.kind == "accepted"


def is_served(mesh):
    try:
        answer = mesh.call(
            "POST",
            "/pay/1",
            proxy=PROXY,
            body=b"x",
            timeout_ms=1500,
            timeout_seconds=CALL_TIMEOUT_SECONDS,
        )
    except urllib3.exceptions.HTTPError:
        return False
    return answer.outcome == "answered"


@pytest.mark.parametrize(("port", "body"), CASES)
def test_unfinished_bodies_fit_into_the_memory(mesh, operator, port, body):
    name, number = PORTS_BY_NAME[port]
    child = mesh.child(name)
    with Crowd(
        count=CALLERS,
        address=mesh.topology.hosts_by_name[name].address,
        port=number,
        data=unfinished(BODIES_BY_NAME[body]),
        pid=child.pid,
    ) as crowd:
        mesh.wait_until(lambda: is_served(mesh), what="served request")
        mesh.wait_until(operator.is_accepted, what="accepted submission")
        crowd.sample()
    mesh.wait_until(lambda: is_served(mesh), what="served request")
    mesh.wait_until(operator.is_accepted, what="accepted submission")
    assert child.is_alive
    assert crowd.peak_memory_kb < MAX_MEMORY_KB
    assert crowd.peak_descriptors < MAX_DESCRIPTORS
