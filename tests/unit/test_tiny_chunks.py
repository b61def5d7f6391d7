"""Bodies in tiny chunks leave the loop to everybody else."""

import io

import eventlet
import pytest

from verbenanotch import loop
from verbenanotch.daemon._request_body import RequestBody
from verbenanotch.http1 import ChunkedBody
from verbenanotch.proxy._target_connection import TargetConnection

BODIES = 40
CHUNK = b"1\r\nx\r\n"
# All of them fit into the buffers of a connection.
CHUNKS = 6000
TINY_CHUNKS = CHUNK * CHUNKS + b"0\r\n\r\n"
# Of a body, that take no turn.
MAX_FREE_CHUNKS = 300
BUFFER_CHUNKS = io.DEFAULT_BUFFER_SIZE // len(CHUNK) + 2
READ_BYTES = 50
ROUNDS = 12
ANSWER_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


class Connections:
    """Connections on which bytes have arrived."""

    def __init__(self):
        """Listen for connections."""
        self._listener = loop.listen("127.0.0.1", 0, backlog=8)
        self._sockets = [self._listener]

    def open(self, data=b""):
        """Return the near end, on which `data` arrives, and the far end."""
        far = loop.connect(*self._listener.getsockname(), timeout_seconds=1)
        near, _ = self._listener.accept()
        self._sockets += [near, far]
        far.sendall(data)
        return near, far

    def open_all(self, data, count):
        """Return near ends, on each of which `data` arrives."""
        return [self.open(data)[0] for _ in range(count)]

    def close(self):
        """Close all connections."""
        for sock in self._sockets:
            sock.close()


class Reading:
    """Read bodies in chunks of one byte; count chunks and ends."""

    def __init__(self):
        """Start with nothing read."""
        self.chunks = 0
        self.ends = 0

    def read(self, body):
        """Read a body to its end."""
        while data := body.read(READ_BYTES):
            self.chunks += len(data)
        self.ends += 1


@pytest.fixture
def connections():
    made = Connections()
    yield made
    made.close()


@pytest.fixture
def reading():
    return Reading()


def request_body(sock):
    reader = io.BufferedReader(loop.SocketReader(sock))
    return RequestBody(reader, None, None, chunked_input=True)


def answer(sock):
    return TargetConnection(sock=sock).read_answer("GET")


def wait_until(condition):
    with eventlet.Timeout(30):
        while not condition():
            eventlet.sleep(0.001)


def exchange_rounds(connections, rounds):
    """Let two greenthreads exchange bytes, as an ordinary request does."""
    near, far = connections.open()

    def echo():
        for _ in range(rounds):
            near.sendall(near.recv(1))

    eventlet.spawn(echo)
    for _ in range(rounds):
        far.sendall(b"x")
        assert far.recv(1) == b"x"


@pytest.mark.parametrize(
    ("head", "body_of"),
    [(b"", request_body), (ANSWER_HEAD, answer)],
    ids=["request", "answer"],
)
def test_an_ordinary_request_waits_for_few_tiny_chunks(
    connections, reading, head, body_of
):
    """Guard against a buffer of each body in each turn of the loop."""
    for sock in connections.open_all(head + TINY_CHUNKS, BODIES):
        eventlet.spawn(lambda sock=sock: reading.read(body_of(sock)))
    exchange_rounds(connections, ROUNDS)
    # Each exchange of a byte takes two turns, and some go before the first.
    turns = 2 * ROUNDS + 6
    assert reading.chunks <= BODIES * MAX_FREE_CHUNKS + turns * BUFFER_CHUNKS
    wait_until(lambda: reading.ends == BODIES)
    assert reading.chunks == BODIES * CHUNKS


def test_requests_do_not_hold_up_an_answer(connections, reading):
    target, _ = connections.open(ANSWER_HEAD + TINY_CHUNKS)
    for sock in connections.open_all(TINY_CHUNKS, BODIES):
        eventlet.spawn(reading.read, request_body(sock))
    assert len(answer(target).read(2 * CHUNKS)) == CHUNKS
    assert reading.chunks <= BODIES * MAX_FREE_CHUNKS + 12 * BUFFER_CHUNKS
    wait_until(lambda: reading.ends == BODIES)


def test_lines_of_a_trailer_take_turns():
    """Guard against short lines that cost as much as tiny chunks."""
    turns = []
    trailer = b"0\r\n" + b"a:b\r\n" * 3000 + b"\r\n"
    body = ChunkedBody(
        reader=io.BufferedReader(io.BytesIO(trailer)),
        wait_for_turn=lambda: turns.append(1),
    )
    assert body.read(1) == b""
    assert len(turns) >= 2


@pytest.mark.parametrize(
    "data",
    [
        b"%x\r\n" % 10_000 + b"x" * 10_000 + b"\r\n",
        b"80\r\n" + b"x" * 128 + b"\r\n",
    ],
    ids=["large", "medium"],
)
def test_a_body_without_tiny_chunks_takes_no_turn(data):
    turns = []
    body = ChunkedBody(
        reader=io.BufferedReader(io.BytesIO(data * 1000 + b"0\r\n\r\n")),
        wait_for_turn=lambda: turns.append(1),
    )
    while body.read(64 * 1024):
        pass
    assert not turns


def test_a_body_of_few_tiny_chunks_takes_no_turn():
    turns = []
    body = ChunkedBody(
        reader=io.BufferedReader(io.BytesIO(CHUNK * 250 + b"0\r\n\r\n")),
        wait_for_turn=lambda: turns.append(1),
    )
    assert body.read(1000) == b"x" * 250
    assert not turns


def test_large_chunks_do_not_pay_for_later_tiny_ones():
    """Guard against a body that saves its cost for one moment."""
    turns = []
    large = b"%x\r\n" % 1_000_000 + b"x" * 1_000_000 + b"\r\n"
    data = large + CHUNK * 5000 + b"0\r\n\r\n"
    body = ChunkedBody(
        reader=io.BufferedReader(io.BytesIO(data)),
        wait_for_turn=lambda: turns.append(1),
    )
    assert len(body.read(2_000_000)) == 1_005_000
    assert len(turns) >= 2


def test_a_body_waits_for_bytes_before_its_turn(connections, reading):
    """Guard against turns that bodies keep without any bytes to parse."""
    turns = []
    near, far = connections.open(CHUNK * 1000)
    body = ChunkedBody(
        reader=io.BufferedReader(loop.SocketReader(near)),
        wait_for_turn=lambda: turns.append(reading.chunks),
    )
    eventlet.spawn(reading.read, body)
    wait_until(lambda: reading.chunks == 1000)
    eventlet.sleep(0.01)
    before = len(turns)
    eventlet.sleep(0.01)
    assert len(turns) == before
    far.sendall(CHUNK + b"0\r\n\r\n")
    wait_until(lambda: reading.ends == 1)
    assert len(turns) > before


def test_one_greenthread_goes_on_in_each_turn():
    queue = loop.TurnQueue()
    order = []

    def take_turns(name):
        for _ in range(2):
            queue.wait()
            order.append(name)

    def count_turns():
        while True:
            order.append("turn")
            eventlet.sleep(0)

    for name in "abc":
        eventlet.spawn(take_turns, name)
    counter = eventlet.spawn(count_turns)
    wait_until(lambda: sum(name != "turn" for name in order) == 6)
    counter.kill()
    names = [name for name in order if name != "turn"]
    assert names == ["a", "b", "c", "a", "b", "c"]
    first, last = order.index("a"), len(order) - order[::-1].index("c")
    assert order[first:last].count("turn") >= 5
    assert not len(queue)


def test_who_is_ended_or_timed_out_leaves_the_queue():
    queue = loop.TurnQueue()
    went_on = []

    def wait(name):
        queue.wait()
        went_on.append(name)

    def wait_for_a_time():
        with eventlet.Timeout(0, False):
            wait("timed out")
        went_on.append("left")

    for number in range(20):
        eventlet.spawn(wait, number)
    killed = eventlet.spawn(wait, "killed")
    eventlet.spawn(wait_for_a_time)
    last = eventlet.spawn(wait, "last")
    eventlet.sleep(0)
    assert len(queue) == 23
    killed.kill()
    last.wait()
    assert [name for name in went_on if name != "left"] == [
        *range(20),
        "last",
    ]
    assert went_on.count("left") == 1
    assert went_on.index("left") < 20
    assert not len(queue)


def test_a_queue_of_which_all_have_left_goes_on_with_the_next():
    queue = loop.TurnQueue()
    went_on = []
    killed = eventlet.spawn(queue.wait)
    eventlet.sleep(0)
    killed.kill()
    assert not len(queue)
    for name in "ab":
        eventlet.spawn(lambda name=name: (queue.wait(), went_on.append(name)))
    wait_until(lambda: went_on == ["a", "b"])
