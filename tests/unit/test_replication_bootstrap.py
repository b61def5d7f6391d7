"""Creating a cluster, joining one, and refusing a peer of another."""

import eventlet
import pytest

from tests.support.replicas import Cluster, wait_for
from verbenanotch.catalog import Accepted
from verbenanotch.replication._bootstrap import (
    Bootstrap,
    Create,
    Join,
    Mismatch,
    Wait,
)
from verbenanotch.replication._entries import Member
from verbenanotch.replication._messages import Hello

VOTERS = ("a", "b", "c")


def member(name, disk_id="1"):
    return Member(name=name, disk_id=disk_id, address="127.0.0.1", peer_port=1)


def hello(name, *, disk_id="1", cluster_id=""):
    return Hello(
        member=member(name, disk_id), cluster_id=cluster_id, first_voters=()
    )


def bootstrap(name, voters=VOTERS):
    return Bootstrap(own=member(name), voter_names=voters)


def test_first_voter_creates_cluster_once_all_voters_are_blank():
    first = bootstrap("a")
    assert first.decide_at_start() == Wait()
    assert first.decide(hello("b"), own_cluster_id="") == Wait()
    assert first.decide(hello("x"), own_cluster_id="") == Wait()
    assert first.decide(hello("c", disk_id="2"), own_cluster_id="") == Create(
        first_voters=(member("a"), member("b"), member("c", "2"))
    )


def test_other_voters_and_learners_never_create_a_cluster():
    for name in ("b", "c", "x"):
        other = bootstrap(name)
        for peer in VOTERS:
            assert other.decide(hello(peer), own_cluster_id="") == Wait()


def test_blank_voter_joins_cluster_of_any_peer():
    first = bootstrap("a")
    first.decide(hello("b"), own_cluster_id="")
    decision = first.decide(hello("c", cluster_id="k"), own_cluster_id="")
    assert decision == Join(cluster_id="k", first_voters=())


def test_only_a_peer_of_another_cluster_is_a_mismatch():
    first = bootstrap("a")
    assert first.decide(
        hello("b", cluster_id="other"), own_cluster_id="k"
    ) == Mismatch(cluster_id="other")
    assert first.decide(hello("b"), own_cluster_id="k") == Wait()


def test_single_voter_creates_cluster_at_start():
    assert isinstance(bootstrap("a", ("a",)).decide_at_start(), Create)


@pytest.fixture
def cluster(tmp_path):
    cluster = Cluster(path=tmp_path, voters=("c1", "c2", "c3"))
    yield cluster
    cluster.close()


def test_blank_hosts_join_existing_cluster_as_learners(cluster, tmp_path):
    existing = Cluster(path=tmp_path, voters=("c3",))
    existing.start()
    first = existing.leader().submit(1)
    existing.close()
    cluster.start()
    cluster.agree(first.version)
    for name in ("c1", "c2"):
        assert cluster.hosts_by_name[name].replica.status().role == "learner"


def test_host_of_another_cluster_does_not_affect_this_one(cluster, tmp_path):
    cluster.start()
    first = cluster.leader().submit(1)
    cluster.agree(first.version)
    cluster.stop("c3")
    cluster.wipe("c3")
    other_cluster = Cluster(path=tmp_path, voters=("c3",))
    other_cluster.start()
    wait_for(other_cluster.leader)
    other_cluster.close()
    # Once c3 runs, it is a leader as well, that of the other cluster.
    leader = cluster.leader()
    cluster.start("c3")
    other = cluster.hosts_by_name["c3"]
    assert isinstance(leader.submit(2), Accepted)
    assert other.versions.current is None
    assert not cluster.has_vote("c3")


def test_host_that_restarts_before_the_cluster_exists_creates_it(cluster):
    cluster.start("c1", "c2")
    cluster.stop("c1")
    # The platform permits it at the first start only.
    cluster.control["may_create_cluster"] = False
    cluster.start("c1")
    cluster.control["may_create_cluster"] = True
    cluster.start("c3")
    assert isinstance(cluster.leader().submit(1), Accepted)


def test_new_disk_does_not_have_the_permission_of_the_lost_one(cluster):
    cluster.start("c1", "c2")
    cluster.stop("c1")
    cluster.wipe("c1")
    cluster.control["may_create_cluster"] = False
    cluster.start("c1")
    cluster.control["may_create_cluster"] = True
    cluster.start("c3")
    # Several times the interval at which hosts dial each other.
    eventlet.sleep(2.0)
    for host in cluster.hosts_by_name.values():
        assert host.replica.status().cluster_id == ""
