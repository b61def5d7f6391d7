"""What targets say of themselves in their answers, and what is ignored."""

import email.message

import pytest

from tests.unit.test_routing_rate_limits import RECORD
from verbenanotch.conf import HeaderNames
from verbenanotch.proxy import _target_notices as notices_module
from verbenanotch.proxy._target_notices import (
    NoticeLog,
    TargetNotices,
    read_notices,
)

NAMES = HeaderNames(
    target_limit="X-Limit", target_leaving="X-Leaving", target_load="X-Load"
)


def make_headers(*pairs):
    headers = email.message.Message()
    for name, value in pairs:
        headers.add_header(name, value)
    return headers


@pytest.mark.parametrize(
    ("text", "rate"), [("36.3", 36.3), ("5", 5.0), (" 0.5 ", 0.5)]
)
def test_a_limit_is_a_positive_decimal_number(text, rate):
    notices = read_notices(make_headers(("x-limit", text)), NAMES)
    assert notices == TargetNotices(limit=rate)


@pytest.mark.parametrize(
    "texts",
    [
        ("",),
        ("0",),
        ("0.0",),
        ("-1",),
        ("+1",),
        ("1e3",),
        ("nan",),
        ("inf",),
        ("1,5",),
        ("1_0",),
        ("٣",),
        ("9" * 400,),
        ("5", "5"),
    ],
)
def test_a_limit_that_is_no_single_positive_number_is_ignored(texts):
    headers = make_headers(*[("X-Limit", text) for text in texts])
    notices = read_notices(headers, NAMES)
    assert notices.limit is None
    assert notices.has_invalid("X-Limit")


@pytest.mark.parametrize(
    ("texts", "is_leaving", "is_invalid"),
    [
        ((), False, False),
        (("1",), True, False),
        (("0",), False, True),
        (("1", "1"), False, True),
    ],
)
def test_a_target_leaves_if_it_says_so_once(texts, is_leaving, is_invalid):
    headers = make_headers(*[("X-Leaving", text) for text in texts])
    notices = read_notices(headers, NAMES)
    assert notices.is_leaving == is_leaving
    assert notices.has_invalid("X-Leaving") == is_invalid


@pytest.mark.parametrize(
    ("text", "percent"),
    [("3,0,8,100", 100), (" 3, 0, 8, 62.5 ", 62), ("0,0,5,1000", 1000)],
)
def test_the_fourth_figure_of_a_load_is_the_pace(text, percent):
    notices = read_notices(make_headers(("x-load", text)), NAMES)
    assert notices == TargetNotices(pace_percent=percent)


@pytest.mark.parametrize(
    "texts",
    [
        ("3,0,8,",),
        ("3,0,8,0",),
        ("3,0,8,0.0",),
        ("3,0,8,-5",),
        ("3,0,8,1e3",),
        ("3,0,8,nan",),
        ("3,0,8,10000",),
        ("3,0,8," + "9" * 400,),
        ("3,0,8,٣",),
        ("3,0,8,100,7",),
        ("3,0,8,100", "3,0,8,100"),
    ],
)
def test_a_pace_that_is_no_positive_number_is_ignored(texts):
    headers = make_headers(*[("X-Load", text) for text in texts])
    notices = read_notices(headers, NAMES)
    assert notices.pace_percent is None
    assert notices.has_invalid("X-Load")


@pytest.mark.parametrize("text", ["3,0,8", "", "many", "3"])
def test_a_load_without_a_pace_tells_nothing(text):
    notices = read_notices(make_headers(("X-Load", text)), NAMES)
    assert notices == TargetNotices()


def test_an_invalid_pace_leaves_the_limit_valid():
    headers = make_headers(("X-Load", "3,0,8,x"), ("X-Limit", "5"))
    notices = read_notices(headers, NAMES)
    assert notices.limit == 5.0
    assert notices.invalid_headers == (("X-Load", "3,0,8,x"),)


def test_headers_without_a_name_are_not_read():
    headers = make_headers(
        ("X-Limit", "5"), ("", "5"), ("X-Load", "3,0,8,100")
    )
    names = HeaderNames(target_limit="", target_leaving="")
    assert read_notices(headers, names) == TargetNotices()


def test_a_target_that_names_another_limit_each_time_is_logged_seldom(
    monkeypatch,
):
    logged = []
    monkeypatch.setattr(
        notices_module, "emit", lambda event, **fields: logged.append(fields)
    )
    log = NoticeLog()
    for number in range(1, 100):
        log.limit_changed(
            RECORD, float(number), source="X-Limit", now=number / 1000
        )
    log.limit_changed(RECORD, 0.0, source="X-Limit", now=0.5)
    assert [fields["requests_per_second"] for fields in logged] == [1.0, 0.0]
    log.limit_changed(RECORD, 7.0, source="X-Limit", now=2.0)
    assert logged[-1]["requests_per_second"] == 7.0
