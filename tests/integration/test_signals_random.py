"""Series of signals to all processes of a mesh that serves callers.

Real processes; callers keep their connections. VERBENANOTCH_FIRST_SEED and
VERBENANOTCH_SEEDS choose other seeds.
"""

import pathlib
import random
import re
import signal
import time

import attrs
import eventlet
import pytest

from tests.integration.request_load import (
    MESH_TEXT,
    SERVICE,
    Load,
    assert_consistent_with_ledgers,
)
from tests.support.harness import Mesh
from tests.support.seeds import chosen_seeds

SEEDS = chosen_seeds(1)
PROXIES = ["z1-proxy-1", "z1-proxy-2", "z1-proxy-3"]
CONTROL_HOSTS = ["z1-control-1", "z1-control-2", "z1-control-3"]
HOSTS = [*PROXIES, *CONTROL_HOSTS]
PLANNED_SECONDS = 8.0
SERIES_SECONDS = 6.0
MAX_PAUSE_SECONDS = 0.5
MAX_RELOADS = 5
MAX_RELOAD_GAP_SECONDS = 0.05
# Beyond the time that a start takes.
MAX_START_SECONDS = 1.2
MAX_FREEZE_SECONDS = 1.0
# The target of a proxy that was started announces itself within a second.
ANNOUNCE_SECONDS = 2.0
# Between two signals to a process that stops.
STORM_GAP_SECONDS = 0.001


@attrs.define(kw_only=True)
class Signals:
    """Signals to the processes of a mesh, at random times.

    `ended` has the name and code of each process that ended otherwise than
    by the signal that it got.
    """

    mesh: object
    chance: random.Random
    ended: list = attrs.field(factory=list)
    _stopping: set = attrs.field(factory=set)

    def play(self, name, kinds, seconds):
        """Send signals of some kinds to a host for some seconds."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            eventlet.sleep(self.chance.random() * MAX_PAUSE_SECONDS)
            getattr(self, self.chance.choice(kinds))(name)
            self._check(name)

    def reload(self, name):
        """Send some SIGHUP, one soon after the other."""
        for _ in range(self.chance.randint(1, MAX_RELOADS)):
            send_reload(self.mesh.child(name))
            eventlet.sleep(self.chance.random() * MAX_RELOAD_GAP_SECONDS)

    def stop(self, name):
        """Stop a host, with SIGHUP meanwhile; start it again."""
        self._terminate(name)
        self._start(name)

    def kill(self, name):
        """Kill a host and start it again."""
        self.mesh.kill(name)
        self._wait_for_end(name, -signal.SIGKILL)
        self._start(name)

    def freeze(self, name):
        """Suspend a host; signals arrive meanwhile."""
        self.mesh.freeze(name)
        self.reload(name)
        eventlet.sleep(self.chance.random() * MAX_FREEZE_SECONDS)
        self.mesh.thaw(name)

    def stop_at_start(self, name):
        """Start a host again, and stop it while it starts."""
        self.mesh.kill(name)
        self.mesh.start_host(name)
        eventlet.sleep(self.chance.random() * MAX_START_SECONDS)
        self._terminate(name)
        self._start(name)

    def _start(self, name):
        self.mesh.start_host(name)
        self._stopping.discard(name)
        eventlet.sleep(self.chance.random() * MAX_START_SECONDS)
        self.reload(name)

    def _terminate(self, name):
        """Stop a host; only one without a handler may end by the signal."""
        self._stopping.add(name)
        codes = [0]
        if not handles(self.mesh.child(name), signal.SIGTERM):
            codes.append(-signal.SIGTERM)
        self.mesh.terminate(name)
        self._wait_for_end(name, *codes)

    def _wait_for_end(self, name, *codes):
        child = self.mesh.child(name)
        while child.is_alive:
            send_reload(child)
            eventlet.sleep(MAX_RELOAD_GAP_SECONDS)
        if child.exit_code not in codes:
            self.ended.append((name, child.exit_code))

    def _check(self, name):
        child = self.mesh.child(name)
        if not child.is_alive and name not in self._stopping:
            self.ended.append((name, child.exit_code))
            self._start(name)


def handles(child, number):
    """Return whether a process has set an action for a signal.

    Before its first statement nothing in a daemon can.
    """
    try:
        status = pathlib.Path(f"/proc/{child.pid}/status").read_text()
    except OSError:
        return False
    masks = re.findall(r"^Sig(?:Ign|Cgt):\s*(\w+)", status, re.MULTILINE)
    return any(int(mask, 16) & 1 << number - 1 for mask in masks)


def send_reload(child):
    """Send SIGHUP to a process that handles it."""
    if handles(child, signal.SIGHUP):
        child.signal(signal.SIGHUP)


@pytest.fixture
def mesh(tmp_path):
    with Mesh(folder=tmp_path, proxies_per_zone=3) as running:
        for proxy in PROXIES:
            running.start_target(proxy, SERVICE, latency_ms=50)
        running.accept(MESH_TEXT)
        wait_until_served(running)
        yield running


def wait_until_served(mesh):
    """Wait until each proxy serves callers."""
    for proxy in PROXIES:
        mesh.wait_ready(proxy)
    mesh.wait_until(
        lambda: all(
            mesh.call("GET", "/pay/1", proxy=proxy).outcome == "answered"
            for proxy in PROXIES
        ),
        what="served requests",
    )


def play_planned(signals):
    """Stop one proxy and one control host at a time; reload all at times."""
    reloads = [
        eventlet.spawn(signals.play, name, ["reload"], PLANNED_SECONDS)
        for name in HOSTS
    ]
    for stopped in zip(PROXIES, CONTROL_HOSTS, strict=True):
        stops = [eventlet.spawn(signals.stop, name) for name in stopped]
        for greenthread in stops:
            greenthread.wait()
        for name in stopped:
            signals.mesh.wait_ready(name)
        eventlet.sleep(ANNOUNCE_SECONDS)
    for greenthread in reloads:
        greenthread.wait()


def play_all(signals):
    """Send signals of all kinds to all hosts at once."""
    kinds = ["reload", "stop", "kill", "freeze", "stop_at_start"]
    players = [
        eventlet.spawn(signals.play, name, kinds, SERIES_SECONDS)
        for name in HOSTS
    ]
    for greenthread in players:
        greenthread.wait()


@pytest.mark.parametrize("seed", SEEDS)
def test_requests_are_answered_around_planned_signals(mesh, tmp_path, seed):
    signals = Signals(mesh=mesh, chance=random.Random(seed))
    with Load(mesh=mesh, proxies=PROXIES, seed=seed) as load:
        play_planned(signals)
    assert signals.ended == []
    assert_consistent_with_ledgers(load, tmp_path)
    assert [r for r in load.results if r.outcome != "answered"] == []


@pytest.mark.parametrize("seed", SEEDS)
def test_no_process_ends_by_itself_in_a_series_of_signals(
    mesh, tmp_path, seed
):
    signals = Signals(mesh=mesh, chance=random.Random(seed))
    with Load(mesh=mesh, proxies=PROXIES, seed=seed) as load:
        play_all(signals)
    assert signals.ended == []
    assert_consistent_with_ledgers(load, tmp_path)
    wait_until_served(mesh)
    for name in CONTROL_HOSTS:
        mesh.wait_ready(name)


@pytest.mark.parametrize("name", ["z1-control-1", "z1-proxy-1"])
def test_a_process_that_stops_is_not_ended_by_a_signal(mesh, name):
    """Guard against the default action at the end of the interpreter."""
    child = mesh.child(name)
    mesh.terminate(name)
    while child.is_alive:
        child.signal(signal.SIGHUP)
        child.signal(signal.SIGTERM)
        time.sleep(STORM_GAP_SECONDS)
    assert child.exit_code == 0
