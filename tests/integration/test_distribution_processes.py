"""Test with real processes that no proxy reverts to an old version.

The proxies and control hosts are restarted, frozen and cut off.
"""

import json

from tests.support.fault_proxy import FaultProxy
from tests.support.harness import Mesh
from verbenanotch.catalog import Version

FIRST = """
name = "first"

[services.orders]

[routes.orders]
prefix = "/orders"
service = "orders"
"""
SECOND = (
    FIRST
    + """
[routes.second]
prefix = "/second"
service = "orders"
"""
)
VERSION_ACTIVE_EVENT = "version-in-force"


def active_versions(mesh, proxy):
    """Return all versions that a proxy activated, across restarts."""
    path = mesh.folder / f"{proxy}.events.jsonl"
    records = [json.loads(line) for line in path.read_text().splitlines()]
    return [
        Version.parse(record["version"])
        for record in records
        if record["name"] == VERSION_ACTIVE_EVENT
    ]


def event_names(mesh, host):
    """Return the names of a host's events."""
    path = mesh.folder / f"{host}.events.jsonl"
    return [json.loads(line)["name"] for line in path.read_text().splitlines()]


def assert_no_proxy_reverted(mesh):
    for proxy in mesh.topology.proxies:
        applied = active_versions(mesh, proxy.name)
        assert applied == sorted(applied), (proxy.name, applied)


def serves(mesh, proxy, path):
    return mesh.call("GET", path, proxy=proxy).status == 200


def links_between(names, others):
    return [(a, b) for a in names for b in others] + [
        (b, a) for a in names for b in others
    ]


def test_a_restarted_proxy_does_not_use_a_stale_control_host(tmp_path):
    """Guard against a restarted proxy that applies an older version.

    One control host is cut off before the second version; the others are
    frozen while a proxy that had the second version restarts.
    """
    stale, others = "z1-control-3", ["z1-control-1", "z1-control-2"]
    with Mesh(
        folder=tmp_path,
        links=links_between([stale], others),
        relay_factory=FaultProxy,
    ) as mesh:
        mesh.start_target("z1-proxy-2", "orders")
        base = mesh.accept(FIRST)
        for relay in mesh.relays_by_link.values():
            relay.cut()
        mesh.wait_until(
            lambda: (
                mesh.submit(SECOND, base=base).kind in ("accepted", "conflict")
            ),
            what="acceptance of the second version",
        )
        for proxy in ("z1-proxy-1", "z1-proxy-2"):
            mesh.wait_until(
                lambda proxy=proxy: serves(mesh, proxy, "/second/1"),
                what=f"served request at {proxy}",
            )
        for name in others:
            mesh.freeze(name)
        mesh.restart("z1-proxy-1")
        mesh.wait_until(
            lambda: "floor-open" in event_names(mesh, "z1-proxy-1"),
            what="undetermined minimum version",
        )
        answer = mesh.call("GET", "/orders/1", proxy="z1-proxy-1")
        assert answer.outcome == "not-run"
        for name in others:
            mesh.thaw(name)
        mesh.wait_until(
            lambda: serves(mesh, "z1-proxy-1", "/second/1"),
            what="served request of the second version",
        )
        assert_no_proxy_reverted(mesh)


def test_a_cut_off_zone_serves_after_a_restart_and_catches_up(tmp_path):
    cut, others = "z3-control-1", ["z1-control-1", "z2-control-1"]
    with Mesh(
        folder=tmp_path,
        zones=("z1", "z2", "z3"),
        control_hosts_per_zone=1,
        proxies_per_zone=1,
        links=links_between([cut], others),
        relay_factory=FaultProxy,
    ) as mesh:
        for zone in ("z1", "z3"):
            mesh.start_target(f"{zone}-proxy-1", "orders")
        base = mesh.accept(FIRST)
        mesh.wait_until(
            lambda: serves(mesh, "z3-proxy-1", "/orders/1"),
            what="served request in the zone",
        )
        for relay in mesh.relays_by_link.values():
            relay.cut()
        mesh.wait_until(
            lambda: (
                mesh.submit(SECOND, base=base).kind in ("accepted", "conflict")
            ),
            what="acceptance of the second version",
        )
        mesh.wait_until(
            lambda: serves(mesh, "z2-proxy-1", "/second/1"),
            what="served request of the second version",
        )
        mesh.restart("z3-proxy-1")
        mesh.wait_until(
            lambda: serves(mesh, "z3-proxy-1", "/orders/1"),
            what="served request in the cut-off zone after a restart",
        )
        assert "floor-found" in event_names(mesh, "z3-proxy-1")
        for relay in mesh.relays_by_link.values():
            relay.heal()
        mesh.wait_until(
            lambda: serves(mesh, "z3-proxy-1", "/second/1"),
            what="served request of the second version in the zone",
        )
        assert_no_proxy_reverted(mesh)


def test_many_processes_recover_from_a_simultaneous_crash(tmp_path):
    """Kill all proxies and two of three control hosts at once."""
    with Mesh(folder=tmp_path, proxies_per_zone=4) as mesh:
        mesh.start_target("z1-proxy-1", "orders")
        base = mesh.accept(FIRST)
        newest = mesh.accept(SECOND, base=base)
        crashed_names = [host.name for host in mesh.topology.proxies]
        crashed_names += ["z1-control-1", "z1-control-2"]
        for name in crashed_names:
            mesh.kill(name)
        for name in crashed_names:
            mesh.start_host(name)
        for name in crashed_names:
            mesh.wait_ready(name)
        mesh.wait_until_active(newest)
        mesh.wait_until(
            lambda: all(
                serves(mesh, host.name, "/second/1")
                for host in mesh.topology.proxies
            ),
            what="served request at every proxy",
        )
        assert_no_proxy_reverted(mesh)
