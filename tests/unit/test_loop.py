"""Sockets that stay registered with the hub, and reused greenthreads."""

import contextlib
import gc
import io
import itertools
import socket
import tracemalloc
import weakref

import eventlet
import greenlet
import pytest
from eventlet import hubs

from tests.support.leaving_callers import RESET_ON_CLOSE
from verbenanotch import loop

SENDERS = 400
SOCKET_PAIRS = 100
MAX_SOCKET_BYTES = 1400
# A bound that is stated in the design of the request path.
MAX_ALL_AHEAD_BYTES = 16 * 1024 * 1024


class Argument:
    """An object that can be referred to weakly."""


@pytest.fixture
def sockets():
    listener = loop.listen("127.0.0.1", 0, backlog=8)
    client = loop.connect(*listener.getsockname(), timeout_seconds=1)
    server, _ = listener.accept()
    yield client, server
    for sock in (client, server, listener):
        sock.close()


@pytest.fixture
def registrations(monkeypatch):
    """Record each registration of a descriptor with the hub."""
    hub = hubs.get_hub()
    added = []

    def add(evtype, fileno, *args):
        added.append((evtype, fileno))
        return type(hub).add(hub, evtype, fileno, *args)

    monkeypatch.setattr(hub, "add", add)
    return added


def test_many_reads_need_one_registration(sockets, registrations):
    client, server = sockets
    for number in range(5):
        client.sendall(b"%d" % number)
        assert server.recv(100) == b"%d" % number
    assert registrations.count((hubs.get_hub().READ, server.fileno())) == 1


def test_a_read_waits_for_data_and_for_the_end_of_the_stream(sockets):
    client, server = sockets
    eventlet.spawn_after(0.01, client.sendall, b"late")
    assert server.recv(100) == b"late"
    eventlet.spawn_after(0.01, client.shutdown, socket.SHUT_WR)
    assert server.recv(100) == b""


def test_a_read_times_out_and_can_be_repeated(sockets):
    client, server = sockets
    server.settimeout(0.01)
    with pytest.raises(TimeoutError):
        server.recv(100)
    client.sendall(b"x")
    assert server.recv(100) == b"x"


def test_a_read_can_be_interrupted_and_repeated(sockets):
    client, server = sockets
    with eventlet.Timeout(0.01, False):
        server.recv(100)
    client.sendall(b"x")
    assert server.recv(100) == b"x"


def test_unread_data_is_reported_once_and_stays_readable(sockets):
    client, server = sockets
    reported = []
    server.on_unread = reported.append
    server.register()
    client.sendall(b"x")
    eventlet.sleep(0.05)
    assert reported == [server]
    assert server.recv(100) == b"x"


def test_bytes_read_ahead_are_returned_by_later_reads(sockets):
    client, server = sockets
    client.sendall(b"abc")
    eventlet.sleep(0.05)
    assert not server.read_ahead()
    client.sendall(b"de")
    assert server.recv(2) == b"ab"
    first_received_at = server.received_at
    buffer = bytearray(10)
    assert server.recv_into(buffer) == 1
    assert server.received_at == first_received_at
    assert server.recv(100) == b"de"
    assert server.received_at > first_received_at


def test_the_end_of_a_stream_is_seen_behind_unread_bytes(sockets):
    client, server = sockets
    client.sendall(b"abc")
    client.close()
    eventlet.sleep(0.05)
    assert server.read_ahead()
    assert server.recv(100) == b"abc"
    assert server.recv(100) == b""


def test_bytes_that_are_read_ahead_are_bounded(sockets):
    client, server = sockets
    sender = eventlet.spawn(client.sendall, b"x" * (1024 * 1024))
    for _ in range(20):
        eventlet.sleep(0.01)
        assert not server.read_ahead()
    assert server.is_ahead_full
    sender.kill()


def test_nothing_is_read_ahead_of_a_greenthread_that_reads(sockets):
    client, server = sockets
    reader = eventlet.spawn(server.recv, 100)
    eventlet.sleep(0.01)
    client.sendall(b"abc")
    assert not server.read_ahead()
    assert reader.wait() == b"abc"


def test_a_closed_socket_leaves_no_registration(sockets):
    _, server = sockets
    server.register()
    descriptor = server.fileno()
    server.close()
    assert descriptor not in hubs.get_hub().listeners[hubs.get_hub().READ]


def test_a_reset_is_not_treated_as_the_end_of_the_stream(sockets):
    client, server = sockets
    client.setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0"
    )
    client.close()
    with pytest.raises(ConnectionResetError):
        server.recv(100)


def send_until_failure(sock):
    with contextlib.suppress(OSError):
        while True:
            sock.sendall(bytes(100_000))


@pytest.mark.parametrize(
    "take_error",
    [
        send_until_failure,
        lambda sock: sock.send_at_once(b"a"),
        lambda sock: sock.recv(1),
        lambda sock: sock.receive_arrived(1),
        loop.LoopSocket.peek,
        loop.LoopSocket.has_ended,
        loop.LoopSocket.read_ahead,
    ],
)
@pytest.mark.parametrize("part", [b"", b"part"])
def test_a_reset_seen_once_is_not_followed_by_an_end_of_the_stream(
    sockets, take_error, part
):
    """The kernel tells the error only once, whoever asks for it."""
    client, server = sockets
    client.sendall(part)
    client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    client.close()
    with contextlib.suppress(OSError):
        take_error(server)
    with pytest.raises(OSError, match="reset|Broken pipe"):
        while server.recv(100):
            pass
    with pytest.raises(OSError):
        server.recv_into(bytearray(100))


def test_a_paused_reader_reads_nothing(sockets):
    client, server = sockets
    client.sendall(b"x")
    source = loop.SocketReader(server)
    source.is_paused = True
    assert io.BufferedReader(source).peek(1) == b""


def test_buffered_writes_are_sent_together(sockets):
    client, server = sockets
    writer = loop.SocketWriter(client)
    writer.write(b"head ")
    writer.writelines([b"and ", b"body"])
    writer.flush()
    writer.flush()
    assert server.recv(100) == b"head and body"


def test_large_chunks_are_sent_completely(sockets):
    client, server = sockets
    data = b"x" * (2 * loop.MAX_JOINED_BYTES)
    writer = loop.SocketWriter(client)
    writer.writelines([b"head", data])
    eventlet.spawn(writer.flush)
    received = b""
    while len(received) < len(data) + 4:
        received += server.recv(65536)
    assert received == b"head" + data


def test_an_idle_greenthread_runs_the_next_task():
    workers = loop.Workers(max_idle=1)
    seen = []

    def record(value):
        seen.append((value, greenlet.getcurrent()))

    workers.run(record, 1)
    eventlet.sleep(0)
    workers.run(record, 2)
    eventlet.sleep(0)
    assert [value for value, _ in seen] == [1, 2]
    assert seen[0][1] is seen[1][1]


@pytest.mark.parametrize("task_count", [1, 2])
def test_an_idle_greenthread_does_not_keep_what_its_tasks_got(task_count):
    workers = loop.Workers(max_idle=1)
    arguments = [Argument() for _ in range(task_count)]
    kept = weakref.WeakSet(arguments)
    while arguments:
        workers.run(id, arguments.pop())
        eventlet.sleep(0)
    gc.collect()
    assert not kept


def test_blocked_tasks_run_concurrently():
    workers = loop.Workers(max_idle=1)
    release, done = eventlet.Event(), []

    def wait(value):
        release.wait()
        done.append(value)

    for number in range(3):
        workers.run(wait, number)
    eventlet.sleep(0)
    release.send()
    eventlet.sleep(0)
    assert sorted(done) == [0, 1, 2]


def test_a_task_that_fails_leaves_its_greenthread_usable(capsys):
    workers = loop.Workers(max_idle=1)
    seen = []
    workers.run(lambda: 1 / 0)
    eventlet.sleep(0)
    workers.run(seen.append, 1)
    eventlet.sleep(0)
    assert seen == [1]
    assert "ZeroDivisionError" in capsys.readouterr().err


def test_an_uncancelled_timeout_of_a_task_does_not_lose_the_next_task(capsys):
    workers = loop.Workers(max_idle=1)
    seen = []
    workers.run(eventlet.Timeout, 0.01)
    eventlet.sleep(0.05)
    workers.run(seen.append, 1)
    eventlet.sleep(0)
    assert seen == [1]


def test_an_aborted_socket_fails_although_the_peer_goes_on_sending(sockets):
    """Guard against a read that lasts as long as its peer sends."""
    client, server = sockets

    def send_forever():
        with contextlib.suppress(OSError):
            while True:
                server.sendall(b"x" * 4096)
                eventlet.sleep(0)

    sender = eventlet.spawn(send_forever)
    eventlet.spawn_after(0.05, client.abort)
    with eventlet.Timeout(5), pytest.raises(ConnectionAbortedError):
        while client.recv(4096):
            pass
    sender.kill()


@pytest.mark.parametrize("unread", [b"", b"x" * 100])
@pytest.mark.parametrize("resets", [False, True])
def test_the_end_of_a_connection_is_seen_behind_unread_bytes(
    sockets, unread, resets
):
    client, server = sockets
    assert not server.has_ended()
    client.sendall(unread)
    eventlet.sleep(0.01)
    assert not server.has_ended()
    if resets:
        client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    client.close()
    eventlet.sleep(0.01)
    assert server.has_ended()


def test_sending_a_large_answer_does_not_copy_what_is_left(sockets):
    client, server = sockets
    data = bytes(16 * 1024 * 1024)
    tracemalloc.start()
    try:
        greenthread = eventlet.spawn(server.sendall, data)
        eventlet.sleep(0.05)
        assert tracemalloc.get_traced_memory()[1] < len(data) / 16
    finally:
        tracemalloc.stop()
    received = 0
    while received < len(data):
        received += len(client.recv(1024 * 1024))
    greenthread.wait()


def test_a_send_is_blocked_only_while_the_peer_reads_nothing(sockets):
    client, server = sockets
    assert not server.is_blocked_for(0)
    greenthread = eventlet.spawn(server.sendall, bytes(16 * 1024 * 1024))
    eventlet.sleep(0.05)
    assert not server.is_blocked_for(0.01)
    eventlet.sleep(0.05)
    assert server.is_blocked_for(0.01)
    assert not server.is_blocked_for(60)
    # Too little for the send to continue.
    client.recv(64 * 1024)
    eventlet.sleep(0.05)
    assert not server.is_blocked_for(0.01)
    server.abort()
    with pytest.raises(OSError, match="Broken pipe"):
        greenthread.wait()
    assert not server.is_blocked_for(0)


@pytest.fixture
def senders():
    """Connect many clients that send much; return the servers' sockets."""
    listener = loop.listen("127.0.0.1", 0, backlog=SENDERS)
    clients, servers = [], []
    for _ in range(SENDERS):
        client = loop.connect(*listener.getsockname(), timeout_seconds=5)
        clients.append(client)
        servers.append(listener.accept()[0])
        client.sendall(bytes(64 * 1024))
    yield servers
    for sock in (*clients, *servers, listener):
        sock.close()


def read_all_ahead(servers):
    """Read ahead from all sockets; return the bytes that are kept."""
    tracemalloc.start()
    try:
        for _ in range(5):
            eventlet.sleep(0.01)
            for server in servers:
                assert not server.read_ahead()
        return tracemalloc.get_traced_memory()[0]
    finally:
        tracemalloc.stop()


def test_bytes_that_all_sockets_read_ahead_are_bounded(senders):
    assert read_all_ahead(senders) < MAX_ALL_AHEAD_BYTES * 1.25
    assert all(server.is_ahead_full for server in senders)
    for server in senders:
        server.settimeout(1)
        left = 64 * 1024
        while left:
            left -= len(server.recv(left))
    assert not any(server.is_ahead_full for server in senders)


def test_closed_sockets_leave_the_room_of_what_they_read_ahead(
    sockets, senders
):
    client, server = sockets
    read_all_ahead(senders)
    for sender in senders:
        sender.close()
    assert not server.is_ahead_full
    client.sendall(b"abc")
    eventlet.sleep(0.05)
    assert not server.read_ahead()
    assert server.recv(100) == b"abc"


@pytest.mark.parametrize("has_read_ahead", [False, True])
def test_a_socket_without_bytes_read_ahead_keeps_no_room_for_them(
    has_read_ahead,
):
    tracemalloc.start()
    pairs = [
        [loop.LoopSocket(sock) for sock in socket.socketpair()]
        for _ in range(SOCKET_PAIRS)
    ]
    if has_read_ahead:
        for client, server in pairs:
            client.sendall(b"a")
            server.read_ahead()
            server.recv(1)
    used_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    for sock in itertools.chain(*pairs):
        sock.close()
    assert used_bytes / SOCKET_PAIRS < 2 * MAX_SOCKET_BYTES
