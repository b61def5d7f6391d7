"""From a failed request's id to the cause, by the logs of real processes."""

import json
import uuid

import eventlet
import pytest
from click.testing import CliRunner

from tests.support.harness import Mesh
from verbenanotch.cli.commands.drain import drain_target
from verbenanotch.cli.tool import main

MESH_TEXT = """
name = "explained"

[services.pay]
slots = 8
cold_start_ms = 0

[services.pay-next]
slots = 8
cold_start_ms = 0

[routes.pay]
prefix = "/pay"
service = "{service}"
timeout_ms = 2000
"""
CRASH = "end of the line"
ENTRY = "z1-proxy-1"
CONTROL = "z1-control-1"


@pytest.fixture
def mesh(tmp_path):
    """Run three zones; any two of their control hosts are a quorum."""
    with Mesh(
        folder=tmp_path,
        zones=("z1", "z2", "z3"),
        control_hosts_per_zone=1,
        proxies_per_zone=1,
    ) as running:
        running.old = running.start_target(
            ENTRY, "pay", crash_marker=CRASH, latency_ms=5
        )
        running.version = running.accept(MESH_TEXT.format(service="pay"))
        running.wait_until(
            lambda: running.call("GET", "/pay/1", proxy=ENTRY).status == 200,
            what="served requests",
        )
        yield running


def explain(mesh, request_id):
    """Return what the tool tells by the logs of all hosts alone."""
    result = CliRunner().invoke(
        main, ["explain", request_id, str(mesh.folder), "--json"]
    )
    assert result.exit_code == 0, result.output
    return json.loads(result.stdout)


def ask(mesh, method, path="/pay/1", **options):
    """Return the id of a request and its Answer."""
    request_id = uuid.uuid4().hex
    answer = mesh.call(
        method, path, proxy=ENTRY, request_id=request_id, **options
    )
    # Lines reach the files after the caller has its answer.
    eventlet.sleep(0.3)
    return request_id, answer


def assert_found(value, *parts):
    """Assert that one finding holds all parts."""
    assert any(
        all(part in finding for part in parts) for finding in value["findings"]
    ), value


def test_refused_while_its_target_is_idle_names_the_drain(mesh):
    target_id = mesh.target_id(mesh.old)
    drain_target(mesh.client, target_id)
    mesh.wait_until(
        lambda: mesh.call("GET", "/pay/1", proxy=ENTRY).status == 503,
        what="refused requests",
    )
    request_id, answer = ask(mesh, "GET")
    assert (answer.status, answer.outcome) == (503, "not-run")
    value = explain(mesh, request_id)
    assert_found(value, ENTRY, "NotRun", str(mesh.version))
    assert_found(value, target_id, "target-draining", ENTRY)
    assert_found(value, "it did not run")


def test_a_request_that_may_have_run_names_the_target_that_died(mesh):
    target_id = mesh.target_id(mesh.old)
    request_id, answer = ask(mesh, "POST", body=CRASH.encode())
    assert answer.outcome == "unknown"
    value = explain(mesh, request_id)
    assert_found(value, "attempt 1", target_id, "Unknown", "broke-off")
    assert_found(value, target_id, "target-died")
    assert_found(value, "may have run")


def test_served_by_an_old_route_names_the_version_and_the_lost_control(mesh):
    new = mesh.start_target("z2-proxy-1", "pay-next")
    mesh.kill(CONTROL)
    reply = mesh.submit(
        MESH_TEXT.format(service="pay-next"), base=mesh.version
    )
    assert reply.kind == "accepted", reply
    request_id, answer = ask(mesh, "GET")
    assert answer.value["target"] == mesh.target_id(mesh.old)
    assert answer.value["target"] != mesh.target_id(new)
    value = explain(mesh, request_id)
    assert_found(value, ENTRY, f"version {mesh.version}")
    assert_found(
        value, reply.value["version"], "accepted", "not in force", ENTRY
    )
    assert_found(value, ENTRY, "control-lost", CONTROL)
