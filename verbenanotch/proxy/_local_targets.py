"""Targets on the proxy's own host: announcements, slots and calls."""

import dataclasses
import os
import time

import attrs

from verbenanotch.membership import HostRecord, TargetRecord
from verbenanotch.proxy import _reasons as reasons
from verbenanotch.proxy import events
from verbenanotch.proxy._announcement_checks import AnnouncementChecker
from verbenanotch.proxy._announcement_refusals import (
    Outdated,
    UnknownService,
)
from verbenanotch.proxy._body_budget import BodyBudget
from verbenanotch.proxy._crash_detection import CrashDetector
from verbenanotch.proxy._exchange import exchange
from verbenanotch.proxy._first_announcements import (
    FirstAnnouncement,
    FirstAnnouncements,
)
from verbenanotch.proxy._outcome import MRPS_PER_RPS, Answered, NotRun
from verbenanotch.proxy._slots import Slots
from verbenanotch.proxy._stop_window import StopWindow
from verbenanotch.proxy._target_connection import TargetConnections
from verbenanotch.proxy._target_discovery import UNKNOWN_INCARNATION
from verbenanotch.proxy._target_history import TargetHistory
from verbenanotch.proxy._target_notices import NoticeLog, read_notices
from verbenanotch.routing import (
    SERVICE_TIME_EWMA_WEIGHT,
    NamedLimit,
    PaceMeter,
)
from verbenanotch.telemetry import emit, metrics

MILLISECONDS_PER_SECOND = 1000
# Less than any sequence of an announcement.
BEFORE_FIRST_SEQUENCE = -1
CRASH_ID_BYTES = 8


@attrs.define(kw_only=True)
class LocalTarget:
    """One announced target with its connections.

    `expires_at` is in monotonic seconds. `sequence` is that of the latest
    announcement. `crash_detector` is None without a CrashGuard. `limit` is
    the request rate that the target names in its answers, and `pace` how
    long work takes there.
    """

    record: TargetRecord
    connections: TargetConnections
    slots: Slots
    crash_detector: CrashDetector | None
    expires_at: float
    sequence: int = 0
    limit: NamedLimit = attrs.field(factory=NamedLimit)
    notice_log: NoticeLog = attrs.field(factory=NoticeLog)
    pace: PaceMeter = attrs.field(
        factory=lambda: PaceMeter(ewma_weight=SERVICE_TIME_EWMA_WEIGHT)
    )

    @property
    def order(self):
        """Sort key that increases with each announcement of the target."""
        return (self.record.incarnation, self.sequence)

    def load_for(self, call, sender):
        """Return the TargetLoad for the proxy that has sent a Call."""
        load = self._load()
        if not self.limit.rate and not self.record.draining:
            return load
        share = self.limit.share(
            sender, call.demand_mrps / MRPS_PER_RPS, time.monotonic()
        )
        return attrs.evolve(
            load,
            limit=self.limit.rate,
            share=share,
            is_leaving=self.record.draining,
        )

    def _load(self):
        load = self.slots.load
        if not self.pace.percent:
            return load
        return attrs.evolve(
            load,
            pace_percent=self.pace.percent_at(time.monotonic()),
            usual_seconds=self.pace.usual_seconds(load.service_seconds),
            reported_ms=int(time.monotonic() * MILLISECONDS_PER_SECOND),
        )

    def max_wait_seconds(self, call):
        """Return the longest wait of a Call at the mean service time."""
        return call.max_wait_seconds / self.pace.slowdown(time.monotonic())

    def limit_refusal(self, call):
        """Return NotRun if the target's limit has no room for a Call."""
        wait_seconds = self.limit.wait_seconds(call.priority, time.monotonic())
        if not wait_seconds:
            return None
        return NotRun(
            reason=reasons.TARGET_LIMITED,
            retry_after_ms=int(wait_seconds * MILLISECONDS_PER_SECOND) + 1,
        )

    def record_restart(self):
        """Report a crash that was not noticed before the target's restart."""
        if self.crash_detector is not None:
            self.crash_detector.record_restart()


class LocalTargets:
    """Keep the host's targets and run calls at them."""

    def __init__(
        self,
        *,
        settings,
        incarnation,
        on_change,
        guard=None,
        known_services=frozenset,
        is_rejected=lambda record: False,
        stop_window=None,
        body_budget=None,
        snapshot_store=None,
    ):
        """Call `on_change` whenever the announcement changes.

        `guard` is the CrashGuard that refuses requests which crash targets,
        and to which crashes and answers are reported.
        `known_services` returns the names of the services of the mesh.
        `is_rejected(record)` returns whether a target's software version
        gets no requests. `stop_window` is the StopWindow of this host,
        `body_budget` its BodyBudget. With `snapshot_store`, which has the
        health paths, first announcements are confirmed by their targets.
        """
        self._stop_window = stop_window or StopWindow()
        self._is_rejected = is_rejected
        self._known_services = known_services
        self._checker = AnnouncementChecker()
        self._history = TargetHistory()
        self._announced_departures = []
        self._service = settings.proxy.local_service
        self._guard = guard
        self._settings = settings
        self._incarnation = incarnation
        self._on_change = on_change
        self._sequence = 0
        self._leaving = False
        self._body_budget = body_budget or BodyBudget(
            max_bytes=settings.proxy.max_receiving_bytes
        )
        self.targets_by_id = {}
        self._first_announcements = None
        if snapshot_store is not None:
            self._first_announcements = FirstAnnouncements(
                settings=settings,
                snapshot_store=snapshot_store,
                on_confirmed=self._apply_confirmed,
            )

    def announcement(self):
        """Return the HostRecord to announce to other hosts."""
        host = self._settings.host
        self._announced_departures = self._departures()
        records = [target.record for target in self.targets_by_id.values()]
        records += self._announced_departures
        return HostRecord(
            host=host.name,
            availability_zone=host.availability_zone,
            address=host.announced_address,
            peer_port=host.announced_peer_port,
            incarnation=self._incarnation,
            sequence=self._sequence,
            targets=() if self._leaving else tuple(records),
            control_zone=host.control_zone,
        )

    def _departures(self):
        """Return the records of targets that left and have not come back."""
        return [
            record
            for record in self._history.recent_departures()
            if record.target_id not in self.targets_by_id
        ]

    @property
    def incarnation(self):
        """Return the incarnation that this host announces."""
        return self._incarnation

    @property
    def service(self):
        """Return the service of the last announced target or the default."""
        return self._service

    @property
    def in_flight(self):
        """Number of calls in flight at the host's targets."""
        return sum(
            target.slots.in_flight for target in self.targets_by_id.values()
        )

    def raise_incarnation_above(self, incarnation):
        """Announce the host under a higher incarnation than `incarnation`."""
        if self._incarnation <= incarnation:
            self._incarnation = incarnation + 1
            emit(events.INCARNATION_RAISED, incarnation=self._incarnation)
            self._announcement_changed()

    def set_default_service(self, service):
        """Set the host's service unless the host has targets.

        Does nothing if `service` is empty.
        """
        if service and not self.targets_by_id:
            self._service = service

    def stop_announcing(self):
        """Announce no targets from now on; calls in flight continue."""
        self._leaving = True
        self._announcement_changed()

    def announce(self, record, *, sequence=0, is_confirmed=False):
        """Add a target or renew its announcement.

        Returns False and ignores the announcement if it is invalid, if its
        service is unknown or if it is older than the current state of its
        target or address. A first announcement that is not `is_confirmed` by
        a health answer may have its effect later, see FirstAnnouncements.
        """
        refusal = self.announce_or_explain(
            record, sequence=sequence, is_confirmed=is_confirmed
        )
        return refusal is None

    def announce_or_explain(self, record, *, sequence=0, is_confirmed=False):
        """Do what `announce` does; return why it is ignored, or None.

        The reason is InvalidTarget, UnknownService or Outdated.
        """
        refusal = self._checker.refusal(record, sequence)
        if refusal is not None:
            return refusal
        refusal = self._announcement_refusal(record, sequence)
        if refusal is not None:
            metrics.increment("proxy.announcements_outdated")
            return refusal
        expires_at = time.monotonic() + (
            self._settings.proxy.announcement_lease_ms
            / MILLISECONDS_PER_SECOND
        )
        if not is_confirmed and self._must_confirm(record):
            return self._await_confirmation(record, sequence, expires_at)
        self._apply(record, sequence, expires_at)
        return None

    def _must_confirm(self, record):
        """Return whether a target has to say that it serves, before use."""
        if self._first_announcements is None or record.draining:
            return False
        if not self._first_announcements.are_kept:
            self._first_announcements.take(record.target_id)
            return False
        current = self.targets_by_id.get(record.target_id)
        return current is None or (
            current.record.incarnation != record.incarnation
            and not _is_first_announcement(current.record, record)
        )

    def _await_confirmation(self, record, sequence, expires_at):
        """Keep an announcement; return Outdated if a later one is kept."""
        announcement = FirstAnnouncement(
            record=record, sequence=sequence, expires_at=expires_at
        )
        if self._first_announcements.add(announcement):
            return None
        metrics.increment("proxy.announcements_outdated")
        return Outdated(
            target_id=record.target_id, incarnation=record.incarnation
        )

    def _apply_confirmed(self, announcement):
        """Apply a FirstAnnouncement unless a later state is known by now."""
        record, sequence = announcement.record, announcement.sequence
        if self._announcement_refusal(record, sequence) is None:
            self._apply(record, sequence, announcement.expires_at)

    def _apply(self, record, sequence, expires_at):
        """Add the target of a current announcement, or renew it."""
        self._service = record.service
        current = self.targets_by_id.get(record.target_id)
        if current is not None and _is_first_announcement(
            current.record, record
        ):
            current.record = record
            self._announcement_changed()
        if current is None or current.record.incarnation != record.incarnation:
            self._add_target(record, expires_at)
            current = self.targets_by_id[record.target_id]
        current.expires_at = expires_at
        current.sequence = sequence
        if record.draining or self._history.was_drained(record):
            self.drain(record.target_id)

    def _announcement_refusal(self, record, sequence):
        """Return why an announcement is ignored; None if it is current."""
        service_names = self._known_services()
        if service_names and record.service not in service_names:
            return UnknownService(service=record.service)
        if not self._is_current(record, sequence):
            return Outdated(
                target_id=record.target_id, incarnation=record.incarnation
            )
        return None

    def _is_current(self, record, sequence):
        """Return whether an announcement is not outdated."""
        if self._history.is_outdated(record, sequence):
            return False
        order = (record.incarnation, sequence)
        current = self.targets_by_id.get(record.target_id)
        if current is not None and order < current.order:
            return False
        return all(
            other.record.incarnation <= record.incarnation
            for other in self._other_targets_at(record)
        )

    def _other_targets_at(self, record):
        """Return the other targets with the address and port of a record."""
        return [
            other
            for other in self.targets_by_id.values()
            if other.record.target_id != record.target_id
            and (other.record.address, other.record.port)
            == (record.address, record.port)
        ]

    def _add_target(self, record, expires_at):
        """Add a target and remove any other target at its address."""
        for other in self._other_targets_at(record):
            self._history.add_departure(other.record)
            self._remove(other.record.target_id)
            other.record_restart()
        current = self.targets_by_id.get(record.target_id)
        if current is not None:
            current.connections.close()
            current.record_restart()
        connections = TargetConnections(
            address=record.address, port=record.port, max_idle=record.slots
        )
        self.targets_by_id[record.target_id] = LocalTarget(
            record=record,
            connections=connections,
            slots=Slots(count=record.slots),
            crash_detector=self._make_crash_detector(record, connections),
            expires_at=expires_at,
        )
        emit(
            events.TARGET_ANNOUNCED,
            target=record.target_id,
            service=record.service,
            incarnation=record.incarnation,
        )
        self._announcement_changed()

    def _make_crash_detector(self, record, connections):
        if self._guard is None:
            return None
        return CrashDetector(
            guard=self._guard,
            connections=connections,
            crash_id=os.urandom(CRASH_ID_BYTES),
            on_crash=lambda: self._remove_crashed(
                record.target_id, connections
            ),
        )

    def drain(self, target_id):
        """Stop sending new requests to a target; return False if unknown."""
        self._apply_unconfirmed(target_id)
        target = self.targets_by_id.get(target_id)
        if target is None:
            return False
        if not target.record.draining:
            target.record = attrs.evolve(target.record, draining=True)
            emit(events.TARGET_DRAINING, target=target_id)
            self._announcement_changed()
        return True

    def _apply_unconfirmed(self, target_id):
        """Add a target, as draining, that has not been confirmed yet."""
        if self._first_announcements is None:
            return
        announcement = self._first_announcements.take(target_id)
        if announcement is not None:
            self._apply_confirmed(
                attrs.evolve(
                    announcement,
                    record=attrs.evolve(announcement.record, draining=True),
                )
            )

    def remove(self, target_id):
        """Remove a target that exits; return False if it is unknown."""
        self._apply_unconfirmed(target_id)
        target = self.targets_by_id.get(target_id)
        if target is None:
            self._history.add_exit(target_id, None)
            return False
        self._history.add_exit(target_id, target.record)
        self._remove(target_id)
        if target.crash_detector is not None:
            target.crash_detector.expect_exit()
        return True

    def _remove(self, target_id):
        """Remove and return a target; return None if it is unknown."""
        target = self.targets_by_id.pop(target_id, None)
        if target is None:
            return None
        target.connections.close()
        self._history.add_removal(target_id, target.order)
        emit(events.TARGET_LEFT, target=target_id)
        self._announcement_changed()
        return target

    def expire(self):
        """Remove the targets whose announcement was not renewed in time.

        Departures are announced for some time only.
        """
        if self._departures() != self._announced_departures:
            self._announcement_changed()
        now = time.monotonic()
        for target_id, target in list(self.targets_by_id.items()):
            if target.expires_at <= now:
                del self.targets_by_id[target_id]
                target.connections.close()
                if target.record.draining:
                    self._history.add_drain(target.record)
                self._history.add_removal(
                    target_id, _order_before_renewal(target)
                )
                emit(events.TARGET_EXPIRED, target=target_id)
                self._announcement_changed()

    def preconnect(self):
        """Open idle connections to each target in advance."""
        for target in list(self.targets_by_id.values()):
            target.connections.preconnect()

    def run(self, call, *, sender, deadline, cancellation):
        """Run a call at a local target and return its outcome.

        `sender` is the name of the host whose proxy has sent the call.
        `deadline` is in monotonic seconds.
        """
        target = self.targets_by_id.get(call.target_id)
        if target is not None:
            self._adopt_limit(target, call, sender)
        arrived_at = time.monotonic()
        refusal = (
            self._refusal(target)
            or _withdrawal(cancellation)
            or self._stop_refusal(call, deadline, arrived_at)
            or self._blocked(call)
            or target.limit_refusal(call)
        )
        if refusal is None:
            refusal = self._acquire_slot(target, call, deadline, cancellation)
        if refusal is not None:
            metrics.increment(f"proxy.refused.{refusal.reason}")
            return _with_load(refusal, target, call, sender)
        started = time.monotonic()
        try:
            outcome = self._run_in_slot(target, call, deadline, cancellation)
        finally:
            target.slots.release(time.monotonic() - started, call.route_name)
        outcome = self._settle(target, call, outcome, deadline)
        if isinstance(outcome, Answered):
            now = time.monotonic()
            self._stop_window.observe(call.route_name, now - arrived_at, now)
        return _with_load(outcome, target, call, sender)

    def _acquire_slot(self, target, call, deadline, cancellation):
        """Wait for a slot; return NotRun if there is none in time."""
        with self._stop_window.watch(
            call.route_name,
            deadline=deadline,
            arrived_at=time.monotonic(),
            cancellation=cancellation,
            reason=reasons.HOST_LEAVING,
        ):
            return target.slots.acquire(
                deadline=deadline,
                cancellation=cancellation,
                rank=call.priority,
                route_name=call.route_name,
                objective_seconds=call.objective_seconds,
                account=call.account,
                max_wait_seconds=target.max_wait_seconds(call),
            )

    def _adopt_limit(self, target, call, sender):
        """Use the limit that a sender knows from before a restart here."""
        now = time.monotonic()
        known_rate = call.known_limit_mrps / MRPS_PER_RPS
        if target.limit.adopt(known_rate, now):
            target.notice_log.limit_changed(
                target.record, target.limit.rate, source=sender, now=now
            )

    def _observe_headers(self, target, call, headers):
        """Record what a target says of itself in an answer to a Call."""
        now = time.monotonic()
        names = self._settings.proxy.headers
        notices = read_notices(headers, names)
        target.notice_log.headers_invalid(notices, call, now)
        if not notices.has_invalid(names.target_limit) and (
            target.limit.observe(notices.limit, now)
        ):
            target.notice_log.limit_changed(
                target.record,
                target.limit.rate,
                source=names.target_limit,
                now=now,
            )
        if notices.pace_percent is not None:
            target.pace.observe(notices.pace_percent, now)
        current = self.targets_by_id.get(call.target_id)
        if notices.is_leaving and current is target:
            self.drain(call.target_id)

    def _refusal(self, target):
        """Return NotRun if a target accepts no calls at present, else None.

        The sender of a call may not know yet that a version was rejected.
        """
        if target is None:
            return NotRun(reason=reasons.TARGET_GONE)
        if target.record.draining:
            return NotRun(reason=reasons.TARGET_DRAINING)
        if self._is_rejected(target.record):
            return NotRun(reason=reasons.TARGET_REJECTED)
        return None

    def _stop_refusal(self, call, deadline, now):
        """Return NotRun if this host stops before the call would end."""
        if self._stop_window.has_time_for(
            call.route_name, deadline=deadline, now=now
        ):
            return None
        return NotRun(reason=reasons.HOST_LEAVING)

    def _blocked(self, call):
        """Return NotRun if the call's request crashes targets, else None."""
        return None if self._guard is None else self._guard.refusal(call)

    def _settle(self, target, call, outcome, deadline):
        """Report an answer or a crash; return the outcome with its crashes."""
        if target.crash_detector is None:
            return outcome
        return target.crash_detector.settle(call, outcome, deadline=deadline)

    def _remove_crashed(self, target_id, connections):
        """Remove a target unless another one has its id by now."""
        target = self.targets_by_id.get(target_id)
        if target is not None and target.connections is connections:
            self._remove(target_id)

    def _run_in_slot(self, target, call, deadline, cancellation):
        # The target may have been drained while the call waited for its slot.
        refusal = self._refusal(target) or target.limit_refusal(call)
        if refusal is not None:
            return refusal
        target.limit.spend(call.priority, time.monotonic())
        if self._guard is None:
            return self._exchange(target, call, deadline, cancellation)
        with self._guard.running(call) as refusal:
            if refusal is not None:
                return refusal
            return self._exchange(target, call, deadline, cancellation)

    def _exchange(self, target, call, deadline, cancellation):
        started = time.monotonic()
        if call.traced:
            emit(
                events.CALL_STARTED,
                request=call.request_id,
                target=call.target_id,
                attempt=call.attempt,
            )
        outcome = exchange(
            target.connections,
            call,
            deadline=deadline,
            cancellation=cancellation,
            max_body_bytes=self._settings.proxy.max_body_bytes,
            header_names=self._settings.proxy.headers,
            echoes_id=self._settings.proxy.targets_echo_request_id,
            may_omit_length=self._settings.proxy.targets_may_omit_length,
            on_headers=lambda headers: self._observe_headers(
                target, call, headers
            ),
            body_budget=self._body_budget,
        )
        elapsed_ms = (time.monotonic() - started) * MILLISECONDS_PER_SECOND
        metrics.timing("proxy.target_ms", elapsed_ms)
        if call.traced:
            emit(
                events.CALL_FINISHED,
                request=call.request_id,
                target=call.target_id,
                attempt=call.attempt,
                outcome=type(outcome).__name__,
                milliseconds=round(elapsed_ms, 3),
            )
        return outcome

    def _announcement_changed(self):
        self._sequence += 1
        self._on_change()


def _order_before_renewal(target):
    """Return the order that the next renewal of a target exceeds.

    Without sequences, all announcements of one incarnation are equal.
    """
    if target.sequence:
        return target.order
    return (target.record.incarnation, BEFORE_FIRST_SEQUENCE)


def _is_first_announcement(current, record):
    """Return whether a discovered target announces itself for the first time.

    `current` is the record made by TargetDiscovery. Apart from what the
    target alone can tell (incarnation, draining and software version), it
    must be equal to `record`.
    """
    return (
        current.incarnation == UNKNOWN_INCARNATION
        and current
        == attrs.evolve(
            record,
            incarnation=UNKNOWN_INCARNATION,
            draining=False,
            software_version=current.software_version,
        )
    )


def _withdrawal(cancellation):
    """Return NotRun if a request is withdrawn, else None."""
    if cancellation.withdrawn_reason:
        return NotRun(reason=cancellation.withdrawn_reason)
    return None


def _with_load(outcome, target, call, sender):
    """Return the outcome with the current load of its target."""
    if target is None:
        return outcome
    return dataclasses.replace(outcome, load=target.load_for(call, sender))
