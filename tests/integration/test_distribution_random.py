"""Random faults, together and twice: no proxy goes back or dangles."""

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
LEAST_ROUND_SECONDS = 0.4
MOST_ROUND_SECONDS = 1.4
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
        """Hold all of the log, a list of meshes."""
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
        """Take what was accepted, unless isolated."""
        if self.isolated:
            return
        held = len(self.versions.records_by_version)
        for index in range(held, len(self._log)):
            self.versions.accept(self._log[index], index=index + 1)

    def isolate(self, isolated):
        """Cut the host off from the quorum, or let it back."""
        self.isolated = isolated
        self.control.confirms = not isolated
        self.catch_up()

    def stop(self):
        """Stop the host and its link."""
        self.control.stop()
        self.link.stop()


class Judge:
    """Watch every snapshot of every proxy, over its restarts."""

    def __init__(self):
        """Know of no version."""
        self.problems = []
        self._greatest_by_proxy = {}

    def watch(self, proxy):
        """Check each snapshot that the proxy's present store swaps in."""
        apply = proxy.snapshot_store.apply
        snapshot_store = proxy.snapshot_store

        def checking(update, **arguments):
            outcome = apply(update, **arguments)
            self._check(proxy.name, snapshot_store.snapshot)
            return outcome

        snapshot_store.apply = checking

    def _check(self, name, snapshot):
        greatest = self._greatest_by_proxy.get(name, NO_VERSION)
        if NO_VERSION != snapshot.version < greatest:
            self.problems.append((name, greatest, snapshot.version))
        self._greatest_by_proxy[name] = max(greatest, snapshot.version)
        for route in snapshot.routes_by_name.values():
            if route.service not in snapshot.services_by_name:
                self.problems.append((name, "dangling", route))
        for ids in snapshot.target_ids_by_service.values():
            for target_id in ids:
                host = snapshot.host_names_by_target_id[target_id]
                if host not in snapshot.hosts_by_name:
                    self.problems.append((name, "no host", target_id))


def restart(proxy, judge):
    """Let a proxy lose all that it held."""
    proxy.subscriber.stop()
    proxy.snapshot_store = SnapshotStore()
    judge.watch(proxy)
    proxy.restart_streams()


def play(rng, log, hosts, proxies, judge):
    """Inject random faults while versions are accepted."""
    isolated = None
    for number in range(ROUNDS):
        # One of three voters may be isolated while versions are accepted.
        # Every other round is healthy but for that, so that versions that
        # the isolated one lacks come into force.
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
            restart(proxy, judge)
        eventlet.sleep(rng.uniform(LEAST_ROUND_SECONDS, MOST_ROUND_SECONDS))


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_random_faults(seed):
    rng = random.Random(seed)
    log = [make_mesh(2)]
    hosts = [Host(name, log) for name in ("c1", "c2")]
    judge = Judge()
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
            judge.watch(proxy)
            proxy.start()
        play(rng, log, hosts, proxies, judge)
        for host in hosts:
            host.isolate(False)
            host.link.heal()
        wait_until(
            lambda: all(p.version.index == len(log) for p in proxies),
            seconds=30,
        )
        assert judge.problems == []
    finally:
        for item in (*proxies, *hosts):
            item.stop()
