"""The connections of callers: pipelined requests, and malformed ones."""

import contextlib
import http
import json
import socket
import traceback
import uuid

import attrs
import eventlet
from eventlet import event, hubs, wsgi

from verbenanotch import loop
from verbenanotch.daemon import events
from verbenanotch.daemon._answer import Answer
from verbenanotch.daemon._http import KEEP_ALIVE_SECONDS, HttpProtocol
from verbenanotch.daemon._linger import LINGER_SECONDS
from verbenanotch.daemon._pipeline import Pipeline
from verbenanotch.proxy import ARRIVED_AT, CONNECTION
from verbenanotch.telemetry import emit, metrics

# RFC 9110, section 9.2.1. A body would have to be read before the next request
# anyway, so only requests without one run beside others.
SAFE_METHODS = frozenset(("GET", "HEAD", "OPTIONS", "TRACE"))
# Answers that wait for earlier ones, or for a caller that does not read.
MAX_UNSENT_BYTES = 1024 * 1024


@attrs.frozen(kw_only=True)
class PipelineOptions:
    """What the connections of one HttpServer for callers share.

    `is_safe(environ)` returns whether a request may be repeated by its route.
    `disconnect_monitor` watches connections from which nobody reads, `workers`
    run the requests, at most `max_concurrent` of one connection at once.
    """

    is_safe: object
    disconnect_monitor: object
    max_concurrent: int
    workers: object = attrs.field(factory=loop.Workers)


class CallerProtocol(HttpProtocol):
    """Serve the connection of one caller.

    The greenthread of the connection reads requests; each is run by a worker.
    One with a body is run by the reader itself. Application and monitor get
    this object as the connection, see `watch` and `cancel`.
    """

    bounds_bodies = False

    def __init__(self, conn_state, server, *, owner, options):
        """Serve a connection of the HttpServer `owner`."""
        self._options = options
        self._pipeline = Pipeline(
            max_concurrent=options.max_concurrent,
            max_unsent_bytes=MAX_UNSENT_BYTES,
        )
        self._cancellations = set()
        self._is_gone = False
        self._is_sending = False
        self._is_watched = False
        self._is_reading = False
        self._abort_timer = None
        self._was_full = False
        self._changed = event.Event()
        self._arrived_at = 0.0
        super().__init__(conn_state, server, owner=owner)

    def handle(self):
        """Read requests until the connection is to be closed."""
        self.close_connection = True
        while self._wait_for_request():
            self._let_others_read()
            self.handle_one_request()
            if self.closes_after_answer:
                break
        self._drain()
        self.wfile.flush()
        self.end()

    def end(self):
        """Tell the caller that no more answers come."""
        if self._abort_timer is not None:
            self._abort_timer.cancel()
        if self._is_gone:
            self.conn_state[2] = wsgi.STATE_CLOSE
            return
        super().end()

    def handle_one_response(self):
        """Run the request that has been read."""
        self.environ[CONNECTION] = self
        self.environ[ARRIVED_AT] = self._arrived_at
        body = self.environ["wsgi.input"]
        if body.chunked_input or body.content_length:
            self._run_with_body()
            return
        is_concurrent = self.command in SAFE_METHODS and self._options.is_safe(
            self.environ
        )
        if not self._wait_for_turn(is_concurrent=is_concurrent):
            self.close_connection = True
            return
        if len(self._pipeline):
            metrics.increment("proxy.pipelined")
        turn = self._pipeline.start(is_concurrent=is_concurrent)
        if self.closes_after_answer:
            self._pipeline.close()
        connection = self.headers.get("connection", "").lower()
        answer = Answer(
            method=self.command, asks_keep_alive=connection == "keep-alive"
        )
        head, self._head = self._head, None
        self._options.workers.run(self._run, turn, self.environ, answer, head)

    def send_error(self, code, message=None, explain=None):
        """Answer a request that can't be read; close the connection.

        `message` is the reason and `explain` the remedy in the answer.
        """
        self.close_connection = True
        self._drain()
        request_id = uuid.uuid4().hex
        body = json.dumps(
            {
                "outcome": "not-run",
                "reason": message,
                "remedy": explain,
                "request_id": request_id,
            }
        ).encode()
        head = (
            f"HTTP/1.1 {int(code)} {http.HTTPStatus(code).phrase}\r\n"
            "Content-Type: application/json\r\n"
            f"Content-Length: {len(body)}\r\n"
            "X-Verbenanotch-Outcome: not-run\r\n"
            f"X-Request-Id: {request_id}\r\n"
            "Connection: close\r\n\r\n"
        )
        self.wfile.write(head.encode() + body)

    def watch(self, cancellation):
        """Cancel a request once the caller has disconnected."""
        self._cancellations.add(cancellation)
        if self._is_gone:
            cancellation.cancel()

    def unwatch(self, cancellation):
        """Forget a request that has ended."""
        self._cancellations.discard(cancellation)

    def cancel(self):
        """Cancel all requests in progress, as the caller is gone."""
        self._is_gone = True
        self._pipeline.close()
        for cancellation in list(self._cancellations):
            cancellation.cancel()
        self._notify()

    def has_caller_left(self):
        """Return whether the caller has disconnected.

        All its requests are then cancelled.
        """
        if not self._is_gone and self.connection.has_ended():
            self.cancel()
        return self._is_gone

    def _wait_for_request(self):
        """Wait for the first byte of a request; return whether there is one.

        An idle connection is closed after KEEP_ALIVE_SECONDS.
        """
        self._is_reading = True
        self._mark_if_idle()
        try:
            while not self._pipeline.is_closing:
                try:
                    self.connection.settimeout(KEEP_ALIVE_SECONDS)
                    data = self.rfile.peek(1)
                except TimeoutError:
                    if self._pipeline.is_idle:
                        return False
                    continue
                except OSError:
                    data = b""
                if not data:
                    self.cancel()
                    return False
                break
        finally:
            self._is_reading = False
        if self.conn_state[2] == wsgi.STATE_CLOSE or self._pipeline.is_closing:
            return False
        self.conn_state[2] = wsgi.STATE_REQUEST
        self._arrived_at = self.connection.received_at
        return True

    def _let_others_read(self):
        """Go on in a later turn if this one has taken its time.

        The sockets that are ready and not read yet may have ended.
        """
        if loop.is_part_over():
            with self._watched():
                eventlet.sleep(0)

    def _mark_if_idle(self):
        """Show in the state of the connection that it may be closed."""
        if (
            self._is_reading
            and self._pipeline.is_idle
            and self.conn_state[2] != wsgi.STATE_CLOSE
        ):
            self.conn_state[2] = wsgi.STATE_IDLE

    def _wait_for_turn(self, *, is_concurrent):
        """Wait until the request may start; return False if it must not."""
        while not self._pipeline.may_start(is_concurrent=is_concurrent):
            if self._pipeline.is_closing:
                return False
            if is_concurrent and not self._was_full:
                self._was_full = True
                emit(
                    events.PIPELINE_FULL,
                    caller=self.client_address[0],
                    in_progress=len(self._pipeline),
                )
            self._wait_for_change()
        return True

    def _drain(self):
        """Wait until every answer has been sent, or the caller is gone."""
        while not self._pipeline.is_idle:
            self._wait_for_change()

    def _wait_for_change(self):
        """Wait until an answer was sent or the caller has disconnected."""
        with self._watched():
            self._changed.wait()
            self._changed = event.Event()

    def _notify(self):
        if not self._changed.ready():
            self._changed.send()

    @contextlib.contextmanager
    def _watched(self):
        """Let the monitor look for the end of the stream."""
        if self._is_gone or self._is_watched:
            yield
            return
        monitor = self._options.disconnect_monitor
        self._is_watched = True
        monitor.watch(self, self.connection)
        try:
            yield
        finally:
            monitor.unwatch(self.connection)
            self._is_watched = False

    def _run_with_body(self):
        """Run a request with a body alone, by eventlet's own method."""
        if not self._wait_for_turn(is_concurrent=False):
            self.close_connection = True
            return
        with self._watched():
            super().handle_one_response()

    def _run(self, turn, environ, answer, head):
        """Run a request in a worker and send the answers that are ready."""
        try:
            self._answer(turn, environ, answer)
            self._send_answers()
        finally:
            head.release()

    def _answer(self, turn, environ, answer):
        closes = False
        try:
            answer.read(self.server.app(environ, answer.start))
        except Exception:
            # The application answers its own errors, so the outcome of the
            # request is unknown.
            emit(events.ANSWER_FAILED, traceback=traceback.format_exc())
            answer.start("504 Gateway Timeout", [])
            answer.body = b""
            closes = True
        self._pipeline.finish(turn, answer, size=answer.size, closes=closes)

    def _send_answers(self):
        """Send the answers that are ready, in order, unless one is sending."""
        if self._is_sending:
            return
        self._is_sending = True
        try:
            while (following := self._take()) is not None:
                self._send(following)
        finally:
            self._is_sending = False
            self._mark_if_idle()
            self._notify()

    def _take(self):
        """Return the next answer, which may be the last one.

        A server that stops closes the connection with an answer behind which
        no request has arrived. Without an answer nothing would tell the
        caller, so its next request is taken.
        """
        if len(self._pipeline) and self._closes_now():
            self._pipeline.close()
        return self._pipeline.take()

    def _closes_now(self):
        """Return whether the last request in progress is to be the last."""
        if not self._owner.stopping or self._owner.takes_no_more:
            return self._owner.takes_no_more
        return self._pipeline.is_last_ready and not self._has_further_request()

    def _has_further_request(self):
        """Return whether a request behind those in progress has arrived.

        While the reader waits for one, its file has none, but the socket may.
        """
        return not self._is_reading or self.connection.has_arrived()

    def _send(self, following):
        answer = following.answer
        try:
            writer = loop.SocketWriter(self.connection)
            writer.writelines(answer.chunks(closes=following.closes))
            # Limits each send to a caller that does not read.
            self.connection.settimeout(KEEP_ALIVE_SECONDS)
            writer.flush()
        except OSError:
            # Part of an answer may be out, so nothing can follow it.
            self.cancel()
            self.connection.abort()
        finally:
            answer.close_result()
            self._pipeline.mark_sent(answer.size)
        if following.closes:
            self._finish_sending()

    def _finish_sending(self):
        """Tell the caller that no more answers come.

        The reader may be waiting for a request that will not be read.
        """
        with contextlib.suppress(OSError):
            self.connection.fd.shutdown(socket.SHUT_WR)
        self._abort_timer = hubs.get_hub().schedule_call_global(
            LINGER_SECONDS, self.connection.abort
        )
