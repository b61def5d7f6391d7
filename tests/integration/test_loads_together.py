"""Guard against a process that several kinds of load end together.

Real processes with the limits of the users' machines. Each kind is bounded by
itself in tests of its own.
"""

import eventlet
import pytest

from examples.launcher import Child
from tests.integration.one_load import LOADS_BY_KIND
from tests.integration.request_load import SERVICE
from tests.integration.test_large_bodies import (
    PROXIES,
    is_served,
    start_mesh,
)
from tests.support.endless_target import LARGE_BODY, start_endless_target
from tests.support.memory import MAX_MEMORY_KB, peak_memory_kb

TARGETS = 4
SECONDS = 10.0


@pytest.fixture
def mesh(tmp_path):
    with start_mesh(tmp_path) as running:
        yield running


@pytest.fixture
def large_targets(mesh):
    """Add targets beside the first proxy whose answers are large."""
    targets = [
        start_endless_target(
            mesh, PROXIES[0], service=SERVICE, kind=LARGE_BODY
        )
        for _ in range(TARGETS)
    ]
    yield targets
    for target in targets:
        target.stop()


@pytest.fixture
def loads(mesh, tmp_path):
    """Run a process for each kind of load on the first proxy."""
    address = mesh.topology.hosts_by_name[PROXIES[0]].address
    children = [
        Child(
            name=kind,
            module="tests.integration.one_load",
            arguments=[kind, address],
            log_path=tmp_path / f"{kind}.log",
        )
        for kind in LOADS_BY_KIND
    ]
    for child in children:
        child.start()
    yield children
    for child in children:
        child.kill()


def test_loads_of_all_kinds_fit_into_the_memory_together(
    mesh, large_targets, loads
):
    eventlet.sleep(SECONDS)
    assert all(child.is_alive for child in loads)
    for child in loads:
        child.kill()
    peaks = {name: peak_memory_kb(mesh, name) for name in PROXIES}
    assert max(peaks.values()) < MAX_MEMORY_KB, peaks
    for target in large_targets:
        target.stop()
    mesh.wait_until(lambda: is_served(mesh, PROXIES[0]), what="served request")
