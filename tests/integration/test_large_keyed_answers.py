"""Guard against a process that large answers to keyed requests end.

Real processes with the limits of the users' machines. Both proxies have a
target and hold records, so that an answer is to be recorded at another host.
"""

import random
import time

import pytest

from tests.integration.request_load import MESH_TEXT, SERVICE
from tests.integration.test_large_bodies import PROXIES
from tests.support.endless_target import (
    LARGE_BODY,
    LARGE_BODY_BYTES,
    start_endless_target,
)
from tests.support.harness import Mesh
from tests.support.memory import BODY_LIMITS, MAX_MEMORY_KB, peak_memory_kb
from verbenanotch.idempotency import new_key

ANSWERS = 4


@pytest.fixture
def mesh(tmp_path):
    with Mesh(
        folder=tmp_path,
        control_hosts_per_zone=1,
        proxies_per_zone=len(PROXIES),
        overrides={"proxy": {**BODY_LIMITS, "probe_targets": False}},
    ) as running:
        targets = [
            start_endless_target(
                running, name, service=SERVICE, kind=LARGE_BODY
            )
            for name in PROXIES
        ]
        running.accept(MESH_TEXT)
        yield running
        for target in targets:
            target.stop()


def test_large_answers_to_keyed_requests_fit_into_the_memory(mesh):
    """They were encoded twice for records that can't be made of them."""

    def is_answered_whole():
        key = new_key(now_ms=time.time_ns() // 1_000_000, random=random)
        answer = mesh.call("POST", "/pay/1", proxy=PROXIES[1], key=key)
        return len(answer.body) == LARGE_BODY_BYTES

    for _ in range(ANSWERS):
        mesh.wait_until(is_answered_whole, what="large answer")
    for name in PROXIES:
        assert peak_memory_kb(mesh, name) < MAX_MEMORY_KB
