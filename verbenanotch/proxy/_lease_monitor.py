"""How long ago a control host of the zone last renewed the lease."""

import time

MAX_SILENCE_SECONDS = 2.0


class LeaseMonitor:
    """Watch renewals of the lease; a holder of records relies on them.

    A control host leaves a proxy out at the earliest one lease after it
    received a renewal, so that the time when the renewal was sent bounds the
    proxy's own view from below. Times are monotonic seconds.
    """

    def __init__(self, *, clock=time.monotonic):
        """Start without any renewal."""
        self._clock = clock
        self._renewed_at = None
        self.lease_gaps = 0

    def record_renewal(self, sent_at):
        """Take the answer to a renewal that was sent at `sent_at`."""
        last = self._renewed_at
        if last is not None:
            if sent_at <= last:
                return
            if sent_at - last > MAX_SILENCE_SECONDS:
                self.lease_gaps += 1
        self._renewed_at = sent_at

    def is_lease_valid(self):
        """Return whether the zone cannot have left this proxy out."""
        if self._renewed_at is None:
            return False
        return self._clock() - self._renewed_at <= MAX_SILENCE_SECONDS
