"""Requests that a stopping host withdraws while they wait for their turn."""

import time

import eventlet
import pytest

from tests.unit.test_local_targets import make_record
from tests.unit.test_proxy_peers import (
    MAX_BODY_BYTES,
    SETTINGS,
    link,
    make_call,
    scripted_peer,
)
from verbenanotch.proxy import LocalTargets, StopWindow
from verbenanotch.proxy._cancellation import Cancellation
from verbenanotch.proxy._messages import Forward, ForwardNotRun, Withdraw
from verbenanotch.proxy._outcome import Answered, NotRun
from verbenanotch.proxy._slots import Slots

__all__ = ["link", "scripted_peer"]
REASON = "host-stopping"
WITHDRAWN = NotRun(reason=REASON)


@pytest.fixture
def slots():
    """Return Slots whose only slot is taken."""
    slots = Slots(count=1)
    acquire(slots, Cancellation())
    return slots


def acquire(slots, cancellation):
    return slots.acquire(
        deadline=time.monotonic() + 5, cancellation=cancellation
    )


def start(function, *arguments, **options):
    greenthread = eventlet.spawn(function, *arguments, **options)
    eventlet.sleep(0.05)
    return greenthread


def test_a_request_that_waits_for_a_slot_is_refused(slots):
    cancellation = Cancellation()
    waiting = start(acquire, slots, cancellation)
    cancellation.withdraw(REASON)
    assert waiting.wait() == WITHDRAWN
    slots.release(0.1)
    assert slots.in_flight == 0


def test_a_request_that_was_withdrawn_before_does_not_wait(slots):
    cancellation = Cancellation()
    cancellation.withdraw(REASON)
    assert acquire(slots, cancellation) == WITHDRAWN


def test_a_request_that_runs_is_not_affected():
    slots = Slots(count=1)
    cancellation = Cancellation()
    assert acquire(slots, cancellation) is None
    cancellation.withdraw(REASON)
    assert slots.in_flight == 1
    assert not cancellation.cancelled


class WaitingTargets:
    """Targets whose calls wait until they are withdrawn or released."""

    def __init__(self, link, *, runs):
        """Take the place of the targets of a link."""
        self.calls = []
        self._runs = runs
        link.server.local_targets = self

    def run(self, call, *, sender, deadline, cancellation):
        """Run a call at once, or keep it waiting."""
        self.calls.append(call)
        if self._runs:
            eventlet.sleep(0.2)
            return Answered(status=200, headers=(), body=b"done")
        slots = Slots(count=1)
        acquire(slots, Cancellation())
        return acquire(slots, cancellation)


def test_a_call_that_waits_at_a_peer_is_refused(link):
    """Guard against calls that a stop cuts though they have not run."""
    WaitingTargets(link, runs=False)
    cancellation = Cancellation()
    waiting = start(link.forward, make_call(), cancellation=cancellation)
    cancellation.withdraw(REASON)
    assert waiting.wait() == WITHDRAWN
    assert link.server.in_flight == 0


def test_a_call_that_runs_at_a_peer_is_answered(link):
    WaitingTargets(link, runs=True)
    cancellation = Cancellation()
    waiting = start(link.forward, make_call(), cancellation=cancellation)
    cancellation.withdraw(REASON)
    assert waiting.wait().body == b"done"


def test_a_withdrawn_call_is_not_sent(link):
    targets = WaitingTargets(link, runs=True)
    cancellation = Cancellation()
    cancellation.withdraw(REASON)
    assert link.forward(make_call(), cancellation=cancellation) == WITHDRAWN
    assert targets.calls == []


def test_a_call_whose_body_is_not_sent_yet_is_refused(scripted_peer):
    """Guard against a peer that takes no more of a body."""
    received = []

    def receive_without_credit(connection):
        while True:
            received.append(connection.receive())

    link = scripted_peer(receive_without_credit)
    cancellation = Cancellation()
    waiting = start(
        link.forward,
        make_call(b"x" * MAX_BODY_BYTES),
        cancellation=cancellation,
    )
    cancellation.withdraw(REASON)
    outcome = waiting.wait()
    assert isinstance(outcome, NotRun)
    assert any(isinstance(message, Withdraw) for message in received)


def test_a_peer_refuses_a_call_whose_body_has_not_arrived(link):
    targets = WaitingTargets(link, runs=True)
    peer = link.pool.connect(link.record, deadline=time.monotonic() + 1)
    replies = []
    peer._receive = replies.append
    peer._connection.send(
        Forward(stream_id=1, body_bytes=10, call=make_call(b"abc"))
    )
    peer._connection.send(Withdraw(stream_id=1))
    eventlet.sleep(0.05)
    assert [type(reply) for reply in replies] == [ForwardNotRun]
    assert replies[0].reason == REASON
    assert targets.calls == []


def test_calls_that_wait_at_a_stopping_host_move_to_another_one():
    """Guard against calls of other hosts that a stop cuts in the queue."""
    window = StopWindow()
    targets = LocalTargets(
        settings=SETTINGS,
        incarnation=1,
        on_change=lambda: None,
        stop_window=window,
    )
    targets.announce(make_record(slots=1))
    acquire(targets.targets_by_id["i-1"].slots, Cancellation())
    now = time.monotonic()
    waiting = start(
        targets.run,
        make_call(target_id="i-1", service="pay", route_name="pay"),
        sender="z1-proxy-2",
        deadline=now + 9,
        cancellation=Cancellation(),
    )
    window.observe("pay", 0.1, now)
    window.begin(ends_at=now + 5, waits_until=now + 4)
    window.withdraw_late(now + 3)
    eventlet.sleep(0)
    assert not waiting.dead
    window.withdraw_late(now + 4.1)
    assert waiting.wait().reason == "host-leaving"


def watch(window, cancellation, **fields):
    values = {
        "deadline": 99.0,
        "arrived_at": 10.0,
        "cancellation": cancellation,
        "reason": REASON,
    }
    return window.watch("pay", **(values | fields))


def test_a_request_is_withdrawn_once_it_would_not_end_in_the_window():
    window = StopWindow()
    window.observe("pay", 2.0, 9.0)
    late, in_time, ended = (Cancellation() for _ in range(3))
    with watch(window, ended):
        pass
    with watch(window, late), watch(window, in_time, deadline=15.0):
        window.withdraw_late(100.0)
        assert not late.withdrawn_reason
        window.begin(ends_at=15.0)
        window.withdraw_late(12.4)
        assert not late.withdrawn_reason
        window.withdraw_late(12.6)
        assert late.withdrawn_reason == REASON
    assert not in_time.withdrawn_reason
    assert not ended.withdrawn_reason


def test_no_request_waits_until_the_cut():
    """Guard against refusals that have no time to arrive."""
    window = StopWindow()
    window.observe("pay", 0.001, 9.0)
    cancellation = Cancellation()
    with watch(window, cancellation):
        window.begin(ends_at=15.0, waits_until=14.2)
        window.withdraw_late(14.1)
        assert not cancellation.withdrawn_reason
        window.withdraw_late(14.3)
        assert cancellation.withdrawn_reason
