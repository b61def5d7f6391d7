"""A caller that sends requests of many kinds on a kept connection."""

import contextlib
import json
import random
import re
import socket
import time

import attrs
import eventlet

from examples import topology as plans

CONNECT_RETRY_SECONDS = 0.05
# Longer than the timeout of each request and than a stop.
ANSWER_TIMEOUT_SECONDS = 20.0
HEAD_PATTERN = re.compile(rb"HTTP/1\.1 (\d{3}) [^\r]*\r\n(.*?)\r\n\r\n", re.S)
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
LENGTH_PATTERN = re.compile(rb"content-length: (\d+)", re.I)
CLOSE_PATTERN = re.compile(rb"connection: close", re.I)
READ_BYTES = 64 * 1024
SLOW_READ_SECONDS = 0.01
SMALL_BUFFER_BYTES = 32 * 1024
MAX_PAUSE_SECONDS = 1.5
MAX_WORK_MS = 150
MAX_UPLOAD_BYTES = 400_000
MAX_PADDING_BYTES = 600_000
MAX_BURST = 5
CHUNK_BYTES = 20_000
# Beyond what a proxy takes in a body.
EXCESS_BYTES = 300_000


@attrs.define(kw_only=True)
class KeptResult:
    """What became of a request; `status` is 0 without a whole answer.

    `is_whole` means that all of it was sent, `is_cut` that the connection was
    reset before that. `waited_seconds` is the time from then on.
    `is_announced` means that an earlier answer closed the connection.
    `shows_own_id` is whether a 200 answers this request.
    """

    request_id: str
    method: str
    kind: str
    is_whole: bool = False
    is_cut: bool = False
    status: int = 0
    waited_seconds: float = 0.0
    is_announced: bool = False
    shows_own_id: bool = True
    sent_at: float = 0.0


@attrs.define(kw_only=True)
class KeptCaller:
    """Send requests until it is stopped; connect again when needed.

    `oversize_bytes` is more than a proxy takes in a body, `max_upload_bytes`
    the size of the largest one else.
    """

    address: str
    port: int
    seed: int
    oversize_bytes: int
    max_upload_bytes: int = MAX_UPLOAD_BYTES
    results: list = attrs.field(factory=list)
    _number: int = 0
    _is_stopping: bool = False
    _chance: object = None
    _greenthread: object = None

    def start(self):
        """Send in the background."""
        self._chance = random.Random(self.seed)
        self._greenthread = eventlet.spawn(self._run)

    def stop(self):
        """Wait for the answers to the last requests."""
        self._is_stopping = True
        self._greenthread.wait()

    def _run(self):
        while not self._is_stopping:
            sock = socket.socket()
            sock.settimeout(ANSWER_TIMEOUT_SECONDS)
            is_slow = self._chance.random() < 0.2
            if is_slow:
                sock.setsockopt(
                    socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES
                )
            try:
                sock.connect((self.address, self.port))
            except OSError:
                sock.close()
                eventlet.sleep(CONNECT_RETRY_SECONDS)
                continue
            reader = _Reader(sock=sock, is_slow=is_slow)
            with contextlib.closing(sock):
                while not self._is_stopping and self._exchange(sock, reader):
                    eventlet.sleep(self._chance.random() * 0.1)

    def _exchange(self, sock, reader):
        """Send one request or a burst; return whether it can go on."""
        kind = self._chance.choice(
            ("get", "post", "burst", "halves", "chunks", "expect", "large") * 3
            + ("oversize",)
        )
        count = self._chance.randint(2, MAX_BURST) if kind == "burst" else 1
        waiting = []
        for _ in range(count):
            result, pieces = self._request(kind)
            self.results.append(result)
            waiting.append(result)
            self._send(sock, reader, result, pieces)
        return self._receive(reader, waiting)

    def _send(self, sock, reader, result, pieces):
        try:
            result.is_whole = self._send_pieces(sock, reader, result, pieces)
        except OSError:
            result.is_cut = True
        result.sent_at = time.monotonic()

    def _send_pieces(self, sock, reader, result, pieces):
        """Return False if a final answer came in place of a `100`."""
        for piece in pieces:
            if piece is not None:
                sock.sendall(piece)
            elif result.kind != "expect":
                eventlet.sleep(self._chance.random() * MAX_PAUSE_SECONDS)
            elif not reader.is_continued():
                return False
        return True

    def _receive(self, reader, waiting):
        """Read the answers; return whether the connection is kept."""
        closes = is_cut = False
        for result in waiting:
            result.is_announced = closes
            answer = None if closes or is_cut else reader.answer()
            result.waited_seconds = time.monotonic() - result.sent_at
            if answer is None:
                is_cut = not closes
                continue
            result.status, closes, body = answer
            if result.status == 200:
                shown = json.loads(body).get("request_id")
                result.shows_own_id = shown == result.request_id
        return not (closes or is_cut)

    def _request(self, kind):
        """Return a KeptResult and the pieces to send, None for a pause."""
        self._number += 1
        request_id = f"kept{self.seed}-{self._number}"
        is_upload = kind in ("halves", "chunks", "expect", "oversize")
        if kind in ("get", "large"):
            method = "GET"
        elif kind == "burst":
            method = self._chance.choice(("GET", "GET", "GET", "POST"))
        else:
            method = self._chance.choice(("POST", "PUT"))
        size = 0
        if kind == "oversize":
            size = self.oversize_bytes
        elif is_upload:
            size = self._chance.randint(1, self.max_upload_bytes)
        padding = 0
        if kind == "large":
            padding = self._chance.randrange(MAX_PADDING_BYTES)
        work_ms = self._chance.randrange(MAX_WORK_MS)
        head = (
            f"{method} /pay/1?latency_ms={work_ms}&padding_bytes={padding} "
            f"HTTP/1.1\r\nHost: x\r\nX-Request-Id: {request_id}\r\n"
        )
        result = KeptResult(request_id=request_id, method=method, kind=kind)
        if kind == "chunks":
            return result, [
                f"{head}Transfer-Encoding: chunked\r\n\r\n".encode(),
                *_chunks(size),
            ]
        if kind == "expect":
            head += "Expect: 100-continue\r\n"
        head = f"{head}Content-Length: {size}\r\n\r\n".encode()
        half = size // 2
        pieces = [head, b"x" * half]
        if kind == "expect":
            return result, [head, None, b"x" * size]
        if size:
            pieces += [None, *_pieces(size - half)]
        return result, pieces


def _pieces(size):
    return [
        b"x" * min(CHUNK_BYTES, size - start)
        for start in range(0, size, CHUNK_BYTES)
    ]


def _chunks(size):
    pieces = [b"%x\r\n%s\r\n" % (len(data), data) for data in _pieces(size)]
    pieces.insert(len(pieces) // 2, None)
    return [*pieces, b"0\r\n\r\n"]


@attrs.define(kw_only=True)
class _Reader:
    """Read whole answers from a socket, in pieces if it is slow."""

    sock: object
    is_slow: bool
    _data: bytes = b""

    def is_continued(self):
        """Wait for an answer; return whether it is `100 Continue`."""
        while len(self._data) < len(CONTINUE):
            if not self._read():
                return False
        if not self._data.startswith(CONTINUE):
            return False
        self._data = self._data[len(CONTINUE) :]
        return True

    def answer(self):
        """Return status, whether it closes, and body; None if it is cut."""
        while (match := HEAD_PATTERN.match(self._data)) is None:
            if not self._read():
                return None
        end = match.end() + int(LENGTH_PATTERN.search(match[2])[1])
        while len(self._data) < end:
            if not self._read():
                return None
        body = self._data[match.end() : end]
        self._data = self._data[end:]
        return int(match[1]), bool(CLOSE_PATTERN.search(match[2])), body

    def _read(self):
        if self.is_slow:
            eventlet.sleep(SLOW_READ_SECONDS)
        try:
            data = self.sock.recv(READ_BYTES)
        except OSError:
            return False
        self._data += data
        return bool(data)


def make_callers(
    mesh, *, proxies, callers_per_proxy, seed, max_body_bytes, **options
):
    """Return pairs of a proxy's name and a KeptCaller, which is not started.

    `max_body_bytes` is what the proxies take in a body, and `options` are
    further ones of each KeptCaller.
    """
    return [
        (
            proxy,
            KeptCaller(
                address=mesh.topology.hosts_by_name[proxy].address,
                port=plans.CALLER_PORT,
                seed=1000 * seed + 10 * number + index,
                oversize_bytes=max_body_bytes + EXCESS_BYTES,
                **options,
            ),
        )
        for number, proxy in enumerate(proxies)
        for index in range(callers_per_proxy)
    ]
