"""Limits, outlier detection, the queue and retries."""

import random

import pytest

from verbenanotch.routing import (
    AdaptiveLimit,
    AttemptContext,
    DeadlineQueue,
    NoRetry,
    OutcomeKind,
    OutlierDetector,
    Queued,
    QueueRefused,
    Retry,
    RetryBudget,
    TargetState,
    decide_retry,
)


@pytest.fixture
def make_target():
    def make(target_id="a"):
        return TargetState(
            target_id=target_id,
            service="orders",
            availability_zone="rennes",
            host="h",
            slots=16,
            slow_start_at=0.0,
        )

    return make


def observe(limit, seconds, *, in_flight, times=300):
    for _ in range(times):
        limit.observe(seconds, in_flight)


def test_limit_shrinks_when_latency_grows_and_recovers():
    limit = AdaptiveLimit(slots=16)
    observe(limit, 0.01, in_flight=16)
    assert limit.value > 16
    observe(limit, 0.1, in_flight=16, times=60)
    assert limit.value < 8
    observe(limit, 0.01, in_flight=16)
    assert limit.value > 16


def test_limit_stays_between_one_and_twice_the_slots():
    limit = AdaptiveLimit(slots=4)
    observe(limit, 0.01, in_flight=8, times=1000)
    assert limit.value == 8.0
    for _ in range(100):
        limit.record_refusal()
    assert limit.value == 1.0


def test_limit_of_an_idle_target_does_not_grow():
    limit = AdaptiveLimit(slots=16)
    observe(limit, 0.01, in_flight=1)
    assert limit.value == 16.0


def record_failures(detector, target, *, now, target_count, times=5):
    """Return the detector's last result after failures of the target."""
    outcome = None
    for _ in range(times):
        target.record_start(now)
        target.record_outcome(now, 0.01, OutcomeKind.FAILED)
        outcome = detector.record_outcome(
            target, OutcomeKind.FAILED, now=now, target_count=target_count
        )
    return outcome


def test_ejections_end_and_grow_until_the_backoff_is_reset(make_target):
    detector, target = OutlierDetector(), make_target()
    first = record_failures(detector, target, now=10.0, target_count=4)
    assert first.until == 12.0
    assert target.looks_unhealthy(11.9)
    assert not target.looks_unhealthy(12.0)
    assert (
        record_failures(detector, target, now=12.0, target_count=4).until
        == 16.0
    )
    assert (
        record_failures(detector, target, now=500.0, target_count=4).until
        == 502.0
    )


def test_ejections_are_capped_and_counted(make_target):
    detector = OutlierDetector()
    targets = [make_target(str(n)) for n in range(4)]
    ejected = [
        record_failures(detector, target, now=1.0, target_count=4) is not None
        for target in targets
    ]
    assert ejected == [True, True, False, False]
    assert detector.capped_count == 2
    only = make_target("only")
    assert (
        record_failures(OutlierDetector(), only, now=1.0, target_count=1)
        is None
    )


def test_refusals_and_cancellations_do_not_eject_a_target(make_target):
    detector, target = OutlierDetector(), make_target()
    for kind in (OutcomeKind.REFUSED, OutcomeKind.CANCELLED) * 20:
        target.record_outcome(1.0, 0.0, kind)
        assert not detector.record_outcome(
            target, kind, now=1.0, target_count=4
        )
    assert not target.looks_unhealthy(1.0)


def test_queue_returns_the_earliest_deadline_first():
    queue = DeadlineQueue(max_length=8, slots=2, service_seconds=0.1)
    for name, deadline in (("late", 9.0), ("soon", 1.0), ("mid", 5.0)):
        assert isinstance(queue.offer(name, deadline, 0.0), Queued)
    assert [queue.dequeue(0.0).item for _ in range(4)] == [
        "soon",
        "mid",
        "late",
        None,
    ]


def test_queue_refuses_missed_deadlines_and_overflow():
    queue = DeadlineQueue(max_length=3, slots=1, service_seconds=0.1)
    assert isinstance(queue.offer("a", 0.15, 0.0), QueueRefused)
    for name in "bcd":
        assert isinstance(queue.offer(name, 1.0, 0.0), Queued)
    match queue.offer("e", 9.0, 0.0):
        case QueueRefused(reason="queue-full", retry_after_ms=delay):
            assert delay == 400
        case outcome:
            pytest.fail(f"unexpected {outcome}")


def test_dequeue_returns_expired_requests_and_skips_cancelled_ones():
    queue = DeadlineQueue(max_length=8, slots=4, service_seconds=0.1)
    queue.offer("a", 0.2, 0.0)
    ticket = queue.offer("b", 0.3, 0.0).ticket
    queue.offer("c", 2.0, 0.0)
    assert queue.cancel(ticket)
    assert not queue.cancel(ticket)
    dequeued = queue.dequeue(0.5)
    assert (dequeued.item, dequeued.expired) == ("c", ("a",))
    assert len(queue) == 0


def retry(context=None, budget=None, **options):
    options = {
        "may_have_run": True,
        "idempotent": True,
        "is_final": False,
        **options,
    }
    return decide_retry(
        context or AttemptContext(attempt=1, attempts_left=3, deadline=10.0),
        budget=budget or RetryBudget(),
        now=0.0,
        random=random.Random(1),
        **options,
    )


def test_retry_reduces_the_attempts_left():
    outcome = retry()
    assert isinstance(outcome, Retry)
    assert (outcome.context.attempt, outcome.context.attempts_left) == (2, 2)
    assert outcome.context.for_next_hop().attempts_left == 1


@pytest.mark.parametrize(
    ("reason", "context", "options"),
    [
        ("not-idempotent", None, {"idempotent": False}),
        ("exhausted-below", None, {"is_final": True}),
        (
            "attempts",
            AttemptContext(attempt=3, attempts_left=1, deadline=9.0),
            {},
        ),
        ("deadline", None, {"expected_seconds": 10.0}),
    ],
)
def test_no_retry_gives_its_reason(reason, context, options):
    assert retry(context, **options) == NoRetry(reason=reason)


def test_request_that_did_not_run_is_retried_even_if_not_idempotent():
    outcome = retry(idempotent=False, may_have_run=False)
    assert isinstance(outcome, Retry)


def test_budget_bounds_retries_to_a_share():
    budget = RetryBudget()
    retried = 0
    for number in range(1000):
        now = number / 1000
        budget.record_first_attempt(now)
        retried += budget.withdraw(now)
    assert 95 <= retried <= 105
    assert retry(budget=budget) == NoRetry(reason="budget")


def test_budget_with_few_requests_bounds_retries():
    """The refill over time must not add many retries to the share.

    Many proxies with few requests each would retry far more otherwise.
    """
    budget = RetryBudget()
    retried = 0
    for number in range(1000):
        now = number * 5.0
        budget.record_first_attempt(now)
        retried += budget.withdraw(now)
    assert retried <= 205


def test_fixed_limit_stays_at_the_slots():
    limit = AdaptiveLimit(slots=8, is_fixed=True)
    for _ in range(50):
        limit.observe(1.0, 8)
        limit.record_refusal()
    assert limit.value == 8
