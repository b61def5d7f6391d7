"""Settings that are being written while a process starts again."""

import signal
import time

import pytest

from examples.launcher import Child
from tests.support.harness import Mesh

PROXY = "z1-proxy-1"
# Longer than a process takes to read its settings after its start.
WRITE_SECONDS = 1.0
MAX_STOP_SECONDS = 5.0


@pytest.fixture
def mesh(tmp_path):
    with Mesh(folder=tmp_path, control_hosts_per_zone=1) as running:
        yield running


def damage(path, how):
    if how == "missing":
        path.unlink()
    else:
        path.write_bytes(path.read_bytes()[:100])


@pytest.mark.parametrize("how", ["missing", "cut"])
def test_a_file_that_is_whole_soon_does_not_end_a_start(mesh, how):
    path = mesh.settings_path(PROXY)
    settings = path.read_bytes()
    mesh.kill(PROXY)
    damage(path, how)
    mesh.start_host(PROXY)
    time.sleep(WRITE_SECONDS)
    path.write_bytes(settings)
    mesh.wait_ready(PROXY)
    assert mesh.child(PROXY).is_alive


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGINT])
def test_a_process_that_waits_for_its_settings_stops_by_a_signal(
    tmp_path, number
):
    child = Child(
        name="waiting",
        module="verbenanotch.cli.daemon",
        arguments=["--settings", str(tmp_path / "none.toml")],
        log_path=tmp_path / "waiting.log",
    )
    child.start()
    time.sleep(WRITE_SECONDS)
    child.signal(number)
    assert child.wait(MAX_STOP_SECONDS) == 0
