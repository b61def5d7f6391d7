"""Test that a draining target stays drained while processes fail."""

import time

import eventlet
import pytest
import urllib3

from examples import topology as plans
from tests.integration.request_load import MESH_TEXT, SERVICE
from tests.support.harness import Mesh
from tests.support.ledger import read_ledgers, runs_by_request_id
from verbenanotch.cli.commands.drain import drain_target

ZONE = "z1"
CALLS = 30
CALLS_AT_ENTRY = {"proxy": f"{ZONE}-proxy-3", "calls": CALLS}
# A target announces itself to a restarted proxy within a second.
SECONDS_AFTER_RESTART = 4


@pytest.fixture
def mesh(tmp_path):
    with Mesh(
        folder=tmp_path, control_hosts_per_zone=1, proxies_per_zone=3
    ) as running:
        for number in (1, 2):
            running.start_target(f"{ZONE}-proxy-{number}", SERVICE)
        running.accept(MESH_TEXT)
        running.wait_until(
            lambda: get(running).outcome == "answered", what="served request"
        )
        yield running


def get(mesh):
    return mesh.call("GET", "/pay/1", proxy=f"{ZONE}-proxy-3")


def test_a_draining_target_gets_no_requests_without_a_control_host(
    mesh, tmp_path
):
    mesh.kill(f"{ZONE}-control-1")
    draining_proxy = f"{ZONE}-proxy-1"
    host = mesh.topology.hosts_by_name[draining_proxy]
    target_id = f"{SERVICE}/{host.server(plans.TARGET_SERVICE_PORT)}"
    response = urllib3.PoolManager().request(
        "POST",
        f"http://{host.server(plans.TARGET_PORT)}"
        f"/v1/targets/{target_id}/drain",
    )
    assert response.status == 200
    answers = [get(mesh) for _ in range(CALLS)]
    assert {answer.outcome for answer in answers} == {"answered"}
    request_ids = {answer.request_id for answer in answers}
    entries = [
        e for e in read_ledgers(tmp_path) if e.request_id in request_ids
    ]
    assert runs_by_request_id(entries) == dict.fromkeys(request_ids, 1)
    assert target_id not in {entry.target for entry in entries}


def test_a_draining_target_gets_no_requests_after_its_proxy_restarts(
    mesh, tmp_path
):
    """Guard against a drain that only the target's proxy remembers.

    The target goes on to announce itself and says nothing of the drain, which
    an operator has requested.
    """
    draining_proxy = f"{ZONE}-proxy-1"
    host = mesh.topology.hosts_by_name[draining_proxy]
    target_id = f"{SERVICE}/{host.server(plans.TARGET_SERVICE_PORT)}"
    drain_target(mesh.client, target_id)
    mesh.wait_until(
        lambda: target_id not in mesh.served_by("/pay/1", **CALLS_AT_ENTRY),
        what=f"drain of {target_id}",
    )
    mesh.restart(draining_proxy)
    end = time.monotonic() + SECONDS_AFTER_RESTART
    while time.monotonic() < end:
        assert target_id not in mesh.served_by("/pay/1", **CALLS_AT_ENTRY)
        eventlet.sleep(0.2)
