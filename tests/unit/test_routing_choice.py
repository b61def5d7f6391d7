"""Route matching and the choice of a target."""

import collections
import random

import pytest

from verbenanotch.catalog import Route
from verbenanotch.routing import (
    Candidates,
    Chosen,
    NoTarget,
    OutcomeKind,
    RouteTable,
    TargetState,
    choose,
)


@pytest.fixture
def make_target():
    def make(target_id, *, zone="rennes", **fields):
        fields = {"slots": 4, "first_seen": 0.0, **fields}
        return TargetState(
            target_id=target_id,
            service="orders",
            availability_zone=zone,
            host=f"host-{target_id}",
            **fields,
        )

    return make


def pick(targets, *, seed=1, now=100.0, **options):
    return choose(
        targets,
        now=now,
        random=random.Random(seed),
        availability_zone="rennes",
        **options,
    )


def picked(targets, *, rounds=200, **options):
    """Return how often each target is chosen."""
    return collections.Counter(
        pick(targets, seed=seed, **options).target_id for seed in range(rounds)
    )


@pytest.mark.parametrize(
    ("path", "name"),
    [
        ("/", "root"),
        ("/a", "a"),
        ("/a/", "a"),
        ("/ab", "root"),
        ("/a/b/c/d/e", "abc"),
        ("/a/b/cc", "a"),
        ("//a", "root"),
    ],
)
def test_longest_prefix_is_cut_at_a_slash(path, name):
    table = RouteTable(
        {
            "root": Route(prefix="/", service="s"),
            "a": Route(prefix="/a/", service="s"),
            "abc": Route(prefix="/a/b/c", service="s"),
        }
    )
    assert table.match(path)[0] == name


def test_no_route_is_none():
    assert RouteTable({}).match("/a") is None
    table = RouteTable({"a": Route(prefix="/a", service="s")})
    assert table.match("/b/a") is None


def test_own_zone_goes_first_and_spills_under_pressure(make_target):
    near, far = make_target("near"), make_target("far", zone="quimper")
    assert picked([near, far]) == {"near": 200}
    near.in_flight = 4
    assert picked([near, far]) == {"far": 200}


def test_draining_and_excluded_targets_get_nothing(make_target):
    leaving = make_target("leaving", draining=True)
    other = make_target("other")
    assert picked([leaving, other]) == {"other": 200}
    match pick([leaving, other], exclude={"other"}):
        case NoTarget(reason="excluded", retry_after_ms=delay):
            assert delay > 0
        case outcome:
            pytest.fail(f"unexpected {outcome}")


def test_full_targets_refuse_with_a_delay(make_target):
    match pick([make_target("a", in_flight=4)]):
        case NoTarget(reason="overloaded", retry_after_ms=delay):
            assert delay > 0
        case outcome:
            pytest.fail(f"unexpected {outcome}")


def test_claiming_to_be_idle_attracts_nothing(make_target):
    liar, other = make_target("liar", in_flight=2), make_target("other")
    liar.record_report(100.0, 0.0, True)
    other.record_report(100.0, 0.3, True)
    assert picked([liar, other])["other"] > 190


def test_own_success_outranks_a_report_of_bad_health(make_target):
    target, other = make_target("a"), make_target("b")
    target.record_report(99.0, 0.0, False)
    assert picked([target, other]) == {"b": 200}
    target.record_start(99.5)
    target.record_outcome(99.6, 0.01, OutcomeKind.ANSWERED)
    assert picked([target, other])["a"] > 50


def test_own_errors_outrank_a_report_of_good_health(make_target):
    target, other = make_target("a"), make_target("b", in_flight=2)
    for _ in range(6):
        target.record_start(99.0)
        target.record_outcome(99.0, 0.001, OutcomeKind.FAILED)
    target.record_report(100.0, 0.0, True)
    assert picked([target, other]) == {"b": 200}


def test_slow_start_gives_a_new_target_less(make_target):
    new = make_target("new", first_seen=99.9, cold_start_ms=2000)
    old = make_target("old", in_flight=1)
    assert picked([new, old]) == {"old": 200}
    assert pick([new]) == Chosen(target_id="new")


def test_only_new_targets_are_used_up_to_their_limits(make_target):
    new = make_target("new", first_seen=100.0, cold_start_ms=2000, in_flight=3)
    assert pick([new]) == Chosen(target_id="new")


def test_panic_uses_ill_targets_when_the_rest_are_full(make_target):
    well = make_target("well", in_flight=4)
    ill = [make_target(f"ill-{n}", ejected_until=200.0) for n in range(3)]
    outcome = pick([well, *ill])
    assert isinstance(outcome, Chosen)
    assert outcome.panicked
    assert isinstance(pick([well, ill[0]]), NoTarget)


def test_load_spreads_over_equal_targets(make_target):
    targets = Candidates(targets=tuple(make_target(str(n)) for n in range(10)))
    by_id = {target.target_id: target for target in targets.targets}
    for seed in range(30):
        by_id[pick(targets, seed=seed).target_id].record_start(100.0)
    assert max(target.in_flight for target in targets.targets) <= 4
