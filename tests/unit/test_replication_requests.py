"""Proposals and reads that a replica forwards to the leader."""

import types

import eventlet
import msgpack
import pytest

from verbenanotch.replication import Committed, Position, Unknown
from verbenanotch.replication._entries import EntryKind
from verbenanotch.replication._messages import (
    ProposeReply,
    ReadReply,
)
from verbenanotch.replication._outcomes import (
    OutcomeCode,
    ReadUnavailable,
)
from verbenanotch.replication._requests import Requests
from verbenanotch.wire import decode, encode

OWN_ID, LEADER_ID = "c2#disk", "c1#disk"
TIMEOUT_SECONDS = 0.3
ORDERS = 8


class Follower:
    """The requests of one process of a replica that does not lead."""

    def __init__(self):
        """Start a process."""
        self.sent = []
        driver = types.SimpleNamespace(
            core=types.SimpleNamespace(leader_id=LEADER_ID),
            error=None,
            wait_until_applied=lambda index, seconds: True,
        )
        self.requests = Requests(driver=driver, send=self._send, own_id=OWN_ID)

    def propose(self, data):
        """Return a greenthread that proposes a command."""
        return eventlet.spawn(
            self.requests.propose, EntryKind.COMMAND, data, TIMEOUT_SECONDS
        )

    def read(self):
        """Return a greenthread that confirms a read."""
        return eventlet.spawn(self.requests.confirm_read, TIMEOUT_SECONDS)

    def _send(self, member_id, message):
        assert member_id == LEADER_ID
        self.sent.append(decode(msgpack.unpackb(encode(message))))
        return True


@pytest.fixture
def start():
    """Return what starts a process and lets it send what is begun."""

    def begin(count, action):
        follower = Follower()
        waiting = [action(follower, number) for number in range(count)]
        eventlet.sleep(0)
        assert len(follower.sent) == count
        return follower, waiting

    return begin


def commit(request, index):
    return ProposeReply(
        request_id=request.request_id,
        outcome=int(OutcomeCode.COMMITTED),
        epoch=3,
        index=index,
        result=request.data,
        reason="",
    )


def propose(follower, number):
    return follower.propose(b"order %d" % number)


def read(follower, number):
    return follower.read()


def test_a_reply_to_an_earlier_process_is_no_outcome_of_a_later_proposal(
    start,
):
    """Guards against an ack for a configuration that was never accepted."""
    before, _ = start(ORDERS, propose)
    after, waiting = start(ORDERS, propose)
    for request in before.sent:
        after.requests.receive_reply(commit(request, index=9))
    outcomes = [each.wait() for each in waiting]
    assert all(isinstance(each, Unknown) for each in outcomes), outcomes


def test_a_reply_to_an_earlier_process_confirms_no_later_read(start):
    """Guards against a read that is older than an acknowledged version."""
    before, _ = start(ORDERS, read)
    after, waiting = start(ORDERS, read)
    for request in before.sent:
        after.requests.receive_reply(
            ReadReply(request_id=request.request_id, confirmed=True, index=4)
        )
    outcomes = [each.wait() for each in waiting]
    assert all(isinstance(each, ReadUnavailable) for each in outcomes)


def test_replies_reach_the_proposals_that_they_are_for(start):
    follower, waiting = start(ORDERS, propose)
    for index, request in reversed(list(enumerate(follower.sent))):
        follower.requests.receive_reply(commit(request, index))
    for index, each in enumerate(waiting):
        assert each.wait() == Committed(
            position=Position(term=3, index=index),
            result=b"order %d" % index,
        )
