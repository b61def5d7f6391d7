"""The Raft core, without clock, disk or network."""

import random
import zlib

import pytest

from verbenanotch.replication._core import Core
from verbenanotch.replication._core_output import Timing
from verbenanotch.replication._entries import (
    Configuration,
    Entry,
    EntryKind,
    Member,
    encode_configuration,
)
from verbenanotch.replication._log import Log, SnapshotMetadata
from verbenanotch.replication._messages import (
    Append,
    AppendReply,
    SnapshotChunk,
    SnapshotReply,
    VoteReply,
    VoteRequest,
)
from verbenanotch.replication._roles import Role
from verbenanotch.replication.exceptions import LogConflictError

TIMING = Timing(election_timeout=1.0, heartbeat=0.2)


def member(name, disk_id="1"):
    return Member(name=name, disk_id=disk_id, address="127.0.0.1", peer_port=1)


A, B, C = (member(name) for name in "abc")


def make_core(
    *, voters=(A, B, C), terms=(), term=0, vote="", own=A, timing=TIMING
):
    """Return a core whose log holds entries of these terms."""
    configuration = Configuration(voters=tuple(voters))
    log = Log(
        snapshot=SnapshotMetadata(
            index=0, term=0, configuration=configuration
        ),
        base_index=0,
        base_term=0,
        entries=[
            Entry(term=each, index=index, kind=EntryKind.COMMAND)
            for index, each in enumerate(terms, start=1)
        ],
    )
    return Core(
        own_id=own.id,
        log=log,
        term=term,
        vote=vote,
        timing=timing,
        random=random.Random(1),
        now=0.0,
    )


def lead(core, now=3.0):
    """Make a core the leader with the votes of `b`."""
    core.tick(now)
    core.receive(
        B.id, VoteReply(term=core.term + 1, granted=True, pre_vote=True), now
    )
    core.receive(
        B.id, VoteReply(term=core.term, granted=True, pre_vote=False), now
    )
    assert core.role == Role.LEADER
    sync(core, now)


def receive_heartbeat(core, now):
    """Pass the core a heartbeat from `b`, the leader of term 1."""
    heartbeat = Append(
        term=1,
        previous_index=1,
        previous_term=1,
        entries=(),
        commit_index=1,
        round=1,
    )
    core.receive(B.id, heartbeat, now)


def sync(core, now):
    """Sync the pending entries at once; return the effects."""
    effects = core.take_effects()
    if effects.entries:
        last = effects.entries[-1]
        core.on_synced(last.index, last.term, now)
    return effects


def acknowledge(core, peer, index, now, *, round_number=1000, term=None):
    """Reply as `peer` that its log matches up to `index`.

    The default round is higher than that of any message that was sent.
    """
    reply = AppendReply(
        term=term or core.term, matched=True, index=index, round=round_number
    )
    core.receive(peer.id, reply, now)


def append(term, previous, *, terms=(), commit_index=0, previous_term=None):
    """Return an Append of entries of these terms after index `previous`."""
    entries = tuple(
        Entry(term=each, index=index, kind=EntryKind.COMMAND)
        for index, each in enumerate(terms, start=previous + 1)
    )
    return Append(
        term=term,
        previous_index=previous,
        previous_term=previous_term or 0,
        entries=entries,
        commit_index=commit_index,
        round=1,
    )


def reply_of(core):
    """Return the only message that the core has sent."""
    (outgoing,) = core.take_effects().messages
    return outgoing.message


def vote_request(term, *, last_index=0, last_term=0, pre_vote=False):
    return VoteRequest(
        term=term,
        last_index=last_index,
        last_term=last_term,
        pre_vote=pre_vote,
    )


def test_vote_is_granted_once_per_term_to_up_to_date_logs_only():
    core = make_core(terms=(1, 1), term=1)
    core.receive(B.id, vote_request(2, last_index=1, last_term=1), 5.0)
    assert not reply_of(core).granted
    core.receive(B.id, vote_request(2, last_index=2, last_term=1), 5.0)
    effects = core.take_effects()
    assert effects.messages[0].message.granted
    assert (effects.term, effects.vote) == (2, B.id)
    assert effects.term_or_vote_changed
    core.receive(C.id, vote_request(2, last_index=9, last_term=1), 5.0)
    assert not reply_of(core).granted


def test_restored_vote_is_not_granted_to_another_candidate():
    core = make_core(term=2, vote=B.id)
    core.receive(C.id, vote_request(2), 5.0)
    assert not reply_of(core).granted


def test_pre_vote_changes_no_state_and_is_refused_while_there_is_a_leader():
    core = make_core()
    core.receive(B.id, vote_request(7, pre_vote=True), 5.0)
    effects = core.take_effects()
    assert effects.messages[0].message.granted
    assert not effects.term_or_vote_changed
    core.receive(B.id, append(1, 0), 5.0)
    core.take_effects()
    core.receive(C.id, vote_request(7, pre_vote=True), 5.5)
    assert not reply_of(core).granted
    core.receive(C.id, vote_request(7), 5.5)
    assert core.term == 1


def test_learner_starts_no_election():
    core = make_core(voters=(B, C))
    core.tick(100.0)
    assert core.take_effects().is_empty


def test_new_disk_does_not_inherit_the_vote_of_the_old_one():
    core = make_core(own=member("a", "2"))
    core.tick(100.0)
    assert core.role == Role.FOLLOWER
    candidate = make_core(voters=(A, B, C))
    candidate.tick(3.0)
    reply = VoteReply(term=1, granted=True, pre_vote=True)
    candidate.receive(member("b", "2").id, reply, 3.0)
    assert candidate.role == Role.PRE_CANDIDATE


def test_leader_counts_and_applies_an_entry_only_once_synced():
    core = make_core()
    lead(core)
    entry = core.propose(EntryKind.COMMAND, b"", 3.0)
    acknowledge(core, B, entry.index, 3.0)
    assert core.commit_index < entry.index
    acknowledge(core, C, entry.index, 3.0)
    assert core.commit_index == entry.index
    assert core.applicable_index < entry.index
    core.on_synced(entry.index, entry.term, 3.0)
    assert core.applicable_index == entry.index


def test_entry_of_an_older_term_is_not_committed_by_counting():
    core = make_core(terms=(1,), term=1)
    lead(core)
    acknowledge(core, B, 1, 3.0)
    assert core.commit_index == 0
    acknowledge(core, B, 2, 3.0)
    assert core.commit_index == 2


def test_conflicting_entries_are_replaced_unless_committed():
    core = make_core(terms=(1, 1, 1), term=1)
    core.receive(
        B.id, append(2, 1, terms=(2,), previous_term=1, commit_index=2), 5.0
    )
    effects = core.take_effects()
    assert [entry.term for entry in effects.entries] == [2]
    assert core.log.last_index == core.commit_index == 2
    assert core.applicable_index == 1
    with pytest.raises(LogConflictError):
        core.receive(C.id, append(3, 1, terms=(3,), previous_term=1), 5.0)


def test_mismatch_reply_has_a_next_index_hint():
    core = make_core(terms=(1, 2, 2), term=2)
    core.receive(B.id, append(3, 9, previous_term=3), 5.0)
    assert reply_of(core).index == 4
    core.receive(B.id, append(3, 3, previous_term=3), 5.0)
    assert reply_of(core).index == 2


def test_a_leader_without_a_quorum_steps_down():
    core = make_core()
    lead(core)
    acknowledge(core, B, 1, 3.5)
    core.tick(4.4)
    assert core.role == Role.LEADER
    core.tick(4.6)
    assert core.role == Role.FOLLOWER
    assert core.leader_id == ""


def test_read_needs_replies_of_a_quorum_to_later_rounds():
    core = make_core()
    lead(core)
    core.request_read("early", 3.0)
    acknowledge(core, B, 1, 3.0, round_number=1)
    sent = sync(core, 3.0).appends
    assert core.commit_index == 1
    acknowledge(core, C, 1, 3.1, round_number=1)
    assert core.take_effects().reads == []
    # The last two messages are the heartbeats of the read, one to each peer.
    *_, before, _, newest = sorted(each.message.round for each in sent)
    acknowledge(core, C, 1, 3.1, round_number=before)
    assert core.take_effects().reads == []
    acknowledge(core, C, 1, 3.1, round_number=newest)
    (read,) = core.take_effects().reads
    assert (read.token, read.index) == ("early", 1)


def test_a_member_is_in_contact_while_a_leader_has_a_quorum():
    core = make_core(terms=(1,), term=1, own=C)
    assert not core.is_in_contact(0.0)
    receive_heartbeat(core, 0.0)
    assert core.is_in_contact(0.9)
    assert not core.is_in_contact(1.0)


def test_a_leader_is_in_contact_while_a_quorum_replies():
    core = make_core()
    lead(core, 3.0)
    assert core.is_in_contact(3.9)
    # No tick has made it step down yet, as after a pause of its process.
    assert not core.is_in_contact(4.1)


def test_deposed_leader_refuses_pending_reads():
    core = make_core()
    lead(core)
    core.request_read("token", 3.0)
    acknowledge(core, B, 0, 3.0, term=9)
    (read,) = core.take_effects().reads
    assert read.index is None


def test_voters_change_one_at_a_time_after_a_commit_in_the_term():
    core = make_core()
    lead(core)
    assert not core.may_change_voters()
    acknowledge(core, B, 1, 3.0)
    assert core.may_change_voters()
    entry, _ = core.change_voters("", "c", 3.0)
    assert not core.may_change_voters()
    sync(core, 3.0)
    acknowledge(core, C, entry.index, 3.0)
    assert core.commit_index < entry.index
    acknowledge(core, B, entry.index, 3.0)
    assert core.may_change_voters()


def exchange_messages(cores, now):
    """Tick the cores and deliver all messages between them."""
    cores_by_id = {core.own_id: core for core in cores}
    for core in cores:
        core.tick(now)
    while any(not core.has_no_pending_effects for core in cores):
        for core in cores:
            effects = sync(core, now)
            for sent in (*effects.messages, *effects.appends):
                cores_by_id[sent.receiver_id].receive(
                    core.own_id, sent.message, now
                )


def test_a_leader_that_lost_its_role_as_it_left_is_elected_again():
    """Guard against voters that wait for ever for an entry of another.

    Only the voter that leaves has the removal, so no other can be elected
    without it (Ongaro, section 4.2.2).
    """
    leaving = make_core(voters=(A, B), terms=(1,), term=1)
    lead(leaving)
    acknowledge(leaving, B, 2, 3.0)
    entry, _ = leaving.change_voters("", "a", 3.0)
    sync(leaving, 3.0)
    leaving.tick(5.0)
    assert leaving.role == Role.FOLLOWER
    staying = make_core(voters=(A, B), terms=(1, 2), term=2, own=B)
    for step in range(100):
        exchange_messages([leaving, staying], 5.0 + step * 0.1)
    assert staying.role == Role.LEADER
    assert staying.commit_index > entry.index
    assert set(leaving.log.configuration.voters_by_id) == {B.id}
    assert leaving.role == Role.FOLLOWER


@pytest.mark.parametrize("is_removed", [True, False])
def test_a_member_without_a_vote_does_not_stand(is_removed):
    """Guard against a member that disturbs voters it does not belong to."""
    core = make_core(voters=(A, B) if is_removed else (B, C), own=A)
    if is_removed:
        lead(core)
        acknowledge(core, B, 1, 3.0)
        entry, _ = core.change_voters("", "a", 3.0)
        sync(core, 3.0)
        acknowledge(core, B, entry.index, 3.0)
        assert core.commit_index == entry.index
    core.take_effects()
    core.tick(20.0)
    assert core.role == Role.FOLLOWER
    assert not core.take_effects().messages


def test_new_disk_replaces_the_lost_one_in_two_committed_steps():
    core = make_core()
    lead(core)
    acknowledge(core, B, 1, 3.0)
    sync(core, 3.0)
    new = member("c", "2")
    core.on_peer_connected(new, 3.2)
    core.tick(3.3)
    assert C.id in core.log.configuration.voters_by_id
    for now in (3.6, 3.9, 4.2, 4.5):
        acknowledge(core, new, 1, now)
        acknowledge(core, B, 1, now)
        core.tick(now)
    assert set(core.log.configuration.voters_by_id) == {A.id, B.id}
    assert core.log.configuration.returning == ("c",)
    index = core.log.last_index
    sync(core, 4.5)
    acknowledge(core, new, index, 4.5)
    assert core.commit_index < index
    acknowledge(core, B, index, 4.5)
    core.tick(4.8)
    assert set(core.log.configuration.voters_by_id) == {A.id, B.id, new.id}
    assert core.log.configuration.returning == ()


def test_answering_voter_is_not_replaced_by_member_of_same_name():
    core = make_core()
    lead(core)
    new = member("c", "2")
    core.on_peer_connected(new, 3.0)
    for now in (3.3, 3.6, 3.9, 4.2, 4.5):
        for peer in (B, C, new):
            acknowledge(core, peer, 1, now)
        core.tick(now)
    assert C.id in core.log.configuration.voters_by_id


def test_snapshot_arrives_in_chunks_and_a_corrupt_one_is_discarded():
    core = make_core(voters=())
    data = bytes(range(100))
    metadata = SnapshotMetadata(
        index=50, term=2, configuration=Configuration(voters=(A, B, C))
    )

    def chunk(offset, part):
        return chunk_of(metadata, data, offset, part)

    core.receive(B.id, chunk(0, data[:60]), 5.0)
    assert reply_of(core).offset == 60
    core.receive(B.id, chunk(60, b"\x00" * 40), 5.0)
    assert reply_of(core) == SnapshotReply(
        term=3, index=50, offset=0, installed=False, round=1
    )
    core.receive(B.id, chunk(0, data[:60]), 5.0)
    core.receive(B.id, chunk(60, data[60:]), 5.0)
    effects = core.take_effects()
    assert effects.snapshot.data == data
    assert effects.messages[-1].message.installed
    assert core.log.last_index == core.commit_index == 50
    assert core.is_voter


def chunk_of(metadata, data, offset, part):
    return SnapshotChunk(
        term=3,
        index=metadata.index,
        index_term=metadata.term,
        configuration=encode_configuration(metadata.configuration),
        total_bytes=len(data),
        checksum=zlib.crc32(data),
        offset=offset,
        data=part,
        round=1,
    )


def test_installed_snapshot_keeps_later_entries_of_a_matching_log():
    core = make_core(terms=(1, 1, 1), term=1)
    configuration = Configuration(voters=(A, B, C))
    core.log.install(
        SnapshotMetadata(index=2, term=1, configuration=configuration)
    )
    assert core.log.last_index == 3
    core.log.install(
        SnapshotMetadata(index=3, term=9, configuration=configuration)
    )
    assert core.log.last_index == 3
    assert core.log.last_term == 9


def test_slower_follower_gets_the_commit_index_after_its_reply():
    core = make_core()
    lead(core)
    acknowledge(core, B, 1, 3.0)
    sync(core, 3.0)
    acknowledge(core, C, 1, 3.01)
    (outgoing,) = core.take_effects().appends
    assert outgoing.receiver_id == C.id
    assert outgoing.message.previous_index == 1
    assert outgoing.message.commit_index == 1
    acknowledge(core, C, 1, 3.02)
    assert core.take_effects().is_empty


def test_starting_member_uses_a_shortened_election_timeout():
    core = make_core()
    core.tick(TIMING.election_timeout / 2)
    assert core.role == Role.PRE_CANDIDATE


def test_member_that_followed_a_leader_waits_for_the_full_timeout():
    core = make_core(terms=(1,), term=1)
    receive_heartbeat(core, 0.1)
    core.tick(0.1 + TIMING.election_timeout * 0.99)
    assert core.role == Role.FOLLOWER


def test_pre_vote_is_refused_while_the_leader_sends_heartbeats():
    core = make_core(terms=(1,), term=1)
    receive_heartbeat(core, 0.1)
    core.take_effects()
    request = VoteRequest(term=2, last_index=1, last_term=1, pre_vote=True)
    core.receive(C.id, request, 0.2)
    (sent,) = core.take_effects().messages
    assert not sent.message.granted
