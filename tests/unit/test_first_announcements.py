"""A new process asks a target before it uses it.

Guards against late announcements of targets that have left, when nobody is
running any more who knows of their departure.
"""

import time
from types import SimpleNamespace

import attrs
import eventlet
import pytest

from tests.unit.test_local_targets import make_record
from tests.unit.test_proxy_peers import SETTINGS, make_call
from verbenanotch.conf import HeaderNames
from verbenanotch.proxy import LocalTargets, _first_announcements
from verbenanotch.proxy._cancellation import Cancellation
from verbenanotch.proxy._target_history import MAX_ANNOUNCEMENT_DELAY_SECONDS

SERVICES = {"pay": SimpleNamespace(health_path="/health")}
HEADERS = HeaderNames(target_id="X-Id", target_load="X-Load")
WAIT_SECONDS = 3.0


class Target:
    """Answers health requests; `status` and `names` may be changed."""

    def __init__(self):
        """Listen as the target i-1."""
        self.status = 200
        self.names = "i-1"
        self.requests = 0
        self._listening = eventlet.listen(("127.0.0.1", 0))
        self.port = self._listening.getsockname()[1]
        self._greenthread = eventlet.spawn(self._serve)

    def stop(self):
        """End as a process that exits does."""
        self._greenthread.kill()
        self._listening.close()

    def _serve(self):
        while True:
            sock, _ = self._listening.accept()
            assert sock.recv(1000).startswith(b"GET /health ")
            self.requests += 1
            sock.sendall(
                f"HTTP/1.1 {self.status} Status\r\nX-Id: {self.names}\r\n"
                "X-Load: 0,0,4\r\nContent-Length: 0\r\n\r\n".encode()
            )
            sock.close()


@pytest.fixture
def target():
    target = Target()
    yield target
    target.stop()


@pytest.fixture
def snapshot():
    return SimpleNamespace(services_by_name=SERVICES)


@pytest.fixture
def start(snapshot):
    """Return what starts the LocalTargets of a new process."""

    def begin(headers=HEADERS):
        proxy = attrs.evolve(SETTINGS.proxy, headers=headers)
        return LocalTargets(
            settings=attrs.evolve(SETTINGS, proxy=proxy),
            incarnation=1,
            on_change=lambda: None,
            known_services=lambda: snapshot.services_by_name,
            snapshot_store=SimpleNamespace(snapshot=snapshot),
        )

    return begin


def wait_for(condition):
    end = time.monotonic() + WAIT_SECONDS
    while not condition():
        assert time.monotonic() < end, "the condition is not met in time"
        eventlet.sleep(0.01)


def record_of(target, **fields):
    return make_record(port=target.port, **fields)


def run_call(targets):
    return targets.run(
        make_call(target_id="i-1", service="pay"),
        sender="z1-proxy-2",
        deadline=time.monotonic() + 1,
        cancellation=Cancellation(),
    )


def test_a_late_announcement_after_a_kill_of_all_brings_nothing_back(
    start, target
):
    """Guards against requests at a target after its departure was acked."""
    before = start()
    before.announce(record_of(target), sequence=5)
    wait_for(lambda: before.targets_by_id)
    before.remove("i-1")
    target.status = 503
    after = start()
    after.announce(record_of(target), sequence=6)
    wait_for(lambda: target.requests > 2)
    assert after.targets_by_id == {}
    assert after.announcement().targets == ()
    assert run_call(after).reason == "target-gone"


def test_a_target_that_serves_is_used(start, target):
    targets = start()
    assert targets.announce(record_of(target), sequence=1)
    assert targets.targets_by_id == {}
    wait_for(lambda: targets.targets_by_id)
    assert targets.targets_by_id["i-1"].order == (100, 1)
    # Renewals are not confirmed again.
    assert targets.announce(record_of(target), sequence=2)
    assert targets.targets_by_id["i-1"].sequence == 2
    assert target.requests == 1


def test_a_target_that_serves_later_is_used_then(start, target):
    target.status = 503
    targets = start()
    targets.announce(record_of(target), sequence=1)
    wait_for(lambda: target.requests)
    targets.announce(record_of(target), sequence=3)
    assert not targets.announce(record_of(target), sequence=2)
    target.status = 200
    wait_for(lambda: targets.targets_by_id)
    assert targets.targets_by_id["i-1"].sequence == 3


def test_the_answer_of_another_target_at_the_address_does_not_count(
    start, target
):
    """Guards against the service of a target that had the address before."""
    target.names = "i-2"
    targets = start()
    targets.announce(record_of(target), sequence=1)
    wait_for(lambda: target.requests > 1)
    assert targets.targets_by_id == {}
    assert targets.service != "pay"


def test_nothing_is_used_before_the_service_is_known(start, target, snapshot):
    """Guards against a report that comes before the mesh configuration."""
    snapshot.services_by_name = {}
    target.status = 503
    targets = start()
    assert targets.announce(record_of(target), sequence=1)
    eventlet.sleep(0.1)
    assert target.requests == 0 and targets.targets_by_id == {}
    snapshot.services_by_name = SERVICES
    wait_for(lambda: target.requests)
    assert targets.targets_by_id == {}


def test_a_departure_ends_what_is_not_confirmed(start, target):
    target.status = 503
    targets = start()
    targets.announce(record_of(target), sequence=1)
    assert targets.remove("i-1")
    target.status = 200
    assert not targets.announce(record_of(target), sequence=2)
    eventlet.sleep(0.3)
    assert targets.targets_by_id == {}
    assert [each.draining for each in targets.announcement().targets] == [True]


def test_a_drain_applies_to_what_is_not_confirmed(start, target):
    targets = start()
    targets.announce(record_of(target), sequence=1)
    assert targets.drain("i-1")
    eventlet.sleep(0.2)
    assert targets.targets_by_id["i-1"].record.draining


def test_a_draining_target_is_not_asked(start, target):
    targets = start()
    targets.announce(record_of(target, draining=True), sequence=1)
    assert targets.targets_by_id["i-1"].record.draining
    eventlet.sleep(0.1)
    assert target.requests == 0


def test_a_target_that_has_exited_is_forgotten(start, target, monkeypatch):
    target.stop()
    targets = start()
    lease_seconds = SETTINGS.proxy.announcement_lease_ms / 1000
    targets.announce(record_of(target), sequence=1)
    eventlet.sleep(0.05)
    assert targets.targets_by_id == {}
    clock = SimpleNamespace(monotonic=lambda: time.monotonic() + lease_seconds)
    monkeypatch.setattr(_first_announcements, "time", clock)
    kept = targets._first_announcements._announcements_by_id
    wait_for(lambda: not kept)


def test_a_process_that_knows_all_departures_asks_nobody(
    start, target, monkeypatch
):
    """No announcement is so late that it was sent before the start."""
    target.status = 503
    targets = start()
    targets.announce(record_of(target), sequence=1)
    clock = SimpleNamespace(
        monotonic=lambda: time.monotonic() + MAX_ANNOUNCEMENT_DELAY_SECONDS
    )
    monkeypatch.setattr(_first_announcements, "time", clock)
    targets.announce(record_of(target), sequence=2)
    assert targets.targets_by_id["i-1"].sequence == 2


def test_targets_that_name_no_id_are_not_asked(start, target):
    targets = start(headers=HeaderNames())
    targets.announce(record_of(target), sequence=1)
    assert targets.targets_by_id["i-1"].record == record_of(target)
