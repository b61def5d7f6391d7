"""Targets of two software versions beside each other, without a rollout.

Real processes: three targets of one version are in use, and one of a new
version starts beside them.
"""

import eventlet
import pytest

from tests.integration.request_load import MESH_TEXT, SERVICE
from tests.support.harness import Mesh
from verbenanotch.cli.commands.targets import collect_targets

PROXIES = ("z1-proxy-1", "z1-proxy-2")
CALLS = 40


@pytest.fixture
def start_mesh(tmp_path):
    running = []

    def start(*, hold_new_versions):
        mesh = Mesh(
            folder=tmp_path,
            control_hosts_per_zone=1,
            proxies_per_zone=len(PROXIES),
            overrides={"proxy": {"hold_new_versions": hold_new_versions}},
        )
        running.append(mesh)
        mesh.__enter__()
        mesh.old = [
            mesh.start_target(proxy, SERVICE, software_version="v1")
            for proxy in (*PROXIES, PROXIES[0])
        ]
        mesh.accept(MESH_TEXT)
        wait_for(mesh, mesh.old)
        mesh.new = mesh.start_target(
            PROXIES[1], SERVICE, software_version="v2"
        )
        return mesh

    yield start
    for mesh in running:
        mesh.stop()


def served(mesh, proxy):
    return mesh.served_by("/pay/1", proxy=proxy, calls=CALLS)


def wait_for(mesh, targets):
    """Wait until both proxies use exactly these targets.

    A proxy prefers the fastest target and tries the others from time to time,
    so that the calls of several rounds count, since the last call to any
    other target.
    """
    expected = {mesh.target_id(name) for name in targets}
    for proxy in PROXIES:
        seen = set()

        def sees_all(proxy=proxy, seen=seen):
            seen.update(served(mesh, proxy))
            if not seen <= expected:
                seen.clear()
            return seen == expected

        mesh.wait_until(
            sees_all, what=f"requests to {sorted(expected)} at {proxy}"
        )


def test_with_the_setting_only_the_established_version_gets_requests(
    start_mesh,
):
    mesh = start_mesh(hold_new_versions=True)
    mesh.wait_until(
        lambda: mesh.target_id(mesh.new) in collect_targets(mesh.client)[0],
        what="announcement of the new target",
    )
    # Until both proxies have received the announcement, in any case.
    eventlet.sleep(1)
    wait_for(mesh, mesh.old)
    # The old targets crash one after the other; the last one keeps its place.
    for name in mesh.old[1:]:
        mesh.kill(name)
    wait_for(mesh, mesh.old[:1])
    mesh.kill(mesh.old[0])
    wait_for(mesh, [mesh.new])


def test_without_the_setting_all_versions_get_requests(start_mesh):
    mesh = start_mesh(hold_new_versions=False)
    wait_for(mesh, [*mesh.old, mesh.new])
