"""Random faults around a target that names a limit, in simulated time.

The judge is the users' rule: from 3 s after the limit was first named, the
target gets in any 4 s at most one and a half times what it allows, and 5 more,
from proxies that have passed on such an answer half a second before or
earlier. A restart of a proxy excuses that proxy.
"""

import random

import attrs
import pytest

from tests.unit.test_routing_rate_limits import (
    RECORD,
    allowed,
    most_in_window,
)
from verbenanotch.routing import DemandRate, NamedLimit, RateShares, TargetLoad

SEEDS = range(40)
STEP_SECONDS = 0.01
RUN_SECONDS = 40.0
LATENCY_SECONDS = 0.06
NAMED_AT_SECONDS = 2.0
STABLE_SECONDS = 3.0
TOLD_BEFORE_SECONDS = 0.5
SENDER_COUNT = 6
FAULTS_PER_SECOND = 1.0
RANKS = (0, 1, 2)


@attrs.define(kw_only=True)
class Sender:
    """A proxy that sends to the target; `rate` is what its callers ask."""

    rate: float
    shares: RateShares = attrs.field(factory=RateShares)
    demand: DemandRate = attrs.field(factory=DemandRate)
    told_at: float = float("inf")
    is_cut: bool = False


@attrs.define(kw_only=True)
class Mesh:
    """One target that names a limit, its proxy, and those that send.

    Without `has_adoption` the target's proxy learns no limit from those that
    send, without `has_shares` these do not keep to their shares.
    """

    random: random.Random
    limit_rate: float
    has_adoption: bool = True
    has_shares: bool = True
    now: float = 0.0
    limit: NamedLimit = attrs.field(factory=NamedLimit)
    senders: list = attrs.field(factory=list)
    judged: list = attrs.field(factory=list)
    ran: int = 0
    _answers: list = attrs.field(factory=list)

    def __attrs_post_init__(self):
        """Add the senders."""
        self.senders = [
            Sender(rate=self.random.choice((1.0, 10.0, 60.0)))
            for _ in range(SENDER_COUNT)
        ]

    def run(self):
        """Play the schedule."""
        while self.now < RUN_SECONDS:
            if self.random.random() < FAULTS_PER_SECOND * STEP_SECONDS:
                self._fault()
            self._answer()
            for sender in self.senders:
                if self.random.random() < sender.rate * STEP_SECONDS:
                    sender.demand.record(self.now)
                    self._offer(sender)
            self.now += STEP_SECONDS

    def _fault(self):
        sender = self.random.choice(self.senders)
        match self.random.randrange(5):
            case 0 | 1:
                # The target's proxy restarts; answers in flight are lost.
                self.limit = NamedLimit()
                self._answers.clear()
            case 2:
                index = self.senders.index(sender)
                self.senders[index] = Sender(rate=sender.rate)
            case 3:
                sender.is_cut = not sender.is_cut
            case 4:
                sender.rate = self.random.choice((0.0, 1.0, 10.0, 60.0))

    def _offer(self, sender):
        rank = self.random.choice(RANKS)
        waits = sender.shares.exhausted("s", rank, self.now)
        if sender.is_cut or (self.has_shares and waits):
            return
        sender.shares.spend("t", rank, self.now)
        if self.has_adoption:
            self.limit.adopt(sender.shares.known_limit(RECORD), self.now)
        if self.limit.wait_seconds(rank, self.now):
            self._reply(sender)
            return
        self.limit.spend(rank, self.now)
        self.ran += 1
        if sender.told_at + TOLD_BEFORE_SECONDS <= self.now:
            self.judged.append(self.now)
        names_limit = self.now >= NAMED_AT_SECONDS
        self._answers.append((self.now + LATENCY_SECONDS, sender, names_limit))

    def _answer(self):
        while self._answers and self._answers[0][0] <= self.now:
            _, sender, names_limit = self._answers.pop(0)
            rate = self.limit_rate if names_limit else None
            self.limit.observe(rate, self.now)
            if sender not in self.senders:
                continue
            if names_limit:
                sender.told_at = min(sender.told_at, self.now)
            self._reply(sender)

    def _reply(self, sender):
        demand = sender.demand.value(self.now)
        load = TargetLoad(
            busy=0,
            service_seconds=LATENCY_SECONDS,
            limit=self.limit.rate,
            share=self.limit.share(id(sender), demand, self.now),
        )
        sender.shares.observe(RECORD, load, self.now)


def play(seed, **options):
    draw = random.Random(seed)
    mesh = Mesh(
        random=draw, limit_rate=draw.choice((1.0, 10.0, 36.3)), **options
    )
    mesh.run()
    return mesh


def excess(mesh):
    """Return the arrivals beyond what the rule allows, in the worst 4 s."""
    start = NAMED_AT_SECONDS + STABLE_SECONDS
    judged = [time for time in mesh.judged if time >= start]
    return most_in_window(judged or [0.0]) - allowed(mesh.limit_rate)


@pytest.mark.parametrize(
    "options", [{}, {"has_adoption": False}, {"has_shares": False}]
)
def test_no_schedule_of_faults_exceeds_the_limit(options):
    """Each of the two ways over a restart is enough by itself."""
    excesses_by_seed = {seed: excess(play(seed, **options)) for seed in SEEDS}
    assert max(excesses_by_seed.values()) <= 0, excesses_by_seed


def test_a_limited_target_is_still_used():
    for seed in SEEDS:
        mesh = play(seed)
        assert mesh.ran >= 0.2 * mesh.limit_rate * RUN_SECONDS


def test_schedules_find_a_limit_that_ends_with_its_proxy():
    excesses = [
        excess(play(seed, has_adoption=False, has_shares=False))
        for seed in SEEDS
    ]
    assert max(excesses) > 0
