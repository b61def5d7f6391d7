"""Test that proxies get versions over faulty links and never revert."""

import attrs
import eventlet
import pytest

from tests.support.control_side import (
    ADDRESS,
    ControlSide,
    FakeVersionStateMachine,
    ProxySide,
    make_mesh,
    make_target,
    wait_until,
)
from tests.support.fault_proxy import FaultProxy
from verbenanotch.catalog import NO_VERSION
from verbenanotch.conf import ControlHostAddress


class Zone:
    """Control hosts, each behind a link with faults, and their proxies."""

    def __init__(self):
        """Start empty; `stop` ends everything that was added."""
        self.controls_by_name = {}
        self.links_by_name = {}
        self.proxies = []
        self._stoppable = []

    def add_control(self, name, versions, **settings):
        """Start a control host behind a link of its name."""
        control = ControlSide(name=name, versions=versions, **settings)
        link = FaultProxy(
            listen_address=ADDRESS,
            address=ADDRESS,
            port=control.listener.port,
        )
        self.controls_by_name[name] = control
        self.links_by_name[name] = link
        self._stoppable += [control, link]
        return control.start()

    def add_proxy(self, name, **settings):
        """Start a proxy that dials through the links."""
        proxy = ProxySide(
            name=name,
            control_hosts_by_name={
                name: ControlHostAddress(address=ADDRESS, peer_port=link.port)
                for name, link in self.links_by_name.items()
            },
            **settings,
        )
        self.proxies.append(proxy)
        self._stoppable.append(proxy)
        return proxy.start()

    def add_stoppable(self, item):
        """Register an object that `stop` stops with the zone."""
        self._stoppable.append(item)

    def stop(self):
        """Stop everything, the latest addition first."""
        for item in reversed(self._stoppable):
            item.stop()


@pytest.fixture
def zone():
    zone = Zone()
    yield zone
    zone.stop()


@pytest.fixture
def versions():
    return FakeVersionStateMachine()


def record_versions(proxy):
    """Return a list that collects the version after each update."""
    applied_versions = []
    apply = proxy.snapshot_store.apply

    def recording_apply(update, **arguments):
        outcome = apply(update, **arguments)
        applied_versions.append(proxy.version)
        return outcome

    proxy.snapshot_store.apply = recording_apply
    return applied_versions


def test_versions_targets_and_drains_reach_all_proxies(zone, versions):
    zone.add_control("c1", versions)
    control = zone.add_control("c2", versions)
    version = versions.accept(make_mesh(3))
    first = zone.add_proxy("p1", services=["s0"])
    second = zone.add_proxy("p2", services=["s1"], entry_services=["s0"])
    wait_until(lambda: first.version == second.version == version)
    wait_until(lambda: len(first.snapshot_store.snapshot.targets_by_id) == 2)
    wait_until(
        lambda: "s0/p1:80" in second.snapshot_store.snapshot.targets_by_id
    )
    assert set(second.snapshot_store.snapshot.services_by_name) == {
        "s0",
        "s1",
        "s2",
    }
    control.publisher.drain("s0/p1:80")
    wait_until(lambda: first.drained == ["s0/p1:80"])
    first.announce([make_target("s0", host="p1", draining=True)])
    targets = second.snapshot_store.snapshot.targets_by_id
    wait_until(
        lambda: (
            second.snapshot_store.snapshot.targets_by_id["s0/p1:80"].draining
        )
    )
    assert not targets["s0/p1:80"].draining
    wait_until(lambda: control.publisher.zone_summary().lowest == version)
    assert control.publisher.zone_summary().count == 2


def test_a_restarted_proxy_refuses_a_stale_control_host(zone, versions):
    stale_versions = FakeVersionStateMachine()
    stale_versions.accept(make_mesh(1))
    versions.accept(make_mesh(1))
    newest = versions.accept(make_mesh(2))
    # c1 lacks the newest version; c2, which has it, cannot be reached.
    zone.add_control("c1", stale_versions, confirms=False)
    zone.add_control("c2", versions, confirms=False)
    zone.links_by_name["c2"].set(frozen=True)
    proxy = zone.add_proxy("p1")
    applied_versions = record_versions(proxy)
    eventlet.sleep(1.5)
    assert (
        applied_versions == [] and proxy.snapshot_store.minimum_version is None
    )
    zone.links_by_name["c2"].heal()
    wait_until(lambda: proxy.version == newest)
    assert set(applied_versions) == {newest}


def test_a_quorum_confirms_the_minimum_version_while_a_control_host_is_silent(
    zone, versions
):
    version = versions.accept(make_mesh(1))
    zone.add_control("c1", versions)
    zone.add_control("c2", versions)
    zone.links_by_name["c2"].cut()
    proxy = zone.add_proxy("p1")
    wait_until(lambda: proxy.version == version)
    assert proxy.snapshot_store.minimum_version == version


def test_a_proxy_of_the_zone_raises_the_minimum_version(zone, versions):
    versions.accept(make_mesh(1))
    newest = versions.accept(make_mesh(2))
    control = zone.add_control("c1", versions)
    first = zone.add_proxy("p1")
    wait_until(lambda: first.version == newest)
    # The control host loses its disk and restarts with an old version.
    control.stop()
    old_versions = FakeVersionStateMachine()
    old_versions.accept(make_mesh(1))
    restarted_control = ControlSide(
        name="c1",
        versions=old_versions,
        port=control.listener.port,
        confirms=False,
    )
    zone.add_stoppable(restarted_control.start())
    wait_until(lambda: "p1" in restarted_control.table.records_by_host)
    second = zone.add_proxy("p2")
    wait_until(lambda: second.snapshot_store.minimum_version == newest)
    assert second.version == NO_VERSION
    assert first.version == newest


def test_a_control_host_with_a_new_disk_does_not_determine_the_minimum_version(
    zone, versions
):
    versions.accept(make_mesh(1))
    empty = zone.add_control("c1", FakeVersionStateMachine(), confirms=False)
    zone.add_control("c2", versions, confirms=False)
    proxy = zone.add_proxy("p1")
    wait_until(lambda: proxy.subscriber.subscribed_to is not None)
    eventlet.sleep(1.5)
    assert proxy.snapshot_store.minimum_version is None
    empty.confirms = True
    wait_until(lambda: proxy.version == versions.current.version)


@pytest.mark.parametrize(
    "faults",
    [
        {"cut_forward": True, "cut_backward": True},
        {"cut_backward": True},
        {"cut_forward": True},
        {"frozen": True},
    ],
    ids=["silent", "to-the-proxy", "to-the-control-host", "frozen"],
)
def test_a_proxy_fails_over_from_a_cut_control_host(zone, versions, faults):
    versions.accept(make_mesh(1))
    zone.add_control("c1", versions)
    zone.add_control("c2", versions)
    proxy = zone.add_proxy("p1")
    wait_until(lambda: proxy.version == versions.current.version)
    first = proxy.subscriber.subscribed_to
    zone.links_by_name[first].set(**faults)
    newest = versions.accept(make_mesh(2))
    wait_until(lambda: proxy.version == newest)
    wait_until(lambda: proxy.subscriber.subscribed_to not in (None, first))


def test_proxies_leave_an_isolated_control_host(zone, versions):
    isolated = FakeVersionStateMachine()
    isolated.accept(make_mesh(1))
    versions.accept(make_mesh(1))
    zone.add_control("c1", isolated)
    zone.add_control("c2", versions)
    proxies = [zone.add_proxy(f"p{number}") for number in range(6)]
    wait_until(lambda: all(p.version.index == 1 for p in proxies))
    assert {p.subscriber.subscribed_to for p in proxies} == {"c1", "c2"}
    newest = versions.accept(make_mesh(2))
    wait_until(lambda: all(p.version == newest for p in proxies))


def test_a_proxy_keeps_its_snapshot_without_control_hosts(zone, versions):
    version = versions.accept(make_mesh(1))
    control = zone.add_control("c1", versions)
    proxy = zone.add_proxy("p1", services=["s0"])
    wait_until(lambda: proxy.snapshot_store.snapshot.targets_by_id)
    snapshot = proxy.snapshot_store.snapshot
    control.stop()
    wait_until(lambda: proxy.subscriber.subscribed_to is None)
    assert proxy.snapshot_store.snapshot is snapshot
    assert snapshot.version == version
    port = control.listener.port
    restarted_control = ControlSide(name="c1", versions=versions, port=port)
    zone.add_stoppable(restarted_control.start())
    newest = versions.accept(make_mesh(2))
    wait_until(lambda: proxy.version == newest)


def test_all_proxies_recover_from_a_reconnect_storm(zone, versions):
    versions.accept(make_mesh(3))
    zone.add_control("c1", versions, admission_limit=2)
    proxies = [
        zone.add_proxy(f"p{number}", services=["s0"]) for number in range(40)
    ]
    wait_until(lambda: all(p.version.index == 1 for p in proxies))
    applied_versions = [record_versions(proxy) for proxy in proxies]
    zone.links_by_name["c1"].reset()
    newest = versions.accept(make_mesh(4))
    wait_until(lambda: all(p.version == newest for p in proxies), seconds=30)
    wait_until(
        lambda: all(
            len(p.snapshot_store.snapshot.targets_by_id) == 40 for p in proxies
        )
    )
    assert all(applied == sorted(applied) for applied in applied_versions)


def test_a_returning_proxy_gets_a_delta_after_many_missed_changes(
    zone, versions
):
    versions.accept(make_mesh(20))
    zone.add_control("c1", versions)
    proxy = zone.add_proxy("p1")
    wait_until(lambda: proxy.version.index == 1)
    updates = []
    apply = proxy.snapshot_store.apply
    proxy.snapshot_store.apply = lambda update, **arguments: (
        updates.append(update) or apply(update, **arguments)
    )
    zone.links_by_name["c1"].cut()
    wait_until(lambda: proxy.subscriber.subscribed_to is None)
    for number in range(300):
        versions.accept(make_mesh(20 + number % 2))
    zone.links_by_name["c1"].heal()
    wait_until(lambda: proxy.version.index == 301)
    assert [item.full for u in updates for item in u.mesh] == [False]
    assert set(updates[0].mesh[0].routes) == {"s20-0"}


def test_a_corrupt_update_is_requested_again(zone, versions):
    versions.accept(make_mesh(2))
    zone.add_control("c1", versions)
    proxy = zone.add_proxy("p1")
    wait_until(lambda: proxy.version.index == 1)
    apply = proxy.snapshot_store.apply
    corrupted_updates = []

    def corrupt_once(update, **arguments):
        if update.mesh and not corrupted_updates:
            corrupted_updates.append(update)
            mesh = attrs.evolve(update.mesh[0], digest=1)
            update = attrs.evolve(update, mesh=(mesh,))
        return apply(update, **arguments)

    proxy.snapshot_store.apply = corrupt_once
    newest = versions.accept(make_mesh(3))
    wait_until(lambda: proxy.version == newest)
    assert len(corrupted_updates) == 1


def test_a_version_that_cannot_be_encoded_does_not_keep_out_later_ones(
    zone, versions
):
    """Guard against one bad version that ends the distribution for good."""
    zone.add_control("c1", versions)
    proxy = zone.add_proxy("p1")
    first = versions.accept(make_mesh(2))
    wait_until(lambda: proxy.version == first)
    bad = make_mesh(2)
    name, route = next(iter(bad.routes.items()))
    bad.routes[name] = attrs.evolve(route, host="\ud800.example")
    versions.accept(bad)
    # A restarted proxy asks for an update from the version that it has.
    later = zone.add_proxy("p2")
    eventlet.sleep(0.5)
    last = versions.accept(make_mesh(3))
    wait_until(lambda: proxy.version == last)
    wait_until(lambda: later.version == last)
