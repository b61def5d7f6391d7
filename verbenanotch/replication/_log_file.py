"""The records of a log file, and their replay when a replica starts."""

from verbenanotch.replication._entries import Entry
from verbenanotch.replication.exceptions import DamagedFileError
from verbenanotch.storage import pack_record, scan_records

HEADER_RECORD = 0
VOTE_RECORD = 1
ENTRY_RECORD = 2
COMMIT_RECORD = 3
BATCH_RECORD = 4
REJOIN_REMEDY = (
    "Stop this host, check its disk, empty the data folder and start it "
    "again: it rejoins and copies the state from the leader"
)


def header_record(log):
    """Return the first record of a file: base and snapshot of the log."""
    return pack_record(
        [HEADER_RECORD, log.base_index, log.base_term, log.snapshot.index]
    )


def vote_record(term, vote):
    """Return the record of a term and a vote."""
    return pack_record([VOTE_RECORD, term, vote])


def commit_record(index):
    """Return the record of a commit index."""
    return pack_record([COMMIT_RECORD, index])


def entry_record(entry):
    """Return the record of an entry."""
    return pack_record(
        [ENTRY_RECORD, entry.term, entry.index, entry.kind, entry.data]
    )


def pack_batch(records):
    """Return the bytes of records that are synced together.

    They have one checksum, so that a torn batch is one corrupt record at the
    end of the file: what follows a record was written after its sync.
    """
    if len(records) < 2:
        return b"".join(records)
    return pack_record([BATCH_RECORD, b"".join(records)])


def replay(scan, log, log_name):
    """Fill the log from a file's records; return term, vote, commit index.

    Raises DamagedFileError if an entry does not follow the entry before it,
    or if a committed entry is missing or replaced.
    """
    term, vote, commit_index = 0, "", log.snapshot.index
    for offset, record in _unpack_batches(scan):
        match record:
            case [int(kind), int(new_term), str(new_vote)] if (
                kind == VOTE_RECORD
            ):
                term, vote = new_term, new_vote
            case [int(kind), int(index)] if kind == COMMIT_RECORD:
                commit_index = max(commit_index, index)
            case [int(kind), *_] if kind == ENTRY_RECORD:
                _replay_entry(record, log, commit_index, log_name, offset)
    if log.last_index < commit_index:
        raise DamagedFileError(
            file=log_name,
            offset=scan.valid_bytes,
            text=f"the log ends before committed entry {commit_index}",
            remedy=REJOIN_REMEDY,
        )
    return term, vote, commit_index


def _unpack_batches(scan):
    for offset, record in zip(scan.offsets, scan.values, strict=True):
        match record:
            case [int(kind), bytes(records)] if kind == BATCH_RECORD:
                for value in scan_records(records).values:
                    yield offset, value
            case _:
                yield offset, record


def _replay_entry(record, log, commit_index, log_name, offset):
    _, term, index, kind, data = record
    follows = log.base_index < index <= log.last_index + 1
    if not follows or (
        index <= commit_index and log.term_at(index) not in (None, term)
    ):
        raise DamagedFileError(
            file=log_name,
            offset=offset,
            text=f"entry {index} does not follow the entry before it",
            remedy=REJOIN_REMEDY,
        )
    entry = Entry(term=term, index=index, kind=kind, data=data)
    log.merge((entry,), commit_index=commit_index)
