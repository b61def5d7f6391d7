"""Orders of rollouts on real control hosts that crash."""

import json

import pytest

from tests.support.harness import Mesh
from verbenanotch.cli._client import Reply
from verbenanotch.cli.commands.rollout import (
    abort_rollout,
    order_rollout,
    show_rollout,
)

MESH = 'name = "m"\n[services.a]\n[services.b]\n'


@pytest.fixture
def mesh(tmp_path):
    with Mesh(folder=tmp_path, proxies_per_zone=0) as mesh:
        assert mesh.submit(MESH).kind == "accepted"
        yield mesh


def order(mesh, service="a", version="v2", within=60.0):
    return order_rollout(
        mesh.client,
        service=service,
        version=version,
        within=within,
        operator="ann",
    )


def read(mesh, service="a"):
    """Return the value of the last rollout; its host has confirmed it."""
    return mesh.wait_until(
        lambda: _try_to_read(mesh, service), what="rollout that is confirmed"
    )


def _try_to_read(mesh, service):
    for server in mesh.client.servers:
        match mesh.client.request_from(
            server, "GET", f"/v1/rollouts/{service}"
        ):
            case Reply(status=200, value=value):
                return value
    return None


def test_an_order_outlives_its_leader_and_a_loss_of_all(mesh):
    first = order(mesh)
    assert (first.status, first.kind) == (200, "ordered")
    leader = mesh.leader()
    mesh.kill(leader)
    mesh.wait_until(
        lambda: mesh.leader(other_than=leader), what="another leader"
    )
    again = order(mesh)
    assert (again.status, again.kind) == (200, "repeated")
    assert again.value["order"] == first.value["order"]
    other = order(mesh, version="v3")
    assert (other.status, other.kind) == (400, "refused")
    assert order(mesh, service="b").kind == "ordered"
    for host in mesh.topology.control_hosts:
        if host.name != leader:
            mesh.kill(host.name)
    for host in mesh.topology.control_hosts:
        mesh.start_host(host.name)
    value = read(mesh)
    assert value["order"] == first.value["order"]
    assert value["phase"] == "running"
    assert order(mesh).kind == "repeated"


def test_a_rollout_without_targets_ends_though_the_leader_is_killed(mesh):
    order(mesh, within=6.0)
    mesh.kill(mesh.leader())
    value = mesh.wait_until(
        lambda: (
            (value := read(mesh)) and value["phase"] != "running" and value
        ),
        what="end of the rollout",
    )
    assert value["phase"] == "rolled_back"
    assert "no target of the new version" in value["reason"]
    assert order(mesh).value["phase"] == "rolled_back"


def test_what_is_senseless_is_refused_and_an_abort_lasts(mesh):
    for arguments in (
        {"service": "none"},
        {"within": 0.0},
        {"version": "v 2"},
    ):
        assert order(mesh, **arguments).status == 400
    assert show_rollout(mesh.client, "a").status == 404
    order(mesh)
    abort = {"service": "a", "version": "v2", "operator": "ann"}
    assert abort_rollout(mesh.client, **abort).value["phase"] == "rolled_back"
    assert abort_rollout(mesh.client, **abort).kind == "repeated"
    assert order(mesh, version="v3").kind == "ordered"
    history = mesh.client.request("GET", "/v1/rollouts/a/history").value
    assert [item["candidate"] for item in history["rollouts"]] == ["v2", "v3"]
    versions = mesh.client.request("GET", "/v1/versions").value["versions"]
    assert len(versions) == 1, json.dumps(versions)
