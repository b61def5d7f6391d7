"""Test a resubscription while the minimum version is undetermined."""

import eventlet
import pytest
from eventlet import event

from tests.support.control_side import (
    ADDRESS,
    PEER_KEY,
    ControlSide,
    FakeVersionStateMachine,
    make_mesh,
)
from verbenanotch.catalog import NO_VERSION
from verbenanotch.crashes import CrashDigest
from verbenanotch.distribution._messages import (
    ControlHostZone,
    MinimumVersionUnknown,
    Subscribe,
    Update,
)
from verbenanotch.wire import Purpose, dial

RECEIVE_TIMEOUT_SECONDS = 3.0


@pytest.fixture
def quorum_answer():
    """Return an event; the quorum answers once it is sent."""
    return event.Event()


@pytest.fixture
def control_side(quorum_answer):
    versions = FakeVersionStateMachine()
    versions.accept(make_mesh(2))
    side = ControlSide(name="c1", versions=versions, lease_ms=200)
    side.start()
    confirmer = side.publisher._confirmer
    confirmer._confirm = lambda timeout_seconds: quorum_answer.wait()
    yield side
    side.stop()


def make_subscription(*, starting):
    return Subscribe(
        entry_services=(),
        current_version=NO_VERSION,
        current_digest=0,
        digests_by_service={},
        starting=starting,
        minimum_version=NO_VERSION,
    )


def test_a_later_subscription_is_served_when_the_earlier_one_ends_last(
    control_side, quorum_answer
):
    """Guard against a proxy that resubscribed and never gets an update.

    The first subscription waits for the quorum to confirm the minimum
    version and ends only after the second one has arrived.
    """
    connection = dial(
        address=ADDRESS,
        port=control_side.peer.peer_port,
        key=PEER_KEY.encode(),
        name="p1",
        purpose=Purpose.DISTRIBUTION,
    )
    connection.set_timeout(RECEIVE_TIMEOUT_SECONDS)
    connection.send(make_subscription(starting=True))
    eventlet.sleep(0.1)
    connection.send(make_subscription(starting=False))
    eventlet.sleep(0.1)
    quorum_answer.send(False)
    zone = connection.receive()
    assert zone == ControlHostZone(availability_zone="z1")
    assert isinstance(connection.receive(), CrashDigest)
    received = connection.receive()
    if isinstance(received, MinimumVersionUnknown):
        received = connection.receive()
    assert isinstance(received, Update)
    connection.close()
