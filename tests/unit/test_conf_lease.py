"""Bounds of the lease that other processes rely on."""

import pytest

from tests.support.planned_settings import load_planned
from verbenanotch.conf._checks import MAX_LEASE_MS, MIN_LEASE_MS
from verbenanotch.documents import Invalid, Valid
from verbenanotch.idempotency._agreement import INCOMPLETE_VIEW_MS


def load(directory, lease_ms):
    """Load the settings of a control host with this lease."""
    return load_planned(directory, "control", control={"lease_ms": lease_ms})


@pytest.mark.parametrize("lease_ms", [MIN_LEASE_MS, MAX_LEASE_MS])
def test_a_lease_within_the_bounds_is_accepted(tmp_path, lease_ms):
    assert isinstance(load(tmp_path, lease_ms), Valid)


@pytest.mark.parametrize("lease_ms", [MIN_LEASE_MS - 1, MAX_LEASE_MS + 1])
def test_a_lease_outside_the_bounds_is_rejected(tmp_path, lease_ms):
    result = load(tmp_path, lease_ms)
    assert isinstance(result, Invalid)
    assert "control.lease_ms" in str(result.problems)


def test_new_holders_wait_for_the_longest_lease():
    assert INCOMPLETE_VIEW_MS >= MAX_LEASE_MS
