"""Slots of one target and the bounded queue for them."""

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
    """Limit the concurrent calls to the number of slots of the target.

    Further calls are queued by priority and then by deadline. Calls that are
    expected to miss their deadline, or to miss their objective because of the
    wait, are refused immediately, as are the last calls of a full queue.
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
        account="",
        max_wait_seconds=math.inf,
    ):
        """Wait for a slot; return None with a slot or NotRun without one.

        `deadline` is in monotonic seconds. The lowest `rank`, the priority
        of the call, is served first. `objective_seconds` is the time from now
        within which the call should be answered. The client `account`s share
        the places of the queue. A call that would wait for longer than
        `max_wait_seconds` is refused, so that it can move to another target.
        """
        if self.in_flight < self._count and not len(self._queue):
            self.in_flight += 1
            return None
        wait_seconds = self._queue.expected_wait_seconds(deadline, rank=rank)
        if wait_seconds > max_wait_seconds:
            return NotRun(
                reason=reasons.TARGET_BUSY,
                retry_after_ms=self._queue.retry_after_ms(),
            )
        admission = event.Event()
        now = time.monotonic()
        queued = self._queue.offer(
            admission,
            deadline,
            now,
            rank=rank,
            objective=now + objective_seconds,
            seconds=self._service_times.expected(route_name),
            account=account,
        )
        refusal = NotRun(
            reason=reasons.TARGET_FULL, retry_after_ms=queued.retry_after_ms
        )
        match queued:
            case QueueRefused():
                return refusal
            case Queued(refused=refused):
                for evicted in refused:
                    _resolve(evicted, refusal)
        return self._wait(admission, queued.ticket, deadline, cancellation)

    def release(self, service_seconds, route_name=""):
        """Release a slot and pass it to the next call in the queue.

        `service_seconds` is how long a call of the route occupied the slot.
        """
        self._queue.observe(service_seconds)
        self._service_times.observe(route_name, service_seconds)
        self._release_unused()

    def _release_unused(self):
        """Release a slot without the service time of a call."""
        self.in_flight -= 1
        dequeued = self._queue.dequeue(time.monotonic())
        refusal = NotRun(
            reason=reasons.TARGET_FULL, retry_after_ms=dequeued.retry_after_ms
        )
        for admission in dequeued.expired:
            _resolve(admission, refusal)
        if dequeued.item is not None:
            self.in_flight += 1
            _resolve(dequeued.item, None)

    def _wait(self, admission, ticket, deadline, cancellation):
        caller_gone = NotRun(reason=reasons.CALLER_GONE)
        cancellation.on_cancel(
            lambda: self._cancel_wait(admission, ticket, caller_gone)
        )
        cancellation.on_withdraw(
            lambda: self._cancel_wait(
                admission,
                ticket,
                NotRun(reason=cancellation.withdrawn_reason),
            )
        )
        deadline_passed = NotRun(reason=reasons.DEADLINE_PASSED)
        remaining = max(0, deadline - time.monotonic())
        admission.wait(timeout=remaining)
        cancellation.on_cancel(None)
        cancellation.on_withdraw(None)
        if not admission.ready():
            # The wait timed out, so the call is still in the queue.
            self._queue.cancel(ticket)
            return deadline_passed
        refusal = admission.wait()
        if refusal is None and cancellation.check():
            self._release_unused()
            return caller_gone
        return refusal

    def _cancel_wait(self, admission, ticket, refusal):
        if self._queue.cancel(ticket):
            _resolve(admission, refusal)


def _resolve(admission, refusal):
    if not admission.ready():
        admission.send(refusal)
