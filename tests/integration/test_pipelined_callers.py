"""Test callers that pipeline, under planned stops and random faults."""

import contextlib
import random

import eventlet
import pytest

from examples import topology as plans
from tests.integration.request_load import MESH_TEXT, SERVICE
from tests.support.harness import Mesh
from tests.support.pipelined_caller import (
    LOST,
    NOT_READ,
    PipelinedCaller,
    assert_truthful,
)

PROXIES = ["z1-proxy-1", "z1-proxy-2", "z1-proxy-3"]
CALLERS_PER_PROXY = 3
FAULTS = 5
SEEDS = (1, 2)


@pytest.fixture
def mesh(tmp_path):
    with Mesh(
        folder=tmp_path, control_hosts_per_zone=1, proxies_per_zone=3
    ) as running:
        for proxy in PROXIES:
            running.start_target(proxy, SERVICE)
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


@contextlib.contextmanager
def pipelined_callers(mesh, *, seed, **options):
    callers = [
        PipelinedCaller(
            address=mesh.topology.hosts_by_name[proxy].address,
            port=plans.CALLER_PORT,
            seed=1000 * seed + 10 * number + index,
            **options,
        )
        for number, proxy in enumerate(PROXIES)
        for index in range(CALLERS_PER_PROXY)
    ]
    with contextlib.ExitStack() as stack:
        for caller in callers:
            stack.enter_context(caller)
        yield callers


def test_a_rolling_restart_answers_all_that_was_read(mesh, tmp_path):
    with pipelined_callers(mesh, seed=7) as callers:
        eventlet.sleep(1)
        for proxy in PROXIES:
            mesh.terminate(proxy)
            mesh.child(proxy).wait()
            mesh.restart(proxy)
            eventlet.sleep(1.5)
    assert_truthful(callers, tmp_path)
    results = [result for caller in callers for result in caller.results]
    answered = [result for result in results if result.outcome == "answered"]
    assert len(answered) > len(results) / 2
    lost = [result for result in results if result.outcome == LOST]
    assert lost == []


def test_stops_in_series_answer_each_request_that_arrived(mesh, tmp_path):
    """Guard against requests that a stop drops behind an answer."""
    with pipelined_callers(mesh, seed=3, max_body_bytes=0) as callers:
        for proxy in (*PROXIES, *PROXIES):
            eventlet.sleep(1)
            mesh.terminate(proxy)
            mesh.child(proxy).wait()
            mesh.restart(proxy)
    assert_truthful(callers, tmp_path)
    dropped = [
        result
        for caller in callers
        for result in caller.results
        if result.outcome in (LOST, NOT_READ)
    ]
    assert dropped == []


@pytest.mark.parametrize("seed", SEEDS)
def test_answers_stay_in_turn_under_random_faults(mesh, tmp_path, seed):
    """Kills, freezes and stops overlap; callers connect again at once."""
    rng = random.Random(seed)
    with pipelined_callers(mesh, seed=seed) as callers:
        for _ in range(FAULTS):
            eventlet.sleep(rng.random())
            proxy = rng.choice(PROXIES)
            match rng.choice(("kill", "freeze", "stop", "herd")):
                case "kill":
                    mesh.kill(proxy)
                    mesh.restart(proxy)
                case "freeze":
                    mesh.freeze(proxy)
                    eventlet.sleep(rng.random() * 2)
                    mesh.thaw(proxy)
                case "stop":
                    mesh.terminate(proxy)
                    eventlet.sleep(rng.random() / 2)
                    mesh.restart(proxy)
                case "herd":
                    for name in PROXIES[:2]:
                        mesh.kill(name)
                    for name in PROXIES[:2]:
                        mesh.restart(name)
        eventlet.sleep(2)
    assert_truthful(callers, tmp_path)
