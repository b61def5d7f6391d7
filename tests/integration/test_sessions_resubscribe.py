"""A proxy subscribes again while it still looks for its minimum version."""

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
from verbenanotch.distribution._messages import (
    MinimumVersionUnknown,
    Subscribe,
    Update,
)
from verbenanotch.wire import Purpose, dial

RECEIVE_SECONDS = 3.0


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


def test_a_later_subscription_is_served_though_the_first_one_ends_after_it(
    control_side, quorum_answer
):
    connection = dial(
        address=ADDRESS,
        port=control_side.peer.peer_port,
        key=PEER_KEY.encode(),
        name="p1",
        purpose=Purpose.DISTRIBUTION,
    )
    connection.set_timeout(RECEIVE_SECONDS)
    connection.send(make_subscription(starting=True))
    eventlet.sleep(0.1)
    connection.send(make_subscription(starting=False))
    eventlet.sleep(0.1)
    quorum_answer.send(False)
    item = connection.receive()
    if isinstance(item, MinimumVersionUnknown):
        item = connection.receive()
    assert isinstance(item, Update)
    connection.close()
