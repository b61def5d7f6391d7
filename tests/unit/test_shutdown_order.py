"""Test that a proxy that shuts down waits for calls at local targets."""

from types import SimpleNamespace

import eventlet
import pytest

from verbenanotch.conf import ProxySettings
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


@pytest.mark.parametrize("seconds", [0.1, 2, 100 / 3, 6, 10, 60])
def test_a_stop_fits_into_the_time_until_the_kill(seconds):
    """Guard against requests that are cut although they had the time."""
    times = _shutdown.stop_times(ProxySettings(stop_seconds=seconds))
    used = times.leave_seconds + times.grace_seconds
    left = seconds - used
    assert 0 < left <= _shutdown.MAX_EXIT_SECONDS
    assert left >= min(_shutdown.MAX_EXIT_SECONDS, seconds / 6) * 0.99
    assert times.leave_seconds <= _shutdown.MAX_LEAVE_SECONDS
    assert times.grace_seconds >= seconds / 3


def test_without_a_time_until_the_kill_the_settings_apply():
    proxy = ProxySettings(leave_ms=1500, shutdown_grace_ms=700)
    times = _shutdown.stop_times(proxy)
    assert (times.leave_seconds, times.grace_seconds) == (1.5, 0.7)
