"""Test each fault of the fault proxy against an echo server."""

import contextlib
import socket

import eventlet
import pytest
from eventlet import hubs

from tests.support.fault_proxy import FaultProxy

TIMEOUT_SECONDS = 5.0
SILENCE_SECONDS = 0.2


@pytest.fixture
def relay():
    listener = eventlet.listen(("127.0.0.1", 0))
    server = eventlet.spawn(eventlet.serve, listener, echo)
    address, port = listener.getsockname()
    proxy = FaultProxy(listen_address="127.0.0.1", address=address, port=port)
    yield proxy
    proxy.stop()
    server.kill()
    listener.close()


def echo(sock, _):
    with contextlib.suppress(OSError):
        while data := sock.recv(4096):
            sock.sendall(data)


@pytest.fixture
def dial(relay):
    with contextlib.ExitStack() as stack:
        yield lambda: stack.enter_context(
            socket.create_connection(
                ("127.0.0.1", relay.port), TIMEOUT_SECONDS
            )
        )


def exchange(sock, data):
    sock.sendall(data)
    return sock.recv(4096)


def assert_silent(sock, data):
    sock.settimeout(SILENCE_SECONDS)
    with pytest.raises(TimeoutError):
        exchange(sock, data)
    sock.settimeout(TIMEOUT_SECONDS)


def test_the_relay_forwards_bytes_and_the_end_of_a_stream(dial):
    sock = dial()
    assert exchange(sock, b"hello") == b"hello"
    sock.shutdown(socket.SHUT_WR)
    assert sock.recv(1) == b""


def assert_reset(sock):
    """Check for a reset: after an orderly end one send would succeed."""
    assert sock.recv(1) == b""
    with pytest.raises(BrokenPipeError):
        sock.sendall(b"x")


@pytest.mark.parametrize("direction", ["cut_forward", "cut_backward"])
def test_a_cut_discards_bytes_and_healing_without_reset_resumes(
    relay, dial, direction
):
    sock = dial()
    exchange(sock, b"a")
    relay.set(**{direction: True})
    assert_silent(sock, b"lost")
    assert relay.discarded_bytes == 4
    relay.heal(reset=False)
    assert exchange(sock, b"again") == b"again"


def test_new_connections_get_no_reply_during_a_cut(relay, dial):
    relay.cut()
    assert_silent(dial(), b"lost")
    relay.heal()
    assert exchange(dial(), b"new") == b"new"


def test_a_freeze_delays_bytes_until_it_ends(relay, dial):
    sock = dial()
    relay.set(frozen=True)
    assert_silent(sock, b"delayed")
    relay.set()
    assert sock.recv(4096) == b"delayed"


def test_a_reset_is_visible_to_the_dialler(relay, dial):
    sock = dial()
    exchange(sock, b"a")
    relay.reset()
    assert_reset(sock)


def test_a_reset_leaves_no_reader_of_a_closed_descriptor(relay, dial):
    """Guard against a process that can't be started afterwards.

    The pipe to a new process may get the number of the closed descriptor.
    """
    sock = dial()
    assert exchange(sock, b"hello") == b"hello"
    filenos = {relayed.fileno() for relayed in relay._sockets}
    relay.reset()
    eventlet.sleep(0.05)
    readers = hubs.get_hub().get_readers()
    assert not filenos & {listener.fileno for listener in readers}


def test_a_stream_is_truncated_after_the_given_bytes(relay, dial):
    relay.set(truncate_after_bytes=3)
    sock = dial()
    assert exchange(sock, b"hello") == b"hel"
    assert sock.recv(4096) == b""


def test_connections_overtake_each_other(relay, dial):
    relay.set(reorder_seconds=0.5)
    socks = [dial() for _ in range(6)]
    order = []

    def send_byte(number):
        socks[number].sendall(b"x")
        socks[number].recv(1)
        order.append(number)

    greenthreads = [eventlet.spawn(send_byte, number) for number in range(6)]
    for greenthread in greenthreads:
        greenthread.wait()
    assert sorted(order) == list(range(6))
    assert order != list(range(6))


def test_a_refused_destination_resets_the_dialler():
    proxy = FaultProxy(listen_address="127.0.0.1", address="127.0.0.1", port=1)
    sock = socket.create_connection(("127.0.0.1", proxy.port), TIMEOUT_SECONDS)
    with sock:
        assert_reset(sock)
    proxy.stop()
