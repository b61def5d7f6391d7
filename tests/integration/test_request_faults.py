"""Test requests while real processes crash, freeze or refuse work.

The ledgers of the stand-in targets show which requests ran.
"""

import eventlet
import pytest
import urllib3

from examples.topology import TARGET_PORT
from tests.integration.request_load import (
    MESH_TEXT,
    SERVICE,
    Load,
    assert_consistent_with_ledgers,
)
from tests.support.harness import Mesh
from tests.support.ledger import read_ledgers, runs_by_request_id

SEED = 1
PROXIES = ["z1-proxy-1", "z1-proxy-2", "z1-proxy-3"]


@pytest.fixture
def mesh(tmp_path):
    with Mesh(
        folder=tmp_path, control_hosts_per_zone=1, proxies_per_zone=3
    ) as running:
        running.target_names = [
            running.start_target(proxy, SERVICE, latency_ms=20)
            for proxy in PROXIES
        ]
        running.accept(MESH_TEXT)
        running.wait_until(
            lambda: all(_is_served(running, proxy) for proxy in PROXIES),
            what="served requests",
        )
        yield running


def _is_served(mesh, proxy):
    answer = mesh.call("GET", "/pay/1", proxy=proxy)
    return answer.outcome == "answered"


def _load(mesh, seed=SEED, **options):
    options.setdefault("proxies", PROXIES)
    return Load(mesh=mesh, seed=seed, **options)


def _drain(mesh, proxy, target_name):
    host = mesh.topology.hosts_by_name[proxy]
    response = urllib3.request(
        "POST",
        f"http://{host.server(TARGET_PORT)}/v1/targets/"
        f"{mesh.target_id(target_name)}/drain",
    )
    assert response.status == 200


def test_outcomes_match_the_ledgers_when_a_proxy_is_killed(mesh, tmp_path):
    with _load(mesh) as load:
        eventlet.sleep(1)
        mesh.kill(PROXIES[1])
        eventlet.sleep(2)
        mesh.restart(PROXIES[1])
        eventlet.sleep(2)
    assert_consistent_with_ledgers(load, tmp_path)
    assert load.results[-1].outcome == "answered"


def test_outcomes_match_the_ledgers_when_a_target_is_killed(mesh, tmp_path):
    with _load(mesh) as load:
        eventlet.sleep(1)
        mesh.kill(mesh.target_names[1])
        eventlet.sleep(2)
        mesh.restart(mesh.target_names[1])
        eventlet.sleep(2)
    assert_consistent_with_ledgers(load, tmp_path)
    assert load.counts()["lost"] == 0
    assert load.results[-1].outcome == "answered"


def test_outcomes_match_the_ledgers_when_a_target_freezes(mesh, tmp_path):
    with _load(mesh, timeout_ms=800) as load:
        eventlet.sleep(1)
        mesh.freeze(mesh.target_names[1])
        eventlet.sleep(2)
        mesh.thaw(mesh.target_names[1])
        eventlet.sleep(2)
    assert_consistent_with_ledgers(load, tmp_path)
    assert load.counts()["lost"] == 0
    assert load.results[-1].outcome == "answered"


def test_outcomes_match_the_ledgers_when_a_proxy_freezes(mesh, tmp_path):
    """Guard against a late answer that reaches the wrong request.

    The proxy is frozen for longer than the requests' timeout and sends its
    answers once it is resumed.
    """
    others = [PROXIES[0], PROXIES[2]]
    with _load(mesh, timeout_ms=800, proxies=others) as load:
        eventlet.sleep(1)
        mesh.freeze(PROXIES[1])
        eventlet.sleep(2)
        mesh.thaw(PROXIES[1])
        eventlet.sleep(2)
    assert_consistent_with_ledgers(load, tmp_path)
    assert load.counts()["lost"] == 0
    assert load.results[-1].outcome == "answered"


def test_answers_after_the_deadline_are_unknown(mesh, tmp_path):
    for name in mesh.target_names:
        mesh.control_target(name, latency_ms=150)
    with _load(mesh, timeout_ms=140, rate=40) as load:
        eventlet.sleep(3)
    assert_consistent_with_ledgers(load, tmp_path)
    counts = load.counts()
    assert counts["lost"] == 0
    assert counts["unknown"] > 0


def test_answers_truncated_by_the_target_are_unknown(mesh, tmp_path):
    mesh.control_target(
        mesh.target_names[1], cut_body=True, padding_bytes=100_000
    )
    with _load(mesh) as load:
        eventlet.sleep(3)
    assert_consistent_with_ledgers(load, tmp_path)
    counts = load.counts()
    assert counts["lost"] == 0
    assert counts["unknown"] > 0
    assert counts["answered"] > 0


def test_overload_at_three_times_the_slots_is_partly_refused(mesh, tmp_path):
    for name in mesh.target_names:
        mesh.control_target(name, latency_ms=200)
    # 24 slots of 200 ms serve 120 requests a second.
    with _load(mesh, rate=360, timeout_ms=1000) as load:
        eventlet.sleep(4)
    assert_consistent_with_ledgers(load, tmp_path)
    counts = load.counts()
    assert counts["lost"] == 0
    assert counts["not-run"] > 0
    assert counts["answered"] > 0


def test_a_draining_target_gets_no_new_requests(mesh, tmp_path):
    with _load(mesh) as load:
        eventlet.sleep(1)
        _drain(mesh, PROXIES[1], mesh.target_names[1])
        eventlet.sleep(5)
        entries = read_ledgers(tmp_path)
        eventlet.sleep(2)
    assert_consistent_with_ledgers(load, tmp_path)
    draining = mesh.target_id(mesh.target_names[1])
    before = [e for e in entries if e.target == draining]
    after = [e for e in read_ledgers(tmp_path) if e.target == draining]
    assert before
    assert after == before
    assert load.counts()["answered"] == len(load.results)


def test_a_request_is_blocked_after_it_crashed_two_targets(mesh, tmp_path):
    for name in mesh.target_names:
        mesh.control_target(name, crash_marker="poison")
    reasons = []
    for number in range(6):
        answer = mesh.call(
            "POST",
            "/pay/1",
            proxy=PROXIES[number % 3],
            request_id=f"poison-{number}",
            body=b"some poison",
        )
        reasons.append(answer.value["reason"])
        eventlet.sleep(0.2)
    runs = runs_by_request_id(read_ledgers(tmp_path))
    crashes = sum(runs[f"poison-{number}"] for number in range(6))
    assert crashes == 2
    assert reasons[2:] == ["crashes-targets"] * 4
    assert mesh.call("GET", "/pay/1", proxy=PROXIES[0]).outcome == "answered"


def test_a_failing_target_with_good_reports_gets_few_requests(mesh, tmp_path):
    """Guard against routing by reports instead of by observed errors.

    The first target works but reports bad health and full load; the second
    answers every request with 500 but reports good health and no load.
    """
    mesh.control_target(
        mesh.target_names[0], reported_health=500, reported_in_flight=8
    )
    mesh.control_target(
        mesh.target_names[1],
        reported_health=200,
        reported_in_flight=0,
        fail_status=500,
    )
    with _load(mesh) as load:
        eventlet.sleep(4)
    assert_consistent_with_ledgers(load, tmp_path)
    counts = load.counts()
    assert counts["answered"] == len(load.results)
    started = [e for e in read_ledgers(tmp_path) if e.phase == "started"]
    failing = mesh.target_id(mesh.target_names[1])
    share = sum(e.target == failing for e in started) / len(started)
    assert share < 1 / 3


def test_a_request_is_cancelled_when_its_caller_disconnects(mesh, tmp_path):
    mesh.control_target(mesh.target_names[0], latency_ms=3000)
    with pytest.raises(Exception, match="timed out"):
        mesh.call(
            "POST",
            "/pay/1?latency_ms=3000",
            proxy=PROXIES[1],
            request_id="disconnected",
            timeout_ms=5000,
            timeout_seconds=0.3,
        )
    eventlet.sleep(1)
    entries = read_ledgers(tmp_path)
    phases = [e.phase for e in entries if e.request_id == "disconnected"]
    assert phases == ["started", "cancelled"]
    assert runs_by_request_id(entries)["disconnected"] == 1
