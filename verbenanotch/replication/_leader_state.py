"""The volatile state of a leader: progress of its peers, pending reads.

Source: Ongaro, "Consensus: Bridging Theory and Practice", 2014, chapters 3
and 6.
"""

import attrs


@attrs.define(kw_only=True)
class Progress:
    """Replication progress of one peer: nextIndex, matchIndex and more.

    `acked_at` is when the peer last replied, in seconds of the monotonic
    clock. `awaited_round` is the round of the entries or the chunk in
    flight, 0 if none; it was sent at `awaited_since`. `acked_round` is the
    highest round that the peer replied to. `sent_commit_index` is the commit
    index that the peer has if it received the last message. While the peer
    receives the snapshot at `snapshot_index`, `snapshot_offset` is the number
    of its bytes that the peer has.
    """

    next_index: int
    acked_at: float
    match_index: int = 0
    acked_round: int = 0
    awaited_round: int = 0
    awaited_since: float = 0.0
    sent_commit_index: int = 0
    snapshot_index: int = 0
    snapshot_offset: int = 0

    def is_awaiting_reply(self, now, timeout):
        """Return whether a message in flight has not timed out yet."""
        return bool(self.awaited_round and now - self.awaited_since < timeout)

    def record_reply(self, round_number, now):
        """Record that the peer replied to the message of a round."""
        self.acked_at = now
        self.acked_round = max(self.acked_round, round_number)
        if round_number >= self.awaited_round:
            self.awaited_round = 0


@attrs.frozen(kw_only=True)
class PendingRead:
    """A read that waits until a quorum replies to a round after `round`."""

    token: object
    round: int
    index: int


class LeaderState:
    """The volatile state of a leader in one term.

    `round` is the number of the last message. `deferred_read_tokens` are
    reads that wait for the first commit of the term.
    """

    def __init__(self, *, own_id, first_index, now):
        """Start a term; `first_index` is the index of its first entry."""
        self.own_id = own_id
        self.first_index = first_index
        self.began_at = now
        self.round = 0
        self.progress_by_id = {}
        self.pending_reads = []
        self.deferred_read_tokens = []

    def next_round(self):
        """Return the round number of the next message."""
        self.round += 1
        return self.round

    def add_peer(self, member_id, *, next_index, now):
        """Track a peer; its progress is kept if it is tracked already."""
        if member_id != self.own_id:
            self.progress_by_id.setdefault(
                member_id, Progress(next_index=next_index, acked_at=now)
            )

    def drop_silent_learners(self, configuration, *, now, timeout):
        """Stop tracking learners without a reply for `timeout` seconds."""
        voters_by_id = configuration.voters_by_id
        self.progress_by_id = {
            member_id: progress
            for member_id, progress in self.progress_by_id.items()
            if member_id in voters_by_id or now - progress.acked_at < timeout
        }

    def committable_index(self, configuration, synced_index):
        """Return the highest index that a quorum has synced."""
        matches = sorted(
            self._match_index_of(voter.id, synced_index)
            for voter in configuration.voters
        )
        if not matches:
            return 0
        return matches[len(matches) - configuration.quorum]

    def has_active_quorum(self, configuration, *, now, timeout):
        """Return whether a quorum replied in the last `timeout` seconds."""
        replied_ids = {
            member_id
            for member_id, progress in self.progress_by_id.items()
            if now - progress.acked_at < timeout
        }
        return configuration.has_quorum(replied_ids | {self.own_id})

    def pop_confirmed_reads(self, configuration):
        """Remove and return the reads that a quorum has confirmed."""
        confirmed = [
            read
            for read in self.pending_reads
            if configuration.has_quorum(self._ids_replied_after(read.round))
        ]
        self.pending_reads = [
            read for read in self.pending_reads if read not in confirmed
        ]
        return confirmed

    def _ids_replied_after(self, round_number):
        replied_ids = {
            member_id
            for member_id, progress in self.progress_by_id.items()
            if progress.acked_round > round_number
        }
        return replied_ids | {self.own_id}

    def _match_index_of(self, member_id, synced_index):
        if member_id == self.own_id:
            return synced_index
        progress = self.progress_by_id.get(member_id)
        return progress.match_index if progress else 0
