"""The listening side of the connections between proxies."""

import time
import traceback

import attrs
import msgpack

from verbenanotch.crashes import CrashRecords
from verbenanotch.http1 import HeadBytes
from verbenanotch.http1.exceptions import RequestRefusedError
from verbenanotch.loop import Workers
from verbenanotch.proxy import _reasons as reasons
from verbenanotch.proxy import events
from verbenanotch.proxy._body_budget import BodyBudget
from verbenanotch.proxy._body_frames import (
    CHUNK_BYTES,
    BodyAssembler,
    FlowControlWindow,
)
from verbenanotch.proxy._cancellation import Cancellation
from verbenanotch.proxy._large_answers import LargeAnswers
from verbenanotch.proxy._messages import (
    BodyChunk,
    Cancel,
    Forward,
    GoAway,
    Ping,
    Pong,
    RecordReply,
    RecordRequest,
    WindowUpdate,
    Withdraw,
    reply_from_outcome,
)
from verbenanotch.proxy._outcome import Call, NotRun, Unknown
from verbenanotch.proxy._send_queue import SendQueue
from verbenanotch.proxy.exceptions import (
    AnswersTooLargeError,
    BodiesFullError,
    ProxyError,
    StreamReusedError,
)
from verbenanotch.telemetry import emit, metrics
from verbenanotch.wire import WireError, decode, encode

MILLISECONDS_PER_SECOND = 1000


@attrs.define(kw_only=True, eq=False)
class _Stream:
    """One forwarded call, from its opening frame to its last reply frame.

    `request` and `answer` are the Reservations of its bodies, `head` is the
    HeadReservation.
    """

    call: Call
    deadline: float
    assembler: BodyAssembler
    cancellation: Cancellation
    head: object
    request: object
    answer: object
    window: FlowControlWindow = attrs.field(factory=FlowControlWindow)

    def release(self):
        """Give back the bytes of the head and of both bodies."""
        self.head.release()
        self.request.release()
        self.answer.release()


class PeerServer:
    """Run the calls that other proxies forward to this host."""

    def __init__(
        self,
        *,
        local_targets,
        record_server,
        guard,
        max_body_bytes,
        max_in_flight,
        large_answers=None,
        body_budget=None,
    ):
        """Run at most `max_in_flight` calls at once at `local_targets`.

        `large_answers` is the LargeAnswers of this host; without it, they are
        sent at once. `body_budget` is its BodyBudget.

        `record_server` handles the record requests of other hosts. `guard`
        is the CrashGuard that receives the crashes that they report.
        """
        self.guard = guard
        self.local_targets = local_targets
        self.record_server = record_server
        self.max_body_bytes = max_body_bytes
        self.max_in_flight = max_in_flight
        self.in_flight = 0
        self.leaving = False
        self._sessions = set()
        self.workers = Workers()
        self.large_answers = large_answers or LargeAnswers(link_mbps=0.0)
        self.body_budget = body_budget or BodyBudget(
            max_bytes=max_body_bytes * 2, max_body_bytes=max_body_bytes
        )
        self.head_bytes = HeadBytes()

    def handle(self, connection):
        """Serve one peer until its connection closes."""
        session = _Session(server=self, connection=connection)
        self._sessions.add(session)
        try:
            session.receive_forever()
        finally:
            self._sessions.discard(session)
            session.cancel_all()

    def go_away(self, reason):
        """Refuse new calls from now on and send a GoAway to every peer."""
        self.leaving = True
        for session in self._sessions:
            session.send_queue.post(GoAway(reason=reason))

    def post(self, message):
        """Send a message that has no reply to every connected peer."""
        for session in self._sessions:
            session.send_queue.post(message)

    def refusal(self):
        """Return NotRun if no new call can be accepted, else None."""
        if self.leaving:
            return NotRun(reason=reasons.HOST_LEAVING)
        if self.in_flight >= self.max_in_flight:
            return NotRun(reason=reasons.HOST_FULL)
        return None


class _Session:
    """The streams of one connection."""

    def __init__(self, *, server, connection):
        self._server = server
        self._connection = connection
        self._streams_by_id = {}
        self.send_queue = SendQueue(connection=connection)
        if server.leaving:
            self.send_queue.post(GoAway(reason=reasons.HOST_LEAVING))

    def receive_forever(self):
        try:
            while True:
                self._receive(self._connection.receive())
        except ProxyError as error:
            metrics.increment(f"proxy.peer_refused.{error.kind}")
            emit(
                events.PEER_REFUSED,
                peer=self._connection.peer_name,
                kind=error.kind,
                error=str(error),
            )

    def cancel_all(self):
        """Cancel all calls after the peer has disconnected."""
        for stream in list(self._streams_by_id.values()):
            stream.window.close()
            stream.cancellation.cancel()
            if not stream.assembler.is_complete:
                stream.release()

    def _read_arrived(self):
        """Handle what has arrived, such as the Cancel of a call.

        Returns False: a call is cancelled by its Cancel alone.
        """
        try:
            for message in self._connection.receive_arrived():
                self._receive(message)
        except (ProxyError, WireError):
            self._connection.close()
        return False

    def _receive(self, message):
        match message:
            case Forward():
                self._open_stream(message)
            case BodyChunk(stream_id=stream_id, data=data):
                self._receive_chunk(stream_id, data)
            case WindowUpdate(stream_id=stream_id, size=size):
                stream = self._streams_by_id.get(stream_id)
                if stream is not None:
                    stream.window.enlarge(size)
            case Cancel(stream_id=stream_id):
                self._cancel(stream_id)
            case Withdraw(stream_id=stream_id):
                self._withdraw(stream_id)
            case RecordRequest():
                self._reply_to_record_request(message)
            case CrashRecords(records=records):
                self._server.guard.receive_records(
                    records,
                    connection=self._connection,
                    reply=self.send_queue.post,
                )
            case Ping(number=number):
                self.send_queue.post(Pong(number=number))

    def _reply_to_record_request(self, request):
        message = decode(msgpack.unpackb(request.payload))
        reply = self._server.record_server.handle(request.service, message)
        payload = encode(reply)
        kept = self._server.body_budget.reserve_answer()
        if len(payload) > CHUNK_BYTES:
            try:
                kept.take(len(payload))
            except AnswersTooLargeError:
                # As if it were lost on the way: the holder did not reply.
                metrics.increment("proxy.record_replies_dropped")
                return
        self.send_queue.post(
            RecordReply(stream_id=request.stream_id, payload=payload),
            kept=kept,
        )

    def _open_stream(self, forward):
        stream_id = forward.stream_id
        if stream_id in self._streams_by_id:
            raise StreamReusedError(
                f"peer opened stream {stream_id} twice; "
                "run the same release on every host"
            )
        head = self._server.head_bytes.reserve()
        request = self._server.body_budget.reserve_request()
        refusal = (
            self._server.refusal()
            or self._take_head(head, forward.call)
            or self._take(request, forward.body_bytes, len(forward.call.body))
        )
        if refusal is not None:
            head.release()
            self._refuse(stream_id, refusal)
            return
        call = forward.call
        stream = _Stream(
            call=call,
            deadline=time.monotonic()
            + call.remaining_ms / MILLISECONDS_PER_SECOND,
            assembler=BodyAssembler(
                body_bytes=forward.body_bytes, first_chunk=call.body
            ),
            cancellation=Cancellation(has_caller_left=self._read_arrived),
            head=head,
            request=request,
            answer=self._server.body_budget.reserve_answer(),
        )
        self._streams_by_id[stream_id] = stream
        if stream.assembler.is_complete:
            self._start_call(stream_id, stream)

    def _take_head(self, head, call):
        """Count the head of a call, or return NotRun."""
        fields_bytes = sum(
            len(name) + len(value) for name, value in call.headers
        )
        try:
            head.add(len(call.path) + fields_bytes)
        except RequestRefusedError:
            return NotRun(reason=reasons.HEADS_FULL)
        return None

    def _take(self, request, body_bytes, count):
        """Take `count` of the `body_bytes` of a request, or return NotRun."""
        if body_bytes > self._server.max_body_bytes:
            return NotRun(reason="body-too-large")
        try:
            request.check(body_bytes)
            request.take(count)
        except BodiesFullError:
            return NotRun(reason=reasons.BODIES_FULL)
        return None

    def _refuse(self, stream_id, refusal):
        metrics.increment(f"proxy.refused.{refusal.reason}")
        self.send_queue.post(
            reply_from_outcome(stream_id, refusal, inline_bytes=0)
        )

    def _receive_chunk(self, stream_id, data):
        stream = self._streams_by_id.get(stream_id)
        if stream is None:
            metrics.increment("proxy.late_chunk_dropped")
            return
        try:
            stream.request.take(len(data))
        except BodiesFullError:
            del self._streams_by_id[stream_id]
            stream.release()
            self._refuse(stream_id, NotRun(reason=reasons.BODIES_FULL))
            return
        stream.assembler.add(data)
        if not stream.assembler.is_complete:
            self.send_queue.post(
                WindowUpdate(stream_id=stream_id, size=len(data))
            )
            return
        stream.call = attrs.evolve(stream.call, body=stream.assembler.body())
        self._start_call(stream_id, stream)

    def _start_call(self, stream_id, stream):
        self._server.in_flight += 1
        self._server.workers.run(self._run_call, stream_id, stream)

    def _cancel(self, stream_id):
        stream = self._streams_by_id.get(stream_id)
        if stream is None:
            return
        metrics.increment("proxy.call_cancelled")
        stream.window.close()
        stream.cancellation.cancel()
        if not stream.assembler.is_complete:
            del self._streams_by_id[stream_id]
            stream.release()

    def _withdraw(self, stream_id):
        stream = self._streams_by_id.get(stream_id)
        if stream is None:
            return
        metrics.increment("proxy.call_withdrawn")
        if stream.assembler.is_complete:
            stream.cancellation.withdraw(reasons.HOST_STOPPING)
            return
        del self._streams_by_id[stream_id]
        stream.release()
        self._refuse(stream_id, NotRun(reason=reasons.HOST_STOPPING))

    def _run_call(self, stream_id, stream):
        try:
            if stream.cancellation.check():
                return
            large_answers = self._server.large_answers
            expected_bytes = large_answers.expected_bytes(stream.call)
            outcome = large_answers.refusal(expected_bytes, stream.deadline)
            if outcome is None:
                with large_answers.expecting(expected_bytes):
                    outcome = self._server.local_targets.run(
                        stream.call,
                        sender=self._connection.peer_name,
                        deadline=stream.deadline,
                        cancellation=stream.cancellation,
                    )
            large_answers.observe(stream.call, outcome)
            if not stream.cancellation.cancelled:
                self._reply(stream_id, stream, outcome)
        except WireError:
            metrics.increment("proxy.reply_undeliverable")
        except Exception:
            emit(
                events.REQUEST_FAILED,
                request=stream.call.request_id,
                traceback=traceback.format_exc(),
            )
            failure = Unknown(reason=reasons.INTERNAL_ERROR)
            self.send_queue.post(
                reply_from_outcome(stream_id, failure, inline_bytes=0)
            )
        finally:
            self._streams_by_id.pop(stream_id, None)
            self._server.in_flight -= 1
            stream.release()

    def _reply(self, stream_id, stream, outcome):
        large_answers = self._server.large_answers
        body = getattr(outcome, "body", b"")
        stream.answer.keep(len(body))
        reply = reply_from_outcome(
            stream_id, outcome, inline_bytes=large_answers.inline_bytes(body)
        )
        self._connection.send(reply)
        if len(body) > CHUNK_BYTES:
            large_answers.send(
                self._connection,
                stream_id=stream_id,
                body=body,
                window=stream.window,
                deadline=stream.deadline,
            )
