"""Tests of keyed requests with the record servers of several hosts."""

import itertools
import random
import time
import tracemalloc

import attrs
import pytest

from tests.unit.test_proxy_entry import FakeSnapshotStore, make_record
from verbenanotch.catalog import Service, Version
from verbenanotch.idempotency import (
    MAX_ANSWER_BYTES,
    Agree,
    RecordBatch,
    new_key,
    set_digest,
)
from verbenanotch.proxy import KeyedRequests, RecordServer
from verbenanotch.proxy._outcome import Answered, NotRun, Rejected, Unknown
from verbenanotch.proxy._request import Request
from verbenanotch.wire import MAX_FRAME_BYTES, encode

# Wall clock time at which the tests start.
START_SECONDS = 1_800_000_000.0
RECONCILE_ROUNDS = 4
ANSWER = Answered(status=201, headers=(("X-A", "1"),), body=b"booked")


def make_snapshot_store(records):
    """Return a store whose snapshot has these hosts of the service."""
    return FakeSnapshotStore(
        records,
        version=Version(epoch=1, index=1),
        services_by_name={"pay": Service()},
        routes_by_name={},
    )


def make_request(key, body=b""):
    """Return a keyed request to the service."""
    return Request(
        request_id="r",
        route_name="pay",
        service="pay",
        method="POST",
        path="/pay",
        headers=(),
        body=body,
        deadline=time.monotonic() + 5,
        idempotent=False,
        retries=0,
        key=key,
    )


class FakeLeaseMonitor:
    """A lease monitor whose state the test sets."""

    def __init__(self):
        """Start with a valid lease."""
        self.lease_gaps = 0
        self.lease_valid = True

    def is_lease_valid(self):
        """Return the value that the test has set."""
        return self.lease_valid


class Hosts:
    """Three hosts with one target each, and a common clock."""

    def __init__(self):
        """Let the holders agree, and wait until their records are complete."""
        self.now = START_SECONDS
        self.random = random.Random(1)
        self.ticks = itertools.count()
        self.unreachable = set()
        self.lease_monitor = FakeLeaseMonitor()
        self.incarnations_by_number = {1: 1, 2: 1, 3: 1}
        self.snapshot_store = make_snapshot_store(
            [make_record(number) for number in (1, 2, 3)]
        )
        self.record_servers_by_host = {
            f"h{number}": self.make_record_server(f"h{number}")
            for number in (1, 2, 3)
        }
        self.runs = []
        self.reconcile()
        self.now += 10

    def make_record_server(self, name, snapshot_store=None):
        """Return a record server that sees the hosts of a snapshot store."""
        incarnation = self.incarnations_by_number.get(int(name[1:]), 1)
        record_server = RecordServer(
            host_name=name,
            incarnation=lambda: incarnation,
            snapshot_store=snapshot_store or self.snapshot_store,
            lease_monitor=self.lease_monitor,
            wall_clock=lambda: self.now,
            # Large sets settle between two calls.
            clock=lambda: next(self.ticks),
        )
        record_server.refresh()
        return record_server

    def reconcile(self):
        """Let the record servers transfer records and agree, if possible."""
        for _ in range(RECONCILE_ROUNDS):
            for record_server in self.record_servers_by_host.values():
                record_server.reconcile(self.ask)

    def restart(self, *numbers, reconcile=True):
        """Restart hosts without records and with higher incarnations."""
        for number in numbers:
            previous = self.incarnations_by_number[number]
            self.incarnations_by_number[number] = previous + 1
        self.snapshot_store.replace_records(
            [
                attrs.evolve(make_record(number), incarnation=incarnation)
                for number, incarnation in self.incarnations_by_number.items()
            ]
        )
        for number in numbers:
            name = f"h{number}"
            self.record_servers_by_host[name] = self.make_record_server(name)
        if reconcile:
            self.reconcile()

    def key(self):
        """Return a key with the current time of the clock."""
        return new_key(now_ms=int(self.now * 1000), random=self.random)

    def ask(self, service, member, message, timeout_seconds):
        """Return a host's reply to a message, or None if it is unreachable."""
        record_server = self.record_servers_by_host.get(member.host)
        if record_server is None or member.host in self.unreachable:
            return None
        return record_server.handle(service, message)

    def pay(self, key, entry="h1", body=b"10", outcome=ANSWER):
        """Send a keyed request through the proxy of a host."""
        keyed = KeyedRequests(
            record_server=self.record_servers_by_host[entry], ask=self.ask
        )

        def run():
            self.runs.append(key)
            return outcome

        request = make_request(key, body)
        return keyed.run(request, run)

    def holders(self, key):
        """Return the names of the two holders of a key."""
        holders = self.record_servers_by_host["h1"].table("pay").holders(key)
        return [member.host for member in holders]


@pytest.fixture
def hosts():
    return Hosts()


def test_the_first_answer_is_returned_again_through_any_entry(hosts):
    key = hosts.key()
    for entry in ("h1", "h2", "h3"):
        assert hosts.pay(key, entry) == ANSWER
    assert hosts.runs == [key]


def test_reusing_a_key_with_another_body_is_a_conflict(hosts):
    key = hosts.key()
    hosts.pay(key)
    outcome = hosts.pay(key, body=b"20")
    assert isinstance(outcome, Rejected)
    assert outcome.kind == "key-conflict"
    assert len(hosts.runs) == 1


def test_a_key_that_may_have_run_is_not_run_again(hosts):
    key = hosts.key()
    hosts.pay(key, outcome=Unknown(reason="peer-lost"))
    assert isinstance(hosts.pay(key), Unknown)
    assert len(hosts.runs) == 1


def test_a_key_that_was_not_run_can_be_retried(hosts):
    key = hosts.key()
    refused = hosts.pay(key, outcome=NotRun(reason="target-full"))
    assert isinstance(refused, NotRun)
    assert hosts.pay(key) == ANSWER


@pytest.mark.parametrize("holder_index", [0, 1])
def test_the_remaining_holder_returns_the_answer(hosts, holder_index):
    key = hosts.key()
    hosts.pay(key)
    hosts.unreachable.add(hosts.holders(key)[holder_index])
    assert hosts.pay(key) == ANSWER
    assert len(hosts.runs) == 1


@pytest.mark.parametrize("holder_index", [0, 1])
def test_a_new_key_is_not_run_while_a_holder_does_not_respond(
    hosts, holder_index
):
    key = hosts.key()
    hosts.unreachable.add(hosts.holders(key)[holder_index])
    assert not isinstance(hosts.pay(key), Answered)
    assert hosts.runs == []


def test_an_old_key_is_not_run_again_after_both_holders_restart(hosts):
    key = hosts.key()
    hosts.pay(key)
    hosts.restart(*(int(name[1:]) for name in hosts.holders(key)))
    hosts.now += 10
    assert isinstance(hosts.pay(key, "h3"), Unknown)
    assert len(hosts.runs) == 1


def test_records_survive_a_rolling_restart_of_all_hosts(hosts):
    keys = [hosts.key() for _ in range(50)]
    for key in keys:
        hosts.pay(key)
    for number in (1, 2, 3):
        hosts.restart(number)
    for key in keys:
        assert hosts.pay(key) == ANSWER
    assert hosts.runs == keys
    assert hosts.pay(hosts.key()) == ANSWER


def test_a_host_may_leave_once_the_others_use_the_same_holders(hosts):
    for _ in range(50):
        hosts.pay(hosts.key())
    leaving = hosts.record_servers_by_host["h2"]
    assert leaving.may_leave(hosts.ask)
    hosts.restart(1, reconcile=False)
    assert not leaving.may_leave(hosts.ask)
    # The records of the others stay incomplete until they agree as well.
    for _ in range(RECONCILE_ROUNDS):
        hosts.record_servers_by_host["h1"].reconcile(hosts.ask)
        leaving.reconcile(hosts.ask)
    assert not leaving.may_leave(hosts.ask)
    hosts.reconcile()
    assert leaving.may_leave(hosts.ask)


def test_the_messages_of_an_agreement_do_not_grow_with_the_members(hosts):
    """They saturated links of 1 Mbit/s in a mesh of 191 proxies."""
    sizes_by_count = {}
    for count in (3, 30):
        sizes = sizes_by_count[count] = []
        hosts.snapshot_store.replace_records(
            [make_record(number) for number in range(1, count + 1)]
        )

        def ask(service, member, message, timeout_seconds, sizes=sizes):
            sizes.append(len(encode(message)))

        hosts.record_servers_by_host["h1"].refresh()
        hosts.lease_monitor.lease_gaps += 1
        hosts.record_servers_by_host["h1"].reconcile(ask)
    assert max(sizes_by_count[30]) == max(sizes_by_count[3]) < 64


def make_large_set(hosts, count=40):
    """Let `count` hosts see each other; return the Agrees that they send."""
    hosts.incarnations_by_number = dict.fromkeys(range(1, count + 1), 1)
    hosts.snapshot_store.replace_records(
        [make_record(number) for number in range(1, count + 1)]
    )
    for number in range(4, count + 1):
        hosts.record_servers_by_host[f"h{number}"] = hosts.make_record_server(
            f"h{number}"
        )
    asked = []
    ask = hosts.ask

    def count_agrees(service, member, message, timeout_seconds):
        if isinstance(message, Agree):
            asked.append(member.host)
        return ask(service, member, message, timeout_seconds)

    hosts.ask = count_agrees
    return asked


def test_an_agreement_takes_messages_in_proportion_to_the_members(hosts):
    """Each member asked each other one: 10,506 messages of 103 members."""
    count = 40
    asked = make_large_set(hosts, count)
    hosts.reconcile()
    hosts.now += 10
    for _ in range(20):
        assert hosts.pay(hosts.key()) == ANSWER
    assert len(asked) < 4 * count


def test_a_large_set_is_agreed_on_once_it_has_settled(hosts):
    hosts.ticks = itertools.repeat(50.0)
    asked = make_large_set(hosts)
    hosts.reconcile()
    assert asked == []
    hosts.ticks = itertools.repeat(50.2)
    hosts.reconcile()
    assert asked != []


def test_a_host_without_a_lease_does_not_say_that_a_set_is_in_use(hosts):
    """Others may have left it out, and use a set that it doesn't see."""
    server = hosts.record_servers_by_host["h1"]
    question = Agree(
        digest=set_digest((("h1", 1), ("h2", 1), ("h3", 1))),
    )
    assert server.handle("pay", question).in_use
    server._lease_monitor = FakeLeaseMonitor()
    server._lease_monitor.lease_valid = False
    reply = server.handle("pay", question)
    assert (reply.agreed, reply.in_use) == (True, False)


def test_the_only_holder_of_records_may_not_leave(hosts):
    for _ in range(50):
        hosts.pay(hosts.key())
    hosts.snapshot_store.replace_records([make_record(3)])
    last = hosts.record_servers_by_host["h3"]
    last.reconcile(hosts.ask)
    assert not last.may_leave(hosts.ask)


def test_a_host_without_records_may_leave_at_once(hosts):
    hosts.unreachable.update(("h1", "h3"))
    assert hosts.record_servers_by_host["h2"].may_leave(hosts.ask)


def test_a_key_runs_once_under_two_views_of_the_hosts(hosts):
    """The new hosts see all hosts, the first three see only themselves."""
    all_hosts_store = make_snapshot_store(
        [make_record(number) for number in range(1, 31)]
    )
    for number in range(4, 31):
        name = f"h{number}"
        hosts.record_servers_by_host[name] = hosts.make_record_server(
            name, all_hosts_store
        )
    hosts.reconcile()
    hosts.now += 10
    keys = [hosts.key() for _ in range(50)]
    for key in keys:
        hosts.pay(key, "h1")
        hosts.pay(key, "h30")
    assert len(hosts.runs) == len(set(hosts.runs))


def test_a_holder_without_a_valid_lease_starts_no_key(hosts):
    hosts.lease_monitor.lease_valid = False
    assert isinstance(hosts.pay(hosts.key()), Unknown)
    assert hosts.runs == []


def test_holders_do_not_start_older_keys_after_a_lease_gap(hosts):
    key = hosts.key()
    hosts.now += 1
    hosts.lease_monitor.lease_gaps += 1
    hosts.reconcile()
    assert isinstance(hosts.pay(key), Unknown)
    hosts.now += 10
    assert hosts.pay(hosts.key()) == ANSWER


def test_answers_are_returned_while_the_holders_have_not_agreed(hosts):
    keys = [hosts.key() for _ in range(60)]
    for key in keys:
        hosts.pay(key)
    hosts.snapshot_store.replace_records(
        [make_record(number) for number in (1, 2, 3, 4)]
    )
    for key in keys:
        assert hosts.pay(key) == ANSWER
    assert hosts.runs == keys


def test_only_keys_whose_holders_changed_wait_for_agreement(hosts):
    keys = [hosts.key() for _ in range(60)]
    before = {key: hosts.holders(key) for key in keys}
    hosts.snapshot_store.replace_records(
        [make_record(number) for number in (1, 2, 3, 4)]
    )
    started = [key for key in keys if hosts.pay(key) == ANSWER]
    unchanged = [key for key in keys if hosts.holders(key) == before[key]]
    assert started == unchanged
    assert 0 < len(unchanged) < len(keys)


def test_an_old_key_is_not_run_again_after_a_change_of_holders(hosts):
    keys = [hosts.key() for _ in range(50)]
    for key in keys:
        hosts.pay(key)
    records = [make_record(number) for number in (1, 2)]
    restarted = attrs.evolve(make_record(3), incarnation=2)
    hosts.incarnations_by_number[3] = 2
    hosts.snapshot_store.replace_records([*records, restarted])
    hosts.record_servers_by_host["h3"] = hosts.make_record_server("h3")
    hosts.reconcile()
    hosts.now += 10
    for key in keys:
        assert isinstance(hosts.pay(key), (Answered, Unknown))
    assert hosts.runs == keys
    assert hosts.pay(hosts.key()) == ANSWER


def test_a_restarted_holder_is_not_mistaken_for_its_former_process(hosts):
    """Control hosts may still list its former incarnation."""
    keys = [hosts.key() for _ in range(50)]
    for key in keys:
        hosts.pay(key)
    for number in (1, 2):
        hosts.incarnations_by_number[number] = 2
        hosts.record_servers_by_host[f"h{number}"] = hosts.make_record_server(
            f"h{number}"
        )
        hosts.reconcile()
    for key in keys:
        hosts.pay(key)
    assert hosts.runs == keys


def test_holders_that_are_missing_for_a_moment_keep_their_records(hosts):
    """Two hosts in turn see no targets; the third host sees all of them."""
    keys = [hosts.key() for _ in range(50)]
    for key in keys:
        hosts.pay(key)
    full_store = hosts.snapshot_store
    for name in ("h1", "h2"):
        record_server = hosts.record_servers_by_host[name]
        record_server._snapshot_store = make_snapshot_store([])
        hosts.reconcile()
        record_server._snapshot_store = full_store
        hosts.reconcile()
    for key in keys:
        assert hosts.pay(key) == ANSWER
    assert hosts.runs == keys


def test_a_new_holder_that_sees_only_itself_waits_for_one_lease(hosts):
    """A control host that has just started may list no other host yet.

    The keys are issued before `INCOMPLETE_VIEW_MS` has passed.
    """
    hosts.incarnations_by_number[1] = 2
    single_host_store = make_snapshot_store(
        [attrs.evolve(make_record(1), incarnation=2)]
    )
    hosts.record_servers_by_host["h1"] = hosts.make_record_server(
        "h1", single_host_store
    )
    hosts.reconcile()
    hosts.now += 2.5
    for key in [hosts.key() for _ in range(50)]:
        hosts.pay(key, "h1")
        hosts.pay(key, "h2")
    assert len(hosts.runs) == len(set(hosts.runs))


def test_hosts_that_do_not_see_each_other_yet_run_a_key_at_most_once(hosts):
    """After a start, the tables of other zones arrive one lease later.

    The key is issued before `INCOMPLETE_VIEW_MS` has passed.
    """
    for number in (1, 2, 3):
        single_host_store = make_snapshot_store([make_record(number)])
        name = f"h{number}"
        hosts.record_servers_by_host[name] = hosts.make_record_server(
            name, single_host_store
        )
    hosts.reconcile()
    hosts.now += 2.85
    key = hosts.key()
    for entry in ("h1", "h2", "h3"):
        hosts.pay(key, entry)
    assert len(hosts.runs) <= 1


def test_holders_refuse_an_entry_that_sees_other_hosts(hosts):
    entry = hosts.record_servers_by_host["h1"]
    tables = dict(entry._tables_by_service)
    key = hosts.key()
    changed = [make_record(number) for number in (1, 2, 3)]
    changed = [attrs.evolve(record, incarnation=2) for record in changed]
    hosts.snapshot_store.replace_records(changed)
    entry._tables_by_service = tables
    entry._snapshot = hosts.snapshot_store.snapshot
    del hosts.record_servers_by_host["h1"]
    hosts.record_servers_by_host["h1"] = hosts.make_record_server("h1")
    keyed = KeyedRequests(record_server=entry, ask=hosts.ask)
    hosts.now += 10
    request = make_request(key)
    outcome = keyed.run(request, lambda: pytest.fail("the request was run"))
    assert isinstance(outcome, Unknown)
    assert outcome.reason == "key-not-holder"


def encode_messages(hosts):
    """Encode each message as for a connection; return the list of sizes."""
    sizes = []
    ask = hosts.ask

    def encode_and_ask(service, member, message, timeout_seconds):
        sizes.append(len(encode(message)))
        return ask(service, member, message, timeout_seconds)

    hosts.ask = encode_and_ask
    return sizes


def test_an_answer_that_is_too_large_to_record_is_never_encoded(hosts):
    """One of 67 MB took its proxy to 273 MB, and no holder got it."""
    key = hosts.key()
    large = Answered(status=201, headers=(), body=bytes(67_000_000))
    sizes = encode_messages(hosts)
    tracemalloc.start()
    try:
        assert hosts.pay(key, outcome=large) is large
        peak_bytes = tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()
    assert max(sizes) < 1024
    assert peak_bytes < 1_000_000
    assert hosts.pay(key) == Unknown(reason="key-attempt-lost")
    assert hosts.runs == [key]


def test_the_largest_answer_that_is_recorded_fits_into_a_frame(hosts):
    """Its holder could neither send it nor transfer its record."""
    sizes = encode_messages(hosts)
    keys = [hosts.key() for _ in range(20)]
    headers = tuple((f"X-{number}", "é" * 100) for number in range(1000))
    for key in keys:
        answer = Answered(
            status=200,
            headers=headers,
            body=bytes(random.Random(key).randrange(3_000_000, 4_300_000)),
        )
        hosts.pay(key, outcome=answer)
        again = [hosts.pay(key, entry) for entry in ("h1", "h2", "h3")]
        assert again in ([answer] * 3, [again[0]] * 3)
    assert MAX_ANSWER_BYTES / 2 < max(sizes) < MAX_FRAME_BYTES - 1024


def test_transferred_records_fit_into_frames(hosts):
    """Ten answers of 500 KB did not: no later key could be started."""
    keys = [hosts.key() for _ in range(30)]
    answer = Answered(status=201, headers=(), body=bytes(500_000))
    for key in keys:
        assert hosts.pay(key, outcome=answer) == answer
    batch_sizes = []
    ask = hosts.ask

    def refuse_large(service, member, message, timeout_seconds):
        if isinstance(message, RecordBatch):
            batch_sizes.append(len(encode(message)))
            if batch_sizes[-1] > MAX_FRAME_BYTES:
                return None
        return ask(service, member, message, timeout_seconds)

    hosts.ask = refuse_large
    hosts.restart(1)
    assert batch_sizes
    assert max(batch_sizes) < MAX_FRAME_BYTES - 1024
    for key in keys:
        assert hosts.pay(key) == answer
