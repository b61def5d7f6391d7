"""Measure how long a sync of the log blocks the event loop.

Usage: python -m bench.replication_fsync [FOLDER]; FOLDER should be on
the disk to be measured. Prints a row per batch size: entries, bytes per
entry, sync duration as p50, p99 and maximum in milliseconds.
"""

import shutil
import sys
import tempfile

from hdrh.histogram import HdrHistogram

from verbenanotch.replication._entries import Entry, EntryKind
from verbenanotch.replication._storage import Storage
from verbenanotch.storage import Files

ROUNDS = 300
# Entries and bytes per entry of each batch.
BATCHES = ((1, 1_000), (1, 10_000), (10, 10_000), (100, 10_000))
MAX_MICROSECONDS = 60_000_000


def main():
    """Print one row per batch size."""
    parent = sys.argv[1] if len(sys.argv) > 1 else None
    for count, size in BATCHES:
        directory = tempfile.mkdtemp(dir=parent)
        try:
            measure(directory, count, size)
        finally:
            shutil.rmtree(directory)


def measure(directory, count, size):
    """Measure syncs of batches of `count` entries of `size` bytes."""
    storage = Storage(files=Files(directory=directory))
    storage.open(name="bench", new_disk_id="bench")
    histogram = HdrHistogram(1, MAX_MICROSECONDS, 3)
    index = 0
    for _ in range(ROUNDS):
        entries = []
        for _ in range(count):
            index += 1
            entries.append(
                Entry(
                    term=1,
                    index=index,
                    kind=EntryKind.COMMAND,
                    data=b"x" * size,
                )
            )
        storage.append(
            term=1, vote="", term_or_vote_changed=False, entries=entries
        )
        storage.sync()
        histogram.record_value(int(storage.last_sync_ms * 1000))
    print(
        f"entries {count:4}  bytes {size:6}  "
        f"p50 {histogram.get_value_at_percentile(50) / 1000:7.2f} ms  "
        f"p99 {histogram.get_value_at_percentile(99) / 1000:7.2f} ms  "
        f"max {histogram.get_max_value() / 1000:7.2f} ms"
    )


if __name__ == "__main__":
    main()
