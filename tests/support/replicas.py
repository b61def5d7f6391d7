"""Replicas in one process that use real connections, for tests."""

import itertools
import os
import random
import shutil
import time

import eventlet

from tests.support.fault_proxy import HEALTHY, FaultProxy
from verbenanotch import conf, wire
from verbenanotch.catalog import Submission
from verbenanotch.replication import Replica
from verbenanotch.versions import VersionService, VersionStateMachine

KEY = "0123456789abcdef"
PEER_PORT = 7100
MESH = 'name = "m{}"\n[services.a]\n[routes.r]\nprefix = "/"\nservice = "a"\n'


_address_numbers = itertools.count()


def wait_for(condition, seconds=15.0):
    """Block until the condition holds; fail after `seconds`."""
    deadline = time.monotonic() + seconds
    while not condition():
        assert time.monotonic() < deadline, "condition not met in time"
        eventlet.sleep(0.01)


def own_address():
    """Return a loopback address that no other host of the test has.

    Outgoing connections have other source addresses, so that none of them
    occupies the port that a host listens on.
    """
    process = os.getpid()
    high, low = 64 + process % 150, process // 150 % 250
    return f"127.{high}.{low}.{1 + next(_address_numbers) % 250}"


class Host:
    """A control host with a listener, a replica and its versions."""

    def __init__(self, *, settings, files=None):
        """Start on the port and data folder in the settings."""
        self.name = settings.host.name
        self.settings = settings
        self.versions = VersionStateMachine()
        self.replica = Replica(
            settings=settings,
            state_machine=self.versions,
            random=random.Random(settings.host.name),
            files=files,
        )
        self.service = VersionService(
            replica=self.replica, versions=self.versions
        )
        self.replica.open()
        self.replica.start()
        self.listener = wire.Listener(
            address=settings.host.address,
            port=settings.host.peer_port,
            key=KEY.encode(),
            name=self.name,
            handlers_by_purpose={
                wire.Purpose.REPLICATION: self.replica.handle
            },
        )
        self.listener.start()

    def stop(self):
        """Stop without notifying the peers."""
        self.listener.stop()
        self.replica.stop()

    def submit(self, number, *, base=None, submission_id=None, timeout=10.0):
        """Submit a mesh that has the number in its name."""
        if base is None:
            base = self.versions.current_version
        submission = Submission(
            submission_id=submission_id or f"s{number}",
            operator=self.name,
            text=MESH.format(number).encode(),
            base=base,
        )
        return self.service.submit(
            submission=submission, timeout_seconds=timeout
        )


class Cluster:
    """Control hosts with their data folders below one path."""

    def __init__(self, *, path, voters, learners=(), **control):
        """Define the hosts; `control` overrides control settings."""
        self.path = path
        self.hosts_by_name = {}
        self.control = {
            "election_timeout_ms": 300,
            "heartbeat_ms": 50,
            **control,
        }
        names = (*voters, *learners)
        self.addresses_by_name = {name: own_address() for name in names}
        self.relays_by_link = {}
        self.voter_names = voters

    def settings(self, name):
        """Return the settings of one host."""
        peers = {
            peer: conf.ControlHostAddress(
                address=self._dial_endpoint(name, peer)[0],
                peer_port=self._dial_endpoint(name, peer)[1],
            )
            for peer in self.addresses_by_name
        }
        voters = {peer: peers[peer] for peer in self.voter_names}
        return conf.Settings(
            host=conf.HostSettings(
                name=name,
                role="control",
                availability_zone="zone-a",
                address=self.addresses_by_name[name],
                peer_port=PEER_PORT,
                peer_key=KEY,
            ),
            control=conf.ControlSettings(
                data_folder=str(self.path / name),
                operator_port=1,
                operator_token="token",
                voters_by_name=voters,
                control_hosts_by_name=peers,
                **self.control,
            ),
        )

    def add_relays(self):
        """Put a relay on every link (dialler, peer); call before `start`."""
        for peer, address in self.addresses_by_name.items():
            for name in self.addresses_by_name:
                if name != peer:
                    self.relays_by_link[name, peer] = FaultProxy(
                        listen_address="127.0.0.1",
                        address=address,
                        port=PEER_PORT,
                    )

    def isolate(self, name):
        """Drop all traffic on every link of a host, without closing it."""
        for link, relay in self.relays_by_link.items():
            if name in link:
                relay.cut()

    def heal(self):
        """Restore the links that are cut; the others stay as they are."""
        for relay in self.relays_by_link.values():
            if relay.faults != HEALTHY:
                relay.heal()

    def wipe(self, name):
        """Remove a stopped host's data folder."""
        shutil.rmtree(self.path / name)

    def has_vote(self, name):
        """Return whether this host's disk is a voter on all running hosts."""
        disk_id = self.hosts_by_name[name].replica.status().disk_id
        for host in self.hosts_by_name.values():
            voter = host.replica.status().voters_by_name.get(name)
            if voter is None or voter.disk_id != disk_id:
                return False
        return True

    def _dial_endpoint(self, name, peer):
        """Return the address and port at which a host dials a peer."""
        relay = self.relays_by_link.get((name, peer))
        if relay is not None:
            return relay.listen_address, relay.port
        return self.addresses_by_name[peer], PEER_PORT

    def start(self, *names, files=None):
        """Start hosts, by default all that are defined."""
        for name in names or self.addresses_by_name:
            self.hosts_by_name[name] = Host(
                settings=self.settings(name), files=files
            )

    def stop(self, *names):
        """Stop hosts, by default all that run."""
        for name in names or list(self.hosts_by_name):
            self.hosts_by_name.pop(name).stop()

    def close(self):
        """Stop all hosts and relays."""
        self.stop()
        for relay in self.relays_by_link.values():
            relay.stop()

    def leader(self):
        """Return the leader; wait until there is exactly one."""
        leaders = []

        def has_one_leader():
            leaders[:] = [
                host
                for host in self.hosts_by_name.values()
                if host.replica.status().role == "leader"
            ]
            return len(leaders) == 1

        wait_for(has_one_leader)
        return leaders[0]

    def followers(self):
        """Return the running hosts other than the leader."""
        leader = self.leader()
        return [
            host for host in self.hosts_by_name.values() if host is not leader
        ]

    def agree(self, version):
        """Wait until this is the current version of every running host."""
        wait_for(
            lambda: all(
                host.versions.current_version == version
                for host in self.hosts_by_name.values()
            )
        )
