"""Membership views and the holders of keys.

Source for rendezvous hashing: Thaler and Ravishankar, "Using Name-Based
Mappings to Increase Hit Rates", 1998.
"""

import attrs
import xxhash

SHARD_COUNT = 1024


@attrs.frozen(kw_only=True)
class RecordHolder:
    """One proxy that may hold records.

    `incarnation` grows with each start of the process. `joined_epoch` is
    the epoch of the first view that named this incarnation.
    """

    host: str
    availability_zone: str
    address: str
    peer_port: int
    incarnation: int
    joined_epoch: int = 0

    @property
    def identity(self):
        """Return what tells this process from an earlier one of its host."""
        return (self.host, self.incarnation)


@attrs.frozen(kw_only=True)
class View:
    """The members of one availability zone at one epoch.

    The views of a zone come from one publisher at a time, with epochs that
    grow by one. A member leaves the view only after its lease has expired,
    or after it has said that it stopped.
    """

    availability_zone: str
    epoch: int
    members: tuple[RecordHolder, ...]

    def by_identity(self):
        """Return members keyed by identity."""
        return {member.identity: member for member in self.members}


def next_view(view, members):
    """Return the view after `view` with `members`, or `view` if the same.

    Keeps `joined_epoch` of those who stay and sets it for those who join.
    """
    known = view.by_identity()
    epoch = view.epoch + 1
    members = tuple(
        known.get(member.identity) or attrs.evolve(member, joined_epoch=epoch)
        for member in sorted(members, key=lambda item: item.identity)
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
    """Return the zone that keeps the records of a key.

    `availability_zones` are all zones of the mesh, also those that cannot
    be reached now: every caller must come to the same result.
    """
    return max(
        availability_zones,
        key=lambda zone: (
            xxhash.xxh64_intdigest(f"{key}\0{zone}".encode()),
            zone,
        ),
    )


def holders_for_key(key, members, *, home_zone):
    """Return `(first, second)`, the members of the zone that hold a key.

    `second` is None where the zone has one member, both where it has none.
    """
    members = [
        member for member in members if member.availability_zone == home_zone
    ]
    return holders_for_shard(shard_of(key), members)


def holders_for_shard(shard_number, members):
    """Return the `(first, second)` holders of a shard among `members`."""
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

    Gives a shard up at the second member that comes before the host, so
    that few of the members are looked at for most shards.
    """
    others = [member.host for member in members if member.host != host]
    held = []
    for shard_number in range(SHARD_COUNT):
        own_weight = _weight(host, shard_number)
        before = 0
        for other in others:
            if _weight(other, shard_number) > own_weight:
                before += 1
                if before == 2:
                    break
        else:
            held.append(shard_number)
    return held


def updated_holders(holders_by_shard, old_view, view):
    """Return the holders under `view` of the shards in `holders_by_shard`.

    Those are the holders under `old_view`. Only the shards of members that
    left are worked out from all members; one that joined is compared with
    the holders of each shard.
    """
    old = old_view.by_identity()
    new = view.by_identity()
    left = {identity for identity in old if identity not in new}
    joined = [new[identity] for identity in new if identity not in old]
    result = {}
    for shard_number, holders in holders_by_shard.items():
        held = [member for member in holders if member is not None]
        if any(member.identity in left for member in held):
            holders = holders_for_shard(shard_number, view.members)
        elif joined:
            holders = holders_for_shard(shard_number, held + joined)
        result[shard_number] = holders
    return result


def identities(holders):
    """Return the identities of holders; an absent one is left out."""
    return tuple(member.identity for member in holders if member is not None)


def _weight(host, shard_number):
    return xxhash.xxh64_intdigest(host.encode(), seed=shard_number)
