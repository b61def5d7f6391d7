"""Bounded queue of waiting requests, ordered by rank and deadline.

It is used when a target receives more requests than it can handle. The
request with the lowest rank runs first; among equal ranks it is the one with
the earliest deadline. A request that can no longer meet its deadline is
refused as soon as that is known. A target under lasting overload answers the
same number of requests with a long queue as with a short one; with a short
queue the answered requests meet their objective, and the others are refused
early and can be retried sooner.

Client accounts share the places of their rank. The load pattern: one account
sends several times as much as all others, and their requests find the queue
full of its own.
"""

import bisect
import collections
import dataclasses
import itertools
import math
from typing import Any

from verbenanotch.routing._durations import (
    OBJECTIVE_MARGIN,
    SERVICE_TIME_EWMA_WEIGHT,
)

MIN_RETRY_AFTER_MS = 10
MILLISECONDS_PER_SECOND = 1000


@dataclasses.dataclass(frozen=True, kw_only=True)
class Queued:
    """The request waits; `ticket` identifies it to `cancel`.

    `refused` holds the items of waiting requests that the new one displaced,
    or that can no longer meet their deadline because of it. They were not
    run; each is refused with `retry_after_ms`.
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
    """The next request to run, or None, and the expired requests.

    An expired request can no longer meet its deadline. It was not run and is
    refused with `retry_after_ms`.
    """

    item: Any
    expired: tuple[Any, ...]
    retry_after_ms: int


@dataclasses.dataclass(frozen=True, kw_only=True, order=True)
class _Entry:
    """A waiting request, ordered by rank, then deadline, then arrival.

    `seconds` is its expected service time, `account` the client account that
    it belongs to.
    """

    rank: int
    deadline: float
    ticket: int
    item: Any = dataclasses.field(compare=False)
    seconds: float = dataclasses.field(compare=False)
    account: str = dataclasses.field(compare=False)


class DeadlineQueue:
    """Queue requests while the target has no free slot.

    Times are monotonic seconds. Whether a request can meet its deadline is
    estimated from the measured service time and the number of `slots`.
    """

    def __init__(self, *, max_length, slots, service_seconds=0.0):
        """Start empty.

        `service_seconds` is the initial mean service time. If it is 0, the
        mean starts at the first service time observed.
        """
        self._max_length = max_length
        self._slots = slots
        self._entries = []
        self._tickets = itertools.count(1)
        self.service_seconds = service_seconds

    def __len__(self):
        """Return the number of waiting requests."""
        return len(self._entries)

    def observe(self, seconds):
        """Record the service time of one request at the target."""
        if self.service_seconds == 0.0:
            self.service_seconds = seconds
        self.service_seconds += SERVICE_TIME_EWMA_WEIGHT * (
            seconds - self.service_seconds
        )

    def offer(
        self,
        item,
        deadline,
        now,
        *,
        rank=0,
        objective=math.inf,
        seconds=None,
        account="",
    ):
        """Add a request; return Queued, or QueueRefused without waiting.

        `item` is returned when the request runs or is refused. The lowest
        `rank` runs first. `objective` is the time by which the request
        should be answered, and `seconds` its expected service time, by
        default the mean. A request that would miss its objective only
        because of its wait is refused.

        A full queue refuses its last request in favour of one that sorts
        before it. Among requests of equal rank the last one has the latest
        deadline: calls made by running requests have the earliest deadlines,
        and refusing them would waste the work of the requests that made them.

        The last request is that of the `account` with the most requests of
        the last rank, and a request that would be refused for its wait takes
        the place of one of an account with at least two more of its rank.
        """
        entry = _Entry(
            rank=rank,
            deadline=deadline,
            ticket=next(self._tickets),
            item=item,
            seconds=self.service_seconds if seconds is None else seconds,
            account=account,
        )
        refused = []
        reason = self._refusal_by_wait(entry, objective, now)
        if reason:
            displaced = self._larger_account_ahead(entry)
            if displaced is None:
                return self._refused(reason)
            self._entries.remove(displaced)
            reason = self._refusal_by_wait(entry, objective, now)
            if reason:
                bisect.insort(self._entries, displaced)
                return self._refused(reason)
            refused.append(displaced)
        if len(self._entries) >= self._max_length:
            last = self._last_of_largest_account(entry)
            if last is entry:
                return self._refused("queue-full")
            self._entries.remove(last)
            refused.append(last)
        index = bisect.bisect(self._entries, entry)
        self._entries.insert(index, entry)
        refused += self._drop_expired(index + 1, now)
        return Queued(
            ticket=entry.ticket,
            refused=tuple(other.item for other in refused),
            retry_after_ms=self.retry_after_ms(),
        )

    def dequeue(self, now):
        """Return Dequeued with the first request that can meet its deadline.

        Removes that request and the expired ones before it.
        """
        expired = []
        while self._entries:
            entry = self._entries.pop(0)
            if now + entry.seconds <= entry.deadline:
                return self._dequeued(entry.item, expired)
            expired.append(entry.item)
        return self._dequeued(None, expired)

    def cancel(self, ticket):
        """Remove a request whose caller has disconnected.

        Returns whether the request was still waiting.
        """
        kept = [entry for entry in self._entries if entry.ticket != ticket]
        was_waiting = len(kept) < len(self._entries)
        self._entries = kept
        return was_waiting

    def retry_after_ms(self):
        """Return the milliseconds until all waiting requests have started.

        This is an expected time, of at least `MIN_RETRY_AFTER_MS`.
        """
        wait_seconds = self._wait_seconds(len(self._entries))
        return max(
            MIN_RETRY_AFTER_MS, int(wait_seconds * MILLISECONDS_PER_SECOND)
        )

    def expected_wait_seconds(self, deadline, *, rank=0):
        """Return the expected wait of a new request, behind those before it.

        It is that of a request with a `deadline` and a `rank`; see `offer`.
        """
        ahead_count = bisect.bisect(
            self._entries,
            (rank, deadline),
            key=lambda entry: (entry.rank, entry.deadline),
        )
        return self._wait_seconds(ahead_count)

    def _refusal_by_wait(self, entry, objective, now):
        """Return why a request would wait too long, or ""."""
        ahead_count = bisect.bisect(self._entries, entry)
        if not self._can_meet_deadline(entry, ahead_count, now):
            return "deadline"
        if self._misses_objective_by_waiting(
            entry, ahead_count, objective - now
        ):
            return "objective"
        return ""

    def _larger_account_ahead(self, entry):
        """Return a request whose place a new one may take, or None.

        It is the last one, ahead of the new one, of the account with the most
        requests of the same rank, at least two more than that of the new one.
        """
        if not entry.account:
            return None
        counts = self._counts_by_account(entry.rank)
        own_count = counts[entry.account]
        ahead = [
            other
            for other in self._entries
            if other < entry
            and other.rank == entry.rank
            and counts[other.account] >= own_count + 2
        ]
        return max(
            ahead,
            key=lambda other: (counts[other.account], other),
            default=None,
        )

    def _last_of_largest_account(self, entry):
        """Return the request that a full queue with a new one refuses.

        It is the last request of the account that has the most of the last
        rank.
        """
        entries = [*self._entries, entry]
        rank = max(other.rank for other in entries)
        counts = self._counts_by_account(rank)
        counts[entry.account] += entry.rank == rank
        return max(
            (other for other in entries if other.rank == rank),
            key=lambda other: (counts[other.account], other),
        )

    def _counts_by_account(self, rank):
        return collections.Counter(
            other.account for other in self._entries if other.rank == rank
        )

    def _can_meet_deadline(self, entry, ahead_count, now):
        expected_end = now + self._wait_seconds(ahead_count) + entry.seconds
        return expected_end <= entry.deadline

    def _misses_objective_by_waiting(
        self, entry, ahead_count, seconds_to_objective
    ):
        """Return whether only its wait makes a request miss its objective."""
        unqueued_seconds = entry.seconds * OBJECTIVE_MARGIN
        queue_seconds = self._wait_seconds(ahead_count) * OBJECTIVE_MARGIN
        return (
            unqueued_seconds
            <= seconds_to_objective
            < unqueued_seconds + queue_seconds
        )

    def _drop_expired(self, start, now):
        """Remove and return entries that can't meet their deadline.

        Checks the entries from index `start` on.
        """
        kept = self._entries[:start]
        expired = []
        for entry in self._entries[start:]:
            if self._can_meet_deadline(entry, len(kept), now):
                kept.append(entry)
            else:
                expired.append(entry)
        self._entries = kept
        return expired

    def _wait_seconds(self, ahead_count):
        """Return the expected wait behind `ahead_count` requests.

        While all slots are busy, one becomes free every service time / slots.
        """
        return (ahead_count + 1) * self.service_seconds / self._slots

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
