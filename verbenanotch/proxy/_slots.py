"""Slots of one target, and the short queue before them."""

import math
import time

from eventlet import event

from verbenanotch.proxy import _reasons as reasons
from verbenanotch.proxy._outcome import NotRun
from verbenanotch.routing import (
    DeadlineQueue,
    Queued,
    QueueRefused,
    ServiceTimes,
    TargetLoad,
)


class Slots:
    """Let as many calls run at a time as the target has slots.

    Further ones wait, the most urgent first and then the earliest deadline,
    as long as they can be expected to end in time; all others are refused
    at once.
    """

    def __init__(self, *, count):
        """Start with `count` free slots."""
        self._count = count
        self._queue = DeadlineQueue(max_length=count, slots=count)
        self._service_times = ServiceTimes()
        self.in_flight = 0

    @property
    def load(self):
        """Return the TargetLoad of the target."""
        return TargetLoad(
            busy=self.in_flight + len(self._queue),
            service_seconds=self._queue.service_seconds,
        )

    def acquire(
        self,
        *,
        deadline,
        cancellation,
        rank=0,
        route_name="",
        objective_seconds=math.inf,
    ):
        """Take a slot and return None, or return NotRun without one.

        `deadline` is in monotonic seconds. The lowest `rank` goes first.
        `objective_seconds` is within which the call should be answered.
        """
        if self.in_flight < self._count and not len(self._queue):
            self.in_flight += 1
            return None
        waiting = event.Event()
        now = time.monotonic()
        queued = self._queue.offer(
            waiting,
            deadline,
            now,
            rank=rank,
            objective=now + objective_seconds,
            seconds=self._service_times.expected(route_name),
        )
        full = NotRun(
            reason=reasons.TARGET_FULL, retry_after_ms=queued.retry_after_ms
        )
        match queued:
            case QueueRefused():
                return full
            case Queued(refused=refused):
                for other in refused:
                    _finish(other, full)
        return self._wait(waiting, queued.ticket, deadline, cancellation)

    def release(self, service_seconds, route_name=""):
        """Give a slot back and pass it to the next call in the queue.

        `service_seconds` is how long a call of the route held it.
        """
        self.in_flight -= 1
        self._queue.observe(service_seconds)
        self._service_times.observe(route_name, service_seconds)
        dequeued = self._queue.take(time.monotonic())
        refusal = NotRun(
            reason=reasons.TARGET_FULL, retry_after_ms=dequeued.retry_after_ms
        )
        for waiting in dequeued.expired:
            _finish(waiting, refusal)
        if dequeued.item is not None:
            self.in_flight += 1
            _finish(dequeued.item, None)

    def _wait(self, waiting, ticket, deadline, cancellation):
        gone = NotRun(reason=reasons.CALLER_GONE)
        cancellation.on_cancel(lambda: self._give_up(waiting, ticket, gone))
        late = NotRun(reason=reasons.DEADLINE_PASSED)
        remaining = max(0, deadline - time.monotonic())
        waiting.wait(timeout=remaining)
        cancellation.on_cancel(None)
        if not waiting.ready():
            # The wait ended by its timeout, so that the call still waits.
            self._queue.cancel(ticket)
            return late
        return waiting.wait()

    def _give_up(self, waiting, ticket, refusal):
        if self._queue.cancel(ticket):
            _finish(waiting, refusal)


def _finish(waiting, refusal):
    if not waiting.ready():
        waiting.send(refusal)
