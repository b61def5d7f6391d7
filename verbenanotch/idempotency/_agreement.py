"""Agreement of the holders of one set of keys on who they are.

A holder starts keys only by a set of members to which every one of them has
agreed, after it handed its records over to those who hold them under that
set. Whoever agrees to a set starts nothing by an earlier one, so that two
sets in which a key has different holders are never both in use, unless
all holders of the one are missing from the other. For that case a holder
must be out of use before others may leave it out: see `RecordServer`.
"""

import attrs

from verbenanotch.idempotency._coordinator import HolderTable
from verbenanotch.idempotency._members import View, identities
from verbenanotch.idempotency._messages import Record
from verbenanotch.wire import message

NEVER_AGREED = -1
# One lease (`control.lease_ms`): a control host that has just started may
# know too few hosts until then, so that new members can see themselves alone.
INCOMPLETE_VIEW_MS = 3000


@message(514)
@attrs.frozen(kw_only=True)
class Agree:
    """Ask whether the receiver sees the same members and transferred."""

    members: tuple[tuple[str, int], ...]


@message(515)
@attrs.frozen(kw_only=True)
class Agreed:
    """The reply; `complete_since_ms` is the sender's part of the result.

    It is NEVER_AGREED if the sender was in no agreed set before.
    """

    agreed: bool
    complete_since_ms: int


@message(516)
@attrs.frozen(kw_only=True)
class RecordBatch:
    """Records for a holder of their keys under new members."""

    records: tuple[Record, ...]


class HolderAgreement:
    """One member's part in the agreement; times are milliseconds.

    Keys that were issued after `complete_since_ms` and have no record here
    were never started. That holds over a change in which at most one member
    is lost, since the other holder of each key hands its records over.
    `missing_count` counts the members of a set in use that are no longer
    seen.
    """

    def __init__(self, *, clock_margin_ms):
        """Start as a member of no set."""
        self._identity = None
        self._clock_margin_ms = clock_margin_ms
        self._members = ()
        self._table = HolderTable(
            View(availability_zone="", epoch=0, members=())
        )
        self._agreed_table = None
        self._sets_in_use = []
        self._waiting = set()
        self._part_ms = NEVER_AGREED
        self._heard_ms = NEVER_AGREED
        self.transferred = False
        self.missing_count = 0
        self.complete_since_ms = NEVER_AGREED

    @property
    def members(self):
        """Return the identities of the members seen now."""
        return tuple(member.identity for member in self._members)

    @property
    def is_agreed(self):
        """Whether all members have agreed to the members seen now."""
        return self._agreed_table is self._table

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
        self.transferred = False
        present = set(self.members)
        self.missing_count = max(
            (len(in_use - present) for in_use in self._sets_in_use), default=0
        )
        if self.missing_count > 1:
            # Both holders of a key may be among them, with its record.
            self._part_ms = wall_ms + self._clock_margin_ms
        else:
            self._part_ms = self.complete_since_ms
        self._heard_ms = self._part_ms

    def holders(self, key):
        """Return the holders of a key among the members seen now."""
        return self._table.holders(key)

    def refusal_reason(self, key, hosts):
        """Return why a key is not started for an entry; "" if it may be.

        `hosts` are the identities of the holders as the entry sees them.
        """
        if identities(self.holders(key)) != hosts:
            return "not-holder"
        agreed_table = self._agreed_table
        if (
            agreed_table is None
            or identities(agreed_table.holders(key)) != hosts
        ):
            return "unsettled"
        return ""

    def mark_transferred(self, members, *, wall_ms):
        """Record that all records were transferred for these members."""
        if members == self.members:
            self.transferred = True
            self._conclude_if_agreed(wall_ms)

    def answer(self, request):
        """Return the reply to another member's question.

        A set that was agreed to may be in use elsewhere from then on.
        """
        agreed = self.transferred and request.members == self.members
        if agreed:
            self._note_in_use()
        return Agreed(agreed=agreed, complete_since_ms=self._part_ms)

    def receive_reply(self, identity, members, reply, *, wall_ms):
        """Take another member's reply to the question for `members`."""
        if members != self.members or not reply.agreed:
            return
        self._waiting.discard(identity)
        self._heard_ms = max(self._heard_ms, reply.complete_since_ms)
        self._conclude_if_agreed(wall_ms)

    def reset(self, *, wall_ms):
        """Begin anew, as one that others may have left out meanwhile."""
        self._agreed_table = None
        self._sets_in_use = []
        self.complete_since_ms = NEVER_AGREED
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

    def _conclude_if_agreed(self, wall_ms):
        if not self.is_member or not self.transferred:
            return
        if self._waiting or self.is_agreed:
            return
        if self._heard_ms == NEVER_AGREED:
            self._heard_ms = (
                wall_ms + self._clock_margin_ms + INCOMPLETE_VIEW_MS
            )
        self.complete_since_ms = self._heard_ms
        self._part_ms = self._heard_ms
        self._agreed_table = self._table
        self._sets_in_use = [frozenset(self.members)]
