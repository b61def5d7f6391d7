"""Guard against a mesh that never starts, as control hosts were killed early.

Their settings permit to create a cluster at the first start alone.
"""

import tomllib

import eventlet
import pytest
import tomli_w

from tests.integration.request_load import MESH_TEXT
from tests.support.harness import Mesh

ALL = ("z1-control-1", "z1-control-2", "z1-control-3")
PROXY = "z1-proxy-1"
SECONDS_UNTIL_KILL = (0.05, 0.25)
SECONDS_UNTIL_RESTART = 0.5


@pytest.fixture
def mesh(tmp_path):
    """Return a mesh of which nothing is started."""
    planned = Mesh(
        folder=tmp_path,
        proxies_per_zone=1,
        deferred=(*ALL, PROXY),
        overrides={"control": {"tolerated_losses": 1}},
    )
    with planned as running:
        yield running


def forbid_to_create_cluster(mesh, name):
    path = mesh.settings_path(name)
    settings = tomllib.loads(path.read_text(encoding="utf-8"))
    settings["control"]["may_create_cluster"] = False
    path.write_text(tomli_w.dumps(settings), encoding="utf-8")


@pytest.mark.parametrize("seconds", SECONDS_UNTIL_KILL)
@pytest.mark.parametrize(
    ("victims", "loses_disk"),
    [(ALL[:1], False), (ALL[:1], True), (ALL, False)],
    ids=["first", "first-without-its-disk", "all"],
)
def test_a_configuration_is_accepted_after_early_kills(
    mesh, victims, loses_disk, seconds
):
    for name in (*ALL, PROXY):
        mesh.start_host(name)
    eventlet.sleep(seconds)
    for name in victims:
        mesh.kill(name)
        if loses_disk:
            mesh.wipe_disk(name)
        forbid_to_create_cluster(mesh, name)
    eventlet.sleep(SECONDS_UNTIL_RESTART)
    for name in victims:
        mesh.start_host(name)
    for name in (*ALL, PROXY):
        mesh.wait_ready(name)
    mesh.accept(MESH_TEXT)
    replicas = mesh.status().replicas_by_server.values()
    assert len({replica["cluster_id"] for replica in replicas}) == 1
