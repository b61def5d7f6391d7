"""Stops, kills, departures and changes in series that overlap.

Real processes. Callers keep their connections until a process is gone; some
of their requests fill the slots of a target, so that others wait. With
planned work alone, what was read has to be answered. With kills of all, too,
nothing runs twice or after a refusal, no departed target is used, and no
acknowledged change is lost. VERBENANOTCH_FIRST_SEED and VERBENANOTCH_SEEDS
choose other seeds.
"""

import contextlib
import http.client
import random
import signal
import time
import uuid

import attrs
import eventlet
import pytest

from examples import topology as plans
from examples.stand_in_target import ID_HEADER
from tests.support.departures import LeavingTargets
from tests.support.harness import Mesh
from tests.support.kept_caller import KeptResult, make_callers
from tests.support.ledger import read_ledgers, runs_by_request_id
from tests.support.seeds import chosen_seeds
from tests.support.verdicts import lost, refused_but_run, run_twice
from verbenanotch.catalog import Version
from verbenanotch.cli.commands.submit import submit_file
from verbenanotch.cli.exceptions import ToolError

SEEDS = chosen_seeds(1)
PROXIES = ["z1-proxy-1", "z1-proxy-2", "z1-proxy-3"]
CONTROL_HOSTS = ["z1-control-1", "z1-control-2", "z1-control-3"]
SLOTS = 4
SLOW_SLOTS = 2
LOAD_SECONDS = 7.0
CALLERS_PER_PROXY = 3
WAITING_CALLERS_PER_PROXY = 4
MAX_PAUSE_SECONDS = 0.5
MAX_BODY_BYTES = 1_000_000
# Longer than from the start of a stop to its cut, so that others wait then.
LONG_MS = 5500
SHORT_MS = 50
LONG_SHARE = 0.5
CALLER_TIMEOUT_SECONDS = 20.0
RACING_CHANGES = 3
ATTEMPT_SECONDS = 2.0
# Of the proxies, in a kill of many processes.
KILLED_SHARE = 0.6
STOP_SECONDS = 6
# The users excuse a cut in the last sixth of a stop only of these requests.
EXCUSED_SECONDS = 3.0
SETTINGS = {
    "stop_seconds": STOP_SECONDS,
    "max_body_bytes": MAX_BODY_BYTES,
    "max_receiving_bytes": 100_000_000,
    "unrouted_is_missing": True,
    "fractional_retry_after": True,
    "headers": {"target_id": ID_HEADER},
}


def mesh_text(name):
    return f"""
name = "{name}"

[services.pay]
slots = {SLOTS}
cold_start_ms = 0

[services.slow]
slots = {SLOW_SLOTS}
cold_start_ms = 0

[routes.pay]
prefix = "/pay"
service = "pay"
timeout_ms = 4000
idempotent_methods = ["GET", "PUT"]

[routes.slow]
prefix = "/slow"
service = "slow"
timeout_ms = 15000
"""


@pytest.fixture
def mesh(tmp_path):
    plan = Mesh(
        folder=tmp_path,
        proxies_per_zone=len(PROXIES),
        overrides={"proxy": SETTINGS},
    )
    with plan as running:
        for name in PROXIES:
            running.start_target(name, "pay", slots=SLOTS)
        running.start_target(PROXIES[0], "slow", slots=SLOW_SLOTS)
        running.version = running.accept(mesh_text("first"))
        running.wait_until(
            lambda: all(
                running.call("GET", path, proxy=name).outcome == "answered"
                for name in PROXIES
                for path in ("/pay/1", "/slow/1")
            ),
            what="served requests",
        )
        yield running


@attrs.define(kw_only=True)
class WaitingCaller:
    """Send long and short requests to a service that has few slots."""

    address: str
    seed: int
    results: list = attrs.field(factory=list)
    _is_stopping: bool = False
    _greenthread: object = None

    def start(self):
        """Send in the background."""
        self._greenthread = eventlet.spawn(self._run)

    def stop(self):
        """Wait for the answer to the last request."""
        self._is_stopping = True
        self._greenthread.wait()

    def _run(self):
        chance = random.Random(self.seed)
        while not self._is_stopping:
            connection = http.client.HTTPConnection(
                self.address, plans.CALLER_PORT, timeout=CALLER_TIMEOUT_SECONDS
            )
            with contextlib.closing(connection):
                try:
                    connection.connect()
                except OSError:
                    eventlet.sleep(chance.random() * MAX_PAUSE_SECONDS)
                    continue
                while not self._is_stopping and self._send(connection, chance):
                    eventlet.sleep(chance.random() * MAX_PAUSE_SECONDS)
            eventlet.sleep(chance.random() * MAX_PAUSE_SECONDS)

    def _send(self, connection, chance):
        """Send one request; return whether the connection is kept."""
        is_long = chance.random() < LONG_SHARE
        result = KeptResult(
            request_id=f"waits{self.seed}-{len(self.results)}",
            method="POST",
            kind="long" if is_long else "short",
        )
        self.results.append(result)
        work_ms = LONG_MS if is_long else SHORT_MS
        try:
            connection.request(
                "POST",
                f"/slow/1?latency_ms={work_ms}",
                headers={"X-Request-Id": result.request_id},
            )
            result.is_whole = True
            result.sent_at = time.monotonic()
            response = connection.getresponse()
            response.read()
            result.status = response.status
        except (OSError, http.client.HTTPException):
            result.waited_seconds = time.monotonic() - result.sent_at
            return False
        return not response.will_close


@attrs.define(kw_only=True)
class Disturbances:
    """Series of disturbances of a mesh, at random times until `end`.

    `accepted_by_base` has the versions of the changes that were accepted,
    `stops` pairs of a proxy and the monotonic seconds of its first SIGTERM.
    """

    mesh: object
    chance: random.Random
    end: float
    leaving: LeavingTargets
    _kills: bool = False
    accepted_by_base: dict = attrs.field(factory=dict)
    stops: list = attrs.field(factory=list)

    def stop_proxies(self):
        """Stop one proxy after the other, at times by several signals."""
        while self._go_on():
            name = self.chance.choice(PROXIES)
            self.mesh.wait_ready(name)
            if self.chance.random() < 0.3:
                self.mesh.child(name).signal(signal.SIGHUP)
            self.stops.append((name, time.monotonic()))
            self.mesh.terminate(name)
            if self.chance.random() < 0.5:
                eventlet.sleep(self.chance.random())
                self.mesh.terminate(name)
            code = self.mesh.child(name).wait()
            assert code == 0 or self._kills
            self._start([name])

    def kill_many(self):
        """Kill all control hosts and some proxies at the same moment."""
        self._kills = True
        while self._go_on():
            killed = [
                name for name in PROXIES if self.chance.random() < KILLED_SHARE
            ]
            killed += CONTROL_HOSTS
            for name in killed:
                self.mesh.kill(name)
            eventlet.sleep(self.chance.random() * MAX_PAUSE_SECONDS)
            self._start(killed)

    def restart_control_hosts(self):
        """Kill a control host, freeze another one meanwhile."""
        while self._go_on():
            killed, frozen = self.chance.sample(CONTROL_HOSTS, 2)
            self.mesh.freeze(frozen)
            eventlet.sleep(self.chance.random() * 0.1)
            self.mesh.kill(killed)
            self.mesh.start_host(killed)
            eventlet.sleep(self.chance.random())
            self.mesh.thaw(frozen)
            self.mesh.wait_ready(killed)

    def let_targets_leave(self):
        """Let one target after the other leave and start again."""
        names = [name for name in self.mesh.targets() if "-pay-" in name]
        while self._go_on():
            self.leaving.leave(self.chance.choice(names))

    def change(self):
        """Submit several changes on one version at once."""
        base = self.mesh.version
        number = 0
        while self._go_on():
            number += 1
            attempts = [
                eventlet.spawn(self._submit, f"race-{number}-{each}", base)
                for each in range(RACING_CHANGES)
            ]
            versions = [attempt.wait() for attempt in attempts]
            accepted = [version for version in versions if version]
            self.accepted_by_base.setdefault(base, set()).update(accepted)
            base = read_newest(self.mesh) or base

    def _submit(self, name, base):
        """Return the version of a change that is accepted, else None."""
        try:
            reply = submit_file(
                self.mesh.client,
                text=mesh_text(name).encode(),
                submission_id=uuid.uuid4().hex,
                operator="tester",
                base=base,
                timeout_seconds=ATTEMPT_SECONDS,
            )
        except ToolError:
            return None
        if reply.kind != "accepted":
            return None
        return Version.parse(reply.value["version"])

    def _start(self, names):
        """Start hosts unless another series has; wait until they are ready."""
        for name in names:
            if not self.mesh.child(name).is_alive:
                self.mesh.start_host(name)
        for name in names:
            self.mesh.wait_ready(name)

    def _go_on(self):
        eventlet.sleep(self.chance.random() * MAX_PAUSE_SECONDS)
        return time.monotonic() < self.end


def read_history(mesh):
    """Return all accepted versions, None while no host can tell them."""
    try:
        reply = mesh.client.request("GET", "/v1/versions")
    except ToolError:
        return None
    return {Version.parse(each["version"]) for each in reply.value["versions"]}


def read_newest(mesh):
    return max(read_history(mesh) or (), default=None)


def play(mesh, seed, kinds, *, further_kinds=()):
    """Play disturbances under load; return them and results by proxy.

    Some of the `further_kinds` are played besides all `kinds`.
    """
    chance = random.Random(seed)
    callers = make_callers(
        mesh,
        proxies=PROXIES,
        callers_per_proxy=CALLERS_PER_PROXY,
        seed=seed,
        max_body_bytes=MAX_BODY_BYTES,
    )
    callers += [
        (
            name,
            WaitingCaller(
                address=mesh.topology.hosts_by_name[name].address,
                seed=100 * seed + 10 * place + number,
            ),
        )
        for place, name in enumerate(PROXIES)
        for number in range(WAITING_CALLERS_PER_PROXY)
    ]
    for _, caller in callers:
        caller.start()
    disturbances = Disturbances(
        mesh=mesh,
        chance=chance,
        end=time.monotonic() + LOAD_SECONDS,
        leaving=LeavingTargets(mesh=mesh, chance=chance),
    )
    series = [
        eventlet.spawn(getattr(disturbances, kind))
        for kind in kinds
        + [kind for kind in further_kinds if chance.random() < 0.5]
    ]
    for each in series:
        each.wait()
    for stop in [eventlet.spawn(caller.stop) for _, caller in callers]:
        stop.wait()
    results_by_proxy = {name: [] for name in PROXIES}
    for name, caller in callers:
        results_by_proxy[name] += caller.results
    return disturbances, results_by_proxy


def is_excused(result, proxy, disturbances):
    """Return whether a request may be cut.

    Its target was at work in the last sixth of a stop, and it was sent in the
    stop's first three seconds at the latest.
    """
    cut_at = result.sent_at + result.waited_seconds
    return any(
        name == proxy
        and result.sent_at <= stopped_at + EXCUSED_SECONDS
        and cut_at >= stopped_at + STOP_SECONDS * 5 / 6
        and cut_at <= stopped_at + STOP_SECONDS + 1.0
        for name, stopped_at in disturbances.stops
    )


def assert_safe(mesh, disturbances, results_by_proxy, folder):
    """Check what holds under all disturbances."""
    results = [each for few in results_by_proxy.values() for each in few]
    entries = read_ledgers(folder)
    runs = runs_by_request_id(entries)
    assert refused_but_run(results, runs) == []
    assert run_twice(results, runs) == []
    assert [
        (departure, entry)
        for departure in disturbances.leaving.departures
        for entry in entries
        if departure.includes(entry)
    ] == []
    accepted_by_base = disturbances.accepted_by_base
    assert [each for each in accepted_by_base.values() if len(each) > 1] == []
    accepted = set().union(*accepted_by_base.values())
    mesh.wait_until(
        lambda: accepted <= (read_history(mesh) or set()),
        what="the accepted changes",
    )


@pytest.mark.parametrize("seed", SEEDS)
def test_planned_work_cuts_no_request_that_was_read(mesh, tmp_path, seed):
    disturbances, results = play(
        mesh,
        seed,
        ["stop_proxies"],
        further_kinds=["change", "let_targets_leave"],
    )
    assert_safe(mesh, disturbances, results, tmp_path)
    runs = runs_by_request_id(read_ledgers(tmp_path))
    for proxy, few in results.items():
        assert [
            result
            for result in lost(few, runs)
            if result.request_id not in runs
            or not is_excused(result, proxy, disturbances)
        ] == []
        assert 200 in {result.status for result in few}


@pytest.mark.parametrize("seed", SEEDS)
def test_kills_of_all_lose_nothing_that_was_acknowledged(mesh, tmp_path, seed):
    disturbances, results = play(
        mesh,
        seed,
        ["kill_many", "let_targets_leave"],
        further_kinds=["change", "stop_proxies"],
    )
    assert_safe(mesh, disturbances, results, tmp_path)


@pytest.mark.parametrize("seed", SEEDS)
def test_changes_race_while_control_hosts_restart(mesh, tmp_path, seed):
    disturbances, results = play(
        mesh, seed, ["restart_control_hosts", "change"]
    )
    assert disturbances.accepted_by_base
    assert_safe(mesh, disturbances, results, tmp_path)
