"""Guard against a process that several kinds of load end together.

Real processes with the limits of the users' machines. Each kind is bounded by
itself in tests of its own.
"""

import eventlet
import pytest

from examples import topology as plans
from examples.launcher import Child
from tests.integration.one_load import LOADS_BY_KIND
from tests.integration.request_load import MESH_TEXT, SERVICE
from tests.integration.test_large_bodies import (
    LINK_MBPS,
    MAX_BODY_BYTES,
    MAX_RECEIVING_BYTES,
    is_served,
)
from tests.support.endless_target import LARGE_BODY, EndlessTarget
from tests.support.harness import Mesh
from tests.support.memory import MAX_MEMORY_KB, peak_memory_kb

PROXIES = ["z1-proxy-1", "z1-proxy-2"]
TARGETS = 4
SECONDS = 10.0


@pytest.fixture
def mesh(tmp_path):
    with Mesh(
        folder=tmp_path,
        control_hosts_per_zone=1,
        proxies_per_zone=len(PROXIES),
        overrides={
            "proxy": {
                "max_body_bytes": MAX_BODY_BYTES,
                "max_receiving_bytes": MAX_RECEIVING_BYTES,
                "link_mbps": LINK_MBPS,
            }
        },
    ) as running:
        for proxy in PROXIES:
            running.start_target(proxy, SERVICE)
        running.accept(MESH_TEXT)
        running.wait_until(
            lambda: all(is_served(running, proxy) for proxy in PROXIES),
            what="served requests",
        )
        yield running


@pytest.fixture
def large_targets(mesh):
    """Add targets beside the first proxy whose answers are large."""
    host = mesh.topology.hosts_by_name[PROXIES[0]]
    targets = []
    for _ in range(TARGETS):
        target = EndlessTarget(kind=LARGE_BODY, address=host.address)
        target.announce(
            proxy=host.server(plans.TARGET_PORT), service=SERVICE, slots=16
        )
        targets.append(target)
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
