"""A target that closes and resets its connections at any moment."""

import collections
import contextlib
import json
import random
import re
import socket
import time
import urllib.parse

import attrs
import eventlet

from examples.announcer import Announcer
from tests.support.leaving_callers import RESET_ON_CLOSE

READ_BYTES = 64 * 1024
MILLISECONDS_PER_SECOND = 1000
MAX_LATE_CLOSE_SECONDS = 0.05
LENGTH_PATTERN = re.compile(rb"content-length: *(\d+)", re.I)
ID_PATTERN = re.compile(rb"x-request-id: *(\S+)", re.I)
PLAIN = "plain"
# Of requests that the target runs.
ENDINGS = (
    "close-after",
    "reset-after",
    "close-before",
    "reset-before",
    "close-within",
    "reset-within",
)
# Of requests with a body that it does not run; the answer comes before the
# body is read, and the connection is closed with or without reading the rest.
EARLY = ("early-close", "early-read")
EARLY_STATUS = 413


@attrs.define(kw_only=True)
class RudeTarget:
    """Server in this process that breaks off at times, with a fixed seed.

    `runs` counts the runs by request id, `refused` has the ids of the
    requests that it answered before it had read them. `rude_share` is the
    share of requests, and `refused_share` that of new connections, that are
    not treated as usual.
    """

    # Manners of requests that are answered before their body is read.
    early_manners = EARLY

    address: str
    seed: int
    rude_share: float = 0.3
    refused_share: float = 0.1
    runs: collections.Counter = attrs.field(factory=collections.Counter)
    refused: set = attrs.field(factory=set)
    port: int = 0
    _chance: object = None
    _listener: object = None
    _announcer: object = None
    _greenthreads: list = attrs.field(factory=list)

    def start(self, *, proxy, service, slots):
        """Listen on a free port and announce the target to a proxy."""
        self._chance = random.Random(self.seed)
        self._listener = eventlet.listen((self.address, 0))
        self.port = self._listener.getsockname()[1]
        self._announcer = Announcer(
            proxy=proxy,
            service=service,
            address=self.address,
            port=self.port,
            slots=slots,
            incarnation=time.time_ns() // 1_000_000,
        )
        self._greenthreads = [
            eventlet.spawn(self._accept),
            eventlet.spawn(self._announcer.run_forever),
        ]

    def stop(self):
        """Stop accepting."""
        for greenthread in self._greenthreads:
            greenthread.kill()
        self._listener.close()

    def _accept(self):
        while True:
            connection, _ = self._listener.accept()
            eventlet.spawn_n(self._serve, connection)

    def _serve(self, connection):
        if self._chance.random() < self.refused_share:
            self._end(connection, resets=self._chance.random() < 0.5)
            return
        reader = connection.makefile("rb")
        with contextlib.suppress(OSError), contextlib.closing(connection):
            while self._answer_one(connection, reader):
                pass

    def _answer_one(self, connection, reader):
        """Read and answer a request; return whether to read another one."""
        head = b""
        while not head.endswith(b"\r\n\r\n"):
            line = reader.readline()
            if not line:
                return False
            head += line
        target = head.split(b" ", 2)[1].decode()
        if not target.startswith("/pay"):
            connection.sendall(_answer(200, b"{}"))
            return True
        length = LENGTH_PATTERN.search(head)
        body_bytes = int(length[1]) if length else 0
        request_id = ID_PATTERN.search(head)[1].decode()
        manner = self._manner(body_bytes)
        if manner in self.early_manners:
            self.refused.add(request_id)
            return self._answer_early(connection, reader, manner, request_id)
        if len(reader.read(body_bytes)) < body_bytes:
            return False
        self.runs[request_id] += 1
        return self._run(connection, manner, request_id, target)

    def _manner(self, body_bytes):
        if self._chance.random() >= self.rude_share:
            return PLAIN
        return self._chance.choice(ENDINGS + (EARLY * 2 if body_bytes else ()))

    def _answer_early(self, connection, reader, manner, request_id):
        body = json.dumps({"request_id": request_id}).encode()
        connection.sendall(_answer(EARLY_STATUS, body, closes=True))
        if manner == "early-read":
            connection.shutdown(socket.SHUT_WR)
            while reader.read1(READ_BYTES):
                pass
        return False

    def _run(self, connection, manner, request_id, target):
        query = dict(
            urllib.parse.parse_qsl(urllib.parse.urlsplit(target).query)
        )
        eventlet.sleep(
            int(query.get("latency_ms", 0)) / MILLISECONDS_PER_SECOND
        )
        padding = "x" * int(query.get("padding_bytes", 0))
        body = json.dumps({"request_id": request_id, "padding": padding})
        answer = _answer(200, body.encode())
        kind, _, moment = manner.partition("-")
        if moment == "within":
            answer = answer[: self._chance.randrange(1, len(answer))]
        if moment != "before":
            connection.sendall(answer)
        if moment == "after":
            eventlet.sleep(self._chance.random() * MAX_LATE_CLOSE_SECONDS)
        if manner == PLAIN:
            return True
        self._end(connection, resets=kind == "reset")
        return False

    def _end(self, connection, *, resets):
        if resets:
            connection.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
            )
        else:
            with contextlib.suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)
        connection.close()


def _answer(status, body, *, closes=False):
    head = f"HTTP/1.1 {status} Any\r\nContent-Length: {len(body)}\r\n"
    if closes:
        head += "Connection: close\r\n"
    return f"{head}Content-Type: application/json\r\n\r\n".encode() + body
