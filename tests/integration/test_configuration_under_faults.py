"""Test that versions are not lost or reverted while real hosts fail.

Hosts are killed, frozen and restarted. The tests read the proxies' event
files, to which a restarted proxy appends, and the history that the control
hosts store.
"""

import json
import random
import uuid

import pytest

from tests.support.harness import Mesh
from verbenanotch.catalog import NO_VERSION, Version
from verbenanotch.cli.commands.submit import submit_file
from verbenanotch.cli.exceptions import ToolError
from verbenanotch.distribution.events import VERSION_ACTIVE

ZONES = ("z1", "z2", "z3")
STEPS = 6
ATTEMPT_SECONDS = 2.0


@pytest.fixture
def mesh(tmp_path):
    with Mesh(
        folder=tmp_path, zones=ZONES, control_hosts_per_zone=1
    ) as running:
        yield running


@pytest.mark.parametrize("seed", [1, 2])
def test_no_proxy_reverts_and_no_accepted_version_is_lost(mesh, seed):
    rng = random.Random(seed)
    accepted = [_submit_until_accepted(mesh, _mesh_file(0), NO_VERSION)]
    for step in range(1, STEPS + 1):
        control = f"{rng.choice(ZONES)}-control-1"
        proxy = f"{rng.choice(ZONES)}-proxy-{rng.choice((1, 2))}"
        repair = _inject_fault(mesh, control, rng)
        mesh.kill(proxy)
        version = _submit_until_accepted(mesh, _mesh_file(step), accepted[-1])
        accepted.append(version)
        mesh.restart(proxy)
        repair()
    mesh.wait_until_active(accepted[-1])
    for path in mesh.event_paths():
        active_versions = _active_versions(path)
        assert active_versions == sorted(active_versions), (
            f"{path.name} reverted"
        )
        assert set(active_versions) <= set(accepted)
    assert _history(mesh) == accepted


def _mesh_file(step):
    return (
        'name = "faults"\n[services.orders]\n'
        f"slots = {step + 1}\n"
        '[routes.orders]\nprefix = "/orders"\nservice = "orders"\n'
    )


def _inject_fault(mesh, control, rng):
    """Inject a fault in a control host; return a function to repair it."""
    match rng.choice(("kill", "freeze", "restart")):
        case "kill":
            mesh.kill(control)
            return lambda: mesh.restart(control)
        case "freeze":
            mesh.freeze(control)
            return lambda: mesh.thaw(control)
        case "restart":
            mesh.kill(control)
            mesh.start_host(control)
            return lambda: mesh.wait_ready(control)


def _submit_until_accepted(mesh, text, base):
    """Repeat one submission under the same id until it is accepted."""
    submission_id = uuid.uuid4().hex

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


def _active_versions(path):
    """Return the versions of an event file, in the order of its lines."""
    events = [json.loads(line) for line in path.read_text().splitlines()]
    return [
        Version.parse(event["version"])
        for event in events
        if event["event"] == VERSION_ACTIVE.number
    ]


def _history(mesh):
    """Return all accepted versions that the control hosts store."""
    reply = mesh.client.request("GET", "/v1/versions")
    versions = [Version.parse(v["version"]) for v in reply.value["versions"]]
    return sorted(versions)
