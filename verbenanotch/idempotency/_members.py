"""Membership views and the holders of keys.

Each key belongs to one of `SHARD_COUNT` shards. Rendezvous hashing ranks the
members for each shard by weight; the two with the highest weights hold it.
A member that joins or leaves therefore changes only the holders of the
shards that it holds.

Source for rendezvous hashing: Thaler and Ravishankar, "Using Name-Based
Mappings to Increase Hit Rates", 1998.
"""

import attrs
import xxhash

SHARD_COUNT = 1024


@attrs.frozen(kw_only=True)
class RecordHolder:
    """One proxy that may hold records.

    `incarnation` increases with each start of the process. `joined_epoch` is
    the epoch of the first view that contains this incarnation.
    """

    host: str
    availability_zone: str
    address: str
    peer_port: int
    incarnation: int
    joined_epoch: int = 0

    @property
    def identity(self):
        """Return `(host, incarnation)`, which identifies the process.

        An earlier process of the same host has another identity, since the
        records in its memory are lost.
        """
        return (self.host, self.incarnation)


@attrs.frozen(kw_only=True)
class View:
    """The members of one availability zone at one epoch.

    Only one publisher at a time publishes the views of a zone; the epoch
    increases by one with each view. A member is removed only after its lease
    has expired or after it has reported that it stopped serving, so that it
    no longer starts keys when others replace it.
    """

    availability_zone: str
    epoch: int
    members: tuple[RecordHolder, ...]

    def by_identity(self):
        """Return the members by identity."""
        return {member.identity: member for member in self.members}


def next_view(view, members):
    """Return the view that follows `view`, or `view` if no member changed.

    `joined_epoch` is kept for current members and set for new ones.
    """
    current_by_identity = view.by_identity()
    epoch = view.epoch + 1
    members = tuple(
        current_by_identity.get(member.identity)
        or attrs.evolve(member, joined_epoch=epoch)
        for member in sorted(members, key=lambda member: member.identity)
    )
    if members == view.members:
        return view
    return View(
        availability_zone=view.availability_zone, epoch=epoch, members=members
    )


def shard_of(key):
    """Return the shard of a key, from 0 to `SHARD_COUNT` - 1."""
    return xxhash.xxh64_intdigest(key.encode()) % SHARD_COUNT


def home_zone(key, availability_zones):
    """Return the zone whose members hold a key.

    `availability_zones` must be all zones of the mesh, including those that
    cannot be reached now: every host must compute the same result.
    """
    return max(
        availability_zones,
        key=lambda zone: (
            xxhash.xxh64_intdigest(f"{key}\0{zone}".encode()),
            zone,
        ),
    )


def holders_for_key(key, members, *, home_zone):
    """Return `(first, second)`, the members of `home_zone` that hold a key.

    `second` is None if the zone has only one member, both are None if it has
    none.
    """
    members = [
        member for member in members if member.availability_zone == home_zone
    ]
    return holders_for_shard(shard_of(key), members)


def holders_for_shard(shard_number, members):
    """Return the `(first, second)` holders of a shard among `members`.

    `first` has the highest weight. A missing holder is None.
    """
    first = second = None
    first_weight = second_weight = -1
    for member in members:
        weight = _weight(member.host, shard_number)
        if weight > first_weight:
            second, second_weight = first, first_weight
            first, first_weight = member, weight
        elif weight > second_weight:
            second, second_weight = member, weight
    return first, second


def shards_held(host, members):
    """Return the shards that `host`, one of the members, holds.

    The loop over the members ends at the second one with a higher weight
    than the host, so that most shards take only a few comparisons.
    """
    other_hosts = [member.host for member in members if member.host != host]
    held_shards = []
    for shard_number in range(SHARD_COUNT):
        own_weight = _weight(host, shard_number)
        higher_count = 0
        for other_host in other_hosts:
            if _weight(other_host, shard_number) > own_weight:
                higher_count += 1
                if higher_count == 2:
                    break
        else:
            held_shards.append(shard_number)
    return held_shards


def updated_holders(holders_by_shard, old_view, view):
    """Return the holders under `view` of the shards in `holders_by_shard`.

    `holders_by_shard` are the holders under `old_view`. Only shards held by
    a removed member are computed from all members; for the others it is
    enough to compare the added members with the two holders.
    """
    old_by_identity = old_view.by_identity()
    new_by_identity = view.by_identity()
    removed = {
        identity
        for identity in old_by_identity
        if identity not in new_by_identity
    }
    added = [
        new_by_identity[identity]
        for identity in new_by_identity
        if identity not in old_by_identity
    ]
    updated_by_shard = {}
    for shard_number, holders in holders_by_shard.items():
        present_holders = [member for member in holders if member is not None]
        if any(member.identity in removed for member in present_holders):
            holders = holders_for_shard(shard_number, view.members)
        elif added:
            holders = holders_for_shard(shard_number, present_holders + added)
        updated_by_shard[shard_number] = holders
    return updated_by_shard


def identities(holders):
    """Return the identities of the holders that are not None."""
    return tuple(member.identity for member in holders if member is not None)


def _weight(host, shard_number):
    return xxhash.xxh64_intdigest(host.encode(), seed=shard_number)
