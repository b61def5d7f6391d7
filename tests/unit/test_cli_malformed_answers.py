"""Answers to the tool that are no HTTP, in place of a control host's."""

import pytest

from tests.unit.test_cli_endless_answers import (  # noqa: F401
    HEAD,
    ask,
    sender,
)
from verbenanotch.cli._client import Failure, Reply

BODY = b'{"a": 1}'
LENGTH = b"Content-Length: 8\r\n"


@pytest.mark.parametrize(
    "line",
    [
        *(b"Bad%cname: 1" % byte for byte in b" \t\0\a\v\f\r\x7f\xff,"),
        b"Content-Length : 2",
        b"Transfer-Encoding : chunked",
        b": 1",
        b"no colon",
        b"Name: \0",
        b"Name: \a",
        b"Name: 1\rOther: 2",
        b"Name: 1\r\n folded",
    ],
)
def test_a_head_with_a_line_that_is_no_field_is_a_failure(
    sender,  # noqa: F811
    line,
):
    for lines in (line + b"\r\n" + LENGTH, LENGTH + line + b"\r\n"):
        sender.start = HEAD + lines + b"\r\n" + BODY
        failure = ask(sender)
        assert isinstance(failure, Failure)
        assert failure.may_have_run


@pytest.mark.parametrize(
    "status",
    [b"000", b"020", b"099", b"2000", b"20", b"+200", b"2_00", b"0200", b""],
)
def test_a_status_that_is_none_is_a_failure(sender, status):  # noqa: F811
    answer = HEAD + LENGTH + b"\r\n" + BODY
    sender.start = answer.replace(b"200", status)
    failure = ask(sender)
    assert isinstance(failure, Failure)
    assert failure.may_have_run


@pytest.mark.parametrize("cut", [b"", b"Conn"])
def test_a_head_that_breaks_off_is_a_failure(sender, cut):  # noqa: F811
    sender.start = HEAD + LENGTH + cut
    assert isinstance(ask(sender), Failure)


def test_a_malformed_interim_response_is_a_failure(sender):  # noqa: F811
    interim = b"HTTP/1.1 100 Continue\r\nBad name: 1\r\n\r\n"
    sender.start = interim + HEAD + LENGTH + b"\r\n" + BODY
    assert isinstance(ask(sender), Failure)


def test_an_interim_response_is_skipped(sender):  # noqa: F811
    interim = b"HTTP/1.1 100 Continue\r\nX-A: 1\r\n\r\n"
    sender.start = interim + HEAD + LENGTH + b"\r\n" + BODY
    assert isinstance(ask(sender), Reply)


def test_a_head_of_header_fields_is_read(sender):  # noqa: F811
    fields = b"!#$%&'*+-.^_`|~0z:\t a \xe9\x80 \t\r\nX-Empty:\r\n"
    sender.start = HEAD + fields + LENGTH + b"\r\n" + BODY
    reply = ask(sender)
    assert isinstance(reply, Reply)
    assert reply.value == {"a": 1}
