"""Keyed requests over real processes: asked again, from anywhere."""

import random
import time

import eventlet
import pytest

from tests.integration.request_load import MESH_TEXT, SERVICE
from tests.support.harness import Mesh
from tests.support.ledger import read_ledgers, runs_by_key
from verbenanotch.idempotency import new_key

SEED = 11
PROXIES = ["z1-proxy-1", "z2-proxy-1", "z3-proxy-1"]
SETTLED_KEYS = 5


@pytest.fixture
def mesh(tmp_path):
    with Mesh(
        folder=tmp_path,
        zones=("z1", "z2", "z3"),
        control_hosts_per_zone=1,
        proxies_per_zone=1,
    ) as running:
        for proxy in PROXIES:
            running.start_target(proxy, SERVICE)
        running.accept(MESH_TEXT)
        running.random = random.Random(SEED)
        wait_for_records(running)
        yield running


def wait_for_records(mesh):
    """Wait until the holders have agreed on themselves for a while.

    Keys that were issued shortly before a change of the holders are not
    run; see the design note of the request path.
    """
    mesh.wait_until(
        lambda: all(
            pay(mesh, make_key(mesh), proxy).outcome == "answered"
            for proxy in PROXIES * SETTLED_KEYS
        ),
        what="keyed requests answered",
    )


def make_key(mesh):
    return new_key(now_ms=int(time.time() * 1000), random=mesh.random)


def pay(mesh, key, proxy, body=b"10 EUR", path="/pay/1"):
    return mesh.call("POST", path, proxy=proxy, key=key, body=body)


def test_asked_again_from_any_zone_gets_the_first_answer(mesh, tmp_path):
    keys = [make_key(mesh) for _ in range(20)]
    for number, key in enumerate(keys):
        first = pay(mesh, key, PROXIES[number % 3])
        assert first.outcome == "answered", first
        for proxy in PROXIES:
            again = pay(mesh, key, proxy)
            assert (again.outcome, again.body) == ("answered", first.body)
        other = pay(mesh, key, PROXIES[0], body=b"20 EUR")
        assert other.status == 409
        assert other.value["reason"] == "key-conflict"
    runs = runs_by_key(read_ledgers(tmp_path))
    assert {runs[key] for key in keys} == {1}


def test_asked_at_once_through_every_zone_runs_once(mesh, tmp_path):
    keys = [make_key(mesh) for _ in range(20)]
    for key in keys:
        asked = [
            eventlet.spawn(pay, mesh, key, proxy, path="/pay/1?latency_ms=50")
            for proxy in PROXIES
        ]
        outcomes = [greenthread.wait().outcome for greenthread in asked]
        assert "not-run" not in outcomes
    runs = runs_by_key(read_ledgers(tmp_path))
    assert all(runs[key] <= 1 for key in keys)


def test_either_holder_lost_never_runs_a_key_again(mesh, tmp_path):
    keys = [make_key(mesh) for _ in range(30)]
    answers = {key: pay(mesh, key, PROXIES[0]) for key in keys}
    assert {answer.outcome for answer in answers.values()} == {"answered"}
    for lost in PROXIES:
        mesh.kill(lost)
        left = [proxy for proxy in PROXIES if proxy != lost]
        for key in keys:
            again = pay(mesh, key, left[0])
            assert again.outcome in ("answered", "unknown"), again
            if again.outcome == "answered":
                assert again.body == answers[key].body
        mesh.restart(lost)
        eventlet.sleep(2)
    runs = runs_by_key(read_ledgers(tmp_path))
    assert {runs[key] for key in keys} == {1}


def test_restarts_in_turn_lose_no_answer(mesh, tmp_path):
    keys = [make_key(mesh) for _ in range(20)]
    answers = {key: pay(mesh, key, PROXIES[0]) for key in keys}
    assert {answer.outcome for answer in answers.values()} == {"answered"}
    for proxy in PROXIES:
        mesh.terminate(proxy)
        mesh.child(proxy).wait()
        mesh.restart(proxy)
        wait_for_records(mesh)
        for key in keys:
            again = pay(mesh, key, proxy)
            assert (again.outcome, again.body) == (
                "answered",
                answers[key].body,
            )
    runs = runs_by_key(read_ledgers(tmp_path))
    assert {runs[key] for key in keys} == {1}


def test_a_key_without_its_time_of_issue_is_refused(mesh):
    answer = pay(mesh, "order-1", PROXIES[0])
    assert answer.status == 400
    assert answer.outcome == "not-run"
    assert answer.value["reason"] == "bad-key"
