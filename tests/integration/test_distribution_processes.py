"""Real processes: no proxy goes back, also over restarts and cuts."""

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
IN_FORCE = "version-in-force"


def versions_in_force(mesh, proxy):
    """Return all versions that a proxy put into force, over restarts."""
    path = mesh.folder / f"{proxy}.events.jsonl"
    records = [json.loads(line) for line in path.read_text().splitlines()]
    return [
        Version.parse(record["version"])
        for record in records
        if record["name"] == IN_FORCE
    ]


def events_of(mesh, host):
    """Return the names of a host's events."""
    path = mesh.folder / f"{host}.events.jsonl"
    return [json.loads(line)["name"] for line in path.read_text().splitlines()]


def assert_no_proxy_went_back(mesh):
    for proxy in mesh.topology.proxies:
        seen = versions_in_force(mesh, proxy.name)
        assert seen == sorted(seen), (proxy.name, seen)


def serves(mesh, proxy, path):
    return mesh.call("GET", path, proxy=proxy).status == 200


def links_around(names, others):
    return [(a, b) for a in names for b in others] + [
        (b, a) for a in names for b in others
    ]


def test_a_restarted_proxy_does_not_take_a_stale_control_host(tmp_path):
    stale, others = "z1-control-3", ["z1-control-1", "z1-control-2"]
    with Mesh(
        folder=tmp_path,
        links=links_around([stale], others),
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
            what="accepted the second version",
        )
        for proxy in ("z1-proxy-1", "z1-proxy-2"):
            mesh.wait_until(
                lambda proxy=proxy: serves(mesh, proxy, "/second/1"),
                what=f"served {proxy}",
            )
        for name in others:
            mesh.freeze(name)
        mesh.restart("z1-proxy-1")
        mesh.wait_until(
            lambda: "floor-open" in events_of(mesh, "z1-proxy-1"),
            what="looked for the minimum version in vain",
        )
        answer = mesh.call("GET", "/orders/1", proxy="z1-proxy-1")
        assert answer.outcome == "not-run"
        for name in others:
            mesh.thaw(name)
        mesh.wait_until(
            lambda: serves(mesh, "z1-proxy-1", "/second/1"),
            what="served the second version",
        )
        assert_no_proxy_went_back(mesh)


def test_a_cut_off_zone_serves_restarts_and_catches_up(tmp_path):
    cut, others = "z3-control-1", ["z1-control-1", "z2-control-1"]
    with Mesh(
        folder=tmp_path,
        zones=("z1", "z2", "z3"),
        control_hosts_per_zone=1,
        proxies_per_zone=1,
        links=links_around([cut], others),
        relay_factory=FaultProxy,
    ) as mesh:
        for zone in ("z1", "z3"):
            mesh.start_target(f"{zone}-proxy-1", "orders")
        base = mesh.accept(FIRST)
        mesh.wait_until(
            lambda: serves(mesh, "z3-proxy-1", "/orders/1"),
            what="served in the zone",
        )
        for relay in mesh.relays_by_link.values():
            relay.cut()
        mesh.wait_until(
            lambda: (
                mesh.submit(SECOND, base=base).kind in ("accepted", "conflict")
            ),
            what="accepted the second version",
        )
        mesh.wait_until(
            lambda: serves(mesh, "z2-proxy-1", "/second/1"),
            what="served the second version",
        )
        mesh.restart("z3-proxy-1")
        mesh.wait_until(
            lambda: serves(mesh, "z3-proxy-1", "/orders/1"),
            what="served in the cut-off zone after a restart",
        )
        assert "floor-found" in events_of(mesh, "z3-proxy-1")
        for relay in mesh.relays_by_link.values():
            relay.heal()
        mesh.wait_until(
            lambda: serves(mesh, "z3-proxy-1", "/second/1"),
            what="caught up",
        )
        assert_no_proxy_went_back(mesh)


def test_a_herd_of_crashed_processes_comes_back(tmp_path):
    with Mesh(folder=tmp_path, proxies_per_zone=4) as mesh:
        mesh.start_target("z1-proxy-1", "orders")
        base = mesh.accept(FIRST)
        newest = mesh.accept(SECOND, base=base)
        herd = [host.name for host in mesh.topology.proxies]
        herd += ["z1-control-1", "z1-control-2"]
        for name in herd:
            mesh.kill(name)
        for name in herd:
            mesh.start_host(name)
        for name in herd:
            mesh.wait_ready(name)
        mesh.wait_until_active(newest)
        mesh.wait_until(
            lambda: all(
                serves(mesh, host.name, "/second/1")
                for host in mesh.topology.proxies
            ),
            what="served at every proxy",
        )
        assert_no_proxy_went_back(mesh)
