"""How a replica without a cluster gets into one.

A new cluster is created by the first voter by name, and only when all first
voters are connected and say that they belong to no cluster. Any replica
without a cluster joins the cluster of the first peer that has one. So a
voter with an empty disk never creates a second cluster while another voter
remembers the first, and it has a vote only if the cluster's voters include
its very disk.
"""

import dataclasses

from verbenanotch.replication._entries import Member


@dataclasses.dataclass(frozen=True, kw_only=True)
class Wait:
    """Nothing to do."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Join:
    """Take over the peer's cluster."""

    cluster_id: str
    first_voters: tuple[Member, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Create:
    """Create a cluster of these voters."""

    first_voters: tuple[Member, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Mismatch:
    """The peer belongs to another cluster."""

    cluster_id: str


class Bootstrap:
    """Decide on what peers say of their cluster."""

    def __init__(self, *, own, voter_names):
        """Take this member and the names of the first voters."""
        self._own = own
        self._voter_names = frozenset(voter_names)
        self._blank_members_by_name = {own.name: own}

    def begin(self):
        """Return Create if this host is the only first voter."""
        return self._create_or_wait()

    def consider(self, hello, *, own_cluster_id):
        """Return what to do on a peer's Hello."""
        if own_cluster_id:
            if hello.cluster_id in ("", own_cluster_id):
                return Wait()
            return Mismatch(cluster_id=hello.cluster_id)
        if hello.cluster_id:
            return Join(
                cluster_id=hello.cluster_id, first_voters=hello.first_voters
            )
        self._blank_members_by_name[hello.member.name] = hello.member
        return self._create_or_wait()

    def _create_or_wait(self):
        names = self._voter_names
        if not names or self._own.name != min(names):
            return Wait()
        if not names <= self._blank_members_by_name.keys():
            return Wait()
        voters = tuple(
            self._blank_members_by_name[name] for name in sorted(names)
        )
        return Create(first_voters=voters)
