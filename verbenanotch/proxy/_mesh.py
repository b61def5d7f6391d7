"""Send a request to a target and retry where that is safe."""

import random
import time

import attrs

from verbenanotch.proxy import events
from verbenanotch.proxy._outcome import Answered, Call, NotRun, Unknown
from verbenanotch.routing import Chosen, NoTarget, TargetState, choose
from verbenanotch.telemetry import emit


@attrs.frozen(kw_only=True)
class Request:
    """A caller's request; `deadline` is in monotonic seconds."""

    request_id: str
    route_name: str
    service: str
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    deadline: float
    idempotent: bool
    max_attempts: int
    depth: int = 0


class Dispatcher:
    """Choose targets for requests and run them there."""

    def __init__(self, *, settings, holder, local_targets, peers):
        """Take targets from the snapshot of `holder`."""
        self._settings = settings
        self._holder = holder
        self._local_targets = local_targets
        self._peers = peers
        self._random = random.Random()
        self._states_by_target_id = {}

    def run(self, request):
        """Return the outcome of a request; at once when it is given up."""
        snapshot = self._holder.snapshot
        tried = set()
        outcome = NotRun(reason="no-target")
        for attempt in range(1, request.max_attempts + 1):
            remaining = request.deadline - time.monotonic()
            if remaining <= 0:
                return _no_time_left(outcome)
            match self._choose(snapshot, request, tried):
                case NoTarget(reason=reason, retry_after_ms=retry_after_ms):
                    if attempt > 1:
                        return outcome
                    return NotRun(reason=reason, retry_after_ms=retry_after_ms)
                case Chosen(target_id=target_id):
                    tried.add(target_id)
            outcome = self._call(
                snapshot, request, target_id, attempt, remaining
            )
            if not _may_retry(request, outcome):
                return outcome
        return outcome

    def _choose(self, snapshot, request, tried):
        ids = snapshot.target_ids_by_service.get(request.service, ())
        candidates = [self._state(snapshot, target_id) for target_id in ids]
        return choose(
            candidates,
            now=time.monotonic(),
            random=self._random,
            availability_zone=self._settings.host.availability_zone,
            exclude=frozenset(tried),
        )

    def _state(self, snapshot, target_id):
        record = snapshot.targets_by_id[target_id]
        state = self._states_by_target_id.get(target_id)
        if state is None:
            host = snapshot.hosts_by_name[
                snapshot.host_names_by_target_id[target_id]
            ]
            state = TargetState(
                target_id=target_id,
                service=record.service,
                availability_zone=host.availability_zone,
                host=host.host,
                slots=record.slots,
                first_seen=time.monotonic(),
            )
            self._states_by_target_id[target_id] = state
        state.draining = record.draining
        return state

    def _call(self, snapshot, request, target_id, attempt, remaining):
        state = self._states_by_target_id[target_id]
        host_name = snapshot.host_names_by_target_id[target_id]
        call = Call(
            request_id=request.request_id,
            service=request.service,
            target_id=target_id,
            method=request.method,
            path=request.path,
            headers=request.headers,
            body=request.body,
            remaining_ms=max(1, int(remaining * 1000)),
            idempotent=request.idempotent,
            attempt=attempt,
            depth=request.depth,
        )
        emit(
            events.CALL_DISPATCHED,
            request=request.request_id,
            target=target_id,
            attempt=attempt,
        )
        started = time.monotonic()
        state.started(started)
        if host_name == self._settings.host.name:
            outcome = self._local_targets.run(call)
        else:
            outcome = self._peers.forward(
                snapshot.hosts_by_name[host_name], call
            )
        now = time.monotonic()
        state.finished(now, now - started, type(outcome).__name__)
        return outcome


def _may_retry(request, outcome):
    match outcome:
        case Answered():
            return False
        case NotRun():
            return True
        case Unknown():
            return request.idempotent


def _no_time_left(outcome):
    match outcome:
        case Unknown():
            return outcome
        case _:
            return NotRun(reason="deadline-passed")
