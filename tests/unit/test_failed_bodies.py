"""Guard against bodies that stay in memory after a read of them has failed.

An error refers to the frames that it went through. If one of them refers to
the error, too, all of them stay until the next garbage collection.
"""

import gc
import time
import weakref

import eventlet
import pytest

from verbenanotch.http1 import ChunkedBody
from verbenanotch.http1.exceptions import MessageIncompleteError
from verbenanotch.proxy import BodyBudget
from verbenanotch.proxy._caller_body import READ_BYTES, read_body
from verbenanotch.proxy._unfinished_bodies import UnfinishedBodies

MAX_BODY_BYTES = 1_000_000


class Piece(bytearray):
    """A piece of a body to which there may be weak references."""


class UnfinishedStream:
    """A body of which one piece arrives."""

    def __init__(self):
        """Start without a piece."""
        self.piece = weakref.ref(Piece())

    def read(self, size):
        """Return a piece, then wait for the next one."""
        if self.piece() is not None:
            eventlet.sleep(60)
        piece = Piece(size)
        self.piece = weakref.ref(piece)
        return piece


class UnfinishedReader:
    """A connection that ends within a chunk."""

    def readline(self, _):
        """Return the size of the chunk."""
        return b"5\r\n"

    def read(self, _):
        """Return less than the chunk has."""
        return b"abc"


@pytest.fixture
def no_collection():
    gc.collect()
    gc.disable()
    yield
    gc.enable()


def test_a_late_body_is_not_kept(no_collection):
    stream = UnfinishedStream()
    budget = BodyBudget(max_bytes=10 * MAX_BODY_BYTES)
    outcome = read_body(
        {"HTTP_TRANSFER_ENCODING": "chunked", "wsgi.input": stream},
        max_body_bytes=MAX_BODY_BYTES,
        deadline=time.monotonic() + 0.05,
        reservation=budget.reserve_request(),
        unfinished=UnfinishedBodies(budget=budget),
    )
    assert outcome.kind == "body-late"
    # The loop refers to the error until it goes on.
    eventlet.sleep(0)
    assert stream.piece() is None


def test_a_broken_off_body_is_not_kept(no_collection):
    reader = UnfinishedReader()
    kept = weakref.ref(reader)
    body = ChunkedBody(reader=reader)
    for _ in range(2):
        with pytest.raises(MessageIncompleteError):
            body.read(READ_BYTES)
    del reader, body
    assert kept() is None
