"""Large answers: their turns on a link, and the zone that they stay in."""

import random

import pytest

from verbenanotch.proxy import _large_answers
from verbenanotch.proxy._body_frames import CHUNK_BYTES, FlowControlWindow
from verbenanotch.proxy._large_answers import LargeAnswers
from verbenanotch.proxy._messages import BodyChunk
from verbenanotch.proxy._outcome import Answered, Call, NotRun
from verbenanotch.routing import (
    Candidates,
    CandidatesWithFallback,
    LinkPacer,
    TargetState,
)
from verbenanotch.routing import keep_in_zone as choose_zone

LINK_MBPS = 8.0
REPORT_BYTES = 100_000
DEADLINE_SECONDS = 3.0


def make_call(remaining_ms=3000):
    return Call(
        request_id="r1",
        service="s",
        target_id="t",
        method="GET",
        path="/x",
        headers=(),
        body=b"",
        remaining_ms=remaining_ms,
        idempotent=True,
        route_name="reports",
    )


def make_state(target_id, zone, **fields):
    values = {
        "target_id": target_id,
        "service": "s",
        "availability_zone": zone,
        "host": target_id,
        "slots": 4,
        "slow_start_at": float("-inf"),
    }
    return TargetState(**(values | fields))


class FakeClock:
    """A clock that only sleeping advances."""

    def __init__(self):
        """Start at 100 s."""
        self.now = 100.0

    def monotonic(self):
        """Return the current time."""
        return self.now

    def sleep(self, seconds):
        """Advance the time."""
        self.now += seconds


@pytest.fixture
def clock(monkeypatch):
    clock = FakeClock()
    monkeypatch.setattr(_large_answers, "time", clock)
    monkeypatch.setattr(_large_answers, "eventlet", clock)
    return clock


class RecordingConnection:
    """Keeps the frames that are sent."""

    def __init__(self):
        """Start without frames."""
        self.frames = []

    def send(self, frame):
        """Record a frame."""
        self.frames.append(frame)


def arrivals_in_time(pacer_in_use, seed):
    """Return how many of 200 reports arrive in time at twice the link's rate.

    Without the pacer, the reports that are being sent share the link.
    """
    choices = random.Random(seed)
    pacer = LinkPacer(link_mbps=LINK_MBPS)
    rate = 2 / pacer.seconds_for(REPORT_BYTES)
    now, in_time, sending = 0.0, 0, []
    for _ in range(200):
        step = choices.expovariate(rate)
        now += step
        if pacer_in_use:
            if pacer.is_ready_in_time(
                REPORT_BYTES, deadline=now + DEADLINE_SECONDS, now=now
            ):
                pacer.reserve(REPORT_BYTES, now)
                in_time += 1
            continue
        in_time += _share_link(sending, step, pacer, now)
        sending.append([pacer.seconds_for(REPORT_BYTES), now])
    return in_time


def _share_link(sending, seconds, pacer, now):
    """Send for some seconds; return how many reports ended in time."""
    ended = 0
    while sending and seconds > 0:
        shortest = min(left for left, _ in sending)
        slice_seconds = min(seconds, shortest * len(sending))
        for report in sending:
            report[0] -= slice_seconds / len(sending)
        seconds -= slice_seconds
        for report in [r for r in sending if r[0] <= 1e-9]:
            sending.remove(report)
            ended += now - seconds - report[1] <= DEADLINE_SECONDS
    return ended


@pytest.mark.parametrize("seed", range(5))
def test_in_turn_more_reports_arrive_in_time_than_side_by_side(seed):
    """Load: reports at twice the rate of the link, for some seconds."""
    side_by_side = arrivals_in_time(False, seed)
    assert arrivals_in_time(True, seed) > 1.5 * side_by_side


def test_granted_answers_follow_each_other():
    pacer = LinkPacer(link_mbps=LINK_MBPS)
    size_seconds = pacer.seconds_for(REPORT_BYTES)
    waits = [pacer.reserve(REPORT_BYTES, 50.0) for _ in range(3)]
    assert waits == pytest.approx([0.0, size_seconds, 2 * size_seconds])
    assert pacer.backlog_seconds(50.0 + 3 * size_seconds) == pytest.approx(0)


def test_large_answers_leave_a_share_of_the_link():
    pacer = LinkPacer(link_mbps=LINK_MBPS)
    megabytes_per_second = 1 / pacer.seconds_for(1_000_000)
    assert megabytes_per_second < LINK_MBPS / 8


def test_an_answer_that_cannot_be_sent_in_time_is_refused_at_once(clock):
    answers = LargeAnswers(link_mbps=LINK_MBPS)
    call = make_call()
    body = b"x" * REPORT_BYTES
    answers.observe(call, Answered(status=200, headers=(), body=body))
    deadline = clock.now + 0.3
    assert refusal_of(answers, call, deadline) is None
    _send(answers, RecordingConnection(), body, clock, advance=False)
    _send(answers, RecordingConnection(), body, clock, advance=False)
    refusal = refusal_of(answers, call, deadline)
    assert isinstance(refusal, NotRun)
    assert refusal.reason == "link-full"
    # By then the link is free again.
    clock.now += refusal.retry_after_ms / 1000
    assert refusal_of(answers, call, clock.now + 0.3) is None


@pytest.mark.parametrize("remaining_seconds", [0.001, 1.0, 60.0])
def test_an_idle_link_refuses_nothing(clock, remaining_seconds):
    """Load: one answer so large that the mean exceeds the time that is left.

    Only answers update the mean, so that refusals would never end.
    """
    answers = LargeAnswers(link_mbps=LINK_MBPS)
    body = b"x" * 60_000_000
    call = make_call()
    answers.observe(call, Answered(status=200, headers=(), body=body))
    assert refusal_of(answers, call, clock.now + remaining_seconds) is None


def test_an_answer_is_sent_on_an_idle_link_even_if_it_may_be_late(clock):
    """The pace is below the link's rate, so that it may still arrive."""
    answers = LargeAnswers(link_mbps=LINK_MBPS)
    body = b"x" * REPORT_BYTES
    seconds = LinkPacer(link_mbps=LINK_MBPS).seconds_for(REPORT_BYTES)
    connection = RecordingConnection()
    _send(answers, connection, body, clock, deadline=clock.now + 0.9 * seconds)
    sent_bytes = sum(len(frame.data) for frame in connection.frames)
    assert sent_bytes == len(body) - answers.inline_bytes(body)


def test_a_route_of_small_answers_is_never_refused(clock):
    answers = LargeAnswers(link_mbps=LINK_MBPS)
    body = b"x" * REPORT_BYTES
    for _ in range(50):
        _send(answers, RecordingConnection(), body, clock, advance=False)
    assert refusal_of(answers, make_call(), clock.now + 0.001) is None


def test_a_large_answer_is_sent_whole_in_short_frames(clock):
    answers = LargeAnswers(link_mbps=LINK_MBPS)
    body = bytes(range(256)) * 400
    connection = RecordingConnection()
    _send(answers, connection, body, clock)
    inline = answers.inline_bytes(body)
    sent = b"".join(
        frame.data for frame in connection.frames if type(frame) is BodyChunk
    )
    assert body[:inline] + sent == body
    assert max(len(frame.data) for frame in connection.frames) < CHUNK_BYTES


def test_without_a_known_link_nothing_waits(clock):
    answers = LargeAnswers(link_mbps=0.0)
    body = b"x" * REPORT_BYTES
    before = clock.now
    for _ in range(20):
        connection = RecordingConnection()
        _send(answers, connection, body, clock)
        assert len(connection.frames) == 3
    assert clock.now == before
    assert answers.inline_bytes(body) == CHUNK_BYTES
    assert refusal_of(answers, make_call(), clock.now) is None


def test_an_answer_after_its_deadline_is_not_sent(clock):
    answers = LargeAnswers(link_mbps=LINK_MBPS)
    body = b"x" * REPORT_BYTES
    for _ in range(40):
        _send(answers, RecordingConnection(), body, clock, advance=False)
    connection = RecordingConnection()
    _send(answers, connection, body, clock, deadline=clock.now + 0.5)
    assert connection.frames == []


def _send(answers, connection, body, clock, *, deadline=None, advance=True):
    """Send a body; without `advance` the clock is set back to before."""
    before = clock.now
    answers.send(
        connection,
        stream_id=1,
        body=body,
        window=FlowControlWindow(),
        deadline=deadline or before + 1000.0,
    )
    if not advance:
        clock.now = before


def refusal_of(answers, call, deadline):
    """Return NotRun if a call's answer could not be sent in time."""
    return answers.refusal(answers.expected_bytes(call), deadline)


def test_answers_that_are_being_made_occupy_the_link(clock):
    """Load: more calls run than the link has room for their answers."""
    answers = LargeAnswers(link_mbps=LINK_MBPS)
    call = make_call()
    body = b"x" * REPORT_BYTES
    answers.observe(call, Answered(status=200, headers=(), body=body))
    size = answers.expected_bytes(call)
    deadline = clock.now + 0.3
    with answers.expecting(size), answers.expecting(size):
        assert refusal_of(answers, call, deadline).reason == "link-full"
    assert refusal_of(answers, call, deadline) is None


def test_answers_to_callers_take_their_turn_on_the_link(clock):
    """Load: callers and other proxies ask a host's targets for reports."""
    answers = LargeAnswers(link_mbps=LINK_MBPS)
    body = b"x" * REPORT_BYTES
    _send(answers, RecordingConnection(), body, clock, advance=False)
    before = clock.now
    outcome = Answered(status=200, headers=(), body=body)
    answers.wait_for_caller(outcome, before + 10.0)
    seconds = LinkPacer(link_mbps=LINK_MBPS).seconds_for(REPORT_BYTES)
    assert clock.now - before == pytest.approx(seconds)
    small = Answered(status=200, headers=(), body=b"x" * CHUNK_BYTES)
    answers.wait_for_caller(small, before + 10.0)
    assert clock.now - before == pytest.approx(seconds)


def test_an_answer_to_a_caller_whose_turn_is_too_late_is_not_held(clock):
    answers = LargeAnswers(link_mbps=LINK_MBPS)
    body = b"x" * REPORT_BYTES
    for _ in range(40):
        _send(answers, RecordingConnection(), body, clock, advance=False)
    before = clock.now
    outcome = Answered(status=200, headers=(), body=body)
    answers.wait_for_caller(outcome, before + 0.5)
    assert clock.now == before


ZONES = ("z1", "z1", "z2")


@pytest.fixture
def candidates():
    return Candidates(
        targets=tuple(
            make_state(f"t{number}", zone)
            for number, zone in enumerate(ZONES, start=1)
        )
    )


def zone_ids(
    candidates, *, penalty=2.0, objective=1.0, zone="z1", failed=frozenset()
):
    kept = choose_zone(
        candidates,
        availability_zone=zone,
        now=10.0,
        cross_zone_penalty=penalty,
        objective=objective,
        failed=failed,
    )
    return {target.target_id for target in kept.targets}


def test_a_request_with_a_large_answer_stays_in_its_zone(candidates):
    """Load: all targets of the zone are full, others have capacity."""
    for target in candidates.in_zone("z1"):
        target.in_flight = target.slots * 10
    assert zone_ids(candidates) == {"t1", "t2"}


def test_a_request_with_a_small_answer_may_leave_its_zone(candidates):
    assert zone_ids(candidates, penalty=0.5) == {"t1", "t2", "t3"}
    assert zone_ids(candidates, objective=0.0) == {"t1", "t2", "t3"}


def test_the_targets_of_a_zone_are_grouped_once_for_many_requests(
    candidates,
):
    kept = [
        choose_zone(
            candidates,
            availability_zone=zone,
            now=10.0,
            cross_zone_penalty=2.0,
            objective=1.0,
        )
        for zone in ("z1", "z1", "z9")
    ]
    assert kept[0] is kept[1]
    assert kept[2] is candidates


def test_a_zone_without_a_target_in_service_is_left(candidates):
    for target in candidates.in_zone("z1"):
        target.draining = True
    assert zone_ids(candidates) == {"t1", "t2", "t3"}
    assert zone_ids(candidates, zone="z9") == {"t1", "t2", "t3"}


def test_a_request_leaves_a_zone_where_it_failed_everywhere(candidates):
    """Load: a target breaks connections before it is seen as unhealthy."""
    assert zone_ids(candidates, failed={"t1"}) == {"t1", "t2"}
    assert zone_ids(candidates, failed={"t1", "t2"}) == {"t1", "t2", "t3"}


def test_fallback_candidates_stay_in_the_zone_as_well(candidates):
    """Load: as above, while a service's versions are told apart."""
    new = make_state("new", "z2")
    kept = choose_zone(
        CandidatesWithFallback(targets=(new,), fallback=candidates),
        availability_zone="z1",
        now=10.0,
        cross_zone_penalty=2.0,
        objective=1.0,
    )
    assert kept.targets == (new,)
    assert {target.target_id for target in kept.fallback.targets} == {
        "t1",
        "t2",
    }
