"""Test that stopping proxies under load interrupts no request."""

import eventlet
import pytest

from tests.integration.request_load import (
    MESH_TEXT,
    SERVICE,
    Load,
    assert_consistent_with_ledgers,
)
from tests.support.harness import Mesh

SEED = 5
PROXIES = ["z1-proxy-1", "z1-proxy-2", "z1-proxy-3"]


@pytest.fixture
def mesh(tmp_path):
    with Mesh(
        folder=tmp_path, control_hosts_per_zone=1, proxies_per_zone=3
    ) as running:
        for proxy in PROXIES:
            running.start_target(proxy, SERVICE, latency_ms=100)
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


def test_a_rolling_restart_of_all_proxies_loses_no_request(mesh, tmp_path):
    with Load(mesh=mesh, proxies=PROXIES, seed=SEED) as load:
        eventlet.sleep(1)
        for proxy in PROXIES:
            mesh.terminate(proxy)
            mesh.wait_until(
                lambda name=proxy: not mesh.child(name).is_alive,
                what=f"exit of {proxy}",
            )
            assert mesh.child(proxy).exit_code == 0
            mesh.restart(proxy)
            # The target announces itself again within a second.
            eventlet.sleep(2)
    assert_consistent_with_ledgers(load, tmp_path)
    others = [r for r in load.results if r.outcome != "answered"]
    assert others == []


def test_a_long_request_is_finished_before_the_exit(mesh, tmp_path):
    waiting = eventlet.spawn(
        mesh.call,
        "POST",
        "/pay/1?latency_ms=1500",
        proxy=PROXIES[0],
        request_id="long",
        timeout_ms=5000,
    )
    eventlet.sleep(0.5)
    for proxy in PROXIES:
        mesh.terminate(proxy)
    answer = waiting.wait()
    assert answer.outcome == "answered"
    assert answer.value["request_id"] == "long"
    for proxy in PROXIES:
        mesh.wait_until(
            lambda name=proxy: not mesh.child(name).is_alive,
            what=f"exit of {proxy}",
        )
        assert mesh.child(proxy).exit_code == 0


def test_the_target_of_a_leaving_proxy_still_serves_other_proxies(tmp_path):
    leaving, other = PROXIES[:2]
    with Mesh(
        folder=tmp_path,
        control_hosts_per_zone=1,
        proxies_per_zone=2,
        overrides={"proxy": {"leave_ms": 3000}},
    ) as mesh:
        mesh.start_target(leaving, SERVICE)
        mesh.accept(MESH_TEXT)
        mesh.wait_until(
            lambda: (
                mesh.call("GET", "/pay/1", proxy=other).outcome == "answered"
            ),
            what="served requests",
        )
        mesh.terminate(leaving)
        eventlet.sleep(1)
        answer = mesh.call("GET", "/pay/1", proxy=other)
        assert answer.outcome == "answered"
        mesh.wait_until(
            lambda: not mesh.child(leaving).is_alive, what="exit of the proxy"
        )
        assert mesh.child(leaving).exit_code == 0


def test_a_request_that_fits_into_the_stop_is_finished(tmp_path):
    """Guard against a stop that cuts requests before it has to."""
    stop_seconds = 9
    proxy = PROXIES[0]
    with Mesh(
        folder=tmp_path,
        control_hosts_per_zone=1,
        proxies_per_zone=1,
        overrides={"proxy": {"stop_seconds": stop_seconds}},
    ) as mesh:
        mesh.start_target(proxy, SERVICE)
        mesh.accept(MESH_TEXT.replace("= 2000", "= 9000"))
        mesh.wait_until(
            lambda: (
                mesh.call("GET", "/pay/1", proxy=proxy).outcome == "answered"
            ),
            what="served requests",
        )
        waiting = eventlet.spawn(
            mesh.call,
            "POST",
            "/pay/1?latency_ms=6500",
            proxy=proxy,
            timeout_ms=9000,
        )
        eventlet.sleep(0.3)
        mesh.terminate(proxy)
        assert waiting.wait().outcome == "answered"
        with eventlet.Timeout(stop_seconds):
            mesh.wait_until(
                lambda: not mesh.child(proxy).is_alive,
                what="exit of the proxy",
            )
        assert mesh.child(proxy).exit_code == 0
