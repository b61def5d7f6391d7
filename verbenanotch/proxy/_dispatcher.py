"""Send a request to a target, and retry where that is safe."""

import random
import time

import eventlet

from verbenanotch.proxy import _reasons as reasons
from verbenanotch.proxy import events
from verbenanotch.proxy._candidates import CandidateCache
from verbenanotch.proxy._outcome import (
    FIRST_SERVER_ERROR_STATUS,
    Answered,
    Call,
    NotRun,
    Unknown,
    to_mrps,
)
from verbenanotch.proxy._retries import combine_outcomes
from verbenanotch.proxy._stop_window import StopWindow
from verbenanotch.proxy._tried_targets import TriedTargets
from verbenanotch.proxy._version_calls import VersionCalls
from verbenanotch.proxy._version_groups import VersionGroups, steady_targets
from verbenanotch.routing import (
    AttemptContext,
    Chosen,
    DemandRate,
    NoRetry,
    NoTarget,
    OutcomeKind,
    OutlierDetector,
    RateShares,
    Retry,
    RetryBudget,
    RouteDurations,
    RouteSizes,
    choose_by_version,
    cross_zone_penalty_seconds,
    decide_retry,
    keep_in_zone,
)
from verbenanotch.telemetry import emit, metrics

MILLISECONDS_PER_SECOND = 1000
# Free retries of a request, on other targets, after refusals that concern only
# one target or host. They use neither the request's retries nor the retry
# budget.
MAX_FREE_RETRIES = 8
# Free retries after refusals for lack of capacity. The limit is low: under
# overload the other targets are just as full, and each attempt takes time.
MAX_FREE_RETRIES_WHEN_FULL = 2
# How long a target is avoided after a refusal that concerns only it or its
# host.
REFUSAL_EJECTION_SECONDS = 1.0


class Dispatcher:
    """Choose a target for each request and send the request there."""

    def __init__(
        self,
        *,
        settings,
        snapshot_store,
        local_targets,
        peers,
        guard=None,
        outcome_counter=None,
        stop_window=None,
    ):
        """Choose among the targets in the snapshot of `snapshot_store`.

        `local_targets` is the LocalTargets of this host, `peers` the PeerPool
        for targets of other hosts. `guard` is the CrashGuard that blocks
        requests, or None. `outcome_counter` is the OutcomeCounter of the
        calls to services that are rolled out, or None. `stop_window` is the
        StopWindow of this host.
        """
        self._stop_window = stop_window or StopWindow()
        version_groups = VersionGroups(
            hold_new_versions=settings.proxy.hold_new_versions
        )
        self._version_calls = VersionCalls(
            groups=version_groups, counter=outcome_counter
        )
        self._guard = guard
        self._settings = settings
        self._snapshot_store = snapshot_store
        self._local_targets = local_targets
        self._peers = peers
        self._random = random.Random()
        self._candidate_cache = CandidateCache(
            snapshot_store=snapshot_store,
            adaptive_limits=settings.proxy.adaptive_limits,
            version_groups=version_groups,
        )
        self._route_durations = RouteDurations()
        self._route_sizes = RouteSizes()
        self._routes_version = None
        self._last_snapshot = None
        # Services of which a target has told its pace.
        self._paced_services = set()
        self._rate_shares = RateShares()
        self._demands_by_service = {}
        self._budgets_by_service = {}
        self._outliers_by_service = {}

    def run(self, request, *, cancellation):
        """Return the outcome of a Request.

        Returns early once `cancellation` is set, and during a stop of this
        host if the request still waits and would not end in time.
        """
        with self._stop_window.watch(
            request.route_name,
            deadline=request.deadline,
            arrived_at=request.arrived_at,
            cancellation=cancellation,
            reason=reasons.HOST_STOPPING,
        ):
            return self._run_attempts(request, cancellation)

    def _run_attempts(self, request, cancellation):
        # All attempts use one snapshot, even if a newer one becomes active.
        snapshot = self._snapshot_store.snapshot
        if snapshot.version != self._routes_version:
            self._routes_version = snapshot.version
            self._route_durations.retain(snapshot.routes_by_name.keys())
            self._route_sizes.retain(snapshot.routes_by_name.keys())
        if snapshot is not self._last_snapshot:
            self._last_snapshot = snapshot
            self._rate_shares.retain(snapshot.targets_by_id, time.monotonic())
            self._paced_services &= snapshot.services_by_name.keys()
        budget = self._budget(request.service)
        budget.record_first_attempt(time.monotonic())
        self._demand(request.service).record(time.monotonic())
        context = AttemptContext(
            attempt=1,
            attempts_left=request.retries + 1,
            deadline=request.deadline,
        )
        tried = TriedTargets()
        outcome = None
        while True:
            result = self._attempt(
                snapshot, request, context, tried, cancellation
            )
            outcome = combine_outcomes(outcome, result)
            if isinstance(result, Answered) or cancellation.cancelled:
                return outcome
            if _is_busy(result) and tried.record_move():
                metrics.increment("proxy.moves")
                continue
            if (
                _is_retryable_on_another_target(result) or _is_limited(result)
            ) and tried.attempt_count <= MAX_FREE_RETRIES:
                continue
            if (
                _is_full(result)
                and tried.attempt_count <= MAX_FREE_RETRIES_WHEN_FULL
            ):
                continue
            may_have_run = isinstance(result, Unknown)
            tried.record_end(has_failed=may_have_run)
            decision = decide_retry(
                context,
                may_have_run=may_have_run,
                idempotent=request.idempotent,
                is_final=_is_final(result),
                budget=budget,
                now=time.monotonic(),
                random=self._random,
            )
            match decision:
                case NoRetry():
                    return outcome
                case Retry(context=context, delay_ms=delay_ms):
                    metrics.increment("proxy.retries")
                    eventlet.sleep(delay_ms / MILLISECONDS_PER_SECOND)

    def record_report(self, report):
        """Record the load and health that a target reports about itself.

        `report` is a TargetReport. It is only a hint for target selection.
        """
        state = self._candidate_cache.states_by_target_id.get(report.target_id)
        if state is not None:
            state.record_report(
                time.monotonic(), report.load_percent / 100, report.healthy
            )

    def _attempt(self, snapshot, request, context, tried, cancellation):
        """Run the request once, at a target that is not in TriedTargets."""
        if cancellation.check():
            metrics.increment("proxy.requests_abandoned")
            return NotRun(reason=reasons.CALLER_GONE)
        now = time.monotonic()
        if now >= request.deadline:
            return NotRun(reason=reasons.DEADLINE_PASSED)
        if not self._stop_window.has_time_for(
            request.route_name,
            deadline=request.deadline,
            now=now,
            arrived_at=request.arrived_at,
        ):
            return NotRun(reason=reasons.HOST_STOPPING)
        if self._guard is not None:
            refusal = self._guard.refusal(request)
            if refusal is not None:
                return refusal
        match self._choose_or_return(snapshot, request, tried):
            case NoTarget(reason=reason, retry_after_ms=retry_after_ms):
                return NotRun(reason=reason, retry_after_ms=retry_after_ms)
            case Chosen(target_id=target_id) as chosen:
                tried.add(target_id)
        now = time.monotonic()
        self._rate_shares.spend(target_id, request.priority, now)
        call = _make_call(
            request,
            target_id,
            context,
            demand=self._demand(request.service).value(now),
            known_limit=self._rate_shares.known_limit(
                snapshot.targets_by_id[target_id]
            ),
            max_wait_ms=tried.max_wait_ms(chosen.max_wait_seconds),
        )
        outcome = self._run_call(snapshot, request, call, cancellation)
        if _is_busy(outcome):
            self._rate_shares.refund(target_id, time.monotonic())
        return outcome

    def _demand(self, service):
        demand = self._demands_by_service.get(service)
        if demand is None:
            demand = self._demands_by_service[service] = DemandRate()
        return demand

    def _budget(self, service):
        budget = self._budgets_by_service.get(service)
        if budget is None:
            budget = RetryBudget()
            self._budgets_by_service[service] = budget
        # All proxies together may send a burst of `retry_burst` retries.
        hosts = len(self._snapshot_store.snapshot.hosts_by_name)
        budget.limit(self._settings.proxy.retry_burst / max(1, hosts))
        return budget

    def _choose_or_return(self, snapshot, request, tried):
        """Choose a target, if need be one that was only too busy before."""
        result = self._choose_target(snapshot, request, tried)
        if isinstance(result, NoTarget) and tried.restore_busy():
            return self._choose_target(snapshot, request, tried)
        return result

    def _choose_target(self, snapshot, request, tried):
        now = time.monotonic()
        candidates = self._candidate_cache.candidates(
            snapshot, request.service, now=now
        )
        if self._guard is not None:
            target_id = self._guard.exclusive_target(
                request,
                (
                    state.target_id
                    for state in steady_targets(candidates)
                    if not state.draining
                    and state.target_id not in tried.target_ids
                ),
            )
            if target_id is not None:
                return Chosen(target_id=target_id)
        objective_seconds = self._route_durations.scaled_objective(
            request.route_name, request.objective_seconds
        )
        size = self._route_sizes.expected(
            request.route_name, len(request.body)
        )
        penalty_seconds = cross_zone_penalty_seconds(size, objective_seconds)
        candidates = keep_in_zone(
            candidates,
            availability_zone=self._settings.host.availability_zone,
            now=now,
            cross_zone_penalty=penalty_seconds,
            objective=objective_seconds,
            failed=tried.failed_ids,
        )
        waits_by_target_id = {
            target_id: seconds
            for target_id, seconds in self._rate_shares.exhausted(
                request.service, request.priority, now
            ).items()
            if target_id in snapshot.targets_by_id
        }
        result = choose_by_version(
            candidates,
            now=now,
            random=self._random,
            availability_zone=self._settings.host.availability_zone,
            exclude=tried.target_ids | waits_by_target_id.keys(),
            host=self._settings.host.name,
            objective_seconds=objective_seconds,
            cross_zone_penalty_seconds=penalty_seconds,
            even_load=(
                self._settings.proxy.even_load
                or request.service in self._paced_services
            ),
        )
        return _explain_no_target(result, waits_by_target_id)

    def _run_call(self, snapshot, request, call, cancellation):
        state = self._candidate_cache.states_by_target_id[call.target_id]
        started = time.monotonic()
        state.record_start(started)
        metered = self._version_calls.record_start(call)
        outcome = Unknown(reason=reasons.INTERNAL_ERROR)
        try:
            outcome = self._send(snapshot, call, request, cancellation)
        finally:
            now = time.monotonic()
            kind = _outcome_kind(outcome, cancellation)
            state.record_outcome(now, now - started, kind)
            self._version_calls.record_end(
                metered,
                snapshot.targets_by_id[call.target_id],
                request,
                outcome,
                cancelled=cancellation.cancelled,
                started=started,
                now=now,
            )
            if outcome.load is not None:
                self._observe_load(state, request, outcome, now, now - started)
                self._observe_notices(snapshot, call, outcome.load, now)
            self._detect_outlier(snapshot, state, kind, now)
            if _is_retryable_on_another_target(outcome):
                state.ejected_until = max(
                    state.ejected_until, now + REFUSAL_EJECTION_SECONDS
                )
        if self._guard is not None:
            match outcome:
                case Answered(status=status):
                    self._guard.record_answer(call, status)
                case Unknown(crashes=crashes) if crashes:
                    self._guard.merge_records(crashes)
        is_usual = isinstance(outcome, Answered) or _is_busy(outcome)
        if call.traced or not is_usual:
            emit(
                events.CALL_ENDED,
                request=call.request_id,
                target=call.target_id,
                attempt=call.attempt,
                outcome=type(outcome).__name__,
                reason=getattr(outcome, "reason", ""),
                version=str(snapshot.version),
                service=call.service,
                busy=outcome.load.busy if outcome.load else None,
                slots=state.slots,
                error_share=round(state.error_share, 2),
                milliseconds=round((now - started) * 1000, 3),
            )
        return outcome

    def _observe_notices(self, snapshot, call, load, now):
        """Record what the target has said of its limit and of leaving."""
        record = snapshot.targets_by_id[call.target_id]
        self._rate_shares.observe(record, load, now)
        if load.is_leaving:
            self._candidate_cache.record_leaving(record)

    def _observe_load(self, state, request, outcome, now, elapsed_seconds):
        state.observe_load(now, outcome.load)
        if outcome.load.pace_percent:
            self._paced_services.add(request.service)
        if isinstance(outcome, Answered):
            self._stop_window.observe(request.route_name, elapsed_seconds, now)
            self._route_sizes.observe(request.route_name, len(outcome.body))
            self._route_durations.observe(
                request.route_name,
                elapsed_seconds,
                outcome.load.service_seconds,
            )

    def _detect_outlier(self, snapshot, state, kind, now):
        """Eject the target from selection if it keeps failing."""
        detector = self._outliers_by_service.get(state.service)
        if detector is None:
            detector = OutlierDetector()
            self._outliers_by_service[state.service] = detector
        count = len(snapshot.target_ids_by_service.get(state.service, ()))
        ejected = detector.record_outcome(
            state,
            kind,
            now=now,
            target_count=count,
            others_error_share=(
                self._others_error_share(snapshot, state)
                if kind in (OutcomeKind.FAILED, OutcomeKind.UNKNOWN)
                else 0.0
            ),
        )
        if ejected is not None:
            metrics.increment("proxy.targets_ejected")
            emit(
                events.TARGET_EJECTED,
                target=ejected.target_id,
                seconds=round(ejected.until - now, 1),
            )

    def _others_error_share(self, snapshot, state):
        """Return the mean error share of the service's other targets."""
        states_by_id = self._candidate_cache.states_by_target_id
        shares = [
            states_by_id[target_id].error_share
            for target_id in snapshot.target_ids_by_service.get(
                state.service, ()
            )
            if target_id in states_by_id and target_id != state.target_id
        ]
        return sum(shares) / len(shares) if shares else 0.0

    def _send(self, snapshot, call, request, cancellation):
        host_name = snapshot.host_names_by_target_id[call.target_id]
        if host_name == self._settings.host.name:
            return self._local_targets.run(
                call,
                sender=host_name,
                deadline=request.deadline,
                cancellation=cancellation,
            )
        return self._peers.forward(
            snapshot.hosts_by_name[host_name],
            call,
            deadline=request.deadline,
            cancellation=cancellation,
        )


def _explain_no_target(result, waits_by_target_id):
    """Return NoTarget with the wait for the limits that leave no target."""
    match result:
        case NoTarget(reason=reasons.EXCLUDED) if waits_by_target_id:
            seconds = min(waits_by_target_id.values())
            return NoTarget(
                reason=reasons.RATE_LIMITED,
                retry_after_ms=int(seconds * MILLISECONDS_PER_SECOND) + 1,
            )
    return result


def _make_call(
    request, target_id, context, *, demand, known_limit, max_wait_ms
):
    now = time.monotonic()
    remaining = request.deadline - now
    return Call(
        request_id=request.request_id,
        service=request.service,
        target_id=target_id,
        method=request.method,
        path=request.path,
        headers=request.headers,
        body=request.body,
        remaining_ms=max(1, int(remaining * MILLISECONDS_PER_SECOND)),
        idempotent=request.idempotent,
        attempt=context.attempt,
        depth=request.depth,
        next_hop_retries=context.for_next_hop().attempts_left - 1,
        traced=request.traced,
        caller=request.caller,
        priority=request.priority,
        route_name=request.route_name,
        objective_ms=request.objective_ms(now),
        fingerprint=request.fingerprint,
        demand_mrps=to_mrps(demand),
        known_limit_mrps=to_mrps(known_limit),
        account=request.account,
        max_wait_ms=max_wait_ms,
    )


def _is_refused_for(outcome, refusal_reasons):
    """Return whether the call was not run for one of these reasons."""
    return isinstance(outcome, NotRun) and outcome.reason in refusal_reasons


def _is_retryable_on_another_target(outcome):
    """Return whether the refusal concerns only one target or host.

    The request is then retried on another target without using its retries.
    """
    return _is_refused_for(outcome, reasons.RETRYABLE_ON_ANOTHER_TARGET)


def _is_limited(outcome):
    """Return whether the target's own limit had no room for the request."""
    return _is_refused_for(outcome, (reasons.TARGET_LIMITED,))


def _is_busy(outcome):
    """Return whether the request would have waited too long."""
    return _is_refused_for(outcome, (reasons.TARGET_BUSY,))


def _is_full(outcome):
    """Return whether the target or its link had no capacity for it."""
    return _is_refused_for(outcome, (reasons.TARGET_FULL, reasons.LINK_FULL))


def _is_final(outcome):
    """Return whether another attempt would be refused for the same reason."""
    return _is_refused_for(outcome, reasons.FINAL)


def _outcome_kind(outcome, cancellation):
    """Return the OutcomeKind that is recorded for the target."""
    # A limit that is used up tells nothing of the target's health or speed,
    # and the load of a busy target comes with its refusal.
    if cancellation.cancelled or _is_limited(outcome) or _is_busy(outcome):
        return OutcomeKind.CANCELLED
    match outcome:
        case Answered(status=status):
            failed = status >= FIRST_SERVER_ERROR_STATUS
            return OutcomeKind.FAILED if failed else OutcomeKind.ANSWERED
        case NotRun(reason=reason):
            unhealthy = reason in reasons.IMPLIES_UNHEALTHY
            return OutcomeKind.FAILED if unhealthy else OutcomeKind.REFUSED
        case Unknown():
            return OutcomeKind.UNKNOWN
