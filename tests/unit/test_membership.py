"""Leases, mass expiry and the tables of all zones."""

import attrs
import pytest

from verbenanotch.membership import (
    ALL_HOSTS,
    EntrySet,
    HostRecord,
    Merged,
    PublishedTable,
    Stale,
    TargetRecord,
    TargetRegistry,
    WrongBase,
    ZoneTable,
    ZoneTableUpdate,
    decode_entry,
)

LEASE_SECONDS = 3.0


def host_record(host, *, sequence=1, incarnation=1, zone="z1", service="a"):
    target = TargetRecord(
        target_id=f"{service}/{host}:80",
        service=service,
        address="127.0.0.1",
        port=80,
        slots=4,
        incarnation=1,
    )
    return HostRecord(
        host=host,
        availability_zone=zone,
        address="127.0.0.1",
        peer_port=70,
        incarnation=incarnation,
        sequence=sequence,
        targets=(target,),
    )


@pytest.fixture
def table():
    return ZoneTable(availability_zone="z1", lease_seconds=LEASE_SECONDS)


def announce(table, count, *, now=0.0):
    for number in range(count):
        table.announce(host_record(f"h{number}"), now=now)


def renew(table, host, *, now):
    return table.renew(host=host, incarnation=1, sequence=1, now=now)


def zone_update(published, *, sequence, base=None, full=False, digest=None):
    delta = (base or EntrySet()).delta_to(published.entries)
    return ZoneTableUpdate(
        availability_zone="z2",
        source="c2",
        source_incarnation=5,
        sequence=sequence,
        full=full,
        base_digest=base.digest if base else 0,
        digest=published.entries.digest if digest is None else digest,
        changed=delta.changed,
        removed=delta.removed,
    )


def test_a_lease_expires_unless_renewed(table):
    announce(table, 2)
    assert renew(table, "h0", now=2.0)
    assert table.expire(now=3.5).dropped == ("h1",)
    assert set(table.records_by_host) == {"h0"}


def test_an_older_record_is_ignored(table):
    table.announce(host_record("h0", sequence=5), now=0.0)
    assert not table.announce(host_record("h0", sequence=4), now=2.9)
    assert table.get("h0").sequence == 5
    assert table.expire(now=3.0).dropped == ("h0",)


def test_mass_expiry_keeps_the_hosts_as_suspect(table):
    announce(table, 10)
    for number in range(6):
        renew(table, f"h{number}", now=2.0)
    expiry = table.expire(now=3.5)
    assert expiry.dropped == ()
    assert len(expiry.suspected) == 4
    assert len(table.records_by_host) == 10
    assert len(table.direct_records_by_host) == 6
    assert renew(table, "h9", now=4.0)
    assert "h9" not in table.suspect_hosts


def test_mass_expiry_counts_all_leases_ended_within_one_lease_time(table):
    for number in range(10):
        table.announce(host_record(f"h{number}"), now=number * 0.1)
    expiries = [table.expire(now=3.0 + step * 0.1) for step in range(11)]
    remaining = len(table.records_by_host)
    assert sum(len(expiry.dropped) for expiry in expiries) == 2
    assert remaining == 8


def test_suspects_are_dropped_only_while_most_hosts_are_live(table):
    announce(table, 10)
    table.expire(now=4.0)
    assert table.expire(now=1000.0).dropped == ()
    for number in range(6):
        renew(table, f"h{number}", now=1000.0)
    assert len(table.expire(now=1001.0).dropped) == 4


def test_a_remote_lease_keeps_a_host_until_it_is_removed(table):
    announce(table, 1)
    table.add_remote_lease(host_record("h0"), source="c2", now=1.0)
    assert table.expire(now=9.0).dropped == ()
    table.remove_remote_lease(
        host="h0", source="c2", now=9.0, grace_seconds=LEASE_SECONDS
    )
    assert table.expire(now=9.5).dropped == ()
    assert table.expire(now=12.0).dropped == ("h0",)


def test_a_remote_lease_does_not_count_as_a_direct_lease(table):
    table.add_remote_lease(host_record("h0"), source="c2", now=0.0)
    assert table.direct_records_by_host == {}
    sequence_before = table.sequence
    table.announce(host_record("h0"), now=0.0)
    assert set(table.direct_records_by_host) == {"h0"}
    assert table.sequence > sequence_before


def test_an_expired_direct_lease_ends_despite_a_remote_lease(table):
    announce(table, 1)
    table.add_remote_lease(host_record("h0"), source="c2", now=1.0)
    sequence_before = table.sequence
    table.expire(now=4.0)
    assert "h0" in table.records_by_host
    assert table.direct_records_by_host == {}
    assert table.sequence > sequence_before


def test_release_keeps_a_record_of_a_higher_incarnation(table):
    table.announce(host_record("h0", incarnation=2), now=0.0)
    table.release(host="h0", incarnation=1)
    assert "h0" in table.records_by_host
    table.release(host="h0", incarnation=2)
    assert table.records_by_host == {}


def test_a_delta_gives_the_same_digest_as_the_full_set():
    first = EntrySet.from_entries({"a": b"1", "b": b"2"})
    second = EntrySet.from_entries({"b": b"3", "c": b"4"})
    delta = first.delta_to(second)
    result = first.evolve(changed=delta.changed, removed=delta.removed)
    assert result.digest == second.digest != first.digest
    assert result.entries_by_key == second.entries_by_key
    assert (
        second.subset(["c", "x"]).digest
        == EntrySet.from_entries({"c": b"4"}).digest
    )


def test_a_zone_delta_is_rejected_unless_base_and_digest_match(table):
    target_registry = TargetRegistry(zone_table=table)
    remote = PublishedTable()
    remote.replace_records({"r0": host_record("r0", zone="z2")})
    base = remote.entries
    assert isinstance(
        target_registry.receive(
            zone_update(remote, sequence=1, base=base), now=0.0
        ),
        WrongBase,
    )
    full = zone_update(remote, sequence=1, full=True)
    assert target_registry.receive(full, now=0.0) == Merged(
        hosts=frozenset({"r0"})
    )
    assert isinstance(target_registry.receive(full, now=0.0), Stale)
    remote.replace_records({"r1": host_record("r1", zone="z2")})
    wrong_digest = zone_update(remote, sequence=2, base=base, digest=7)
    assert isinstance(
        target_registry.receive(wrong_digest, now=0.0), WrongBase
    )
    assert set(target_registry.records_by_host) == {"r0"}
    target_registry.receive(
        zone_update(remote, sequence=2, base=base), now=0.0
    )
    assert set(target_registry.records_by_host) == {"r1"}


def test_many_hosts_missing_from_a_new_source_are_retained(table):
    target_registry = TargetRegistry(zone_table=table)
    remote, empty = PublishedTable(), PublishedTable()
    hosts = {f"r{n}": host_record(f"r{n}", zone="z2") for n in range(4)}
    remote.replace_records(hosts)
    target_registry.receive(
        zone_update(remote, sequence=1, full=True), now=0.0
    )
    other = attrs.evolve(
        zone_update(empty, sequence=1, full=True), source="c3"
    )
    target_registry.receive(other, now=0.0)
    assert set(target_registry.records_by_host) == set(hosts)
    target_registry.expire(now=10.0)
    assert set(target_registry.records_by_host) == set(hosts)
    target_registry.expire(now=1000.0)
    assert target_registry.records_by_host == {}


def test_one_host_missing_from_a_new_source_is_dropped(table):
    target_registry = TargetRegistry(zone_table=table)
    remote, other = PublishedTable(), PublishedTable()
    hosts = {f"r{n}": host_record(f"r{n}", zone="z2") for n in range(4)}
    remote.replace_records(hosts)
    target_registry.receive(
        zone_update(remote, sequence=1, full=True), now=0.0
    )
    del hosts["r0"]
    other.replace_records(hosts)
    update = zone_update(other, sequence=1, full=True)
    target_registry.receive(attrs.evolve(update, source="c3"), now=0.0)
    assert set(target_registry.records_by_host) == {"r1", "r2", "r3"}


def test_both_hosts_of_a_zone_of_two_become_suspect(table):
    announce(table, 2)
    assert len(table.expire(now=4.0).suspected) == 2


def test_a_service_has_the_targets_of_all_zones(table):
    target_registry = TargetRegistry(zone_table=table)
    announce(table, 1)
    target_registry.refresh_zone()
    remote = PublishedTable()
    remote.replace_records({"r0": host_record("r0", zone="z2")})
    target_registry.receive(
        zone_update(remote, sequence=1, full=True), now=0.0
    )
    entries = target_registry.entries_by_service["a"].entries_by_key
    assert set(entries) == {"h0", "r0"}
    assert set(
        target_registry.entries_by_service[ALL_HOSTS].entries_by_key
    ) == {"h0"}
    drained = attrs.evolve(
        host_record("h0", sequence=2),
        targets=(attrs.evolve(host_record("h0").targets[0], draining=True),),
    )
    table.announce(drained, now=0.0)
    target_registry.refresh({"h0"})
    entries = target_registry.entries_by_service["a"].entries_by_key
    assert decode_entry(entries["h0"], HostRecord).targets[0].draining


def test_a_published_table_gives_deltas_from_recent_states():
    published = PublishedTable()
    published.replace_records({"h0": host_record("h0")})
    digest = published.entries.digest
    published.replace_records(
        {"h0": host_record("h0"), "h1": host_record("h1")}
    )
    assert set(published.delta_from(digest).changed) == {"h1"}
    assert published.delta_from(12345) is None


def drained_record(host, **fields):
    record = host_record(host, **fields)
    return attrs.evolve(
        record, targets=(attrs.evolve(record.targets[0], draining=True),)
    )


def test_a_drain_outlasts_the_proxy_that_announced_it(table):
    """Guard against a drain that only the target's proxy remembers."""
    table.announce(drained_record("h0"), now=0.0)
    table.announce(host_record("h0", incarnation=2), now=0.1)
    assert table.get("h0").targets[0].draining
    table.release(host="h0", incarnation=2)
    table.announce(host_record("h0", incarnation=3), now=60.0)
    assert table.get("h0").targets[0].draining


def test_a_drain_that_another_control_host_knows_is_kept(table):
    table.add_remote_lease(drained_record("h0"), source="c2", now=0.0)
    table.announce(host_record("h0", incarnation=2), now=0.1)
    assert table.get("h0").targets[0].draining


def test_a_drain_ends_with_the_start_of_the_target(table):
    table.announce(drained_record("h0"), now=0.0)
    record = host_record("h0", incarnation=2)
    target = attrs.evolve(record.targets[0], incarnation=2)
    table.announce(attrs.evolve(record, targets=(target,)), now=0.1)
    assert not table.get("h0").targets[0].draining
