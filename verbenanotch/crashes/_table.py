"""The table of crashes that every host keeps."""

import attrs
import xxhash

from verbenanotch.crashes._blocking import (
    ALLOWED,
    RETENTION_SECONDS,
    Blocked,
    decide,
)
from verbenanotch.crashes._records import CrashRecord

MAX_RECORDS = 4096
# Bounds a record. It is above the number of crashes that blocks a request for
# as long as it is remembered.
MAX_CRASH_IDS = 16
MILLISECONDS_PER_SECOND = 1000


@attrs.define(kw_only=True)
class _Entry:
    """The state of one fingerprint; `changed_at` is in monotonic seconds."""

    clearances: int
    crash_ids: frozenset
    changed_at: float


class CrashTable:
    """Crashes by request fingerprint, in bounded memory.

    Tables are merged by their records, see CrashRecord. Times are in
    monotonic seconds. A full table drops the record with the fewest crashes,
    the oldest of them, but none that blocks a request; `dropped_count` counts
    dropped records, also new ones without space.
    """

    def __init__(self, *, max_records=MAX_RECORDS):
        """Start empty."""
        self._max_records = max_records
        self._entries_by_fingerprint = {}
        self._digest = 0
        self.dropped_count = 0

    def __len__(self):
        """Return the number of fingerprints in the table."""
        return len(self._entries_by_fingerprint)

    @property
    def digest(self):
        """Return a number that is equal for tables with equal records."""
        return self._digest

    def crash_count(self, fingerprint):
        """Return the number of crashes counted against a fingerprint."""
        entry = self._entries_by_fingerprint.get(fingerprint)
        return 0 if entry is None else len(entry.crash_ids)

    def check(self, fingerprint, now):
        """Return Allowed, Exclusive or Blocked for a fingerprint."""
        entry = self._entries_by_fingerprint.get(fingerprint)
        if entry is None:
            return ALLOWED
        return decide(
            crash_count=len(entry.crash_ids),
            seconds_since_last=now - entry.changed_at,
        )

    def add_crash(self, fingerprint, crash_id, now):
        """Count a crash once; return the record to send, None if known."""
        entry = self._entries_by_fingerprint.get(fingerprint)
        record = CrashRecord(
            fingerprint=fingerprint,
            clearances=0 if entry is None else entry.clearances,
            crash_ids=(crash_id,),
            age_ms=0,
        )
        return record if self.merge((record,), now) else None

    def clear(self, fingerprint, now):
        """Clear the crashes of a request that was answered.

        Returns the record to send, or None if there were no crashes.
        """
        entry = self._entries_by_fingerprint.get(fingerprint)
        if entry is None or not entry.crash_ids:
            return None
        record = CrashRecord(
            fingerprint=fingerprint,
            clearances=entry.clearances + 1,
            crash_ids=(),
            age_ms=0,
        )
        self.merge((record,), now)
        return record

    def merge(self, records, now):
        """Add what is new in the records; return those that were."""
        self._expire(now)
        return tuple(
            record for record in records if self._merge_one(record, now)
        )

    def records(self, now):
        """Return all records."""
        self._expire(now)
        return tuple(
            _make_record(fingerprint, entry, now)
            for fingerprint, entry in self._entries_by_fingerprint.items()
        )

    def records_beyond(self, records, now):
        """Return the records that have more than the given ones."""
        return tuple(
            _make_record(record.fingerprint, entry, now)
            for record in records
            if (entry := self._entries_by_fingerprint.get(record.fingerprint))
            and _has_more(entry, record)
        )

    def records_of(self, fingerprint, now):
        """Return the record of a fingerprint, as a tuple; empty if none."""
        entry = self._entries_by_fingerprint.get(fingerprint)
        if entry is None:
            return ()
        return (_make_record(fingerprint, entry, now),)

    def _merge_one(self, record, now):
        """Merge a record; return whether it changed the table."""
        changed_at = now - record.age_ms / MILLISECONDS_PER_SECOND
        if now - changed_at >= RETENTION_SECONDS:
            return False
        entry = self._entries_by_fingerprint.get(record.fingerprint)
        if entry is None:
            if not self._make_space(now):
                return False
            entry = _Entry(
                clearances=-1, crash_ids=frozenset(), changed_at=changed_at
            )
            self._entries_by_fingerprint[record.fingerprint] = entry
        if record.clearances < entry.clearances:
            return False
        crash_ids = frozenset(record.crash_ids)
        if record.clearances == entry.clearances:
            crash_ids |= entry.crash_ids
            is_full = len(entry.crash_ids) >= MAX_CRASH_IDS
            if is_full or crash_ids == entry.crash_ids:
                return False
        self._digest ^= _digest_of(record.fingerprint, entry)
        entry.clearances = record.clearances
        entry.crash_ids = crash_ids
        entry.changed_at = max(entry.changed_at, changed_at)
        self._digest ^= _digest_of(record.fingerprint, entry)
        return True

    def _drop(self, fingerprint):
        entry = self._entries_by_fingerprint.pop(fingerprint)
        self._digest ^= _digest_of(fingerprint, entry)

    def _expire(self, now):
        """Drop the records that are older than the retention."""
        for fingerprint, entry in list(self._entries_by_fingerprint.items()):
            if now - entry.changed_at >= RETENTION_SECONDS:
                self._drop(fingerprint)

    def _make_space(self, now):
        """Drop a record if the table is full; return whether there is space.

        No record that blocks its request is dropped.
        """
        entries = self._entries_by_fingerprint
        if len(entries) < self._max_records:
            return True
        self.dropped_count += 1
        least = min(
            entries,
            key=lambda key: (
                len(entries[key].crash_ids),
                entries[key].changed_at,
            ),
        )
        if isinstance(self.check(least, now), Blocked):
            return False
        self._drop(least)
        return True


def _digest_of(fingerprint, entry):
    """Return the entry's part of the table's digest, 0 for a new entry."""
    if entry.clearances < 0:
        return 0
    parts = [fingerprint, entry.clearances.to_bytes(8, "big")]
    return xxhash.xxh3_64_intdigest(b"".join(parts + sorted(entry.crash_ids)))


def _has_more(entry, record):
    """Return whether a merge of the entry would change the record."""
    if entry.clearances != record.clearances:
        return entry.clearances > record.clearances
    return not entry.crash_ids <= frozenset(record.crash_ids)


def _make_record(fingerprint, entry, now):
    age_seconds = now - entry.changed_at
    return CrashRecord(
        fingerprint=fingerprint,
        clearances=entry.clearances,
        crash_ids=tuple(sorted(entry.crash_ids)),
        age_ms=int(age_seconds * MILLISECONDS_PER_SECOND),
    )
