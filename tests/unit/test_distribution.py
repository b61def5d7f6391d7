"""Subsets, deltas, the snapshot store, admission and minimum versions."""

import attrs
import eventlet
import pytest
from eventlet import event

from tests.support.control_side import make_mesh, make_target
from verbenanotch.catalog import NO_VERSION, Version
from verbenanotch.distribution import (
    Applied,
    BelowMinimumVersion,
    DanglingReference,
    Outdated,
    SnapshotStore,
    WrongBase,
)
from verbenanotch.distribution._acknowledgements import Acknowledgements
from verbenanotch.distribution._admission import (
    Admission,
    Admitted,
    Queued,
    Refused,
)
from verbenanotch.distribution._control_host_choice import (
    ANSWER_TIMEOUT_SECONDS,
    Candidate,
    StaleDetector,
    choose_control_host,
    is_unresponsive,
)
from verbenanotch.distribution._mesh_state import encode_mesh
from verbenanotch.distribution._messages import Subscribe, Update
from verbenanotch.distribution._minimum_version import (
    MinimumVersionConfirmer,
    MinimumVersionDetermined,
    MinimumVersionUndetermined,
    determine_minimum_version,
)
from verbenanotch.distribution._session import ProxySession, split_update
from verbenanotch.distribution._subscriber import (
    CHECK_INTERVAL_SECONDS,
    CHOICE_INTERVAL_SECONDS,
)
from verbenanotch.membership import (
    ALL_HOSTS,
    EntrySet,
    HostRecord,
    encode_entry,
)


def version(index):
    return Version(epoch=1, index=index)


def make_state(mesh, index):
    return encode_mesh(version=version(index), mesh=mesh, pause=lambda: None)


def host_record(host, service, *, sequence=1):
    return HostRecord(
        host=host,
        availability_zone="z1",
        address="127.0.0.1",
        peer_port=1,
        incarnation=1,
        sequence=sequence,
        targets=(make_target(service, host=host),),
    )


def make_table(*records):
    return EntrySet.from_entries(
        {record.host: encode_entry(record) for record in records}
    )


def make_session(*, entry_services=(), local_services=()):
    return ProxySession(
        host="p",
        connection=None,
        subscription=Subscribe(
            entry_services=tuple(entry_services),
            current_version=NO_VERSION,
            current_digest=0,
            digests_by_service={},
            starting=False,
            minimum_version=NO_VERSION,
        ),
        local_services=frozenset(local_services),
    )


@pytest.fixture
def snapshot_store():
    return SnapshotStore(minimum_version=NO_VERSION)


def test_a_proxy_is_sent_only_what_it_needs(snapshot_store):
    session = make_session(entry_services=["s0"], local_services=["s1"])
    update = session.next_update(
        state=make_state(make_mesh(5), 1), tables_by_service={}
    )
    assert isinstance(snapshot_store.apply(update), Applied)
    assert set(snapshot_store.snapshot.services_by_name) == {"s0", "s1", "s2"}
    assert set(snapshot_store.snapshot.routes_by_name) == {
        "s0-0",
        "s1-0",
        "s2-0",
    }
    assert {item.service for item in update.targets} == {
        ALL_HOSTS,
        "s0",
        "s1",
        "s2",
    }


def test_a_delta_has_only_the_changed_route(snapshot_store):
    session = make_session()
    first = make_mesh(5)
    snapshot_store.apply(
        session.next_update(state=make_state(first, 1), tables_by_service={})
    )
    route = attrs.evolve(first.routes["s3-0"], timeout_ms=9)
    second = attrs.evolve(first, routes={**first.routes, "s3-0": route})
    update = session.next_update(
        state=make_state(second, 2), tables_by_service={}
    )
    assert set(update.mesh[0].routes) == {"s3-0"}
    assert update.mesh[0].services == {} and update.targets == ()
    assert snapshot_store.apply(update) == Applied(version=version(2))
    assert snapshot_store.snapshot.routes_by_name == second.routes


def test_targets_are_added_and_removed_with_their_service(
    snapshot_store,
):
    session = make_session()
    tables = {"s1": make_table(host_record("h1", "s1"))}
    snapshot_store.apply(
        session.next_update(
            state=make_state(make_mesh(1), 1), tables_by_service=tables
        )
    )
    assert snapshot_store.snapshot.target_ids_by_service == {}
    snapshot_before = snapshot_store.snapshot
    update = session.next_update(
        state=make_state(make_mesh(2), 2), tables_by_service=tables
    )
    snapshot_store.apply(update)
    assert snapshot_store.snapshot.target_ids_by_service == {
        "s1": ("s1/h1:80",)
    }
    assert snapshot_store.snapshot.hosts_by_name["h1"].targets
    assert snapshot_before.routes_by_name.keys() == {"s0-0"}
    snapshot_store.apply(
        session.next_update(
            state=make_state(make_mesh(1), 3), tables_by_service=tables
        )
    )
    assert snapshot_store.snapshot.targets_by_id == {}
    assert snapshot_store.snapshot.hosts_by_name == {}


def test_a_route_without_its_service_or_targets_is_refused(snapshot_store):
    session = make_session()
    update = session.next_update(
        state=make_state(make_mesh(2), 1), tables_by_service={}
    )
    assert snapshot_store.apply(
        attrs.evolve(update, targets=())
    ) == DanglingReference(route="s0-0", service="s0")
    assert snapshot_store.snapshot.version == NO_VERSION


def test_an_update_with_wrong_base_or_digest_is_not_applied(snapshot_store):
    session = make_session()
    first = session.next_update(
        state=make_state(make_mesh(1), 1), tables_by_service={}
    )
    second = session.next_update(
        state=make_state(make_mesh(2), 2), tables_by_service={}
    )
    assert snapshot_store.apply(second) == WrongBase(mesh=True, services=())
    wrong_digest = attrs.evolve(
        first, mesh=(attrs.evolve(first.mesh[0], digest=1),)
    )
    assert snapshot_store.apply(wrong_digest) == WrongBase(
        mesh=True, services=()
    )
    assert snapshot_store.snapshot.version == NO_VERSION
    snapshot_store.apply(first)
    assert snapshot_store.apply(second) == Applied(version=version(2))


def test_a_mismatched_table_is_reported_and_the_others_are_applied(
    snapshot_store,
):
    session = make_session()
    mesh_state = make_state(make_mesh(2), 1)
    snapshot_store.apply(
        session.next_update(state=mesh_state, tables_by_service={})
    )
    tables = {
        "s0": make_table(host_record("h0", "s0")),
        "s1": make_table(host_record("h1", "s1")),
    }
    update = session.next_update(state=mesh_state, tables_by_service=tables)
    targets = tuple(
        attrs.evolve(item, digest=1) if item.service == "s0" else item
        for item in update.targets
    )
    outcome = snapshot_store.apply(attrs.evolve(update, targets=targets))
    assert outcome == Applied(version=version(1), services=("s0",))
    assert set(snapshot_store.snapshot.targets_by_id) == {"s1/h1:80"}
    session.mark_unsent(mesh=False, services=outcome.services)
    update = session.next_update(state=mesh_state, tables_by_service=tables)
    assert [item.service for item in update.targets] == ["s0"]
    snapshot_store.apply(update)
    assert len(snapshot_store.snapshot.targets_by_id) == 2


def test_an_older_version_is_not_applied(snapshot_store):
    new, old = make_session(), make_session()
    snapshot_store.apply(
        new.next_update(
            state=make_state(make_mesh(2), 2), tables_by_service={}
        )
    )
    update = old.next_update(
        state=make_state(make_mesh(1), 1), tables_by_service={}
    )
    assert snapshot_store.apply(update) == Outdated(current=version(2))
    assert snapshot_store.snapshot.version == version(2)


def test_no_version_is_applied_below_or_without_a_minimum_version():
    snapshot_store = SnapshotStore()
    update = make_session().next_update(
        state=make_state(make_mesh(1), 3), tables_by_service={}
    )
    assert snapshot_store.apply(update) == BelowMinimumVersion(
        minimum_version=None
    )
    snapshot_store.raise_minimum_version(version(4))
    assert snapshot_store.apply(update) == BelowMinimumVersion(
        minimum_version=version(4)
    )
    snapshot_store.raise_minimum_version(version(2))
    assert snapshot_store.minimum_version == version(4)


def test_an_older_record_of_a_host_is_ignored(snapshot_store):
    session, stale = make_session(), make_session()
    mesh_state = make_state(make_mesh(1), 1)
    tables = {"s0": make_table(host_record("h0", "s0", sequence=5))}
    snapshot_store.apply(
        session.next_update(state=mesh_state, tables_by_service=tables)
    )
    tables = {"s0": make_table(host_record("h0", "s0", sequence=4))}
    update = stale.next_update(state=mesh_state, tables_by_service=tables)
    snapshot_store.apply(attrs.evolve(update, mesh=()))
    assert snapshot_store.snapshot.hosts_by_name["h0"].sequence == 5


def test_an_update_is_refused_if_another_is_applied_during_it(snapshot_store):
    update = make_session().next_update(
        state=make_state(make_mesh(300), 1), tables_by_service={}
    )
    later = make_session().next_update(
        state=make_state(make_mesh(1), 2), tables_by_service={}
    )
    pauses = []

    def pause():
        if not pauses:
            pauses.append(1)
            snapshot_store.apply(later)

    assert isinstance(snapshot_store.apply(update, pause=pause), WrongBase)
    assert snapshot_store.snapshot.version == version(2)


def test_a_large_update_is_split_into_parts_that_apply_in_order(
    snapshot_store,
):
    session = make_session()
    names = [f"s{number}" for number in range(6)]
    tables = {
        name: make_table(host_record(f"h-{name}", name)) for name in names
    }
    update = session.next_update(
        state=make_state(make_mesh(6), 1), tables_by_service=tables
    )
    parts = split_update(update, max_bytes=150)
    assert len(parts) > 2
    assert [len(part.mesh) for part in parts] == [0] * (len(parts) - 1) + [1]
    for part in parts:
        assert isinstance(snapshot_store.apply(part), Applied)
    assert len(snapshot_store.snapshot.targets_by_id) == 6
    assert snapshot_store.snapshot.version == version(1)


def test_no_update_is_made_without_changes():
    session = make_session()
    mesh_state = make_state(make_mesh(1), 1)
    assert isinstance(
        session.next_update(state=mesh_state, tables_by_service={}), Update
    )
    assert session.next_update(state=mesh_state, tables_by_service={}) is None


def test_admission_is_limited_and_prefers_newer_versions():
    admission = Admission(limit=1)
    assert admission.request("a", current_version=version(1)) == Admitted()
    for index, key in enumerate("bcde"):
        assert (
            admission.request(key, current_version=version(index)) == Queued()
        )
    assert isinstance(
        admission.request("f", current_version=version(9)), Refused
    )
    assert admission.finish("a") == "e"
    assert admission.finish("b") is None
    assert admission.finish("e") == "d"


def test_the_choice_is_spread_and_avoids_busy_and_stale_hosts():
    names = [f"c{number}" for number in range(3)]

    def choose(host, **changes):
        return choose_control_host(
            [
                Candidate(
                    name=name,
                    current=version(changes.get(name, 5)),
                    busy_until=changes.get(f"busy_{name}", 0.0),
                )
                for name in names
            ],
            host=host,
            at_least=version(5),
            now=1.0,
        )

    chosen = [choose(f"p{number}") for number in range(90)]
    assert all(chosen.count(name) >= 15 for name in names)
    first = choose("p0")
    assert choose("p0", **{first: 4}) != first
    assert choose("p0", **{f"busy_{first}": 9.0}) != first
    assert choose("p0", busy_c0=9.0, busy_c1=9.0, busy_c2=9.0) is None


def test_control_hosts_of_the_own_zone_are_chosen_first():
    """Updates of one control host to all zones cross between them."""

    def choose(*, near_version=5, near_busy_until=0.0):
        near = {"c0", "c1"}
        return choose_control_host(
            [
                Candidate(
                    name=name,
                    current=version(near_version if name in near else 5),
                    busy_until=near_busy_until if name in near else 0.0,
                    is_in_own_zone=name in near,
                )
                for name in ("c0", "c1", "c2", "c3", "c4")
            ],
            host=host,
            at_least=version(5),
            now=1.0,
        )

    chosen = set()
    for number in range(20):
        host = f"p{number}"
        chosen.add(choose())
        assert choose(near_version=4) not in {"c0", "c1"}
        assert choose(near_busy_until=9.0) not in {"c0", "c1"}
    assert chosen == {"c0", "c1"}


def test_a_control_host_is_stale_only_after_a_time_behind_another():
    detector = StaleDetector()
    old, new = version(1), version(2)
    assert not detector.is_stale(subscribed=old, others=[new], now=0.0)
    assert not detector.is_stale(subscribed=new, others=[new], now=1.0)
    assert not detector.is_stale(subscribed=old, others=[new], now=2.0)
    assert detector.is_stale(subscribed=old, others=[new], now=4.0)


def test_a_control_host_is_stale_after_half_a_second_behind():
    """Renewals of others reveal a version that the subscribed one didn't send.

    They are a second apart, and the change must be active within two seconds.
    """
    detector = StaleDetector()
    old, new = version(1), version(2)
    assert not detector.is_stale(subscribed=old, others=[new], now=1.0)
    assert detector.is_stale(subscribed=old, others=[new], now=1.5)


def test_a_control_host_is_unresponsive_only_if_another_answers():
    def unresponsive(unanswered_since, *others):
        return is_unresponsive(
            unanswered_since=unanswered_since,
            others_unanswered_since=others,
            now=5.0,
        )

    assert unresponsive(4.5, None)
    assert unresponsive(4.5, 3.0, 4.9)
    assert not unresponsive(4.7, None)
    assert not unresponsive(None, None)
    assert not unresponsive(4.5)
    assert not unresponsive(4.5, 4.0, 3.0)


def test_without_a_quorum_all_control_hosts_must_answer():
    versions_by_control_host = {"c1": version(4)}
    assert determine_minimum_version(
        control_hosts={"c1", "c2"},
        versions_by_control_host=versions_by_control_host,
        peer_versions=[version(5)],
    ) == MinimumVersionUndetermined(silent=("c2",))
    assert determine_minimum_version(
        control_hosts={"c1", "c2"},
        versions_by_control_host={
            **versions_by_control_host,
            "c2": version(3),
        },
        peer_versions=[version(5)],
    ) == MinimumVersionDetermined(version=version(5))


def test_waiting_requests_share_one_quorum_read():
    timeouts, read_ends = [], event.Event()

    def confirm(timeout_seconds):
        timeouts.append(timeout_seconds)
        return read_ends.wait()

    confirmer = MinimumVersionConfirmer(confirm=confirm, timeout_seconds=1.0)
    first = eventlet.spawn(confirmer.request_confirmation)
    eventlet.sleep(0)
    eventlet.sleep(0)
    later = [eventlet.spawn(confirmer.request_confirmation) for _ in range(5)]
    eventlet.sleep(0)
    read_ends.send(True)
    assert first.wait() and all(item.wait() for item in later)
    # Requests made during the first read need a read that begins later.
    assert len(timeouts) == 2


def test_a_failed_quorum_read_is_cached():
    reads = []
    confirmer = MinimumVersionConfirmer(
        confirm=lambda timeout_seconds: bool(reads.append(1)),
        timeout_seconds=1.0,
    )
    assert not confirmer.request_confirmation()
    assert not confirmer.request_confirmation()
    assert len(reads) == 1


def test_a_summary_has_the_lowest_version_and_the_laggards():
    acknowledgements = Acknowledgements()
    acknowledgements.record("a", version(2))
    acknowledgements.record("b", version(1))
    summary = acknowledgements.summary(
        hosts=["a", "b"],
        availability_zone="z1",
        source="c1",
        current=version(2),
    )
    assert (summary.lowest, summary.count) == (version(1), 2)
    assert summary.laggards == ("b",)
    acknowledgements.retain(["a"])
    assert acknowledgements.version("b") == NO_VERSION


def test_an_unresponsive_control_host_is_replaced_within_a_second():
    """Versions must be active within two seconds; an election may take one."""
    longest_seconds = (
        CHECK_INTERVAL_SECONDS
        + ANSWER_TIMEOUT_SECONDS
        + CHOICE_INTERVAL_SECONDS
    )
    assert longest_seconds <= 1.0


def test_a_restarted_control_host_sends_versions_before_targets(
    snapshot_store,
):
    """It knows no hosts yet: the proxy keeps its current targets."""
    old_session = make_session(entry_services=["s0"])
    tables = {"s0": make_table(host_record("a", "s0"), host_record("b", "s0"))}
    snapshot_store.apply(
        old_session.next_update(
            state=make_state(make_mesh(1), 1), tables_by_service=tables
        )
    )
    target_ids = snapshot_store.snapshot.target_ids_by_service["s0"]
    session = make_session(entry_services=["s0", "s1"])
    session.sent_subset = old_session.sent_subset
    session.current_services = set(snapshot_store.digests_by_service)
    changed = make_state(make_mesh(1, timeout_ms=3000), 2)
    update = session.next_update(
        state=changed, tables_by_service={}, targets_incomplete=True
    )
    assert isinstance(snapshot_store.apply(update), Applied)
    assert snapshot_store.snapshot.version == version(2)
    assert snapshot_store.snapshot.target_ids_by_service["s0"] == target_ids
    complete_tables = {"s0": make_table(host_record("a", "s0"))}
    snapshot_store.apply(
        session.next_update(state=changed, tables_by_service=complete_tables)
    )
    assert len(snapshot_store.snapshot.target_ids_by_service["s0"]) == 1


def test_a_version_that_needs_unknown_targets_is_delayed():
    session = make_session(entry_services=["s0", "s1"])
    session.current_services = {ALL_HOSTS, "s0"}
    options = {"state": make_state(make_mesh(2), 1), "tables_by_service": {}}
    assert session.next_update(**options, targets_incomplete=True) is None
    assert session.next_update(**options) is not None
