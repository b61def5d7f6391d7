"""Track the age of this proxy's lease at the zone's control hosts."""

import time

# Less than the shortest lease that the settings allow (`control.lease_ms`).
MAX_RENEWAL_AGE_SECONDS = 2.0


class LeaseMonitor:
    """Record lease renewals and return whether the lease is valid.

    Only a host with a valid lease may start keyed requests as a holder.

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
        """Record that a control host confirmed the renewal sent at `sent_at`.

        A gap is counted when the renewal after it is confirmed.
        """
        last = self._renewed_at
        if last is not None:
            if sent_at <= last:
                return
            if sent_at - last > MAX_RENEWAL_AGE_SECONDS:
                self.lease_gaps += 1
        self._renewed_at = sent_at

    def is_lease_valid(self):
        """Return whether the lease can't have expired at a control host."""
        if self._renewed_at is None:
            return False
        return self._clock() - self._renewed_at <= MAX_RENEWAL_AGE_SECONDS
