"""What this proxy observed of every target, by the snapshot in force."""

import attrs

from verbenanotch.routing import Candidates, TargetState

NO_CANDIDATES = Candidates(targets=())


class CandidateCache:
    """Keep the candidates of each service until the snapshot changes.

    Observations of a target outlive the snapshot, but not the target's
    incarnation.
    """

    def __init__(self, *, snapshot_store, adaptive_limits=True):
        """Follow the snapshot that is in force at `snapshot_store`."""
        self._snapshot_store = snapshot_store
        self._adaptive_limits = adaptive_limits
        self._snapshot = None
        self._candidates_by_service = {}
        self._incarnations_by_target_id = {}
        self.states_by_target_id = {}

    def candidates(self, snapshot, service, *, now):
        """Return the Candidates of a service in a snapshot.

        A request that began with an earlier snapshot gets those of its
        targets that are still there.
        """
        current = self._snapshot_store.snapshot
        if current is not self._snapshot:
            self._take(current, now)
        if snapshot is current:
            return self._candidates_by_service.get(service, NO_CANDIDATES)
        states = self.states_by_target_id
        ids = snapshot.target_ids_by_service.get(service, ())
        return Candidates(
            targets=tuple(states[id_] for id_ in ids if id_ in states)
        )

    def _take(self, snapshot, now):
        first = not self.states_by_target_id
        states = {
            target_id: self._state(snapshot, target_id, now, first)
            for target_id in snapshot.targets_by_id
        }
        self.states_by_target_id = states
        self._incarnations_by_target_id = {
            target_id: target.incarnation
            for target_id, target in snapshot.targets_by_id.items()
        }
        self._candidates_by_service = {
            service: Candidates(targets=tuple(states[id_] for id_ in ids))
            for service, ids in snapshot.target_ids_by_service.items()
        }
        self._snapshot = snapshot

    def _state(self, snapshot, target_id, now, first):
        record = snapshot.targets_by_id[target_id]
        state = self.states_by_target_id.get(target_id)
        held = self._incarnations_by_target_id.get(target_id)
        if state is None or held != record.incarnation:
            state = _new_state(snapshot, record, now, first)
            state.limit.is_fixed = not self._adaptive_limits
        state.draining = record.draining
        return state


def _new_state(snapshot, record, now, first):
    """Return a state without observations.

    Targets that are known from the start are not taken for cold ones.
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
        first_seen=float("-inf") if first else now,
    )
    if service is None:
        return state
    return attrs.evolve(state, cold_start_ms=service.cold_start_ms)
