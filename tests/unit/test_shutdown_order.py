"""Test that a proxy that shuts down waits for calls at local targets."""

from types import SimpleNamespace

import eventlet

from verbenanotch.daemon import _shutdown


def test_shutdown_waits_for_calls_at_local_targets():
    targets = SimpleNamespace(in_flight=1)
    eventlet.spawn_after(0.05, setattr, targets, "in_flight", 0)
    _shutdown.wait_for_targets(targets)
    assert targets.in_flight == 0


def test_the_wait_for_local_targets_is_limited(monkeypatch):
    monkeypatch.setattr(_shutdown, "MAX_TARGET_WAIT_SECONDS", 0.05)
    targets = SimpleNamespace(in_flight=1)
    with eventlet.Timeout(5.0):
        _shutdown.wait_for_targets(targets)
    assert targets.in_flight == 1


def test_shutdown_waits_for_the_records_of_keyed_requests():
    answers = iter([False, True])
    left_seconds = _shutdown.wait_for_records(
        lambda: next(answers), grace_seconds=60.0
    )
    assert next(answers, None) is None
    assert 0 < left_seconds < 60.0


def test_the_wait_for_records_is_limited(monkeypatch):
    monkeypatch.setattr(_shutdown, "RECORDS_POLL_INTERVAL_SECONDS", 0.01)
    with eventlet.Timeout(5.0):
        left_seconds = _shutdown.wait_for_records(
            lambda: False, grace_seconds=0.05
        )
    assert left_seconds == 0.0
