"""Test that `explain` finds a request's cause in real hosts' logs."""

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
CRASH_MARKER = "crash-marker"
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
        running.old_target = running.start_target(
            ENTRY, "pay", crash_marker=CRASH_MARKER, latency_ms=5
        )
        running.version = running.accept(MESH_TEXT.format(service="pay"))
        running.wait_until(
            lambda: running.call("GET", "/pay/1", proxy=ENTRY).status == 200,
            what="served requests",
        )
        yield running


def explain(mesh, request_id):
    """Return the JSON output of `explain`, which reads only the logs."""
    result = CliRunner().invoke(
        main, ["explain", request_id, str(mesh.folder), "--json"]
    )
    assert result.exit_code == 0, result.output
    return json.loads(result.stdout)


def send(mesh, method, path="/pay/1", **options):
    """Send a request; return its id and its Answer."""
    request_id = uuid.uuid4().hex
    answer = mesh.call(
        method, path, proxy=ENTRY, request_id=request_id, **options
    )
    # The log lines are written after the caller received its answer.
    eventlet.sleep(0.3)
    return request_id, answer


def assert_found(explanation, *parts):
    """Assert that one finding contains all parts."""
    assert any(
        all(part in finding for part in parts)
        for finding in explanation["findings"]
    ), explanation


def test_a_refused_request_names_the_drained_target(mesh):
    target_id = mesh.target_id(mesh.old_target)
    drain_target(mesh.client, target_id)
    mesh.wait_until(
        lambda: mesh.call("GET", "/pay/1", proxy=ENTRY).status == 503,
        what="refused requests",
    )
    request_id, answer = send(mesh, "GET")
    assert (answer.status, answer.outcome) == (503, "not-run")
    explanation = explain(mesh, request_id)
    assert_found(explanation, ENTRY, "NotRun", str(mesh.version))
    assert_found(explanation, target_id, "target-draining", ENTRY)
    assert_found(explanation, "it did not run")


def test_a_request_with_unknown_outcome_names_the_crashed_target(mesh):
    target_id = mesh.target_id(mesh.old_target)
    request_id, answer = send(mesh, "POST", body=CRASH_MARKER.encode())
    assert answer.outcome == "unknown"
    explanation = explain(mesh, request_id)
    assert_found(explanation, "attempt 1", target_id, "Unknown", "broke-off")
    assert_found(explanation, target_id, "target-died")
    assert_found(explanation, "may have run")


def test_an_old_route_names_its_version_and_the_lost_control_host(mesh):
    new_target = mesh.start_target("z2-proxy-1", "pay-next")
    mesh.kill(CONTROL)
    reply = mesh.submit(
        MESH_TEXT.format(service="pay-next"), base=mesh.version
    )
    assert reply.kind == "accepted", reply
    request_id, answer = send(mesh, "GET")
    assert answer.value["target"] == mesh.target_id(mesh.old_target)
    assert answer.value["target"] != mesh.target_id(new_target)
    explanation = explain(mesh, request_id)
    assert_found(explanation, ENTRY, f"version {mesh.version}")
    assert_found(
        explanation, reply.value["version"], "accepted", "not in force", ENTRY
    )
    assert_found(explanation, ENTRY, "control-lost", CONTROL)


def test_a_refused_request_names_the_limit_of_the_target(mesh):
    target_id = mesh.target_id(mesh.old_target)
    mesh.control_target(mesh.old_target, named_limit="0.25")
    mesh.wait_until(
        lambda: mesh.call("GET", "/pay/1", proxy=ENTRY).status == 503,
        what="refused requests",
    )
    request_id, answer = send(mesh, "GET")
    assert (answer.status, answer.outcome) == (503, "not-run")
    explanation = explain(mesh, request_id)
    assert_found(explanation, ENTRY, "NotRun", "rate-limited")
    assert_found(explanation, target_id, "takes 0.25 requests a second")
    assert_found(explanation, "it did not run")
