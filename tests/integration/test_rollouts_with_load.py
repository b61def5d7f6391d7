"""Rollouts under load on a mesh of real processes."""

import eventlet
import pytest

from tests.integration.request_load import MESH_TEXT, SERVICE, Load
from tests.support.harness import Mesh
from verbenanotch.cli._client import Reply
from verbenanotch.cli.commands.rollout import order_rollout

PROXIES = ("z1-proxy-1", "z1-proxy-2")
SECONDS = 10.0
CALLS_PER_SECOND = 60.0
MAX_SHARE = 0.1
ALLOWANCE = 50


@pytest.fixture
def mesh(tmp_path):
    with Mesh(
        folder=tmp_path, control_hosts_per_zone=3, proxies_per_zone=2
    ) as mesh:
        mesh.old = [
            mesh.start_target(
                proxy, SERVICE, software_version="v1", latency_ms=20
            )
            for proxy in PROXIES
        ]
        mesh.accept(MESH_TEXT)
        mesh.wait_until(
            lambda: mesh.call("GET", "/pay/1", proxy=PROXIES[0]).status == 200,
            what="served request",
        )
        yield mesh


@pytest.fixture
def load(mesh):
    with Load(
        mesh=mesh,
        proxies=list(PROXIES),
        seed=1,
        rate=CALLS_PER_SECOND,
        idempotent_share=1.0,
    ) as load:
        eventlet.sleep(1)
        yield load


def order(mesh):
    return order_rollout(
        mesh.client,
        service=SERVICE,
        version="v2",
        within=SECONDS,
        operator="ann",
    )


def start_candidate(mesh, **behaviour):
    mesh.new = [
        mesh.start_target(
            proxy,
            SERVICE,
            software_version="v2",
            **{"latency_ms": 20, **behaviour},
        )
        for proxy in PROXIES
    ]


def read(mesh):
    """Return the rollout, from a host that a quorum has confirmed."""
    for server in mesh.client.servers:
        match mesh.client.request_from(
            server, "GET", f"/v1/rollouts/{SERVICE}"
        ):
            case Reply(status=200, value=value):
                return value
    return None


def wait_for_phase(mesh, *phases):
    return mesh.wait_until(
        lambda: (value := read(mesh)) and value["phase"] in phases and value,
        what=f"one of the phases {phases}",
    )


def runs(mesh, names):
    """Return the number of requests that targets have run."""
    return sum(
        line.count('"started"')
        for name in names
        for line in (mesh.folder / f"{name}.ledger.jsonl")
        .read_text()
        .splitlines()
    )


def ended(mesh):
    return wait_for_phase(mesh, "completed", "rolled_back")


def test_a_good_version_takes_over_and_the_old_targets_are_idle(mesh, load):
    order(mesh)
    start_candidate(mesh)
    value = ended(mesh)
    assert value["phase"] == "completed", value
    assert value["elapsed_ms"] < value["finish_by_ms"]
    before = runs(mesh, mesh.old)
    for name in mesh.old:
        mesh.kill(name)
    eventlet.sleep(1)
    assert runs(mesh, mesh.old) == before
    assert order(mesh).kind == "repeated"


@pytest.mark.parametrize(
    "behaviour", [{"fail_status": 500}, {"latency_ms": 400}]
)
def test_a_bad_version_gets_few_requests_and_none_later(mesh, load, behaviour):
    order(mesh)
    start_candidate(mesh, **behaviour)
    value = ended(mesh)
    assert value["phase"] == "rolled_back", value
    eventlet.sleep(2)
    at_end = runs(mesh, mesh.new)
    assert at_end <= MAX_SHARE * CALLS_PER_SECOND * SECONDS + ALLOWANCE
    for name in ("z1-control-1", PROXIES[0]):
        mesh.restart(name)
    eventlet.sleep(2)
    assert runs(mesh, mesh.new) == at_end


@pytest.mark.parametrize("phase", ["ordered", "running", "shifting"])
def test_the_leader_may_die_at_each_step(mesh, load, phase):
    order(mesh)
    start_candidate(mesh)
    mesh.wait_until(
        lambda: (
            phase == "ordered"
            or (value := read(mesh))
            and (value["phase"] == phase and value["share_ppm"])
        ),
        what=phase,
    )
    leader = mesh.leader()
    mesh.kill(leader)
    assert order(mesh).value["candidate"] == "v2"
    value = ended(mesh)
    if value["phase"] == "completed":
        for name in mesh.old:
            mesh.kill(name)
    mesh.restart(leader)
    assert read(mesh)["phase"] == value["phase"]
    mesh.wait_until(
        lambda: mesh.call("GET", "/pay/1", proxy=PROXIES[0]).status == 200,
        what="served request",
    )
