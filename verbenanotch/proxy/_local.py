"""Targets on the proxy's own host: announcements, slots and calls."""

import time

import attrs

from verbenanotch.membership import HostRecord, TargetRecord
from verbenanotch.proxy import _reasons as reasons
from verbenanotch.proxy import events
from verbenanotch.proxy._exchange import exchange
from verbenanotch.proxy._outcome import Answered, NotRun, Unknown
from verbenanotch.proxy._slots import Slots
from verbenanotch.proxy._target_connection import TargetConnections
from verbenanotch.telemetry import emit, metrics

ANNOUNCEMENT_LEASE_SECONDS = 4.0
MILLISECONDS_PER_SECOND = 1000


@attrs.define(kw_only=True)
class LocalTarget:
    """One announced target with its connections."""

    record: TargetRecord
    connections: TargetConnections
    slots: Slots
    expires_at: float


class LocalTargets:
    """Keep the host's targets and run calls at them."""

    def __init__(self, *, settings, incarnation, on_change, guard=None):
        """Call `on_change` whenever the announcement changes.

        `guard` is the CrashGuard that learns of deaths.
        """
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
        )

    def leave(self):
        """Announce no targets from now on; their calls go on."""
        self._leaving = True
        self._changed()

    def announce(self, record):
        """Take or renew the announcement of a target."""
        expires_at = time.monotonic() + ANNOUNCEMENT_LEASE_SECONDS
        held = self.targets_by_id.get(record.target_id)
        if held is not None and held.record.incarnation == record.incarnation:
            held.expires_at = expires_at
            return
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
        emit(events.TARGET_ANNOUNCED, target=record.target_id)
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
            return False
        target.connections.close()
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

    def warm(self):
        """Keep a few connections to each target open."""
        for target in list(self.targets_by_id.values()):
            target.connections.warm()

    def run(self, call, *, deadline, cancellation):
        """Run a call at a local target and return its outcome.

        `deadline` is in monotonic seconds.
        """
        target = self.targets_by_id.get(call.target_id)
        refusal = _refusal(target) or target.slots.acquire(
            deadline=deadline, cancellation=cancellation
        )
        if refusal is not None:
            metrics.increment(f"proxy.refused.{refusal.reason}")
            return refusal
        started = time.monotonic()
        try:
            return self._run(target, call, deadline, cancellation)
        finally:
            target.slots.release(time.monotonic() - started)

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
                self._guard.answered(call)
            case Unknown(reason=reason) if (
                reason.startswith(reasons.TARGET_BROKE_OFF)
                and not target.connections.can_connect()
            ):
                self.remove(call.target_id)
                self._guard.died(call)

    def _changed(self):
        self._sequence += 1
        self._on_change()


def _refusal(target):
    """Return NotRun if a target takes no call now, else None."""
    if target is None:
        return NotRun(reason=reasons.TARGET_GONE)
    if target.record.draining:
        return NotRun(reason=reasons.TARGET_DRAINING)
    return None
