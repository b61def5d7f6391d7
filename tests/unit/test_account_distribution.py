"""Client accounts in subsets, deltas and the snapshot store."""

import attrs
import pytest

from tests.support.control_side import make_mesh
from tests.unit.test_distribution import make_session, make_state, version
from verbenanotch.accounts import key_digest
from verbenanotch.catalog import NO_VERSION, ClientAccount
from verbenanotch.distribution import (
    Applied,
    BelowMinimumVersion,
    Outdated,
    SnapshotStore,
    WrongBase,
)
from verbenanotch.distribution._session import split_update
from verbenanotch.wire import from_plain, to_plain

ACCOUNTS = {
    f"account-{number}": ClientAccount(
        keys=(f"key-{number}",), priority=number, rate=number / 2, burst=1.0
    )
    for number in range(20)
}
MESH = attrs.evolve(make_mesh(5), client_accounts=ACCOUNTS)


@pytest.fixture
def snapshot_store():
    return SnapshotStore(minimum_version=NO_VERSION)


def make_update(session, mesh, index):
    return session.next_update(
        state=make_state(mesh, index), tables_by_service={}
    )


def with_account(mesh, name, account):
    accounts = {**mesh.client_accounts, name: account}
    return attrs.evolve(mesh, client_accounts=accounts)


def without_account(mesh, name):
    accounts = dict(mesh.client_accounts)
    del accounts[name]
    return attrs.evolve(mesh, client_accounts=accounts)


def names_by_key(snapshot_store, *keys):
    names = snapshot_store.snapshot.account_names_by_key_digest
    return [names.get(key_digest(key)) for key in keys]


def test_every_proxy_is_sent_all_accounts(snapshot_store):
    session = make_session(entry_services=["s0"])
    update = make_update(session, MESH, 1)
    update = from_plain(to_plain(update), type(update))
    assert snapshot_store.apply(update) == Applied(version=version(1))
    snapshot = snapshot_store.snapshot
    assert snapshot.accounts_by_name.keys() == ACCOUNTS.keys()
    record = snapshot.accounts_by_name["account-3"]
    assert (record.priority, record.rate, record.burst) == (3, 1.5, 1.0)
    assert names_by_key(snapshot_store, "key-3", "none") == ["account-3", None]


def test_no_key_is_sent_to_a_proxy():
    update = make_update(make_session(), MESH, 1)
    for data in update.mesh[0].accounts.values():
        assert b"key-" not in data


def test_without_accounts_the_digest_is_that_of_services_and_routes():
    plain, full = make_state(make_mesh(5), 1).full, make_state(MESH, 1).full
    assert plain.digest != full.digest
    factor_of_routes = 3
    assert plain.digest == (
        plain.services.digest + factor_of_routes * plain.routes.digest
    ) % (1 << 64)


def test_a_changed_key_costs_one_account(snapshot_store):
    session = make_session()
    snapshot_store.apply(make_update(session, MESH, 1))
    changed = with_account(MESH, "account-4", ClientAccount(keys=("fresh",)))
    update = make_update(session, changed, 2)
    assert list(update.mesh[0].accounts) == ["account-4"]
    assert update.mesh[0].routes == update.mesh[0].services == {}
    snapshot_store.apply(update)
    assert names_by_key(snapshot_store, "fresh", "key-4", "key-5") == [
        "account-4",
        None,
        "account-5",
    ]


def test_a_key_may_move_to_another_account(snapshot_store):
    session = make_session()
    snapshot_store.apply(make_update(session, MESH, 1))
    moved = with_account(MESH, "account-1", ClientAccount())
    moved = with_account(moved, "account-2", ClientAccount(keys=("key-1",)))
    snapshot_store.apply(make_update(session, moved, 2))
    assert names_by_key(snapshot_store, "key-1", "key-2") == [
        "account-2",
        None,
    ]


def test_a_removed_account_is_gone_by_delta_and_in_full(snapshot_store):
    session = make_session()
    snapshot_store.apply(make_update(session, MESH, 1))
    without = without_account(MESH, "account-7")
    update = make_update(session, without, 2)
    assert update.mesh[0].removed_accounts == ("account-7",)
    snapshot_store.apply(update)
    assert names_by_key(snapshot_store, "key-7", "key-8") == [
        None,
        "account-8",
    ]
    session.mark_unsent(mesh=True, services=())
    without = without_account(without, "account-8")
    update = make_update(session, without, 3)
    assert update.mesh[0].full
    snapshot_store.apply(update)
    assert names_by_key(snapshot_store, "key-8", "key-9") == [
        None,
        "account-9",
    ]


def test_accounts_that_do_not_match_their_digest_are_not_applied(
    snapshot_store,
):
    session = make_session()
    snapshot_store.apply(make_update(session, MESH, 1))
    update = make_update(session, without_account(MESH, "account-7"), 2)
    broken = attrs.evolve(
        update, mesh=(attrs.evolve(update.mesh[0], removed_accounts=()),)
    )
    assert snapshot_store.apply(broken) == WrongBase(mesh=True, services=())
    assert names_by_key(snapshot_store, "key-7") == ["account-7"]


def test_a_split_update_changes_accounts_with_its_last_chunk(snapshot_store):
    update = make_update(make_session(), MESH, 1)
    chunks = split_update(update, max_bytes=0)
    for chunk in chunks[:-1]:
        assert chunk.mesh == ()
    for chunk in chunks:
        assert snapshot_store.snapshot.accounts_by_name == {}
        snapshot_store.apply(chunk)
    assert snapshot_store.snapshot.accounts_by_name.keys() == ACCOUNTS.keys()


def test_no_older_version_brings_a_withdrawn_key_back(snapshot_store):
    session = make_session()
    old = make_update(session, MESH, 1)
    snapshot_store.apply(old)
    withdrawn = without_account(MESH, "account-7")
    snapshot_store.apply(make_update(session, withdrawn, 2))
    assert snapshot_store.apply(old) == Outdated(current=version(2))
    assert names_by_key(snapshot_store, "key-7") == [None]


def test_a_restarted_proxy_accepts_no_withdrawn_key():
    old = make_update(make_session(), MESH, 1)
    restarted = SnapshotStore()
    assert isinstance(restarted.apply(old), BelowMinimumVersion)
    restarted.raise_minimum_version(version(2))
    assert isinstance(restarted.apply(old), BelowMinimumVersion)
    withdrawn = without_account(MESH, "account-7")
    restarted.apply(make_update(make_session(), withdrawn, 2))
    assert names_by_key(restarted, "key-7", "key-8") == [None, "account-8"]
