"""Bounded queue of waiting requests, ordered by rank and deadline.

The load pattern is more requests than a target can serve, of kinds that
differ in urgency: what waits is served most urgent first, and whoever can
no longer be served in time is refused as soon as that is known. A target
that is overloaded for long answers as many requests whether its queue is
long or short; a short one lets them meet their objective, and tells the
others early to come back.
"""

import dataclasses
import itertools
import math
from typing import Any

from verbenanotch.routing._durations import (
    OBJECTIVE_MARGIN,
    SERVICE_TIME_WEIGHT,
)

MIN_RETRY_AFTER_MS = 10
MILLISECONDS_PER_SECOND = 1000


@dataclasses.dataclass(frozen=True, kw_only=True)
class Queued:
    """The request waits; `ticket` removes it.

    `refused` are those that waited and now have no chance any more; they
    were not run.
    """

    ticket: int
    refused: tuple[Any, ...] = ()
    retry_after_ms: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True)
class QueueRefused:
    """The request was not run and does not wait.

    `reason` is `queue-full`, `deadline` or `objective`.
    """

    reason: str
    retry_after_ms: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class Dequeued:
    """The next request to run, or None, and those that have expired.

    The expired ones were not run; each is refused with `retry_after_ms`.
    """

    item: Any
    expired: tuple[Any, ...]
    retry_after_ms: int


@dataclasses.dataclass(frozen=True, kw_only=True, order=True)
class _Entry:
    """A waiting request; the lowest rank goes first."""

    rank: int
    deadline: float
    ticket: int
    item: Any = dataclasses.field(compare=False)
    seconds: float = dataclasses.field(compare=False)


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
        self._tickets = itertools.count(1)
        self.service_seconds = service_seconds

    def __len__(self):
        """Return how many requests wait."""
        return len(self._entries)

    def observe(self, seconds):
        """Note the time that the target took for one request."""
        if self.service_seconds == 0.0:
            self.service_seconds = seconds
        self.service_seconds += SERVICE_TIME_WEIGHT * (
            seconds - self.service_seconds
        )

    def offer(
        self, item, deadline, now, *, rank=0, objective=math.inf, seconds=None
    ):
        """Return Queued, or QueueRefused at once.

        `objective` is when the request should be answered at the latest,
        and `seconds` how long it takes, if that is known better than by the
        mean. One that would be late only because of its wait is refused.

        A full queue gives up its last request for one that goes before it.
        Among equally urgent ones that is the one with the later deadline:
        calls of requests that run already have the shortest, and refusing
        them would waste what was done for their parents.
        """
        entry = _Entry(
            rank=rank,
            deadline=deadline,
            ticket=next(self._tickets),
            item=item,
            seconds=self.service_seconds if seconds is None else seconds,
        )
        ahead = sum(other < entry for other in self._entries)
        if not self._can_make(entry, ahead, now):
            return self._refused("deadline")
        if self._would_be_late(entry, ahead, objective - now):
            return self._refused("objective")
        refused = []
        if len(self._entries) >= self._max_length:
            if self._entries[-1] < entry:
                return self._refused("queue-full")
            refused.append(self._entries.pop())
        self._entries.insert(ahead, entry)
        refused += self._drop_expired(ahead + 1, now)
        return Queued(
            ticket=entry.ticket,
            refused=tuple(other.item for other in refused),
            retry_after_ms=self.retry_after_ms(),
        )

    def take(self, now):
        """Remove the first request that can make its deadline."""
        expired = []
        while self._entries:
            entry = self._entries.pop(0)
            if now + entry.seconds <= entry.deadline:
                return self._dequeued(entry.item, expired)
            expired.append(entry.item)
        return self._dequeued(None, expired)

    def cancel(self, ticket):
        """Remove a request whose caller is gone; return whether it waited."""
        kept = [entry for entry in self._entries if entry.ticket != ticket]
        found = len(kept) < len(self._entries)
        self._entries = kept
        return found

    def retry_after_ms(self):
        """Return when the requests that wait now will have started."""
        wait_ms = self._wait_seconds(len(self._entries))
        return max(MIN_RETRY_AFTER_MS, int(wait_ms * MILLISECONDS_PER_SECOND))

    def _can_make(self, entry, ahead, now):
        end = now + self._wait_seconds(ahead) + entry.seconds
        return end <= entry.deadline

    def _would_be_late(self, entry, ahead, left):
        """Return whether it would be on time, but for its wait.

        `left` are the seconds to the objective.
        """
        at_once = entry.seconds * OBJECTIVE_MARGIN
        waited = self._wait_seconds(ahead) * OBJECTIVE_MARGIN
        return at_once <= left < at_once + waited

    def _drop_expired(self, start, now):
        """Remove those from `start` on that can no longer make it."""
        kept = self._entries[:start]
        dropped = []
        for entry in self._entries[start:]:
            if self._can_make(entry, len(kept), now):
                kept.append(entry)
            else:
                dropped.append(entry)
        self._entries = kept
        return dropped

    def _wait_seconds(self, ahead):
        """Return the expected wait with so many requests ahead.

        With all slots busy, one gets free every service time / slots.
        """
        return (ahead + 1) * self.service_seconds / self._slots

    def _dequeued(self, item, expired):
        return Dequeued(
            item=item,
            expired=tuple(expired),
            retry_after_ms=self.retry_after_ms(),
        )

    def _refused(self, reason):
        return QueueRefused(
            reason=reason, retry_after_ms=self.retry_after_ms()
        )
