"""Control hosts that are killed, and lose disks, at any moment.

Real processes; a seed draws who is killed, when, and who starts first.
"""

import random
import time
import uuid

import pytest

from examples import topology as plans
from tests.support.harness import Mesh
from verbenanotch.catalog import NO_VERSION, Version
from verbenanotch.cli.commands.submit import submit_file
from verbenanotch.cli.exceptions import ToolError

SEEDS = (1, 2)
FAULTS = 4
ATTEMPT_SECONDS = 2.0
NAMES = ("z1-control-1", "z1-control-2", "z1-control-3")
PERMISSION = "may_create_cluster = true"
NO_PERMISSION = "may_create_cluster = false"


@pytest.fixture
def mesh(tmp_path):
    running = Mesh(
        folder=tmp_path,
        proxies_per_zone=1,
        overrides={
            "control": {"tolerated_losses": 1, "may_create_cluster": True}
        },
    )
    yield running
    running.stop()


def forbid_new_clusters(mesh, *names):
    for name in names:
        path = mesh.settings_path(name)
        text = path.read_text()
        assert PERMISSION in text or NO_PERMISSION in text
        path.write_text(text.replace(PERMISSION, NO_PERMISSION))


def submit(mesh, number, base):
    """Repeat a submission until it is accepted; return its version."""
    submission_id = uuid.uuid4().hex
    text = (
        f'name = "m{number}"\n[services.a]\n'
        '[routes.r]\nprefix = "/"\nservice = "a"\n'
    )

    def attempt():
        try:
            reply = submit_file(
                mesh.client,
                text=text.encode(),
                submission_id=submission_id,
                operator="tester",
                base=base,
                timeout_seconds=ATTEMPT_SECONDS,
            )
        except ToolError:
            return None
        assert reply.kind == "accepted", reply
        return Version.parse(reply.value["version"])

    return mesh.wait_until(attempt, what=f"answer to {submission_id}")


def stored_versions(mesh):
    reply = mesh.client.request("GET", "/v1/versions")
    return [Version.parse(v["version"]) for v in reply.value["versions"]]


def wait_for_three_voters(mesh):
    def has_three():
        name = mesh.leader()
        if name is None:
            return False
        disk_ids = set()
        for host in mesh.topology.control_hosts:
            reply = replica_status(mesh, host)
            if reply is None or reply["role"] not in ("leader", "follower"):
                return False
            disk_ids.add(reply["disk_id"])
        return len(disk_ids) == len(NAMES)

    mesh.wait_until(has_three, what="three voters")


def replica_status(mesh, host):
    try:
        reply = mesh.client.request_from(
            host.server(plans.OPERATOR_PORT), "GET", "/v1/status"
        )
    except ToolError:
        return None
    return getattr(reply, "value", {}).get("replica")


def kill_and_restart(mesh, rng):
    """Kill some hosts, of which one may lose its disk, and start them."""
    names = rng.sample(NAMES, rng.choice((1, 2, 3, 3)))
    wiped = names[: rng.choice((0, 1, 1))]
    time.sleep(rng.choice((0, 0, 0.001, 0.01)))
    for name in names:
        mesh.kill(name)
    for name in wiped:
        mesh.wipe_disk(name)
    rng.shuffle(names)
    for name in names:
        time.sleep(rng.choice((0, 0.1, 1.0)))
        mesh.start_host(name)
        if rng.random() < 0.3:
            time.sleep(rng.choice((0.05, 0.3, 0.6)))
            mesh.kill(name)
            mesh.start_host(name)
    for name in names:
        mesh.wait_ready(name)


@pytest.mark.parametrize("seed", SEEDS)
def test_no_accepted_version_is_lost_with_control_hosts(mesh, seed):
    rng = random.Random(seed)
    mesh.start()
    forbid_new_clusters(mesh, *NAMES)
    accepted = [submit(mesh, 0, NO_VERSION)]
    for step in range(1, FAULTS + 1):
        for _ in range(rng.choice((1, 1, 3))):
            accepted.append(submit(mesh, step, accepted[-1]))
        kill_and_restart(mesh, rng)
        accepted.append(submit(mesh, step, accepted[-1]))
        assert sorted(stored_versions(mesh)) == accepted
        wait_for_three_voters(mesh)


@pytest.mark.parametrize("delay_seconds", [0.1, 0.3, 0.6, 1.0])
def test_a_host_killed_before_there_is_a_cluster_takes_part(
    mesh, delay_seconds
):
    first, *others = NAMES
    mesh.start_host(first)
    time.sleep(delay_seconds)
    has_identity = (mesh.folder / f"{first}.data" / "identity").exists()
    mesh.kill(first)
    if has_identity:
        forbid_new_clusters(mesh, first)
    for name in (first, *others):
        mesh.start_host(name)
    for name in NAMES:
        mesh.wait_ready(name)
    submit(mesh, 0, NO_VERSION)
