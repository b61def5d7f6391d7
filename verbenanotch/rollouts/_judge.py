"""Judge a candidate by the outcomes of its calls.

The load pattern: a service with its usual failures, bursts and slow targets,
a few of its calls at the candidate, whose targets have just started. A bad
version fails or delays a large part of its calls, at once or later, under
load, or on one route only.
"""

import dataclasses
import math

import attrs

from verbenanotch.rollouts._evidence import (
    NOTHING,
    WINDOW_SECONDS,
    RouteEvidence,
    merge,
)

# Up to these rates nothing is held against the candidate: some calls fail at
# sound targets, and new targets are slow for some seconds.
MIN_FAILURE_RATE = 0.05
MIN_LATE_RATE = 0.15
# The old version's rate is multiplied by this, since it varies, too.
RATE_MARGIN = 1.5
# Chance at which a sound candidate shows such counts. They are tested some
# hundred times in a rollout.
MAX_CHANCE_IF_SOUND = 1e-6
# A candidate with counts that are less likely is not trusted for the moment.
MAX_CHANCE_IF_TRUSTED = 1e-3
MIN_TIMED_CALLS = 30
MAX_TIME_RATIO = 3.0
# With fewer calls of the old version, all of its calls so far are compared.
MIN_OLD_CALLS = 20
# A bad version is expected to spoil at least this much more than the old one.
BAD_FAILURE_RATE = 0.3
BAD_LATE_RATE = 0.4
MAX_CHANCE_IF_BAD = 0.03
# Late answers of a shift come too late to be seen before its completion.
MAX_CHANCE_IF_LATE = 0.01
# With fewer calls to warm targets, the cold ones are judged, too.
MIN_WARM_CALLS = 15
BAD_ROUTE_RATE = 0.4
MAX_CHANCE_IF_BAD_ROUTE = 0.05
# Routes with a smaller part of the calls are judged with the others.
MIN_ROUTE_SHARE = 0.1
MAX_RATE = 0.95


@dataclasses.dataclass(frozen=True, kw_only=True)
class Sound:
    """The candidate is as good as the old version, or better."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Bad:
    """The candidate is worse than the old version."""

    reason: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Undecided:
    """There are too few calls at the candidate, or too mixed ones."""

    reason: str


def judge(evidence):
    """Return Sound, Bad or Undecided for an Evidence."""
    reason = _find_any_fault(evidence, MAX_CHANCE_IF_SOUND)
    if reason:
        return Bad(reason=reason)
    reason = _find_any_fault(evidence, MAX_CHANCE_IF_TRUSTED)
    if reason:
        return Undecided(reason=reason)
    return _find_doubt(evidence) or Sound()


def _find_any_fault(evidence, max_chance):
    """Return why the candidate is bad in the total or lately, or ""."""
    olds_by_route = {
        item.route: item.old for item in _with_all_routes(evidence.total)
    }
    windows = [
        (evidence.total, False),
        (evidence.warm, True),
        *(
            (window, evidence.warm_seconds >= seconds)
            for seconds, window in zip(
                WINDOW_SECONDS, evidence.recent, strict=False
            )
        ),
    ]
    for window, is_warm in windows:
        for item in _with_all_routes(window):
            if item.old.calls < MIN_OLD_CALLS:
                old = olds_by_route.get(item.route, NOTHING)
                item = attrs.evolve(item, old=old)
            reason = _find_failures(item, max_chance)
            if is_warm and not reason:
                reason = _find_lateness(item, max_chance)
            if reason:
                return reason
    return ""


def _with_all_routes(window):
    """Return the evidence of each route, and that of all together."""
    together = RouteEvidence(
        route="",
        candidate=merge(item.candidate for item in window),
        old=merge(item.old for item in window),
    )
    return (*window, together)


def _find_failures(item, max_chance):
    """Return how the candidate fails more often on a route, or ""."""
    candidate, old = item.candidate, item.old
    rate = max(MIN_FAILURE_RATE, RATE_MARGIN * _rate(old, "failures"))
    if not _is_too_many(candidate.failures, candidate.calls, rate, max_chance):
        return ""
    return (
        f"{candidate.failures} of {candidate.calls} calls {_where(item)} "
        f"failed; {old.failures} of {old.calls} at other versions"
    )


def _find_lateness(item, max_chance):
    """Return how the candidate is later on a route, or ""."""
    candidate, old = item.candidate, item.old
    rate = max(MIN_LATE_RATE, RATE_MARGIN * _rate(old, "bad"))
    if _is_too_many(candidate.bad, candidate.calls, rate, max_chance):
        return (
            f"{candidate.bad} of {candidate.calls} calls {_where(item)} "
            f"failed or were late; {old.bad} of {old.calls} at other versions"
        )
    if (
        min(candidate.answered, old.answered) >= MIN_TIMED_CALLS
        and candidate.mean_ms > MAX_TIME_RATIO * old.mean_ms
    ):
        return (
            f"calls {_where(item)} took {candidate.mean_ms:.0f} ms, "
            f"{old.mean_ms:.0f} ms at other versions"
        )
    return ""


def _find_doubt(evidence):
    """Return Undecided unless the counts rule a bad version out."""
    *routes, together = _with_all_routes(evidence.total)
    if together.candidate.calls == 0:
        return Undecided(reason="no call to the new version has ended")
    warm = _with_all_routes(evidence.warm)[-1]
    if warm.candidate.calls < MIN_WARM_CALLS:
        warm = together
    for item, counts, bad_rate, max_chance in (
        (together, "failures", BAD_FAILURE_RATE, MAX_CHANCE_IF_BAD),
        (warm, "bad", BAD_LATE_RATE, MAX_CHANCE_IF_LATE),
    ):
        if not _rules_out(item, counts, bad_rate, max_chance):
            return _doubt(item)
    all_calls = together.candidate.calls + together.old.calls
    for item in routes:
        calls = item.candidate.calls + item.old.calls
        if calls >= MIN_ROUTE_SHARE * all_calls and not _rules_out(
            item, "failures", BAD_ROUTE_RATE, MAX_CHANCE_IF_BAD_ROUTE
        ):
            return _doubt(item)
    return None


def _rules_out(item, counts, bad_rate, max_chance):
    """Return whether a bad version would hardly have such counts."""
    rate = max(bad_rate, _rate(item.old, counts) + bad_rate)
    failed = getattr(item.candidate, counts)
    chance = 1.0 - chance_of_at_least(
        failed + 1, item.candidate.calls, min(MAX_RATE, rate)
    )
    return chance <= max_chance


def _doubt(item):
    candidate = item.candidate
    return Undecided(
        reason=f"{candidate.calls} calls {_where(item)}, "
        f"{candidate.failures} failed and {candidate.late} late, "
        "do not show that the new version is good"
    )


def _where(item):
    return f"on route {item.route!r}" if item.route else "on all routes"


def _rate(sample, counts):
    """Return the rate of the old version; few calls count as more failures."""
    return (
        (getattr(sample, counts) + 0.5) / (sample.calls + 1.0)
        if (sample.calls)
        else 0.0
    )


def _is_too_many(count, calls, rate, max_chance):
    rate = min(MAX_RATE, rate)
    return (
        count > rate * calls
        and chance_of_at_least(count, calls, rate) < max_chance
    )


def chance_of_at_least(count, calls, rate):
    """Return the chance of at least `count` of `calls` at a rate below 1.

    The terms of the binomial distribution are summed up from `count`, or
    down from it if that side has less of them.
    """
    if count <= 0:
        return 1.0
    if count > calls:
        return 0.0
    if count > rate * calls:
        return min(1.0, _tail(count, calls, rate))
    return max(0.0, 1.0 - _tail(calls - count + 1, calls, 1.0 - rate))


def _tail(count, calls, rate):
    """Return the chance of at least `count`, which is above the mean."""
    term = math.exp(
        math.lgamma(calls + 1)
        - math.lgamma(count + 1)
        - math.lgamma(calls - count + 1)
        + count * math.log(rate)
        + (calls - count) * math.log1p(-rate)
    )
    total, number, odds = 0.0, count, rate / (1.0 - rate)
    while number <= calls and term > total * 1e-12:
        total += term
        term *= (calls - number) / (number + 1) * odds
        number += 1
    return total
