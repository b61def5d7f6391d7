"""Guard against requests that run although their callers have left.

Real processes. A proxy that stands still, or is busy, finds the requests and
the ends of their connections at the same time.
"""

import time

import eventlet
import pytest

from examples import topology as plans
from tests.support.harness import Mesh
from tests.support.leaving_callers import (
    KINDS_BY_NAME,
    SERVICE,
    LeavingCaller,
    RequestKind,
    Surge,
    mesh_text,
)
from tests.support.ledger import read_ledgers, runs_by_request_id

SLOTS = 128
WITH_TARGET, WITHOUT_TARGET = "z1-proxy-1", "z1-proxy-2"
PROXIES = [WITH_TARGET, WITHOUT_TARGET]
CALLERS_PER_KIND = 6
SLOW_PATH = "/pay/1?latency_ms=300"
SECONDS_UNTIL_LEAVING = 0.25
FREEZE_SECONDS = 1.0
# After this time everything that was started is in the ledgers.
SETTLE_SECONDS = 0.6
# More requests than a proxy answers in a test.
BUSY_CONNECTIONS = 150
REQUESTS_PER_CONNECTION = 300
BUSY_SECONDS = 4.0
# The users' rule for requests of callers that have left.
MAX_LATE_SECONDS = 0.5
NEW_CALLERS = 200
WORK_SECONDS = 1.5
WORK_PATH = "/pay/1?latency_ms=1500"
# Their requests are a backlog of work for longer than MAX_LATE_SECONDS.
BACKLOG_CONNECTIONS = 400
LEAVE_INTERVAL_SECONDS = 0.01
UNREAD_KIND = RequestKind(method="POST", body_bytes=100_000)
LARGE_KIND = RequestKind(method="PUT", body_bytes=4000)


@pytest.fixture
def mesh(tmp_path):
    with Mesh(
        folder=tmp_path, control_hosts_per_zone=1, proxies_per_zone=2
    ) as running:
        running.start_target(WITH_TARGET, SERVICE, slots=SLOTS)
        running.accept(mesh_text(slots=SLOTS))
        running.wait_until(
            lambda: all(
                running.call("GET", "/pay/1", proxy=proxy).outcome
                == "answered"
                for proxy in PROXIES
            ),
            what="served requests",
        )
        yield running


def connect(mesh, proxy, name):
    return LeavingCaller(
        name=name,
        address=mesh.topology.hosts_by_name[proxy].address,
        port=plans.CALLER_PORT,
    )


def connect_kept(mesh, proxy, name):
    caller = connect(mesh, proxy, name)
    caller.send(KINDS_BY_NAME["bodiless"], "/pay/1")
    assert caller.receive().startswith(b"HTTP/1.1 200")
    caller.request_ids.clear()
    return caller


def send_each_kind(mesh, proxy, prefix):
    """Return callers on new connections that have sent their requests."""
    callers = []
    for name, kind in KINDS_BY_NAME.items():
        for index in range(CALLERS_PER_KIND):
            caller = connect(mesh, proxy, f"{prefix}-{name}-{index}")
            caller.send(kind, SLOW_PATH)
            callers.append(caller)
    return callers


def run_ids(folder, callers):
    """Return the ids of the callers' requests that a target has started."""
    sent = {request_id for c in callers for request_id in c.request_ids}
    return sorted(sent & runs_by_request_id(read_ledgers(folder)).keys())


def leave_all(callers, *, resets=False):
    for caller in callers:
        caller.leave(resets=resets)


@pytest.mark.parametrize("resets", [False, True], ids=["closed", "reset"])
@pytest.mark.parametrize("proxy", PROXIES)
def test_requests_left_unread_do_not_run(mesh, tmp_path, proxy, resets):
    kept = [
        (connect_kept(mesh, proxy, f"kept-{name}-{index}"), kind)
        for name, kind in KINDS_BY_NAME.items()
        for index in range(CALLERS_PER_KIND)
    ]
    mesh.freeze(proxy)
    staying = connect(mesh, proxy, "staying")
    staying.send(KINDS_BY_NAME["unsafe"], SLOW_PATH)
    for caller, kind in kept:
        caller.send(kind, SLOW_PATH)
    new = send_each_kind(mesh, proxy, "new")
    eventlet.sleep(SECONDS_UNTIL_LEAVING)
    leaving = [caller for caller, _ in kept] + new
    leave_all(leaving, resets=resets)
    eventlet.sleep(FREEZE_SECONDS - SECONDS_UNTIL_LEAVING)
    mesh.thaw(proxy)
    assert staying.receive().startswith(b"HTTP/1.1 200")
    eventlet.sleep(SETTLE_SECONDS)
    assert run_ids(tmp_path, leaving) == []


def test_calls_that_waited_for_a_dial_do_not_run(mesh, tmp_path):
    mesh.restart(WITHOUT_TARGET)
    mesh.freeze(WITH_TARGET)
    callers = send_each_kind(mesh, WITHOUT_TARGET, "dial")
    eventlet.sleep(SECONDS_UNTIL_LEAVING)
    leave_all(callers)
    eventlet.sleep(SECONDS_UNTIL_LEAVING)
    mesh.thaw(WITH_TARGET)
    eventlet.sleep(SETTLE_SECONDS)
    assert run_ids(tmp_path, callers) == []


def test_calls_cancelled_before_a_peer_read_them_do_not_run(mesh, tmp_path):
    """The calls fill more than one read of the proxy that receives them."""
    callers = [
        connect_kept(mesh, WITHOUT_TARGET, f"large-{index}")
        for index in range(4 * CALLERS_PER_KIND)
    ]
    mesh.freeze(WITH_TARGET)
    for caller in callers:
        caller.send(LARGE_KIND, SLOW_PATH)
    eventlet.sleep(SECONDS_UNTIL_LEAVING)
    leave_all(callers)
    eventlet.sleep(SECONDS_UNTIL_LEAVING)
    mesh.thaw(WITH_TARGET)
    eventlet.sleep(SETTLE_SECONDS)
    assert run_ids(tmp_path, callers) == []


@pytest.fixture
def surge(mesh):
    """Keep the proxy without a target busy."""
    running = Surge(
        address=mesh.topology.hosts_by_name[WITHOUT_TARGET].address,
        port=plans.CALLER_PORT,
        connections=BUSY_CONNECTIONS,
        requests=REQUESTS_PER_CONNECTION,
    )
    yield running
    running.stop()


def test_calls_left_at_a_proxy_with_a_backlog_do_not_run(mesh, tmp_path):
    """Guard against ends of connections that wait behind a proxy's work."""
    holders = [
        connect(mesh, WITH_TARGET, f"holder-{index}") for index in range(SLOTS)
    ]
    for holder in holders:
        holder.send(KINDS_BY_NAME["unsafe"], WORK_PATH)
    eventlet.sleep(SECONDS_UNTIL_LEAVING)
    callers = send_each_kind(mesh, WITHOUT_TARGET, "backlog")
    eventlet.sleep(SECONDS_UNTIL_LEAVING)
    surge = Surge(
        address=mesh.topology.hosts_by_name[WITHOUT_TARGET].address,
        port=plans.CALLER_PORT,
        connections=BACKLOG_CONNECTIONS,
        requests=REQUESTS_PER_CONNECTION,
    )
    left_at_by_id = {}
    for caller in callers:
        eventlet.sleep(LEAVE_INTERVAL_SECONDS)
        caller.leave()
        for request_id in caller.request_ids:
            left_at_by_id[request_id] = time.time()
    eventlet.sleep(WORK_SECONDS + SETTLE_SECONDS)
    surge.stop()
    late = [
        (entry.request_id, entry.time - left_at_by_id[entry.request_id])
        for entry in read_ledgers(tmp_path)
        if entry.phase == "started"
        and entry.request_id in left_at_by_id
        and entry.time > left_at_by_id[entry.request_id] + MAX_LATE_SECONDS
    ]
    assert late == []


@pytest.mark.usefixtures("surge")
def test_requests_left_at_a_busy_proxy_do_not_run(mesh, tmp_path):
    """Guard against requests that run after a wait in the listen queue."""
    callers = send_each_kind(mesh, WITHOUT_TARGET, "busy")
    eventlet.sleep(SECONDS_UNTIL_LEAVING)
    leave_all(callers)
    left_at = time.time()
    eventlet.sleep(BUSY_SECONDS)
    late = [
        entry.request_id
        for entry in read_ledgers(tmp_path)
        if entry.phase == "started"
        and entry.request_id.startswith("busy-")
        and entry.time > left_at + MAX_LATE_SECONDS
    ]
    assert late == []


def test_a_busy_proxy_accepts_more_than_one_caller_a_turn(mesh, surge):
    """Guard against callers that wait behind those with open connections.

    A turn of its loop answers one request of each open connection.
    """
    pool = eventlet.GreenPool()
    answers = list(
        pool.imap(
            lambda _: mesh.call("GET", "/none", proxy=WITHOUT_TARGET),
            range(NEW_CALLERS),
        )
    )
    assert {answer.value["reason"] for answer in answers} == {"no-route"}
    assert 0 < max(surge.answer_counts()) < NEW_CALLERS


@pytest.mark.parametrize("resets", [False, True], ids=["closed", "reset"])
@pytest.mark.parametrize("proxy", PROXIES)
def test_work_ends_when_its_caller_leaves_behind_unread_bytes(
    mesh, tmp_path, proxy, resets
):
    """The end of the connection is behind more than is read ahead."""
    callers = []
    for name in ("bodiless", "with-a-body", "unsafe"):
        for index in range(CALLERS_PER_KIND):
            caller = connect(mesh, proxy, f"unread-{name}-{index}")
            caller.send(KINDS_BY_NAME[name], WORK_PATH)
            caller.send(UNREAD_KIND, WORK_PATH)
            callers.append(caller)
    eventlet.sleep(SECONDS_UNTIL_LEAVING)
    leave_all(callers, resets=resets)
    eventlet.sleep(WORK_SECONDS + SETTLE_SECONDS)
    phases_by_id = {
        entry.request_id: entry.phase for entry in read_ledgers(tmp_path)
    }
    for caller in callers:
        first, unread = caller.request_ids
        assert phases_by_id.get(first) == "cancelled"
        assert unread not in phases_by_id
