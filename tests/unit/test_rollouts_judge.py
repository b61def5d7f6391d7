"""The judge and the steps of rollouts, under seeded loads."""

import math

import attrs
import pytest

from tests.support.rollout_load import LIMITS, Load, RolloutModel
from verbenanotch.catalog import Version
from verbenanotch.rollouts import OutcomeCount, VersionOutcomes
from verbenanotch.rollouts._commands import Action
from verbenanotch.rollouts._evidence import (
    Evidence,
    OutcomeHistory,
    RouteEvidence,
    Sample,
)
from verbenanotch.rollouts._judge import (
    Bad,
    Sound,
    Undecided,
    chance_of_at_least,
    judge,
)
from verbenanotch.rollouts._steps import (
    SETTLE_SECONDS,
    Limits,
    Make,
    Situation,
    Stay,
    decide_step,
    planned_share_ppm,
)
from verbenanotch.rollouts.control import Phase, Rollout

SEEDS = range(2)
LOADS = {
    "busy": {"calls_per_second_by_route": {"status": 503}},
    "two routes": {
        "calls_per_second_by_route": {"confirm": 400, "stock": 130},
        "mean_seconds": 0.25,
    },
    "quiet": {
        "calls_per_second_by_route": {"pay": 115, "press": 60},
        "mean_seconds": 0.14,
        "timeout_seconds": 1.2,
    },
}
FAULTS = {
    "errors": {"how": "errors"},
    "few errors": {"how": "errors", "share": 0.3},
    "slow": {"how": "slow"},
    "under load": {"how": "under_load"},
    "one class": {"how": "one_class"},
    "late": {"how": "late"},
    "late in the shift": {"how": "late", "late_after_seconds": 10.3},
}
GOOD = {
    "usual": {},
    "burst": {"burst_at": 6.0},
    "burst at the start": {"burst_at": 2.0},
    "burst in the shift": {"burst_at": 10.5},
    "old version fails": {"old_failure_rate": 0.3},
    "both fail a little": {"failure_rate": 0.04, "old_failure_rate": 0.04},
    "late start": {"candidate_starts_at": 4.0},
}


@pytest.mark.parametrize("fault", FAULTS)
@pytest.mark.parametrize("load", LOADS)
def test_a_bad_version_is_rolled_back_within_the_limit(load, fault):
    for seed in SEEDS:
        result = RolloutModel(
            Load(**LOADS[load], **FAULTS[fault]), seed
        ).play()
        assert result.phase is Phase.ROLLED_BACK, (seed, result)
        assert result.keeps_limit, (seed, result)


@pytest.mark.parametrize("how", ["errors", "one_class", "late", "slow"])
@pytest.mark.parametrize("load", LOADS)
def test_fifty_bad_answers_are_not_needed(load, how):
    for seed in SEEDS:
        result = RolloutModel(Load(**LOADS[load], how=how), seed).play()
        assert result.bad_answers < 50, (seed, result)


@pytest.mark.parametrize("kind", GOOD)
@pytest.mark.parametrize("load", LOADS)
def test_a_good_version_is_completed_in_time(load, kind):
    for seed in SEEDS:
        result = RolloutModel(Load(**LOADS[load], **GOOD[kind]), seed).play()
        assert result.phase is Phase.COMPLETED, (seed, result)
        assert result.ended_at < 12.0, (seed, result)


def test_a_version_without_requests_is_rolled_back_at_the_deadline():
    load = Load(calls_per_second_by_route={"s": 0.0})
    result = RolloutModel(load, 1).play()
    assert result.phase is Phase.ROLLED_BACK
    assert "no call to the new version has ended" in result.reason


def test_a_version_that_never_starts_is_rolled_back():
    load = Load(**LOADS["busy"], candidate_starts_at=99.0)
    result = RolloutModel(load, 1).play()
    assert result.phase is Phase.ROLLED_BACK
    assert "no target of the new version" in result.reason
    assert result.exposed == 0


@pytest.mark.parametrize("calls", [1, 7, 60, 3000])
@pytest.mark.parametrize("rate", [0.05, 0.3, 0.95])
def test_the_chance_is_that_of_the_binomial_distribution(calls, rate):
    for count in {0, 1, calls // 3, calls // 2, calls, calls + 1}:
        exact = math.fsum(
            math.exp(
                math.lgamma(calls + 1)
                - math.lgamma(number + 1)
                - math.lgamma(calls - number + 1)
                + number * math.log(rate)
                + (calls - number) * math.log(1 - rate)
            )
            for number in range(count, calls + 1)
        )
        assert chance_of_at_least(count, calls, rate) == pytest.approx(
            min(1.0, exact), abs=1e-9
        )


def make_evidence(candidate, old, **fields):
    item = RouteEvidence(
        route="r", candidate=Sample(**candidate), old=Sample(**old)
    )
    return Evidence(
        total=(item,),
        warm=(item,),
        warm_seconds=1.0,
        **{"calls_per_second": 100.0, "report_age_seconds": 0.1, **fields},
    )


OLD = {"calls": 1000, "failures": 5, "late": 10, "milliseconds": 200_000}


@pytest.mark.parametrize(
    ("candidate", "verdict"),
    [
        ({}, Undecided),
        ({"calls": 5, "milliseconds": 1000}, Undecided),
        ({"calls": 60, "failures": 1, "milliseconds": 12_000}, Sound),
        # Cold: twice the time, some of it late.
        ({"calls": 60, "late": 6, "milliseconds": 24_000}, Sound),
        ({"calls": 12, "failures": 7, "milliseconds": 1000}, Bad),
        ({"calls": 60, "late": 30, "milliseconds": 60_000}, Bad),
        ({"calls": 60, "milliseconds": 40_000}, Bad),
    ],
)
def test_the_judge_compares_with_the_old_version(candidate, verdict):
    assert isinstance(judge(make_evidence(candidate, OLD)), verdict)


def test_a_version_is_no_worse_than_one_that_fails_itself():
    failing = {"calls": 1000, "failures": 400, "milliseconds": 120_000}
    candidate = {"calls": 60, "failures": 24, "milliseconds": 7000}
    assert isinstance(judge(make_evidence(candidate, OLD)), Bad)
    assert not isinstance(judge(make_evidence(candidate, failing)), Bad)


def outcomes(calls, failures=0, version="v2", incarnation=1):
    count = OutcomeCount(
        route="r",
        software_version=version,
        calls=calls,
        failures=failures,
        late=0,
        milliseconds=(calls - failures) * 100,
    )
    return VersionOutcomes(
        service="a", proxy_incarnation=incarnation, counts=(count,)
    )


def test_lost_repeated_and_old_reports_count_once():
    history = OutcomeHistory(candidate="v2")
    for host, message in (
        ("p1", outcomes(10)),
        ("p1", outcomes(30, 2)),
        ("p1", outcomes(30, 2)),
        ("p1", outcomes(20, 1)),
        ("p2", outcomes(5)),
        ("p1", outcomes(4, incarnation=2)),
        ("p1", outcomes(40, 4)),
    ):
        history.receive(host, message, now=1.0)
    total = history.evidence(now=1.0).candidate
    assert (total.calls, total.failures) == (39, 2)


def test_new_targets_may_be_late_for_a_while():
    late = {"calls": 60, "late": 30, "milliseconds": 60_000}
    cold = attrs.evolve(make_evidence(late, OLD), warm=(), warm_seconds=-1.0)
    assert isinstance(judge(cold), Undecided)


def test_windows_leave_out_what_is_older():
    history = OutcomeHistory(candidate="v2")
    history.receive("p", outcomes(100), now=1.0)
    history.receive("p", outcomes(120), now=2.0)
    history.receive("p", outcomes(130, 9), now=4.5)
    evidence = history.evidence(now=4.6)
    assert evidence.calls_per_second == 10
    (last_second,), (last_seconds,) = evidence.recent
    assert last_second.candidate.calls == 10
    assert last_seconds.candidate.calls == 30
    assert evidence.candidate.calls == 130
    assert evidence.report_age_seconds == pytest.approx(0.1)


POSITION = Version(epoch=1, index=5)
ROLLOUT = Rollout(
    service="a",
    candidate="v2",
    finish_by_ms=12_000,
    operator="ann",
    ordered_at_ms=0,
    order=POSITION,
    exposed=POSITION,
)
GOOD_EVIDENCE = make_evidence(
    {"calls": 80, "milliseconds": 16_000}, OLD, busy=20.0
)


def make_situation(**fields):
    return Situation(
        **{
            "elapsed_seconds": 10.9,
            "since_step_seconds": 0.1,
            "evidence": GOOD_EVIDENCE,
            "candidate_slots": 50,
            "old_slots": 50,
            "acknowledged_seconds": 2.0,
            **fields,
        }
    )


def decide(rollout=ROLLOUT, **fields):
    return decide_step(rollout, make_situation(**fields), LIMITS)


def test_a_trusted_version_is_shifted_shortly_before_the_deadline():
    rollout = attrs.evolve(ROLLOUT, share_ppm=20_000)
    assert decide(rollout).action is Action.SHIFT
    assert decide(rollout, elapsed_seconds=3.0).action is Action.EXPOSE


def test_targets_that_cannot_bear_the_load_are_not_shifted_to():
    step = decide(candidate_slots=10)
    assert isinstance(step, Stay) and "slots" in step.reason
    step = decide(candidate_slots=10, elapsed_seconds=11.8)
    assert step.action is Action.ROLL_BACK and "slots" in step.reason
    # As many as the old ones are enough, however busy these are.
    assert decide(candidate_slots=22, old_slots=22).action is Action.SHIFT


SHIFTING = attrs.evolve(ROLLOUT, phase=Phase.SHIFTING, share_ppm=1_000_000)


@pytest.mark.parametrize(
    ("fields", "complete"),
    [
        ({"elapsed_seconds": 11.4}, True),
        ({"elapsed_seconds": 11.4, "acknowledged_seconds": None}, False),
        ({"elapsed_seconds": 11.4, "acknowledged_seconds": 0.2}, False),
        (
            {
                "elapsed_seconds": 11.4,
                "evidence": attrs.evolve(
                    GOOD_EVIDENCE, report_age_seconds=2.0
                ),
            },
            False,
        ),
        ({"elapsed_seconds": 11.4, "evidence": Evidence()}, False),
        # Most new targets have gone.
        ({"elapsed_seconds": 11.4, "candidate_slots": 10}, False),
    ],
)
def test_a_shift_is_completed_once_nothing_is_at_the_old_targets(
    fields, complete
):
    step = decide(SHIFTING, **fields)
    is_complete = isinstance(step, Make) and step.action is Action.COMPLETE
    assert is_complete == complete
    later = decide(SHIFTING, **{**fields, "elapsed_seconds": 11.8})
    expected = Action.COMPLETE if complete else Action.ROLL_BACK
    assert later.action is expected
    over = decide(SHIFTING, **{**fields, "elapsed_seconds": 12.1})
    assert over.action is Action.ROLL_BACK and over.reason


def test_a_bad_version_is_rolled_back_in_either_phase():
    evidence = make_evidence({"calls": 20, "failures": 10}, OLD)
    for rollout in (ROLLOUT, SHIFTING):
        for seconds in (2.0, 11.4):
            step = decide(rollout, evidence=evidence, elapsed_seconds=seconds)
            assert step.action is Action.ROLL_BACK
            assert "10 of 20" in step.reason


def test_a_rollout_of_a_service_that_is_gone_is_rolled_back():
    step = decide(has_service=False, elapsed_seconds=2.0)
    assert step.action is Action.ROLL_BACK


def test_time_is_logged_and_a_completed_rollout_settles():
    waiting = {"candidate_slots": 0, "elapsed_seconds": 3.0}
    assert isinstance(decide(**waiting), Stay)
    assert decide(**waiting, since_step_seconds=1.0).action is Action.TICK
    done = attrs.evolve(SHIFTING, phase=Phase.COMPLETED)
    assert isinstance(decide(done), Stay)
    step = decide(done, since_step_seconds=SETTLE_SECONDS)
    assert step.action is Action.SETTLE


@pytest.mark.parametrize(
    ("max_share", "shares"), [(0.0, {0}), (0.1, {10_000}), (33.3, {10_000})]
)
def test_any_limit_gives_a_share(max_share, shares):
    limits = Limits(max_share=max_share, allowance=0.0)
    situation = make_situation(
        elapsed_seconds=2.0,
        evidence=attrs.evolve(GOOD_EVIDENCE, calls_per_second=2000.0),
    )
    step = decide_step(ROLLOUT, situation, limits)
    assert {getattr(step, "share_ppm", 0)} == shares
    assert 0 <= planned_share_ppm(ROLLOUT, situation, limits) <= 1_000_000


def test_the_share_grows_to_the_cap_in_a_long_rollout():
    rollout = attrs.evolve(ROLLOUT, finish_by_ms=600_000)
    situation = make_situation(
        elapsed_seconds=5.0,
        evidence=attrs.evolve(GOOD_EVIDENCE, calls_per_second=1000.0),
    )
    planned = planned_share_ppm(rollout, situation, LIMITS)
    assert 80_000 < planned <= LIMITS.max_share * 1_000_000
    first = decide_step(rollout, situation, LIMITS)
    assert first.share_ppm == 10_000
    second = decide_step(
        attrs.evolve(rollout, share_ppm=first.share_ppm), situation, LIMITS
    )
    assert second.share_ppm == planned
    assert isinstance(
        decide_step(
            attrs.evolve(rollout, share_ppm=planned), situation, LIMITS
        ),
        Stay,
    )
