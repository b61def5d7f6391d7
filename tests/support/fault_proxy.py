"""Relay that injects faults into the TCP connections of one link.

It runs in greenthreads of the test's process. A link connects the host that
dials, the dialler, with the host that listens, the destination; `forward` is
the direction from the dialler to the destination, `backward` the opposite.
"""

import contextlib
import random
import socket
import struct

import attrs
import eventlet
from eventlet import hubs

CHUNK_BYTES = 16 * 1024
CONNECT_TIMEOUT_SECONDS = 5.0
POLL_SECONDS = 0.01
# A socket that another greenthread closed raises an EOFError or ValueError.
CLOSED_ERRORS = (OSError, EOFError, ValueError)
# With a linger time of 0, closing a socket sends a reset.
RESET_LINGER = struct.pack("ii", 1, 0)


@attrs.frozen(kw_only=True)
class Faults:
    """Active faults of a link.

    `delay_seconds` delays every chunk in both directions. A direction that
    is cut discards its bytes while its connections stay open, as in a
    silent partition. `frozen` delays all bytes until it is false again.
    `truncate_after_bytes` ends a connection after that many bytes were
    relayed backward; a negative number disables this. Each new connection
    is delayed by a random time of up to `reorder_seconds`, so that
    connections overtake each other.
    """

    delay_seconds: float = 0.0
    cut_forward: bool = False
    cut_backward: bool = False
    frozen: bool = False
    truncate_after_bytes: int = -1
    reorder_seconds: float = 0.0


HEALTHY = Faults()
CUT_BOTH_WAYS = Faults(cut_forward=True, cut_backward=True)


class FaultProxy:
    """Relay of one link; its faults can be changed at any time."""

    def __init__(self, *, listen_address, address, port, seed=0):
        """Start to relay from a free port of `listen_address`."""
        self._destination = (address, port)
        self._random = random.Random(seed)
        self._listener = eventlet.listen((listen_address, 0))
        self.listen_address, self.port = self._listener.getsockname()
        self.faults = HEALTHY
        self.connection_count = 0
        self.discarded_bytes = 0
        self._sockets = set()
        self._greenthreads = {eventlet.spawn(self._accept_forever)}

    def set(self, **faults):
        """Replace all faults; without arguments the link is healthy."""
        self.faults = Faults(**faults)

    def cut(self):
        """Discard all bytes in both directions; connections stay open."""
        self.faults = CUT_BOTH_WAYS

    def heal(self, *, reset=True):
        """Remove all faults.

        Connections that lost bytes are unusable; all connections are reset
        unless `reset` is false.
        """
        self.faults = HEALTHY
        if reset:
            self.reset()

    def reset(self):
        """Reset every open connection, on both sides."""
        for sock in list(self._sockets):
            _reset(sock)
        self._sockets.clear()

    def stop(self):
        """Stop listening and close every connection."""
        for greenthread in list(self._greenthreads):
            greenthread.kill()
        self._listener.close()
        for sock in self._sockets:
            sock.close()

    def _accept_forever(self):
        while True:
            try:
                dialler, _ = self._listener.accept()
            except OSError:
                return
            self.handle_connection(dialler)

    def handle_connection(self, dialler):
        """Relay a connection that this or another listener accepted."""
        self.connection_count += 1
        self._sockets.add(dialler)
        self._spawn(self._relay, dialler)

    def _spawn(self, function, *arguments):
        greenthread = eventlet.spawn(function, *arguments)
        self._greenthreads.add(greenthread)
        greenthread.link(self._greenthreads.discard)

    def _relay(self, dialler):
        eventlet.sleep(self._random.uniform(0, self.faults.reorder_seconds))
        if self.faults.cut_forward or self.faults.cut_backward:
            self._discard(dialler)
            return
        try:
            destination = socket.create_connection(
                self._destination, CONNECT_TIMEOUT_SECONDS
            )
        except OSError:
            self._sockets.discard(dialler)
            _reset(dialler)
            return
        destination.settimeout(None)
        self._sockets.add(destination)
        self._spawn(self._pump_forward, dialler, destination)
        self._spawn(self._pump_backward, destination, dialler)

    def _discard(self, dialler):
        """Discard a new connection's bytes without dialling the destination.

        Like a connection whose first packets were lost, it stays unusable
        when the link is healed without a reset.
        """
        for data in self._chunks(dialler):
            self.discarded_bytes += len(data)

    def _pump_forward(self, dialler, destination):
        for data in self._chunks(dialler):
            if self.faults.cut_forward:
                self.discarded_bytes += len(data)
            elif not _send(destination, data):
                break
        self._propagate_end(destination, cut=self.faults.cut_forward)

    def _pump_backward(self, destination, dialler):
        sent_bytes = 0
        for data in self._chunks(destination):
            limit_bytes = self.faults.truncate_after_bytes
            if 0 <= limit_bytes < sent_bytes + len(data):
                _send(dialler, data[: max(0, limit_bytes - sent_bytes)])
                self._truncate(destination, dialler)
                return
            if self.faults.cut_backward:
                self.discarded_bytes += len(data)
            elif not _send(dialler, data):
                break
            sent_bytes += len(data)
        self._propagate_end(dialler, cut=self.faults.cut_backward)

    def _truncate(self, destination, dialler):
        """End the stream to the dialler; reset the destination's side."""
        self._sockets.discard(destination)
        _reset(destination)
        _end_sending(dialler)

    def _propagate_end(self, sock, *, cut):
        """End the stream to `sock`, unless its direction is cut."""
        if not cut:
            _end_sending(sock)

    def _chunks(self, sock):
        """Yield the received data after the delay and any freeze."""
        while True:
            try:
                data = sock.recv(CHUNK_BYTES)
            except CLOSED_ERRORS:
                return
            if not data:
                return
            if self.faults.delay_seconds:
                eventlet.sleep(self.faults.delay_seconds)
            while self.faults.frozen:
                eventlet.sleep(POLL_SECONDS)
            yield data


def _send(sock, data):
    """Send all bytes; return False if the connection has ended."""
    try:
        sock.sendall(data)
    except CLOSED_ERRORS:
        return False
    return True


def _end_sending(sock):
    with contextlib.suppress(OSError):
        sock.shutdown(socket.SHUT_WR)


def _reset(sock):
    """Close a socket so that its peer sees a reset."""
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_LINGER)
        # Otherwise the hub keeps a waiting reader of the closed descriptor,
        # and the next file that gets its number can't be read.
        hubs.notify_opened(sock.fileno())
        sock.close()
