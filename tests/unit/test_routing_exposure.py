"""How requests are divided between software versions, as pure decisions."""

import random

import attrs
import pytest

from verbenanotch.catalog import Exposure
from verbenanotch.membership import TargetRecord
from verbenanotch.routing import (
    Candidates,
    CandidatesWithFallback,
    Chosen,
    ExposureMeter,
    NoTarget,
    TargetState,
    choose_by_version,
    divide_targets,
    established_targets,
    established_version,
    is_rejected,
)

PROXY_COUNT = 75
STEPS = 4000
VERSIONS = {"a": "v1", "b": "v1", "c": "v2", "d": ""}


def record(target_id, software_version, incarnation=1, **fields):
    return TargetRecord(
        target_id=target_id,
        service="pay",
        address="127.0.0.1",
        port=1,
        slots=4,
        incarnation=incarnation,
        software_version=software_version,
        **fields,
    )


def established(records, current=""):
    versions = {
        target.target_id: target.software_version for target in records
    }
    return established_version(records, versions, current)


def test_a_candidate_gets_its_share_and_the_rest_is_old():
    groups = divide_targets(VERSIONS, Exposure(candidate="v2", share_ppm=1))
    assert groups.candidate == ("c",)
    assert groups.old == ("a", "b", "d")


def test_a_share_of_0_is_none():
    groups = divide_targets(VERSIONS, Exposure(candidate="v2"))
    assert groups.candidate == ()
    assert groups.old == ("a", "b", "d")


def test_a_rejected_version_gets_nothing_even_as_the_candidate():
    exposure = Exposure(
        candidate="v2", share_ppm=1_000_000, rejected=("v1", "v2")
    )
    groups = divide_targets(VERSIONS, exposure)
    assert groups.old == ()
    assert groups.candidate == ("d",)
    assert is_rejected("v2", exposure)
    assert not is_rejected("", Exposure(candidate="v2", rejected=("",)))
    assert not is_rejected("v2", None)


def test_after_the_shift_the_old_targets_get_nothing():
    """They stop without draining; one that names no version may be new."""
    groups = divide_targets(
        VERSIONS, Exposure(candidate="v2", share_ppm=1_000_000)
    )
    assert groups.old == ()
    assert groups.candidate == ("c", "d")
    groups = divide_targets(
        {"a": "v1"}, Exposure(candidate="v2", share_ppm=1_000_000)
    )
    assert (groups.old, groups.candidate) == ((), ())


def test_new_targets_beside_the_old_ones_are_not_established():
    old = [record(f"o{number}", "v1", number + 10) for number in range(3)]
    new = [record(f"n{number}", "v2", number + 90) for number in range(3)]
    assert established(old + new) == "v1"
    assert established(old + new + [record("n9", "v2", 99)]) == "v2"


def test_the_established_version_outlasts_a_crash_of_most_old_targets():
    new = [record(f"n{number}", "v2") for number in range(9)]
    assert established([record("o", "v1"), *new], "v1") == "v1"
    assert established(new, "v1") == "v2"


def test_draining_targets_do_not_keep_a_version_established():
    """A service is replaced one target after the other (a release)."""
    new = record("n", "v2")
    draining = record("o", "v1", draining=True)
    assert established([draining, record("o2", "v1"), new], "v1") == "v1"
    assert established([draining, new], "v1") == "v2"


def test_a_service_without_versions_has_none_established():
    targets = [record("a", ""), record("b", "")]
    assert established(targets) == ""
    assert established_targets({"a": "", "b": "v2"}, "").old == ("a", "b")
    assert established_targets(VERSIONS, "v1").old == ("a", "b", "d")


@attrs.define
class Total:
    """Calls of all proxies together."""

    sent: int = 0
    reached: int = 0


def play_call(meter, share_ppm, total):
    """Send one call that ends at once; return whether it was exposed."""
    exposed = meter.allows(share_ppm)
    if exposed:
        meter.record_sent()
        total.sent += 1
    meter.record_reached(share_ppm)
    total.reached += 1
    return exposed


@pytest.fixture
def play():
    """Return a function that plays calls of many proxies of unequal load.

    `share_ppm(step, proxy)` is the share that a proxy knows of. A proxy in
    `restarts[step]` forgets its counts.
    """

    def run(share_ppm, *, restarts=None, seed=1):
        randomness = random.Random(seed)
        # A few proxies have most of the load, many nearly none.
        weights = [1 / (rank + 1) ** 1.3 for rank in range(PROXY_COUNT)]
        meters = [ExposureMeter(candidate="v2") for _ in weights]
        total = Total()
        proxies = randomness.choices(range(PROXY_COUNT), weights, k=STEPS)
        for step, proxy in enumerate(proxies):
            for restarted in (restarts or {}).get(step, ()):
                meters[restarted] = ExposureMeter(candidate="v2")
            share = share_ppm(step, proxy)
            play_call(meters[proxy], share, total)
            yield step, total

    return run


@pytest.mark.parametrize("share_ppm", [10_000, 50_000, 100_000, 500_000])
def test_the_sum_over_75_proxies_of_unequal_load_keeps_the_share(
    play, share_ppm
):
    for _, total in play(lambda step, proxy: share_ppm):
        assert total.sent * 1_000_000 <= share_ppm * total.reached
    assert total.sent * 1_000_000 > share_ppm * total.reached / 4


@pytest.mark.parametrize("seed", range(5))
def test_restarts_of_proxies_in_the_middle_keep_the_share(play, seed):
    randomness = random.Random(seed)
    restarts = {
        randomness.randrange(STEPS): randomness.sample(range(PROXY_COUNT), 25)
        for _ in range(40)
    }
    calls = play(lambda step, proxy: 100_000, restarts=restarts, seed=seed)
    for _, total in calls:
        assert total.sent <= 0.1 * total.reached


def test_late_news_of_a_larger_share_keeps_the_largest_share(play):
    def share_ppm(step, proxy):
        return 100_000 if step > 1000 + 30 * proxy else 10_000

    for _, total in play(share_ppm):
        assert total.sent <= 0.1 * total.reached


def test_shares_stepped_up_and_down_keep_the_share_of_each_time(play):
    shares_ppm = (10_000, 50_000, 100_000, 0, 20_000, 100_000, 0, 50_000)

    def share_ppm(step, proxy):
        return shares_ppm[step * len(shares_ppm) // STEPS]

    allowed = 0
    sent_before = 0
    for step, total in play(share_ppm):
        allowed += share_ppm(step, 0) / 1_000_000
        assert total.sent <= allowed + 1e-6
        if share_ppm(step, 0) == 0:
            assert total.sent == sent_before
        sent_before = total.sent


def test_a_larger_share_causes_no_burst():
    meter = ExposureMeter(candidate="v2")
    total = Total()
    for _ in range(2000):
        play_call(meter, 10_000, total)
    exposed = [play_call(meter, 100_000, total) for _ in range(100)]
    assert sum(exposed) <= 12
    assert not any(
        all(exposed[start : start + 4]) for start in range(len(exposed) - 4)
    )


def test_calls_that_start_together_keep_the_share():
    """Many calls are sent before the first of them has ended."""
    meter = ExposureMeter(candidate="v2")
    for _ in range(100):
        meter.record_reached(100_000)
    sent = 0
    while meter.allows(100_000):
        meter.record_sent()
        sent += 1
    assert 0 < sent <= 2


def test_a_refused_call_is_given_back_and_a_refusing_service_adds_nothing():
    meter = ExposureMeter(candidate="v2")
    for _ in range(10):
        meter.record_reached(100_000)
    assert meter.allows(100_000)
    meter.record_sent()
    assert not meter.allows(100_000)
    meter.record_not_reached()
    assert meter.allows(100_000)


def test_a_full_share_needs_no_calls_elsewhere():
    assert ExposureMeter(candidate="v2").allows(1_000_000)
    assert not ExposureMeter(candidate="v2").allows(999_999)


def state(target_id, **fields):
    return TargetState(
        target_id=target_id,
        service="pay",
        availability_zone="z1",
        host="h",
        slots=4,
        slow_start_at=float("-inf"),
        **fields,
    )


@pytest.fixture
def choose():
    def run(candidate_states, old_states, **options):
        return choose_by_version(
            CandidatesWithFallback(
                targets=tuple(candidate_states),
                fallback=Candidates(targets=tuple(old_states)),
            ),
            now=0.0,
            random=random.Random(1),
            availability_zone="z1",
            **options,
        )

    return run


def test_without_a_usable_target_of_the_candidate_an_old_one_is_used(choose):
    old = [state("old")]
    assert choose([state("new")], old) == Chosen(target_id="new")
    unusable = [
        state("new", draining=True),
        state("new", in_flight=4),
        state("new", ejected_until=9.0),
    ]
    for new in unusable:
        assert choose([new], old) == Chosen(target_id="old")
    assert choose([state("new")], old, exclude={"new"}) == Chosen(
        target_id="old"
    )


def test_health_is_ignored_only_if_no_version_has_a_healthy_target(choose):
    unhealthy = state("new", ejected_until=9.0)
    full = state("old", in_flight=4)
    assert choose([unhealthy], [full]) == Chosen(
        target_id="new", panicked=True
    )
    assert isinstance(choose([], []), NoTarget)
