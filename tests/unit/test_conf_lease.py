"""Bounds of the lease, on which other processes rely."""

import pytest

from tests.support.planned_settings import load_planned
from verbenanotch.conf._checks import MAX_LEASE_MS, MIN_LEASE_MS
from verbenanotch.documents import Invalid, Valid
from verbenanotch.idempotency._agreement import INCOMPLETE_VIEW_MS


def load(folder, lease_ms):
    """Return the result for a control host with a lease."""
    return load_planned(folder, "control", control={"lease_ms": lease_ms})


@pytest.mark.parametrize("lease_ms", [MIN_LEASE_MS, MAX_LEASE_MS])
def test_a_lease_within_the_bounds_is_taken(tmp_path, lease_ms):
    assert isinstance(load(tmp_path, lease_ms), Valid)


@pytest.mark.parametrize("lease_ms", [MIN_LEASE_MS - 1, MAX_LEASE_MS + 1])
def test_a_lease_that_others_cannot_rely_on_is_refused(tmp_path, lease_ms):
    result = load(tmp_path, lease_ms)
    assert isinstance(result, Invalid)
    assert "control.lease_ms" in str(result.problems)


def test_new_holders_wait_for_the_longest_lease():
    assert INCOMPLETE_VIEW_MS >= MAX_LEASE_MS
