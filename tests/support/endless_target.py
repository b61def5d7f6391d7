"""A target whose answers never end."""

import contextlib
import time

import eventlet

from examples import topology as plans
from examples.announcer import Announcer

CHUNK_BYTES = 64 * 1024
HEAD = b"HTTP/1.1 200 OK\r\n"
# What is sent once and what is repeated without end, by kind of answer.
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
PARTS_BY_KIND = {
    "status-line": (b"HTTP/1.1 200 ", b"a" * CHUNK_BYTES),
    "header-line": (HEAD + b"X-A: ", b"a" * CHUNK_BYTES),
    "header-lines": (HEAD, b"X-A: a\r\n" * 1024),
    "no-http": (b"", b"\x00\xff" * CHUNK_BYTES),
    "interim-responses": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 1024),
    "interim-fields": (
        b"",
        b"HTTP/1.1 103 A\r\n" + b"a:b\r\n" * 4096 + b"\r\n",
    ),
    "empty-lines": (b"", b"\r\n" * 1024),
    "chunks": (CHUNKED, b"10000\r\n" + b"a" * 0x10000 + b"\r\n"),
    "tiny-chunks": (CHUNKED, b"2\r\nab\r\n" * 4096),
    "chunk-sizes": (CHUNKED, b"0" * CHUNK_BYTES),
    "chunk-extension": (CHUNKED + b"1;a=", b"a" * CHUNK_BYTES),
    "chunk-extensions": (CHUNKED, b"1;a=" + b"a" * 8192 + b"\r\na\r\n"),
    "trailers": (CHUNKED + b"0\r\n", b"X-A: a\r\n" * 1024),
    "trailer-line": (CHUNKED + b"0\r\nX-A: ", b"a" * CHUNK_BYTES),
    "no-length": (HEAD + b"\r\n", b"a" * CHUNK_BYTES),
    "trickle": (HEAD + b"Content-Length: 100000\r\n\r\n", b"a"),
}
LARGE_BODY_BYTES = 67_000_000
# Complete answers, and bytes behind them.
LARGE_BODY = "large-body"
LARGE_BODY_PARTS = (
    HEAD + b"Content-Length: %d\r\n\r\n" % LARGE_BODY_BYTES,
    b"a" * CHUNK_BYTES,
)
PAUSE_SECONDS_BY_KIND = {"trickle": 0.05}


SLOTS = 16


def start_endless_target(mesh, proxy, *, service, kind, slots=SLOTS):
    """Return an EndlessTarget that is announced to a proxy beside it."""
    host = mesh.topology.hosts_by_name[proxy]
    target = EndlessTarget(kind=kind, address=host.address)
    target.announce(
        proxy=host.server(plans.TARGET_PORT), service=service, slots=slots
    )
    return target


class EndlessTarget:
    """Server in this process that answers every request without end.

    `sent_bytes` are those of all connections, `request_count` the requests
    that it has read, `open_count` those that are still answered.
    """

    def __init__(self, *, kind, address):
        """Listen on a free port of `address`."""
        self._start, self._repeated = (
            LARGE_BODY_PARTS if kind == LARGE_BODY else PARTS_BY_KIND[kind]
        )
        self._pause_seconds = PAUSE_SECONDS_BY_KIND.get(kind, 0.0)
        self._address = address
        self._listener = eventlet.listen((address, 0))
        self.port = self._listener.getsockname()[1]
        self._greenthreads = [eventlet.spawn(self._accept)]
        self._announcer = None
        self.sent_bytes = 0
        self.open_count = 0
        self.request_count = 0

    def announce(self, *, proxy, service, slots):
        """Announce the target to a proxy, and again every second."""
        self._announcer = Announcer(
            proxy=proxy,
            service=service,
            address=self._address,
            port=self.port,
            slots=slots,
            # The port may be one that an earlier target had.
            incarnation=time.time_ns() // 1_000_000,
        )
        self._greenthreads.append(eventlet.spawn(self._announcer.run_forever))

    def stop(self):
        """Withdraw the target and stop accepting."""
        for greenthread in self._greenthreads:
            greenthread.kill()
        self._announcer.withdraw()
        self._listener.close()

    def _accept(self):
        while True:
            connection, _ = self._listener.accept()
            eventlet.spawn_n(self._answer, connection)

    def _answer(self, connection):
        with contextlib.suppress(OSError), contextlib.closing(connection):
            if not connection.recv(CHUNK_BYTES):
                return
            self.open_count += 1
            self.request_count += 1
            try:
                connection.sendall(self._start)
                while True:
                    connection.sendall(self._repeated)
                    self.sent_bytes += len(self._repeated)
                    eventlet.sleep(self._pause_seconds)
            finally:
                self.open_count -= 1
