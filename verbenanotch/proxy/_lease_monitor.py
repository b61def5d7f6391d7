"""Track the age of this proxy's lease at the zone's control hosts."""

import time

MAX_RENEWAL_AGE_SECONDS = 2.0


class LeaseMonitor:
    """Record lease renewals, on which a holder of records relies.

    A control host removes a proxy no earlier than one lease after it received
    the last renewal. The proxy counts from the time when it sent that renewal,
    which is earlier, so its own view of the lease ends first. Times are
    monotonic seconds. `lease_gaps` counts the intervals between renewals in
    which the lease may have expired.
    """

    def __init__(self, *, clock=time.monotonic):
        """Start without any renewal."""
        self._clock = clock
        self._renewed_at = None
        self.lease_gaps = 0

    def record_renewal(self, sent_at):
        """Record that the renewal sent at `sent_at` was confirmed."""
        last = self._renewed_at
        if last is not None:
            if sent_at <= last:
                return
            if sent_at - last > MAX_RENEWAL_AGE_SECONDS:
                self.lease_gaps += 1
        self._renewed_at = sent_at

    def is_lease_valid(self):
        """Return whether no control host can have removed this proxy yet."""
        if self._renewed_at is None:
            return False
        return self._clock() - self._renewed_at <= MAX_RENEWAL_AGE_SECONDS
