"""Answers without a length to requests that were not received whole.

The end of the connection is the only sign that such an answer is whole, and a
target that fails ends its connection as well (RFC 9112, section 8).
"""

import time

import eventlet
import pytest

from tests.support.breaking_target import (
    ENDINGS_BY_NAME,
    BreakingTarget,
    Ending,
)
from verbenanotch.proxy._cancellation import Cancellation
from verbenanotch.proxy._exchange import exchange
from verbenanotch.proxy._outcome import Answered, Call, Unknown

MAX_BODY_BYTES = 1_000_000
DEADLINE_SECONDS = 5.0
# More than the buffers of both ends take.
LARGE_BODY = b"x" * 16_000_000
# The sender's buffer takes all of it, the receiver's does not.
BUFFERED_BODY = b"x" * 200_000
HEAD = b"HTTP/1.1 200 OK\r\n"
PART = HEAD + b"\r\n" + b"part" * 30
WHOLE = HEAD + b"Content-Length: 5\r\n\r\nwhole"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n"


@pytest.fixture
def target_with():
    targets = []

    def make(*answers, ending):
        targets.append(BreakingTarget(answers, ending=ending))
        return targets[-1]

    yield make
    for target in targets:
        target.stop()


def run(target, *, body, **fields):
    call = Call(
        request_id="r1",
        service="s",
        target_id="t",
        method="POST",
        path="/x",
        headers=(("Host", "h"),),
        body=body,
        remaining_ms=5000,
        idempotent=False,
    )
    return exchange(
        target.connections,
        call,
        deadline=time.monotonic() + DEADLINE_SECONDS,
        cancellation=Cancellation(),
        max_body_bytes=MAX_BODY_BYTES,
        may_omit_length=True,
        **fields,
    )


@pytest.mark.parametrize("body", [LARGE_BODY, BUFFERED_BODY])
@pytest.mark.parametrize("ending", ENDINGS_BY_NAME)
def test_a_part_of_an_answer_is_not_passed_on(target_with, ending, body):
    """Guard against a reset that is taken for the end of the answer."""
    target = target_with(PART, ending=ENDINGS_BY_NAME[ending])
    assert isinstance(run(target, body=body), Unknown)


def test_an_end_before_the_request_was_read_is_not_that_of_the_answer(
    target_with,
):
    """A killed target ends its side, and resets what comes later."""
    target = target_with(
        PART, ending=Ending(ends_side=True, pause_seconds=1.0)
    )
    assert isinstance(run(target, body=LARGE_BODY), Unknown)


def test_a_reset_that_was_there_before_the_end_was_read_is_seen(target_with):
    """Linux returns the end of the stream, and the reset to no read."""
    ending = Ending(ends_side=True, resets=True)
    target = target_with(PART, ending=ending)
    connection = target.connections.connect(timeout_seconds=DEADLINE_SECONDS)
    connection.send(b"GET / HTTP/1.1\r\n\r\n")
    while not connection.sock.has_failed():
        eventlet.sleep(0.01)
    answer = connection.read_answer("GET")
    assert answer.read(MAX_BODY_BYTES) == b"part" * 30
    with pytest.raises(OSError, match="reset"):
        connection.wait_until_received()


@pytest.mark.parametrize("body", [LARGE_BODY, BUFFERED_BODY])
def test_a_target_may_end_its_answer_and_read_the_rest(target_with, body):
    ending = Ending(ends_side=True, reads_rest=True)
    outcome = run(target_with(PART, ending=ending), body=body)
    assert isinstance(outcome, Answered)
    assert outcome.body == b"part" * 30


@pytest.mark.parametrize("answer", [WHOLE, CHUNKED])
@pytest.mark.parametrize("ending", ENDINGS_BY_NAME)
def test_an_early_answer_that_shows_its_end_is_passed_on(
    target_with, answer, ending
):
    target = target_with(answer, ending=ENDINGS_BY_NAME[ending])
    outcome = run(target, body=LARGE_BODY)
    assert isinstance(outcome, Answered)
    assert outcome.body == b"whole"


@pytest.mark.parametrize("ending", ENDINGS_BY_NAME)
def test_a_part_on_a_kept_connection_is_not_passed_on(target_with, ending):
    """With echoed ids, early answers on kept connections are read."""
    identified = HEAD + b"X-Request-Id: r1\r\n"
    target = target_with(
        identified + b"Content-Length: 0\r\n\r\n",
        identified + b"\r\npart",
        ending=ENDINGS_BY_NAME[ending],
    )
    assert isinstance(run(target, body=b"", echoes_id=True), Answered)
    outcome = run(target, body=LARGE_BODY, echoes_id=True)
    assert target.accepted == 1
    assert isinstance(outcome, Unknown)
