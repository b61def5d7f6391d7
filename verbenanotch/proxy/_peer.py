"""The dialing side of one stream connection to a peer proxy."""

import itertools
import time

import attrs
import eventlet
import msgpack
from eventlet import event

from verbenanotch.proxy import _reasons as reasons
from verbenanotch.proxy import events
from verbenanotch.proxy._body_frames import (
    CHUNK_BYTES,
    Assembly,
    Window,
    send_rest,
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
    RecordAsk,
    RecordReply,
    TargetReport,
    WindowUpdate,
    outcome_of,
)
from verbenanotch.proxy._outcome import NotRun, Unknown
from verbenanotch.proxy._send_queue import SendQueue
from verbenanotch.proxy.exceptions import ProxyError
from verbenanotch.telemetry import emit, metrics
from verbenanotch.wire import (
    FrameTooLargeError,
    WireError,
    decode,
    encode,
)

SUSPECT_SECONDS = 0.75
DEAD_SECONDS = 5.0
IDLE_PING_SECONDS = 5.0


class _Stream:
    """A forwarded call that waits for its reply."""

    def __init__(self):
        self.window = Window()
        self.reply = None
        self.assembly = None
        self._done = event.Event()

    def finish(self, outcome):
        """Set the outcome; the first one counts."""
        if not self._done.ready():
            self._done.send(outcome)

    def wait(self, seconds):
        """Return the outcome, or None after `seconds`."""
        self._done.wait(timeout=max(0, seconds))
        return self._done.wait() if self._done.ready() else None


class Peer:
    """Forward calls to one peer and match its replies to them.

    A reply counts only on the connection and stream of its call: each Peer
    has one connection, and each call a stream id of its own.
    """

    def __init__(self, *, connection, max_body_bytes, on_report):
        """Start to receive on a dialed connection.

        `on_report` is called with each TargetReport.
        """
        self._on_report = on_report
        self._connection = connection
        self._max_body_bytes = max_body_bytes
        self._send_queue = SendQueue(connection=connection)
        self._stream_ids = itertools.count(1)
        self._ping_numbers = itertools.count(1)
        self._streams_by_id = {}
        self._received_at = time.monotonic()
        self._pinged_at = None
        self.leaving = False
        self.suspect = False
        eventlet.spawn_n(self._receive_forever)

    @property
    def closed(self):
        """Whether the connection has ended."""
        return self._connection.closed

    @property
    def in_flight(self):
        """Number of calls that wait for replies."""
        return len(self._streams_by_id)

    def close(self):
        """End the connection; calls in flight become Unknown."""
        self._connection.close()

    def refusal(self):
        """Return NotRun if no call can be sent now, else None."""
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
        refusal = self.refusal()
        if refusal is not None:
            return refusal
        stream_id = next(self._stream_ids)
        stream = _Stream()
        self._streams_by_id[stream_id] = stream
        cancellation.on_cancel(lambda: self._cancel(stream_id))
        try:
            failure = self._send(stream_id, stream, call, deadline)
            if failure is not None:
                return failure
            outcome = stream.wait(deadline - time.monotonic())
            if outcome is None:
                self._send_queue.post(Cancel(stream_id=stream_id))
                return Unknown(reason=reasons.DEADLINE_PASSED)
            return outcome
        finally:
            cancellation.on_cancel(None)
            del self._streams_by_id[stream_id]

    def ask(self, service, message, timeout_seconds):
        """Return a record holder's reply, or None if there is none."""
        if self.closed or self.suspect:
            return None
        stream_id = next(self._stream_ids)
        stream = _Stream()
        self._streams_by_id[stream_id] = stream
        item = RecordAsk(
            stream_id=stream_id, service=service, item=encode(message)
        )
        try:
            self._connection.send(item)
            reply = stream.wait(timeout_seconds)
        except WireError:
            return None
        finally:
            del self._streams_by_id[stream_id]
        return None if isinstance(reply, Unknown) else reply

    def post(self, message):
        """Send a message that has no reply."""
        if not self.closed:
            self._send_queue.post(message)

    def check(self, now):
        """Ping a silent peer; suspect it, then give it up.

        Called a few times a second. Times are monotonic seconds.
        """
        silent = now - self._received_at
        if self._pinged_at is None:
            if self._streams_by_id or silent > IDLE_PING_SECONDS:
                self._pinged_at = now
                self._send_queue.post(Ping(number=next(self._ping_numbers)))
            return
        unanswered = now - self._pinged_at
        if unanswered > DEAD_SECONDS:
            emit(events.PEER_GIVEN_UP, peer=self._connection.peer_name)
            metrics.increment("proxy.peer_given_up")
            self.close()
        elif unanswered > SUSPECT_SECONDS and not self.suspect:
            self.suspect = True
            emit(events.PEER_SILENT, peer=self._connection.peer_name)
            metrics.increment("proxy.peer_silent")

    def _send(self, stream_id, stream, call, deadline):
        """Send a call; return an outcome if that failed.

        The peer runs a call once it has the whole of it. Until the last
        frame is handed over, a failure is therefore NotRun.
        """
        body = call.body
        head = call
        if len(body) > CHUNK_BYTES:
            head = attrs.evolve(call, body=body[:CHUNK_BYTES])
        item = Forward(stream_id=stream_id, body_bytes=len(body), call=head)
        try:
            self._connection.send(item)
            if len(body) <= CHUNK_BYTES or send_rest(
                self._connection,
                stream_id=stream_id,
                body=body,
                window=stream.window,
                deadline=deadline,
            ):
                return None
        except FrameTooLargeError:
            return NotRun(reason="headers-too-large")
        except WireError:
            return Unknown(reason=reasons.PEER_LOST)
        self._send_queue.post(Cancel(stream_id=stream_id))
        # The peer may have refused the call, which ends its window.
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

    def _receive_forever(self):
        try:
            while True:
                item = self._connection.receive()
                self._received_at = time.monotonic()
                self._pinged_at = None
                self.suspect = False
                self._receive(item)
        except (WireError, ProxyError) as error:
            metrics.increment(f"proxy.peer_lost.{error.kind}")
        finally:
            self._connection.close()
            for stream in list(self._streams_by_id.values()):
                stream.window.close()
                stream.finish(Unknown(reason=reasons.PEER_LOST))

    def _receive(self, item):
        match item:
            case Pong():
                return
            case GoAway():
                self.leaving = True
            case TargetReport():
                self._on_report(item)
            case _:
                self._receive_on_stream(item)

    def _receive_on_stream(self, item):
        stream = self._streams_by_id.get(item.stream_id)
        if stream is None:
            if not isinstance(item, WindowUpdate):
                metrics.increment("proxy.late_reply_dropped")
            return
        match item:
            case ForwardAnswered():
                self._open_answer(stream, item)
            case BodyChunk(data=data):
                self._take_chunk(stream, item.stream_id, data)
            case WindowUpdate(size=size):
                stream.window.grow(size)
            case RecordReply(item=data):
                stream.finish(decode(msgpack.unpackb(data)))
            case ForwardNotRun() | ForwardUnknown():
                stream.finish(outcome_of(item))
                stream.window.close()

    def _open_answer(self, stream, item):
        if stream.reply is not None:
            metrics.increment("proxy.late_reply_dropped")
            return
        if item.body_bytes > self._max_body_bytes:
            stream.finish(Unknown(reason="answer-too-large"))
            self._send_queue.post(Cancel(stream_id=item.stream_id))
            return
        stream.reply = item
        stream.assembly = Assembly(body_bytes=item.body_bytes, first=item.body)
        if stream.assembly.whole:
            stream.finish(outcome_of(item))

    def _take_chunk(self, stream, stream_id, data):
        if stream.assembly is None:
            metrics.increment("proxy.late_reply_dropped")
            return
        stream.assembly.add(data)
        if not stream.assembly.whole:
            self._send_queue.post(
                WindowUpdate(stream_id=stream_id, size=len(data))
            )
            return
        reply = attrs.evolve(stream.reply, body=stream.assembly.body())
        stream.finish(outcome_of(reply))
