"""Targets of each service by software version, for the active snapshot."""

import attrs

from verbenanotch.proxy import _reasons as reasons
from verbenanotch.proxy import events
from verbenanotch.proxy._outcome import NotRun
from verbenanotch.proxy._target_discovery import UNKNOWN_INCARNATION
from verbenanotch.routing import (
    FULL_SHARE_PPM,
    UNKNOWN_VERSION,
    Candidates,
    CandidatesWithFallback,
    ExposureMeter,
    TargetGroups,
    divide_targets,
    established_targets,
    established_version,
)
from verbenanotch.telemetry import emit

# Bounds the memory of software versions of targets that are gone.
MAX_REMEMBERED_VERSIONS = 4096
# A starting proxy receives the targets of some zones before the others. For
# this time it decides anew with each snapshot which versions are established.
SETTLING_SECONDS = 10.0


@attrs.frozen(kw_only=True)
class _Division:
    """The candidates of one service in the active snapshot.

    `old` may get any call, `exposed` those that the candidate may get; it is
    None if no target may get them. `held` get none as long as one of `old`
    stays. `meter` is None without an Exposure.
    """

    old: Candidates
    exposed: Candidates | None
    held: Candidates
    candidate_ids: frozenset
    established: str = ""
    share_ppm: int = 0
    rejected: tuple[str, ...] = ()
    meter: ExposureMeter | None = None

    def candidates(self):
        """Return the Candidates of the next call."""
        if self.exposed is not None and self.meter.allows(self.share_ppm):
            return self.exposed
        # Targets say that they leave before a snapshot says so.
        if self.held.targets and _are_leaving(self.old):
            return self.held
        return self.old


@attrs.frozen(kw_only=True)
class MeteredCall:
    """A call that was counted when it was sent."""

    meter: ExposureMeter
    is_candidate: bool


class VersionGroups:
    """Which targets a call may go to, for services whose targets differ.

    Services are listed only while they have an Exposure, or while
    `hold_new_versions` keeps requests from some of their targets. The latest
    Exposure counts for all requests, also for those that began before it.
    """

    def __init__(self, *, hold_new_versions=False):
        """Start without targets."""
        self._hold_new_versions = hold_new_versions
        self._divisions_by_service = {}
        self._meters_by_service = {}
        self._established_by_service = {}
        self._shifted_services = set()
        self._versions_by_target_id = {}
        self._settled_at = None

    def rebuild(self, snapshot, states_by_target_id, now):
        """Divide the targets of a new snapshot.

        `states_by_target_id` has the TargetState of each target. `now` is in
        monotonic seconds.
        """
        services = snapshot.services_by_name
        exposures_by_service = {
            name: service.exposure
            for name, service in services.items()
            if service.exposure is not None
        }
        if not exposures_by_service and not self._hold_new_versions:
            self._meters_by_service = {}
            self._replace_divisions({})
            return
        self._remember_versions(snapshot)
        self._meters_by_service = {
            name: self._meter(name, exposure)
            for name, exposure in exposures_by_service.items()
        }
        if self._hold_new_versions:
            self._establish(snapshot, exposures_by_service, now)
        divisions = {
            name: self._divide(snapshot, name, exposure, states_by_target_id)
            for name, exposure in exposures_by_service.items()
        }
        if self._hold_new_versions:
            divisions |= self._divide_by_hold(snapshot, states_by_target_id)
        self._replace_divisions(divisions)

    def candidates(self, service, snapshot=None):
        """Return the Candidates of the next call, None if all are equal.

        For a request that started with an earlier `snapshot`, only targets
        that it has are returned.
        """
        division = self._divisions_by_service.get(service)
        if division is None:
            return None
        candidates = division.candidates()
        if snapshot is None:
            return candidates
        return _restrict(candidates, snapshot.targets_by_id)

    def software_version(self, record):
        """Return the software version of a TargetRecord's target."""
        return record.software_version or self._versions_by_target_id.get(
            record.target_id, UNKNOWN_VERSION
        )

    def record_start(self, call):
        """Count a Call that is sent; return its MeteredCall, or None."""
        if not self._meters_by_service:
            return None
        division = self._divisions_by_service.get(call.service)
        if division is None or division.meter is None:
            return None
        is_candidate = call.target_id in division.candidate_ids
        if is_candidate:
            division.meter.record_sent()
        return MeteredCall(meter=division.meter, is_candidate=is_candidate)

    def record_end(self, service, metered, outcome):
        """Count the end of a call to a service with its MeteredCall."""
        division = self._divisions_by_service.get(service)
        if division is None or division.meter is not metered.meter:
            return
        if has_reached_target(outcome):
            metered.meter.record_reached(division.share_ppm)
        elif metered.is_candidate:
            metered.meter.record_not_reached()

    def _replace_divisions(self, divisions_by_service):
        """Use new divisions; log those that follow another rule."""
        before = self._divisions_by_service
        self._divisions_by_service = divisions_by_service
        for service in before.keys() | divisions_by_service.keys():
            rule = _rule(divisions_by_service.get(service))
            if rule != _rule(before.get(service)):
                emit(events.VERSIONS_DIVIDED, service=service, **rule)

    def _meter(self, service, exposure):
        meter = self._meters_by_service.get(service)
        if meter is not None and meter.candidate == exposure.candidate:
            return meter
        return ExposureMeter(candidate=exposure.candidate)

    def _divide(self, snapshot, service, exposure, states_by_target_id):
        versions = self._versions(snapshot, service)
        groups = divide_targets(versions, exposure)
        kept, held = self._hold(service, groups.old, versions)
        return _division(
            attrs.evolve(groups, old=kept),
            states_by_target_id,
            held=held,
            share_ppm=exposure.share_ppm,
            rejected=exposure.rejected,
            meter=self._meters_by_service[service],
        )

    def _divide_by_hold(self, snapshot, states_by_target_id):
        """Return the divisions of services without an Exposure."""
        divisions = {}
        for service, target_ids in snapshot.target_ids_by_service.items():
            if service in self._meters_by_service:
                continue
            kept, held = self._hold(
                service, target_ids, self._versions(snapshot, service)
            )
            if held:
                divisions[service] = _division(
                    TargetGroups(old=kept),
                    states_by_target_id,
                    held=held,
                    established=self._established_by_service[service],
                )
        return divisions

    def _hold(self, service, target_ids, versions_by_target_id):
        """Return the ids of established targets, and those that are held."""
        kept = established_targets(
            {
                target_id: versions_by_target_id[target_id]
                for target_id in target_ids
            },
            self._established_by_service.get(service, UNKNOWN_VERSION),
        ).old
        if len(kept) == len(target_ids):
            return kept, ()
        ids = frozenset(kept)
        return kept, tuple(it for it in target_ids if it not in ids)

    def _establish(self, snapshot, exposures_by_service, now):
        """Find the established version of each service."""
        if self._settled_at is None and snapshot.targets_by_id:
            self._settled_at = now + SETTLING_SECONDS
        is_settled = self._settled_at is not None and now >= self._settled_at
        established_by_service = {}
        for service in snapshot.target_ids_by_service:
            exposure = exposures_by_service.get(service)
            if _is_shifted(exposure):
                # It stays so when the rollout is over and the Exposure gone.
                established_by_service[service] = exposure.candidate
                self._shifted_services.add(service)
                continue
            current = UNKNOWN_VERSION
            if is_settled or service in self._shifted_services:
                current = self._established_by_service.get(service, current)
            established_by_service[service] = self._established(
                snapshot, service, exposure, current
            )
        self._established_by_service = established_by_service
        self._shifted_services &= established_by_service.keys()

    def _established(self, snapshot, service, exposure, current):
        versions = self._versions(snapshot, service)
        target_ids = versions.keys()
        if exposure is not None:
            # No candidate, and none that was rejected, is established.
            target_ids = divide_targets(versions, exposure).old
        return established_version(
            (snapshot.targets_by_id[target_id] for target_id in target_ids),
            versions,
            current,
        )

    def _versions(self, snapshot, service):
        """Return the software versions of a service's targets by id."""
        return {
            target_id: self._versions_by_target_id.get(
                target_id, UNKNOWN_VERSION
            )
            for target_id in snapshot.target_ids_by_service.get(service, ())
        }

    def _remember_versions(self, snapshot):
        """Keep the versions that targets have named.

        A target that its restarted proxy has only discovered names none. It
        is the same process as before, and may be of a rejected version.
        """
        versions = self._versions_by_target_id
        for target_id, record in snapshot.targets_by_id.items():
            if record.software_version:
                versions[target_id] = record.software_version
            elif record.incarnation != UNKNOWN_INCARNATION:
                versions.pop(target_id, None)
        excess = (
            len(versions)
            - len(snapshot.targets_by_id)
            - MAX_REMEMBERED_VERSIONS
        )
        if excess > 0:
            gone = [
                target_id
                for target_id in versions
                if target_id not in snapshot.targets_by_id
            ]
            for target_id in gone[:excess]:
                del versions[target_id]


def has_reached_target(outcome):
    """Return whether a target has received the call."""
    match outcome:
        case NotRun(reason=reason):
            return reason == reasons.TARGET_REFUSED
    return True


def steady_targets(candidates):
    """Return the targets that every proxy may choose at any time."""
    if type(candidates) is CandidatesWithFallback:
        return candidates.fallback.targets
    return candidates.targets


def _is_shifted(exposure):
    return exposure is not None and exposure.share_ppm >= FULL_SHARE_PPM


def _rule(division):
    """Return by which rule a division, or None, was made."""
    if division is None:
        return {}
    if division.meter is None:
        return {"established": division.established}
    return {
        "candidate": division.meter.candidate,
        "share_ppm": division.share_ppm,
        "rejected": ",".join(division.rejected),
    }


def _are_leaving(candidates):
    return all(state.draining for state in candidates.targets)


def _division(groups, states_by_target_id, *, held=(), **rule):
    old = _candidates(groups.old, states_by_target_id)
    exposed = _candidates(groups.candidate, states_by_target_id)
    if _are_leaving(exposed):
        exposed = None
    elif groups.old:
        exposed = CandidatesWithFallback(targets=exposed.targets, fallback=old)
    return _Division(
        old=old,
        exposed=exposed,
        held=_candidates(held, states_by_target_id),
        candidate_ids=frozenset(groups.candidate),
        **rule,
    )


def _candidates(target_ids, states_by_target_id):
    return Candidates(
        targets=tuple(
            states_by_target_id[target_id] for target_id in target_ids
        )
    )


def _restrict(candidates, targets_by_id):
    """Return the Candidates that are among some targets."""
    targets = tuple(
        state
        for state in candidates.targets
        if state.target_id in targets_by_id
    )
    if type(candidates) is not CandidatesWithFallback:
        return Candidates(targets=targets)
    return CandidatesWithFallback(
        targets=targets,
        fallback=_restrict(candidates.fallback, targets_by_id),
    )
