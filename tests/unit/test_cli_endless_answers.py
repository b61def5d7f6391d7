"""A server in place of a control host whose answers to the tool never end."""

import contextlib

import eventlet
import pytest

from verbenanotch.cli import _client
from verbenanotch.cli._client import Failure, OperatorClient, Reply

HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
PIECE = b"[" * (64 * 1024)
# Where the server gives up, so that a tool that reads on fails the test.
MAX_SENT_BYTES = 4 * _client.MAX_BODY_BYTES
PARTS_BY_KIND = {
    "no-length": (HEAD + b"\r\n", PIECE),
    "length": (HEAD + b"Content-Length: 999999999999\r\n\r\n", PIECE),
    "chunks": (
        HEAD + b"Transfer-Encoding: chunked\r\n\r\n",
        b"10000\r\n" + PIECE + b"\r\n",
    ),
}
WAKE_SECONDS = 20.0


class Sender:
    """Server that answers each request with a start and repeated pieces."""

    def __init__(self):
        """Listen; the answer is set by the test."""
        self.start, self.piece, self.pause_seconds = b"", b"", 0.0
        self.sent_bytes = 0
        self._listener = eventlet.listen(("127.0.0.1", 0))
        self._acceptor = eventlet.spawn(self._accept)
        self.server = f"127.0.0.1:{self._listener.getsockname()[1]}"

    def stop(self):
        """Stop accepting."""
        self._acceptor.kill()
        self._listener.close()

    def _accept(self):
        while True:
            sock, _ = self._listener.accept()
            eventlet.spawn_n(self._answer, sock)

    def _answer(self, sock):
        with contextlib.suppress(OSError), contextlib.closing(sock):
            sock.recv(65536)
            sock.sendall(self.start)
            while self.sent_bytes < MAX_SENT_BYTES and self.piece:
                sock.sendall(self.piece)
                self.sent_bytes += len(self.piece)
                eventlet.sleep(self.pause_seconds)


@pytest.fixture
def sender():
    started = Sender()
    yield started
    started.stop()


def ask(sender, *, timeout_seconds=5.0):
    client = OperatorClient(servers=[sender.server], token="token")
    with eventlet.Timeout(WAKE_SECONDS):
        return client.request_from(
            sender.server,
            "GET",
            "/v1/status",
            timeout_seconds=timeout_seconds,
        )


@pytest.mark.parametrize("kind", sorted(PARTS_BY_KIND))
def test_an_answer_without_end_does_not_fill_the_memory(sender, kind):
    sender.start, sender.piece = PARTS_BY_KIND[kind]
    failure = ask(sender)
    assert isinstance(failure, Failure)
    assert failure.may_have_run
    assert "too large" in failure.reason
    assert sender.sent_bytes < 2 * _client.MAX_BODY_BYTES


def test_an_answer_that_trickles_ends_at_its_time_limit(sender, monkeypatch):
    monkeypatch.setattr(_client, "RESPONSE_MARGIN_SECONDS", 0.3)
    sender.start = HEAD + b"Content-Length: 100000\r\n\r\n"
    sender.piece, sender.pause_seconds = b"[", 0.05
    failure = ask(sender, timeout_seconds=0.2)
    assert isinstance(failure, Failure)
    assert failure.may_have_run


@pytest.mark.parametrize(
    "answer",
    [
        HEAD + b'Content-Length: 8\r\n\r\n{"a": 1}',
        HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
        b'4\r\n{"a"\r\n4\r\n: 1}\r\n0\r\n\r\n',
        HEAD + b'Connection: close\r\n\r\n{"a": 1}',
    ],
)
def test_a_whole_answer_is_read(sender, answer):
    sender.start = answer
    reply = ask(sender)
    assert isinstance(reply, Reply)
    assert reply.value == {"a": 1}


def test_an_answer_that_breaks_off_is_a_failure(sender):
    sender.start = HEAD + b'Content-Length: 9\r\n\r\n{"a": 1}'
    assert isinstance(ask(sender), Failure)
