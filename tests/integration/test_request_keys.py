"""Test idempotency keys that are sent repeatedly, through any zone."""

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
KEYS_PER_PROXY = 5


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
    """Wait until the holders have agreed and keep answering new keys.

    Keys that were issued shortly before a change of the holders are not
    run; see the design note of the request path.
    """
    mesh.wait_until(
        lambda: all(
            pay(mesh, make_key(mesh), proxy).outcome == "answered"
            for proxy in PROXIES * KEYS_PER_PROXY
        ),
        what="keyed requests answered",
    )


def make_key(mesh):
    return new_key(now_ms=int(time.time() * 1000), random=mesh.random)


def pay(mesh, key, proxy, body=b"10 EUR", path="/pay/1"):
    return mesh.call("POST", path, proxy=proxy, key=key, body=body)


def assert_answered_again(mesh, answers_by_key, proxy):
    for key, answer in answers_by_key.items():
        repeated = pay(mesh, key, proxy)
        assert (repeated.outcome, repeated.body) == ("answered", answer.body)


def test_a_repeated_key_gets_the_first_answer_in_every_zone(mesh, tmp_path):
    keys = [make_key(mesh) for _ in range(20)]
    for number, key in enumerate(keys):
        first = pay(mesh, key, PROXIES[number % 3])
        assert first.outcome == "answered", first
        for proxy in PROXIES:
            repeated = pay(mesh, key, proxy)
            assert (repeated.outcome, repeated.body) == (
                "answered",
                first.body,
            )
        conflicting = pay(mesh, key, PROXIES[0], body=b"20 EUR")
        assert conflicting.status == 409
        assert conflicting.value["reason"] == "key-conflict"
    runs = runs_by_key(read_ledgers(tmp_path))
    assert {runs[key] for key in keys} == {1}


def test_a_key_sent_through_every_zone_at_once_runs_at_most_once(
    mesh, tmp_path
):
    keys = [make_key(mesh) for _ in range(20)]
    for key in keys:
        greenthreads = [
            eventlet.spawn(pay, mesh, key, proxy, path="/pay/1?latency_ms=50")
            for proxy in PROXIES
        ]
        outcomes = [greenthread.wait().outcome for greenthread in greenthreads]
        assert "not-run" not in outcomes
    runs = runs_by_key(read_ledgers(tmp_path))
    assert all(runs[key] <= 1 for key in keys)


def test_a_key_never_runs_again_after_a_holder_is_lost(mesh, tmp_path):
    """Guard against a second run of a key after a holder crashed.

    Each of three proxies is killed in turn, so that for each key either of
    its two holders is lost once. The answer may then be unknown.
    """
    keys = [make_key(mesh) for _ in range(30)]
    answers = {key: pay(mesh, key, PROXIES[0]) for key in keys}
    assert {answer.outcome for answer in answers.values()} == {"answered"}
    for killed in PROXIES:
        mesh.kill(killed)
        remaining = [proxy for proxy in PROXIES if proxy != killed]
        for key in keys:
            repeated = pay(mesh, key, remaining[0])
            assert repeated.outcome in ("answered", "unknown"), repeated
            if repeated.outcome == "answered":
                assert repeated.body == answers[key].body
        mesh.restart(killed)
        eventlet.sleep(2)
    runs = runs_by_key(read_ledgers(tmp_path))
    assert {runs[key] for key in keys} == {1}


def test_rolling_restarts_lose_no_answer(mesh, tmp_path):
    keys = [make_key(mesh) for _ in range(20)]
    answers = {key: pay(mesh, key, PROXIES[0]) for key in keys}
    assert {answer.outcome for answer in answers.values()} == {"answered"}
    for proxy in PROXIES:
        mesh.terminate(proxy)
        mesh.child(proxy).wait()
        mesh.restart(proxy)
        wait_for_records(mesh)
        assert_answered_again(mesh, answers, proxy)
    runs = runs_by_key(read_ledgers(tmp_path))
    assert {runs[key] for key in keys} == {1}


def test_restarts_right_after_each_other_lose_no_answer(mesh, tmp_path):
    """Each proxy is told to stop as soon as the one before it is back.

    A proxy that left at once would take records with it that the others have
    not transferred yet.
    """
    keys = [make_key(mesh) for _ in range(20)]
    answers = {key: pay(mesh, key, PROXIES[0]) for key in keys}
    assert {answer.outcome for answer in answers.values()} == {"answered"}
    for proxy in PROXIES:
        mesh.terminate(proxy)
        mesh.child(proxy).wait()
        mesh.restart(proxy)
    wait_for_records(mesh)
    assert_answered_again(mesh, answers, PROXIES[1])
    runs = runs_by_key(read_ledgers(tmp_path))
    assert {runs[key] for key in keys} == {1}


def test_a_key_without_its_time_of_issue_is_refused(mesh):
    answer = pay(mesh, "order-1", PROXIES[0])
    assert answer.status == 400
    assert answer.outcome == "not-run"
    assert answer.value["reason"] == "bad-key"
