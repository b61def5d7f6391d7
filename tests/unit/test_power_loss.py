"""A data folder after losses of power."""

import pytest

from tests.support.power_loss import PowerLossFiles
from verbenanotch.replication import DamagedFileError
from verbenanotch.replication._entries import Entry
from verbenanotch.replication._storage import Storage

BATCHES = (1, 3, 2)


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
