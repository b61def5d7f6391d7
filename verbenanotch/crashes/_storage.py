"""Crash records on the disk of a control host."""

import time

import attrs
import eventlet

from verbenanotch import loop
from verbenanotch.crashes import events
from verbenanotch.crashes._records import CrashRecord
from verbenanotch.storage import Files, pack_record, scan_records
from verbenanotch.telemetry import emit, metrics
from verbenanotch.wire import MalformedFrameError, from_plain, to_plain

FILE_NAME = "crashes"
MAX_FILE_BYTES = 1024 * 1024
# The records that arrive within this time are written and synced together.
WRITE_DELAY_SECONDS = 0.02
# A disk that failed is tried again after this time.
RETRY_SECONDS = 1.0
# How long a stopping host waits for the disk.
FLUSH_TIMEOUT_SECONDS = 1.0
MILLISECONDS_PER_SECOND = 1000


class CrashStorage:
    """Append records to a file; read them after a restart.

    Each is stored with the time of day of its last change, since no other
    clock outlives the process. The file is replaced by the current records
    when it has grown to `MAX_FILE_BYTES`, or after a write that failed and may
    have left a part of a record.
    """

    def __init__(self, *, files, wall_clock=time.time):
        """Use a file in the directory of `files`, a Files."""
        self._files = files
        self._wall_clock = wall_clock
        self._pending = []
        self._writer = None
        self._must_replace = False
        self._file_bytes = 0

    @classmethod
    def in_folder(cls, folder):
        """Return the storage in a data folder."""
        return cls(files=Files(directory=folder))

    def load(self):
        """Return the stored records, with their age now."""
        data = self._read()
        scan = scan_records(data)
        if scan.valid_bytes < len(data):
            emit(
                events.STORAGE_DAMAGED, file=FILE_NAME, offset=scan.valid_bytes
            )
            # Records that are appended behind the damage would be lost.
            self._replace_with(data[: scan.valid_bytes])
        self._file_bytes = scan.valid_bytes
        records = [
            record
            for record in map(self._record_from, scan.values)
            if record is not None
        ]
        emit(events.STORAGE_LOADED, records=len(records))
        return records

    def append(self, records, *, all_records):
        """Store records soon, in the background.

        `all_records()` returns those to keep when the file is replaced.
        """
        now_ms = self._wall_clock_ms()
        self._pending += [_pack(record, now_ms) for record in records]
        if self._writer is None:
            self._writer = loop.spawn_lasting(self._write, all_records)

    def flush(self):
        """Wait until all records that were appended are stored.

        Gives up after `FLUSH_TIMEOUT_SECONDS`.
        """
        if self._writer is not None:
            with eventlet.Timeout(FLUSH_TIMEOUT_SECONDS, False):
                self._writer.wait()

    def _read(self):
        try:
            return self._files.read(FILE_NAME) or b""
        except OSError as error:
            emit(events.STORAGE_FAILED, error=str(error))
            return b""

    def _write(self, all_records):
        eventlet.sleep(WRITE_DELAY_SECONDS)
        while self._pending or self._must_replace:
            try:
                self._write_pending(all_records)
            except Exception as error:
                self._must_replace = True
                metrics.increment("crashes.writes_failed")
                if not isinstance(error, OSError):
                    raise
                emit(events.STORAGE_FAILED, error=str(error))
                eventlet.sleep(RETRY_SECONDS)
        self._writer = None

    def _write_pending(self, all_records):
        data = b"".join(self._pending)
        # If the write fails, all current records are written instead.
        self._pending.clear()
        is_full = self._file_bytes + len(data) > MAX_FILE_BYTES
        if is_full or self._must_replace:
            now_ms = self._wall_clock_ms()
            data = b"".join(_pack(record, now_ms) for record in all_records())
            self._files.replace(FILE_NAME, data)
            self._file_bytes = 0
            self._must_replace = False
        else:
            self._files.append(FILE_NAME, data)
            self._files.sync(FILE_NAME)
        self._file_bytes += len(data)

    def _replace_with(self, data):
        try:
            self._files.replace(FILE_NAME, data)
        except OSError as error:
            emit(events.STORAGE_FAILED, error=str(error))

    def _record_from(self, value):
        """Return a stored record with its age, or None if it is unreadable."""
        try:
            changed_at_ms, fields = value
            # The time of day may have been set back since.
            age_ms = max(0, self._wall_clock_ms() - changed_at_ms)
            return attrs.evolve(from_plain(fields, CrashRecord), age_ms=age_ms)
        except (TypeError, ValueError, MalformedFrameError) as error:
            emit(events.STORAGE_DAMAGED, file=FILE_NAME, error=str(error))
            return None

    def _wall_clock_ms(self):
        return int(self._wall_clock() * MILLISECONDS_PER_SECOND)


def _pack(record, now_ms):
    return pack_record([now_ms - record.age_ms, to_plain(record)])
