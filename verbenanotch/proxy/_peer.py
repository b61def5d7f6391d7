"""The dialing side of a connection to a peer proxy."""

import itertools
import time

import attrs
import eventlet
import msgpack
from eventlet import event

from verbenanotch.crashes import CrashRecords
from verbenanotch.proxy import _reasons as reasons
from verbenanotch.proxy import events
from verbenanotch.proxy._body_frames import (
    CHUNK_BYTES,
    BodyAssembler,
    FlowControlWindow,
    send_remaining_chunks,
)
from verbenanotch.proxy._messages import (
    BodyChunk,
    Cancel,
    Forward,
    ForwardAnswered,
    ForwardNotRun,
    ForwardUnknown,
    GoAway,
    Ping,
    Pong,
    RecordReply,
    RecordRequest,
    TargetReport,
    WindowUpdate,
    Withdraw,
    outcome_from_reply,
)
from verbenanotch.proxy._outcome import NotRun, Unknown
from verbenanotch.proxy._send_queue import SendQueue
from verbenanotch.proxy.exceptions import AnswersTooLargeError, ProxyError
from verbenanotch.telemetry import emit, metrics
from verbenanotch.wire import (
    FrameTooLargeError,
    NoRoomError,
    WireError,
    decode,
    encode,
)

# Times after which a peer with an unanswered ping gets no new calls, and after
# which its connection is closed.
SUSPECT_AFTER_SECONDS = 0.75
CLOSE_AFTER_SECONDS = 5.0
# Connections without streams are pinged after this time without a message.
IDLE_PING_SECONDS = 5.0


class _Stream:
    """A forwarded call or record request that waits for its reply."""

    def __init__(self, answer):
        self.window = FlowControlWindow()
        # The Reservation for the body of the answer.
        self.answer = answer
        # The ForwardAnswered whose body `assembler` collects.
        self.partial_answer = None
        self.assembler = None
        self._done = event.Event()

    def finish(self, outcome):
        """Set the outcome unless one is set already."""
        if not self._done.ready():
            self._done.send(outcome)

    def wait(self, seconds):
        """Return the outcome, or None after `seconds`."""
        self._done.wait(timeout=max(0, seconds))
        return self._done.wait() if self._done.ready() else None


class Peer:
    """Forward calls to one peer and match its replies to them.

    Replies are matched by connection and stream id: each Peer has one
    connection and each call its own stream id, so a late reply can't be taken
    for that of another call.
    """

    def __init__(
        self,
        *,
        connection,
        max_body_bytes,
        body_budget,
        on_report,
        on_crash_records,
    ):
        """Start receiving on a dialed connection.

        `on_report` is called with each TargetReport, `on_crash_records` with
        the CrashRecords that the peer knows beyond those sent to it.
        """
        self._on_crash_records = on_crash_records
        self._on_report = on_report
        self._connection = connection
        self._max_body_bytes = max_body_bytes
        self._body_budget = body_budget
        self._send_queue = SendQueue(connection=connection)
        self._stream_ids = itertools.count(1)
        self._ping_numbers = itertools.count(1)
        self._streams_by_id = {}
        self._last_received_at = time.monotonic()
        self._unanswered_ping_at = None
        self.leaving = False
        self.suspect = False
        eventlet.spawn_n(self._receive_forever)

    @property
    def closed(self):
        """Whether the connection is closed."""
        return self._connection.closed

    @property
    def in_flight(self):
        """Number of calls and record requests that wait for replies."""
        return len(self._streams_by_id)

    def close(self):
        """Close the connection; calls in flight become Unknown."""
        self._connection.close()

    def refusal(self):
        """Return NotRun if no call can be sent at present, else None."""
        if self.closed:
            return NotRun(reason=reasons.PEER_UNREACHABLE)
        if self.leaving:
            return NotRun(reason=reasons.PEER_LEAVING)
        if self.suspect:
            return NotRun(reason=reasons.PEER_SILENT)
        return None

    def forward(self, call, *, deadline, cancellation):
        """Run a call at the peer's target and return its outcome.

        `deadline` is in monotonic seconds.
        """
        # The caller may have left while the peer was dialled.
        if cancellation.check():
            return NotRun(reason=reasons.CALLER_GONE)
        if cancellation.withdrawn_reason:
            return NotRun(reason=cancellation.withdrawn_reason)
        refusal = self.refusal()
        if refusal is not None:
            return refusal
        stream_id = next(self._stream_ids)
        stream = _Stream(self._body_budget.reserve_answer())
        self._streams_by_id[stream_id] = stream
        cancellation.on_cancel(lambda: self._cancel(stream_id))
        cancellation.on_withdraw(lambda: self._withdraw(stream_id))
        try:
            failure = self._send(stream_id, stream, call, deadline)
            if failure is not None:
                return failure
            # The first Cancel or Withdraw may have overtaken the call.
            if cancellation.cancelled:
                self._send_queue.post(Cancel(stream_id=stream_id))
            if cancellation.withdrawn_reason:
                self._send_queue.post(Withdraw(stream_id=stream_id))
            outcome = stream.wait(deadline - time.monotonic())
            if outcome is None:
                self._send_queue.post(Cancel(stream_id=stream_id))
                return Unknown(reason=reasons.DEADLINE_PASSED)
            return outcome
        finally:
            cancellation.on_cancel(None)
            cancellation.on_withdraw(None)
            del self._streams_by_id[stream_id]
            stream.answer.release()

    def ask(self, service, message, timeout_seconds):
        """Send a message to the peer, a record holder; return the reply.

        Returns None if the peer is closed or silent, or if no reply arrives
        within `timeout_seconds`.
        """
        if self.closed or self.suspect:
            return None
        deadline = time.monotonic() + timeout_seconds
        stream_id = next(self._stream_ids)
        stream = _Stream(self._body_budget.reserve_answer())
        self._streams_by_id[stream_id] = stream
        request = RecordRequest(
            stream_id=stream_id, service=service, payload=encode(message)
        )
        try:
            self._connection.send(request, deadline=deadline)
            reply = stream.wait(deadline - time.monotonic())
        except WireError:
            return None
        finally:
            del self._streams_by_id[stream_id]
            stream.answer.release()
        return None if isinstance(reply, Unknown) else reply

    def post(self, message):
        """Send a message that has no reply."""
        if not self.closed:
            self._send_queue.post(message)

    def check_liveness(self, now):
        """Ping the peer; suspect and finally close it if it doesn't answer.

        Has to be called several times a second. `now` is in monotonic
        seconds.
        """
        silent_seconds = now - self._last_received_at
        if self._unanswered_ping_at is None:
            if self._streams_by_id or silent_seconds > IDLE_PING_SECONDS:
                self._unanswered_ping_at = now
                self._send_queue.post(Ping(number=next(self._ping_numbers)))
            return
        unanswered_seconds = now - self._unanswered_ping_at
        if unanswered_seconds > CLOSE_AFTER_SECONDS:
            emit(events.PEER_GIVEN_UP, peer=self._connection.peer_name)
            metrics.increment("proxy.peer_given_up")
            self.close()
        elif unanswered_seconds > SUSPECT_AFTER_SECONDS and not self.suspect:
            self.suspect = True
            emit(events.PEER_SILENT, peer=self._connection.peer_name)
            metrics.increment("proxy.peer_silent")

    def _send(self, stream_id, stream, call, deadline):
        """Send a call; return an outcome if sending failed, else None.

        The peer runs a call only after it has received the complete body, so
        a call whose last frame was not sent is NotRun. If the connection fails
        during a send, the outcome is Unknown.
        """
        body = call.body
        opening_call = call
        if len(body) > CHUNK_BYTES:
            opening_call = attrs.evolve(call, body=body[:CHUNK_BYTES])
        forward = Forward(
            stream_id=stream_id, body_bytes=len(body), call=opening_call
        )
        try:
            self._connection.send(forward, deadline=deadline)
            if len(body) <= CHUNK_BYTES or send_remaining_chunks(
                self._connection,
                stream_id=stream_id,
                body=body,
                window=stream.window,
                deadline=deadline,
            ):
                return None
        except FrameTooLargeError:
            return NotRun(reason="headers-too-large")
        except NoRoomError:
            return NotRun(reason=reasons.DEADLINE_PASSED)
        except WireError:
            return Unknown(reason=reasons.PEER_LOST)
        self._send_queue.post(Cancel(stream_id=stream_id))
        # The window is also closed if the peer has refused the call; the
        # stream then has the refusal.
        refusal = stream.wait(0)
        if isinstance(refusal, NotRun):
            return refusal
        if self.closed:
            return NotRun(reason=reasons.PEER_LOST)
        return NotRun(reason=reasons.DEADLINE_PASSED)

    def _cancel(self, stream_id):
        stream = self._streams_by_id.get(stream_id)
        if stream is None:
            return
        self._send_queue.post(Cancel(stream_id=stream_id))
        stream.window.close()
        stream.finish(Unknown(reason=reasons.CALLER_GONE))

    def _withdraw(self, stream_id):
        """Ask the peer to refuse a call; its reply says whether it does.

        A call whose body is not sent completely ends here.
        """
        self._send_queue.post(Withdraw(stream_id=stream_id))
        self._streams_by_id[stream_id].window.close()

    def _receive_forever(self):
        try:
            while True:
                message = self._connection.receive()
                self._last_received_at = time.monotonic()
                self._unanswered_ping_at = None
                self.suspect = False
                self._receive(message)
        except (WireError, ProxyError) as error:
            metrics.increment(f"proxy.peer_lost.{error.kind}")
        finally:
            self._connection.close()
            for stream in list(self._streams_by_id.values()):
                stream.window.close()
                stream.finish(Unknown(reason=reasons.PEER_LOST))

    def _receive(self, message):
        match message:
            case Pong():
                return
            case GoAway():
                self.leaving = True
            case TargetReport():
                self._on_report(message)
            case CrashRecords(records=records):
                self._on_crash_records(records)
            case _:
                self._receive_on_stream(message)

    def _receive_on_stream(self, message):
        stream = self._streams_by_id.get(message.stream_id)
        if stream is None:
            if not isinstance(message, WindowUpdate):
                metrics.increment("proxy.late_reply_dropped")
            return
        match message:
            case ForwardAnswered():
                self._start_answer(stream, message)
            case BodyChunk(data=data):
                self._receive_chunk(stream, message.stream_id, data)
            case WindowUpdate(size=size):
                stream.window.enlarge(size)
            case RecordReply(payload=data):
                self._receive_record_reply(stream, data)
            case ForwardNotRun() | ForwardUnknown():
                stream.finish(outcome_from_reply(message))
                stream.window.close()

    def _start_answer(self, stream, message):
        if stream.partial_answer is not None:
            metrics.increment("proxy.late_reply_dropped")
            return
        if message.body_bytes > self._max_body_bytes:
            self._drop_answer(stream, message.stream_id, "answer-too-large")
            return
        if not self._take(stream, message.stream_id, message.body):
            return
        stream.partial_answer = message
        stream.assembler = BodyAssembler(
            body_bytes=message.body_bytes, first_chunk=message.body
        )
        if stream.assembler.is_complete:
            stream.finish(outcome_from_reply(message))

    def _receive_record_reply(self, stream, data):
        """Finish a record request; one without room has no reply.

        Only a reply with a long answer can be without room.
        """
        if len(data) > CHUNK_BYTES:
            try:
                stream.answer.take(len(data))
            except AnswersTooLargeError as error:
                stream.finish(Unknown(reason=error.kind))
                return
        stream.finish(decode(msgpack.unpackb(data)))

    def _take(self, stream, stream_id, data):
        """Take the bytes of an answer; return whether there is room."""
        try:
            stream.answer.take(len(data))
        except AnswersTooLargeError as error:
            self._drop_answer(stream, stream_id, error.kind)
            return False
        return True

    def _drop_answer(self, stream, stream_id, reason):
        stream.assembler = None
        stream.answer.release()
        stream.finish(Unknown(reason=reason))
        self._send_queue.post(Cancel(stream_id=stream_id))

    def _receive_chunk(self, stream, stream_id, data):
        if stream.assembler is None:
            metrics.increment("proxy.late_reply_dropped")
            return
        if not self._take(stream, stream_id, data):
            return
        stream.assembler.add(data)
        if not stream.assembler.is_complete:
            self._send_queue.post(
                WindowUpdate(stream_id=stream_id, size=len(data))
            )
            return
        reply = attrs.evolve(
            stream.partial_answer, body=stream.assembler.body()
        )
        stream.finish(outcome_from_reply(reply))
