"""Tests of the entry interface, with fake peers in place of targets."""

import contextlib
import functools
import http.client
import json
import socket
import time

import attrs
import eventlet
import pytest

from tests.unit.test_proxy_peers import SETTINGS
from verbenanotch.catalog import Route, Service, Version
from verbenanotch.daemon._caller_protocol import (
    CallerProtocol,
    PipelineOptions,
)
from verbenanotch.daemon._http import HttpServer
from verbenanotch.distribution import Snapshot
from verbenanotch.distribution._snapshot import with_mesh, with_targets
from verbenanotch.membership import HostRecord, TargetRecord
from verbenanotch.proxy import (
    BodyBudget,
    DisconnectMonitor,
    Dispatcher,
    EntryInterface,
)
from verbenanotch.proxy._outcome import Answered, NotRun, Unknown

MAX_BODY_BYTES = 1000
MAX_PIPELINED = 4
KEY = "1796337870882-booking"
# More than any request needs that waits for nothing.
TURNS_BEFORE_CLOSE = 30
ANSWER = Answered(status=200, headers=(("X-From", "t"),), body=b"hello")


class FakePeers:
    """Return scripted outcomes; the last one is repeated."""

    def __init__(self):
        """Answer every call with `ANSWER`."""
        self.outcomes = [ANSWER]
        self.calls = []

    def forward(self, record, call, *, deadline, cancellation):
        """Record the call and return the next outcome.

        An outcome may be a function of the Cancellation.
        """
        self.calls.append(call)
        outcome = self.outcomes[0]
        if len(self.outcomes) > 1:
            self.outcomes.pop(0)
        return outcome(cancellation) if callable(outcome) else outcome


@attrs.define(kw_only=True)
class Answer:
    """The response that the caller receives."""

    status: int
    headers: dict
    body: bytes

    @property
    def outcome(self):
        """Return the outcome header."""
        return self.headers.get("X-Verbenanotch-Outcome")

    @property
    def reason(self):
        """Return the reason in the JSON body."""
        return json.loads(self.body)["reason"]


@attrs.define(kw_only=True)
class Entry:
    """A running entry interface and the fakes behind it."""

    http: HttpServer
    peers: FakePeers
    snapshot_store: object
    interface: EntryInterface

    def send_request(self, method="POST", path="/pay/1", body=None, **headers):
        """Send one request and return the Answer.

        Underscores in the names of `headers` stand for hyphens.
        """
        connection = http.client.HTTPConnection(
            "127.0.0.1", self.http.port, timeout=5
        )
        names = {
            name.replace("_", "-"): value for name, value in headers.items()
        }
        connection.request(method, path, body=body, headers=names)
        response = connection.getresponse()
        answer = Answer(
            status=response.status,
            headers=dict(response.getheaders()),
            body=response.read(),
        )
        connection.close()
        return answer

    def send_bytes(self, data):
        """Send raw bytes; return everything that the server sends back.

        The caller closes its side after TURNS_BEFORE_CLOSE of the loop, as no
        request of a caller that has left is run.
        """
        with socket.create_connection(("127.0.0.1", self.http.port)) as sock:
            sock.sendall(data)
            for _ in range(TURNS_BEFORE_CLOSE):
                eventlet.sleep(0)
            sock.shutdown(socket.SHUT_WR)
            chunks = []
            while data := sock.recv(65536):
                chunks.append(data)
            return b"".join(chunks)


def make_record(number, service="pay"):
    target = TargetRecord(
        target_id=f"{service}/{number}",
        service=service,
        address="127.0.0.1",
        port=1,
        slots=4,
        incarnation=1,
    )
    return HostRecord(
        host=f"h{number}",
        availability_zone="z1",
        address="127.0.0.1",
        peer_port=number,
        incarnation=1,
        sequence=1,
        targets=(target,),
    )


class FakeSnapshotStore:
    """Keep a snapshot that the test replaces."""

    def __init__(self, records, **mesh):
        """Start with a mesh and the HostRecords of its targets."""
        self.snapshot = with_mesh(Snapshot(), **mesh)
        self.replace_records(records)

    def replace_records(self, records):
        """Replace the HostRecords that have targets of the service."""
        self.snapshot = with_targets(
            self.snapshot,
            records_by_service={
                "pay": {record.host: record for record in records}
            },
            changed_services={"pay"},
        )


@pytest.fixture
def entry():
    snapshot_store = FakeSnapshotStore(
        [make_record(number) for number in range(1, 5)],
        version=Version(epoch=1, index=1),
        services_by_name={"pay": Service(cold_start_ms=0)},
        routes_by_name={"pay": Route(prefix="/pay", service="pay")},
    )
    settings = attrs.evolve(
        SETTINGS,
        proxy=attrs.evolve(SETTINGS.proxy, max_body_bytes=MAX_BODY_BYTES),
    )
    with run_entry(settings, snapshot_store) as running:
        yield running


@contextlib.contextmanager
def run_entry(settings, snapshot_store, **options):
    """Run an Entry; `options` are those of its EntryInterface."""
    peers = FakePeers()
    disconnect_monitor = DisconnectMonitor()
    dispatcher = Dispatcher(
        settings=settings,
        snapshot_store=snapshot_store,
        local_targets=None,
        peers=peers,
    )
    interface = EntryInterface(
        settings=settings,
        snapshot_store=snapshot_store,
        dispatcher=dispatcher,
        **{"keyed": None, **options},
    )
    server = HttpServer(
        address="127.0.0.1",
        port=0,
        application=interface.application,
        protocol=functools.partial(
            CallerProtocol,
            options=PipelineOptions(
                is_safe=interface.is_safe,
                disconnect_monitor=disconnect_monitor,
                max_concurrent=MAX_PIPELINED,
            ),
        ),
    )
    disconnect_monitor.start()
    server.start()
    yield Entry(
        http=server,
        peers=peers,
        snapshot_store=snapshot_store,
        interface=interface,
    )
    server.stop()
    disconnect_monitor.stop()


def test_a_response_is_returned_completely(entry):
    answer = entry.send_request(body=b"x", X_Request_Id="mine", X_Extra="1")
    assert (answer.status, answer.body) == (200, b"hello")
    assert answer.outcome == "answered"
    assert answer.headers["X-Request-Id"] == "mine"
    assert answer.headers["X-From"] == "t"
    call = entry.peers.calls[0]
    assert (call.method, call.path, call.body) == ("POST", "/pay/1", b"x")
    assert ("X-Extra", "1") in call.headers


def test_a_request_id_extended_at_each_of_nine_levels_is_accepted(entry):
    request_id = ".".join(["0" * 32] + ["interpreter-desk/10.1.2.3:7500"] * 9)
    assert entry.send_request(X_Request_Id=request_id).outcome == "answered"
    assert (
        entry.send_request(X_Request_Id="x" * 513).reason == "bad-request-id"
    )


def test_a_target_cannot_set_the_outcome_header(entry):
    entry.peers.outcomes = [
        Answered(
            status=503,
            headers=(("X-Verbenanotch-Outcome", "not-run"),),
            body=b"",
        )
    ]
    answer = entry.send_request()
    assert (answer.status, answer.outcome) == (503, "answered")


def test_not_run_is_returned_as_503_and_unknown_as_504(entry):
    entry.peers.outcomes = [NotRun(reason="target-full", retry_after_ms=1500)]
    answer = entry.send_request()
    assert (answer.status, answer.outcome) == (503, "not-run")
    assert answer.headers["Retry-After"] == "2"
    assert answer.reason == "target-full"
    entry.peers.outcomes = [Unknown(reason="peer-lost")]
    answer = entry.send_request()
    assert (answer.status, answer.outcome) == (504, "unknown")
    assert answer.reason == "peer-lost"
    assert json.loads(answer.body)["request_id"]


def test_a_non_idempotent_request_that_may_have_run_is_not_retried(entry):
    entry.peers.outcomes = [Unknown(reason="peer-lost"), ANSWER]
    assert entry.send_request("POST").outcome == "unknown"
    assert len(entry.peers.calls) == 1


def test_an_idempotent_request_is_retried_on_another_target(entry):
    entry.peers.outcomes = [Unknown(reason="peer-lost"), ANSWER]
    assert entry.send_request("GET").outcome == "answered"
    first, second = entry.peers.calls
    assert first.target_id != second.target_id
    assert (first.attempt, second.attempt) == (1, 2)


def test_a_refused_request_is_retried_on_another_target(entry):
    entry.peers.outcomes = [NotRun(reason="peer-leaving"), ANSWER]
    assert entry.send_request("POST").outcome == "answered"
    assert len(entry.peers.calls) == 2


def test_the_refusal_of_the_last_target_is_returned(entry):
    entry.snapshot_store.replace_records([make_record(1)])
    entry.peers.outcomes = [NotRun(reason="target-full", retry_after_ms=1500)]
    assert entry.send_request("POST").reason == "target-full"


def test_a_request_that_may_have_run_is_unknown_after_a_refused_retry(entry):
    entry.peers.outcomes = [
        Unknown(reason="peer-lost"),
        NotRun(reason="target-full"),
    ]
    answer = entry.send_request("GET")
    assert answer.outcome == "unknown"
    assert len(entry.peers.calls) > 1


def test_the_retries_header_limits_the_attempts(entry):
    entry.peers.outcomes = [Unknown(reason="peer-lost")]
    entry.send_request(
        "GET", X_Verbenanotch_Retries="0", X_Verbenanotch_Depth="8"
    )
    assert len(entry.peers.calls) == 1
    assert entry.peers.calls[0].next_hop_retries == 0
    assert entry.peers.calls[0].depth == 8


@pytest.mark.parametrize(
    ("headers", "status", "reason"),
    [
        ({"X_Request_Timeout_Ms": "0"}, 400, "bad-timeout"),
        ({"X_Request_Timeout_Ms": "600001"}, 400, "bad-timeout"),
        ({"X_Request_Timeout_Ms": "-5"}, 400, "bad-timeout"),
        ({"X_Request_Timeout_Ms": "soon"}, 400, "bad-timeout"),
        ({"X_Verbenanotch_Depth": "9"}, 400, "too-deep"),
        ({"X_Verbenanotch_Depth": "x"}, 400, "bad-call-headers"),
        ({"X_Verbenanotch_Retries": "-1"}, 400, "bad-call-headers"),
        ({"X_Request_Id": "a b"}, 400, "bad-request-id"),
        ({"Transfer_Encoding": "gzip"}, 501, "bad-transfer-encoding"),
    ],
)
def test_invalid_headers_are_rejected_with_a_reason(
    entry, headers, status, reason
):
    answer = entry.send_request("GET", **headers)
    assert (answer.status, answer.reason) == (status, reason)
    assert answer.outcome == "not-run"
    assert entry.peers.calls == []


@pytest.mark.parametrize(
    ("request_bytes", "status", "reason"),
    [
        (b"POST /pay HTTP/1.1\r\nContent-Length: x\r\n\r\n", 400, "length"),
        (b"POST /pay HTTP/1.1\r\nContent-Length: -1\r\n\r\n", 400, "length"),
        (
            b"POST /pay HTTP/1.1\r\nContent-Length: 3\r\n"
            b"Content-Length: 4\r\n\r\nabcd",
            400,
            "bad-length",
        ),
        (
            b"POST /pay HTTP/1.1\r\nContent-Length: 3\r\n"
            b"Transfer-Encoding: chunked\r\n\r\nabc",
            400,
            "bad-length",
        ),
        (
            b"POST /pay HTTP/1.1\r\nContent-Length: 9\r\n\r\nabc",
            400,
            "body-cut-short",
        ),
        (
            b"POST /pay HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\na",
            400,
            "body-cut-short",
        ),
        (
            b"POST /pay HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
            400,
            "body-cut-short",
        ),
        (
            b"POST /pay HTTP/1.1\r\nContent-Length: 1001\r\n\r\n"
            + b"x" * 1001,
            413,
            "body-too-large",
        ),
        (
            b"POST /pay HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"3e9\r\n" + b"x" * 1001 + b"\r\n0\r\n\r\n",
            413,
            "body-too-large",
        ),
        (b"GET http://x/pay HTTP/1.1\r\nHost: x\r\n\r\n", 400, "bad-path"),
        (b"nonsense\r\n\r\n", 400, "not-run"),
    ],
)
def test_invalid_requests_are_rejected_with_a_reason(
    entry, request_bytes, status, reason
):
    received = entry.send_bytes(request_bytes)
    assert received.split(b" ", 2)[1] == str(status).encode()
    assert b"X-Verbenanotch-Outcome: not-run" in received
    assert reason.encode() in received
    assert entry.peers.calls == []


def test_a_request_whose_body_misses_the_deadline_is_not_run(entry):
    with socket.create_connection(("127.0.0.1", entry.http.port)) as sock:
        sock.sendall(
            b"POST /pay HTTP/1.1\r\nContent-Length: 9\r\n"
            b"X-Request-Timeout-Ms: 50\r\n\r\nabc"
        )
        assert b"body-late" in sock.recv(65536)
    assert entry.peers.calls == []


def test_chunked_request_bodies_are_accepted(entry):
    received = entry.send_bytes(
        b"POST /pay HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
    )
    assert received.endswith(b"hello")
    assert entry.peers.calls[0].body == b"abcde"


def test_no_content_length_is_added_to_a_head_response(entry):
    entry.peers.outcomes = [
        Answered(status=200, headers=(("Content-Type", "a/b"),), body=b"")
    ]
    answer = entry.send_request("HEAD")
    assert answer.outcome == "answered"
    assert answer.headers.get("Content-Length") is None


def test_a_request_without_a_route_or_target_is_not_run(entry):
    assert entry.send_request(path="/other").reason == "no-route"
    entry.snapshot_store.replace_records([])
    answer = entry.send_request()
    assert (answer.status, answer.reason) == (503, "no-target")


def test_a_keyed_request_without_a_route_is_unknown(entry):
    """An earlier attempt may have run, and the holders were not asked."""
    key = "1796337870882-booking"
    answer = entry.send_request(path="/other", Idempotency_Key=key)
    assert (answer.status, answer.reason) == (504, "key-no-route")
    assert answer.headers["Retry-After"]


def test_a_caller_that_disconnects_cancels_its_call(entry):
    cancelled = []

    def wait(cancellation):
        cancellation.on_cancel(lambda: cancelled.append(time.monotonic()))
        eventlet.sleep(0.5)
        return Unknown(reason="caller-gone")

    entry.peers.outcomes = [wait, ANSWER]
    sock = socket.create_connection(("127.0.0.1", entry.http.port))
    sock.sendall(b"GET /pay HTTP/1.1\r\nHost: x\r\n\r\n")
    eventlet.sleep(0.05)
    sock.close()
    eventlet.sleep(0.6)
    assert cancelled
    assert len(entry.peers.calls) == 1


def test_a_stopping_server_serves_open_connections_and_closes_them(entry):
    release = eventlet.event.Event()

    def wait(cancellation):
        release.wait()
        return ANSWER

    entry.peers.outcomes = [wait, ANSWER]
    busy = http.client.HTTPConnection("127.0.0.1", entry.http.port)
    busy.request("GET", "/pay")
    idle = http.client.HTTPConnection("127.0.0.1", entry.http.port)
    idle.connect()
    eventlet.sleep(0.05)
    assert entry.http.in_flight == 1
    entry.http.stop_accepting()
    with pytest.raises(ConnectionRefusedError):
        socket.create_connection(("127.0.0.1", entry.http.port))
    idle.request("GET", "/pay")
    response = idle.getresponse()
    assert response.read() == b"hello"
    assert response.getheader("Connection") == "close"
    entry.http.close_idle()
    release.send()
    response = busy.getresponse()
    assert response.read() == b"hello"
    assert response.getheader("Connection") == "close"
    eventlet.sleep(0.05)
    assert entry.http.connection_count == 0


def test_an_internal_error_is_returned_as_unknown(entry):
    def fail(cancellation):
        raise RuntimeError("internal error")

    entry.peers.outcomes = [fail]
    answer = entry.send_request()
    assert (answer.status, answer.outcome) == (504, "unknown")
    assert answer.reason == "internal-error"


def test_a_target_that_refuses_within_its_slots_is_avoided(entry):
    entry.peers.outcomes = [NotRun(reason="target-refused"), ANSWER]
    assert entry.send_request("GET", path="/pay/1").status == 200
    first = entry.peers.calls[0].target_id
    states_by_id = (
        entry.interface._dispatcher._candidate_cache.states_by_target_id
    )
    assert states_by_id[first].error_share > 0
    for _ in range(40):
        entry.send_request("GET", path="/pay/1")
    later = [call.target_id for call in entry.peers.calls[2:]]
    assert later.count(first) < len(later) / 4


def test_a_missing_route_is_a_404_if_the_settings_say_so(entry):
    assert entry.send_request(path="/other").status == 503
    settings = entry.interface._settings
    entry.interface._settings = attrs.evolve(
        settings, proxy=attrs.evolve(settings.proxy, unrouted_is_missing=True)
    )
    answer = entry.send_request(path="/other")
    assert (answer.status, answer.reason) == (404, "no-route")
    entry.snapshot_store.snapshot = Snapshot()
    assert entry.send_request(path="/other").status == 503


class WaitingAnswers:
    """LargeAnswers that record the bytes in a budget during each wait."""

    def __init__(self, budget):
        """Start without a record."""
        self._budget = budget
        self.kept_bytes = []

    def wait_for_caller(self, outcome, deadline):
        """Record the bytes that are kept while the answer waits."""
        self.kept_bytes.append(self._budget.used_bytes)


@pytest.fixture
def budget():
    return BodyBudget(max_bytes=1000, max_body_bytes=MAX_BODY_BYTES)


@pytest.fixture
def counted_entry(entry, budget):
    with run_entry(
        SETTINGS,
        entry.snapshot_store,
        body_budget=budget,
        large_answers=WaitingAnswers(budget),
    ) as running:
        yield running


def test_an_answer_is_counted_while_it_waits_for_the_link(
    counted_entry, budget
):
    assert counted_entry.send_request(body=b"x" * 7).body == b"hello"
    waits = counted_entry.interface._large_answers
    assert waits.kept_bytes == [len(b"hello") + 7]
    assert budget.used_bytes == 0


class SlowHolders:
    """KeyedRequests that record the bytes while an answer is recorded."""

    def __init__(self, budget):
        """Start without a record, and with no answer to an earlier try."""
        self._budget = budget
        self.kept_bytes = []
        self.earlier_answer = None

    def run(self, request, run_request):
        """Return the earlier answer, or run the request."""
        if self.earlier_answer is not None:
            return self.earlier_answer
        outcome = run_request()
        self.kept_bytes.append(self._budget.used_bytes)
        return outcome


@pytest.fixture
def keyed_entry(entry, budget):
    with run_entry(
        SETTINGS,
        entry.snapshot_store,
        body_budget=budget,
        keyed=SlowHolders(budget),
    ) as running:
        yield running


def test_the_answer_to_a_keyed_request_is_counted_while_it_is_recorded(
    keyed_entry, budget
):
    holders = keyed_entry.interface._keyed
    answer = keyed_entry.send_request(body=b"x" * 7, Idempotency_Key=KEY)
    assert answer.body == b"hello"
    assert holders.kept_bytes == [len(b"hello") + 7]
    assert budget.used_bytes == 0


def test_an_earlier_answer_without_room_is_unknown(keyed_entry, budget):
    keyed_entry.interface._keyed.earlier_answer = ANSWER
    with budget.reserve_answer() as reservation:
        reservation.take(996)
        refused = keyed_entry.send_request(Idempotency_Key=KEY)
        assert (refused.status, refused.reason) == (504, "answers-too-large")
    assert budget.used_bytes == 0
    again = keyed_entry.send_request(Idempotency_Key=KEY)
    assert again.body == ANSWER.body


def test_a_refusal_of_holders_without_room_is_no_unknown_outcome(
    keyed_entry, budget
):
    holders = keyed_entry.interface._keyed
    holders.earlier_answer = NotRun(reason="key-full")
    others = budget.reserve_answer()
    answer = holders.run

    def run(request, run_request):
        others.keep(budget.max_bytes + 1)
        return answer(request, run_request)

    holders.run = run
    refused = keyed_entry.send_request(Idempotency_Key=KEY)
    others.release()
    assert (refused.status, refused.reason) == (503, "key-full")


def test_a_request_without_room_is_not_run(counted_entry, budget):
    with budget.reserve_answer() as reservation:
        reservation.take(995)
        refused = counted_entry.send_request(body=b"x" * 7)
        assert (refused.status, refused.reason) == (503, "bodies-full")
        assert not counted_entry.peers.calls
    assert counted_entry.send_request(body=b"x" * 7).status == 200


def test_a_late_body_takes_no_bytes_of_the_next_request(entry):
    """Send the rest of a body after the deadline, and another request."""
    sock = eventlet.connect(("127.0.0.1", entry.http.port))
    head = b"POST /pay/1 HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n"
    sock.sendall(head % 100 + b"X-Request-Timeout-Ms: 50\r\n\r\n" + b"a" * 60)
    received = b""
    with eventlet.Timeout(5.0):
        while b"body-late" not in received:
            received += sock.recv(65536)
        assert b"408" in received
        sock.sendall(b"a" * 40 + head % 1 + b"\r\nx")
        rest = received.split(b"body-late")[1]
        with contextlib.suppress(OSError):
            while data := sock.recv(65536):
                rest += data
    # Either the next request is answered, or the connection was closed for
    # all to see before it was sent.
    assert b"200 OK" in rest or b"Connection: close" in received
