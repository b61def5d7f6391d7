"""Storage of a replica in its data folder.

Files: `identity` (host, disk and cluster), `log-N` (term, vote, commit index
and entries; appended to, and replaced by `log-N+1` after a snapshot; N is
the sequence of the log file and starts from 1),
`snapshot-I` (the state up to entry I), `mark` (how many bytes of which log
were synced).

The mark has two slots. The second one is written and synced with each new
log file and at each start. The first one is overwritten after each sync of
the log and not synced itself: a loss of power may tear it, and then the
second one counts. So the mark may name fewer bytes than were synced, but
never more.
"""

import contextlib
import time

import attrs

from verbenanotch.replication._entries import (
    Configuration,
    Member,
    configuration_from_plain,
    configuration_to_plain,
)
from verbenanotch.replication._log import Log, SnapshotMetadata
from verbenanotch.replication._log_file import (
    REJOIN_REMEDY,
    commit_record,
    entry_record,
    header_record,
    pack_batch,
    replay,
    vote_record,
)
from verbenanotch.replication.exceptions import (
    DamagedFileError,
    DiskFailedError,
    ForeignDirectoryError,
    MissingFileError,
)
from verbenanotch.storage import (
    TEMPORARY_SUFFIX,
    pack_record,
    scan_records,
)
from verbenanotch.telemetry import metrics

IDENTITY = "identity"
MARK = "mark"
LOG_PREFIX = "log-"
SNAPSHOT_PREFIX = "snapshot-"


@attrs.frozen(kw_only=True)
class Identity:
    """The host and id of a disk, and the cluster it belongs to, if any.

    With the voters of `creates_with`, names of hosts, the disk may create a
    cluster as long as it belongs to none.
    """

    name: str
    disk_id: str
    cluster_id: str = ""
    first_voters: tuple[Member, ...] = ()
    creates_with: tuple[str, ...] = ()


@attrs.frozen(kw_only=True)
class Recovered:
    """The state read from the data folder.

    `commit_index` is the last one that was stored; no entry after it had
    been applied. `cut_bytes` is the size of a torn record that was removed,
    0 if there was none.
    """

    identity: Identity
    term: int
    vote: str
    commit_index: int
    log: Log
    snapshot_data: bytes | None
    cut_bytes: int = 0


class Storage:
    """Write the durable state of a replica and detect damage on reading.

    Writing raises DiskFailedError if the disk or file system fails.
    """

    def __init__(self, *, files, monotonic=time.monotonic):
        """Use the data folder through `files`."""
        self._files = files
        self._monotonic = monotonic
        self._log_sequence = 0
        self._log_bytes = 0
        self._commit_index = 0
        self._pending_records = []
        self._is_torn = False
        self.last_sync_ms = 0.0

    def open(self, *, name, new_disk_id, creates_with=()):
        """Return the Recovered state; initialize the folder if it is empty.

        `new_disk_id` is the disk's id if the folder is empty, and
        `creates_with` the voters with which it may create a cluster. Raises
        MissingFileError, DamagedFileError or ForeignDirectoryError.
        """
        # A process that was killed may have left names that are not durable.
        self._files.sync_directory()
        self._remove_temporaries()
        identity = self._read_identity(name)
        if identity is None:
            return self._initialize(
                Identity(
                    name=name,
                    disk_id=new_disk_id,
                    creates_with=tuple(creates_with),
                )
            )
        return self._recover(identity)

    def _remove_temporaries(self):
        for name in self._names_if_listed():
            if name.endswith(TEMPORARY_SUFFIX):
                self._try_to_remove(name)

    def _names_if_listed(self):
        """Return the names of all files, or none if the disk refuses.

        For removals only, which are tried again later.
        """
        try:
            return self._files.names()
        except OSError:
            metrics.increment("replication.removals_failed")
            return []

    def _try_to_remove(self, name):
        """Remove a file that is not used; one that stays does no harm.

        It is removed after the next snapshot or at the next start.
        """
        try:
            self._files.remove(name)
        except OSError:
            metrics.increment("replication.removals_failed")

    def _read_identity(self, name):
        data = self._files.read(IDENTITY)
        if data is None:
            return None
        values = self._read_single_record(IDENTITY, data)
        identity = Identity(
            name=values[0],
            disk_id=values[1],
            cluster_id=values[2],
            first_voters=configuration_from_plain(values[3]).voters,
            # A file of an earlier release ends before it.
            creates_with=tuple(values[4]) if len(values) > 4 else (),
        )
        if identity.name != name:
            raise ForeignDirectoryError(
                file=IDENTITY,
                offset=0,
                text=f"the folder belongs to host {identity.name!r}",
                remedy=f"Give host {name!r} its own data folder",
            )
        return identity

    def _read_single_record(self, name, data):
        scan = scan_records(data)
        if len(scan.values) != 1 or scan.valid_bytes != len(data):
            raise DamagedFileError(
                file=name,
                offset=0 if not scan.values else scan.valid_bytes,
                text="the checksum or the length is wrong",
                remedy=REJOIN_REMEDY,
            )
        return scan.values[0]

    def _initialize(self, identity):
        """Initialize an empty folder.

        The identity is written last, so that an incomplete initialization
        is recognized and repeated.
        """
        names = self._files.names()
        if any(self._has_content(name) for name in names):
            raise MissingFileError(
                file=IDENTITY,
                offset=0,
                text="the file is missing while other files exist",
                remedy=REJOIN_REMEDY,
            )
        for name in names:
            self._files.remove(name)
        metadata = SnapshotMetadata(
            index=0, term=0, configuration=Configuration()
        )
        log = Log(snapshot=metadata, base_index=0, base_term=0)
        self._start_log(log, term=0, vote="")
        self.save_identity(identity)
        return Recovered(
            identity=identity,
            term=0,
            vote="",
            commit_index=0,
            log=log,
            snapshot_data=None,
        )

    def _has_content(self, name):
        """Return whether a file has more than an initialization writes.

        That is two records in a log file: the header, and term and vote.
        """
        if name.startswith(SNAPSHOT_PREFIX):
            return True
        if not name.startswith(LOG_PREFIX):
            return False
        records = scan_records(self._files.read(name)).values
        return len(records) > 2

    def _recover(self, identity):
        marked_sequence, marked_bytes = self._read_mark()
        sequence = self._newest_sequence(marked_sequence)
        log_name = f"{LOG_PREFIX}{sequence}"
        # What the replica recovers it promises to others from now on.
        self._files.sync(log_name)
        data = self._files.read(log_name)
        synced_bytes = marked_bytes if marked_sequence == sequence else 0
        scan = self._scan_log(log_name, data, synced_bytes)
        cut_bytes = len(data) - scan.valid_bytes
        if cut_bytes:
            self._files.truncate(log_name, scan.valid_bytes)
        self._log_sequence = sequence
        self._log_bytes = scan.valid_bytes
        header = scan.values[0]
        metadata, snapshot_data = self._read_snapshot(
            header, log_name, identity
        )
        log = Log(snapshot=metadata, base_index=header[1], base_term=header[2])
        term, vote, commit_index = replay(scan, log, log_name)
        self._commit_index = commit_index
        self._renew_mark()
        self._remove_stale_files(
            keep=(log_name, _snapshot_name(metadata.index))
        )
        return Recovered(
            identity=identity,
            term=term,
            vote=vote,
            commit_index=commit_index,
            log=log,
            snapshot_data=snapshot_data,
            cut_bytes=cut_bytes,
        )

    def _read_mark(self):
        """Return the sequence and the synced bytes of a log file.

        A file with one slot is from before there were two.
        """
        data = self._files.read(MARK)
        if data is None:
            raise _missing(MARK)
        has_two_slots = len(data) == 2 * MARK_SLOT_BYTES
        synced_slot = data[MARK_SLOT_BYTES:] if has_two_slots else data
        mark = _unpack_mark(self._read_single_record(MARK, synced_slot))
        if has_two_slots:
            scan = scan_records(data[:MARK_SLOT_BYTES])
            mark = max([mark, *map(_unpack_mark, scan.values)])
        return mark

    def _newest_sequence(self, marked_sequence):
        sequences = [
            int(name.removeprefix(LOG_PREFIX))
            for name in self._files.names()
            if name.startswith(LOG_PREFIX)
        ]
        newest = max(sequences, default=0)
        if newest < marked_sequence or not newest:
            raise _missing(f"{LOG_PREFIX}{max(marked_sequence, 1)}")
        return newest

    def _scan_log(self, name, data, synced_bytes):
        """Return the valid records.

        Raises DamagedFileError if more is damaged than a last record that
        was not synced yet.
        """
        scan = scan_records(data)
        is_damaged = scan.valid_bytes < len(data)
        if (
            scan.valid_bytes < synced_bytes
            or len(scan.values) < 2
            or (is_damaged and scan.valid_record_follows)
        ):
            raise DamagedFileError(
                file=name,
                offset=scan.valid_bytes,
                text="a record that was synced is damaged or cut off",
                remedy=REJOIN_REMEDY,
            )
        return scan

    def _read_snapshot(self, header, log_name, identity):
        _, _, _, snapshot_index = header
        if snapshot_index == 0:
            voters = Configuration(voters=identity.first_voters)
            metadata = SnapshotMetadata(index=0, term=0, configuration=voters)
            return metadata, None
        name = _snapshot_name(snapshot_index)
        data = self._files.read(name)
        if data is None:
            raise MissingFileError(
                file=name,
                offset=0,
                text=f"the snapshot that {log_name} continues is missing",
                remedy=REJOIN_REMEDY,
            )
        index, term, voters, content = self._read_single_record(name, data)
        configuration = configuration_from_plain(voters)
        metadata = SnapshotMetadata(
            index=index, term=term, configuration=configuration
        )
        return metadata, content

    def _remove_stale_files(self, keep):
        for name in self._names_if_listed():
            is_log_or_snapshot = name.startswith((LOG_PREFIX, SNAPSHOT_PREFIX))
            if is_log_or_snapshot and name not in keep:
                self._try_to_remove(name)

    def save_identity(self, identity):
        """Replace the identity file and sync it."""
        voters = Configuration(voters=identity.first_voters)
        values = [
            identity.name,
            identity.disk_id,
            identity.cluster_id,
            configuration_to_plain(voters),
            identity.creates_with,
        ]
        self._run_disk_operation(
            IDENTITY,
            lambda: self._files.replace(IDENTITY, pack_record(values)),
        )

    def append(self, *, term, vote, term_or_vote_changed, entries):
        """Queue entries, and a changed term or vote, for the next sync."""
        if term_or_vote_changed:
            self._pending_records.append(vote_record(term, vote))
        self._pending_records.extend(entry_record(entry) for entry in entries)

    def append_commit(self, index):
        """Queue the commit index for the next sync."""
        self._commit_index = index
        self._pending_records.append(commit_record(index))

    def sync(self):
        """Write all queued records and sync them together.

        After a failure they stay queued, and the next call writes them again.
        """
        data = pack_batch(self._pending_records)
        name = f"{LOG_PREFIX}{self._log_sequence}"
        self._run_disk_operation(name, lambda: self._write_log(name, data))
        self._pending_records.clear()

    def save_snapshot(self, *, log, term, vote, data):
        """Write the snapshot at `log.snapshot` and start a new log file.

        The new log file holds the term, the vote and all entries of `log`.
        """
        metadata = log.snapshot
        name = _snapshot_name(metadata.index)
        record = pack_record(
            [
                metadata.index,
                metadata.term,
                configuration_to_plain(metadata.configuration),
                data,
            ]
        )
        self._run_disk_operation(
            name, lambda: self._files.replace(name, record)
        )
        self._pending_records.clear()
        self._run_disk_operation(
            LOG_PREFIX, lambda: self._start_log(log, term=term, vote=vote)
        )
        log_name = f"{LOG_PREFIX}{self._log_sequence}"
        self._remove_stale_files(keep=(log_name, name))

    def _start_log(self, log, *, term, vote):
        sequence = self._log_sequence + 1
        records = [header_record(log), vote_record(term, vote)]
        if self._commit_index > log.snapshot.index:
            records.append(commit_record(self._commit_index))
        entries = log.entries_from(log.base_index + 1)
        records.extend(entry_record(entry) for entry in entries)
        data = b"".join(records)
        self._files.replace(f"{LOG_PREFIX}{sequence}", data)
        self._log_sequence = sequence
        self._log_bytes = len(data)
        self._is_torn = False
        self._files.replace(MARK, self._mark_slot() * 2)

    def _write_log(self, name, data):
        began = self._monotonic()
        if self._is_torn:
            self._files.truncate(name, self._log_bytes)
        self._is_torn = True
        self._files.append(name, data)
        self._files.sync(name)
        self._is_torn = False
        self.last_sync_ms = (self._monotonic() - began) * 1000
        self._log_bytes += len(data)
        # The mark may name fewer bytes than were synced.
        with contextlib.suppress(OSError):
            self._write_mark()

    def _renew_mark(self):
        """Write both slots; a disk that refuses it keeps a valid mark."""
        try:
            self._files.replace(MARK, self._mark_slot() * 2)
        except OSError:
            self._remove_temporaries()

    def _write_mark(self):
        self._files.overwrite(MARK, self._mark_slot())

    def _mark_slot(self):
        return _pack_mark(self._log_sequence, self._log_bytes)

    def _run_disk_operation(self, name, operation):
        try:
            operation()
        except OSError as error:
            self._remove_temporaries()
            raise DiskFailedError(
                file=name,
                offset=self._log_bytes,
                text=f"writing failed: {error.strerror}",
                remedy="Check the disk and its free space",
            ) from error


def _missing(name):
    return MissingFileError(
        file=name, offset=0, text="the file is missing", remedy=REJOIN_REMEDY
    )


def _snapshot_name(index):
    return f"{SNAPSHOT_PREFIX}{index}"


def _pack_mark(sequence, size):
    # Integers of fixed width keep a slot at the same length, since it is
    # overwritten in place.
    return pack_record([sequence.to_bytes(8, "big"), size.to_bytes(8, "big")])


def _unpack_mark(values):
    sequence, size = values
    return int.from_bytes(sequence, "big"), int.from_bytes(size, "big")


MARK_SLOT_BYTES = len(_pack_mark(0, 0))
