"""The publisher of the views of one zone."""

import attrs

from verbenanotch.idempotency._members import next_view


@attrs.define(kw_only=True)
class _Lease:
    member: object
    expires_at: float


class ViewPublisher:
    """Manage the leases of one zone's members and publish its views.

    A zone must have only one publisher at a time, and each view must be
    stored where the next publisher finds it before it is sent to any member:
    if two different views had the same epoch, a key could run twice. Times
    are in monotonic seconds.
    """

    def __init__(self, *, view, lease_seconds, now):
        """Continue from `view`, with a full lease for each of its members."""
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

        None means that a later process of the member's host has joined. The
        caller passes the epoch to `Holder.renew_lease`, with the time at which
        the holder asked for the renewal.
        """
        lease = self._leases_by_host.get(member.host)
        if lease and member.incarnation < lease.member.incarnation:
            return None
        self._leases_by_host[member.host] = _Lease(
            member=member, expires_at=now + self._lease_seconds
        )
        return self.view.epoch

    def leave(self, member):
        """End the lease of a member.

        The member must have stopped serving and transferred its records.
        """
        lease = self._leases_by_host.get(member.host)
        if lease and lease.member.identity == member.identity:
            del self._leases_by_host[member.host]

    def publish(self, *, now):
        """Return the newest view, which is new if the members have changed.

        Members whose lease has expired are not in it.
        """
        self._leases_by_host = {
            host: lease
            for host, lease in self._leases_by_host.items()
            if now < lease.expires_at
        }
        members = [lease.member for lease in self._leases_by_host.values()]
        self.view = next_view(self.view, members)
        return self.view
