"""Stop requests that crash the targets that run them, zone-wide."""

import time

import eventlet

from verbenanotch.proxy import _reasons as reasons
from verbenanotch.proxy import events
from verbenanotch.proxy._headers import KEY_HEADER
from verbenanotch.proxy._messages import TargetCrashed
from verbenanotch.proxy._outcome import NotRun
from verbenanotch.routing import Blocked, CrashBlocklist, fingerprint
from verbenanotch.telemetry import emit, metrics

NOTICE_SECONDS = 0.2
MAX_SENDERS = 32


class CrashGuard:
    """Count the deaths by request and tell the proxies of the zone.

    As long as there were none, a request costs nothing here.
    """

    def __init__(self, *, settings, incarnation, snapshot_store, post):
        """Call `post(record, message)` to tell another proxy."""
        self._host = settings.host
        self._snapshot_store = snapshot_store
        self._post = post
        self._blocklist = CrashBlocklist(
            host=settings.host.name, incarnation=incarnation
        )

    def refusal(self, request):
        """Return NotRun if a Request is blocked now, else None."""
        if not len(self._blocklist):
            return None
        found = self._blocklist.check(_fingerprint(request), time.monotonic())
        match found:
            case Blocked(retry_after_ms=retry_after_ms):
                metrics.increment("proxy.crashing_requests_refused")
                return NotRun(
                    reason=reasons.CRASHES_TARGETS,
                    retry_after_ms=retry_after_ms,
                )
        return None

    def record_answer(self, call):
        """Clear a Call or Request that a target has answered."""
        if len(self._blocklist):
            self._blocklist.record_answer(_fingerprint(call))

    def record_crash(self, call):
        """Note that a local target died of a Call, and tell the zone.

        Returns once the others were told, so that they know of the death
        before the caller can ask again; waits `NOTICE_SECONDS` at most.
        """
        metrics.increment("proxy.targets_died")
        emit(
            events.TARGET_CRASHED,
            request=call.request_id,
            target=call.target_id,
        )
        notice = self._blocklist.record_crash(
            _fingerprint(call), time.monotonic()
        )
        item = TargetCrashed(notice=notice)
        pool = eventlet.GreenPool(MAX_SENDERS)
        with eventlet.Timeout(NOTICE_SECONDS, False):
            for record in list(
                self._snapshot_store.snapshot.hosts_by_name.values()
            ):
                if self._is_neighbour(record):
                    pool.spawn_n(self._post, record, item)
            pool.waitall()

    def record_notice(self, notice):
        """Count a death that another proxy has told of."""
        if self._blocklist.record_notice(notice, time.monotonic()):
            emit(events.REQUEST_BLOCKED, fingerprint=notice.fingerprint.hex())

    def _is_neighbour(self, record):
        return (
            record.availability_zone == self._host.availability_zone
            and record.host != self._host.name
        )


def _fingerprint(item):
    """Return the fingerprint of a Request or of its Call."""
    key = next(
        (
            value
            for name, value in item.headers
            if name.lower() == KEY_HEADER.lower()
        ),
        None,
    )
    return fingerprint(
        route=item.service,
        method=item.method,
        path=item.path,
        body=item.body,
        key=key,
    )
