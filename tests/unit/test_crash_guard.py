"""What a proxy refuses and whom it tells after targets have crashed."""

import types

import attrs
import eventlet
import pytest

from tests.unit.test_proxy_peers import SETTINGS, make_call
from verbenanotch.crashes import CrashRecords
from verbenanotch.membership import HostRecord
from verbenanotch.proxy import CrashGuard
from verbenanotch.proxy import _crashes as crashes_module
from verbenanotch.proxy._outcome import NotRun

FINGERPRINT = b"f" * 16
ZONES = ("z1", "z2", "z3")
PROXIES_PER_ZONE = 4


def make_record(zone, number):
    return HostRecord(
        host=f"{zone}-{number}",
        availability_zone=zone,
        address="127.0.0.1",
        peer_port=1,
        incarnation=1,
        sequence=1,
    )


@attrs.define(kw_only=True)
class Fixture:
    """A CrashGuard of host z1-0, the time, and what it has posted."""

    guard: CrashGuard
    posted: list
    now: float = 0.0

    def crash(self, crash_id, **fields):
        """Record a crash during a call with FINGERPRINT."""
        return self.guard.record_crash(self.call(**fields), crash_id)

    def call(self, **fields):
        """Return a Call, with FINGERPRINT unless `fields` has another."""
        return make_call(**{"fingerprint": FINGERPRINT, **fields})

    def hosts_told(self):
        """Return the names of the hosts that got records, sorted."""
        for _ in range(5):
            eventlet.sleep(0)
        return sorted(record.host for record, _ in self.posted)


@pytest.fixture
def proxy(monkeypatch):
    records = [
        make_record(zone, number)
        for zone in ZONES
        for number in range(PROXIES_PER_ZONE)
    ]
    snapshot = types.SimpleNamespace(
        hosts_by_name={record.host: record for record in records}
    )
    posted = []
    guard = CrashGuard(
        settings=attrs.evolve(
            SETTINGS, host=attrs.evolve(SETTINGS.host, name="z1-0")
        ),
        snapshot_store=types.SimpleNamespace(snapshot=snapshot),
        post=lambda record, message: posted.append((record, message)),
    )
    fixture = Fixture(guard=guard, posted=posted)
    monkeypatch.setattr(
        crashes_module,
        "time",
        types.SimpleNamespace(monotonic=lambda: fixture.now),
    )
    guard.exchange._monotonic = lambda: fixture.now
    return fixture


def zones_of(hosts):
    return [host.split("-")[0] for host in hosts]


def test_a_crash_is_told_to_the_zone_and_to_two_relays_of_each_other(proxy):
    proxy.crash(b"1")
    hosts = proxy.hosts_told()
    assert zones_of(hosts) == ["z1"] * 3 + ["z2"] * 2 + ["z3"] * 2
    assert "z1-0" not in hosts


def receive_from(proxy, host):
    records = proxy.crash(b"1")
    proxy.posted.clear()
    other = CrashGuard(
        settings=SETTINGS,
        snapshot_store=proxy.guard._snapshot_store,
        post=lambda record, message: proxy.posted.append((record, message)),
    )
    connection = types.SimpleNamespace(peer_name=host)
    for _ in range(2):
        other.receive_records(
            records, connection=connection, reply=lambda message: None
        )


def test_a_relay_tells_its_zone_once(proxy):
    receive_from(proxy, "z2-1")
    hosts = proxy.hosts_told()
    assert set(zones_of(hosts)) == {"z1"}
    assert len(hosts) == len(set(hosts))


@pytest.mark.parametrize("sender", ["z1-2", "unknown-host"])
def test_crashes_from_the_zone_or_unknown_hosts_are_not_passed_on(
    proxy, sender
):
    receive_from(proxy, sender)
    assert proxy.hosts_told() == []


def make_guard():
    return CrashGuard(
        settings=SETTINGS,
        snapshot_store=types.SimpleNamespace(
            snapshot=types.SimpleNamespace(hosts_by_name={})
        ),
        post=lambda record, message: None,
    )


def test_a_proxy_that_knows_less_than_the_one_it_tells_is_told(proxy):
    """Guard against zones that each count for themselves.

    A notice reaches only hosts that its sender knows. Here the first crashes
    were not told to the proxy that sees the third one.
    """
    proxy.crash(b"1")
    proxy.crash(b"2")
    uninformed = make_guard()
    records = uninformed.record_crash(proxy.call(), b"3")
    replies = []
    connection = types.SimpleNamespace(peer_name="unknown-host")
    for _ in range(2):
        proxy.guard.receive_records(
            records, connection=connection, reply=replies.append
        )
        uninformed.receive_reply(replies[-1].records)
        records = replies[-1].records
    assert len(replies) == 1
    refusal = uninformed.refusal(proxy.call())
    assert refusal.retry_after_ms > 60_000


def test_crashes_of_calls_that_end_together_are_sent_in_one_message(proxy):
    calls = [proxy.call(fingerprint=b"%016d" % n) for n in range(5)]
    pool = eventlet.GreenPool()
    for call in calls:
        pool.spawn_n(proxy.guard.record_crash, call, b"1")
    pool.waitall()
    messages = {id(message): message for _, message in proxy.posted}
    assert [len(m.records) for m in messages.values()] == [len(calls)]
    assert isinstance(next(iter(messages.values())), CrashRecords)


def test_a_notice_that_fails_changes_no_outcome_and_ends_no_later_one(
    proxy, monkeypatch
):
    """Each later crash got the error of the first notice as its outcome."""

    def fail():
        raise RuntimeError("no proxies in a test")

    with monkeypatch.context() as context:
        context.setattr(proxy.guard, "_proxies_in_zone", fail)
        (record,) = proxy.crash(b"1")
    assert record.fingerprint == FINGERPRINT
    assert not proxy.hosts_told()
    proxy.crash(b"2")
    assert zones_of(proxy.hosts_told()).count("z1") == PROXIES_PER_ZONE - 1


def test_the_outcome_carries_the_crashes_to_the_entry_proxy(proxy):
    proxy.crash(b"1")
    (record,) = proxy.crash(b"2")
    assert record.crash_ids == (b"1", b"2")


def test_the_second_crash_blocks_and_says_when_to_return(proxy):
    proxy.crash(b"1")
    assert proxy.guard.refusal(proxy.call()) is None
    proxy.crash(b"2")
    proxy.now = 0.5
    refusal = proxy.guard.refusal(proxy.call())
    assert refusal == NotRun(reason="crashes-targets", retry_after_ms=1501)
    assert proxy.guard.refusal(proxy.call(fingerprint=b"other")) is None


def test_after_the_block_all_proxies_choose_one_target(proxy):
    targets = ["t1", "t2", "t3", "t4"]
    call = proxy.call()
    assert proxy.guard.exclusive_target(call, targets) is None
    proxy.crash(b"1")
    proxy.crash(b"2")
    proxy.now = 2.0
    chosen = proxy.guard.exclusive_target(call, targets)
    assert chosen in targets
    assert proxy.guard.exclusive_target(call, targets[::-1]) == chosen
    assert proxy.guard.exclusive_target(call, []) is None


def test_a_suspected_request_runs_once_at_a_time(proxy):
    proxy.crash(b"1")
    proxy.crash(b"2")
    proxy.now = 2.0
    with proxy.guard.running(proxy.call()) as first:
        assert first is None
        with proxy.guard.running(proxy.call()) as second:
            assert second.reason == "crashes-targets"
        with proxy.guard.running(proxy.call(fingerprint=b"x")) as other:
            assert other is None
    with proxy.guard.running(proxy.call()) as third:
        assert third is None


def test_a_target_proxy_refuses_what_an_uninformed_entry_proxy_sends(proxy):
    proxy.crash(b"1")
    proxy.crash(b"2")
    with proxy.guard.running(proxy.call()) as refusal:
        assert refusal.reason == "crashes-targets"


@pytest.mark.parametrize(
    ("status", "is_cleared"),
    [(200, True), (404, True), (429, False), (500, False), (503, False)],
)
def test_only_an_answer_of_a_complete_run_clears(proxy, status, is_cleared):
    proxy.crash(b"1")
    proxy.crash(b"2")
    proxy.guard.record_answer(proxy.call(), status)
    assert (proxy.guard.refusal(proxy.call()) is None) == is_cleared
