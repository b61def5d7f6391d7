"""Guard against a proxy that the heads of forwarded calls end.

Each of the proxies that forward calls bounds its own heads only.
"""

import tracemalloc

import eventlet
import pytest

from tests.unit.test_proxy_peers import (
    MAX_BODY_BYTES,
    SETTINGS,
    FakeTargets,
    Link,
    listen,
    make_call,
    make_host_record,
)
from verbenanotch.proxy import PeerPool, PeerServer
from verbenanotch.proxy._body_frames import CHUNK_BYTES
from verbenanotch.proxy._cancellation import Cancellation
from verbenanotch.proxy._outcome import Answered, NotRun

POOLS = 4
CALLS_PER_POOL = 150
HEAD_BYTES = 56_000
# Of heads and calls on both sides; the heads are 33.6 MB without a limit.
MAX_BYTES = 32 * 1024 * 1024
TIMEOUT_SECONDS = 20.0
HEADS_FULL = NotRun(reason="heads-full")


@pytest.fixture
def is_answering():
    return eventlet.Event()


@pytest.fixture
def links(is_answering):
    """Connect several proxies to one, whose targets answer when told to."""
    targets = FakeTargets()
    targets.calls = NoCalls()

    def answer(call):
        is_answering.wait()
        return Answered(status=200, headers=(), body=b"")

    targets.behave = answer
    server = PeerServer(
        local_targets=targets,
        record_server=None,
        guard=None,
        max_body_bytes=MAX_BODY_BYTES,
        max_in_flight=2 * POOLS * CALLS_PER_POOL,
    )
    listener = listen(server.handle)
    pools = [PeerPool(settings=SETTINGS) for _ in range(POOLS)]
    yield [
        Link(
            pool=pool,
            server=server,
            targets=targets,
            record=make_host_record(listener),
        )
        for pool in pools
    ]
    tracemalloc.stop()
    for pool in pools:
        pool.stop()
    listener.stop()


class NoCalls(list):
    """Keep no calls."""

    def append(self, call):
        """Forget a call."""


def forward_all(links, call, cancellation=None):
    """Forward a call many times by each link; return the greenthreads."""
    return [
        eventlet.spawn(
            link.forward,
            call,
            seconds=TIMEOUT_SECONDS,
            cancellation=cancellation,
        )
        for link in links
        for _ in range(CALLS_PER_POOL)
    ]


def make_large_call(body=b""):
    return make_call(
        body,
        headers=(("X-A", "a" * HEAD_BYTES),),
        remaining_ms=int(TIMEOUT_SECONDS * 1000),
    )


def test_heads_of_forwarded_calls_have_a_common_limit(links, is_answering):
    tracemalloc.start()
    waiting = forward_all(links, make_large_call())
    eventlet.sleep(1)
    assert tracemalloc.get_traced_memory()[0] < MAX_BYTES
    small = eventlet.spawn(links[0].forward, make_call())
    large = links[0].forward(make_large_call())
    assert large == HEADS_FULL
    is_answering.send()
    assert isinstance(small.wait(), Answered)
    outcomes = [greenthread.wait() for greenthread in waiting]
    answered = [x for x in outcomes if isinstance(x, Answered)]
    assert len(answered) > 100
    assert all(x == HEADS_FULL for x in outcomes if x not in answered)
    assert isinstance(links[0].forward(make_large_call()), Answered)


@pytest.mark.parametrize("body", [b"", b"x" * (CHUNK_BYTES + 1)])
def test_heads_of_cancelled_calls_leave_their_room(links, is_answering, body):
    cancellation = Cancellation()
    waiting = forward_all(links, make_large_call(body), cancellation)
    eventlet.sleep(1)
    cancellation.cancel()
    is_answering.send()
    for greenthread in waiting:
        greenthread.wait()
    eventlet.sleep(0.1)
    assert links[0].server.head_bytes.used_bytes == 0
    assert isinstance(links[0].forward(make_large_call()), Answered)


def test_a_lost_peer_leaves_the_room_of_its_heads(links, is_answering):
    forward_all(links[1:], make_large_call())
    eventlet.sleep(1)
    for link in links[1:]:
        link.pool.stop()
    is_answering.send()
    eventlet.sleep(0.1)
    assert links[0].server.head_bytes.used_bytes == 0
    assert isinstance(links[0].forward(make_large_call()), Answered)
