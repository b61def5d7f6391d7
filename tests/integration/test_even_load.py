"""Requests of many proxies to targets that tell their pace.

Real processes: one of four targets is slowed, while proxies are killed or
targets tell a pace that can't be read.
"""

import json

import eventlet
import pytest

from tests.integration.request_load import (
    MESH_TEXT,
    SERVICE,
    Load,
    assert_consistent_with_ledgers,
)
from tests.support.harness import Mesh
from tests.support.ledger import read_ledgers

SEED = 1
ZONES = ("z1", "z2")
PROXIES = [f"{zone}-proxy-{number}" for zone in ZONES for number in (1, 2, 3)]
TARGET_PROXIES = [
    f"{zone}-proxy-{number}" for zone in ZONES for number in (1, 2)
]
TARGETS_PER_ZONE = 2
SLOTS = 3
LATENCY_MS = 80
SLOWED_LATENCY_MS = 320
SERVED_SHARE = 0.9


@pytest.fixture
def mesh(tmp_path):
    with Mesh(
        folder=tmp_path,
        zones=ZONES,
        control_hosts_per_zone=1,
        proxies_per_zone=3,
        overrides={
            "proxy": {"headers": {"target_load": "X-Verbenanotch-Target-Load"}}
        },
    ) as running:
        running.target_names = [
            running.start_target(
                proxy,
                SERVICE,
                slots=SLOTS,
                latency_ms=LATENCY_MS,
                told_pace="100",
            )
            for proxy in TARGET_PROXIES
        ]
        running.accept(MESH_TEXT)
        for proxy in PROXIES:
            running.wait_until(
                lambda proxy=proxy: (
                    len(running.served_by("/pay/1", proxy=proxy, calls=20))
                    >= TARGETS_PER_ZONE
                ),
                what=f"the targets of its zone at {proxy}",
            )
        yield running


def leave_alone(mesh):
    eventlet.sleep(5)


def tell_garbage(mesh):
    for pace in ("0", "-5", "much", "9" * 30):
        for name in mesh.target_names:
            mesh.control_target(name, told_pace=pace)
        eventlet.sleep(1)


def kill_target_proxies(mesh):
    for proxy in TARGET_PROXIES:
        mesh.kill(proxy)
        mesh.start_host(proxy)
        eventlet.sleep(2)


def count_events(mesh, name):
    return sum(
        json.loads(line)["name"] == name
        for path in mesh.event_paths()
        for line in path.read_text(encoding="utf-8").splitlines()
    )


@pytest.mark.parametrize(
    "meanwhile", [leave_alone, tell_garbage, kill_target_proxies]
)
def test_requests_run_once_and_are_answered(mesh, meanwhile):
    slowed = mesh.target_names[0]
    with Load(mesh=mesh, seed=SEED, proxies=PROXIES) as load:
        eventlet.sleep(1)
        mesh.control_target(
            slowed, latency_ms=SLOWED_LATENCY_MS, told_pace="400"
        )
        meanwhile(mesh)
    assert_consistent_with_ledgers(load, mesh.folder)
    assert load.counts()["answered"] >= SERVED_SHARE * len(load.results)
    served = {entry.target for entry in read_ledgers(mesh.folder)}
    assert len(served) == len(mesh.target_names)
    is_garbage = meanwhile is tell_garbage
    assert (count_events(mesh, "target-header-invalid") > 0) == is_garbage
