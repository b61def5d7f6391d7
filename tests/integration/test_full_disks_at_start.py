"""Control hosts whose disk takes no byte when they start.

Real processes. A limit of the size of files stands for a full disk.
"""

import resource

import eventlet
import pytest

from tests.integration.request_load import MESH_TEXT
from tests.support.harness import Mesh

CONTROL = "z1-control-1"
FULL_SECONDS = 2.0
# From SIGTERM to SIGKILL.
STOP_SECONDS = 6.0


@pytest.fixture(scope="module")
def mesh(tmp_path_factory):
    with Mesh(
        folder=tmp_path_factory.mktemp("mesh"), proxies_per_zone=1
    ) as running:
        running.accept(MESH_TEXT)
        yield running


def set_full(child, is_full):
    """Let a process write no byte to files, or as many as it likes."""
    _, hard = resource.prlimit(child.pid, resource.RLIMIT_FSIZE)
    soft = 0 if is_full else hard
    resource.prlimit(child.pid, resource.RLIMIT_FSIZE, (soft, hard))


@pytest.mark.parametrize("is_empty", [True, False])
def test_a_start_waits_for_a_full_disk(mesh, is_empty):
    mesh.kill(CONTROL)
    if is_empty:
        mesh.wipe_disk(CONTROL)
    mesh.start_host(CONTROL)
    child = mesh.child(CONTROL)
    set_full(child, True)
    eventlet.sleep(FULL_SECONDS)
    assert child.is_alive, f"exit code {child.exit_code}"
    set_full(child, False)
    mesh.wait_ready(CONTROL)
    assert "disk-available" in (
        mesh.folder / f"{CONTROL}.events.jsonl"
    ).read_text(encoding="utf-8")


def test_a_start_that_waits_for_a_disk_stops_in_time(mesh):
    mesh.kill(CONTROL)
    mesh.start_host(CONTROL)
    child = mesh.child(CONTROL)
    set_full(child, True)
    eventlet.sleep(FULL_SECONDS)
    mesh.terminate(CONTROL)
    assert child.wait(STOP_SECONDS) == 0
    mesh.restart(CONTROL)


@pytest.mark.parametrize("name", [CONTROL, "z1-proxy-1"])
def test_a_full_disk_of_the_event_file_ends_no_process(mesh, name):
    """Guard against events that can't be written and end what they tell."""
    child = mesh.child(name)
    mesh.kill(name)
    mesh.start_host(name)
    set_full(child, True)
    eventlet.sleep(FULL_SECONDS)
    assert child.is_alive, f"exit code {child.exit_code}"
    set_full(child, False)
    mesh.wait_ready(name)
    set_full(child, True)
    mesh.terminate(name)
    assert child.wait() == 0
    mesh.restart(name)
