"""Choose the target of a request.

Source for two random choices: Mitzenmacher, "The Power of Two Choices in
Randomized Load Balancing", 2001.
"""

import dataclasses

import attrs

from verbenanotch.routing._durations import OBJECTIVE_MARGIN

SPILL_PRESSURE = 0.8
SPILL_MARGIN = 0.25
PANIC_HEALTHY_SHARE = 0.5
SAMPLE_ATTEMPTS = 6
MAX_SCANNED = 32
# A target of another zone is worth its distance only if it is faster by
# this share and by this time (two crossings of about 1.5 ms).
CROSS_ZONE_GAIN_SHARE = 0.15
CROSS_ZONE_GAIN_SECONDS = 0.003
# A target of unknown speed is taken for this share of the fastest known one,
# so that it is tried; own requests that wait for it make it dearer.
UNKNOWN_TARGET_SHARE = 0.5
OVERLOAD_RETRY_AFTER_MS = 250
MILLISECONDS_PER_SECOND = 1000
# A proxy that starts knows the targets of its zone within about a tenth of a
# second; a target that starts is announced as soon as it listens.
NO_TARGET_RETRY_AFTER_MS = 250


@dataclasses.dataclass(frozen=True, kw_only=True)
class Chosen:
    """The request goes to this target."""

    target_id: str
    panicked: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class NoTarget:
    """No target can take the request now; it was not run.

    `reason` is `no-target`, `draining`, `excluded`, `unhealthy` or
    `overloaded`.
    """

    reason: str
    retry_after_ms: int


@attrs.frozen(kw_only=True)
class Candidates:
    """The targets of a service, split by availability zone beforehand."""

    targets: tuple
    targets_by_zone: dict[str, tuple] = attrs.field(init=False)
    _others_by_zone: dict[str, tuple] = attrs.field(init=False, factory=dict)

    @targets_by_zone.default
    def _split(self):
        by_zone = {}
        for target in self.targets:
            by_zone.setdefault(target.availability_zone, []).append(target)
        return {zone: tuple(targets) for zone, targets in by_zone.items()}

    def in_zone(self, availability_zone):
        """Return the targets of one zone."""
        return self.targets_by_zone.get(availability_zone, ())

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
):
    """Return Chosen or NoTarget for one request.

    `candidates` is a Candidates, or a sequence of TargetState that is split
    on each call. `random` is a `random.Random`. `exclude` holds the ids of
    targets that this request has tried. `objective_seconds` is within which
    it should be answered, by the scale of the targets' mean service times;
    0 means as soon as may be. `host` is the one that chooses. A target of
    another zone has to be faster by `cross_zone_penalty_seconds`. A
    draining target is never chosen.
    """
    if not isinstance(candidates, Candidates):
        candidates = Candidates(targets=tuple(candidates))
    same_zone = candidates.in_zone(availability_zone)
    cross_zone = candidates.outside_zone(availability_zone)
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
    best = _sample(same_zone, now, random, exclude)
    if best is not None and best.pressure(now) < SPILL_PRESSURE:
        return Chosen(target_id=best.target_id)
    best = _prefer_same_zone(
        best, _sample(cross_zone, now, random, exclude), now
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
    """Return the target that is expected to answer first, or None.

    The load pattern is a service whose targets differ in speed, one of them
    slow or near its slots. A request stays on its host, or else in its
    zone, while it can expect to meet its objective there, since each
    further step costs processor time and bytes; else it goes to the better
    of a same-zone target and one cross-zone target drawn at random. The
    draw keeps many proxies that know the same loads from all choosing the
    same target at a time. None if no load is known, or no drawn target can
    take the request.
    """
    same_zone = _usable_few(same_zone, now, random, exclude)
    own = next((target for target in same_zone if target.host == host), None)
    # The usual case, which needs no look at any other target.
    if own is not None and own.is_load_known(now):
        expected = own.expected_seconds(now, assumed_seconds=0.0)
        if expected * OBJECTIVE_MARGIN <= objective_seconds:
            return own
    cross_zone = _usable_few(cross_zone, now, random, exclude)
    known = [
        target.load.service_seconds
        for target in (*same_zone, *cross_zone)
        if target.load is not None and target.load.service_seconds > 0
    ]
    if not known:
        return None
    assumed = min(known) * UNKNOWN_TARGET_SHARE

    def cost(target):
        return target.expected_seconds(now, assumed_seconds=assumed)

    for target in filter(None, (own, min(same_zone, key=cost, default=None))):
        if cost(target) * OBJECTIVE_MARGIN <= objective_seconds:
            return target
    return _better_of(
        same_zone, cross_zone, cost, random, cross_zone_penalty_seconds
    )


def _better_of(
    same_zone, cross_zone, cost, random, cross_zone_penalty_seconds
):
    """Return the best same-zone target, or a cross-zone one worth its way."""
    best = min(same_zone, key=cost, default=None)
    if best is None:
        drawn = random.sample(cross_zone, min(2, len(cross_zone)))
        return min(drawn, key=cost, default=None)
    if cross_zone:
        drawn = cross_zone[int(random.random() * len(cross_zone))]
        gain = cost(best) - cost(drawn) * (1 + CROSS_ZONE_GAIN_SHARE)
        if gain > CROSS_ZONE_GAIN_SECONDS + cross_zone_penalty_seconds:
            return drawn
    return best


def _usable_few(targets, now, random, exclude):
    """Return the usable ones of a few targets, drawn if there are many."""
    if len(targets) > SAMPLE_ATTEMPTS:
        targets = random.sample(targets, SAMPLE_ATTEMPTS)
    return [item for item in targets if _is_usable(item, now, exclude)]


def _sample(targets, now, random, exclude):
    """Return the less loaded of two random usable targets, or None.

    Looks at a few at most, so that the cost does not grow with the number
    of targets.
    """
    count = len(targets)
    if count <= SAMPLE_ATTEMPTS:
        usable = [item for item in targets if _is_usable(item, now, exclude)]
        return _best_of_two(usable, now, random)
    first = None
    for _ in range(SAMPLE_ATTEMPTS):
        target = targets[int(random.random() * count)]
        if target is first or not _is_usable(target, now, exclude):
            continue
        if first is None:
            first = target
            continue
        return min(first, target, key=lambda item: item.pressure(now))
    return first


def _is_usable(target, now, exclude):
    return (
        not target.draining
        and target.target_id not in exclude
        and target.has_capacity(now)
        and not target.looks_unhealthy(now)
    )


def _prefer_same_zone(same_zone, cross_zone, now):
    """Return the cross-zone target only if the other is clearly busier."""
    if same_zone is None or cross_zone is None:
        return same_zone or cross_zone
    if cross_zone.pressure(now) + SPILL_MARGIN < same_zone.pressure(now):
        return cross_zone
    return same_zone


def _choose_by_scan(same_zone, cross_zone, now, random, exclude):
    """Look at many targets, same-zone ones first, with ever weaker demands."""
    same_zone = _available(same_zone, random, exclude)
    cross_zone = _available(cross_zone, random, exclude)
    everyone = same_zone + cross_zone
    if not everyone:
        return NoTarget(
            reason="excluded" if exclude else "no-target",
            retry_after_ms=NO_TARGET_RETRY_AFTER_MS,
        )
    healthy = {
        target.target_id
        for target in everyone
        if not target.looks_unhealthy(now)
    }
    for ramped in (True, False):
        for targets in (same_zone, cross_zone):
            best = _best_of_two(
                [
                    target
                    for target in targets
                    if target.target_id in healthy
                    and target.has_capacity(now, ramped=ramped)
                ],
                now,
                random,
            )
            if best is not None:
                return Chosen(target_id=best.target_id)
    return _panic(same_zone, cross_zone, healthy, now, random)


def _available(targets, random, exclude):
    """Return the targets that may be used at all, a sample if many.

    A scan is made just when load is high, so its cost has to be bounded.
    """
    targets = [
        target
        for target in targets
        if not target.draining and target.target_id not in exclude
    ]
    if len(targets) > MAX_SCANNED:
        return random.sample(targets, MAX_SCANNED)
    return targets


def _panic(same_zone, cross_zone, healthy, now, random):
    """Ignore health when most targets look unhealthy and the rest are full.

    So many failing at once says more about the observer, or the network,
    than about the targets; the few that look well must not carry all.
    """
    total = len(same_zone) + len(cross_zone)
    if len(healthy) < total * PANIC_HEALTHY_SHARE:
        for targets in (same_zone, cross_zone):
            best = _best_of_two(
                [
                    target
                    for target in targets
                    if target.has_capacity(now, ramped=False)
                ],
                now,
                random,
            )
            if best is not None:
                return Chosen(target_id=best.target_id, panicked=True)
    return NoTarget(
        reason="overloaded" if healthy else "unhealthy",
        retry_after_ms=_retry_after_ms((*same_zone, *cross_zone)),
    )


def _retry_after_ms(targets):
    """Return when the first of the targets will have served who waits."""
    waits = [
        target.load.service_seconds * target.load.busy / target.slots
        for target in targets
        if target.load is not None
    ]
    if not waits or not min(waits):
        return OVERLOAD_RETRY_AFTER_MS
    return max(1, int(min(waits) * MILLISECONDS_PER_SECOND))


def _best_of_two(targets, now, random):
    if len(targets) > 2:
        targets = random.sample(targets, 2)
    return min(targets, key=lambda item: item.pressure(now), default=None)
