"""Refuse requests that crash targets, and report crashes to other hosts."""

import contextlib
import random
import time

import eventlet
import xxhash

from verbenanotch import loop
from verbenanotch.crashes import (
    Blocked,
    CrashExchange,
    CrashRecords,
    CrashTable,
    Exclusive,
)
from verbenanotch.proxy import _reasons as reasons
from verbenanotch.proxy import events
from verbenanotch.proxy._outcome import FIRST_SERVER_ERROR_STATUS, NotRun
from verbenanotch.telemetry import emit, metrics

NOTICE_TIMEOUT_SECONDS = 0.2
MAX_CONCURRENT_NOTICES = 32
# Proxies of each other zone that are told of a crash and tell their zone.
RELAYS_PER_ZONE = 2
# A request that runs exclusively has mostly ended after this time.
EXCLUSIVE_RETRY_AFTER_MS = 500
MILLISECONDS_PER_SECOND = 1000
# Statuses with which a target may refuse a request without running it.
REFUSAL_STATUSES = frozenset((408, 421, 429))


class CrashGuard:
    """Check requests against the crashes that are known in the mesh.

    Crashes of local targets are sent to the proxies of the zone and to some
    of each other zone, which pass them on to theirs, and to the control
    hosts, which pass them on to all proxies and keep them over restarts.
    """

    def __init__(self, *, settings, snapshot_store, post):
        """Notify the proxies in the snapshot of `snapshot_store`.

        `post(record, message)` sends a message to the proxy of a HostRecord.
        """
        self._host = settings.host
        self._snapshot_store = snapshot_store
        self._post = post
        self._table = CrashTable()
        self._exclusive_fingerprints = set()
        self._pending_records = []
        self._pending_for_relays = False
        self._notifier = None
        self.exchange = CrashExchange(
            table=self._table, forwards=False, on_new=self._log_blocks
        )

    def refusal(self, request):
        """Return NotRun if a Request or Call is blocked, else None."""
        if not len(self._table):
            return None
        match self._check(request):
            case Blocked(crash_count=count, retry_after_seconds=seconds):
                retry_after_ms = int(seconds * MILLISECONDS_PER_SECOND) + 1
                return _refuse(request, count, retry_after_ms)
        return None

    def exclusive_target(self, request, target_ids):
        """Return the one target that a suspected Request may run at, or None.

        All proxies with the same `target_ids` choose the same one.
        """
        if not len(self._table):
            return None
        match self._check(request):
            case Exclusive():
                return max(
                    target_ids,
                    key=lambda target_id: xxhash.xxh3_64_intdigest(
                        request.fingerprint + target_id.encode()
                    ),
                    default=None,
                )
        return None

    @contextlib.contextmanager
    def running(self, call):
        """Enter a run of a Call at a local target; yield NotRun or None.

        A suspected request is refused while it is already running here.
        """
        if not len(self._table):
            yield None
            return
        match self._check(call):
            case Exclusive(crash_count=count):
                if call.fingerprint in self._exclusive_fingerprints:
                    yield _refuse(call, count, EXCLUSIVE_RETRY_AFTER_MS)
                    return
                self._exclusive_fingerprints.add(call.fingerprint)
                try:
                    yield None
                finally:
                    self._exclusive_fingerprints.discard(call.fingerprint)
            case _:
                yield self.refusal(call)

    def record_answer(self, call, status):
        """Clear the crashes of a Call that a target ran to its end."""
        if not len(self._table) or not _shows_completed_run(status):
            return
        crash_count = self._table.crash_count(call.fingerprint)
        record = self._table.clear(call.fingerprint, time.monotonic())
        if record is None:
            return
        emit(
            events.CRASHES_CLEARED,
            request=call.request_id,
            fingerprint=call.fingerprint.hex(),
            crash_count=crash_count,
        )
        self.exchange.publish((record,))

    def record_crash(self, call, crash_id):
        """Record that a local target crashed during a Call; tell the mesh.

        `crash_id` identifies the crash; each Call in flight is counted once
        for it. Returns the records for the entry proxy, once those for other
        proxies are queued, but after at most `NOTICE_TIMEOUT_SECONDS`.
        """
        now = time.monotonic()
        record = self._count(call, crash_id, now, in_flight=True)
        if record is not None:
            self._log_blocks((record,))
            self.exchange.publish((record,))
            self._notify((record,), to_relays=True)
        return self._table.records_of(call.fingerprint, now)

    def record_unfinished(self, calls, crash_id):
        """Record the crash of a local target that may have run the Calls.

        They ended before the crash, without an answer. Returns before other
        hosts are told.
        """
        now = time.monotonic()
        counted = [
            self._count(call, crash_id, now, in_flight=False) for call in calls
        ]
        records = tuple(record for record in counted if record is not None)
        if records:
            self._log_blocks(records)
            self.exchange.publish(records)
            eventlet.spawn_n(self._notify, records, to_relays=True)

    def merge_records(self, records):
        """Merge the records that came with the outcome of a call."""
        self.exchange.merge(records)

    def receive_records(self, records, *, connection, reply):
        """Merge records of another proxy; pass those of other zones on.

        `reply(message)` sends what this host knows beyond the records: the
        other host may be in a zone that this one's notices did not reach.
        """
        new = self.exchange.merge(records, source=connection)
        hosts_by_name = self._snapshot_store.snapshot.hosts_by_name
        sender = hosts_by_name.get(connection.peer_name)
        if new and sender is not None and not self._is_in_zone(sender):
            self.exchange.publish(new)
            # The greenthread that receives must not wait.
            eventlet.spawn_n(self._notify, new, to_relays=False)
        beyond = self._table.records_beyond(records, time.monotonic())
        if beyond:
            reply(CrashRecords(records=beyond))

    def receive_reply(self, records):
        """Merge what another proxy knows beyond this one; tell the zone."""
        new = self.exchange.merge(records)
        if new:
            self.exchange.publish(new)
            eventlet.spawn_n(self._notify, new, to_relays=False)

    def _count(self, call, crash_id, now, *, in_flight):
        """Count a crash against a Call; return the record if it is new."""
        metrics.increment("proxy.targets_died")
        record = self._table.add_crash(call.fingerprint, crash_id, now)
        emit(
            events.TARGET_CRASHED,
            request=call.request_id,
            target=call.target_id,
            service=call.service,
            fingerprint=call.fingerprint.hex(),
            crash_count=self._table.crash_count(call.fingerprint),
            in_flight=in_flight,
        )
        return record

    def _check(self, request):
        return self._table.check(request.fingerprint, time.monotonic())

    def _log_blocks(self, records):
        """Log which of the requests in new records are blocked now."""
        now = time.monotonic()
        for record in records:
            match self._table.check(record.fingerprint, now):
                case Blocked(crash_count=count, retry_after_seconds=seconds):
                    emit(
                        events.REQUEST_BLOCKED,
                        fingerprint=record.fingerprint.hex(),
                        crash_count=count,
                        milliseconds=int(seconds * MILLISECONDS_PER_SECOND),
                    )

    def _notify(self, records, *, to_relays):
        """Send records to the zone's proxies, and to relays in other zones.

        Waits until they are queued for sending. Records of calls that end
        together are sent in one message.
        """
        self._pending_records += records
        self._pending_for_relays |= to_relays
        if self._notifier is None:
            self._notifier = eventlet.spawn(self._send_pending)
        with eventlet.Timeout(NOTICE_TIMEOUT_SECONDS, False):
            self._notifier.wait()

    def _send_pending(self):
        # The other calls of a crashed target end in the same turn of the loop.
        eventlet.sleep(0)
        message = CrashRecords(records=tuple(self._pending_records))
        for_relays = self._pending_for_relays
        self._pending_records = []
        self._pending_for_relays = False
        self._notifier = None
        try:
            self._send(message, for_relays=for_relays)
        except Exception:
            # The calls that wait for the notice have outcomes of their own.
            loop.report_failure()

    def _send(self, message, *, for_relays):
        recipients = self._proxies_in_zone()
        if for_relays:
            recipients += self._relays()
        metrics.increment("proxy.crash_notices_sent", len(recipients))
        pool = eventlet.GreenPool(MAX_CONCURRENT_NOTICES)
        for record in recipients:
            pool.spawn_n(self._post, record, message)
        pool.waitall()

    def _proxies_in_zone(self):
        """Return the HostRecords of the zone's other proxies."""
        return [
            record
            for record in self._snapshot_store.snapshot.hosts_by_name.values()
            if self._is_in_zone(record) and record.host != self._host.name
        ]

    def _relays(self):
        """Return the HostRecords of some proxies of each other zone."""
        records_by_zone = {}
        for record in self._snapshot_store.snapshot.hosts_by_name.values():
            if not self._is_in_zone(record):
                records_by_zone.setdefault(
                    record.availability_zone, []
                ).append(record)
        return [
            record
            for records in records_by_zone.values()
            for record in random.sample(
                records, min(RELAYS_PER_ZONE, len(records))
            )
        ]

    def _is_in_zone(self, record):
        return record.availability_zone == self._host.availability_zone


def _refuse(request, crash_count, retry_after_ms):
    """Log and return the refusal of a Request or Call."""
    metrics.increment("proxy.crashing_requests_refused")
    emit(
        events.CRASHING_REQUEST_REFUSED,
        request=request.request_id,
        fingerprint=request.fingerprint.hex(),
        crash_count=crash_count,
        retry_after_ms=retry_after_ms,
    )
    return NotRun(
        reason=reasons.CRASHES_TARGETS, retry_after_ms=retry_after_ms
    )


def _shows_completed_run(status):
    """Return whether an answer shows that the target ran the request."""
    return (
        status < FIRST_SERVER_ERROR_STATUS and status not in REFUSAL_STATUSES
    )
