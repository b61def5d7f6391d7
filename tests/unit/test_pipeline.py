"""Tests of the order of pipelined requests, by random schedules."""

import random

import attrs
import pytest

from verbenanotch.daemon._pipeline import Pipeline

MAX_CONCURRENT = 4
MAX_UNSENT_BYTES = 100
REQUESTS = 30
SEEDS = range(200)


@attrs.define(kw_only=True)
class Connection:
    """A pipeline whose requests start and end in random order."""

    random: random.Random
    pipeline: Pipeline
    unread: list
    running: dict = attrs.field(factory=dict)
    sending: list = attrs.field(factory=list)
    answered: list = attrs.field(factory=list)
    closed_by: int | None = None

    def step(self):
        """Let one of the possible things happen; return whether any was."""
        actions = []
        if self.unread and self.pipeline.may_start(
            is_concurrent=self.unread[0][1]
        ):
            actions.append(self.start)
        if self.running:
            actions.append(self.finish)
        if self.sending:
            actions.append(self.mark_sent)
        if not actions:
            return False
        self.random.choice(actions)()
        return True

    def start(self):
        """Start the next unread request."""
        number, is_safe, closes = self.unread.pop(0)
        turn = self.pipeline.start(is_concurrent=is_safe)
        self.check_start(is_safe)
        self.running[number] = (turn, is_safe, closes)

    def check_start(self, is_safe):
        """Check that a request may start beside those in progress."""
        assert self.closed_by is None
        others = [safe for _, safe, _ in self.running.values()]
        assert len(others) < MAX_CONCURRENT
        assert all(others)
        assert is_safe or not others

    def finish(self):
        """End a request in progress and take the answers that are ready."""
        number = self.random.choice(list(self.running))
        turn, _, closes = self.running.pop(number)
        size = self.random.randrange(1, 80)
        self.pipeline.finish(
            turn, (number, closes, size), size=size, closes=closes
        )
        while (following := self.pipeline.take()) is not None:
            number, _, size = following.answer
            assert self.closed_by is None
            self.answered.append(number)
            self.sending.append(size)
            if following.closes:
                self.closed_by = number

    def mark_sent(self):
        """Let the caller read the oldest answer."""
        self.pipeline.mark_sent(self.sending.pop(0))


@pytest.mark.parametrize("seed", SEEDS)
def test_answers_keep_the_order_in_random_schedules(seed):
    rng = random.Random(seed)
    closing = rng.choice([None, rng.randrange(REQUESTS)])
    requests = [
        (number, rng.random() < 0.8, number == closing)
        for number in range(REQUESTS)
    ]
    connection = Connection(
        random=rng,
        pipeline=Pipeline(
            max_concurrent=MAX_CONCURRENT, max_unsent_bytes=MAX_UNSENT_BYTES
        ),
        unread=requests,
    )
    while connection.step():
        pass
    count = len(connection.answered)
    assert connection.answered == list(range(count))
    assert not connection.running
    # Everything that was started is answered, and the last answer closes.
    assert count + len(connection.unread) == REQUESTS
    if closing is None:
        assert connection.closed_by is None
        assert count == REQUESTS
    else:
        assert connection.closed_by == count - 1 >= closing


def test_no_request_starts_while_large_answers_wait():
    pipeline = Pipeline(
        max_concurrent=MAX_CONCURRENT, max_unsent_bytes=MAX_UNSENT_BYTES
    )
    pipeline.start(is_concurrent=True)
    second = pipeline.start(is_concurrent=True)
    assert pipeline.may_start(is_concurrent=True)
    pipeline.finish(second, "late", size=MAX_UNSENT_BYTES + 1)
    assert not pipeline.may_start(is_concurrent=True)
    assert pipeline.take() is None
