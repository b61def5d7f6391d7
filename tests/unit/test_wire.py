"""Authenticated connections between processes."""

import contextlib
import enum
import os
import socket
import time
import zlib

import attrs
import eventlet
import msgpack
import pytest
from eventlet import event, patcher

from verbenanotch import loop
from verbenanotch.telemetry import metrics
from verbenanotch.wire import (
    AuthenticationFailedError,
    Connection,
    ConnectionClosedError,
    Listener,
    MalformedFrameError,
    Purpose,
    WireError,
    _listener,
    decode,
    dial,
    encode,
    message,
)
from verbenanotch.wire._connection import MAX_FRAME_BYTES, MAX_PENDING_BYTES
from verbenanotch.wire._handshake import perform_handshake

KEY = b"0123456789abcdef"
# A bound that is stated in the design of the request path.
MAX_STRANGERS = 256
MORE_STRANGERS = 50
WAKE_SECONDS = 5.0
# Messages of 1 MB, more than a connection and the kernel queue.
FILLING = 30
BUSY_SECONDS = 3.0
BUSY_BYTES = 128 * 1024
# More than the reader takes.
BUSY_SENDERS = 24
BUSY_PAUSE_SECONDS = 0.1


class Color(enum.IntEnum):
    """An enumeration that is a field's type."""

    RED = 1
    BLUE = 2


@message(60001)
@attrs.frozen(kw_only=True)
class Echo:
    """A message with an optional list of bodies."""

    text: str
    bodies: tuple[bytes, ...] = ()
    color: Color = Color.RED


@pytest.fixture
def listener():
    def echo(connection):
        while True:
            connection.send(connection.receive())

    server = Listener(
        address="127.0.0.1",
        port=0,
        key=KEY,
        name="server",
        handlers_by_purpose={
            Purpose.REQUEST: echo,
            Purpose.DISTRIBUTION: echo,
        },
    )
    server.start()
    yield server
    server.stop()


def connect(listener, key=KEY, purpose=Purpose.REQUEST):
    return dial(
        address="127.0.0.1",
        port=listener.port,
        key=key,
        name="client",
        purpose=purpose,
    )


def test_messages_are_echoed_unchanged(listener):
    connection = connect(listener)
    sent = Echo(text="é", bodies=(b"a", b"b" * 100_000))
    connection.send(sent)
    assert connection.receive() == sent
    assert connection.peer_name == "server"
    connection.close()


def test_a_wrong_key_is_refused(listener):
    with pytest.raises((AuthenticationFailedError, ConnectionClosedError)):
        connect(listener, key=b"another key, not shared")


def test_another_protocol_is_refused_and_the_listener_keeps_running(listener):
    sock = eventlet.connect(("127.0.0.1", listener.port))
    sock.sendall(b"GET / HTTP/1.1\r\n\r\n")
    sock.close()
    test_messages_are_echoed_unchanged(listener)


def test_a_field_of_the_wrong_type_is_malformed():
    timestamp, number, _ = 1, 60001, None
    with pytest.raises(MalformedFrameError):
        decode([timestamp, number, [5, [], 1]])
    with pytest.raises(MalformedFrameError):
        decode([timestamp, number, ["x", [], 3]])
    with pytest.raises(WireError):
        decode([timestamp, 59999, []])


def test_a_message_is_unchanged_by_encoding_and_decoding():
    original = Echo(text="x", bodies=(b"y",), color=Color.BLUE)
    decoded = decode(msgpack.unpackb(encode(original)))
    assert decoded == original
    assert isinstance(decoded.color, Color)


def test_closing_wakes_a_greenthread_blocked_in_receive(listener):
    connection = connect(listener)
    receiver = eventlet.spawn(connection.receive)
    eventlet.sleep(0)
    connection.close()
    with eventlet.Timeout(WAKE_SECONDS), pytest.raises(ConnectionClosedError):
        receiver.wait()


def test_a_malformed_message_closes_the_connection(listener):
    connection = connect(listener)
    connection.send_plain([1, 60001, [5, []]])
    with pytest.raises(ConnectionClosedError):
        connection.receive()
    assert connection.closed


@pytest.mark.parametrize(
    "body", [b"route " * 10_000, os.urandom(50_000), b"short"]
)
def test_configurations_and_tables_are_sent_compressed(listener, body):
    connection = connect(listener, purpose=Purpose.DISTRIBUTION)
    sent = Echo(text="x", bodies=(body,))
    connection.send(sent)
    assert connection.receive() == sent
    if body.startswith(b"route"):
        assert connection.sent_bytes + connection.received_bytes < 10_000


@pytest.mark.parametrize(
    "frame",
    [
        zlib.compress(bytes(MAX_FRAME_BYTES + 1)),
        zlib.compress(encode(Echo(text="x")))[:-5],
        zlib.compress(b"\xc1"),
        b"no compressed frame",
    ],
)
def test_an_invalid_compressed_frame_closes_the_connection(listener, frame):
    connection = connect(listener, purpose=Purpose.DISTRIBUTION)
    connection.send_plain(frame)
    with pytest.raises(ConnectionClosedError):
        connection.receive()
    assert connection.closed
    test_messages_are_echoed_unchanged(listener)


@pytest.fixture
def connected():
    """Return both ends of a connection; nobody receives on them."""
    accepted = eventlet.Queue()
    ended = event.Event()

    def hold(connection):
        accepted.put(connection)
        ended.wait()

    server = Listener(
        address="127.0.0.1",
        port=0,
        key=KEY,
        name="server",
        handlers_by_purpose={Purpose.REQUEST: hold},
    )
    server.start()
    dialled = connect(server)
    yield dialled, accepted.get(timeout=WAKE_SECONDS)
    ended.send()
    dialled.close()
    server.stop()


def test_what_has_arrived_is_received_beside_a_waiting_greenthread(connected):
    ours, theirs = connected
    waiting = eventlet.spawn(ours.receive)
    eventlet.sleep(0.01)
    texts = ["1", "2", "x" * 100_000]
    for text in texts:
        theirs.send(Echo(text=text))
    assert [message.text for message in ours.receive_arrived()] == texts
    assert list(ours.receive_arrived()) == []
    assert not waiting.dead
    theirs.send(Echo(text="4"))
    assert waiting.wait().text == "4"
    theirs.close()
    assert list(ours.receive_arrived()) == []
    with pytest.raises(ConnectionClosedError):
        ours.receive()


def test_messages_sent_at_once_arrive_whole_and_in_order(connected):
    ours, theirs = connected
    sent = 0
    while ours.send_at_once(Echo(text=f"{sent}-" + "x" * 500_000)):
        sent += 1
    assert sent > 0
    # The last one was sent in part; `send` waits for its turn behind it.
    later = eventlet.spawn(ours.send, Echo(text="later"))
    for number in range(sent):
        assert theirs.receive().text.startswith(f"{number}-")
    assert theirs.receive().text == "later"
    later.wait()
    assert ours.send_at_once(Echo(text="again"))
    assert theirs.receive().text == "again"
    assert not ours.send_at_once(Echo(text="x" * MAX_FRAME_BYTES))
    assert not ours.closed
    ours.close()
    assert not ours.send_at_once(Echo(text="closed"))


@pytest.mark.parametrize(
    "start",
    [
        b"\xc6\x7f\xff\xff\xff",
        b"\xdb\x7f\xff\xff\xff",
        b"\x95\xac" + b"verbenanotch\x02\xda\x20\x00",
    ],
)
def test_a_stranger_cannot_make_a_process_keep_a_long_frame(listener, start):
    """Guard against strangers whose frames fill the memory of a process."""
    sock = eventlet.connect(("127.0.0.1", listener.port))
    sent_bytes = 0
    with eventlet.Timeout(WAKE_SECONDS), pytest.raises(OSError):
        sock.sendall(start)
        while sent_bytes < MAX_FRAME_BYTES:
            sock.sendall(bytes(1024))
            sent_bytes += 1024
            eventlet.sleep(0)
    assert sent_bytes < MAX_FRAME_BYTES / 4
    test_messages_are_echoed_unchanged(listener)


def test_a_stranger_cannot_announce_large_collections(listener):
    sock = eventlet.connect(("127.0.0.1", listener.port))
    sock.sendall(b"\xdd\x00\x01\x00\x00" * 1000)
    with eventlet.Timeout(WAKE_SECONDS):
        while sock.recv(1024):
            pass
    test_messages_are_echoed_unchanged(listener)


def test_a_trickling_stranger_is_disconnected(listener, monkeypatch):
    monkeypatch.setattr(_listener, "MAX_HANDSHAKE_SECONDS", 0.2)
    sock = eventlet.connect(("127.0.0.1", listener.port))
    with eventlet.Timeout(WAKE_SECONDS), pytest.raises(OSError):
        while True:
            sock.sendall(b"\x91")
            eventlet.sleep(0.02)


@pytest.fixture
def silent_strangers(listener):
    """Connect more often than strangers may, and say nothing."""
    connect_at_once = patcher.original("socket").create_connection
    strangers = [
        connect_at_once(("127.0.0.1", listener.port))
        for _ in range(MAX_STRANGERS + MORE_STRANGERS)
    ]
    yield strangers
    for sock in strangers:
        sock.close()


def test_strangers_who_say_nothing_take_a_bounded_number_of_connections(
    listener, silent_strangers
):
    """Guard against strangers who take all descriptors of a process."""
    ended_before = metrics.totals_by_name["wire.strangers_ended"]
    with eventlet.Timeout(WAKE_SECONDS):
        while (
            metrics.totals_by_name["wire.strangers_ended"]
            < ended_before + MORE_STRANGERS
        ):
            eventlet.sleep(0.01)
    # None is ended for no reason.
    eventlet.sleep(0.2)
    assert len(listener._connections) <= MAX_STRANGERS
    ended = metrics.totals_by_name["wire.strangers_ended"] - ended_before
    assert ended == MORE_STRANGERS
    for sock in silent_strangers[:MORE_STRANGERS]:
        sock.settimeout(WAKE_SECONDS)
        with contextlib.suppress(ConnectionResetError):
            while sock.recv(1024):
                pass
    test_messages_are_echoed_unchanged(listener)


def test_authenticated_peers_are_not_ended_for_others(listener, monkeypatch):
    monkeypatch.setattr(_listener, "MAX_STRANGERS", 2)
    connections = [connect(listener) for _ in range(6)]
    for connection in connections:
        connection.send(Echo(text="a"))
        assert connection.receive() == Echo(text="a")
        connection.close()


def test_a_dial_to_a_stranger_that_trickles_ends():
    """Later dials to the address waited for it, for up to two hours."""

    def trickle(sock, _):
        with contextlib.suppress(OSError), contextlib.closing(sock):
            sock.sendall(b"\xc5\x0f\x00")
            while True:
                sock.sendall(b"x")
                eventlet.sleep(0.01)

    stranger = eventlet.listen(("127.0.0.1", 0))
    server = eventlet.spawn(eventlet.serve, stranger, trickle)
    with eventlet.Timeout(WAKE_SECONDS), pytest.raises(ConnectionClosedError):
        dial(
            address="127.0.0.1",
            port=stranger.getsockname()[1],
            key=KEY,
            name="client",
            purpose=Purpose.REQUEST,
            timeout_seconds=0.1,
        )
    server.kill()
    stranger.close()


class DelayedMacConnection(Connection):
    """Connection that keeps its MAC back in `delayed`."""

    delayed = b""

    def send_plain(self, value):
        """Send a hello; keep a MAC back."""
        if isinstance(value, bytes):
            self.delayed = msgpack.packb(value)
        else:
            super().send_plain(value)


def test_messages_that_arrive_with_the_handshake_are_kept(listener):
    sock = loop.connect("127.0.0.1", listener.port, timeout_seconds=5.0)
    connection = DelayedMacConnection(sock=sock)
    perform_handshake(
        connection, key=KEY, name="a", purpose=Purpose.REQUEST, role="dialer"
    )
    connection.accept_messages()
    sent = [Echo(text=str(i), bodies=(b"b" * 3000,)) for i in range(20)]
    sock.sendall(connection.delayed + b"".join(encode(x) for x in sent))
    assert [connection.receive() for _ in sent] == sent
    connection.close()


def test_both_sides_of_a_connection_notice_a_host_that_is_gone(listener):
    connection = connect(listener)
    [accepted] = listener._connections
    for sock in (connection._socket, accepted._socket):
        assert sock.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE)
        for option in (
            socket.TCP_KEEPIDLE,
            socket.TCP_KEEPINTVL,
            socket.TCP_KEEPCNT,
        ):
            assert sock.getsockopt(socket.IPPROTO_TCP, option) < 10
        timeout_ms = sock.getsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT
        )
        assert 0 < timeout_ms <= 10_000
    connection.close()


def test_senders_wait_in_turn_for_a_slow_peer(connected):
    """One that sent on was always first; others waited as long as it did."""
    sender, receiver = connected

    def send(name, texts):
        for text in texts:
            sender.send(Echo(text=f"{name}{text}"))

    for _ in range(FILLING):
        eventlet.spawn(sender.send, Echo(text="x" * 1_000_000))
        eventlet.sleep(0.01)
    assert sender.pending_bytes > MAX_PENDING_BYTES
    for name in "abcde":
        eventlet.spawn(send, name, "123")
        eventlet.sleep(0)
    texts = [receiver.receive().text for _ in range(FILLING + 15)]
    texts = [text for text in texts if len(text) == 2]
    assert texts == [f"{name}{text}" for text in "123" for name in "abcde"]


def test_a_sender_does_not_send_what_others_queue_behind_it(connected):
    """On a busy link a call was held until nothing was queued any more."""
    sender, receiver = connected
    last_sent_at = time.monotonic() + BUSY_SECONDS
    waited_seconds = []

    def send():
        while time.monotonic() < last_sent_at:
            began = time.monotonic()
            sender.send(Echo(text="", bodies=(bytes(BUSY_BYTES),)))
            waited_seconds.append(time.monotonic() - began)
            eventlet.sleep(BUSY_PAUSE_SECONDS)

    def receive_slowly():
        while True:
            receiver.receive()
            eventlet.sleep(0.01)

    reader = eventlet.spawn(receive_slowly)
    for greenthread in [eventlet.spawn(send) for _ in range(BUSY_SENDERS)]:
        greenthread.wait()
    reader.kill()
    assert max(waited_seconds) < BUSY_SECONDS / 2
