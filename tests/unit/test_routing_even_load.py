"""Choice of a target by loads that are old, and what targets tell of pace."""

import collections
import functools
import math
import random
import statistics

import attrs
import pytest

from tests.support.shared_targets import (
    Service,
    Shape,
    choose_at_random,
    quantile,
)
from verbenanotch.routing import (
    Candidates,
    Chosen,
    NoTarget,
    OutcomeKind,
    PaceMeter,
    TargetLoad,
    TargetState,
    choose,
)

SLOTS = 5
SEEDS = (1, 2)
SECONDS = 13.0
choose_evenly = functools.partial(choose, even_load=True)


@pytest.fixture
def make_target():
    def make(target_id, *, zone="rennes", at=100.0, **load):
        target = TargetState(
            target_id=target_id,
            service="orders",
            availability_zone=zone,
            host=f"host-{target_id}",
            slots=SLOTS,
            slow_start_at=float("-inf"),
        )
        if load:
            target.observe_load(at, make_load(**load))
        return target

    return make


def make_load(busy, *, seconds=0.1, pace=100, **fields):
    return TargetLoad(
        busy=busy,
        service_seconds=seconds,
        pace_percent=pace,
        usual_seconds=seconds,
        **fields,
    )


def chosen_counts(targets, *, now=100.05, rounds=400, **options):
    """Return how often each target is chosen, by target id."""
    candidates = Candidates(targets=tuple(targets))
    generator = random.Random(3)
    return collections.Counter(
        choose_evenly(
            candidates,
            now=now,
            random=generator,
            availability_zone="rennes",
            **options,
        ).target_id
        for _ in range(rounds)
    )


@pytest.fixture(scope="module")
def measure():
    """Return a function that gives the means of one rule over the seeds."""

    @functools.cache
    def run(choice, utilisation, **shape):
        results = [
            Service(
                Shape(
                    utilisation=utilisation,
                    seed=seed,
                    seconds=SECONDS,
                    **shape,
                ),
                choice,
            ).run()
            for seed in SEEDS
        ]
        return {
            "wait": statistics.mean(
                quantile(result.waits, 0.99) for result in results
            ),
            "idle": statistics.mean(result.idle_share for result in results),
            "refused": statistics.mean(
                result.refused_share for result in results
            ),
        }

    return run


@pytest.mark.parametrize(
    ("utilisation", "wait_share"), [(0.6, 0.5), (0.8, 0.5), (0.95, 0.75)]
)
@pytest.mark.parametrize("other", [choose, choose_at_random])
def test_waits_are_shorter_than_by_other_rules(
    measure, utilisation, wait_share, other
):
    even = measure(choose_evenly, utilisation)
    other = measure(other, utilisation)
    assert even["wait"] <= wait_share * other["wait"]
    assert even["refused"] <= other["refused"]


@pytest.mark.parametrize(
    ("utilisation", "idle_share"), [(0.6, 0.75), (0.8, 0.5), (0.95, 0.5)]
)
def test_targets_idle_less_beside_a_queue(measure, utilisation, idle_share):
    even = measure(choose_evenly, utilisation)
    by_load = measure(choose, utilisation)
    assert even["idle"] <= idle_share * by_load["idle"]


def test_waits_are_shorter_where_each_chooser_has_a_target(measure):
    even = measure(choose_evenly, 0.8, has_local_targets=True)
    by_load = measure(choose, 0.8, has_local_targets=True)
    assert even["wait"] <= 0.5 * by_load["wait"]
    assert even["idle"] <= 0.5 * by_load["idle"]


def test_waits_are_shorter_without_a_pace(measure):
    even = measure(choose_evenly, 0.8, reports_pace=False)
    by_load = measure(choose, 0.8, reports_pace=False)
    assert even["wait"] <= 0.5 * by_load["wait"]


def test_overload_refuses_no_more_requests(measure):
    even = measure(choose_evenly, 1.5)
    by_load = measure(choose, 1.5)
    assert even["refused"] <= by_load["refused"] + 0.02


def test_choosers_that_see_one_idle_target_spread(make_target):
    """Thirty proxies know the same loads, all from the same moment."""
    targets = [make_target("idle", busy=0)] + [
        make_target(str(number), busy=4) for number in range(29)
    ]
    candidates = Candidates(targets=tuple(targets))
    counts = collections.Counter(
        choose_evenly(
            candidates,
            now=100.2,
            random=random.Random(seed),
            availability_zone="rennes",
        ).target_id
        for seed in range(30)
    )
    assert counts["idle"] <= SLOTS
    assert len(counts) >= 15


def test_an_old_report_says_less(make_target):
    targets = [make_target("idle", busy=0)] + [
        make_target(str(number), busy=4) for number in range(3)
    ]
    new = chosen_counts(targets, now=100.0)["idle"]
    old = chosen_counts(targets, now=100.6)["idle"]
    assert new > 2 * old
    assert 50 < old < 150


def test_requests_sent_since_the_report_count(make_target):
    targets = [make_target("a", busy=1), make_target("b", busy=1)]
    for _ in range(4):
        targets[0].record_start(100.01)
    assert chosen_counts(targets)["b"] > 360


def test_without_a_known_load_the_choice_is_by_pressure(make_target):
    targets = [make_target(str(number)) for number in range(4)]
    counts = chosen_counts(targets)
    assert min(counts.values()) > 60


def test_a_target_without_a_known_load_gets_its_share(make_target):
    targets = [make_target("unknown")] + [
        make_target(str(number), busy=3) for number in range(3)
    ]
    assert 40 < chosen_counts(targets)["unknown"] < 200


def test_the_only_target_is_chosen_for_any_wait(make_target):
    only = choose_evenly(
        [make_target("only", busy=9)],
        now=100.1,
        random=random.Random(1),
        availability_zone="rennes",
    )
    assert only == Chosen(target_id="only", max_wait_seconds=math.inf)


def test_a_request_waits_as_long_as_it_would_elsewhere(make_target):
    def max_wait(busy):
        targets = [
            make_target(str(number), busy=busy, seconds=0.2)
            for number in range(4)
        ]
        return choose_evenly(
            targets,
            now=100.0,
            random=random.Random(1),
            availability_zone="rennes",
        ).max_wait_seconds

    assert 0.0 < max_wait(2) < 0.1
    assert max_wait(2 * SLOTS - 1) > 0.1


def test_slow_targets_share_the_load_if_all_are_slow(make_target):
    targets = [
        make_target(str(number), busy=4, pace=400) for number in range(4)
    ]
    counts = chosen_counts(targets)
    assert min(counts.values()) > 60


def test_a_slowed_target_gets_less_until_its_pace_is_old(make_target):
    targets = [make_target("slowed", busy=2, pace=300)] + [
        make_target(str(number), busy=2) for number in range(3)
    ]
    assert chosen_counts(targets, now=100.0)["slowed"] < 40
    assert chosen_counts(targets, now=103.0)["slowed"] > 60


def test_an_extreme_pace_neither_attracts_nor_repels_all(make_target):
    others = [make_target(str(number), busy=2) for number in range(3)]
    fast = make_target("told", busy=2, pace=1)
    assert chosen_counts([fast, *others], now=100.3)["told"] < 300
    slow = make_target("told", busy=0, pace=9999)
    assert chosen_counts([slow, *others], now=103.0)["told"] > 60


def test_a_target_that_reports_itself_idle_but_fails_is_avoided(make_target):
    lying = make_target("lying", busy=0)
    for _ in range(3):
        lying.record_start(99.9)
        lying.record_outcome(99.9, 0.001, OutcomeKind.FAILED)
    targets = [lying] + [
        make_target(str(number), busy=3) for number in range(3)
    ]
    assert chosen_counts(targets)["lying"] < 100


def test_a_full_target_that_reports_itself_idle_gets_no_request_again(
    make_target,
):
    lying, other = make_target("lying", busy=0), make_target("other", busy=4)
    assert chosen_counts([lying, other], exclude={"lying"}) == {"other": 400}
    refused = choose_evenly(
        [lying],
        now=100.0,
        random=random.Random(1),
        availability_zone="rennes",
        exclude={"lying"},
    )
    assert isinstance(refused, NoTarget)


def test_a_request_stays_in_its_zone_if_it_can_meet_its_objective(make_target):
    same_zone = [make_target(str(number), busy=4) for number in range(2)]
    cross_zone = make_target("cross", zone="brest", busy=0, seconds=0.02)
    targets = [*same_zone, cross_zone]
    assert "cross" not in chosen_counts(targets, objective_seconds=0.4)
    assert chosen_counts(targets, objective_seconds=0.05)["cross"] > 200
    assert "cross" not in chosen_counts(
        targets, objective_seconds=0.05, cross_zone_penalty_seconds=1.0
    )
    assert chosen_counts([cross_zone]) == {"cross": 400}


def test_a_request_stays_on_its_host_if_it_can_meet_its_objective(make_target):
    targets = [make_target("own", busy=4), make_target("other", busy=0)]
    options = {"host": "host-own"}
    assert chosen_counts(targets, objective_seconds=0.4, **options) == {
        "own": 400
    }
    assert (
        chosen_counts(targets, objective_seconds=0.05, **options)["other"]
        > 300
    )


def test_a_load_that_arrives_late_does_not_replace_a_later_one(make_target):
    target = make_target("a", busy=4, reported_ms=2_000)
    target.observe_load(100.1, make_load(0, reported_ms=1_900))
    assert target.load.busy == 4
    target.observe_load(100.2, make_load(1, reported_ms=2_100))
    assert target.load.busy == 1


def test_a_restart_of_the_host_starts_the_times_of_reports_again(make_target):
    target = make_target("a", busy=4, reported_ms=900_000)
    target.observe_load(106.0, make_load(0, reported_ms=10))
    assert target.load.busy == 0


def test_loads_without_a_time_replace_each_other(make_target):
    target = make_target("a", busy=4, reported_ms=900_000)
    target.observe_load(100.1, make_load(0))
    assert target.load.busy == 0


@pytest.mark.parametrize("load", [make_load(3, seconds=0.0), make_load(0)])
def test_a_report_without_a_service_time_is_used(make_target, load):
    target = make_target("a")
    target.observe_load(100.0, attrs.evolve(load, usual_seconds=0.0))
    assert sum(chosen_counts([target, make_target("b", busy=3)]).values())


def test_a_pace_decays_to_the_usual_one():
    meter = PaceMeter(ewma_weight=0.1)
    assert meter.slowdown(0.0) == 1.0
    meter.observe(300, 10.0)
    assert meter.percent_at(10.0) == 300
    assert 100 < meter.percent_at(10.5) < 220
    assert meter.percent_at(20.0) == 100


def test_the_usual_service_time_is_that_at_the_usual_pace():
    meter = PaceMeter(ewma_weight=0.1)
    for _ in range(200):
        meter.observe(250, 10.0)
    assert meter.usual_seconds(0.5) == pytest.approx(0.2, rel=0.01)
    assert meter.slowdown(10.0) == pytest.approx(1.0, rel=0.01)
