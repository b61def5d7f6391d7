"""Replicas of one cluster over real connections."""

import pytest

from tests.support.replicas import Cluster
from verbenanotch.catalog import Accepted, Conflict
from verbenanotch.replication import ReadConfirmed


@pytest.fixture
def cluster(tmp_path):
    cluster = Cluster(path=tmp_path, voters=("c1", "c2", "c3"))
    cluster.start()
    yield cluster
    cluster.stop()


def test_three_voters_accept_versions_from_any_host(cluster):
    leader = cluster.leader()
    first = leader.submit(1)
    assert isinstance(first, Accepted)
    cluster.agree(first.version)
    follower = cluster.followers()[0]
    second = follower.submit(2)
    assert second.version > first.version
    cluster.agree(second.version)
    assert follower.versions.current.mesh.name == "m2"
    confirmed = follower.replica.confirm_read(timeout_seconds=5)
    assert isinstance(confirmed, ReadConfirmed)


def test_concurrent_submissions_conflict_and_name_the_winner(cluster):
    leader = cluster.leader()
    first = leader.submit(1)
    cluster.agree(first.version)
    other = cluster.followers()[0]
    winner = leader.submit(2)
    loser = other.submit(3, base=first.version)
    assert loser == Conflict(
        winner=winner.version, winner_operator=leader.name
    )


def test_versions_survive_a_restart_of_all_hosts(cluster):
    accepted = cluster.leader().submit(1)
    cluster.stop()
    cluster.start()
    cluster.leader()
    cluster.agree(accepted.version)
