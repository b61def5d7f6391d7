"""Guard against a target that answers without end, in a head or a body.

Real processes; the only target of the service sends bytes until its proxy
closes the connection.
"""

import itertools
import random
import time

import eventlet
import pytest
import urllib3

from tests.integration.request_load import MESH_TEXT, SERVICE
from tests.support.endless_target import PARTS_BY_KIND, start_endless_target
from tests.support.harness import Mesh
from tests.support.memory import BODY_LIMITS, MAX_MEMORY_KB, peak_memory_kb
from verbenanotch.idempotency import new_key

PROXIES = ["z1-proxy-1", "z1-proxy-2"]
CONCURRENT_CALLS = 50
SLOTS = 64
MAX_TRIES = 20
TIMEOUT_MS = 1500

_path_numbers = itertools.count(1)


@pytest.fixture(scope="module")
def mesh(tmp_path_factory):
    with Mesh(
        folder=tmp_path_factory.mktemp("mesh"),
        control_hosts_per_zone=1,
        proxies_per_zone=len(PROXIES),
        overrides={
            "proxy": {
                **BODY_LIMITS,
                "targets_may_omit_length": True,
                "probe_targets": False,
            }
        },
    ) as running:
        running.accept(MESH_TEXT)
        yield running


@pytest.fixture
def path():
    """Return a path that no other test calls.

    A call that arrives late is broken off by the end of its test's target,
    which is a crash. Requests with the path are refused after two of them.
    """
    return f"/pay/{next(_path_numbers)}"


@pytest.fixture(params=sorted(PARTS_BY_KIND))
def endless(request, mesh, path):
    target = start_endless_target(
        mesh, PROXIES[0], service=SERVICE, kind=request.param, slots=SLOTS
    )
    # A call whose deadline passes on the way is unknown as well, so that only
    # the target tells that it is in use.
    mesh.wait_until(
        lambda: (
            call(mesh, path, timeout_ms=50).outcome == "unknown"
            and target.request_count
        ),
        what="requests at the target",
    )
    yield target
    target.stop()


def call(mesh, path, *, timeout_ms=TIMEOUT_MS, proxy=PROXIES[1], **options):
    return mesh.call(
        "POST", path, proxy=proxy, timeout_ms=timeout_ms, **options
    )


def assert_memory_is_bounded(mesh):
    for proxy in PROXIES:
        assert peak_memory_kb(mesh, proxy) < MAX_MEMORY_KB


def test_answers_without_end_are_unknown_and_closed(mesh, path, endless):
    pool = eventlet.GreenPool()
    answers = list(
        pool.imap(lambda _: call(mesh, path), range(CONCURRENT_CALLS))
    )
    assert {answer.outcome for answer in answers} == {"unknown"}
    mesh.wait_until(lambda: endless.open_count == 0, what="closed connections")
    assert_memory_is_bounded(mesh)


def test_answers_without_end_to_keyed_requests_are_unknown(
    mesh, path, endless
):
    pool = eventlet.GreenPool()
    keys = [
        new_key(now_ms=time.time_ns() // 1_000_000, random=random)
        for _ in range(CONCURRENT_CALLS)
    ]
    answers = list(pool.imap(lambda key: call(mesh, path, key=key), keys))
    assert {answer.outcome for answer in answers} == {"unknown"}
    mesh.wait_until(lambda: endless.open_count == 0, what="closed connections")
    assert_memory_is_bounded(mesh)


def test_answers_without_end_are_closed_once_the_caller_leaves(
    mesh, path, endless
):
    pool = eventlet.GreenPool()

    def leave(_):
        """Call until the caller leaves; return the answers before that.

        A caller that is stalled finds the answer of a proxy that has given
        up on the target by itself.
        """
        answers = []
        for _ in range(MAX_TRIES):
            try:
                answers.append(
                    call(mesh, path, timeout_ms=60_000, timeout_seconds=0.01)
                )
            except urllib3.exceptions.HTTPError:
                return answers
        pytest.fail(f"the caller never left: {answers}")

    for answers in pool.imap(leave, range(CONCURRENT_CALLS)):
        assert {answer.outcome for answer in answers} <= {"unknown"}
    mesh.wait_until(lambda: endless.open_count == 0, what="closed connections")
    assert_memory_is_bounded(mesh)
