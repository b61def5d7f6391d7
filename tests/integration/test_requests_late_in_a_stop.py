"""Guard against requests that a planned stop takes and then cuts.

Real processes. Callers go on until the proxy has ended: some on kept
connections, and new ones all the time.
"""

import contextlib
import http.client
import itertools
import time

import attrs
import eventlet
import pytest

from examples import topology as plans
from tests.support.harness import Mesh
from tests.support.ledger import read_ledgers, runs_by_request_id

SERVICE = "pay"
SLOTS = 14
MESH_TEXT = f"""
name = "stops"

[services.{SERVICE}]
slots = {SLOTS}
cold_start_ms = 0

[routes.{SERVICE}]
prefix = "/pay"
service = "{SERVICE}"
timeout_ms = 4000
"""
WITH_TARGETS = ["z1-proxy-1", "z1-proxy-2"]
WITHOUT_TARGET = "z1-proxy-3"
KEPT_CALLERS = 6
NEW_CALLER_INTERVAL_SECONDS = 0.04
CALLER_TIMEOUT_SECONDS = 20.0
SECONDS_BEFORE_STOP = 5.0
METHODS = ("GET", "POST")
# Requests of usual length come until half of the stop is over, then long ones.
GRACE_SECONDS = 6
LATE_SECONDS = 3.0
LATE_CALLER_INTERVAL_SECONDS = 0.1
IDLE_CONNECTIONS = 38
USUAL_MS = 300
LONGEST_MS = 2100


@attrs.define(kw_only=True)
class Callers:
    """Send requests to a proxy until it accepts no connection.

    `statuses_by_id` has the status of each answer, `cut_ids` the requests
    whose connection ended without a whole answer.
    """

    address: str
    path: str
    statuses_by_id: dict = attrs.field(factory=dict)
    cut_ids: list = attrs.field(factory=list)
    _numbers: object = attrs.field(factory=itertools.count)
    _pool: object = attrs.field(factory=lambda: eventlet.GreenPool(2000))
    _is_ended: bool = False

    def start(self):
        """Send in the background."""
        for _ in range(KEPT_CALLERS):
            self._pool.spawn_n(self._call_on_kept_connections)
        self._pool.spawn_n(self._call_on_new_connections)

    def wait(self):
        """Wait until every request has an answer or was cut."""
        self._pool.waitall()

    def open_idle(self, count):
        """Return connections that were used once, and are used no more."""
        connections = [self._connect() for _ in range(count)]
        return [each for each in connections if self._call(each)]

    def use(self, connection):
        """Send one more request on a connection."""
        self._pool.spawn_n(self._call, connection)

    def _call_on_new_connections(self):
        while not self._is_ended:
            self._pool.spawn_n(self._call_once)
            eventlet.sleep(NEW_CALLER_INTERVAL_SECONDS)

    def _call_once(self):
        with contextlib.closing(self._connect()) as connection:
            self._call(connection)

    def _call_on_kept_connections(self):
        while not self._is_ended:
            with contextlib.closing(self._connect()) as connection:
                while not self._is_ended and self._call(connection):
                    pass

    def _connect(self):
        return http.client.HTTPConnection(
            self.address, plans.CALLER_PORT, timeout=CALLER_TIMEOUT_SECONDS
        )

    def _call(self, connection):
        """Send a request; return whether the connection can be kept."""
        number = next(self._numbers)
        request_id = f"late-{number}"
        try:
            if connection.sock is None:
                connection.connect()
        except OSError:
            self._is_ended = True
            return False
        try:
            connection.request(
                METHODS[number % len(METHODS)],
                self.path,
                headers={"X-Request-Id": request_id},
            )
            response = connection.getresponse()
            response.read()
        except (OSError, http.client.HTTPException):
            self.cut_ids.append(request_id)
            return False
        self.statuses_by_id[request_id] = response.status
        return not response.will_close


@pytest.fixture
def make_mesh(tmp_path):
    """Return what starts a mesh that serves requests."""
    with contextlib.ExitStack() as stack:

        def make(stop_seconds):
            mesh = stack.enter_context(
                Mesh(
                    folder=tmp_path,
                    control_hosts_per_zone=1,
                    proxies_per_zone=3,
                    overrides={"proxy": {"stop_seconds": stop_seconds}},
                )
            )
            for name in WITH_TARGETS:
                mesh.start_target(name, SERVICE, slots=SLOTS)
            mesh.accept(MESH_TEXT)
            mesh.wait_until(
                lambda: all(
                    mesh.call("GET", "/pay/1", proxy=name).outcome
                    == "answered"
                    for name in [*WITH_TARGETS, WITHOUT_TARGET]
                ),
                what="served requests",
            )
            return mesh

        yield make


def make_path(work_ms):
    return f"/pay/1?latency_ms={work_ms}"


def make_callers(mesh, proxy, path):
    return Callers(
        address=mesh.topology.hosts_by_name[proxy].address, path=path
    )


def assert_none_is_cut(callers, folder):
    runs = runs_by_request_id(read_ledgers(folder))
    assert [name for name in callers.cut_ids if name in runs] == []
    refused = [
        name
        for name, status in callers.statuses_by_id.items()
        if status == 503
    ]
    assert [name for name in refused if name in runs] == []
    assert 200 in callers.statuses_by_id.values()


@pytest.mark.parametrize(("stop_seconds", "work_ms"), [(6, 3200), (3, 800)])
@pytest.mark.parametrize("proxy", [WITHOUT_TARGET, WITH_TARGETS[0]])
def test_a_stop_cuts_no_request_that_it_took(
    make_mesh, tmp_path, proxy, stop_seconds, work_ms
):
    mesh = make_mesh(stop_seconds)
    callers = make_callers(mesh, proxy, make_path(work_ms))
    callers.start()
    eventlet.sleep(SECONDS_BEFORE_STOP)
    mesh.terminate(proxy)
    callers.wait()
    assert mesh.child(proxy).wait() == 0
    assert_none_is_cut(callers, tmp_path)


@pytest.mark.parametrize("proxy", [WITHOUT_TARGET, WITH_TARGETS[0]])
def test_a_stop_cuts_no_late_request_that_takes_longer_than_usual(
    make_mesh, tmp_path, proxy
):
    """Guard against late requests that outlast the recent ones."""
    mesh = make_mesh(GRACE_SECONDS)
    callers = make_callers(mesh, proxy, make_path(USUAL_MS))
    connections = callers.open_idle(IDLE_CONNECTIONS)
    mesh.terminate(proxy)
    started = time.monotonic()
    for connection in connections:
        if time.monotonic() - started >= LATE_SECONDS:
            callers.path = make_path(LONGEST_MS)
        callers.use(connection)
        eventlet.sleep(LATE_CALLER_INTERVAL_SECONDS)
    callers.wait()
    assert mesh.child(proxy).wait() == 0
    assert_none_is_cut(callers, tmp_path)
