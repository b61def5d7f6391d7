"""The table of one availability zone, kept by leases."""

import attrs

from verbenanotch.membership._records import HostRecord

MASS_EXPIRY_SHARE = 0.3
MASS_EXPIRY_MIN_HOSTS = 2
SUSPECT_HOLD_SECONDS = 300.0
TRUSTED_LIVE_SHARE = 0.5


@attrs.define(kw_only=True)
class _Lease:
    """What is held of one host.

    `direct` tells whether the host itself took the lease here. `sources`
    are the zone's other control hosts that hold a lease for it.
    """

    record: HostRecord
    expires_at: float
    direct: bool = True
    sources: set[str] = attrs.field(factory=set)
    suspect_since: float | None = None


@attrs.frozen(kw_only=True)
class Expiry:
    """Hosts dropped, and hosts newly kept as suspect."""

    dropped: tuple[str, ...] = ()
    suspected: tuple[str, ...] = ()


def is_mass(gone_count, known_count):
    """Return whether so many hosts are unlikely to be gone at once."""
    bound = max(MASS_EXPIRY_MIN_HOSTS, MASS_EXPIRY_SHARE * known_count)
    return gone_count >= bound


class ZoneTable:
    """Records of the hosts of one zone; each lives as long as its lease.

    Times are monotonic seconds, passed in. `sequence` grows with every
    change that others must learn. A lease may also be held at another
    control host of the zone, which then vouches for the host. When many
    leases end within one lease time, the fault is more likely to be here
    than at all of the hosts: they are kept and marked suspect.
    """

    def __init__(self, *, availability_zone, lease_seconds, started_at=0.0):
        """Start with no hosts."""
        self.availability_zone = availability_zone
        self.lease_seconds = lease_seconds
        self.sequence = 0
        self._warmed_up_at = started_at + lease_seconds
        self._leases_by_host = {}
        self._ended_at_by_host = {}

    def warm_up_remaining_seconds(self, *, now):
        """Return the seconds until every live host can have announced."""
        return max(0.0, self._warmed_up_at - now)

    def announce(self, record, *, now):
        """Take a record and start its lease; return whether it is newer.

        An older record than the one held changes nothing.
        """
        lease = self._leases_by_host.get(record.host)
        if lease is not None and record.order < lease.record.order:
            return False
        renewed_elsewhere = lease is not None and not lease.direct
        changed = self._hold(record, now)
        if renewed_elsewhere and not changed:
            self.sequence += 1
        lease = self._leases_by_host[record.host]
        lease.direct = True
        lease.expires_at = now + self.lease_seconds
        lease.suspect_since = None
        return changed

    def renew(self, *, host, incarnation, sequence, now):
        """Extend a lease; return False if that record is not held."""
        lease = self._leases_by_host.get(host)
        if lease is None or lease.record.order != (incarnation, sequence):
            return False
        if not lease.direct:
            # Other control hosts must learn that this one vouches for it.
            self.sequence += 1
        lease.direct = True
        lease.expires_at = now + self.lease_seconds
        lease.suspect_since = None
        return True

    def release(self, *, host, incarnation):
        """End a lease at the request of its holder."""
        lease = self._leases_by_host.get(host)
        if lease is not None and lease.record.incarnation <= incarnation:
            del self._leases_by_host[host]
            self.sequence += 1

    def add_remote_lease(self, record, *, source, now):
        """Take a record that another control host holds a lease for."""
        lease = self._leases_by_host.get(record.host)
        if lease is None or lease.record.order < record.order:
            direct = lease is not None and lease.direct
            self._hold(record, now)
            self._leases_by_host[record.host].direct = direct
        lease = self._leases_by_host[record.host]
        lease.sources.add(source)
        lease.suspect_since = None

    def remove_remote_lease(self, *, host, source, now, hold_seconds=0.0):
        """Note that a control host no longer vouches for a host.

        With `hold_seconds` the lease goes on that long, for a source that
        was lost and so has not said that the host is gone.
        """
        lease = self._leases_by_host.get(host)
        if lease is not None and source in lease.sources:
            lease.sources.discard(source)
            end = now + hold_seconds
            lease.expires_at = max(lease.expires_at, end)

    def expire(self, *, now):
        """End leases that were not renewed; return what became of them."""
        self._forget_old_ends(now)
        self._end_direct(now)
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
            self._suspect(ended, now)
            self._drop(overdue)
            return Expiry(dropped=tuple(overdue), suspected=tuple(ended))
        self._drop(ended + overdue)
        return Expiry(dropped=tuple(ended + overdue))

    @property
    def records_by_host(self):
        """Records held now, suspect ones included, keyed by host."""
        return {
            host: lease.record for host, lease in self._leases_by_host.items()
        }

    @property
    def direct_records_by_host(self):
        """Records whose host holds a live lease here, keyed by host."""
        return {
            host: lease.record
            for host, lease in self._leases_by_host.items()
            if lease.direct and lease.suspect_since is None
        }

    @property
    def suspect_hosts(self):
        """Hosts whose lease ended together with many others."""
        return frozenset(
            host
            for host, lease in self._leases_by_host.items()
            if lease.suspect_since is not None
        )

    def get(self, host):
        """Return the record of a host, or None."""
        lease = self._leases_by_host.get(host)
        return None if lease is None else lease.record

    def _hold(self, record, now):
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

    def _end_direct(self, now):
        """Stop vouching for hosts whose own lease here has ended.

        Otherwise two control hosts would vouch for a dead host for ever.
        """
        for lease in self._leases_by_host.values():
            if lease.direct and lease.sources and lease.expires_at <= now:
                lease.direct = False
                self.sequence += 1

    def _forget_old_ends(self, now):
        limit = now - self.lease_seconds
        self._ended_at_by_host = {
            host: ended_at
            for host, ended_at in self._ended_at_by_host.items()
            if ended_at > limit
        }

    def _is_mass_expiry(self, ended_count):
        recent = len(self._ended_at_by_host)
        known = len(self._leases_by_host.keys() | self._ended_at_by_host)
        return ended_count > 0 and is_mass(recent, known)

    def _overdue_suspects(self, now):
        """Return suspects to drop, if the view of the rest is sound."""
        suspects = self.suspect_hosts
        live = len(self._leases_by_host) - len(suspects)
        if live < TRUSTED_LIVE_SHARE * len(self._leases_by_host):
            return []
        limit = now - SUSPECT_HOLD_SECONDS
        return [
            host
            for host in suspects
            if self._leases_by_host[host].suspect_since <= limit
        ]

    def _suspect(self, hosts, now):
        for host in hosts:
            lease = self._leases_by_host[host]
            lease.suspect_since = now
            lease.direct = False

    def _drop(self, hosts):
        for host in hosts:
            del self._leases_by_host[host]
