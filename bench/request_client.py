"""Open-loop load on several HTTP paths.

Latencies are measured from the time at which a request was due.
"""

import collections
import time

import attrs
import eventlet
from hdrh.histogram import HdrHistogram

LOWEST_LATENCY_US = 1
HIGHEST_LATENCY_US = 60_000_000
SIGNIFICANT_DIGITS = 3
RECEIVE_BYTES = 64 * 1024
OK_PREFIX = b"HTTP/1.1 200"


def make_histogram():
    """Return an empty histogram of latencies in microseconds."""
    return HdrHistogram(
        LOWEST_LATENCY_US, HIGHEST_LATENCY_US, SIGNIFICANT_DIGITS
    )


@attrs.define(kw_only=True)
class MeasuredPath:
    """One path to the target with its latencies and idle connections."""

    name: str
    address: str
    port: int
    request: bytes
    histogram: HdrHistogram = attrs.field(factory=make_histogram)
    answered: int = 0
    refused: int = 0
    failed: int = 0
    _idle: collections.deque = attrs.field(factory=collections.deque)

    def send_request(self, due_at):
        """Send one request and record its latency from `due_at`.

        `due_at` is on the clock of `time.perf_counter`, in seconds.
        """
        try:
            sock = self._idle.pop() if self._idle else self._connect()
            sock.sendall(self.request)
            is_ok = _read_answer(sock)
        except (OSError, EOFError, ValueError):
            self.failed += 1
            return
        self._idle.append(sock)
        if not is_ok:
            self.refused += 1
            return
        self.answered += 1
        latency_us = int((time.perf_counter() - due_at) * 1e6)
        self.histogram.record_value(max(LOWEST_LATENCY_US, latency_us))

    def _connect(self):
        sock = eventlet.connect((self.address, self.port))
        # IPPROTO_TCP, TCP_NODELAY
        sock.setsockopt(6, 1, 1)
        return sock

    def percentiles_ms(self):
        """Return p50, p90 and p99 in milliseconds."""
        return tuple(
            self.histogram.get_value_at_percentile(p) / 1000
            for p in (50, 90, 99)
        )


def make_request(*, address, path="/pay/1", headers=""):
    """Return the bytes of a GET request."""
    head = f"GET {path} HTTP/1.1\r\nHost: {address}\r\n{headers}\r\n"
    return head.encode()


def run_open_loop(paths, *, rate, seconds):
    """Send `rate` requests a second to the paths in turn.

    If a request starts late, the delay is part of its latency, as for a real
    caller.
    """
    pool = eventlet.GreenPool(4000)
    started = time.perf_counter()
    for number in range(int(rate * seconds)):
        due_at = started + number / rate
        delay = due_at - time.perf_counter()
        if delay > 0:
            eventlet.sleep(delay)
        pool.spawn_n(paths[number % len(paths)].send_request, due_at)
    pool.waitall()


def _read_answer(sock):
    """Read one answer; return whether its status is 200."""
    data = b""
    while b"\r\n\r\n" not in data:
        data += _receive(sock)
    head, _, body = data.partition(b"\r\n\r\n")
    length = 0
    for line in head.split(b"\r\n"):
        if line.lower().startswith(b"content-length:"):
            length = int(line.split(b":")[1])
    missing = length - len(body)
    while missing > 0:
        missing -= len(_receive(sock))
    return head.startswith(OK_PREFIX)


def _receive(sock):
    data = sock.recv(RECEIVE_BYTES)
    if not data:
        raise EOFError("the connection was closed")
    return data
