"""Open-loop load on several HTTP paths at a time, timed from the due time."""

import collections
import time

import attrs
import eventlet
from hdrh.histogram import HdrHistogram

LOWEST_US = 1
HIGHEST_US = 60_000_000
DIGITS = 3
RECEIVE_BYTES = 64 * 1024
OK_PREFIX = b"HTTP/1.1 200"


def make_histogram():
    """Return an empty histogram of microseconds."""
    return HdrHistogram(LOWEST_US, HIGHEST_US, DIGITS)


@attrs.define(kw_only=True)
class Path:
    """One way to the target, with its latencies and free connections."""

    name: str
    address: str
    port: int
    request: bytes
    histogram: HdrHistogram = attrs.field(factory=make_histogram)
    answered: int = 0
    refused: int = 0
    failed: int = 0
    _free: collections.deque = attrs.field(factory=collections.deque)

    def ask(self, due):
        """Send one request and note its latency from `due`."""
        try:
            sock = self._free.pop() if self._free else self._connect()
            sock.sendall(self.request)
            ok = _read_answer(sock)
        except (OSError, EOFError, ValueError):
            self.failed += 1
            return
        self._free.append(sock)
        if not ok:
            self.refused += 1
            return
        self.answered += 1
        latency_us = int((time.perf_counter() - due) * 1e6)
        self.histogram.record_value(max(LOWEST_US, latency_us))

    def _connect(self):
        sock = eventlet.connect((self.address, self.port))
        sock.setsockopt(6, 1, 1)
        return sock

    def percentiles_ms(self):
        """Return p50, p90 and p99 in milliseconds."""
        return tuple(
            self.histogram.get_value_at_percentile(p) / 1000
            for p in (50, 90, 99)
        )


def make_request(*, address, path="/pay/1", headers=""):
    """Return the bytes of a GET."""
    head = f"GET {path} HTTP/1.1\r\nHost: {address}\r\n{headers}\r\n"
    return head.encode()


def run_open_loop(paths, *, rate, seconds):
    """Send `rate` requests a second to the paths in turn.

    A late start counts against the latency, as a caller would see it.
    """
    pool = eventlet.GreenPool(4000)
    started = time.perf_counter()
    for number in range(int(rate * seconds)):
        due = started + number / rate
        wait = due - time.perf_counter()
        if wait > 0:
            eventlet.sleep(wait)
        pool.spawn_n(paths[number % len(paths)].ask, due)
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
        raise EOFError("the connection has ended")
    return data
