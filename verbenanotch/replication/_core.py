"""Raft's decisions as data in, effects out; no clock, disk or network.

Source: Ongaro, "Consensus: Bridging Theory and Practice", 2014: chapter 3
(election, log, commitment), 4 (change of voters one at a time), 5
(snapshots), 6.4 (read index), 9.6 (pre-vote), 10.2.1 (the leader writes to
its disk in parallel).
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
from verbenanotch.replication._roles import NOBODY, Role
from verbenanotch.replication._snapshot_receiver import SnapshotReceiver

# Share of the election timeout after which a member asks for votes that has
# heard no leader since its start. When all have restarted at a time there is
# no leader to wait for, and a pre-vote does not disturb one that exists. It
# leaves a few times the delay between members for their connections.
STARTING_SHARE = 0.15


class Core(LeaderActions):
    """The state of one member of the cluster.

    Methods take `now` in seconds of a clock that never goes back. Effects
    collect until `take_effects`. A peer is a member identity, which names
    a host and its disk, so a host that lost its disk is another peer.
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
        """Start as a follower with the state that storage holds."""
        self.own_id = own_id
        self.log = log
        self.term = term
        self.vote = vote
        self.role = Role.FOLLOWER
        self.leader_id = NOBODY
        self.commit_index = max(commit_index, log.snapshot.index)
        self.synced_index = log.last_index
        self._timing = timing
        self._random = random
        self._leader_contact_at = now - timing.election_timeout
        self._is_starting = True
        self._granted_ids = set()
        self._snapshot_receiver = None
        self._leader_state = None
        self.members_by_name = {}
        self._effects = Effects(term=term, vote=vote)
        self._reset_election_deadline(now)

    @property
    def is_voter(self):
        """Tell whether this member is among the voters it knows of."""
        return self.own_id in self.log.configuration.voters_by_id

    @property
    def applicable_index(self):
        """Return the last index that is committed and synced here."""
        return min(self.commit_index, self.synced_index)

    @property
    def has_no_pending_effects(self):
        """Tell whether there are no effects to take."""
        return self._effects.is_empty

    def take_effects(self):
        """Return what is to be done and start a new collection."""
        effects = self._effects
        effects.term = self.term
        effects.vote = self.vote
        self._effects = Effects(term=self.term, vote=self.vote)
        return effects

    def tick(self, now):
        """Act on the passing of time."""
        if self.role == Role.LEADER:
            self._tick_leader(now)
        elif now >= self._election_deadline:
            self._reset_election_deadline(now)
            self.leader_id = NOBODY
            if self.is_voter:
                self._start_pre_vote(now)

    def note_synced(self, index, term, now):
        """Take in that the entries up to (index, term) are on the disk."""
        if self.log.term_at(index) != term:
            return
        self.synced_index = max(self.synced_index, index)
        if self.role == Role.LEADER:
            self._advance_commit(now)

    def receive(self, source, message, now):
        """Act on a message of the member `source`."""
        match message:
            case VoteRequest():
                self._on_vote_request(source, message, now)
            case VoteReply():
                self._on_vote_reply(source, message, now)
            case Append():
                self._on_append(source, message, now)
            case SnapshotChunk():
                self._on_chunk(source, message, now)
            case AppendReply() | SnapshotReply():
                self._on_progress(source, message, now)

    def _send(self, target, message):
        self._effects.messages.append(Outgoing(target=target, message=message))

    def _reset_election_deadline(self, now):
        timeout = self._timing.election_timeout
        share = 1 + self._random.random()
        if self._is_starting:
            share *= STARTING_SHARE
        self._election_deadline = now + timeout * share

    def _set_term(self, term, vote):
        self.term = term
        self.vote = vote
        self._effects.state_changed = True

    def _become_follower(self, term, leader_id, now):
        if term > self.term:
            self._set_term(term, NOBODY)
        if self.role == Role.LEADER:
            self._refuse_reads()
            self._leader_state = None
        if self.role != Role.FOLLOWER:
            self._reset_election_deadline(now)
        self.role = Role.FOLLOWER
        self.leader_id = leader_id

    # Elections.

    def _start_pre_vote(self, now):
        self.role = Role.PRE_CANDIDATE
        self._granted_ids = {self.own_id}
        self._request_votes(self.term + 1, pre=True)
        self._count_votes(now)

    def _start_election(self, now):
        self.role = Role.CANDIDATE
        self._set_term(self.term + 1, self.own_id)
        self._granted_ids = {self.own_id}
        self._request_votes(self.term, pre=False)
        self._count_votes(now)

    def _request_votes(self, term, *, pre):
        request = VoteRequest(
            term=term,
            last_index=self.log.last_index,
            last_term=self.log.last_term,
            pre=pre,
        )
        for voter in self.log.configuration.voters:
            if voter.id != self.own_id:
                self._send(voter.id, request)

    def _count_votes(self, now):
        if not self.log.configuration.has_quorum(self._granted_ids):
            return
        if self.role == Role.PRE_CANDIDATE:
            self._start_election(now)
        else:
            self._become_leader(now)

    def _on_vote_request(self, source, request, now):
        if request.pre:
            granted = (
                request.term > self.term
                and not self._has_leader(now)
                and self._is_up_to_date(request)
            )
        else:
            # A member that lost its link for a while must not depose a
            # leader that the others still hear.
            if self._has_leader(now):
                return
            if request.term > self.term:
                self._become_follower(request.term, NOBODY, now)
            granted = (
                request.term == self.term
                and self.vote in (NOBODY, source)
                and self._is_up_to_date(request)
            )
            if granted:
                self._set_term(self.term, source)
                self._reset_election_deadline(now)
        term = request.term if granted else self.term
        self._send(
            source, VoteReply(term=term, granted=granted, pre=request.pre)
        )

    def _has_leader(self, now):
        if self.role == Role.LEADER:
            return True
        is_recent = (
            now - self._leader_contact_at < self._timing.election_timeout
        )
        return self.leader_id != NOBODY and is_recent

    def _is_up_to_date(self, request):
        own = (self.log.last_term, self.log.last_index)
        return (request.last_term, request.last_index) >= own

    def _on_vote_reply(self, source, reply, now):
        if not reply.granted:
            if reply.term > self.term:
                self._become_follower(reply.term, NOBODY, now)
            return
        expected = {
            Role.PRE_CANDIDATE: (self.term + 1, True),
            Role.CANDIDATE: (self.term, False),
        }.get(self.role)
        if (reply.term, reply.pre) == expected:
            self._granted_ids.add(source)
            self._count_votes(now)

    # Following.

    def _follow(self, source, term, now):
        """Tell whether `source` leads the current term; follow it if so."""
        if term < self.term:
            return False
        if self.role != Role.FOLLOWER or term > self.term:
            self._become_follower(term, source, now)
        self.leader_id = source
        self._is_starting = False
        self._leader_contact_at = now
        self._reset_election_deadline(now)
        return True

    def _on_append(self, source, append, now):
        if not self._follow(source, append.term, now):
            self._reply_to_append(source, append, False, 0)
            return
        if not self._matches(append):
            self._reply_to_append(
                source, append, False, self._retry_at(append)
            )
            return
        new = self.log.merge(append.entries, commit_index=self.commit_index)
        if new:
            self._effects.entries.extend(new)
            self.synced_index = min(self.synced_index, new[0].index - 1)
        match = append.previous_index + len(append.entries)
        self.commit_index = max(
            self.commit_index, min(append.commit_index, match)
        )
        self._reply_to_append(source, append, True, match)

    def _matches(self, append):
        index = append.previous_index
        if index < self.log.base_index:
            return True
        return self.log.term_at(index) == append.previous_term

    def _retry_at(self, append):
        """Return where the leader should try next after a mismatch."""
        index = append.previous_index
        if index > self.log.last_index:
            return self.log.last_index + 1
        first = self.log.first_index_of_term(index)
        return max(first, self.commit_index + 1)

    def _reply_to_append(self, source, append, matched, index):
        self._send(
            source,
            AppendReply(
                term=self.term,
                matched=matched,
                index=index,
                round=append.round,
            ),
        )

    def _on_chunk(self, source, chunk, now):
        if not self._follow(source, chunk.term, now):
            self._reply_to_chunk(source, chunk, 0, False)
            return
        if chunk.index <= self.commit_index:
            self._reply_to_chunk(source, chunk, chunk.total_bytes, True)
            return
        if self._snapshot_receiver is None or not self._snapshot_receiver.fits(
            chunk
        ):
            self._snapshot_receiver = SnapshotReceiver(chunk=chunk)
        data = self._snapshot_receiver.take(chunk)
        if data is not None:
            self._install(data)
        offset = self._snapshot_receiver.size if self._snapshot_receiver else 0
        self._reply_to_chunk(source, chunk, offset, data is not None)

    def _install(self, data):
        point = self._snapshot_receiver.point
        self._snapshot_receiver = None
        self.log.install(point)
        self.commit_index = point.index
        self.synced_index = point.index
        self._effects.entries.clear()
        self._effects.snapshot = InstalledSnapshot(point=point, data=data)

    def _reply_to_chunk(self, source, chunk, offset, installed):
        self._send(
            source,
            SnapshotReply(
                term=self.term,
                index=chunk.index,
                offset=offset,
                installed=installed,
                round=chunk.round,
            ),
        )
