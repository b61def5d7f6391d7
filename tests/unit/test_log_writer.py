"""The log neither blocks nor exceeds its rate limit."""

import os

import pytest

from verbenanotch.telemetry._writer import (
    MAX_BURST_LINES,
    RESERVED_LINES,
    BoundedWriter,
)


class Clock:
    """A clock that the test advances."""

    def __init__(self):
        """Start at zero."""
        self.seconds = 0.0

    def __call__(self):
        """Return the seconds."""
        return self.seconds


@pytest.fixture
def pipe():
    descriptors = os.pipe()
    yield descriptors
    for descriptor in descriptors:
        os.close(descriptor)


def test_lines_over_the_budget_are_dropped_and_counted(pipe):
    reader, descriptor = pipe
    clock = Clock()
    writer = BoundedWriter(descriptor=descriptor, now=clock)
    for _ in range(MAX_BURST_LINES + 7):
        if writer.admit():
            writer.write("x\n")
    assert writer.dropped == 7
    clock.seconds = 2.0
    assert writer.admit()
    writer.write("y\n")
    lines = os.read(reader, 65536).decode().splitlines()
    assert lines[-2:] == [
        '{"event": "log lines were dropped", "lines": 7}',
        "y",
    ]
    assert writer.dropped == 0


def test_lines_about_requests_leave_a_reserve_to_all_others(pipe):
    writer = BoundedWriter(descriptor=pipe[1], now=Clock())
    admitted = sum(writer.admit(is_about_request=True) for _ in range(500))
    assert admitted == MAX_BURST_LINES - RESERVED_LINES
    assert all(writer.admit() for _ in range(RESERVED_LINES))
    assert not writer.admit()


def test_a_stalled_reader_does_not_block_the_writer(pipe):
    _, descriptor = pipe
    clock = Clock()
    writer = BoundedWriter(descriptor=descriptor, now=clock)
    for _ in range(1000):
        clock.seconds += 1.0
        writer.write("x" * 2000 + "\n")
    assert writer.dropped > 0
