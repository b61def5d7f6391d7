"""This proxy's observations of each target in the active snapshot."""

import attrs

from verbenanotch.proxy._version_groups import VersionGroups
from verbenanotch.routing import Candidates, TargetState

# Bounds the memory of targets that have said that they leave.
MAX_LEAVING_TARGETS = 1024
NO_CANDIDATES = Candidates(targets=())


class CandidateCache:
    """Keep the candidates of each service until the snapshot changes.

    Observations of a target are kept across snapshots, but are discarded
    when the target's incarnation changes. A target that has said that it
    leaves stays draining, whatever its proxy announces after a restart.
    """

    def __init__(
        self, *, snapshot_store, adaptive_limits=True, version_groups=None
    ):
        """Follow the active snapshot of `snapshot_store`.

        Without `adaptive_limits`, the limit of concurrent requests to a
        target is always its number of slots. `version_groups` are the
        VersionGroups that may keep requests from targets.
        """
        self._version_groups = version_groups or VersionGroups()
        self._snapshot_store = snapshot_store
        self._adaptive_limits = adaptive_limits
        self._snapshot = None
        self._candidates_by_service = {}
        self._incarnations_by_target_id = {}
        self.states_by_target_id = {}
        self._leaving_incarnations_by_target_id = {}

    def record_leaving(self, record):
        """Send no more requests to the target of a TargetRecord."""
        leaving = self._leaving_incarnations_by_target_id
        if record.incarnation > leaving.get(record.target_id, -1):
            leaving[record.target_id] = record.incarnation
            if len(leaving) > MAX_LEAVING_TARGETS:
                del leaving[next(iter(leaving))]
        state = self.states_by_target_id.get(record.target_id)
        if state is not None:
            state.draining = True

    def candidates(self, snapshot, service, *, now):
        """Return the Candidates of a service in a snapshot.

        For a request that started with an earlier snapshot, only the targets
        that are still in the active one are returned. `now` is in monotonic
        seconds.
        """
        current = self._snapshot_store.snapshot
        if current is not self._snapshot:
            self._rebuild(current, now)
        divided = self._version_groups.candidates(
            service, None if snapshot is current else snapshot
        )
        if divided is not None:
            return divided
        if snapshot is current:
            return self._candidates_by_service.get(service, NO_CANDIDATES)
        states = self.states_by_target_id
        target_ids = snapshot.target_ids_by_service.get(service, ())
        return Candidates(
            targets=tuple(
                states[target_id]
                for target_id in target_ids
                if target_id in states
            )
        )

    def _rebuild(self, snapshot, now):
        had_no_targets = not self.states_by_target_id
        states = {
            target_id: self._state_for(
                snapshot, target_id, now, had_no_targets
            )
            for target_id in snapshot.targets_by_id
        }
        self.states_by_target_id = states
        self._incarnations_by_target_id = {
            target_id: target.incarnation
            for target_id, target in snapshot.targets_by_id.items()
        }
        self._candidates_by_service = {
            service: Candidates(
                targets=tuple(states[target_id] for target_id in target_ids)
            )
            for service, target_ids in snapshot.target_ids_by_service.items()
        }
        self._version_groups.rebuild(snapshot, states, now)
        self._snapshot = snapshot

    def _state_for(self, snapshot, target_id, now, had_no_targets):
        record = snapshot.targets_by_id[target_id]
        state = self.states_by_target_id.get(target_id)
        known_incarnation = self._incarnations_by_target_id.get(target_id)
        if state is None or known_incarnation != record.incarnation:
            state = _new_state(snapshot, record, now, had_no_targets)
            state.limit.is_fixed = not self._adaptive_limits
        state.draining = record.draining or self._has_said_leaving(record)
        return state

    def _has_said_leaving(self, record):
        said_by = self._leaving_incarnations_by_target_id.get(
            record.target_id, -1
        )
        return record.incarnation <= said_by


def _new_state(snapshot, record, now, had_no_targets):
    """Return a state without observations.

    If there were no targets before, as after the proxy's start, the target
    gets no slow start.
    """
    host_name = snapshot.host_names_by_target_id[record.target_id]
    host = snapshot.hosts_by_name[host_name]
    service = snapshot.services_by_name.get(record.service)
    state = TargetState(
        target_id=record.target_id,
        service=record.service,
        availability_zone=host.availability_zone,
        host=host.host,
        slots=record.slots,
        slow_start_at=float("-inf") if had_no_targets else now,
    )
    if service is None:
        return state
    return attrs.evolve(state, cold_start_ms=service.cold_start_ms)
