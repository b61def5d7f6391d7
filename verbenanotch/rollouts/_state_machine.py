"""The rollouts: a state machine on the log, beside the accepted versions."""

import collections
import time

import attrs
import msgpack

from verbenanotch.catalog import NO_VERSION, Version
from verbenanotch.rollouts import events
from verbenanotch.rollouts._commands import (
    DECODE_ERRORS,
    MAX_COMMAND_BYTES,
    Abort,
    Action,
    Order,
    Ordered,
    Outdated,
    Refused,
    Step,
    decode_command,
    encode_outcome,
    is_rollout_command,
)
from verbenanotch.rollouts._rollout import (
    FULL_SHARE_PPM,
    MILLISECONDS_PER_SECOND,
    Phase,
    Rollout,
    rollout_from_plain,
    rollout_to_plain,
)
from verbenanotch.telemetry import emit, metrics

SNAPSHOT_FORMAT = 3
MAX_EARLIER_ROLLOUTS = 256
MAX_REJECTED_VERSIONS = 256
PHASES_BY_ACTION = {
    Action.EXPOSE: (Phase.RUNNING,),
    Action.SHIFT: (Phase.RUNNING,),
    Action.COMPLETE: (Phase.SHIFTING,),
    Action.ROLL_BACK: (Phase.RUNNING, Phase.SHIFTING),
    Action.TICK: (Phase.RUNNING, Phase.SHIFTING),
    Action.SETTLE: (Phase.COMPLETED,),
}
ACTIONS_THAT_EXPOSE = frozenset(
    (Action.EXPOSE, Action.SHIFT, Action.ROLL_BACK, Action.SETTLE)
)


class RolloutTable:
    """The last rollout of each service, and the versions rolled back.

    `monotonic` measures the time since entries were applied. `earlier` are
    the ended rollouts that were replaced by another of their service, oldest
    first.
    """

    def __init__(self, *, monotonic=time.monotonic):
        """Start without rollouts."""
        self._monotonic = monotonic
        self._applied_at_by_service = {}
        self.rollouts_by_service = {}
        self.rejected_by_service = {}
        self.earlier = collections.deque(maxlen=MAX_EARLIER_ROLLOUTS)
        self.exposed = NO_VERSION

    @property
    def unfinished(self):
        """The rollouts that may need another step."""
        return tuple(
            rollout
            for rollout in self.rollouts_by_service.values()
            if not rollout.has_ended
            or (rollout.phase is Phase.COMPLETED and not rollout.settled)
        )

    @property
    def exposures_by_service(self):
        """The Exposure of each service that has one."""
        exposures = {
            service: rollout.exposure(
                self.rejected_by_service.get(service, ())
            )
            for service, rollout in self.rollouts_by_service.items()
        }
        return {name: item for name, item in exposures.items() if item}

    def seconds_since_step(self, service):
        """Return the time since the last entry of a service was applied."""
        return self._monotonic() - self._applied_at_by_service[service]

    def elapsed_seconds(self, service):
        """Return the time since the order, as far as this host knows it."""
        rollout = self.rollouts_by_service[service]
        return (
            rollout.elapsed_ms / MILLISECONDS_PER_SECOND
            + self.seconds_since_step(service)
        )

    def apply(self, version, command):
        """Apply an Order, Step or Abort; return its outcome.

        `version` is the position of the entry in the log.
        """
        match command:
            case Order():
                return self._order(version, command)
            case Step():
                return self._step(version, command)
            case Abort():
                return self._abort(version, command)

    def to_plain(self):
        """Return the state for msgpack."""
        return {
            "exposed": str(self.exposed),
            "rollouts": [
                rollout_to_plain(rollout)
                for rollout in self.rollouts_by_service.values()
            ],
            "earlier": [rollout_to_plain(item) for item in self.earlier],
            "rejected": {
                service: list(versions)
                for service, versions in self.rejected_by_service.items()
            },
        }

    def restore(self, values):
        """Replace the state by that of `to_plain`; None means no state."""
        values = values or {}
        self.exposed = Version.parse(values.get("exposed", str(NO_VERSION)))
        rollouts = [
            rollout_from_plain(item) for item in values.get("rollouts", ())
        ]
        self.rollouts_by_service = {item.service: item for item in rollouts}
        self.earlier.clear()
        self.earlier.extend(
            rollout_from_plain(item) for item in values.get("earlier", ())
        )
        self.rejected_by_service = {
            service: tuple(versions)
            for service, versions in values.get("rejected", {}).items()
        }
        now = self._monotonic()
        self._applied_at_by_service = dict.fromkeys(
            self.rollouts_by_service, now
        )

    def _order(self, version, order):
        current = self.rollouts_by_service.get(order.service)
        if current is not None and current.candidate == order.candidate:
            return Ordered(rollout=current, is_new=False)
        if order.candidate in self.rejected_by_service.get(order.service, ()):
            return self._repeat_rejected(order)
        if current is not None and not current.has_ended:
            return Refused(
                reason=f"a rollout of service {order.service!r} to version "
                f"{current.candidate!r} is in progress",
                remedy="Wait until it has ended, or abort it.",
            )
        if current is not None:
            self.earlier.append(current)
        rollout = Rollout(
            service=order.service,
            candidate=order.candidate,
            finish_by_ms=order.finish_by_ms,
            operator=order.operator,
            ordered_at_ms=order.ordered_at_ms,
            order=version,
            exposed=version,
        )
        self._store(version, rollout, exposes=True)
        metrics.increment("rollouts.ordered")
        emit(
            events.ROLLOUT_ORDERED,
            version=str(version),
            service=order.service,
            candidate=order.candidate,
            finish_by_ms=order.finish_by_ms,
            operator=order.operator,
        )
        return Ordered(rollout=rollout, is_new=True)

    def _repeat_rejected(self, order):
        """Return the outcome of an order of a version that was rolled back.

        It is a late copy of the order of an earlier rollout, or a mistake;
        the version gets no requests again in either case.
        """
        for rollout in reversed(self.earlier):
            if (rollout.service, rollout.candidate) == (
                order.service,
                order.candidate,
            ):
                return Ordered(rollout=rollout, is_new=False)
        return Refused(
            reason=f"version {order.candidate!r} of service "
            f"{order.service!r} was rolled back",
            remedy="Give the corrected software another version.",
        )

    def _abort(self, version, abort):
        current = self.rollouts_by_service.get(abort.service)
        if current is None or current.candidate != abort.candidate:
            return Refused(
                reason=f"service {abort.service!r} has no rollout to version "
                f"{abort.candidate!r}",
                remedy="See the status for its last rollout.",
            )
        if current.phase is Phase.COMPLETED:
            return Refused(
                reason=f"the rollout of service {abort.service!r} to version "
                f"{abort.candidate!r} is completed",
                remedy="Order a rollout to another version.",
            )
        if current.phase is Phase.ROLLED_BACK:
            return Ordered(rollout=current, is_new=False)
        step = Step(
            service=abort.service,
            order=current.order,
            number=current.step,
            action=Action.ROLL_BACK,
            elapsed_ms=current.elapsed_ms,
            reason=f"aborted by {abort.operator}",
        )
        self._step(version, step)
        return Ordered(
            rollout=self.rollouts_by_service[abort.service], is_new=True
        )

    def _step(self, version, step):
        current = self.rollouts_by_service.get(step.service)
        if (
            current is None
            or (current.order, current.step) != (step.order, step.number)
            or current.phase not in PHASES_BY_ACTION[step.action]
        ):
            return Outdated()
        exposes = step.action in ACTIONS_THAT_EXPOSE
        rollout = attrs.evolve(
            current,
            step=current.step + 1,
            elapsed_ms=max(current.elapsed_ms, step.elapsed_ms),
            **_changes(step),
        )
        if exposes:
            rollout = attrs.evolve(
                rollout, exposed=version, exposed_at_ms=rollout.elapsed_ms
            )
        if step.action is Action.ROLL_BACK:
            self._reject(rollout)
        self._store(version, rollout, exposes=exposes)
        _report(version, step, rollout)
        return Ordered(rollout=rollout, is_new=True)

    def _reject(self, rollout):
        rejected = self.rejected_by_service.get(rollout.service, ())
        rejected = (*rejected, rollout.candidate)
        self.rejected_by_service[rollout.service] = rejected[
            -MAX_REJECTED_VERSIONS:
        ]

    def _store(self, version, rollout, *, exposes):
        self.rollouts_by_service[rollout.service] = rollout
        self._applied_at_by_service[rollout.service] = self._monotonic()
        if exposes:
            self.exposed = version


class MeshStateMachine:
    """The accepted versions and the rollouts, on one replicated log.

    `versions` is a VersionStateMachine, `rollouts` a RolloutTable. As long
    as there was no rollout, snapshots are those of `versions` alone.
    """

    def __init__(self, *, versions, rollouts):
        """Store the parts."""
        self.versions = versions
        self.rollouts = rollouts

    def refusal(self, command):
        """Return why the leader must not append a command, or ""."""
        if not is_rollout_command(command):
            return self.versions.refusal(command)
        if len(command) > MAX_COMMAND_BYTES:
            return f"the command has {len(command)} bytes"
        try:
            decode_command(command)
        except DECODE_ERRORS:
            return "the command is unknown; run one release on every host"
        return ""

    def apply(self, position, command):
        """Apply one committed command; return its encoded outcome."""
        if not is_rollout_command(command):
            return self.versions.apply(position, command)
        version = Version(epoch=position.term, index=position.index)
        try:
            decoded = decode_command(command)
        except DECODE_ERRORS:
            # All replicas must handle such an entry in the same way.
            return encode_outcome(
                Refused(
                    reason="the command is unknown",
                    remedy="Run the same release on every host.",
                )
            )
        outcome = self.rollouts.apply(version, decoded)
        if self.rollouts.exposed == version:
            self.versions.expose(version, self.rollouts.exposures_by_service)
        return encode_outcome(outcome)

    def snapshot(self):
        """Return the full state as bytes."""
        data = self.versions.snapshot()
        if self.rollouts.exposed == NO_VERSION:
            return data
        return msgpack.packb([SNAPSHOT_FORMAT, data, self.rollouts.to_plain()])

    def restore(self, data):
        """Replace the full state by that of a snapshot.

        A snapshot without rollouts may be from an earlier release.
        """
        # Entries are unpacked one by one: the rest may be large.
        unpacker = msgpack.Unpacker(max_buffer_size=0)
        unpacker.feed(data)
        unpacker.read_array_header()
        plain = None
        if unpacker.unpack() == SNAPSHOT_FORMAT:
            data, plain = unpacker.unpack(), unpacker.unpack()
        self.rollouts.restore(plain)
        self.versions.restore(
            data,
            exposed=self.rollouts.exposed,
            exposures_by_service=self.rollouts.exposures_by_service,
        )


def _changes(step):
    """Return the fields of the Rollout that a step changes."""
    changes = {}
    if step.action is not Action.TICK:
        changes = {"reason": step.reason, "evidence": step.evidence}
    match step.action:
        case Action.EXPOSE:
            changes["share_ppm"] = step.share_ppm
        case Action.SHIFT:
            changes["phase"] = Phase.SHIFTING
            changes["share_ppm"] = FULL_SHARE_PPM
        case Action.COMPLETE:
            changes["phase"] = Phase.COMPLETED
        case Action.ROLL_BACK:
            changes["phase"] = Phase.ROLLED_BACK
            changes["share_ppm"] = 0
        case Action.SETTLE:
            changes = {"settled": True}
    return changes


def _report(version, step, rollout):
    if step.action is Action.TICK:
        return
    metrics.increment(f"rollouts.steps.{step.action}")
    emit(
        events.EVENTS_BY_ACTION[step.action],
        version=str(version),
        service=rollout.service,
        candidate=rollout.candidate,
        step=rollout.step,
        share_ppm=rollout.share_ppm,
        elapsed_ms=rollout.elapsed_ms,
        reason=step.reason,
        evidence=step.evidence,
    )
