"""The targets at which one request has been tried."""

import math

import attrs

# Moves of a request from a target at which it would wait. Each one costs the
# time between two hosts, and after them the request waits.
MAX_MOVES = 2
MILLISECONDS_PER_SECOND = 1000


@attrs.define(kw_only=True)
class TriedTargets:
    """The targets that a request is not sent to again.

    A target that refused it because of the wait is used again if no other
    target is left; it then waits there. `failed_ids` are the targets where
    it may have run without an answer.
    """

    target_ids: set = attrs.field(factory=set)
    failed_ids: set = attrs.field(factory=set)
    _last_id: str = ""
    _busy_ids: set = attrs.field(factory=set)
    _moves: int = 0

    @property
    def attempt_count(self):
        """Return the number of targets that it did not move away from."""
        return len(self.target_ids - self._busy_ids)

    def add(self, target_id):
        """Record that the request is sent to a target."""
        self.target_ids.add(target_id)
        self._last_id = target_id

    def record_end(self, *, has_failed):
        """Record whether the last target may have run it without an answer."""
        if has_failed:
            self.failed_ids.add(self._last_id)

    def record_move(self):
        """Record that the last target was busy; return whether to move."""
        if self._moves >= MAX_MOVES:
            return False
        self._moves += 1
        self._busy_ids.add(self._last_id)
        return True

    def restore_busy(self):
        """Allow busy targets again, without moves; return if there are any."""
        if not self._busy_ids:
            return False
        self.target_ids -= self._busy_ids
        self._busy_ids = set()
        self._moves = MAX_MOVES
        return True

    def max_wait_ms(self, seconds):
        """Return the wait for the next call; 0 if it waits for any time."""
        if self._moves >= MAX_MOVES or math.isinf(seconds):
            return 0
        return max(1, int(seconds * MILLISECONDS_PER_SECOND))
