"""Test that proxies stay consistent under random, repeated faults.

No proxy may revert to an older version or get a dangling reference.
"""

import random

import eventlet
import pytest

from tests.support.control_side import (
    ADDRESS,
    ControlSide,
    FakeVersionStateMachine,
    ProxySide,
    make_mesh,
    wait_until,
)
from tests.support.fault_proxy import FaultProxy
from verbenanotch.catalog import NO_VERSION
from verbenanotch.conf import ControlHostAddress
from verbenanotch.distribution import SnapshotStore

ROUNDS = 12
MIN_ROUND_SECONDS = 0.4
MAX_ROUND_SECONDS = 1.4
PROXIES = 6
FAULTS = (
    {},
    {"delay_seconds": 0.2},
    {"cut_forward": True},
    {"cut_backward": True},
    {"cut_forward": True, "cut_backward": True},
    {"frozen": True},
)
SILENCING_FAULTS = FAULTS[2:]


class Host:
    """A control host that may be isolated from the quorum."""

    def __init__(self, name, log):
        """Start with all versions of the log, a list of meshes."""
        self.isolated = False
        self._log = log
        self.versions = FakeVersionStateMachine()
        self.catch_up()
        self.control = ControlSide(name=name, versions=self.versions).start()
        self.link = FaultProxy(
            listen_address=ADDRESS,
            address=ADDRESS,
            port=self.control.listener.port,
        )

    def catch_up(self):
        """Add the accepted versions that are missing, unless isolated."""
        if self.isolated:
            return
        stored_count = len(self.versions.records_by_version)
        for index in range(stored_count, len(self._log)):
            self.versions.accept(self._log[index], index=index + 1)

    def isolate(self, isolated):
        """Isolate the host from the quorum, or connect it again."""
        self.isolated = isolated
        self.control.confirms = not isolated
        self.catch_up()

    def stop(self):
        """Stop the host and its link."""
        self.control.stop()
        self.link.stop()


class SnapshotChecker:
    """Check every snapshot of every proxy, across its restarts."""

    def __init__(self):
        """Start without any version or problem."""
        self.problems = []
        self._highest_version_by_proxy = {}

    def watch(self, proxy):
        """Check each snapshot that the proxy's current store activates."""
        apply = proxy.snapshot_store.apply
        snapshot_store = proxy.snapshot_store

        def checking_apply(update, **arguments):
            outcome = apply(update, **arguments)
            self._check(proxy.name, snapshot_store.snapshot)
            return outcome

        snapshot_store.apply = checking_apply

    def _check(self, name, snapshot):
        highest = self._highest_version_by_proxy.get(name, NO_VERSION)
        if NO_VERSION != snapshot.version < highest:
            self.problems.append((name, highest, snapshot.version))
        self._highest_version_by_proxy[name] = max(highest, snapshot.version)
        for route in snapshot.routes_by_name.values():
            if route.service not in snapshot.services_by_name:
                self.problems.append((name, "dangling", route))
        for target_ids in snapshot.target_ids_by_service.values():
            for target_id in target_ids:
                host = snapshot.host_names_by_target_id[target_id]
                if host not in snapshot.hosts_by_name:
                    self.problems.append((name, "no host", target_id))


def restart(proxy, checker):
    """Restart a proxy with an empty snapshot store."""
    proxy.subscriber.stop()
    proxy.snapshot_store = SnapshotStore()
    checker.watch(proxy)
    proxy.reconnect()


def inject_faults(rng, log, hosts, proxies, checker):
    """Inject random faults while versions are accepted."""
    isolated = None
    for number in range(ROUNDS):
        # At most one host is isolated while versions are accepted, as if a
        # third voter completed the quorum. In every second round all links
        # are healthy, so that versions that the isolated host lacks become
        # active.
        healthy = number % 2 == 0
        if healthy:
            isolated = rng.choice([None, *hosts, *hosts])
        for host in hosts:
            host.isolate(host is isolated)
            if healthy:
                host.link.heal(reset=rng.random() < 0.2)
            elif host is not isolated or rng.random() < 0.2:
                host.link.set(**rng.choice(SILENCING_FAULTS))
        log.append(make_mesh(rng.randint(1, 5)))
        for host in hosts:
            host.catch_up()
        for proxy in rng.sample(proxies, rng.randint(0, 3)):
            restart(proxy, checker)
        eventlet.sleep(rng.uniform(MIN_ROUND_SECONDS, MAX_ROUND_SECONDS))


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_no_revert_or_dangling_reference_under_random_faults(seed):
    rng = random.Random(seed)
    log = [make_mesh(2)]
    hosts = [Host(name, log) for name in ("c1", "c2")]
    checker = SnapshotChecker()
    proxies = [
        ProxySide(
            name=f"p{number}",
            services=[f"s{number % 3}"],
            entry_services=["s0", "s1"] if number % 2 else (),
            control_hosts_by_name={
                host.control.name: ControlHostAddress(
                    address=ADDRESS, peer_port=host.link.port
                )
                for host in hosts
            },
        )
        for number in range(PROXIES)
    ]
    try:
        for proxy in proxies:
            checker.watch(proxy)
            proxy.start()
        inject_faults(rng, log, hosts, proxies, checker)
        for host in hosts:
            host.isolate(False)
            host.link.heal()
        wait_until(
            lambda: all(p.version.index == len(log) for p in proxies),
            seconds=30,
        )
        assert checker.problems == []
    finally:
        for item in (*proxies, *hosts):
            item.stop()
