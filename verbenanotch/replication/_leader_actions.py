"""The leader's part of the Raft core."""

from verbenanotch.replication._core_output import (
    ChunkRequest,
    Outgoing,
    ReadResult,
)
from verbenanotch.replication._entries import (
    Entry,
    EntryKind,
    encode_configuration,
)
from verbenanotch.replication._leader_state import LeaderState, PendingRead
from verbenanotch.replication._messages import Append, SnapshotReply
from verbenanotch.replication._roles import NO_MEMBER, Role
from verbenanotch.replication._voters import decide_voters

MAX_APPEND_BYTES = 1024 * 1024
# After this number of election timeouts without a reply, a learner is no
# longer tracked, and the leader sends it nothing until its next Hello.
LEARNER_TIMEOUT_FACTOR = 10


class LeaderActions:
    """Replicate entries, commit them, confirm reads and change voters.

    A mixin of Core, which defines the state.
    """

    def propose(self, kind, data, now):
        """Append an entry and return it; return None if not the leader."""
        if self.role != Role.LEADER:
            return None
        entry = Entry(
            term=self.term,
            index=self.log.last_index + 1,
            kind=int(kind),
            data=data,
        )
        self.log.append(entry)
        self._effects.entries.append(entry)
        self._replicate(now)
        return entry

    def request_read(self, token, now):
        """Begin to confirm the commit index with a quorum.

        The result is a ReadResult effect with the same `token`.
        """
        if self.role != Role.LEADER:
            self._effects.reads.append(ReadResult(token=token, index=None))
        elif self.commit_index < self._leader_state.first_index:
            self._leader_state.deferred_read_tokens.append(token)
        else:
            self._start_read(token, now)

    def on_peer_connected(self, member, now):
        """Record that a voter or learner is connected."""
        self.members_by_name[member.name] = member
        if self.role == Role.LEADER:
            self._leader_state.add_peer(
                member.id, next_index=self.log.last_index + 1, now=now
            )

    def may_change_voters(self):
        """Return whether this replica may append a change of voters.

        It must be the leader, and an entry of its term and all earlier
        changes must be committed.
        """
        return (
            self.role == Role.LEADER
            and self.commit_index >= self._leader_state.first_index
            and self.commit_index >= self.log.configuration_index
        )

    def change_voters(self, add, remove, now):
        """Append a single-server change; return the entry and a reason.

        `add` and `remove` are host names, one of them empty. If the change
        is refused, the entry is None and the reason says why.
        """
        if not self.may_change_voters():
            return None, "another change is not committed yet"
        configuration = self.log.configuration
        if remove:
            voter = configuration.voters_by_name.get(remove)
            if voter is None:
                return None, f"{remove} has no vote"
            if len(configuration.voters) == 1:
                return None, f"{remove} is the last voter"
            new_configuration = configuration.removing(voter.id)
        else:
            member = self.members_by_name.get(add)
            if add in configuration.voters_by_name:
                return None, f"{add} has a vote already"
            if member is None or not self._is_caught_up(member.id, now):
                return None, f"{add} is not connected and caught up"
            new_configuration = configuration.adding(member)
        return self.change_configuration(new_configuration, now), ""

    def change_configuration(self, configuration, now):
        """Append a configuration of voters; return the entry."""
        data = encode_configuration(configuration)
        entry = self.propose(EntryKind.CONFIGURATION, data, now)
        self._track_voters(now)
        return entry

    def _become_leader(self, now):
        self.role = Role.LEADER
        self.leader_id = self.own_id
        self._is_starting = False
        self._leader_state = LeaderState(
            own_id=self.own_id, first_index=self.log.last_index + 1, now=now
        )
        self._track_voters(now)
        for member in self.members_by_name.values():
            self.on_peer_connected(member, now)
        self.propose(EntryKind.EMPTY, b"", now)
        self._next_heartbeat_at = now + self._timing.heartbeat

    def _track_voters(self, now):
        for voter in self.log.configuration.voters:
            self._leader_state.add_peer(
                voter.id, next_index=self.log.last_index + 1, now=now
            )

    def _tick_leader(self, now):
        """Send heartbeats that are due; step down if no quorum replies."""
        timeout = self._timing.election_timeout
        if not self._leader_state.has_active_quorum(
            self.log.configuration, now=now, timeout=timeout
        ):
            self._become_follower(self.term, NO_MEMBER, now)
            return
        if now < self._next_heartbeat_at:
            return
        self._next_heartbeat_at = now + self._timing.heartbeat
        self._leader_state.drop_silent_learners(
            self.log.configuration,
            now=now,
            timeout=LEARNER_TIMEOUT_FACTOR * timeout,
        )
        self._readmit_replaced_disks(now)
        self._replace_lost_voters(now)
        self._heartbeat(now)

    def _heartbeat(self, now):
        for member_id, progress in self._leader_state.progress_by_id.items():
            if not self._send_missing(member_id, progress, now):
                self._send_append(member_id, progress.next_index - 1, ())

    def _replicate(self, now):
        for member_id, progress in self._leader_state.progress_by_id.items():
            self._send_missing(member_id, progress, now)

    def _send_missing(self, member_id, progress, now):
        """Send the next entries or chunk; return whether any were sent."""
        if progress.is_awaiting_reply(now, self._timing.election_timeout):
            return False
        if progress.next_index > self.log.last_index:
            return False
        progress.awaited_since = now
        previous = progress.next_index - 1
        if self.log.term_at(previous) is None:
            progress.awaited_round = self._request_chunk(member_id, progress)
            return True
        entries = self.log.entries_from(
            progress.next_index, max_bytes=MAX_APPEND_BYTES
        )
        progress.awaited_round = self._send_append(
            member_id, previous, entries
        )
        return True

    def _send_updates(self, member_id, progress, now):
        """Send the entries or just the commit index that the peer lacks."""
        if self._send_missing(member_id, progress, now):
            return
        commit_index = min(self.commit_index, progress.match_index)
        if progress.sent_commit_index < commit_index:
            self._send_append(member_id, progress.next_index - 1, ())

    def _send_append(self, member_id, previous, entries):
        """Send entries that follow index `previous`; return the round.

        If `previous` is before the base of the log, as in a heartbeat to a
        peer that needs a snapshot, the message names the base instead.
        """
        previous = max(previous, self.log.base_index)
        message = Append(
            term=self.term,
            previous_index=previous,
            previous_term=self.log.term_at(previous),
            entries=entries,
            commit_index=self.commit_index,
            round=self._leader_state.next_round(),
        )
        self._effects.appends.append(
            Outgoing(receiver_id=member_id, message=message)
        )
        # A peer commits no further than the last entry of the message.
        last_index = previous + len(entries)
        progress = self._leader_state.progress_by_id[member_id]
        progress.sent_commit_index = min(self.commit_index, last_index)
        return message.round

    def _request_chunk(self, member_id, progress):
        index = self.log.snapshot.index
        if progress.snapshot_index != index:
            progress.snapshot_index = index
            progress.snapshot_offset = 0
        request = ChunkRequest(
            receiver_id=member_id,
            term=self.term,
            offset=progress.snapshot_offset,
            round=self._leader_state.next_round(),
        )
        self._effects.chunk_requests.append(request)
        return request.round

    def _on_replication_reply(self, sender_id, reply, now):
        """Process an AppendReply or a SnapshotReply."""
        if reply.term > self.term:
            self._become_follower(reply.term, NO_MEMBER, now)
            return
        if self.role != Role.LEADER or reply.term < self.term:
            return
        progress = self._leader_state.progress_by_id.get(sender_id)
        if progress is None:
            return
        progress.record_reply(reply.round, now)
        if isinstance(reply, SnapshotReply):
            self._record_chunk_reply(progress, reply)
        elif reply.matched:
            progress.match_index = max(progress.match_index, reply.index)
            progress.next_index = max(
                progress.next_index, progress.match_index + 1
            )
        else:
            progress.next_index = max(
                progress.match_index + 1,
                min(progress.next_index - 1, reply.index),
            )
        self._advance_commit(now)
        if self.role == Role.LEADER:
            self._send_updates(sender_id, progress, now)
            self._confirm_reads()

    def _record_chunk_reply(self, progress, reply):
        if reply.installed:
            progress.match_index = max(progress.match_index, reply.index)
            progress.next_index = progress.match_index + 1
        elif reply.index == progress.snapshot_index:
            progress.snapshot_offset = reply.offset

    def _advance_commit(self, now):
        configuration = self.log.configuration
        index = self._leader_state.committable_index(
            configuration, self.synced_index
        )
        # Only entries of the current term are committed by counting replicas;
        # see Ongaro, section 3.6.2.
        if index <= self.commit_index or self.log.term_at(index) != self.term:
            return
        self.commit_index = index
        # A leader that was removed from the voters steps down as soon as the
        # removal is committed.
        if not self.is_voter and index >= self.log.configuration_index:
            self._heartbeat(now)
            self._become_follower(self.term, NO_MEMBER, now)
            return
        self._heartbeat(now)
        tokens = self._leader_state.deferred_read_tokens
        self._leader_state.deferred_read_tokens = []
        for token in tokens:
            self._start_read(token, now)

    def _start_read(self, token, now):
        self._leader_state.pending_reads.append(
            PendingRead(
                token=token,
                round=self._leader_state.round,
                index=self.commit_index,
            )
        )
        self._heartbeat(now)
        self._confirm_reads()

    def _confirm_reads(self):
        for read in self._leader_state.pop_confirmed_reads(
            self.log.configuration
        ):
            self._effects.reads.append(
                ReadResult(token=read.token, index=read.index)
            )

    def _fail_reads(self):
        tokens = [read.token for read in self._leader_state.pending_reads]
        for token in tokens + self._leader_state.deferred_read_tokens:
            self._effects.reads.append(ReadResult(token=token, index=None))

    def _readmit_replaced_disks(self, now):
        """Replace the lost disk of a voter by the host's new disk.

        The lost disk is removed first and the new disk is added once that
        is committed: done in one step, two quorums might not intersect.
        """
        if not self.may_change_voters():
            return
        configuration = self.log.configuration
        for name, member in sorted(self.members_by_name.items()):
            voter = configuration.voters_by_name.get(name)
            if not self._is_caught_up(member.id, now):
                continue
            if voter is None and name in configuration.returning:
                wanted_voters = self._timing.wanted_voters
                if wanted_voters and (
                    len(configuration.voters) >= wanted_voters
                ):
                    # Another host has become a voter in the meantime.
                    continue
                self.change_configuration(configuration.adding(member), now)
                return
            if voter is not None and self._is_lost(voter, member, now):
                self.change_configuration(
                    configuration.removing(voter.id, returning=True), now
                )
                return

    def _replace_lost_voters(self, now):
        """Replace silent voters and add voters up to `wanted_voters`."""
        wanted_voters = self._timing.wanted_voters
        if not wanted_voters or not self.may_change_voters():
            return
        new_configuration = decide_voters(
            self.log.configuration,
            caught_up_by_name={
                name: member
                for name, member in self.members_by_name.items()
                if self._is_caught_up(member.id, now)
            },
            silent_seconds_by_id={
                member_id: now - progress.acked_at
                for member_id, progress in (
                    self._leader_state.progress_by_id.items()
                )
            },
            wanted_voters=wanted_voters,
            timeout=self._timing.voter_timeout,
        )
        if new_configuration is not None:
            self.change_configuration(new_configuration, now)

    def _is_caught_up(self, member_id, now):
        """Return whether a peer replies and has all committed entries."""
        progress = self._leader_state.progress_by_id.get(member_id)
        return (
            progress is not None
            and now - progress.acked_at < self._timing.election_timeout
            and progress.match_index >= self.commit_index
        )

    def _is_lost(self, voter, member, now):
        """Return whether a voter's host returned with another disk.

        `member` is that host with the disk that it has now. A voter that
        still replies is not lost, even if another member has connected
        under the same host name.
        """
        if voter.id in (member.id, self.own_id):
            return False
        progress = self._leader_state.progress_by_id[voter.id]
        return now - progress.acked_at >= self._timing.election_timeout
