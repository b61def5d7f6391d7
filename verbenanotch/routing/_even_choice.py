"""Choose among targets whose reported loads are old.

The load pattern: many proxies choose at the same moment by reports of
different age. If each took the target that was reported as least loaded, they
would overrun the targets in turns while others idle. Each choice therefore
draws a load for every sampled target, from a distribution that widens with
the age of its report, and takes the best draw. The target's own proxy, which
knows the queue exactly, refuses a request that would have to wait longer than
`Chosen.max_wait_seconds`, and the request moves to another target.
"""

import attrs

from verbenanotch.routing._choice_outcomes import Chosen
from verbenanotch.routing._durations import (
    OBJECTIVE_MARGIN,
    is_worth_crossing,
)
from verbenanotch.routing._load_estimate import (
    busy_share,
    sample_means,
    service_seconds,
)
from verbenanotch.routing._sample import usable_sample

# How much longer a request is assumed to take at a target whose slots are all
# in use, as a multiple of its service time. It grows with the square of the
# load, so that targets of different speed get similar loads.
FULL_PENALTY = 8.0
# A request moves to another target if it would wait longer than the mean
# expected wait at the sampled targets plus the time that a move takes, and
# longer than this share of the service time.
MIN_MOVE_WAIT_SHARE = 0.25
MOVE_SECONDS = 0.01


@attrs.frozen(kw_only=True)
class _Estimate:
    """The expected wait and time of a request at a target, in seconds.

    The target with the lowest `score` is the best one.
    """

    target: object
    wait: float
    expected: float
    score: float


def choose_evenly(
    same_zone,
    cross_zone,
    *,
    now,
    random,
    exclude,
    host,
    objective_seconds,
    cross_zone_penalty_seconds,
):
    """Return Chosen, or None if no load is known or no target is usable.

    The arguments are those of `choose`, with the targets grouped by zone. A
    request stays on its host, or else in its zone, as long as it is expected
    to meet its objective there.
    """
    sample = usable_sample(same_zone, now, random, exclude)
    means = sample_means(sample, now)
    if means is None and sample:
        return None

    def meets_objective(estimate):
        return estimate.expected * OBJECTIVE_MARGIN <= objective_seconds

    estimates = [_estimate(target, now, random, means) for target in sample]
    best = min(estimates, key=_score, default=None)
    for estimate in estimates:
        if estimate.target.host == host and meets_objective(estimate):
            best = estimate
    if best is None or not meets_objective(best):
        best = _prefer_same_zone(
            best,
            _draw_cross_zone(cross_zone, now, random, exclude, means),
            cross_zone_penalty_seconds,
        )
    if best is None:
        return None
    if len(estimates) < 2:
        return Chosen(target_id=best.target.target_id)
    mean_wait = sum(estimate.wait for estimate in estimates) / len(estimates)
    return Chosen(
        target_id=best.target.target_id,
        max_wait_seconds=max(
            MIN_MOVE_WAIT_SHARE * means.service_seconds,
            mean_wait + MOVE_SECONDS,
        ),
    )


def _estimate(target, now, random, means):
    """Return the _Estimate of a target, with its load drawn at random."""
    seconds = service_seconds(target, now, means)
    share, deviation = busy_share(target, now, means, seconds)
    next_share = 1 / target.slots
    wait = seconds * max(0.0, share - 1)
    drawn = max(0.0, random.gauss(share, deviation))
    reluctance = target.reluctance(now)
    return _Estimate(
        target=target,
        wait=wait,
        expected=(seconds + wait) * reluctance,
        score=reluctance
        * seconds
        * (
            1
            + FULL_PENALTY * min(1.0, drawn) ** 2
            + max(0.0, drawn + next_share - 1)
        ),
    )


def _score(estimate):
    return estimate.score


def _draw_cross_zone(cross_zone, now, random, exclude, means):
    """Return the _Estimate of the better of two cross-zone targets.

    `means` are those of the same zone, None without a target there. Returns
    None without a usable target whose load can be estimated.
    """
    sample = usable_sample(cross_zone, now, random, exclude)
    means = means or sample_means(sample, now)
    if means is None:
        return None
    drawn = random.sample(sample, min(2, len(sample)))
    return min(
        (_estimate(target, now, random, means) for target in drawn),
        key=_score,
        default=None,
    )


def _prefer_same_zone(same_zone, cross_zone, cross_zone_penalty_seconds):
    """Return the cross-zone _Estimate only if it is worth its cost."""
    if same_zone is None or cross_zone is None:
        return same_zone or cross_zone
    if cross_zone.score < same_zone.score and is_worth_crossing(
        same_zone.expected, cross_zone.expected, cross_zone_penalty_seconds
    ):
        return cross_zone
    return same_zone
