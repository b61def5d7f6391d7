"""Connections between proxies.

The tests cover matching of replies, flow control, liveness and shutdown.
"""

import time
import tracemalloc

import attrs
import eventlet
import pytest
from eventlet import event

from verbenanotch.conf import HostSettings, ProxySettings, Settings
from verbenanotch.idempotency import (
    Acknowledged,
    AlreadyFinished,
    Answer,
    Finish,
    Lookup,
)
from verbenanotch.membership import HostRecord
from verbenanotch.proxy import PeerPool, PeerServer
from verbenanotch.proxy._body_frames import CHUNK_BYTES
from verbenanotch.proxy._cancellation import Cancellation
from verbenanotch.proxy._messages import (
    BodyChunk,
    Cancel,
    Forward,
    ForwardAnswered,
    GoAway,
    Ping,
    RecordReply,
    RecordRequest,
)
from verbenanotch.proxy._outcome import Answered, Call, NotRun, Unknown
from verbenanotch.proxy._send_queue import MAX_QUEUED_MESSAGES, SendQueue
from verbenanotch.telemetry import metrics
from verbenanotch.wire import (
    MAX_FRAME_BYTES,
    Listener,
    Purpose,
    WireError,
    dial,
    encode,
)
from verbenanotch.wire._connection import MAX_PENDING_BYTES
from verbenanotch.wire._pending import MAX_ALL_PENDING_BYTES, all_pending

KEY = "0123456789abcdef"
MAX_BODY_BYTES = 1024 * 1024
SETTINGS = Settings(
    host=HostSettings(
        name="entry",
        role="proxy",
        availability_zone="z1",
        address="127.0.0.1",
        peer_port=0,
        peer_key=KEY,
    ),
    proxy=ProxySettings(
        caller_port=0, target_port=0, control_hosts_by_name={}
    ),
)


def make_call(body=b"", **fields):
    values = {
        "request_id": "r1",
        "service": "s",
        "target_id": "t",
        "method": "POST",
        "path": "/x",
        "headers": (),
        "body": body,
        "remaining_ms": 2000,
        "idempotent": False,
    }
    return Call(**(values | fields))


class FakeTargets:
    """Run calls through a function that the test can replace."""

    def __init__(self):
        """Echo request bodies until `behave` is replaced."""
        self.calls = []
        self.behave = lambda call: Answered(
            status=200, headers=(("X-Body", "1"),), body=call.body
        )

    def run(self, call, *, sender, deadline, cancellation):
        """Record the call and return the outcome of `behave`."""
        self.calls.append((call, cancellation))
        return self.behave(call)


@attrs.define(kw_only=True)
class Link:
    """A pool and the server that it forwards calls to."""

    pool: PeerPool
    server: PeerServer
    targets: FakeTargets
    record: HostRecord

    def forward(self, call, *, seconds=2.0, cancellation=None):
        """Forward one call."""
        return self.pool.forward(
            self.record,
            call,
            deadline=time.monotonic() + seconds,
            cancellation=cancellation or Cancellation(),
        )


def listen(handle):
    listener = Listener(
        address="127.0.0.1",
        port=0,
        key=KEY.encode(),
        name="peer",
        handlers_by_purpose={Purpose.REQUEST: handle},
    )
    listener.start()
    return listener


def make_host_record(listener):
    return HostRecord(
        host="peer",
        availability_zone="z1",
        address="127.0.0.1",
        peer_port=listener.port,
        incarnation=1,
        sequence=1,
    )


@pytest.fixture
def link():
    targets = FakeTargets()
    server = PeerServer(
        local_targets=targets,
        record_server=None,
        guard=None,
        max_body_bytes=MAX_BODY_BYTES,
        max_in_flight=8,
    )
    listener = listen(server.handle)
    pool = PeerPool(settings=SETTINGS)
    yield Link(
        pool=pool,
        server=server,
        targets=targets,
        record=make_host_record(listener),
    )
    pool.stop()
    listener.stop()


@pytest.fixture
def scripted_peer():
    """Return a function that starts a peer and returns a Link to it.

    The function takes the peer's handler of connections.
    """
    started = []

    def start(handle):
        listener = listen(handle)
        pool = PeerPool(settings=SETTINGS)
        started.extend((pool, listener))
        return Link(
            pool=pool,
            server=None,
            targets=None,
            record=make_host_record(listener),
        )

    yield start
    for component in started:
        component.stop()


@pytest.mark.parametrize(
    "size", [0, 1, CHUNK_BYTES, CHUNK_BYTES + 1, MAX_BODY_BYTES]
)
def test_bodies_of_all_sizes_are_transferred_unchanged(link, size):
    body = bytes(range(256)) * (size // 256) + b"x" * (size % 256)
    outcome = link.forward(make_call(body))
    assert outcome.body == body
    assert link.targets.calls[0][0].body == body


def test_answers_out_of_order_are_matched_to_their_calls(link):
    def answer(call):
        eventlet.sleep(0.1 if call.request_id == "slow" else 0)
        return Answered(status=200, headers=(), body=call.request_id.encode())

    link.targets.behave = answer
    waiting = [
        eventlet.spawn(link.forward, make_call(request_id=name))
        for name in ("slow", "a", "b", "c")
    ]
    bodies = [greenthread.wait().body for greenthread in waiting]
    assert bodies == [b"slow", b"a", b"b", b"c"]


def test_a_large_body_does_not_block_other_calls(link):
    big = eventlet.spawn(link.forward, make_call(b"x" * MAX_BODY_BYTES))
    completed = []
    big.link(lambda _: completed.append("big"))
    eventlet.sleep(0)
    link.forward(make_call(b"small"))
    completed.append("small")
    big.wait()
    eventlet.sleep(0)
    assert completed == ["small", "big"]


def test_concurrent_calls_share_one_dial(link):
    dials = []
    original = link.pool._dial

    def dial(**arguments):
        dials.append(arguments)
        eventlet.sleep(0.05)
        return original(**arguments)

    link.pool._dial = dial
    waiting = [eventlet.spawn(link.forward, make_call()) for _ in range(5)]
    assert all(
        isinstance(greenthread.wait(), Answered) for greenthread in waiting
    )
    assert len(dials) == 1


def test_calls_after_a_failed_dial_are_not_run_without_a_redial(link):
    dials = []

    def dial(**arguments):
        dials.append(arguments)
        raise WireError("refused")

    link.pool._dial = dial
    outcomes = [link.forward(make_call()) for _ in range(3)]
    assert all(isinstance(outcome, NotRun) for outcome in outcomes)
    assert len(dials) == 1


def test_a_call_during_a_hanging_dial_ends_at_its_deadline(link):
    link.pool._dial = lambda **arguments: eventlet.sleep(60)
    outcome = link.forward(make_call(), seconds=0.1)
    assert isinstance(outcome, NotRun)


def test_losing_the_peer_after_sending_a_call_is_unknown(scripted_peer):
    link = scripted_peer(lambda connection: connection.receive())
    assert link.forward(make_call()) == Unknown(reason="peer-lost")


def test_losing_the_peer_before_the_last_body_chunk_is_not_run(scripted_peer):
    link = scripted_peer(lambda connection: connection.receive())
    outcome = link.forward(make_call(b"x" * MAX_BODY_BYTES))
    assert isinstance(outcome, NotRun)


def test_a_call_with_an_incomplete_body_is_not_run(link):
    peer = link.pool.connect(link.record, deadline=time.monotonic() + 1)
    connection = peer._connection
    connection.send(
        Forward(stream_id=1, body_bytes=10, call=make_call(b"abc"))
    )
    connection.send(BodyChunk(stream_id=1, data=b"def"))
    connection.close()
    eventlet.sleep(0.05)
    assert link.targets.calls == []


def test_a_body_over_its_declared_length_closes_the_connection(link):
    peer = link.pool.connect(link.record, deadline=time.monotonic() + 1)
    connection = peer._connection
    connection.send(Forward(stream_id=1, body_bytes=5, call=make_call(b"abc")))
    connection.send(BodyChunk(stream_id=1, data=b"defghi"))
    eventlet.sleep(0.05)
    assert peer.closed
    assert link.targets.calls == []


def test_a_truncated_answer_is_unknown(scripted_peer):
    def handle(connection):
        stream_id = connection.receive().stream_id
        connection.send(
            ForwardAnswered(
                stream_id=stream_id,
                body_bytes=10,
                status=200,
                headers=(),
                body=b"abc",
            )
        )

    assert scripted_peer(handle).forward(make_call()) == Unknown(
        reason="peer-lost"
    )


def test_late_and_unsolicited_answers_are_dropped_and_counted(scripted_peer):
    finished = event.Event()

    def answer(connection, stream_id, body):
        connection.send(
            ForwardAnswered(
                stream_id=stream_id,
                body_bytes=len(body),
                status=200,
                headers=(),
                body=body,
            )
        )

    def handle(connection):
        received = [connection.receive() for _ in range(3)]
        cancels = [
            message for message in received if isinstance(message, Cancel)
        ]
        first, second = (
            message.stream_id
            for message in received
            if isinstance(message, Forward)
        )
        assert second != first
        assert [cancel.stream_id for cancel in cancels] == [first]
        answer(connection, first, b"late")
        answer(connection, 999, b"stray")
        answer(connection, second, b"own")
        answer(connection, second, b"again")
        finished.wait()

    link = scripted_peer(handle)
    dropped = metrics.totals_by_name["proxy.late_reply_dropped"]
    late = link.forward(make_call(), seconds=0.05)
    assert late == Unknown(reason="deadline-passed")
    assert link.forward(make_call()).body == b"own"
    eventlet.sleep(0.05)
    assert metrics.totals_by_name["proxy.late_reply_dropped"] == dropped + 3
    finished.send()


def test_a_large_answer_of_a_holder_is_dropped_without_room(scripted_peer):
    """Answers to many repeated keyed requests were not counted."""
    answer = AlreadyFinished(answer=Answer(status=200, body=bytes(100_000)))

    def handle(connection):
        while True:
            connection.send(
                RecordReply(
                    stream_id=connection.receive().stream_id,
                    payload=encode(answer),
                )
            )

    link = scripted_peer(handle)
    peer = link.pool.connect(link.record, deadline=time.monotonic() + 1)
    budget = link.pool._body_budget
    question = Lookup(key="key", digest=b"")
    with budget.reserve_answer() as reservation:
        reservation.keep(budget.max_bytes - 100_000)
        assert peer.ask("pay", question, 1.0) is None
    assert budget.used_bytes == 0
    assert peer.ask("pay", question, 1.0) == answer
    assert budget.used_bytes == 0


class LargeRecords:
    """Record server whose answer to everything is large."""

    def handle(self, service, message):
        """Return an answer on record."""
        return AlreadyFinished(answer=Answer(status=200, body=bytes(500_000)))


def test_replies_to_a_peer_that_does_not_read_are_bounded(link):
    """It asked for a large answer again and again; each was kept."""
    link.server.record_server = LargeRecords()
    budget = link.server.body_budget
    connection = dial(
        address="127.0.0.1",
        port=link.record.peer_port,
        key=KEY.encode(),
        name="entry",
        purpose=Purpose.REQUEST,
    )
    question = encode(Lookup(key="key", digest=b""))
    tracemalloc.start()
    try:
        for stream_id in range(100):
            connection.send(
                RecordRequest(
                    stream_id=stream_id, service="pay", payload=question
                )
            )
            eventlet.sleep(0.005)
        peak_bytes = tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()
    assert 0 < budget.used_bytes <= budget.max_bytes
    # Beside those counted, what the connection has queued, and copies.
    assert peak_bytes < budget.max_bytes + 3 * MAX_PENDING_BYTES
    connection.close()
    eventlet.sleep(0.1)
    assert budget.used_bytes == 0


class StandingConnection:
    """Connection whose peer reads nothing."""

    closed = False

    def send_at_once(self, message):
        """Send nothing."""
        return False

    def send(self, message):
        """Wait."""
        eventlet.sleep(60)

    def close(self):
        """Close the connection."""
        self.closed = True


def test_a_connection_without_end_of_unsent_messages_is_closed():
    connection = StandingConnection()
    send_queue = SendQueue(connection=connection)
    for number in range(MAX_QUEUED_MESSAGES):
        send_queue.post(Ping(number=number))
    assert not connection.closed
    for number in range(100):
        send_queue.post(Ping(number=number))
    assert connection.closed
    assert len(send_queue._messages) <= MAX_QUEUED_MESSAGES


@pytest.mark.parametrize(
    "unsent",
    [
        BodyChunk(stream_id=1, data=bytes(MAX_FRAME_BYTES)),
        GoAway(reason="\ud800"),
    ],
    ids=["over the limit of a frame", "not encodable"],
)
def test_a_message_that_cannot_be_sent_takes_no_others_with_it(link, unsent):
    """The refusals queued behind it were lost: their calls were unknown."""
    peer = link.pool.connect(link.record, deadline=time.monotonic() + 1)
    before = peer._last_received_at
    for message in (unsent, Ping(number=1)):
        peer._send_queue.post(message)
    eventlet.sleep(0.1)
    assert peer._last_received_at > before
    assert not peer.closed


@pytest.fixture
def full_process(monkeypatch):
    """Let peers that do not read take the room of all connections."""
    with monkeypatch.context() as context:
        context.setattr(all_pending, "used_bytes", MAX_ALL_PENDING_BYTES)
        yield context


def test_a_holder_is_asked_in_time_beside_peers_that_do_not_read(
    scripted_peer, full_process
):
    """A caller waited for its answer until there was room to record it."""
    received = []

    def handle(connection):
        while True:
            request = connection.receive()
            received.append(request)
            connection.send(
                RecordReply(
                    stream_id=request.stream_id,
                    payload=encode(Acknowledged(applied=True)),
                )
            )

    link = scripted_peer(handle)
    peer = link.pool.connect(link.record, deadline=time.monotonic() + 1)
    large = Finish(
        key="key",
        token="token",
        answer=Answer(status=200, body=bytes(100_000)),
    )
    with eventlet.Timeout(2):
        assert peer.ask("pay", large, 0.3) is None
    assert not received
    full_process.undo()
    assert peer.ask("pay", large, 1.0) == Acknowledged(applied=True)


def test_a_call_without_room_until_its_deadline_is_not_run(link, full_process):
    headers = (("X-Long", "x" * 100_000),)
    with eventlet.Timeout(2):
        outcome = link.forward(make_call(headers=headers), seconds=0.3)
    assert outcome == NotRun(reason="deadline-passed")
    assert not link.targets.calls
    full_process.undo()
    assert isinstance(link.forward(make_call(headers=headers)), Answered)


def test_a_silent_peer_gets_no_calls_until_it_sends_a_message(scripted_peer):
    resume = event.Event()

    def handle(connection):
        connection.receive()
        resume.wait()
        connection.send(GoAway(reason="alive"))
        connection.receive()

    link = scripted_peer(handle)
    waiting = eventlet.spawn(link.forward, make_call(), seconds=0.5)
    eventlet.sleep(0.01)
    peer = link.pool.connect(link.record, deadline=time.monotonic() + 1)
    now = time.monotonic()
    peer.check_liveness(now)
    peer.check_liveness(now + 1)
    assert link.forward(make_call()) == NotRun(reason="peer-silent")
    resume.send()
    eventlet.sleep(0.05)
    assert not peer.suspect
    assert isinstance(waiting.wait(), Unknown)
    peer.check_liveness(now + 2)
    peer.check_liveness(now + 8)
    assert peer.closed


def test_pings_are_answered(link):
    peer = link.pool.connect(link.record, deadline=time.monotonic() + 1)
    peer._send_queue.post(Ping(number=1))
    before = peer._last_received_at
    eventlet.sleep(0.05)
    assert peer._last_received_at > before


def test_a_host_shutting_down_finishes_calls_and_refuses_new_ones(link):
    release = event.Event()

    def answer(call):
        release.wait()
        return Answered(status=200, headers=(), body=b"done")

    link.targets.behave = answer
    waiting = eventlet.spawn(link.forward, make_call())
    eventlet.sleep(0.05)
    assert link.server.in_flight == 1
    link.server.go_away("shutdown")
    eventlet.sleep(0.05)
    assert link.forward(make_call()) == NotRun(reason="peer-leaving")
    release.send()
    assert waiting.wait().body == b"done"
    assert len(link.targets.calls) == 1


def test_calls_over_max_in_flight_are_refused_immediately(link):
    release = event.Event()
    link.targets.behave = lambda call: release.wait()
    for _ in range(link.server.max_in_flight):
        eventlet.spawn(link.forward, make_call(), seconds=0.3)
    eventlet.sleep(0.05)
    assert link.forward(make_call()) == NotRun(reason="host-full")
    release.send(NotRun(reason="test"))


def test_a_caller_disconnect_cancels_the_call_at_the_target(link):
    release = event.Event()
    link.targets.behave = lambda call: release.wait()
    cancellation = Cancellation()
    waiting = eventlet.spawn(
        link.forward, make_call(), cancellation=cancellation
    )
    eventlet.sleep(0.05)
    cancellation.cancel()
    assert waiting.wait() == Unknown(reason="caller-gone")
    eventlet.sleep(0.05)
    assert link.targets.calls[0][1].cancelled
    release.send(Unknown(reason="cancelled"))


def test_an_interrupted_send_closes_the_connection(scripted_peer):
    stopped = event.Event()
    link = scripted_peer(lambda connection: stopped.wait())
    peer = link.pool.connect(link.record, deadline=time.monotonic() + 1)
    large = make_call(b"x" * 3 * MAX_BODY_BYTES)
    forward = Forward(stream_id=1, body_bytes=len(large.body), call=large)
    with eventlet.Timeout(0.2, False):
        for _ in range(10):
            peer._connection.send(forward)
    assert peer.closed
    stopped.send()


def test_an_exception_at_the_targets_proxy_is_unknown_immediately(link):
    def fail(call):
        raise RuntimeError("test failure")

    link.targets.behave = fail
    assert link.forward(make_call()) == Unknown(reason="internal-error")
    assert link.server.in_flight == 0
