"""The log in memory: its entries and the configurations in them."""

import attrs

from verbenanotch.replication._entries import (
    Configuration,
    EntryKind,
    decode_configuration,
)
from verbenanotch.replication.exceptions import LogConflictError


@attrs.frozen(kw_only=True)
class SnapshotMetadata:
    """The last entry that a snapshot covers, and the configuration there."""

    index: int
    term: int
    configuration: Configuration


class Log:
    """The entries after `base_index`, up to `last_index`.

    The base is the last entry that was discarded; its index and term are 0
    if no entry was discarded. A snapshot covers all entries up to
    `snapshot.index`, which is at least `base_index`: some entries that it
    covers are kept for replicas that are slightly behind.
    """

    def __init__(self, *, snapshot, base_index, base_term, entries=()):
        """Create from the stored snapshot metadata, base and entries."""
        self.snapshot = snapshot
        self.base_index = base_index
        self.base_term = base_term
        self._entries = list(entries)
        self._index_configurations()

    @property
    def last_index(self):
        """Return the index of the last entry."""
        return self.base_index + len(self._entries)

    @property
    def last_term(self):
        """Return the term of the last entry."""
        return self.term_at(self.last_index)

    @property
    def configuration(self):
        """Return the newest configuration, committed or not."""
        return self._configurations[-1][1]

    @property
    def configuration_index(self):
        """Return the index of the newest configuration."""
        return self._configurations[-1][0]

    def set_first_voters(self, configuration):
        """Set the voters of a new cluster in a log without a snapshot."""
        self.snapshot = attrs.evolve(
            self.snapshot, configuration=configuration
        )
        self._index_configurations()

    def term_at(self, index):
        """Return the term of an entry, or None if it is not in the log."""
        if index == self.base_index:
            return self.base_term
        if self.base_index < index <= self.last_index:
            return self._entries[index - self.base_index - 1].term
        return None

    def entry_at(self, index):
        """Return an entry, which must be after the base."""
        return self._entries[index - self.base_index - 1]

    def entries_from(self, index, *, max_bytes=None):
        """Return the entries from `index` on.

        They have at most `max_bytes` of data in total, but the first entry
        is returned even if it is larger.
        """
        entries = self._entries[index - self.base_index - 1 :]
        if max_bytes is None:
            return tuple(entries)
        size = 0
        for count, entry in enumerate(entries):
            size += len(entry.data)
            if size > max_bytes and count:
                return tuple(entries[:count])
        return tuple(entries)

    def append(self, entry):
        """Append the next entry."""
        self._entries.append(entry)
        self._record_configuration(entry)

    def merge(self, entries, *, commit_index):
        """Merge consecutive entries of a leader; return those that are new.

        The entry before the first of them must match. A conflicting entry
        is removed with all that follow it. Raises LogConflictError if that
        would remove a committed entry.
        """
        for offset, entry in enumerate(entries):
            existing_term = self.term_at(entry.index)
            if entry.index <= self.base_index or existing_term == entry.term:
                continue
            if existing_term is not None:
                self._truncate(entry.index, commit_index)
            for new in entries[offset:]:
                self.append(new)
            return entries[offset:]
        return ()

    def first_index_of_term(self, index):
        """Return the first index whose entry has the term of `index`."""
        term = self.term_at(index)
        while self.term_at(index - 1) == term:
            index -= 1
        return index

    def configuration_at(self, index):
        """Return the configuration that applies at an index."""
        latest = self._configurations[0][1]
        for start_index, configuration in self._configurations:
            if start_index <= index:
                latest = configuration
        return latest

    def compact(self, metadata, *, keep_entries):
        """Discard entries that a snapshot of this replica covers.

        The last `keep_entries` of them stay.
        """
        base = max(self.base_index, metadata.index - keep_entries)
        base_term = self.term_at(base)
        self._entries = self._entries[base - self.base_index :]
        self.base_index = base
        self.base_term = base_term
        self.snapshot = metadata
        self._index_configurations()

    def install(self, metadata):
        """Discard all entries that a leader's snapshot covers.

        The entries after it stay only if the log has the last entry of the
        snapshot.
        """
        matches = self.term_at(metadata.index) == metadata.term
        kept = self.entries_from(metadata.index + 1) if matches else ()
        self._entries = list(kept)
        self.base_index = metadata.index
        self.base_term = metadata.term
        self.snapshot = metadata
        self._index_configurations()

    def _truncate(self, index, commit_index):
        if index <= commit_index:
            raise LogConflictError(
                f"the leader replaces committed entry {index}; stop this "
                "host, empty its data folder and let it join again"
            )
        del self._entries[index - self.base_index - 1 :]
        self._configurations = [
            indexed for indexed in self._configurations if indexed[0] < index
        ]

    def _index_configurations(self):
        """List the configurations, each with the index from which it applies.

        The first one is that of the snapshot.
        """
        self._configurations = [
            (self.snapshot.index, self.snapshot.configuration)
        ]
        for entry in self._entries:
            self._record_configuration(entry)

    def _record_configuration(self, entry):
        if entry.kind != EntryKind.CONFIGURATION:
            return
        if entry.index > self.snapshot.index:
            self._configurations.append(
                (entry.index, decode_configuration(entry.data))
            )
