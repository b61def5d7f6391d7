"""Detect whether a target that broke off a call has crashed."""

import contextlib
import time
import types

import attrs
import eventlet
import pytest

from tests.unit.test_local_targets import make_record
from tests.unit.test_proxy_peers import SETTINGS, make_call
from verbenanotch.distribution import Snapshot
from verbenanotch.proxy import CrashGuard, LocalTargets
from verbenanotch.proxy._cancellation import Cancellation
from verbenanotch.proxy._crash_detection import CRASH_RECHECK_SECONDS
from verbenanotch.proxy._outcome import Unknown
from verbenanotch.proxy._target_connection import TargetConnections
from verbenanotch.proxy._unfinished_calls import (
    MAX_OVERRUN_SECONDS,
    UnfinishedCalls,
)

WAIT_SECONDS = 5


class FakeGuard:
    """Record the calls whose targets have crashed."""

    def __init__(self):
        """Start without crashes."""
        self.crashed = []

    def refusal(self, call):
        """Refuse no call."""

    def running(self, call):
        """Let each call run."""
        return contextlib.nullcontext()

    def record_answer(self, call, status):
        """Do nothing; no call in these tests is answered."""

    def record_crash(self, call, crash_id):
        """Record a crash."""
        self.crashed.append(call)
        return ()

    def record_unfinished(self, calls, crash_id):
        """Record a crash of a target that may have run the calls."""
        self.crashed.extend(calls)


def make_targets(guard, listener):
    """Return LocalTargets with target i-1, which uses a listening socket."""
    targets = LocalTargets(
        settings=SETTINGS,
        incarnation=1,
        on_change=lambda: None,
        guard=guard,
        known_services=lambda: {"pay": None},
    )
    targets.announce(make_record(port=listener.getsockname()[1]))
    return targets


def run_call_at(targets, call):
    """Run a call and return its outcome."""
    return targets.run(
        call,
        sender="z1-proxy-1",
        deadline=time.monotonic() + WAIT_SECONDS,
        cancellation=Cancellation(),
    )


@pytest.fixture
def run():
    """Return a function that runs one call at a target.

    It takes `serve(listener)`, which accepts and closes the target's
    connections, and returns the LocalTargets and the crashed calls. A crash
    has to be known with the outcome of the call: the request may be repeated
    right after it.
    """
    guard = FakeGuard()

    def run_at(serve, *, max_idle=None):
        listener = eventlet.listen(("127.0.0.1", 0))
        server = eventlet.spawn(serve, listener)
        targets = make_targets(guard, listener)
        if max_idle is not None:
            targets.targets_by_id["i-1"].connections._max_idle = max_idle
        run_call_at(
            targets,
            make_call(target_id="i-1", service="pay", body=b"large"),
        )
        known_at_outcome = list(guard.crashed)
        server.wait()
        eventlet.sleep(4 * CRASH_RECHECK_SECONDS)
        assert guard.crashed == known_at_outcome
        listener.close()
        return targets, guard.crashed

    return run_at


def break_off(listener):
    """Accept a call and close its connection."""
    connection, _ = listener.accept()
    connection.recv(65536)
    connection.close()


def test_a_target_that_no_longer_listens_has_crashed(run):
    def serve(listener):
        connection, _ = listener.accept()
        connection.recv(65536)
        listener.close()
        connection.close()

    targets, crashed = run(serve)
    assert len(crashed) == 1
    assert targets.targets_by_id == {}


@pytest.mark.parametrize("error", [ConnectionResetError, TimeoutError])
def test_a_full_target_that_ends_new_connections_is_running(
    run, monkeypatch, error
):
    """It would get no requests until its next start."""
    connect = TargetConnections.connect
    attempts = []

    def connect_once(self, *, timeout_seconds):
        attempts.append(timeout_seconds)
        if len(attempts) > 1:
            raise error("the target is full")
        return connect(self, timeout_seconds=timeout_seconds)

    monkeypatch.setattr(TargetConnections, "connect", connect_once)
    targets, crashed = run(break_off)
    assert len(attempts) > 1
    assert crashed == []
    assert list(targets.targets_by_id) == ["i-1"]


def test_a_target_that_still_accepts_while_it_exits_has_crashed(run):
    def serve(listener):
        break_off(listener)
        probe, _ = listener.accept()
        listener.close()
        probe.close()

    targets, crashed = run(serve)
    assert len(crashed) == 1
    assert targets.targets_by_id == {}


def test_a_target_that_drops_a_connection_but_listens_is_running(run):
    def serve(listener):
        break_off(listener)
        probe, _ = listener.accept()
        probe.close()

    targets, crashed = run(serve)
    assert crashed == []
    assert "i-1" in targets.targets_by_id


def test_a_target_that_keeps_the_next_connection_is_running(run):
    kept = []

    def serve(listener):
        break_off(listener)
        kept.append(listener.accept())

    targets, crashed = run(serve)
    assert crashed == []
    assert "i-1" in targets.targets_by_id


def test_a_target_gets_no_request_that_its_proxy_knows_to_crash_targets():
    """Guard against a check at the entry proxy alone, which may not know."""
    guard = CrashGuard(
        settings=SETTINGS,
        snapshot_store=types.SimpleNamespace(snapshot=Snapshot()),
        post=lambda record, message: None,
    )
    call = make_call(target_id="i-1", service="pay", fingerprint=b"f")
    for crash_id in (b"1", b"2"):
        guard.record_crash(call, crash_id)
    listener = eventlet.listen(("127.0.0.1", 0))
    outcome = run_call_at(make_targets(guard, listener), call)
    listener.close()
    assert outcome.reason == "crashes-targets"


@pytest.mark.parametrize("target_id", ["i-1", "i-2"])
def test_a_target_that_restarts_at_once_has_crashed(run, target_id):
    """Guard against a crash that no probe sees, as the port is open again."""

    def serve(listener):
        break_off(listener)
        listener.accept()

    targets, crashed = run(serve)
    record = targets.targets_by_id["i-1"].record
    for restart in (1, 2):
        assert targets.announce(
            attrs.evolve(
                record,
                target_id=target_id,
                incarnation=record.incarnation + restart,
            )
        )
        assert [call.target_id for call in crashed] == ["i-1"]
        assert crashed[0].body == b""


@attrs.define(kw_only=True)
class SilentTarget:
    """A target that reads requests, answers none and can end."""

    listener: object
    connections: list = attrs.field(factory=list)
    _server: object = None

    def start(self):
        """Accept connections until the target ends."""
        self._server = eventlet.spawn(self._serve)

    def _serve(self):
        while True:
            self.connections.append(self.listener.accept()[0])

    def end(self):
        """Close all sockets, as the operating system does at an exit."""
        self._server.kill()
        self.listener.close()
        self.close_connections()

    def close_connections(self):
        """Close all connections, but still accept new ones."""
        while self.connections:
            self.connections.pop().close()


@attrs.define(kw_only=True)
class Unfinished:
    """A target with a call that ended unanswered, and the crashed calls."""

    target: SilentTarget
    targets: LocalTargets
    crashed: list

    def wait_for_crash(self):
        """Wait until a crash has been counted."""
        with eventlet.Timeout(WAIT_SECONDS):
            while not self.crashed:
                eventlet.sleep(CRASH_RECHECK_SECONDS)


def _run_until_deadline(targets, call):
    return targets.run(
        call,
        sender="z1-proxy-1",
        deadline=time.monotonic() + 0.05,
        cancellation=Cancellation(),
    )


def _run_until_cancelled(targets, call):
    cancellation = Cancellation()
    eventlet.spawn_after(0.05, cancellation.cancel)
    return targets.run(
        call,
        sender="z1-proxy-1",
        deadline=time.monotonic() + WAIT_SECONDS,
        cancellation=cancellation,
    )


@pytest.fixture(params=[_run_until_deadline, _run_until_cancelled])
def unfinished(request):
    """Return an Unfinished, whose call has ended before its target."""
    guard = FakeGuard()
    target = SilentTarget(listener=eventlet.listen(("127.0.0.1", 0)))
    target.start()
    targets = make_targets(guard, target.listener)
    outcome = request.param(
        targets, make_call(target_id="i-1", service="pay", body=b"large")
    )
    assert isinstance(outcome, Unknown)
    assert guard.crashed == []
    yield Unfinished(target=target, targets=targets, crashed=guard.crashed)
    target.end()


def test_a_crash_counts_against_a_call_that_ended_before_it(unfinished):
    unfinished.target.end()
    unfinished.wait_for_crash()
    assert [call.target_id for call in unfinished.crashed] == ["i-1"]
    assert unfinished.crashed[0].body == b""
    assert unfinished.targets.targets_by_id == {}


def test_a_crash_counts_although_the_target_first_closes_connections(
    unfinished,
):
    unfinished.target.close_connections()
    eventlet.sleep(4 * CRASH_RECHECK_SECONDS)
    assert unfinished.crashed == []
    unfinished.target.end()
    unfinished.wait_for_crash()


def test_a_restart_counts_against_a_call_that_ended_before_it(unfinished):
    record = unfinished.targets.targets_by_id["i-1"].record
    assert unfinished.targets.announce(
        attrs.evolve(record, incarnation=record.incarnation + 1)
    )
    assert len(unfinished.crashed) == 1


def test_a_target_that_announced_its_exit_has_not_crashed(unfinished):
    assert unfinished.targets.remove("i-1")
    unfinished.target.end()
    eventlet.sleep(4 * CRASH_RECHECK_SECONDS)
    assert unfinished.crashed == []


def test_unfinished_calls_expire_after_their_deadline():
    calls = UnfinishedCalls()
    calls.add(make_call(fingerprint=b"f"), deadline=5.0, now=1.0)
    assert calls.has_any(5.0 + MAX_OVERRUN_SECONDS - 0.1)
    assert not calls.has_any(5.0 + MAX_OVERRUN_SECONDS)
    assert calls.take_all(5.0 + MAX_OVERRUN_SECONDS) == []


def test_the_oldest_unfinished_calls_are_dropped_first():
    calls = UnfinishedCalls(max_calls=2)
    for fingerprint in (b"1", b"2", b"1", b"3"):
        calls.add(make_call(fingerprint=fingerprint), deadline=5.0, now=1.0)
    kept = [call.fingerprint for call in calls.take_all(1.0)]
    assert kept == [b"1", b"3"]
    assert not calls.has_any(1.0)


@pytest.fixture
def full_pool():
    """Return connections to a listening target that keep none idle."""
    listener = eventlet.listen(("127.0.0.1", 0))
    connections = TargetConnections(
        address="127.0.0.1", port=listener.getsockname()[1], max_idle=0
    )
    yield connections
    listener.close()


def test_a_probe_is_open_although_no_connection_may_be_idle(full_pool):
    """Guard against a watch that ends as its connection is closed."""
    connection = full_pool.probe()
    assert connection.sock is not None
    assert not connection.wait_for_input(timeout_seconds=0.01)
    connection.close()


def test_no_call_uses_the_connection_of_a_probe(full_pool):
    """Guard against two requests at once on one connection."""
    full_pool._max_idle = 4
    connection = full_pool.probe()
    assert full_pool.acquire_idle() is None
    full_pool.release(connection)
    assert full_pool.acquire_idle() is connection
    connection.close()


def test_a_crash_is_detected_although_no_connection_may_be_idle(run):
    def serve(listener):
        break_off(listener)
        probe, _ = listener.accept()
        listener.close()
        probe.close()

    targets, crashed = run(serve, max_idle=0)
    assert len(crashed) == 1
    assert targets.targets_by_id == {}
