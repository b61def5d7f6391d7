"""Random schedules of what the holders of keyed requests see of each other.

Three hosts, each with a view of its own that lags, goes back, is empty for a
moment, or shows a host that has just started alone. Hosts restart with empty
memory; messages are lost; whatever happens, happens also between a message
and its reply. `VERBENANOTCH_SEEDS` sets how many schedules are tried.
"""

import collections
import os
import random

import attrs
import pytest

from tests.unit.test_proxy_entry import make_record
from tests.unit.test_proxy_keyed import (
    ANSWER,
    START,
    FakeLeaseMonitor,
    make_request,
    make_snapshot_store,
)
from verbenanotch.idempotency import new_key
from verbenanotch.proxy import KeyedRequests, RecordServer

SEEDS = int(os.environ.get("VERBENANOTCH_SEEDS", "40"))
NUMBERS = (1, 2, 3)
STEPS = 150
RECONCILE_ROUNDS = 6
# Until then a control host that has just started may know no other zone.
ALONE_SECONDS = 3.0
MAX_DEPTH = 4
LOST_SHARE = 0.03


class Schedule:
    """One random schedule; `runs` counts how often each key has run."""

    def __init__(self, *, seed, empty_views):
        """Let three hosts agree, and let their records be complete."""
        self.random = random.Random(seed)
        self.empty_views = empty_views
        self.now = START
        self.runs = collections.Counter()
        self.incarnations = dict.fromkeys(NUMBERS, 1)
        self.history = [tuple(self.incarnations.items())]
        self.positions = {}
        self.snapshot_stores = {}
        self.record_servers = {}
        self.alone_until = {}
        self.stopped = None
        self.faulty = True
        self.depth = 0
        for number in NUMBERS:
            self.start(number)
        for _ in range(RECONCILE_ROUNDS):
            for number in NUMBERS:
                self.reconcile(number)
        self.now += 10

    def start(self, number):
        """Start a host anew with an empty memory."""
        incarnation = self.incarnations[number]
        self.positions[number] = len(self.history) - 1
        self.snapshot_stores[number] = make_snapshot_store([])
        self.show(number, self.history[-1])
        if self.now > START:
            seconds = self.random.uniform(0, ALONE_SECONDS)
            self.alone_until[number] = self.now + seconds
            self.show(number, [(number, incarnation)])
        self.record_servers[number] = RecordServer(
            host_name=f"h{number}",
            incarnation=lambda: incarnation,
            snapshot_store=self.snapshot_stores[number],
            lease_monitor=FakeLeaseMonitor(),
            wall_clock=lambda: self.now,
        )
        self.record_servers[number].refresh()

    def show(self, number, members):
        """Let a host see members, pairs of number and incarnation."""
        self.snapshot_stores[number].hold(
            [
                attrs.evolve(make_record(other), incarnation=incarnation)
                for other, incarnation in members
            ]
        )

    def move_view(self, number):
        """Let what a host sees go on, back, or be empty for a moment."""
        alone_until = self.alone_until.get(number, 0)
        if number not in self.record_servers or self.now < alone_until:
            return
        last = len(self.history) - 1
        position = self.positions[number]
        if self.empty_views and self.random.random() < 0.05:
            self.show(number, [])
            return
        if position < last:
            position = self.random.randint(position + 1, last)
        elif self.random.random() < 0.1:
            position = max(0, position - self.random.choice([1, 2]))
        self.positions[number] = position
        self.show(number, self.history[position])

    def stop_or_start(self):
        """Stop one host, or start the one that is stopped."""
        if self.stopped is None:
            self.stopped = self.random.choice(NUMBERS)
            del self.record_servers[self.stopped]
            members = [
                member
                for member in self.history[-1]
                if member[0] != self.stopped
            ]
        else:
            number, self.stopped = self.stopped, None
            self.incarnations[number] += 1
            members = [*self.history[-1], (number, self.incarnations[number])]
        self.history.append(tuple(sorted(members)))
        if self.stopped is None:
            self.start(number)

    def disturb(self):
        """Let something happen between a message and its reply."""
        self.now += 0.01
        if not self.faulty or self.depth >= MAX_DEPTH:
            return
        for number in list(self.record_servers):
            if 0 < self.alone_until.get(number, 0) <= self.now:
                self.alone_until[number] = 0
                self.move_view(number)
        chance = self.random.random()
        if chance < 0.25:
            self.move_view(self.random.choice(NUMBERS))
        elif chance < 0.26:
            self.stop_or_start()
        elif chance < 0.36:
            self.reconcile(self.random.choice(NUMBERS))

    def is_lost(self):
        """Draw whether a message is lost."""
        return self.faulty and self.random.random() < LOST_SHARE

    def ask(self, service, member, message, timeout_seconds):
        """Deliver a message, unless it or its reply is lost."""
        self.depth += 1
        try:
            self.disturb()
            record_server = self.record_servers.get(int(member.host[1:]))
            if record_server is None or self.is_lost():
                return None
            reply = record_server.handle(service, message)
            self.disturb()
            return None if self.is_lost() else reply
        finally:
            self.depth -= 1

    def reconcile(self, number):
        """Let a host hand over and ask, unless it is at it already."""
        record_server = self.record_servers.get(number)
        if record_server is None or getattr(
            record_server, "is_reconciling", False
        ):
            return
        record_server.is_reconciling = True
        try:
            record_server.reconcile(self.ask)
        finally:
            record_server.is_reconciling = False

    def pay(self, key):
        """Ask for a key through a host that runs."""
        number = self.random.choice(list(self.record_servers))

        def run():
            self.runs[key] += 1
            return ANSWER

        request = make_request(key)
        keyed = KeyedRequests(
            record_server=self.record_servers[number], ask=self.ask
        )
        return keyed.run(request, run)

    def play(self):
        """Ask new keys and old ones while views and hosts change."""
        keys = []
        for _ in range(STEPS):
            chance = self.random.random()
            if chance < 0.25:
                now_ms = int(self.now * 1000)
                keys.append(new_key(now_ms=now_ms, random=self.random))
                self.pay(keys[-1])
            elif chance < 0.6 and keys:
                self.pay(self.random.choice(keys))
            elif chance < 0.8:
                self.reconcile(self.random.choice(NUMBERS))
            elif chance < 0.83:
                self.stop_or_start()
            else:
                self.move_view(self.random.choice(NUMBERS))
            self.now += self.random.choice([0.01, 0.1, 0.5])

    def heal(self):
        """End all faults; return what a new key gets then."""
        if self.stopped is not None:
            self.stop_or_start()
        self.faulty = False
        self.alone_until.clear()
        for number in NUMBERS:
            self.show(number, self.history[-1])
        for _ in range(RECONCILE_ROUNDS):
            for number in NUMBERS:
                self.reconcile(number)
        self.now += 10
        return self.pay(
            new_key(now_ms=int(self.now * 1000), random=self.random)
        )


@pytest.mark.parametrize("empty_views", [False, True])
@pytest.mark.parametrize("seed", range(SEEDS))
def test_no_schedule_runs_a_key_twice(seed, empty_views):
    schedule = Schedule(seed=seed, empty_views=empty_views)
    schedule.play()
    assert schedule.heal() == ANSWER
    assert max(schedule.runs.values()) == 1
