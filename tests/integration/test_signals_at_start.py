"""Signals that reach a process while it is starting.

Real processes that serve a mesh of one control host and two proxies.
"""

import pytest

from examples.launcher import Child
from tests.integration.request_load import MESH_TEXT
from tests.support.harness import Mesh

CONTROL, PROXY = "z1-control-1", "z1-proxy-2"
STEPS = [
    "import eventlet",
    "import click",
    "import verbenanotch.conf",
    "import verbenanotch.daemon",
    "socket.bind",
]


@pytest.fixture(scope="module")
def mesh(tmp_path_factory):
    with Mesh(
        folder=tmp_path_factory.mktemp("mesh"), control_hosts_per_zone=1
    ) as running:
        running.accept(MESH_TEXT)
        yield running


@pytest.fixture
def start(mesh):
    """Return a function that starts a host again, with a signal at a step."""
    children = []

    def start_with_signal(name, number, step):
        mesh.kill(name)
        child = Child(
            name=name,
            module="tests.support.signalled_start",
            arguments=[
                number,
                step,
                "--settings",
                str(mesh.settings_path(name)),
            ],
            log_path=mesh.folder / f"{name}-{number}-{step}.log",
        )
        child.start()
        children.append((name, child))
        return child

    yield start_with_signal
    for name, child in children:
        if child.is_alive:
            child.kill()
        mesh.restart(name)


@pytest.mark.parametrize("step", STEPS)
@pytest.mark.parametrize("name", [CONTROL, PROXY])
def test_a_process_is_not_ended_by_a_reload_during_its_start(
    mesh, start, name, step
):
    child = start(name, "SIGHUP", step)
    mesh.wait_until(
        lambda: not child.is_alive or "9001" in child.tail(),
        what="start of the process",
    )
    assert child.is_alive, f"exit code {child.exit_code}"
    mesh.wait_ready(name)


@pytest.mark.parametrize("name", [CONTROL, PROXY])
def test_a_process_with_open_ports_stops_in_order_during_its_start(
    start, name
):
    child = start(name, "SIGTERM", "socket.bind")
    assert child.wait() == 0
    assert "stopped" in child.tail()
