"""Memory, bytes and time of the records of crashing requests.

    .venv/bin/python -m bench.crash_records

Prints, for tables of several sizes, with one crash a record: memory of a
record, bytes of a message with all records, and the time of a merge and of
a check.
"""

import os
import time
import tracemalloc

from verbenanotch.crashes import CrashRecord, CrashRecords, CrashTable
from verbenanotch.wire import encode

SIZES = (256, 1024, 4096)
CHECKS = 100_000
MICROSECONDS_PER_SECOND = 1_000_000


def make_records(count):
    """Return records with one crash each."""
    return tuple(
        CrashRecord(
            fingerprint=os.urandom(16),
            clearances=0,
            crash_ids=(os.urandom(8),),
            age_ms=1000,
        )
        for _ in range(count)
    )


def measure_memory(records):
    """Return the bytes of memory of a table with these records."""
    tracemalloc.start()
    table = CrashTable()
    table.merge(records, 0.0)
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    assert len(table) == len(records)
    return size


def measure_merge(records):
    """Return the microseconds of merging one record."""
    table = CrashTable()
    started = time.perf_counter()
    table.merge(records, 0.0)
    seconds = time.perf_counter() - started
    return seconds * MICROSECONDS_PER_SECOND / len(records)


def measure_check(records):
    """Return the microseconds of one check of an unknown fingerprint."""
    table = CrashTable()
    table.merge(records, 0.0)
    fingerprint = os.urandom(16)
    started = time.perf_counter()
    for _ in range(CHECKS):
        table.check(fingerprint, 0.0)
    seconds = time.perf_counter() - started
    return seconds * MICROSECONDS_PER_SECOND / CHECKS


def main():
    """Print the figures."""
    for size in SIZES:
        records = make_records(size)
        message_bytes = len(encode(CrashRecords(records=records)))
        print(
            f"{size} records, each: {measure_memory(records) / size:.0f} B "
            f"of memory, {message_bytes / size:.1f} B of a message, "
            f"{measure_merge(records):.1f} us to merge, "
            f"{measure_check(records):.2f} us to check"
        )


if __name__ == "__main__":
    main()
