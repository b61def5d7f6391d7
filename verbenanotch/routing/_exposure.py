"""Which targets of a service may get a request, by their software versions.

While a new version is rolled out, its targets get a limited share of the
service's requests. All functions here are over data: the software versions
of targets, and the Exposure of the service, see `catalog`.
"""

import attrs

from verbenanotch.routing._choice import (
    Candidates,
    Chosen,
    NoTarget,
    choose,
)

FULL_SHARE_PPM = 1_000_000
# A share that could not be used, as no target of the candidate had capacity,
# is not made up for by more than this many requests at once.
MAX_CREDIT_REQUESTS = 2
UNKNOWN_VERSION = ""


@attrs.frozen(kw_only=True)
class CandidatesWithFallback(Candidates):
    """Candidates, and others for a request that none of them can accept."""

    fallback: Candidates


@attrs.frozen(kw_only=True)
class TargetGroups:
    """The ids of a service's targets that may get requests.

    Those of the `candidate` get the share of the Exposure, if there is one;
    the `old` ones get the rest.
    """

    old: tuple[str, ...]
    candidate: tuple[str, ...] = ()


def divide_targets(versions_by_target_id, exposure):
    """Return the TargetGroups of a service with an Exposure.

    `versions_by_target_id` has the software version of each target. A target
    that names none counts as old, but as one of the candidate once all
    requests go there: the old targets stop then without draining.
    """
    is_complete = exposure.share_ppm >= FULL_SHARE_PPM
    old = []
    candidate = []
    for target_id, software_version in versions_by_target_id.items():
        if software_version and software_version in exposure.rejected:
            continue
        is_candidate = software_version == exposure.candidate or (
            is_complete and software_version == UNKNOWN_VERSION
        )
        (candidate if is_candidate else old).append(target_id)
    return TargetGroups(
        old=() if is_complete else tuple(old),
        candidate=tuple(candidate) if exposure.share_ppm > 0 else (),
    )


def is_rejected(software_version, exposure):
    """Return whether targets of a version get no requests at all."""
    return (
        exposure is not None
        and software_version != UNKNOWN_VERSION
        and software_version in exposure.rejected
    )


def established_version(records, versions_by_target_id, current):
    """Return the version whose targets get requests without an Exposure.

    `records` are the TargetRecords of the service, `current` is the version
    that was established before, or empty. It stays as long as one of its
    targets is not draining: new targets beside the old ones, and a crash of
    most old ones, change nothing. Otherwise it is the version of most
    targets that are not draining; among equals, the one with the oldest
    target. Returns an empty string if no target names a version.
    """
    incarnations_by_version = {}
    for record in records:
        software_version = versions_by_target_id[record.target_id]
        if software_version != UNKNOWN_VERSION and not record.draining:
            incarnations_by_version.setdefault(software_version, []).append(
                record.incarnation
            )
    if current in incarnations_by_version or not incarnations_by_version:
        return current
    return min(
        incarnations_by_version,
        key=lambda version: (
            -len(incarnations_by_version[version]),
            min(incarnations_by_version[version]),
            version,
        ),
    )


def established_targets(versions_by_target_id, established):
    """Return the TargetGroups of a service without an Exposure."""
    return TargetGroups(
        old=tuple(
            target_id
            for target_id, software_version in versions_by_target_id.items()
            if not established
            or software_version in (established, UNKNOWN_VERSION)
        )
    )


class ExposureMeter:
    """How many of this proxy's calls to a service may go to its candidate.

    Answers many proxies of very different load: each keeps the share by
    itself, so that their sum keeps it, too, however many there are and
    whenever they start. A call is allowed if the candidate's calls with it
    are at most the current share of all calls that have reached targets of
    the service. A credit, which grows with each of these calls, lets neither
    a larger share nor targets that return cause a burst; it grows at the
    share of its time, so that what a larger share allowed once is not sent
    later under a smaller one.
    """

    def __init__(self, *, candidate):
        """Start with no calls; a candidate needs calls elsewhere first."""
        self.candidate = candidate
        self._sent = 0
        self._reached = 0
        self._credit_ppm = 0

    def allows(self, share_ppm):
        """Return whether the candidate may get one more call now."""
        if share_ppm >= FULL_SHARE_PPM:
            return True
        return (
            self._credit_ppm >= FULL_SHARE_PPM
            and (self._sent + 1) * FULL_SHARE_PPM <= share_ppm * self._reached
        )

    def record_sent(self):
        """Count a call, first attempt or retry, that goes to the candidate.

        It is counted at once, since many calls may start together.
        """
        self._sent += 1
        self._credit_ppm = max(0, self._credit_ppm - FULL_SHARE_PPM)

    def record_reached(self, share_ppm):
        """Count a call that has reached a target of any version."""
        self._reached += 1
        self._credit_ppm = min(
            MAX_CREDIT_REQUESTS * FULL_SHARE_PPM, self._credit_ppm + share_ppm
        )

    def record_not_reached(self):
        """Undo `record_sent` for a call that never reached its target."""
        self._sent -= 1
        self._credit_ppm = min(
            MAX_CREDIT_REQUESTS * FULL_SHARE_PPM,
            self._credit_ppm + FULL_SHARE_PPM,
        )


def choose_by_version(candidates, **options):
    """Return Chosen or NoTarget, as `choose`, trying a fallback as well.

    A fallback is preferred to a choice without regard to health.
    """
    result = choose(candidates, **options)
    if type(candidates) is not CandidatesWithFallback:
        return result
    match result:
        case NoTarget():
            return choose(candidates.fallback, **options)
        case Chosen(panicked=True):
            other = choose(candidates.fallback, **options)
            return result if isinstance(other, NoTarget) else other
    return result
