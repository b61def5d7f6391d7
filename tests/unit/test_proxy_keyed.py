"""Keyed requests against two or more holders in memory."""

import random
import time

import attrs
import pytest

from tests.unit.test_proxy_entry import FakeHolder, make_record
from verbenanotch.catalog import Service, Version
from verbenanotch.idempotency import new_key
from verbenanotch.proxy import KeyedRequests, RecordKeeper
from verbenanotch.proxy._outcome import Answered, NotRun, Rejected, Unknown
from verbenanotch.proxy._request import Request

START = 1_800_000_000.0
ANSWER = Answered(status=201, headers=(("X-A", "1"),), body=b"booked")


class Hosts:
    """Three hosts with one target each, and a clock for all."""

    def __init__(self):
        """Let the records be complete from the start."""
        self.now = START
        self.random = random.Random(1)
        self.lost = set()
        self.holder = FakeHolder(
            [make_record(number) for number in (1, 2, 3)],
            version=Version(epoch=1, index=1),
            services_by_name={"pay": Service()},
            routes_by_name={},
        )
        self.keepers_by_host = {
            f"h{number}": self.make_keeper(f"h{number}")
            for number in (1, 2, 3)
        }
        self.runs = []
        self.now += 10

    def make_keeper(self, name):
        """Return a keeper that has seen the present hosts."""
        keeper = RecordKeeper(
            host_name=name, holder=self.holder, wall_clock=lambda: self.now
        )
        keeper.refresh()
        return keeper

    def key(self):
        """Return a key that is issued now."""
        return new_key(now_ms=int(self.now * 1000), random=self.random)

    def ask(self, service, member, message, timeout_seconds):
        """Send a message to a host that is not lost."""
        if member.host in self.lost:
            return None
        return self.keepers_by_host[member.host].handle(service, message)

    def pay(self, key, entry="h1", body=b"10", outcome=ANSWER):
        """Ask through a host."""
        keyed = KeyedRequests(keeper=self.keepers_by_host[entry], ask=self.ask)

        def run():
            self.runs.append(key)
            return outcome

        request = Request(
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
        return keyed.run(request, run)

    def holders(self, key):
        """Return the names of the two holders of a key."""
        pair = self.keepers_by_host["h1"].table("pay").pair(key)
        return [member.host for member in pair]


@pytest.fixture
def hosts():
    return Hosts()


def test_the_first_answer_is_given_again_from_any_entry(hosts):
    key = hosts.key()
    for entry in ("h1", "h2", "h3"):
        assert hosts.pay(key, entry) == ANSWER
    assert hosts.runs == [key]


def test_another_body_is_a_conflict(hosts):
    key = hosts.key()
    hosts.pay(key)
    outcome = hosts.pay(key, body=b"20")
    assert isinstance(outcome, Rejected)
    assert outcome.kind == "key-conflict"
    assert len(hosts.runs) == 1


def test_what_may_have_run_is_never_run_again(hosts):
    key = hosts.key()
    hosts.pay(key, outcome=Unknown(reason="peer-lost"))
    assert isinstance(hosts.pay(key), Unknown)
    assert len(hosts.runs) == 1


def test_what_was_not_run_can_be_asked_again(hosts):
    key = hosts.key()
    refused = hosts.pay(key, outcome=NotRun(reason="target-full"))
    assert isinstance(refused, NotRun)
    assert hosts.pay(key) == ANSWER


@pytest.mark.parametrize("which", [0, 1])
def test_with_one_holder_lost_the_other_answers(hosts, which):
    key = hosts.key()
    hosts.pay(key)
    hosts.lost.add(hosts.holders(key)[which])
    assert hosts.pay(key) == ANSWER
    assert len(hosts.runs) == 1


@pytest.mark.parametrize("which", [0, 1])
def test_a_new_key_is_not_run_while_a_holder_is_silent(hosts, which):
    key = hosts.key()
    hosts.lost.add(hosts.holders(key)[which])
    assert not isinstance(hosts.pay(key), Answered)
    assert hosts.runs == []


def test_both_holders_restarted_never_run_an_old_key(hosts):
    key = hosts.key()
    hosts.pay(key)
    for name in hosts.holders(key):
        hosts.keepers_by_host[name] = hosts.make_keeper(name)
    hosts.now += 10
    assert isinstance(hosts.pay(key), Unknown)
    assert len(hosts.runs) == 1


def test_a_change_of_the_holders_never_runs_an_old_key(hosts):
    keys = [hosts.key() for _ in range(50)]
    for key in keys:
        hosts.pay(key)
    records = [make_record(number) for number in (1, 2)]
    restarted = attrs.evolve(make_record(3), incarnation=2)
    hosts.holder.hold([*records, restarted])
    hosts.keepers_by_host["h3"] = hosts.make_keeper("h3")
    for keeper in hosts.keepers_by_host.values():
        keeper.refresh()
    hosts.now += 10
    for key in keys:
        assert isinstance(hosts.pay(key), (Answered, Unknown))
    assert hosts.runs == keys
    assert hosts.pay(hosts.key()) == ANSWER


def test_holders_refuse_an_entry_that_sees_other_hosts(hosts):
    entry = hosts.keepers_by_host["h1"]
    tables = dict(entry._tables_by_service)
    key = hosts.key()
    changed = [make_record(number) for number in (1, 2, 3)]
    changed = [attrs.evolve(record, incarnation=2) for record in changed]
    hosts.holder.hold(changed)
    entry._tables_by_service = tables
    entry._snapshot = hosts.holder.snapshot
    del hosts.keepers_by_host["h1"]
    hosts.keepers_by_host["h1"] = hosts.make_keeper("h1")
    keyed = KeyedRequests(keeper=entry, ask=hosts.ask)
    hosts.now += 10
    request = Request(
        request_id="r",
        route_name="pay",
        service="pay",
        method="POST",
        path="/pay",
        headers=(),
        body=b"",
        deadline=time.monotonic() + 5,
        idempotent=False,
        retries=0,
        key=key,
    )
    outcome = keyed.run(request, lambda: pytest.fail("it was run"))
    assert isinstance(outcome, Unknown)
    assert outcome.reason == "key-not-holder"
