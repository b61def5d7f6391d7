"""Limit the number of subscriptions that start concurrently."""

import dataclasses

from verbenanotch.catalog import Version

# Subscriptions that may wait, for each one that may start concurrently.
WAITING_PER_SLOT = 4
RETRY_AFTER_BASE_MS = 250
RETRY_AFTER_MAX_MS = 5000


@dataclasses.dataclass(frozen=True, kw_only=True)
class Admitted:
    """The subscription may start."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Queued:
    """The subscription waits until another start has ended."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Refused:
    """Too many subscriptions are waiting; retry after this time."""

    retry_after_ms: int


class Admission:
    """Admit a limited number of subscriptions, newest current version first.

    A proxy with a newer version costs less to update. Every proxy that has a
    version serves callers while it waits.
    """

    def __init__(self, *, limit):
        """Admit at most `limit` subscriptions concurrently."""
        self._limit = limit
        self._active = set()
        self._versions_by_waiting_key = {}
        self._consecutive_refusals = 0

    def request(self, key, *, current_version: Version):
        """Request a start; return Admitted, Queued or Refused."""
        if key in self._active:
            return Admitted()
        if len(self._active) < self._limit:
            self._active.add(key)
            self._consecutive_refusals = 0
            return Admitted()
        if (
            len(self._versions_by_waiting_key)
            >= self._limit * WAITING_PER_SLOT
        ):
            self._consecutive_refusals += 1
            return Refused(retry_after_ms=self._retry_after_ms())
        self._versions_by_waiting_key[key] = current_version
        return Queued()

    def finish(self, key):
        """End a start or its wait; return the key admitted next, or None."""
        self._versions_by_waiting_key.pop(key, None)
        if key not in self._active:
            return None
        self._active.discard(key)
        if not self._versions_by_waiting_key:
            return None
        next_key = max(
            self._versions_by_waiting_key,
            key=self._versions_by_waiting_key.__getitem__,
        )
        del self._versions_by_waiting_key[next_key]
        self._active.add(next_key)
        return next_key

    def _retry_after_ms(self):
        factor = 1 + self._consecutive_refusals // self._limit
        return min(RETRY_AFTER_MAX_MS, RETRY_AFTER_BASE_MS * factor)
