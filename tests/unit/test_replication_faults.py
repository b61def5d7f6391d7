"""Lost disks, network partitions and resends over real connections."""

import eventlet
import pytest

from tests.support.replicas import Cluster, wait_for
from verbenanotch.catalog import Accepted, Submission, Unavailable, Unknown
from verbenanotch.replication import Committed
from verbenanotch.replication import Unavailable as ReplicaUnavailable
from verbenanotch.versions._state_machine import encode_submission

VOTERS = ("c1", "c2", "c3")
# A leader's process that stands still for an election timeout steps down, also
# if no other host asks for votes; so the timeout is longer than that.
PATIENT_ELECTION_TIMEOUT_MS = 5000
ELECTION_TIMEOUT_MS = 300


@pytest.fixture
def make_cluster(tmp_path):
    clusters = []

    def make(*, relays=False, **settings):
        cluster = Cluster(path=tmp_path, voters=VOTERS, **settings)
        if relays:
            cluster.add_relays()
        cluster.start()
        clusters.append(cluster)
        return cluster

    yield make
    for cluster in clusters:
        cluster.close()


def accept(cluster, number):
    outcome = cluster.leader().submit(number)
    assert isinstance(outcome, Accepted), outcome
    return outcome.version


def test_isolated_leader_steps_down_and_loses_uncommitted_versions(
    make_cluster,
):
    cluster = make_cluster(relays=True)
    cluster.agree(accept(cluster, 1))
    old = cluster.leader()
    cluster.isolate(old.name)
    unconfirmed = old.submit(2, timeout=0.2)
    assert isinstance(unconfirmed, Unknown)
    wait_for(lambda: old.replica.status().role != "leader")
    refused = old.submit(3, timeout=0.2)
    assert isinstance(refused, Unavailable)
    version = accept(cluster, 4)
    # Several election timeouts, in which the old leader must not lead again.
    eventlet.sleep(1.0)
    assert old.replica.status().role != "leader"
    cluster.heal()
    cluster.agree(version)
    assert [
        record.mesh.name for record in old.versions.records_by_version.values()
    ] == ["m1", "m4"]


def start_with_impatient_follower(make_cluster):
    """Return a cluster and the follower that is the first to ask for votes."""
    cluster = make_cluster(
        relays=True, election_timeout_ms=PATIENT_ELECTION_TIMEOUT_MS
    )
    cluster.agree(accept(cluster, 1))
    name = cluster.followers()[0].name
    cluster.stop(name)
    cluster.control["election_timeout_ms"] = ELECTION_TIMEOUT_MS
    cluster.start(name)
    cluster.agree(accept(cluster, 2))
    return cluster, cluster.hosts_by_name[name]


def wait_for_pre_votes(host):
    # Several election timeouts, in which the follower requests pre-votes.
    eventlet.sleep(1.5)
    wait_for(lambda: host.replica.status().role == "pre-candidate")


def test_an_isolated_follower_does_not_depose_the_leader(make_cluster):
    cluster, follower = start_with_impatient_follower(make_cluster)
    leader = cluster.leader()
    term = leader.replica.status().term
    cluster.isolate(follower.name)
    wait_for_pre_votes(follower)
    cluster.heal()
    cluster.agree(accept(cluster, 3))
    assert cluster.leader() is leader
    assert leader.replica.status().term == term


def test_a_follower_that_misses_only_the_leader_does_not_depose_it(
    make_cluster,
):
    """Guard against pre-votes of hosts that hear the leader."""
    cluster, follower = start_with_impatient_follower(make_cluster)
    leader = cluster.leader()
    term = leader.replica.status().term
    cluster.relays_by_link[leader.name, follower.name].cut()
    wait_for_pre_votes(follower)
    assert leader.replica.status().term == term
    cluster.heal()
    cluster.agree(accept(cluster, 3))
    assert cluster.leader() is leader
    assert leader.replica.status().term == term


def test_resend_to_a_new_leader_gets_the_first_outcome(make_cluster):
    cluster = make_cluster()
    old = cluster.leader()
    first = old.submit(1, submission_id="again")
    cluster.stop(old.name)
    newer = accept(cluster, 2) if cluster.leader() else None
    again = cluster.leader().submit(1, submission_id="again")
    assert again == first
    assert cluster.leader().versions.current_version == newer


def test_disks_lost_one_after_another_all_rejoin(make_cluster):
    cluster = make_cluster()
    cluster.agree(accept(cluster, 1))
    for number, name in enumerate(("c3", "c2", "c1"), start=2):
        cluster.stop(name)
        cluster.wipe(name)
        version = accept(cluster, number)
        cluster.start(name)
        wait_for(lambda name=name: cluster.has_vote(name))
        cluster.agree(version)
    host = cluster.leader()
    assert len(host.versions.records_by_version) == 4


def test_new_disk_has_no_vote_before_it_is_readmitted(make_cluster):
    cluster = make_cluster()
    cluster.agree(accept(cluster, 1))
    cluster.stop("c3")
    version = accept(cluster, 2)
    cluster.stop("c1", "c2")
    cluster.wipe("c2")
    cluster.start("c2", "c3")
    # Several election timeouts, in which a leader must not be elected.
    eventlet.sleep(2.0)
    for host in cluster.hosts_by_name.values():
        assert host.replica.status().leader == ""
        assert host.versions.current_version != version
    cluster.start("c1")
    cluster.agree(version)
    wait_for(lambda: cluster.has_vote("c2"))


def test_learners_follow_and_catch_up_by_snapshot(make_cluster):
    cluster = make_cluster(learners=("c4",), snapshot_every_entries=20)
    cluster.agree(accept(cluster, 1))
    learner = cluster.hosts_by_name["c4"]
    assert learner.replica.status().role == "learner"
    cluster.stop("c4")
    for number in range(2, 60):
        version = accept(cluster, number)
    cluster.start("c4")
    cluster.agree(version)
    learner = cluster.hosts_by_name["c4"]
    assert learner.replica.status().snapshot_index >= 40
    assert len(learner.versions.records_by_version) == 59
    assert isinstance(learner.submit(60), Accepted)


def test_voters_are_replaced_one_at_a_time(make_cluster):
    cluster = make_cluster(learners=("c4",))
    version = accept(cluster, 1)
    cluster.agree(version)
    follower = cluster.followers()[0]
    added = follower.replica.change_voters(add="c4")
    assert isinstance(added, Committed)
    leader = cluster.leader()
    removed = leader.replica.change_voters(remove=leader.name)
    assert isinstance(removed, Committed)
    cluster.stop(leader.name)
    cluster.agree(accept(cluster, 2))
    voters = cluster.leader().replica.status().voters_by_name
    assert set(voters) == {"c1", "c2", "c3", "c4"} - {leader.name}
    refused = cluster.leader().replica.change_voters(
        add="nobody", timeout_seconds=0.2
    )
    assert isinstance(refused, ReplicaUnavailable)


def test_host_restarted_without_peers_keeps_its_version(make_cluster):
    cluster = make_cluster(learners=("c4",))
    version = accept(cluster, 1)
    cluster.agree(version)
    cluster.stop()
    cluster.start("c4")
    host = cluster.hosts_by_name["c4"]
    assert host.versions.current_version == version
    assert host.replica.status().leader == ""


def test_replica_reaches_voters_missing_from_its_settings(make_cluster):
    cluster = make_cluster(learners=("c4", "c5"))
    version = accept(cluster, 1)
    cluster.agree(version)
    for name in ("c4", "c5"):
        leader = cluster.leader()
        assert isinstance(leader.replica.change_voters(add=name), Committed)
    for name in ("c1", "c2", "c3"):
        wait_for(cluster.leader)
        outcome = cluster.leader().replica.change_voters(remove=name)
        assert isinstance(outcome, Committed), outcome
    cluster.stop("c1", "c2", "c3")
    version = accept(cluster, 2)
    cluster.agree(version)
    cluster.stop("c5")
    cluster.wipe("c5")
    cluster.start("c5")
    # Several election timeouts. With two voters, no leader can be elected
    # without the vote of the lost disk, so the new disk is not readmitted.
    eventlet.sleep(1.0)
    assert not cluster.has_vote("c5")


def test_leader_refuses_an_invalid_file_that_a_follower_forwards(make_cluster):
    cluster = make_cluster()
    cluster.agree(accept(cluster, 1))
    follower = cluster.followers()[0]
    bad = Submission(submission_id="b", operator="ann", text=b"x")
    refused = follower.replica.propose(
        command=encode_submission(bad), timeout_seconds=5
    )
    assert isinstance(refused, ReplicaUnavailable)
    assert "rejects the file" in refused.reason
