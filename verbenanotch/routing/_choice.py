"""Choose the target of a request.

`choose` first compares the expected times of targets whose loads are known.
If that gives no target, it compares the pressures of two random targets,
and if these can't accept the request, it scans more targets. Each step
prefers targets of the proxy's own zone.

Source for two random choices: Mitzenmacher, "The Power of Two Choices in
Randomized Load Balancing", 2001.
"""

import attrs

from verbenanotch.routing._choice_outcomes import Chosen, NoTarget
from verbenanotch.routing._durations import (
    OBJECTIVE_MARGIN,
    is_worth_crossing,
)
from verbenanotch.routing._even_choice import choose_evenly
from verbenanotch.routing._sample import (
    MAX_SAMPLED,
    is_usable,
    usable_sample,
)

# In a choice by pressure (`TargetState.pressure`), cross-zone targets are
# considered only if the best same-zone target has at least this pressure, and
# one is preferred only if its pressure is lower by this margin.
SPILL_PRESSURE = 0.8
SPILL_MARGIN = 0.25
# Health may be ignored if less than this share of the targets looks healthy.
PANIC_HEALTHY_SHARE = 0.5
# Maximum number of targets examined, separately for same-zone and cross-zone
# targets, in the scan that follows if the usual sample has no usable target.
MAX_SCANNED = 32
# A target without a known load is assumed to take this share of the service
# time of the fastest sampled target with a known one, so that it is tried. Its
# expected time grows with this proxy's requests in flight to it.
UNKNOWN_TARGET_TIME_SHARE = 0.5
# Used if no target has reported a load to compute the delay from.
OVERLOAD_RETRY_AFTER_MS = 250
MILLISECONDS_PER_SECOND = 1000
# A target is likely to be known after this delay: a starting proxy receives
# the targets of its zone within about 0.1 s, and a starting target is
# announced as soon as it listens.
NO_TARGET_RETRY_AFTER_MS = 250


@attrs.frozen(kw_only=True)
class Candidates:
    """The targets of a service, a tuple of TargetState.

    They are grouped by availability zone once, for many choices.
    """

    targets: tuple
    targets_by_zone: dict[str, tuple] = attrs.field(init=False)
    _others_by_zone: dict[str, tuple] = attrs.field(init=False, factory=dict)
    _only_by_zone: dict = attrs.field(
        init=False, factory=dict, eq=False, repr=False
    )

    @targets_by_zone.default
    def _group_by_zone(self):
        by_zone = {}
        for target in self.targets:
            by_zone.setdefault(target.availability_zone, []).append(target)
        return {zone: tuple(targets) for zone, targets in by_zone.items()}

    def in_zone(self, availability_zone):
        """Return the targets of one zone."""
        return self.targets_by_zone.get(availability_zone, ())

    def only_zone(self, availability_zone):
        """Return Candidates with the targets of one zone."""
        only = self._only_by_zone.get(availability_zone)
        if only is None:
            only = Candidates(targets=self.in_zone(availability_zone))
            self._only_by_zone[availability_zone] = only
        return only

    def outside_zone(self, availability_zone):
        """Return the targets of all other zones."""
        others = self._others_by_zone.get(availability_zone)
        if others is None:
            others = tuple(
                target
                for target in self.targets
                if target.availability_zone != availability_zone
            )
            self._others_by_zone[availability_zone] = others
        return others


def choose(
    candidates,
    *,
    now,
    random,
    availability_zone,
    exclude=frozenset(),
    objective_seconds=0.0,
    host="",
    cross_zone_penalty_seconds=0.0,
    even_load=False,
):
    """Return Chosen or NoTarget for one request.

    `candidates` is a Candidates, or a sequence of TargetState that is
    grouped by zone on each call. `now` is in monotonic seconds. `random` is
    a `random.Random`. `availability_zone` and `host` are those of the
    choosing proxy. `exclude` holds the ids of the targets that this request
    has tried. `objective_seconds` is the time within which the request
    should be answered, as scaled by `RouteDurations.scaled_objective`; 0
    means as soon as possible. A cross-zone target has to be faster by
    `cross_zone_penalty_seconds`. With `even_load`, loads are estimated by
    `choose_evenly`. A draining target is never chosen.
    """
    if not isinstance(candidates, Candidates):
        candidates = Candidates(targets=tuple(candidates))
    same_zone = candidates.in_zone(availability_zone)
    cross_zone = candidates.outside_zone(availability_zone)
    if even_load:
        chosen = choose_evenly(
            same_zone,
            cross_zone,
            now=now,
            random=random,
            exclude=exclude,
            host=host,
            objective_seconds=objective_seconds,
            cross_zone_penalty_seconds=cross_zone_penalty_seconds,
        )
        if chosen is not None:
            return chosen
    fastest = _choose_by_load(
        same_zone,
        cross_zone,
        now,
        random,
        exclude,
        objective_seconds,
        host,
        cross_zone_penalty_seconds,
    )
    if fastest is not None:
        return Chosen(target_id=fastest.target_id)
    best = _best_of_sample(same_zone, now, random, exclude)
    if best is not None and best.pressure(now) < SPILL_PRESSURE:
        return Chosen(target_id=best.target_id)
    best = _prefer_same_zone(
        best, _best_of_sample(cross_zone, now, random, exclude), now
    )
    if best is not None:
        return Chosen(target_id=best.target_id)
    return _choose_by_scan(same_zone, cross_zone, now, random, exclude)


def _choose_by_load(
    same_zone,
    cross_zone,
    now,
    random,
    exclude,
    objective_seconds,
    host,
    cross_zone_penalty_seconds,
):
    """Return the target with the lowest expected time, or None.

    This is for services whose targets differ in speed, for example if one
    of them is slow or has nearly all of its slots in use. A request stays
    on its host, or else in its zone, as long as it is expected to meet its
    objective there, because each further hop costs processor time and
    bandwidth. Otherwise it goes to the better of a same-zone target and a
    cross-zone target drawn at random. Drawing at random prevents proxies
    that know the same loads from all choosing the same target at once.

    Returns None if no load is known, or if no sampled target can accept the
    request.
    """
    same_zone = usable_sample(same_zone, now, random, exclude)
    local = next((target for target in same_zone if target.host == host), None)
    # In the usual case no other target has to be examined.
    if local is not None and local.is_load_known(now):
        expected = local.expected_seconds(now, assumed_seconds=0.0)
        if expected * OBJECTIVE_MARGIN <= objective_seconds:
            return local
    cross_zone = usable_sample(cross_zone, now, random, exclude)
    known_service_seconds = [
        target.load.service_seconds
        for target in (*same_zone, *cross_zone)
        if target.load is not None and target.load.service_seconds > 0
    ]
    if not known_service_seconds:
        return None
    assumed_seconds = min(known_service_seconds) * UNKNOWN_TARGET_TIME_SHARE

    def expected_seconds(target):
        return target.expected_seconds(now, assumed_seconds=assumed_seconds)

    for target in filter(
        None, (local, min(same_zone, key=expected_seconds, default=None))
    ):
        if expected_seconds(target) * OBJECTIVE_MARGIN <= objective_seconds:
            return target
    return _best_by_expected_time(
        same_zone,
        cross_zone,
        expected_seconds,
        random,
        cross_zone_penalty_seconds,
    )


def _best_by_expected_time(
    same_zone, cross_zone, expected_seconds, random, cross_zone_penalty_seconds
):
    """Return the fastest same-zone target, or a cross-zone target.

    The cross-zone target has to be fast enough to justify the cross-zone
    cost, unless there is no same-zone target. `expected_seconds` returns the
    expected time of a target. Returns None if there are no targets.
    """
    best = min(same_zone, key=expected_seconds, default=None)
    if best is None:
        drawn = random.sample(cross_zone, min(2, len(cross_zone)))
        return min(drawn, key=expected_seconds, default=None)
    if cross_zone:
        drawn = cross_zone[int(random.random() * len(cross_zone))]
        if is_worth_crossing(
            expected_seconds(best),
            expected_seconds(drawn),
            cross_zone_penalty_seconds,
        ):
            return drawn
    return best


def _best_of_sample(targets, now, random, exclude):
    """Return the one of two random usable targets with less pressure.

    Examines at most `MAX_SAMPLED` targets, so that the cost does not grow
    with the number of targets. Returns None if none of them is usable.
    """
    count = len(targets)
    if count <= MAX_SAMPLED:
        usable = [
            target for target in targets if is_usable(target, now, exclude)
        ]
        return _best_of_two(usable, now, random)
    first = None
    for _ in range(MAX_SAMPLED):
        target = targets[int(random.random() * count)]
        if target is first or not is_usable(target, now, exclude):
            continue
        if first is None:
            first = target
            continue
        return min(first, target, key=lambda other: other.pressure(now))
    return first


def _prefer_same_zone(same_zone, cross_zone, now):
    """Return the cross-zone target only if it has clearly less pressure."""
    if same_zone is None or cross_zone is None:
        return same_zone or cross_zone
    if cross_zone.pressure(now) + SPILL_MARGIN < same_zone.pressure(now):
        return cross_zone
    return same_zone


def _choose_by_scan(same_zone, cross_zone, now, random, exclude):
    """Search many targets, relaxing the criteria step by step.

    Same-zone targets are preferred within each step. The first step applies
    the slow start, the second one ignores it, and the last one may ignore
    health.
    """
    same_zone = _available_sample(same_zone, random, exclude)
    cross_zone = _available_sample(cross_zone, random, exclude)
    available = same_zone + cross_zone
    if not available:
        return NoTarget(
            reason="excluded" if exclude else "no-target",
            retry_after_ms=NO_TARGET_RETRY_AFTER_MS,
        )
    healthy_ids = {
        target.target_id
        for target in available
        if not target.looks_unhealthy(now)
    }
    for with_slow_start in (True, False):
        for targets in (same_zone, cross_zone):
            best = _best_of_two(
                [
                    target
                    for target in targets
                    if target.target_id in healthy_ids
                    and target.has_capacity(
                        now, with_slow_start=with_slow_start
                    )
                ],
                now,
                random,
            )
            if best is not None:
                return Chosen(target_id=best.target_id)
    return _choose_in_panic(same_zone, cross_zone, healthy_ids, now, random)


def _available_sample(targets, random, exclude):
    """Return targets neither draining nor excluded, `MAX_SCANNED` at most.

    Scans happen when the load is high, so their cost has to be bounded.
    """
    targets = [
        target
        for target in targets
        if not target.draining and target.target_id not in exclude
    ]
    if len(targets) > MAX_SCANNED:
        return random.sample(targets, MAX_SCANNED)
    return targets


def _choose_in_panic(same_zone, cross_zone, healthy_ids, now, random):
    """Choose without regard to health if most targets look unhealthy.

    This is called when no healthy target has capacity. Returns NoTarget if
    too many targets look healthy, or if the others have no capacity either.

    If so many targets fail at once, the cause is more likely this proxy or
    the network than the targets, and the few targets that look healthy must
    not receive all requests.
    """
    target_count = len(same_zone) + len(cross_zone)
    if len(healthy_ids) < target_count * PANIC_HEALTHY_SHARE:
        for targets in (same_zone, cross_zone):
            best = _best_of_two(
                [
                    target
                    for target in targets
                    if target.has_capacity(now, with_slow_start=False)
                ],
                now,
                random,
            )
            if best is not None:
                return Chosen(target_id=best.target_id, panicked=True)
    return NoTarget(
        reason="overloaded" if healthy_ids else "unhealthy",
        retry_after_ms=_retry_after_ms((*same_zone, *cross_zone)),
    )


def _retry_after_ms(targets):
    """Return the milliseconds until the first target has no requests left.

    Computed from the loads that the targets have reported.
    """
    waits_seconds = [
        target.load.service_seconds * target.load.busy / target.slots
        for target in targets
        if target.load is not None
    ]
    if not waits_seconds or not min(waits_seconds):
        return OVERLOAD_RETRY_AFTER_MS
    return max(1, int(min(waits_seconds) * MILLISECONDS_PER_SECOND))


def _best_of_two(targets, now, random):
    if len(targets) > 2:
        targets = random.sample(targets, 2)
    return min(targets, key=lambda target: target.pressure(now), default=None)
