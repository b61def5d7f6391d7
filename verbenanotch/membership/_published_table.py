"""A table of host records, encoded for sending, with its recent states."""

import collections

from verbenanotch.membership._entry_set import EntrySet, encode_entry

RECENT_STATES = 64


class PublishedTable:
    """An encoded table; provides deltas from any of its recent states."""

    def __init__(self):
        """Start with an empty table."""
        self.entries = EntrySet()
        self._records_by_host = {}
        self._recent_by_digest = collections.OrderedDict()
        self._deltas_by_base_digest = {}

    def replace_records(self, records_by_host):
        """Set the current records of the table."""
        current = self._records_by_host
        changed = {
            host: encode_entry(record)
            for host, record in records_by_host.items()
            if current.get(host) is not record
        }
        removed = [host for host in current if host not in records_by_host]
        if not changed and not removed:
            return
        self._remember(self.entries)
        self.entries = self.entries.evolve(changed=changed, removed=removed)
        self._records_by_host = dict(records_by_host)
        self._deltas_by_base_digest.clear()

    def delta_from(self, digest):
        """Return the EntryDelta from the state with this digest.

        Returns None if that is neither the current nor a recent state.
        """
        base = self._recent_by_digest.get(digest)
        if digest == self.entries.digest:
            base = self.entries
        if base is None:
            return None
        if digest not in self._deltas_by_base_digest:
            self._deltas_by_base_digest[digest] = base.delta_to(self.entries)
        return self._deltas_by_base_digest[digest]

    def _remember(self, entries):
        self._recent_by_digest[entries.digest] = entries
        while len(self._recent_by_digest) > RECENT_STATES:
            self._recent_by_digest.popitem(last=False)
