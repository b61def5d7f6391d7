"""Replicas whose disks refuse writes for some time take part again."""

import errno
import itertools
import random

import eventlet
import pytest

from tests.support.replicas import Cluster, wait_for
from verbenanotch.catalog import Accepted
from verbenanotch.replication import DiskFailedError
from verbenanotch.replication._entries import Entry, EntryKind
from verbenanotch.replication._storage import Storage
from verbenanotch.storage import Files

NAMES = ("c1", "c2", "c3")
LEARNERS = ("c4", "c5")
SEEDS = 12
STEPS = 14
SEEDS_IN_TURN = 2
SEEDS_OF_CHANGES = 3
CHANGES = 6
WAIT_SECONDS = 0.6
START_SECONDS = 10.0
DISKS_IN_TURN = 5
# The longest is beyond the time after which a leader forgets a learner.
FULL_SECONDS = (0.1, 0.5, 1.0, 2.0, 4.0)


class FullFiles(Files):
    """Files of a disk that is full, or fails at times.

    A full disk takes half of what is written, and no other change. With
    `fails_each`, each such sync of a file fails; with `refuses_lists` so
    does each look into the folder.
    """

    def __init__(self, *, directory):
        """Start with a disk that takes all."""
        super().__init__(directory=directory)
        self.is_full = False
        self.refuses_removals = False
        self.refuses_lists = False
        self.fails_each = 0
        self._syncs = 0

    def names(self):
        """Return the names, or fail as a faulty disk does."""
        if self.refuses_lists:
            raise OSError(errno.EIO, "input/output error")
        return super().names()

    def append(self, name, data):
        """Append half of the data, if the disk is full."""
        if self.is_full:
            super().append(name, data[: len(data) // 2])
            raise OSError(errno.ENOSPC, "no space left on device")
        super().append(name, data)

    def write_temporary(self, name, data):
        """Write half of the data, if the disk is full."""
        if self.is_full:
            super().append(name, data[: len(data) // 2])
            raise OSError(errno.ENOSPC, "no space left on device")
        super().write_temporary(name, data)

    def truncate(self, name, size):
        """Truncate a file, unless the disk is full."""
        self._check_space()
        super().truncate(name, size)

    def overwrite(self, name, data):
        """Overwrite the start of a file, unless the disk is full."""
        self._check_space()
        super().overwrite(name, data)

    def remove(self, name):
        """Remove a file, unless the disk is full, as some file systems do."""
        if self.refuses_removals:
            raise OSError(errno.ENOSPC, "no space left on device")
        self._check_space()
        super().remove(name)

    def _check_space(self):
        if self.is_full:
            raise OSError(errno.ENOSPC, "no space left on device")

    def sync(self, name):
        """Sync, or fail as a faulty disk does."""
        self._syncs += 1
        if self.fails_each and self._syncs % self.fails_each == 0:
            raise OSError(errno.EIO, "input/output error")
        super().sync(name)


class Disks:
    """A cluster of three voters, and learners, whose disks can be full."""

    def __init__(self, *, path, learners=(), **control):
        """Start the hosts."""
        self._path = path
        self.cluster = Cluster(
            path=path, voters=NAMES, learners=learners, **control
        )
        self.files_by_name = {}
        self._submissions = itertools.count()
        for name in (*NAMES, *learners):
            self.start(name)

    def start(self, name):
        """Start a host with an empty or its own disk."""
        files = FullFiles(directory=self._path / name)
        self.files_by_name[name] = files
        self.cluster.start(name, files=files)

    def fill(self, *names):
        """Let the disks of hosts refuse writes."""
        for name in names:
            self.files_by_name[name].is_full = True

    def empty(self, *names):
        """Let the disks take writes again."""
        for name in names or self.files_by_name:
            self.files_by_name[name].is_full = False
            self.files_by_name[name].fails_each = 0

    def status(self, name):
        """Return the status of a host's replica."""
        return self.cluster.hosts_by_name[name].replica.status()

    def submit(self, number, *, seconds=15.0, name=None):
        """Submit until one host accepts, that of a name if there is one.

        Returns the version.
        """
        accepted = []

        def is_accepted():
            for host in list(self.cluster.hosts_by_name.values()):
                if name not in (None, host.name):
                    continue
                # The outcome of an id, such as a conflict, is final.
                outcome = host.submit(
                    number,
                    submission_id=f"s{next(self._submissions)}",
                    timeout=1.0,
                )
                if isinstance(outcome, Accepted):
                    accepted.append(outcome.version)
                    return True
            return False

        wait_for(is_accepted, seconds)
        return accepted[-1]

    def versions(self, name):
        """Return the accepted versions of a host, oldest first."""
        host = self.cluster.hosts_by_name[name]
        return list(host.versions.records_by_version)


@pytest.fixture
def disks(tmp_path):
    started = Disks(path=tmp_path, snapshot_every_entries=5)
    yield started
    started.empty()
    started.cluster.close()


def test_a_follower_takes_part_again(disks):
    """Guard against a host that stays out until it is restarted."""
    disks.cluster.agree(disks.submit(1))
    name = disks.cluster.followers()[0].name
    disks.fill(name)
    second = disks.submit(2)
    wait_for(lambda: disks.status(name).role == "failed")
    assert "no space" in disks.status(name).error
    disks.empty(name)
    wait_for(lambda: disks.status(name).role != "failed")
    disks.cluster.agree(second)
    disks.cluster.agree(disks.submit(3))


def test_the_leader_hands_over_and_takes_part_again(disks):
    disks.cluster.agree(disks.submit(1))
    name = disks.cluster.leader().name
    disks.fill(name)
    disks.submit(2)
    disks.empty(name)
    last = disks.submit(3)
    disks.cluster.agree(last)
    assert disks.status(name).role in ("leader", "follower")


@pytest.mark.parametrize("together", [True, False])
def test_a_quorum_is_restored_when_the_disks_take_writes(disks, together):
    """Guard against full disks that stop all hosts, one after the other."""
    disks.cluster.agree(disks.submit(1))
    if together:
        disks.fill(*NAMES)
        eventlet.sleep(1.0)
        disks.empty()
    else:
        for number, name in enumerate(NAMES[:2]):
            disks.fill(name)
            disks.submit(10 + number)
            wait_for(lambda name=name: disks.status(name).role == "failed")
            disks.empty(name)
            wait_for(lambda name=name: disks.status(name).role != "failed")
    disks.cluster.agree(disks.submit(2))


def test_files_that_could_not_be_removed_keep_no_host_out(disks):
    """Guard against a disk that gets full between a snapshot and its end.

    A removal takes space on some file systems.
    """
    disks.cluster.agree(disks.submit(0))
    for files in disks.files_by_name.values():
        files.refuses_removals = True
    versions = [disks.submit(number) for number in range(1, 12)]
    disks.cluster.agree(versions[-1])
    for name, files in disks.files_by_name.items():
        assert disks.status(name).snapshot_index > 0
        files.refuses_removals = False
    versions.append(disks.submit(12))
    disks.cluster.agree(versions[-1])
    for name in NAMES:
        disks.cluster.stop(name)
        disks.start(name)
    disks.cluster.agree(versions[-1])
    for name in NAMES:
        names = disks.files_by_name[name].names()
        assert len([n for n in names if n.startswith("snapshot-")]) == 1


@pytest.mark.parametrize("is_full", [True, False])
def test_a_folder_that_cannot_be_listed_keeps_no_host_out(disks, is_full):
    """Guard against a replica that fails as it tidies up its folder."""
    disks.cluster.agree(disks.submit(0))
    name = disks.cluster.followers()[0].name
    files = disks.files_by_name[name]
    files.refuses_lists = True
    files.is_full = is_full
    versions = [disks.submit(number) for number in range(1, 12)]
    eventlet.sleep(WAIT_SECONDS)
    files.refuses_lists = False
    disks.empty(name)
    disks.cluster.agree(versions[-1])
    assert disks.status(name).role in ("leader", "follower")


def test_a_disk_that_fails_each_third_sync_keeps_up(disks):
    for files in disks.files_by_name.values():
        files.fails_each = 3
    last = None
    for number in range(1, 7):
        last = disks.submit(number, seconds=30.0)
    disks.cluster.agree(last)


def test_a_half_written_record_is_cut_off_before_the_next(tmp_path):
    files = FullFiles(directory=tmp_path)
    storage = Storage(files=files)
    storage.open(name="c1", new_disk_id="1")
    entries = [
        Entry(term=1, index=index, kind=EntryKind.COMMAND, data=b"x" * 99)
        for index in (1, 2)
    ]
    options = {"term": 1, "vote": "c1.1", "term_or_vote_changed": True}
    storage.append(entries=entries[:1], **options)
    files.is_full = True
    for _ in range(3):
        with pytest.raises(DiskFailedError):
            storage.sync()
    files.is_full = False
    storage.sync()
    storage.append(entries=entries[1:], **options)
    storage.sync()
    recovered = Storage(files=Files(directory=tmp_path)).open(
        name="c1", new_disk_id="2"
    )
    assert recovered.cut_bytes == 0
    assert recovered.log.last_index == 2
    assert (recovered.term, recovered.vote) == (1, "c1.1")


def start_with_full_disk(disks, *, is_empty):
    """Start a stopped follower on a full disk; return name and starter."""
    disks.cluster.agree(disks.submit(1))
    name = disks.cluster.followers()[0].name
    disks.cluster.stop(name)
    if is_empty:
        disks.cluster.wipe(name)
    files = FullFiles(directory=disks.files_by_name[name].directory)
    files.is_full = True
    disks.files_by_name[name] = files
    return name, eventlet.spawn(disks.cluster.start, name, files=files)


def test_a_start_waits_for_an_empty_disk_that_is_full(disks):
    """Guard against a host that ends as it can't write when it starts."""
    name, starter = start_with_full_disk(disks, is_empty=True)
    eventlet.sleep(WAIT_SECONDS)
    assert not starter.dead
    assert name not in disks.cluster.hosts_by_name
    disks.empty(name)
    starter.wait()
    disks.cluster.agree(disks.submit(2))


def test_a_host_with_state_starts_while_its_disk_is_full(disks):
    """Guard against a host that ends as it can't write when it starts."""
    name, starter = start_with_full_disk(disks, is_empty=False)
    with eventlet.Timeout(START_SECONDS):
        starter.wait()
    assert name in disks.cluster.hosts_by_name
    disks.empty(name)
    disks.cluster.agree(disks.submit(2))


def test_a_start_fails_if_the_folder_is_no_folder(tmp_path):
    """Guard against a start that waits for what no disk changes."""
    cluster = Cluster(path=tmp_path, voters=NAMES)
    (tmp_path / NAMES[0]).write_text("a file")
    with pytest.raises(DiskFailedError, match=r"control\.data_folder"):
        cluster.start(NAMES[0])


@pytest.mark.parametrize("seed", range(SEEDS))
def test_random_full_disks_lose_nothing_that_was_accepted(disks, seed):
    """Fill and empty disks, and restart hosts, while operators submit."""
    chance = random.Random(seed)
    accepted = [disks.submit(0)]
    for number in range(1, STEPS):
        name = chance.choice(NAMES)
        step = chance.random()
        if step < 0.4:
            disks.fill(*chance.sample(NAMES, chance.randint(1, 3)))
        elif step < 0.6:
            disks.files_by_name[name].fails_each = 3
        elif step < 0.7 and not disks.files_by_name[name].is_full:
            disks.cluster.stop(name)
            disks.start(name)
        eventlet.sleep(chance.random() * 0.4)
        if chance.random() < 0.7:
            disks.empty()
            accepted.append(disks.submit(number, seconds=30.0))
    disks.empty()
    accepted.append(disks.submit(STEPS, seconds=30.0))
    disks.cluster.agree(accepted[-1])
    for name in NAMES:
        assert set(accepted) <= set(disks.versions(name))
        disks.cluster.stop(name)
        disks.start(name)
    disks.cluster.agree(accepted[-1])


def submit_forever(disks, chance):
    """Submit at one host after the other without waiting for the outcome."""
    for number in itertools.count(1000):
        host = chance.choice(list(disks.cluster.hosts_by_name.values()))
        eventlet.spawn_n(
            host.submit, number, submission_id=f"busy{number}", timeout=1.0
        )
        eventlet.sleep(0.05)


@pytest.mark.parametrize("seed", range(SEEDS_IN_TURN))
@pytest.mark.parametrize("learners", [(), ("c4",)])
def test_changes_are_accepted_after_disks_were_full_in_turn(
    tmp_path, learners, seed
):
    """Guard against a cluster that stays out after the last disk has room.

    Never two disks are full at once, and a voter may be replaced meanwhile.
    """
    chance = random.Random(seed)
    disks = Disks(
        path=tmp_path,
        learners=learners,
        tolerated_losses=1,
        voter_patience_ms=450,
        snapshot_every_entries=chance.choice([5, 20, 1000]),
    )
    names = list(disks.files_by_name)
    disks.submit(0)
    submitter = eventlet.spawn(submit_forever, disks, chance)
    try:
        for _ in range(DISKS_IN_TURN):
            name = chance.choice([*names, disks.cluster.leader().name])
            disks.fill(name)
            eventlet.sleep(chance.choice(FULL_SECONDS))
            disks.empty(name)
            eventlet.sleep(chance.choice([0.0, 0.1, 0.5]))
        submitter.kill()
        for number, name in enumerate(names, start=1):
            disks.cluster.agree(disks.submit(number, name=name))
    finally:
        submitter.kill()
        disks.empty()
        disks.cluster.close()


def change_voters_forever(disks, chance):
    """Let one leader after the other add or remove a voter."""
    while True:
        name = chance.choice([*NAMES, *LEARNERS])
        host = chance.choice(list(disks.cluster.hosts_by_name.values()))
        is_voter = name in host.replica.status().voters_by_name
        change = {"remove": name} if is_voter else {"add": name}
        host.replica.change_voters(timeout_seconds=0.3, **change)
        eventlet.sleep(chance.random() * 0.2)


@pytest.mark.parametrize("seed", range(SEEDS_OF_CHANGES))
def test_disks_full_as_voters_change_lose_nothing(tmp_path, seed):
    """Guard against a change of voters that a full disk leaves half-done."""
    chance = random.Random(seed)
    disks = Disks(
        path=tmp_path,
        learners=LEARNERS,
        snapshot_every_entries=chance.choice([5, 20, 1000]),
    )
    names = list(disks.files_by_name)
    changer = eventlet.spawn(change_voters_forever, disks, chance)
    try:
        accepted = [disks.submit(0, seconds=30.0)]
        for number in range(1, CHANGES):
            disks.fill(*chance.sample(names, chance.randint(1, len(names))))
            eventlet.sleep(chance.random())
            disks.empty()
            accepted.append(disks.submit(number, seconds=30.0))
        changer.kill()
        last = disks.submit(CHANGES, seconds=30.0)
        disks.cluster.agree(last)
        for name in names:
            assert set(accepted) <= set(disks.versions(name))
            disks.cluster.stop(name)
            disks.start(name)
        disks.cluster.agree(disks.submit(CHANGES + 1, seconds=30.0))
    finally:
        changer.kill()
        disks.empty()
        disks.cluster.close()
