"""Bytes that the kernel keeps for sockets that nobody reads."""

import contextlib
import fcntl
import socket
import struct
import termios

import eventlet
import pytest

from verbenanotch import loop
from verbenanotch.loop import _receive_buffers

MANY = 600
FEW = 4
# What the peer of each connection sends at most: more than it may leave
# unread, but little enough for the machine if nothing bounds it.
SENT_BYTES = 512 * 1024
# Stated in the design of the request path.
MAX_ALL_UNREAD_BYTES = 16 * 1024 * 1024
MAX_UNREAD_BYTES = 256 * 1024
MAX_WAITING_BYTES = 64 * 1024
MAX_LINK_UNREAD_BYTES = 768 * 1024
# A packet over loopback, with which a connection may exceed its share.
PACKET_BYTES = 64 * 1024
# An option of sockets that no kernel knows.
NO_OPTION = 9999
ROUNDS = 40
# More than a socket reads ahead.
LEFT_BEHIND_BYTES = 128 * 1024
BODY_BYTES = 8 * 1024 * 1024
SECONDS = 30


class Peers:
    """Connections whose peers send without end, and their accepted ends."""

    def __init__(self, listener):
        """Connect to a LoopSocket that listens."""
        self._listener = listener
        self.senders = []
        self.accepted = []

    def connect(self, count):
        """Open further connections."""
        for _ in range(count):
            sender = socket.create_connection(self._listener.getsockname())
            self.senders.append(sender)
            self.accepted.append(self._listener.accept()[0])

    def send(self):
        """Send what the kernel takes, up to SENT_BYTES each."""
        left_by_sender = dict.fromkeys(self.senders, SENT_BYTES)
        for _ in range(ROUNDS):
            for sender, left in left_by_sender.items():
                with contextlib.suppress(BlockingIOError):
                    left_by_sender[sender] -= sender.fd.send(
                        bytes(left), socket.MSG_DONTWAIT
                    )
            eventlet.sleep(0.01)

    def close(self):
        """Close both ends."""
        for sock in (*self.senders, *self.accepted):
            sock.close()


@pytest.fixture
def listener():
    sock = loop.listen("127.0.0.1", 0, backlog=1024)
    yield sock
    sock.close()


@pytest.fixture
def peers(listener):
    connections = Peers(listener)
    yield connections
    connections.close()


def unread_bytes(sock):
    buffer = fcntl.ioctl(sock.fileno(), termios.FIONREAD, bytes(4))
    return struct.unpack("i", buffer)[0]


def all_unread_bytes(socks):
    return sum(unread_bytes(sock) for sock in socks)


def receive_buffer_bytes(sock):
    return sock.getsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF)


def test_what_many_peers_send_unread_is_bounded(peers):
    peers.connect(MANY)
    peers.send()
    assert 0 < all_unread_bytes(peers.accepted) <= MAX_ALL_UNREAD_BYTES


def test_what_arrived_while_there_were_few_peers_is_bounded_too(peers):
    for _ in range(3):
        peers.connect(MANY // 3)
        peers.send()
    assert all_unread_bytes(peers.accepted) <= MAX_ALL_UNREAD_BYTES


def test_few_peers_keep_a_useful_share(peers):
    peers.connect(FEW)
    peers.send()
    for sock in peers.accepted:
        unread = unread_bytes(sock)
        assert unread >= MAX_UNREAD_BYTES / 4
        assert unread <= MAX_UNREAD_BYTES + PACKET_BYTES


def test_what_waits_to_be_accepted_is_bounded(listener):
    callers = [
        socket.create_connection(listener.getsockname()) for _ in range(FEW)
    ]
    for caller in callers:
        with contextlib.suppress(BlockingIOError):
            caller.fd.send(bytes(SENT_BYTES), socket.MSG_DONTWAIT)
    eventlet.sleep(0.1)
    accepted = [listener.accept()[0] for _ in callers]
    unread = [unread_bytes(sock) for sock in accepted]
    for sock in (*callers, *accepted):
        sock.close()
    assert 0 < max(unread) <= MAX_WAITING_BYTES


def test_the_end_of_a_stream_is_seen_behind_unread_bytes(peers):
    """Guard against requests that run on for callers that have left."""
    peers.connect(FEW)
    for sender, sock in zip(peers.senders, peers.accepted, strict=True):
        eventlet.spawn(send_and_close, sender, bytes(LEFT_BEHIND_BYTES))
        with eventlet.Timeout(SECONDS):
            while not (
                sock.read_ahead() or (sock.is_ahead_full and sock.has_ended())
            ):
                eventlet.sleep(0.01)


def send_and_close(sock, data):
    sock.sendall(data)
    sock.close()


def test_shares_grow_again_once_peers_have_left(peers):
    peers.connect(MANY)
    assert receive_buffer_bytes(peers.accepted[-1]) < MAX_UNREAD_BYTES
    for sock in peers.accepted[:-FEW]:
        sock.close()
    assert receive_buffer_bytes(peers.accepted[-1]) == MAX_UNREAD_BYTES


def test_a_socket_that_is_dropped_without_a_close_gives_its_share_back():
    buffers = _receive_buffers.ReceiveBuffers(
        max_all_bytes=64 * 1024, max_each_bytes=64 * 1024, min_each_bytes=4096
    )
    for _ in range(MANY):
        sock = loop.LoopSocket(socket.AF_INET, socket.SOCK_STREAM)
        sock.share_buffers(buffers)
        del sock
    assert buffers.each_bytes == 64 * 1024


def test_a_socket_that_refuses_the_option_is_used_as_it_is(peers, monkeypatch):
    monkeypatch.setattr(socket, "SO_RCVBUF", NO_OPTION)
    peers.connect(1)
    peers.senders[0].sendall(b"x")
    assert peers.accepted[0].recv(1) == b"x"


def receive_all(sock, count):
    left = count
    while left:
        data = sock.recv(min(left, 64 * 1024))
        assert data
        left -= len(data)


@pytest.mark.parametrize("before", [FEW, MANY])
def test_a_large_body_arrives_whole_beside_others(peers, before):
    peers.connect(before)
    for other in peers.senders[1:]:
        other.fd.send(b"x")
    sender = eventlet.spawn(peers.senders[0].sendall, bytes(BODY_BYTES))
    with eventlet.Timeout(SECONDS):
        receive_all(peers.accepted[0], BODY_BYTES)
        sender.wait()


def test_a_body_goes_on_after_its_share_became_smaller(peers):
    peers.connect(1)
    sender = eventlet.spawn(peers.senders[0].sendall, bytes(BODY_BYTES))
    eventlet.sleep(0.1)
    peers.connect(MANY)
    with eventlet.Timeout(SECONDS):
        receive_all(peers.accepted[0], BODY_BYTES)
        sender.wait()


@pytest.mark.parametrize("is_for_links", [False, True])
def test_what_a_dialed_host_sends_unread_is_bounded(is_for_links):
    endless = eventlet.listen(("127.0.0.1", 0))
    dialed = loop.connect(
        *endless.getsockname(), timeout_seconds=5, is_for_links=is_for_links
    )
    sender, _ = endless.accept()
    for _ in range(ROUNDS):
        with contextlib.suppress(BlockingIOError):
            sender.fd.send(bytes(SENT_BYTES), socket.MSG_DONTWAIT)
        eventlet.sleep(0.01)
    unread = unread_bytes(dialed)
    for sock in (endless, dialed, sender):
        sock.close()
    if is_for_links:
        assert MAX_UNREAD_BYTES < unread <= MAX_LINK_UNREAD_BYTES
    else:
        assert 0 < unread <= MAX_UNREAD_BYTES


def test_an_accepted_link_keeps_more_unread_than_a_stranger():
    listener = loop.listen("127.0.0.1", 0, backlog=8, is_for_links=True)
    peers = Peers(listener)
    peers.connect(2)
    peers.accepted[0].use_link_buffer()
    peers.send()
    link, stranger = (unread_bytes(sock) for sock in peers.accepted)
    peers.close()
    listener.close()
    assert stranger <= MAX_UNREAD_BYTES + PACKET_BYTES
    assert MAX_UNREAD_BYTES + PACKET_BYTES < link <= MAX_LINK_UNREAD_BYTES
