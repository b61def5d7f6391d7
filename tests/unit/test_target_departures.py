"""A target that has left stays out, whatever arrives of it later."""

import random

import attrs
import pytest

from tests.unit.test_local_targets import RECORD, make_record
from tests.unit.test_proxy_peers import SETTINGS
from verbenanotch.membership import ZoneTable
from verbenanotch.proxy import LocalTargets, _target_history
from verbenanotch.proxy._target_history import MAX_ANNOUNCEMENT_DELAY_SECONDS

SEEDS = 300
STEPS = 60


class Time:
    """The clocks of the module under test, advanced by the test."""

    def __init__(self):
        """Start at any time."""
        self.seconds = 1000.0

    def monotonic(self):
        """Return monotonic seconds."""
        return self.seconds

    def time(self):
        """Return the time of day in seconds."""
        return self.seconds


@pytest.fixture
def clock(monkeypatch):
    clock = Time()
    monkeypatch.setattr(_target_history, "time", clock)
    return clock


def make_targets(incarnation=1):
    return LocalTargets(
        settings=SETTINGS,
        incarnation=incarnation,
        on_change=lambda: None,
        known_services=lambda: {"pay": None, "stock": None},
    )


@pytest.fixture
def targets(clock):
    return make_targets()


def test_a_late_report_with_a_higher_sequence_does_not_restore(targets):
    """Guard against a report that was sent before the target left."""
    targets.announce(RECORD, sequence=5)
    targets.remove("i-1")
    assert not targets.announce(RECORD, sequence=6)
    assert targets.targets_by_id == {}
    later = make_record(incarnation=RECORD.incarnation + 1)
    assert targets.announce(later, sequence=1)


def test_a_target_that_was_replaced_at_its_address_stays_out(targets):
    targets.announce(RECORD, sequence=5)
    other = make_record(target_id="i-2", service="stock", incarnation=200)
    assert targets.announce(other, sequence=1)
    targets.remove("i-2")
    assert not targets.announce(RECORD, sequence=6)
    assert targets.service == "stock"


def test_a_report_from_before_the_departure_of_a_later_target_is_late(
    targets,
):
    """Guard against a wrong service after a restart of the proxy."""
    later = make_record(target_id="i-2", service="stock", incarnation=200)
    targets.announce(later, sequence=1)
    targets.remove("i-2")
    assert not targets.announce(RECORD, sequence=6)
    assert targets.service == "stock"


def test_another_target_may_use_the_address_some_time_later(targets, clock):
    targets.announce(make_record(incarnation=200), sequence=1)
    targets.remove("i-1")
    clock.seconds += MAX_ANNOUNCEMENT_DELAY_SECONDS
    assert targets.announce(make_record(target_id="i-2", incarnation=0))


def test_an_exit_also_ends_a_start_that_was_not_announced_yet(targets, clock):
    """Guard against an exit that ends an earlier start of the same id."""
    now_ms = int(clock.seconds * 1000)
    targets.announce(make_record(incarnation=now_ms - 500), sequence=9)
    targets.remove("i-1")
    late = make_record(incarnation=now_ms - 100)
    assert not targets.announce(late, sequence=1)
    assert targets.announce(make_record(incarnation=now_ms + 1), sequence=1)


def test_counted_starts_may_follow_at_once(targets):
    targets.announce(make_record(incarnation=1), sequence=9)
    targets.remove("i-1")
    assert not targets.announce(make_record(incarnation=1), sequence=10)
    assert targets.announce(make_record(incarnation=2), sequence=1)


def test_departures_are_announced_as_drained_for_some_time(targets, clock):
    """Guard against departures that only the target's proxy knows."""
    targets.announce(RECORD, sequence=5)
    targets.remove("i-1")
    departed = attrs.evolve(RECORD, draining=True)
    announced = targets.announcement()
    assert announced.targets == (departed,)
    targets.expire()
    assert targets.announcement() == announced
    clock.seconds += MAX_ANNOUNCEMENT_DELAY_SECONDS
    targets.expire()
    assert targets.announcement().targets == ()
    assert targets.announcement().order > announced.order


def test_a_departed_target_that_starts_again_is_announced_once(targets):
    targets.announce(RECORD, sequence=5)
    targets.remove("i-1")
    later = make_record(incarnation=RECORD.incarnation + 1)
    targets.announce(later, sequence=1)
    assert targets.announcement().targets == (later,)


def test_a_departure_outlasts_a_restart_of_the_proxy(clock):
    """The control hosts know it; see `membership.Drains`."""
    table = ZoneTable(availability_zone="z1", lease_seconds=3, started_at=0)
    before = make_targets()
    before.announce(RECORD, sequence=5)
    before.remove("i-1")
    table.announce(before.announcement(), now=0.0)
    after = make_targets(incarnation=2)
    after.announce(RECORD, sequence=6)
    table.announce(after.announcement(), now=1.0)
    assert table.get(after.announcement().host).targets[0].draining


def test_the_memory_of_departures_is_bounded_and_says_what_it_forgets(
    targets, monkeypatch
):
    emitted = []
    monkeypatch.setattr(
        _target_history, "emit", lambda event, **fields: emitted.append(fields)
    )
    count = _target_history.MAX_REMEMBERED + 1
    for number in range(count):
        targets.announce(make_record(target_id=f"i-{number}", port=9))
        targets.remove(f"i-{number}")
    assert {"target": "i-0"} in emitted
    assert len(targets._history._departures_by_id) == count - 1


class Lives:
    """Starts of targets at one address, and what is on its way of them."""

    def __init__(self, *, chance, clock):
        """Start without targets."""
        self.chance = chance
        self.clock = clock
        self.current = None
        self.sequence = 0
        # Pairs of the time of arrival and an action on LocalTargets.
        self.on_the_way = []
        self.departed = set()
        self.unknown_until = 0.0

    @property
    def can_restart(self):
        """Whether a restart of the proxy forgets no departure.

        Of a start that left before the proxy had heard of it, only the proxy
        itself knows.
        """
        return self.now >= self.unknown_until

    def start(self):
        """Start a target, at times under an id that was used before."""
        service = self.chance.choice(["pay", "stock"])
        self.clock.seconds += 0.01
        self.current = make_record(
            target_id=f"i-{self.chance.randrange(3)}",
            service=service,
            incarnation=int(self.clock.seconds * 1000),
        )
        self.sequence = 0

    def report(self):
        """Send a report, which may arrive seconds late."""
        self.sequence += 1
        late = self.chance.choice([0.0, 0.0, 0.0, 3.0, 8.0])
        record, sequence = self.current, self.sequence
        self.on_the_way.append(
            (
                self.clock.seconds + late,
                lambda targets: targets.announce(record, sequence=sequence),
            )
        )

    def leave(self, targets):
        """Send a DELETE, which arrives at once."""
        record = self.current
        known = targets.targets_by_id.get(record.target_id)
        targets.remove(record.target_id)
        if known is None or known.record.incarnation != record.incarnation:
            self.unknown_until = self.now + MAX_ANNOUNCEMENT_DELAY_SECONDS
        self.departed.add((record.target_id, record.incarnation))
        self.current = None

    def deliver(self, targets):
        """Let what is due arrive, in any order."""
        due = [item for item in self.on_the_way if item[0] <= self.now]
        self.on_the_way = [item for item in self.on_the_way if item not in due]
        self.chance.shuffle(due)
        for _, action in due:
            action(targets)

    @property
    def now(self):
        """Seconds."""
        return self.clock.seconds


@pytest.mark.parametrize("block", range(10))
def test_random_orders_bring_no_departed_target_back(clock, block):
    for seed in range(block * SEEDS // 10, (block + 1) * SEEDS // 10):
        play(random.Random(seed), clock)


def play(chance, clock):
    """Play random lives; restart the proxy at times."""
    table = ZoneTable(availability_zone="z1", lease_seconds=3, started_at=0)
    lives = Lives(chance=chance, clock=clock)
    restarts = 1
    targets = make_targets()
    for _ in range(STEPS):
        step = chance.random()
        if lives.current is None:
            lives.start()
        elif step < 0.6:
            lives.report()
        elif step < 0.75:
            lives.leave(targets)
        elif step < 0.8 and lives.can_restart:
            restarts += 1
            targets = make_targets(incarnation=restarts)
        lives.deliver(targets)
        table.announce(targets.announcement(), now=clock.seconds)
        stored = table.get(targets.announcement().host)
        for record in stored.targets:
            if (record.target_id, record.incarnation) in lives.departed:
                assert record.draining
        # The control hosts tell a restarted proxy what it has forgotten.
        for record in stored.targets:
            if record.draining:
                targets.drain(record.target_id)
        clock.seconds += chance.random()
