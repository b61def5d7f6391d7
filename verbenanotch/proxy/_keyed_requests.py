"""Run a request with an idempotency key at most once."""

import time
import uuid

import xxhash

from verbenanotch.idempotency import (
    AlreadyFinished,
    Answer,
    Coordinator,
    Dispatch,
    InProgress,
    KeyConflict,
    OutcomeUnknown,
    Refused,
)
from verbenanotch.proxy._outcome import Answered, NotRun, Rejected, Unknown

HOLDER_TIMEOUT_SECONDS = 0.5
NO_HOLDER_RETRY_AFTER_MS = 1000
MILLISECONDS_PER_SECOND = 1000


class KeyedRequests:
    """Run keyed requests and keep their state at the key's holders.

    `ask(service, member, message, timeout_seconds)` sends a message to a
    holder and returns its reply, or None if there is none in time.
    """

    def __init__(self, *, record_server, ask):
        """Look up holders in the tables of `record_server`, a RecordServer."""
        self._record_server = record_server
        self._ask = ask

    def run(self, request, run_request):
        """Return the outcome of a request with a key.

        `run_request()` sends the request to a target and returns its
        outcome. It is called at most once.
        """
        table = self._record_server.table(request.service)
        if table is None:
            # An earlier attempt may have run while the service had targets.
            return Unknown(
                reason="key-no-holder", retry_after_ms=NO_HOLDER_RETRY_AFTER_MS
            )
        coordinator = Coordinator(
            ask=self._ask_for_service(request.service),
            new_token=_new_token,
            timeout_seconds=HOLDER_TIMEOUT_SECONDS,
        )
        remaining_seconds = request.deadline - time.monotonic()
        reply = coordinator.begin(
            key=request.key,
            digest=_digest(request),
            table=table,
            timeout_ms=max(
                1, int(remaining_seconds * MILLISECONDS_PER_SECOND)
            ),
        )
        if not isinstance(reply, Dispatch):
            return _outcome_without_run(reply)
        outcome = Unknown(reason="internal-error")
        try:
            outcome = run_request()
        finally:
            _record_outcome(coordinator, reply, outcome, table)
        return outcome

    def _ask_for_service(self, service):
        return lambda member, message, timeout_seconds: self._ask(
            service, member, message, timeout_seconds
        )


def _record_outcome(coordinator, dispatch, outcome, table):
    """Record the outcome at the holders before the caller is answered."""
    match outcome:
        case Answered():
            answer = Answer(**_answer_fields(outcome))
            coordinator.finish(dispatch, answer, table=table)
        case NotRun():
            coordinator.release(dispatch, table=table)
        case _:
            coordinator.mark_unknown(dispatch, table=table)


def _outcome_without_run(reply):
    """Return the outcome of a request that the key's holders did not start."""
    match reply:
        case AlreadyFinished(answer=answer):
            return Answered(**_answer_fields(answer))
        case KeyConflict(remedy=remedy):
            return Rejected(status=409, kind="key-conflict", remedy=remedy)
        case Refused(reason=reason, retry_after_ms=retry_ms, not_run=True):
            return NotRun(reason=f"key-{reason}", retry_after_ms=retry_ms)
        case InProgress(retry_after_ms=retry_ms):
            return Unknown(reason="key-in-progress", retry_after_ms=retry_ms)
        case Refused(reason=reason, retry_after_ms=retry_ms):
            return Unknown(reason=f"key-{reason}", retry_after_ms=retry_ms)
        case OutcomeUnknown(reason=reason):
            return Unknown(reason=f"key-{reason}")


def _answer_fields(answer):
    return {
        "status": answer.status,
        "headers": answer.headers,
        "body": answer.body,
    }


def _digest(request):
    """Return the digest of the request's method, path, account and body.

    All requests with the same key must have the same digest. Thus no account
    gets the stored answer of another one.
    """
    digest = xxhash.xxh3_128()
    parts = [request.method.encode(), request.path.encode()]
    if request.account:
        parts.append(request.account.encode())
    for part in parts:
        digest.update(len(part).to_bytes(4, "big"))
        digest.update(part)
    digest.update(request.body)
    return digest.digest()


def _new_token():
    return uuid.uuid4().hex
