"""Sockets that stay registered with the loop between reads."""

import io
import socket

import eventlet
import greenlet
import pytest
from eventlet import hubs

from verbenanotch import loop


@pytest.fixture
def pair():
    listening = loop.listen("127.0.0.1", 0, backlog=8)
    near = loop.connect(*listening.getsockname(), timeout_seconds=1)
    far, _ = listening.accept()
    yield near, far
    for sock in (near, far, listening):
        sock.close()


@pytest.fixture
def registrations(monkeypatch):
    """Count how often a descriptor is registered with the loop."""
    hub = hubs.get_hub()
    added = []

    def add(evtype, fileno, *args):
        added.append((evtype, fileno))
        return type(hub).add(hub, evtype, fileno, *args)

    monkeypatch.setattr(hub, "add", add)
    return added


def test_many_reads_need_one_registration(pair, registrations):
    near, far = pair
    for number in range(5):
        near.sendall(b"%d" % number)
        assert far.recv(100) == b"%d" % number
    assert registrations.count((hubs.get_hub().READ, far.fileno())) == 1


def test_a_read_waits_for_bytes_and_for_the_end(pair):
    near, far = pair
    eventlet.spawn_after(0.01, near.sendall, b"late")
    assert far.recv(100) == b"late"
    eventlet.spawn_after(0.01, near.shutdown, socket.SHUT_WR)
    assert far.recv(100) == b""


def test_a_read_ends_at_the_timeout_and_can_be_repeated(pair):
    near, far = pair
    far.settimeout(0.01)
    with pytest.raises(TimeoutError):
        far.recv(100)
    near.sendall(b"x")
    assert far.recv(100) == b"x"


def test_a_read_can_be_interrupted_and_repeated(pair):
    near, far = pair
    with eventlet.Timeout(0.01, False):
        far.recv(100)
    near.sendall(b"x")
    assert far.recv(100) == b"x"


def test_bytes_that_nobody_reads_are_told_once_and_stay(pair):
    near, far = pair
    told = []
    far.on_unread = told.append
    far.register()
    near.sendall(b"x")
    eventlet.sleep(0.05)
    assert told == [far]
    assert far.recv(100) == b"x"


def test_a_closed_socket_leaves_no_registration(pair):
    _, far = pair
    far.register()
    number = far.fileno()
    far.close()
    assert number not in hubs.get_hub().listeners[hubs.get_hub().READ]


def test_a_reset_is_not_taken_for_the_end(pair):
    near, far = pair
    near.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
    near.close()
    with pytest.raises(ConnectionResetError):
        far.recv(100)


def test_a_paused_reader_reads_nothing(pair):
    near, far = pair
    near.sendall(b"x")
    source = loop.SocketReader(far)
    source.is_paused = True
    assert io.BufferedReader(source).peek(1) == b""


def test_what_is_written_leaves_together(pair):
    near, far = pair
    writer = loop.SocketWriter(near)
    writer.write(b"head ")
    writer.writelines([b"and ", b"body"])
    writer.flush()
    writer.flush()
    assert far.recv(100) == b"head and body"


def test_large_pieces_are_written_whole(pair):
    near, far = pair
    data = b"x" * (2 * loop.JOINED_BYTES)
    writer = loop.SocketWriter(near)
    writer.writelines([b"head", data])
    eventlet.spawn(writer.flush)
    received = b""
    while len(received) < len(data) + 4:
        received += far.recv(65536)
    assert received == b"head" + data


def test_an_idle_greenthread_takes_the_next_task():
    workers = loop.Workers(max_idle=1)
    seen = []

    def note(value):
        seen.append((value, greenlet.getcurrent()))

    workers.run(note, 1)
    eventlet.sleep(0)
    workers.run(note, 2)
    eventlet.sleep(0)
    assert [value for value, _ in seen] == [1, 2]
    assert seen[0][1] is seen[1][1]


def test_tasks_that_wait_run_beside_each_other():
    workers = loop.Workers(max_idle=1)
    going, done = eventlet.Event(), []

    def wait(value):
        going.wait()
        done.append(value)

    for number in range(3):
        workers.run(wait, number)
    eventlet.sleep(0)
    going.send()
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


def test_a_timer_that_a_task_left_behind_costs_no_later_task(capsys):
    workers = loop.Workers(max_idle=1)
    seen = []
    workers.run(eventlet.Timeout, 0.01)
    eventlet.sleep(0.05)
    workers.run(seen.append, 1)
    eventlet.sleep(0)
    assert seen == [1]
