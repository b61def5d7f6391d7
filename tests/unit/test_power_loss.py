"""A data folder after losses of power and kills at any moment."""

import contextlib
import random

import pytest

from tests.support.power_loss import PowerLossFiles
from verbenanotch.replication import DamagedFileError
from verbenanotch.replication._entries import Configuration, Entry
from verbenanotch.replication._log import SnapshotMetadata
from verbenanotch.replication._log_file import entry_record, pack_batch
from verbenanotch.replication._storage import Storage

SEEDS = 150
ROUNDS = 12
STEPS = 20
BATCHES = (1, 3, 2)


class KilledError(Exception):
    """Raised where the process is killed."""


def entry(index, term=1):
    return Entry(term=term, index=index, kind=1, data=b"x" * (index % 90))


def open_files(files):
    storage = Storage(files=files)
    return storage, storage.open(name="c1", new_disk_id="d1")


def write_batch(storage, log, size):
    first = log.last_index + 1
    entries = [entry(index) for index in range(first, first + size)]
    for each in entries:
        log.append(each)
    storage.append(
        term=1, vote="c2", term_or_vote_changed=True, entries=entries
    )
    storage.sync()


@pytest.fixture
def files():
    files = PowerLossFiles()
    storage, recovered = open_files(files)
    for size in BATCHES:
        write_batch(storage, recovered.log, size)
    return files


def set_content(files, name, content):
    file = files.files_by_name[name]
    file.content = content
    file.sync()


def test_mark_torn_at_any_byte_does_not_end_the_start(files):
    storage, recovered = open_files(files)
    before = files.read("mark")
    write_batch(storage, recovered.log, 1)
    after = files.read("mark")
    assert after != before
    log_data = files.read("log-1")
    for cut in range(len(after) + 1):
        for first, second in ((before, after), (after, before)):
            set_content(files, "mark", first[:cut] + second[cut:])
            set_content(files, "log-1", log_data)
            _, recovered = open_files(files)
            assert recovered.log.last_index == sum(BATCHES) + 1


@pytest.mark.parametrize("piece_bytes", [8, 16, 64])
def test_batch_that_misses_any_piece_is_cut(files, piece_bytes):
    storage, recovered = open_files(files)
    mark = files.read("mark")
    synced = files.read("log-1")
    write_batch(storage, recovered.log, 9)
    whole = files.read("log-1")
    for start in range(len(synced), len(whole), piece_bytes):
        end = min(start + piece_bytes, len(whole))
        torn = whole[:start] + bytes(end - start) + whole[end:]
        set_content(files, "mark", mark)
        set_content(files, "log-1", torn)
        _, recovered = open_files(files)
        assert recovered.log.last_index >= sum(BATCHES)


def test_damage_in_a_batch_before_the_last_one_is_refused(files):
    storage, recovered = open_files(files)
    mark = files.read("mark")
    synced_bytes = len(files.read("log-1"))
    write_batch(storage, recovered.log, 4)
    end = len(files.read("log-1"))
    write_batch(storage, recovered.log, 4)
    whole = files.read("log-1")
    # The length of a record is what leads to the next one.
    for offset in range(synced_bytes + 4, end):
        damaged = bytearray(whole)
        damaged[offset] ^= 0x10
        set_content(files, "mark", mark)
        set_content(files, "log-1", bytes(damaged))
        with pytest.raises(DamagedFileError):
            open_files(files)


def test_what_a_killed_process_left_is_synced_before_use(files):
    file = files.files_by_name["log-1"]
    log = open_files(files)[1].log
    batch = pack_batch([entry_record(entry(log.last_index + 1))])
    file.write(len(file.content), batch)
    _, recovered = open_files(files)
    assert recovered.log.last_index == sum(BATCHES) + 1
    assert file.synced == file.content


class Run:
    """A storage that is killed, or loses power, again and again."""

    def __init__(self, seed):
        """Start with an empty folder."""
        self.random = random.Random(seed)
        self.files = PowerLossFiles(interrupt=self._interrupt)
        self.operations_left = 0
        self.last_index = 0
        self.term = 0
        self.commit_index = 0

    def _interrupt(self):
        self.operations_left -= 1
        if self.operations_left < 0:
            raise KilledError

    def play(self):
        """Write until a kill, then recover; raise if anything is lost."""
        for _ in range(ROUNDS):
            self.operations_left = self.random.choice((3, 10, 40))
            self.operations_left = self.random.randrange(self.operations_left)
            with contextlib.suppress(KilledError):
                self._write(self._recover())
            if self.random.random() < 0.6:
                self.files.lose_power(self.random)
        self.operations_left = 10**9
        self._recover()

    def _recover(self):
        storage, recovered = open_files(self.files)
        log = recovered.log
        assert log.last_index >= self.last_index
        assert recovered.term >= self.term
        assert recovered.commit_index >= self.commit_index
        if log.snapshot.index:
            assert recovered.snapshot_data == b"s" * log.snapshot.index
        for each in log.entries_from(log.base_index + 1):
            assert each == entry(each.index)
        # What a start recovers is promised to others from then on.
        self.last_index = log.last_index
        self.term = recovered.term
        self.commit_index = recovered.commit_index
        return storage, recovered

    def _write(self, opened):
        storage, recovered = opened
        log, term = recovered.log, recovered.term
        for _ in range(STEPS):
            if log.last_index > log.snapshot.index + 8:
                self._save_snapshot(storage, log, term)
            term += 1
            first = log.last_index + 1
            size = self.random.randrange(6)
            entries = [entry(index) for index in range(first, first + size)]
            for each in entries:
                log.append(each)
            storage.append(
                term=term,
                vote="c2",
                term_or_vote_changed=True,
                entries=entries,
            )
            storage.sync()
            self.last_index, self.term = log.last_index, term
            storage.append_commit(log.last_index)
            storage.sync()
            self.commit_index = log.last_index

    def _save_snapshot(self, storage, log, term):
        index = log.last_index - 2
        metadata = SnapshotMetadata(
            index=index, term=1, configuration=Configuration()
        )
        log.compact(metadata, keep_entries=3)
        storage.save_snapshot(log=log, term=term, vote="c2", data=b"s" * index)


@pytest.mark.parametrize("seed", range(SEEDS))
def test_nothing_promised_is_lost_with_power_or_a_kill(seed):
    Run(seed).play()
