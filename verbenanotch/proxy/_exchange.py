"""One HTTP exchange with a target, and what its failure proves."""

import http.client
import time

import eventlet

from verbenanotch.conf import HeaderNames
from verbenanotch.proxy import _reasons as reasons
from verbenanotch.proxy._headers import target_headers, without_hop_headers
from verbenanotch.proxy._outcome import Answered, NotRun, Unknown
from verbenanotch.proxy._target_connection import TARGET_FAILURES
from verbenanotch.proxy.exceptions import (
    AnswerForeignError,
    AnswerTooLargeError,
    AnswerUnboundedError,
    ProxyError,
)
from verbenanotch.telemetry import metrics

READ_BYTES = 64 * 1024
MISDIRECTED = 421
# Answers to earlier requests that a target may send late on a connection.
MAX_FOREIGN_ANSWERS = 3
DEFAULT_NAMES = HeaderNames()
MILLISECONDS_PER_SECOND = 1000
_FAILURES = (*TARGET_FAILURES, ProxyError)


def exchange(
    connections,
    call,
    *,
    deadline,
    cancellation,
    max_body_bytes,
    names=DEFAULT_NAMES,
    echoes_id=False,
    may_omit_length=False,
):
    """Send a call to its target; return the outcome with the whole answer.

    `deadline` is in monotonic seconds. An idle connection that fails before
    the system took a byte is replaced by the next one; once a byte may have
    left, every failure is Unknown. `names` is a HeaderNames. Where targets
    echo the request's id, an answer with another id belongs to an earlier
    request and is dropped. With `may_omit_length`, one without a length is
    whole if its connection ends in order.
    """
    while True:
        remaining = deadline - time.monotonic()
        if cancellation.cancelled or remaining <= 0:
            return NotRun(reason=reasons.DEADLINE_PASSED)
        connection = connections.take_idle()
        pooled = connection is not None
        try:
            if not pooled:
                connection = connections.connect(timeout_seconds=remaining)
        except OSError:
            return NotRun(reason=reasons.TARGET_UNREACHABLE)
        outcome = _attempt(
            connections,
            connection,
            call,
            deadline=deadline,
            cancellation=cancellation,
            read_answer=lambda connection: _read_answer(
                connection,
                call,
                max_body_bytes=max_body_bytes,
                names=names,
                echoes_id=echoes_id,
                may_omit_length=may_omit_length,
            ),
            names=names,
        )
        stale = pooled and connection.sent_bytes == 0
        if not stale or not isinstance(outcome, NotRun):
            return outcome


def _attempt(
    connections,
    connection,
    call,
    *,
    deadline,
    cancellation,
    read_answer,
    names,
):
    """Exchange on one connection; give it back if it can be used again."""
    reusable = False
    timeout = eventlet.Timeout(max(0, deadline - time.monotonic()))
    cancellation.on_cancel(connection.abort)
    try:
        _send(connection, call, deadline, names)
        outcome, reusable = read_answer(connection)
    except eventlet.Timeout as error:
        if error is not timeout:
            raise
        outcome = _failed(connection, reasons.DEADLINE_PASSED)
    except _FAILURES as error:
        outcome = _failed(connection, _reason(error, cancellation))
    finally:
        timeout.cancel()
        cancellation.on_cancel(None)
        if reusable and not cancellation.cancelled:
            connections.give_back(connection)
        else:
            connection.close()
    return outcome


def _failed(connection, reason):
    if connection.sent_bytes == 0:
        return NotRun(reason=reason)
    return Unknown(reason=reason)


def _reason(error, cancellation):
    if cancellation.cancelled:
        return reasons.CANCELLED
    kind = getattr(error, "kind", type(error).__name__)
    return f"{reasons.TARGET_BROKE_OFF}: {kind}"


def _send(connection, call, deadline, names):
    left_ms = int((deadline - time.monotonic()) * MILLISECONDS_PER_SECOND)
    connection.send_request(
        call.method,
        call.path,
        target_headers(call, max(1, left_ms), names),
        call.body,
    )


def _read_answer(
    connection, call, *, max_body_bytes, names, echoes_id, may_omit_length
):
    """Return the outcome, and whether the connection can be used again."""
    for _ in range(MAX_FOREIGN_ANSWERS):
        answer = connection.read_answer(call.method)
        body = _read_whole(answer, max_body_bytes, may_omit_length)
        echoed = answer.headers.get(names.request_id)
        if not echoes_id or echoed == call.request_id:
            break
        metrics.increment("proxy.foreign_answer_dropped")
        if answer.will_close:
            raise AnswerForeignError(
                "the target answered another request and closed"
            )
    else:
        raise AnswerForeignError("the target answered other requests only")
    reusable = not answer.will_close
    if _was_not_run(answer, names):
        return NotRun(reason=reasons.TARGET_REFUSED), reusable
    outcome = Answered(
        status=answer.status,
        headers=without_hop_headers(answer.headers.items()),
        body=body,
    )
    return outcome, reusable


def _was_not_run(answer, names):
    """Return whether the target itself says that it ran nothing."""
    if names.not_run and names.not_run in answer.headers:
        return True
    return bool(names.target) and answer.status == MISDIRECTED


def _read_whole(answer, max_body_bytes, may_omit_length):
    """Return the whole body of an answer.

    Raises AnswerTooLargeError, AnswerUnboundedError or, for one that was
    cut short, IncompleteRead.
    """
    declared = answer.length
    if answer.chunked or (declared is None and may_omit_length):
        return _read_to_end(answer, max_body_bytes)
    if declared is None:
        raise AnswerUnboundedError(
            "the answer ends with its connection, so that nobody can tell "
            "whether it is whole; send Content-Length or chunks"
        )
    if declared > max_body_bytes:
        raise _too_large(max_body_bytes)
    body = answer.read(declared)
    if len(body) < declared:
        raise http.client.IncompleteRead(body, declared - len(body))
    return body


def _read_to_end(answer, max_body_bytes):
    """Return the body up to its last chunk, or the end of the stream.

    A connection that was reset raises an error, other than one that ended.
    """
    chunks = []
    size = 0
    while True:
        data = answer.read(READ_BYTES)
        if not data:
            return b"".join(chunks)
        size += len(data)
        if size > max_body_bytes:
            raise _too_large(max_body_bytes)
        chunks.append(data)


def _too_large(max_body_bytes):
    return AnswerTooLargeError(
        f"the answer is over {max_body_bytes} bytes; raise "
        "proxy.max_body_bytes on every host"
    )
