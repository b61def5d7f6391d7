"""Sets of encoded services, routes or host records, with a digest."""

import attrs
import msgpack
import xxhash

from verbenanotch.wire import from_plain, to_plain

DIGEST_MASK = (1 << 64) - 1


@attrs.frozen(kw_only=True)
class EntryDelta:
    """The difference between two EntrySets.

    `changed` has the new and the changed entries by key, `removed` the keys
    of the removed ones.
    """

    changed: dict[str, bytes]
    removed: tuple[str, ...]


@attrs.frozen(kw_only=True, eq=False)
class EntrySet:
    """Immutable encoded entries by key; equal sets have the same digest.

    The digest is the sum, modulo 2**64, of the xxh3 hashes of the entries,
    so that an update hashes only the changed entries. Source: Bellare
    and Micciancio, "A New Paradigm for Collision-Free Hashing", 1997.
    """

    entries_by_key: dict[str, bytes] = attrs.field(factory=dict)
    hashes_by_key: dict[str, int] = attrs.field(factory=dict, repr=False)
    digest: int = 0

    @classmethod
    def from_entries(cls, entries_by_key):
        """Return the set with these encoded entries."""
        return cls().evolve(changed=entries_by_key)

    def evolve(self, *, changed, removed=()):
        """Return a copy with `changed` added and the keys `removed` dropped.

        An entry in `changed` replaces one of the same key.
        """
        entries = dict(self.entries_by_key)
        hashes = dict(self.hashes_by_key)
        digest = self.digest
        for key in removed:
            if entries.pop(key, None) is not None:
                digest -= hashes.pop(key)
        for key, data in changed.items():
            digest -= hashes.get(key, 0)
            entries[key] = data
            hashes[key] = entry_hash(key, data)
            digest += hashes[key]
        return EntrySet(
            entries_by_key=entries,
            hashes_by_key=hashes,
            digest=digest & DIGEST_MASK,
        )

    def subset(self, keys):
        """Return the subset with these keys; missing keys are ignored."""
        hashes = {
            key: self.hashes_by_key[key]
            for key in keys
            if key in self.hashes_by_key
        }
        return EntrySet(
            entries_by_key={key: self.entries_by_key[key] for key in hashes},
            hashes_by_key=hashes,
            digest=sum(hashes.values()) & DIGEST_MASK,
        )

    def delta_to(self, other):
        """Return the EntryDelta from this set to `other`."""
        return EntryDelta(
            changed={
                key: data
                for key, data in other.entries_by_key.items()
                if self.hashes_by_key.get(key) != other.hashes_by_key[key]
            },
            removed=tuple(
                key
                for key in self.entries_by_key
                if key not in other.entries_by_key
            ),
        )


def entry_hash(key, data):
    """Return the 64-bit hash of one entry."""
    return xxhash.xxh3_64_intdigest(msgpack.packb((key, data)))


def encode_entry(value):
    """Return an attrs value as msgpack bytes, with fields by position."""
    return msgpack.packb(to_plain(value))


def decode_entry(data, cls):
    """Return the value of class `cls` that `encode_entry` encoded.

    Raises MalformedFrameError if the data does not match the class.
    """
    return from_plain(msgpack.unpackb(data), cls)
