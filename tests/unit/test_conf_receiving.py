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
    ("memory_mb", "expected_bytes"),
    [
        (0, 100_000_000),
        (1000, 100_000_000),
        (300, 100_000_000),
        (240.0, 80_000_000),
        # A single body is always accepted.
        (90, 50_000_000),
    ],
)
def test_the_bodies_of_all_requests_fit_into_the_memory_of_the_host(
    tmp_path, memory_mb, expected_bytes
):
    result = load_planned(
        tmp_path,
        "proxy",
        host={"memory_mb": memory_mb},
        proxy={
            "max_body_bytes": 50_000_000,
            "max_receiving_bytes": 100_000_000,
        },
    )
    assert result.value.proxy.max_receiving_bytes == expected_bytes


@pytest.mark.parametrize("memory_mb", [-1, -0.5])
def test_a_negative_memory_is_refused(tmp_path, memory_mb):
    result = load_planned(tmp_path, "proxy", host={"memory_mb": memory_mb})
    assert isinstance(result, Invalid)
    assert "host.memory_mb" in str(result.problems)


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
