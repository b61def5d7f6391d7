"""The check of callers' keys at the entry proxy, and what targets receive."""

import json

import attrs
import pytest

from tests.support.planned_settings import load_planned
from tests.unit.test_proxy_entry import (
    FakeSnapshotStore,
    make_record,
    run_entry,
)
from tests.unit.test_proxy_exchange import make_call
from tests.unit.test_proxy_peers import SETTINGS
from verbenanotch.accounts import (
    Freshness,
    account_record,
    combined_priority,
)
from verbenanotch.catalog import ClientAccount, Route, Service, Version
from verbenanotch.conf import HeaderNames
from verbenanotch.distribution import Snapshot
from verbenanotch.documents import Invalid, Valid
from verbenanotch.proxy import AccountGate
from verbenanotch.proxy import _account_gate as gate_module
from verbenanotch.proxy import _entry as entry_module
from verbenanotch.proxy._headers import target_headers
from verbenanotch.proxy._keyed_requests import _digest
from verbenanotch.telemetry import metrics

KEY = "good-key-1234"
BAD_KEY = "bad-key-5678"
VERSION = Version(epoch=1, index=1)
NEXT_VERSION = Version(epoch=1, index=2)
CURRENT = Freshness(own=VERSION, newest=VERSION, age_seconds=0.0)
ACCOUNTS = {"north": ClientAccount(keys=(KEY,), priority=3)}
IDEMPOTENCY_KEY = "0198f0a4-0000-7000-8000-000000000001"


@attrs.define
class FakeFreshness:
    """Returns a Freshness that the test changes."""

    value: Freshness = CURRENT

    def at(self, now):
        """Return the current value."""
        return self.value


@pytest.fixture
def freshness():
    return FakeFreshness()


@pytest.fixture
def run(freshness):
    """Return a function that runs an Entry with accounts."""
    running = []

    def run_with(*, accounts=ACCOUNTS, **proxy):
        proxy = {"keyless_requests": "local-calls", **proxy}
        settings = attrs.evolve(
            SETTINGS,
            proxy=attrs.evolve(
                SETTINGS.proxy, unrouted_is_missing=True, **proxy
            ),
        )
        snapshot_store = FakeSnapshotStore(
            [make_record(number) for number in range(1, 5)],
            version=VERSION,
            services_by_name={"pay": Service(cold_start_ms=0)},
            routes_by_name={
                "pay": Route(prefix="/pay", service="pay", priority=2),
                "open": Route(prefix="/open", service="pay", public=True),
            },
            accounts_by_name={
                name: account_record(account)
                for name, account in accounts.items()
            },
        )
        gate = AccountGate(settings=settings, freshness=freshness)
        context = run_entry(settings, snapshot_store, account_gate=gate)
        running.append(context)
        return context.__enter__()

    yield run_with
    for context in running:
        context.__exit__(None, None, None)


@pytest.fixture
def entry(run):
    return run()


def send(entry, key=None, path="/pay/1", **headers):
    if key is not None:
        headers["X_Verbenanotch_Account_Key"] = key
    return entry.send_request("GET", path, **headers)


def sent_header_names(entry):
    return [name.lower() for name, _ in entry.peers.calls[-1].headers]


def test_a_known_key_sets_the_account_and_its_rank(entry):
    assert send(entry, KEY).status == 200
    call = entry.peers.calls[0]
    assert call.account == "north"
    assert call.priority == combined_priority(3, 2)


def test_an_unknown_key_is_refused_and_reaches_no_target(entry):
    answer = send(entry, BAD_KEY)
    assert (answer.status, answer.reason) == (401, "account-key-unknown")
    assert answer.outcome == "not-run"
    assert entry.peers.calls == []


def test_two_keys_in_a_request_are_not_a_known_one(entry):
    lines = (
        f"GET /pay/1 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n"
        f"X-Verbenanotch-Account-Key: {KEY}\r\n"
        f"X-Verbenanotch-Account-Key: {KEY}\r\n\r\n"
    )
    assert entry.send_bytes(lines.encode()).startswith(b"HTTP/1.1 401 ")


def test_a_request_without_a_key_is_a_call_without_an_account(entry):
    assert send(entry).status == 200
    call = entry.peers.calls[0]
    assert call.account == ""
    assert call.priority == combined_priority(None, 2)


def test_requests_without_a_key_can_be_refused(run):
    entry = run(keyless_requests="reject")
    answer = send(entry)
    assert (answer.status, answer.reason) == (401, "account-key-missing")
    assert entry.peers.calls == []
    assert send(entry, KEY).status == 200


def test_a_request_without_a_route_is_missing_before_its_key_is_checked(entry):
    assert send(entry, BAD_KEY, path="/none").status == 404


def test_without_a_version_the_answer_is_not_run(entry):
    entry.snapshot_store.snapshot = Snapshot()
    for key in (KEY, BAD_KEY, None):
        assert send(entry, key).status == 503


@pytest.mark.parametrize("key", [None, KEY, BAD_KEY])
def test_a_public_route_needs_no_key(run, key):
    entry = run(keyless_requests="reject")
    assert send(entry, key, path="/open").status == 200
    assert entry.peers.calls[0].account == ("north" if key == KEY else "")


@pytest.mark.parametrize("path", ["/pay/1", "/open"])
@pytest.mark.parametrize("key", [None, KEY])
def test_no_header_about_accounts_is_forwarded(entry, key, path):
    send(entry, key, path, **{"X_Verbenanotch_Account": "south", "X_Own": "1"})
    names = sent_header_names(entry)
    assert "x-own" in names
    assert not [name for name in names if "account" in name]


def test_names_with_underscores_are_not_forwarded_either(entry):
    lines = (
        f"GET /pay/1 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n"
        f"X_Verbenanotch-Account_Key: {KEY}\r\n"
        f"x_verbenanotch_account: south\r\n\r\n"
    )
    assert entry.send_bytes(lines.encode()).startswith(b"HTTP/1.1 200 ")
    assert entry.peers.calls[0].account == ""
    assert not [n for n in sent_header_names(entry) if "account" in n]


def test_without_accounts_requests_are_forwarded_as_they_are(run):
    entry = run(accounts={}, keyless_requests="reject")
    answer = send(entry, BAD_KEY, X_Verbenanotch_Account="south")
    assert answer.status == 200
    call = entry.peers.calls[0]
    assert (call.account, call.priority) == ("", 2)
    names = sent_header_names(entry)
    assert "x-verbenanotch-account-key" in names
    assert "x-verbenanotch-account" in names


@pytest.mark.parametrize(
    "behind",
    [
        Freshness(own=VERSION, newest=NEXT_VERSION, age_seconds=0.0),
        Freshness(own=VERSION, newest=VERSION, age_seconds=1.5),
    ],
)
def test_a_proxy_that_may_be_behind_postpones_unknown_keys(
    entry, freshness, behind
):
    freshness.value = behind
    answer = send(entry, BAD_KEY)
    assert (answer.status, answer.outcome) == (503, "not-run")
    assert answer.reason == "accounts-behind"
    assert json.loads(answer.body)["retry_after_ms"] <= 500
    assert send(entry, KEY).status == 200
    assert len(entry.peers.calls) == 1


def test_a_postponed_request_with_an_idempotency_key_is_unknown(
    entry, freshness
):
    freshness.value = Freshness(own=VERSION, newest=NEXT_VERSION)
    answer = send(entry, BAD_KEY, Idempotency_Key=IDEMPOTENCY_KEY)
    assert (answer.outcome, answer.reason) == (
        "unknown",
        "key-accounts-behind",
    )


def test_accounts_that_are_not_confirmed_admit_nothing(run, freshness):
    entry = run(accounts_lease_seconds=0.75)
    freshness.value = attrs.evolve(CURRENT, age_seconds=0.8)
    for key in (KEY, BAD_KEY, None):
        answer = send(entry, key)
        assert (answer.status, answer.reason) == (503, "accounts-unconfirmed")
    assert send(entry, path="/open").status == 200
    freshness.value = attrs.evolve(CURRENT, age_seconds=0.7)
    assert send(entry, KEY).status == 200


def test_a_target_receives_the_name_of_the_account():
    names = HeaderNames(account="X-Who")
    with_account = target_headers(make_call(account="north"), 5, names)
    assert ("X-Who", "north") in with_account
    without_account = target_headers(make_call(), 5, names)
    assert "X-Who" not in dict(without_account)
    assert set(with_account) - set(without_account) == {("X-Who", "north")}


def test_an_account_gets_no_stored_answer_of_another_one(entry):
    send(entry, KEY)
    call = entry.peers.calls[0]
    digests = {
        _digest(attrs.evolve(call, account=account))
        for account in ("", "north", "south")
    }
    assert len(digests) == 3


@pytest.fixture
def events(monkeypatch):
    """Collect all events of the entry proxy."""
    collected = []

    def collect(event, **fields):
        collected.append((event.name, fields))

    for module in (gate_module, entry_module):
        monkeypatch.setattr(module, "emit", collect)
    return collected


def test_refused_keys_are_counted_and_reported_at_most_once_a_second(
    entry, events
):
    name = "proxy.account_keys_refused.account-key-unknown"
    before = metrics.totals_by_name[name]
    for _ in range(5):
        send(entry, BAD_KEY)
    assert metrics.totals_by_name[name] == before + 5
    reported = [f for name, f in events if name == "account-key-refused"]
    assert len(reported) == 1
    assert reported[0]["kind"] == "account-key-unknown"
    assert reported[0]["route"] == "pay"


def test_no_output_has_a_key(entry, freshness, events, capfd):
    answers = [send(entry, KEY), send(entry, BAD_KEY)]
    freshness.value = Freshness(own=VERSION, newest=NEXT_VERSION)
    answers.append(send(entry, BAD_KEY))
    answers.append(send(entry, BAD_KEY, Idempotency_Key="not-valid"))
    entry.peers.outcomes = [lambda cancellation: 1 / 0]
    answers.append(send(entry, KEY))
    assert [a.status for a in answers] == [200, 401, 503, 504, 504]
    output = [
        *(repr(answer) for answer in answers),
        repr(events),
        repr(entry.snapshot_store.snapshot),
        repr(metrics.totals_by_name),
        repr(capfd.readouterr()),
    ]
    for key in (KEY, BAD_KEY):
        assert [text for text in output if key in text] == []


@pytest.mark.parametrize(
    ("proxy", "expected"),
    [
        ({"keyless_requests": "local-calls"}, Valid),
        ({"keyless_requests": "maybe"}, Invalid),
        ({"accounts_lease_seconds": 0.5}, Valid),
        ({"accounts_lease_seconds": 5}, Valid),
        ({"accounts_lease_seconds": -1}, Invalid),
        ({"headers": {"account_key": ""}}, Invalid),
    ],
)
def test_the_settings_of_accounts_are_checked(tmp_path, proxy, expected):
    result = load_planned(tmp_path, "proxy", proxy=proxy)
    assert isinstance(result, expected)
    if expected is Invalid:
        assert f"proxy.{next(iter(proxy))}" in str(result.problems)
