"""The table of one availability zone, kept by leases."""

import attrs

from verbenanotch.membership._records import HostRecord


@attrs.define(kw_only=True)
class _Lease:
    record: HostRecord
    expires_at: float


class ZoneTable:
    """Records of the hosts of one zone; each lives as long as its lease.

    Times are monotonic seconds, passed in. `sequence` grows with every
    change that others must learn.
    """

    def __init__(self, *, availability_zone, lease_seconds):
        """Start with no hosts."""
        self.availability_zone = availability_zone
        self.lease_seconds = lease_seconds
        self.sequence = 0
        self._leases_by_host = {}

    def announce(self, record, *, now):
        """Take a record and start its lease; return whether it is newer.

        An older record than the one held changes nothing.
        """
        lease = self._leases_by_host.get(record.host)
        if lease is not None and record.order < lease.record.order:
            return False
        changed = lease is None or lease.record != record
        self._leases_by_host[record.host] = _Lease(
            record=record, expires_at=now + self.lease_seconds
        )
        if changed:
            self.sequence += 1
        return changed

    def renew(self, *, host, incarnation, sequence, now):
        """Extend a lease; return False if that record is not held."""
        lease = self._leases_by_host.get(host)
        if lease is None or lease.record.order != (incarnation, sequence):
            return False
        lease.expires_at = now + self.lease_seconds
        return True

    def release(self, *, host, incarnation):
        """End a lease at the request of its holder."""
        lease = self._leases_by_host.get(host)
        if lease is not None and lease.record.incarnation <= incarnation:
            del self._leases_by_host[host]
            self.sequence += 1

    def expire(self, *, now):
        """Drop the records whose lease has ended; return their hosts."""
        expired = [
            host
            for host, lease in self._leases_by_host.items()
            if lease.expires_at <= now
        ]
        for host in expired:
            del self._leases_by_host[host]
        if expired:
            self.sequence += 1
        return expired

    @property
    def records_by_host(self):
        """Records held now, keyed by host."""
        return {
            host: lease.record for host, lease in self._leases_by_host.items()
        }
