"""The log in memory: entries after a base, and the voters that they set."""

import attrs

from verbenanotch.replication._entries import (
    Configuration,
    EntryKind,
    decode_configuration,
)
from verbenanotch.replication.exceptions import LogConflictError


@attrs.frozen(kw_only=True)
class SnapshotPoint:
    """The last entry that a snapshot covers, and the voters at it."""

    index: int
    term: int
    configuration: Configuration


class Log:
    """Entries after `base_index`, at most up to `last_index`.

    A snapshot covers all entries up to `snapshot.index`, which is at least
    `base_index`: some entries before it are kept for replicas that are a
    little behind.
    """

    def __init__(self, *, snapshot, base_index, base_term, entries=()):
        """Take the state that storage holds."""
        self.snapshot = snapshot
        self.base_index = base_index
        self.base_term = base_term
        self._entries = list(entries)
        self._find_configurations()

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
        self._find_configurations()

    def term_at(self, index):
        """Return the term of an entry, or None if it is not held."""
        if index == self.base_index:
            return self.base_term
        if self.base_index < index <= self.last_index:
            return self._entries[index - self.base_index - 1].term
        return None

    def entry_at(self, index):
        """Return one entry that is held."""
        return self._entries[index - self.base_index - 1]

    def entries_from(self, index, *, max_bytes=None):
        """Return entries from `index` on, at least one if there is any."""
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
        """Add the next entry."""
        self._entries.append(entry)
        self._note_configuration(entry)

    def merge(self, entries, *, commit_index):
        """Take over a leader's entries; return those that are new.

        The entry before the first one matches. Conflicting entries are
        dropped with all that follow; dropping a committed one raises
        LogConflictError.
        """
        for position, entry in enumerate(entries):
            held = self.term_at(entry.index)
            if entry.index <= self.base_index or held == entry.term:
                continue
            if held is not None:
                self._truncate(entry.index, commit_index)
            for new in entries[position:]:
                self.append(new)
            return entries[position:]
        return ()

    def first_index_of_term(self, index):
        """Return the first held index with the same term as `index`."""
        term = self.term_at(index)
        while self.term_at(index - 1) == term:
            index -= 1
        return index

    def configuration_at(self, index):
        """Return the configuration in force at an index."""
        found = self._configurations[0][1]
        for position, configuration in self._configurations:
            if position <= index:
                found = configuration
        return found

    def compact(self, point, *, keep_entries):
        """Note a snapshot; drop entries but the last `keep_entries` of it."""
        base = max(self.base_index, point.index - keep_entries)
        base_term = self.term_at(base)
        self._entries = self._entries[base - self.base_index :]
        self.base_index = base
        self.base_term = base_term
        self.snapshot = point
        self._find_configurations()

    def install(self, point):
        """Replace what a leader's snapshot covers; keep what agrees."""
        agrees = self.term_at(point.index) == point.term
        kept = self.entries_from(point.index + 1) if agrees else ()
        self._entries = list(kept)
        self.base_index = point.index
        self.base_term = point.term
        self.snapshot = point
        self._find_configurations()

    def _truncate(self, index, commit_index):
        if index <= commit_index:
            raise LogConflictError(
                f"the leader replaces committed entry {index}; stop this "
                "host, empty its data folder and let it join again"
            )
        del self._entries[index - self.base_index - 1 :]
        self._configurations = [
            item for item in self._configurations if item[0] < index
        ]

    def _find_configurations(self):
        self._configurations = [
            (self.snapshot.index, self.snapshot.configuration)
        ]
        for entry in self._entries:
            self._note_configuration(entry)

    def _note_configuration(self, entry):
        if entry.kind != EntryKind.CONFIGURATION:
            return
        if entry.index > self.snapshot.index:
            self._configurations.append(
                (entry.index, decode_configuration(entry.data))
            )
