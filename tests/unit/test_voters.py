"""Voters that a leader replaces and adds automatically."""

import attrs
import eventlet
import pytest

from tests.support.replicas import Cluster, wait_for
from tests.unit.test_replication_core import (
    TIMING,
    A,
    B,
    acknowledge,
    lead,
    make_core,
    member,
    sync,
)
from verbenanotch.catalog import NO_VERSION, Accepted
from verbenanotch.replication._entries import Configuration, Member
from verbenanotch.replication._voters import decide_voters


@pytest.fixture
def members():
    return {
        name: Member(name=name, disk_id="d", address="127.0.0.1", peer_port=1)
        for name in "abcde"
    }


def decide(members, voters, caught_up, *, silent=None, wanted=3):
    changed = decide_voters(
        Configuration(voters=tuple(members[name] for name in voters)),
        caught_up_by_name={name: members[name] for name in caught_up},
        silent_seconds_by_id={
            members[name].id: seconds
            for name, seconds in (silent or {}).items()
        },
        wanted_voters=wanted,
        timeout=1.5,
    )
    return changed and sorted(changed.voters_by_name)


def test_configuration_stays_while_enough_voters_answer(members):
    assert decide(members, "abc", "abcd") is None
    assert decide(members, "abc", "abcd", silent={"c": 1.0}) is None


def test_a_lost_voter_is_replaced_in_two_steps(members):
    assert decide(members, "abc", "abd", silent={"c": 2.0}) == ["a", "b"]
    assert decide(members, "ab", "abd") == ["a", "b", "d"]


def test_lost_voter_stays_without_a_caught_up_learner(members):
    assert decide(members, "abc", "ab", silent={"c": 60.0}) is None


def test_voters_are_added_up_to_the_wanted_number(members):
    assert decide(members, "abc", "abcde", wanted=5) == list("abcd")
    assert decide(members, "abcde", "abcde", wanted=5) is None


def run_leader(core, peers, since, until):
    """Pass a leader the replies of its peers at each heartbeat."""
    now = since
    while now < until:
        for peer in peers:
            acknowledge(core, peer, core.log.last_index, now)
        core.tick(now)
        sync(core, now)
        now += TIMING.heartbeat


def test_replaced_voter_stays_without_a_vote_while_all_voters_reply():
    core = make_core(
        timing=attrs.evolve(TIMING, wanted_voters=3, voter_timeout=1.5)
    )
    lead(core, now=3.0)
    learner = member("d")
    core.on_peer_connected(learner, 3.0)
    run_leader(core, (B, learner), 3.0, 6.0)
    expected = {A.id, B.id, learner.id}
    assert set(core.log.configuration.voters_by_id) == expected
    returned = member("c", "2")
    core.on_peer_connected(returned, 6.0)
    run_leader(core, (B, learner, returned), 6.0, 12.0)
    assert set(core.log.configuration.voters_by_id) == expected
    assert core.commit_index == core.log.last_index


@pytest.fixture
def cluster(tmp_path):
    cluster = Cluster(
        path=tmp_path,
        voters=("c1", "c2", "c3"),
        learners=("c4",),
        tolerated_losses=1,
        voter_patience_ms=300,
    )
    cluster.start()
    yield cluster
    cluster.close()


def voters_of(cluster):
    return set(cluster.leader().replica.status().voters_by_name)


def submit_until_accepted(cluster, number, *, base):
    """Submit under one id until a leader accepts; return the version.

    A leader that hears of no quorum for an election timeout, as beside other
    busy processes, steps down; the remedy is to submit the same again.
    """
    outcomes = []

    def is_accepted():
        outcomes.append(cluster.leader().submit(number, base=base))
        return isinstance(outcomes[-1], Accepted)

    wait_for(is_accepted)
    return outcomes[-1].version


def test_replaced_voter_returns_without_a_vote(cluster):
    first = submit_until_accepted(cluster, 1, base=NO_VERSION)
    stopped = cluster.followers()[0].name
    if stopped == "c4":
        stopped = cluster.followers()[1].name
    cluster.stop(stopped)
    expected = {"c1", "c2", "c3", "c4"} - {stopped}
    # On all hosts, so that the change outlasts the leader that made it.
    wait_for(
        lambda: all(
            set(host.replica.status().voters_by_name) == expected
            for host in cluster.hosts_by_name.values()
        )
    )
    cluster.wipe(stopped)
    cluster.start(stopped)
    cluster.agree(submit_until_accepted(cluster, 2, base=first))
    # Longer than `voter_patience_ms`, after which voters may be replaced.
    eventlet.sleep(1.0)
    assert voters_of(cluster) == expected
