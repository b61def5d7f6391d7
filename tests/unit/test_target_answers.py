"""Answers of targets that break off, are malformed or follow others."""

import io
import time
import tracemalloc

import pytest

from tests.support.raw_target import RawTarget
from verbenanotch.http1 import ChunkedBody
from verbenanotch.http1._answer import MAX_FIELDS
from verbenanotch.proxy._cancellation import Cancellation
from verbenanotch.proxy._exchange import exchange
from verbenanotch.proxy._outcome import Answered, Call, Unknown

MAX_BODY_BYTES = 200_000
HEAD = (
    b"HTTP/1.1 200 OK\r\n"
    b"X-Request-Id: r1\r\n"
    b"X-Stamp: 3e1b.07.5a2\r\n"
    b"X-Load: 1,0,8\r\n"
)


def run(target, *, method="POST"):
    call = Call(
        request_id="r1",
        service="s",
        target_id="t",
        method=method,
        path="/x",
        headers=(("Host", "h"),),
        body=b"",
        remaining_ms=2000,
        idempotent=False,
    )
    return exchange(
        target.connections,
        call,
        deadline=time.monotonic() + 2.0,
        cancellation=Cancellation(),
        max_body_bytes=MAX_BODY_BYTES,
        echoes_id=True,
        may_omit_length=True,
    )


@pytest.fixture
def outcome_of():
    """Return the outcome of one exchange with a target that sends bytes."""
    targets = []

    def play(answer, *, ending=b"close", method="POST"):
        targets.append(RawTarget([answer], ending=ending))
        return run(targets[-1], method=method)

    play.targets = targets
    yield play
    for target in targets:
        target.stop()


def with_lf_alone(answer):
    return answer.replace(b"\r\n", b"\n")


SIZED = HEAD + b"Content-Length: 12\r\n\r\nwhole answer"
CHUNKED = (
    HEAD
    + b"Transfer-Encoding: chunked\r\n\r\n"
    + b"00a\r\nwhole answ\r\n2\r\ner\r\n0\r\nX-Sum: 1\r\n\r\n"
)


@pytest.mark.parametrize("ending", [b"close", b"reset"])
@pytest.mark.parametrize(
    "answer",
    [SIZED, with_lf_alone(SIZED), CHUNKED, with_lf_alone(CHUNKED)],
    ids=["sized", "sized-lf", "chunked", "chunked-lf"],
)
@pytest.mark.parametrize("method", ["GET", "POST"])
def test_an_answer_that_breaks_off_anywhere_is_unknown(
    outcome_of, answer, ending, method
):
    """Guard against answers that end in their head and look complete."""
    outcome = outcome_of(answer, ending=b"close", method=method)
    assert isinstance(outcome, Answered)
    assert outcome.body == b"whole answer"
    complete = [
        cut
        for cut in range(len(answer))
        if not isinstance(
            outcome_of(answer[:cut], ending=ending, method=method), Unknown
        )
    ]
    assert complete == []


def test_an_answer_without_length_is_unknown_if_its_head_breaks_off(
    outcome_of,
):
    """Guard against a cut head whose answer needs no length."""
    head = HEAD + b"\r\n"
    assert outcome_of(head + b"whole").body == b"whole"
    complete = [
        cut
        for cut in range(len(head))
        if not isinstance(outcome_of(head[:cut]), Unknown)
    ]
    assert complete == []


@pytest.mark.parametrize(
    "lines",
    [
        b"no colon\r\nContent-Length: 2\r\n",
        b"Bad name: 1\r\nContent-Length: 2\r\n",
        b"Content-Length : 2\r\n",
        b"X-A: 1\r\n folded\r\nContent-Length: 2\r\n",
        b"X-A: 1\rContent-Length: 2\r\nContent-Length: 5\r\n",
        b"X-A: \0\r\nContent-Length: 2\r\n",
        b"Content-Length: 2\r\nContent-Length: 5\r\n",
        b"Content-Length: +2\r\n",
        b"Content-Length: 2 5\r\n",
        b"Content-Length: two\r\n",
        b"Content-Length: 2\r\nTransfer-Encoding: chunked\r\n",
        b"Transfer-Encoding: gzip\r\n",
        b"Transfer-Encoding: gzip, chunked\r\n",
        b"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
    ],
)
def test_an_answer_whose_framing_is_in_doubt_is_unknown(outcome_of, lines):
    """Guard against lines that are dropped together with the length."""
    assert isinstance(outcome_of(HEAD + lines + b"\r\nwhole"), Unknown)


@pytest.mark.parametrize(
    "line",
    [
        *(b"Bad%cname: 1" % byte for byte in b" \t\0\a\v\f\r\x7f\xff,"),
        *(b"%s : 2" % name for name in (b"Content-Length", b"Connection")),
        b"Transfer-Encoding : chunked",
        b"Content-Length\0: 2",
        b"Name\f: 1",
        b": 1",
        b"no colon",
        b"Name: \0",
        b"Name: \a",
        b"Name: 1\rOther: 2",
    ],
)
@pytest.mark.parametrize(
    "answer",
    [
        HEAD + b"%s\r\nContent-Length: 5\r\n\r\nwhole",
        HEAD + b"Content-Length: 5\r\n%s\r\n\r\nwhole",
        b"HTTP/1.1 103 Early Hints\r\n%s\r\n\r\n" + SIZED,
    ],
    ids=["before-length", "after-length", "interim"],
)
def test_a_head_with_a_line_that_is_no_field_is_malformed(
    outcome_of, answer, line
):
    """The body may not be the target's if the line is dropped."""
    outcome = outcome_of(answer % line)
    assert outcome.reason == "target-broke-off: answer-malformed"


@pytest.mark.parametrize(
    "body",
    [
        b"+2\r\nab\r\n0\r\n\r\n",
        b"0x2\r\nab\r\n0\r\n\r\n",
        b"-1\r\nab\r\n0\r\n\r\n",
        b"2\r\nabc\r\n0\r\n\r\n",
        b"\r\nab\r\n0\r\n\r\n",
        (b"1;" + b"a" * 8000 + b"\r\nx\r\n") * 3 + b"0\r\n\r\n",
        b"2\r\nab\r\n0\r\nBad name: 1\r\n\r\n",
        b"2\r\nab\r\n0\r\nName : 1\r\n\r\n",
    ],
)
def test_a_malformed_chunk_is_unknown(outcome_of, body):
    head = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
    assert isinstance(outcome_of(head + body), Unknown)


@pytest.mark.parametrize("ending", [b"", b"close"])
@pytest.mark.parametrize("status", [b"000", b"001", b"020", b"099"])
@pytest.mark.parametrize("method", ["GET", "POST"])
def test_a_status_below_100_is_neither_an_answer_nor_an_interim_response(
    outcome_of, status, ending, method
):
    """It is refused at once, also if the target sends nothing more."""
    head = HEAD.replace(b"200", status)
    for fields in (b"", b"Content-Length: 0\r\n"):
        for next_answer in (b"", SIZED):
            outcome = outcome_of(
                head + fields + b"\r\n" + next_answer,
                ending=ending,
                method=method,
            )
            assert outcome.reason == "target-broke-off: answer-malformed"


@pytest.mark.parametrize(
    "status",
    [b"2000", b"20", b"2", b"+20", b"2_0", b"0x9", b"-01", b"", b"\xb2"],
)
def test_a_status_that_is_no_three_digits_is_malformed(outcome_of, status):
    outcome = outcome_of(SIZED.replace(b"200", status), ending=b"")
    assert outcome.reason == "target-broke-off: answer-malformed"


@pytest.mark.parametrize(
    "status_line",
    [
        b"HTTP/1.1 20 OK",
        b"HTTP/2.0 200 OK",
        b"HTTP/1.1 101 Switching Protocols",
        b"GET / HTTP/1.1",
        b"",
    ],
)
def test_a_head_without_a_valid_status_line_is_unknown(
    outcome_of, status_line
):
    head = status_line + b"\r\nX-Request-Id: r1\r\nContent-Length: 0\r\n\r\n"
    assert isinstance(outcome_of(head), Unknown)


def test_a_body_in_tiny_chunks_takes_no_more_than_its_bytes():
    """Its pieces took 4.1 MB for 64 KB, which are counted as 64 KB."""
    reader = io.BytesIO(b"2\r\nab\r\n" * 32_768 + b"0\r\n\r\n")
    body = ChunkedBody(reader=reader)
    tracemalloc.start()
    try:
        data = body.read(65_536)
        peak_bytes = tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()
    assert data == b"ab" * 32_768
    assert body.read(1) == b""
    assert peak_bytes < 4 * len(data)


def test_a_head_of_many_short_fields_is_unknown(outcome_of):
    """Each field takes many times its bytes, at each proxy."""
    head = HEAD + b"a:b\r\n" * MAX_FIELDS + b"Content-Length: 1\r\n\r\n"
    outcome = outcome_of(head + b"x")
    assert outcome.reason == "target-broke-off: answer-head-too-large"
    few = HEAD + b"a:b\r\n" * (MAX_FIELDS // 2) + b"Content-Length: 1\r\n"
    assert isinstance(outcome_of(few + b"\r\nx"), Answered)


def test_interim_responses_of_any_status_are_skipped(outcome_of):
    """Guard against Early Hints (103) that are taken for the answer."""
    interim = (
        b"HTTP/1.1 103 Early Hints\r\nLink: </style.css>\r\n\r\n"
        b"HTTP/1.1 100 Continue\r\n\r\n"
    )
    assert outcome_of(interim + SIZED).body == b"whole answer"


def test_an_answer_longer_than_one_read_is_whole(outcome_of):
    body = b"x" * 150_000
    head = HEAD + b"Content-Length: %d\r\n\r\n" % len(body)
    assert outcome_of(head + body).body == body
    assert isinstance(outcome_of(head + body[:-1]), Unknown)


@pytest.mark.parametrize(
    ("head", "is_kept"),
    [
        (b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n", True),
        (b"HTTP/1.1 204 No Content\r\n", True),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n", True),
        (
            b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n"
            b"Connection: a, Close\r\n",
            False,
        ),
        (b"HTTP/1.0 200 OK\r\nContent-Length: 0\r\n", False),
        (
            b"HTTP/1.0 200 OK\r\nContent-Length: 0\r\n"
            b"Connection: keep-alive\r\n",
            True,
        ),
    ],
)
def test_a_connection_is_kept_as_its_answer_says(outcome_of, head, is_kept):
    """Guard against a new connection after each empty answer."""
    body = b"0\r\n\r\n" if b"chunked" in head else b""
    answer = head + b"X-Request-Id: r1\r\n\r\n" + body
    assert outcome_of(answer, ending=b"").body == b""
    connections = outcome_of.targets[-1].connections
    assert bool(connections._idle) is is_kept
