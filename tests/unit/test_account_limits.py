"""Parts of the limits of client accounts."""

import math
import random

import attrs
import eventlet
import msgpack
import pytest

from tests.unit.test_proxy_entry import ANSWER, entry  # noqa: F401
from verbenanotch.catalog import ClientAccount
from verbenanotch.distribution import LeaderChannel, ProxyChannel
from verbenanotch.distribution._messages import FromLeader, ToLeader
from verbenanotch.proxy._outcome import NotRun
from verbenanotch.quotas import (
    AccountLimits,
    AccountUsage,
    LeaderLimits,
    Limited,
    LimitedAccount,
    LimitHeartbeat,
    LimitLedger,
    LimitUpdate,
    ProxyLimits,
    UsageReport,
    UsageRequest,
)
from verbenanotch.quotas._window import RECENT_SECONDS, WINDOW_SECONDS
from verbenanotch.wire import MalformedFrameError, decode, encode

HOSTS = 10
RATE = 10.0


@pytest.fixture
def accounts():
    return {
        "a": ClientAccount(rate=RATE, burst=RATE),
        "free": ClientAccount(),
    }


@pytest.fixture
def limits(accounts):
    return AccountLimits(
        limits=lambda: accounts,
        host_count=lambda: HOSTS,
        incarnation=1,
        random=random.Random(1),
    )


@pytest.fixture
def ledger():
    return LimitLedger(term=1, now=0.0)


def make_update(number=1, ppm=None, term=1, surging=()):
    limited = ()
    if ppm is not None:
        limited = (LimitedAccount(name="a", admitted_ppm=ppm, debt_ms=0),)
    return LimitUpdate(
        term=term,
        number=number,
        host_count=HOSTS,
        limited=limited,
        surging=surging,
    )


def make_report(number, asked, admitted, incarnation=1, recent=0):
    usage = AccountUsage(
        name="a",
        asked=asked,
        admitted=admitted,
        recent=(recent,) * len(RECENT_SECONDS),
    )
    return UsageReport(
        incarnation=incarnation, number=number, accounts=(usage,)
    )


def admit_many(limits, count, start, seconds):
    """Return how many of some requests, evenly spread, are admitted."""
    return sum(
        limits.admit("a", start + index * seconds / count) is None
        for index in range(count)
    )


def decide_until(ledger, accounts, end, hosts=("p1",), start=0.0):
    """Decide every quarter second; return the last message."""
    limited = {name: a for name, a in accounts.items() if a.rate > 0}
    now = start
    while now < end:
        now += 0.25
        message = ledger.decide(limited, hosts, hosts, now)
    return message


def test_an_account_without_a_rate_has_no_state(limits):
    for account in ("free", "", "unknown"):
        assert limits.admit(account, 0.0) is None
    assert limits.is_unused
    assert limits.report(0.0) is None


def test_one_proxy_admits_at_most_the_whole_limit(limits):
    limits.receive(make_update(), 0.0)
    admitted = 0
    for step in range(100):
        limits.receive(make_update(), step * 0.01)
        admitted += limits.admit("a", step * 0.01) is None
    assert admitted == pytest.approx(RATE + RATE, abs=1)


def test_the_fraction_is_admitted_without_rounding(limits, accounts):
    accounts["a"] = ClientAccount(rate=1000.0, burst=1000.0)
    limits.receive(make_update(ppm=30_000), 0.0)
    assert admit_many(limits, 1000, 0.0, 0.4) == pytest.approx(30, abs=1)


def test_a_late_update_is_ignored(limits):
    limits.receive(make_update(number=2, ppm=0), 0.0)
    limits.receive(make_update(number=1), 0.1)
    assert isinstance(limits.admit("a", 0.2), Limited)
    limits.receive(make_update(term=2), 0.3)
    assert limits.admit("a", 0.3) is None


def test_a_heartbeat_renews_only_the_table_that_it_names(limits):
    limits.receive(make_update(number=1), 0.0)
    limits.receive(LimitHeartbeat(term=1, number=2), 0.4)
    assert not limits.has_lease(0.5)
    limits.receive(LimitHeartbeat(term=1, number=1), 0.6)
    assert limits.has_lease(0.7)


def test_a_restarted_proxy_without_a_leader_admits_its_part(accounts):
    admitted = 0
    for seed in range(HOSTS):
        limits = AccountLimits(
            limits=lambda: accounts,
            host_count=lambda: HOSTS,
            incarnation=1,
            random=random.Random(seed),
        )
        admitted += admit_many(limits, 1000, 0.0, 4.9)
    whole = accounts["a"].rate * 5 + accounts["a"].burst
    assert whole / 2 < admitted <= whole


def test_many_proxies_without_a_leader_keep_to_a_limit_of_few_requests():
    """Each of 1000 proxies is asked; the limit has 600 in a window."""
    accounts = {"a": ClientAccount(rate=100.0, burst=100.0)}
    generator = random.Random(1)
    admitted = 0
    for _ in range(1000):
        limits = AccountLimits(
            limits=lambda: accounts,
            host_count=lambda: 1000,
            incarnation=1,
            random=generator,
        )
        limits.receive(make_update(), 0.0)
        admitted += admit_many(limits, 10, 1.0, 1.0)
    assert 500 <= admitted <= 600 * 1.1 + 20


def test_a_surge_that_the_leader_saw_start_has_no_allowance_without_it():
    """Each proxy gets a request after the leader is lost."""
    hosts, limit = 200, ClientAccount(rate=20.0, burst=20.0)
    whole = limit.rate * WINDOW_SECONDS + limit.burst
    admitted = {(): 0, ("a",): 0}
    for surging in admitted:
        for index in range(hosts):
            limits = AccountLimits(
                limits=lambda: {"a": limit},
                host_count=lambda: hosts,
                incarnation=1,
                random=random.Random(index),
            )
            limits.receive(make_update(surging=surging), 0.0)
            admitted[surging] += limits.admit("a", 1.0) is None
    # Three quarters of an equal part, where chance is three deviations.
    assert admitted["a",] <= 0.75 * whole + 3 * math.sqrt(whole / 4)
    assert admitted[()] > 0.9 * whole


def test_a_lowered_limit_applies_at_once_without_a_leader(limits, accounts):
    limits.receive(make_update(), 0.0)
    admit_many(limits, 10, 0.0, 0.4)
    assert isinstance(limits.admit("a", 1.0), Limited)
    accounts["a"] = ClientAccount(rate=1.0, burst=1.0)
    assert admit_many(limits, 100, 6.0, 4.0) <= 1


def test_a_refunded_request_leaves_room_for_another(limits):
    limits.receive(make_update(ppm=0), 0.0)
    limits.receive(make_update(number=2, ppm=500_000), 0.0)
    while limits.admit("a", 0.0) is not None:
        pass
    limits.refund("a", 0.0)
    assert limits.admit("a", 0.0) is None
    assert limits.report(0.0).accounts[0].admitted == 1


def test_a_late_refund_leaves_no_room_for_two(limits, accounts):
    """Requests that wait for 4.6 s and don't run, without a leader."""
    accounts["a"] = ClientAccount(rate=100.0, burst=100.0)
    share = 100.0 * 6 / HOSTS
    waiting = admit_many(limits, 40, 0.26, 0.2)
    assert waiting == 40
    for _ in range(waiting):
        limits.refund("a", 0.3)
    admitted = admit_many(limits, 200, 4.9, 0.05)
    admitted += admit_many(limits, 200, 5.8, 0.05)
    assert share / 2 < admitted <= share


def test_a_refund_after_the_window_has_no_effect(limits):
    limits.receive(make_update(), 0.0)
    assert limits.admit("a", 0.0) is None
    limits.report(6.0)
    limits.refund("a", 0.0)
    assert limits.report(6.0) is None


def test_retry_after_is_longer_where_less_is_admitted(limits):
    waits = []
    for number, ppm in enumerate((900_000, 500_000, 100_000)):
        limits.receive(make_update(number=number, ppm=ppm), 0.0)
        refusal = None
        while refusal is None:
            refusal = limits.admit("a", 0.0)
        waits.append(refusal.retry_after_ms)
    assert waits == sorted(waits)
    assert 800 <= waits[1] <= 1200


def test_reports_stop_once_the_usage_is_old(limits):
    limits.receive(make_update(), 0.0)
    assert limits.admit("a", 0.0) is None
    assert limits.report(0.1).accounts[0].recent == (1,) * 10
    assert limits.report(0.2) is None
    assert limits.report(1.2).accounts == ()
    assert limits.report(6.0) is None


def test_a_removed_account_is_forgotten(limits, accounts):
    limits.admit("a", 0.0)
    accounts.clear()
    limits.report(0.1)
    assert limits.is_unused


def test_a_new_leader_listens_before_it_decides(ledger, accounts):
    assert isinstance(decide_until(ledger, accounts, 0.25), UsageRequest)
    assert isinstance(decide_until(ledger, accounts, 0.75), LimitUpdate)


def test_a_paused_leader_listens_again(ledger, accounts):
    decide_until(ledger, accounts, 1.0)
    message = decide_until(ledger, accounts, 3.25, start=3.0)
    assert isinstance(message, UsageRequest)


def test_lost_and_repeated_reports_do_no_harm(ledger, accounts):
    decide_until(ledger, accounts, 1.0)
    ledger.observe("p1", make_report(1, 0, 0), 1.0)
    # Reports 2 and 3 are lost.
    last = make_report(4, 100, 100)
    ledger.observe("p1", last, 1.1)
    ledger.observe("p1", last, 1.15)
    ledger.observe("p1", make_report(2, 30, 30), 1.2)
    decide_until(ledger, accounts, 1.25, start=1.0)
    # A level of 10 and 2.5 more, less 100, is not below -50.
    assert [item.name for item in ledger.limited] == ["a"]
    assert ledger.limited[0].debt_ms == 5000


def test_a_restarted_proxy_is_heard_although_its_clock_was_set_back(
    ledger, accounts
):
    decide_until(ledger, accounts, 1.0)
    ledger.observe("p1", make_report(9, 5, 5, incarnation=2), 1.0)
    report = make_report(1, 200, 200, incarnation=1, recent=200)
    ledger.observe("p1", report, 1.1)
    decide_until(ledger, accounts, 1.25, start=1.0)
    assert ledger.limited


def test_a_new_leader_charges_what_was_admitted_before(ledger, accounts):
    report = make_report(9, 900, 900, recent=100)
    ledger.observe("p1", report, 0.1)
    decide_until(ledger, accounts, 0.75)
    assert ledger.limited[0].admitted_ppm == 0


def test_an_account_that_was_removed_and_added_again_counts_anew(
    ledger, accounts
):
    """A proxy that forgot the account reports lower counts than before."""
    decide_until(ledger, accounts, 1.0)
    ledger.observe("p1", make_report(1, 900, 5), 1.0)
    decide_until(ledger, accounts, 4.0, start=1.0)
    report = make_report(2, 200, 200, recent=200)
    ledger.observe("p1", report, 4.0)
    decide_until(ledger, accounts, 4.25, start=4.0)
    assert ledger.limited[0].debt_ms == 5000


def test_an_account_without_a_rate_meanwhile_has_no_debt(ledger, accounts):
    """Its last debt may be from long before it has a rate again."""
    decide_until(ledger, accounts, 1.0)
    report = make_report(1, 900, 900, recent=900)
    ledger.observe("p1", report, 1.0)
    decide_until(ledger, accounts, 1.25, start=1.0)
    assert ledger.limited
    decide_until(ledger, {}, 11.25, start=1.25)
    ledger.observe("p1", make_report(2, 20, 5, recent=5), 11.3)
    decide_until(ledger, accounts, 11.5, start=11.25)
    assert ledger.limited == ()


def test_a_host_that_is_cut_off_has_a_reserve(ledger, accounts):
    limited = {"a": accounts["a"]}
    decide_until(ledger, accounts, 0.75)
    number, asked = 0, 0
    now = 0.75
    while now < 8.0:
        now += 0.25
        number, asked = number + 1, asked + 2
        ledger.observe("p1", make_report(number, asked, asked), now)
        ledger.decide(limited, ("p1", "p2"), ("p1",), now)
    # 8 a second of 10 are asked for, of which 5 are left.
    assert ledger.limited[0].admitted_ppm < 800_000


def test_a_surge_of_few_requests_is_named_before_it_is_limited(
    ledger, accounts
):
    """The level lasts for the demand of 2 s, but not for that of 0.25 s."""
    limited = {"a": accounts["a"]}
    asked, now = 0, 0.0
    for number in range(1, 13):
        now += 0.25
        # One, and at last five, of the 10 requests a second and 10 at once.
        asked += 5 if number == 12 else 1
        ledger.observe("p1", make_report(number, asked, asked), now)
        message = ledger.decide(limited, ("p1",), ("p1",), now)
        if isinstance(message, LimitUpdate):
            assert message.surging == (("a",) if number == 12 else ())
            assert not message.limited
    assert isinstance(message, LimitUpdate)


def test_a_surge_of_few_requests_is_limited_within_a_report(ledger, accounts):
    """Over 2 s, 18 requests are less than the 10 a second of the limit."""
    limited = {"a": accounts["a"]}
    asked, now = 0, 0.0
    for number in range(1, 13):
        now += 0.25
        asked += 10 if number == 12 else 1
        ledger.observe("p1", make_report(number, asked, asked), now)
        ledger.decide(limited, ("p1",), ("p1",), now)
    assert [account.name for account in ledger.limited] == ["a"]


def test_an_unchanged_table_is_sent_once_a_second(ledger, accounts):
    ledger.observe("p1", make_report(1, 900, 900, recent=100), 0.1)
    messages = [
        decide_until(ledger, accounts, step / 4 + 0.25, start=step / 4)
        for step in range(9)
    ]
    assert [type(message) for message in messages[1:8]] == [
        LimitUpdate,
        LimitHeartbeat,
        LimitHeartbeat,
        LimitHeartbeat,
        LimitUpdate,
        LimitHeartbeat,
        LimitHeartbeat,
    ]


@pytest.mark.parametrize("recent", [(), (1,), (1,) * 9, (1,) * 11])
def test_a_report_with_other_times_is_malformed(recent):
    """Any other error would end the control host's connection unnamed."""
    report = make_report(1, 5, 5)
    values = msgpack.unpackb(encode(report))
    assert decode(values) == report
    _, _, (_, _, (usage,)) = values
    usage[-1] = recent
    with pytest.raises(MalformedFrameError):
        decode(values)


class LoopbackControl:
    """Connects a ProxyChannel and a LeaderChannel in one process."""

    def __init__(self, proxy_channel, leader_channel):
        """Connect them as host `p1`."""
        self._proxy_channel = proxy_channel
        self._leader_channel = leader_channel
        self.messages = []

    def send(self, message):
        """Pass a message on to the other side."""
        self.messages.append(message)
        if isinstance(message, FromLeader):
            self._leader_channel.receive(self, message)
        elif isinstance(message, ToLeader):
            self._proxy_channel.receive("p1", message)


@attrs.define(kw_only=True)
class Store:
    """A snapshot store with accounts."""

    snapshot: object


@attrs.define(kw_only=True)
class AccountsSnapshot:
    """The fields of a snapshot that the limits read."""

    accounts_by_name: dict
    hosts_by_name: dict


def test_proxy_and_leader_agree_over_their_channels(accounts):
    now = 0.0

    def monotonic():
        return now

    proxy_channel = ProxyChannel(leading_term=lambda: 1)
    leader_channel = LeaderChannel()
    loopback = LoopbackControl(proxy_channel, leader_channel)
    proxy_channel.connect("p1", loopback)
    snapshot = AccountsSnapshot(
        accounts_by_name=accounts, hosts_by_name={"p1": None}
    )
    proxy = ProxyLimits(
        channel=leader_channel,
        snapshot_store=Store(snapshot=snapshot),
        monotonic=monotonic,
    )
    in_mesh = {}
    leader = LeaderLimits(
        channel=proxy_channel,
        accounts=lambda: in_mesh,
        known_hosts=lambda: ("p1",),
        monotonic=monotonic,
    )
    leader.decide()
    eventlet.sleep(0)
    assert loopback.messages == []
    in_mesh.update(accounts)
    causes = set()
    for _ in range(40):
        now += 0.25
        leader.decide()
        for _ in range(10):
            limited = proxy.admit("a", now)
            causes.add(limited and limited.cause)
        proxy.report()
        eventlet.sleep(0)
    assert {None, "fraction"} <= causes


def test_a_proxy_that_has_just_connected_is_sent_the_table(accounts):
    now = 0.0
    proxy_channel = ProxyChannel(leading_term=lambda: 1)
    leader = LeaderLimits(
        channel=proxy_channel,
        accounts=lambda: accounts,
        known_hosts=lambda: ("p1",),
        monotonic=lambda: now,
    )
    for _ in range(4):
        leader.decide()
        now += 0.25
    loopback = LoopbackControl(proxy_channel, LeaderChannel())
    proxy_channel.connect("p1", loopback)
    leader.greet()
    leader.greet()
    eventlet.sleep(0)
    assert len(loopback.messages) == 1


def test_rates_that_were_removed_and_added_again_in_a_term_have_a_lease(
    accounts,
):
    """The tables after it must not look older than those before."""
    now = 0.0
    loopback = LoopbackControl(None, LeaderChannel())
    proxy_channel = ProxyChannel(leading_term=lambda: 1)
    proxy_channel.connect("p1", loopback)
    in_mesh = dict(accounts)
    leader = LeaderLimits(
        channel=proxy_channel,
        accounts=lambda: in_mesh,
        known_hosts=lambda: ("p1",),
        monotonic=lambda: now,
    )
    limits = AccountLimits(
        limits=lambda: in_mesh,
        host_count=lambda: 1,
        incarnation=1,
        random=random.Random(1),
    )

    def play(seconds):
        nonlocal now
        for _ in range(int(seconds * 4)):
            now += 0.25
            for _ in range(20):
                limits.admit("a", now)
            report = limits.report(now)
            if report is not None:
                leader._observe("p1", report)
            loopback.messages.clear()
            leader.decide()
            eventlet.sleep(0)
            for sent in loopback.messages:
                received = decode(msgpack.unpackb(sent.payload))
                if not isinstance(received, UsageRequest):
                    limits.receive(received, now)

    play(5.0)
    in_mesh.clear()
    play(1.0)
    assert not limits.has_lease(now)
    in_mesh.update(accounts)
    play(1.0)
    assert limits.has_lease(now)


class FakeAccountLimits:
    """Returns a set answer and records refunds."""

    def __init__(self, refusal=None):
        """Admit all requests, or refuse them with `refusal`."""
        self.refusal = refusal
        self.admitted = []
        self.admitted_at = []
        self.refunded = []
        self.refunded_at = []

    def admit(self, account, now):
        """Return the set answer."""
        self.admitted.append(account)
        self.admitted_at.append(now)
        return self.refusal

    def refund(self, account, admitted_at):
        """Record a refund."""
        self.refunded.append(account)
        self.refunded_at.append(admitted_at)


@pytest.fixture
def account_entry(entry, monkeypatch):  # noqa: F811
    """Return an entry whose requests belong to the account `a`."""
    read = entry.interface._reader.read
    monkeypatch.setattr(
        entry.interface._reader,
        "read",
        lambda *args, **kwargs: attrs.evolve(
            read(*args, **kwargs), account="a"
        ),
    )
    return entry


def test_a_refused_account_gets_429(account_entry):
    limits = FakeAccountLimits(Limited(retry_after_ms=1500))
    account_entry.interface._account_limits = limits
    answer = account_entry.send_request()
    assert (answer.status, answer.outcome) == (429, "not-run")
    assert answer.reason == "account-limited"
    assert answer.headers["Retry-After"] == "2"
    assert account_entry.peers.calls == []
    assert limits.refunded == []


def test_only_a_request_that_was_not_run_is_refunded(account_entry):
    limits = FakeAccountLimits()
    account_entry.interface._account_limits = limits
    account_entry.peers.outcomes = [NotRun(reason="overloaded"), ANSWER]
    account_entry.send_request()
    assert limits.refunded == ["a"]
    assert limits.refunded_at == limits.admitted_at
    account_entry.peers.outcomes = [ANSWER]
    account_entry.send_request()
    assert limits.refunded == ["a"]
    assert limits.admitted == ["a", "a"]


def test_requests_without_an_account_are_not_counted(entry):  # noqa: F811
    limits = FakeAccountLimits()
    entry.interface._account_limits = limits
    entry.send_request()
    assert limits.admitted == []
