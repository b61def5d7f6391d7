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

    def run_at(serve):
        listener = eventlet.listen(("127.0.0.1", 0))
        server = eventlet.spawn(serve, listener)
        targets = make_targets(guard, listener)
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
