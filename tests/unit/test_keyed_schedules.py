"""Keyed requests in random schedules of host views and faults.

Three hosts each have their own view of the hosts. It can lag, go back to an
earlier one, be empty for a moment, or contain only the host itself right
after its start. Hosts restart with empty memory, and messages are lost. Any
of this can also happen between a message and its reply.
`VERBENANOTCH_SEEDS` sets the number of schedules.
"""

import collections
import os
import random

import attrs
import pytest

from tests.unit.test_proxy_entry import make_record
from tests.unit.test_proxy_keyed import (
    ANSWER,
    START_SECONDS,
    FakeLeaseMonitor,
    make_request,
    make_snapshot_store,
)
from verbenanotch.idempotency import new_key
from verbenanotch.proxy import KeyedRequests, RecordServer

SEEDS = int(os.environ.get("VERBENANOTCH_SEEDS", "40"))
HOST_NUMBERS = (1, 2, 3)
STEPS = 150
RECONCILE_ROUNDS = 6
# Maximum time for which a started host sees only itself. Its control host may
# know no other zone for this long after its own start.
ALONE_SECONDS = 3.0
MAX_NESTING_DEPTH = 4
LOSS_PROBABILITY = 0.03


class Schedule:
    """One random schedule of three hosts.

    `host_sets` are the sets of running hosts over time, as pairs of number
    and incarnation; `positions_by_number` are the indexes of the sets that
    the hosts see. `run_counts_by_key` counts how often each key has run.
    """

    def __init__(self, *, seed, empty_views):
        """Start three hosts that agree and whose records are complete.

        `empty_views` also lets hosts see no hosts for a moment.
        """
        self.random = random.Random(seed)
        self.empty_views = empty_views
        self.now = START_SECONDS
        self.run_counts_by_key = collections.Counter()
        self.incarnations_by_number = dict.fromkeys(HOST_NUMBERS, 1)
        self.host_sets = [tuple(self.incarnations_by_number.items())]
        self.positions_by_number = {}
        self.snapshot_stores_by_number = {}
        self.record_servers_by_number = {}
        self.alone_until_by_number = {}
        self.stopped_number = None
        self.faults_enabled = True
        self.nesting_depth = 0
        for number in HOST_NUMBERS:
            self.start(number)
        for _ in range(RECONCILE_ROUNDS):
            for number in HOST_NUMBERS:
                self.reconcile(number)
        self.now += 10

    def start(self, number):
        """Start a host with empty memory.

        Except at the beginning of the schedule, it sees only itself for up
        to `ALONE_SECONDS`.
        """
        incarnation = self.incarnations_by_number[number]
        self.positions_by_number[number] = len(self.host_sets) - 1
        self.snapshot_stores_by_number[number] = make_snapshot_store([])
        self.set_view(number, self.host_sets[-1])
        if self.now > START_SECONDS:
            seconds = self.random.uniform(0, ALONE_SECONDS)
            self.alone_until_by_number[number] = self.now + seconds
            self.set_view(number, [(number, incarnation)])
        self.record_servers_by_number[number] = RecordServer(
            host_name=f"h{number}",
            incarnation=lambda: incarnation,
            snapshot_store=self.snapshot_stores_by_number[number],
            lease_monitor=FakeLeaseMonitor(),
            wall_clock=lambda: self.now,
        )
        self.record_servers_by_number[number].refresh()

    def set_view(self, number, members):
        """Set the view of a host to `members`, as in `host_sets`."""
        self.snapshot_stores_by_number[number].replace_records(
            [
                attrs.evolve(make_record(other), incarnation=incarnation)
                for other, incarnation in members
            ]
        )

    def change_view(self, number):
        """Change the view of a host to a later, an earlier or an empty one."""
        alone_until = self.alone_until_by_number.get(number, 0)
        if (
            number not in self.record_servers_by_number
            or self.now < alone_until
        ):
            return
        last_position = len(self.host_sets) - 1
        position = self.positions_by_number[number]
        if self.empty_views and self.random.random() < 0.05:
            self.set_view(number, [])
            return
        if position < last_position:
            position = self.random.randint(position + 1, last_position)
        elif self.random.random() < 0.1:
            position = max(0, position - self.random.choice([1, 2]))
        self.positions_by_number[number] = position
        self.set_view(number, self.host_sets[position])

    def stop_or_start(self):
        """Stop a random host, or start the one that is stopped."""
        if self.stopped_number is None:
            self.stopped_number = self.random.choice(HOST_NUMBERS)
            del self.record_servers_by_number[self.stopped_number]
            members = [
                member
                for member in self.host_sets[-1]
                if member[0] != self.stopped_number
            ]
        else:
            number, self.stopped_number = self.stopped_number, None
            self.incarnations_by_number[number] += 1
            members = [
                *self.host_sets[-1],
                (number, self.incarnations_by_number[number]),
            ]
        self.host_sets.append(tuple(sorted(members)))
        if self.stopped_number is None:
            self.start(number)

    def run_interleaved_step(self):
        """Possibly run a random step before or after a message is handled."""
        self.now += 0.01
        if not self.faults_enabled or self.nesting_depth >= MAX_NESTING_DEPTH:
            return
        for number in list(self.record_servers_by_number):
            if 0 < self.alone_until_by_number.get(number, 0) <= self.now:
                self.alone_until_by_number[number] = 0
                self.change_view(number)
        chance = self.random.random()
        if chance < 0.25:
            self.change_view(self.random.choice(HOST_NUMBERS))
        elif chance < 0.26:
            self.stop_or_start()
        elif chance < 0.36:
            self.reconcile(self.random.choice(HOST_NUMBERS))

    def is_lost(self):
        """Return whether a message is lost, at random."""
        return self.faults_enabled and self.random.random() < LOSS_PROBABILITY

    def ask(self, service, member, message, timeout_seconds):
        """Deliver a message, unless it or its reply is lost."""
        self.nesting_depth += 1
        try:
            self.run_interleaved_step()
            record_server = self.record_servers_by_number.get(
                int(member.host[1:])
            )
            if record_server is None or self.is_lost():
                return None
            reply = record_server.handle(service, message)
            self.run_interleaved_step()
            return None if self.is_lost() else reply
        finally:
            self.nesting_depth -= 1

    def reconcile(self, number):
        """Let a host transfer records and agree, if it is not doing so yet."""
        record_server = self.record_servers_by_number.get(number)
        if record_server is None or getattr(
            record_server, "is_reconciling", False
        ):
            return
        record_server.is_reconciling = True
        try:
            record_server.reconcile(self.ask)
        finally:
            record_server.is_reconciling = False

    def send_request(self, key):
        """Send a keyed request through a random running host."""
        number = self.random.choice(list(self.record_servers_by_number))

        def run():
            self.run_counts_by_key[key] += 1
            return ANSWER

        request = make_request(key)
        keyed = KeyedRequests(
            record_server=self.record_servers_by_number[number], ask=self.ask
        )
        return keyed.run(request, run)

    def run_steps(self):
        """Send requests with new and used keys while hosts change."""
        keys = []
        for _ in range(STEPS):
            chance = self.random.random()
            if chance < 0.25:
                now_ms = int(self.now * 1000)
                keys.append(new_key(now_ms=now_ms, random=self.random))
                self.send_request(keys[-1])
            elif chance < 0.6 and keys:
                self.send_request(self.random.choice(keys))
            elif chance < 0.8:
                self.reconcile(self.random.choice(HOST_NUMBERS))
            elif chance < 0.83:
                self.stop_or_start()
            else:
                self.change_view(self.random.choice(HOST_NUMBERS))
            self.now += self.random.choice([0.01, 0.1, 0.5])

    def end_faults(self):
        """End all faults; return the outcome of a request with a new key."""
        if self.stopped_number is not None:
            self.stop_or_start()
        self.faults_enabled = False
        self.alone_until_by_number.clear()
        for number in HOST_NUMBERS:
            self.set_view(number, self.host_sets[-1])
        for _ in range(RECONCILE_ROUNDS):
            for number in HOST_NUMBERS:
                self.reconcile(number)
        self.now += 10
        return self.send_request(
            new_key(now_ms=int(self.now * 1000), random=self.random)
        )


@pytest.mark.parametrize("empty_views", [False, True])
@pytest.mark.parametrize("seed", range(SEEDS))
def test_key_runs_at_most_once_in_random_schedules(seed, empty_views):
    """After the faults have ended, a new key also gets its answer."""
    schedule = Schedule(seed=seed, empty_views=empty_views)
    schedule.run_steps()
    assert schedule.end_faults() == ANSWER
    assert max(schedule.run_counts_by_key.values()) == 1
