"""Decide which proxies of a zone are members, one view after the other."""

import attrs

from verbenanotch.idempotency._members import next_view


@attrs.define(kw_only=True)
class _Lease:
    member: object
    expires_at: float


class ViewPublisher:
    """Keep the leases of one zone's members and make its views.

    There must be one publisher of a zone at a time, and each view must be
    stored where the next publisher finds it before it is sent to anyone;
    two that publish the same epoch would break the promise of the records.
    Times are monotonic seconds.
    """

    def __init__(self, *, view, lease_seconds, now):
        """Go on from `view`, with a whole lease for each of its members."""
        self.view = view
        self._lease_seconds = lease_seconds
        self._leases_by_host = {
            member.host: _Lease(
                member=member, expires_at=now + self._lease_seconds
            )
            for member in view.members
        }

    def renew(self, member, *, now):
        """Renew a member's lease; return the newest epoch, or None.

        None tells a process that a later one of its host has joined. The
        epoch goes to `Holder.confirm`, with the time at which the holder
        asked.
        """
        lease = self._leases_by_host.get(member.host)
        if lease and member.incarnation < lease.member.incarnation:
            return None
        self._leases_by_host[member.host] = _Lease(
            member=member, expires_at=now + self._lease_seconds
        )
        return self.view.epoch

    def leave(self, member):
        """Note that a member has stopped serving, once it handed over."""
        lease = self._leases_by_host.get(member.host)
        if lease and lease.member.identity == member.identity:
            del self._leases_by_host[member.host]

    def publish(self, *, now):
        """Return the newest view, a new one if the members have changed."""
        self._leases_by_host = {
            host: lease
            for host, lease in self._leases_by_host.items()
            if now < lease.expires_at
        }
        members = [lease.member for lease in self._leases_by_host.values()]
        self.view = next_view(self.view, members)
        return self.view
