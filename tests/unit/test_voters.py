"""Voters that a leader replaces and adds automatically."""

import eventlet
import pytest

from tests.support.replicas import Cluster, wait_for
from verbenanotch.catalog import Accepted
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


def test_replaced_voter_returns_without_a_vote(cluster):
    wait_for(lambda: isinstance(cluster.leader().submit(1), Accepted))
    stopped = cluster.followers()[0].name
    if stopped == "c4":
        stopped = cluster.followers()[1].name
    cluster.stop(stopped)
    expected = {"c1", "c2", "c3", "c4"} - {stopped}
    wait_for(lambda: voters_of(cluster) == expected)
    cluster.wipe(stopped)
    cluster.start(stopped)
    outcome = cluster.leader().submit(2)
    assert isinstance(outcome, Accepted)
    cluster.agree(outcome.version)
    # Longer than `voter_patience_ms`, after which voters may be replaced.
    eventlet.sleep(1.0)
    assert voters_of(cluster) == expected
