"""The leader's side of rollouts, with a log and proxies of the tests."""

import attrs
import eventlet
import pytest

from tests.unit.test_rollouts_judge import outcomes
from tests.unit.test_rollouts_state import MESH, Replica, make_state
from tests.unit.test_versions import submit
from verbenanotch.catalog import NO_VERSION, Version
from verbenanotch.distribution import ProxyChannel
from verbenanotch.distribution._acknowledgements import Acknowledgements
from verbenanotch.membership import (
    HostRecord,
    TargetRecord,
    TargetRegistry,
    ZoneSummary,
    ZoneTable,
)
from verbenanotch.membership._exchange import ReceivedSummary
from verbenanotch.replication import Unavailable
from verbenanotch.rollouts.control import (
    Limits,
    MeshView,
    Phase,
    RolloutConductor,
    RolloutService,
)
from verbenanotch.versions import VersionService
from verbenanotch.wire import encode

VERSION = Version(epoch=1, index=5)


class FakeView:
    """Slots and acknowledgements that a test sets."""

    def __init__(self):
        """Start with targets of both versions, and nobody behind."""
        self.counts = (100, 100)
        self.is_acknowledged = True

    def slots(self, service, candidate):
        """Return the slots."""
        return self.counts

    def has_acknowledged(self, version):
        """Return whether all proxies have a version."""
        return self.is_acknowledged


class Bench:
    """A conductor with a clock, a log and one proxy of the tests."""

    def __init__(self):
        """Start as the leader of a mesh with the services a and b."""
        self.now = 100.0
        self.term = 1
        self.state = make_state(monotonic=lambda: self.now)
        self.replica = Replica(self.state)
        self.channel = ProxyChannel(leading_term=lambda: self.term)
        self.sent = []
        self.channel.connect("p", self)
        self.view = FakeView()
        self.service = RolloutService(replica=self.replica, state=self.state)
        self.conductor = self.make_conductor()
        self.calls = {"v1": 0, "v2": 0}
        self.failures = 0
        versions = VersionService(
            replica=self.replica, versions=self.state.versions
        )
        submit(versions, "first", text=MESH)

    def make_conductor(self):
        """Return a conductor that has received nothing yet."""
        return RolloutConductor(
            replica=self.replica,
            state=self.state,
            channel=self.channel,
            view=self.view,
            limits=Limits(max_share=0.1, allowance=50.0),
            monotonic=lambda: self.now,
        )

    def send(self, message):
        """Record what the leader sends to the proxy."""
        self.sent.append(message)

    def order(self):
        """Order a rollout of 12 s."""
        return self.service.order(
            service="a",
            candidate="v2",
            finish_by_seconds=12,
            operator="ann",
        )

    @property
    def rollout(self):
        """The rollout as the log has it."""
        return self.service.last("a")

    def run(self, seconds, *, failure_rate=0.0):
        """Pass time at 500 calls a second, with reports of the proxy."""
        for _ in range(round(seconds * 10)):
            self.now += 0.1
            share = self.rollout.share_ppm / 1_000_000
            self.calls["v1"] += round(50 * (1 - share))
            self.calls["v2"] += max(round(50 * share), share > 0)
            self.failures = round(self.calls["v2"] * failure_rate)
            if self.term:
                message = outcomes(self.calls["v2"], self.failures)
                old = outcomes(self.calls["v1"], version="v1")
                message = attrs.evolve(
                    message, counts=message.counts + old.counts
                )
                self.channel.receive(
                    "p", attrs.make_class("M", ["payload"])(encode(message))
                )
            self.conductor.run_once()
            eventlet.sleep(0)


@pytest.fixture
def bench():
    return Bench()


def test_a_good_version_is_shifted_and_completed(bench):
    bench.order()
    bench.run(9)
    assert bench.rollout.phase is Phase.RUNNING
    assert 0 < bench.rollout.share_ppm <= 100_000
    bench.view.is_acknowledged = False
    bench.run(2)
    assert bench.rollout.phase is Phase.SHIFTING
    bench.view.is_acknowledged = True
    bench.run(0.7)
    assert bench.rollout.phase is Phase.COMPLETED
    assert "calls" in bench.rollout.evidence
    assert bench.rollout.elapsed_ms < 12_000
    bench.run(31)
    assert bench.rollout.settled


def test_a_bad_version_is_rolled_back(bench):
    bench.order()
    bench.run(6, failure_rate=0.5)
    assert bench.rollout.phase is Phase.ROLLED_BACK
    assert "failed" in bench.rollout.reason
    assert bench.failures < 50


def test_without_reports_nothing_is_completed(bench):
    bench.order()
    for _ in range(130):
        bench.now += 0.1
        bench.conductor.run_once()
        eventlet.sleep(0)
    assert bench.rollout.phase is Phase.ROLLED_BACK
    assert "no call to the new version" in bench.rollout.reason


def test_a_shift_without_acknowledgements_is_rolled_back(bench):
    bench.order()
    bench.run(9)
    bench.view.is_acknowledged = False
    bench.run(4)
    assert bench.rollout.phase is Phase.ROLLED_BACK
    assert "acknowledged" in bench.rollout.reason


@pytest.mark.parametrize("seconds", [0.5, 3, 9, 10])
def test_a_new_leader_goes_on_from_the_log(bench, seconds):
    bench.order()
    bench.run(seconds)
    bench.term = None
    bench.run(0.5)
    step = bench.rollout.step
    bench.run(0.3)
    assert bench.rollout.step == step
    bench.conductor = bench.make_conductor()
    bench.term = 2
    bench.run(12.0 - seconds)
    assert bench.rollout.phase is Phase.COMPLETED
    assert bench.rollout.elapsed_ms < 12_000


@pytest.mark.parametrize("seconds", [10.6, 11, 11.5])
def test_a_rollout_ends_though_the_leader_changes_at_its_end(bench, seconds):
    bench.order()
    bench.run(seconds)
    bench.term = None
    bench.run(0.8)
    bench.conductor = bench.make_conductor()
    bench.term = 2
    bench.run(1.5)
    assert bench.rollout.has_ended


def test_steps_that_fail_are_decided_again(bench):
    bench.order()
    bench.replica.outcome = Unavailable(reason="no quorum")
    bench.run(3)
    assert bench.rollout.step == 0
    bench.replica.outcome = None
    bench.run(8.9)
    assert bench.rollout.phase is Phase.COMPLETED


def test_slow_commits_do_not_shift_the_deadline(bench, monkeypatch):
    """Each step is decided some time before it is applied."""
    bench.order()
    ordered_at = bench.now
    propose = bench.replica.propose

    def propose_slowly(**arguments):
        bench.now += 0.1
        return propose(**arguments)

    monkeypatch.setattr(bench.replica, "propose", propose_slowly)
    bench.view.is_acknowledged = False
    while not bench.rollout.has_ended:
        bench.run(0.1)
    assert bench.rollout.phase is Phase.ROLLED_BACK
    assert 11.5 < bench.now - ordered_at <= 12.0


def test_rollouts_of_two_services_are_independent(bench):
    """One has a bad version, the other a good one."""
    bench.order()
    bench.run(0.3)
    bench.service.order(
        service="b", candidate="v2", finish_by_seconds=20, operator="ann"
    )
    calls = 0
    for number in range(130):
        calls += bench.service.last("b").share_ppm > 0
        bad = attrs.evolve(outcomes(calls, calls), service="b")
        old = outcomes(50 * number, version="v1")
        bad = attrs.evolve(bad, counts=bad.counts + old.counts)
        bench.channel.receive(
            "p", attrs.make_class("M", ["payload"])(encode(bad))
        )
        bench.run(0.1)
    assert bench.rollout.phase is Phase.COMPLETED
    assert bench.service.last("b").phase is Phase.ROLLED_BACK
    services = bench.state.versions.current.mesh.services
    assert services["a"].exposure.share_ppm == 1_000_000
    assert services["b"].exposure.rejected == ("v2",)


def test_proxies_are_told_of_rollouts_while_these_run(bench):
    bench.run_once = bench.conductor.run_once
    bench.run_once()
    eventlet.sleep(0)
    assert not bench.sent
    bench.order()
    bench.run(2)
    assert len(bench.sent) >= 4
    bench.service.abort(service="a", candidate="v2", operator="ann")
    sent = len(bench.sent)
    bench.run(2)
    assert len(bench.sent) == sent + 1


@pytest.fixture
def view():
    table = ZoneTable(availability_zone="z1", lease_seconds=3.0)
    return MeshView(
        target_registry=TargetRegistry(zone_table=table),
        acknowledgements=Acknowledgements(),
        summaries_by_zone={},
        proxy_channel=ProxyChannel(leading_term=lambda: 1),
        monotonic=lambda: 20.0,
    )


def announce(view, host, *targets, now=20.0):
    record = HostRecord(
        host=host,
        availability_zone="z1",
        address="10.0.0.1",
        peer_port=1,
        incarnation=1,
        sequence=1,
        targets=targets,
    )
    view.target_registry.zone_table.announce(record, now=now)
    view.target_registry.refresh({host})
    view.proxy_channel.connect(host, None)


def make_target(number, version, *, draining=False, service="a"):
    return TargetRecord(
        target_id=f"t{number}",
        service=service,
        address="10.0.0.1",
        port=number,
        slots=6,
        incarnation=1,
        draining=draining,
        software_version=version,
    )


def test_slots_are_counted_by_version(view):
    announce(view, "p1", make_target(1, "v1"), make_target(2, "v2"))
    announce(view, "p2", make_target(3, ""))
    announce(view, "p3", make_target(4, "v2", draining=True))
    announce(view, "p4", make_target(5, "v2", service="b"))
    assert view.slots("a", "v2") == (6, 12)


def test_all_proxies_in_touch_are_waited_for(view):
    announce(view, "p1")
    announce(view, "p2")
    view.acknowledgements.record("p1", VERSION)
    assert not view.has_acknowledged(VERSION)
    view.acknowledgements.record("p2", VERSION)
    assert view.has_acknowledged(VERSION)
    # One that has not renewed its lease is out of touch.
    announce(view, "p3", now=18.0)
    assert view.has_acknowledged(VERSION)
    # So is one that is no longer connected.
    announce(view, "p4")
    assert not view.has_acknowledged(VERSION)
    view.proxy_channel.disconnect("p4", None)
    assert view.has_acknowledged(VERSION)


def test_other_zones_are_waited_for_unless_they_are_silent(view):
    summary = ZoneSummary(
        availability_zone="z2",
        source="z2-c1",
        current=VERSION,
        lowest=NO_VERSION,
        count=3,
        laggards=(),
    )
    for received_at, expected in ((19.0, False), (14.0, True)):
        view.summaries_by_zone["z2"] = ReceivedSummary(
            summary=summary, received_at=received_at
        )
        assert view.has_acknowledged(VERSION) is expected
