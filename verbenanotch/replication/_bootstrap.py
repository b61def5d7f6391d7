"""Creating a cluster, and joining an existing one.

The first voters are those in the settings, with which a cluster starts. A
replica is blank as long as it belongs to no cluster. Only the first voter
whose name sorts lowest creates a cluster, and only once all other first
voters have reported in a Hello that they are blank. So a voter whose disk
was emptied cannot create a second cluster while another first voter still
has the existing one stored. A blank replica joins the cluster of the first
peer that reports one. It has a vote there only if the voters of that cluster
include its disk id.
"""

import dataclasses

from verbenanotch.replication._entries import Member


@dataclasses.dataclass(frozen=True, kw_only=True)
class Wait:
    """No action is needed."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Join:
    """Join the cluster that the peer belongs to."""

    cluster_id: str
    first_voters: tuple[Member, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Create:
    """Create a cluster with these voters."""

    first_voters: tuple[Member, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Mismatch:
    """The peer belongs to another cluster."""

    cluster_id: str


class Bootstrap:
    """Decide from peers' Hellos whether to create or join a cluster."""

    def __init__(self, *, own, voter_names):
        """Start without Hellos from peers.

        `own` is this replica's Member, `voter_names` the names of the first
        voters; without names it never creates a cluster.
        """
        self._own = own
        self._voter_names = frozenset(voter_names)
        self._blank_members_by_name = {own.name: own}

    def decide_at_start(self):
        """Return Create if this host is the only first voter, else Wait."""
        return self._create_or_wait()

    def decide(self, hello, *, own_cluster_id):
        """Return Wait, Join, Create or Mismatch for a peer's Hello.

        `own_cluster_id` is empty if this replica belongs to no cluster.
        """
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
