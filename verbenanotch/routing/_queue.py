"""Bounded queue of waiting requests, ordered by deadline."""

import bisect
import dataclasses
import itertools
from typing import Any

SERVICE_TIME_WEIGHT = 0.1
MIN_RETRY_AFTER_MS = 10
MILLISECONDS_PER_SECOND = 1000


@dataclasses.dataclass(frozen=True, kw_only=True)
class Queued:
    """The request waits; `ticket` removes it."""

    ticket: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class QueueRefused:
    """The request was not run and does not wait.

    `reason` is `queue-full` or `deadline`.
    """

    reason: str
    retry_after_ms: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class Taken:
    """The next request to run, or None, and those that are too late.

    The late ones were not run; each is refused with `retry_after_ms`.
    """

    item: Any
    late: tuple[Any, ...]
    retry_after_ms: int


class DeadlineQueue:
    """Hold requests for which a target has no slot now.

    Times are monotonic seconds. Whether a request can make its deadline is
    judged by the measured service time and the number of `slots`.
    """

    def __init__(self, *, max_length, slots, service_seconds=0.0):
        """Start empty with an assumed service time."""
        self._max_length = max_length
        self._slots = slots
        self._entries = []
        self._items_by_ticket = {}
        self._tickets = itertools.count(1)
        self.service_seconds = service_seconds

    def __len__(self):
        """Return how many requests wait."""
        return len(self._entries)

    def served(self, seconds):
        """Note the time that the target took for one request."""
        if self.service_seconds == 0.0:
            self.service_seconds = seconds
        self.service_seconds += SERVICE_TIME_WEIGHT * (
            seconds - self.service_seconds
        )

    def offer(self, item, deadline, now):
        """Return Queued, or QueueRefused at once."""
        if len(self._entries) >= self._max_length:
            return self._refused("queue-full")
        ahead = bisect.bisect(self._entries, (deadline, float("inf")))
        if now + self._wait_seconds(ahead) + self.service_seconds > deadline:
            return self._refused("deadline")
        ticket = next(self._tickets)
        bisect.insort(self._entries, (deadline, ticket))
        self._items_by_ticket[ticket] = item
        return Queued(ticket=ticket)

    def take(self, now):
        """Remove the request with the earliest deadline that can make it."""
        late = []
        item = None
        count = 0
        for deadline, ticket in self._entries:
            count += 1
            waiting = self._items_by_ticket.pop(ticket)
            if now + self.service_seconds <= deadline:
                item = waiting
                break
            late.append(waiting)
        del self._entries[:count]
        return Taken(
            item=item, late=tuple(late), retry_after_ms=self.retry_after_ms()
        )

    def cancel(self, ticket):
        """Remove a request whose caller is gone; return whether it waited."""
        if ticket not in self._items_by_ticket:
            return False
        del self._items_by_ticket[ticket]
        self._entries = [
            entry for entry in self._entries if entry[1] != ticket
        ]
        return True

    def retry_after_ms(self):
        """Return when the requests that wait now will have started."""
        wait_ms = self._wait_seconds(len(self._entries))
        return max(MIN_RETRY_AFTER_MS, int(wait_ms * MILLISECONDS_PER_SECOND))

    def _wait_seconds(self, ahead):
        """Return the expected wait with so many requests ahead.

        With all slots busy, one gets free every service time / slots.
        """
        return (ahead + 1) * self.service_seconds / self._slots

    def _refused(self, reason):
        return QueueRefused(
            reason=reason, retry_after_ms=self.retry_after_ms()
        )
