"""Targets that break off, and proxies that end while they pass answers on.

Real proxies with targets that close and reset their connections at any
moment. VERBENANOTCH_FIRST_SEED and VERBENANOTCH_SEEDS choose other seeds.
"""

import collections
import random
import signal
import time

import attrs
import eventlet
import pytest

from examples import topology as plans
from tests.support.harness import Mesh
from tests.support.kept_caller import make_callers
from tests.support.rude_target import RudeTarget
from tests.support.seeds import chosen_seeds
from tests.support.verdicts import (
    LOSS_SLACK_SECONDS,
    is_lost,
    refused_but_run,
    run_twice,
)

SEEDS = chosen_seeds(1)
SERVICE = "pay"
SLOTS = 6
WITH_TARGETS = ["z1-proxy-1", "z1-proxy-2"]
PROXIES = [*WITH_TARGETS, "z1-proxy-3"]
CALLERS_PER_PROXY = 5
LOAD_SECONDS = 12.0
MAX_PAUSE_SECONDS = 0.8
MAX_BODY_BYTES = 1_000_000
STOP_SECONDS = 6
# Beyond the time that a stop may take.
EXIT_SLACK_SECONDS = 2.0
# A caller that reads slowly sees the end of its connection later.
KILL_SLACK_SECONDS = 1.5
INTERNAL_ERRORS = (
    '"answer-failed"',
    '"background-failed"',
    '"greenthread-failed"',
    '"http-request-failed"',
    '"request-failed"',
)
SETTINGS = {
    "stop_seconds": STOP_SECONDS,
    "max_body_bytes": MAX_BODY_BYTES,
    "max_receiving_bytes": 100_000_000,
}
MESH_TEXT = f"""
name = "breaks"

[services.{SERVICE}]
slots = {SLOTS}
cold_start_ms = 0

[routes.{SERVICE}]
prefix = "/pay"
service = "{SERVICE}"
timeout_ms = 4000
idempotent_methods = ["GET", "PUT"]
"""


@attrs.define(kw_only=True)
class Faults:
    """Signals to the proxies, at random times.

    `killed_at` has the times of the kills by proxy, in monotonic seconds;
    `ended` the name and code of each process that ended otherwise than by the
    signal that it got, or too late.
    """

    mesh: object
    chance: random.Random
    killed_at: dict = attrs.field(
        factory=lambda: collections.defaultdict(list)
    )
    stopped: set = attrs.field(factory=set)
    ended: list = attrs.field(factory=list)

    def play(self, proxy, end):
        """Send signals to one proxy, and start it again when it ends."""
        while time.monotonic() < end:
            eventlet.sleep(self.chance.random() * MAX_PAUSE_SECONDS)
            kind = self.chance.choice(("hup", "hup", "term", "int", "kill"))
            if self.mesh.child(proxy).exit_code is not None:
                self.ended.append((proxy, self.mesh.child(proxy).exit_code))
            elif kind == "hup":
                self.mesh.child(proxy).signal(signal.SIGHUP)
                continue
            elif kind == "kill":
                self.killed_at[proxy].append(time.monotonic())
                self.mesh.kill(proxy)
            else:
                self._stop(proxy, getattr(signal, f"SIG{kind.upper()}"))
            self.mesh.start_host(proxy)
            self.mesh.wait_ready(proxy)

    def _stop(self, proxy, number):
        child = self.mesh.child(proxy)
        self.stopped.add(proxy)
        child.signal(number)
        end = time.monotonic() + STOP_SECONDS + EXIT_SLACK_SECONDS
        while child.is_alive and time.monotonic() < end:
            eventlet.sleep(self.chance.random() * 0.1)
            child.signal(self.chance.choice((signal.SIGHUP, number)))
        if child.exit_code != 0:
            self.ended.append((proxy, child.exit_code))
            child.kill()

    def explains(self, proxy, result):
        """Return whether a kill of its proxy ended a result's connection."""
        ended_at = result.sent_at + result.waited_seconds
        return any(
            killed_at - LOSS_SLACK_SECONDS
            <= ended_at
            <= killed_at + KILL_SLACK_SECONDS
            for killed_at in self.killed_at[proxy]
        )


@pytest.fixture
def mesh(tmp_path):
    with Mesh(
        folder=tmp_path,
        control_hosts_per_zone=1,
        proxies_per_zone=len(PROXIES),
        overrides={"proxy": SETTINGS},
    ) as running:
        running.accept(MESH_TEXT)
        yield running


@pytest.fixture
def make_targets(mesh):
    targets = []

    def make(seed):
        for number, name in enumerate(WITH_TARGETS):
            host = mesh.topology.hosts_by_name[name]
            target = RudeTarget(
                address=host.address, seed=len(WITH_TARGETS) * seed + number
            )
            target.start(
                proxy=host.server(plans.TARGET_PORT),
                service=SERVICE,
                slots=SLOTS,
            )
            targets.append(target)
        mesh.wait_until(
            lambda: all(
                mesh.call("GET", "/pay/1", proxy=name).outcome == "answered"
                for name in PROXIES
            ),
            what="served requests",
        )
        return targets

    yield make
    for target in targets:
        target.stop()


def is_cut(result, *, has_stops):
    """Return whether a request was reset while its body was sent."""
    return (
        result.is_cut
        and result.kind != "burst"
        and bool(result.status or not has_stops)
    )


@pytest.mark.parametrize("seed", SEEDS)
def test_requests_end_truthfully_while_targets_and_proxies_break_off(
    mesh, make_targets, seed
):
    targets = make_targets(seed)
    callers = make_callers(
        mesh,
        proxies=PROXIES,
        callers_per_proxy=CALLERS_PER_PROXY,
        seed=seed,
        max_body_bytes=MAX_BODY_BYTES,
    )
    for _, caller in callers:
        caller.start()
    chance = random.Random(seed)
    faults = Faults(mesh=mesh, chance=chance)
    end = time.monotonic() + LOAD_SECONDS
    disturbed = chance.sample(PROXIES, chance.randint(0, len(PROXIES)))
    players = [eventlet.spawn(faults.play, name, end) for name in disturbed]
    for player in players:
        player.wait()
    eventlet.sleep(max(0, end - time.monotonic()))
    for _, caller in callers:
        caller.stop()
    for target in targets:
        wait_until_used(mesh, target)
    runs = sum((target.runs for target in targets), collections.Counter())
    refused = set().union(*(target.refused for target in targets))
    assert_answered(callers, runs, faults)
    assert_truthful(callers, runs, refused)
    assert_no_internal_errors(mesh)


def wait_until_used(mesh, target):
    """Wait until a target gets requests; it listens all the time."""
    before = target.runs.total()

    def is_used():
        mesh.call("GET", "/pay/1", proxy=PROXIES[-1])
        return target.runs.total() > before

    mesh.wait_until(is_used, what=f"requests at the target {target.port}")


def assert_answered(callers, runs, faults):
    """Assert that requests lost or cut are those of a killed proxy."""
    assert faults.ended == []
    assert [
        (proxy, result)
        for proxy, caller in callers
        for result in caller.results
        if (
            is_lost(result, runs)
            or is_cut(result, has_stops=proxy in faults.stopped)
        )
        and not faults.explains(proxy, result)
    ] == []


def assert_no_internal_errors(mesh):
    """Assert that no process has logged an error of its own."""
    for path in mesh.event_paths():
        text = path.read_text(encoding="utf-8")
        assert [error for error in INTERNAL_ERRORS if error in text] == []


def assert_truthful(callers, runs, refused):
    """Assert that no answer says what did not happen."""
    results = [result for _, caller in callers for result in caller.results]
    assert refused_but_run(results, runs) == []
    assert run_twice(results, runs) == []
    assert [
        result
        for result in results
        if result.status == 200 and result.request_id not in runs
    ] == []
    assert [
        result
        for result in results
        if result.status == 413
        and result.kind != "oversize"
        and result.request_id not in refused
    ] == []
    assert all(result.shows_own_id for result in results)
    answered = [result for result in results if result.status == 200]
    assert len(answered) > len(results) / 3
