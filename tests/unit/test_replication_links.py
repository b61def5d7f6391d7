"""Tests of the Hellos on the connections between replicas."""

import attrs
import pytest

from verbenanotch.replication._entries import Member
from verbenanotch.replication._links import _HelloStream
from verbenanotch.replication._messages import Append, Hello, Unchanged
from verbenanotch.wire import MalformedFrameError

MEMBER = Member(name="c1", disk_id="d1", address="10.0.0.1", peer_port=1)
HELLO = Hello(member=MEMBER, cluster_id="", first_voters=())


def test_a_hello_is_sent_again_only_when_it_changes():
    """Hellos were a seventh of a small mesh's bytes between zones."""
    own = [HELLO]
    stream = _HelloStream(lambda: own[0])
    assert stream.next_message() == HELLO
    assert stream.next_message() == Unchanged()
    own[0] = attrs.evolve(HELLO, cluster_id="c")
    assert stream.next_message() == own[0]
    assert stream.next_message() == Unchanged()


def test_unchanged_stands_for_the_last_hello_of_the_peer():
    stream = _HelloStream(lambda: HELLO)
    assert stream.receive(HELLO) == HELLO
    assert stream.receive(Unchanged()) == HELLO
    changed = attrs.evolve(HELLO, cluster_id="c")
    assert stream.receive(changed) == changed
    assert stream.receive(Unchanged()) == changed


def test_other_messages_are_no_hello():
    heartbeat = Append(
        term=1,
        previous_index=0,
        previous_term=0,
        entries=(),
        commit_index=0,
        round=1,
    )
    assert _HelloStream(lambda: HELLO).receive(heartbeat) is None


def test_unchanged_before_a_hello_is_malformed():
    with pytest.raises(MalformedFrameError):
        _HelloStream(lambda: HELLO).receive(Unchanged())
