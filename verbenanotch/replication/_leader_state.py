"""What a leader knows of its peers: progress, acknowledgements, reads.

Source: Ongaro, "Consensus: Bridging Theory and Practice", 2014, chapters 3
and 6.
"""

import attrs


@attrs.define(kw_only=True)
class Progress:
    """How far one peer has come.

    `acked_at` is when the peer last answered, in seconds of the loop's
    clock. `awaited_round` is the round of the entries or the chunk in
    flight, 0 if none. `sent_commit_index` is the commit index that the peer
    has from the last message, if that arrived.
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

    def is_waiting(self, now, timeout):
        """Tell whether something is in flight and not given up yet."""
        return bool(self.awaited_round and now - self.awaited_since < timeout)

    def note_answer(self, round_number, now):
        """Take in that the peer answered the message of a round."""
        self.acked_at = now
        self.acked_round = max(self.acked_round, round_number)
        if round_number >= self.awaited_round:
            self.awaited_round = 0


@attrs.frozen(kw_only=True)
class PendingRead:
    """A read that waits for a quorum to answer a round after `round`."""

    token: object
    round: int
    index: int


class LeaderState:
    """The volatile state of a leader in one term."""

    def __init__(self, *, own_id, first_index, now):
        """Begin; `first_index` is the index of the term's first entry."""
        self.own_id = own_id
        self.first_index = first_index
        self.began_at = now
        self.round = 0
        self.progress_by_id = {}
        self.pending_reads = []
        self.early_read_tokens = []

    def next_round(self):
        """Return the number for one more message."""
        self.round += 1
        return self.round

    def add_peer(self, member_id, *, next_index, now):
        """Follow a peer; keep what is known of it already."""
        if member_id != self.own_id:
            self.progress_by_id.setdefault(
                member_id, Progress(next_index=next_index, acked_at=now)
            )

    def drop_silent_learners(self, configuration, *, now, timeout):
        """Forget peers without a vote that no longer answer."""
        voters_by_id = configuration.voters_by_id
        self.progress_by_id = {
            member_id: progress
            for member_id, progress in self.progress_by_id.items()
            if member_id in voters_by_id or now - progress.acked_at < timeout
        }

    def committable_index(self, configuration, synced_index):
        """Return the highest index that a quorum has synced."""
        matches = sorted(
            self._match_of(voter.id, synced_index)
            for voter in configuration.voters
        )
        if not matches:
            return 0
        return matches[len(matches) - configuration.quorum]

    def has_active_quorum(self, configuration, *, now, timeout):
        """Tell whether a quorum answered within the last `timeout`."""
        answered = {
            member_id
            for member_id, progress in self.progress_by_id.items()
            if now - progress.acked_at < timeout
        }
        return configuration.has_quorum(answered | {self.own_id})

    def take_confirmed_reads(self, configuration):
        """Return the reads that a quorum has confirmed, and forget them."""
        confirmed = [
            read
            for read in self.pending_reads
            if configuration.has_quorum(self._answered_after(read.round))
        ]
        self.pending_reads = [
            read for read in self.pending_reads if read not in confirmed
        ]
        return confirmed

    def _answered_after(self, round_number):
        answered = {
            member_id
            for member_id, progress in self.progress_by_id.items()
            if progress.acked_round > round_number
        }
        return answered | {self.own_id}

    def _match_of(self, member_id, synced_index):
        if member_id == self.own_id:
            return synced_index
        progress = self.progress_by_id.get(member_id)
        return progress.match_index if progress else 0
