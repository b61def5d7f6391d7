"""The coordinator and the holders under losses, cuts and new views.

Small fakes stand for the network, the publisher of views and the targets; a
ledger counts the runs of each key.
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
MARGIN_SECONDS = 1.0
MAX_AGE_SECONDS = 20.0
START_MS = 1_764_800_000_000
MAX_NESTING = 3
SCHEDULE_STEPS = 600
SEEDS = range(int(os.environ.get("VERBENANOTCH_SEEDS", "60")))


@pytest.fixture(autouse=True)
def few_shards(monkeypatch):
    monkeypatch.setattr("verbenanotch.idempotency._members.SHARD_COUNT", 3)


class SenderCrashError(Exception):
    """The process that sends a message ends before it is sent."""


def member_of(identity):
    return RecordHolder(
        host=identity[0],
        availability_zone="z",
        address="127.0.0.1",
        peer_port=1,
        incarnation=identity[1],
    )


class Mesh:
    """Holders of one zone, a publisher, and callers that ask again."""

    def __init__(self, *, hosts="abcd", seed=0, faults=False):
        """Start and settle all holders; inject nothing without `faults`."""
        self.random = random.Random(seed)
        self.faults = False
        self.now = 0.0
        self.holders_by_identity = {}
        self.skews_ms = {}
        self.isolated = set()
        self.views = [View(availability_zone="z", epoch=0, members=())]
        self.publisher = ViewPublisher(
            view=self.views[0], lease_seconds=LEASE_SECONDS, now=0.0
        )
        self.incarnations = {}
        self.late = []
        self.runs = collections.Counter()
        self.granted = collections.Counter()
        self.nesting = 0
        self.on_message = {}
        self.messages = 0
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
        self.settle()
        self.wait(30.0)
        self.faults = faults

    def wall_ms(self, host=""):
        """Return the wall clock of a host, or the true one."""
        return START_MS + int(self.now * 1000) + self.skews_ms.get(host, 0)

    def start(self, host, incarnation):
        """Start a host with empty memory, in place of an earlier process."""
        for identity in [
            item for item in self.holders_by_identity if item[0] == host
        ]:
            del self.holders_by_identity[identity]
        if self.faults:
            self.skews_ms[host] = self.random.randint(-499, 499)
        self.holders_by_identity[host, incarnation] = Holder(
            identity=(host, incarnation),
            store=RecordStore(
                max_bytes=20_000,
                max_age_seconds=MAX_AGE_SECONDS,
                clock_margin_seconds=MARGIN_SECONDS,
            ),
            lease_seconds=LEASE_SECONDS,
        )
        self.incarnations[host] = incarnation
        self.publisher.renew(member_of((host, incarnation)), now=self.now)

    def kill(self, host):
        """End a host's process."""
        for identity in [
            item for item in self.holders_by_identity if item[0] == host
        ]:
            del self.holders_by_identity[identity]

    def publish(self):
        """Publish a view without those whose lease is over."""
        view = self.publisher.publish(now=self.now)
        if view is not self.views[-1]:
            self.views.append(view)

    def deliver(self, identity):
        """Give one holder the next view, unless it is isolated."""
        holder = self.holders_by_identity.get(identity)
        if holder is None or identity in self.isolated:
            return
        epoch = holder.epoch + 1
        if not holder.epoch:
            own = self.views[-1].by_identity().get(identity)
            epoch = own.joined_epoch if own else len(self.views)
        if epoch < len(self.views):
            holder.install(
                self.views[epoch],
                now=self.now,
                wall_ms=self.wall_ms(identity[0]),
            )

    def confirm(self, identity):
        """Renew the lease of one holder, unless it is isolated."""
        holder = self.holders_by_identity.get(identity)
        if holder is None or identity in self.isolated:
            return
        epoch = self.publisher.renew(member_of(identity), now=self.now)
        holder.confirm(epoch, asked_at=self.now)

    def tick(self):
        """Let every holder settle what is due."""
        for holder in list(self.holders_by_identity.values()):
            holder.tick(self.now)

    def settle(self):
        """Deliver all views, confirm and hand over, to the end."""
        for identity, holder in list(self.holders_by_identity.items()):
            behind = len(self.views) - 1 - holder.epoch
            for _ in range(behind):
                self.deliver(identity)
        for identity in list(self.holders_by_identity):
            self.confirm(identity)
        for _ in range(3):
            for holder in list(self.holders_by_identity.values()):
                holder.tick(self.now)
                push_transfers(holder, self.ask, timeout_seconds=0.1)

    def wait(self, seconds):
        """Let time pass with everything in order."""
        for _ in range(int(seconds)):
            self.now += 1.0
            for identity in list(self.holders_by_identity):
                self.confirm(identity)
            self.publish()
            self.settle()

    def ask(self, member, message, timeout_seconds):
        """Deliver a message and its reply, unless one of them is lost."""
        self.messages += 1
        self.on_message.pop(self.messages, lambda: None)()
        self.disturb()
        if self.is_hit(0.02):
            if self.is_hit(0.5):
                self.late.append((member, message))
            return None
        if self.is_hit(0.01):
            raise SenderCrashError
        reply = self.receive(member, message)
        self.disturb()
        if self.is_hit(0.02):
            return None
        return reply

    def receive(self, member, message):
        """Return the reply of a member that is there, else None."""
        holder = self.holders_by_identity.get(member.identity)
        if holder is None:
            return None
        return holder.handle(
            message, now=self.now, wall_ms=self.wall_ms(member.host)
        )

    def is_hit(self, share):
        """Return whether a fault is injected now."""
        return self.faults and self.random.random() < share

    def table(self, *, lag=0):
        """Return the holders under a view that is `lag` epochs old."""
        return HolderTable(self.views[max(0, len(self.views) - 1 - lag)])

    def attempt(self, key, *, lag=0, ending="finish", digest=b"d"):
        """Make one attempt of a key and judge its result.

        Not-run speaks of earlier attempts: none may have run, or been
        granted, when this one was made.
        """
        earlier = self.runs[key] + self.granted[key]
        outcome = self.coordinator.begin(
            key=key, digest=digest, table=self.table(lag=lag), timeout_ms=500
        )
        match outcome:
            case Dispatch():
                self.granted[key] += 1
                self.disturb()
                self.run(outcome, ending)
            case Refused(not_run=True):
                assert earlier == 0
            case AlreadyFinished(answer=answer):
                assert answer == answer_of(key)
        return outcome

    def run(self, dispatch, ending):
        """End a granted attempt, by a run or by giving it up."""
        key, table = dispatch.key, self.table()
        self.granted[key] -= 1
        if ending == "release":
            self.coordinator.release(dispatch, table=table)
            return
        self.runs[key] += 1
        assert self.runs[key] == 1
        self.disturb()
        match ending:
            case "finish":
                self.coordinator.finish(dispatch, answer_of(key), table=table)
            case "unknown":
                self.coordinator.mark_unknown(dispatch, table=table)

    def disturb(self):
        """Let something else happen in between, if faults are injected."""
        if not self.faults or self.nesting >= MAX_NESTING:
            return
        self.nesting += 1
        while self.random.random() < 0.3:
            self.step()
        self.nesting -= 1

    def step(self):
        """Take one random step of the schedule."""
        host = self.random.choice("abcd")
        identity = (host, self.incarnations[host])
        choice = self.random.randrange(100)
        if choice < 2:
            self.step_failure(identity)
        elif choice < 8:
            self.publish()
        elif choice < 25:
            self.deliver(identity)
        elif choice < 40:
            self.confirm(identity)
        elif choice < 50:
            rare = self.random.random() < 0.01
            self.now += 10.0 if rare else self.random.choice((0.1, 0.3, 0.5))
            self.tick()
        elif choice < 52 and self.late:
            self.receive(*self.late.pop(self.random.randrange(len(self.late))))
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

    def step_failure(self, identity):
        """End, restart, isolate or reconnect one holder."""
        match self.random.randrange(6):
            case 0:
                self.kill(identity[0])
            case 1 | 2:
                self.start(identity[0], identity[1] + 1)
            case 3:
                self.isolated.add(identity)
            case _:
                self.isolated = set(sorted(self.isolated)[1:])

    def random_attempt(self):
        """Make an attempt of a new or a recent key."""
        if len(self.keys) < 3 or self.random.random() < 0.3:
            issued = self.wall_ms() + self.random.randint(-1500, 999)
            self.keys.append(f"{issued}-{len(self.keys)}")
        self.attempt(
            self.random.choice(self.keys[-self.random.choice((4, 4, 40)) :]),
            lag=self.random.choice((0, 0, 0, 1, 2)),
            ending=self.random.choice(
                ("finish", "finish", "unknown", "crash", "release")
            ),
        )


def answer_of(key):
    return Answer(status=200, body=key.encode())


def new_key(mesh, name="k"):
    return f"{mesh.wall_ms()}-{name}"


def holders_of(mesh, key):
    return [member.host for member in mesh.table().holders(key)]


@pytest.fixture
def mesh():
    return Mesh()


def test_request_runs_once_and_is_answered_again(mesh):
    key = new_key(mesh)
    assert isinstance(mesh.attempt(key), Dispatch)
    again = mesh.attempt(key)
    assert again == AlreadyFinished(answer=answer_of(key))
    assert mesh.attempt(key, digest=b"other") == KeyConflict()


@pytest.mark.parametrize("ending", ["finish", "unknown", "crash"])
@pytest.mark.parametrize("lost", [(0,), (1,)])
def test_one_lost_holder_loses_nothing(mesh, ending, lost):
    key = new_key(mesh)
    mesh.attempt(key, ending=ending)
    for index in lost:
        mesh.kill(holders_of(mesh, key)[index])
    outcomes = [mesh.attempt(key)]
    mesh.wait(10.0)
    outcomes.append(mesh.attempt(key))
    expected = {
        "finish": AlreadyFinished,
        "unknown": (OutcomeUnknown, Refused),
        "crash": (InProgress, OutcomeUnknown, Refused),
    }
    for outcome in outcomes:
        assert isinstance(outcome, expected[ending])
    assert mesh.runs[key] == 1


def test_holders_lost_one_after_the_other_keep_the_answer(mesh):
    key = new_key(mesh)
    mesh.attempt(key)
    for _ in range(2):
        mesh.kill(holders_of(mesh, key)[0])
        mesh.wait(10.0)
        assert isinstance(mesh.attempt(key), AlreadyFinished)


def test_both_lost_holders_make_the_key_unknown(mesh):
    key = new_key(mesh)
    mesh.attempt(key)
    for host in holders_of(mesh, key):
        mesh.kill(host)
    for _ in range(20):
        mesh.wait(1.0)
        assert isinstance(mesh.attempt(key), Refused | OutcomeUnknown)
    assert mesh.attempt(key) == OutcomeUnknown(reason="before-records")
    assert isinstance(mesh.attempt(new_key(mesh, "later")), Dispatch)


def test_restarted_holders_are_not_taken_for_informed(mesh):
    key = new_key(mesh)
    mesh.attempt(key)
    hosts = holders_of(mesh, key)
    mesh.start(hosts[0], 2)
    assert isinstance(mesh.attempt(key), AlreadyFinished)
    mesh.wait(3.0)
    mesh.start(hosts[1], 2)
    mesh.wait(3.0)
    assert isinstance(mesh.attempt(key), AlreadyFinished)
    for host in hosts:
        mesh.start(host, 3)
    mesh.wait(12.0)
    assert mesh.attempt(key) == OutcomeUnknown(reason="before-records")


def test_lost_second_holder_refuses_until_the_view_changes(mesh):
    key = new_key(mesh)
    mesh.kill(holders_of(mesh, key)[1])
    match mesh.attempt(key):
        case Refused(not_run=True, retry_after_ms=delay):
            assert delay > 0
        case outcome:
            pytest.fail(f"unexpected {outcome}")
    mesh.wait(10.0)
    assert isinstance(mesh.attempt(key), Dispatch)


def test_released_key_runs_later(mesh):
    key = new_key(mesh)
    mesh.attempt(key, ending="release")
    assert isinstance(mesh.attempt(key), Dispatch)
    assert mesh.runs[key] == 1


def test_expired_key_does_not_run_again(mesh):
    key = new_key(mesh)
    mesh.attempt(key)
    mesh.wait(30.0)
    assert mesh.attempt(key) == OutcomeUnknown(reason="too-old")


def test_isolated_pair_stops_before_others_take_over(mesh):
    key = new_key(mesh)
    holders = mesh.table().holders(key)
    old_table = mesh.table()
    mesh.isolated.update(member.identity for member in holders)
    mesh.wait(10.0)
    assert isinstance(mesh.attempt(new_key(mesh, "new")), Dispatch)
    outcome = mesh.coordinator.begin(
        key=key, digest=b"d", table=old_table, timeout_ms=500
    )
    assert isinstance(outcome, Refused)
    assert not outcome.not_run


def test_publisher_keeps_who_renews_and_replaces_the_restarted(mesh):
    publisher, epoch = mesh.publisher, mesh.views[-1].epoch
    assert publisher.renew(member_of(("a", 0)), now=mesh.now) is None
    publisher.leave(member_of(("b", 1)))
    publisher.leave(member_of(("c", 0)))
    mesh.now += LEASE_SECONDS / 2
    publisher.renew(member_of(("a", 2)), now=mesh.now)
    mesh.now += LEASE_SECONDS / 2
    view = publisher.publish(now=mesh.now)
    assert view.epoch == epoch + 1
    assert [member.identity for member in view.members] == [("a", 2)]
    assert view.members[0].joined_epoch == view.epoch


def test_gap_in_views_stops_a_holder(mesh):
    holder = next(iter(mesh.holders_by_identity.values()))
    view = mesh.views[-1]
    later = attrs.evolve(view, epoch=view.epoch + 2)
    assert not holder.install(later, now=mesh.now, wall_ms=mesh.wall_ms())
    assert holder.gap_found


def begin_at(mesh, holder, key, *, hosts):
    message = Begin(
        key=key, digest=b"d", token="x", timeout_ms=500, hosts=hosts
    )
    return holder.handle(message, now=mesh.now, wall_ms=mesh.wall_ms())


def test_holder_serves_only_its_own_pair_within_its_lease(mesh):
    key = new_key(mesh)
    first, second = mesh.table().holders(key)
    hosts = (first.identity, second.identity)
    holder = mesh.holders_by_identity[first.identity]
    other = begin_at(mesh, holder, key, hosts=(first.identity, ("q", 1)))
    assert other.reason == "not-holder"
    mesh.now += LEASE_SECONDS
    holder.confirm(holder.epoch + 1, asked_at=mesh.now)
    assert begin_at(mesh, holder, key, hosts=hosts).reason == "lease-expired"
    holder.confirm(holder.epoch, asked_at=mesh.now)
    assert isinstance(begin_at(mesh, holder, key, hosts=hosts), Begun)


def test_holders_of_different_generations_do_not_dispatch(mesh):
    epochs = itertools.count()
    sent = []

    def ask(member, message, timeout_seconds):
        sent.append((member.host, type(message)))
        return Begun(holder_epoch=next(epochs))

    coordinator = Coordinator(
        ask=ask, new_token=lambda: "t", timeout_seconds=0.1
    )
    key = new_key(mesh)
    outcome = coordinator.begin(
        key=key, digest=b"d", table=mesh.table(), timeout_ms=500
    )
    assert isinstance(outcome, Refused)
    assert not outcome.not_run
    first, second = holders_of(mesh, key)
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


def test_new_holder_waits_for_every_earlier_one_that_is_left():
    new = shard_replica()
    for sender, ready in (("a", False), ("b", True)):
        new.receive(handoff(sender, required="ab"))
        assert new.update_readiness(("c", 1), 0.0) is ready
    assert new.complete_since_ms == 7


def test_holder_waits_for_its_own_part_in_the_generation_before():
    prior = shard_replica()
    new = shard_replica(prior=prior, required=frozenset([("b", 1), ("c", 1)]))
    new.receive(handoff("b", required="bc"))
    assert not new.update_readiness(("c", 1), 0.0)
    prior.update_readiness(("c", 1), 10.0)
    assert new.update_readiness(("c", 1), 0.0)


def test_key_from_ahead_of_the_clock_does_not_run_on_new_holders(mesh):
    key = f"{mesh.wall_ms() + 999}-ahead"
    assert isinstance(mesh.attempt(key), Dispatch)
    for host in holders_of(mesh, key):
        mesh.start(host, 2)
    mesh.publish()
    mesh.settle()
    mesh.wait(15.0)
    assert mesh.attempt(key) == OutcomeUnknown(reason="before-records")


def test_single_member_serves_alone():
    mesh = Mesh(hosts="a")
    key = new_key(mesh)
    assert isinstance(mesh.attempt(key), Dispatch)
    assert isinstance(mesh.attempt(key), AlreadyFinished)


LOSSES = ["kill-first", "kill-second", "restart-first", "restart-both"]


def lose(mesh, loss, hosts):
    match loss:
        case "kill-first":
            mesh.kill(hosts[0])
        case "kill-second":
            mesh.kill(hosts[1])
        case "restart-first":
            mesh.start(hosts[0], 2)
        case "restart-both":
            mesh.start(hosts[0], 2)
            mesh.start(hosts[1], 2)


@pytest.mark.parametrize("ending", ["finish", "unknown", "crash", "release"])
@pytest.mark.parametrize("message", [1, 2, 3, 4])
@pytest.mark.parametrize("loss", LOSSES)
def test_loss_at_each_message_runs_at_most_once(mesh, loss, message, ending):
    key = new_key(mesh)
    hosts = holders_of(mesh, key)
    mesh.on_message[mesh.messages + message] = lambda: lose(mesh, loss, hosts)
    mesh.attempt(key, ending=ending)
    for seconds in (0.0, 1.0, 4.0, 10.0):
        mesh.wait(seconds)
        mesh.attempt(key)
    assert mesh.runs[key] <= 1


@pytest.mark.parametrize("seed", SEEDS)
def test_random_schedules_run_each_key_at_most_once(seed):
    mesh = Mesh(seed=seed, faults=True)
    for _ in range(SCHEDULE_STEPS):
        mesh.step()
    mesh.faults = False
    mesh.isolated.clear()
    mesh.start("a", 1000)
    mesh.wait(MAX_AGE_SECONDS + 10.0)
    for key in mesh.keys:
        mesh.attempt(key)
    assert isinstance(mesh.attempt(new_key(mesh, "end")), Dispatch)
    assert max(mesh.runs.values()) == 1
