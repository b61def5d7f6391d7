"""The data folder after crashes and damage."""

import os

import pytest

from verbenanotch.replication import (
    DamagedFileError,
    ForeignFolderError,
    MissingFileError,
)
from verbenanotch.replication._entries import Configuration, Entry, Member
from verbenanotch.replication._files import Files
from verbenanotch.replication._log import SnapshotPoint
from verbenanotch.replication._storage import Storage
from verbenanotch.replication._storage import _mark as pack_mark

OWN = Member(name="c1", disk_id="d1", address="127.0.0.1", peer_port=1)
CRASHES = 69


class SimulatedCrashError(Exception):
    """The process dies here."""


class CrashingFiles:
    """Files whose operation number `crash_at` does not happen.

    What was appended but not synced is lost by half, as in a torn write.
    """

    def __init__(self, *, folder, crash_at):
        """Count down from `crash_at`."""
        self.inner = Files(folder=folder)
        self.left = crash_at
        self.unsynced = {}

    def __getattr__(self, name):
        """Return the operation with the count around it."""
        operation = getattr(self.inner, name)

        def counted(*arguments):
            if name in ("names", "read"):
                return operation(*arguments)
            self.left -= 1
            if self.left < 0:
                self.crash()
            if name == "append":
                path = self.inner.folder / arguments[0]
                self.unsynced[path] = path.stat().st_size
            if name == "sync":
                self.unsynced.clear()
            return operation(*arguments)

        return counted

    def replace(self, name, data):
        """Replace by counted steps."""
        Files.replace(self, name, data)

    def crash(self):
        """Lose half of what was not synced and die."""
        for path, size in self.unsynced.items():
            half = (size + path.stat().st_size) // 2
            with open(path, "r+b") as file:
                file.truncate(half)
        raise SimulatedCrashError


def entry(index, term=1):
    return Entry(term=term, index=index, kind=1, data=b"x" * index)


def opened(folder, files=None):
    storage = Storage(files=files or Files(folder=folder))
    return storage, storage.open(name="c1", new_disk_id="d1")


def write_batches(storage, log, acknowledged, *, first=1):
    """Write entries, a vote and a snapshot; note what was promised."""
    for index in range(first, first + 6):
        log.append(entry(index))
        storage.append(
            term=index, vote="c2", state_changed=True, entries=[entry(index)]
        )
        storage.append_commit(index - 1)
        storage.sync()
        acknowledged.append((index, index))
    point = SnapshotPoint(
        index=first + 3, term=1, configuration=Configuration(voters=(OWN,))
    )
    log.compact(point, keep_entries=2)
    storage.save_snapshot(
        log=log, term=first + 5, vote="c2", data=b"state" * 9
    )
    log.append(entry(first + 6))
    storage.append(
        term=first + 5,
        vote="",
        state_changed=False,
        entries=[entry(first + 6)],
    )
    storage.sync()
    acknowledged.append((first + 5, first + 6))


@pytest.fixture
def folder(tmp_path):
    storage, recovered = opened(tmp_path)
    write_batches(storage, recovered.log, [])
    return tmp_path


def log_file(folder):
    (path,) = folder.glob("log-*")
    return path


def flip(path, offset):
    data = bytearray(path.read_bytes())
    data[offset] ^= 0x10
    path.write_bytes(data)


@pytest.mark.parametrize("crash_at", range(CRASHES))
def test_a_crash_at_any_operation_keeps_what_was_promised(tmp_path, crash_at):
    acknowledged = [(0, 0)]
    files = CrashingFiles(folder=tmp_path, crash_at=crash_at)
    try:
        storage, recovered = opened(tmp_path, files)
        write_batches(storage, recovered.log, acknowledged)
        write_batches(storage, recovered.log, acknowledged, first=8)
    except SimulatedCrashError:
        pass
    _, recovered = opened(tmp_path)
    term, last_index = acknowledged[-1]
    assert recovered.term >= term
    assert recovered.log.last_index >= last_index
    assert recovered.commit_index >= last_index - 2
    assert recovered.log.last_index >= recovered.log.snapshot.index
    held = recovered.log.entries_from(recovered.log.base_index + 1)
    assert [e.index for e in held] == [
        recovered.log.base_index + 1 + place for place in range(len(held))
    ]
    assert all(e == entry(e.index) for e in held)
    if recovered.log.snapshot.index:
        assert recovered.snapshot_data == b"state" * 9


def test_the_crashes_reach_to_the_last_operation(tmp_path):
    files = CrashingFiles(folder=tmp_path, crash_at=CRASHES)
    storage, recovered = opened(tmp_path, files)
    write_batches(storage, recovered.log, [])
    write_batches(storage, recovered.log, [], first=8)
    assert files.left == 0


def test_a_torn_tail_is_cut(folder):
    with open(log_file(folder), "ab") as file:
        file.write(b"\x00\x00\x01\x00torn")
    _, recovered = opened(folder)
    assert recovered.cut_bytes == 8
    assert recovered.log.last_index == 7
    _, again = opened(folder)
    assert again.cut_bytes == 0


def test_a_flipped_bit_anywhere_in_the_log_refuses_to_start(folder):
    path = log_file(folder)
    for offset in range(path.stat().st_size):
        flip(path, offset)
        with pytest.raises(DamagedFileError) as caught:
            opened(folder)
        assert caught.value.file == path.name
        assert caught.value.offset <= offset
        flip(path, offset)
    opened(folder)


def test_damage_before_valid_records_is_found_without_the_mark(folder):
    (folder / "mark").write_bytes(pack_mark(0, 0))
    path = log_file(folder)
    flip(path, path.stat().st_size // 2)
    with pytest.raises(DamagedFileError):
        opened(folder)


@pytest.mark.parametrize("name", ["identity", "mark", "snapshot-4"])
def test_a_flipped_bit_in_another_file_refuses_to_start(folder, name):
    path = folder / name
    for offset in range(path.stat().st_size):
        flip(path, offset)
        with pytest.raises(DamagedFileError, match=f"{name}, byte"):
            opened(folder)
        flip(path, offset)


@pytest.mark.parametrize("name", ["identity", "mark", "snapshot-4", "log-2"])
def test_a_truncated_or_missing_file_refuses_to_start(folder, name):
    path = folder / name
    data = path.read_bytes()
    path.write_bytes(data[:-1])
    with pytest.raises(DamagedFileError, match="empty the data folder"):
        opened(folder)
    path.unlink()
    with pytest.raises(MissingFileError, match=name):
        opened(folder)


def test_a_file_is_synced_before_it_takes_its_name(tmp_path, monkeypatch):
    calls = []
    replace = os.replace
    monkeypatch.setattr(os, "fsync", lambda _: calls.append("sync"))
    monkeypatch.setattr(
        os, "replace", lambda *names: (calls.append("name"), replace(*names))
    )
    Files(folder=tmp_path).replace("file", b"data")
    assert calls == ["sync", "name", "sync"]


def test_another_hosts_folder_is_refused(folder):
    with pytest.raises(ForeignFolderError):
        Storage(files=Files(folder=folder)).open(name="c2", new_disk_id="d")
