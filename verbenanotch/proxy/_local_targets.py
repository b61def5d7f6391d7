"""Targets on the proxy's own host: announcements, slots and calls."""

import dataclasses
import time

import attrs
import eventlet

from verbenanotch.membership import HostRecord, TargetRecord
from verbenanotch.proxy import _reasons as reasons
from verbenanotch.proxy import events
from verbenanotch.proxy._exchange import exchange
from verbenanotch.proxy._outcome import Answered, NotRun, Unknown
from verbenanotch.proxy._slots import Slots
from verbenanotch.proxy._target_connection import TargetConnections
from verbenanotch.proxy._target_discovery import UNKNOWN_INCARNATION
from verbenanotch.telemetry import emit, metrics

MILLISECONDS_PER_SECOND = 1000
# Ends of targets that are remembered against announcements that come late.
MAX_ENDED_TARGETS = 64
# Within this a process that is ending has closed all of its sockets; a
# scheduler's slice or two.
ENDING_SECONDS = 0.05
# Announcements may come some seconds late.
LATE_ANNOUNCEMENT_SECONDS = 10.0


@attrs.define(kw_only=True)
class LocalTarget:
    """One announced target with its connections.

    `sequence` is that of its latest announcement.
    """

    record: TargetRecord
    connections: TargetConnections
    slots: Slots
    expires_at: float
    sequence: int = 0

    @property
    def order(self):
        """Key by which a later announcement of the target is greater."""
        return (self.record.incarnation, self.sequence)


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
    ):
        """Call `on_change` whenever the announcement changes.

        `guard` is the CrashGuard that learns of deaths. `known_services`
        returns the names of the services of the mesh.
        """
        self._known_services = known_services
        self._ended_orders_by_id = {}
        self._left_at_by_id = {}
        self._service = settings.proxy.local_service
        self._guard = guard
        self._settings = settings
        self._incarnation = incarnation
        self._on_change = on_change
        self._sequence = 0
        self._leaving = False
        self.targets_by_id = {}

    def announcement(self):
        """Return the HostRecord that other hosts are to know."""
        host = self._settings.host
        targets = () if self._leaving else self.targets_by_id.values()
        return HostRecord(
            host=host.name,
            availability_zone=host.availability_zone,
            address=host.announced_address,
            peer_port=host.announced_peer_port,
            incarnation=self._incarnation,
            sequence=self._sequence,
            targets=tuple(target.record for target in targets),
            control_zone=host.control_zone,
        )

    @property
    def incarnation(self):
        """Return the incarnation that this host announces."""
        return self._incarnation

    @property
    def service(self):
        """Return the service of the target that announced itself last."""
        return self._service

    @property
    def in_flight(self):
        """Number of calls that run at the host's targets."""
        return sum(
            target.slots.in_flight for target in self.targets_by_id.values()
        )

    def raise_incarnation_above(self, incarnation):
        """Announce under a greater incarnation than this one."""
        if self._incarnation <= incarnation:
            self._incarnation = incarnation + 1
            emit(events.INCARNATION_RAISED, incarnation=self._incarnation)
            self._changed()

    def set_default_service(self, service):
        """Note which service the host's targets have from now on."""
        if service and not self.targets_by_id:
            self._service = service

    def stop_announcing(self):
        """Announce no targets from now on; their calls go on."""
        self._leaving = True
        self._changed()

    def announce(self, record, *, sequence=0):
        """Take or renew the announcement of a target.

        Return False for one that is not to be used: of an unknown service,
        or sent before what is known of its target or of its address.
        """
        if not self._is_current(record, sequence):
            metrics.increment("proxy.announcements_outdated")
            return False
        expires_at = time.monotonic() + (
            self._settings.proxy.announcement_lease_ms
            / MILLISECONDS_PER_SECOND
        )
        self._service = record.service
        held = self.targets_by_id.get(record.target_id)
        if held is not None and _is_found_again(held.record, record):
            held.record = record
            self._changed()
        if held is None or held.record.incarnation != record.incarnation:
            self._replace(record, expires_at)
            held = self.targets_by_id[record.target_id]
        held.expires_at = expires_at
        held.sequence = sequence
        if record.draining:
            self.drain(record.target_id)
        return True

    def _is_current(self, record, sequence):
        """Return whether an announcement is the latest of its target."""
        known = self._known_services()
        if known and record.service not in known:
            return False
        order = (record.incarnation, sequence)
        ended = self._ended_orders_by_id.get(record.target_id)
        if ended is not None and order <= ended:
            return False
        held = self.targets_by_id.get(record.target_id)
        if held is not None and order < held.order:
            return False
        if self._has_left_unknown(record):
            return False
        return all(
            other.record.incarnation <= record.incarnation
            for other in self._others_at(record)
        )

    def _has_left_unknown(self, record):
        """Return whether the target left before it was known here.

        Its announcements that come late are older than that; those of its
        next start are not.
        """
        left = self._left_at_by_id.get(record.target_id)
        if left is None:
            return False
        left_at, left_at_ms = left
        is_recent = time.monotonic() - left_at < LATE_ANNOUNCEMENT_SECONDS
        return is_recent and record.incarnation <= left_at_ms

    def _others_at(self, record):
        """Return the other targets at the address of a record."""
        return [
            other
            for other in self.targets_by_id.values()
            if other.record.target_id != record.target_id
            and (other.record.address, other.record.port)
            == (record.address, record.port)
        ]

    def _replace(self, record, expires_at):
        """Hold a new target, and no other one at its address."""
        for other in self._others_at(record):
            self.remove(other.record.target_id)
        held = self.targets_by_id.get(record.target_id)
        if held is not None:
            held.connections.close()
        self.targets_by_id[record.target_id] = LocalTarget(
            record=record,
            connections=TargetConnections(
                address=record.address,
                port=record.port,
                max_idle=record.slots,
            ),
            slots=Slots(count=record.slots),
            expires_at=expires_at,
        )
        emit(
            events.TARGET_ANNOUNCED,
            target=record.target_id,
            service=record.service,
            incarnation=record.incarnation,
        )
        self._changed()

    def drain(self, target_id):
        """Give a target no new work; return False if it is not here."""
        target = self.targets_by_id.get(target_id)
        if target is None:
            return False
        if not target.record.draining:
            target.record = attrs.evolve(target.record, draining=True)
            emit(events.TARGET_DRAINING, target=target_id)
            self._changed()
        return True

    def remove(self, target_id):
        """Forget a target; return False if it is not here."""
        target = self.targets_by_id.pop(target_id, None)
        if target is None:
            self._left_at_by_id[target_id] = (
                time.monotonic(),
                int(time.time() * MILLISECONDS_PER_SECOND),
            )
            _drop_oldest(self._left_at_by_id)
            return False
        target.connections.close()
        self._ended_orders_by_id[target_id] = target.order
        _drop_oldest(self._ended_orders_by_id)
        emit(events.TARGET_LEFT, target=target_id)
        self._changed()
        return True

    def expire(self):
        """Forget the targets whose announcement was not renewed."""
        now = time.monotonic()
        for target_id, target in list(self.targets_by_id.items()):
            if target.expires_at <= now:
                del self.targets_by_id[target_id]
                target.connections.close()
                emit(events.TARGET_EXPIRED, target=target_id)
                self._changed()

    def preconnect(self):
        """Keep a few connections to each target open."""
        for target in list(self.targets_by_id.values()):
            target.connections.preconnect()

    def run(self, call, *, deadline, cancellation):
        """Run a call at a local target and return its outcome.

        `deadline` is in monotonic seconds.
        """
        target = self.targets_by_id.get(call.target_id)
        refusal = _refusal(target)
        if refusal is None:
            refusal = target.slots.acquire(
                deadline=deadline,
                cancellation=cancellation,
                rank=call.priority,
                route_name=call.route_name,
                objective_seconds=call.objective_seconds,
            )
        if refusal is not None:
            metrics.increment(f"proxy.refused.{refusal.reason}")
            return _with_load(refusal, target)
        started = time.monotonic()
        try:
            outcome = self._run(target, call, deadline, cancellation)
        finally:
            target.slots.release(time.monotonic() - started, call.route_name)
        return _with_load(outcome, target)

    def _run(self, target, call, deadline, cancellation):
        # A drain may have come while the call waited for its slot.
        refusal = _refusal(target)
        if refusal is not None:
            return refusal
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
            names=self._settings.proxy.headers,
            echoes_id=self._settings.proxy.targets_echo_request_id,
            may_omit_length=self._settings.proxy.targets_may_omit_length,
        )
        self._learn(target, call, outcome)
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

    def _learn(self, target, call, outcome):
        """Note a target that died of the call."""
        if self._guard is None:
            return
        match outcome:
            case Answered():
                self._guard.record_answer(call)
            case Unknown(reason=reason) if reason.startswith(
                reasons.TARGET_BROKE_OFF
            ):
                self._probe(target, call)

    def _probe(self, target, call):
        """Note whether a target that broke a call off has died of it.

        The system ends the sockets of a process one after the other, so
        that a process that is ending may accept one more connection.
        """
        connection = target.connections.probe()
        if connection is None:
            self._record_crash(target, call)
        else:
            eventlet.spawn_after(
                ENDING_SECONDS, self._probe_again, target, call, connection
            )

    def _probe_again(self, target, call, connection):
        if connection.was_dropped() and target.connections.probe() is None:
            self._record_crash(target, call)

    def _record_crash(self, target, call):
        if self.targets_by_id.get(call.target_id) is target:
            self.remove(call.target_id)
        self._guard.record_crash(call)

    def _changed(self):
        self._sequence += 1
        self._on_change()


def _drop_oldest(ends_by_id):
    """Bound what is remembered of targets that have ended."""
    if len(ends_by_id) > MAX_ENDED_TARGETS:
        del ends_by_id[next(iter(ends_by_id))]


def _is_found_again(held, record):
    """Return whether a target that was asked now announces itself."""
    return held.incarnation == UNKNOWN_INCARNATION and held == attrs.evolve(
        record, incarnation=UNKNOWN_INCARNATION, draining=False
    )


def _with_load(outcome, target):
    """Return an outcome that tells the load of its target."""
    if target is None:
        return outcome
    return dataclasses.replace(outcome, load=target.slots.load)


def _refusal(target):
    """Return NotRun if a target takes no call now, else None."""
    if target is None:
        return NotRun(reason=reasons.TARGET_GONE)
    if target.record.draining:
        return NotRun(reason=reasons.TARGET_DRAINING)
    return None
