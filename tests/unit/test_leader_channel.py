"""Messages between the leader of the log and the proxies."""

import attrs
import eventlet
import pytest

from verbenanotch.distribution import LeaderChannel, ProxyChannel
from verbenanotch.distribution._messages import FromLeader
from verbenanotch.wire import MalformedFrameError, encode, message


@message(390)
@attrs.frozen(kw_only=True)
class Decision:
    """A message of the tests."""

    number: int


class RecordingConnection:
    """Keeps what is sent over it."""

    def __init__(self):
        """Start with nothing sent."""
        self.sent = []

    def send(self, message):
        """Record a message."""
        self.sent.append(message)


@pytest.fixture
def connection():
    return RecordingConnection()


def from_leader(term, number):
    return FromLeader(term=term, payload=encode(Decision(number=number)))


def test_only_the_leader_sends_to_the_proxies(connection):
    term = None
    channel = ProxyChannel(leading_term=lambda: term)
    channel.connect("p1", connection)
    assert not channel.broadcast(Decision(number=1))
    term = 3
    assert channel.broadcast(Decision(number=2))
    eventlet.sleep(0)
    assert [sent.term for sent in connection.sent] == [3]


def test_a_message_of_an_ended_term_is_ignored(connection):
    channel = LeaderChannel()
    received = []
    channel.on(Decision, lambda message: received.append(message.number))
    channel.receive(connection, from_leader(2, 1))
    channel.receive(connection, from_leader(1, 2))
    channel.receive(connection, from_leader(2, 3))
    assert received == [1, 3]


def test_a_proxy_reports_to_the_leader_that_it_heard_last(connection):
    proxy = LeaderChannel()
    assert not proxy.send(Decision(number=1))
    proxy.receive(connection, from_leader(1, 0))
    assert proxy.send(Decision(number=7))
    eventlet.sleep(0)
    control = ProxyChannel(leading_term=lambda: 1)
    received = []
    control.on(Decision, lambda host, m: received.append((host, m.number)))
    control.receive("p1", connection.sent[0])
    assert received == [("p1", 7)]


def test_nothing_is_sent_to_a_leader_whose_connection_has_ended(connection):
    channel = LeaderChannel()
    channel.receive(connection, from_leader(1, 0))
    channel.disconnect(connection)
    assert not channel.send(Decision(number=1))


def test_a_replaced_connection_is_not_removed(connection):
    channel = ProxyChannel(leading_term=lambda: 1)
    newer = RecordingConnection()
    channel.connect("p1", connection)
    channel.connect("p1", newer)
    channel.disconnect("p1", connection)
    assert channel.hosts == ("p1",)


def test_the_silence_of_a_leader_is_measured(connection):
    now = 10.0
    channel = LeaderChannel(monotonic=lambda: now)
    assert channel.silent_seconds() is None
    channel.receive(connection, from_leader(1, 0))
    now = 12.5
    assert channel.silent_seconds() == 2.5


@pytest.mark.parametrize("payload", [b"", b"\xc1", b"\x01\x02"])
def test_a_payload_that_is_not_msgpack_is_malformed(connection, payload):
    """Any other error would end the greenthread of the connection."""
    channel = LeaderChannel()
    with pytest.raises(MalformedFrameError):
        channel.receive(connection, FromLeader(term=1, payload=payload))
