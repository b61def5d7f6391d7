"""Test that zones exchange tables and keep working when cut off."""

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
from verbenanotch.conf import ControlHostAddress


class Zones:
    """Two zones with one proxy each; zone z1 has two control hosts."""

    def __init__(self):
        """Start all hosts; `links` connect z1 and z2 in both directions."""
        versions = FakeVersionStateMachine()
        versions.accept(make_mesh(1))
        self.controls_by_name = {
            name: ControlSide(name=name, versions=versions, zone=name[:2])
            for name in ("z1-a", "z1-b", "z2-a")
        }
        self.links = []
        for name, control in self.controls_by_name.items():
            control.start(self._peers(name))
        self.proxies_by_zone = {
            zone: self._proxy(zone) for zone in ("z1", "z2")
        }

    def targets(self, zone):
        """Return the ids of the targets that the zone's proxy has."""
        proxy = self.proxies_by_zone[zone]
        return set(proxy.snapshot_store.snapshot.targets_by_id)

    def stop(self):
        """Stop all hosts and links."""
        for proxy in self.proxies_by_zone.values():
            proxy.stop()
        for item in (*self.controls_by_name.values(), *self.links):
            item.stop()

    def _peers(self, own_name):
        return {
            name: self._peer(own_name, control)
            for name, control in self.controls_by_name.items()
            if name != own_name
        }

    def _peer(self, own_name, control):
        if control.zone == own_name[:2]:
            return control.peer
        link = FaultProxy(
            listen_address=ADDRESS,
            address=ADDRESS,
            port=control.listener.port,
        )
        self.links.append(link)
        return ControlHostAddress(
            address=ADDRESS,
            peer_port=link.port,
            availability_zone=control.zone,
        )

    def _proxy(self, zone):
        return ProxySide(
            name=f"{zone}-p",
            zone=zone,
            services=["s0"],
            control_hosts_by_name={
                name: control.peer
                for name, control in self.controls_by_name.items()
                if control.zone == zone
            },
        ).start()


@pytest.fixture
def zones():
    zones = Zones()
    yield zones
    zones.stop()


BOTH_TARGETS = {"s0/z1-p:80", "s0/z2-p:80"}


def test_zones_learn_targets_drains_and_acknowledgements(zones):
    wait_until(
        lambda: zones.targets("z1") == zones.targets("z2") == BOTH_TARGETS
    )
    control = zones.controls_by_name["z1-b"]
    wait_until(lambda: "z2" in control.exchange.summaries_by_zone)
    wait_until(
        lambda: (
            control.exchange.summaries_by_zone["z2"].summary.lowest.index == 1
        )
    )
    assert control.exchange.drain("z2", "s0/z2-p:80")
    proxy = zones.proxies_by_zone["z2"]
    wait_until(lambda: proxy.drained == ["s0/z2-p:80"])


def test_a_cut_off_zone_keeps_working_and_catches_up(zones):
    wait_until(
        lambda: zones.targets("z1") == zones.targets("z2") == BOTH_TARGETS
    )
    for link in zones.links:
        link.cut()
    proxy = zones.proxies_by_zone["z2"]
    proxy.announce(
        [make_target("s0", host=name) for name in ("z2-p", "z2-new")]
    )
    new_target_id = "s0/z2-new:80"
    wait_until(lambda: zones.targets("z2") == {*BOTH_TARGETS, new_target_id})
    assert zones.targets("z1") == BOTH_TARGETS
    for link in zones.links:
        link.heal()
    wait_until(lambda: zones.targets("z1") == {*BOTH_TARGETS, new_target_id})


def test_a_remote_lease_lasts_until_the_proxy_stops(zones):
    wait_until(
        lambda: zones.targets("z1") == zones.targets("z2") == BOTH_TARGETS
    )
    table = zones.controls_by_name["z1-a"].table
    # z1-a loses its own lease of the proxy while z1-b has one.
    sessions = zones.controls_by_name["z1-a"].publisher.sessions_by_host
    sessions["z1-p"].connection.close()
    zones.proxies_by_zone["z1"].subscriber.stop()
    wait_until(lambda: table.records_by_host == {})
    wait_until(lambda: zones.targets("z2") == {"s0/z2-p:80"})
