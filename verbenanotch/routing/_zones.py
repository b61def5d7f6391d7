"""Whether a request may leave its availability zone.

The load pattern: all targets of a service are full in a zone. Requests with
large answers then spill over to other zones, where their answers fill links
of low bandwidth and delay everything else, while the targets there are just as
full.
"""

from verbenanotch.routing._exposure import CandidatesWithFallback


def keep_in_zone(
    candidates,
    *,
    availability_zone,
    now,
    cross_zone_penalty,
    objective,
    failed=frozenset(),
):
    """Return the Candidates that a request may be sent to.

    Those are the targets of its own zone, if crossing zones would cost more
    than the whole objective and a target of the zone is in service. `failed`
    has the ids of the targets where the request has failed, which are not in
    service for it. Times are in seconds; an `objective` of 0 means that there
    is none. Fallback candidates are restricted likewise.
    """
    if not objective or cross_zone_penalty < objective:
        return candidates

    def in_zone(candidates):
        return _in_zone(candidates, availability_zone, now, failed)

    match candidates:
        case CandidatesWithFallback(fallback=fallback):
            return CandidatesWithFallback(
                targets=in_zone(candidates).targets,
                fallback=in_zone(fallback),
            )
    return in_zone(candidates)


def _in_zone(candidates, availability_zone, now, failed):
    """Return the Candidates of a zone, or all if none is in service there."""
    same_zone = candidates.in_zone(availability_zone)
    if any(_is_in_service(target, now, failed) for target in same_zone):
        return candidates.only_zone(availability_zone)
    return candidates


def _is_in_service(target, now, failed):
    return (
        not target.draining
        and target.target_id not in failed
        and not target.looks_unhealthy(now)
    )
