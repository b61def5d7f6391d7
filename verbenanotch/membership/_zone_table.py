"""The host records of one availability zone and their leases."""

import attrs

from verbenanotch.membership._drains import Drains
from verbenanotch.membership._records import HostRecord

# A mass loss is the loss of at least this share of the hosts, and of at least
# this number of hosts, at once.
MASS_EXPIRY_SHARE = 0.3
MASS_EXPIRY_MIN_HOSTS = 2
SUSPECT_RETENTION_SECONDS = 300.0
# Suspects are dropped only while at least this share of the hosts is live.
MIN_LIVE_SHARE_TO_DROP = 0.5


@attrs.define(kw_only=True)
class _Lease:
    """The record of one host, and which control hosts have its lease.

    `direct` is True if the host renews its lease at this control host.
    `sources` are the zone's other control hosts that have a lease for it.
    `expires_at` and `suspect_since` are in monotonic seconds;
    `suspect_since` is None unless the host is suspect.
    """

    record: HostRecord
    expires_at: float
    direct: bool = True
    sources: set[str] = attrs.field(factory=set)
    suspect_since: float | None = None


@attrs.frozen(kw_only=True)
class Expiry:
    """Hosts that were dropped, and hosts that have become suspect."""

    dropped: tuple[str, ...] = ()
    suspected: tuple[str, ...] = ()


def is_mass_loss(lost_count, total_count):
    """Return whether too many hosts were lost at once to have all failed."""
    bound = max(MASS_EXPIRY_MIN_HOSTS, MASS_EXPIRY_SHARE * total_count)
    return lost_count >= bound


class ZoneTable:
    """Records of the hosts of one zone, each kept while it has a lease.

    Times are passed in, in monotonic seconds. `sequence` increases with
    every change that must be sent to others. A remote lease, at another
    control host of the zone, keeps a record too. If many leases end within
    one lease time, a fault of this control host is more likely than a
    failure of all these hosts: they are kept and marked suspect.
    """

    def __init__(self, *, availability_zone, lease_seconds, started_at=0.0):
        """Start with no hosts."""
        self.availability_zone = availability_zone
        self.lease_seconds = lease_seconds
        self.sequence = 0
        self._warmed_up_at = started_at + lease_seconds
        self._leases_by_host = {}
        self._ended_at_by_host = {}
        self._drains = Drains()

    def warm_up_remaining_seconds(self, *, now):
        """Return the seconds until all hosts have had time to announce."""
        return max(0.0, self._warmed_up_at - now)

    def announce(self, record, *, now):
        """Store a record and start its lease.

        Returns whether the record changed. One that is older than the stored
        record is ignored. A target that was drained before stays draining.
        """
        lease = self._leases_by_host.get(record.host)
        if lease is not None and record.order < lease.record.order:
            return False
        had_no_direct_lease = lease is not None and not lease.direct
        changed = self._store_record(record, now)
        if had_no_direct_lease and not changed:
            self.sequence += 1
        lease = self._leases_by_host[record.host]
        lease.direct = True
        lease.expires_at = now + self.lease_seconds
        lease.suspect_since = None
        return changed

    def renew(self, *, host, incarnation, sequence, now):
        """Extend a lease; return False if its record is not the stored one."""
        lease = self._leases_by_host.get(host)
        if lease is None or lease.record.order != (incarnation, sequence):
            return False
        if not lease.direct:
            # The other control hosts must be sent the new direct lease.
            self.sequence += 1
        lease.direct = True
        lease.expires_at = now + self.lease_seconds
        lease.suspect_since = None
        return True

    def release(self, *, host, incarnation):
        """End the lease of a host at its own request.

        A stored record of a higher incarnation is kept.
        """
        lease = self._leases_by_host.get(host)
        if lease is not None and lease.record.incarnation <= incarnation:
            del self._leases_by_host[host]
            self.sequence += 1

    def add_remote_lease(self, record, *, source, now):
        """Store a record for which another control host has a lease."""
        lease = self._leases_by_host.get(record.host)
        if lease is None or lease.record.order < record.order:
            direct = lease is not None and lease.direct
            self._store_record(record, now)
            self._leases_by_host[record.host].direct = direct
        lease = self._leases_by_host[record.host]
        lease.sources.add(source)
        lease.suspect_since = None

    def remove_remote_lease(self, *, host, source, now, grace_seconds=0.0):
        """Record that another control host no longer has a lease for a host.

        The record is kept for at least `grace_seconds`. This is for a lost
        connection to the source, which has not reported the end of the lease.
        """
        lease = self._leases_by_host.get(host)
        if lease is not None and source in lease.sources:
            lease.sources.discard(source)
            end = now + grace_seconds
            lease.expires_at = max(lease.expires_at, end)

    def expire(self, *, now):
        """End the leases that were not renewed; return an Expiry."""
        self._discard_old_end_times(now)
        self._end_expired_direct_leases(now)
        ended = [
            host
            for host, lease in self._leases_by_host.items()
            if lease.suspect_since is None
            and not lease.sources
            and lease.expires_at <= now
        ]
        overdue = self._overdue_suspects(now)
        if not ended and not overdue:
            return Expiry()
        for host in ended:
            self._ended_at_by_host[host] = now
        self.sequence += 1
        if self._is_mass_expiry(len(ended)):
            self._mark_suspect(ended, now)
            self._drop(overdue)
            return Expiry(dropped=tuple(overdue), suspected=tuple(ended))
        self._drop(ended + overdue)
        return Expiry(dropped=tuple(ended + overdue))

    @property
    def records_by_host(self):
        """Return the current records by host, including suspect hosts."""
        return {
            host: lease.record for host, lease in self._leases_by_host.items()
        }

    @property
    def direct_records_by_host(self):
        """Return the records by host that have a live direct lease."""
        return {
            host: lease.record
            for host, lease in self._leases_by_host.items()
            if lease.direct and lease.suspect_since is None
        }

    def hosts_renewed_since(self, since):
        """Return the hosts whose direct lease was renewed after `since`.

        `since` is in monotonic seconds.
        """
        return frozenset(
            host
            for host, lease in self._leases_by_host.items()
            if lease.direct
            and lease.suspect_since is None
            and lease.expires_at - self.lease_seconds >= since
        )

    @property
    def suspect_hosts(self):
        """Return the hosts whose lease ended together with many others."""
        return frozenset(
            host
            for host, lease in self._leases_by_host.items()
            if lease.suspect_since is not None
        )

    def get(self, host):
        """Return the record of a host, or None."""
        lease = self._leases_by_host.get(host)
        return None if lease is None else lease.record

    def _store_record(self, record, now):
        record = self._drains.apply(record)
        lease = self._leases_by_host.get(record.host)
        if lease is not None and lease.record == record:
            return False
        sources = set() if lease is None else lease.sources
        expires_at = now if lease is None else lease.expires_at
        self._leases_by_host[record.host] = _Lease(
            record=record, expires_at=expires_at, sources=sources
        )
        self.sequence += 1
        return True

    def _end_expired_direct_leases(self, now):
        """End the expired direct leases of hosts that also have remote leases.

        Otherwise two control hosts would each send the other the record of a
        failed host, and the remote leases would keep it indefinitely.
        """
        for lease in self._leases_by_host.values():
            if lease.direct and lease.sources and lease.expires_at <= now:
                lease.direct = False
                self.sequence += 1

    def _discard_old_end_times(self, now):
        limit = now - self.lease_seconds
        self._ended_at_by_host = {
            host: ended_at
            for host, ended_at in self._ended_at_by_host.items()
            if ended_at > limit
        }

    def _is_mass_expiry(self, ended_count):
        recent_count = len(self._ended_at_by_host)
        total_count = len(self._leases_by_host.keys() | self._ended_at_by_host)
        return ended_count > 0 and is_mass_loss(recent_count, total_count)

    def _overdue_suspects(self, now):
        """Return the suspects to drop, if enough of the hosts are live."""
        suspects = self.suspect_hosts
        live_count = len(self._leases_by_host) - len(suspects)
        if live_count < MIN_LIVE_SHARE_TO_DROP * len(self._leases_by_host):
            return []
        limit = now - SUSPECT_RETENTION_SECONDS
        return [
            host
            for host in suspects
            if self._leases_by_host[host].suspect_since <= limit
        ]

    def _mark_suspect(self, hosts, now):
        for host in hosts:
            lease = self._leases_by_host[host]
            lease.suspect_since = now
            lease.direct = False

    def _drop(self, hosts):
        for host in hosts:
            del self._leases_by_host[host]
