"""One HTTP exchange with a target and its outcome.

The outcome of a failed exchange is NotRun if no byte of the request was sent,
and Unknown if the request may have reached the target.
"""

import time

import eventlet

from verbenanotch.conf import HeaderNames
from verbenanotch.proxy import _reasons as reasons
from verbenanotch.proxy._body_budget import BodyBudget
from verbenanotch.proxy._headers import target_headers, without_hop_headers
from verbenanotch.proxy._outcome import Answered, NotRun, Unknown
from verbenanotch.proxy._target_connection import TARGET_FAILURES
from verbenanotch.proxy.exceptions import (
    AnswerForeignError,
    AnswersTooLargeError,
    AnswerTooLargeError,
    AnswerUnboundedError,
    RefusalUnidentifiedError,
)
from verbenanotch.telemetry import metrics

READ_BYTES = 64 * 1024
MISDIRECTED_STATUS = 421
# Maximum number of answers read per request. Those before the last may be late
# answers to earlier requests on the same connection.
MAX_ANSWERS_READ = 3
DEFAULT_HEADER_NAMES = HeaderNames()
MILLISECONDS_PER_SECOND = 1000


def exchange(
    connections,
    call,
    *,
    deadline,
    cancellation,
    max_body_bytes,
    header_names=DEFAULT_HEADER_NAMES,
    echoes_id=False,
    may_omit_length=False,
    on_headers=lambda headers: None,
    body_budget=None,
):
    """Send a call to its target and return the outcome.

    `deadline` is in monotonic seconds. If an idle connection fails before
    the operating system accepted a byte, the next connection is used; once a
    byte may have been sent, every failure is Unknown. `header_names` is a
    HeaderNames. With `echoes_id`, targets echo the request id, and an answer
    with another id belongs to an earlier request and is dropped. With
    `may_omit_length`, an answer without a length is complete if its
    connection was closed normally and the target received the whole request.
    `on_headers` is called with the headers of the call's own answer, also of
    one that is then not complete. Bodies take from `body_budget`, a
    BodyBudget, while they are received; without one, a body has
    `max_body_bytes` of its own.
    """
    if body_budget is None:
        body_budget = BodyBudget(max_bytes=max_body_bytes)
    while True:
        remaining = deadline - time.monotonic()
        if cancellation.cancelled or remaining <= 0:
            return NotRun(reason=reasons.DEADLINE_PASSED)
        connection = connections.acquire_idle(call.request_id)
        is_pooled = connection is not None
        try:
            if not is_pooled:
                connection = connections.connect(timeout_seconds=remaining)
        except OSError:
            return NotRun(reason=reasons.TARGET_UNREACHABLE)
        outcome = _attempt(
            connections,
            connection,
            call,
            deadline=deadline,
            cancellation=cancellation,
            read_answer=lambda connection, is_sent: _read_answer(
                connection,
                call,
                is_sent=is_sent,
                max_body_bytes=max_body_bytes,
                header_names=header_names,
                echoes_id=echoes_id,
                may_omit_length=may_omit_length,
                on_headers=on_headers,
                body_budget=body_budget,
            ),
            header_names=header_names,
            echoes_id=echoes_id,
        )
        match outcome:
            case NotRun(reason=reasons.TARGET_REFUSED):
                connections.remember_refusal(call.request_id)
        is_stale = is_pooled and connection.sent_bytes == 0
        if not is_stale or not isinstance(outcome, NotRun):
            return outcome


def _attempt(
    connections,
    connection,
    call,
    *,
    deadline,
    cancellation,
    read_answer,
    header_names,
    echoes_id,
):
    """Run the exchange on one connection; release it if it is reusable."""
    reusable = False
    timeout = eventlet.Timeout(max(0, deadline - time.monotonic()))
    cancellation.on_cancel(connection.abort)
    try:
        is_sent = _send_or_answered(
            connection, call, deadline, header_names, echoes_id
        )
        outcome, reusable = read_answer(connection, is_sent)
        reusable = reusable and is_sent
    except eventlet.Timeout as error:
        if error is not timeout:
            raise
        outcome = _failure_outcome(connection, reasons.DEADLINE_PASSED)
    except AnswersTooLargeError as error:
        # The target did not fail; this host has no room for its answer.
        outcome = Unknown(reason=error.kind)
    except TARGET_FAILURES as error:
        outcome = _failure_outcome(
            connection, _failure_reason(error, cancellation)
        )
    finally:
        timeout.cancel()
        # Its traceback refers to the frames with both bodies.
        del timeout
        cancellation.on_cancel(None)
        if reusable and not cancellation.cancelled:
            connections.release(connection)
        else:
            connection.close()
    return outcome


def _send_or_answered(connection, call, deadline, header_names, echoes_id):
    """Return whether all was sent; False if there may be an early answer.

    A target may answer and close before it has read the body. On a kept
    connection without echoed ids, that answer may be to no request at all,
    like a 408 that crosses the request.
    """
    try:
        _send(connection, call, deadline, header_names)
    except OSError:
        is_identified = echoes_id or not connection.is_kept
        if connection.sent_bytes == 0 or not is_identified:
            raise
        return False
    return True


def _failure_outcome(connection, reason):
    if connection.sent_bytes == 0:
        return NotRun(reason=reason)
    return Unknown(reason=reason)


def _failure_reason(error, cancellation):
    if cancellation.cancelled:
        return reasons.CANCELLED
    kind = getattr(error, "kind", type(error).__name__)
    return f"{reasons.TARGET_BROKE_OFF}: {kind}"


def _send(connection, call, deadline, header_names):
    remaining_ms = int((deadline - time.monotonic()) * MILLISECONDS_PER_SECOND)
    connection.send_request(
        call.method,
        call.path,
        target_headers(call, max(1, remaining_ms), header_names),
        call.body,
    )


def _read_answer(
    connection,
    call,
    *,
    is_sent,
    max_body_bytes,
    header_names,
    echoes_id,
    may_omit_length,
    on_headers,
    body_budget,
):
    """Return the outcome and whether the connection is reusable.

    `is_sent` is whether the connection accepted the whole request.
    """
    for _ in range(MAX_ANSWERS_READ):
        answer = connection.read_answer(call.method)
        echoed_id = answer.headers.get(header_names.request_id)
        is_own = not echoes_id or echoed_id == call.request_id
        if is_own:
            on_headers(answer.headers)
        with body_budget.reserve_answer() as reservation:
            body = _read_body(
                answer, max_body_bytes, may_omit_length, reservation.take
            )
            if _is_unbounded(answer):
                _check_end(connection, is_sent)
        if is_own:
            break
        metrics.increment("proxy.foreign_answer_dropped")
        if answer.will_close:
            raise AnswerForeignError(
                "the target answered another request and closed the connection"
            )
    else:
        raise AnswerForeignError("the target only answered other requests")
    reusable = not answer.will_close
    if _states_not_run(answer, header_names):
        if connection.is_kept and not echoes_id:
            raise RefusalUnidentifiedError(
                "a refusal on a kept connection may belong to an earlier "
                "request; let the target echo request ids"
            )
        return NotRun(reason=reasons.TARGET_REFUSED), reusable
    outcome = Answered(
        status=answer.status,
        headers=without_hop_headers(answer.headers.items()),
        body=body,
    )
    return outcome, reusable


def _states_not_run(answer, header_names):
    """Return whether the answer states that the request was not run.

    It does so by the header `header_names.not_run` or, if requests name their
    target in `header_names.target`, by status 421 (Misdirected Request).
    """
    if header_names.not_run and header_names.not_run in answer.headers:
        return True
    return bool(header_names.target) and answer.status == MISDIRECTED_STATUS


def _read_body(answer, max_body_bytes, may_omit_length, take):
    """Return the complete body of an answer.

    `take(count)` is called before more bytes are kept. Raises
    AnswerTooLargeError, AnswersTooLargeError, AnswerUnboundedError or an
    HttpError if the body is incomplete or malformed.
    """
    length = answer.length
    if _is_unbounded(answer) and not may_omit_length:
        raise AnswerUnboundedError(
            "the answer has neither Content-Length nor chunks, so it can't "
            "be checked for completeness; send one of them"
        )
    if length is not None and length > max_body_bytes:
        raise _too_large_error(max_body_bytes)
    if length is not None and length <= READ_BYTES:
        take(length)
        return answer.read(length)
    return _read_to_end(answer, max_body_bytes, take)


def _is_unbounded(answer):
    """Return whether the body ends with its connection."""
    return answer.length is None and not answer.is_chunked


def _check_end(connection, is_sent):
    """Check that the end of a connection is that of its answer.

    A target that fails while it receives the request ends the connection as
    well, so it has to receive all of it. Raises AnswerUnboundedError or
    OSError.
    """
    if not is_sent:
        raise AnswerUnboundedError(
            "the answer has neither Content-Length nor chunks, and its "
            "connection ended within the request, so it can't be checked for "
            "completeness; send one of them"
        )
    connection.wait_until_received()


def _read_to_end(answer, max_body_bytes, take):
    """Return the body up to its length, last chunk or the end of the stream.

    Raises AnswerTooLargeError, AnswersTooLargeError, an HttpError if the body
    is incomplete or malformed, or OSError if the connection was reset.
    """
    chunks = []
    body_bytes = 0
    while True:
        chunk = answer.read(READ_BYTES)
        if not chunk:
            return b"".join(chunks)
        body_bytes += len(chunk)
        if body_bytes > max_body_bytes:
            raise _too_large_error(max_body_bytes)
        take(len(chunk))
        chunks.append(chunk)


def _too_large_error(max_body_bytes):
    return AnswerTooLargeError(
        f"the answer is larger than {max_body_bytes} bytes; raise "
        "proxy.max_body_bytes on every host"
    )
