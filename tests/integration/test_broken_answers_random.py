"""Broken answers of targets, while proxies and configurations change.

Real proxies with targets that break off within answers to long uploads, and
send heads and trailers that are no HTTP. VERBENANOTCH_FIRST_SEED and
VERBENANOTCH_SEEDS choose other seeds.
"""

import collections
import contextlib
import random
import time

import eventlet
import pytest
import urllib3

from examples import topology as plans
from tests.integration.test_breaks_random import (
    SETTINGS,
    Faults,
    assert_answered,
    assert_no_internal_errors,
    assert_truthful,
)
from tests.support.broken_target import BROKEN_ID, BrokenTarget
from tests.support.harness import Mesh
from tests.support.kept_caller import make_callers
from tests.support.seeds import chosen_seeds
from verbenanotch.idempotency import new_key

SEEDS = chosen_seeds(3)
SERVICE = "pay"
SLOTS = 6
WITH_TARGETS = ["z1-proxy-1", "z1-proxy-2"]
PROXIES = [*WITH_TARGETS, "z1-proxy-3"]
CALLERS_PER_PROXY = 4
LOAD_SECONDS = 12.0
MAX_PAUSE_SECONDS = 0.5
MAX_KEY_PAUSE_SECONDS = 0.05
# Also more than the buffers between a proxy and its target take.
MAX_UPLOAD_BYTES = 2_000_000
MAX_BODY_BYTES = 3_000_000
KEYED_BODY = b"x" * 300_000
KEY_USES = 3


def mesh_text(changes):
    return f"""
name = "broken-{changes}"

[services.{SERVICE}]
slots = {SLOTS}
cold_start_ms = 0

[routes.{SERVICE}]
prefix = "/pay"
service = "{SERVICE}"
timeout_ms = {4000 + changes}
idempotent_methods = ["GET", "PUT"]
"""


@pytest.fixture
def mesh(tmp_path, seed):
    settings = SETTINGS | {
        "max_body_bytes": MAX_BODY_BYTES,
        "targets_may_omit_length": True,
        "targets_echo_request_id": seed % 2 == 0,
    }
    with Mesh(
        folder=tmp_path,
        control_hosts_per_zone=1,
        proxies_per_zone=len(PROXIES),
        overrides={"proxy": settings},
    ) as running:
        running.version = running.accept(mesh_text(0))
        yield running


@pytest.fixture
def targets(mesh, seed):
    started = []
    for number, name in enumerate(WITH_TARGETS):
        host = mesh.topology.hosts_by_name[name]
        target = BrokenTarget(
            address=host.address, seed=len(WITH_TARGETS) * seed + number
        )
        target.start(
            proxy=host.server(plans.TARGET_PORT), service=SERVICE, slots=SLOTS
        )
        started.append(target)
    mesh.wait_until(
        lambda: all(
            mesh.call("GET", "/pay/1", proxy=name).outcome == "answered"
            for name in PROXIES
        ),
        what="served requests",
    )
    yield started
    for target in started:
        target.stop()


def change_configuration(mesh, chance, end):
    changes = 0
    while time.monotonic() < end:
        eventlet.sleep(chance.random() * MAX_PAUSE_SECONDS)
        changes += 1
        reply = mesh.submit(mesh_text(changes), base=mesh.version)
        assert reply.kind == "accepted", reply
        mesh.version = type(mesh.version).parse(reply.value["version"])


def send_keyed(mesh, chance, end):
    """Send each key several times; return the answers by key."""
    answers_by_key = collections.defaultdict(list)
    while time.monotonic() < end:
        key = new_key(now_ms=int(time.time() * 1000), random=chance)
        for _ in range(KEY_USES):
            eventlet.sleep(chance.random() * MAX_KEY_PAUSE_SECONDS)
            # A proxy may be down, or be killed before it answers.
            with contextlib.suppress(urllib3.exceptions.HTTPError):
                answers_by_key[key].append(
                    mesh.call(
                        "POST",
                        "/pay/1",
                        proxy=chance.choice(PROXIES),
                        key=key,
                        request_id=f"keyed-{key}",
                        body=KEYED_BODY,
                    )
                )
    return answers_by_key


@pytest.mark.parametrize("seed", SEEDS)
def test_no_caller_gets_a_broken_answer(mesh, targets, seed):
    callers = make_callers(
        mesh,
        proxies=PROXIES,
        callers_per_proxy=CALLERS_PER_PROXY,
        seed=seed,
        max_body_bytes=MAX_BODY_BYTES,
        max_upload_bytes=MAX_UPLOAD_BYTES,
    )
    for _, caller in callers:
        caller.start()
    chance = random.Random(seed)
    faults = Faults(mesh=mesh, chance=chance)
    end = time.monotonic() + LOAD_SECONDS
    keyed = eventlet.spawn(send_keyed, mesh, random.Random(seed + 1), end)
    players = [
        eventlet.spawn(faults.play, name, end)
        for name in chance.sample(PROXIES, chance.randint(0, len(PROXIES)))
    ]
    if chance.random() < 0.5:
        players.append(
            eventlet.spawn(
                change_configuration, mesh, random.Random(seed + 2), end
            )
        )
    for player in players:
        player.wait()
    answers_by_key = keyed.wait()
    for _, caller in callers:
        caller.stop()
    runs = sum((target.runs for target in targets), collections.Counter())
    refused = set().union(*(target.refused for target in targets))
    assert_none_broken(callers, targets)
    assert_answered(callers, runs, faults)
    assert_keys_truthful(answers_by_key, runs)
    assert_truthful(callers, runs, refused)
    assert_no_internal_errors(mesh)


def assert_none_broken(callers, targets):
    """Assert that each 200 has the body that was sent for its request."""
    assert [
        (result, target.manners_by_id.get(result.request_id))
        for _, caller in callers
        for result in caller.results
        for target in targets
        if not result.shows_own_id
    ] == []


def assert_keys_truthful(answers_by_key, runs):
    """Assert that a key runs once, and is answered as its request was."""
    for key, answers in answers_by_key.items():
        request_id = f"keyed-{key}"
        assert runs[request_id] <= 1
        shown = {
            answer.value.get("request_id")
            for answer in answers
            if answer.status == 200
        }
        assert BROKEN_ID not in shown
        assert shown <= {request_id}
        assert not shown or runs[request_id] == 1
