"""Run a keyed request at most once, whoever asks how often."""

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

ASK_TIMEOUT_SECONDS = 0.5
NO_HOLDER_RETRY_MS = 1000
MILLISECONDS_PER_SECOND = 1000


class KeyedRequests:
    """Ask the holders of a key before and after its request is run.

    `ask(service, member, message, timeout_seconds)` returns a holder's
    reply, or None.
    """

    def __init__(self, *, record_server, ask):
        """Find holders by the tables of `record_server`."""
        self._record_server = record_server
        self._ask = ask

    def run(self, request, run):
        """Return the outcome of a request with a key.

        `run` is called at most once and returns the outcome of the targets.
        """
        table = self._record_server.table(request.service)
        if table is None:
            # An earlier attempt may have run while there were targets.
            return Unknown(
                reason="key-no-holder", retry_after_ms=NO_HOLDER_RETRY_MS
            )
        coordinator = Coordinator(
            ask=self._asker(request.service),
            new_token=_new_token,
            timeout_seconds=ASK_TIMEOUT_SECONDS,
        )
        left = request.deadline - time.monotonic()
        begun = coordinator.begin(
            key=request.key,
            digest=_digest(request),
            table=table,
            timeout_ms=max(1, int(left * MILLISECONDS_PER_SECOND)),
        )
        if not isinstance(begun, Dispatch):
            return _outcome(begun)
        outcome = Unknown(reason="internal-error")
        try:
            outcome = run()
        finally:
            _end(coordinator, begun, outcome, table)
        return outcome

    def _asker(self, service):
        return lambda member, message, timeout_seconds: self._ask(
            service, member, message, timeout_seconds
        )


def _end(coordinator, dispatch, outcome, table):
    """Record how the run ended, before the caller is told."""
    match outcome:
        case Answered():
            answer = Answer(**_fields(outcome))
            coordinator.finish(dispatch, answer, table=table)
        case NotRun():
            coordinator.release(dispatch, table=table)
        case _:
            coordinator.mark_unknown(dispatch, table=table)


def _outcome(reply):
    """Return what the caller of a key that is not run now is told."""
    match reply:
        case AlreadyFinished(answer=answer):
            return Answered(**_fields(answer))
        case KeyConflict(remedy=remedy):
            return Rejected(status=409, kind="key-conflict", remedy=remedy)
        case Refused(reason=reason, retry_after_ms=retry, not_run=True):
            return NotRun(reason=f"key-{reason}", retry_after_ms=retry)
        case InProgress(retry_after_ms=retry):
            return Unknown(reason="key-in-progress", retry_after_ms=retry)
        case Refused(reason=reason, retry_after_ms=retry):
            return Unknown(reason=f"key-{reason}", retry_after_ms=retry)
        case OutcomeUnknown(reason=reason):
            return Unknown(reason=f"key-{reason}")


def _fields(answer):
    return {
        "status": answer.status,
        "headers": answer.headers,
        "body": answer.body,
    }


def _digest(request):
    """Return what must be the same whenever a key is used again."""
    digest = xxhash.xxh3_128()
    for part in (request.method.encode(), request.path.encode()):
        digest.update(len(part).to_bytes(4, "big"))
        digest.update(part)
    digest.update(request.body)
    return digest.digest()


def _new_token():
    return uuid.uuid4().hex
