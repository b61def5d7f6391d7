"""HTTP interface for callers."""

import random
import time
import traceback

from verbenanotch.accounts import VersionFreshness
from verbenanotch.catalog import NO_VERSION
from verbenanotch.proxy import _reasons as reasons
from verbenanotch.proxy import events
from verbenanotch.proxy._account_gate import AccountGate, AccountPass
from verbenanotch.proxy._body_budget import BodyBudget, KeptBodies
from verbenanotch.proxy._caller_body import read_body
from verbenanotch.proxy._cancellation import Cancellation
from verbenanotch.proxy._headers import KEY_HEADER, environ_name
from verbenanotch.proxy._outcome import (
    Answered,
    NotRun,
    Rejected,
    Unknown,
)
from verbenanotch.proxy._request import Request, RequestReader
from verbenanotch.proxy._response import respond
from verbenanotch.proxy._tracing import TraceSampler
from verbenanotch.proxy._unfinished_bodies import UnfinishedBodies
from verbenanotch.proxy.exceptions import AnswersTooLargeError
from verbenanotch.routing import choose_service
from verbenanotch.telemetry import emit, metrics

KEY_ENVIRON_NAME = environ_name(KEY_HEADER)
# Added to the WSGI environment by the server: an object with `watch` and
# `unwatch` for the Cancellations of requests and with `has_caller_left`, and
# when the request arrived, in monotonic seconds.
CONNECTION = "verbenanotch.connection"
ARRIVED_AT = "verbenanotch.arrived_at"


class EntryInterface:
    """WSGI application that sends callers' requests through the mesh."""

    def __init__(
        self,
        *,
        settings,
        snapshot_store,
        dispatcher,
        keyed,
        caller_service=lambda: "",
        account_gate=None,
        account_limits=None,
        large_answers=None,
        body_budget=None,
    ):
        """Route requests by the active snapshot of `snapshot_store`.

        `keyed` is the KeyedRequests that runs requests with a key.
        `account_limits` admits the requests of client accounts.
        `large_answers` is the LargeAnswers of this host, `body_budget` its
        BodyBudget.
        `caller_service()` returns the service of this host's targets, which
        is sent to the target as the caller. `account_gate` is the
        AccountGate that checks the keys of client accounts.
        """
        self._account_gate = account_gate or AccountGate(
            settings=settings,
            freshness=VersionFreshness(
                own_version=lambda: snapshot_store.snapshot.version
            ),
        )
        self._caller_service = caller_service
        self._header_names = settings.proxy.headers
        self._reader = RequestReader(names=self._header_names)
        self._random = random.Random()
        self._keyed = keyed
        self._account_limits = account_limits
        self._large_answers = large_answers
        self._body_budget = body_budget or BodyBudget(
            max_bytes=settings.proxy.max_receiving_bytes,
            max_body_bytes=settings.proxy.max_body_bytes,
        )
        self._unfinished = UnfinishedBodies(budget=self._body_budget)
        self._settings = settings
        self._snapshot_store = snapshot_store
        self._dispatcher = dispatcher
        self._sampler = TraceSampler(
            trace_all=settings.telemetry.log_level == "debug",
            now=time.monotonic(),
        )
        self.in_flight = 0

    def application(self, environ, start_response):
        """Respond to one request; the WSGI entry point.

        The bodies of the request and of its answer are counted until the
        result is closed.
        """
        result = KeptBodies(budget=self._body_budget)
        try:
            result += self._respond(environ, start_response, result)
        except BaseException:
            result.close()
            raise
        return result

    def _respond(self, environ, start_response, kept):
        started = environ[ARRIVED_AT]
        request_id = self._reader.request_id_of(environ)
        traced = self._sampler.admit(started)
        self.in_flight += 1
        try:
            outcome = self._outcome(environ, request_id, started, traced, kept)
        except Exception:
            # An internal error must not look like a target's response. The
            # request may have reached a target, so the outcome is unknown.
            emit(
                events.REQUEST_FAILED,
                request=request_id,
                traceback=traceback.format_exc(),
            )
            metrics.increment("proxy.internal_errors")
            outcome = Unknown(reason=reasons.INTERNAL_ERROR)
        finally:
            self.in_flight -= 1
        self._record(environ, request_id, outcome, started, traced)
        kept.request.release()
        return respond(
            outcome,
            request_id,
            environ["REQUEST_METHOD"],
            start_response,
            self._header_names,
            fractional_retry_after=self._settings.proxy.fractional_retry_after,
        )

    def is_safe(self, environ):
        """Return whether a request has no route, or may be repeated."""
        path = environ["RAW_PATH_INFO"]
        if not path.startswith("/") or KEY_ENVIRON_NAME in environ:
            return False
        matched = self._snapshot_store.snapshot.route_table.match(
            path, environ.get("HTTP_HOST", "")
        )
        if matched is None:
            return True
        _, route = matched
        return environ["REQUEST_METHOD"] in route.idempotent_methods

    def _outcome(self, environ, request_id, started, traced, kept):
        if self._is_full:
            return _refusal(environ, reasons.HOST_FULL)
        path = environ["RAW_PATH_INFO"]
        if not path.startswith("/"):
            return Rejected(
                status=400, kind="bad-path", remedy="Send an absolute path."
            )
        snapshot = self._snapshot_store.snapshot
        matched = snapshot.route_table.match(
            path, environ.get("HTTP_HOST", "")
        )
        if matched is None:
            return self._unrouted(environ, snapshot)
        route_name, route = matched
        access = self._account_gate.check(
            environ, snapshot, route_name, route, request_id
        )
        if not isinstance(access, AccountPass):
            return _without_run(environ, access)
        request = self._reader.read(
            environ,
            request_id=request_id,
            route_name=route_name,
            route=route,
            service=choose_service(route, self._random),
            caller=self._caller_service(),
            now=started,
            read_body=lambda deadline: read_body(
                environ,
                max_body_bytes=self._settings.proxy.max_body_bytes,
                deadline=deadline,
                reservation=kept.request,
                unfinished=self._unfinished,
            ),
            traced=traced,
            has_accounts=bool(snapshot.accounts_by_name),
            account=access.account,
            priority=access.priority,
        )
        if not isinstance(request, Request):
            return _without_run(environ, request)
        if self._is_full:
            return _refusal(environ, reasons.HOST_FULL)
        return self._run(environ, request, kept)

    @property
    def _is_full(self):
        """Whether too many requests run.

        Those whose bodies have not arrived are bounded by the body budget.
        """
        running = self.in_flight - len(self._unfinished)
        return running > self._settings.proxy.max_in_flight

    def _unrouted(self, environ, snapshot):
        """Return the outcome of a request that matches no route.

        Its status is 404 if `unrouted_is_missing` is set, a mesh version is
        known and the request has no key.
        """
        is_missing = (
            self._settings.proxy.unrouted_is_missing
            and snapshot.version != NO_VERSION
        )
        if not is_missing or KEY_ENVIRON_NAME in environ:
            return _refusal(environ, reasons.NO_ROUTE)
        return Rejected(
            status=404,
            kind=reasons.NO_ROUTE,
            remedy="Send a host and a path that match a route of the mesh.",
        )

    def _run(self, environ, request, kept):
        if request.key and not request.idempotent:
            # The response is stored for retries with the same key, so the
            # request runs to its end even if this caller disconnects.
            return self._run_keyed(request, kept)
        connection = environ[CONNECTION]
        cancellation = Cancellation(has_caller_left=connection.has_caller_left)
        connection.watch(cancellation)
        try:
            outcome = self._dispatch(request, cancellation)
            kept.answer.keep(len(getattr(outcome, "body", b"")))
            if self._large_answers is not None:
                self._large_answers.wait_for_caller(outcome, request.deadline)
            return outcome
        finally:
            connection.unwatch(cancellation)

    def _run_keyed(self, request, kept):
        """Return the outcome of a keyed request, new or on record.

        A new answer is counted from before it is recorded, and can't be
        refused. One on record can be asked for again.
        """
        ran = []

        def run():
            outcome = self._dispatch(request, Cancellation())
            kept.answer.keep(len(getattr(outcome, "body", b"")))
            ran.append(True)
            return outcome

        outcome = self._keyed.run(request, run)
        if not ran:
            try:
                kept.answer.take(len(getattr(outcome, "body", b"")))
            except AnswersTooLargeError as error:
                return Unknown(reason=error.kind)
        return outcome

    def _dispatch(self, request, cancellation):
        """Run a request unless its client account has used up its rate.

        A keyed request comes here only if its holders know of no earlier
        attempt that may have run, so that the refusal is true.
        """
        account = request.account
        if not account or self._account_limits is None:
            return self._dispatcher.run(request, cancellation=cancellation)
        admitted_at = time.monotonic()
        limited = self._account_limits.admit(account, admitted_at)
        if limited is not None:
            return NotRun(
                reason=reasons.ACCOUNT_LIMITED,
                retry_after_ms=limited.retry_after_ms,
                account=account,
            )
        outcome = self._dispatcher.run(request, cancellation=cancellation)
        if isinstance(outcome, NotRun):
            self._account_limits.refund(account, admitted_at)
        return outcome

    def _record(self, environ, request_id, outcome, started, traced):
        name = type(outcome).__name__
        milliseconds = (time.monotonic() - started) * 1000
        metrics.increment(f"proxy.requests.{name}")
        metrics.timing("proxy.request_ms", milliseconds)
        if traced or not isinstance(outcome, Answered):
            emit(
                events.REQUEST_ENDED,
                request=request_id,
                outcome=name,
                reason=_reason(outcome),
                retry_after_ms=getattr(outcome, "retry_after_ms", 0),
                method=environ["REQUEST_METHOD"],
                host_header=environ.get("HTTP_HOST", ""),
                path=environ["RAW_PATH_INFO"],
                version=str(self._snapshot_store.snapshot.version),
                milliseconds=round(milliseconds, 3),
                **_account_field(outcome),
            )


def _reason(outcome):
    """Return the reason of an outcome, or the status of a response."""
    match outcome:
        case Answered(status=status):
            return str(status)
        case Rejected(kind=kind):
            return kind
        case _:
            return outcome.reason


def _account_field(outcome):
    """Return the log field of a request beyond the rate of its account."""
    if isinstance(outcome, NotRun) and outcome.account:
        return {"account": outcome.account}
    return {}


def _refusal(environ, reason):
    """Return the outcome of a request that is refused before dispatch."""
    return _without_run(environ, NotRun(reason=reason))


def _without_run(environ, outcome):
    """Return an outcome before dispatch, Unknown in place of NotRun if keyed.

    With an idempotency key the outcome is unknown: an earlier attempt may
    have run, and the key's holders were not asked.
    """
    if isinstance(outcome, NotRun) and KEY_ENVIRON_NAME in environ:
        return Unknown(
            reason=f"key-{outcome.reason}",
            retry_after_ms=outcome.retry_after_ms,
        )
    return outcome
