"""Callers that send a body but its end, and stay connected.

When their connection is closed they connect and send again.
"""

import contextlib
import pathlib
import time

import attrs
import eventlet

READ_BYTES = 64 * 1024
# A connection without progress for this long has sent what it can.
STANDSTILL_SECONDS = 2.0
MAX_SENDING_SECONDS = 20.0
SAMPLE_SECONDS = 0.05
RECONNECT_SECONDS = 0.05
ESTABLISHED = "01"
KILOBYTE = 1000
KIBIBYTE = 1024
HEAD = (
    b"POST /pay/1 HTTP/1.1\r\nHost: a\r\nContent-Type: text/plain\r\n"
    b"X-Request-Timeout-Ms: 30000\r\n"
)


@attrs.frozen(kw_only=True)
class Chunked:
    """A body of `size` bytes in chunks without the last one.

    Each chunk has `chunk` bytes and an extension of `extension` bytes.
    """

    size: int
    chunk: int
    extension: int = 0


@attrs.frozen(kw_only=True)
class Sized:
    """A body of `size` bytes, one of which is missing."""

    size: int


def unfinished(body):
    """Return what a caller sends for a body of one of the classes above."""
    match body:
        case Chunked(size=size, chunk=chunk, extension=extension):
            extensions = b";" + b"e" * (extension - 1) if extension else b""
            piece = b"%x%s\r\n%s\r\n" % (chunk, extensions, b"x" * chunk)
            chunks = piece * (size // chunk)
            return HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + chunks
        case Sized(size=size):
            length = b"Content-Length: %d\r\n\r\n" % size
            return HEAD + length + b"x" * (size - 1)


class Crowd:
    """Callers of one address; use it as a context manager.

    Once entered, each has sent what it could. `peak_memory_kb` is the most
    memory of the process `pid` meanwhile, unread bytes included, and
    `peak_descriptors` the most descriptors. `sample` renews both.
    """

    def __init__(self, *, count, address, port, data, pid):
        """Send `data` on `count` connections."""
        self._count = count
        self._endpoint = (address, port)
        self._data = data
        self._pid = pid
        self._callers = []
        self._sent_bytes = 0
        self.peak_memory_kb = 0
        self.peak_descriptors = 0

    def __enter__(self):
        """Connect, send and wait until nobody makes progress."""
        self._callers = [
            eventlet.spawn(self._call_again_and_again)
            for _ in range(self._count)
        ]
        started = progressed = time.monotonic()
        sent_bytes = -1
        while (now := time.monotonic()) - progressed < STANDSTILL_SECONDS:
            if now - started > MAX_SENDING_SECONDS:
                break
            if self._sent_bytes != sent_bytes:
                sent_bytes, progressed = self._sent_bytes, now
            self.sample()
            eventlet.sleep(SAMPLE_SECONDS)
        return self

    def __exit__(self, *_):
        """Close all connections."""
        for caller in self._callers:
            caller.kill()

    def sample(self):
        """Measure the process now."""
        memory_kb = resident_kb(self._pid) + unread_kb(self._endpoint[0])
        self.peak_memory_kb = max(self.peak_memory_kb, memory_kb)
        self.peak_descriptors = max(
            self.peak_descriptors, descriptors(self._pid)
        )

    def _call_again_and_again(self):
        while True:
            with contextlib.suppress(OSError):
                sock = eventlet.connect(self._endpoint)
                with contextlib.closing(sock):
                    self._call(sock)
            eventlet.sleep(RECONNECT_SECONDS)

    def _call(self, sock):
        unsent = memoryview(self._data)
        while unsent:
            sent = sock.send(unsent[:READ_BYTES])
            self._sent_bytes += sent
            unsent = unsent[sent:]
        while sock.recv(READ_BYTES):
            pass


def resident_kb(pid):
    """Return the resident memory of a process, in kilobytes."""
    status = pathlib.Path(f"/proc/{pid}/status").read_text(encoding="utf-8")
    line = next(x for x in status.splitlines() if x.startswith("VmRSS"))
    return int(line.split()[1]) * KIBIBYTE // KILOBYTE


def unread_kb(address):
    """Return what connections to an address have not read, in kilobytes."""
    octets = reversed(address.split("."))
    local = "".join(f"{int(octet):02X}" for octet in octets)
    unread_bytes = 0
    table = pathlib.Path("/proc/net/tcp").read_text(encoding="ascii")
    for line in table.splitlines()[1:]:
        _, endpoint, _, state, queues, *_ = line.split()
        if state == ESTABLISHED and endpoint.startswith(local):
            unread_bytes += int(queues.partition(":")[2], 16)
    return unread_bytes // KILOBYTE


def descriptors(pid):
    """Return the number of open descriptors of a process."""
    return len(list(pathlib.Path(f"/proc/{pid}/fd").iterdir()))
