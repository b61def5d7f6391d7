"""Guard against a process that frames of strangers end.

Real processes; strangers connect to the peer ports and announce large frames.
"""

import contextlib

import eventlet
import pytest

from examples import topology as plans
from tests.integration.request_load import MESH_TEXT, SERVICE
from tests.support.harness import Mesh
from tests.support.memory import MAX_MEMORY_KB, peak_memory_kb

CONTROL, PROXY = "z1-control-1", "z1-proxy-1"
CONNECTIONS = 120
SECONDS = 6.0
ANNOUNCEMENT = b"\xc6\x7f\xff\xff\xff"
PIECE = bytes(64 * 1024)


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


def send_frames_again_and_again(address):
    """Announce a frame and send it, on new connections, until killed."""
    while True:
        with contextlib.suppress(OSError):
            sock = eventlet.connect((address, plans.PEER_PORT))
            with contextlib.closing(sock):
                sock.sendall(ANNOUNCEMENT)
                while True:
                    sock.sendall(PIECE)
        eventlet.sleep(0.05)


@pytest.mark.parametrize("name", [CONTROL, PROXY])
def test_frames_of_many_strangers_fit_into_the_memory(mesh, name):
    address = mesh.topology.hosts_by_name[name].address
    greenthreads = [
        eventlet.spawn(send_frames_again_and_again, address)
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
