"""Recovery of the data folder after crashes and damage."""

import os

import pytest

from verbenanotch.replication import (
    DamagedFileError,
    ForeignDirectoryError,
    MissingFileError,
)
from verbenanotch.replication._entries import Configuration, Entry, Member
from verbenanotch.replication._log import SnapshotMetadata
from verbenanotch.replication._storage import MARK_SLOT_BYTES, Storage
from verbenanotch.replication._storage import _pack_mark as pack_mark
from verbenanotch.replication._storage import _unpack_mark as unpack_mark
from verbenanotch.storage import Files, pack_record, scan_records

OWN = Member(name="c1", disk_id="d1", address="127.0.0.1", peer_port=1)
# The number of counted operations in two calls of `write_batches`, which
# test_crash_parameters_cover_every_operation checks.
CRASH_POINTS = 73


class SimulatedCrashError(Exception):
    """Raised where the process crashes."""


class CrashingFiles:
    """Files that crash instead of doing operation number `crash_at`.

    Of the bytes that were appended but not synced, the second half is lost,
    as in a torn write.
    """

    def __init__(self, *, directory, crash_at):
        """Crash after `crash_at` operations."""
        self.inner = Files(directory=directory)
        self.remaining_operations = crash_at
        self.unsynced = {}

    def __getattr__(self, name):
        """Return the operation with counting added."""
        operation = getattr(self.inner, name)

        def counted(*arguments):
            if name in ("names", "read"):
                return operation(*arguments)
            self.remaining_operations -= 1
            if self.remaining_operations < 0:
                self.crash()
            if name == "append":
                path = self.inner.directory / arguments[0]
                self.unsynced[path] = path.stat().st_size
            if name == "sync":
                self.unsynced.clear()
            return operation(*arguments)

        return counted

    def replace(self, name, data):
        """Replace a file with counted operations."""
        Files.replace(self, name, data)

    def crash(self):
        """Drop half of the bytes that were not synced and raise."""
        for path, size in self.unsynced.items():
            half = (size + path.stat().st_size) // 2
            with open(path, "r+b") as file:
                file.truncate(half)
        raise SimulatedCrashError


def entry(index, term=1):
    return Entry(term=term, index=index, kind=1, data=b"x" * index)


def open_storage(directory, files=None):
    storage = Storage(files=files or Files(directory=directory))
    return storage, storage.open(name="c1", new_disk_id="d1")


def write_batches(storage, log, acknowledged, *, first=1):
    """Write entries, votes and a snapshot; record what was synced."""
    for index in range(first, first + 6):
        log.append(entry(index))
        storage.append(
            term=index,
            vote="c2",
            term_or_vote_changed=True,
            entries=[entry(index)],
        )
        storage.append_commit(index - 1)
        storage.sync()
        acknowledged.append((index, index))
    metadata = SnapshotMetadata(
        index=first + 3, term=1, configuration=Configuration(voters=(OWN,))
    )
    log.compact(metadata, keep_entries=2)
    storage.save_snapshot(
        log=log, term=first + 5, vote="c2", data=b"state" * 9
    )
    log.append(entry(first + 6))
    storage.append(
        term=first + 5,
        vote="",
        term_or_vote_changed=False,
        entries=[entry(first + 6)],
    )
    storage.sync()
    acknowledged.append((first + 5, first + 6))


@pytest.fixture
def directory(tmp_path):
    storage, recovered = open_storage(tmp_path)
    write_batches(storage, recovered.log, [])
    return tmp_path


def log_file(directory):
    (path,) = directory.glob("log-*")
    return path


def flip_bit(path, offset):
    data = bytearray(path.read_bytes())
    data[offset] ^= 0x10
    path.write_bytes(data)


@pytest.mark.parametrize("crash_at", range(CRASH_POINTS))
def test_crash_at_any_operation_keeps_acknowledged_state(tmp_path, crash_at):
    acknowledged = [(0, 0)]
    files = CrashingFiles(directory=tmp_path, crash_at=crash_at)
    try:
        storage, recovered = open_storage(tmp_path, files)
        write_batches(storage, recovered.log, acknowledged)
        write_batches(storage, recovered.log, acknowledged, first=8)
    except SimulatedCrashError:
        pass
    _, recovered = open_storage(tmp_path)
    term, last_index = acknowledged[-1]
    assert recovered.term >= term
    assert recovered.log.last_index >= last_index
    # A batch stores the commit index before its entry; the batch after the
    # snapshot stores none.
    assert recovered.commit_index >= last_index - 2
    assert recovered.log.last_index >= recovered.log.snapshot.index
    recovered_entries = recovered.log.entries_from(
        recovered.log.base_index + 1
    )
    assert [e.index for e in recovered_entries] == [
        recovered.log.base_index + 1 + offset
        for offset in range(len(recovered_entries))
    ]
    assert all(e == entry(e.index) for e in recovered_entries)
    if recovered.log.snapshot.index:
        assert recovered.snapshot_data == b"state" * 9


def test_crash_parameters_cover_every_operation(tmp_path):
    files = CrashingFiles(directory=tmp_path, crash_at=CRASH_POINTS)
    storage, recovered = open_storage(tmp_path, files)
    write_batches(storage, recovered.log, [])
    write_batches(storage, recovered.log, [], first=8)
    assert files.remaining_operations == 0


def test_torn_tail_is_truncated(directory):
    with open(log_file(directory), "ab") as file:
        file.write(b"\x00\x00\x01\x00torn")
    _, recovered = open_storage(directory)
    assert recovered.cut_bytes == 8
    assert recovered.log.last_index == 7
    _, again = open_storage(directory)
    assert again.cut_bytes == 0


def test_bit_flip_anywhere_in_the_log_is_refused_at_start(directory):
    path = log_file(directory)
    for offset in range(path.stat().st_size):
        flip_bit(path, offset)
        with pytest.raises(DamagedFileError) as caught:
            open_storage(directory)
        assert caught.value.file == path.name
        assert caught.value.offset <= offset
        flip_bit(path, offset)
    open_storage(directory)


def test_damage_before_valid_records_is_detected_without_the_mark(directory):
    (directory / "mark").write_bytes(pack_mark(0, 0))
    path = log_file(directory)
    flip_bit(path, path.stat().st_size // 2)
    with pytest.raises(DamagedFileError):
        open_storage(directory)


@pytest.mark.parametrize("name", ["identity", "snapshot-4"])
def test_bit_flip_in_another_file_is_refused_at_start(directory, name):
    path = directory / name
    for offset in range(path.stat().st_size):
        flip_bit(path, offset)
        with pytest.raises(DamagedFileError, match=f"{name}, byte"):
            open_storage(directory)
        flip_bit(path, offset)


def test_bit_flip_in_the_synced_slot_of_the_mark_is_refused(directory):
    path = directory / "mark"
    for offset in range(MARK_SLOT_BYTES, 2 * MARK_SLOT_BYTES):
        flip_bit(path, offset)
        with pytest.raises(DamagedFileError, match="mark, byte"):
            open_storage(directory)
        flip_bit(path, offset)


def test_bit_flip_in_the_other_slot_of_the_mark_loses_nothing(directory):
    path, log_path = directory / "mark", log_file(directory)
    mark = path.read_bytes()
    synced_bytes = unpack_mark(scan_records(mark).values[1])[1]
    for offset in range(MARK_SLOT_BYTES):
        path.write_bytes(mark)
        flip_bit(path, offset)
        damaged_mark = path.read_bytes()
        # Damage to what the synced slot covers is found nevertheless.
        for log_offset in (0, synced_bytes // 2, synced_bytes - 1):
            flip_bit(log_path, log_offset)
            with pytest.raises(DamagedFileError):
                open_storage(directory)
            flip_bit(log_path, log_offset)
        assert path.read_bytes() == damaged_mark
        _, recovered = open_storage(directory)
        assert recovered.log.last_index == 7


def test_mark_with_one_slot_is_read_and_renewed(directory):
    path, log_path = directory / "mark", log_file(directory)
    path.write_bytes(path.read_bytes()[:MARK_SLOT_BYTES])
    flip_bit(log_path, log_path.stat().st_size - 1)
    with pytest.raises(DamagedFileError, match="log-2"):
        open_storage(directory)
    flip_bit(log_path, log_path.stat().st_size - 1)
    for offset in range(MARK_SLOT_BYTES):
        flip_bit(path, offset)
        with pytest.raises(DamagedFileError, match="mark, byte"):
            open_storage(directory)
        flip_bit(path, offset)
    _, recovered = open_storage(directory)
    assert recovered.log.last_index == 7
    assert path.stat().st_size == 2 * MARK_SLOT_BYTES


@pytest.mark.parametrize("name", ["identity", "mark", "snapshot-4", "log-2"])
def test_truncated_or_missing_file_is_refused_at_start(directory, name):
    path = directory / name
    data = path.read_bytes()
    path.write_bytes(data[:-1])
    with pytest.raises(DamagedFileError, match="empty the data folder"):
        open_storage(directory)
    path.unlink()
    with pytest.raises(MissingFileError, match=name):
        open_storage(directory)


def test_file_is_synced_before_it_is_renamed(tmp_path, monkeypatch):
    calls = []
    replace = os.replace
    monkeypatch.setattr(os, "fsync", lambda _: calls.append("sync"))
    monkeypatch.setattr(
        os, "replace", lambda *names: (calls.append("name"), replace(*names))
    )
    Files(directory=tmp_path).replace("file", b"data")
    assert calls == ["sync", "name", "sync"]


def test_data_folder_of_another_host_is_refused(directory):
    with pytest.raises(ForeignDirectoryError):
        Storage(files=Files(directory=directory)).open(
            name="c2", new_disk_id="d"
        )


def test_identity_of_an_earlier_release_is_read(directory):
    path = directory / "identity"
    (values,) = scan_records(path.read_bytes()).values
    path.write_bytes(pack_record(values[:4]))
    _, recovered = open_storage(directory)
    assert recovered.identity.disk_id == "d1"
    assert recovered.identity.creates_with == ()


def test_permission_to_create_a_cluster_stays_with_the_disk(tmp_path):
    for permitted in (("c1", "c2"), ()):
        storage = Storage(files=Files(directory=tmp_path))
        recovered = storage.open(
            name="c1", new_disk_id="d1", creates_with=permitted
        )
        assert recovered.identity.creates_with == ("c1", "c2")
