"""Decide the next step of a rollout.

The load pattern: a service with thousands of calls in the time of a rollout,
of which a bad candidate may get a tenth at most, the final shift included;
and one with so few that a tenth is hardly enough to judge by.
"""

import dataclasses

import attrs

from verbenanotch.rollouts._commands import Action
from verbenanotch.rollouts._evidence import MILLISECONDS_PER_SECOND, Evidence
from verbenanotch.rollouts._judge import Bad, Sound, judge
from verbenanotch.rollouts._rollout import FULL_SHARE_PPM, Phase

TICK_SECONDS = 1.0
SETTLE_SECONDS = 30.0
# Part of the limits that is planned with; the rest covers chance and delays.
USED_PART = 0.9
START_SHARE = 0.01
MIN_SHARE = 0.01
# Calls at the candidate that are wanted before the shift.
WANTED_CALLS = 60
# Those among them that are to come when its targets are warm.
WANTED_WARM_CALLS = 25
# The first share is one that brings this many calls in this time.
FIRST_LOOK_CALLS = 10
FIRST_LOOK_SECONDS = 1.5
# Proxies report the load within this time after the order, if there is any.
FIRST_REPORT_SECONDS = 1.5
MIN_STEP_SECONDS = 0.5
RAISE_FACTOR = 1.5
# A change of the share by less is not worth a version.
MIN_CHANGE = 1.3
# Until a shift is usually acknowledged.
SHIFT_SECONDS = 0.3
# Spare time before the deadline for acknowledgements that take longer.
SPARE_SECONDS = 0.7
# A rollout that is not completed this long before its deadline is rolled
# back, so that it is rolled back in time.
ROLL_BACK_SECONDS = 0.3
MIN_FLIGHT_SECONDS = 0.3
MAX_FLIGHT_SECONDS = 1.0
# Requests take up to this multiple of the mean time.
FLIGHT_FACTOR = 3.0
MAX_REPORT_AGE_SECONDS = 1.0
# The longest time for which the shift is watched beyond what it takes.
MAX_WATCH_SECONDS = 2.0
MAX_SHIFT_PART = 0.3
# Slots for each call in progress, for bursts and uneven targets.
SLOTS_MARGIN = 1.2


@attrs.frozen(kw_only=True)
class Limits:
    """How many of the requests a bad version may get until the deadline.

    With a `max_share` of 0 nothing is tried out, and every rollout ends by
    its deadline. From 1 on, it is no limit.
    """

    max_share: float = attrs.field(converter=lambda share: min(share, 1.0))
    allowance: float


@attrs.frozen(kw_only=True)
class Situation:
    """What a step depends on besides the Rollout itself.

    `elapsed_seconds` is the time since the order, `since_step_seconds` that
    since the last step. `candidate_slots` and `old_slots` are the slots that
    the targets of the versions have announced. `acknowledged_seconds` is the
    time since all proxies in touch were first seen to have acknowledged the
    last exposure, None if they have not. `has_service` tells whether the
    current configuration has the service.
    """

    elapsed_seconds: float
    since_step_seconds: float
    evidence: Evidence = attrs.field(factory=Evidence)
    candidate_slots: int = 0
    old_slots: int = 0
    acknowledged_seconds: float | None = None
    has_service: bool = True


@dataclasses.dataclass(frozen=True, kw_only=True)
class Stay:
    """Nothing is to be done; `reason` says what is waited for."""

    reason: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Make:
    """A step is to be made."""

    action: Action
    reason: str = ""
    share_ppm: int = 0


def decide_step(rollout, situation, limits):
    """Return Stay or Make for an unfinished Rollout."""
    if rollout.phase is Phase.COMPLETED:
        if situation.since_step_seconds >= SETTLE_SECONDS:
            return Make(action=Action.SETTLE)
        return Stay(reason="the old targets are being stopped")
    verdict = judge(situation.evidence)
    step = _find_end(rollout, situation, verdict)
    if step is None:
        is_shifting = rollout.phase is Phase.SHIFTING
        decide = _decide_completion if is_shifting else _decide_exposure
        step = decide(rollout, situation, limits, verdict)
    if isinstance(step, Stay) and situation.since_step_seconds >= TICK_SECONDS:
        return Make(action=Action.TICK, reason=step.reason)
    return step


def describe(situation):
    """Return the numbers that decided a step, for events and status."""
    evidence = situation.evidence
    parts = [
        f"elapsed {situation.elapsed_seconds:.2f} s",
        f"{evidence.calls_per_second:.0f} calls/s",
        f"slots {situation.candidate_slots} new, {situation.old_slots} old, "
        f"{evidence.busy:.0f} busy",
    ]
    for item in evidence.total:
        for name, sample in (("new", item.candidate), ("old", item.old)):
            parts.append(
                f"{item.route} {name}: {sample.calls} calls, "
                f"{sample.failures} failed, {sample.late} late, "
                f"{sample.mean_ms:.0f} ms"
            )
    return "; ".join(parts)


def _find_end(rollout, situation, verdict):
    """Return the step that rolls back, or None."""
    if isinstance(verdict, Bad):
        return _roll_back(verdict.reason)
    if not situation.has_service:
        return _roll_back("the configuration no longer has the service")
    left = rollout.finish_by_seconds - situation.elapsed_seconds
    if left > ROLL_BACK_SECONDS:
        return None
    if rollout.phase is Phase.RUNNING:
        obstacle = _find_obstacle(situation, verdict)
    elif left > 0 and _may_complete(rollout, situation, verdict):
        return None
    else:
        obstacle = _decide_completion(rollout, situation, None, verdict).reason
    return _roll_back(f"the time is over: {obstacle or 'it came too late'}")


def _roll_back(reason):
    return Make(action=Action.ROLL_BACK, reason=reason)


def _decide_completion(rollout, situation, limits, verdict):
    if _may_complete(rollout, situation, verdict):
        return Make(
            action=Action.COMPLETE,
            reason="all proxies in touch send everything to the new version",
        )
    if situation.acknowledged_seconds is None:
        return Stay(reason="not all proxies have acknowledged the shift")
    obstacle = _find_obstacle(situation, verdict)
    if obstacle:
        return Stay(reason=obstacle)
    return Stay(reason="requests at the old targets have their time")


def _may_complete(rollout, situation, verdict):
    left = rollout.finish_by_seconds - situation.elapsed_seconds
    age = situation.evidence.report_age_seconds
    return (
        not _find_obstacle(situation, verdict)
        and left <= SPARE_SECONDS + SHIFT_SECONDS
        and situation.acknowledged_seconds is not None
        and situation.acknowledged_seconds >= _flight_seconds(situation)
        and age is not None
        and age <= MAX_REPORT_AGE_SECONDS
    )


def _decide_exposure(rollout, situation, limits, verdict):
    left = rollout.finish_by_seconds - situation.elapsed_seconds
    if left <= _shift_lead_seconds(rollout, situation, limits):
        reason = _find_obstacle(situation, verdict)
        if reason:
            return Stay(reason=reason)
        return Make(
            action=Action.SHIFT,
            reason="the new version is as good as the others",
        )
    if not situation.candidate_slots:
        return Stay(reason="no target of the new version is announced")
    share_ppm = _next_share_ppm(rollout, situation, limits)
    if share_ppm == rollout.share_ppm:
        return Stay(reason="the new version is tried out")
    return Make(
        action=Action.EXPOSE,
        share_ppm=share_ppm,
        reason="within the limit for a bad version",
    )


def _find_obstacle(situation, verdict):
    """Return why the service must not be shifted, or ""."""
    if not situation.candidate_slots:
        return "no target of the new version is announced"
    needed = situation.evidence.busy * SLOTS_MARGIN
    if situation.old_slots:
        needed = min(needed, situation.old_slots)
    if situation.candidate_slots < needed:
        return (
            f"the new targets have {situation.candidate_slots} slots, and "
            f"the load needs {needed:.0f}"
        )
    return "" if isinstance(verdict, Sound) else verdict.reason


def planned_share_ppm(rollout, situation, limits):
    """Return the share until the shift, so that all keeps to the limit.

    What the shift will send to the candidate is kept back. The share isn't
    so small that the candidate could not be judged.
    """
    rate = situation.evidence.calls_per_second
    left = rollout.finish_by_seconds - situation.elapsed_seconds
    seconds = left - _shift_lead_seconds(rollout, situation, limits)
    max_share = limits.max_share * USED_PART
    if rate <= 0 or seconds <= 0:
        return round(min(START_SHARE, max_share) * FULL_SHARE_PPM)
    budget = (
        _planned_calls(rollout, situation, limits)
        - situation.evidence.candidate.calls
        - rate * _shift_seconds(rollout, situation, limits)
    )
    wanted = max(
        WANTED_CALLS - situation.evidence.candidate.calls,
        WANTED_WARM_CALLS - situation.evidence.warm_candidate.calls,
    )
    share = max(budget, wanted) / (rate * seconds)
    share = min(max(share, MIN_SHARE), max_share)
    return round(share * FULL_SHARE_PPM)


def _first_share_ppm(rate, planned_ppm):
    """Return the share for a first look, at most the planned one."""
    share = START_SHARE
    if rate > 0:
        share = max(share, FIRST_LOOK_CALLS / (rate * FIRST_LOOK_SECONDS))
    return min(planned_ppm, round(share * FULL_SHARE_PPM))


def _next_share_ppm(rollout, situation, limits):
    """Return the share to set, or that of the rollout to leave it."""
    evidence = situation.evidence
    current = rollout.share_ppm
    planned = planned_share_ppm(rollout, situation, limits)
    if current == 0:
        is_rate_known = evidence.calls_per_second > 0
        waited = situation.elapsed_seconds >= FIRST_REPORT_SECONDS
        if not (is_rate_known or waited):
            return current
        return _first_share_ppm(evidence.calls_per_second, planned)
    exposed_seconds = situation.elapsed_seconds - (
        rollout.exposed_at_ms / MILLISECONDS_PER_SECOND
    )
    if exposed_seconds < MIN_STEP_SECONDS:
        return current
    if evidence.candidate.calls < FIRST_LOOK_CALLS:
        # Proxies with few requests send the first one late.
        if exposed_seconds < FIRST_LOOK_SECONDS:
            return current
        most = round(limits.max_share * USED_PART * FULL_SHARE_PPM)
        return min(most, max(planned, round(current * RAISE_FACTOR)))
    if planned * MIN_CHANGE <= current or planned >= current * MIN_CHANGE:
        return planned
    return current


def _flight_seconds(situation):
    """Return the usual time of requests at the old targets."""
    mean_seconds = situation.evidence.old.mean_ms / MILLISECONDS_PER_SECOND
    return min(
        max(FLIGHT_FACTOR * mean_seconds, MIN_FLIGHT_SECONDS),
        MAX_FLIGHT_SECONDS,
    )


def _planned_calls(rollout, situation, limits):
    """Return the calls that a bad version may get until the deadline."""
    calls = situation.evidence.calls_per_second * rollout.finish_by_seconds
    return USED_PART * (limits.max_share * calls + limits.allowance)


def _shift_seconds(rollout, situation, limits):
    """Return for how long the candidate gets everything before completion.

    If the limit allows it, that is longer than the shift takes: faults that
    show under load have more time to show.
    """
    least = SHIFT_SECONDS + _flight_seconds(situation)
    rate = situation.evidence.calls_per_second
    if rate <= 0:
        return least
    calls = _planned_calls(rollout, situation, limits) - WANTED_CALLS
    most = min(
        least + MAX_WATCH_SECONDS,
        MAX_SHIFT_PART * rollout.finish_by_seconds,
    )
    return max(least, min(calls / rate, most))


def _shift_lead_seconds(rollout, situation, limits):
    """Return how long before the deadline the shift is made."""
    return _shift_seconds(rollout, situation, limits) + SPARE_SECONDS
