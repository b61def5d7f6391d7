"""A caller that pipelines requests, and the judge of its answers."""

import contextlib
import json
import random
import re
import socket

import attrs
import eventlet

from tests.support.ledger import read_ledgers, runs_by_request_id

CONNECT_RETRY_SECONDS = 0.1
# Longer than the timeout of each request.
ANSWER_TIMEOUT_SECONDS = 20.0
MAX_BURST = 12
UNSAFE_SHARE = 0.15
MAX_LATENCY_MS = 150
MAX_BODY_BYTES = 20_000
HEAD_PATTERN = re.compile(rb"HTTP/1\.1 (\d{3}) [^\r]*\r\n(.*?)\r\n\r\n", re.S)

# What became of a request that got no answer.
NOT_READ = "not-read"
LOST = "lost"


@attrs.frozen(kw_only=True)
class Sent:
    """A request that was sent on a connection."""

    request_id: str
    method: str


@attrs.frozen(kw_only=True)
class PipelinedResult:
    """The outcome of a request; NOT_READ or LOST without an answer."""

    sent: Sent
    outcome: str


@attrs.define(kw_only=True)
class PipelinedCaller:
    """Send bursts of requests on one connection; connect again when it ends.

    Without bodies, a burst arrives in one piece.
    `violations` are the answers that came out of turn or incomplete.
    """

    address: str
    port: int
    seed: int
    max_body_bytes: int = MAX_BODY_BYTES
    results: list = attrs.field(factory=list)
    violations: list = attrs.field(factory=list)
    _number: int = 0
    _stopping: bool = False
    _random: object = None
    _greenthread: object = None

    def __enter__(self):
        """Start to send requests."""
        self._random = random.Random(self.seed)
        self._greenthread = eventlet.spawn(self._run)
        return self

    def __exit__(self, *_):
        """Wait for the answers to the last burst."""
        self._stopping = True
        self._greenthread.wait()

    def _run(self):
        while not self._stopping:
            try:
                sock = socket.create_connection((self.address, self.port))
            except OSError:
                eventlet.sleep(CONNECT_RETRY_SECONDS)
                continue
            sock.settimeout(ANSWER_TIMEOUT_SECONDS)
            try:
                while not self._stopping and self._send_burst(sock):
                    eventlet.sleep(self._random.random() * 0.05)
            finally:
                sock.close()

    def _send_burst(self, sock):
        """Send requests, read the answers; return whether it can go on."""
        burst = [
            self._next_request()
            for _ in range(self._random.randint(1, MAX_BURST))
        ]
        with contextlib.suppress(OSError):
            sock.sendall(b"".join(data for _, data in burst))
        waiting = [sent for sent, _ in burst]
        reader = _AnswerReader(sock)
        while waiting:
            answer = reader.next_answer()
            if answer is None:
                self._end(waiting, LOST)
                return False
            sent = waiting.pop(0)
            self._judge(sent, answer)
            self._end([sent], answer.outcome)
            if answer.closes:
                self._end(waiting, NOT_READ)
                return False
        return True

    def _next_request(self):
        self._number += 1
        request_id = f"p{self.seed}-{self._number}"
        is_unsafe = self._random.random() < UNSAFE_SHARE
        method = "POST" if is_unsafe else "GET"
        size = 0
        if is_unsafe and self.max_body_bytes:
            size = self._random.randrange(self.max_body_bytes)
        latency = int(self._random.random() ** 3 * MAX_LATENCY_MS)
        head = (
            f"{method} /pay/1?latency_ms={latency} HTTP/1.1\r\nHost: x\r\n"
            f"X-Request-Id: {request_id}\r\nContent-Length: {size}\r\n\r\n"
        )
        body = self._random.randbytes(size)
        return Sent(request_id=request_id, method=method), (
            head.encode() + body
        )

    def _judge(self, sent, answer):
        ids = {answer.request_id}
        if answer.outcome == "answered":
            ids.add(json.loads(answer.body).get("request_id"))
        if ids != {sent.request_id}:
            self.violations.append((sent, answer))

    def _end(self, requests, outcome):
        self.results += [
            PipelinedResult(sent=sent, outcome=outcome) for sent in requests
        ]


@attrs.frozen(kw_only=True)
class _Answer:
    request_id: str
    outcome: str
    closes: bool
    body: bytes


class _AnswerReader:
    """Read complete answers from a socket."""

    def __init__(self, sock):
        self._sock = sock
        self._data = b""

    def next_answer(self):
        """Return the next answer, or None if the connection ended before."""
        try:
            while (match := HEAD_PATTERN.match(self._data)) is None:
                self._receive()
            headers = {
                name.lower(): value
                for name, _, value in (
                    line.partition(": ")
                    for line in match[2].decode("latin-1").split("\r\n")
                )
            }
            end = match.end() + int(headers["content-length"])
            while len(self._data) < end:
                self._receive()
        except (OSError, EOFError):
            return None
        body = self._data[match.end() : end]
        self._data = self._data[end:]
        return _Answer(
            request_id=headers.get("x-request-id", ""),
            outcome=headers.get("x-verbenanotch-outcome", ""),
            closes=headers.get("connection", "") == "close",
            body=body,
        )

    def _receive(self):
        data = self._sock.recv(65536)
        if not data:
            raise EOFError
        self._data += data


def assert_truthful(callers, folder):
    """Assert that answers came in turn and agree with the targets' ledgers.

    A POST ran at most once; what was refused, or was sent behind an answer
    that closed the connection, never ran; what was answered did.
    """
    runs = runs_by_request_id(read_ledgers(folder))
    for caller in callers:
        assert caller.violations == []
        assert caller.results
        for result in caller.results:
            count = runs[result.sent.request_id]
            if result.sent.method == "POST":
                assert count <= 1, f"ran {count} times: {result}"
            if result.outcome in ("not-run", NOT_READ):
                assert count == 0, f"ran {count} times: {result}"
            if result.outcome == "answered":
                assert count >= 1, f"answered without a run: {result}"
