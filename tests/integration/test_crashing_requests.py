"""Guard against a request that crashes target after target.

Real processes: its caller repeats the request at all proxies of four zones,
while processes of the mesh are stopped, killed and started.
"""

import eventlet
import pytest
import urllib3

from tests.integration.crashing_callers import (
    CRASH_MARKER,
    REQUEST_ID_PREFIX,
    CrashingCaller,
)
from tests.integration.request_load import (
    MESH_TEXT,
    SERVICE,
    wait_until_all_targets_used,
)
from tests.support.harness import Mesh

ZONES = ("z1", "z2", "z3", "z4")
PROXIES = [f"{zone}-proxy-{number}" for zone in ZONES for number in (1, 2)]
TARGET_PROXIES = [f"{zone}-proxy-1" for zone in ZONES]
CONTROLS = [f"{zone}-control-1" for zone in ZONES]
# Three crashes identify the request; at most three more may follow.
MAX_CRASHES = 6
RESTART_INTERVAL_SECONDS = 1.0
HARMLESS_TIMEOUT_SECONDS = 10.0


@pytest.fixture
def mesh(tmp_path):
    with Mesh(
        folder=tmp_path,
        zones=ZONES,
        control_hosts_per_zone=1,
        proxies_per_zone=2,
    ) as running:
        for proxy in TARGET_PROXIES:
            running.start_target(proxy, SERVICE, latency_ms=10)
        running.accept(MESH_TEXT)
        running.wait_until(
            lambda: all(_is_served(running, proxy) for proxy in PROXIES),
            what="served requests",
        )
        yield running


def _is_served(mesh, proxy, path="/pay/1"):
    try:
        answer = mesh.call("GET", path, proxy=proxy)
    except urllib3.exceptions.HTTPError:
        return False
    return answer.outcome == "answered"


@pytest.mark.parametrize(
    "caller_options",
    [
        pytest.param({"timeout_ms": 50}, id="deadline-passes"),
        pytest.param({"patience_seconds": 0.05}, id="caller-leaves"),
    ],
)
def test_calls_that_end_before_their_target_crashes_are_counted(
    mesh, caller_options
):
    with CrashingCaller(
        mesh=mesh,
        path="/pay/1",
        parameters="&crash_after_ms=70",
        **caller_options,
    ) as caller:
        eventlet.sleep(8)
    _assert_few_crashes(caller)


def _start_again(mesh, names):
    for name in names:
        mesh.start_host(name)
    for name in names:
        mesh.wait_ready(name)


def _restart_in_turn(mesh, names):
    for name in names:
        mesh.terminate(name)
        mesh.child(name).wait()
        mesh.start_host(name)
        eventlet.sleep(RESTART_INTERVAL_SECONDS)


def _assert_few_crashes(caller):
    times = caller.crash_times()
    assert 0 < len(times) <= MAX_CRASHES, times
    assert ("not-run", "crashes-targets") in caller.results


@pytest.mark.parametrize("method", ["GET", "POST"])
def test_a_request_crashes_few_targets_of_many_zones(mesh, method):
    with CrashingCaller(mesh=mesh, path="/pay/1", method=method) as caller:
        eventlet.sleep(8)
    _assert_few_crashes(caller)


def test_a_request_crashes_few_targets_while_proxies_restart(mesh):
    with CrashingCaller(mesh=mesh, path="/pay/1") as caller:
        eventlet.sleep(2)
        _restart_in_turn(mesh, PROXIES)
    _assert_few_crashes(caller)


def test_a_request_crashes_few_targets_when_all_processes_are_killed(mesh):
    with CrashingCaller(mesh=mesh, path="/pay/1") as caller:
        eventlet.sleep(4)
        for name in PROXIES + CONTROLS:
            mesh.kill(name)
        _start_again(mesh, CONTROLS + PROXIES)
        eventlet.sleep(4)
    _assert_few_crashes(caller)


def test_a_request_crashes_few_targets_after_a_control_disk_is_lost(mesh):
    with CrashingCaller(mesh=mesh, path="/pay/1") as caller:
        eventlet.sleep(4)
        mesh.kill(CONTROLS[0])
        mesh.wipe_disk(CONTROLS[0])
        _start_again(mesh, CONTROLS[:1])
        _restart_in_turn(mesh, PROXIES[:2])
        eventlet.sleep(2)
    _assert_few_crashes(caller)


def test_a_request_crashes_few_targets_without_control_hosts(mesh):
    wait_until_all_targets_used(mesh, PROXIES)
    for control in CONTROLS:
        mesh.kill(control)
    with CrashingCaller(mesh=mesh, path="/pay/1") as caller:
        eventlet.sleep(6)
    _assert_few_crashes(caller)


def test_harmless_requests_at_crashing_targets_are_served_again(mesh):
    slow = [f"/pay/slow-{number}?latency_ms=300" for number in range(12)]
    with CrashingCaller(mesh=mesh, path="/pay/1") as caller:
        for _ in range(6):
            for number, path in enumerate(slow):
                eventlet.spawn_n(
                    _is_served, mesh, PROXIES[number % len(PROXIES)], path
                )
            eventlet.sleep(0.4)
    for path in slow:
        mesh.wait_until(
            lambda path=path: _is_served(mesh, PROXIES[0], path),
            what=f"answer to {path}",
            timeout_seconds=HARMLESS_TIMEOUT_SECONDS,
        )
    mesh.wait_until(lambda: _is_poison_refused(mesh), what="refused poison")
    assert len(caller.crash_times()) <= MAX_CRASHES


def _is_poison_refused(mesh):
    answer = mesh.call(
        "GET",
        f"/pay/1?crash_marker={CRASH_MARKER}",
        proxy=PROXIES[0],
        body=CRASH_MARKER.encode(),
        request_id=f"{REQUEST_ID_PREFIX}last",
    )
    return answer.value["reason"] == "crashes-targets"
