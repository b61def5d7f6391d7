"""Agreement of the members on their set, which determines the holders of keys.

Each host has its own view of the members, and the views of two hosts may
differ for a while. A key must never be started both by its holders under one
set of members and by other holders under another set. Three rules ensure
this:

- A member replies that it agrees to a set only if it sees this set itself
  and has transferred its records to their holders under it.
- A set is agreed, and in use at a member, once this member has transferred
  its own records and all other members have agreed to it. One member, the
  collector, asks all others; the others learn from the collector that the set
  is in use there. So a change takes messages in proportion to the members.
- A holder starts a key only if the coordinator names the holders that the
  key has both under the set that this holder sees now and under the last set
  in use at this holder.

A member that has agreed to a set sees that set, so by the third rule it no
longer starts keys with the different holders of an earlier one. Two sets
that give a key different holders are thus never both in use, except if none of
the holders under one set belongs to the other set. This case is excluded by a
precondition that this module does not check: hosts may leave a holder out of
their set only after it has stopped starting keys. See `RecordServer` in the
proxy package, which uses the host's lease for this.
"""

import hashlib

import attrs
import msgpack

from verbenanotch.idempotency._coordinator import HolderTable
from verbenanotch.idempotency._members import View, identities
from verbenanotch.idempotency._messages import Record
from verbenanotch.wire import message

NEVER_AGREED = -1
SET_DIGEST_BYTES = 16
# The longest lease (`control.lease_ms`). For one lease after its start a
# control host may know too few hosts, so that several new members may each
# see only themselves; keys that are issued in this time are not started.
INCOMPLETE_VIEW_MS = 3000


@message(514)
@attrs.frozen(kw_only=True)
class Agree:
    """Ask a member whether it agrees to the set with this digest.

    It agrees if it sees the same members and has transferred its records to
    their holders under this set. See `set_digest`.
    """

    digest: bytes


@message(515)
@attrs.frozen(kw_only=True)
class Agreed:
    """Reply to Agree.

    `in_use` means that the set is in use at the sender, which then has all
    records of which it is a holder.

    `complete_since_ms` is the time since which the records of the sender are
    complete, in milliseconds since 1970, or NEVER_AGREED if no set has been
    in use at the sender since its start or its last reset. The receiver uses
    the maximum over all members.
    """

    agreed: bool
    in_use: bool
    complete_since_ms: int


@message(516)
@attrs.frozen(kw_only=True)
class RecordBatch:
    """Records, sent to a holder of their keys under a new set of members."""

    records: tuple[Record, ...]


def set_digest(members):
    """Return a digest that is equal for equal sets of identities."""
    return hashlib.blake2b(
        msgpack.packb(members), digest_size=SET_DIGEST_BYTES
    ).digest()


class HolderAgreement:
    """The agreement from the point of view of one member.

    Times are in milliseconds since 1970. Attributes:

    - `digest`: the digest of the set seen now.
    - `is_collector`: whether this member collects the agreement of all.
    - `complete_since_ms`: a key that was issued after this time and has no
      record here was never started. This stays true over a change in which
      at most one member is lost, since the other holder of each key
      transfers its records.
    - `missing_count`: how many members of a set that may be in use are
      missing from the set seen now; the maximum if there are several such
      sets.
    - `transferred`: whether this member has transferred its records to their
      holders under the set seen now.
    """

    def __init__(self, *, clock_margin_ms):
        """Start without any members.

        `clock_margin_ms` is the allowance for differences between the wall
        clocks of hosts.
        """
        self._identity = None
        self._clock_margin_ms = clock_margin_ms
        self._members = ()
        self._table = HolderTable(
            View(availability_zone="", epoch=0, members=())
        )
        self._agreed_table = None
        self._possible_sets_in_use = []
        self._pending_identities = set()
        self.digest = set_digest(())
        self.is_collector = False
        # The own time is sent in replies to Agree. The joint time is the
        # maximum of the own time and of those that other members sent.
        self._own_complete_since_ms = NEVER_AGREED
        self._joint_complete_since_ms = NEVER_AGREED
        self.transferred = False
        self.missing_count = 0
        self.complete_since_ms = NEVER_AGREED

    @property
    def members(self):
        """Return the identities of the members seen now."""
        return tuple(member.identity for member in self._members)

    @property
    def is_agreed(self):
        """Return whether all members have agreed to the set seen now."""
        return self._agreed_table is self._table

    @property
    def other_members(self):
        """Return the members seen now without this host."""
        return [
            member
            for member in self._members
            if member.identity != self._identity
        ]

    @property
    def pending_members(self):
        """Return the members to ask: all others, or just the collector.

        Those whose reply is not needed any more are left out.
        """
        return [
            member
            for member in self._members
            if member.identity in self._pending_identities
        ]

    @property
    def is_member(self):
        """Return whether this host is among the members seen now."""
        return self._identity in self.members

    def propose(self, members, *, identity, table, wall_ms):
        """Start an agreement on `members`, the set that this host sees now.

        `table` is the HolderTable of the members. `identity` is the identity
        under which other hosts see this host. The set that was in use before
        stays in use for keys with the same holders under both.
        """
        self._identity = identity
        self._members = members
        self._table = table
        self.digest = set_digest(self.members)
        # All members have to choose the same one.
        collector = min(self.members, default=None)
        self.is_collector = self._identity == collector
        self._pending_identities = (
            set(self.members) if self.is_collector else {collector}
        ) - {self._identity, None}
        self.transferred = False
        present = set(self.members)
        self.missing_count = max(
            (
                len(possible_set - present)
                for possible_set in self._possible_sets_in_use
            ),
            default=0,
        )
        if self.missing_count > 1:
            # Both holders of a key may be missing, and its record with them.
            self._own_complete_since_ms = wall_ms + self._clock_margin_ms
        else:
            self._own_complete_since_ms = self.complete_since_ms
        self._joint_complete_since_ms = self._own_complete_since_ms

    def holders(self, key):
        """Return the holders of a key among the members seen now."""
        return self._table.holders(key)

    def refusal_reason(self, key, requested_holders):
        """Return why a key must not be started, or "" if it may be.

        `requested_holders` are the identities of the holders as the
        coordinator sees them. The reason is `not-holder` if they are not the
        holders in the set seen now, `unsettled` if they are not the holders
        in the set in use or if no set is in use.
        """
        if identities(self.holders(key)) != requested_holders:
            return "not-holder"
        agreed_table = self._agreed_table
        if (
            agreed_table is None
            or identities(agreed_table.holders(key)) != requested_holders
        ):
            return "unsettled"
        return ""

    def mark_transferred(self, members, *, wall_ms):
        """Record that all records were transferred to their holders.

        `members` is the set for which they were transferred; the call has no
        effect if another set is seen by now.
        """
        if members == self.members:
            self.transferred = True
            self._conclude_if_agreed(wall_ms)

    def answer(self, request):
        """Return the reply to an Agree of another member.

        Once this member has agreed, the set may be in use at the other one,
        whether or not this member receives all replies itself. The set is
        therefore counted for `missing_count` from now on.
        """
        agreed = self.transferred and request.digest == self.digest
        if agreed:
            self._add_possible_set_in_use()
        return Agreed(
            agreed=agreed,
            in_use=agreed and self.is_agreed,
            complete_since_ms=self._own_complete_since_ms,
        )

    def receive_reply(self, identity, digest, reply, *, wall_ms):
        """Record the reply of the member `identity` to Agree.

        `digest` is that of the set that was asked about; a reply for a set
        that is no longer seen is ignored.
        """
        if digest != self.digest or not reply.agreed:
            return
        if not self.is_collector and not reply.in_use:
            return
        self._pending_identities.discard(identity)
        self._joint_complete_since_ms = max(
            self._joint_complete_since_ms, reply.complete_since_ms
        )
        self._conclude_if_agreed(wall_ms)

    def reset(self, *, wall_ms):
        """Forget all agreements and start a new one on the set seen now.

        Called after a lease gap: others may have left this member out in the
        meantime and started keys without it, so that its records may be
        incomplete.
        """
        self._agreed_table = None
        self._possible_sets_in_use = []
        self.complete_since_ms = NEVER_AGREED
        self.propose(
            self._members,
            identity=self._identity,
            table=self._table,
            wall_ms=wall_ms,
        )

    def _add_possible_set_in_use(self):
        possible_set = frozenset(self.members)
        if possible_set not in self._possible_sets_in_use:
            self._possible_sets_in_use.append(possible_set)

    def _conclude_if_agreed(self, wall_ms):
        if not self.is_member or not self.transferred:
            return
        if self._pending_identities or self.is_agreed:
            return
        if self._joint_complete_since_ms == NEVER_AGREED:
            self._joint_complete_since_ms = (
                wall_ms + self._clock_margin_ms + INCOMPLETE_VIEW_MS
            )
        self.complete_since_ms = self._joint_complete_since_ms
        self._own_complete_since_ms = self._joint_complete_since_ms
        self._agreed_table = self._table
        self._possible_sets_in_use = [frozenset(self.members)]
