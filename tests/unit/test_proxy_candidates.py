"""Observations of targets across changing snapshots."""

import attrs
import pytest

from tests.unit.test_proxy_entry import FakeSnapshotStore, make_record
from verbenanotch.catalog import Service, Version
from verbenanotch.proxy._candidates import CandidateCache
from verbenanotch.routing import OutcomeKind, OutlierDetector


@pytest.fixture
def snapshot_store():
    return FakeSnapshotStore(
        [make_record(1), make_record(2)],
        version=Version(epoch=1, index=1),
        services_by_name={"pay": Service(cold_start_ms=0)},
        routes_by_name={},
    )


def states(cache, snapshot_store, now=0.0):
    targets = cache.candidates(snapshot_store.snapshot, "pay", now=now).targets
    return {state.target_id: state for state in targets}


def test_candidates_are_built_once_per_snapshot(snapshot_store):
    cache = CandidateCache(snapshot_store=snapshot_store)
    first = cache.candidates(snapshot_store.snapshot, "pay", now=0)
    assert cache.candidates(snapshot_store.snapshot, "pay", now=1) is first


def test_observations_are_kept_across_snapshots_but_not_incarnations(
    snapshot_store,
):
    cache = CandidateCache(snapshot_store=snapshot_store)
    before = states(cache, snapshot_store)
    changed = make_record(2)
    target = attrs.evolve(changed.targets[0], incarnation=2)
    changed = attrs.evolve(changed, targets=(target,))
    snapshot_store.replace_records([make_record(1), changed, make_record(3)])
    after = states(cache, snapshot_store, now=5)
    assert after["pay/1"] is before["pay/1"]
    assert after["pay/2"] is not before["pay/2"]
    assert after["pay/3"].slow_start_at == 5


def test_a_request_with_an_earlier_snapshot_keeps_the_observations(
    snapshot_store,
):
    cache = CandidateCache(snapshot_store=snapshot_store)
    earlier = snapshot_store.snapshot
    states(cache, snapshot_store)
    snapshot_store.replace_records([make_record(2), make_record(3)])
    newer = states(cache, snapshot_store)
    targets = cache.candidates(earlier, "pay", now=1).targets
    assert [state.target_id for state in targets] == ["pay/2"]
    assert states(cache, snapshot_store)["pay/3"] is newer["pay/3"]


def test_the_observations_of_removed_targets_are_dropped(snapshot_store):
    cache = CandidateCache(snapshot_store=snapshot_store)
    states(cache, snapshot_store)
    snapshot_store.replace_records([make_record(1)])
    assert set(states(cache, snapshot_store)) == {"pay/1"}
    assert set(cache.states_by_target_id) == {"pay/1"}


def test_an_ejected_target_without_cold_start_can_be_chosen_again(
    snapshot_store,
):
    state = states(
        CandidateCache(snapshot_store=snapshot_store), snapshot_store
    )["pay/1"]
    detector = OutlierDetector()
    ejected = None
    for _ in range(20):
        state.record_start(0.0)
        state.record_outcome(0.0, 0.1, OutcomeKind.UNKNOWN)
        ejected = ejected or detector.record_outcome(
            state, OutcomeKind.UNKNOWN, now=0.0, target_count=2
        )
    assert ejected is not None
    assert state.cold_start_ms == 0
    assert state.has_capacity(0.0)


def test_a_lightly_used_target_keeps_its_limit(snapshot_store):
    state = states(
        CandidateCache(snapshot_store=snapshot_store), snapshot_store
    )["pay/1"]
    before = state.limit.value
    for number in range(2000):
        latency = 0.010 if number % 10 == 0 else 0.001
        state.record_start(0.0)
        state.record_outcome(0.0, latency, OutcomeKind.ANSWERED)
    assert state.limit.value >= before
