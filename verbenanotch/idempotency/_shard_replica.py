"""The replica of one shard at one holder during one holder epoch.

A holder epoch begins with the view that changes the holders of the shard.
Its holder serves once its replica is ready: it has the records of a ready
holder of the epoch before, and every other earlier holder that is still a
member has said that it is fenced. Both also follow from time: earlier
holders that were cut off stop when their lease has expired.
"""

import attrs

from verbenanotch.idempotency._members import RecordHolder


@attrs.define(kw_only=True, eq=False)
class ShardReplica:
    """State of one shard at one holder during one holder epoch.

    `required` are the earlier holders whose records must come, None while
    not known. `prior` is this holder's replica of the epoch before.
    `deadline` is the monotonic second at which every earlier lease has
    expired; `fallback_complete_since_ms` is from which time of issue on the
    records are complete if none have come by then. `pending_transfers` are
    the transfers to the holders of the next epoch.
    """

    shard_number: int
    holder_epoch: int
    holders: tuple
    deadline: float
    fallback_complete_since_ms: int
    prior: "ShardReplica | None" = None
    required: frozenset | None = None
    ready: bool = False
    complete_since_ms: int = 0
    pending_transfers: list["Transfer"] = attrs.field(factory=list)
    _next_chunks_by_sender: dict = attrs.field(factory=dict)
    _since_by_sender: dict = attrs.field(factory=dict)

    def receive(self, handoff):
        """Record a chunk of a handoff; return whether it was in sequence.

        A sender starts again from chunk 0 after a failure.
        """
        sender = handoff.sender
        if handoff.chunk == 0:
            self._next_chunks_by_sender[sender] = 0
        if self._next_chunks_by_sender.get(sender) != handoff.chunk:
            return False
        self._next_chunks_by_sender[sender] = handoff.chunk + 1
        self.required = frozenset(handoff.required)
        if handoff.chunk + 1 == handoff.chunk_count:
            self._since_by_sender[sender] = handoff.complete_since_ms
        return True

    def update_readiness(self, identity, now):
        """Become ready if that is due; return whether the replica is ready.

        `identity` is this holder's own.
        """
        if self.ready:
            return True
        sources = list(self._since_by_sender.values())
        if self.prior is not None and self.prior.ready:
            sources.append(self.prior.complete_since_ms)
        if now < self.deadline and not (sources and self._is_fenced(identity)):
            return False
        self.ready = True
        self.complete_since_ms = min(
            sources, default=self.fallback_complete_since_ms
        )
        self.prior = None
        return True

    def _is_fenced(self, identity):
        """Return whether every earlier holder is fenced."""
        if self.required is None:
            return False
        if self.prior is not None and not self.prior.ready:
            return False
        return self.required - {identity} <= self._since_by_sender.keys()


@attrs.frozen(kw_only=True, eq=False)
class Transfer:
    """Records of one shard that a new holder is to get.

    `holder_epoch` is that of the receiver, `required` what the receiver
    must wait for.
    """

    shard_number: int
    holder_epoch: int
    member: RecordHolder
    required: tuple
    replica: ShardReplica
