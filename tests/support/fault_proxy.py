"""Relay that injects faults into the TCP connections of one link.

It runs in greenthreads of the test's process. A link leads from the host
that dials to the host that listens; `forward` is the direction from the
dialler, `backward` the other.
"""

import contextlib
import random
import socket
import struct

import attrs
import eventlet

CHUNK_BYTES = 16 * 1024
CONNECT_SECONDS = 5.0
POLL_SECONDS = 0.01
# A socket that another greenthread closed raises an EOFError or ValueError.
CLOSED_ERRORS = (OSError, EOFError, ValueError)
RESET_LINGER = struct.pack("ii", 1, 0)


@attrs.frozen(kw_only=True)
class Faults:
    """Faults of a link at one time.

    `delay_seconds` holds every chunk back in each direction. A cut
    direction swallows its bytes while its connections stay open, as a
    silent partition does. `frozen` holds the bytes until it is lifted.
    `truncate_after_bytes` resets a connection once so many bytes went
    backward; negative never does. `reorder_seconds` is the most by which a
    new connection waits, drawn at random, so that connections overtake each
    other.
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
    """Relay of one link whose faults can change at any time."""

    def __init__(self, *, listen_address, address, port, seed=0):
        """Listen on a free port of `listen_address` and relay at once."""
        self._destination = (address, port)
        self._random = random.Random(seed)
        self._listener = eventlet.listen((listen_address, 0))
        self.listen_address, self.port = self._listener.getsockname()
        self.faults = HEALTHY
        self.connections = 0
        self.swallowed_bytes = 0
        self._sockets = set()
        self._greenthreads = {eventlet.spawn(self._accept_forever)}

    def set(self, **faults):
        """Replace all faults; without arguments the link is healthy."""
        self.faults = Faults(**faults)

    def cut(self):
        """Swallow all bytes in both directions; connections stay open."""
        self.faults = CUT_BOTH_WAYS

    def heal(self, *, reset=True):
        """Remove all faults.

        Connections that lost bytes cannot go on, so that they are reset,
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
            self.take(dialler)

    def take(self, dialler):
        """Relay a connection, also one that another listener accepted."""
        self.connections += 1
        self._sockets.add(dialler)
        self._spawn(self._relay, dialler)

    def _spawn(self, function, *arguments):
        greenthread = eventlet.spawn(function, *arguments)
        self._greenthreads.add(greenthread)
        greenthread.link(self._greenthreads.discard)

    def _relay(self, dialler):
        eventlet.sleep(self._random.uniform(0, self.faults.reorder_seconds))
        if self.faults.cut_forward or self.faults.cut_backward:
            self._swallow(dialler)
            return
        try:
            listener = socket.create_connection(
                self._destination, CONNECT_SECONDS
            )
        except OSError:
            self._sockets.discard(dialler)
            _reset(dialler)
            return
        listener.settimeout(None)
        self._sockets.add(listener)
        self._spawn(self._pump_forward, dialler, listener)
        self._spawn(self._pump_backward, listener, dialler)

    def _swallow(self, dialler):
        """Take a new connection's bytes without connecting it.

        It stays dead when the link is healed without a reset, as a
        connection whose first packets were lost.
        """
        for data in self._chunks(dialler):
            self.swallowed_bytes += len(data)

    def _pump_forward(self, dialler, listener):
        for data in self._chunks(dialler):
            if self.faults.cut_forward:
                self.swallowed_bytes += len(data)
            elif not _send(listener, data):
                break
        self._pass_on_end(listener, cut=self.faults.cut_forward)

    def _pump_backward(self, listener, dialler):
        sent_bytes = 0
        for data in self._chunks(listener):
            bound = self.faults.truncate_after_bytes
            if 0 <= bound < sent_bytes + len(data):
                _send(dialler, data[: max(0, bound - sent_bytes)])
                self._truncate(listener, dialler)
                return
            if self.faults.cut_backward:
                self.swallowed_bytes += len(data)
            elif not _send(dialler, data):
                break
            sent_bytes += len(data)
        self._pass_on_end(dialler, cut=self.faults.cut_backward)

    def _truncate(self, listener, dialler):
        """End the connection in order at the dialler, by reset behind it."""
        self._sockets.discard(listener)
        _reset(listener)
        _end_sending(dialler)

    def _pass_on_end(self, sock, *, cut):
        """Pass the end of a stream on, unless the cut swallows it too."""
        if not cut:
            _end_sending(sock)

    def _chunks(self, sock):
        """Yield what arrives, after the delay and any freeze."""
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
        sock.close()
