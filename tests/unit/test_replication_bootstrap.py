"""Creating a cluster, joining one, and refusing a peer of another."""

import eventlet
import pytest

from tests.support.replicas import Cluster, wait_for
from verbenanotch.catalog import Accepted
from verbenanotch.replication._bootstrap import (
    MAX_REPORT_AGE_SECONDS,
    Bootstrap,
    Create,
    Join,
    Mismatch,
    Unpermitted,
    Wait,
)
from verbenanotch.replication._entries import Member
from verbenanotch.replication._messages import Hello
from verbenanotch.replication._replica import UNPERMITTED_WAIT_SECONDS

VOTERS = ("a", "b", "c")
NOW = 100.0


def member(name, disk_id="1"):
    return Member(name=name, disk_id=disk_id, address="127.0.0.1", peer_port=1)


def hello(name, *, disk_id="1", cluster_id="", voters=VOTERS):
    return Hello(
        member=member(name, disk_id),
        cluster_id=cluster_id,
        first_voters=(
            () if cluster_id else tuple(member(v, "") for v in voters)
        ),
    )


def bootstrap(name, voters=VOTERS, **options):
    return Bootstrap(own=member(name), voter_names=voters, **options)


def unpermitted(name, voters=VOTERS, *, tolerated_losses=1):
    """Return the Bootstrap of a disk without permission, from NOW on."""
    return bootstrap(
        name,
        (),
        unpermitted=Unpermitted(
            voter_names=voters,
            tolerated_losses=tolerated_losses,
            decides_from=NOW,
        ),
    )


def creates(decider, hellos, *, now=NOW):
    """Return whether a cluster is created after these Hellos."""
    decisions = [
        decider.decide(received, own_cluster_id="", now=now)
        for received in hellos
    ]
    return isinstance(decisions[-1], Create)


def test_first_voter_creates_cluster_once_all_voters_are_blank():
    first = bootstrap("a")
    assert first.decide_at_start(now=NOW) == Wait()
    assert first.decide(hello("b"), own_cluster_id="", now=NOW) == Wait()
    assert first.decide(hello("x"), own_cluster_id="", now=NOW) == Wait()
    assert first.decide(
        hello("c", disk_id="2"), own_cluster_id="", now=NOW
    ) == Create(first_voters=(member("a"), member("b"), member("c", "2")))


def test_other_voters_and_learners_never_create_a_cluster():
    for name in ("b", "c", "x"):
        other = bootstrap(name)
        for peer in VOTERS:
            assert (
                other.decide(hello(peer), own_cluster_id="", now=NOW) == Wait()
            )


def test_blank_voter_joins_cluster_of_any_peer():
    first = bootstrap("a")
    first.decide(hello("b"), own_cluster_id="", now=NOW)
    decision = first.decide(
        hello("c", cluster_id="k"), own_cluster_id="", now=NOW
    )
    assert decision == Join(cluster_id="k", first_voters=())


def test_only_a_peer_of_another_cluster_is_a_mismatch():
    first = bootstrap("a")
    assert first.decide(
        hello("b", cluster_id="other"), own_cluster_id="k", now=NOW
    ) == Mismatch(cluster_id="other")
    assert first.decide(hello("b"), own_cluster_id="k", now=NOW) == Wait()


def test_single_voter_creates_cluster_at_start():
    assert isinstance(bootstrap("a", ("a",)).decide_at_start(now=NOW), Create)


def test_voters_that_were_blank_long_ago_create_no_cluster():
    first = bootstrap("a")
    first.decide(hello("b"), own_cluster_id="", now=NOW)
    later = NOW + MAX_REPORT_AGE_SECONDS + 0.1
    assert not creates(first, [hello("c")], now=later)
    assert creates(first, [hello("b")], now=later)


def test_unpermitted_disks_create_a_cluster_if_all_are_blank():
    hellos = [hello("b"), hello("c")]
    assert creates(unpermitted("a"), hellos)
    assert not creates(unpermitted("a"), hellos, now=NOW - 0.1)
    assert not creates(unpermitted("a"), hellos[:1])
    assert not creates(unpermitted("b"), [hello("a"), hello("c")])
    assert not creates(unpermitted("a", tolerated_losses=0), hellos)
    assert not creates(unpermitted("a", tolerated_losses=3), hellos)


def test_an_unpermitted_disk_takes_the_first_voters_of_a_permitted_one():
    first = unpermitted("a", ("a", "x", "y"))
    assert creates(first, [hello("b"), hello("c")])


def test_disks_that_name_different_first_voters_create_no_two_clusters():
    """Settings that were written at other times may have other seeds."""
    others = ("b", "c", "d")
    first, second = unpermitted("a"), unpermitted("b", others)
    assert not creates(first, [hello("b", voters=others), hello("c")])
    assert not creates(
        second, [hello("d", voters=others), hello("c"), hello("a")]
    )
    assert not creates(bootstrap("a"), [hello("b"), hello("c", voters=others)])


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


@pytest.mark.parametrize("forbidden", [("c1",), ("c1", "c2", "c3")])
def test_voters_without_permission_create_a_cluster_if_all_are_blank(
    cluster, forbidden
):
    """Guard against hosts killed before they stored their permission.

    A host that lost its disk before there was a cluster is the same.
    """
    cluster.control["tolerated_losses"] = 1
    for name in cluster.voter_names:
        cluster.control["may_create_cluster"] = name not in forbidden
        cluster.start(name)
    first = cluster.leader().submit(1)
    assert isinstance(first, Accepted)
    cluster.agree(first.version)
    assert len(cluster_ids(cluster)) == 1


def cluster_ids(cluster):
    return {
        host.replica.status().cluster_id
        for host in cluster.hosts_by_name.values()
    }


def test_blank_voters_without_permission_wait_for_the_one_with_a_cluster(
    cluster,
):
    """More disks are lost than may be, yet nothing on the third is."""
    cluster.control["tolerated_losses"] = 1
    cluster.start()
    first = cluster.leader().submit(1)
    cluster.agree(first.version)
    cluster_id = cluster.hosts_by_name["c3"].replica.status().cluster_id
    cluster.stop()
    for name in ("c1", "c2"):
        cluster.wipe(name)
    cluster.control["may_create_cluster"] = False
    cluster.start("c1", "c2")
    eventlet.sleep(UNPERMITTED_WAIT_SECONDS + 1.0)
    for name in ("c1", "c2"):
        assert cluster.hosts_by_name[name].replica.status().cluster_id == ""
    cluster.start("c3")
    wait_for(
        lambda: (
            {
                host.replica.status().cluster_id
                for host in cluster.hosts_by_name.values()
            }
            == {cluster_id}
        )
    )
    assert (
        cluster.hosts_by_name["c3"].versions.current_version == first.version
    )
