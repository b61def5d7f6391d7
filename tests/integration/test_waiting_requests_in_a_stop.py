"""Guard against requests that wait when a planned stop ends, and are cut.

Real processes. Long requests take all slots of a target until after the cut;
others wait for a slot when a proxy is told to stop: that of their callers, or
that of the target.
"""

import eventlet
import pytest

from tests.support.harness import Mesh
from tests.support.ledger import read_ledgers, runs_by_request_id

SERVICE = "pay"
SLOTS = 2
WAITING = 4
TARGET_PROXY, CALLER_PROXY, OTHER_PROXY = (
    f"z1-proxy-{number}" for number in (1, 2, 3)
)
STOP_SECONDS = 6
LONG_MS = 8000
MESH_TEXT = f"""
name = "waits"

[services.{SERVICE}]
slots = {SLOTS}
cold_start_ms = 0

[routes.long]
prefix = "/long"
service = "{SERVICE}"
timeout_ms = 20000

[routes.short]
prefix = "/short"
service = "{SERVICE}"
timeout_ms = 20000
"""


@pytest.fixture
def mesh(tmp_path):
    with Mesh(
        folder=tmp_path,
        control_hosts_per_zone=1,
        proxies_per_zone=3,
        overrides={"proxy": {"stop_seconds": STOP_SECONDS}},
    ) as running:
        running.start_target(TARGET_PROXY, SERVICE, slots=SLOTS)
        running.accept(MESH_TEXT)
        running.wait_until(
            lambda: all(
                running.call("GET", "/short/1", proxy=name).outcome
                == "answered"
                for name in (TARGET_PROXY, CALLER_PROXY, OTHER_PROXY)
            ),
            what="served requests",
        )
        yield running


@pytest.mark.parametrize(
    ("long_at", "waiting_at"),
    [(OTHER_PROXY, CALLER_PROXY), (OTHER_PROXY, TARGET_PROXY)],
    ids=["callers-elsewhere", "callers-beside-the-target"],
)
def test_requests_that_wait_are_refused_in_a_stop(
    mesh, tmp_path, long_at, waiting_at
):
    """Guard against requests that get no answer though they have not run."""

    def call(path, name, number, proxy):
        return eventlet.spawn(
            mesh.call,
            "POST",
            path,
            proxy=proxy,
            request_id=f"{name}-{number}",
            timeout_ms=20000,
            timeout_seconds=20,
        )

    for number in range(SLOTS):
        call(f"/long/1?latency_ms={LONG_MS}", "long", number, long_at)
    eventlet.sleep(0.5)
    waiting = [
        call("/short/1", "waits", number, waiting_at)
        for number in range(WAITING)
    ]
    eventlet.sleep(0.5)
    mesh.terminate(waiting_at)
    answers = [each.wait() for each in waiting]
    assert mesh.child(waiting_at).wait() == 0
    assert [answer.outcome for answer in answers] == ["not-run"] * WAITING
    runs = runs_by_request_id(read_ledgers(tmp_path))
    assert [name for name in runs if name.startswith("waits")] == []
