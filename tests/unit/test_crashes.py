"""The table of crashes, its exchange between hosts and its storage."""

import errno
import types

import eventlet
import pytest

from verbenanotch.crashes import (
    Allowed,
    Blocked,
    CrashDigest,
    CrashExchange,
    CrashRecord,
    CrashRecords,
    CrashStorage,
    CrashTable,
    Exclusive,
    fingerprint,
)
from verbenanotch.crashes._blocking import HOUR_SECONDS, RETENTION_SECONDS
from verbenanotch.storage import Files

POISON = b"p" * 16
OTHER = b"o" * 16


def table_with_crashes(*ids, fingerprint=POISON, **options):
    table = CrashTable(**options)
    for crash_id in ids:
        table.add_crash(fingerprint, crash_id, 0.0)
    return table


def test_a_request_runs_freely_until_its_second_crash():
    assert table_with_crashes().check(POISON, 0.0) == Allowed()
    assert table_with_crashes(b"1").check(POISON, 0.0) == Allowed()


def test_a_second_crash_blocks_briefly_and_then_allows_one_run_at_a_time():
    table = table_with_crashes(b"1", b"2")
    assert table.check(POISON, 0.5) == Blocked(
        crash_count=2, retry_after_seconds=1.5
    )
    assert table.check(POISON, 2.0) == Exclusive(crash_count=2)


@pytest.mark.parametrize(
    ("count", "seconds"),
    [(3, 600), (4, HOUR_SECONDS), (5, RETENTION_SECONDS)],
)
def test_further_crashes_block_for_longer(count, seconds):
    table = table_with_crashes(*[b"%d" % number for number in range(count)])
    last_blocked_second = seconds - 1
    assert isinstance(table.check(POISON, last_blocked_second), Blocked)


def test_one_crash_counts_once_whoever_reports_it():
    table = table_with_crashes(b"1")
    assert table.add_crash(POISON, b"1", 1.0) is None
    assert table.crash_count(POISON) == 1


def test_an_answer_clears_the_crashes_in_every_table():
    table = table_with_crashes(b"1", b"2")
    other = table_with_crashes(b"1", b"2")
    cleared = table.clear(POISON, 1.0)
    assert other.merge((cleared,), 1.0)
    assert other.check(POISON, 1.0) == Allowed()
    assert other.clear(POISON, 2.0) is None


def test_a_crash_that_was_cleared_does_not_come_back():
    table = table_with_crashes(b"1")
    old = table.records(0.0)
    table.clear(POISON, 1.0)
    assert table.merge(old, 2.0) == ()
    assert table.crash_count(POISON) == 0


def test_merging_does_not_depend_on_order_or_repeats():
    sources = [
        table_with_crashes(b"1"),
        table_with_crashes(b"2", b"3"),
        table_with_crashes(b"3", fingerprint=OTHER),
    ]
    one, other = CrashTable(), CrashTable()
    for source in sources:
        one.merge(source.records(0.0), 0.0)
    for source in [*reversed(sources), *sources]:
        other.merge(source.records(0.0), 0.0)
    assert one.digest == other.digest
    assert one.crash_count(POISON) == 3
    assert other.merge(one.records(5.0), 5.0) == ()


def test_the_digest_follows_each_change():
    table = table_with_crashes(b"1")
    digests = [table.digest]
    table.add_crash(POISON, b"2", 0.0)
    digests.append(table.digest)
    table.clear(POISON, 0.0)
    digests.append(table.digest)
    assert len(set(digests)) == len(digests)
    table.merge((), RETENTION_SECONDS)
    assert table.digest == CrashTable().digest == 0


def test_the_age_of_a_crash_travels_with_it():
    table = table_with_crashes(b"1", b"2", b"3")
    other = CrashTable()
    other.merge(table.records(100.0), 1000.0)
    remaining = other.check(POISON, 1000.0).retry_after_seconds
    assert remaining == 500.0


def test_records_are_dropped_after_the_retention():
    table = table_with_crashes(b"1")
    records = table.records(0.0)
    assert table.records(RETENTION_SECONDS) == ()
    late = CrashTable()
    assert late.merge(records, 0.0)
    old = [
        CrashRecord(
            fingerprint=POISON,
            clearances=0,
            crash_ids=(b"1",),
            age_ms=int(RETENTION_SECONDS * 1000),
        )
    ]
    assert CrashTable().merge(old, 0.0) == ()


def test_a_full_table_keeps_blocked_requests():
    table = table_with_crashes(b"1", b"2", b"3", max_records=3)
    for number in range(50):
        table.add_crash(b"%016d" % number, b"x", 1.0)
    assert len(table) == 3
    assert isinstance(table.check(POISON, 2.0), Blocked)
    assert table.dropped_count == 48


def test_a_table_full_of_blocked_requests_drops_new_ones():
    table = table_with_crashes(b"1", b"2", b"3", max_records=1)
    assert table.add_crash(OTHER, b"1", 1.0) is None
    assert isinstance(table.check(POISON, 2.0), Blocked)


def test_a_fingerprint_has_all_that_repeats_share():
    def fingerprint_of(**fields):
        defaults = {
            "route_host": "",
            "method": "GET",
            "path": "/a",
            "body": b"",
        }
        return fingerprint(**{**defaults, **fields})

    fingerprints = {
        fingerprint_of(),
        fingerprint_of(route_host="h"),
        fingerprint_of(method="PUT"),
        fingerprint_of(path="/b"),
        fingerprint_of(body=b"x"),
    }
    assert fingerprint_of() == fingerprint_of()
    assert len(fingerprints) == 5


class FakeLink:
    """One end of a connection, which delivers to another exchange."""

    def __init__(self, name):
        """Deliver nothing until `peer` is set to (exchange, link)."""
        self.peer_name = name
        self.peer = None
        self.sent = []

    def send(self, message):
        """Record the message and deliver it."""
        self.sent.append(message)
        if self.peer is not None:
            exchange, link = self.peer
            exchange.receive(link, message)


def connect(one, other):
    """Connect two exchanges; return the link of the first one."""
    here, there = FakeLink("other"), FakeLink("one")
    here.peer, there.peer = (other, there), (one, here)
    one.connect(here)
    other.connect(there)
    settle()
    return here


def settle():
    for _ in range(10):
        eventlet.sleep(0)


def make_exchange(*crash_ids, **options):
    return CrashExchange(table=table_with_crashes(*crash_ids), **options)


def test_hosts_that_connect_exchange_what_they_have():
    one, other = make_exchange(b"1"), make_exchange(b"2")
    assert one.table.digest != other.table.digest
    connect(one, other)
    assert one.table.crash_count(POISON) == 2
    assert one.table.digest == other.table.digest


def test_equal_tables_are_not_sent():
    link = connect(make_exchange(b"1"), make_exchange(b"1"))
    assert [type(message) for message in link.sent] == [CrashDigest]


def test_new_records_pass_through_a_host_once():
    exchanges = [make_exchange() for _ in range(3)]
    connect(exchanges[0], exchanges[1])
    link = connect(exchanges[1], exchanges[2])
    for _ in range(2):
        record = table_with_crashes(b"1").records(0.0)
        exchanges[0].table.merge(record, 0.0)
        exchanges[0].publish(record)
        settle()
    assert exchanges[2].table.crash_count(POISON) == 1
    assert [type(m) for m in link.sent] == [CrashDigest, CrashRecords]


def test_a_link_that_does_not_read_delays_no_other():
    exchange = make_exchange()
    stuck = FakeLink("stuck")
    stuck.send = lambda message: eventlet.sleep(60)
    exchange.connect(stuck)
    other = make_exchange()
    connect(exchange, other)
    exchange.publish(table_with_crashes(b"1").records(0.0))
    settle()
    assert other.table.crash_count(POISON) == 1


class WallClock:
    """A time of day that the test sets, in seconds."""

    def __init__(self):
        """Start at a large value."""
        self.now = 1_000_000.0

    def __call__(self):
        """Return the time."""
        return self.now


@pytest.fixture
def disk(tmp_path, monkeypatch):
    monkeypatch.setattr("verbenanotch.crashes._storage.RETRY_SECONDS", 0.05)
    clock = WallClock()

    def open_storage(files=None):
        files = files or Files(directory=tmp_path)
        return CrashStorage(files=files, wall_clock=clock)

    return types.SimpleNamespace(
        open=open_storage, clock=clock, path=tmp_path / "crashes"
    )


def store(disk, *crash_ids, files=None):
    storage = disk.open(files)
    storage.load()
    table = table_with_crashes(*crash_ids)
    storage.append(table.records(0.0), all_records=lambda: table.records(0.0))
    storage.flush()
    return storage


def load(disk):
    table = CrashTable()
    table.merge(disk.open().load(), 0.0)
    return table


def test_crashes_survive_a_restart_of_the_host(disk):
    store(disk, b"1", b"2")
    store(disk, b"3")
    disk.clock.now += 100
    table = load(disk)
    assert table.crash_count(POISON) == 3
    assert table.check(POISON, 0.0).retry_after_seconds == 500.0


def test_a_clock_that_was_set_back_does_not_unblock(disk):
    store(disk, b"1", b"2", b"3")
    disk.clock.now -= 100_000
    assert load(disk).check(POISON, 0.0).retry_after_seconds == 600.0


def test_what_follows_a_torn_write_is_stored_again(disk):
    store(disk, b"1")
    with disk.path.open("ab") as file:
        file.write(b"\x00\x00\x00\x20torn")
    assert load(disk).crash_count(POISON) == 1
    store(disk, b"2")
    assert load(disk).crash_count(POISON) == 2


def test_a_grown_file_is_replaced_by_the_current_records(disk, monkeypatch):
    monkeypatch.setattr("verbenanotch.crashes._storage.MAX_FILE_BYTES", 200)
    for number in range(20):
        store(disk, b"%d" % number)
    assert disk.path.stat().st_size <= 200
    assert load(disk).crash_count(POISON) >= 1


def test_a_full_disk_delays_storage_and_loses_nothing(disk, tmp_path):
    class FullDisk(Files):
        is_full = True

        def append(self, name, data):
            if self.is_full:
                super().append(name, data[: len(data) // 2])
                raise OSError(errno.ENOSPC, "no space")
            super().append(name, data)

        def replace(self, name, data):
            if self.is_full:
                raise OSError(errno.ENOSPC, "no space")
            super().replace(name, data)

    files = FullDisk(directory=tmp_path)
    storage = disk.open(files)
    storage.load()
    table = table_with_crashes(b"1")
    storage.append(table.records(0.0), all_records=lambda: table.records(0.0))
    eventlet.sleep(0.1)
    assert disk.path.stat().st_size > 0
    files.is_full = False
    eventlet.sleep(0.1)
    storage.append(
        table_with_crashes(b"1", fingerprint=OTHER).records(0.0),
        all_records=lambda: table.records(0.0),
    )
    storage.flush()
    assert load(disk).crash_count(POISON) == 1


def test_a_host_stops_although_its_disk_fails(disk, tmp_path, monkeypatch):
    class BrokenDisk(Files):
        def append(self, name, data):
            raise OSError(errno.EIO, "broken")

        replace = append

    monkeypatch.setattr(
        "verbenanotch.crashes._storage.FLUSH_TIMEOUT_SECONDS", 0.05
    )
    storage = disk.open(BrokenDisk(directory=tmp_path))
    table = table_with_crashes(b"1")
    storage.append(table.records(0.0), all_records=lambda: table.records(0.0))
    storage.flush()
