"""Test that a proxy that shuts down waits for calls at local targets."""

import functools
from types import SimpleNamespace

import eventlet
import pytest

from verbenanotch.conf import ProxySettings
from verbenanotch.daemon import _shutdown
from verbenanotch.proxy import StopWindow
from verbenanotch.routing import LongestTimes


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


def test_a_stop_takes_only_requests_that_end_in_time():
    """Guard against requests that are taken late in a stop and then cut."""
    window = StopWindow()
    window.observe("slow", 3.2, 9.0)
    window.observe("slow", 0.1, 9.0)
    window.observe("fast", 0.1, 9.0)
    assert window.has_time_for("slow", deadline=99.0, now=10.0)
    window.begin(ends_at=15.0)
    has_time = functools.partial(window.has_time_for, deadline=99.0)
    assert has_time("slow", now=10.9)
    assert not has_time("slow", now=11.1)
    assert has_time("fast", now=14.8)
    assert not has_time("fast", now=14.9)
    assert not has_time("new", now=10.0)
    assert window.has_time_for("new", deadline=15.0, now=14.9)


def test_late_in_a_stop_only_deadlines_in_the_window_count():
    """Guard against late requests that outlast the recent ones."""
    window = StopWindow()
    window.observe("fast", 0.1, 9.0)
    window.begin(ends_at=15.0, certain_from=12.75)
    has_time = functools.partial(window.has_time_for, "fast")
    assert has_time(deadline=99.0, now=12.7)
    assert not has_time(deadline=99.0, now=12.8)
    assert not has_time(deadline=15.1, now=12.8)
    assert has_time(deadline=15.0, now=12.8)
    # A repeat of a request that came before.
    assert has_time(deadline=99.0, now=14.0, arrived_at=12.7)


@pytest.mark.parametrize("seconds", [0.1, 2, 6, 10, 60])
def test_the_times_of_a_stop_are_in_order(seconds):
    """Guard against requests that a stop takes late without certainty.

    The users excuse a cut only of requests that came in the first 3 s.
    """
    times = _shutdown.stop_times(ProxySettings(stop_seconds=seconds))
    assert 0 < times.uncertain_seconds < min(3.0, times.total_seconds)
    assert times.uncertain_seconds < times.wait_seconds < times.total_seconds
    assert times.total_seconds < seconds


def test_the_longest_time_of_a_route_is_recent():
    times = LongestTimes()
    assert times.longest("pay", 0.0) is None
    times.observe("pay", 5.0, 100.0)
    times.observe("pay", 1.0, 131.0)
    assert times.longest("pay", 131.0) == 5.0
    assert times.longest("pay", 162.0) == 1.0
    assert times.longest("pay", 300.0) is None


def test_the_longest_times_are_bounded():
    times = LongestTimes()
    for number in range(2000):
        times.observe(f"route-{number}", 1.0, 5.0)
    known = [n for n in range(2000) if times.longest(f"route-{n}", 5.0)]
    assert 0 < len(known) <= 512
