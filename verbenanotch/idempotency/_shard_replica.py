"""The replica of one shard at one holder during one holder epoch.

A holder epoch of a shard begins with the view that changes the shard's
holders. A new holder serves the shard only once its replica is ready, which
takes two conditions:

- It has the records of a ready holder of the previous epoch.
- Every other holder of the previous epoch that is still a member is fenced:
  it no longer starts keys in that epoch. The transfer of its records shows
  this.

After the replica's deadline it becomes ready without these: by then the
lease of every earlier holder has expired, so that even one that cannot be
reached has stopped serving. If no records were received by then, keys that
could have had one are not started (`fallback_complete_since_ms`).
"""

import attrs

from verbenanotch.idempotency._members import RecordHolder


@attrs.define(kw_only=True, eq=False)
class ShardReplica:
    """The state of one shard at one holder during one holder epoch.

    - `holder_epoch`: the epoch of the view that began the holder epoch.
    - `holders`: the identities of the holders.
    - `deadline`: the time at which every earlier lease has expired, in
      monotonic seconds.
    - `prior`: this holder's replica of the previous holder epoch, None if it
      was no holder then or once this replica is ready.
    - `required`: the identities of the earlier holders whose records must be
      received, None while not known.
    - `ready`: whether the replica may serve.
    - `complete_since_ms`: once ready, keys issued after this time (in
      milliseconds since 1970) that have no record were never started.
    - `fallback_complete_since_ms`: the value of `complete_since_ms` if no
      records were received by the deadline.
    - `pending_transfers`: the transfers to the holders of the next epoch that
      are not delivered yet.
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
    _next_chunk_by_sender: dict = attrs.field(factory=dict)
    _complete_since_ms_by_sender: dict = attrs.field(factory=dict)

    def receive(self, handoff):
        """Record a chunk of a handoff; return whether it was in sequence.

        After a failure the sender starts again with chunk 0.
        """
        sender = handoff.sender
        if handoff.chunk == 0:
            self._next_chunk_by_sender[sender] = 0
        if self._next_chunk_by_sender.get(sender) != handoff.chunk:
            return False
        self._next_chunk_by_sender[sender] = handoff.chunk + 1
        self.required = frozenset(handoff.required)
        if handoff.chunk + 1 == handoff.chunk_count:
            self._complete_since_ms_by_sender[sender] = (
                handoff.complete_since_ms
            )
        return True

    def update_readiness(self, identity, now):
        """Make the replica ready if it can be; return whether it is ready.

        `identity` is this holder's own, `now` is in monotonic seconds.
        """
        if self.ready:
            return True
        complete_since_values = list(
            self._complete_since_ms_by_sender.values()
        )
        if self.prior is not None and self.prior.ready:
            complete_since_values.append(self.prior.complete_since_ms)
        if now < self.deadline and not (
            complete_since_values
            and self._are_earlier_holders_fenced(identity)
        ):
            return False
        self.ready = True
        self.complete_since_ms = min(
            complete_since_values, default=self.fallback_complete_since_ms
        )
        self.prior = None
        return True

    def _are_earlier_holders_fenced(self, identity):
        """Return whether every earlier holder has stopped starting keys."""
        if self.required is None:
            return False
        if self.prior is not None and not self.prior.ready:
            return False
        return (
            self.required - {identity}
            <= self._complete_since_ms_by_sender.keys()
        )


@attrs.frozen(kw_only=True, eq=False)
class Transfer:
    """A transfer of the records of one shard to a new holder.

    - `holder_epoch`: the holder epoch that begins at the receiver.
    - `receiver`: the new holder.
    - `required`: the identities of the holders whose transfers the receiver
      must wait for.
    - `replica`: the sender's replica, whose records are transferred.
    """

    shard_number: int
    holder_epoch: int
    receiver: RecordHolder
    required: tuple
    replica: ShardReplica
