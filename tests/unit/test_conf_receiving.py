"""The limit of all answers in progress and that of a single one."""

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
