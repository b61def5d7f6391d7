"""Coordinator and holders under lost hosts, lost messages and view changes.

The holders use the views of a `ViewPublisher`. The network and the targets are
simulated. The simulation counts how often the request of each key runs, which
must never be more than once.
`VERBENANOTCH_SEEDS` sets the number of random schedules.
"""

import collections
import contextlib
import itertools
import os
import random

import attrs
import pytest

from verbenanotch.idempotency import (
    AlreadyFinished,
    Answer,
    Begin,
    Begun,
    Coordinator,
    Dispatch,
    Handoff,
    Holder,
    HolderTable,
    InProgress,
    KeyConflict,
    OutcomeUnknown,
    RecordHolder,
    RecordStore,
    Refused,
    ReleaseAttempt,
    View,
    ViewPublisher,
    push_transfers,
)
from verbenanotch.idempotency._shard_replica import ShardReplica

LEASE_SECONDS = 3.0
CLOCK_MARGIN_SECONDS = 1.0
MAX_AGE_SECONDS = 20.0
START_MS = 1_764_800_000_000
MAX_NESTING_DEPTH = 3
SCHEDULE_STEPS = 600
SEEDS = range(int(os.environ.get("VERBENANOTCH_SEEDS", "60")))


@pytest.fixture(autouse=True)
def few_shards(monkeypatch):
    monkeypatch.setattr("verbenanotch.idempotency._members.SHARD_COUNT", 3)


class SenderCrashError(Exception):
    """The sending process crashes before the message is sent."""


def member_of(identity):
    return RecordHolder(
        host=identity[0],
        availability_zone="z",
        address="127.0.0.1",
        peer_port=1,
        incarnation=identity[1],
    )


class SimulatedZone:
    """The holders of one zone, their publisher, and callers that retry.

    `pending_dispatches_by_key` counts the dispatches that are not run yet.
    """

    def __init__(self, *, hosts="abcd", seed=0, faults=False):
        """Start all holders and make them ready.

        Faults are injected afterwards, if `faults` is set.
        """
        self.random = random.Random(seed)
        self.faults = False
        self.now = 0.0
        self.holders_by_identity = {}
        self.clock_skews_ms_by_host = {}
        self.isolated_identities = set()
        self.views = [View(availability_zone="z", epoch=0, members=())]
        self.publisher = ViewPublisher(
            view=self.views[0], lease_seconds=LEASE_SECONDS, now=0.0
        )
        self.incarnations_by_host = {}
        self.delayed_messages = []
        self.run_counts_by_key = collections.Counter()
        self.pending_dispatches_by_key = collections.Counter()
        self.nesting_depth = 0
        self.callbacks_by_message_number = {}
        self.message_count = 0
        self.keys = []
        tokens = itertools.count()
        self.coordinator = Coordinator(
            ask=self.ask,
            new_token=lambda: f"t{next(tokens)}",
            timeout_seconds=0.1,
        )
        for host in hosts:
            self.start(host, 1)
        self.publish()
        self.converge()
        self.wait(30.0)
        self.faults = faults

    def wall_ms(self, host=""):
        """Return the wall clock of a host, or the true time, in ms."""
        return (
            START_MS
            + int(self.now * 1000)
            + self.clock_skews_ms_by_host.get(host, 0)
        )

    def start(self, host, incarnation):
        """Start a host with empty memory; end its earlier process, if any."""
        for identity in [
            identity
            for identity in self.holders_by_identity
            if identity[0] == host
        ]:
            del self.holders_by_identity[identity]
        if self.faults:
            self.clock_skews_ms_by_host[host] = self.random.randint(-499, 499)
        self.holders_by_identity[host, incarnation] = Holder(
            identity=(host, incarnation),
            store=RecordStore(
                max_bytes=20_000,
                max_age_seconds=MAX_AGE_SECONDS,
                clock_margin_seconds=CLOCK_MARGIN_SECONDS,
            ),
            lease_seconds=LEASE_SECONDS,
        )
        self.incarnations_by_host[host] = incarnation
        self.publisher.renew(member_of((host, incarnation)), now=self.now)

    def crash_host(self, host):
        """End a host's process; its lease stays until it expires."""
        for identity in [
            identity
            for identity in self.holders_by_identity
            if identity[0] == host
        ]:
            del self.holders_by_identity[identity]

    def publish(self):
        """Publish a view without the members whose lease has expired."""
        view = self.publisher.publish(now=self.now)
        if view is not self.views[-1]:
            self.views.append(view)

    def deliver(self, identity):
        """Deliver the next view to one holder, unless it is isolated."""
        holder = self.holders_by_identity.get(identity)
        if holder is None or identity in self.isolated_identities:
            return
        epoch = holder.epoch + 1
        if not holder.epoch:
            own_member = self.views[-1].by_identity().get(identity)
            epoch = own_member.joined_epoch if own_member else len(self.views)
        if epoch < len(self.views):
            holder.install(
                self.views[epoch],
                now=self.now,
                wall_ms=self.wall_ms(identity[0]),
            )

    def renew_lease(self, identity):
        """Renew the lease of one holder, unless it is isolated."""
        holder = self.holders_by_identity.get(identity)
        if holder is None or identity in self.isolated_identities:
            return
        epoch = self.publisher.renew(member_of(identity), now=self.now)
        holder.renew_lease(epoch, asked_at=self.now)

    def tick(self):
        """Advance the state of every holder to the current time."""
        for holder in list(self.holders_by_identity.values()):
            holder.tick(self.now)

    def converge(self):
        """Deliver all views, renew all leases and send all transfers."""
        for identity, holder in list(self.holders_by_identity.items()):
            missing_views = len(self.views) - 1 - holder.epoch
            for _ in range(missing_views):
                self.deliver(identity)
        for identity in list(self.holders_by_identity):
            self.renew_lease(identity)
        for _ in range(3):
            for holder in list(self.holders_by_identity.values()):
                holder.tick(self.now)
                push_transfers(holder, self.ask, timeout_seconds=0.1)

    def wait(self, seconds):
        """Let time pass, with views and renewals delivered every second."""
        for _ in range(int(seconds)):
            self.now += 1.0
            for identity in list(self.holders_by_identity):
                self.renew_lease(identity)
            self.publish()
            self.converge()

    def ask(self, member, message, timeout_seconds):
        """Deliver a message and its reply, unless one of them is lost."""
        self.message_count += 1
        self.callbacks_by_message_number.pop(
            self.message_count, lambda: None
        )()
        self.run_interleaved_steps()
        if self.is_fault_injected(0.02):
            if self.is_fault_injected(0.5):
                self.delayed_messages.append((member, message))
            return None
        if self.is_fault_injected(0.01):
            raise SenderCrashError
        reply = self.receive(member, message)
        self.run_interleaved_steps()
        if self.is_fault_injected(0.02):
            return None
        return reply

    def receive(self, member, message):
        """Return the reply of a member, or None if its process has ended."""
        holder = self.holders_by_identity.get(member.identity)
        if holder is None:
            return None
        return holder.handle(
            message, now=self.now, wall_ms=self.wall_ms(member.host)
        )

    def is_fault_injected(self, probability):
        """Return whether a fault is injected now."""
        return self.faults and self.random.random() < probability

    def table(self, *, lag=0):
        """Return the holders under a view that is `lag` epochs old."""
        return HolderTable(self.views[max(0, len(self.views) - 1 - lag)])

    def attempt(self, key, *, lag=0, ending="finish", digest=b"d"):
        """Make one attempt of a key and check its outcome.

        `ending` is the method of the coordinator that ends a dispatched
        attempt; with `crash`, the attempt runs and the coordinator sends
        nothing more. Refused with `not_run` is correct only if no earlier
        attempt had run or been dispatched when this one began.
        """
        earlier_attempts = (
            self.run_counts_by_key[key] + self.pending_dispatches_by_key[key]
        )
        outcome = self.coordinator.begin(
            key=key, digest=digest, table=self.table(lag=lag), timeout_ms=500
        )
        match outcome:
            case Dispatch():
                self.pending_dispatches_by_key[key] += 1
                self.run_interleaved_steps()
                self.run(outcome, ending)
            case Refused(not_run=True):
                assert earlier_attempts == 0
            case AlreadyFinished(answer=answer):
                assert answer == answer_of(key)
        return outcome

    def run(self, dispatch, ending):
        """Run and end a dispatched attempt, or release it."""
        key, table = dispatch.key, self.table()
        self.pending_dispatches_by_key[key] -= 1
        if ending == "release":
            self.coordinator.release(dispatch, table=table)
            return
        self.run_counts_by_key[key] += 1
        assert self.run_counts_by_key[key] == 1
        self.run_interleaved_steps()
        match ending:
            case "finish":
                self.coordinator.finish(dispatch, answer_of(key), table=table)
            case "unknown":
                self.coordinator.mark_unknown(dispatch, table=table)

    def run_interleaved_steps(self):
        """Run random steps between two actions, if faults are injected."""
        if not self.faults or self.nesting_depth >= MAX_NESTING_DEPTH:
            return
        self.nesting_depth += 1
        while self.random.random() < 0.3:
            self.random_step()
        self.nesting_depth -= 1

    def random_step(self):
        """Take one random step of the schedule."""
        host = self.random.choice("abcd")
        identity = (host, self.incarnations_by_host[host])
        choice = self.random.randrange(100)
        if choice < 2:
            self.inject_host_fault(identity)
        elif choice < 8:
            self.publish()
        elif choice < 25:
            self.deliver(identity)
        elif choice < 40:
            self.renew_lease(identity)
        elif choice < 50:
            is_long_pause = self.random.random() < 0.01
            self.now += (
                10.0 if is_long_pause else self.random.choice((0.1, 0.3, 0.5))
            )
            self.tick()
        elif choice < 52 and self.delayed_messages:
            self.receive(
                *self.delayed_messages.pop(
                    self.random.randrange(len(self.delayed_messages))
                )
            )
        elif choice < 70 and identity in self.holders_by_identity:
            with contextlib.suppress(SenderCrashError):
                push_transfers(
                    self.holders_by_identity[identity],
                    self.ask,
                    timeout_seconds=0.1,
                )
        else:
            with contextlib.suppress(SenderCrashError):
                self.random_attempt()

    def inject_host_fault(self, identity):
        """Crash, restart, isolate or reconnect one holder."""
        match self.random.randrange(6):
            case 0:
                self.crash_host(identity[0])
            case 1 | 2:
                self.start(identity[0], identity[1] + 1)
            case 3:
                self.isolated_identities.add(identity)
            case _:
                self.isolated_identities = set(
                    sorted(self.isolated_identities)[1:]
                )

    def random_attempt(self):
        """Make an attempt of a new or a recent key."""
        if len(self.keys) < 3 or self.random.random() < 0.3:
            issued_at_ms = self.wall_ms() + self.random.randint(-1500, 999)
            self.keys.append(f"{issued_at_ms}-{len(self.keys)}")
        self.attempt(
            self.random.choice(self.keys[-self.random.choice((4, 4, 40)) :]),
            lag=self.random.choice((0, 0, 0, 1, 2)),
            ending=self.random.choice(
                ("finish", "finish", "unknown", "crash", "release")
            ),
        )


def answer_of(key):
    return Answer(status=200, body=key.encode())


def new_key(zone, name="k"):
    return f"{zone.wall_ms()}-{name}"


def holders_of(zone, key):
    return [member.host for member in zone.table().holders(key)]


@pytest.fixture
def zone():
    return SimulatedZone()


def test_repeated_request_gets_the_recorded_answer(zone):
    key = new_key(zone)
    assert isinstance(zone.attempt(key), Dispatch)
    repeated = zone.attempt(key)
    assert repeated == AlreadyFinished(answer=answer_of(key))
    assert zone.attempt(key, digest=b"other") == KeyConflict()


@pytest.mark.parametrize("ending", ["finish", "unknown", "crash"])
@pytest.mark.parametrize("lost_indexes", [(0,), (1,)])
def test_outcome_is_kept_after_loss_of_one_holder(zone, ending, lost_indexes):
    key = new_key(zone)
    zone.attempt(key, ending=ending)
    for index in lost_indexes:
        zone.crash_host(holders_of(zone, key)[index])
    outcomes = [zone.attempt(key)]
    zone.wait(10.0)
    outcomes.append(zone.attempt(key))
    expected = {
        "finish": AlreadyFinished,
        "unknown": (OutcomeUnknown, Refused),
        "crash": (InProgress, OutcomeUnknown, Refused),
    }
    for outcome in outcomes:
        assert isinstance(outcome, expected[ending])
    assert zone.run_counts_by_key[key] == 1


def test_answer_is_kept_after_loss_of_holders_in_turn(zone):
    key = new_key(zone)
    zone.attempt(key)
    for _ in range(2):
        zone.crash_host(holders_of(zone, key)[0])
        zone.wait(10.0)
        assert isinstance(zone.attempt(key), AlreadyFinished)


def test_outcome_is_unknown_after_loss_of_both_holders(zone):
    key = new_key(zone)
    zone.attempt(key)
    for host in holders_of(zone, key):
        zone.crash_host(host)
    for _ in range(20):
        zone.wait(1.0)
        assert isinstance(zone.attempt(key), Refused | OutcomeUnknown)
    assert zone.attempt(key) == OutcomeUnknown(reason="before-records")
    assert isinstance(zone.attempt(new_key(zone, "later")), Dispatch)


def test_restarted_holder_receives_records_before_it_serves(zone):
    """A restarted process has no records: it must not start old keys.

    If both holders have restarted, the outcome is unknown.
    """
    key = new_key(zone)
    zone.attempt(key)
    hosts = holders_of(zone, key)
    zone.start(hosts[0], 2)
    assert isinstance(zone.attempt(key), AlreadyFinished)
    zone.wait(3.0)
    zone.start(hosts[1], 2)
    zone.wait(3.0)
    assert isinstance(zone.attempt(key), AlreadyFinished)
    for host in hosts:
        zone.start(host, 3)
    zone.wait(12.0)
    assert zone.attempt(key) == OutcomeUnknown(reason="before-records")


def test_key_is_refused_without_second_holder_until_view_changes(zone):
    key = new_key(zone)
    zone.crash_host(holders_of(zone, key)[1])
    match zone.attempt(key):
        case Refused(not_run=True, retry_after_ms=delay):
            assert delay > 0
        case outcome:
            pytest.fail(f"unexpected {outcome}")
    zone.wait(10.0)
    assert isinstance(zone.attempt(key), Dispatch)


def test_released_key_can_run_in_a_later_attempt(zone):
    key = new_key(zone)
    zone.attempt(key, ending="release")
    assert isinstance(zone.attempt(key), Dispatch)
    assert zone.run_counts_by_key[key] == 1


def test_expired_key_does_not_run_again(zone):
    key = new_key(zone)
    zone.attempt(key)
    zone.wait(30.0)
    assert zone.attempt(key) == OutcomeUnknown(reason="too-old")


def test_isolated_holders_stop_before_they_are_replaced(zone):
    """A coordinator with the old view must not start keys at old holders."""
    key = new_key(zone)
    holders = zone.table().holders(key)
    old_table = zone.table()
    zone.isolated_identities.update(member.identity for member in holders)
    zone.wait(10.0)
    assert isinstance(zone.attempt(new_key(zone, "new")), Dispatch)
    outcome = zone.coordinator.begin(
        key=key, digest=b"d", table=old_table, timeout_ms=500
    )
    assert isinstance(outcome, Refused)
    assert not outcome.not_run


def test_publisher_removes_expired_and_earlier_processes(zone):
    publisher, epoch = zone.publisher, zone.views[-1].epoch
    assert publisher.renew(member_of(("a", 0)), now=zone.now) is None
    publisher.leave(member_of(("b", 1)))
    publisher.leave(member_of(("c", 0)))
    zone.now += LEASE_SECONDS / 2
    publisher.renew(member_of(("a", 2)), now=zone.now)
    zone.now += LEASE_SECONDS / 2
    view = publisher.publish(now=zone.now)
    assert view.epoch == epoch + 1
    assert [member.identity for member in view.members] == [("a", 2)]
    assert view.members[0].joined_epoch == view.epoch


def test_holder_does_not_install_a_view_after_a_gap(zone):
    holder = next(iter(zone.holders_by_identity.values()))
    view = zone.views[-1]
    later = attrs.evolve(view, epoch=view.epoch + 2)
    assert not holder.install(later, now=zone.now, wall_ms=zone.wall_ms())
    assert holder.gap_found


def begin_at(zone, holder, key, *, holders):
    message = Begin(
        key=key, digest=b"d", token="x", timeout_ms=500, holders=holders
    )
    return holder.handle(message, now=zone.now, wall_ms=zone.wall_ms())


def test_holder_starts_keys_only_with_its_holders_and_a_valid_lease(zone):
    key = new_key(zone)
    first, second = zone.table().holders(key)
    holders = (first.identity, second.identity)
    holder = zone.holders_by_identity[first.identity]
    other = begin_at(zone, holder, key, holders=(first.identity, ("q", 1)))
    assert other.reason == "not-holder"
    zone.now += LEASE_SECONDS
    holder.renew_lease(holder.epoch + 1, asked_at=zone.now)
    assert (
        begin_at(zone, holder, key, holders=holders).reason == "lease-expired"
    )
    holder.renew_lease(holder.epoch, asked_at=zone.now)
    assert isinstance(begin_at(zone, holder, key, holders=holders), Begun)


def test_holders_with_different_epochs_do_not_dispatch(zone):
    """The attempt is released at both holders, at the first one last."""
    epochs = itertools.count()
    sent = []

    def ask(member, message, timeout_seconds):
        sent.append((member.host, type(message)))
        return Begun(holder_epoch=next(epochs))

    coordinator = Coordinator(
        ask=ask, new_token=lambda: "t", timeout_seconds=0.1
    )
    key = new_key(zone)
    outcome = coordinator.begin(
        key=key, digest=b"d", table=zone.table(), timeout_ms=500
    )
    assert isinstance(outcome, Refused)
    assert not outcome.not_run
    first, second = holders_of(zone, key)
    assert sent[2:] == [(second, ReleaseAttempt), (first, ReleaseAttempt)]


def shard_replica(**fields):
    fields = {"deadline": 10.0, "fallback_complete_since_ms": 99, **fields}
    holders = (("c", 1), ("d", 1))
    return ShardReplica(
        shard_number=0, holder_epoch=5, holders=holders, **fields
    )


def handoff(sender, *, required):
    return Handoff(
        shard_number=0,
        holder_epoch=5,
        sender=(sender, 1),
        required=tuple((host, 1) for host in required),
        complete_since_ms=7,
        chunk=0,
        chunk_count=1,
        records=(),
    )


def test_new_holder_waits_for_every_earlier_holder():
    """An earlier holder that is not fenced could still start keys."""
    new = shard_replica()
    for sender, ready in (("a", False), ("b", True)):
        new.receive(handoff(sender, required="ab"))
        assert new.update_readiness(("c", 1), 0.0) is ready
    assert new.complete_since_ms == 7


def test_holder_waits_for_its_own_previous_replica():
    """Without the records of that replica the new one is not complete."""
    prior = shard_replica()
    new = shard_replica(prior=prior, required=frozenset([("b", 1), ("c", 1)]))
    new.receive(handoff("b", required="bc"))
    assert not new.update_readiness(("c", 1), 0.0)
    prior.update_readiness(("c", 1), 10.0)
    assert new.update_readiness(("c", 1), 0.0)


def test_key_issued_ahead_of_the_clock_does_not_run_again(zone):
    """A caller's clock may be ahead of the holders' clocks.

    The key must count as issued before the records of the new holders are
    complete, although its time of issue is after its start.
    """
    key = f"{zone.wall_ms() + 999}-ahead"
    assert isinstance(zone.attempt(key), Dispatch)
    for host in holders_of(zone, key):
        zone.start(host, 2)
    zone.publish()
    zone.converge()
    zone.wait(15.0)
    assert zone.attempt(key) == OutcomeUnknown(reason="before-records")


def test_single_member_is_the_only_holder():
    zone = SimulatedZone(hosts="a")
    key = new_key(zone)
    assert isinstance(zone.attempt(key), Dispatch)
    assert isinstance(zone.attempt(key), AlreadyFinished)


LOSSES = ["crash-first", "crash-second", "restart-first", "restart-both"]


def lose_holders(zone, loss, hosts):
    match loss:
        case "crash-first":
            zone.crash_host(hosts[0])
        case "crash-second":
            zone.crash_host(hosts[1])
        case "restart-first":
            zone.start(hosts[0], 2)
        case "restart-both":
            zone.start(hosts[0], 2)
            zone.start(hosts[1], 2)


@pytest.mark.parametrize("ending", ["finish", "unknown", "crash", "release"])
@pytest.mark.parametrize("message_number", [1, 2, 3, 4])
@pytest.mark.parametrize("loss", LOSSES)
def test_key_runs_at_most_once_with_loss_at_each_message(
    zone, loss, message_number, ending
):
    """Holders are lost just before one of the messages of the attempt."""
    key = new_key(zone)
    hosts = holders_of(zone, key)
    zone.callbacks_by_message_number[zone.message_count + message_number] = (
        lambda: lose_holders(zone, loss, hosts)
    )
    zone.attempt(key, ending=ending)
    for seconds in (0.0, 1.0, 4.0, 10.0):
        zone.wait(seconds)
        zone.attempt(key)
    assert zone.run_counts_by_key[key] <= 1


@pytest.mark.parametrize("seed", SEEDS)
def test_keys_run_at_most_once_in_random_schedules(seed):
    """After the faults have ended, a new key must be started."""
    zone = SimulatedZone(seed=seed, faults=True)
    for _ in range(SCHEDULE_STEPS):
        zone.random_step()
    zone.faults = False
    zone.isolated_identities.clear()
    zone.start("a", 1000)
    zone.wait(MAX_AGE_SECONDS + 10.0)
    for key in zone.keys:
        zone.attempt(key)
    assert isinstance(zone.attempt(new_key(zone, "end")), Dispatch)
    assert max(zone.run_counts_by_key.values()) == 1
