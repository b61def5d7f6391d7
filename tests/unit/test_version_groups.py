"""Targets of different software versions across changing snapshots."""

import time

import attrs
import pytest

from tests.unit.test_proxy_entry import (
    ANSWER,
    FakePeers,
    FakeSnapshotStore,
    make_record,
)
from tests.unit.test_proxy_peers import SETTINGS
from verbenanotch.catalog import Exposure, Route, Service, Version
from verbenanotch.distribution._snapshot import with_mesh
from verbenanotch.proxy import Dispatcher
from verbenanotch.proxy._cancellation import Cancellation
from verbenanotch.proxy._candidates import CandidateCache
from verbenanotch.proxy._outcome import Answered, NotRun, Unknown
from verbenanotch.proxy._request import Request
from verbenanotch.proxy._version_groups import (
    SETTLING_SECONDS,
    VersionGroups,
)
from verbenanotch.rollouts import OutcomeCounter
from verbenanotch.routing import CandidatesWithFallback

ROUTES = {"pay": Route(prefix="/pay", service="pay")}
SETTLED = SETTLING_SECONDS + 1


def host(number, software_version, **fields):
    changed = make_record(number)
    target = attrs.evolve(
        changed.targets[0], software_version=software_version, **fields
    )
    return attrs.evolve(changed, targets=(target,))


class Store(FakeSnapshotStore):
    """A snapshot store whose exposure the test replaces."""

    def __init__(self, hosts, exposure=None):
        """Start with the service `pay` at some hosts."""
        super().__init__(
            hosts,
            version=Version(epoch=1, index=1),
            services_by_name={"pay": Service(exposure=exposure)},
            routes_by_name=ROUTES,
        )

    def expose(self, **fields):
        """Replace the Exposure by one with these fields, None without."""
        exposure = Exposure(**fields) if fields else None
        version = self.snapshot.version
        self.snapshot = with_mesh(
            self.snapshot,
            version=attrs.evolve(version, index=version.index + 1),
            services_by_name={
                "pay": Service(exposure=exposure, cold_start_ms=0)
            },
            routes_by_name=ROUTES,
        )


def make_cache(store, *, hold=False):
    return CandidateCache(
        snapshot_store=store,
        version_groups=VersionGroups(hold_new_versions=hold),
    )


def ids(cache, store, *, snapshot=None, now=0.0):
    candidates = cache.candidates(snapshot or store.snapshot, "pay", now=now)
    return {state.target_id for state in candidates.targets}


def test_without_a_rollout_all_versions_are_equal():
    store = Store([host(1, "v1"), host(2, "v2")])
    cache = make_cache(store)
    assert ids(cache, store) == {"pay/1", "pay/2"}
    candidates = cache.candidates(store.snapshot, "pay", now=0.0)
    assert cache.candidates(store.snapshot, "pay", now=1.0) is candidates


def test_new_versions_are_held_until_an_exposure_names_them():
    hosts = [host(1, "v1"), host(2, "v1"), host(3, "v2")]
    store = Store(hosts)
    cache = make_cache(store, hold=True)
    assert ids(cache, store) == {"pay/1", "pay/2"}
    store.expose(candidate="v2", share_ppm=1_000_000)
    assert ids(cache, store, now=SETTLED) == {"pay/3"}
    # The rollout is over, and its exposure is gone before the old targets.
    store.expose()
    assert ids(cache, store, now=SETTLED) == {"pay/3"}
    store.replace_records([host(1, "v1"), host(2, "v1")])
    assert ids(cache, store, now=SETTLED) == {"pay/1", "pay/2"}


def test_a_version_stays_established_while_one_of_its_targets_is_left():
    store = Store([host(number, "v1") for number in range(1, 4)])
    cache = make_cache(store, hold=True)
    assert len(ids(cache, store)) == 3
    ids(cache, store, now=SETTLED)
    store.replace_records([host(1, "v1"), host(5, "v2"), host(6, "v2")])
    assert ids(cache, store, now=SETTLED) == {"pay/1"}
    store.replace_records([host(5, "v2"), host(6, "v2")])
    assert ids(cache, store, now=SETTLED) == {"pay/5", "pay/6"}


def test_a_starting_proxy_decides_anew_while_it_receives_the_targets():
    """The first zone that it hears of has mostly new targets."""
    store = Store([host(5, "v2")])
    cache = make_cache(store, hold=True)
    assert ids(cache, store) == {"pay/5"}
    store.replace_records([host(1, "v1"), host(2, "v1"), host(5, "v2")])
    assert ids(cache, store, now=0.5) == {"pay/1", "pay/2"}


def test_held_targets_are_used_once_all_others_have_said_that_they_leave():
    """A target says so in an answer, before its proxy announces it."""
    old = [host(1, "v1"), host(2, "v1")]
    store = Store([*old, host(3, "v2")])
    cache = make_cache(store, hold=True)
    assert ids(cache, store, now=SETTLED) == {"pay/1", "pay/2"}
    cache.record_leaving(old[0].targets[0])
    assert ids(cache, store, now=SETTLED) == {"pay/1", "pay/2"}
    cache.record_leaving(old[1].targets[0])
    assert ids(cache, store, now=SETTLED) == {"pay/3"}


def test_new_versions_are_held_beside_an_exposure_of_another_version():
    """The exposure of a rejected version stays after its rollout."""
    hosts = [host(1, "v1"), host(2, "v2"), host(3, "v3")]
    store = Store(hosts[:2])
    store.expose(candidate="v2")
    cache = make_cache(store, hold=True)
    assert ids(cache, store) == {"pay/1"}
    store.expose(candidate="v2", rejected=("v2",))
    assert ids(cache, store, now=SETTLED) == {"pay/1"}
    store.replace_records(hosts)
    assert ids(cache, store, now=SETTLED) == {"pay/1"}
    store.replace_records([host(1, "v1", draining=True), *hosts[1:]])
    assert ids(cache, store, now=SETTLED) == {"pay/3"}
    store.replace_records(hosts[1:])
    assert ids(cache, store, now=SETTLED) == {"pay/3"}
    # Without the setting, all that are not rejected are equal.
    cache = make_cache(store)
    store.replace_records(hosts)
    assert ids(cache, store) == {"pay/1", "pay/3"}


def test_a_version_that_was_shifted_and_rejected_is_not_established():
    hosts = [host(1, "v1"), host(2, "v2"), host(3, "v2")]
    store = Store(hosts)
    cache = make_cache(store, hold=True)
    store.expose(candidate="v2", share_ppm=1_000_000)
    assert ids(cache, store) == {"pay/2", "pay/3"}
    store.expose(candidate="v2", rejected=("v2",))
    assert ids(cache, store, now=SETTLED) == {"pay/1"}
    store.replace_records([*hosts, host(4, "v3"), host(5, "v3")])
    assert ids(cache, store, now=SETTLED) == {"pay/1"}
    store.replace_records([*hosts, host(4, ""), host(5, "v1")])
    assert ids(cache, store, now=SETTLED) == {"pay/1", "pay/4", "pay/5"}


def test_a_target_without_a_version_is_like_any_other():
    store = Store([host(1, "v1"), host(2, "v1"), host(3, ""), host(4, "v2")])
    cache = make_cache(store, hold=True)
    assert ids(cache, store) == {"pay/1", "pay/2", "pay/3"}


def test_rejected_targets_stay_rejected_when_their_proxy_restarts():
    """A restarted proxy discovers its target before it is told the version."""
    store = Store([host(1, "v1"), host(2, "v2")])
    cache = make_cache(store)
    store.expose(candidate="v2", rejected=("v2",))
    assert ids(cache, store) == {"pay/1"}
    store.replace_records([host(1, "v1")])
    ids(cache, store)
    store.replace_records([host(1, "v1"), host(2, "", incarnation=0)])
    assert ids(cache, store) == {"pay/1"}


def test_each_other_division_is_logged_once(monkeypatch):
    logged = []
    monkeypatch.setattr(
        "verbenanotch.proxy._version_groups.emit",
        lambda event, **fields: logged.append(fields),
    )
    store = Store([host(1, "v1"), host(2, "v1"), host(3, "v2")])
    cache = make_cache(store, hold=True)
    ids(cache, store)
    store.replace_records([host(1, "v1"), host(3, "v2")])
    ids(cache, store)
    store.expose(candidate="v2", share_ppm=10_000, rejected=("v0",))
    ids(cache, store)
    store.replace_records([host(1, "v1")])
    ids(cache, store)
    store.expose()
    ids(cache, store)
    assert logged == [
        {"service": "pay", "established": "v1"},
        {
            "service": "pay",
            "candidate": "v2",
            "share_ppm": 10_000,
            "rejected": "v0",
        },
        {"service": "pay"},
    ]


def test_a_restarted_target_that_names_no_version_has_none():
    store = Store([host(1, "v1"), host(2, "v2")])
    cache = make_cache(store)
    store.expose(candidate="v2", rejected=("v2",))
    assert ids(cache, store) == {"pay/1"}
    store.replace_records([host(1, "v1"), host(2, "", incarnation=9)])
    assert ids(cache, store) == {"pay/1", "pay/2"}


def test_a_leaving_candidate_costs_no_second_choice():
    store = Store([host(1, "v1"), host(2, "v2", draining=True)])
    cache = make_cache(store)
    store.expose(candidate="v2", share_ppm=500_000)
    assert ids(cache, store) == {"pay/1"}
    candidates = cache.candidates(store.snapshot, "pay", now=0.0)
    assert not isinstance(candidates, CandidatesWithFallback)


def test_a_request_that_began_earlier_follows_the_latest_exposure():
    store = Store([host(1, "v1"), host(2, "v2")])
    cache = make_cache(store)
    earlier = store.snapshot
    assert ids(cache, store) == {"pay/1", "pay/2"}
    store.expose(candidate="v2", rejected=("v2",))
    store.replace_records([host(1, "v1"), host(2, "v2"), host(3, "v1")])
    assert ids(cache, store, snapshot=earlier) == {"pay/1"}
    assert ids(cache, store) == {"pay/1", "pay/3"}


def test_an_earlier_request_gets_the_fallback_that_it_knows():
    store = Store([host(1, "v1"), host(2, "v2")])
    store.expose(candidate="v2", share_ppm=1_000_000 - 1)
    groups = VersionGroups()
    cache = CandidateCache(snapshot_store=store, version_groups=groups)
    earlier = store.snapshot
    ids(cache, store)
    store.replace_records([host(1, "v1"), host(2, "v2"), host(3, "v1")])
    ids(cache, store)
    for _ in range(3):
        groups._meters_by_service["pay"].record_reached(999_999)
    candidates = cache.candidates(earlier, "pay", now=0.0)
    assert isinstance(candidates, CandidatesWithFallback)
    assert [state.target_id for state in candidates.targets] == ["pay/2"]
    fallback = candidates.fallback
    assert [state.target_id for state in fallback.targets] == ["pay/1"]


class Play:
    """A dispatcher at a proxy without targets of its own."""

    def __init__(self, store):
        """Send all calls to FakePeers."""
        self.store = store
        self.peers = FakePeers()
        self.counter = OutcomeCounter()
        self.dispatcher = Dispatcher(
            settings=SETTINGS,
            snapshot_store=store,
            local_targets=None,
            peers=self.peers,
            outcome_counter=self.counter,
        )

    def send(self, *, idempotent=True, retries=0):
        """Run one request; return its outcome."""
        request = Request(
            request_id="r",
            route_name="pay",
            service="pay",
            method="GET",
            path="/pay",
            headers=(),
            body=b"",
            deadline=time.monotonic() + 60,
            idempotent=idempotent,
            retries=retries,
        )
        return self.dispatcher.run(request, cancellation=Cancellation())

    def calls_to(self, *target_ids):
        """Return the number of calls to some targets."""
        return sum(call.target_id in target_ids for call in self.peers.calls)


@pytest.fixture
def play():
    return Play(
        Store([host(1, "v1"), host(2, "v1"), host(3, "v2"), host(4, "v2")])
    )


def test_the_candidate_gets_its_share_of_the_requests(play):
    play.store.expose(candidate="v2", share_ppm=100_000)
    for number in range(1, 301):
        play.send()
        assert play.calls_to("pay/3", "pay/4") <= 0.1 * number
    assert play.calls_to("pay/3", "pay/4") >= 28


def test_retries_are_part_of_the_share(play):
    """All targets fail, and each request is sent three times."""
    play.store.expose(candidate="v2", share_ppm=100_000)
    play.peers.outcomes = [Unknown(reason="peer-lost")]
    for _ in range(60):
        play.send(retries=2)
        assert play.calls_to("pay/3", "pay/4") <= 0.1 * len(play.peers.calls)


def test_refused_requests_are_no_part_of_the_requests_that_reach_it(play):
    """Overload: the rule counts only what has reached the service."""
    play.store.expose(candidate="v2", share_ppm=100_000)
    play.peers.outcomes = [NotRun(reason="host-full")]
    for _ in range(50):
        play.send()
    assert play.calls_to("pay/3", "pay/4") == 0


def test_a_full_share_leaves_no_request_to_the_old_targets(play):
    play.store.expose(candidate="v2", share_ppm=1_000_000)
    for _ in range(20):
        assert play.send() == ANSWER
    assert play.calls_to("pay/1", "pay/2") == 0
    play.store.replace_records([host(1, "v1"), host(2, "v1")])
    assert play.send() == NotRun(reason="no-target", retry_after_ms=250)


def test_a_new_candidate_starts_without_calls(play):
    play.store.expose(candidate="v2", share_ppm=100_000)
    for _ in range(9):
        play.send()
    play.store.expose(candidate="v3", share_ppm=100_000)
    play.store.replace_records([host(1, "v1"), host(3, "v3")])
    play.peers.calls.clear()
    for _ in range(10):
        play.send()
    assert play.calls_to("pay/3") == 0


def test_outcomes_are_counted_by_version_while_they_are_watched(play):
    play.store.expose(candidate="v2", share_ppm=500_000)
    play.send()
    now = time.monotonic()
    assert play.counter.changes(now) == []
    play.counter.watch({"pay": "v2"}, time.monotonic())
    play.peers.calls.clear()
    play.peers.outcomes = [
        ANSWER,
        Answered(status=503, headers=(), body=b""),
        Unknown(reason="peer-lost"),
        NotRun(reason="target-refused"),
        Answered(status=404, headers=(), body=b""),
    ]
    for _ in range(5):
        play.send(idempotent=False)
    message = play.counter.message("pay", proxy_incarnation=7)
    counts = {count.software_version: count for count in message.counts}
    assert set(counts) <= {"v1", "v2"}
    assert {count.route for count in message.counts} == {"pay"}
    assert sum(count.calls for count in message.counts) == 4
    assert sum(count.failures for count in message.counts) == 2
