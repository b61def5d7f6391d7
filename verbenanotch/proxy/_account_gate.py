"""The check of callers' keys at the entry proxy."""

import time

import attrs

from verbenanotch.accounts import (
    Admitted,
    KeyMissing,
    KeyUnknown,
    Postponed,
    check_key,
    combined_priority,
    events,
)
from verbenanotch.proxy import _reasons as reasons
from verbenanotch.proxy._headers import environ_name
from verbenanotch.proxy._outcome import NotRun, Rejected
from verbenanotch.telemetry import LinePace, emit, metrics

LOCAL_CALLS = "local-calls"


@attrs.frozen(kw_only=True)
class AccountPass:
    """The account, empty without one, and the priority of a request."""

    account: str
    priority: int


class AccountGate:
    """Finds the client account of a request, or refuses the request.

    A mesh without client accounts admits every request as it is.
    """

    def __init__(self, *, settings, freshness, clock=time.monotonic):
        """Judge the age of the version by `freshness`, a VersionFreshness."""
        proxy = settings.proxy
        self._header = proxy.headers.account_key
        self._environ_name = environ_name(self._header)
        self._accepts_keyless = proxy.keyless_requests == LOCAL_CALLS
        self._lease_seconds = proxy.accounts_lease_seconds
        self._freshness = freshness
        self._clock = clock
        self._refusals = _Reports(events.KEY_REFUSED)
        self._postponements = _Reports(events.KEY_CHECK_POSTPONED)

    def check(self, environ, snapshot, route_name, route, request_id):
        """Return an AccountPass, Rejected or NotRun."""
        if not snapshot.accounts_by_name:
            return AccountPass(account="", priority=route.priority)
        now = self._clock()
        decision = check_key(
            environ.get(self._environ_name),
            names_by_digest=snapshot.account_names_by_key_digest,
            is_public=route.public,
            accepts_keyless=self._accepts_keyless,
            freshness=self._freshness.at(now),
            lease_seconds=self._lease_seconds,
        )
        match decision:
            case Admitted(account=account):
                return _pass(account, snapshot, route)
            case Postponed(reason=reason, retry_after_ms=retry_after_ms):
                metrics.increment("proxy.account_checks_postponed")
                self._postponements.report(
                    now,
                    request=request_id,
                    route=route_name,
                    reason=reason,
                    version=str(snapshot.version),
                )
                return NotRun(reason=reason, retry_after_ms=retry_after_ms)
        kind = _kind(decision)
        metrics.increment(f"proxy.account_keys_refused.{kind}")
        self._refusals.report(
            now,
            request=request_id,
            route=route_name,
            kind=kind,
            version=str(snapshot.version),
        )
        return Rejected(
            status=401,
            kind=kind,
            remedy=f"Send a key of a client account in {self._header}.",
        )


class _Reports:
    """Emits an event at most once a second, with a count.

    Callers with a wrong key may send thousands of requests a second.
    """

    def __init__(self, event):
        self._event = event
        self._count = 0
        self._pace = LinePace()

    def report(self, now, **fields):
        """Count one occurrence; `fields` are those of an event about it."""
        self._count += 1
        if self._pace.admit(self._event.number, now):
            emit(self._event, count=self._count, **fields)
            self._count = 0


def _pass(account, snapshot, route):
    """Return the AccountPass of an admitted request, and count it."""
    if not account:
        metrics.increment("proxy.requests_without_account")
        priority = combined_priority(None, route.priority)
        return AccountPass(account="", priority=priority)
    record = snapshot.accounts_by_name[account]
    priority = combined_priority(record.priority, route.priority)
    return AccountPass(account=account, priority=priority)


def _kind(decision):
    """Return the kind of the answer to a request with no valid key."""
    match decision:
        case KeyMissing():
            return reasons.ACCOUNT_KEY_MISSING
        case KeyUnknown():
            return reasons.ACCOUNT_KEY_UNKNOWN
