"""Guard against a start that fails as the former process is still ending.

Real processes; a port of one of them is taken when it starts.
"""

import contextlib
import socket

import eventlet
import pytest

from examples import topology as plans
from tests.integration.request_load import MESH_TEXT
from tests.support.harness import Mesh
from tests.support.network import accepts_connections

CONTROL, PROXY = "z1-control-1", "z1-proxy-1"
PORTS = [
    (CONTROL, plans.PEER_PORT),
    (CONTROL, plans.OPERATOR_PORT),
    (PROXY, plans.PEER_PORT),
    (PROXY, plans.CALLER_PORT),
    (PROXY, plans.TARGET_PORT),
]
TAKEN_SECONDS = 2.0
# From SIGTERM to SIGKILL.
STOP_SECONDS = 6.0


@pytest.fixture(scope="module")
def mesh(tmp_path_factory):
    with Mesh(
        folder=tmp_path_factory.mktemp("mesh"),
        control_hosts_per_zone=1,
        proxies_per_zone=1,
    ) as running:
        running.accept(MESH_TEXT)
        yield running


@contextlib.contextmanager
def taken(address, port):
    """Listen on an address, and never accept."""
    sock = socket.socket()
    with contextlib.closing(sock):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((address, port))
        sock.listen(1)
        yield


@pytest.mark.parametrize(("name", "port"), PORTS)
def test_a_start_waits_for_a_port_that_becomes_free(mesh, name, port):
    mesh.kill(name)
    address = mesh.topology.hosts_by_name[name].address
    with taken(address, port):
        mesh.start_host(name)
        eventlet.sleep(TAKEN_SECONDS)
        assert mesh.child(name).is_alive
    mesh.wait_ready(name)
    assert "in-use" in mesh.child(name).log_path.read_text(encoding="utf-8")


@pytest.mark.parametrize(("name", "port"), PORTS)
def test_a_start_that_waits_for_a_port_stops_in_time(mesh, name, port):
    """Guard against a process that is killed since its start goes on."""
    mesh.kill(name)
    child = mesh.child(name)
    child.log_path.unlink()
    with taken(mesh.topology.hosts_by_name[name].address, port):
        mesh.start_host(name)
        mesh.wait_until(
            lambda: "in use" in child.tail(), what="start that waits"
        )
        mesh.terminate(name)
        assert child.wait(STOP_SECONDS) == 0, child.tail()
    assert "stopped" in child.tail()
    mesh.restart(name)


def test_callers_are_refused_while_a_start_waits(mesh):
    """Guard against requests that wait for a process that may not start."""
    mesh.kill(PROXY)
    child = mesh.child(PROXY)
    child.log_path.unlink()
    address = mesh.topology.hosts_by_name[PROXY].address
    with taken(address, plans.TARGET_PORT):
        mesh.start_host(PROXY)
        mesh.wait_until(
            lambda: "in use" in child.tail(), what="start that waits"
        )
        assert not accepts_connections(address, plans.CALLER_PORT)
    mesh.restart(PROXY)


def test_a_start_fails_if_a_port_stays_in_use(mesh):
    mesh.kill(PROXY)
    address = mesh.topology.hosts_by_name[PROXY].address
    with taken(address, plans.CALLER_PORT):
        mesh.start_host(PROXY)
        assert mesh.child(PROXY).wait() == 3
        assert "start-failed" in mesh.child(PROXY).tail()
    mesh.restart(PROXY)
