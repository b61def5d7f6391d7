"""Turns of the event loop are bounded, so that arrivals are seen in time."""

import collections
import itertools
import socket

import eventlet
import pytest
from eventlet import hubs

from verbenanotch import loop
from verbenanotch.loop import _turns

TASK_SECONDS = _turns.MAX_PART_SECONDS / 5
TICK_SECONDS = 1e-6
# The last task of a part runs to its end; with room for ticks.
MAX_BOUND_SECONDS = _turns.MAX_PART_SECONDS + 1.1 * TASK_SECONDS
# Tasks for ten turns.
BACKLOG = 50


class Clock:
    """Monotonic seconds; hardly any pass unless a task says so."""

    def __init__(self):
        """Start at an arbitrary time."""
        self.now = 1000.0

    def __call__(self):
        """Return the time; no two calls return the same."""
        self.now += TICK_SECONDS
        return self.now


@pytest.fixture
def clock():
    return Clock()


@pytest.fixture
def hub(clock):
    """Run a hub of its own, on which nothing else waits."""
    before = hubs.get_hub()
    hubs._threadlocal.hub = made = _turns.TurnHub(clock=clock)
    yield made
    hubs._threadlocal.hub = before


@pytest.fixture
def pair():
    ends = socket.socketpair()
    yield ends
    for end in ends:
        end.close()


def run_until(hub, is_done):
    """Run the hub until `is_done()` holds after one of its tasks."""

    def check():
        if is_done():
            # With a task that is due, the last turn doesn't wait.
            hub.schedule_call_global(0, lambda: None)
            hub.abort()
        else:
            hub.schedule_call_global(0, check)

    check()
    hub.greenlet.switch()


def test_a_socket_is_looked_at_before_a_backlog_is_done(hub, clock, pair):
    near, far = pair
    done, seen = [], []

    def work(number):
        clock.now += TASK_SECONDS
        done.append(number)

    def read(_):
        seen.append(clock.now - began_at)
        near.recv(1)

    hub.add(hub.READ, near.fileno(), read, lambda _: None, lambda: None)
    far.send(b"x")
    began_at = clock.now
    for number in range(BACKLOG):
        hub.schedule_call_global(0, work, number)
    run_until(hub, lambda: len(done) == BACKLOG)
    assert len(seen) == 1
    assert seen[0] <= MAX_BOUND_SECONDS
    assert done == list(range(BACKLOG))


def test_what_a_socket_reports_first_runs_before_a_backlog(hub, clock, pair):
    near, far = pair
    order = []

    def work(number):
        clock.now += TASK_SECONDS
        order.append(number)

    def read(_):
        near.recv(1)
        loop.spawn_first(order.append, "first")

    hub.add(hub.READ, near.fileno(), read, lambda _: None, lambda: None)
    far.send(b"x")
    for number in range(BACKLOG):
        hub.schedule_call_global(0, work, number)
    run_until(hub, lambda: len(order) > BACKLOG)
    assert order.index("first") * TASK_SECONDS <= MAX_BOUND_SECONDS


@pytest.fixture
def many_ready():
    """Return sockets, all of which have bytes to read."""
    pairs = [
        socket.socketpair() for _ in range(8 * _turns.MAX_BATCH_SOCKETS + 1)
    ]
    for _, far in pairs:
        far.send(b"x")
    yield [near for near, _ in pairs]
    for pair in pairs:
        for end in pair:
            end.close()


def count_reads(hub, clock, many_ready, *, seconds):
    """Return the reads by descriptor, and those between two tasks.

    A read takes `seconds` and leaves the bytes, so that all stay ready.
    """
    reads = collections.Counter()
    reads_before_tasks = []

    def read(fileno):
        clock.now += seconds
        reads[fileno] += 1

    def task():
        reads_before_tasks.append(reads.total())
        hub.schedule_call_global(0, task)

    for near in many_ready:
        hub.add(hub.READ, near.fileno(), read, lambda _: None, lambda: None)
    task()
    run_until(hub, lambda: reads.total() >= 6 * len(many_ready))
    pairs = itertools.pairwise(reads_before_tasks)
    return reads, [later - earlier for earlier, later in pairs]


def test_tasks_wait_for_few_of_many_readers(hub, clock, many_ready):
    """Guard against timers and new callers that wait for all readers."""
    reads, steps = count_reads(hub, clock, many_ready, seconds=TASK_SECONDS)
    max_seconds = _turns.MAX_PART_SECONDS + (
        _turns.MAX_BATCH_SOCKETS * TASK_SECONDS
    )
    assert max(steps) * TASK_SECONDS <= max_seconds
    assert len(reads) == len(many_ready)
    assert max(reads.values()) - min(reads.values()) <= 1


def test_quick_readers_all_run_in_a_turn_and_once(hub, clock, many_ready):
    """Guard against arrivals that wait for the tasks of several turns."""
    reads, steps = count_reads(hub, clock, many_ready, seconds=0)
    rounds = [step for step in steps if step]
    assert min(rounds) >= len(many_ready)
    assert max(rounds) <= len(many_ready) + _turns.MAX_BATCH_SOCKETS
    assert len(reads) == len(many_ready)


def test_a_turn_whose_sockets_are_gone_ends(hub, clock, many_ready):
    """Guard against a turn that looks for more until its part is over."""
    listeners = {}
    for near in many_ready[: _turns.MAX_BATCH_SOCKETS]:
        listeners[near.fileno()] = hub.add(
            hub.READ,
            near.fileno(),
            lambda fileno: hub.remove(listeners[fileno]),
            lambda _: None,
            lambda: None,
        )
    began_at = clock.now
    run_until(hub, lambda: not hub.listeners[hub.READ])
    assert clock.now - began_at < _turns.MAX_PART_SECONDS


def test_tasks_that_make_others_runnable_do_not_hold_a_turn(hub, clock):
    """Guard against a turn that goes on as long as new work appears."""
    looks = []
    hub.wait = lambda seconds=None: looks.append(clock.now)
    began_at = clock.now

    def work():
        clock.now += TASK_SECONDS
        hub.schedule_call_global(0, work)

    work()
    run_until(hub, lambda: clock.now > began_at + 1)
    gaps = [
        later - earlier
        for earlier, later in zip(looks, looks[1:], strict=False)
    ]
    assert max(gaps) <= MAX_BOUND_SECONDS


def test_a_timer_that_is_not_due_does_not_run(hub, clock):
    ran = []
    hub.wait = lambda seconds=None: None
    hub.schedule_call_global(1, ran.append, "late")
    hub.schedule_call_global(0, ran.append, "due")
    run_until(hub, lambda: "due" in ran)
    assert ran == ["due"]


def test_a_task_that_fails_does_not_end_the_turn(hub, monkeypatch):
    ran = []
    hub.wait = lambda seconds=None: None
    monkeypatch.setattr(
        hub, "squelch_timer_exception", lambda *_: ran.append("failed")
    )

    def fail():
        raise ValueError

    hub.schedule_call_global(0, fail)
    hub.schedule_call_global(0, ran.append, "next")
    run_until(hub, lambda: "next" in ran)
    assert ran == ["failed", "next"]


def test_readers_let_others_read_once_their_part_is_over():
    turn = _turns.Turn()
    assert not turn.is_part_over(5.0)
    turn.begin_sockets(10.0)
    assert not turn.is_part_over(10.0 + _turns.MAX_PART_SECONDS / 2)
    assert turn.is_part_over(10.0 + 2 * _turns.MAX_PART_SECONDS)
    turn.begin_tasks(20.0)
    assert not turn.is_part_over(20.0)
    assert turn.is_part_over(20.0 + 2 * _turns.MAX_PART_SECONDS)
    turn.end_tasks(21.0)
    assert not turn.is_part_over(30.0)


def test_the_longest_parts_are_told_apart_and_taken_once():
    turn = _turns.Turn()
    for sockets_seconds, tasks_seconds in ((0.25, 0.5), (1.0, 0.125)):
        turn.begin_sockets(10.0)
        turn.begin_tasks(10.0 + sockets_seconds)
        turn.end_tasks(10.0 + sockets_seconds + tasks_seconds)
    assert turn.take_longest() == _turns.LongestParts(
        sockets_seconds=1.0, tasks_seconds=0.5
    )
    assert turn.take_longest() == _turns.LongestParts()


def test_a_hub_without_bounds_has_no_part_that_is_over():
    assert not loop.is_part_over()
    assert loop.take_longest_parts() == _turns.LongestParts()


def test_a_greenthread_that_goes_first_precedes_those_that_are_due():
    order = []
    eventlet.spawn_n(order.append, "due")
    loop.spawn_first(order.append, "first")
    eventlet.sleep(0)
    assert order == ["first", "due"]
