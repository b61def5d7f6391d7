"""Many choosers share the targets of one service, without a network.

Time is simulated. Targets queue by `DeadlineQueue`, as they do in the
proxy, and the choosers learn their loads only from answers.
"""

import heapq
import itertools
import math
import random

import attrs

from verbenanotch.routing import (
    Candidates,
    Chosen,
    DeadlineQueue,
    OutcomeKind,
    Queued,
    TargetLoad,
    TargetState,
)

ZONES = ("rennes", "quimper", "brest")
SLOTS = 5
SERVICE_SECONDS = 0.18
OBJECTIVE_SECONDS = 0.66
HOP_SECONDS = 0.002
MAX_ATTEMPTS = 3
TURN_SECONDS = 0.6
PACE_WHEN_SLOWED = 250
USUAL_PACE = 100
WARM_UP_SECONDS = 3.0


@attrs.frozen(kw_only=True)
class Shape:
    """One run; `slowed_share` of the targets is slowed in turns.

    With `has_local_targets`, each chooser has a target on its own host.
    """

    utilisation: float
    seed: int = 1
    seconds: float = 20.0
    choosers: int = 30
    targets: int = 30
    slowed_share: float = 0.15
    reports_pace: bool = True
    has_local_targets: bool = False


@attrs.frozen(kw_only=True)
class Result:
    """What a run measured.

    `waits` in a target's queue and elsewhere before the start, `times` to the
    answer, and `ages` of the load by which a target was chosen are in seconds
    in ascending order. `moved_share` is the mean number of moves of a request.
    `idle_share` is the share of the targets' time without any request while
    another target has a queue.
    """

    waits: tuple
    times: tuple
    ages: tuple
    refused_share: float
    moved_share: float
    idle_share: float


def quantile(values, share):
    """Return the value that `share` of the ascending values do not exceed."""
    return values[int(share * (len(values) - 1))]


def choose_at_random(
    candidates, *, random, availability_zone, exclude, **options
):
    """Choose any target of the zone, for comparison."""
    targets = [
        target
        for target in candidates.in_zone(availability_zone)
        if target.target_id not in exclude
    ]
    return Chosen(target_id=random.choice(targets).target_id)


@attrs.define(kw_only=True)
class _Target:
    speed: float
    queue: DeadlineQueue
    running: int = 0
    pace: int = USUAL_PACE
    mean_pace: float = USUAL_PACE

    def wait_seconds(self):
        """Return the expected wait of one more request."""
        return (
            (len(self.queue) + 1)
            * self.queue.service_seconds
            / SLOTS
            * self.pace
            / self.mean_pace
        )

    def load(self, reports_pace):
        """Return the TargetLoad as its proxy would report it."""
        load = TargetLoad(
            busy=self.running + len(self.queue),
            service_seconds=self.queue.service_seconds,
        )
        if not reports_pace:
            return load
        return attrs.evolve(
            load,
            pace_percent=self.pace,
            usual_seconds=load.service_seconds * USUAL_PACE / self.mean_pace,
        )


@attrs.frozen(kw_only=True)
class _Request:
    chooser: int
    tried: tuple
    arrived: float
    target: int | None = None
    max_wait_seconds: float = math.inf


class Service:
    """One run: `choose` is called as `routing.choose` is."""

    def __init__(self, shape, choose):
        """Set up idle targets of unequal speed and choosers that know none."""
        self._shape = shape
        self._choose = choose
        self._random = random.Random(shape.seed)
        self._ticks = itertools.count()
        self._events = []
        self._targets = [
            _Target(
                speed=0.5 + number % 11 / 10,
                queue=DeadlineQueue(
                    max_length=SLOTS,
                    slots=SLOTS,
                    service_seconds=SERVICE_SECONDS,
                ),
            )
            for number in range(shape.targets)
        ]
        self._candidates = [
            Candidates(
                targets=tuple(
                    self._make_state(number) for number in range(shape.targets)
                )
            )
            for _ in range(shape.choosers)
        ]
        self._waits, self._requests, self._refused = [], 0, 0
        self._moves = 0
        self._times, self._ages = [], []
        self._idle_seconds, self._since = 0.0, 0.0

    @staticmethod
    def _make_state(number):
        return TargetState(
            target_id=str(number),
            service="orders",
            availability_zone=ZONES[number % len(ZONES)],
            host=f"host-{number}",
            slots=SLOTS,
            slow_start_at=float("-inf"),
        )

    def run(self):
        """Return the Result."""
        shape = self._shape
        slowdown = 1 - shape.slowed_share * (1 - USUAL_PACE / PACE_WHEN_SLOWED)
        rate = (
            shape.utilisation
            * slowdown
            * sum(target.speed for target in self._targets)
            * SLOTS
            / SERVICE_SECONDS
        )
        self._at(0.0, self._take_turns)
        self._at(0.0, self._arrive, rate)
        while self._events[0][0] < shape.seconds:
            now, _, call, arguments = heapq.heappop(self._events)
            self._measure_idle(now)
            call(now, *arguments)
        measured = shape.seconds - WARM_UP_SECONDS
        return Result(
            waits=tuple(sorted(self._waits)),
            times=tuple(sorted(self._times)),
            ages=tuple(sorted(self._ages)),
            refused_share=self._refused / self._requests,
            moved_share=self._moves / self._requests,
            idle_share=self._idle_seconds / (shape.targets * measured),
        )

    def _at(self, time, call, *arguments):
        heapq.heappush(
            self._events, (time, next(self._ticks), call, arguments)
        )

    def _measure_idle(self, now):
        if self._since >= WARM_UP_SECONDS and any(
            len(target.queue) for target in self._targets
        ):
            idle = sum(not target.running for target in self._targets)
            self._idle_seconds += idle * (now - self._since)
        self._since = now

    def _take_turns(self, now):
        slowed = self._random.sample(
            range(self._shape.targets),
            round(self._shape.slowed_share * self._shape.targets),
        )
        for number, target in enumerate(self._targets):
            is_slowed = number in slowed
            target.pace = PACE_WHEN_SLOWED if is_slowed else USUAL_PACE
        self._at(now + TURN_SECONDS, self._take_turns)

    def _arrive(self, now, rate):
        self._at(now + self._random.expovariate(rate), self._arrive, rate)
        chooser = self._random.randrange(self._shape.choosers)
        self._requests += 1
        self._send(now, _Request(chooser=chooser, tried=(), arrived=now))

    def _send(self, now, request):
        candidates = self._candidates[request.chooser]
        chosen = self._choose(
            candidates,
            now=now,
            random=self._random,
            availability_zone=ZONES[request.chooser % len(ZONES)],
            exclude=frozenset(request.tried),
            objective_seconds=OBJECTIVE_SECONDS,
            host=(
                f"host-{request.chooser}"
                if self._shape.has_local_targets
                else ""
            ),
        )
        if len(request.tried) == MAX_ATTEMPTS or not isinstance(
            chosen, Chosen
        ):
            self._refused += 1
            return
        number = int(chosen.target_id)
        state = candidates.targets[number]
        if state.load is not None:
            self._ages.append(now - state.load_received_at)
        state.record_start(now)
        self._at(
            now + HOP_SECONDS,
            self._reach,
            attrs.evolve(
                request,
                target=number,
                tried=(*request.tried, chosen.target_id),
                max_wait_seconds=(
                    chosen.max_wait_seconds
                    if len(request.tried) < MAX_ATTEMPTS - 1
                    else math.inf
                ),
            ),
        )

    def _reach(self, now, request):
        target = self._targets[request.target]
        if target.running < SLOTS:
            self._start(now, request, target)
        elif target.wait_seconds() > request.max_wait_seconds or (
            not isinstance(target.queue.offer(request, math.inf, now), Queued)
        ):
            self._reply(now, request, OutcomeKind.REFUSED)

    def _start(self, now, request, target):
        target.running += 1
        if now >= WARM_UP_SECONDS:
            self._waits.append(now - request.arrived)
        # The standard deviation is about half of the mean.
        seconds = (
            SERVICE_SECONDS
            / target.speed
            * (target.pace / USUAL_PACE)
            * self._random.lognormvariate(-0.125, 0.5)
        )
        self._at(now + seconds, self._end, request, seconds)

    def _end(self, now, request, seconds):
        target = self._targets[request.target]
        target.running -= 1
        target.queue.observe(seconds)
        target.mean_pace += 0.1 * (target.pace - target.mean_pace)
        if now >= WARM_UP_SECONDS:
            self._times.append(now - request.arrived)
        waiting = target.queue.dequeue(now).item
        if waiting is not None:
            self._start(now, waiting, target)
        self._reply(now, request, OutcomeKind.ANSWERED, seconds)

    def _reply(self, now, request, kind, seconds=0.0):
        load = self._targets[request.target].load(self._shape.reports_pace)
        self._at(now + HOP_SECONDS, self._learn, request, kind, seconds, load)

    def _learn(self, now, request, kind, seconds, load):
        state = self._candidates[request.chooser].targets[request.target]
        state.record_outcome(now, seconds, kind)
        state.observe_load(now, load)
        if kind is OutcomeKind.REFUSED:
            self._moves += 1
            self._send(now, request)
