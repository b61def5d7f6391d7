"""Bound the subscriptions that start at a time."""

import dataclasses

from verbenanotch.catalog import Version

WAITING_PER_SLOT = 4
RETRY_AFTER_BASE_MS = 250
RETRY_AFTER_MAX_MS = 5000


@dataclasses.dataclass(frozen=True, kw_only=True)
class Admitted:
    """The subscription may start."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Queued:
    """The subscription starts when another one is done."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Refused:
    """Too many wait already."""

    retry_after_ms: int


class Admission:
    """Start a bounded number at a time; holders of newer versions first.

    Those cost least, and each of them serves callers while it waits.
    """

    def __init__(self, *, limit):
        """Start at most `limit` at a time."""
        self._limit = limit
        self._active = set()
        self._versions_by_waiting = {}
        self._refused_in_row = 0

    def request(self, key, *, current_version: Version):
        """Ask to start; return Admitted, Queued or Refused."""
        if key in self._active:
            return Admitted()
        if len(self._active) < self._limit:
            self._active.add(key)
            self._refused_in_row = 0
            return Admitted()
        if len(self._versions_by_waiting) >= self._limit * WAITING_PER_SLOT:
            self._refused_in_row += 1
            return Refused(retry_after_ms=self._retry_after_ms())
        self._versions_by_waiting[key] = current_version
        return Queued()

    def finish(self, key):
        """Note that a start is done or given up; return who is next."""
        self._versions_by_waiting.pop(key, None)
        if key not in self._active:
            return None
        self._active.discard(key)
        if not self._versions_by_waiting:
            return None
        latest = max(
            self._versions_by_waiting,
            key=self._versions_by_waiting.__getitem__,
        )
        del self._versions_by_waiting[latest]
        self._active.add(latest)
        return latest

    def _retry_after_ms(self):
        share = 1 + self._refused_in_row // self._limit
        return min(RETRY_AFTER_MAX_MS, RETRY_AFTER_BASE_MS * share)
