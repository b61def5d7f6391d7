"""Read the ledgers in which stand-in targets record their runs."""

import collections
import json
import pathlib

import attrs


@attrs.frozen(kw_only=True)
class LedgerEntry:
    """One phase of one run: `started`, `finished` or `cancelled`.

    `time` is in seconds since the Unix epoch.
    """

    phase: str
    target: str
    time: float
    request_id: str
    key: str
    method: str
    path: str
    body_sha256: str


def read_ledgers(folder):
    """Return the entries of every ledger in a directory, sorted by time."""
    entries = []
    for path in sorted(pathlib.Path(folder).glob("*.ledger.jsonl")):
        for line in path.read_text(encoding="utf-8").splitlines():
            entries.append(LedgerEntry(**json.loads(line)))
    return sorted(entries, key=lambda entry: entry.time)


def runs_by_request_id(entries):
    """Return the number of started runs by request id."""
    return collections.Counter(
        entry.request_id for entry in entries if entry.phase == "started"
    )


def runs_by_key(entries):
    """Return the number of started runs by idempotency key."""
    return collections.Counter(
        entry.key for entry in entries if entry.phase == "started"
    )
