"""Creating a cluster, and joining an existing one.

The first voters are those in the settings, with which a cluster starts. A
replica is blank as long as it belongs to no cluster. Only the first voter
whose name sorts lowest creates a cluster, and only once all other first
voters have lately reported in a Hello that they are blank and would create
one with the same first voters. So a voter whose disk was emptied cannot create
a second cluster while another first voter still has the existing one stored.
A blank replica joins the cluster of the first peer that reports one. It has a
vote there only if the voters of that cluster include its disk id.
"""

import dataclasses

from verbenanotch.replication._entries import Member

# Several times the interval between Hellos.
MAX_REPORT_AGE_SECONDS = 2.0


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


@dataclasses.dataclass(frozen=True, kw_only=True)
class _BlankReport:
    """What a member reported at `reported_at`, being blank."""

    member: Member
    voter_names: frozenset[str]
    reported_at: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Unpermitted:
    """What a disk without permission to create a cluster may do.

    From `decides_from` on it may take `voter_names` for the first voters.
    Names are only used if they are more than `tolerated_losses`: if all of
    them are blank, there was no cluster, or more disks were lost.
    """

    voter_names: tuple[str, ...]
    tolerated_losses: int
    decides_from: float

    def may_use(self, names):
        """Return whether blank voters of these names had no cluster."""
        return 0 < self.tolerated_losses < len(names)


class Bootstrap:
    """Decide from peers' Hellos whether to create or join a cluster.

    Times are in monotonic seconds.
    """

    def __init__(self, *, own, voter_names, unpermitted=None):
        """Start without Hellos from peers.

        `own` is this replica's Member, `voter_names` the names of the first
        voters, with which the disk is permitted to create a cluster. Without
        names it follows its Unpermitted, if any.
        """
        self._own = own
        self._unpermitted = unpermitted
        self._reports_by_name = {}
        self.voter_names = frozenset(voter_names)

    def decide_at_start(self, *, now):
        """Return Create if this host is the only first voter, else Wait."""
        return self._create_or_wait(now)

    def decide(self, hello, *, own_cluster_id, now):
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
        report = _BlankReport(
            member=hello.member,
            voter_names=frozenset(v.name for v in hello.first_voters),
            reported_at=now,
        )
        self._reports_by_name[hello.member.name] = report
        self._choose_names(report.voter_names, now)
        return self._create_or_wait(now)

    def _choose_names(self, peer_names, now):
        """Take the first voters from a peer, or from the own settings.

        The names of permitted disks are all alike, and are heard of first.
        They are kept, so that no two sets of them are ever agreed on.
        """
        rule = self._unpermitted
        if self.voter_names or rule is None:
            return
        if self._own.name in peer_names and rule.may_use(peer_names):
            self.voter_names = peer_names
        elif now >= rule.decides_from and rule.may_use(rule.voter_names):
            self.voter_names = frozenset(rule.voter_names)

    def _create_or_wait(self, now):
        names = self.voter_names
        if not names or self._own.name != min(names):
            return Wait()
        if self._unpermitted and now < self._unpermitted.decides_from:
            return Wait()
        members_by_name = self._agreeing_members_by_name(now)
        if not names <= members_by_name.keys():
            return Wait()
        return Create(
            first_voters=tuple(members_by_name[name] for name in sorted(names))
        )

    def _agreeing_members_by_name(self, now):
        """Return the blank members that name the same first voters.

        One that was heard of long ago may belong to a cluster by now.
        """
        agreeing = {
            name: report.member
            for name, report in self._reports_by_name.items()
            if report.voter_names == self.voter_names
            and now - report.reported_at <= MAX_REPORT_AGE_SECONDS
        }
        return {**agreeing, self._own.name: self._own}
