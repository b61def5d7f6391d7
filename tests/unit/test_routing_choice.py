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
        fields = {"slots": 4, "slow_start_at": 0.0, **fields}
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


def picked_counts(targets, *, rounds=200, **options):
    """Return how often each target is chosen, by target id."""
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
def test_match_returns_the_longest_prefix_that_ends_at_a_slash(path, name):
    table = RouteTable(
        {
            "root": Route(prefix="/", service="s"),
            "a": Route(prefix="/a/", service="s"),
            "abc": Route(prefix="/a/b/c", service="s"),
        }
    )
    assert table.match(path)[0] == name


def test_match_without_a_route_returns_none():
    assert RouteTable({}).match("/a") is None
    table = RouteTable({"a": Route(prefix="/a", service="s")})
    assert table.match("/b/a") is None


def test_same_zone_target_is_preferred_until_it_is_full(make_target):
    same_zone, cross_zone = (
        make_target("same-zone"),
        make_target("cross-zone", zone="quimper"),
    )
    assert picked_counts([same_zone, cross_zone]) == {"same-zone": 200}
    same_zone.in_flight = 4
    assert picked_counts([same_zone, cross_zone]) == {"cross-zone": 200}


def test_draining_and_excluded_targets_are_not_chosen(make_target):
    draining = make_target("draining", draining=True)
    other = make_target("other")
    assert picked_counts([draining, other]) == {"other": 200}
    match pick([draining, other], exclude={"other"}):
        case NoTarget(reason="excluded", retry_after_ms=delay):
            assert delay > 0
        case outcome:
            pytest.fail(f"unexpected {outcome}")


def test_full_targets_return_overloaded_with_a_retry_delay(make_target):
    match pick([make_target("a", in_flight=4)]):
        case NoTarget(reason="overloaded", retry_after_ms=delay):
            assert delay > 0
        case outcome:
            pytest.fail(f"unexpected {outcome}")


def test_report_of_no_load_does_not_attract_requests(make_target):
    reports_idle, other = (
        make_target("reports-idle", in_flight=2),
        make_target("other"),
    )
    reports_idle.record_report(100.0, 0.0, True)
    other.record_report(100.0, 0.3, True)
    assert picked_counts([reports_idle, other])["other"] > 190


def test_own_success_overrides_a_report_of_bad_health(make_target):
    target, other = make_target("a"), make_target("b")
    target.record_report(99.0, 0.0, False)
    assert picked_counts([target, other]) == {"b": 200}
    target.record_start(99.5)
    target.record_outcome(99.6, 0.01, OutcomeKind.ANSWERED)
    assert picked_counts([target, other])["a"] > 50


def test_own_errors_override_a_report_of_good_health(make_target):
    target, other = make_target("a"), make_target("b", in_flight=2)
    for _ in range(6):
        target.record_start(99.0)
        target.record_outcome(99.0, 0.001, OutcomeKind.FAILED)
    target.record_report(100.0, 0.0, True)
    assert picked_counts([target, other]) == {"b": 200}


def test_target_in_slow_start_gets_fewer_requests(make_target):
    new = make_target("new", slow_start_at=99.9, cold_start_ms=2000)
    old = make_target("old", in_flight=1)
    assert picked_counts([new, old]) == {"old": 200}
    assert pick([new]) == Chosen(target_id="new")


def test_targets_in_slow_start_are_used_up_to_their_limits_without_others(
    make_target,
):
    new = make_target(
        "new", slow_start_at=100.0, cold_start_ms=2000, in_flight=3
    )
    assert pick([new]) == Chosen(target_id="new")


def test_panic_uses_unhealthy_targets_when_the_rest_are_full(make_target):
    healthy = make_target("healthy", in_flight=4)
    unhealthy = [
        make_target(f"unhealthy-{n}", ejected_until=200.0) for n in range(3)
    ]
    outcome = pick([healthy, *unhealthy])
    assert isinstance(outcome, Chosen)
    assert outcome.panicked
    assert isinstance(pick([healthy, unhealthy[0]]), NoTarget)


def test_load_spreads_over_equal_targets(make_target):
    targets = Candidates(targets=tuple(make_target(str(n)) for n in range(10)))
    by_id = {target.target_id: target for target in targets.targets}
    for seed in range(30):
        by_id[pick(targets, seed=seed).target_id].record_start(100.0)
    assert max(target.in_flight for target in targets.targets) <= 4
