"""Bytes that a process keeps for the connections of peers that do not read."""

import random
import time
import tracemalloc

import attrs
import eventlet
import pytest
from eventlet import event

from verbenanotch.telemetry import metrics
from verbenanotch.wire import (
    ConnectionClosedError,
    Listener,
    Purpose,
    dial,
    message,
)

KEY = b"0123456789abcdef"
STANDING_COUNT = 40
MESSAGE_BYTES = 1024 * 1024
SMALL_BYTES = 1024
# What is kept, and the copies of messages that are sent now.
MAX_KEPT_BYTES = 40 * 1024 * 1024
SECONDS = 1.5
WAKE_SECONDS = 10.0
# A follower without heartbeats stands for election after this time.
ELECTION_SECONDS = 1.0


@message(60301)
@attrs.frozen(kw_only=True)
class Parcel:
    """A message of any size."""

    data: bytes


@pytest.fixture
def peer():
    """Start a peer that reads on all connections but those for requests."""
    ended = event.Event()

    def echo(connection):
        while True:
            connection.send(connection.receive())

    listener = Listener(
        address="127.0.0.1",
        port=0,
        key=KEY,
        name="peer",
        handlers_by_purpose={
            Purpose.REQUEST: lambda connection: ended.wait(),
            Purpose.DISTRIBUTION: echo,
            Purpose.ZONE: echo,
            Purpose.REPLICATION: echo,
        },
    )
    listener.start()
    yield listener
    ended.send()
    listener.stop()


def connect(peer, purpose):
    return dial(
        address="127.0.0.1",
        port=peer.port,
        key=KEY,
        name="sender",
        purpose=purpose,
    )


@pytest.fixture
def standing(peer):
    """Fill connections whose peer reads nothing by many senders."""
    connections = [
        connect(peer, Purpose.REQUEST) for _ in range(STANDING_COUNT)
    ]
    parcel = Parcel(data=bytes(MESSAGE_BYTES))

    def fill(connection):
        try:
            while True:
                connection.send(parcel)
        except ConnectionClosedError:
            return

    tracemalloc.start()
    senders = [
        eventlet.spawn(fill, connection)
        for connection in connections
        for _ in range(3)
    ]
    yield connections
    tracemalloc.stop()
    for sender in senders:
        sender.kill()
    for connection in connections:
        connection.close()


def test_peers_that_do_not_read_fit_into_the_memory(standing):
    """Each kept over 4 MiB and a frame of each greenthread that waited."""
    eventlet.sleep(SECONDS)
    assert tracemalloc.get_traced_memory()[1] < MAX_KEPT_BYTES
    assert not any(connection.closed for connection in standing[:-1])


def test_other_peers_are_sent_messages_beside_those_that_do_not_read(
    standing, peer
):
    """Small messages pass at once; large ones once a connection has ended."""
    reading = connect(peer, Purpose.DISTRIBUTION)
    eventlet.sleep(SECONDS)
    ended = metrics.totals_by_name["wire.unread_ended"]
    with eventlet.Timeout(SECONDS):
        small = Parcel(data=bytes(SMALL_BYTES))
        reading.send(small)
        assert reading.receive() == small
    with eventlet.Timeout(WAKE_SECONDS):
        # Nothing that is compressed to a small message.
        large = Parcel(data=random.Random(1).randbytes(MESSAGE_BYTES))
        reading.send(large)
        assert reading.receive() == large
    assert metrics.totals_by_name["wire.unread_ended"] > ended
    assert not reading.closed
    reading.close()


@pytest.mark.parametrize("purpose", [Purpose.REPLICATION, Purpose.ZONE])
def test_control_hosts_wait_for_no_room_that_others_take(
    standing, peer, purpose
):
    """The heartbeats behind a large message came too late for others."""
    control = connect(peer, purpose)
    eventlet.sleep(SECONDS)
    sent_at = time.monotonic()
    with eventlet.Timeout(WAKE_SECONDS):
        large = Parcel(data=random.Random(1).randbytes(MESSAGE_BYTES))
        control.send(large)
        assert control.receive() == large
    assert time.monotonic() - sent_at < ELECTION_SECONDS
    control.close()
