"""Agreement of the holders of one set of keys on who they are.

A holder starts keys only by a set of members to which every one of them has
agreed, after it handed its records over to those who hold them under that
set. Whoever agrees to a set starts nothing by an earlier one, so that two
sets in which a key has different holders are never both in use, unless
all holders of the one are missing from the other. For that case a holder
must be out of use before others may leave it out: see `RecordKeeper`.
"""

import attrs

from verbenanotch.idempotency._coordinator import HolderTable
from verbenanotch.idempotency._members import View, identities
from verbenanotch.idempotency._messages import Record
from verbenanotch.wire import message

NEVER_SETTLED = -1
# One lease (`control.lease_ms`): a control host that has just started may
# know too few hosts until then, so that new members can see themselves alone.
UNSOUND_VIEW_MS = 3000


@message(514)
@attrs.frozen(kw_only=True)
class Agree:
    """Ask whether the receiver sees the same members and handed over."""

    members: tuple[tuple[str, int], ...]


@message(515)
@attrs.frozen(kw_only=True)
class Agreed:
    """The reply; `complete_since_ms` is the sender's part of the result.

    It is NEVER_SETTLED if the sender was in no agreed set before.
    """

    agreed: bool
    complete_since_ms: int


@message(516)
@attrs.frozen(kw_only=True)
class Copies:
    """Records for a holder of their keys under new members."""

    records: tuple[Record, ...]


class HolderAgreement:
    """One member's part in the agreement; times are milliseconds.

    Keys that were issued after `complete_since_ms` and have no record here
    were never started. That holds over a change in which at most one member
    is lost, since the other holder of each key hands its records over.
    `lost` counts the members of a set in use that are not seen any more.
    """

    def __init__(self, *, clock_margin_ms):
        """Start as a member of no set."""
        self._identity = None
        self._clock_margin_ms = clock_margin_ms
        self._members = ()
        self._table = HolderTable(
            View(availability_zone="", epoch=0, members=())
        )
        self._settled_table = None
        self._sets_in_use = []
        self._waiting = set()
        self._part_ms = NEVER_SETTLED
        self._heard_ms = NEVER_SETTLED
        self.handed_over = False
        self.lost = 0
        self.complete_since_ms = NEVER_SETTLED

    @property
    def members(self):
        """Return the identities of the members seen now."""
        return tuple(member.identity for member in self._members)

    @property
    def is_settled(self):
        """Whether all members have agreed to the members seen now."""
        return self._settled_table is self._table

    @property
    def waiting(self):
        """Return the other members that have not agreed yet."""
        return [m for m in self._members if m.identity in self._waiting]

    @property
    def is_member(self):
        """Whether this host itself is among the members seen now."""
        return self._identity in self.members

    def propose(self, members, *, identity, table, wall_ms):
        """Take up the members seen now; `table` is their HolderTable.

        `identity` is this host's own, with which others see it.
        """
        self._identity = identity
        self._members = members
        self._table = table
        self._waiting = set(self.members) - {self._identity}
        self.handed_over = False
        present = set(self.members)
        self.lost = max(
            (len(in_use - present) for in_use in self._sets_in_use), default=0
        )
        if self.lost > 1:
            # Both holders of a key may be among them, with its record.
            self._part_ms = wall_ms + self._clock_margin_ms
        else:
            self._part_ms = self.complete_since_ms
        self._heard_ms = self._part_ms

    def holders(self, key):
        """Return the holders of a key among the members seen now."""
        return self._table.holders(key)

    def obstacle(self, key, hosts):
        """Return why a key is not started for an entry; "" if it may be.

        `hosts` are the identities of the holders as the entry sees them.
        """
        if identities(self.holders(key)) != hosts:
            return "not-holder"
        settled = self._settled_table
        if settled is None or identities(settled.holders(key)) != hosts:
            return "unsettled"
        return ""

    def mark_handed_over(self, members, *, wall_ms):
        """Note that all records were handed over for these members."""
        if members == self.members:
            self.handed_over = True
            self._settle(wall_ms)

    def answer(self, request):
        """Return the reply to another member's question.

        A set that was agreed to may be in use elsewhere from then on.
        """
        agreed = self.handed_over and request.members == self.members
        if agreed:
            self._note_in_use()
        return Agreed(agreed=agreed, complete_since_ms=self._part_ms)

    def take(self, identity, members, reply, *, wall_ms):
        """Take another member's reply to the question for `members`."""
        if members != self.members or not reply.agreed:
            return
        self._waiting.discard(identity)
        self._heard_ms = max(self._heard_ms, reply.complete_since_ms)
        self._settle(wall_ms)

    def interrupt(self, *, wall_ms):
        """Begin anew, as one that others may have left out meanwhile."""
        self._settled_table = None
        self._sets_in_use = []
        self.complete_since_ms = NEVER_SETTLED
        self.propose(
            self._members,
            identity=self._identity,
            table=self._table,
            wall_ms=wall_ms,
        )

    def _note_in_use(self):
        identities_in_use = frozenset(self.members)
        if identities_in_use not in self._sets_in_use:
            self._sets_in_use.append(identities_in_use)

    def _settle(self, wall_ms):
        if not self.is_member or not self.handed_over:
            return
        if self._waiting or self.is_settled:
            return
        if self._heard_ms == NEVER_SETTLED:
            self._heard_ms = wall_ms + self._clock_margin_ms + UNSOUND_VIEW_MS
        self.complete_since_ms = self._heard_ms
        self._part_ms = self._heard_ms
        self._settled_table = self._table
        self._sets_in_use = [frozenset(self.members)]
