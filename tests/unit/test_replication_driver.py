"""The order of disk writes, messages and applied entries."""

import errno
import random
import zlib

import eventlet
import pytest

from tests.support.replicas import Cluster, wait_for
from verbenanotch.catalog import Accepted, Submission
from verbenanotch.replication import (
    Committed,
    DiskFailedError,
    Unavailable,
    Unknown,
)
from verbenanotch.replication._core import Core
from verbenanotch.replication._core_output import Timing
from verbenanotch.replication._driver import Driver
from verbenanotch.replication._entries import (
    Configuration,
    Entry,
    EntryKind,
    Member,
    encode_configuration,
)
from verbenanotch.replication._log import Log, SnapshotMetadata
from verbenanotch.replication._messages import Append, SnapshotChunk, VoteReply
from verbenanotch.replication.exceptions import LogConflictError
from verbenanotch.storage import Files
from verbenanotch.versions._state_machine import encode_submission

TIMING = Timing(election_timeout=60.0, heartbeat=20.0)
A, B = (
    Member(name=name, disk_id="1", address="127.0.0.1", peer_port=1)
    for name in "ab"
)


class Recorder:
    """Storage, links and state machine that record the order of calls."""

    def __init__(self):
        """Start without calls."""
        self.calls = []
        self.last_sync_ms = 0.0

    def append(self, *, term, vote, term_or_vote_changed, entries):
        """Record what is queued for the disk."""
        if term_or_vote_changed:
            self.calls.append(f"write term {term}")
        self.calls.extend(f"write {entry.index}" for entry in entries)

    def append_commit(self, index):
        """Record a commit index."""
        self.calls.append(f"commit {index}")

    def sync(self):
        """Record a sync."""
        self.calls.append("sync")

    def send(self, receiver_id, message):
        """Record a message, an Append by its number of entries."""
        name = type(message).__name__
        if isinstance(message, Append):
            name = f"append of {len(message.entries)}"
        self.calls.append(f"send {name}")

    def apply(self, position, command):
        """Record an applied entry."""
        self.calls.append(f"apply {position.index}")
        return b"result"


@pytest.fixture
def recorder():
    return Recorder()


def make_driver(recorder, *voters):
    configuration = Configuration(voters=voters)
    metadata = SnapshotMetadata(index=0, term=0, configuration=configuration)
    core = Core(
        own_id=A.id,
        log=Log(snapshot=metadata, base_index=0, base_term=0),
        term=0,
        vote="",
        timing=TIMING,
        random=random.Random(1),
        now=0.0,
    )
    return Driver(
        core=core,
        storage=recorder,
        state_machine=recorder,
        send=recorder.send,
        timing=TIMING,
        snapshot_every_entries=1000,
    )


@pytest.fixture
def driver(recorder):
    driver = make_driver(recorder, A, B)
    driver.start()
    yield driver
    driver.stop()


def run_pending(driver):
    driver.wake()
    for _ in range(5):
        eventlet.sleep(0)


def append(*, entries=(), previous=0, commit_index=0, term=1):
    return Append(
        term=term,
        previous_index=previous,
        previous_term=1 if previous else 0,
        entries=tuple(
            Entry(term=1, index=index, kind=EntryKind.COMMAND)
            for index in entries
        ),
        commit_index=commit_index,
        round=1,
    )


def lead(driver):
    driver.core.tick(10_000.0)
    run_pending(driver)
    driver.receive(B.id, VoteReply(term=1, granted=True, pre_vote=True))
    run_pending(driver)
    driver.receive(B.id, VoteReply(term=1, granted=True, pre_vote=False))


def test_follower_syncs_before_it_replies_and_applies(driver, recorder):
    driver.receive(B.id, append(entries=(1, 2), commit_index=1))
    run_pending(driver)
    assert recorder.calls == [
        "write term 1",
        "write 1",
        "write 2",
        "sync",
        "send AppendReply",
        "commit 1",
        "sync",
        "apply 1",
    ]


def test_messages_of_one_batch_share_a_sync(driver, recorder):
    driver.receive(B.id, append(entries=(1,)))
    driver.receive(B.id, append(entries=(2, 3), previous=1))
    run_pending(driver)
    assert recorder.calls.count("sync") == 1


def test_candidate_syncs_its_vote_before_it_requests_votes(driver, recorder):
    lead(driver)
    # The first VoteRequest, at index 0, is that of the pre-vote.
    sent_at = recorder.calls.index("send VoteRequest", 1)
    assert recorder.calls[sent_at - 2 : sent_at] == ["write term 1", "sync"]


def test_leader_sends_entries_before_its_own_sync(driver, recorder):
    lead(driver)
    run_pending(driver)
    recorder.calls.clear()
    # As if the reply to the first entry had timed out: it is sent again.
    driver.core._leader_state.progress_by_id[B.id].awaited_round = 0
    driver.propose(EntryKind.COMMAND, b"x")
    run_pending(driver)
    assert recorder.calls == ["send append of 2", "write 2", "sync"]


def test_leader_sends_no_entries_before_its_term_is_synced(recorder):
    driver = make_driver(recorder, A)
    driver.core.on_peer_connected(B, 0.0)
    driver.start()
    driver.core.tick(10_000.0)
    run_pending(driver)
    driver.stop()
    assert recorder.calls[:3] == ["write term 1", "write 1", "sync"]
    assert "send append of 1" in recorder.calls


def test_proposal_replaced_by_another_leader_is_unavailable(driver):
    lead(driver)
    run_pending(driver)
    replaced = driver.propose(EntryKind.COMMAND, b"x")
    assert replaced is not None
    run_pending(driver)
    other = Entry(term=2, index=2, kind=EntryKind.EMPTY)
    message = Append(
        term=2,
        previous_index=1,
        previous_term=1,
        entries=(other,),
        commit_index=2,
        round=1,
    )
    driver.receive(B.id, message)
    run_pending(driver)
    assert isinstance(replaced.wait(1), Unavailable)


def test_stop_ends_pending_proposals_as_unknown(driver):
    lead(driver)
    run_pending(driver)
    waiting = driver.propose(EntryKind.COMMAND, b"x")
    driver.stop()
    assert isinstance(waiting.wait(1), Unknown)


class FailingFiles(Files):
    """Files whose syncs fail while `failing` is set."""

    failing = False

    def sync(self, name):
        """Fail as a broken disk does."""
        if self.failing:
            raise OSError(errno.EIO, "input/output error")
        super().sync(name)


def test_a_failed_tick_fails_the_replica_and_its_proposals(
    recorder, monkeypatch
):
    """Otherwise it would neither send heartbeats nor say that it failed."""
    driver = make_driver(recorder, A, B)
    monkeypatch.setattr(driver, "_tick_seconds", 0.05)
    driver.start()
    lead(driver)
    run_pending(driver)
    waiting = driver.propose(EntryKind.COMMAND, b"x")

    def fail(now):
        raise RuntimeError("the tick failed")

    monkeypatch.setattr(driver.core, "tick", fail)
    assert isinstance(waiting.wait(1), Unknown)
    assert str(driver.error) == "the tick failed"
    driver.stop()


def test_a_replica_whose_log_conflicts_stays_failed(driver, recorder):
    """The sync of its new term made it well again, but for its ticks."""
    driver.receive(B.id, append(entries=(1,), commit_index=1))
    run_pending(driver)
    recorder.calls.clear()
    conflicting = Append(
        term=3,
        previous_index=0,
        previous_term=0,
        entries=(Entry(term=2, index=1, kind=EntryKind.EMPTY),),
        commit_index=0,
        round=1,
    )
    driver.receive(B.id, conflicting)
    run_pending(driver)
    assert isinstance(driver.error, LogConflictError)
    driver.receive(B.id, append(term=3))
    run_pending(driver)
    assert recorder.calls == []


def test_a_replica_that_fails_while_it_sends_stays_failed(
    driver, recorder, monkeypatch
):
    """The sync of what it had sent made it well again, but for its ticks."""
    lead(driver)
    run_pending(driver)
    driver.core._leader_state.progress_by_id[B.id].awaited_round = 0

    def fail(now):
        raise RuntimeError("the tick failed")

    def send(receiver_id, message):
        eventlet.spawn_n(driver._tick)

    monkeypatch.setattr(driver.core, "tick", fail)
    monkeypatch.setattr(driver, "_send", send)
    driver.propose(EntryKind.COMMAND, b"x")
    run_pending(driver)
    assert str(driver.error) == "the tick failed"


def test_disk_failure_stops_its_replica_and_others_continue(tmp_path):
    cluster = Cluster(path=tmp_path, voters=("c1", "c2", "c3"))
    cluster.start("c1", "c2")
    files = FailingFiles(directory=tmp_path / "c3")
    cluster.start("c3", files=files)
    try:
        first = cluster.leader().submit(1)
        cluster.agree(first.version)
        files.failing = True
        broken = cluster.hosts_by_name["c3"]
        broken.submit(2, timeout=1.0)
        wait_for(lambda: broken.replica.status().role == "failed")
        assert "input/output error" in broken.replica.status().error
        assert isinstance(
            broken.replica.propose(command=b"", timeout_seconds=0.1),
            Unavailable,
        )
        cluster.stop("c3")
        # If c3 led, the others may have the entry of submission 2, which
        # the next leader commits and applies later. Resending it under its
        # id decides it before submission 3 takes the current version as base.
        second = cluster.leader().submit(2)
        assert isinstance(second, Accepted)
        cluster.agree(second.version)
        assert isinstance(cluster.leader().submit(3), Accepted)
        submission = Submission(
            submission_id="direct", operator="ann", text=b'name = "m"'
        )
        outcome = cluster.leader().replica.propose(
            command=encode_submission(submission), timeout_seconds=5
        )
        assert isinstance(outcome, Committed)
    finally:
        cluster.close()


def test_applying_yields_and_stops_if_a_snapshot_is_installed(
    driver, recorder, monkeypatch
):
    monkeypatch.setattr(
        "verbenanotch.replication._driver.MAX_APPLY_SECONDS", 0.0
    )
    recorder.save_snapshot = lambda **_: recorder.calls.append("snapshot")
    recorder.restore = lambda data: recorder.calls.append("restore")
    driver.receive(B.id, append(entries=range(1, 10), commit_index=9))
    driver.wake()
    while "apply 3" not in recorder.calls:
        eventlet.sleep(0)
    driver.receive(B.id, snapshot_chunk(index=20))
    run_pending(driver)
    applied = [call for call in recorder.calls if call.startswith("apply")]
    assert "apply 9" not in applied
    assert recorder.calls[-1] == "send SnapshotReply"
    assert driver.applied_index == 20


def snapshot_chunk(*, index):
    return SnapshotChunk(
        term=1,
        index=index,
        index_term=1,
        configuration=encode_configuration(Configuration(voters=(A, B))),
        total_bytes=4,
        checksum=zlib.crc32(b"data"),
        offset=0,
        data=b"data",
        round=2,
    )


def test_snapshot_is_taken_when_a_replay_would_be_slow(
    driver, recorder, monkeypatch
):
    recorder.save_snapshot = lambda **_: recorder.calls.append("snapshot")
    recorder.snapshot = lambda: b"state"
    driver.receive(B.id, append(entries=(1,), commit_index=1))
    run_pending(driver)
    assert "snapshot" not in recorder.calls
    monkeypatch.setattr(
        "verbenanotch.replication._driver.MAX_REPLAY_SECONDS", 0.0
    )
    driver.receive(B.id, append(entries=(2,), previous=1, commit_index=2))
    run_pending(driver)
    assert recorder.calls[-1] == "snapshot"
    assert driver.core.log.snapshot.index == 2
    assert driver.core.log.base_index == 1


def test_error_names_an_unusable_data_folder(tmp_path):
    (tmp_path / "c1").write_text("a file, not a folder")
    cluster = Cluster(path=tmp_path, voters=("c1",))
    with pytest.raises(DiskFailedError, match="c1.*data_folder"):
        cluster.start()
