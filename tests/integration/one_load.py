"""Put one kind of load on a proxy, in a process of its own.

Run as `python -m tests.integration.one_load KIND ADDRESS`.
"""

import contextlib
import socket
import sys

import eventlet

from examples import topology as plans
from tests.integration.test_large_bodies import (
    ask,
    send_again_and_again,
    send_chunks_without_end,
    send_large_requests,
)
from tests.integration.test_large_frames import send_frames_again_and_again

HEAD_LINE = b"X-A: " + b"a" * 7000 + b"\r\n"
HALF_HEAD = b"GET /pay/1 HTTP/1.1\r\nHost: a\r\n" + HEAD_LINE * 8


def ask_again_and_again(address):
    """Ask on new connections and leave the answers unread."""
    while True:
        with (
            contextlib.suppress(OSError),
            contextlib.closing(ask("POST", address)) as sock,
        ):
            sock.recv(1)
            eventlet.sleep(2.0)
        eventlet.sleep(0.05)


def hold_half_head(address):
    """Send most of a head again and again; wait until the proxy closes."""
    while True:
        with contextlib.suppress(OSError):
            sock = eventlet.connect((address, plans.CALLER_PORT))
            with contextlib.closing(sock):
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 65536)
                sock.sendall(HALF_HEAD)
                while sock.recv(4096):
                    pass
        eventlet.sleep(0.2)


def send_chunks(address):
    send_again_and_again(send_chunks_without_end, address)


def send_requests(address):
    send_again_and_again(send_large_requests, address)


# Each kind with its number of connections.
LOADS_BY_KIND = {
    "unread-answers": (ask_again_and_again, 20),
    "chunks": (send_chunks, 20),
    "large-requests": (send_requests, 20),
    "frames": (send_frames_again_and_again, 60),
    "half-heads": (hold_half_head, 1500),
}


def main(kind, address):
    load, count = LOADS_BY_KIND[kind]
    for _ in range(count):
        eventlet.spawn(load, address)
    eventlet.sleep(3600)


if __name__ == "__main__":
    main(*sys.argv[1:])
