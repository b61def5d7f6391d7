"""One exception does not end a task that has to last as the daemon does."""

import types

import attrs
import eventlet
import pytest

from tests.support.control_side import (
    PEER_KEY,
    ControlSide,
    FakeVersionStateMachine,
    ProxySide,
    make_mesh,
    wait_until,
)
from tests.support.replicas import Cluster
from tests.unit.test_proxy_peers import SETTINGS
from verbenanotch import loop
from verbenanotch.crashes import CrashStorage, CrashTable
from verbenanotch.daemon import _control, _reload
from verbenanotch.daemon._http import HttpServer
from verbenanotch.daemon._interfaces import Interfaces
from verbenanotch.distribution import _minimum_version_search
from verbenanotch.loop import _lasting
from verbenanotch.membership._exchange import RECEIVE_TIMEOUT_SECONDS
from verbenanotch.proxy import DisconnectMonitor, PeerPool
from verbenanotch.wire import Listener, Purpose, dial

SERVICE = "service-0"
REPEATS = 2
SECONDS = 5.0


@pytest.fixture(autouse=True)
def spawned(monkeypatch):
    """Kill all greenthreads at the end of a test."""
    spawned = []
    spawn = eventlet.spawn

    def record(function, *args):
        spawned.append(spawn(function, *args))
        return spawned[-1]

    monkeypatch.setattr(eventlet, "spawn", record)
    yield spawned
    for greenthread in spawned:
        greenthread.kill()


@pytest.fixture
def fail_once(monkeypatch):
    """Return a function that lets the first call of a method fail.

    It returns a list that grows by each call.
    """

    def patch(owner, name):
        calls = []
        original = getattr(owner, name)

        def fail_first(*args, **kwargs):
            calls.append(args)
            if len(calls) == 1:
                raise RuntimeError(f"{name} failed in a test")
            return original(*args, **kwargs)

        monkeypatch.setattr(owner, name, fail_first)
        return calls

    return patch


def assert_repeated(calls):
    wait_until(lambda: len(calls) > REPEATS, seconds=SECONDS)


def test_a_task_runs_again_after_an_exception_until_it_returns(monkeypatch):
    monkeypatch.setattr(_lasting, "RESTART_SECONDS", 0.01)
    outcomes = [RuntimeError("failed"), eventlet.Timeout(), "done"]
    outcomes[1].cancel()

    def work(argument):
        outcome = outcomes.pop(0)
        if isinstance(outcome, BaseException):
            raise outcome
        return outcome + argument

    assert loop.spawn_lasting(work, "!").wait() == "done!"


def test_a_task_that_is_killed_ends():
    task = loop.spawn_lasting(eventlet.sleep, SECONDS)
    eventlet.sleep(0)
    task.kill()
    assert task.dead


def test_a_reload_that_failed_does_not_end_the_checks(monkeypatch):
    calls = []

    def reload():
        calls.append(None)
        raise RuntimeError("the file changed while it was read")

    monkeypatch.setattr(_reload.signal, "signal", lambda *args: None)
    monkeypatch.setattr(_reload, "CHECK_INTERVAL_SECONDS", 0.01)
    _reload.watch_settings(role=None, reload=reload, settings=SETTINGS)
    assert_repeated(calls)


@pytest.fixture
def control_host(tmp_path, monkeypatch):
    monkeypatch.setattr(_control, "EXPIRY_INTERVAL_SECONDS", 0.01)
    monkeypatch.setattr(_control, "MEMBERS_INTERVAL_SECONDS", 0.01)
    cluster = Cluster(path=tmp_path, voters=["host-1"])
    settings = cluster.settings("host-1")
    settings = attrs.evolve(
        settings, control=attrs.evolve(settings.control, operator_port=0)
    )
    host = _control.ControlHost(settings=settings, interfaces=Interfaces())
    yield host
    host.stop()


@pytest.mark.parametrize(
    ("part", "method"),
    [("_zone_table", "expire"), ("_zone_exchange", "add_control_hosts")],
)
def test_a_control_host_goes_on_to_watch_leases_and_members(
    control_host, fail_once, part, method
):
    calls = fail_once(getattr(control_host, part), method)
    control_host.start()
    assert_repeated(calls)


def test_an_http_server_goes_on_to_accept(fail_once):
    server = HttpServer(address="127.0.0.1", port=0, application=None)
    calls = fail_once(server, "_spawn")
    server.start()
    for _ in range(REPEATS + 1):
        loop.connect(server.address, server.port, timeout_seconds=SECONDS)
    assert_repeated(calls)
    server.stop()


def test_a_peer_port_goes_on_to_accept(monkeypatch):
    served = []
    listener = Listener(
        address="127.0.0.1",
        port=0,
        key=PEER_KEY.encode(),
        name="host-1",
        handlers_by_purpose={Purpose.REQUEST: served.append},
    )
    accept = listener._socket.accept
    outcomes = [RuntimeError("failed")]

    def fail_first():
        if outcomes:
            raise outcomes.pop()
        return accept()

    monkeypatch.setattr(listener._socket, "accept", fail_first)
    listener.start()
    dial(
        address=listener.address,
        port=listener.port,
        key=PEER_KEY.encode(),
        name="host-2",
        purpose=Purpose.REQUEST,
    )
    wait_until(lambda: served, seconds=SECONDS)
    listener.stop()


@pytest.fixture
def versions():
    versions = FakeVersionStateMachine()
    versions.accept(make_mesh(1))
    return versions


@pytest.fixture
def control(versions):
    control = ControlSide(name="control-1", versions=versions)
    yield control
    control.stop()


@pytest.fixture
def proxy(control):
    proxy = ProxySide(
        name="proxy-1",
        control_hosts_by_name={"control-1": control.peer},
        services=[SERVICE],
        entry_services=[SERVICE],
    )
    yield proxy
    proxy.stop()


@pytest.fixture
def connected(control, proxy):
    """Return the proxy once it has the accepted version."""
    control.start()
    proxy.start()
    wait_for_version(proxy, control)
    return proxy


def wait_for_version(proxy, control):
    newest = control.versions.current.version
    wait_until(
        lambda: proxy.snapshot_store.snapshot.version == newest,
        seconds=SECONDS,
    )


@pytest.mark.parametrize("method", ["_announcement", "_unsubscribe_if_stale"])
def test_a_proxy_goes_on_to_renew_and_to_choose(connected, fail_once, method):
    assert_repeated(fail_once(connected.subscriber, method))


def test_a_proxy_connects_again_after_an_update_that_failed(
    connected, control, fail_once
):
    fail_once(connected.snapshot_store, "apply")
    control.versions.accept(make_mesh(2))
    wait_for_version(connected, control)


def test_a_proxy_whose_update_failed_gets_the_next_one(
    connected, control, fail_once
):
    fail_once(control.publisher, "_send_update")
    control.versions.accept(make_mesh(2))
    wait_for_version(connected, control)


def test_a_control_host_goes_on_to_confirm_its_versions(control, fail_once):
    control.start()
    calls = fail_once(control.publisher._confirmer, "request_confirmation")
    wait_until(lambda: len(calls) == 2, seconds=SECONDS)


def test_a_search_that_failed_does_not_keep_a_proxy_from_serving(
    control, proxy, monkeypatch, fail_once
):
    control.confirms = False
    fail_once(_minimum_version_search, "query_peers")
    control.start()
    proxy.start()
    wait_for_version(proxy, control)


@pytest.fixture
def cluster(tmp_path):
    cluster = Cluster(path=tmp_path, voters=["host-1", "host-2", "host-3"])
    yield cluster
    cluster.close()


def test_a_replica_goes_on_to_look_for_its_peers(cluster, fail_once):
    cluster.start("host-1")
    replica = cluster.hosts_by_name["host-1"].replica
    assert_repeated(fail_once(replica._links, "ensure"))


def test_a_replica_goes_on_to_dial_a_peer(cluster, fail_once):
    cluster.start("host-1")
    replica = cluster.hosts_by_name["host-1"].replica
    wait_until(lambda: replica._links._links_by_name, seconds=SECONDS)
    link = next(iter(replica._links._links_by_name.values()))
    assert_repeated(fail_once(link, "_dial"))


@pytest.fixture
def exchanging(control, versions):
    """Return two control hosts; the second one dials the first one."""
    other = ControlSide(name="control-2", versions=versions)
    control.start()
    other.start({"control-1": control.peer})
    wait_until(lambda: other.exchange.summaries_by_zone, seconds=SECONDS)
    yield control, other
    other.stop()


def test_a_control_host_receives_a_table_again_after_an_error(
    exchanging, fail_once
):
    assert_repeated(fail_once(exchanging[1].exchange, "_receive"))


def test_a_control_host_that_failed_to_send_a_table_closes_at_once(
    exchanging, fail_once
):
    calls = fail_once(exchanging[0].exchange, "_send_table")
    wait_until(lambda: len(calls) > 1, seconds=RECEIVE_TIMEOUT_SECONDS / 2)


def test_a_proxy_goes_on_to_check_its_peers(fail_once):
    pool = PeerPool(settings=SETTINGS)
    peer = types.SimpleNamespace(
        closed=False, check_liveness=lambda now: None, close=lambda: None
    )
    pool._peers_by_address["127.0.0.9", 1] = peer
    calls = fail_once(peer, "check_liveness")
    pool.start()
    assert_repeated(calls)
    pool.stop()


def test_a_proxy_goes_on_to_look_for_callers_that_left(fail_once):
    monitor = DisconnectMonitor()
    calls = fail_once(monitor, "sweep")
    monitor.start()
    assert_repeated(calls)
    monitor.stop()


def test_a_crash_is_stored_after_a_write_that_failed(tmp_path, fail_once):
    storage = CrashStorage.in_folder(tmp_path)
    record = CrashTable().add_crash(b"p" * 16, b"crash", 0.0)
    fail_once(storage._files, "append")
    storage.append([record], all_records=lambda: [record])
    wait_until(
        lambda: CrashStorage.in_folder(tmp_path).load(), seconds=SECONDS
    )
