"""The greenthread that makes the steps of rollouts, at the leader."""

import time
import traceback

import eventlet

from verbenanotch.replication import Committed
from verbenanotch.rollouts import events
from verbenanotch.rollouts._commands import Action, Step, encode_command
from verbenanotch.rollouts._evidence import OutcomeHistory
from verbenanotch.rollouts._messages import (
    RolloutsWatched,
    VersionOutcomes,
)
from verbenanotch.rollouts._rollout import MILLISECONDS_PER_SECOND
from verbenanotch.rollouts._steps import (
    Make,
    Situation,
    decide_step,
    describe,
)
from verbenanotch.telemetry import emit, metrics

STEP_INTERVAL_SECONDS = 0.1
WATCH_INTERVAL_SECONDS = 0.5
PROPOSE_TIMEOUT_SECONDS = 1.0
MAX_EVIDENCE_CHARACTERS = 2000


class RolloutConductor:
    """Decides and proposes steps while this host leads and a rollout runs.

    `replica` is the local Replica, `state` its MeshStateMachine, `channel`
    the ProxyChannel, `view` a MeshView, `limits` the Limits of a bad version.
    All that must last is in the log: a new leader goes on from there, with
    the reports that it receives.
    """

    def __init__(
        self,
        *,
        replica,
        state,
        channel,
        view,
        limits,
        monotonic=time.monotonic,
    ):
        """Register for the reports of proxies."""
        self._replica = replica
        self._state = state
        self._channel = channel
        self._view = view
        self._limits = limits
        self._monotonic = monotonic
        self._histories_by_order = {}
        self._acknowledged_by_exposed = {}
        self._reasons_by_order = {}
        self._ordered_at_by_order = {}
        self._proposing = set()
        self._watched = {}
        self._watched_at = 0.0
        self._greenthread = None
        channel.on(VersionOutcomes, self._receive)

    def start(self):
        """Start deciding in the background."""
        self._greenthread = eventlet.spawn(self._run_forever)

    def stop(self):
        """Stop; another leader goes on."""
        if self._greenthread is not None:
            self._greenthread.kill()

    def run_once(self):
        """Decide the next step of each rollout, if this host leads."""
        if self._channel.term is None:
            self._forget()
            return
        unfinished = self._state.rollouts.unfinished
        now = self._monotonic()
        self._watch(unfinished, now)
        self._retain(unfinished)
        for rollout in unfinished:
            if rollout.order not in self._proposing:
                self._advance(rollout, now)

    def _run_forever(self):
        while True:
            eventlet.sleep(STEP_INTERVAL_SECONDS)
            try:
                self.run_once()
            except Exception:
                emit(events.ROLLOUT_FAILED, traceback=traceback.format_exc())

    def _receive(self, host, message):
        rollout = self._state.rollouts.rollouts_by_service.get(message.service)
        history = rollout and self._histories_by_order.get(rollout.order)
        if history:
            metrics.increment("rollouts.reports")
            history.receive(host, message, now=self._monotonic())

    def _forget(self):
        """Forget the reports; a later term starts with new ones."""
        self._histories_by_order.clear()
        self._acknowledged_by_exposed.clear()
        self._reasons_by_order.clear()
        self._ordered_at_by_order.clear()
        self._watched = {}

    def _retain(self, unfinished):
        """Forget the reports of rollouts that have ended."""
        orders = {rollout.order for rollout in unfinished}
        exposed = {rollout.exposed for rollout in unfinished}
        for values, keys in (
            (self._histories_by_order, orders),
            (self._reasons_by_order, orders),
            (self._ordered_at_by_order, orders),
            (self._acknowledged_by_exposed, exposed),
        ):
            for key in values.keys() - keys:
                del values[key]

    def _watch(self, unfinished, now):
        """Tell the proxies periodically, and of changes at once."""
        watched = {
            rollout.service: rollout.candidate
            for rollout in unfinished
            if not rollout.has_ended
        }
        is_due = now - self._watched_at >= WATCH_INTERVAL_SECONDS
        if watched == self._watched and not (watched and is_due):
            return
        self._watched, self._watched_at = watched, now
        self._channel.broadcast(RolloutsWatched(services=watched))

    def _advance(self, rollout, now):
        situation = self._situation(rollout, now)
        step = decide_step(rollout, situation, self._limits)
        if not isinstance(step, Make):
            return
        if step.action is Action.TICK:
            self._report_wait(rollout, step.reason)
        evidence = ""
        if step.action is not Action.TICK:
            evidence = describe(situation)[:MAX_EVIDENCE_CHARACTERS]
        command = Step(
            service=rollout.service,
            order=rollout.order,
            number=rollout.step,
            action=step.action,
            share_ppm=step.share_ppm,
            elapsed_ms=round(
                situation.elapsed_seconds * MILLISECONDS_PER_SECOND
            ),
            reason=step.reason,
            evidence=evidence,
        )
        self._proposing.add(rollout.order)
        eventlet.spawn_n(self._propose, command)

    def _propose(self, step):
        try:
            outcome = self._replica.propose(
                command=encode_command(step),
                timeout_seconds=PROPOSE_TIMEOUT_SECONDS,
            )
        finally:
            self._proposing.discard(step.order)
        if not isinstance(outcome, Committed):
            metrics.increment("rollouts.steps_failed")
            emit(
                events.ROLLOUT_STEP_FAILED,
                service=step.service,
                action=str(step.action),
                reason=outcome.reason,
            )

    def _situation(self, rollout, now):
        table = self._state.rollouts
        service = rollout.service
        history = self._histories_by_order.get(rollout.order)
        if history is None:
            history = OutcomeHistory(candidate=rollout.candidate)
            self._histories_by_order[rollout.order] = history
        candidate_slots, old_slots = self._view.slots(
            service, rollout.candidate
        )
        current = self._state.versions.current
        return Situation(
            elapsed_seconds=self._elapsed_seconds(rollout, now),
            since_step_seconds=table.seconds_since_step(service),
            evidence=history.evidence(now=now),
            candidate_slots=candidate_slots,
            old_slots=old_slots,
            acknowledged_seconds=self._acknowledged_seconds(rollout, now),
            has_service=current is not None
            and service in current.mesh.services_by_name,
        )

    def _elapsed_seconds(self, rollout, now):
        """Return the time since the order.

        A step carries the time at which it was decided, and is applied
        later. The sum of these delays would put off the deadline.
        """
        elapsed = self._state.rollouts.elapsed_seconds(rollout.service)
        times = self._ordered_at_by_order
        times[rollout.order] = min(
            now - elapsed, times.get(rollout.order, now)
        )
        return now - times[rollout.order]

    def _acknowledged_seconds(self, rollout, now):
        """Return the time since all proxies in touch acknowledged, or None.

        A proxy that comes into touch later has got the same version, or is
        one that was not waited for.
        """
        since = self._acknowledged_by_exposed.get(rollout.exposed)
        if since is None:
            if not self._view.has_acknowledged(rollout.exposed):
                return None
            since = self._acknowledged_by_exposed[rollout.exposed] = now
        return now - since

    def _report_wait(self, rollout, reason):
        if self._reasons_by_order.get(rollout.order) != reason:
            self._reasons_by_order[rollout.order] = reason
            emit(
                events.ROLLOUT_WAITS,
                service=rollout.service,
                candidate=rollout.candidate,
                reason=reason,
            )
