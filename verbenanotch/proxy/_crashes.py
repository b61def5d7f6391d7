"""Block requests that crash targets, at all proxies of the zone."""

import time

import eventlet

from verbenanotch.proxy import _reasons as reasons
from verbenanotch.proxy import events
from verbenanotch.proxy._messages import TargetCrashed
from verbenanotch.proxy._outcome import NotRun
from verbenanotch.routing import Blocked, CrashBlocklist, fingerprint
from verbenanotch.telemetry import emit, metrics

NOTICE_TIMEOUT_SECONDS = 0.2
MAX_CONCURRENT_NOTICES = 32


class CrashGuard:
    """Count target crashes per request and notify the zone's proxies.

    Requests are fingerprinted only while crashes are on record, so that the
    guard costs nothing otherwise.
    """

    def __init__(self, *, settings, incarnation, snapshot_store, post):
        """Notify the proxies of the zone in the snapshot of `snapshot_store`.

        `post(record, message)` sends a message to the proxy of a HostRecord.
        """
        self._host = settings.host
        self._snapshot_store = snapshot_store
        self._post = post
        self._blocklist = CrashBlocklist(
            host=settings.host.name, incarnation=incarnation
        )

    def refusal(self, request):
        """Return NotRun if a Request is currently blocked, else None."""
        if not len(self._blocklist):
            return None
        blocked = self._blocklist.check(
            _fingerprint(request), time.monotonic()
        )
        match blocked:
            case Blocked(retry_after_ms=retry_after_ms):
                metrics.increment("proxy.crashing_requests_refused")
                emit(
                    events.CRASHING_REQUEST_REFUSED,
                    request=request.request_id,
                    fingerprint=blocked.fingerprint.hex(),
                    crash_count=blocked.crash_count,
                    retry_after_ms=retry_after_ms,
                )
                return NotRun(
                    reason=reasons.CRASHES_TARGETS,
                    retry_after_ms=retry_after_ms,
                )
        return None

    def record_answer(self, call):
        """Clear the crashes of a Call or Request that a target answered."""
        if not len(self._blocklist):
            return
        identity = _fingerprint(call)
        crash_count = self._blocklist.record_answer(identity)
        if crash_count:
            emit(
                events.CRASHES_CLEARED,
                request=call.request_id,
                fingerprint=identity.hex(),
                crash_count=crash_count,
            )

    def record_crash(self, call):
        """Record that a local target crashed during a Call; notify the zone.

        Returns once the notices are queued for sending, but after at most
        `NOTICE_TIMEOUT_SECONDS`. The intent is that the other proxies record
        the crash before the caller retries; their receipt is not confirmed.
        """
        metrics.increment("proxy.targets_died")
        identity = _fingerprint(call)
        now = time.monotonic()
        notice = self._blocklist.record_crash(identity, now)
        emit(
            events.TARGET_CRASHED,
            request=call.request_id,
            target=call.target_id,
            service=call.service,
            fingerprint=identity.hex(),
            crash_count=self._blocklist.crash_count(identity),
        )
        self._log_block(identity, now)
        message = TargetCrashed(notice=notice)
        pool = eventlet.GreenPool(MAX_CONCURRENT_NOTICES)
        with eventlet.Timeout(NOTICE_TIMEOUT_SECONDS, False):
            for record in list(
                self._snapshot_store.snapshot.hosts_by_name.values()
            ):
                if self._is_other_host_in_zone(record):
                    pool.spawn_n(self._post, record, message)
            pool.waitall()

    def record_notice(self, notice):
        """Count a crash that another proxy has reported."""
        metrics.increment("proxy.crash_notices_received")
        now = time.monotonic()
        blocks = self._blocklist.record_notice(notice, now)
        emit(
            events.CRASH_NOTICE_RECEIVED,
            peer=notice.host,
            fingerprint=notice.fingerprint.hex(),
            crash_count=self._blocklist.crash_count(notice.fingerprint),
        )
        if blocks:
            self._log_block(notice.fingerprint, now)

    def _log_block(self, fingerprint, now):
        """Log whether a fingerprint is blocked, and for how long."""
        match self._blocklist.check(fingerprint, now):
            case Blocked(crash_count=count, retry_after_ms=milliseconds):
                emit(
                    events.REQUEST_BLOCKED,
                    fingerprint=fingerprint.hex(),
                    crash_count=count,
                    milliseconds=milliseconds,
                )

    def _is_other_host_in_zone(self, record):
        return (
            record.availability_zone == self._host.availability_zone
            and record.host != self._host.name
        )


def _fingerprint(request):
    """Return the fingerprint of a Request or of a Call made from it."""
    return fingerprint(
        method=request.method, path=request.path, body=request.body
    )
