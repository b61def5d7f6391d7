"""Client accounts: records, the check of a key, freshness and rank."""

import itertools
import math

import pytest

from verbenanotch.accounts import (
    Admitted,
    Freshness,
    KeyMissing,
    KeyUnknown,
    Postponed,
    VersionFreshness,
    account_names_by_key_digest,
    account_record,
    check_key,
    combined_priority,
    key_digest,
)
from verbenanotch.accounts._check import (
    BEHIND,
    MAX_CONFIRMATION_AGE_SECONDS,
    UNCONFIRMED,
)
from verbenanotch.catalog import NO_VERSION, ClientAccount, Version
from verbenanotch.membership import encode_entry
from verbenanotch.routing import DeadlineQueue

KEY = "key-of-the-first"
ACCOUNTS = {
    "first": account_record(ClientAccount(keys=(KEY, "second-key"))),
    "second": account_record(ClientAccount(keys=("other",), priority=2)),
}
NAMES_BY_DIGEST = account_names_by_key_digest(ACCOUNTS)
OLD, NEW = Version(epoch=1, index=1), Version(epoch=1, index=2)
CURRENT = Freshness(own=NEW, newest=NEW, age_seconds=0.0)
BEHIND_VERSION = Freshness(own=OLD, newest=NEW, age_seconds=0.0)
SILENT = Freshness(
    own=NEW, newest=NEW, age_seconds=MAX_CONFIRMATION_AGE_SECONDS + 0.1
)


def check(key, *, freshness=CURRENT, public=False, keyless=True, lease=0.0):
    return check_key(
        key,
        names_by_digest=NAMES_BY_DIGEST,
        is_public=public,
        accepts_keyless=keyless,
        freshness=freshness,
        lease_seconds=lease,
    )


def test_a_record_has_no_key():
    encoded = encode_entry(ACCOUNTS["first"])
    assert KEY.encode() not in encoded
    assert KEY not in repr(ACCOUNTS) + repr(ClientAccount(keys=(KEY,)))
    assert key_digest(KEY) in encoded


def test_the_order_of_keys_does_not_change_a_record():
    assert ACCOUNTS["first"] == account_record(
        ClientAccount(keys=("second-key", KEY))
    )


def test_a_known_key_names_its_account():
    assert check(KEY) == Admitted(account="first")
    assert check("other") == Admitted(account="second")


@pytest.mark.parametrize("freshness", [BEHIND_VERSION, SILENT, Freshness()])
def test_a_known_key_is_admitted_by_an_old_version(freshness):
    assert check(KEY, freshness=freshness) == Admitted(account="first")


@pytest.mark.parametrize("key", ["", "unknown", KEY + " ", KEY.upper()])
def test_an_unknown_key_is_refused_by_the_newest_version(key):
    assert check(key) == KeyUnknown()


@pytest.mark.parametrize("freshness", [BEHIND_VERSION, SILENT, Freshness()])
@pytest.mark.parametrize("key", ["unknown", None])
def test_a_proxy_that_may_be_behind_refuses_no_key(freshness, key):
    decision = check(key, freshness=freshness, keyless=False)
    assert isinstance(decision, Postponed)
    assert decision.reason == BEHIND


def test_a_request_without_a_key_is_a_local_call_or_refused():
    assert check(None, keyless=True) == Admitted()
    assert check(None, keyless=False) == KeyMissing()


def test_a_public_route_needs_no_key_and_names_a_known_one():
    options = {"public": True, "keyless": False, "freshness": SILENT}
    assert check(None, lease=0.5, **options) == Admitted()
    assert check("unknown", lease=0.5, **options) == Admitted()
    assert check(KEY, lease=0.5, **options) == Admitted(account="first")


@pytest.mark.parametrize("key", [KEY, "unknown", None])
def test_a_version_that_is_not_confirmed_for_the_lease_admits_nothing(key):
    decision = check(key, lease=1.0, freshness=SILENT)
    assert decision == Postponed(reason=UNCONFIRMED)
    assert check(KEY, lease=2.0, freshness=SILENT) == Admitted(account="first")
    assert check(KEY, lease=0.0, freshness=Freshness()) == Admitted(
        account="first"
    )


class OwnVersion:
    """The version of a proxy, which a test changes."""

    def __init__(self):
        """Start with the old version."""
        self.version = OLD

    def __call__(self):
        """Return the version."""
        return self.version


@pytest.fixture
def own():
    return OwnVersion()


@pytest.fixture
def freshness(own):
    return VersionFreshness(own_version=own)


def test_before_the_first_answer_a_proxy_may_be_behind(freshness):
    assert freshness.at(0.0).age_seconds == math.inf
    assert freshness.at(0.0).may_be_behind


def test_the_age_counts_from_the_renewal_that_was_confirmed(freshness):
    freshness.record(OLD, 5.0)
    freshness.record(OLD, 4.0)
    assert freshness.at(5.5).age_seconds == 0.5
    assert not freshness.at(5.0 + MAX_CONFIRMATION_AGE_SECONDS).may_be_behind
    assert freshness.at(5.1 + MAX_CONFIRMATION_AGE_SECONDS).may_be_behind


def test_a_newer_version_is_remembered_until_it_is_active(freshness, own):
    freshness.record(NEW, 1.0)
    freshness.record(OLD, 2.0)
    assert freshness.at(2.0).may_be_behind
    own.version = NEW
    freshness.record(NEW, 3.0)
    assert not freshness.at(3.0).may_be_behind


def test_a_control_host_that_is_behind_confirms_nothing(freshness, own):
    own.version = NEW
    freshness.record(OLD, 1.0)
    freshness.record(NO_VERSION, 2.0)
    freshness.record(NEW, None)
    assert freshness.at(2.0).age_seconds == math.inf


def test_the_account_goes_before_the_route():
    ranks = [
        combined_priority(account, route)
        for account in (None, 0, 1, 7)
        for route in (-9, 0, 3, 10**9)
    ]
    assert ranks == sorted(ranks)
    assert len(set(ranks)) == len(ranks)


def test_calls_of_running_requests_go_before_all_new_work():
    routes = (-(10**9), 0, 10**9)
    for call, work in itertools.product(routes, routes):
        assert combined_priority(None, call) < combined_priority(0, work)


def test_calls_keep_the_order_of_their_routes():
    assert combined_priority(None, 1) < combined_priority(None, 2)


def test_calls_and_urgent_accounts_leave_a_full_queue_first():
    queue = DeadlineQueue(max_length=3, slots=1, service_seconds=0.01)
    refused = []
    for item, account_priority, route_priority in (
        ("later account", 2, 0),
        ("low route", 1, 5),
        ("urgent account", 0, 9),
        ("call", None, 9),
        ("high route", 1, 0),
    ):
        rank = combined_priority(account_priority, route_priority)
        queued = queue.offer(item, 10.0, 0.0, rank=rank)
        refused += queued.refused
    assert refused == ["later account", "low route"]
    order = [queue.dequeue(0.0).item for _ in range(3)]
    assert order == ["call", "urgent account", "high route"]
