"""One generation of the holders of one shard, as one of them sees it.

A generation begins with the view that changes the pair of holders. Its
holder serves once it is settled: it has the records of a settled holder of
the generation before, and every other earlier holder that is still a member
has said that it moved on. Both also follow from time: earlier holders that
were cut off stop when their lease has expired.
"""

import attrs

from verbenanotch.idempotency._members import Member


@attrs.define(kw_only=True, eq=False)
class Custody:
    """State of one generation at one holder.

    `required` are the earlier holders whose records must come, None while
    not known. `prior` is this holder's part in the generation before.
    `deadline` is the monotonic second at which every earlier lease has
    expired; `lapsed_since_ms` is from which time of issue on the records
    are complete if none have come by then. `owed` are the transfers to the
    holders of the next generation.
    """

    shard_number: int
    pair_epoch: int
    pair: tuple
    deadline: float
    lapsed_since_ms: int
    prior: "Custody | None" = None
    required: frozenset | None = None
    settled: bool = False
    complete_since_ms: int = 0
    owed: list["Transfer"] = attrs.field(factory=list)
    _next_parts_by_sender: dict = attrs.field(factory=dict)
    _since_by_sender: dict = attrs.field(factory=dict)

    def receive(self, handover):
        """Note a part of a handover; return whether it was in sequence.

        A sender starts again from part 0 after a failure.
        """
        sender = handover.sender
        if handover.part == 0:
            self._next_parts_by_sender[sender] = 0
        if self._next_parts_by_sender.get(sender) != handover.part:
            return False
        self._next_parts_by_sender[sender] = handover.part + 1
        self.required = frozenset(handover.required)
        if handover.part + 1 == handover.part_count:
            self._since_by_sender[sender] = handover.complete_since_ms
        return True

    def settle(self, identity, now):
        """Settle the generation if it is due; return whether it is settled.

        `identity` is this holder's own.
        """
        if self.settled:
            return True
        sources = list(self._since_by_sender.values())
        if self.prior is not None and self.prior.settled:
            sources.append(self.prior.complete_since_ms)
        if now < self.deadline and not (sources and self._is_fenced(identity)):
            return False
        self.settled = True
        self.complete_since_ms = min(sources, default=self.lapsed_since_ms)
        self.prior = None
        return True

    def _is_fenced(self, identity):
        """Return whether every earlier holder has moved on."""
        if self.required is None:
            return False
        if self.prior is not None and not self.prior.settled:
            return False
        return self.required - {identity} <= self._since_by_sender.keys()


@attrs.frozen(kw_only=True, eq=False)
class Transfer:
    """Records of one shard that a new holder is to get.

    `pair_epoch` is the generation of the receiver, `required` what the
    receiver must wait for.
    """

    shard_number: int
    pair_epoch: int
    member: Member
    required: tuple
    custody: Custody
