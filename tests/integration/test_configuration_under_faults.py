"""Versions on real processes while hosts are killed, frozen and restarted.

The judges are the proxies' event files, which go on over restarts, and the
history that the control hosts keep.
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
def test_no_proxy_goes_back_and_no_accepted_version_is_lost(mesh, seed):
    chance = random.Random(seed)
    accepted = [_submit_until_accepted(mesh, _file(0), NO_VERSION)]
    for step in range(1, STEPS + 1):
        control = f"{chance.choice(ZONES)}-control-1"
        proxy = f"{chance.choice(ZONES)}-proxy-{chance.choice((1, 2))}"
        undo = _break(mesh, control, chance)
        mesh.kill(proxy)
        version = _submit_until_accepted(mesh, _file(step), accepted[-1])
        accepted.append(version)
        mesh.restart(proxy)
        undo()
    mesh.wait_until_active(accepted[-1])
    for path in mesh.event_paths():
        held = _versions_in_force(path)
        assert held == sorted(held), f"{path.name} went back"
        assert set(held) <= set(accepted)
    assert _history(mesh) == accepted


def _file(step):
    return (
        'name = "faults"\n[services.orders]\n'
        f"slots = {step + 1}\n"
        '[routes.orders]\nprefix = "/orders"\nservice = "orders"\n'
    )


def _break(mesh, control, chance):
    """Break a control host; return what mends it."""
    match chance.choice(("kill", "freeze", "restart")):
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
    """Send one submission again and again, as a careful operator does."""
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

    return mesh.wait_until(attempt, what=f"an answer to {submission_id}")


def _versions_in_force(path):
    """Return the versions of an event file, in the order of its lines."""
    events = [json.loads(line) for line in path.read_text().splitlines()]
    return [
        Version.parse(event["version"])
        for event in events
        if event["event"] == VERSION_ACTIVE.number
    ]


def _history(mesh):
    """Return all accepted versions that the control hosts keep."""
    reply = mesh.client.request("GET", "/v1/versions")
    versions = [Version.parse(v["version"]) for v in reply.value["versions"]]
    return sorted(versions)
