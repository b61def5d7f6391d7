"""The Raft protocol as a state machine without clock, disk or network.

Messages, ticks and completed syncs are its input, `Effects` its output.

Source: Ongaro, "Consensus: Bridging Theory and Practice", 2014: chapter 3
(election, log, commitment), 4 (change of voters one at a time), 5
(snapshots), 6.4 (read index), 9.6 (pre-vote), 10.2.1 (the leader writes an
entry to its disk while it sends it to the followers).
"""

from verbenanotch.replication._core_output import (
    Effects,
    InstalledSnapshot,
    Outgoing,
)
from verbenanotch.replication._leader_actions import LeaderActions
from verbenanotch.replication._messages import (
    Append,
    AppendReply,
    SnapshotChunk,
    SnapshotReply,
    VoteReply,
    VoteRequest,
)
from verbenanotch.replication._roles import NO_MEMBER, Role
from verbenanotch.replication._snapshot_receiver import SnapshotReceiver

# Shortens the election timeout of a member that has not received a message
# from any leader since it started. If all members restarted at once, there is
# no leader to wait for, and a pre-vote does not disturb an existing leader.
# The shortened timeout is still a few times the network delay between members,
# which leaves them time to connect.
STARTUP_TIMEOUT_FACTOR = 0.15


class Core(LeaderActions):
    """The Raft state of one member of the cluster.

    Methods take `now` in seconds of a monotonic clock. Effects accumulate
    until `take_effects` returns them. A peer is identified by `Member.id`,
    which names a host and its disk, so a host that lost its disk returns as
    another peer. `members_by_name` has the members that have connected,
    for each host name the last one.
    """

    def __init__(
        self,
        *,
        own_id,
        log,
        term,
        vote,
        timing,
        random,
        now,
        commit_index=0,
    ):
        """Start as a follower with the log, term and vote from storage."""
        self.own_id = own_id
        self.log = log
        self.term = term
        self.vote = vote
        self.role = Role.FOLLOWER
        self.leader_id = NO_MEMBER
        self.commit_index = max(commit_index, log.snapshot.index)
        self.synced_index = log.last_index
        self._timing = timing
        self._random = random
        self._last_leader_message_at = now - timing.election_timeout
        self._is_starting = True
        self._granting_voter_ids = set()
        self._snapshot_receiver = None
        self._leader_state = None
        self.members_by_name = {}
        self._effects = Effects(term=term, vote=vote)
        self._reset_election_deadline(now)

    @property
    def is_voter(self):
        """Return whether this member is in the newest configuration."""
        return self.own_id in self.log.configuration.voters_by_id

    @property
    def may_be_elected(self):
        """Return whether this member may become a candidate.

        A voter may until its removal is committed: the others can have older
        logs, and none of them is elected without its vote (Ongaro, section
        4.2.2).
        """
        committed = self.log.configuration_at(self.commit_index)
        return self.is_voter or self.own_id in committed.voters_by_id

    @property
    def applicable_index(self):
        """Return the last index that is committed and synced here."""
        return min(self.commit_index, self.synced_index)

    @property
    def has_no_pending_effects(self):
        """Return whether `take_effects` would return empty Effects."""
        return self._effects.is_empty

    def is_in_contact(self, now):
        """Return whether a leader with a quorum was active recently.

        A leader without a quorum may still be followed for two election
        timeouts: its own until it steps down, and its followers'.
        """
        if self.role == Role.LEADER:
            return self._leader_state.has_active_quorum(
                self.log.configuration,
                now=now,
                timeout=self._timing.election_timeout,
            )
        return self._has_leader(now)

    def take_effects(self):
        """Return the Effects since the last call and clear them."""
        effects = self._effects
        effects.term = self.term
        effects.vote = self.vote
        self._effects = Effects(term=self.term, vote=self.vote)
        return effects

    def tick(self, now):
        """Do what is due: an election, heartbeats or stepping down."""
        if self.role == Role.LEADER:
            self._tick_leader(now)
        elif now >= self._election_deadline:
            self._reset_election_deadline(now)
            self.leader_id = NO_MEMBER
            if self.may_be_elected:
                self._start_pre_vote(now)

    def on_synced(self, index, term, now):
        """Record that the entries up to `index` are synced to disk.

        `term` is the term of the entry at `index`. The call is ignored if
        the log no longer has that entry.
        """
        if self.log.term_at(index) != term:
            return
        self.synced_index = max(self.synced_index, index)
        if self.role == Role.LEADER:
            self._advance_commit(now)

    def receive(self, sender_id, message, now):
        """Process a message from the member `sender_id`."""
        match message:
            case VoteRequest():
                self._on_vote_request(sender_id, message, now)
            case VoteReply():
                self._on_vote_reply(sender_id, message, now)
            case Append():
                self._on_append(sender_id, message, now)
            case SnapshotChunk():
                self._on_snapshot_chunk(sender_id, message, now)
            case AppendReply() | SnapshotReply():
                self._on_replication_reply(sender_id, message, now)

    def _send(self, receiver_id, message):
        self._effects.messages.append(
            Outgoing(receiver_id=receiver_id, message=message)
        )

    def _reset_election_deadline(self, now):
        timeout = self._timing.election_timeout
        factor = 1 + self._random.random()
        if self._is_starting:
            factor *= STARTUP_TIMEOUT_FACTOR
        self._election_deadline = now + timeout * factor

    def _set_term(self, term, vote):
        self.term = term
        self.vote = vote
        self._effects.term_or_vote_changed = True

    def _become_follower(self, term, leader_id, now):
        if term > self.term:
            self._set_term(term, NO_MEMBER)
        if self.role == Role.LEADER:
            self._fail_reads()
            self._leader_state = None
        if self.role != Role.FOLLOWER:
            self._reset_election_deadline(now)
        self.role = Role.FOLLOWER
        self.leader_id = leader_id

    def _start_pre_vote(self, now):
        self.role = Role.PRE_CANDIDATE
        self._granting_voter_ids = {self.own_id}
        self._request_votes(self.term + 1, pre_vote=True)
        self._count_votes(now)

    def _start_election(self, now):
        self.role = Role.CANDIDATE
        self._set_term(self.term + 1, self.own_id)
        self._granting_voter_ids = {self.own_id}
        self._request_votes(self.term, pre_vote=False)
        self._count_votes(now)

    def _request_votes(self, term, *, pre_vote):
        request = VoteRequest(
            term=term,
            last_index=self.log.last_index,
            last_term=self.log.last_term,
            pre_vote=pre_vote,
        )
        for voter in self.log.configuration.voters:
            if voter.id != self.own_id:
                self._send(voter.id, request)

    def _count_votes(self, now):
        if not self.log.configuration.has_quorum(self._granting_voter_ids):
            return
        if self.role == Role.PRE_CANDIDATE:
            self._start_election(now)
        else:
            self._become_leader(now)

    def _on_vote_request(self, sender_id, request, now):
        if request.pre_vote:
            granted = (
                request.term > self.term
                and not self._has_leader(now)
                and self._is_log_up_to_date(request)
            )
        else:
            # A member that was disconnected for a while must not depose a
            # leader from which the others still receive heartbeats.
            if self._has_leader(now):
                return
            if request.term > self.term:
                self._become_follower(request.term, NO_MEMBER, now)
            granted = (
                request.term == self.term
                and self.vote in (NO_MEMBER, sender_id)
                and self._is_log_up_to_date(request)
            )
            if granted:
                self._set_term(self.term, sender_id)
                self._reset_election_deadline(now)
        term = request.term if granted else self.term
        self._send(
            sender_id,
            VoteReply(term=term, granted=granted, pre_vote=request.pre_vote),
        )

    def _has_leader(self, now):
        if self.role == Role.LEADER:
            return True
        is_recent = (
            now - self._last_leader_message_at < self._timing.election_timeout
        )
        return self.leader_id != NO_MEMBER and is_recent

    def _is_log_up_to_date(self, request):
        """Return whether the candidate's log is as recent as this one."""
        own = (self.log.last_term, self.log.last_index)
        return (request.last_term, request.last_index) >= own

    def _on_vote_reply(self, sender_id, reply, now):
        if not reply.granted:
            if reply.term > self.term:
                self._become_follower(reply.term, NO_MEMBER, now)
            return
        expected = {
            Role.PRE_CANDIDATE: (self.term + 1, True),
            Role.CANDIDATE: (self.term, False),
        }.get(self.role)
        if (reply.term, reply.pre_vote) == expected:
            self._granting_voter_ids.add(sender_id)
            self._count_votes(now)

    def _accept_leader(self, sender_id, term, now):
        """Follow the sender as leader; return False if its term is stale."""
        if term < self.term:
            return False
        if self.role != Role.FOLLOWER or term > self.term:
            self._become_follower(term, sender_id, now)
        self.leader_id = sender_id
        self._is_starting = False
        self._last_leader_message_at = now
        self._reset_election_deadline(now)
        return True

    def _on_append(self, sender_id, append, now):
        if not self._accept_leader(sender_id, append.term, now):
            self._reply_to_append(sender_id, append, False, 0)
            return
        if not self._has_previous_entry(append):
            self._reply_to_append(
                sender_id, append, False, self._next_index_hint(append)
            )
            return
        new = self.log.merge(append.entries, commit_index=self.commit_index)
        if new:
            self._effects.entries.extend(new)
            self.synced_index = min(self.synced_index, new[0].index - 1)
        match_index = append.previous_index + len(append.entries)
        self.commit_index = max(
            self.commit_index, min(append.commit_index, match_index)
        )
        self._reply_to_append(sender_id, append, True, match_index)

    def _has_previous_entry(self, append):
        index = append.previous_index
        if index < self.log.base_index:
            # The entry is committed, so it cannot differ from the leader's.
            return True
        return self.log.term_at(index) == append.previous_term

    def _next_index_hint(self, append):
        """Return the nextIndex that the leader should use after a mismatch.

        If an entry conflicts, all uncommitted entries of its term are skipped.
        """
        index = append.previous_index
        if index > self.log.last_index:
            return self.log.last_index + 1
        first = self.log.first_index_of_term(index)
        return max(first, self.commit_index + 1)

    def _reply_to_append(self, sender_id, append, matched, index):
        self._send(
            sender_id,
            AppendReply(
                term=self.term,
                matched=matched,
                index=index,
                round=append.round,
            ),
        )

    def _on_snapshot_chunk(self, sender_id, chunk, now):
        if not self._accept_leader(sender_id, chunk.term, now):
            self._reply_to_chunk(sender_id, chunk, 0, False)
            return
        if chunk.index <= self.commit_index:
            self._reply_to_chunk(sender_id, chunk, chunk.total_bytes, True)
            return
        if (
            self._snapshot_receiver is None
            or not self._snapshot_receiver.matches(chunk)
        ):
            self._snapshot_receiver = SnapshotReceiver(chunk=chunk)
        data = self._snapshot_receiver.add(chunk)
        if data is not None:
            self._install_snapshot(data)
        offset = (
            self._snapshot_receiver.received_bytes
            if self._snapshot_receiver
            else 0
        )
        self._reply_to_chunk(sender_id, chunk, offset, data is not None)

    def _install_snapshot(self, data):
        metadata = self._snapshot_receiver.metadata
        self._snapshot_receiver = None
        self.log.install(metadata)
        self.commit_index = metadata.index
        self.synced_index = metadata.index
        self._effects.entries.clear()
        self._effects.snapshot = InstalledSnapshot(
            metadata=metadata, data=data
        )

    def _reply_to_chunk(self, sender_id, chunk, offset, installed):
        self._send(
            sender_id,
            SnapshotReply(
                term=self.term,
                index=chunk.index,
                offset=offset,
                installed=installed,
                round=chunk.round,
            ),
        )
