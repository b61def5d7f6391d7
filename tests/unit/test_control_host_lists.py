"""Lists of control hosts that a proxy receives while it runs."""

import pytest

from tests.support.control_side import (
    ControlSide,
    FakeVersionStateMachine,
    ProxySide,
    make_mesh,
    wait_until,
)
from verbenanotch.replication._entries import Member

SERVICE = "service-0"
SECONDS = 5.0


@pytest.fixture
def versions():
    versions = FakeVersionStateMachine()
    versions.accept(make_mesh(1))
    return versions


@pytest.fixture
def controls(versions):
    """Start two control hosts."""
    controls = [
        ControlSide(name=name, versions=versions).start()
        for name in ("control-1", "control-2")
    ]
    yield controls
    for control in controls:
        control.stop()


@pytest.fixture
def proxy(controls, versions):
    """Return a proxy that is subscribed at the first control host alone."""
    proxy = ProxySide(
        name="proxy-1",
        control_hosts_by_name={"control-1": controls[0].peer},
        services=[SERVICE],
        entry_services=[SERVICE],
    )
    proxy.start()
    wait_for_version(proxy, versions)
    yield proxy
    proxy.stop()


def wait_for_version(proxy, versions):
    newest = versions.current.version
    wait_until(lambda: proxy.version == newest, seconds=SECONDS)


def member(control, *, port=None):
    return Member(
        name=control.name,
        disk_id="d",
        address=control.peer.address,
        peer_port=port or control.peer.peer_port,
    )


@pytest.mark.parametrize("lists_itself", [False, True])
def test_a_control_host_that_leaves_its_own_list_is_replaced(
    controls, proxy, versions, lists_itself
):
    """The reader of its connection ended before the others were dialled."""
    leaving, staying = controls
    # No settings name it any longer; it stays on the list that is in use.
    proxy.subscriber.set_configured_peers({})
    members = {staying.name: member(staying)}
    if lists_itself:
        # At an address at which it does not listen.
        members[leaving.name] = member(leaving, port=1)
    leaving.publisher.publish_control_hosts(members)
    wait_until(
        lambda: list(staying.publisher.sessions_by_host) == ["proxy-1"],
        seconds=SECONDS,
    )
    assert not leaving.publisher.sessions_by_host
    versions.accept(make_mesh(2))
    wait_for_version(proxy, versions)
    assert len(proxy.subscriber._dialers_by_name) == len(members)
