"""Which announcements of the host's targets count."""

import attrs
import pytest

from tests.unit.test_proxy_peers import SETTINGS
from verbenanotch.membership import TargetRecord
from verbenanotch.proxy import LocalTargets

OLD = TargetRecord(
    target_id="i-1",
    service="pay",
    address="127.0.0.1",
    port=1,
    slots=4,
    incarnation=100,
)


@pytest.fixture
def targets():
    return LocalTargets(
        settings=SETTINGS,
        incarnation=1,
        on_change=lambda: None,
        known_services=lambda: {"pay": None},
    )


def evolve(**fields):
    return attrs.evolve(OLD, **fields)


def test_a_late_report_does_not_end_a_drain(targets):
    assert targets.announce(OLD, sequence=1)
    assert targets.announce(evolve(draining=True), sequence=3)
    assert not targets.announce(OLD, sequence=2)
    assert targets.targets_by_id["i-1"].record.draining


def test_a_late_report_does_not_bring_a_target_back(targets):
    targets.announce(OLD, sequence=5)
    targets.remove("i-1")
    assert not targets.announce(OLD, sequence=4)
    assert not targets.announce(OLD, sequence=5)
    assert targets.targets_by_id == {}


def test_the_same_id_counts_anew_after_a_restart(targets):
    targets.announce(OLD, sequence=9)
    targets.remove("i-1")
    assert targets.announce(evolve(incarnation=200), sequence=1)
    assert not targets.announce(OLD, sequence=10)


def test_the_last_target_at_an_address_takes_its_place(targets):
    targets.announce(OLD, sequence=1)
    later = evolve(target_id="i-2", incarnation=200)
    assert targets.announce(later, sequence=1)
    assert list(targets.targets_by_id) == ["i-2"]
    assert not targets.announce(OLD, sequence=2)
    assert list(targets.targets_by_id) == ["i-2"]


def test_a_report_of_an_unknown_service_harms_nobody(targets):
    targets.announce(OLD, sequence=1)
    forged = evolve(target_id="i-2", service="odd", incarnation=900)
    assert not targets.announce(forged, sequence=1)
    assert list(targets.targets_by_id) == ["i-1"]
    assert targets.service == "pay"


def test_a_returned_connection_of_a_removed_target_is_closed(targets):
    class Connection:
        sock = object()
        closed = False

        def close(self):
            self.closed = True

    targets.announce(OLD, sequence=1)
    connections = targets.targets_by_id["i-1"].connections
    targets.remove("i-1")
    connection = Connection()
    connections.give_back(connection)
    assert connection.closed


def test_a_clock_that_was_set_back_does_not_hide_the_host(targets):
    targets.announce(OLD, sequence=1)
    before = targets.announcement()
    targets.exceed_incarnation(before.incarnation + 500)
    after = targets.announcement()
    assert after.incarnation == before.incarnation + 501
    assert after.order > before.order
    targets.exceed_incarnation(7)
    assert targets.announcement() == after
