"""Random schedules of faults against the list of crashing requests.

Zones of real CrashGuards and CrashExchanges, with messages that arrive at once
or, across a cut, never. A caller repeats one request at random proxies while
proxies and control hosts restart, disks are lost, and a zone is cut off.
"""

import random
import types

import eventlet
import pytest

from tests.unit.test_crash_guard import make_record
from tests.unit.test_proxy_peers import make_call
from verbenanotch.crashes import CrashExchange, CrashTable
from verbenanotch.proxy import CrashGuard
from verbenanotch.proxy import _crashes as crashes_module

ZONES = ("z1", "z2", "z3", "z4")
PROXIES_PER_ZONE = 3
STEPS = 160
STEP_SECONDS = 0.25
FAULT_PROBABILITY = 0.3
MAX_ATTEMPTS = 3
# Three crashes identify the request; at most three more may follow.
MAX_CRASHES = 6
SEEDS = range(40)


class Disk:
    """What a control host has stored."""

    def __init__(self):
        """Start empty."""
        self.stored = []

    def load(self):
        """Return the stored records."""
        return self.stored

    def append(self, records, *, all_records):
        """Store records."""
        self.stored += records


class Link:
    """One end of a connection between two hosts of a Mesh."""

    def __init__(self, mesh, here, there):
        """Deliver to host `there` while both hosts run and are connected."""
        self._mesh = mesh
        self._here = here
        self._there = there
        self.peer_name = there
        self.other_end = None

    def send(self, message):
        """Deliver a message, or drop it."""
        if self._mesh.are_connected(self._here, self._there):
            exchange = self._mesh.exchanges_by_host[self._there]
            exchange.receive(self.other_end, message)


class Mesh:
    """Zones of proxies with one target and one control host each."""

    def __init__(self, *, seed, clock, has_disks=True, has_control=True):
        """Start all hosts. Planted faults: no disks, no control exchange."""
        self.random = random.Random(seed)
        self.clock = clock
        self.has_disks = has_disks
        self.has_control = has_control
        self.cut_zone = None
        self.crash_count = 0
        self.exchanges_by_host = {}
        self.guards_by_proxy = {}
        self.disks_by_control = {zone: Disk() for zone in ZONES}
        self.records_by_host = {
            f"{zone}-{number}": make_record(zone, number)
            for zone in ZONES
            for number in range(PROXIES_PER_ZONE)
        }
        for zone in ZONES:
            self.start_control(zone)
        for proxy in self.records_by_host:
            self.start_proxy(proxy)

    def are_connected(self, one, other):
        """Return whether messages between two hosts arrive."""
        crosses = zone_of(one) != zone_of(other)
        is_cut = crosses and self.cut_zone in (zone_of(one), zone_of(other))
        runs = one in self.exchanges_by_host
        return runs and other in self.exchanges_by_host and not is_cut

    def start_control(self, zone):
        """Start a control host; connect it to the others and its proxies."""
        exchange = CrashExchange(
            table=CrashTable(), monotonic=lambda: self.clock.now
        )
        if self.has_disks:
            exchange.use_storage(self.disks_by_control[zone])
        self.exchanges_by_host[zone] = exchange
        for other in ZONES:
            if other != zone:
                self.connect(zone, other)
        for proxy in self.records_by_host:
            if zone_of(proxy) == zone:
                self.connect(proxy, zone)

    def start_proxy(self, proxy):
        """Start a proxy and connect it to its control host."""
        settings = types.SimpleNamespace(
            host=types.SimpleNamespace(
                name=proxy, availability_zone=zone_of(proxy)
            )
        )
        guard = CrashGuard(
            settings=settings,
            snapshot_store=types.SimpleNamespace(
                snapshot=types.SimpleNamespace(
                    hosts_by_name=self.records_by_host
                )
            ),
            post=lambda record, message: self.post(proxy, record, message),
        )
        guard.exchange._monotonic = lambda: self.clock.now
        self.guards_by_proxy[proxy] = guard
        self.exchanges_by_host[proxy] = guard.exchange
        self.connect(proxy, zone_of(proxy))

    def connect(self, one, other):
        """Connect two hosts, if messages between them arrive."""
        if not self.are_connected(one, other) or not self.has_control:
            return
        link, other_end = Link(self, one, other), Link(self, other, one)
        link.other_end, other_end.other_end = other_end, link
        self.exchanges_by_host[one].connect(link)
        self.exchanges_by_host[other].connect(other_end)
        settle()

    def post(self, sender, record, message):
        """Deliver a message between proxies, or drop it."""
        if self.are_connected(sender, record.host):
            self.guards_by_proxy[record.host].receive_records(
                message.records,
                connection=types.SimpleNamespace(peer_name=sender),
                reply=lambda reply: self.reply(record.host, sender, reply),
            )

    def reply(self, sender, receiver, message):
        """Deliver a reply between proxies, or drop it."""
        if self.are_connected(sender, receiver):
            self.guards_by_proxy[receiver].receive_reply(message.records)

    def fault(self):
        """Inject one fault, or end the cut."""
        match self.random.randrange(6):
            case 0 | 1:
                proxy = self.random.choice(sorted(self.records_by_host))
                self.stop(proxy)
                self.start_proxy(proxy)
            case 2:
                zone = self.random.choice(ZONES)
                self.stop(zone)
                self.start_control(zone)
            case 3:
                zone = self.random.choice(ZONES)
                self.stop(zone)
                self.disks_by_control[zone] = Disk()
                self.start_control(zone)
            case 4:
                self.restart_all()
            case 5:
                self.cut_or_heal()

    def stop(self, host):
        """End a host's process."""
        del self.exchanges_by_host[host]
        self.guards_by_proxy.pop(host, None)

    def restart_all(self):
        """End all processes at once and start them again."""
        for host in list(self.exchanges_by_host):
            self.stop(host)
        for zone in ZONES:
            self.start_control(zone)
        for proxy in self.records_by_host:
            self.start_proxy(proxy)

    def cut_or_heal(self):
        """Cut a zone off, or connect the one that is cut off."""
        if self.cut_zone is None:
            self.cut_zone = self.random.choice(ZONES)
            return
        zone, self.cut_zone = self.cut_zone, None
        for other in ZONES:
            if other != zone:
                self.connect(zone, other)

    def send_request(self):
        """Send the request to a random proxy, which may retry it."""
        entry = self.random.choice(sorted(self.records_by_host))
        guard = self.guards_by_proxy[entry]
        tried = set()
        call = make_call(fingerprint=b"poison")
        while len(tried) < MAX_ATTEMPTS and guard.refusal(call) is None:
            targets = [
                host
                for host in self.records_by_host
                if host not in tried and self.are_connected(entry, host)
            ]
            target = guard.exclusive_target(
                call, targets
            ) or self.random.choice(targets)
            tried.add(target)
            guard.exchange.merge(self.run_at(target, call))
            settle()

    def run_at(self, target, call):
        """Run the request at a target; return the records of its crash."""
        guard = self.guards_by_proxy[target]
        with guard.running(call) as refusal:
            if refusal is not None:
                return ()
        self.crash_count += 1
        return guard.record_crash(call, b"%d" % self.crash_count)


def zone_of(host):
    return host.split("-")[0]


def settle():
    for _ in range(5):
        eventlet.sleep(0)


@pytest.fixture
def play(monkeypatch):
    """Return a function that plays one schedule and returns the crashes."""
    clock = types.SimpleNamespace(now=1000.0, monotonic=lambda: clock.now)
    monkeypatch.setattr(crashes_module, "time", clock)

    def play_schedule(seed, **options):
        mesh = Mesh(seed=seed, clock=clock, **options)
        for _ in range(STEPS):
            if mesh.random.random() < FAULT_PROBABILITY:
                mesh.fault()
            mesh.send_request()
            clock.now += STEP_SECONDS
        return mesh.crash_count

    return play_schedule


def test_schedules_of_faults_allow_few_crashes(play):
    crashes_by_seed = {seed: play(seed) for seed in SEEDS}
    assert min(crashes_by_seed.values()) > 0
    assert max(crashes_by_seed.values()) <= MAX_CRASHES, crashes_by_seed


@pytest.mark.parametrize("planted_fault", ["has_disks", "has_control"])
def test_schedules_find_a_planted_fault(play, planted_fault):
    crashes = [play(seed, **{planted_fault: False}) for seed in SEEDS]
    assert max(crashes) > MAX_CRASHES


def test_hosts_agree_once_all_are_connected(play, monkeypatch):
    meshes = []
    monkeypatch.setattr(
        Mesh,
        "send_request",
        lambda mesh, send=Mesh.send_request: (meshes.append(mesh), send(mesh)),
    )
    for seed in SEEDS:
        play(seed)
        mesh = meshes[-1]
        if mesh.cut_zone is not None:
            mesh.cut_or_heal()
        digests = {e.table.digest for e in mesh.exchanges_by_host.values()}
        assert len(digests) == 1
