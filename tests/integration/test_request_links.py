"""Test faults of the link between a proxy and its target."""

import json

import eventlet
import pytest

from examples.launcher import Child, stop_all
from examples.topology import CALLER_PORT, TARGET_PORT
from tests.integration.request_load import (
    MESH_TEXT,
    SERVICE,
    Load,
    assert_consistent_with_ledgers,
)
from tests.support.fault_proxy import FaultProxy
from tests.support.harness import Mesh
from tests.support.ledger import read_ledgers, runs_by_request_id

SEED = 21
PROXIES = ["z1-proxy-1", "z1-proxy-2"]
TARGET_PORT_BEHIND_RELAY = 7600


@pytest.fixture
def mesh(tmp_path):
    with Mesh(
        folder=tmp_path, control_hosts_per_zone=1, proxies_per_zone=2
    ) as running:
        host = running.topology.hosts_by_name[PROXIES[0]]
        running.relay = FaultProxy(
            listen_address=host.address,
            address=host.address,
            port=TARGET_PORT_BEHIND_RELAY,
            seed=SEED,
        )
        target = _target_behind_relay(running, host, tmp_path)
        target.start()
        try:
            running.accept(MESH_TEXT)
            running.wait_until(
                lambda: all(
                    running.call("GET", "/pay/1", proxy=proxy).outcome
                    == "answered"
                    for proxy in PROXIES
                ),
                what="served requests",
            )
            yield running
        finally:
            stop_all([target])
            running.relay.stop()


def _target_behind_relay(mesh, host, folder):
    values_by_option = {
        "service": SERVICE,
        "address": host.address,
        "port": TARGET_PORT_BEHIND_RELAY,
        "announced-port": mesh.relay.port,
        "proxy": host.server(TARGET_PORT),
        "mesh-entry": host.server(CALLER_PORT),
        "slots": 8,
        "ledger": folder / "relayed.ledger.jsonl",
        "behaviour": json.dumps({"latency_ms": 20}),
    }
    return Child(
        name="relayed",
        module="tests.support.stand_in_target",
        arguments=[
            f"--{key}={value}" for key, value in values_by_option.items()
        ],
        log_path=folder / "relayed.log",
    )


def test_a_reset_after_the_complete_request_is_unknown(mesh, tmp_path):
    waiting = eventlet.spawn(
        mesh.call,
        "POST",
        "/pay/1?latency_ms=600",
        proxy=PROXIES[1],
        request_id="reset",
        body=b"10 EUR",
    )
    eventlet.sleep(0.3)
    mesh.relay.reset()
    answer = waiting.wait()
    assert answer.outcome == "unknown"
    eventlet.sleep(0.6)
    assert runs_by_request_id(read_ledgers(tmp_path))["reset"] == 1


def test_resets_under_load_lose_no_response(mesh, tmp_path):
    with Load(mesh=mesh, proxies=PROXIES, seed=SEED) as load:
        for _ in range(15):
            eventlet.sleep(0.2)
            mesh.relay.reset()
        eventlet.sleep(1)
    assert_consistent_with_ledgers(load, tmp_path)
    counts = load.counts()
    assert counts["lost"] == 0
    assert counts["answered"] > 0
    assert counts["unknown"] > 0


@pytest.mark.parametrize("truncate_after_bytes", [10, 200, 20_000])
def test_answers_truncated_by_the_link_are_unknown(
    mesh, tmp_path, truncate_after_bytes
):
    path = "/pay/1?padding_bytes=50000"
    with Load(
        mesh=mesh, proxies=PROXIES, seed=SEED, path=path, rate=30
    ) as load:
        mesh.relay.set(truncate_after_bytes=truncate_after_bytes)
        eventlet.sleep(1.5)
        mesh.relay.heal()
        eventlet.sleep(2)
    assert_consistent_with_ledgers(load, tmp_path)
    counts = load.counts()
    assert counts["lost"] == 0
    assert counts["unknown"] > 0


def test_discarded_and_late_answers_are_unknown(mesh, tmp_path):
    with Load(mesh=mesh, proxies=PROXIES, seed=SEED, timeout_ms=500) as load:
        eventlet.sleep(0.5)
        mesh.relay.set(cut_backward=True)
        eventlet.sleep(1)
        mesh.relay.heal()
        mesh.relay.set(delay_seconds=0.3)
        eventlet.sleep(1)
        mesh.relay.heal(reset=False)
        eventlet.sleep(2)
    assert_consistent_with_ledgers(load, tmp_path)
    counts = load.counts()
    assert counts["lost"] == 0
    assert counts["unknown"] > 0
    assert counts["answered"] > 0
