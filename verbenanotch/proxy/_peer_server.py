"""The listening side of the streams between proxies."""

import time
import traceback

import attrs
import msgpack

from verbenanotch.loop import Workers
from verbenanotch.proxy import _reasons as reasons
from verbenanotch.proxy import events
from verbenanotch.proxy._body_frames import (
    CHUNK_BYTES,
    Assembly,
    Window,
    send_rest,
)
from verbenanotch.proxy._cancellation import Cancellation
from verbenanotch.proxy._messages import (
    BodyChunk,
    Cancel,
    Forward,
    GoAway,
    Ping,
    Pong,
    RecordAsk,
    RecordReply,
    TargetCrashed,
    WindowUpdate,
    reply_of,
)
from verbenanotch.proxy._outcome import Call, NotRun, Unknown
from verbenanotch.proxy._send_queue import SendQueue
from verbenanotch.proxy.exceptions import ProxyError, StreamReusedError
from verbenanotch.telemetry import emit, metrics
from verbenanotch.wire import WireError, decode, encode

MILLISECONDS_PER_SECOND = 1000


@attrs.define(kw_only=True, eq=False)
class _Stream:
    """One forwarded call, from its first frame to its sent reply."""

    call: Call
    deadline: float
    assembly: Assembly
    window: Window = attrs.field(factory=Window)
    cancellation: Cancellation = attrs.field(factory=Cancellation)


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
    ):
        """Run calls at `local_targets`, at most `max_in_flight` at a time.

        `record_server` answers what others ask of this host's records,
        `guard` learns of the deaths of their targets.
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

    def handle(self, connection):
        """Serve one peer until its connection ends."""
        session = _Session(server=self, connection=connection)
        self._sessions.add(session)
        try:
            session.receive_forever()
        finally:
            self._sessions.discard(session)
            session.cancel_all()

    def go_away(self, reason):
        """Refuse new calls from now on and tell every peer so."""
        self.leaving = True
        for session in self._sessions:
            session.send_queue.post(GoAway(reason=reason))

    def post(self, message):
        """Send a message without a reply to every connected peer."""
        for session in self._sessions:
            session.send_queue.post(message)

    def refusal(self):
        """Return NotRun if a new call cannot be taken, else None."""
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
        """Stop the calls whose callers' proxy is gone."""
        for stream in list(self._streams_by_id.values()):
            stream.window.close()
            stream.cancellation.cancel()

    def _receive(self, item):
        match item:
            case Forward():
                self._open(item)
            case BodyChunk(stream_id=stream_id, data=data):
                self._take_chunk(stream_id, data)
            case WindowUpdate(stream_id=stream_id, size=size):
                stream = self._streams_by_id.get(stream_id)
                if stream is not None:
                    stream.window.grow(size)
            case Cancel(stream_id=stream_id):
                self._cancel(stream_id)
            case RecordAsk():
                self._reply_of_records(item)
            case TargetCrashed(notice=notice):
                self._server.guard.record_notice(notice)
            case Ping(number=number):
                self.send_queue.post(Pong(number=number))

    def _reply_of_records(self, item):
        message = decode(msgpack.unpackb(item.item))
        reply = self._server.record_server.handle(item.service, message)
        self.send_queue.post(
            RecordReply(stream_id=item.stream_id, item=encode(reply))
        )

    def _open(self, item):
        stream_id = item.stream_id
        if stream_id in self._streams_by_id:
            raise StreamReusedError(
                f"peer opened stream {stream_id} twice; "
                "run the same release on every host"
            )
        refusal = self._server.refusal()
        if refusal is None and item.body_bytes > self._server.max_body_bytes:
            refusal = NotRun(reason="body-too-large")
        if refusal is not None:
            metrics.increment(f"proxy.refused.{refusal.reason}")
            self.send_queue.post(reply_of(stream_id, refusal, inline_bytes=0))
            return
        call = item.call
        stream = _Stream(
            call=call,
            deadline=time.monotonic()
            + call.remaining_ms / MILLISECONDS_PER_SECOND,
            assembly=Assembly(body_bytes=item.body_bytes, first=call.body),
        )
        self._streams_by_id[stream_id] = stream
        if stream.assembly.whole:
            self._start(stream_id, stream)

    def _take_chunk(self, stream_id, data):
        stream = self._streams_by_id.get(stream_id)
        if stream is None:
            metrics.increment("proxy.late_chunk_dropped")
            return
        stream.assembly.add(data)
        if not stream.assembly.whole:
            self.send_queue.post(
                WindowUpdate(stream_id=stream_id, size=len(data))
            )
            return
        stream.call = attrs.evolve(stream.call, body=stream.assembly.body())
        self._start(stream_id, stream)

    def _start(self, stream_id, stream):
        self._server.in_flight += 1
        self._server.workers.run(self._run, stream_id, stream)

    def _cancel(self, stream_id):
        stream = self._streams_by_id.get(stream_id)
        if stream is None:
            return
        metrics.increment("proxy.call_cancelled")
        stream.window.close()
        stream.cancellation.cancel()
        if not stream.assembly.whole:
            del self._streams_by_id[stream_id]

    def _run(self, stream_id, stream):
        try:
            outcome = self._server.local_targets.run(
                stream.call,
                deadline=stream.deadline,
                cancellation=stream.cancellation,
            )
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
            failed = Unknown(reason=reasons.INTERNAL_ERROR)
            self.send_queue.post(reply_of(stream_id, failed, inline_bytes=0))
        finally:
            self._streams_by_id.pop(stream_id, None)
            self._server.in_flight -= 1

    def _reply(self, stream_id, stream, outcome):
        reply = reply_of(stream_id, outcome, inline_bytes=CHUNK_BYTES)
        self._connection.send(reply)
        body = getattr(outcome, "body", b"")
        if len(body) > CHUNK_BYTES:
            send_rest(
                self._connection,
                stream_id=stream_id,
                body=body,
                window=stream.window,
                deadline=stream.deadline,
            )
