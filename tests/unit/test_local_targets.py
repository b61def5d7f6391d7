"""Tests of announcements of local targets and of their discovery."""

import time
from types import SimpleNamespace

import attrs
import eventlet
import pytest

from tests.unit.test_proxy_peers import SETTINGS, make_call
from verbenanotch.conf import HeaderNames
from verbenanotch.membership import TargetRecord
from verbenanotch.proxy import LocalTargets, TargetDiscovery
from verbenanotch.proxy._cancellation import Cancellation

RECORD = TargetRecord(
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


def make_record(**fields):
    return attrs.evolve(RECORD, **fields)


def test_a_late_announcement_does_not_end_a_drain(targets):
    assert targets.announce(RECORD, sequence=1)
    assert targets.announce(make_record(draining=True), sequence=3)
    assert not targets.announce(RECORD, sequence=2)
    assert targets.targets_by_id["i-1"].record.draining


def test_a_late_announcement_does_not_restore_a_removed_target(targets):
    targets.announce(RECORD, sequence=5)
    targets.remove("i-1")
    assert not targets.announce(RECORD, sequence=4)
    assert not targets.announce(RECORD, sequence=5)
    assert targets.targets_by_id == {}


def expire(targets):
    """Let the announcement of each target expire."""
    for target in targets.targets_by_id.values():
        target.expires_at = 0.0
    targets.expire()
    assert targets.targets_by_id == {}


@pytest.mark.parametrize(
    ("incarnation", "sequence"), [(100, 4), (100, 5), (99, 9)]
)
def test_a_late_announcement_does_not_restore_an_expired_target(
    targets, incarnation, sequence
):
    targets.announce(RECORD, sequence=5)
    expire(targets)
    late = make_record(incarnation=incarnation)
    assert not targets.announce(late, sequence=sequence)
    assert targets.targets_by_id == {}


@pytest.mark.parametrize(("incarnation", "sequence"), [(100, 6), (101, 1)])
def test_an_expired_target_returns_with_its_next_announcement(
    targets, incarnation, sequence
):
    targets.announce(RECORD, sequence=5)
    expire(targets)
    later = make_record(incarnation=incarnation)
    assert targets.announce(later, sequence=sequence)
    assert targets.targets_by_id["i-1"].record == later


def test_an_expired_target_stays_drained_until_its_next_incarnation(targets):
    targets.announce(make_record(incarnation=100), sequence=1)
    targets.drain("i-1")
    expire(targets)
    targets.announce(make_record(incarnation=100), sequence=2)
    assert targets.targets_by_id["i-1"].record.draining
    targets.announce(make_record(incarnation=101), sequence=1)
    assert not targets.targets_by_id["i-1"].record.draining


def test_an_expired_target_that_sends_no_sequence_returns(targets):
    """Its renewals are all equal, as on the project's own interface."""
    targets.announce(RECORD)
    expire(targets)
    assert not targets.announce(make_record(incarnation=99))
    assert targets.announce(RECORD)
    targets.remove("i-1")
    assert not targets.announce(RECORD)


def test_a_restarted_target_is_accepted_under_the_same_id(targets):
    targets.announce(RECORD, sequence=9)
    targets.remove("i-1")
    assert targets.announce(make_record(incarnation=200), sequence=1)
    assert not targets.announce(RECORD, sequence=10)


def test_a_later_target_replaces_the_one_at_its_address(targets):
    targets.announce(RECORD, sequence=1)
    later = make_record(target_id="i-2", incarnation=200)
    assert targets.announce(later, sequence=1)
    assert list(targets.targets_by_id) == ["i-2"]
    assert not targets.announce(RECORD, sequence=2)
    assert list(targets.targets_by_id) == ["i-2"]


def test_an_announcement_of_an_unknown_service_is_rejected(targets):
    targets.announce(RECORD, sequence=1)
    unknown_service = make_record(
        target_id="i-2", service="odd", incarnation=900
    )
    assert not targets.announce(unknown_service, sequence=1)
    assert list(targets.targets_by_id) == ["i-1"]
    assert targets.service == "pay"


def test_a_connection_released_after_target_removal_is_closed(targets):
    class Connection:
        sock = object()
        closed = False

        def close(self):
            self.closed = True

    targets.announce(RECORD, sequence=1)
    connections = targets.targets_by_id["i-1"].connections
    targets.remove("i-1")
    connection = Connection()
    connections.release(connection)
    assert connection.closed


def test_the_incarnation_is_raised_above_one_known_elsewhere(targets):
    """A host whose clock was set back announces itself again.

    Other hosts know a higher incarnation from before and would ignore it.
    """
    targets.announce(RECORD, sequence=1)
    before = targets.announcement()
    targets.raise_incarnation_above(before.incarnation + 500)
    after = targets.announcement()
    assert after.incarnation == before.incarnation + 501
    assert after.order > before.order
    targets.raise_incarnation_above(7)
    assert targets.announcement() == after


def test_a_late_announcement_does_not_restore_an_unknown_target(targets):
    """The proxy restarted between an announcement and the removal."""
    targets.remove("i-1")
    assert not targets.announce(RECORD, sequence=5)
    later = int(time.time() * 1000) + 1000
    assert targets.announce(make_record(incarnation=later), sequence=1)


def test_a_discovered_target_keeps_its_slots_when_it_announces(targets):
    assert targets.announce(make_record(incarnation=0))
    discovered = targets.targets_by_id["i-1"]
    assert targets.announce(RECORD, sequence=5)
    announced = targets.targets_by_id["i-1"]
    assert announced.slots is discovered.slots
    assert announced.record == RECORD
    assert not targets.announce(make_record(incarnation=0))


def test_the_first_announcement_tells_the_version_of_a_discovered_target(
    targets,
):
    targets.announce(make_record(incarnation=0))
    discovered = targets.targets_by_id["i-1"]
    named = make_record(software_version="v2")
    assert targets.announce(named, sequence=5)
    announced = targets.targets_by_id["i-1"]
    assert announced.slots is discovered.slots
    assert announced.record == named
    assert targets.announcement().targets == (named,)


def test_a_target_of_a_rejected_version_refuses_calls_as_not_run():
    """Its proxy alone stops senders that do not know of the rejection."""
    rejected = set()
    targets = LocalTargets(
        settings=SETTINGS,
        incarnation=1,
        on_change=lambda: None,
        is_rejected=lambda record: record.software_version in rejected,
    )
    targets.announce(make_record(software_version="v2"))

    def run():
        return targets.run(
            make_call(target_id="i-1", service="pay"),
            sender="z1-proxy-2",
            deadline=time.monotonic() + 5,
            cancellation=Cancellation(),
        )

    assert run().reason != "target-rejected"
    rejected.add("v2")
    assert run().reason == "target-rejected"


def test_a_version_that_is_rejected_while_a_call_waits_does_not_run_it():
    rejected = set()
    targets = LocalTargets(
        settings=SETTINGS,
        incarnation=1,
        on_change=lambda: None,
        is_rejected=lambda record: record.software_version in rejected,
    )
    targets.announce(make_record(software_version="v2", slots=1))
    slots = targets.targets_by_id["i-1"].slots
    deadline = time.monotonic() + 5
    options = {"rank": 0, "route_name": "", "objective_seconds": 0.0}
    slots.acquire(deadline=deadline, cancellation=Cancellation(), **options)
    waiting = eventlet.spawn(
        targets.run,
        make_call(target_id="i-1", service="pay"),
        sender="z1-proxy-2",
        deadline=deadline,
        cancellation=Cancellation(),
    )
    eventlet.sleep(0)
    rejected.add("v2")
    slots.release(0.0, "")
    assert waiting.wait().reason == "target-rejected"


def test_discovery_does_not_replace_an_announced_target(targets):
    targets.announce(RECORD, sequence=1)
    assert not targets.announce(make_record(target_id="i-2", incarnation=0))
    assert list(targets.targets_by_id) == ["i-1"]


@pytest.fixture
def discover(targets):
    """Return a function that runs discovery at a target with an answer."""
    servers = []

    def run(answer):
        listening = eventlet.listen(("127.0.0.1", 0))

        def serve():
            sock, _ = listening.accept()
            sock.recv(1000)
            sock.sendall(answer)
            sock.close()

        servers.append((listening, eventlet.spawn(serve)))
        proxy = attrs.evolve(
            SETTINGS.proxy,
            local_target=f"127.0.0.1:{listening.getsockname()[1]}",
            headers=HeaderNames(target_id="X-Id", target_load="X-Load"),
        )
        targets.set_default_service("pay")
        TargetDiscovery(
            settings=attrs.evolve(SETTINGS, proxy=proxy),
            snapshot_store=SimpleNamespace(
                snapshot=SimpleNamespace(
                    services_by_name={
                        "pay": SimpleNamespace(health_path="/health")
                    }
                )
            ),
            local_targets=targets,
        ).run()
        return targets.targets_by_id

    yield run
    for listening, server in servers:
        server.kill()
        listening.close()


@pytest.mark.parametrize("load", [b"3,0,8", b"3, 0, 8, 250"])
def test_a_healthy_target_is_discovered(discover, load):
    targets_by_id = discover(
        b"HTTP/1.1 200 OK\r\nX-Id: i-1\r\nX-Load: " + load + b"\r\n"
        b"Content-Length: 0\r\n\r\n"
    )
    record = targets_by_id["i-1"].record
    assert (record.service, record.slots) == ("pay", 8)


@pytest.mark.parametrize(
    "answer",
    [
        b"HTTP/1.1 503 Draining\r\nX-Id: i-1\r\nX-Load: 3,0,8\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nX-Load: 3,0,8\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nX-Id: i-1\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nX-Id: i-1\r\nX-Load: 3,0,0\r\n\r\n",
        b"this is no answer\r\n\r\n",
    ],
)
def test_a_target_without_a_valid_health_answer_is_not_added(discover, answer):
    assert discover(answer) == {}
