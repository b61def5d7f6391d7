"""The coordinator and the holders under losses, cuts and new views.

Small fakes stand for the network, the publisher of views and the targets; a
ledger counts the runs of each key.
"""

import collections
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
    Handover,
    Holder,
    HolderTable,
    InProgress,
    KeyConflict,
    Member,
    RecordStore,
    Refused,
    Release,
    View,
    WasUnknown,
    next_view,
    push_transfers,
)
from verbenanotch.idempotency._custody import Custody

LEASE_SECONDS = 3.0
MARGIN_SECONDS = 1.0
MAX_AGE_SECONDS = 60.0
START_MS = 1_764_800_000_000
MAX_NESTING = 3
SEEDS = range(int(os.environ.get("VERBENANOTCH_SEEDS", "60")))


@pytest.fixture(autouse=True)
def few_slices(monkeypatch):
    monkeypatch.setattr("verbenanotch.idempotency._members.SLICE_COUNT", 3)


class Mesh:
    """Holders of one zone, a publisher, and callers that ask again."""

    def __init__(self, *, hosts="abcd", seed=0, faults=False):
        """Start and settle all holders; inject nothing without `faults`."""
        self.random = random.Random(seed)
        self.faults = False
        self.now = 0.0
        self.holders = {}
        self.skews_ms = {}
        self.isolated = set()
        self.views = [View(availability_zone="z", epoch=0, members=())]
        self.confirmed = {}
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
        for identity in [item for item in self.holders if item[0] == host]:
            del self.holders[identity]
        if self.faults:
            self.skews_ms[host] = self.random.randint(-499, 499)
        self.holders[host, incarnation] = Holder(
            identity=(host, incarnation),
            store=RecordStore(
                max_bytes=20_000,
                max_age_seconds=MAX_AGE_SECONDS,
                clock_margin_seconds=MARGIN_SECONDS,
            ),
            lease_seconds=LEASE_SECONDS,
        )
        self.confirmed[host, incarnation] = self.now

    def kill(self, host):
        """End a host's process."""
        for identity in [item for item in self.holders if item[0] == host]:
            del self.holders[identity]

    def publish(self):
        """Publish a view without those whose lease is over."""
        newest = {}
        for host, incarnation in self.confirmed:
            newest[host] = max(incarnation, newest.get(host, 0))
        members = [
            Member(
                host=host,
                availability_zone="z",
                address="127.0.0.1",
                peer_port=1,
                incarnation=incarnation,
            )
            for host, incarnation in newest.items()
            if self.now - self.confirmed[host, incarnation] < LEASE_SECONDS
        ]
        view = next_view(self.views[-1], members)
        if view is not self.views[-1]:
            self.views.append(view)

    def deliver(self, identity):
        """Give one holder the next view, unless it is isolated."""
        holder = self.holders.get(identity)
        if holder is None or identity in self.isolated:
            return
        first = next(
            (
                view.epoch
                for view in self.views
                if identity in view.by_identity()
            ),
            None,
        )
        if first is None:
            return
        epoch = holder.epoch + 1 if holder.epoch else first
        if epoch < len(self.views):
            holder.install(
                self.views[epoch],
                now=self.now,
                wall_ms=self.wall_ms(identity[0]),
            )

    def confirm(self, identity):
        """Renew the lease of one holder, unless it is isolated."""
        holder = self.holders.get(identity)
        known = identity in self.views[-1].by_identity()
        if holder is None or identity in self.isolated or not known:
            return
        self.confirmed[identity] = self.now
        holder.confirm(self.views[-1].epoch, asked_at=self.now)

    def tick(self):
        """Let every holder settle what is due."""
        for holder in list(self.holders.values()):
            holder.tick(self.now)

    def settle(self):
        """Deliver all views, confirm and hand over, to the end."""
        for _ in range(len(self.views)):
            for identity in list(self.holders):
                self.deliver(identity)
        for identity in list(self.holders):
            self.confirm(identity)
        for _ in range(3):
            for holder in list(self.holders.values()):
                holder.tick(self.now)
                push_transfers(holder, self.ask, timeout_seconds=0.1)

    def wait(self, seconds):
        """Let time pass with everything in order."""
        for _ in range(int(seconds)):
            self.now += 1.0
            for identity in list(self.holders):
                self.confirm(identity)
            self.publish()
            self.settle()

    def ask(self, member, message, timeout_seconds):
        """Deliver a message and its reply, unless one of them is lost."""
        self.messages += 1
        self.on_message.pop(self.messages, lambda: None)()
        self.disturb()
        if self.faults and self.random.random() < 0.05:
            return None
        holder = self.holders.get(member.identity)
        if holder is None:
            return None
        reply = holder.handle(
            message, now=self.now, wall_ms=self.wall_ms(member.host)
        )
        self.disturb()
        if self.faults and self.random.random() < 0.05:
            return None
        return reply

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
        while self.random.random() < 0.45:
            self.step()
        self.nesting -= 1

    def step(self):
        """Take one random step of the schedule."""
        host = self.random.choice("abcd")
        identity = max(
            (item for item in self.confirmed if item[0] == host),
            key=lambda item: item[1],
        )
        choice = self.random.randrange(40)
        if choice < 6:
            self.step_failure(choice, identity)
        elif choice < 10:
            self.publish()
        elif choice < 17:
            self.deliver(identity)
        elif choice < 23:
            self.confirm(identity)
        elif choice < 27:
            rare = self.random.random() < 0.02
            self.now += 20.0 if rare else self.random.choice((0.1, 0.3, 1.0))
            self.tick()
        elif choice < 31 and identity in self.holders:
            push_transfers(
                self.holders[identity], self.ask, timeout_seconds=0.1
            )
        else:
            self.random_attempt()

    def step_failure(self, choice, identity):
        """End, restart, isolate or reconnect one holder."""
        match choice:
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
            self.random.choice(self.keys[-4:]),
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
    return [member.host for member in mesh.table().pair(key)]


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
        "unknown": (WasUnknown, Refused),
        "crash": (InProgress, WasUnknown, Refused),
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
        assert isinstance(mesh.attempt(key), Refused | WasUnknown)
    assert mesh.attempt(key) == WasUnknown(reason="before-records")
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
    assert mesh.attempt(key) == WasUnknown(reason="before-records")


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
    mesh.wait(70.0)
    assert mesh.attempt(key) == WasUnknown(reason="too-old")


def test_isolated_pair_stops_before_others_take_over(mesh):
    key = new_key(mesh)
    pair = mesh.table().pair(key)
    old_table = mesh.table()
    mesh.isolated.update(member.identity for member in pair)
    mesh.wait(10.0)
    assert isinstance(mesh.attempt(new_key(mesh, "new")), Dispatch)
    outcome = mesh.coordinator.begin(
        key=key, digest=b"d", table=old_table, timeout_ms=500
    )
    assert isinstance(outcome, Refused)
    assert not outcome.not_run


def test_gap_in_views_stops_a_holder(mesh):
    holder = next(iter(mesh.holders.values()))
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
    first, second = mesh.table().pair(key)
    hosts = (first.identity, second.identity)
    holder = mesh.holders[first.identity]
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
        return Begun(pair_epoch=next(epochs))

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
    assert sent[2:] == [(second, Release), (first, Release)]


def test_new_holder_waits_for_every_earlier_one_that_is_left():
    custody = Custody(
        slice_number=0,
        pair_epoch=5,
        pair=(("c", 1), ("d", 1)),
        deadline=10.0,
        lapsed_since_ms=99,
    )
    for sender, settled in (("a", False), ("b", True)):
        custody.receive(
            Handover(
                slice_number=0,
                pair_epoch=5,
                sender=(sender, 1),
                required=(("a", 1), ("b", 1)),
                complete_since_ms=7,
                part=0,
                part_count=1,
                records=(),
            )
        )
        assert custody.settle(("c", 1), 0.0) is settled
    assert custody.complete_since_ms == 7


def test_key_from_ahead_of_the_clock_does_not_run_on_new_holders(mesh):
    key = f"{mesh.wall_ms() + 999}-ahead"
    assert isinstance(mesh.attempt(key), Dispatch)
    for host in holders_of(mesh, key):
        mesh.start(host, 2)
    mesh.publish()
    mesh.settle()
    mesh.wait(15.0)
    assert mesh.attempt(key) == WasUnknown(reason="before-records")


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
    for _ in range(300):
        mesh.step()
    mesh.faults = False
    mesh.isolated.clear()
    for host in "abcd":
        mesh.start(host, 1000)
    mesh.wait(15.0)
    for key in mesh.keys:
        mesh.attempt(key)
    assert isinstance(mesh.attempt(new_key(mesh, "end")), Dispatch)
    assert max(mesh.runs.values()) == 1
