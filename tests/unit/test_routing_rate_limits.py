"""Replay of load on targets that name the rate they take."""

import random

import attrs
import pytest

from verbenanotch.membership import TargetRecord
from verbenanotch.routing import (
    DemandRate,
    NamedLimit,
    RateShares,
    TargetLoad,
)
from verbenanotch.routing._rate_limit import (
    DEMAND_MEMORY_SECONDS,
    END_AFTER_SECONDS,
)
from verbenanotch.routing._rate_shares import GONE_AFTER_SECONDS

WINDOW_SECONDS = 4.0
RECORD = TargetRecord(
    target_id="t",
    service="s",
    address="127.0.0.1",
    port=1,
    slots=8,
    incarnation=5,
)


def allowed(limit):
    """Return what the users allow in `WINDOW_SECONDS`."""
    return 1.5 * limit * WINDOW_SECONDS + 5


def most_in_window(times):
    return max(
        sum(start <= other < start + WINDOW_SECONDS for other in times)
        for start in times
    )


@attrs.define(kw_only=True)
class Play:
    """Proxies of different demand that send to one limited target.

    `restart_every` is the number of seconds between two restarts of the
    target's proxy, which forgets the limit.
    """

    rate: float
    demands: tuple
    restart_every: float = float("inf")
    sent: list = attrs.field(factory=list)
    refused: list = attrs.field(factory=list)
    sent_by_rank: dict = attrs.field(factory=dict)

    def run(self, *, seconds, seed=1, ranks=(0,), step=0.005):
        """Play the load; requests that find no share go elsewhere."""
        draw = random.Random(seed)
        limit = NamedLimit()
        shares = [RateShares() for _ in self.demands]
        restart_at = self.restart_every
        now = 0.0
        while now < seconds:
            if now >= restart_at:
                restart_at += self.restart_every
                limit = NamedLimit()
            for sender, demand in enumerate(self.demands):
                if draw.random() < demand * step:
                    rank = draw.choice(ranks)
                    self._offer(limit, shares[sender], sender, rank, now)
            now += step

    def _offer(self, limit, shares, sender, rank, now):
        if "t" in shares.exhausted("s", rank, now):
            return
        shares.spend("t", rank, now)
        limit.adopt(shares.known_limit(RECORD), now)
        if limit.wait_seconds(rank, now):
            self.refused.append(now)
        else:
            limit.spend(rank, now)
            self.sent.append(now)
            counts = self.sent_by_rank
            counts[rank] = counts.get(rank, 0) + 1
            limit.observe(self.rate, now)
        load = TargetLoad(
            busy=0,
            service_seconds=0.03,
            limit=limit.rate,
            share=limit.share(sender, self.demands[sender], now),
        )
        shares.observe(RECORD, load, now)


@pytest.mark.parametrize("rate", [0.5, 5.0, 40.0])
@pytest.mark.parametrize("restart_every", [float("inf"), 2.0])
def test_a_target_gets_what_it_names(rate, restart_every):
    play = Play(
        rate=rate, demands=(90.0, 30.0, 30.0, 1.0), restart_every=restart_every
    )
    play.run(seconds=30)
    settled = [time for time in play.sent if time >= 3]
    assert most_in_window(settled) <= allowed(rate)
    assert len(settled) >= 0.7 * rate * 27


def test_few_requests_arrive_only_to_be_refused():
    play = Play(rate=40.0, demands=(90.0, 30.0, 30.0, 30.0))
    play.run(seconds=30)
    settled = [time for time in play.refused if time >= 3]
    assert len(settled) <= 0.1 * len(play.sent)


def test_shares_follow_the_demand_of_each_proxy():
    limit = NamedLimit()
    limit.observe(40.0, 0.0)
    for now in (0.0, 0.6, 1.2):
        large = limit.share("large", 90.0, now)
        small = limit.share("small", 10.0, now)
    assert (large, small) == (36.0, 4.0)
    now += DEMAND_MEMORY_SECONDS + 1
    assert limit.share("small", 10.0, now) == 40.0


def test_urgent_requests_get_the_limit_first():
    play = Play(rate=20.0, demands=(60.0,))
    play.run(seconds=30, ranks=(0, 1, 1, 1))
    urgent_offered = 60.0 * 30 / 4
    assert play.sent_by_rank[0] >= 0.8 * urgent_offered
    assert play.sent_by_rank[1] > 0


def test_a_limit_ends_once_answers_no_longer_name_it():
    limit = NamedLimit()
    assert limit.observe(10.0, 0.0)
    assert not limit.observe(None, 0.1)
    assert not limit.observe(10.0, 0.2)
    assert not limit.observe(None, 5.0)
    assert limit.rate == 10.0
    assert limit.observe(None, 5.0 + END_AFTER_SECONDS)
    assert limit.rate == 0.0
    assert limit.wait_seconds(0, 6.0) == 0.0


def test_the_latest_rate_is_valid():
    limit = NamedLimit()
    limit.observe(10.0, 0.0)
    assert limit.observe(3.5, 0.1)
    assert limit.rate == 3.5


def test_a_limit_is_adopted_only_before_the_first_answer():
    limit = NamedLimit()
    assert not limit.adopt(0.0, 0.0)
    assert limit.adopt(10.0, 0.0)
    assert not limit.adopt(20.0, 0.0)
    assert limit.rate == 10.0
    answered = NamedLimit()
    answered.observe(None, 0.0)
    assert not answered.adopt(10.0, 0.0)


def test_a_share_ends_with_the_start_of_the_target():
    shares = RateShares()
    load = TargetLoad(busy=0, service_seconds=0.1, limit=9.0, share=3.0)
    shares.observe(RECORD, load, 0.0)
    assert shares.known_limit(attrs.evolve(RECORD, incarnation=0)) == 9.0
    assert shares.exhausted("s", 0, 0.0)
    restarted = attrs.evolve(RECORD, incarnation=6)
    assert shares.known_limit(restarted) == 0.0
    assert shares.exhausted("s", 0, 0.0) == {}


def test_a_share_ends_with_the_limit():
    shares = RateShares()
    load = TargetLoad(busy=0, service_seconds=0.1, limit=9.0, share=3.0)
    shares.observe(RECORD, load, 0.0)
    shares.observe(RECORD, attrs.evolve(load, limit=0.0), 0.1)
    assert shares.exhausted("s", 0, 0.1) == {}
    assert shares.known_limit(RECORD) == 0.0


def test_a_share_is_kept_for_a_while_without_its_target():
    """Guard against limits that end with a restart of a target's proxy."""
    shares = RateShares()
    load = TargetLoad(busy=0, service_seconds=0.1, limit=9.0, share=3.0)
    shares.observe(RECORD, load, 0.0)
    shares.retain({"t"}, 100.0)
    shares.retain({}, 100.0 + GONE_AFTER_SECONDS)
    assert shares.known_limit(RECORD) == 9.0
    shares.retain({}, 101.0 + GONE_AFTER_SECONDS)
    assert shares.known_limit(RECORD) == 0.0
    assert shares.exhausted("s", 0, 200.0) == {}


def test_demand_decays():
    demand = DemandRate()
    for number in range(1000):
        demand.record(number / 100)
    assert demand.value(10.0) == pytest.approx(100, rel=0.05)
    assert demand.value(30.0) < 0.1
