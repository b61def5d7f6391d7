"""Limits of answers in progress and of pipelined requests."""

import pytest

from tests.support.planned_settings import load_planned
from verbenanotch.documents import Invalid, Valid


@pytest.mark.parametrize(
    ("max_receiving_bytes", "expected"), [(1000, Valid), (999, Invalid)]
)
def test_all_answers_may_take_at_least_what_one_may(
    tmp_path, max_receiving_bytes, expected
):
    result = load_planned(
        tmp_path,
        "proxy",
        proxy={
            "max_body_bytes": 1000,
            "max_receiving_bytes": max_receiving_bytes,
        },
    )
    assert isinstance(result, expected)
    if expected is Invalid:
        assert "proxy.max_receiving_bytes" in str(result.problems)


@pytest.mark.parametrize(
    ("max_pipelined", "expected"), [(1, Valid), (0, Invalid)]
)
def test_at_least_one_request_of_a_connection_runs(
    tmp_path, max_pipelined, expected
):
    result = load_planned(
        tmp_path, "proxy", proxy={"max_pipelined": max_pipelined}
    )
    assert isinstance(result, expected)
    if expected is Invalid:
        assert "proxy.max_pipelined" in str(result.problems)
